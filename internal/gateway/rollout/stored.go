package rollout

import "clovergap/internal/gateway/logentry"

// storedState is the state as a snapshot has it. Gob goes by these names, and all versions read them.
type storedState struct {
	Runs  []Run
	Ended []Run
	Last  Number
	Rev   uint64
	Fence uint64   // fencing token
	Marks []string // IDs of the last maxStoredCalls calls, in snapshots of programs before there was a Window

	Window []byte // logentry.DedupWindow of the calls' IDs, by the revision that each made
}

const maxStoredCalls = 256

// stored gives the state's stored form, but for the window of calls.
func (s *State) stored() storedState {
	return storedState{Runs: s.runs, Ended: s.ended, Last: s.Last, Rev: s.Rev, Fence: s.fencingToken}
}

// Snapshot encodes the state. Equal states give equal bytes in all processes of a version.
func (s *State) Snapshot() []byte {
	stored := s.stored()
	stored.Window = s.appliedCalls.Bytes()
	return logentry.Encode(stored)
}

// Restore decodes a snapshot; nothing at all is the state before the first entry.
func Restore(b []byte) (*State, error) {
	s := NewState()
	if len(b) == 0 {
		return s, nil
	}
	var stored storedState
	if err := logentry.Decode(b, &stored, "snapshot of roll-outs"); err != nil {
		return s, err
	}
	s.runs, s.ended, s.Last, s.Rev, s.fencingToken = stored.Runs, stored.Ended, stored.Last, stored.Rev, stored.Fence
	if stored.Window == nil {
		s.addStoredCalls(stored.Marks)
		return s, nil
	}
	var err error
	s.appliedCalls, err = logentry.DecodeDedupWindow(stored.Window, logentry.DedupWindowBytes)
	return s, err
}

// addStoredCalls takes over the list of earlier programs. Each call has made a revision of its own, at the latest the one that it is
// counted at here.
func (s *State) addStoredCalls(ids []string) {
	before := s.Rev - uint64(len(ids))
	if len(ids) == maxStoredCalls {
		s.appliedCalls.SetHorizon(before)
	}
	for i, id := range ids {
		s.appliedCalls.Add(before+1+uint64(i), callDigest(id))
	}
}
