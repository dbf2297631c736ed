package emulator

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"time"

	"clovergap/control"
	"clovergap/internal/history"
	"clovergap/internal/lab/spec"
)

// job is a submission in work at a backend, or waiting there.
type job struct {
	sub  *submission
	work float64 // core seconds
	goal float64 // of the backend's service by then
	at   int     // in the heap; below nought: waits or is over
}

type jobs []*job

func (j jobs) Len() int               { return len(j) }
func (j jobs) Less(i, count int) bool { return j[i].goal < j[count].goal }
func (j jobs) Swap(i, count int)      { j[i], j[count] = j[count], j[i]; j[i].at, j[count].at = i, count }
func (j *jobs) Push(x any)            { item := x.(*job); item.at = len(*j); *j = append(*j, item) }
func (j *jobs) Pop() any {
	old := *j
	job := old[len(old)-1]
	*j, job.at = old[:len(old)-1], -1
	return job
}

// backend shares its cores evenly among the txns in work, up to one core each.
type backend struct {
	w        *world
	id       control.BackendID
	zone     int
	pod      int
	state    control.BackendState
	started  time.Duration // nought: long ago
	speed    float64
	slow     float64 // by faults: a divisor of its speed
	failing  float64 // by faults: share that ends in an error
	silent   int     // by faults: nothing comes back
	dead     bool
	fallen   bool // pushed over while cold
	active   jobs
	waiting  []*job
	service  float64 // core seconds that each txn in work has got
	as       time.Duration
	next     uint64 // number of the present due end
	open     int    // connections
	report   float64
	reportAt time.Duration
	came     []arrival // work that arrived in the window of the rule on cold backends
	rng      *rand.Rand
}

type arrival struct {
	at   time.Duration
	work float64
}

// place is where it stands.
func (b *backend) place() history.Place {
	return history.Place{Zone: b.w.s.Zones.Names[b.zone], Pod: b.pod, Start: b.started}
}

func (w *world) addBackend(zone, pod int, started time.Duration) *backend {
	w.nextUID++
	b := &backend{w: w, id: control.BackendID(w.nextUID), zone: zone, pod: pod, state: control.Ready, started: started,
		slow: 1, as: w.now, rng: rand.New(rand.NewPCG(w.s.Seed, 0xb0<<32|uint64(w.nextUID)))}
	b.speed = 1 + w.s.Backends.Speed*(2*b.rng.Float64()-1)
	w.backends = append(w.backends, b)
	w.all = append(w.all, b)
	w.byID[b.id] = b
	return b
}

func (b *backend) listing() control.Endpoint {
	return control.Endpoint{ID: b.id, Zone: control.ZoneID(b.zone), Pod: control.PodID(b.pod), State: b.state, Capacity: 1,
		Started: b.started}
}

// warmth is the share of its capacity that a backend has by now.
func (b *backend) warmth() float64 {
	by := b.w.s.Rules.WarmBy.D()
	if b.started <= 0 || by <= 0 || b.w.now-b.started >= by {
		return 1
	}
	from := b.w.s.Rules.ColdFrom
	return from + (1-from)*float64(b.w.now-b.started)/float64(by)
}

// capacity is core seconds a second.
func (b *backend) capacity() float64 {
	return b.w.s.Backends.Cores * b.speed * b.warmth() / b.slow
}

// pace is what each txn in work gets.
func (b *backend) pace() float64 {
	n := float64(len(b.active))
	if n == 0 {
		return 0
	}
	return b.capacity() * min(1, b.w.s.Backends.Cores/n) / b.w.s.Backends.Cores
}

// advance brings the service up to now.
func (b *backend) advance() {
	b.service += b.pace() * (b.w.now - b.as).Seconds()
	b.as = b.w.now
}

// reachable tells whether a node's words get there and back.
func (b *backend) reachable(d *node) bool { return b.silent == 0 && !b.w.apart(d.zone, b.zone) }

// takes a submission whose last byte has arrived.
func (b *backend) take(sub *submission) {
	b.advance()
	w := b.w
	w.judge.arrived(sub, b)
	if b.state != control.Ready || w.now > sub.try.expiry || len(b.active) >= w.s.Backends.Slots &&
		len(b.waiting) >= w.s.Backends.Queue {
		sub.reply(control.Rejected)
		return
	}
	if b.warmth() < 1 && b.pushed(sub) {
		return
	}
	sub.ran = true
	fails := w.s.Backends.ErrorRate
	if b.failing > 0 {
		fails = b.failing
	}
	j := &job{sub: sub, work: sub.try.req.work * (0.9 + 0.2*b.rng.Float64()), at: -1}
	if b.rng.Float64() < fails {
		j.work, sub.fails = j.work/10, true
	}
	sub.job = j
	if len(b.active) < w.s.Backends.Slots {
		b.start(j)
	} else {
		b.waiting = append(b.waiting, j)
	}
	b.plan()
}

