package rollout

import "clovergap/internal/gateway/logentry"

// Types that gob encodes for the log, for snapshots and for reports. Gob identifies fields by name, and other versions of the program
// read the data. These field names must therefore not change, even if the corresponding fields of other types are renamed. Spec and its
// parts are stored without conversion, so their field names must not change either. A comment at a field contains the name of the
// corresponding field in the type that the rest of the package uses.
type (
	storedEntry struct {
		Verb    Verb
		Service string
		Mark    string // CallID
		By      string // Author
		At      int64  // UnixMilli
		Why     string // Reason
		Rev     uint64 // Revision
		Number  Number
		Step    int
		Fence   uint64 // FencingToken
		Order   *Spec
		Room    storedCapacity
		Counts  storedCounts
	}
	storedState struct {
		Runs  []storedRun
		Ended []storedRun
		Last  Number
		Rev   uint64   // Revision
		Fence uint64   // fencingToken
		Marks []string // IDs of the last maxStoredCalls calls, in snapshots of earlier versions without Window

		Window []byte // encoded logentry.DedupWindow of call IDs, by the revision that each call created
	}
	storedRun struct {
		Number  Number
		Rev     uint64 // Revision
		Order   Spec
		Room    storedCapacity
		Phase   Phase
		Step    int
		Held    bool // Paused
		History []storedHistory
	}
	storedHistory struct {
		Verb   Verb
		Step   int
		Share  int
		By     string // Author
		At     int64  // UnixMilli
		Why    string // Reason
		Counts storedCounts
	}
	storedCapacity struct{ Old, New, Busy int } // Baseline, Canary, PeakInUse
	storedCounts   [2][2]storedTally
	storedTally    struct {
		Ends  uint32                 // Outcomes
		By    [causeCount]uint32     // ByCause
		Times [LatencyBuckets]uint32 // Latencies
	}
)

// WireReport is the form of a Report that gob encodes.
type WireReport struct {
	Service  string
	Number   Number
	Step     int
	Lap      int
	Life     uint64 // Incarnation
	Seq      uint64
	Zone     string
	Alone    bool // RolledBack
	Backs    int  // CanaryBackends
	Counts   storedCounts
	Evidence []byte
}

// maxStoredCalls is the maximum number of call IDs in a snapshot of an earlier version. That version dropped older IDs.
const maxStoredCalls = 256

// newStoredCounts converts counts to their stored form.
func newStoredCounts(c *Counts) (stored storedCounts) {
	for side := range c {
		for kind := range c[side] {
			t := &c[side][kind]
			stored[side][kind] = storedTally{Ends: t.Outcomes, By: t.ByCause, Times: t.Latencies}
		}
	}
	return stored
}

func (s *storedCounts) toCounts() (c Counts) {
	for side := range s {
		for kind := range s[side] {
			t := &s[side][kind]
			c[side][kind] = Tally{Outcomes: t.Ends, ByCause: t.By, Latencies: t.Times}
		}
	}
	return c
}

func newStoredCapacity(c Capacity) storedCapacity {
	return storedCapacity{c.Baseline, c.Canary, c.PeakInUse}
}

func (s storedCapacity) toCapacity() Capacity { return Capacity{s.Old, s.New, s.Busy} }

// Encode returns the entry in its log encoding.
func (e *Entry) Encode() []byte {
	return logentry.Encode(storedEntry{Verb: e.Verb, Service: e.Service, Mark: e.CallID, By: e.Author, At: e.UnixMilli, Why: e.Reason, Rev: e.Revision,
		Number: e.Number, Step: e.Step, Fence: e.FencingToken, Order: e.Spec, Room: newStoredCapacity(e.Capacity), Counts: newStoredCounts(&e.Counts)})
}

// DecodeEntry decodes the result of Encode.
func DecodeEntry(b []byte) (*Entry, error) {
	var s storedEntry
	err := logentry.Decode(b, &s, "entry of a roll-out")
	return &Entry{Verb: s.Verb, Service: s.Service, CallID: s.Mark, Author: s.By, UnixMilli: s.At, Reason: s.Why, Revision: s.Rev,
		Number: s.Number, Step: s.Step, FencingToken: s.Fence, Spec: s.Order, Capacity: s.Room.toCapacity(), Counts: s.Counts.toCounts()}, err
}

