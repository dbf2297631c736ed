package logentry

import (
	"strconv"
	"time"
)

// Duration is a time that JSON writes as the control API does: a number with its unit, ms or s.
type Duration time.Duration

// MarshalText writes milliseconds.
func (d Duration) MarshalText() ([]byte, error) {
	return append(strconv.AppendInt(nil, time.Duration(d).Milliseconds(), 10), "ms"...), nil
}

// UnmarshalText reads what time.ParseDuration reads.
func (d *Duration) UnmarshalText(b []byte) error {
	parsed, err := time.ParseDuration(string(b))
	*d = Duration(parsed)
	return err
}
