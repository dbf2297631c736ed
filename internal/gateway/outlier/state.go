package outlier

import (
	"slices"

	"clovergap/internal/gateway/logentry"
	"clovergap/internal/gateway/membership"
	"clovergap/internal/gateway/routing"
	"clovergap/internal/invariant"
)

// Bounds of the state.
const (
	maxEjections       = 1024
	maxHistory         = 256 // entries
	maxCallIDs         = 256
	maxTextBytes       = 256
	maxTrust           = 1024
	maxRepeats         = 16
	maxNamedWitnesses  = 8
	refutationHalfLife = 24 // entries, some five ejections with their ways back, after which half of the refutations is forgiven
)

// State is what the replicated log's entries come to: the same at all nodes.
type State struct{ snapshot }

// snapshot is the state as it is stored. Gob goes by these names.
type snapshot struct {
	Settings         Settings
	SettingsRevision uint64
	Ejections        []Ejection // by key
	History          []HistoryEntry
	Trust            []Trust
	Revision         uint64
	FencingToken     uint64
	CallIDs          []string
}

// NewState is that before the first entry.
func NewState() *State { return &State{snapshot{Settings: DefaultSettings()}} }

// Enabled reports whether anything is observed, reported or ejected.
func (s *State) Enabled() bool { return s.snapshot.Settings.Enabled }

// Settings are those in force; not to be changed.
func (s *State) Settings() *Settings { return &s.snapshot.Settings }

// Ejections are all, by key; not to be changed.
func (s *State) Ejections() []Ejection { return s.snapshot.Ejections }

// History is the history, oldest first; not to be changed.
func (s *State) History() []HistoryEntry { return s.snapshot.History }

// Ejection of a key, nil if it was never ejected; not to be changed.
func (s *State) Ejection(k Key) *Ejection {
	if i, ok := s.find(k); ok {
		return &s.snapshot.Ejections[i]
	}
	return nil
}

// revision under which a key's evidence is gathered now; 0 if it was never ejected.
func (s *State) revision(k Key) uint64 {
	if ejection := s.Ejection(k); ejection != nil {
		return ejection.Rev
	}
	return 0
}

func (s *State) find(k Key) (int, bool) {
	return slices.BinarySearchFunc(s.snapshot.Ejections, k, func(ejection Ejection, k Key) int { return ejection.compare(k) })
}

// refute notes that what was ejected on one witness alone came back, and no other node had seen anything.
func (s *State) refute(w Slot) {
	n := s.refutations(w) + 1
	s.snapshot.Trust = slices.DeleteFunc(s.snapshot.Trust, func(t Trust) bool { return t.Witness == w })
	s.snapshot.Trust = logentry.KeepLast(append(s.snapshot.Trust, Trust{w, n, s.Revision}), maxTrust)
}

// Apply carries an entry out if Decide takes it, and gives Decide's verdict.
func (s *State) Apply(e *Entry) (routing.Result, error) {
	if result, err := s.Decide(e); result != routing.Accepted {
		return result, err
	}
	s.Revision++
	s.FencingToken = max(s.FencingToken, e.FencingToken)
	if e.CallID != "" {
		s.CallIDs = logentry.KeepLast(append(s.CallIDs, e.CallID), maxCallIDs)
	}
	step := InService
	switch e.Verb {
	case SetSettings:
		s.snapshot.Settings, s.SettingsRevision = *e.Settings, s.Revision
		err := s.snapshot.Settings.Normalize()
		invariant.Assert(err == nil, "settings that were taken are sound")
	case Forget:
		s.snapshot.Ejections = slices.DeleteFunc(s.snapshot.Ejections, func(ejection Ejection) bool { return slices.Contains(e.GoneInstances, ejection.ID) })
	case Eject:
		s.eject(e)
		step = Ejected
	default:
		ejection := s.Ejection(e.Key)
		if e.Verb == Readmit && ejection.SoleWitness != membership.NoSlot {
			s.refute(ejection.SoleWitness)
		}
		if e.Verb == StepUp {
			step = ejection.Step.next(ejection.Mode)
		} else {
			ejection.SoleWitness = membership.NoSlot
		}
		if ejection.Step, ejection.Rev = step, s.Revision; e.Verb == Clear {
			ejection.Repeats = 0
		}
	}
	s.snapshot.History = logentry.KeepLast(append(s.snapshot.History, HistoryEntry{e.Verb, e.Key, step, e.Author, e.UnixMilli, e.Reason, e.Witnesses}), maxHistory)
	return routing.Accepted, nil
}

// eject begins an ejection, in the place of the oldest that is over where there are too many.
func (s *State) eject(e *Entry) {
	sole, _ := s.soleWitness(e)
	i, exists := s.find(e.Key)
	if !exists {
		if len(s.snapshot.Ejections) >= maxEjections {
			oldest := s.oldestInService()
			s.snapshot.Ejections = slices.Delete(s.snapshot.Ejections, oldest, oldest+1)
			i, _ = s.find(e.Key)
		}
		s.snapshot.Ejections = slices.Insert(s.snapshot.Ejections, i, Ejection{Key: e.Key, Repeats: -1})
	}
	ejection := &s.snapshot.Ejections[i]
	ejection.Service, ejection.Step, ejection.Rev, ejection.SoleWitness, ejection.Score, ejection.Reason = e.Service, Ejected, s.Revision, sole, e.Score, e.Reason
	ejection.Repeats = min(ejection.Repeats+1, maxRepeats)
}

// Snapshot encodes the state.
func (s *State) Snapshot() []byte { return logentry.Encode(s.snapshot) }

// Restore decodes one; nothing at all is the state before the first entry.
func Restore(b []byte) (*State, error) {
	s := NewState()
	if len(b) == 0 {
		return s, nil
	}
	s.snapshot = snapshot{}
	return s, logentry.Decode(b, &s.snapshot, "snapshot of outlier")
}
