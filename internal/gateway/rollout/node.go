package rollout

import (
	"maps"
	"slices"
	"time"
)

const (
	// reportInterval is the interval between a node's reports while its counts change.
	reportInterval = time.Second
	// reportRepeatInterval is the interval between a node's reports while its counts do not change. A report may be lost, and a new
	// coordinator has none.
	reportRepeatInterval = 5 * time.Second
)

// Node is the part of the roll-outs that runs on each node. It assigns requests to a side, counts their outcomes and reports them.
type Node struct {
	actionQueue
	now           time.Duration
	zone          string
	incarnation   uint64
	everConnected bool // this incarnation has been connected to the core
	disconnected  bool
	rollouts      map[string]*localRollout // by service name
}

// localRollout is a node's view of one roll-out.
type localRollout struct {
	Run
	salt uint64 // result of hashSalt for this roll-out
	// rolledBack is true once this node has rolled back locally. rolledBack stays true for the rest of this incarnation.
	rolledBack        bool
	counter           *stepCounter  // nil if the roll-out is not running
	lap               int           // number of the current lap, counted from 1
	seq               uint64        // sequence number of the last report
	reportedAt        time.Duration // time of the last report, or of the start of the step before the first report
	unreported        bool          // counts have changed since the last report
	reportImmediately bool          // the next report does not wait for reportInterval
}

// NewNode returns a node without roll-outs that is not connected to the core. Each start of a node needs a new incarnation.
func NewNode(zone string, incarnation uint64, now time.Duration) *Node {
	return &Node{now: now, zone: zone, incarnation: incarnation, disconnected: true, rollouts: map[string]*localRollout{}}
}

// ApplyState updates the node's roll-outs from the replicated state. The host calls it after an entry or a snapshot was applied.
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

// resetCounter replaces the counter by one without counts and evidence. The new counter takes over the latency estimates.
func (l *localRollout) resetCounter(now time.Duration) {
	previous := l.counter
	l.counter = newStepCounter(l.Spec.Failing, now)
	if previous != nil {
		l.counter.latencyByRoute = previous.latencyByRoute
	}
}

// SetConnected sets whether this node is connected to the core. Before its first connection, the node sends no user to a running canary,
// because the canary may have been rolled back in the meantime. Evidence that the node gathers while disconnected is used only for a
// local rollback. The node discards this evidence when it reconnects. If the node kept the evidence, a network partition would look like a
// failing version to the coordinator.
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

// HandleLap starts a new lap that the coordinator announced. A lap is an interval of 30 s for which the node gathers evidence from zero, in
// addition to the evidence since the start of the step. HandleLap ignores a lap that is not newer than the current one.
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

// WasEverConnected reports whether this incarnation of the node has ever been connected to the core. The results of BackendSide may change
// with the first connection.
func (n *Node) WasEverConnected() bool { return n.everConnected }

// HasRollouts reports whether this node knows of any roll-out.
func (n *Node) HasRollouts() bool { return len(n.rollouts) > 0 }

// BackendSide returns the side of a backend. The generation is the version that the backend sends in its heartbeats. A backend with the
// canary's generation is on the canary, and every other backend is on the baseline. Once a roll-out is finished, a backend with a third
// generation is also on the canary, because a third version may follow without another roll-out. The rule for a third generation does not
// apply at a node that has never been connected to the core. Such a node may not know of a newer roll-out that tests the third version or
// that has rolled the third version back.
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

// CanaryShare returns the share of users that this node sends to the canary now, in basis points of the users within the roll-out's limits.
func (n *Node) CanaryShare(service string) int {
	if local := n.rollouts[service]; local != nil && !local.rolledBack && (n.everConnected || local.Phase == Finished) {
		return local.Run.CanaryShare()
	}
	return 0
}

// IsCanaryExcluded reports whether this node must not send any attempt of a request to the canary. The reason is a rollback, or a
// running roll-out at a node that has never been connected to the core.
func (n *Node) IsCanaryExcluded(service string) bool {
	local := n.rollouts[service]
	return local != nil && (local.Phase == RolledBack || local.rolledBack || !n.everConnected && local.Phase == Running)
}

