package rollout

import (
	"github.com/go-faster/errors"

	"clovergap/internal/gateway/logentry"
	"clovergap/internal/gateway/routing"
)

// Decide returns the result that Apply would have for an entry, but does not change the state. The error says why the entry is not
// accepted. Decide returns routing.Ambiguous instead of routing.Conflict if the entry may repeat a call that was applied so long ago that
// the call's ID is no longer stored.
func (s *State) Decide(e *Entry) (routing.Result, error) {
	v, err := s.decideWithoutHorizon(e)
	if v == routing.Conflict && s.mayHaveBeenApplied(e) {
		return routing.Ambiguous, errors.Wrap(err, "call may have been applied earlier, its ID is no longer stored")
	}
	return v, err
}

// IsCallApplied reports whether the call with an ID was applied and its ID is still stored.
func (s *State) IsCallApplied(id string) bool { return id != "" && s.appliedCalls.Has(callDigest(id)) }

// callDigest returns the digest under which a call ID is stored.
func callDigest(id string) logentry.Digest { return logentry.DigestOf([]byte(id)) }

// mayHaveBeenApplied reports whether an entry's call may have been applied although its ID is no longer stored. The horizon is the
// highest revision whose call ID may have been dropped. An entry that is based on a revision at or above the horizon cannot have created
// a dropped ID.
func (s *State) mayHaveBeenApplied(e *Entry) bool {
	horizon := s.appliedCalls.Horizon()
	if e.CallID == "" || horizon == 0 || s.Run(e.Service) == nil {
		return false
	}
	// Pause and Rollback need not name a revision.
	if e.Verb == Pause || e.Verb == Rollback {
		return e.Number <= s.LastNumber
	}
	return e.Revision < horizon
}

// conflictResult returns routing.Conflict and an error for a field of the entry.
func conflictResult(field, format string, args ...any) (routing.Result, error) {
	return routing.Conflict, logentry.FieldErrorf(field, format, args...)
}

// decideWithoutHorizon returns the result of Decide, except that it returns routing.Conflict where Decide may return routing.Ambiguous.
func (s *State) decideWithoutHorizon(e *Entry) (routing.Result, error) {
	if s.IsCallApplied(e.CallID) {
		return routing.Duplicate, nil
	}
	if err := e.Validate(); err != nil {
		return routing.Invalid, err
	}
	r := s.Run(e.Service)
	if e.Verb == Start {
		return s.decideStart(e, r)
	}
	// Rollback and Pause stay valid after any change to the roll-out.
	ignoresRevision := e.Verb == Rollback || e.Verb == Pause
	switch {
	case r == nil:
		return conflictResult("service", "%q has no roll-out", e.Service)
	case e.Number != r.Number:
		return conflictResult("number", "is %d, but the newest roll-out is %d", e.Number, r.Number)
	case r.Phase != Running:
		return conflictResult("number", "roll-out %d is %s", r.Number, r.Phase)
	case !e.isFromCoordinator() && e.Revision != r.Revision && !ignoresRevision:
		return conflictResult("rev", "is %d, but the current revision is %d", e.Revision, r.Revision)
	case e.isFromCoordinator() && e.FencingToken < s.fencingToken:
		return conflictResult("fence", "is %d, but an entry with token %d was already applied", e.FencingToken, s.fencingToken)
	}
	switch e.Verb {
	case Advance:
		return decideAdvance(e, r)
	case Finish:
		if r.Step < len(r.Spec.Steps) || e.isFromCoordinator() {
			return conflictResult("step", "current step is %d of %d, and only an operator may finish the last step", r.Step, len(r.Spec.Steps))
		}
	}
	return routing.Accepted, nil
}

// decideAdvance decides on an Advance entry for the running roll-out r.
func decideAdvance(e *Entry, r *Run) (routing.Result, error) {
	if e.Step != r.Step+1 || e.Step > len(r.Spec.Steps) {
		return conflictResult("step", "is %d, but the current step is %d of %d", e.Step, r.Step, len(r.Spec.Steps))
	}
	if e.isFromCoordinator() && (r.Paused || r.Spec.Advance != AdvanceByTime) {
		return conflictResult("step", "next step waits for an operator's command")
	}
	return routing.Accepted, nil
}

// decideStart decides on a Start entry. r is the newest roll-out of the service, or nil if there is none.
func (s *State) decideStart(e *Entry, r *Run) (routing.Result, error) {
	spec := *e.Spec
	// Validate has already checked the spec, so this call only sets the defaults.
	if err := spec.Normalize(); err != nil {
		return routing.Invalid, err
	}
	current := uint64(0)
	if r != nil {
		current = r.Revision
	}
	if e.Revision != current {
		return conflictResult("rev", "is %d, but the current revision is %d", e.Revision, current)
	}
	if r != nil && r.Phase == Running {
		return conflictResult("service", "roll-out %d of %q is still running", r.Number, e.Service)
	}
	if r == nil && len(s.runs) >= maxServices {
		return routing.Invalid, logentry.FieldErrorf("service", "%d services have roll-outs, which is the limit", maxServices)
	}
	if err := spec.CheckCapacity(e.Capacity); err != nil {
		return routing.Invalid, err
	}
	return routing.Accepted, nil
}