// Wire returns the report in the form that is sent between nodes.
func (r *Report) Wire() *WireReport {
	return &WireReport{Service: r.Service, Number: r.Number, Step: r.Step, Lap: r.Lap, Life: r.Incarnation, Seq: r.Seq, Zone: r.Zone,
		Alone: r.RolledBack, Backs: r.CanaryBackends, Counts: newStoredCounts(&r.Counts), Evidence: r.Evidence}
}

// Report converts a received report back.
func (w *WireReport) Report() Report {
	return Report{Service: w.Service, Number: w.Number, Step: w.Step, Lap: w.Lap, Incarnation: w.Life, Seq: w.Seq, Zone: w.Zone,
		RolledBack: w.Alone, CanaryBackends: w.Backs, Counts: w.Counts.toCounts(), Evidence: w.Evidence}
}

// newStoredRuns converts roll-outs to their stored form. It returns nil if there are none. Gob decodes an empty slice as nil, so an empty
// slice here would make a restored state differ from the original.
func newStoredRuns(runs []Run) (stored []storedRun) {
	for i := range runs {
		r := &runs[i]
		s := storedRun{Number: r.Number, Rev: r.Revision, Order: r.Spec, Room: newStoredCapacity(r.Capacity), Phase: r.Phase, Step: r.Step, Held: r.Paused}
		for j := range r.History {
			h := &r.History[j]
			s.History = append(s.History, storedHistory{Verb: h.Verb, Step: h.Step, Share: h.Share, By: h.Author, At: h.UnixMilli, Why: h.Reason,
				Counts: newStoredCounts(&h.Counts)})
		}
		stored = append(stored, s)
	}
	return stored
}

// runsFromStored converts stored roll-outs back. It returns nil if there are none.
func runsFromStored(stored []storedRun) (runs []Run) {
	for i := range stored {
		s := &stored[i]
		r := Run{Number: s.Number, Revision: s.Rev, Spec: s.Order, Capacity: s.Room.toCapacity(), Phase: s.Phase, Step: s.Step, Paused: s.Held}
		for j := range s.History {
			h := &s.History[j]
			r.History = append(r.History, HistoryEntry{Verb: h.Verb, Step: h.Step, Share: h.Share, Author: h.By, UnixMilli: h.At, Reason: h.Why,
				Counts: h.Counts.toCounts()})
		}
		runs = append(runs, r)
	}
	return runs
}

// toStored returns the stored form of the state without the window of call IDs.
func (s *State) toStored() storedState {
	return storedState{Runs: newStoredRuns(s.runs), Ended: newStoredRuns(s.ended), Last: s.LastNumber, Rev: s.Revision, Fence: s.fencingToken}
}

// Snapshot encodes the state. Processes of the same version encode equal states to equal bytes.
func (s *State) Snapshot() []byte {
	stored := s.toStored()
	stored.Window = s.appliedCalls.Bytes()
	return logentry.Encode(stored)
}

// Restore decodes a snapshot. It returns the state before the first entry if b is empty.
func Restore(b []byte) (*State, error) {
	s := NewState()
	if len(b) == 0 {
		return s, nil
	}
	var stored storedState
	if err := logentry.Decode(b, &stored, "snapshot of roll-outs"); err != nil {
		return s, err
	}
	s.runs, s.ended, s.LastNumber, s.Revision, s.fencingToken = runsFromStored(stored.Runs), runsFromStored(stored.Ended), stored.Last, stored.Rev, stored.Fence
	if stored.Window == nil {
		s.addStoredCalls(stored.Marks)
		return s, nil
	}
	var err error
	s.appliedCalls, err = logentry.DecodeDedupWindow(stored.Window, logentry.DedupWindowBytes)
	return s, err
}

// addStoredCalls adds the list of call IDs from a snapshot of an earlier version. The list does not contain the revisions that the calls
// created. addStoredCalls assigns consecutive revisions up to the current one. The revision that a call created is never higher than the
// revision that addStoredCalls assigns to the call.
func (s *State) addStoredCalls(ids []string) {
	before := s.Revision - uint64(len(ids))
	if len(ids) == maxStoredCalls {
		s.appliedCalls.SetHorizon(before)
	}
	for i, id := range ids {
		s.appliedCalls.Add(before+1+uint64(i), callDigest(id))
	}
}
