// Package logentry is what the parts that decide have in common: orders that are checked by their tags, words for the
// ordered log, bounded lists.
package logentry

import (
	"bytes"
	"encoding/gob"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-playground/validator/v10"

	"clovergap/internal/invariant"
)

// Duration is a time that JSON writes as the gateway's other calls do: a number with its unit, ms or s.
type Duration time.Duration

// MarshalText writes milliseconds.
func (d Duration) MarshalText() ([]byte, error) {
	return append(strconv.AppendInt(nil, time.Duration(d).Milliseconds(), 10), "ms"...), nil
}

// UnmarshalText reads what time.ParseDuration reads.
func (d *Duration) UnmarshalText(b []byte) error {
	interval, err := time.ParseDuration(string(b))
	*d = Duration(interval)
	return err
}

var validate = func() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string { return f.Tag.Get("json") })
	return v
}()

// Validate holds an order against its tags and tells the first thing that is wrong, by the name of the field.
func Validate(order any) error {
	var all validator.ValidationErrors
	err := validate.Struct(order)
	if !errors.As(err, &all) {
		return err
	}
	e := all[0]
	_, field, _ := strings.Cut(e.Namespace(), ".")
	return errors.Errorf("%s: %v breaks %s", field, e.Value(), strings.Trim(e.Tag()+" "+e.Param(), " "))
}

// Encode words what is made of texts, numbers and lists of them.
func Encode(v any) []byte {
	var b bytes.Buffer
	if err := gob.NewEncoder(&b).Encode(v); err != nil {
		invariant.That(false, "it can be written")
	}
	return b.Bytes()
}

// Decode reads what Pack wrote; what names it in the error.
func Decode(b []byte, v any, what string) error {
	if err := gob.NewDecoder(bytes.NewReader(b)).Decode(v); err != nil {
		return errors.Wrap(err, what)
	}
	return nil
}

// KeepLast bounds a list to its last ones.
func KeepLast[T any](list []T, most int) []T {
	if len(list) > most {
		return slices.Clone(list[len(list)-most:])
	}
	return list
}
