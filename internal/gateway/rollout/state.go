package rollout

import (
	"slices"
	"strings"

	"clovergap/internal/gateway/logentry"
	"clovergap/internal/gateway/routing"
	"clovergap/internal/invariant"
)

// Phase is the phase of a roll-out.
type Phase string

// The phases. RolledBack and Finished end a roll-out and stay in force until another roll-out of the service starts.
const (
	Running    Phase = "running"
	RolledBack Phase = "pulled back"
	Finished   Phase = "finished"
)

// HistoryEntry records the effect of one log entry on a roll-out.
type HistoryEntry struct {
	Verb      Verb
	Step      int // step that the roll-out had before the log entry was applied, counted from 1
	Share     int // canary's share of the users after the log entry was applied, in basis points
	Author    string
	UnixMilli int64 // Unix time in milliseconds
	Reason    string
	Counts    Counts // outcomes in Step that the nodes had reported to the coordinator before it proposed the log entry
}

// Run is the state and the history of a roll-out.
type Run struct {
	Number   Number
	Revision uint64 // revision of the state at the last change of this roll-out
	Spec     Spec
	Capacity Capacity
	Phase    Phase
	Step     int  // current step, counted from 1
	Paused   bool // the coordinator does not start the next step
	History  []HistoryEntry
}

// CanaryShare returns the share of the canary, in basis points of the users within the roll-out's limits.
func (r *Run) CanaryShare() int {
	switch r.Phase {
	case Running:
		return r.Spec.Steps[r.Step-1].Share
	case Finished:
		return FullShare
	}
	return 0
}

// Limits on the size of the state.
const (
	maxServices = 64 // services with a roll-out
	maxEnded    = 32 // earlier roll-outs of all services together
	maxHistory  = 48 // history entries of one roll-out
)

// State is the replicated state of all roll-outs. The state results from the entries of the replicated log and is the same at all nodes.
type State struct {
	LastNumber   Number                // number of the newest roll-out of all services
	Revision     uint64                // increases with each accepted entry
	fencingToken uint64                // highest token in an accepted entry
	runs         []Run                 // newest roll-out of each service, sorted by service
	ended        []Run                 // earlier roll-outs, oldest first
	appliedCalls *logentry.DedupWindow // digests of the IDs of applied calls, by the revision that each call created
}

// NewState returns the state before the first entry.
func NewState() *State {
	return &State{appliedCalls: logentry.NewDedupWindow(logentry.DedupWindowBytes)}
}

// Runs returns the newest roll-out of each service. The caller must not modify the result.
func (s *State) Runs() []Run { return s.runs }

// Ended returns earlier roll-outs, oldest first. The caller must not modify the result.
func (s *State) Ended() []Run { return s.ended }

// Run returns the newest roll-out of a service, or nil if there is none. The caller must not modify the result.
func (s *State) Run(service string) *Run {
	if i, ok := s.findRun(service); ok {
		return &s.runs[i]
	}
	return nil
}

// HasRollouts reports whether any roll-out is running, or has ended and is still in force.
func (s *State) HasRollouts() bool { return len(s.runs) > 0 }

// findRun returns the index of a service's newest roll-out in s.runs. If there is none, it returns the index to insert one at and false.
func (s *State) findRun(service string) (int, bool) {
	return slices.BinarySearchFunc(s.runs, service, func(r Run, name string) int {
		return strings.Compare(r.Spec.Service, name)
	})
}

// Apply applies an entry if Decide accepts it. It returns the result of Decide.
func (s *State) Apply(e *Entry) (routing.Result, error) {
	if v, err := s.Decide(e); v != routing.Accepted {
		return v, err
	}
	s.Revision++
	if e.CallID != "" {
		s.appliedCalls.Add(s.Revision, callDigest(e.CallID))
	}
	s.fencingToken = max(s.fencingToken, e.FencingToken)
	if e.Verb == Start {
		s.startRun(e)
	}
	r := s.Run(e.Service)
	r.Revision = s.Revision
	step := r.Step
	switch e.Verb {
	case Advance:
		r.Step, r.Paused = e.Step, r.Paused && e.isFromCoordinator()
	case Pause:
		r.Paused = true
	case Rollback:
		r.Phase = RolledBack
	case Finish:
		r.Phase = Finished
	}
	r.addHistory(HistoryEntry{Verb: e.Verb, Step: step, Share: r.CanaryShare(), Author: e.Author, UnixMilli: e.UnixMilli, Reason: e.Reason, Counts: e.Counts})
	return routing.Accepted, nil
}

// startRun adds a new roll-out. It moves the previous roll-out of the service, if there is one, to the ended ones.
func (s *State) startRun(e *Entry) {
	s.LastNumber++
	r := Run{Number: s.LastNumber, Spec: *e.Spec, Capacity: e.Capacity, Phase: Running, Step: 1}
	err := r.Spec.Normalize()
	invariant.Assert(err == nil, "the spec of an accepted start entry is valid")
	i, exists := s.findRun(e.Service)
	if !exists {
		s.runs = slices.Insert(s.runs, i, r)
		return
	}
	s.ended = logentry.KeepLast(append(s.ended, s.runs[i]), maxEnded)
	s.runs[i] = r
}

// addHistory appends a history entry. If the history is full, it removes the oldest entry after the first one. The first entry records the
// operator's start and is always kept.
func (r *Run) addHistory(h HistoryEntry) {
	if len(r.History) == maxHistory {
		r.History = slices.Delete(r.History, 1, 2)
	}
	r.History = append(r.History, h)
}
