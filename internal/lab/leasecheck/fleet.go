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

// Big is a fleet of cores in simulated time, under random overlapping faults.
type Big struct {
	Nodes   int
	Tasks   int
	Wishers int // of each task
	For     time.Duration
	Faults  int // drawn at most
	Voters  int
	Length  time.Duration
	Retry   time.Duration
	Margin  time.Duration
	Drift   float64
	Delay   time.Duration // of datagrams, at most
	Loss    float64
}

// Usual is what the operator file has by default, for so many front doors.
func Usual(nodes int) Big {
	return Big{Nodes: nodes, Tasks: max(1, nodes/15), Wishers: min(nodes, 10), For: 60 * time.Second, Faults: 6, Voters: 5, Length: 4 * time.Second,
		Retry: 200 * time.Millisecond, Margin: 200 * time.Millisecond, Drift: 0.02, Delay: 30 * time.Millisecond, Loss: 0.05}
}

// Played is what came of one seed.
type Played struct {
	Seed   uint64
	Bad    []string
	Grants int
	After  []time.Duration // from when a holder died or began to stand still until its task was granted again
	Idle   time.Duration   // the longest that a task had no holder while no fault was under way and none had been for two lengths and a half
	Frames float64         // that a front door sent a second, on the mean
	Most   float64         // and the one that sent most
	Faults []spec.Fault
}

// member is one front door of a big fleet.
type member struct {
	core  *lease.Core
	rate  float64
	born  time.Duration // true time at which its clock showed nought
	up    bool
	life  uint32
	still int // reasons to stand still
	waits []func()
	timer uint64
	sent  int
}

type big struct {
	b       Big
	rng     *rand.Rand
	now     time.Duration
	q       timerqueue.Queue[func()]
	members []*member
	links   *netfault.Set
	wants   map[int][]lease.Task // by front door
	by      map[lease.Task][]int
	lost    map[lease.Task]time.Duration // since when a task's holder is gone
	free    map[lease.Task]time.Duration // since when nobody holds it
	calm    time.Duration                // since when no fault is under way; below nought: one is
	under   int
	out     *Played
}

// settles is how long after the last fault a task may still lack a holder: a voter's silence, a promise to run out, and a
// few askings.
func (b Big) settles() time.Duration { return 5 * b.Length / 2 }

// Play plays a seed.
func (b Big) Play(seed uint64) (*Played, error) {
	w := &big{b: b, rng: rand.New(rand.NewPCG(seed, 0xb16)), wants: map[int][]lease.Task{}, by: map[lease.Task][]int{}, lost: map[lease.Task]time.Duration{},
		free: map[lease.Task]time.Duration{}, out: &Played{Seed: seed}}
	w.links = netfault.New(rand.New(rand.NewPCG(seed, 0x11)))
	w.links.Bring(netfault.Effect{Loss: b.Loss, Reorder: 1, Delay: b.Delay})
	for i := 0; i < b.Tasks; i++ {
		t := lease.Task(fmt.Sprint("task-", i))
		who := w.rng.Perm(b.Nodes)[:b.Wishers]
		w.by[t], w.free[t] = who, 0
		for _, n := range who {
			w.wants[n] = append(w.wants[n], t)
		}
	}
	for i := 0; i < b.Nodes; i++ {
		w.members = append(w.members, &member{rate: 1 - b.Drift + 2*b.Drift*w.rng.Float64()})
		w.after(time.Duration(w.rng.Int64N(int64(time.Second))), func() { w.start(i) })
	}
	s := spec.Default()
	s.For = spec.Span(b.For)
	for len(s.Faults) == 0 { // only those that front doors and their datagrams suffer
		s.Draw(w.rng, b.Faults, true)
		kept := s.Faults[:0]
		for _, f := range s.Faults {
			if effects[f.Effect()] != nil {
				kept = append(kept, f)
			}
		}
		s.Faults = kept
	}
	w.out.Faults = s.Faults
	for i := range s.Faults {
		w.at(s.Faults[i].At.D(), func() { w.applyFault(&s.Faults[i], s.Zones.Names) })
	}
	for at, ok := w.q.Next(); ok && at <= b.For; at, ok = w.q.Next() {
		do, _ := w.q.Take(at)
		w.now = at
		do()
	}
	total, most := 0, 0
	for _, d := range w.members {
		total, most = total+d.sent, max(most, d.sent)
	}
	w.out.Frames, w.out.Most = float64(total)/float64(b.Nodes)/b.For.Seconds(), float64(most)/b.For.Seconds()
	for t, since := range w.free {
		w.idle(t, since)
	}
	return w.out, nil
}

