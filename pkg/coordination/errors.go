package coordination

import (
	"fmt"
	"net/http"
	"strings"

	"github.com/go-faster/errors"
)

// Errors of calls.
var (
	// ErrHeld is returned by Lock while another holder may hold the lock.
	ErrHeld = errors.New("another may hold the lock")
	// ErrLost is the cause with which a Session's context ends when its lease has expired, or a node reported it lost.
	ErrLost = errors.New("the lock is lost")
	// ErrFinished is the cause with which a Session's context ends after Finish.
	ErrFinished = errors.New("the lock was given back")
	// ErrNotFound is returned by Get for a key that has no value.
	ErrNotFound = errors.New("the key has no value")
	// ErrCompacted is returned by Watch for a revision below the history that is kept. The caller reads the keys anew, and watches from
	// the current revision on.
	ErrCompacted = errors.New("the history does not reach back so far")
	// ErrInvalid means that the call itself is wrong: too long a name, a lease of no time. The wrapping error has the node's reason.
	ErrInvalid = errors.New("the call is wrong")
	// ErrUnavailable means that no node could serve the call until the context ended. It had no effect.
	ErrUnavailable = errors.New("no node could take the call; nothing was done")
	// ErrUnclear means that the call may have taken effect, or may still do so.
	ErrUnclear = errors.New("the call may have taken effect, or may still")
)

// ConflictError means that a key has another revision than a put expected. It had no effect.
type ConflictError struct {
	Revision uint64 // that the key has; 0: it was never put
}

// Error implements error.
func (c *ConflictError) Error() string { return fmt.Sprintf("the key has revision %d", c.Revision) }

// error is the error of a definite response, nil for success. The status codes are those of api/control.yaml.
func (r *response) error() error {
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
	return errors.Wrapf(ErrInvalid, "status %d: %s", r.status, strings.TrimSpace(string(r.body)))
}
