package rollout

import (
	"slices"
	"strings"

	"clovergap/internal/gateway/logentry"
	"clovergap/internal/gateway/routing"
	"clovergap/internal/invariant"
)

// Phase of a roll-out.
type Phase string

// RolledBack and Finished end a roll-out and stay in force until another one of the service starts.
const (
	Running    Phase = "running"
	RolledBack Phase = "pulled back"
	Finished   Phase = "finished"
)

// HistoryEntry is what one entry did to a roll-out. Counts are those of the step that it ends, as the coordinator last had them.
type HistoryEntry struct {
	Verb      Verb
	Step      int
	Share     int
	Author    string
	UnixMilli int64 // milliseconds since 1970
	Reason    string
	Counts    Counts
}

// Run is a roll-out and what became of it.
type Run struct {
	Number   Number
	Revision uint64 // rises with each change of it
	Spec     Spec
	Capacity Capacity
	Phase    Phase
	Step     int  // from 1
	Paused   bool // paused: the coordinator doesn't go on to the next step
	History  []HistoryEntry
}

// Share is of the users whom the roll-out concerns, in basis points.
func (r *Run) Share() int {
	switch r.Phase {
	case Running:
		return r.Spec.Steps[r.Step-1].Share
	case Finished:
		return FullShare
	}
	return 0
}

// Bounds of the state.
const (
	maxServices = 64
	maxEnded    = 32 // earlier roll-outs, of all services
	maxHistory  = 48 // entries of one roll-out
)

// State is what the replicated log's entries come to: the same at all nodes.
type State struct {
	Last         Number // newest roll-out of all services
	Rev          uint64 // rises with each entry that was taken
	fencingToken uint64 // highest of a coordinator
	runs         []Run  // the newest of each service, by service
	ended        []Run  // earlier ones, oldest first
	appliedCalls *logentry.DedupWindow
}

// NewState is that before the first entry.
func NewState() *State {
	return &State{appliedCalls: logentry.NewDedupWindow(logentry.DedupWindowBytes)}
}

// Runs are the newest roll-outs of all services; not to be changed.
func (s *State) Runs() []Run { return s.runs }

// Ended are earlier ones, oldest first; not to be changed.
func (s *State) Ended() []Run { return s.ended }

// Run is the newest roll-out of a service, nil if there was none; not to be changed.
func (s *State) Run(service string) *Run {
	if i, ok := s.find(service); ok {
		return &s.runs[i]
	}
	return nil
}

// HasRollouts reports whether any roll-out runs, or has ended in a way that binds.
func (s *State) HasRollouts() bool { return len(s.runs) > 0 }

func (s *State) find(service string) (int, bool) {
	return slices.BinarySearchFunc(s.runs, service, func(r Run, name string) int {
		return strings.Compare(r.Spec.Service, name)
	})
}

// Apply carries an entry out if Decide takes it, and gives Decide's verdict.
func (s *State) Apply(e *Entry) (routing.Result, error) {
	if v, err := s.Decide(e); v != routing.Accepted {
		return v, err
	}
	s.Rev++
	if e.CallID != "" {
		s.appliedCalls.Add(s.Rev, callDigest(e.CallID))
	}
	s.fencingToken = max(s.fencingToken, e.FencingToken)
	if e.Verb == Start {
		s.startRun(e)
	}
	r := s.Run(e.Service)
	r.Revision = s.Rev
	step := r.Step
	switch e.Verb {
	case Advance:
		r.Step, r.Paused = e.Step, r.Paused && e.byCoordinator()
	case Pause:
		r.Paused = true
	case Rollback:
		r.Phase = RolledBack
	case Finish:
		r.Phase = Finished
	}
	r.addHistory(HistoryEntry{Verb: e.Verb, Step: step, Share: r.Share(), Author: e.Author, UnixMilli: e.UnixMilli, Reason: e.Reason, Counts: e.Counts})
	return routing.Accepted, nil
}

// startRun puts a new roll-out in the place of the service's former one.
func (s *State) startRun(e *Entry) {
	s.Last++
	r := Run{Number: s.Last, Spec: *e.Spec, Capacity: e.Capacity, Phase: Running, Step: 1}
	err := r.Spec.Normalize()
	invariant.Assert(err == nil, "an order that was taken is sound")
	i, exists := s.find(e.Service)
	if !exists {
		s.runs = slices.Insert(s.runs, i, r)
		return
	}
	s.ended = logentry.KeepLast(append(s.ended, s.runs[i]), maxEnded)
	s.runs[i] = r
}

func (r *Run) addHistory(h HistoryEntry) {
	if len(r.History) == maxHistory { // the first, the operator's order, stays
		r.History = slices.Delete(r.History, 1, 2)
	}
	r.History = append(r.History, h)
}
