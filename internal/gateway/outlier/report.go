package outlier

import (
	"slices"
	"time"
)

// Observation is what one node has observed of a key. It holds sums and the evidence that has not expired. Each observation replaces all
// earlier ones, so lost, duplicated and delayed observations do no harm.
type Observation struct {
	Key
	// The revision of the key's ejection that was current when the observed requests were sent. A node discards its observations of the key when
	// the revision changes, so one observation has a single revision.
	Rev      uint64
	Evidence []Evidence
	Window   Window
	// The window of all of the service's backends in this mode.
	ServiceWindow Window
	// The completed slots of the window, newest first. Set for a strict key that has evidence or that the coordinator requested.
	Slots []Window
	// The time since the newest completed slot ended.
	SlotAge time.Duration
	Totals
}

// isValid reports whether an observation is within the bounds that every node keeps to.
func (o *Observation) isValid() bool {
	return o.Mode < modeCount && len(o.Slots) <= maxReportedSlots && len(o.Evidence) <= maxEvidence &&
		!slices.ContainsFunc(o.Evidence, func(e Evidence) bool { return e.Kind >= evidenceKindCount || e.Age < 0 || e.Timeout < 0 })
}

// Report carries the observations of a node that are due. At most maxObservations fit into one report.
type Report struct {
	Zone string
	// The node's incarnation, a random number.
	Incarnation uint64
	// The sequence number, which rises within the incarnation.
	Seq uint64
	// Reports whether the node sees more than half of a service's backends fail. Its evidence alone then ejects no backend.
	SelfDoubt    bool
	Observations []Observation
}

// ReportRequest asks a node to report on some keys at once, also if it has observed nothing.
type ReportRequest struct{ Keys []Key }

// Action is something that a Node or a Coordinator asks its host to do.
type Action interface{ action() }

// SendReport asks the host to send a report to the coordinator's node. The report may get lost.
type SendReport struct{ Report Report }

// SetAccess sets which requests of a mode this node may send to a backend from now on. Interval is the minimum time between two requests under
// Limited access.
type SetAccess struct {
	Key
	Access   Access
	Interval time.Duration
	// Reports whether this node itself closed the backend to its requests, without an ejection by the coordinator.
	Local bool
}

// Probe asks the host to fetch a backend's health page and to pass the result to Node.HandleProbe.
type Probe struct{ ID InstanceID }

// NoneAvailable asks the host to log that no backend of a service accepts requests of a mode. Backends is the number of ready backends.
type NoneAvailable struct {
	Service  string
	Mode     Mode
	Backends int
}

// BroadcastRequest asks the host to send a report request to all nodes, including this one. The request may get lost.
type BroadcastRequest struct{ Request ReportRequest }

// Propose asks the host to append an entry to the replicated log. Only this node may append the entry. The host must not forward it to
// another node.
type Propose struct{ Entry Entry }

func (SendReport) action()       {}
func (SetAccess) action()        {}
func (Probe) action()            {}
func (NoneAvailable) action()    {}
func (BroadcastRequest) action() {}
func (Propose) action()          {}

// actionQueue holds the actions that the host has not yet pulled.
type actionQueue struct{ actions []Action }

func (a *actionQueue) push(action Action) { a.actions = append(a.actions, action) }

// Next removes and returns the next action. It returns false if there is none.
func (a *actionQueue) Next() (Action, bool) {
	if len(a.actions) == 0 {
		return nil, false
	}
	action := a.actions[0]
	a.actions = a.actions[1:]
	return action, true
}
