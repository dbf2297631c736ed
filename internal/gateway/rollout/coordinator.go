package rollout

import (
	"fmt"
	"time"
)

const (
	lapInterval   = 30 * time.Second
	proposalRetry = time.Second // an entry that did not come back through the log is proposed anew
	maxReports    = 512         // kept of one step: the newest of each incarnation of a node
	coordinatorBy = "duty"      // the coordinator's name in histories
)

// NodeID is a node's slot.
type NodeID int

// Coordinator is the part on the core's leader that decides for all nodes. It may be taken over at any time by another with a higher
// fencing token: what it needs comes with the next reports.
type Coordinator struct {
	actionQueue
	now          time.Duration
	fencingToken uint64
	nodeCount    int
	active       map[string]*activeRollout // by service
}

// activeRollout is a roll-out that runs, in its present step.
type activeRollout struct {
	Run
	stepStart        time.Duration
	lap              int
	lapStart         time.Duration
	proposedAt       time.Duration
	reports          map[nodeIncarnation]*receivedReport
	changed          bool // reports have come since it was last evaluated
	baselineBackends int  // that are ready; unknownBackends: not known
	unconfigured     bool // the service is not in the configuration any more
	doubt            float64
}

const unknownBackends = -1

type nodeIncarnation struct {
	node        NodeID
	incarnation uint64
}

type receivedReport struct {
	Report
	found *findings
}

// NewCoordinator makes one. The fencing token must be above that of every coordinator before.
func NewCoordinator(fencingToken uint64, now time.Duration) *Coordinator {
	return &Coordinator{now: now, fencingToken: fencingToken, active: map[string]*activeRollout{}}
}

// ApplyState takes the state after an entry or a snapshot.
func (c *Coordinator) ApplyState(s *State) {
	for i := range s.Runs() {
		run := &s.Runs()[i]
		service := run.Spec.Service
		former := c.active[service]
		switch {
		case run.Phase != Running:
			delete(c.active, service)
		case former == nil || former.Number != run.Number || former.Step != run.Step:
			c.active[service] = c.newActive(run, former)
		default:
			former.Run = *run
		}
	}
	for service := range c.active {
		if s.Run(service) == nil {
			delete(c.active, service)
		}
	}
}

// newActive begins a step; laps go on over the steps of one roll-out.
func (c *Coordinator) newActive(run *Run, former *activeRollout) *activeRollout {
	a := &activeRollout{Run: *run, stepStart: c.now, lap: 1, lapStart: c.now, proposedAt: -proposalRetry,
		reports: map[nodeIncarnation]*receivedReport{}, baselineBackends: unknownBackends}
	if former != nil && former.Number == run.Number {
		a.lap, a.lapStart, a.baselineBackends, a.unconfigured = former.lap, former.lapStart, former.baselineBackends, former.unconfigured
	}
	return a
}

// HandleReport takes a report. One on another step, or older than what its node has reported, changes nothing; one that can't be
// read is an error.
func (c *Coordinator) HandleReport(from NodeID, r Report) error {
	a := c.active[r.Service]
	if a == nil || a.Number != r.Number || a.Step != r.Step {
		return nil
	}
	key := nodeIncarnation{from, r.Incarnation}
	if newest := a.reports[key]; newest != nil && newest.Seq >= r.Seq || newest == nil && len(a.reports) >= maxReports {
		return nil
	}
	f, err := r.findings(from)
	if err != nil {
		return err
	}
	if r.Lap > a.lap { // an earlier coordinator's
		a.lap, a.lapStart = r.Lap, c.now
	}
	a.reports[key], a.changed = &receivedReport{r, f}, true
	return nil
}

// SetNodeCount says how many nodes there are: where there are others, one alone is not believed.
func (c *Coordinator) SetNodeCount(n int) { c.nodeCount = n }

// SetBaselineBackends says how many backends of the baseline are ready (-1: not known), and whether the configuration still has the
// service.
func (c *Coordinator) SetBaselineBackends(service string, ready int, configured bool) {
	if a := c.active[service]; a != nil {
		a.baselineBackends, a.unconfigured = ready, !configured
	}
}

// Counts are the sums of all nodes in the present step of a service, and the doubt: from 1 on the coordinator does not go on to the next
// step.
func (c *Coordinator) Counts(service string) (counts Counts, doubt float64) {
	a := c.active[service]
	if a == nil {
		return counts, 0
	}
	return a.counts(), a.doubt
}

func (a *activeRollout) counts() (sum Counts) {
	for _, r := range a.reports {
		sum.Add(&r.Report.Counts)
	}
	return sum
}

// Tick sets the clock, begins laps, and proposes what the reports ask for.
func (c *Coordinator) Tick(now time.Duration) {
	c.now = max(c.now, now)
	for _, service := range sortedKeys(c.active) {
		a := c.active[service]
		if c.now-a.lapStart >= lapInterval {
			a.lap, a.lapStart = a.lap+1, c.now
			c.push(BroadcastLap{Lap{service, a.Number, a.lap}})
		}
		if a.unconfigured {
			c.propose(a, Rollback, a.Step, "the service is not in the configuration any more")
		}
		if a.changed {
			a.changed = false
			c.evaluate(a)
		}
		c.maybeAdvance(a)
	}
}

// collect gives the findings of all reports; those of another lap count for the step's window alone.
func (a *activeRollout) collect() (list []*findings, reporting, rolledBack map[NodeID]bool) {
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

// evaluate looks at what all nodes found.
func (c *Coordinator) evaluate(a *activeRollout) {
	list, reporting, rolledBack := a.collect()
	score, doubt := evaluate(list, a.Step, a.lap, FleetFalsePositiveRate)
	a.doubt = doubt
	if len(rolledBack) > 0 { // enough to hold off the next step
		a.doubt = max(doubt, 1)
	}
	oneOfMany := len(reporting) == 1 && c.nodeCount > 1
	if (score < 1 || oneOfMany) && len(rolledBack) < 2 {
		return
	}
	counts := a.counts()
	switch {
	case a.baselineBackends != 0:
		c.propose(a, Rollback, a.Step, counts.describe())
	case !a.Paused:
		c.propose(a, Pause, a.Step, "failing, but no backend of the old version is left: "+counts.describe())
	}
}

// maybeAdvance goes on to the next step where the spec lets the coordinator do it.
func (c *Coordinator) maybeAdvance(a *activeRollout) {
	step := a.Spec.Steps[a.Step-1]
	if a.Spec.Advance != AdvanceByTime || a.Paused || a.Step == len(a.Spec.Steps) || a.doubt >= 1 || a.unconfigured ||
		c.now-a.stepStart < step.minTime() {
		return
	}
	counts := a.counts()
	if seen := int(counts[Canary][Read].Outcomes + counts[Canary][Write].Outcomes); seen >= step.Requests {
		c.propose(a, Advance, a.Step+1, fmt.Sprintf("%d requests of the new version in order", seen))
	}
}

// propose puts an entry forward, and again where it does not come back through the log.
func (c *Coordinator) propose(a *activeRollout, verb Verb, step int, why string) {
	a.changed = true
	if c.now-a.proposedAt < proposalRetry {
		return
	}
	a.proposedAt = c.now
	c.push(Propose{Entry{Verb: verb, Service: a.Spec.Service, Author: coordinatorBy, Reason: why, Number: a.Number, Step: step,
		FencingToken: c.fencingToken, Counts: a.counts()}})
}
