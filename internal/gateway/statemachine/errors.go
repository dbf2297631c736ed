package statemachine

import (
	"fmt"

	"github.com/go-faster/errors"
)

// Errors with which Apply rejects an entry. The packages to which Machine dispatches entries have further errors. The control API
// returns the texts of these errors to its callers.
var (
	ErrEmptyEntry   = errors.New("log entry is empty")
	ErrNoSlotLeft   = errors.New("assign slot: no slot is left")
	ErrNoGroupDisks = errors.New("bootstrap coordination groups (logs of locks, counters and keys): entry lists no node with a disk")
)

// UnknownKindError is returned for an entry whose kind this version does not support.
type UnknownKindError struct{ Kind Kind }

// Error returns a message that names the kind by its character.
func (u *UnknownKindError) Error() string {
	return fmt.Sprintf("log entry has unknown kind %q", u.Kind)
}
