package logentry

import (
	"strconv"
	"time"
)

// Duration is a time.Duration whose JSON encoding is a string in the format of the control API, such as "250ms" or "2s".
type Duration time.Duration

// MarshalText writes the duration in milliseconds.
func (d Duration) MarshalText() ([]byte, error) {
	return append(strconv.AppendInt(nil, time.Duration(d).Milliseconds(), 10), "ms"...), nil
}

// UnmarshalText accepts the formats of time.ParseDuration.
func (d *Duration) UnmarshalText(b []byte) error {
	parsed, err := time.ParseDuration(string(b))
	*d = Duration(parsed)
	return err
}
