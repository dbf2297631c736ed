package coordination

import (
	"fmt"
	"net/http"
	"strings"

	"github.com/go-faster/errors"
)

// Errors that calls and sessions return.
var (
	// ErrHeld is returned by Lock while another holder may hold the lock.
	ErrHeld = errors.New("lock may be held by another holder")
	// ErrLost is the cause with which a Session's context ends when its lease has expired or a node reports that the lock is lost.
	ErrLost = errors.New("lock is lost")
	// ErrFinished is the cause with which a Session's context ends after Finish.
	ErrFinished = errors.New("lock was released by Finish")
	// ErrNotFound is returned by Get for a key that has no value.
	ErrNotFound = errors.New("key has no value")
	// ErrCompacted is returned by Watch for a revision that is older than the retained history. The caller should read the keys again and
	// watch from the current revision.
	ErrCompacted = errors.New("watch revision is older than the retained history")
	// ErrInvalid means that a node rejected the call as invalid, for example because a name is too long or a lease is zero. The error that
	// wraps ErrInvalid contains the reason that the node gave.
	ErrInvalid = errors.New("call is invalid")
	// ErrUnavailable means that no node could serve the call before the context ended. The call had no effect and will have none later.
	ErrUnavailable = errors.New("no node could serve the call, and the call had no effect")
	// ErrUnclear means that the context ended without a definite response. The call may have taken effect or may still take effect.
	ErrUnclear = errors.New("call may have taken effect or may still take effect")
)

// ConflictError means that the current revision of a key differs from the revision that a conditional put expected. The put had no effect.
type ConflictError struct {
	// Revision is the current revision of the key, or 0 if the key was never put.
	Revision uint64
}

// Error returns a message with the current revision of the key.
func (c *ConflictError) Error() string {
	return fmt.Sprintf("conditional put failed: current revision of the key is %d", c.Revision)
}

// errorForStatus returns the error that corresponds to the status of a definite response, or nil for success. api/control.yaml defines the
// status codes.
func (r *response) errorForStatus() error {
	switch r.status {
	case http.StatusOK:
		return nil
	case http.StatusConflict:
		return ErrHeld
	case http.StatusPreconditionFailed:
		var current Value
		if err := r.decode(&current); err != nil {
			return err
		}
		return &ConflictError{Revision: current.Revision}
	case http.StatusNotFound:
		return ErrNotFound
	case http.StatusGone:
		return ErrCompacted
	}
	return errors.Wrapf(ErrInvalid, "node answered with status %d: %s", r.status, strings.TrimSpace(string(r.body)))
}
