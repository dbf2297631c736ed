// Package outlier judges backends by what their services need, once for all nodes. A node tells it how each submission
// ended; what may convict goes to the node with the duty; verdicts are entries of the core's ordered log, and bind at
// the same place of it at every node. It does no I/O: inputs only update what is known, the host pulls with Next. See
// docs/outliers.md.
package outlier

import (
	"fmt"
	"slices"
	"time"

	"clovergap/control"
	"clovergap/internal/gateway/membership"
)

// InstanceID names one life of a backend: each start has another, whatever the address.
type InstanceID string

// Mode is how a request's backend is judged.
type Mode uint8

// Strict is for what must not run twice or vanish, Patient for what may be asked again. Unjudged ends say nothing.
const (
	Strict Mode = iota
	Patient
	Unwatched
	modeCount = Unwatched
)

var modeNames = [...]string{"strict", "patient", "off"}

func (m Mode) String() string { return modeNames[m] }

// Key is what a verdict is about.
type Key struct {
	ID   InstanceID
	Mode Mode
}

// before orders them.
func (k Key) compare(o Key) int {
	switch {
	case k.ID < o.ID || k.ID == o.ID && k.Mode < o.Mode:
		return -1
	case k == o:
		return 0
	}
	return 1
}

// EvidenceKind is what a node saw of a backend.
type EvidenceKind uint8

// The closed list. Clean is a whole answer of the service's own; None says nothing.
const (
	NoEvidence EvidenceKind = iota
	CleanAnswer
	ServerError     // a 5xx of its own that may have run
	LostAnswer      // sent whole, and no byte of an answer in its time
	ConnectionReset // broken off in mid-run
	MalformedAnswer // a 2xx without its seal, or no answer in form
	StrayAnswer     // an answer to what its connection never carried
	DuplicateAnswer // another answer to what was answered
	WrongInstance   // a probe answered by another life
	evidenceKinds
)

var evidenceNames = [evidenceKinds]string{"none", "clean", "failed", "lost", "reset", "unsealed", "stray", "second", "stranger"}

func (e EvidenceKind) String() string { return evidenceNames[e] }

// Weight is what a piece of evidence is worth.
type Weight uint8

// Proof: only the backend can be its cause. Half: the link can too. Share: a matter of degree.
const (
	Ignored Weight = iota
	ByRate
	Partial
	Conclusive
)

// weights is the one place that says what convicts by which manner.
var weights = [evidenceKinds][modeCount]Weight{
	ServerError:     {ByRate, ByRate},
	LostAnswer:      {Partial, Ignored}, // a read that is late is only late
	ConnectionReset: {Partial, ByRate},
	MalformedAnswer: {Conclusive, ByRate},
	StrayAnswer:     {Conclusive, ByRate},
	DuplicateAnswer: {Conclusive, Ignored},
	WrongInstance:   {Conclusive, Conclusive},
}

// AttemptEnd is what a node knows of the end of a submission.
type AttemptEnd struct {
	Ending          control.Ending
	FreshConnection bool // its connection had answered nothing before
	PartialAnswer   bool // some of an answer had come
	Malformed       bool // what came was no answer in form, or a 2xx without its seal
	NodeStalled     bool // this node stood still meanwhile
}

// Evidence tells what it is evidence of. A backend resets fresh connections that are too many for it, and what is late but
// comes is only slow.
func (a AttemptEnd) Evidence() EvidenceKind {
	switch {
	case a.NodeStalled:
		return NoEvidence
	case a.Ending == control.Succeeded:
		return CleanAnswer
	case a.Malformed && (a.Ending == control.Errored || a.Ending == control.ConnectionLost):
		return MalformedAnswer
	case a.Ending == control.Errored:
		return ServerError
	case a.Ending == control.ConnectionLost && (a.PartialAnswer || !a.FreshConnection):
		return ConnectionReset
	case a.Ending == control.TimedOut && !a.PartialAnswer:
		return LostAnswer
	}
	return NoEvidence
}

// pathWorked tells that the way to the backend and back was whole.
func (a AttemptEnd) pathWorked() bool {
	return a.PartialAnswer || a.Malformed || a.Ending == control.Succeeded || a.Ending == control.Errored || a.Ending == control.Rejected
}

// Phase of a life, as the registry has it.
type Phase uint8

// The phases of a backend.
const (
	Ready Phase = iota
	Draining
	Gone
)

// Backend is a backend as the registry tells it.
type Backend struct {
	ID      InstanceID
	Service string
	Zone    string
	Phase   Phase
	Owned   bool // this node is its registrar, and so its prober
}

// Access is what a node may send to a backend in a manner.
type Access uint8

// How much a backend gets.
const (
	Open    Access = iota
	Limited        // one at a time, and no sooner than the pace
	Closed
)

// Evidence is a proof or a half of one.
type Evidence struct {
	Kind    EvidenceKind
	Age     time.Duration // at the time of the report
	Timeout time.Duration // Lost: how long it had
}

const (
	windowSlots      = 20
	slotDuration     = 500 * time.Millisecond
	windowDuration   = windowSlots * slotDuration
	maxReportedSlots = 12 // that a file tells one by one
	evidenceTTL      = 60 * time.Second
	maxEvidence      = 8 // of one file: the newest
)

// Window is what ended within the last ten seconds.
type Window struct {
	Clean         uint32
	Failing       uint32 // by the manner's weights
	LatencyMillis uint32 // of the clean ones together, in milliseconds
}

