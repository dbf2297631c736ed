package simulation

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"clovergap/control"
	"clovergap/internal/gateway/registry"
	"clovergap/internal/history"
	"clovergap/internal/lab/gatewaystandin"
	"clovergap/internal/lab/spec"
)

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }

// timeline is all backends.
type timeline struct {
	world    *world
	byAddr   map[string]*backend // by address
	live     []*backend
	services map[string]string // of every one that ever was
	free     []freeAddress
	created  int
	runs     int
}

// freeAddress is an address that a backend had.
type freeAddress struct {
	addr string
	from time.Duration // it may be used again
}

// backend is one life of one.
type backend struct {
	world                   *world
	id, service, zone       string
	addr                    string
	slot                    int
	from, warmingUntil      time.Duration
	seq                     uint64
	target                  string // control address for beats
	draining                bool
	leaving                 bool // it deregisters without draining first, and sends no more heartbeats
	dead                    bool
	running                 int
	queue                   []*submission
	slowdown                float64
	resetShare, lostAnswers float64
	failShare               float64
	unpoweredTime           time.Duration // that it waited for machines without power
}

// DrainResult is how a backend's word that it leaves was acknowledged.
type DrainResult struct {
	Latency       time.Duration // from its first word to the acknowledgement, or until it gave up
	UnpoweredTime time.Duration // of that, what it waited for machines that had no power: nobody else can know of its word by then
}

func newTimeline(w *world) *timeline {
	return &timeline{world: w, byAddr: map[string]*backend{}, services: map[string]string{}}
}

// add starts a backend. An address that another had is used first.
func (t *timeline) add(service, zone string, cold time.Duration) *backend {
	w := t.world
	t.created++
	b := &backend{world: w, id: fmt.Sprintf("i-%s-%d", service, t.created), service: service, zone: zone, slot: t.created, from: w.now,
		warmingUntil: cold, slowdown: 1}
	for i, v := range t.free {
		if v.from <= w.now {
			b.addr = v.addr
			t.free = slices.Delete(t.free, i, i+1)
			break
		}
	}
	if b.addr == "" {
		b.addr = fmt.Sprintf("10.200.%d.%d:8080", t.created/200, t.created%200+1)
	}
	t.byAddr[b.addr] = b
	t.live = append(t.live, b)
	t.services[b.id] = service
	w.every(w.day.Beat, func() bool {
		if !b.dead && !b.leaving {
			b.notifyNodes(false, func(bool) {})
		}
		return !b.dead
	})
	w.after(span(w.backendRand, 0, w.day.Beat/4), func() { b.notifyNodes(false, func(bool) {}) })
	return b
}

// crash ends it without a word.
func (b *backend) crash() { b.end(false) }

// end ends it: in order, after a drain, or not.
func (b *backend) end(inOrder bool) {
	if b.dead {
		return
	}
	w, s := b.world, b.world.timeline
	w.record(gatewaystandin.BackendEnds(b.id, inOrder))
	b.dead = true
	s.live = slices.DeleteFunc(s.live, func(x *backend) bool { return x == b })
	delete(s.byAddr, b.addr)
	s.free = append(s.free, freeAddress{b.addr, w.now + gatewaystandin.Bounds().AddrReuse})
	b.queue = nil
	for _, m := range w.machines {
		if p := m.process; p != nil {
			for _, x := range p.backendLinks.sorted() {
				if x.conn != nil && x.conn.backend == b && x.written {
					x.answer(control.ConnectionLost, false)
				}
			}
		}
	}
}

// notifyNodes calls nodes, the one it was told first, until one acknowledges; nobody in a round is left for the next time.
func (b *backend) notifyNodes(leaves bool, then func(acked bool)) {
	w := b.world
	var todo []*machine
	if m := w.byControlAddr[b.target]; m != nil {
		todo = append(todo, m)
	}
	from := int(b.seq) + b.slot
	for i := range w.machines {
		if m := w.machines[(from+i)%len(w.machines)]; len(todo) == 0 || m != todo[0] {
			todo = append(todo, m)
		}
	}
	drains, leaving := b.draining, b.leaving
	var next func()
	next = func() {
		if b.dead || len(todo) == 0 || drains != b.draining || leaving != b.leaving {
			then(false)
			return
		}
		m := todo[0]
		todo = todo[1:]
		b.call(m, leaves, func(ok bool, target string) {
			if !ok {
				if m.controlAddr == b.target {
					b.target = ""
				}
				next()
				return
			}
			if target != "" {
				b.target = target
			}
			if drains || leaves {
				w.record(history.Event{Who: m.controlAddr, Kind: history.Notified, Target: b.id, What: "Terminating"})
			}
			if b.leaving {
				w.happens(spec.Deregistered)
			}
			then(true)
		})
	}
	next()
}

