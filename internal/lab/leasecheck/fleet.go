package leasecheck

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"time"

	"clovergap/internal/frontdoor/lease"
	"clovergap/internal/lab/netfault"
	"clovergap/internal/lab/spec"
	"clovergap/internal/timerqueue"
)

// FleetModel is a fleet of cores in simulated time, under random overlapping faults.
type FleetModel struct {
	Nodes      int
	Tasks      int
	Requesters int // of each task
	Duration   time.Duration
	Faults     int // drawn at most
	Voters     int
	Length     time.Duration
	Retry      time.Duration
	Margin     time.Duration
	Drift      float64
	Delay      time.Duration // of datagrams, at most
	Loss       float64
}

// DefaultFleet is what the operator file has by default, for so many front doors.
func DefaultFleet(nodes int) FleetModel {
	return FleetModel{Nodes: nodes, Tasks: max(1, nodes/15), Requesters: min(nodes, 10), Duration: 60 * time.Second, Faults: 6, Voters: 5, Length: 4 * time.Second,
		Retry: 200 * time.Millisecond, Margin: 200 * time.Millisecond, Drift: 0.02, Delay: 30 * time.Millisecond, Loss: 0.05}
}

// FleetResult is what came of one seed.
type FleetResult struct {
	Seed          uint64
	Violations    []string
	Grants        int
	FailoverTimes []time.Duration // from when a holder died or began to stand still until its task was granted again
	Idle          time.Duration   // the longest that a task had no holder while no fault was under way and none had been for two lengths and a half
	Frames        float64         // that a front door sent a second, on the mean
	MaxFrames     float64         // and the one that sent most
	Faults        []spec.Fault
}

// member is one front door of a big fleet.
type member struct {
	core        *lease.Core
	rate        float64
	born        time.Duration // true time at which its clock showed nought
	running     bool
	incarnation uint32
	stalls      int // reasons to stand still
	pending     []func()
	timer       uint64
	sent        int
}

type fleet struct {
	model        FleetModel
	rng          *rand.Rand
	now          time.Duration
	timers       timerqueue.Queue[func()]
	members      []*member
	links        *netfault.Set
	wants        map[int][]lease.Task // by front door
	requesters   map[lease.Task][]int
	lost         map[lease.Task]time.Duration // since when a task's holder is gone
	free         map[lease.Task]time.Duration // since when nobody holds it
	calmSince    time.Duration                // since when no fault is under way; below nought: one is
	activeFaults int
	res          *FleetResult
}

// quietPeriod is how long after the last fault a task may still lack a holder: a voter's silence, a promise to run out, and a
// few askings.
func (f FleetModel) quietPeriod() time.Duration { return 5 * f.Length / 2 }

// Play plays a seed.
func (f FleetModel) Play(seed uint64) (*FleetResult, error) {
	w := &fleet{model: f, rng: rand.New(rand.NewPCG(seed, 0xb16)), wants: map[int][]lease.Task{}, requesters: map[lease.Task][]int{}, lost: map[lease.Task]time.Duration{},
		free: map[lease.Task]time.Duration{}, res: &FleetResult{Seed: seed}}
	w.links = netfault.New(rand.New(rand.NewPCG(seed, 0x11)))
	w.links.Begin(netfault.Effect{Loss: f.Loss, Reorder: 1, Delay: f.Delay})
	for i := 0; i < f.Tasks; i++ {
		t := lease.Task(fmt.Sprint("task-", i))
		who := w.rng.Perm(f.Nodes)[:f.Requesters]
		w.requesters[t], w.free[t] = who, 0
		for _, n := range who {
			w.wants[n] = append(w.wants[n], t)
		}
	}
	for i := 0; i < f.Nodes; i++ {
		w.members = append(w.members, &member{rate: 1 - f.Drift + 2*f.Drift*w.rng.Float64()})
		w.after(time.Duration(w.rng.Int64N(int64(time.Second))), func() { w.start(i) })
	}
	s := spec.Default()
	s.For = spec.Span(f.Duration)
	for len(s.Faults) == 0 { // only those that front doors and their datagrams suffer
		s.Draw(w.rng, f.Faults, true)
		kept := s.Faults[:0]
		for _, fault := range s.Faults {
			if effects[fault.Effect()] != nil {
				kept = append(kept, fault)
			}
		}
		s.Faults = kept
	}
	w.res.Faults = s.Faults
	for i := range s.Faults {
		w.at(s.Faults[i].At.D(), func() { w.applyFault(&s.Faults[i], s.Zones.Names) })
	}
	for at, ok := w.timers.NextDeadline(); ok && at <= f.Duration; at, ok = w.timers.NextDeadline() {
		do, _ := w.timers.Take(at)
		w.now = at
		do()
	}
	total, most := 0, 0
	for _, d := range w.members {
		total, most = total+d.sent, max(most, d.sent)
	}
	w.res.Frames, w.res.MaxFrames = float64(total)/float64(f.Nodes)/f.Duration.Seconds(), float64(most)/f.Duration.Seconds()
	for t, since := range w.free {
		w.idle(t, since)
	}
	return w.res, nil
}

