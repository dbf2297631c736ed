// Package tomlfile puts what is wrong with a TOML file into file, line and key.
package tomlfile

import (
	"errors"
	"fmt"
	"regexp"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// Error says what is wrong, and where.
type Error struct{ File, Position, What string }

func (e *Error) Error() string {
	place := e.File
	if e.Position != "" {
		place += ":" + e.Position
	}
	return place + ": " + e.What
}

// wrongType is how the library words a value of the wrong type.
var wrongType = regexp.MustCompile(`cannot decode TOML (\w+) into struct field \S+ of type (\S+)`)

// Where puts the library's error into file, line and key.
func Where(file string, err error) error {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) && len(strict.Errors) > 0 {
		e := strict.Errors[0]
		row, _ := e.Position()
		return &Error{file, fmt.Sprint(row), "unknown key " + strings.Join(e.Key(), ".")}
	}
	var bad *toml.DecodeError
	if errors.As(err, &bad) {
		row, _ := bad.Position()
		what := wrongType.ReplaceAllString(strings.TrimPrefix(bad.Error(), "toml: "), "$1 where $2 is wanted")
		if key := strings.Join(bad.Key(), "."); key != "" {
			what = key + ": " + what
		}
		return &Error{file, fmt.Sprint(row), what}
	}
	return &Error{file, "", err.Error()}
}