// pushed keeps the rule on cold backends: too much work for too long, and the backend falls.
func (b *backend) pushed(sub *submission) bool {
	w, window := b.w, b.w.s.Rules.FallWindow.D()
	b.came = append(b.came, arrival{w.now, sub.try.req.mean})
	for len(b.came) > 0 && b.came[0].at < w.now-window {
		b.came = b.came[1:]
	}
	sum := 0.0
	for _, a := range b.came {
		sum += a.work
	}
	most := w.s.Rules.FallMultiple * b.capacity() * b.slow * window.Seconds()
	if sum <= most || w.now-b.started < window/4 {
		return false
	}
	w.judge.fell(sub, b, sum, most)
	b.fallen = true
	b.die()
	return true
}

func (b *backend) start(j *job) {
	j.goal = b.service + j.work
	heap.Push(&b.active, j)
}

// plan hangs the next end on the clock.
func (b *backend) plan() {
	b.next++
	if len(b.active) == 0 {
		return
	}
	nr := b.next
	left := (b.active[0].goal - b.service) / b.pace()
	wait := time.Duration(math.Ceil(max(left, 0) * 1e9))
	if b.warmth() < 1 {
		wait = min(wait, 100*time.Millisecond) // its pace grows meanwhile
	}
	b.w.after(wait, func() {
		if nr == b.next {
			b.due()
		}
	})
}

// due ends what is done and starts what waits.
func (b *backend) due() {
	b.advance()
	for len(b.active) > 0 && b.active[0].goal <= b.service+1e-9 {
		j := heap.Pop(&b.active).(*job)
		j.sub.job = nil
		if j.sub.fails {
			j.sub.reply(control.Errored)
		} else {
			j.sub.reply(control.Succeeded)
		}
	}
	b.refill()
	b.plan()
}

func (b *backend) refill() {
	for len(b.waiting) > 0 && len(b.active) < b.w.s.Backends.Slots {
		b.start(b.waiting[0])
		b.waiting = b.waiting[1:]
	}
}

// drop ends the work on a submission that nobody waits for.
func (b *backend) drop(sub *submission) {
	j := sub.job
	if j == nil || b.dead {
		return
	}
	b.advance()
	sub.job = nil
	if j.at >= 0 {
		heap.Remove(&b.active, j.at)
	} else {
		for i, x := range b.waiting {
			if x == j {
				b.waiting = append(b.waiting[:i], b.waiting[i+1:]...)
				break
			}
		}
	}
	b.refill()
	b.plan()
}

// held is the load report: what it held a while ago.
func (b *backend) held() []float64 {
	if b.w.now-b.reportAt >= b.w.s.Backends.ReportEvery.D() {
		n := float64(len(b.active) + len(b.waiting))
		at := b.w.now
		b.reportAt = at
		b.w.after(b.w.s.Backends.ReportLate.D(), func() { b.report = n })
	}
	return []float64{b.report}
}

// die ends the process: connections are reset, new ones refused.
func (b *backend) die() {
	if b.dead {
		return
	}
	b.advance()
	b.dead, b.state = true, control.Gone
	b.next++
	for _, d := range b.w.nodes {
		d.broken(b)
	}
	b.active, b.waiting = nil, nil
	b.w.tell(b, b.w.s.Discovery.Late)
}

// drain takes nothing new; what it holds it finishes, then it ends.
func (b *backend) drain(then func()) {
	b.state = control.Draining
	b.w.tell(b, b.w.s.Discovery.Late)
	var look func()
	look = func() {
		if len(b.active)+len(b.waiting) == 0 && b.w.now > b.as {
			b.die()
			then()
			return
		}
		b.w.after(200*time.Millisecond, look)
	}
	b.w.after(b.w.s.Discovery.Late[1].D()+b.w.s.Rules.DrainGrace.D(), look)
}

// tell lets discovery tell every front door of a backend, late.
func (w *world) tell(b *backend, late spec.Range) {
	l := b.listing()
	for _, d := range w.nodes {
		d := d
		var deliver func()
		deliver = func() {
			if w.lateBy > 0 {
				w.after(250*time.Millisecond, deliver)
				return
			}
			d.listed([]control.Endpoint{l})
		}
		w.after(w.between(late), deliver)
	}
}

// gone takes a backend out of the world for good.
func (w *world) gone(b *backend) {
	for i, x := range w.backends {
		if x == b {
			w.backends = append(w.backends[:i], w.backends[i+1:]...)
			return
		}
	}
}
