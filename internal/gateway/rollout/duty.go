package rollout

import (
	"fmt"
	"time"
)

const (
	lapLong   = 30 * time.Second
	askAgain  = time.Second // an entry that did not come back through the log is proposed anew
	livesMost = 512         // reports kept of one step
)

// NodeID is a node's slot.
type NodeID int

// Propose is an entry for the log, to be put there by this node or not at all.
type Propose struct{ Entry Entry }

// Laps goes to all nodes, this one too; it may be lost.
type Laps struct{ Lap Lap }

func (Propose) action() {}
func (Laps) action()    {}

// Coordinator is the one node's part that judges for all. It may be taken over at any time by another with a higher
// fence: what it needs comes with the next reports.
type Coordinator struct {
	now    time.Duration
	fence  uint64
	nodes  int // that there are
	trials map[string]*trial
	ready  []Action
}

type trial struct {
	Run
	since time.Duration
	lap   int
	lapAt time.Duration
	asked time.Duration
	heard map[life]*heard
	news  bool
	old   int // backends of the old version that are ready; -1: not known
	gone  bool
	doubt float64
}

type life struct {
	node NodeID
	life uint64
}

type heard struct {
	Report
	*found
}

// NewCoordinator makes one. The fence must be above that of whoever had the duty before.
func NewCoordinator(fence uint64, now time.Duration) *Coordinator {
	return &Coordinator{now: now, fence: fence, trials: map[string]*trial{}}
}

// Fold takes the state after an entry or a snapshot.
func (d *Coordinator) Fold(s *State) {
	for i := range s.Runs() {
		r := &s.Runs()[i]
		t := d.trials[r.Order.Service]
		switch {
		case r.Phase != Running:
			delete(d.trials, r.Order.Service)
		case t == nil || t.Number != r.Number || t.Step != r.Step:
			n := &trial{Run: *r, since: d.now, lap: 1, lapAt: d.now, asked: -askAgain, heard: map[life]*heard{}, old: -1}
			if t != nil && t.Number == r.Number {
				n.lap, n.lapAt, n.old, n.gone = t.lap, t.lapAt, t.old, t.gone
			}
			d.trials[r.Order.Service] = n
		default:
			t.Run = *r
		}
	}
	for name := range d.trials {
		if s.Run(name) == nil {
			delete(d.trials, name)
		}
	}
}

// Heard takes a report.
func (d *Coordinator) Heard(from NodeID, r Report) error {
	t := d.trials[r.Service]
	if t == nil || t.Number != r.Number || t.Step != r.Step {
		return nil
	}
	key := life{from, r.Life}
	if h := t.heard[key]; h != nil && h.Seq >= r.Seq || h == nil && len(t.heard) >= livesMost {
		return nil
	}
	f, err := r.found()
	if err != nil {
		return err
	}
	if r.Lap > t.lap { // of whoever had the duty before
		t.lap, t.lapAt = r.Lap, d.now
	}
	f.node = from
	t.heard[key], t.news = &heard{r, f}, true
	return nil
}

// SetNodes says how many there are: where there are others, none is believed alone.
func (d *Coordinator) SetNodes(n int) { d.nodes = n }

// Backends says how many backends of the old version are ready, and whether the configuration still has the
// service.
func (d *Coordinator) Backends(service string, old int, known bool) {
	if t := d.trials[service]; t != nil {
		t.old, t.gone = old, !known
	}
}

// Counts are the sums of all nodes in the present step of a service, and the doubt: from 1 on there is no next
// step by itself.
func (d *Coordinator) Counts(service string) (c Counts, doubt float64) {
	t := d.trials[service]
	if t == nil {
		return c, 0
	}
	return t.counts(), t.doubt
}

func (t *trial) counts() (c Counts) {
	for _, h := range t.heard {
		c.Add(&h.Report.Counts)
	}
	return c
}

// Now sets the clock.
func (d *Coordinator) Now(now time.Duration) {
	d.now = max(d.now, now)
	for _, name := range sorted(d.trials) {
		t := d.trials[name]
		if d.now-t.lapAt >= lapLong {
			t.lap, t.lapAt = t.lap+1, d.now
			d.ready = append(d.ready, Laps{Lap{name, t.Number, t.lap}})
		}
		if t.gone {
			d.propose(t, PullBack, t.Step, "the service is not in the configuration any more")
		}
		if t.news {
			t.news = false
			d.judge(t)
		}
		d.advance(t)
	}
}

// judge looks at what all nodes found.
func (d *Coordinator) judge(t *trial) {
	var list []*found
	alone, spoke := map[NodeID]bool{}, map[NodeID]bool{}
	for key, h := range t.heard {
		spoke[key.node] = true
		if h.Lap != t.lap { // what it found since a lap of its own
			f := *h.found
			e := *f.evidence
			e.l[1], f.evidence = vector{}, &e
			e.by = map[uint64]*[windows]vector{}
			for b, v := range h.by {
				e.by[b] = &[windows]vector{v[0], {}}
			}
			list = append(list, &f)
		} else {
			list = append(list, h.found)
		}
		if h.Alone {
			alone[key.node] = true
		}
	}
	score, doubt := judge(list, t.Step, t.lap, FleetWrong)
	t.doubt = doubt
	if len(alone) > 0 { // for a step by itself that is enough to wait
		t.doubt = max(doubt, 1)
	}
	if (score < 1 || len(spoke) == 1 && d.nodes > 1) && len(alone) < 2 {
		return
	}
	c := t.counts()
	if t.old == 0 {
		if !t.Held {
			d.propose(t, Hold, t.Step, "failing, but no backend of the old version is left: "+why(&c))
		}
		return
	}
	d.propose(t, PullBack, t.Step, why(&c))
}

// advance goes on by itself where the order says so.
func (d *Coordinator) advance(t *trial) {
	s := t.Order.Steps[t.Step-1]
	if t.Order.Advance != "time" || t.Held || t.Step == len(t.Order.Steps) || t.doubt >= 1 || t.gone ||
		d.now-t.since < time.Duration(s.MinTime) {
		return
	}
	c := t.counts()
	if seen := int(c[New][Read].Ends + c[New][Write].Ends); seen >= s.Requests {
		d.propose(t, Advance, t.Step+1, fmt.Sprintf("%d requests of the new version in order", seen))
	}
}

func (d *Coordinator) propose(t *trial, v Verb, step int, why string) {
	t.news = true
	if d.now-t.asked < askAgain {
		return
	}
	t.asked = d.now
	d.ready = append(d.ready, Propose{Entry{Verb: v, Service: t.Order.Service, By: "duty", Why: why,
		Number: t.Number, Step: step, Fence: d.fence, Counts: t.counts()}})
}

// why words what was counted.
func why(c *Counts) string {
	s := ""
	for k, name := range []string{"reads", "writes"} {
		n, o := &c[New][k], &c[Old][k]
		if n.Ends == 0 {
			continue
		}
		s += fmt.Sprintf("%s: new %d of %d failed, old %d of %d; nine in ten within %v, %v. ", name, bad(n), n.Ends,
			bad(o), o.Ends, n.Quantile(0.9).Round(time.Millisecond), o.Quantile(0.9).Round(time.Millisecond))
	}
	return s[:max(len(s)-1, 0)]
}

func bad(t *Tally) uint32 { return t.By[Failed] + t.By[NoAnswer] + t.By[Wrong] }

// Next gives the next thing to do now, or false when there is none.
func (d *Coordinator) Next() (Action, bool) {
	if len(d.ready) == 0 {
		return nil, false
	}
	a := d.ready[0]
	d.ready = d.ready[1:]
	return a, true
}