func (b *big) at(t time.Duration, do func()) {
	b.q.Add(max(t, b.now), do)
}

func (b *big) after(d time.Duration, do func()) { b.at(b.now+d, do) }

// own is a front door's clock.
func (m *member) own(now time.Duration) time.Duration {
	return time.Duration(float64(now-m.born) * m.rate)
}

func (b *big) start(i int) {
	d := b.members[i]
	if d.up {
		return
	}
	d.life++
	d.up, d.still, d.waits, d.born = true, 0, nil, b.now
	c, err := lease.New(lease.Config{Me: lease.Node(i), Life: uint32(b.rng.Uint32()), Fleets: []lease.Fleet{{Gen: 1, Members: b.b.Nodes}}, Voters: b.b.Voters,
		Length: b.b.Length, Longest: b.b.Length, Drift: b.b.Drift, Margin: b.b.Margin, Retry: b.b.Retry,
		Floor: lease.Number(1e9 + b.now.Milliseconds())}, 0)
	if err != nil {
		b.out.Bad = append(b.out.Bad, err.Error())
		return
	}
	d.core = c
	for _, t := range b.wants[i] {
		c.Wish(t, 1, 0)
	}
	b.pull(i)
}

// turn does something at a front door, or later if it stands still.
func (b *big) turn(i int, life uint32, do func(*member)) {
	d := b.members[i]
	if !d.up || d.life != life {
		return
	}
	if d.still > 0 {
		d.waits = append(d.waits, func() { b.turn(i, life, do) })
		return
	}
	d.core.Now(d.own(b.now))
	do(d)
	b.pull(i)
}

func (b *big) pull(i int) {
	d := b.members[i]
	d.core.Now(d.own(b.now))
	for x, ok := d.core.Next(); ok; x, ok = d.core.Next() {
		switch x.Kind {
		case lease.Send:
			d.sent++
			for _, c := range b.links.Send(b.now, i, int(x.To), x.Payload) {
				b.deliver(c)
			}
		case lease.Granted:
			b.granted(i, x.Grant)
		case lease.Renewed: // it stood still for less than its lease
			delete(b.lost, x.Grant.Task)
			delete(b.free, x.Grant.Task)
		case lease.Gone:
			b.gone(x.Grant.Task)
		}
	}
	if at, ok := d.core.Due(); ok {
		d.timer++
		nr, life := d.timer, d.life
		b.after(max(time.Duration(float64(at-d.own(b.now))/d.rate), time.Microsecond), func() {
			if d.timer == nr {
				b.turn(i, life, func(*member) {})
			}
		})
	}
}

func (b *big) deliver(c netfault.Copy) {
	b.after(c.After, func() {
		b.turn(c.To, b.members[c.To].life, func(d *member) { d.core.Heard(lease.Node(c.From), c.Payload) })
	})
}

// granted looks whether any other holds the permit now, each by its own clock, whether it stands still or not.
func (b *big) granted(i int, g lease.Grant) {
	b.out.Grants++
	for _, n := range b.by[g.Task] {
		d := b.members[n]
		if n == i || !d.up {
			continue
		}
		d.core.Now(d.own(b.now))
		if o, ok := d.core.Holds(g.Task); ok && o.Permit == g.Permit {
			b.out.Bad = append(b.out.Bad, fmt.Sprintf("at %s front doors %d and %d hold %s", b.now, n, i, g.Task))
		}
	}
	if since, ok := b.lost[g.Task]; ok {
		b.out.After = append(b.out.After, b.now-since)
		delete(b.lost, g.Task)
	}
	if since, ok := b.free[g.Task]; ok {
		b.idle(g.Task, since)
		delete(b.free, g.Task)
	}
}

// idle notes how long a task had no holder with the fleet at rest.
func (b *big) idle(_ lease.Task, since time.Duration) {
	if b.under > 0 {
		return
	}
	from := max(since, b.calm+b.b.settles(), b.b.settles())
	b.out.Idle = max(b.out.Idle, b.now-from)
}

func (b *big) gone(t lease.Task) {
	if _, ok := b.free[t]; !ok {
		b.free[t] = b.now
	}
}

// hurt notes the tasks whose holder has died or begins to stand still.
func (b *big) hurt(i int) {
	d := b.members[i]
	if !d.up {
		return
	}
	d.core.Now(d.own(b.now))
	for _, t := range b.wants[i] {
		if _, ok := d.core.Holds(t); ok {
			if _, known := b.lost[t]; !known {
				b.lost[t] = b.now
			}
			b.gone(t)
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
