package rollout

import (
	"github.com/go-faster/errors"

	"clovergap/internal/gateway/logentry"
)

// Verb is what an entry does.
type Verb string

// An operator may use all, the coordinator Advance and Rollback, and Pause where there is no baseline to go back to. The texts are
// stored, and those of the operators' calls.
const (
	Start    Verb = "start"
	Advance  Verb = "step"
	Pause    Verb = "hold"
	Rollback Verb = "pull-back"
	Finish   Verb = "finish"
)

// Entry is an operator's command or the coordinator's verdict, as the replicated log has it. An operator's names the revision that it builds on,
// so that of two at once one wins; the coordinator's names the step that was evaluated, under its fencing token. stored.go has its form
// in the log.
type Entry struct {
	Verb         Verb
	Service      string
	CallID       string // the call's ID: the same call again is answered as the first was
	Author       string // author, for the history
	UnixMilli    int64  // milliseconds since 1970, for the history alone
	Reason       string
	Revision     uint64 // operators: revision of the service's newest roll-out, 0 if there was none. Pause and Rollback don't need it
	Number       Number // all but Start
	Step         int    // Advance: the step to go to, from 1. The coordinator: the step evaluated, or to go to
	FencingToken uint64 // the coordinator's fencing token, 1 or more. 0: an operator
	Spec         *Spec
	Capacity     Capacity // Start: as the node that took the call knew it
	Counts       Counts   // of the step so far, as the coordinator has them
}

// maxTextBytes bounds each text of an entry.
const maxTextBytes = 512

// What an entry may be refused for by itself.
var (
	ErrTextTooLong = errors.Errorf("a text is longer than %d bytes", maxTextBytes)
	ErrNoSpec      = errors.New("order: missing, or of another service")
)

// byCoordinator reports whether the coordinator has made an entry.
func (e *Entry) byCoordinator() bool { return e.FencingToken != 0 }

// Validate checks an entry by itself, whatever the state: the error is one of the above or a logentry.FieldError.
func (e *Entry) Validate() error {
	for _, text := range []string{e.Service, e.Author, e.Reason, e.CallID} {
		if len(text) > maxTextBytes {
			return ErrTextTooLong
		}
	}
	switch e.Verb {
	case Start:
		if e.Spec == nil || e.Spec.Service != e.Service || e.byCoordinator() {
			return ErrNoSpec
		}
		spec := *e.Spec
		return spec.Normalize()
	case Advance, Pause, Rollback, Finish:
		return nil
	}
	return logentry.FieldErrorf("verb", "no %q", e.Verb)
}
