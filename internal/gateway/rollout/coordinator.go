package rollout

import (
	"fmt"
	"time"
)

const (
	// lapInterval is the duration of a lap (see the package comment).
	lapInterval = 30 * time.Second
	// proposalRetryInterval is the delay before the coordinator repeats a proposal that the log has not delivered.
	proposalRetryInterval = time.Second
	// maxReportsPerStep bounds the stored reports of one step. The coordinator keeps the newest report of each node incarnation.
	maxReportsPerStep = 512
	// coordinatorAuthor is the author that histories show for the coordinator's entries.
	coordinatorAuthor = "duty"
)

// NodeID identifies a node by its slot number.
type NodeID int

// Coordinator evaluates the reports of all nodes and proposes entries for the replicated log. A Coordinator runs only on the core's
// leader. A new coordinator with a higher fencing token may replace it at any time, because the next report of each node contains all the
// data that the new coordinator needs.
type Coordinator struct {
	actionQueue
	now          time.Duration
	fencingToken uint64
	nodeCount    int
	active       map[string]*activeRollout // by service name
}

// activeRollout is the coordinator's state of a running roll-out in its current step.
type activeRollout struct {
	Run
	stepStart  time.Duration // time at which this coordinator learned of the step
	lap        int           // number of the current lap, counted from 1
	lapStart   time.Duration // time at which this coordinator started the lap or learned of it
	proposedAt time.Duration // time of the last proposal
	reports    map[nodeIncarnation]*receivedReport
	// changed is true if the next Tick must evaluate the reports.
	changed bool
	// baselineBackends is the number of ready backends of the baseline, or unknownBackends.
	baselineBackends int
	// unconfigured is true if the configuration no longer contains the service.
	unconfigured bool
	// suspicion is the result of the last evaluation (see Counts). The coordinator does not advance while the suspicion is 1 or more.
	suspicion float64
}

// unknownBackends is the value of baselineBackends while the number of backends is unknown.
const unknownBackends = -1

// nodeIncarnation identifies one incarnation of a node. The incarnation changes with each start of the node.
type nodeIncarnation struct {
	node        NodeID
	incarnation uint64
}

// receivedReport is a report together with the findings that were decoded from its evidence.
type receivedReport struct {
	Report
	found *findings
}

// NewCoordinator returns a coordinator without active roll-outs. The fencing token must be higher than the tokens of all earlier
// coordinators.
func NewCoordinator(fencingToken uint64, now time.Duration) *Coordinator {
	return &Coordinator{now: now, fencingToken: fencingToken, active: map[string]*activeRollout{}}
}

// ApplyState updates the active roll-outs from the replicated state. The host calls it after an entry or a snapshot was applied.
func (c *Coordinator) ApplyState(s *State) {
	for i := range s.Runs() {
		run := &s.Runs()[i]
		service := run.Spec.Service
		previous := c.active[service]
		switch {
		case run.Phase != Running:
			delete(c.active, service)
		case previous == nil || previous.Number != run.Number || previous.Step != run.Step:
			c.active[service] = c.newActiveRollout(run, previous)
		default:
			previous.Run = *run
		}
	}
	for service := range c.active {
		if s.Run(service) == nil {
			delete(c.active, service)
		}
	}
}

// newActiveRollout returns the state for a new step. The lap counter continues from the previous step of the same roll-out.
func (c *Coordinator) newActiveRollout(run *Run, previous *activeRollout) *activeRollout {
	a := &activeRollout{Run: *run, stepStart: c.now, lap: 1, lapStart: c.now, proposedAt: -proposalRetryInterval,
		reports: map[nodeIncarnation]*receivedReport{}, baselineBackends: unknownBackends}
	if previous != nil && previous.Number == run.Number {
		a.lap, a.lapStart, a.baselineBackends, a.unconfigured = previous.lap, previous.lapStart, previous.baselineBackends, previous.unconfigured
	}
	return a
}

// HandleReport stores a node's report. It ignores a report on another step and a report that is not newer than the stored report of the
// same node incarnation. Once maxReportsPerStep reports are stored, it also ignores reports of further incarnations. It returns an error
// if the report's evidence cannot be decoded.
func (c *Coordinator) HandleReport(from NodeID, r Report) error {
	a := c.active[r.Service]
	if a == nil || a.Number != r.Number || a.Step != r.Step {
		return nil
	}
	key := nodeIncarnation{from, r.Incarnation}
	if newest := a.reports[key]; newest != nil && newest.Seq >= r.Seq || newest == nil && len(a.reports) >= maxReportsPerStep {
		return nil
	}
	decoded, err := r.decodeFindings(from)
	if err != nil {
		return err
	}
	// A report can contain a later lap than this coordinator knows if an earlier coordinator started that lap.
	if r.Lap > a.lap {
		a.lap, a.lapStart = r.Lap, c.now
	}
	a.reports[key], a.changed = &receivedReport{r, decoded}, true
	return nil
}

// SetNodeCount sets the number of nodes. If there are several nodes, the coordinator does not propose a rollback on the reports of only one
// node.
func (c *Coordinator) SetNodeCount(n int) { c.nodeCount = n }

