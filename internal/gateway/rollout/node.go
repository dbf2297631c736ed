package rollout

import (
	"maps"
	"slices"
	"time"

	"github.com/go-faster/errors"
)

// Report is all that one life of a node found of the present step: sums, not what came since the last one. The
// newest by Seq stands for all before it, so it does not matter which are lost, doubled or late, and whoever
// takes the duty over has all with the next round.
type Report struct {
	Service  string
	Number   Number
	Step     int
	Lap      int
	Life     uint64 // of the node, by chance
	Seq      uint64 // rises within the life
	Zone     string
	Alone    bool // it has pulled back for itself
	Backs    int  // backends of the new version that it saw at work
	Counts   Counts
	Evidence []byte
}

// Lap is the duty's word that evidence is gathered afresh: a version that fails after ten good minutes must not
// have their credit.
type Lap struct {
	Service string
	Number  Number
	Lap     int
}

// Action is what the host is to do: Tell or Lowered.
type Action interface{ action() }

// SendReport goes to the node with the duty; it may be lost.
type SendReport struct{ Report Report }

// LocalRollback is for the log: this node has pulled back for itself.
type LocalRollback struct {
	Service string
	Number  Number
	Reason  string
}

func (SendReport) action()    {}
func (LocalRollback) action() {}

// reportInterval is how often a node reports while something changes.
const reportInterval = time.Second

// Node is what one node goes by.
type Node struct {
	now           time.Duration
	zone          string
	incarnation   uint64
	everConnected bool // in this life it has been in touch with the core
	disconnected  bool
	rollouts      map[string]*localRollout
	actions       []Action
}

// localRollout is a node's view of one roll-out.
type localRollout struct {
	Run
	salt       uint64
	rolledBack bool // this node has pulled back for itself: for the rest of this life
	counter    *stepCounter
	lap        int
	seq        uint64
	reportedAt time.Duration
	unreported bool // an unsent change is there
	urgent     bool // it goes out without waiting
}

// NewNode makes one. Life differs between lives of a node.
func NewNode(zone string, life uint64, now time.Duration) *Node {
	return &Node{now: now, zone: zone, incarnation: life, disconnected: true, rollouts: map[string]*localRollout{}}
}

// ApplyState takes the state after an entry or a snapshot.
func (n *Node) ApplyState(s *State) {
	for i := range s.Runs() {
		r := &s.Runs()[i]
		x := n.rollouts[r.Order.Service]
		if x == nil || x.Number != r.Number {
			x = &localRollout{salt: hashSalt(r.Order.Service, r.Number)}
			n.rollouts[r.Order.Service] = x
		}
		again := x.counter == nil || x.Step != r.Step
		x.Run = *r
		switch {
		case r.Phase != Running:
			x.counter = nil
		case again:
			x.resetCounter(n.now)
			x.reportedAt, x.lap = n.now, max(x.lap, 1)
		}
	}
	for name := range n.rollouts {
		if s.Run(name) == nil {
			delete(n.rollouts, name)
		}
	}
}

// resetCounter begins counts and evidence; usual times stay.
func (l *localRollout) resetCounter(now time.Duration) {
	was := l.counter
	l.counter = newStepCounter(l.Order.Failing, now)
	if was != nil {
		l.counter.latencyByRoute = was.latencyByRoute
	}
}

// SetConnected says whether this node has fresh word of the core. Until it once had, it sends nobody to a new version
// that may have been pulled back meanwhile. What it finds while cut off is for its own judgement only, and is
// dropped at its return: else a cut would look like a failing version to the fleet.
func (n *Node) SetConnected(fresh bool) {
	if fresh && n.disconnected {
		for _, x := range n.rollouts {
			if x.counter != nil {
				sums := x.counter.counts
				x.resetCounter(n.now)
				x.counter.counts = sums
			}
		}
	}
	n.disconnected, n.everConnected = !fresh, n.everConnected || fresh
}

// HandleLap takes the duty's word; a number that was had or passed changes nothing.
func (n *Node) HandleLap(l Lap) {
	if x := n.rollouts[l.Service]; x != nil && x.Number == l.Number && l.Lap > x.lap {
		x.lap = l.Lap
		if x.counter != nil {
			x.counter.closeSpan(n.now)
			x.counter.evidence.resetWindow(1)
		}
	}
}

// EverConnected tells whether Touch was ever given fresh word: pools may be others from then on.
func (n *Node) EverConnected() bool { return n.everConnected }

// HasRollouts tells whether there is anything to ask this node for. Without a roll-out there is not.
func (n *Node) HasRollouts() bool { return len(n.rollouts) > 0 }

