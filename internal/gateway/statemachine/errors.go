package statemachine

import (
	"fmt"

	"github.com/go-faster/errors"
)

// These errors are the reasons why Apply rejects an entry, apart from the errors of the packages to which Machine dispatches
// entries. Callers of the control API see their texts.
var (
	ErrEmptyEntry   = errors.New("log entry is empty")
	ErrNoSlotLeft   = errors.New("assign slot: no slot is left")
	ErrNoGroupDisks = errors.New("bootstrap coordination groups: entry names no disk")
)

// UnknownKindError is returned for an entry of a kind that this version does not know.
type UnknownKindError struct{ Kind Kind }

// Error returns a message that names the kind by its character.
func (u *UnknownKindError) Error() string {
	return fmt.Sprintf("log entry has unknown kind %q", u.Kind)
}
