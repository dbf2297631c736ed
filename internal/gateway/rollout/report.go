package rollout

import "github.com/go-faster/errors"

// Report holds everything that one incarnation of a node has gathered in the current step. A report contains totals, not the changes
// since the last report. The report with the highest Seq replaces all earlier ones, so that lost, duplicated and delayed reports do no
// harm, and a new coordinator has all data after the next round of reports. WireReport is the form that is sent between nodes.
type Report struct {
	Service        string
	Number         Number
	Step           int
	Lap            int
	Incarnation    uint64 // incarnation of the node, a random number
	Seq            uint64 // increases with each report of the incarnation
	Zone           string // zone of the node
	RolledBack     bool   // the node has rolled back locally
	CanaryBackends int    // number of backends of the canary with at least one outcome at the node
	Counts         Counts
	Evidence       []byte // result of evidence.encode
}

// Lap is the coordinator's message that a new lap of a roll-out has started. Its field Lap is the number of the lap, counted from 1. A
// lap is an interval of 30 s for which evidence is gathered from zero, in addition to the evidence since the start of the step. The
// package comment explains why laps are needed. Lap is sent between nodes with gob, so its field names must not change.
type Lap struct {
	Service string
	Number  Number
	Lap     int
}

// decodeFindings returns the findings of a report that a node sent. It returns an error if the evidence cannot be decoded.
func (r *Report) decodeFindings(from NodeID) (*findings, error) {
	e, err := decodeEvidence(r.Evidence)
	if err != nil {
		return nil, errors.Wrapf(err, "decode report on service %s", r.Service)
	}
	return &findings{evidence: e, node: from, zone: r.Zone, canaryBackends: r.CanaryBackends}, nil
}

// Action is an operation that the host must perform. A Node returns SendReport and LocalRollback, a Coordinator returns Propose and
// BroadcastLap.
type Action interface{ action() }

// SendReport sends a report to the node that runs the coordinator. The report may be lost.
type SendReport struct{ Report Report }

// LocalRollback tells the host to log that this node has rolled back locally.
type LocalRollback struct {
	Service string
	Number  Number
	Reason  string
}

// Propose proposes an entry for the replicated log. Only this node may propose the entry, so the host must not forward it to another node.
type Propose struct{ Entry Entry }

// BroadcastLap sends a Lap to all nodes, including this one. The message may be lost.
type BroadcastLap struct{ Lap Lap }

func (SendReport) action()    {}
func (LocalRollback) action() {}
func (Propose) action()       {}
func (BroadcastLap) action()  {}

// actionQueue holds the actions that the host has not yet taken.
type actionQueue struct{ actions []Action }

// pushAction appends an action to the queue.
func (a *actionQueue) pushAction(action Action) { a.actions = append(a.actions, action) }

// Next removes and returns the next action. It returns false if there is none.
func (a *actionQueue) Next() (Action, bool) {
	if len(a.actions) == 0 {
		return nil, false
	}
	next := a.actions[0]
	a.actions = a.actions[1:]
	return next, true
}