func (w *Window) add(o Window) {
	w.Clean += o.Clean
	w.Failing += o.Failing
	w.LatencyMillis += o.LatencyMillis
}

func (w Window) sub(o Window) Window {
	return Window{w.Clean - min(o.Clean, w.Clean), w.Failing - min(o.Failing, w.Failing), w.LatencyMillis - min(o.LatencyMillis, w.LatencyMillis)}
}

func (w Window) total() uint32 { return w.Clean + w.Failing }

// failureRate of the ends that fail.
func (w Window) failureRate() float64 { return float64(w.Failing) / max(float64(w.total()), 1) }

// slidingWindow is a window that moves.
type slidingWindow struct {
	slots      [windowSlots]Window
	newestSlot time.Duration // of the newest
}

func (s *slidingWindow) slotAt(now time.Duration) *Window {
	nr := now / slotDuration
	for i := max(s.newestSlot+1, nr-windowSlots+1); i <= nr; i++ {
		s.slots[i%windowSlots] = Window{}
	}
	s.newestSlot = max(s.newestSlot, nr)
	return &s.slots[s.newestSlot%windowSlots]
}

func (s *slidingWindow) sum(now time.Duration) (w Window) {
	s.slotAt(now)
	for _, window := range s.slots {
		w.add(window)
	}
	return w
}

// completedSlots are the last whole slots, the newest first.
func (s *slidingWindow) completedSlots(now time.Duration) (list []Window) {
	s.slotAt(now)
	for i := range min(maxReportedSlots, s.newestSlot) {
		list = append(list, s.slots[(s.newestSlot-1-i)%windowSlots])
	}
	return list
}

// valid tells that a file is one that a node may have written.
func (o *Observation) valid() bool {
	return o.Mode < modeCount && len(o.Slots) <= maxReportedSlots && len(o.Evidence) <= maxEvidence &&
		!slices.ContainsFunc(o.Evidence, func(p Evidence) bool { return p.Kind >= evidenceKinds || p.Age < 0 || p.Timeout < 0 })
}

// Observation is what one node has of a key: sums and the pieces that still count. The newest stands for all before it, so it
// does not matter which are lost, doubled or late.
type Observation struct {
	Key
	Rev           uint64 // of the case under which all of it was sent
	Evidence      []Evidence
	Window        Window
	ServiceWindow Window        // of all the service's backends, in this manner
	Slots         []Window      // where pieces count, or the duty asks: slot by slot, the newest whole one first
	SlotAge       time.Duration // so long ago that one ended
	Totals
}

// Totals are what a node counted since the Rev.
type Totals struct {
	Clean, Failing uint32
	Reads          uint32 // strict: clean reads of the same life
	Probes         uint32 // clean ones in a row
}

func (t *Totals) add(o Totals) {
	t.Clean += o.Clean
	t.Failing += o.Failing
	t.Reads += o.Reads
	t.Probes += o.Probes
}

// Report goes to the node with the duty; it may be lost.
type Report struct {
	Zone         string
	Incarnation  uint64 // of the node, by chance
	Seq          uint64 // rises within the life
	SelfDoubt    bool   // it would hold off more than half of a service: its word alone convicts nobody
	Observations []Observation
}

// ReportRequest goes from the duty to all nodes: report on these, whatever there is.
type ReportRequest struct{ Keys []Key }

// Action is what the host is to do.
type Action interface{ action() }

// SendReport goes to the node with the duty; it may be lost.
type SendReport struct{ Report Report }

// SetAccess is what a backend gets from now on. Every is the pace of a trickle.
type SetAccess struct {
	Key
	Access   Access
	Interval time.Duration
	Local    bool // by this node's own eyes, not by a verdict
}

// Probe asks for a backend's health page, to be answered by Probed.
type Probe struct{ ID InstanceID }

// NoneAvailable is for the log: no backend of a service takes this manner any more.
type NoneAvailable struct {
	Service  string
	Mode     Mode
	Backends int
}

// BroadcastRequest goes to all nodes, this one too; it may be lost.
type BroadcastRequest struct{ Request ReportRequest }

// Propose is an entry for the log, to be put there by this node or not at all.
type Propose struct{ Entry Entry }

func (SendReport) action()       {}
func (SetAccess) action()        {}
func (Probe) action()            {}
func (NoneAvailable) action()    {}
func (BroadcastRequest) action() {}
func (Propose) action()          {}

// actionQueue is what the host has not pulled yet.
type actionQueue struct{ actions []Action }

func (a *actionQueue) push(action Action) { a.actions = append(a.actions, action) }

// Next gives the next thing to do now, or false when there is none.
func (a *actionQueue) Next() (Action, bool) {
	if len(a.actions) == 0 {
		return nil, false
	}
	action := a.actions[0]
	a.actions = a.actions[1:]
	return action, true
}

// describeEvidence of a list of pieces, by kind.
func describeEvidence(pieces []Evidence, w Window) string {
	var n [evidenceKinds]int
	for _, p := range pieces {
		n[p.Kind]++
	}
	s := ""
	for k := evidenceKinds - 1; k > CleanAnswer; k-- {
		if n[k] > 0 {
			s += fmt.Sprintf("%d %s, ", n[k], k)
		}
	}
	return s + fmt.Sprintf("%d of %d failing in 10 s", w.Failing, w.total())
}

// Slot of a node; the same in every life of it.
type Slot = membership.Slot
