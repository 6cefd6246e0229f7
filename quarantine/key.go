package quarantine

import (
	"cmp"
	"encoding/binary"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/zeebo/errs"
)

// Error is the class of this package's errors.
var Error = errs.Class("quarantine")

// Key identifies what may make requests crash upstreams: their whole content, or a part of
// their prompt. It is the same for all request IDs, attempts and routers.
type Key struct {
	// Team is compared in full and is not hashed, so that a hash collision can't affect the
	// requests of another team. It is empty for all callers of public routes, and for parts,
	// which requests of several teams share.
	Team string
	// Hash covers the method, the host, the URI and the body; for a part it is the part's ID.
	Hash uint64
	// Part is set for the key of a part.
	Part bool
}

// PartTeam is the team of a part in messages and digests, where keys are a team and a hash. No
// configured team has a name with a NUL.
const PartTeam = "\x00part"

// NewContentKey returns the key of a request's content.
func NewContentKey(team, method, host, uri string, body []byte) Key {
	h := xxhash.New()
	for _, field := range []string{method, host, uri} {
		// The length prefix keeps adjacent fields from being confused.
		var size [8]byte
		binary.LittleEndian.PutUint64(size[:], uint64(len(field)))
		_, _ = h.Write(size[:]) // never returns an error
		_, _ = h.WriteString(field)
	}
	_, _ = h.Write(body)
	return Key{Team: team, Hash: h.Sum64()}
}

// NewPartKey returns the key of a part of a prompt.
func NewPartKey(id uint64) Key { return Key{Hash: id, Part: true} }

// ParseContentKey returns the key of a content for a team and a hash in the format of String.
func ParseContentKey(team, hash string) (Key, error) {
	n, err := strconv.ParseUint(hash, 16, 64)
	if err != nil {
		return Key{}, Error.New("content %q: must be up to 16 hexadecimal digits", hash)
	}
	return Key{Team: team, Hash: n}, nil
}

// ParsePartKey returns the key of a part for an ID in the format of String.
func ParsePartKey(id string) (Key, error) {
	n, err := strconv.ParseUint(id, 16, 64)
	if err != nil {
		return Key{}, Error.New("part %q: must be up to 16 hexadecimal digits", id)
	}
	return NewPartKey(n), nil
}

// Compare orders contents before parts, then by team and hash.
func (k Key) Compare(o Key) int {
	if k.Part != o.Part {
		if o.Part {
			return -1
		}
		return 1
	}
	return cmp.Or(strings.Compare(k.Team, o.Team), cmp.Compare(k.Hash, o.Hash))
}

// String returns the hash in hexadecimal, without the team.
func (k Key) String() string { return strconv.FormatUint(k.Hash, 16) }

// Name returns what the key identifies, for messages.
func (k Key) Name() string {
	if k.Part {
		return "part " + k.String()
	}
	return "content " + k.String() + " of team " + strconv.Quote(k.Team)
}