// call makes one call at a node, which has a second for it.
func (b *backend) call(m *machine, leaves bool, then func(ok bool, target string)) {
	w, done := b.world, false
	end := func(ok bool, target string) {
		if !done {
			done = true
			then(ok, target)
		}
	}
	w.after(gatewaystandin.HeartbeatTimeout, func() {
		if !done && m.poweredOff {
			b.unpoweredTime += gatewaystandin.HeartbeatTimeout
		}
		end(false, "")
	})
	b.seq++
	phase := registry.Ready
	if b.draining {
		phase = registry.Draining
	}
	word := registry.Record{ID: b.id, Service: b.service, Addr: b.addr, Zone: b.zone, Generation: "v1", Capacity: gatewaystandin.SlotsEach,
		Phase: phase, SlowStartLeft: max(0, b.warmingUntil-(w.now-b.from)), Seq: b.seq}
	if w.backendUnreachable(m, b.zone) || m.poweredOff {
		return
	}
	w.after(w.delay(b.zone, m.zone), func() {
		p := m.process
		if p == nil || p.upstreams.stoppedListening {
			w.after(w.delay(m.zone, b.zone), func() { end(false, "") })
			return
		}
		p.turn(func() {
			w.turnKind = "beats"
			answered := func(ok bool, target string) {
				if ok && phase == registry.Draining && !leaves {
					w.drainer = m
					w.happens(spec.Drained)
				}
				if !w.backendUnreachable(m, b.zone) {
					w.after(w.delay(m.zone, b.zone), func() { end(ok, target) })
				}
			}
			if leaves {
				p.node.Deregister(b.id, answered)
			} else {
				word.Age = p.InputDelay()
				p.node.Heartbeat(word, answered)
			}
		})
	})
}

// drain lets it leave in order: it says so, serves for the drain after the acknowledgement and a little longer, and ends.
func (b *backend) drain() {
	w, began := b.world, b.world.now
	b.draining, b.unpoweredTime = true, 0
	w.logf("%s drains", b.id)
	b.notifyUntilAcknowledged(false, func(acked bool) {
		w.drainResults = append(w.drainResults, DrainResult{w.now - began, b.unpoweredTime})
		w.after(gatewaystandin.Bounds().BackendDrain+gatewaystandin.DrainSlack, func() {
			if acked {
				b.notifyNodes(true, func(bool) {})
				w.after(500*time.Millisecond, func() { b.end(true) })
				return
			}
			b.end(true)
		})
	})
}

// leave has the backend deregister without draining first. It then serves on for a while, makes no further call, and ends.
func (b *backend) leave() {
	b.leaving = true
	b.world.logf("%s leaves", b.id)
	b.notifyUntilAcknowledged(true, func(bool) {
		b.world.after(gatewaystandin.LeaveServing, func() { b.end(true) })
	})
}

// departs reports whether the backend has begun to drain or to leave.
func (b *backend) departs() bool { return b.draining || b.leaving }

// notifyUntilAcknowledged reports a departure to nodes until one acknowledges it or the backend gives up. It does not call then if the backend
// has ended meanwhile.
func (b *backend) notifyUntilAcknowledged(leaves bool, then func(acked bool)) {
	w, began := b.world, b.world.now
	var notify func()
	notify = func() {
		b.notifyNodes(leaves, func(ok bool) {
			switch {
			case b.dead:
			case ok || w.now-began > gatewaystandin.DrainTimeout:
				then(ok)
			default:
				w.after(200*time.Millisecond, notify)
			}
		})
	}
	notify()
}

// receive takes a submission that has come.
func (b *backend) receive(s *submission) {
	w := b.world
	if b.dead {
		s.answer(control.ConnectionLost, false)
		return
	}
	turned := func() {
		w.record(history.Event{Who: b.id, Kind: history.Rejected, Txn: s.request.id})
	}
	switch {
	case s.name != b.id:
		turned()
		s.misdirected()
	case b.running < gatewaystandin.SlotsEach:
		b.run(s)
	case len(b.queue) < gatewaystandin.QueueEach:
		s.queued = true
		b.queue = append(b.queue, s)
	default:
		turned()
		s.answer(control.Rejected, false)
	}
}

// run works on a submission.
func (b *backend) run(s *submission) {
	w := b.world
	b.running++
	b.world.timeline.runs++
	w.record(history.Event{Who: b.id, Kind: history.Arrived, Txn: s.request.id, Key: s.request.tenant, Target: s.request.want.Path,
		Number: float64(b.world.timeline.runs)})
	work := time.Duration(0)
	for _, x := range gatewaystandin.Services {
		if x.Name == b.service {
			work = x.Work
		}
	}
	took := time.Duration(float64(work) * (0.5 + w.backendRand.ExpFloat64()/2) * b.slowdown)
	if w.now-b.from < b.warmingUntil {
		took *= 3
	}
	resets, silent, fails := w.backendRand.Float64() < b.resetShare, w.backendRand.Float64() < b.lostAnswers, w.backendRand.Float64() < b.failShare
	if resets {
		w.after(span(w.backendRand, 0, took), func() { s.answer(control.ConnectionLost, false) })
	}
	w.after(took, func() {
		b.running--
		if b.dead {
			return
		}
		switch {
		case resets || silent || s.done:
		case fails:
			s.answer(control.Errored, s.request.admission.AtMostOnce)
		default:
			s.answer(control.Succeeded, false)
		}
		b.refill()
	})
}

func (b *backend) refill() {
	for len(b.queue) > 0 && b.running < gatewaystandin.SlotsEach {
		s := b.queue[0]
		b.queue = b.queue[1:]
		if s.queued = false; s.deadline <= b.world.now { // its time is up: it says that it has not run
			b.world.record(history.Event{Who: b.id, Kind: history.Rejected, Txn: s.request.id})
			s.answer(control.Rejected, false)
			continue
		}
		b.run(s)
	}
}

// drop: the connection of a submission has ended.
func (b *backend) drop(s *submission) {
	if s.queued {
		s.queued = false
		b.queue = slices.DeleteFunc(b.queue, func(x *submission) bool { return x == s })
	}
}
