package idempotency

import (
	"strings"
	"time"

	"github.com/google/uuid"
)

// uuidVersion7 is the UUID version that starts with the creation time.
const uuidVersion7 = 7

// CreationTime returns the time at which a key was created, if it is a UUIDv7.
// The part before the last slash identifies the key's team and is ignored.
func CreationTime(key string) (time.Time, bool) {
	id, err := uuid.Parse(key[strings.LastIndexByte(key, '/')+1:])
	if err != nil || id.Version() != uuidVersion7 {
		return time.Time{}, false
	}
	sec, nsec := id.Time().UnixTime()
	return time.Unix(sec, nsec), true
}
