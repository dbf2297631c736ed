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
	sub           *submission
	work          float64 // core seconds
	finishService float64 // of the backend's service by then
	heapIndex     int     // in the heap; below nought: waits or is over
}

type jobs []*job

func (j jobs) Len() int               { return len(j) }
func (j jobs) Less(i, count int) bool { return j[i].finishService < j[count].finishService }
func (j jobs) Swap(i, count int) {
	j[i], j[count] = j[count], j[i]
	j[i].heapIndex, j[count].heapIndex = i, count
}
func (j *jobs) Push(x any) { item := x.(*job); item.heapIndex = len(*j); *j = append(*j, item) }
func (j *jobs) Pop() any {
	old := *j
	job := old[len(old)-1]
	*j, job.heapIndex = old[:len(old)-1], -1
	return job
}

// backend shares its cores evenly among the txns in work, up to one core each.
type backend struct {
	world              *world
	id                 control.BackendID
	zone               int
	pod                int
	state              control.BackendState
	started            time.Duration // nought: long ago
	speed              float64
	slow               float64 // by faults: a divisor of its speed
	failing            float64 // by faults: share that ends in an error
	unresponsiveFaults int     // by faults: nothing comes back
	dead               bool
	overloaded         bool // pushed over while cold
	active             jobs
	waiting            []*job
	service            float64 // core seconds that each txn in work has got
	updatedAt          time.Duration
	timerSeq           uint64 // number of the present due end
	open               int    // connections
	report             float64
	reportAt           time.Duration
	arrivals           []arrival // work that arrived in the window of the rule on cold backends
	rng                *rand.Rand
}

type arrival struct {
	time time.Duration
	work float64
}

// position is where it stands.
func (b *backend) position() history.Location {
	return history.Location{Zone: b.world.spec.Zones.Names[b.zone], Pod: b.pod, Start: b.started}
}

func (w *world) addBackend(zone, pod int, started time.Duration) *backend {
	w.nextUID++
	b := &backend{world: w, id: control.BackendID(w.nextUID), zone: zone, pod: pod, state: control.Ready, started: started,
		slow: 1, updatedAt: w.now, rng: rand.New(rand.NewPCG(w.spec.Seed, 0xb0<<32|uint64(w.nextUID)))}
	b.speed = 1 + w.spec.Backends.Speed*(2*b.rng.Float64()-1)
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
	by := b.world.spec.Rules.WarmBy.D()
	if b.started <= 0 || by <= 0 || b.world.now-b.started >= by {
		return 1
	}
	from := b.world.spec.Rules.ColdFrom
	return from + (1-from)*float64(b.world.now-b.started)/float64(by)
}

// capacity is core seconds a second.
func (b *backend) capacity() float64 {
	return b.world.spec.Backends.Cores * b.speed * b.warmth() / b.slow
}

// serviceRate is what each txn in work gets.
func (b *backend) serviceRate() float64 {
	n := float64(len(b.active))
	if n == 0 {
		return 0
	}
	return b.capacity() * min(1, b.world.spec.Backends.Cores/n) / b.world.spec.Backends.Cores
}

// advance brings the service up to now.
func (b *backend) advance() {
	b.service += b.serviceRate() * (b.world.now - b.updatedAt).Seconds()
	b.updatedAt = b.world.now
}

// reachable tells whether a node's words get there and back.
func (b *backend) reachable(d *node) bool {
	return b.unresponsiveFaults == 0 && !b.world.partitioned(d.zone, b.zone)
}

// takes a submission whose last byte has arrived.
func (b *backend) receive(sub *submission) {
	b.advance()
	w := b.world
	w.checker.arrived(sub, b)
	if b.state != control.Ready || w.now > sub.attempt.expiry || len(b.active) >= w.spec.Backends.Slots &&
		len(b.waiting) >= w.spec.Backends.Queue {
		sub.reply(control.Rejected)
		return
	}
	if b.warmth() < 1 && b.checkOverload(sub) {
		return
	}
	sub.executed = true
	fails := w.spec.Backends.ErrorRate
	if b.failing > 0 {
		fails = b.failing
	}
	j := &job{sub: sub, work: sub.attempt.request.work * (0.9 + 0.2*b.rng.Float64()), heapIndex: -1}
	if b.rng.Float64() < fails {
		j.work, sub.fails = j.work/10, true
	}
	sub.job = j
	if len(b.active) < w.spec.Backends.Slots {
		b.start(j)
	} else {
		b.waiting = append(b.waiting, j)
	}
	b.plan()
}

