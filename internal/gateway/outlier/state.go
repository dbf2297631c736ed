package outlier

import (
	"slices"

	"clovergap/internal/gateway/logentry"
	"clovergap/internal/gateway/membership"
	"clovergap/internal/gateway/routing"
	"clovergap/internal/invariant"
)

// Bounds of the stored state.
const (
	// The maximum number of stored ejections.
	maxEjections = 1024
	// The maximum number of entries in the history.
	maxHistory = 256
	// The number of the newest call IDs that are stored for deduplication.
	maxCallIDs = 256
	// The maximum length of each text in an entry.
	maxTextBytes = 256
	// The maximum number of witnesses whose refutations are stored.
	maxTrust = 1024
	// The maximum of Ejection.Repeats.
	maxRepeats = 16
	// The maximum number of witnesses in an Eject entry.
	maxNamedWitnesses = 8
	// After this number of revisions of the state, only half of a witness's refutations count. Each entry raises the revision by one. About
	// five ejections with their recoveries take this number of entries.
	refutationHalvingPeriod = 24
)

// State is the replicated state that results from the entries of the log. It is the same on all nodes.
type State struct{ snapshot }

// snapshot is the stored form of the state. Gob stores the names of the fields. Therefore no field may be renamed.
type snapshot struct {
	Settings         Settings
	SettingsRevision uint64
	Ejections        []Ejection // Ordered by key.
	History          []HistoryEntry
	Trust            []Trust
	Revision         uint64
	FencingToken     uint64
	CallIDs          []string
}

// NewState returns the state before the first entry.
func NewState() *State { return &State{snapshot{Settings: DefaultSettings()}} }

// Enabled reports whether outlier detection is enabled. If not, nothing is observed, reported or ejected.
func (s *State) Enabled() bool { return s.snapshot.Settings.Enabled }

// Settings returns the current settings. The caller must not change them.
func (s *State) Settings() *Settings { return &s.snapshot.Settings }

// Ejections returns all ejections, ordered by key. The caller must not change them.
func (s *State) Ejections() []Ejection { return s.snapshot.Ejections }

// History returns the history, oldest entry first. The caller must not change it.
func (s *State) History() []HistoryEntry { return s.snapshot.History }

// Ejection returns the ejection of a key, or nil if none is stored. The caller must not change it.
func (s *State) Ejection(k Key) *Ejection {
	if i, ok := s.findEjection(k); ok {
		return &s.snapshot.Ejections[i]
	}
	return nil
}

// ejectionRevision returns the revision of a key's ejection, or 0 if no ejection is stored. Only evidence that was observed under this revision
// counts.
func (s *State) ejectionRevision(k Key) uint64 {
	if ejection := s.Ejection(k); ejection != nil {
		return ejection.Rev
	}
	return 0
}

// findEjection returns the index of a key's ejection and true. If no ejection is stored, it returns the index at which to insert one and false.
func (s *State) findEjection(k Key) (int, bool) {
	return slices.BinarySearchFunc(s.snapshot.Ejections, k, func(ejection Ejection, k Key) int { return ejection.compare(k) })
}

// recordRefutation records a refutation of a witness. A refutation means that a backend that was ejected on the evidence of this witness alone
// came back into service, and that no other node had confirmed the evidence.
func (s *State) recordRefutation(witness Slot) {
	n := s.refutationCount(witness) + 1
	s.snapshot.Trust = slices.DeleteFunc(s.snapshot.Trust, func(t Trust) bool { return t.Witness == witness })
	s.snapshot.Trust = logentry.KeepLast(append(s.snapshot.Trust, Trust{witness, n, s.Revision}), maxTrust)
}

// Apply applies an entry if Decide accepts it. It returns the result and the error of Decide.
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
		invariant.Assert(err == nil, "the settings of an accepted entry are valid")
	case Forget:
		s.snapshot.Ejections = slices.DeleteFunc(s.snapshot.Ejections, func(ejection Ejection) bool { return slices.Contains(e.GoneInstances, ejection.ID) })
	case Eject:
		s.applyEject(e)
		step = Ejected
	default:
		ejection := s.Ejection(e.Key)
		if e.Verb == Readmit && ejection.SoleWitness != membership.NoSlot {
			s.recordRefutation(ejection.SoleWitness)
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

// applyEject starts an ejection. If maxEjections ejections are stored, the ejection at oldestInServiceIndex is dropped.
func (s *State) applyEject(e *Entry) {
	sole, _ := s.soleWitness(e)
	i, exists := s.findEjection(e.Key)
	if !exists {
		if len(s.snapshot.Ejections) >= maxEjections {
			oldest := s.oldestInServiceIndex()
			s.snapshot.Ejections = slices.Delete(s.snapshot.Ejections, oldest, oldest+1)
			i, _ = s.findEjection(e.Key)
		}
		s.snapshot.Ejections = slices.Insert(s.snapshot.Ejections, i, Ejection{Key: e.Key, Repeats: -1})
	}
	ejection := &s.snapshot.Ejections[i]
	ejection.Service, ejection.Step, ejection.Rev, ejection.SoleWitness, ejection.Score, ejection.Reason = e.Service, Ejected, s.Revision, sole, e.Score, e.Reason
	ejection.Repeats = min(ejection.Repeats+1, maxRepeats)
}

// Snapshot returns the encoded state. Equal states have equal snapshots.
func (s *State) Snapshot() []byte { return logentry.Encode(s.snapshot) }

// Restore decodes a snapshot. For an empty snapshot it returns the state before the first entry.
func Restore(b []byte) (*State, error) {
	s := NewState()
	if len(b) == 0 {
		return s, nil
	}
	s.snapshot = snapshot{}
	return s, logentry.Decode(b, &s.snapshot, "decode outlier snapshot")
}
