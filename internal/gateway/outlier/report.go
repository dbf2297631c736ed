package outlier

import (
	"slices"
	"time"
)

// Observation is what one node has observed of a key. It holds cumulative counts and the evidence that has not expired. Each observation replaces
// all earlier ones of the same node and key, so the loss, duplication or delay of an observation causes no error.
type Observation struct {
	Key
	// The revision of the key's ejection that was current when the observed requests were sent. A node discards its observations of the key when
	// the revision changes, so one observation has a single revision.
	Rev uint64
	// The evidence that is not older than evidenceTTL, at most maxEvidence items.
	Evidence []Evidence
	// The counts of the key over the last windowDuration.
	Window Window
	// The counts of all of the service's backends in this mode over the last windowDuration.
	ServiceWindow Window
	// The completed slots of the window, newest first. Set for a strict key that has evidence or that the coordinator requested.
	Slots []Window
	// The time between the end of the newest completed slot and the report.
	SlotAge time.Duration
	Totals
}

// isValid reports whether an observation has a known mode, known kinds of evidence, no negative durations and no list above its maximum length.
func (o *Observation) isValid() bool {
	return o.Mode < modeCount && len(o.Slots) <= maxReportedSlots && len(o.Evidence) <= maxEvidence &&
		!slices.ContainsFunc(o.Evidence, func(e Evidence) bool { return e.Kind >= evidenceKindCount || e.Age < 0 || e.Timeout < 0 })
}

// Report carries observations of a node, at most maxObservations.
type Report struct {
	Zone string
	// The node's incarnation, a random number.
	Incarnation uint64
	// The sequence number, which rises within the incarnation.
	Seq uint64
	// True if the node sees more than half of the backends of an observed service fail. The evidence of the node alone then ejects no backend.
	SelfDoubt    bool
	Observations []Observation
}

// ReportRequest asks a node to report on the given keys at once, even if the node has observed nothing of them.
type ReportRequest struct{ Keys []Key }

// Action is something that a Node or a Coordinator asks its host to do. The host is the program that embeds this package.
type Action interface{ action() }

// SendReport asks the host to send a report to the coordinator's node. The report may get lost.
type SendReport struct{ Report Report }

// SetAccess asks the host to limit this node's further requests to a backend. The limit is given by Access and applies to the requests in the mode
// of the Key (Strict or Patient). Interval is the minimum time between two requests if Access is Limited.
type SetAccess struct {
	Key
	Access   Access
	Interval time.Duration
	// True if the access is Closed because of a local ejection, by which this node closes the backend to its own requests only.
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

// Propose asks the host to append an entry to the replicated log. If this node is no longer the leader, the host must drop the entry and must not
// forward it to another node.
type Propose struct{ Entry Entry }

func (SendReport) action()       {}
func (SetAccess) action()        {}
func (Probe) action()            {}
func (NoneAvailable) action()    {}
func (BroadcastRequest) action() {}
func (Propose) action()          {}

// actionQueue holds the actions that Next has not returned yet.
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
