package statemachine

import (
	"fmt"

	"github.com/go-faster/errors"
)

// Why Apply refuses an entry, beside what the parts that it directs entries to return. Callers of the control API see the texts.
var (
	ErrEmptyEntry   = errors.New("empty entry")
	ErrNoSlotLeft   = errors.New("no slot is left")
	ErrNoGroupDisks = errors.New("groups without a disk")
)

// UnknownKindError is returned for an entry of a kind that this version does not know.
type UnknownKindError struct{ Kind Kind }

// Error names the kind by its character.
func (u *UnknownKindError) Error() string { return fmt.Sprintf("entry of unknown kind %q", u.Kind) }
