package rollout

import (
	"maps"
	"slices"
	"time"
)

// reportInterval is how often a node reports while something changes.
const reportInterval = time.Second

// Node is one node's part: it gives each request its side, counts outcomes and reports them.
type Node struct {
	actionQueue
	now           time.Duration
	zone          string
	incarnation   uint64
	everConnected bool // to the core, in this incarnation
	disconnected  bool
	rollouts      map[string]*localRollout // by service
}

// localRollout is a node's view of one roll-out.
type localRollout struct {
	Run
	salt       uint64
	rolledBack bool         // this node has rolled back for itself: for the rest of this incarnation
	counter    *stepCounter // nil unless the roll-out runs
	lap        int
	seq        uint64 // of the last report
	reportedAt time.Duration
	unreported bool // something has changed since
	urgent     bool // it is reported without waiting
}

// NewNode makes one. Each start of a node has another incarnation.
func NewNode(zone string, incarnation uint64, now time.Duration) *Node {
	return &Node{now: now, zone: zone, incarnation: incarnation, disconnected: true, rollouts: map[string]*localRollout{}}
}

// ApplyState takes the state after an entry or a snapshot.
func (n *Node) ApplyState(s *State) {
	for i := range s.Runs() {
		run := &s.Runs()[i]
		local := n.rollouts[run.Spec.Service]
		if local == nil || local.Number != run.Number {
			local = &localRollout{salt: hashSalt(run.Spec.Service, run.Number)}
			n.rollouts[run.Spec.Service] = local
		}
		newStep := local.counter == nil || local.Step != run.Step
		local.Run = *run
		switch {
		case run.Phase != Running:
			local.counter = nil
		case newStep:
			local.resetCounter(n.now)
			local.reportedAt, local.lap = n.now, max(local.lap, 1)
		}
	}
	for service := range n.rollouts {
		if s.Run(service) == nil {
			delete(n.rollouts, service)
		}
	}
}

// resetCounter begins counts and evidence; usual latencies stay.
func (l *localRollout) resetCounter(now time.Duration) {
	former := l.counter
	l.counter = newStepCounter(l.Spec.Failing, now)
	if former != nil {
		l.counter.latencyByRoute = former.latencyByRoute
	}
}

// SetConnected says whether this node has contact with the core. Until it once had, it sends nobody to a canary that may have been
// rolled back meanwhile. What it finds while disconnected is for its own rollback only, and is dropped when it is connected
// again: else a partition would look like a failing version to the fleet.
func (n *Node) SetConnected(connected bool) {
	if connected && n.disconnected {
		for _, local := range n.rollouts {
			if local.counter != nil {
				counts := local.counter.counts
				local.resetCounter(n.now)
				local.counter.counts = counts
			}
		}
	}
	n.disconnected, n.everConnected = !connected, n.everConnected || connected
}

// HandleLap takes a coordinator's lap; one that came already or is passed changes nothing.
func (n *Node) HandleLap(lap Lap) {
	local := n.rollouts[lap.Service]
	if local == nil || local.Number != lap.Number || lap.Lap <= local.lap {
		return
	}
	local.lap = lap.Lap
	if local.counter != nil {
		local.counter.closeSpan(n.now)
		local.counter.evidence.resetWindow(lapWindow)
	}
}

// EverConnected reports whether this incarnation was ever connected to the core: the sides of backends may be others from then on.
func (n *Node) EverConnected() bool { return n.everConnected }

// HasRollouts reports whether there is anything to ask this node for.
func (n *Node) HasRollouts() bool { return len(n.rollouts) > 0 }

// BackendSide is the side of a backend, by the generation in its heartbeats: what is not the canary is the baseline. Once a roll-out
// is finished, what is not the baseline is the canary: a third version may come without another roll-out. But a node that was never
// connected may not know of another roll-out, which tries that version or has rolled it back.
func (n *Node) BackendSide(service, generation string) Side {
	local := n.rollouts[service]
	switch {
	case local == nil:
		return Baseline
	case local.Phase == Finished && n.everConnected && generation != local.Spec.Old, generation == local.Spec.New:
		return Canary
	}
	return Baseline
}

