package rollout

import "github.com/go-faster/errors"

// Report is all that one incarnation of a node found of the present step: sums, not what came since the last report. The newest by Seq
// stands for all before it, so it does not matter which are lost, doubled or late, and a new coordinator has all with
// the next round. WireReport is what goes over links.
type Report struct {
	Service        string
	Number         Number
	Step           int
	Lap            int
	Incarnation    uint64 // the node's incarnation, drawn at random
	Seq            uint64 // rises within the incarnation
	Zone           string
	RolledBack     bool // the node has rolled back for itself
	CanaryBackends int  // backends of the canary that it saw at work
	Counts         Counts
	Evidence       []byte
}

// Lap is the coordinator's notice that evidence is gathered afresh: a version that fails after ten good minutes must not
// have their credit. Gob sends it between nodes by these names.
type Lap struct {
	Service string
	Number  Number
	Lap     int
}

// findings decodes a report's evidence.
func (r *Report) findings(from NodeID) (*findings, error) {
	e, err := decodeEvidence(r.Evidence)
	if err != nil {
		return nil, errors.Wrapf(err, "report on %s", r.Service)
	}
	return &findings{evidence: e, node: from, zone: r.Zone, canaryBackends: r.CanaryBackends}, nil
}

// Action is what the host is to do: a Node's are SendReport and LocalRollback, a Coordinator's Propose and BroadcastLap.
type Action interface{ action() }

// SendReport goes to the node with the coordinator; it may be lost.
type SendReport struct{ Report Report }

// LocalRollback is for the log: this node has rolled back for itself.
type LocalRollback struct {
	Service string
	Number  Number
	Reason  string
}

// Propose is an entry for the replicated log, to be put there by this node or not at all.
type Propose struct{ Entry Entry }

// BroadcastLap goes to all nodes, this one too; it may be lost.
type BroadcastLap struct{ Lap Lap }

func (SendReport) action()    {}
func (LocalRollback) action() {}
func (Propose) action()       {}
func (BroadcastLap) action()  {}

// actionQueue is what the host has yet to do.
type actionQueue struct{ actions []Action }

func (a *actionQueue) push(action Action) { a.actions = append(a.actions, action) }

// Next gives the next thing to do now, or false when there is none.
func (a *actionQueue) Next() (Action, bool) {
	if len(a.actions) == 0 {
		return nil, false
	}
	next := a.actions[0]
	a.actions = a.actions[1:]
	return next, true
}
