package routing

import (
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// ParseDuration parses a duration of a configuration: a decimal number followed by ms or s, such as "1500ms" or "2.5s". It
// returns an error for signs, spaces, other units, and durations that overflow time.Duration (about 292 years).
func ParseDuration(text string) (time.Duration, error) {
	number, _ := strings.CutSuffix(text, "s")
	if len(number) < len(text) {
		number = strings.TrimSuffix(number, "m")
	}
	wholePart, fraction, hasPoint := strings.Cut(number, ".")
	if len(number) == len(text) || !isDigits(wholePart) || hasPoint && !isDigits(fraction) {
		return 0, errors.Errorf("%q is not a number followed by ms or s", text)
	}
	d, err := time.ParseDuration(text)
	if err != nil {
		return 0, errors.Errorf("%q is longer than the maximum of about 292 years", text)
	}
	return d, nil
}

func isDigits(text string) bool {
	return text != "" && strings.Trim(text, "0123456789") == ""
}

// durationOrDefault parses a duration that has been validated. It returns defaultValue if the duration is omitted or 0.
func durationOrDefault(text *string, defaultValue time.Duration) time.Duration {
	if text == nil {
		return defaultValue
	}
	d, err := ParseDuration(*text)
	if err != nil || d == 0 {
		return defaultValue
	}
	return d
}
