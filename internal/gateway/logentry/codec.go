package logentry

import (
	"bytes"
	"encoding/gob"
	"slices"

	"github.com/go-faster/errors"

	"clovergap/internal/invariant"
)

// Encode returns the gob encoding of an entry or a snapshot. The value must consist of strings, numbers, booleans, and structs and
// slices of these, because gob cannot fail to encode such a value.
func Encode(v any) []byte {
	var b bytes.Buffer
	err := gob.NewEncoder(&b).Encode(v)
	invariant.Assert(err == nil, "gob encoding of a log entry or snapshot does not fail")
	return b.Bytes()
}

// Decode decodes a value that Encode encoded, and stores it in v. The argument operation describes the operation, such as
// "read snapshot". The message of an error begins with this description.
func Decode(b []byte, v any, operation string) error {
	if err := gob.NewDecoder(bytes.NewReader(b)).Decode(v); err != nil {
		return errors.Wrap(err, operation)
	}
	return nil
}

// KeepLast returns the last limit items of a list, or the whole list if it has no more than limit items.
func KeepLast[T any](list []T, limit int) []T {
	if len(list) > limit {
		return slices.Clone(list[len(list)-limit:])
	}
	return list
}
