package logentry

import (
	"bytes"
	"encoding/gob"
	"slices"

	"github.com/go-faster/errors"

	"clovergap/internal/invariant"
)

// Encode encodes an entry or a snapshot with gob. The value must consist of strings, numbers, booleans, and structs and slices of
// these, for which gob encoding cannot fail.
func Encode(v any) []byte {
	var b bytes.Buffer
	err := gob.NewEncoder(&b).Encode(v)
	invariant.Assert(err == nil, "gob encodes every log entry and snapshot")
	return b.Bytes()
}

// Decode decodes into v what Encode returned. The message of an error begins with what, which says what was read.
func Decode(b []byte, v any, what string) error {
	if err := gob.NewDecoder(bytes.NewReader(b)).Decode(v); err != nil {
		return errors.Wrap(err, what)
	}
	return nil
}

// KeepLast returns the last items of a list, at most limit of them.
func KeepLast[T any](list []T, limit int) []T {
	if len(list) > limit {
		return slices.Clone(list[len(list)-limit:])
	}
	return list
}
