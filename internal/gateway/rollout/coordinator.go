package rollout

import (
	"fmt"
	"time"
)

const (
	lapInterval   = 30 * time.Second
	proposalRetry = time.Second // an entry that did not come back through the log is proposed anew
	maxReports    = 512         // reports kept of one step
)

// NodeID is a node's slot.
type NodeID int

// Propose is an entry for the log, to be put there by this node or not at all.
type Propose struct{ Entry Entry }

// BroadcastLap goes to all nodes, this one too; it may be lost.
type BroadcastLap struct{ Lap Lap }

func (Propose) action()      {}
func (BroadcastLap) action() {}

// Coordinator is the one node's part that judges for all. It may be taken over at any time by another with a higher
// fence: what it needs comes with the next reports.
type Coordinator struct {
	now       time.Duration
	fence     uint64
	nodeCount int // that there are
	active    map[string]*activeRollout
	actions   []Action
}

type activeRollout struct {
	Run
	stepStart        time.Duration
	lap              int
	lapStart         time.Duration
	proposedAt       time.Duration
	reports          map[nodeIncarnation]*receivedReport
	changed          bool
	baselineBackends int // backends of the old version that are ready; -1: not known
	unconfigured     bool
	doubt            float64
}

type nodeIncarnation struct {
	node        NodeID
	incarnation uint64
}

type receivedReport struct {
	Report
	*found
}

// NewCoordinator makes one. The fence must be above that of whoever had the duty before.
func NewCoordinator(fence uint64, now time.Duration) *Coordinator {
	return &Coordinator{now: now, fence: fence, active: map[string]*activeRollout{}}
}

// ApplyState takes the state after an entry or a snapshot.
func (c *Coordinator) ApplyState(s *State) {
	for i := range s.Runs() {
		r := &s.Runs()[i]
		t := c.active[r.Order.Service]
		switch {
		case r.Phase != Running:
			delete(c.active, r.Order.Service)
		case t == nil || t.Number != r.Number || t.Step != r.Step:
			n := &activeRollout{Run: *r, stepStart: c.now, lap: 1, lapStart: c.now, proposedAt: -proposalRetry, reports: map[nodeIncarnation]*receivedReport{}, baselineBackends: -1}
			if t != nil && t.Number == r.Number {
				n.lap, n.lapStart, n.baselineBackends, n.unconfigured = t.lap, t.lapStart, t.baselineBackends, t.unconfigured
			}
			c.active[r.Order.Service] = n
		default:
			t.Run = *r
		}
	}
	for name := range c.active {
		if s.Run(name) == nil {
			delete(c.active, name)
		}
	}
}

// HandleReport takes a report.
func (c *Coordinator) HandleReport(from NodeID, r Report) error {
	t := c.active[r.Service]
	if t == nil || t.Number != r.Number || t.Step != r.Step {
		return nil
	}
	key := nodeIncarnation{from, r.Life}
	if h := t.reports[key]; h != nil && h.Seq >= r.Seq || h == nil && len(t.reports) >= maxReports {
		return nil
	}
	f, err := r.findings()
	if err != nil {
		return err
	}
	if r.Lap > t.lap { // of whoever had the duty before
		t.lap, t.lapStart = r.Lap, c.now
	}
	f.node = from
	t.reports[key], t.changed = &receivedReport{r, f}, true
	return nil
}

// SetNodeCount says how many there are: where there are others, none is believed alone.
func (c *Coordinator) SetNodeCount(n int) { c.nodeCount = n }

// SetBaselineBackends says how many backends of the old version are ready, and whether the configuration still has the
// service.
func (c *Coordinator) SetBaselineBackends(service string, old int, known bool) {
	if t := c.active[service]; t != nil {
		t.baselineBackends, t.unconfigured = old, !known
	}
}

// Counts are the sums of all nodes in the present step of a service, and the doubt: from 1 on there is no next
// step by itself.
func (c *Coordinator) Counts(service string) (counts Counts, doubt float64) {
	t := c.active[service]
	if t == nil {
		return counts, 0
	}
	return t.counts(), t.doubt
}

func (a *activeRollout) counts() (c Counts) {
	for _, h := range a.reports {
		c.Add(&h.Report.Counts)
	}
	return c
}