// Share is what this node sends to the canary now, in basis points of the users whom the roll-out concerns.
func (n *Node) Share(service string) int {
	if local := n.rollouts[service]; local != nil && !local.rolledBack && (n.everConnected || local.Phase == Finished) {
		return local.Run.Share()
	}
	return 0
}

// CanaryExcluded reports whether requests may make no attempt on the canary, neither a first nor a later one.
func (n *Node) CanaryExcluded(service string) bool {
	local := n.rollouts[service]
	return local != nil && (local.Phase == RolledBack || local.rolledBack || !n.everConnected && local.Phase == Running)
}

// ChooseSide tells where a request begins, and whether it is one that the versions are compared by. The user is nil
// where the request names none: such requests stay on the baseline.
func (n *Node) ChooseSide(service string, user []byte, in Scope) (side Side, compared bool) {
	local := n.rollouts[service]
	switch share := n.Share(service); {
	case local == nil || local.Phase == RolledBack:
		return Baseline, false
	case local.Phase == Finished:
		return Canary, false
	case len(user) == 0 || !local.Spec.Limits.matches(in):
		return Baseline, false
	case userPosition(local.salt, user) < share:
		return Canary, true
	default:
		return Baseline, share > 0
	}
}

// RecordOutcome takes the outcome of a request that is compared, with the number of the roll-out under which it began.
func (n *Node) RecordOutcome(service string, number Number, o Outcome) {
	if local := n.rollouts[service]; local != nil && local.Number == number && local.counter != nil && o.Cause < causeCount && o.Backend != 0 {
		local.counter.record(o)
		local.unreported = true
	}
}

// RunningNumber is the roll-out of a service that a request begins under, for RecordOutcome; 0 if none runs.
func (n *Node) RunningNumber(service string) Number {
	if local := n.rollouts[service]; local != nil && local.counter != nil {
		return local.Number
	}
	return 0
}

// NextDeadline is when Tick has something to do; false while no roll-out runs.
func (n *Node) NextDeadline() (at time.Duration, ok bool) {
	for _, local := range n.rollouts {
		if local.counter != nil && (!ok || local.counter.spanEnd() < at) {
			at, ok = local.counter.spanEnd(), true
		}
	}
	return at, ok
}

// Tick sets the clock, weighs the spans that have ended, rolls back where this node alone is sure, and reports.
func (n *Node) Tick(now time.Duration) {
	n.now = max(n.now, now)
	if at, ok := n.NextDeadline(); !ok || n.now < at {
		return
	}
	for _, service := range sortedKeys(n.rollouts) {
		local := n.rollouts[service]
		if local.counter == nil || n.now < local.counter.spanEnd() {
			continue
		}
		local.counter.closeSpan(n.now)
		if local.counter.changed && !local.rolledBack {
			n.evaluate(local)
		}
		if local.unreported && !n.disconnected && (n.now-local.reportedAt >= reportInterval || local.urgent) {
			n.push(SendReport{n.report(local)})
		}
	}
}

// evaluate looks at what this node alone has found.
func (n *Node) evaluate(local *localRollout) {
	c := local.counter
	c.changed = false
	own := []*findings{{evidence: &c.evidence, zone: n.zone, canaryBackends: len(c.canaryBackends)}}
	score, doubt := evaluate(own, local.Step, local.lap, NodeFalsePositiveRate)
	local.urgent = doubt >= 1
	if score >= 1 {
		local.rolledBack, local.unreported, local.urgent = true, true, true
		n.push(LocalRollback{local.Spec.Service, local.Number, c.counts.describe()})
	}
}

// report is the next one on a roll-out.
func (n *Node) report(local *localRollout) Report {
	c := local.counter
	local.unreported, local.reportedAt = false, n.now
	local.seq++
	return Report{Service: local.Spec.Service, Number: local.Number, Step: local.Step, Lap: local.lap, Incarnation: n.incarnation, Seq: local.seq,
		Zone: n.zone, RolledBack: local.rolledBack, CanaryBackends: len(c.canaryBackends), Counts: c.counts, Evidence: c.evidence.encode()}
}

func sortedKeys[T any](m map[string]T) []string { return slices.Sorted(maps.Keys(m)) }
