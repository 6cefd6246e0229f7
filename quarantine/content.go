package quarantine

import (
	"encoding/binary"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/zeebo/errs"
)

// Error is the class of this package's errors.
var Error = errs.Class("quarantine")

// ContentID identifies a request by its content. It is the same for all request IDs,
// attempts and routers.
type ContentID struct {
	// Team is compared in full and is not hashed, so that a hash collision can't affect
	// the requests of another team. It is empty for all callers of public routes.
	Team string
	// Hash covers the method, the host, the URI and the body.
	Hash uint64
}

// NewContentID returns the content ID of a request.
func NewContentID(team, method, host, uri string, body []byte) ContentID {
	h := xxhash.New()
	for _, field := range []string{method, host, uri} {
		// The length prefix keeps adjacent fields from being confused.
		var size [8]byte
		binary.LittleEndian.PutUint64(size[:], uint64(len(field)))
		_, _ = h.Write(size[:]) // never returns an error
		_, _ = h.WriteString(field)
	}
	_, _ = h.Write(body)
	return ContentID{Team: team, Hash: h.Sum64()}
}

// ParseContentID returns the content ID for a team and a hash in the format of String.
func ParseContentID(team, hash string) (ContentID, error) {
	n, err := strconv.ParseUint(hash, 16, 64)
	if err != nil {
		return ContentID{}, Error.New("content %q: must be up to 16 hexadecimal digits", hash)
	}
	return ContentID{Team: team, Hash: n}, nil
}

// String returns the hash in hexadecimal, without the team.
func (c ContentID) String() string { return strconv.FormatUint(c.Hash, 16) }
