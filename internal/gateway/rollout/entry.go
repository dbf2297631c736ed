package rollout

import (
	"github.com/go-faster/errors"

	"clovergap/internal/gateway/logentry"
)

// Verb names the operation of an entry.
type Verb string

// The operations. An operator may use all of them. The coordinator uses Advance and Rollback, and Pause if the baseline has no backend
// to roll back to. The values are stored in the log and used in operators' calls.
const (
	Start    Verb = "start"
	Advance  Verb = "step"
	Pause    Verb = "hold"
	Rollback Verb = "pull-back"
	Finish   Verb = "finish"
)

// Entry is an operator's command or a coordinator's decision in the replicated log. An operator's entry names the revision that it
// is based on, so that only one of two concurrent commands succeeds. A coordinator's entry names the step that was evaluated and
// carries the coordinator's fencing token. The storedEntry type defines the encoding in the log.
type Entry struct {
	Verb      Verb
	Service   string
	CallID    string // ID of the call; a repeated call gets the result of the first one
	Author    string // shown in the history
	UnixMilli int64  // Unix time in milliseconds, only for the history
	Reason    string
	// Revision is the revision of the service's newest roll-out that an operator's entry is based on, or 0 if there was none. Pause and
	// Rollback do not need it.
	Revision uint64
	// Number identifies the roll-out that the entry applies to. Start does not use Number.
	Number Number
	// Step is the step to advance to in an Advance entry. In any other entry it is the step that the coordinator evaluated. Steps count
	// from 1.
	Step int
	// FencingToken is the coordinator's fencing token, 1 or more. It is 0 in an operator's entry.
	FencingToken uint64
	Spec         *Spec // only for Start
	// Capacity is set only for Start. It is the capacity of the service's backends as known to the node that received the call.
	Capacity Capacity
	// Counts holds the outcomes of the current step that had been reported to the coordinator when it proposed the entry.
	Counts Counts
}

// maxTextBytes is the maximum length of each text field of an entry.
const maxTextBytes = 512

// Errors of Entry.Validate.
var (
	// ErrTextTooLong means that a text field is longer than maxTextBytes.
	ErrTextTooLong = errors.Errorf("text field of a roll-out entry is longer than %d bytes", maxTextBytes)
	// ErrNoSpec means that a Start entry has no spec, has a spec for another service, or has a fencing token, which only a coordinator's
	// entries have. The API calls the spec order.
	ErrNoSpec = errors.New("order: missing, or for another service")
)

// isFromCoordinator reports whether a coordinator proposed the entry.
func (e *Entry) isFromCoordinator() bool { return e.FencingToken != 0 }

// Validate checks the fields of an entry, independent of the state. It returns ErrTextTooLong, ErrNoSpec or a logentry.FieldError.
func (e *Entry) Validate() error {
	for _, text := range []string{e.Service, e.Author, e.Reason, e.CallID} {
		if len(text) > maxTextBytes {
			return ErrTextTooLong
		}
	}
	switch e.Verb {
	case Start:
		if e.Spec == nil || e.Spec.Service != e.Service || e.isFromCoordinator() {
			return ErrNoSpec
		}
		spec := *e.Spec
		return spec.Normalize()
	case Advance, Pause, Rollback, Finish:
		return nil
	}
	return logentry.FieldErrorf("verb", "%q is unknown", e.Verb)
}
