package quarantine

import (
	"encoding/binary"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/zeebo/errs"
)

// Error is the class of this package's errors.
var Error = errs.Class("quarantine")

// Key identifies a request by its content. It is the same for all request IDs,
// attempts and routers.
type Key struct {
	// Team is compared in full and is not hashed, so that a hash collision can't affect
	// the requests of another team. It is empty for all callers of public routes.
	Team string
	// Hash covers the method, the host, the URI and the body.
	Hash uint64
}

// NewContentKey returns the content key of a request.
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

// ParseContentKey returns the content key for a team and a hash in the format of String.
func ParseContentKey(team, hash string) (Key, error) {
	n, err := strconv.ParseUint(hash, 16, 64)
	if err != nil {
		return Key{}, Error.New("content %q: must be up to 16 hexadecimal digits", hash)
	}
	return Key{Team: team, Hash: n}, nil
}

// String returns the hash in hexadecimal, without the team.
func (c Key) String() string { return strconv.FormatUint(c.Hash, 16) }
