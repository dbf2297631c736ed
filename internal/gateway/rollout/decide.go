package rollout

import (
	"github.com/go-faster/errors"

	"clovergap/internal/gateway/logentry"
	"clovergap/internal/gateway/routing"
)

// Decide tells what would become of an entry now, and changes nothing. The error says why it isn't taken. A call that seems to have lost a
// race may be one that was taken so long ago that its ID is forgotten: that is Unclear.
func (s *State) Decide(e *Entry) (routing.Result, error) {
	v, err := s.decide(e)
	if v == routing.Conflict && s.mayBeForgotten(e) {
		return routing.Ambiguous, errors.Wrap(err, "not known any more what was taken")
	}
	return v, err
}

// CallApplied reports whether the call of an ID was taken and is not forgotten.
func (s *State) CallApplied(id string) bool { return id != "" && s.appliedCalls.Has(callDigest(id)) }

func callDigest(id string) logentry.Digest { return logentry.DigestOf([]byte(id)) }

// mayBeForgotten reports whether a call that is not known may have been taken.
func (s *State) mayBeForgotten(e *Entry) bool {
	horizon := s.appliedCalls.Horizon()
	if e.CallID == "" || horizon == 0 || s.Run(e.Service) == nil {
		return false
	}
	if e.Verb == Pause || e.Verb == Rollback { // they name no revision
		return e.Number <= s.LastNumber
	}
	return e.Revision < horizon
}

func conflict(field, format string, args ...any) (routing.Result, error) {
	return routing.Conflict, logentry.FieldErrorf(field, format, args...)
}

func (s *State) decide(e *Entry) (routing.Result, error) {
	if s.CallApplied(e.CallID) {
		return routing.Duplicate, nil
	}
	if err := e.Validate(); err != nil {
		return routing.Invalid, err
	}
	r := s.Run(e.Service)
	if e.Verb == Start {
		return s.decideStart(e, r)
	}
	inTime := e.Verb == Rollback || e.Verb == Pause // these never come too late, whatever changed since
	switch {
	case r == nil:
		return conflict("service", "no roll-out of %q", e.Service)
	case e.Number != r.Number:
		return conflict("number", "is %d, but %d is the newest", e.Number, r.Number)
	case r.Phase != Running:
		return conflict("number", "roll-out %d is %s", r.Number, r.Phase)
	case !e.byCoordinator() && e.Revision != r.Revision && !inTime:
		return conflict("rev", "is %d, but %d is current", e.Revision, r.Revision)
	case e.byCoordinator() && e.FencingToken < s.fencingToken:
		return conflict("fence", "is %d, but %d was seen", e.FencingToken, s.fencingToken)
	}
	switch e.Verb {
	case Advance:
		return decideAdvance(e, r)
	case Finish:
		if r.Step < len(r.Spec.Steps) || e.byCoordinator() {
			return conflict("step", "%d of %d is current, only an operator finishes the last", r.Step, len(r.Spec.Steps))
		}
	}
	return routing.Accepted, nil
}

func decideAdvance(e *Entry, r *Run) (routing.Result, error) {
	if e.Step != r.Step+1 || e.Step > len(r.Spec.Steps) {
		return conflict("step", "is %d, %d of %d is current", e.Step, r.Step, len(r.Spec.Steps))
	}
	if e.byCoordinator() && (r.Paused || r.Spec.Advance != AdvanceByTime) {
		return conflict("step", "it waits for an operator's command")
	}
	return routing.Accepted, nil
}

func (s *State) decideStart(e *Entry, r *Run) (routing.Result, error) {
	spec := *e.Spec
	if err := spec.Normalize(); err != nil { // Validate has passed: only the defaults are wanted here
		return routing.Invalid, err
	}
	current := uint64(0)
	if r != nil {
		current = r.Revision
	}
	if e.Revision != current {
		return conflict("rev", "is %d, but %d is current", e.Revision, current)
	}
	if r != nil && r.Phase == Running {
		return conflict("service", "roll-out %d of %q runs", r.Number, e.Service)
	}
	if r == nil && len(s.runs) >= maxServices {
		return routing.Invalid, logentry.FieldErrorf("service", "%d have roll-outs, no more are kept", maxServices)
	}
	if err := spec.CheckCapacity(e.Capacity); err != nil {
		return routing.Invalid, err
	}
	return routing.Accepted, nil
}
