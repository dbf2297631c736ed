package outlier

import (
	"math"
	"slices"

	"github.com/go-faster/errors"

	"clovergap/internal/gateway/logentry"
	"clovergap/internal/gateway/membership"
	"clovergap/internal/gateway/routing"
)

// ErrTextTooLong is returned for an entry that has a text field of more than maxTextBytes.
var ErrTextTooLong = errors.Errorf("text field of the entry is longer than %d bytes", maxTextBytes)

// conflictResult returns routing.Conflict and a field error. This is the result for an entry that does not fit the current state.
func conflictResult(field, format string, args ...any) (routing.Result, error) {
	return routing.Conflict, logentry.FieldErrorf(field, format, args...)
}

// Decide returns the result that Apply would return for an entry now. It does not change the state. The error says why an entry is not
// accepted. The error is a logentry.FieldError or ErrTextTooLong. The error is nil for an accepted or a duplicate entry.
func (s *State) Decide(e *Entry) (routing.Result, error) {
	if e.CallID != "" && slices.Contains(s.CallIDs, e.CallID) {
		return routing.Duplicate, nil
	}
	for _, text := range []string{e.CallID, e.Author, e.Reason, e.Service, string(e.Key.ID)} {
		if len(text) > maxTextBytes {
			return routing.Invalid, ErrTextTooLong
		}
	}
	ejection := s.Ejection(e.Key)
	rev := s.ejectionRevision(e.Key)
	if e.Verb == SetSettings {
		rev = s.SettingsRevision
	}
	byCoordinator := e.Verb != SetSettings && e.Verb != Clear
	switch {
	case byCoordinator != (e.FencingToken > 0):
		return routing.Invalid, logentry.FieldErrorf("fence",
			"fencing token %d with verb %s: the token must be above 0 in an entry of the coordinator and 0 in an entry of an operator",
			e.FencingToken, e.Verb)
	case byCoordinator && e.FencingToken < s.FencingToken:
		return conflictResult("fence", "fencing token %d is lower than the current token %d", e.FencingToken, s.FencingToken)
	case e.Verb == Forget:
		if len(e.GoneInstances) == 0 || len(e.GoneInstances) > maxEjections {
			return routing.Invalid, logentry.FieldErrorf("gone", "the number of gone instances is outside the range from 1 to maxEjections")
		}
		return routing.Accepted, nil
	case e.Revision != rev:
		return conflictResult("rev", "entry has revision %d, the current revision is %d", e.Revision, rev)
	case e.Verb == SetSettings:
		if e.Settings == nil {
			return routing.Invalid, logentry.FieldErrorf("settings", "the entry has no settings")
		}
		settings := *e.Settings
		if err := settings.Normalize(); err != nil {
			return routing.Invalid, err
		}
		return routing.Accepted, nil
	case e.Verb == Eject:
		return s.decideEject(e, ejection)
	case ejection == nil:
		return conflictResult("key", "instance %s has no ejection in mode %s", e.Key.ID, e.Key.Mode)
	case e.Verb == Clear:
		return routing.Accepted, nil
	case e.Verb == StepUp && ejection.Step != InService && ejection.Step.next(ejection.Mode) != InService,
		e.Verb == Readmit && ejection.Step != InService && ejection.Step.next(ejection.Mode) == InService:
		return routing.Accepted, nil
	case e.Verb == StepUp || e.Verb == Readmit:
		return conflictResult("verb", "verb %s is not possible in recovery step %s", e.Verb, ejection.Step)
	}
	return routing.Invalid, logentry.FieldErrorf("verb", "unknown verb %q", e.Verb)
}

// decideEject returns the result for an Eject entry. ejection is the current ejection of the entry's key, or nil if there is none.
func (s *State) decideEject(e *Entry, ejection *Ejection) (routing.Result, error) {
	switch {
	case e.Key.ID == "" || e.Key.Mode >= modeCount || e.Service == "" || e.ReadyBackends < 1:
		return routing.Invalid, logentry.FieldErrorf("key", "an ejection needs an instance, a mode that can be ejected, a service and at least one ready backend")
	case len(e.Witnesses) == 0 || len(e.Witnesses) > maxNamedWitnesses:
		return routing.Invalid, logentry.FieldErrorf("witnesses", "the number of witnesses is outside the range from 1 to maxNamedWitnesses")
	case !s.Enabled():
		return conflictResult("settings", "outlier detection is disabled")
	case ejection != nil && ejection.Step == Ejected:
		return conflictResult("key", "instance %s is already ejected in mode %s", e.Key.ID, e.Key.Mode)
	case ejection == nil && len(s.snapshot.Ejections) >= maxEjections && s.oldestInServiceIndex() < 0:
		return conflictResult("key", "the limit of %d stored ejections is reached, and none of these backends is back in service", maxEjections)
	}
	if _, ok := s.soleWitness(e); !ok {
		return conflictResult("witnesses", "the witnesses do not suffice: their weights sum to less than 2, and none of them may eject this backend alone")
	}
	return routing.Accepted, nil
}

// soleWitness returns the node on whose evidence alone an ejection rests, or NoSlot if the ejection rests on several nodes. ok is false if the
// witnesses do not suffice for an ejection. Several nodes suffice if their weights sum to at least 2. A witness has the weight 1, and each
// refutation halves the weight. A single node suffices if the node is among the first e.Sufficient witnesses and if its ejections as sole witness
// are below the limits of Settings.soleWitnessLimits. These limits bound the effect of a faulty node.
func (s *State) soleWitness(e *Entry) (sole Slot, ok bool) {
	weight := 0.0
	for _, w := range e.Witnesses {
		weight += math.Pow(0.5, float64(s.refutationCount(w)))
	}
	if weight >= 2 {
		return membership.NoSlot, true
	}
	for _, w := range e.Witnesses[:min(max(e.Sufficient, 0), len(e.Witnesses))] {
		ofService, ofAll := 0, 0
		for i := range s.snapshot.Ejections {
			if ejection := &s.snapshot.Ejections[i]; ejection.SoleWitness == w && ejection.Key != e.Key {
				ofAll++
				if ejection.Service == e.Service && ejection.Mode == e.Key.Mode {
					ofService++
				}
			}
		}
		if serviceLimit, totalLimit := s.snapshot.Settings.soleWitnessLimits(e.ReadyBackends, s.refutationCount(w)); ofService < serviceLimit && ofAll < totalLimit {
			return w, true
		}
	}
	return membership.NoSlot, false
}

// refutationCount returns the number of refutations that still count against a witness. The number halves every refutationHalvingPeriod
// revisions of the state.
func (s *State) refutationCount(witness Slot) int {
	for _, t := range s.snapshot.Trust {
		if t.Witness == witness {
			return t.Refuted >> min((s.Revision-t.Rev)/refutationHalvingPeriod, 62)
		}
	}
	return 0
}

// oldestInServiceIndex returns the index of the ejection that changed least recently among the ejections whose backends are back in service.
// It returns -1 if there is no such ejection. This ejection is dropped when too many ejections are stored.
func (s *State) oldestInServiceIndex() int {
	oldest := -1
	for i := range s.snapshot.Ejections {
		if ejection := &s.snapshot.Ejections[i]; ejection.Step == InService && (oldest < 0 || ejection.Rev < s.snapshot.Ejections[oldest].Rev) {
			oldest = i
		}
	}
	return oldest
}
