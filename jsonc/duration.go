package jsonc

import (
	"encoding/json"
	"time"

	"github.com/zeebo/errs"
)

// Duration is a time.Duration written as a string such as "1.5s" or "200ms".
type Duration time.Duration

// UnmarshalJSON implements json.Unmarshaler.
func (d *Duration) UnmarshalJSON(data []byte) error {
	var s string
	if err := json.Unmarshal(data, &s); err != nil {
		return errs.New(`must be a duration such as "2s"`)
	}
	parsed, err := time.ParseDuration(s)
	if err != nil {
		return errs.New(`must be a duration such as "2s", not %q`, s)
	}
	*d = Duration(parsed)
	return nil
}

// MarshalJSON implements json.Marshaler.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}