// Tick sets the clock.
func (c *Coordinator) Tick(now time.Duration) {
	c.now = max(c.now, now)
	for _, name := range sortedKeys(c.active) {
		t := c.active[name]
		if c.now-t.lapStart >= lapInterval {
			t.lap, t.lapStart = t.lap+1, c.now
			c.actions = append(c.actions, BroadcastLap{Lap{name, t.Number, t.lap}})
		}
		if t.unconfigured {
			c.propose(t, Rollback, t.Step, "the service is not in the configuration any more")
		}
		if t.changed {
			t.changed = false
			c.evaluate(t)
		}
		c.advanceIfDue(t)
	}
}

// evaluate looks at what all nodes found.
func (c *Coordinator) evaluate(t *activeRollout) {
	var list []*found
	alone, spoke := map[NodeID]bool{}, map[NodeID]bool{}
	for key, h := range t.reports {
		spoke[key.node] = true
		if h.Lap != t.lap { // what it found since a lap of its own
			f := *h.found
			e := *f.evidence
			e.total[1], f.evidence = logWealth{}, &e
			e.perBackend = map[uint64]*[windowCount]logWealth{}
			for b, v := range h.perBackend {
				e.perBackend[b] = &[windowCount]logWealth{v[0], {}}
			}
			list = append(list, &f)
		} else {
			list = append(list, h.found)
		}
		if h.Alone {
			alone[key.node] = true
		}
	}
	score, doubt := evaluate(list, t.Step, t.lap, FleetFalsePositiveRate)
	t.doubt = doubt
	if len(alone) > 0 { // for a step by itself that is enough to wait
		t.doubt = max(doubt, 1)
	}
	if (score < 1 || len(spoke) == 1 && c.nodeCount > 1) && len(alone) < 2 {
		return
	}
	counts := t.counts()
	if t.baselineBackends == 0 {
		if !t.Held {
			c.propose(t, Pause, t.Step, "failing, but no backend of the old version is left: "+describeCounts(&counts))
		}
		return
	}
	c.propose(t, Rollback, t.Step, describeCounts(&counts))
}

// advanceIfDue goes on by itself where the order says so.
func (c *Coordinator) advanceIfDue(t *activeRollout) {
	s := t.Order.Steps[t.Step-1]
	if t.Order.Advance != "time" || t.Held || t.Step == len(t.Order.Steps) || t.doubt >= 1 || t.unconfigured ||
		c.now-t.stepStart < time.Duration(s.MinTime) {
		return
	}
	counts := t.counts()
	if seen := int(counts[Canary][Read].Ends + counts[Canary][Write].Ends); seen >= s.Requests {
		c.propose(t, Advance, t.Step+1, fmt.Sprintf("%d requests of the new version in order", seen))
	}
}

func (c *Coordinator) propose(t *activeRollout, v Verb, step int, why string) {
	t.changed = true
	if c.now-t.proposedAt < proposalRetry {
		return
	}
	t.proposedAt = c.now
	c.actions = append(c.actions, Propose{Entry{Verb: v, Service: t.Order.Service, By: "duty", Why: why,
		Number: t.Number, Step: step, Fence: c.fence, Counts: t.counts()}})
}

// describeCounts words what was counted.
func describeCounts(c *Counts) string {
	s := ""
	for k, name := range []string{"reads", "writes"} {
		n, o := &c[Canary][k], &c[Baseline][k]
		if n.Ends == 0 {
			continue
		}
		s += fmt.Sprintf("%s: new %d of %d failed, old %d of %d; nine in ten within %v, %v. ", name, failures(n), n.Ends,
			failures(o), o.Ends, n.Quantile(0.9).Round(time.Millisecond), o.Quantile(0.9).Round(time.Millisecond))
	}
	return s[:max(len(s)-1, 0)]
}

func failures(t *Tally) uint32 { return t.By[ServerError] + t.By[NoResponse] + t.By[InvalidResponse] }

// Next gives the next thing to do now, or false when there is none.
func (c *Coordinator) Next() (Action, bool) {
	if len(c.actions) == 0 {
		return nil, false
	}
	a := c.actions[0]
	c.actions = c.actions[1:]
	return a, true
}
