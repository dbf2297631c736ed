package routing

import (
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// ParseDuration reads a time as bodies and settings write it: a number followed by ms or s, such as "1500ms" or
// "2.5s". Signs, spaces, other units and lengths beyond 292 years are errors.
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
		return 0, errors.Errorf("%q is too long a time", text)
	}
	return d, nil
}

func isDigits(text string) bool {
	return text != "" && strings.Trim(text, "0123456789") == ""
}

// durationOrDefault reads a text that has been checked; what is left out or 0 is the default.
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