// SetBaselineBackends sets the number of ready backends of a service's baseline, or -1 if the number is unknown. configured says whether the
// configuration still contains the service.
func (c *Coordinator) SetBaselineBackends(service string, ready int, configured bool) {
	if a := c.active[service]; a != nil {
		a.baselineBackends, a.unconfigured = ready, !configured
	}
}

// Counts returns the outcomes of all nodes in the current step of a service's roll-out, and the suspicion. The suspicion is
// the total wealth of the bets divided by suspicionWealth (see evaluate). The suspicion is at least 1 if a node has rolled back locally. The
// coordinator does not advance to the next step while the suspicion is 1 or more. Both results are 0 if no roll-out of the service runs.
func (c *Coordinator) Counts(service string) (counts Counts, suspicion float64) {
	a := c.active[service]
	if a == nil {
		return counts, 0
	}
	return a.totalCounts(), a.suspicion
}

// totalCounts returns the sum of the counts of all reports in the current step.
func (a *activeRollout) totalCounts() (sum Counts) {
	for _, r := range a.reports {
		sum.Add(&r.Report.Counts)
	}
	return sum
}

// Tick advances the clock, starts the laps that are due and evaluates new reports. Depending on the result, it proposes a rollback, a pause
// or the next step.
func (c *Coordinator) Tick(now time.Duration) {
	c.now = max(c.now, now)
	for _, service := range sortedKeys(c.active) {
		a := c.active[service]
		if c.now-a.lapStart >= lapInterval {
			a.lap, a.lapStart = a.lap+1, c.now
			c.pushAction(BroadcastLap{Lap{service, a.Number, a.lap}})
		}
		if a.unconfigured {
			c.propose(a, Rollback, a.Step, "the service is not in the configuration any more")
		}
		if a.changed {
			a.changed = false
			c.evaluateReports(a)
		}
		c.proposeNextStepIfReady(a)
	}
}

// collectFindings returns the findings of all reports, the nodes that reported, and the nodes that rolled back locally. If a report belongs
// to another lap than the current one, its evidence for the lap window is left out.
func (a *activeRollout) collectFindings() (list []*findings, reporting, rolledBack map[NodeID]bool) {
	reporting, rolledBack = map[NodeID]bool{}, map[NodeID]bool{}
	for key, r := range a.reports {
		reporting[key.node] = true
		if r.RolledBack {
			rolledBack[key.node] = true
		}
		f := r.found
		if r.Lap != a.lap {
			other := *f
			other.evidence = f.evidence.withoutWindow(lapWindow)
			f = &other
		}
		list = append(list, f)
	}
	return list, reporting, rolledBack
}

// evaluateReports combines the findings of all nodes. It proposes a rollback if the score reaches 1, or if at least two nodes have rolled
// back locally. The score does not count if only one of several nodes has sent reports. If the baseline has no ready backend,
// evaluateReports proposes a pause instead of a rollback.
func (c *Coordinator) evaluateReports(a *activeRollout) {
	list, reporting, rolledBack := a.collectFindings()
	score, suspicion := evaluate(list, a.Step, a.lap, FleetFalsePositiveRate)
	a.suspicion = suspicion
	// A local rollback at one node is enough to prevent the next step.
	if len(rolledBack) > 0 {
		a.suspicion = max(suspicion, 1)
	}
	singleReporter := len(reporting) == 1 && c.nodeCount > 1
	if (score < 1 || singleReporter) && len(rolledBack) < 2 {
		return
	}
	counts := a.totalCounts()
	switch {
	case a.baselineBackends != 0:
		c.propose(a, Rollback, a.Step, counts.describe())
	case !a.Paused:
		c.propose(a, Pause, a.Step, "the new version fails, but the old version has no ready backend: "+counts.describe())
	}
}

// proposeNextStepIfReady proposes the next step if the spec allows the coordinator to advance and the conditions of the current step are met.
func (c *Coordinator) proposeNextStepIfReady(a *activeRollout) {
	step := a.Spec.Steps[a.Step-1]
	if a.Spec.Advance != AdvanceByTime || a.Paused || a.Step == len(a.Spec.Steps) || a.suspicion >= 1 || a.unconfigured ||
		c.now-a.stepStart < step.minTime() {
		return
	}
	counts := a.totalCounts()
	if seen := int(counts[Canary][Read].Outcomes + counts[Canary][Write].Outcomes); seen >= step.Requests {
		c.propose(a, Advance, a.Step+1, fmt.Sprintf("the new version passed the step with %d requests", seen))
	}
}

// propose queues a proposal for the replicated log, at most one per proposalRetryInterval. propose marks the roll-out as changed, so that
// a later Tick evaluates the reports again and repeats a proposal that the log has not delivered.
func (c *Coordinator) propose(a *activeRollout, verb Verb, step int, reason string) {
	a.changed = true
	if c.now-a.proposedAt < proposalRetryInterval {
		return
	}
	a.proposedAt = c.now
	c.pushAction(Propose{Entry{Verb: verb, Service: a.Spec.Service, Author: coordinatorAuthor, Reason: reason, Number: a.Number, Step: step,
		FencingToken: c.fencingToken, Counts: a.totalCounts()}})
}
