package logentry

import (
	"bytes"
	"encoding/gob"
	"slices"

	"github.com/go-faster/errors"

	"clovergap/internal/invariant"
)

// Encode encodes an entry or a snapshot by gob. It must be made of texts, numbers, booleans, and structs and lists of them, which
// gob can't fail to encode.
func Encode(v any) []byte {
	var b bytes.Buffer
	err := gob.NewEncoder(&b).Encode(v)
	invariant.Assert(err == nil, "an entry can be encoded")
	return b.Bytes()
}

// Decode reads what Encode wrote. The error begins with what it was that was read.
func Decode(b []byte, v any, what string) error {
	if err := gob.NewDecoder(bytes.NewReader(b)).Decode(v); err != nil {
		return errors.Wrap(err, what)
	}
	return nil
}

// KeepLast bounds a list to its last items.
func KeepLast[T any](list []T, limit int) []T {
	if len(list) > limit {
		return slices.Clone(list[len(list)-limit:])
	}
	return list
}