// BackendSide is the side of a backend, by the generation in its beats: what is not the new version is the old one. Once a
// roll-out is finished, what is not the old version is the new one: a third one may come without another roll-out. But a node
// that was in no touch yet may not know of another, which tries that one, or has pulled it back.
func (n *Node) BackendSide(service, generation string) Side {
	x := n.rollouts[service]
	switch {
	case x == nil:
		return Baseline
	case x.Phase == Finished && n.everConnected && generation != x.Order.Old, generation == x.Order.New:
		return Canary
	}
	return Baseline
}

// Share is what this node sends to the new version now, in 1/10000 of the users that the order is about.
func (n *Node) Share(service string) int {
	if x := n.rollouts[service]; x != nil && !x.rolledBack && (n.everConnected || x.Phase == Finished) {
		return x.Run.Share()
	}
	return 0
}

// CanaryBarred tells that the new version gets no request at all, neither first nor further tries.
func (n *Node) CanaryBarred(service string) bool {
	x := n.rollouts[service]
	return x != nil && (x.Phase == RolledBack || x.rolledBack || !n.everConnected && x.Phase == Running)
}

// ChooseSide tells where a request begins, and whether it is one that the versions are compared by. The user is nil
// where there is neither mark nor key: such requests stay on the old side.
func (n *Node) ChooseSide(service string, user []byte, in Scope) (side Side, counts bool) {
	x := n.rollouts[service]
	switch share := n.Share(service); {
	case x == nil || x.Phase == RolledBack:
		return Baseline, false
	case x.Phase == Finished:
		return Canary, false
	case len(user) == 0 || !x.Order.Limits.matches(in):
		return Baseline, false
	case userPosition(x.salt, user) < share:
		return Canary, true
	default:
		return Baseline, share > 0
	}
}

// RecordOutcome takes the end of a first submission that counts, by the number of the roll-out under which it began.
func (n *Node) RecordOutcome(service string, number Number, e Outcome) {
	if x := n.rollouts[service]; x != nil && x.Number == number && x.counter != nil && e.Cause < causeCount && e.Backend != 0 {
		x.counter.record(e)
		x.unreported = true
	}
}

// RunningNumber is the roll-out of a service that a request begins under, for Ended; 0 if none runs.
func (n *Node) RunningNumber(service string) Number {
	if x := n.rollouts[service]; x != nil && x.counter != nil {
		return x.Number
	}
	return 0
}

// Tick sets the clock and weighs the spans that are over.
func (n *Node) Tick(now time.Duration) {
	n.now = max(n.now, now)
	if at, ok := n.NextDeadline(); !ok || n.now < at {
		return
	}
	for _, name := range sortedKeys(n.rollouts) {
		x := n.rollouts[name]
		c := x.counter
		if c == nil || n.now < c.spanEnd() {
			continue
		}
		c.closeSpan(n.now)
		if c.changed && !x.rolledBack {
			c.changed = false
			f := []*found{{evidence: &c.evidence, zone: n.zone, canaryBackends: len(c.canaryBackends)}}
			score, doubt := evaluate(f, x.Step, x.lap, NodeFalsePositiveRate)
			if x.urgent = doubt >= 1; score >= 1 {
				x.rolledBack, x.unreported, x.urgent = true, true, true
				n.actions = append(n.actions, LocalRollback{name, x.Number, describeCounts(&c.counts)})
			}
		}
		if x.unreported && !n.disconnected && (n.now-x.reportedAt >= reportInterval || x.urgent) {
			x.unreported, x.reportedAt = false, n.now
			x.seq++
			n.actions = append(n.actions, SendReport{Report{Service: name, Number: x.Number, Step: x.Step, Lap: x.lap,
				Life: n.incarnation, Seq: x.seq, Zone: n.zone, Alone: x.rolledBack, Backs: len(c.canaryBackends), Counts: c.counts,
				Evidence: c.evidence.encode()}})
		}
	}
}

// Next gives the next thing to do now, or false when there is none.
func (n *Node) Next() (Action, bool) {
	if len(n.actions) == 0 {
		return nil, false
	}
	a := n.actions[0]
	n.actions = n.actions[1:]
	return a, true
}

func sortedKeys[T any](m map[string]T) []string { return slices.Sorted(maps.Keys(m)) }

// NextDeadline is when Now has something to weigh; false while no roll-out runs.
func (n *Node) NextDeadline() (at time.Duration, ok bool) {
	for _, x := range n.rollouts {
		if x.counter != nil && (!ok || x.counter.spanEnd() < at) {
			at, ok = x.counter.spanEnd(), true
		}
	}
	return at, ok
}

// findings reads a report.
func (r *Report) findings() (*found, error) {
	e, err := decodeEvidence(r.Evidence)
	if err != nil {
		return nil, errors.Wrapf(err, "report on %s", r.Service)
	}
	return &found{evidence: e, zone: r.Zone, canaryBackends: r.Backs}, nil
}
