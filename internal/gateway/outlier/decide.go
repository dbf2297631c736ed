package outlier

import (
	"math"
	"slices"

	"github.com/go-faster/errors"

	"clovergap/internal/gateway/logentry"
	"clovergap/internal/gateway/membership"
	"clovergap/internal/gateway/routing"
)

// ErrTextTooLong refuses an entry with a text of more than maxTextBytes.
var ErrTextTooLong = errors.Errorf("a text is longer than %d bytes", maxTextBytes)

// conflict refuses an entry that builds on another state than the present one.
func conflict(field, format string, args ...any) (routing.Result, error) {
	return routing.Conflict, logentry.FieldErrorf(field, format, args...)
}

// Decide tells what would become of an entry now, and changes nothing. The error, a
// logentry.FieldError or ErrTextTooLong, says why it isn't taken.
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
	rev := s.revision(e.Key)
	if e.Verb == SetSettings {
		rev = s.SettingsRevision
	}
	byCoordinator := e.Verb != SetSettings && e.Verb != Clear
	switch {
	case byCoordinator != (e.FencingToken > 0):
		return routing.Invalid, logentry.FieldErrorf("fence", "%d is not that of who may %s", e.FencingToken, e.Verb)
	case byCoordinator && e.FencingToken < s.FencingToken:
		return conflict("fence", "is %d, but %d was seen", e.FencingToken, s.FencingToken)
	case e.Verb == Forget:
		if len(e.GoneInstances) == 0 || len(e.GoneInstances) > maxEjections {
			return routing.Invalid, logentry.FieldErrorf("gone", "names no instance, or too many")
		}
		return routing.Accepted, nil
	case e.Revision != rev:
		return conflict("rev", "is %d, but %d is current", e.Revision, rev)
	case e.Verb == SetSettings:
		if e.Settings == nil {
			return routing.Invalid, logentry.FieldErrorf("settings", "missing")
		}
		settings := *e.Settings
		if err := settings.Normalize(); err != nil {
			return routing.Invalid, err
		}
		return routing.Accepted, nil
	case e.Verb == Eject:
		return s.decideEject(e, ejection)
	case ejection == nil:
		return conflict("key", "%s was never convicted as %s", e.Key.ID, e.Key.Mode)
	case e.Verb == Clear:
		return routing.Accepted, nil
	case e.Verb == StepUp && ejection.Step != InService && ejection.Step.next(ejection.Mode) != InService,
		e.Verb == Readmit && ejection.Step != InService && ejection.Step.next(ejection.Mode) == InService:
		return routing.Accepted, nil
	case e.Verb == StepUp || e.Verb == Readmit:
		return conflict("verb", "no %s from %s", e.Verb, ejection.Step)
	}
	return routing.Invalid, logentry.FieldErrorf("verb", "no %q", e.Verb)
}

// decideEject decides on an entry that ejects.
func (s *State) decideEject(e *Entry, ejection *Ejection) (routing.Result, error) {
	switch {
	case e.Key.ID == "" || e.Key.Mode >= modeCount || e.Service == "" || e.ReadyBackends < 1:
		return routing.Invalid, logentry.FieldErrorf("key", "names no backend of a service")
	case len(e.Witnesses) == 0 || len(e.Witnesses) > maxNamedWitnesses:
		return routing.Invalid, logentry.FieldErrorf("witnesses", "none, or too many")
	case !s.Enabled():
		return conflict("settings", "nothing is judged")
	case ejection != nil && ejection.Step == Ejected:
		return conflict("key", "%s is out as %s", e.Key.ID, e.Key.Mode)
	case ejection == nil && len(s.snapshot.Ejections) >= maxEjections && s.oldestInService() < 0:
		return conflict("key", "%d cases are kept, and none of them is free", maxEjections)
	}
	if _, ok := s.soleWitness(e); !ok {
		return conflict("witnesses", "not two that are trusted, and no one may have more out alone")
	}
	return routing.Accepted, nil
}

// soleWitness tells on whose evidence alone an ejection is, or NoSlot where it is on several: a refuted witness weighs half of one each time.
// What one alone may have ejected is the bound on a node that is wrong.
func (s *State) soleWitness(e *Entry) (sole Slot, ok bool) {
	weight := 0.0
	for _, w := range e.Witnesses {
		weight += math.Pow(0.5, float64(s.refutations(w)))
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
		if serviceLimit, totalLimit := s.snapshot.Settings.soleWitnessLimits(e.ReadyBackends, s.refutations(w)); ofService < serviceLimit && ofAll < totalLimit {
			return w, true
		}
	}
	return membership.NoSlot, false
}

// refutations are what is held against a witness now.
func (s *State) refutations(w Slot) int {
	for _, t := range s.snapshot.Trust {
		if t.Witness == w {
			return t.Refuted >> min((s.Revision-t.Rev)/refutationHalfLife, 62)
		}
	}
	return 0
}

// oldestInService is the ejection to drop where there are too many; -1: none.
func (s *State) oldestInService() int {
	oldest := -1
	for i := range s.snapshot.Ejections {
		if ejection := &s.snapshot.Ejections[i]; ejection.Step == InService && (oldest < 0 || ejection.Rev < s.snapshot.Ejections[oldest].Rev) {
			oldest = i
		}
	}
	return oldest
}