func (f *fleet) at(t time.Duration, do func()) {
	f.timers.Add(max(t, f.now), do)
}

func (f *fleet) after(d time.Duration, do func()) { f.at(f.now+d, do) }

// own is a front door's clock.
func (m *member) own(now time.Duration) time.Duration {
	return time.Duration(float64(now-m.born) * m.rate)
}

func (f *fleet) start(i int) {
	d := f.members[i]
	if d.running {
		return
	}
	d.incarnation++
	d.running, d.stalls, d.pending, d.born = true, 0, nil, f.now
	c, err := lease.New(lease.Config{NodeID: lease.Node(i), Incarnation: uint32(f.rng.Uint32()), Fleets: []lease.Fleet{{Generation: 1, Members: f.model.Nodes}}, Voters: f.model.Voters,
		Length: f.model.Length, MaxLength: f.model.Length, Drift: f.model.Drift, Margin: f.model.Margin, Retry: f.model.Retry,
		Floor: lease.Number(1e9 + f.now.Milliseconds())}, 0)
	if err != nil {
		f.res.Violations = append(f.res.Violations, err.Error())
		return
	}
	d.core = c
	for _, t := range f.wants[i] {
		c.Acquire(t, 1, 0)
	}
	f.runDecisions(i)
}

// turn does something at a front door, or later if it stands still.
func (f *fleet) turn(i int, life uint32, do func(*member)) {
	d := f.members[i]
	if !d.running || d.incarnation != life {
		return
	}
	if d.stalls > 0 {
		d.pending = append(d.pending, func() { f.turn(i, life, do) })
		return
	}
	d.core.Advance(d.own(f.now))
	do(d)
	f.runDecisions(i)
}

func (f *fleet) runDecisions(i int) {
	d := f.members[i]
	d.core.Advance(d.own(f.now))
	for x, ok := d.core.Next(); ok; x, ok = d.core.Next() {
		switch x.Kind {
		case lease.Send:
			d.sent++
			for _, c := range f.links.Send(f.now, i, int(x.To), x.Payload) {
				f.deliver(c)
			}
		case lease.Granted:
			f.granted(i, x.Grant)
		case lease.Renewed: // it stood still for less than its lease
			delete(f.lost, x.Grant.Task)
			delete(f.free, x.Grant.Task)
		case lease.Ended:
			f.leaseLost(x.Grant.Task)
		}
	}
	if at, ok := d.core.NextDeadline(); ok {
		d.timer++
		nr, life := d.timer, d.incarnation
		f.after(max(time.Duration(float64(at-d.own(f.now))/d.rate), time.Microsecond), func() {
			if d.timer == nr {
				f.turn(i, life, func(*member) {})
			}
		})
	}
}

func (f *fleet) deliver(c netfault.Copy) {
	f.after(c.After, func() {
		f.turn(c.Target, f.members[c.Target].incarnation, func(d *member) { d.core.Receive(lease.Node(c.Source), c.Payload) })
	})
}

// granted looks whether any other holds the permit now, each by its own clock, whether it stands still or not.
func (f *fleet) granted(i int, g lease.Grant) {
	f.res.Grants++
	for _, n := range f.requesters[g.Task] {
		d := f.members[n]
		if n == i || !d.running {
			continue
		}
		d.core.Advance(d.own(f.now))
		if o, ok := d.core.CurrentGrant(g.Task); ok && o.Permit == g.Permit {
			f.res.Violations = append(f.res.Violations, fmt.Sprintf("at %s front doors %d and %d hold %s", f.now, n, i, g.Task))
		}
	}
	if since, ok := f.lost[g.Task]; ok {
		f.res.FailoverTimes = append(f.res.FailoverTimes, f.now-since)
		delete(f.lost, g.Task)
	}
	if since, ok := f.free[g.Task]; ok {
		f.idle(g.Task, since)
		delete(f.free, g.Task)
	}
}

// idle notes how long a task had no holder with the fleet at rest.
func (f *fleet) idle(_ lease.Task, since time.Duration) {
	if f.activeFaults > 0 {
		return
	}
	from := max(since, f.calmSince+f.model.quietPeriod(), f.model.quietPeriod())
	f.res.Idle = max(f.res.Idle, f.now-from)
}

func (f *fleet) leaseLost(t lease.Task) {
	if _, ok := f.free[t]; !ok {
		f.free[t] = f.now
	}
}

// leasesLost notes the tasks whose holder has died or begins to stand still.
func (f *fleet) leasesLost(i int) {
	d := f.members[i]
	if !d.running {
		return
	}
	d.core.Advance(d.own(f.now))
	for _, t := range f.wants[i] {
		if _, ok := d.core.CurrentGrant(t); ok {
			if _, known := f.lost[t]; !known {
				f.lost[t] = f.now
			}
			f.leaseLost(t)
		}
	}
}

// Quantile of some spans.
func Quantile(all []time.Duration, q float64) time.Duration {
	if len(all) == 0 {
		return 0
	}
	all = append([]time.Duration(nil), all...)
	sort.Slice(all, func(i, j int) bool { return all[i] < all[j] })
	return all[min(len(all)-1, int(q*float64(len(all))))]
}
