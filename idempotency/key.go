package idempotency

import (
	"strings"
	"time"

	"github.com/google/uuid"
)

// uuidV7 is the version of UUIDs that begin with their mint time.
const uuidV7 = 7

// CreationTime returns when a key was made, if it is a UUIDv7. What stands before
// the last slash names whose key it is.
func CreationTime(key string) (time.Time, bool) {
	id, err := uuid.Parse(key[strings.LastIndexByte(key, '/')+1:])
	if err != nil || id.Version() != uuidV7 {
		return time.Time{}, false
	}
	sec, nsec := id.Time().UnixTime()
	return time.Unix(sec, nsec), true
}
