package outlier

import (
	"slices"
	"time"
)

// Observation is what one node has of a key: sums, and the evidence that still counts. The newest stands for all before it, so it does not matter
// which are lost, doubled or late.
type Observation struct {
	Key
	Rev           uint64 // revision of the ejection under which all of it was sent
	Evidence      []Evidence
	Window        Window
	ServiceWindow Window        // of all the service's backends, in this mode
	Slots         []Window      // where evidence counts, or the coordinator asks: the newest complete one first
	SlotAge       time.Duration // so long ago the newest complete one ended
	Totals
}

// valid reports whether a node may have made an observation so.
func (o *Observation) valid() bool {
	return o.Mode < modeCount && len(o.Slots) <= maxReportedSlots && len(o.Evidence) <= maxEvidence &&
		!slices.ContainsFunc(o.Evidence, func(e Evidence) bool { return e.Kind >= evidenceKindCount || e.Age < 0 || e.Timeout < 0 })
}

// Report is what a node has observed since its last one.
type Report struct {
	Zone         string
	Incarnation  uint64 // of the node, drawn at random
	Seq          uint64 // rises within the incarnation
	SelfDoubt    bool   // it sees more than half of a service fail: its evidence alone ejects nobody
	Observations []Observation
}

// ReportRequest asks all nodes to report on some keys, whatever there is.
type ReportRequest struct{ Keys []Key }

// Action is what the host is to do.
type Action interface{ action() }

// SendReport goes to the node with the coordinator; it may be lost.
type SendReport struct{ Report Report }

// SetAccess is what a backend gets from now on. Interval is between requests with Limited access.
type SetAccess struct {
	Key
	Access   Access
	Interval time.Duration
	Local    bool // by this node itself, not by an ejection
}

// Probe asks for a backend's health page, to be answered by Node.HandleProbe.
type Probe struct{ ID InstanceID }

// NoneAvailable is for the log: no backend of a service takes requests of this mode any more.
type NoneAvailable struct {
	Service  string
	Mode     Mode
	Backends int
}

// BroadcastRequest goes to all nodes, this one too; it may be lost.
type BroadcastRequest struct{ Request ReportRequest }

// Propose is an entry for the replicated log, to be put there by this node or not at all.
type Propose struct{ Entry Entry }

func (SendReport) action()       {}
func (SetAccess) action()        {}
func (Probe) action()            {}
func (NoneAvailable) action()    {}
func (BroadcastRequest) action() {}
func (Propose) action()          {}

// actionQueue is what the host has yet to do.
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