// checkOverload keeps the rule on cold backends: too much work for too long, and the backend falls.
func (b *backend) checkOverload(sub *submission) bool {
	w, window := b.world, b.world.spec.Rules.FallWindow.D()
	b.arrivals = append(b.arrivals, arrival{w.now, sub.attempt.request.mean})
	for len(b.arrivals) > 0 && b.arrivals[0].time < w.now-window {
		b.arrivals = b.arrivals[1:]
	}
	sum := 0.0
	for _, a := range b.arrivals {
		sum += a.work
	}
	most := w.spec.Rules.FallMultiple * b.capacity() * b.slow * window.Seconds()
	if sum <= most || w.now-b.started < window/4 {
		return false
	}
	w.checker.backendOverloaded(sub, b, sum, most)
	b.overloaded = true
	b.die()
	return true
}

func (b *backend) start(j *job) {
	j.finishService = b.service + j.work
	heap.Push(&b.active, j)
}

// plan hangs the next end on the clock.
func (b *backend) plan() {
	b.timerSeq++
	if len(b.active) == 0 {
		return
	}
	nr := b.timerSeq
	left := (b.active[0].finishService - b.service) / b.serviceRate()
	wait := time.Duration(math.Ceil(max(left, 0) * 1e9))
	if b.warmth() < 1 {
		wait = min(wait, 100*time.Millisecond) // its pace grows meanwhile
	}
	b.world.after(wait, func() {
		if nr == b.timerSeq {
			b.finishCompleted()
		}
	})
}

// finishCompleted ends what is done and starts what waits.
func (b *backend) finishCompleted() {
	b.advance()
	for len(b.active) > 0 && b.active[0].finishService <= b.service+1e-9 {
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
	for len(b.waiting) > 0 && len(b.active) < b.world.spec.Backends.Slots {
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
	if j.heapIndex >= 0 {
		heap.Remove(&b.active, j.heapIndex)
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

// loadReport is the load report: what it held a while ago.
func (b *backend) loadReport() []float64 {
	if b.world.now-b.reportAt >= b.world.spec.Backends.ReportEvery.D() {
		n := float64(len(b.active) + len(b.waiting))
		at := b.world.now
		b.reportAt = at
		b.world.after(b.world.spec.Backends.ReportLate.D(), func() { b.report = n })
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
	b.timerSeq++
	for _, d := range b.world.nodes {
		d.broken(b)
	}
	b.active, b.waiting = nil, nil
	b.world.announce(b, b.world.spec.Discovery.Late)
}

// drain takes nothing new; what it holds it finishes, then it ends.
func (b *backend) drain(then func()) {
	b.state = control.Draining
	b.world.announce(b, b.world.spec.Discovery.Late)
	var look func()
	look = func() {
		if len(b.active)+len(b.waiting) == 0 && b.world.now > b.updatedAt {
			b.die()
			then()
			return
		}
		b.world.after(200*time.Millisecond, look)
	}
	b.world.after(b.world.spec.Discovery.Late[1].D()+b.world.spec.Rules.DrainGrace.D(), look)
}

// announce lets discovery tell every front door of a backend, late.
func (w *world) announce(b *backend, late spec.Range) {
	l := b.listing()
	for _, d := range w.nodes {
		d := d
		var deliver func()
		deliver = func() {
			if w.listDelays > 0 {
				w.after(250*time.Millisecond, deliver)
				return
			}
			d.listed([]control.Endpoint{l})
		}
		w.after(w.between(late), deliver)
	}
}

// remove takes a backend out of the world for good.
func (w *world) remove(b *backend) {
	for i, x := range w.backends {
		if x == b {
			w.backends = append(w.backends[:i], w.backends[i+1:]...)
			return
		}
	}
}