// ChooseSide returns the side for the first attempt of a request, and whether its outcome is compared between the versions. A request
// without a user (empty user) stays on the baseline while a roll-out runs.
func (n *Node) ChooseSide(service string, user []byte, in Scope) (side Side, compared bool) {
	local := n.rollouts[service]
	switch share := n.CanaryShare(service); {
	case local == nil || local.Phase == RolledBack:
		return Baseline, false
	case local.Phase == Finished:
		return Canary, false
	case len(user) == 0 || !local.Spec.Limits.includes(in):
		return Baseline, false
	case userPosition(local.salt, user) < share:
		return Canary, true
	default:
		return Baseline, share > 0
	}
}

// RecordOutcome records the outcome of a compared request. The number identifies the roll-out that was running when the request started.
// RecordOutcome ignores the outcome if that roll-out no longer runs, or if the outcome has no backend or an unknown cause.
func (n *Node) RecordOutcome(service string, number Number, o Outcome) {
	if local := n.rollouts[service]; local != nil && local.Number == number && local.counter != nil && o.Cause < causeCount && o.Backend != 0 {
		local.counter.record(o)
		local.unreported = true
	}
}

// RunningNumber returns the number of a service's running roll-out, which RecordOutcome needs. It returns 0 if the service has no running
// roll-out.
func (n *Node) RunningNumber(service string) Number {
	if local := n.rollouts[service]; local != nil && local.counter != nil {
		return local.Number
	}
	return 0
}

// NextDeadline returns the earliest time at which a span ends and Tick has work to do. ok is false if no roll-out runs.
func (n *Node) NextDeadline() (at time.Duration, ok bool) {
	for _, local := range n.rollouts {
		if local.counter != nil && (!ok || local.counter.spanEnd() < at) {
			at, ok = local.counter.spanEnd(), true
		}
	}
	return at, ok
}

// Tick advances the clock and adds the spans that have ended to the evidence. It rolls back locally if this node's own evidence is
// sufficient, and sends the reports that are due.
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
			n.evaluateLocally(local)
		}
		if n.shouldReport(local) {
			n.pushAction(SendReport{n.nextReport(local)})
		}
	}
}

// evaluateLocally evaluates the evidence of this node alone. It rolls back locally if this evidence shows that the canary fails.
func (n *Node) evaluateLocally(local *localRollout) {
	c := local.counter
	c.changed = false
	own := []*findings{{evidence: &c.evidence, zone: n.zone, canaryBackends: len(c.canaryBackends)}}
	score, suspicion := evaluate(own, local.Step, local.lap, NodeFalsePositiveRate)
	local.reportImmediately = suspicion >= 1
	if score >= 1 {
		local.rolledBack, local.unreported, local.reportImmediately = true, true, true
		n.pushAction(LocalRollback{local.Spec.Service, local.Number, c.counts.describe()})
	}
}

// shouldReport reports whether this node is to send a report on a running roll-out now.
func (n *Node) shouldReport(local *localRollout) bool {
	age := n.now - local.reportedAt
	switch {
	case n.disconnected:
		return false
	case local.unreported:
		return local.reportImmediately || age >= reportInterval
	case local.rolledBack || local.counter.counts != Counts{}:
		return age >= reportRepeatInterval
	}
	return false
}

// nextReport returns the next report on a roll-out and increments its sequence number.
func (n *Node) nextReport(local *localRollout) Report {
	c := local.counter
	local.unreported, local.reportedAt = false, n.now
	local.seq++
	return Report{Service: local.Spec.Service, Number: local.Number, Step: local.Step, Lap: local.lap, Incarnation: n.incarnation, Seq: local.seq,
		Zone: n.zone, RolledBack: local.rolledBack, CanaryBackends: len(c.canaryBackends), Counts: c.counts, Evidence: c.evidence.encode()}
}

// sortedKeys returns the keys of a map in ascending order.
func sortedKeys[T any](m map[string]T) []string { return slices.Sorted(maps.Keys(m)) }
