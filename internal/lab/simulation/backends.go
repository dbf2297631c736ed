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
	w        *world
	at       map[string]*backend // by address
	live     []*backend
	services map[string]string // of every one that ever was
	free     []vacant
	born     int
	runs     int
}

// vacant is an address that a backend had.
type vacant struct {
	addr string
	from time.Duration // it may be used again
}

// backend is one life of one.
type backend struct {
	w                 *world
	id, service, zone string
	addr              string
	slot              int
	from, cold        time.Duration
	seq               uint64
	target            string // control address for beats
	draining          bool
	dead              bool
	running           int
	queue             []*submission
	slow              float64
	resets, silent    float64
	fails             float64
	unheard           time.Duration // that it waited for machines without power
}

// Ended is how a backend's word that it leaves was acknowledged.
type Ended struct {
	Took    time.Duration // from its first word to the acknowledgement, or until it gave up
	Unheard time.Duration // of that, what it waited for machines that had no power: nobody else can know of its word by then
}

func newTimeline(w *world) *timeline {
	return &timeline{w: w, at: map[string]*backend{}, services: map[string]string{}}
}

// add starts a backend. An address that another had is used first.
func (t *timeline) add(service, zone string, cold time.Duration) *backend {
	w := t.w
	t.born++
	b := &backend{w: w, id: fmt.Sprintf("i-%s-%d", service, t.born), service: service, zone: zone, slot: t.born, from: w.now,
		cold: cold, slow: 1}
	for i, v := range t.free {
		if v.from <= w.now {
			b.addr = v.addr
			t.free = slices.Delete(t.free, i, i+1)
			break
		}
	}
	if b.addr == "" {
		b.addr = fmt.Sprintf("10.200.%d.%d:8080", t.born/200, t.born%200+1)
	}
	t.at[b.addr] = b
	t.live = append(t.live, b)
	t.services[b.id] = service
	w.every(w.day.Beat, func() bool {
		if !b.dead {
			b.say(false, func(bool) {})
		}
		return !b.dead
	})
	w.after(span(w.backs, 0, w.day.Beat/4), func() { b.say(false, func(bool) {}) })
	return b
}

// crash ends it without a word.
func (b *backend) crash() { b.end(false) }

// end ends it: in order, after a drain, or not.
func (b *backend) end(inOrder bool) {
	if b.dead {
		return
	}
	w, s := b.w, b.w.timeline
	w.note(gatewaystandin.BackendEnds(b.id, inOrder))
	b.dead = true
	s.live = slices.DeleteFunc(s.live, func(x *backend) bool { return x == b })
	delete(s.at, b.addr)
	s.free = append(s.free, vacant{b.addr, w.now + gatewaystandin.Bounds().AddrReuse})
	b.queue = nil
	for _, m := range w.machines {
		if p := m.p; p != nil {
			for _, x := range p.ways.sorted() {
				if x.line != nil && x.line.b == b && x.written {
					x.answer(control.ConnectionLost, false)
				}
			}
		}
	}
}

// say calls nodes, the one it was told first, until one acknowledges; nobody in a round is left for the next time.
func (b *backend) say(leaves bool, then func(acked bool)) {
	w := b.w
	var todo []*machine
	if m := w.byCall[b.target]; m != nil {
		todo = append(todo, m)
	}
	from := int(b.seq) + b.slot
	for i := range w.machines {
		if m := w.machines[(from+i)%len(w.machines)]; len(todo) == 0 || m != todo[0] {
			todo = append(todo, m)
		}
	}
	drains := b.draining
	var next func()
	next = func() {
		if b.dead || len(todo) == 0 || drains != b.draining {
			then(false)
			return
		}
		m := todo[0]
		todo = todo[1:]
		b.call(m, leaves, func(ok bool, target string) {
			if !ok {
				if m.control == b.target {
					b.target = ""
				}
				next()
				return
			}
			if target != "" {
				b.target = target
			}
			if drains || leaves {
				w.note(history.Event{Who: m.control, Kind: history.Told, At: b.id, What: "Terminating"})
			}
			then(true)
		})
	}
	next()
}

// call makes one call at a node, which has a second for it.
func (b *backend) call(m *machine, leaves bool, then func(ok bool, target string)) {
	w, done := b.w, false
	end := func(ok bool, target string) {
		if !done {
			done = true
			then(ok, target)
		}
	}
	w.after(gatewaystandin.BeatsMost, func() {
		if !done && m.dark {
			b.unheard += gatewaystandin.BeatsMost
		}
		end(false, "")
	})
	b.seq++
	phase := registry.Ready
	if b.draining {
		phase = registry.Draining
	}
	word := registry.Record{ID: b.id, Service: b.service, Addr: b.addr, Zone: b.zone, Generation: "v1", Capacity: gatewaystandin.SlotsEach,
		Phase: phase, SlowStartLeft: max(0, b.cold-(w.now-b.from)), Seq: b.seq}
	if w.apart(m, b.zone) || m.dark {
		return
	}
	w.after(w.way(b.zone, m.zone), func() {
		p := m.p
		if p == nil || p.upstreams.deaf {
			w.after(w.way(m.zone, b.zone), func() { end(false, "") })
			return
		}
		p.turn(func() {
			w.doing = "beats"
			answered := func(ok bool, target string) {
				if ok && phase == registry.Draining && !leaves {
					w.drainer = m
					w.happens(spec.Drained)
				}
				if !w.apart(m, b.zone) {
					w.after(w.way(m.zone, b.zone), func() { end(ok, target) })
				}
			}
			if leaves {
				p.h.Deregister(b.id, answered)
			} else {
				p.h.Heartbeat(word, answered)
			}
		})
	})
}

// drain lets it leave in order: it says so, serves for the drain after the acknowledgement and a little longer, and ends.
func (b *backend) drain() {
	w, began := b.w, b.w.now
	b.draining, b.unheard = true, 0
	w.say("%s drains", b.id)
	var ask func()
	leave := func(acked bool) {
		w.after(gatewaystandin.Bounds().BackendDrain+gatewaystandin.DrainSlack, func() {
			if acked {
				b.say(true, func(bool) {})
				w.after(500*time.Millisecond, func() { b.end(true) })
				return
			}
			b.end(true)
		})
	}
	ask = func() {
		b.say(false, func(ok bool) {
			switch {
			case b.dead:
			case ok || w.now-began > gatewaystandin.GivesUp:
				w.ends = append(w.ends, Ended{w.now - began, b.unheard})
				leave(ok)
			default:
				w.after(200*time.Millisecond, ask)
			}
		})
	}
	ask()
}

// take takes a submission that has come.
func (b *backend) take(s *submission) {
	w := b.w
	if b.dead {
		s.answer(control.ConnectionLost, false)
		return
	}
	turned := func() {
		w.note(history.Event{Who: b.id, Kind: history.Turned, Txn: s.try.id})
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
	w := b.w
	b.running++
	b.w.timeline.runs++
	w.note(history.Event{Who: b.id, Kind: history.Arrived, Txn: s.try.id, Key: s.try.tenant, At: s.try.want.Path,
		N: float64(b.w.timeline.runs)})
	work := time.Duration(0)
	for _, x := range gatewaystandin.Services {
		if x.Name == b.service {
			work = x.Work
		}
	}
	took := time.Duration(float64(work) * (0.5 + w.backs.ExpFloat64()/2) * b.slow)
	if w.now-b.from < b.cold {
		took *= 3
	}
	resets, silent, fails := w.backs.Float64() < b.resets, w.backs.Float64() < b.silent, w.backs.Float64() < b.fails
	if resets {
		w.after(span(w.backs, 0, took), func() { s.answer(control.ConnectionLost, false) })
	}
	w.after(took, func() {
		b.running--
		if b.dead {
			return
		}
		switch {
		case resets || silent || s.over:
		case fails:
			s.answer(control.Errored, s.try.adm.AtMostOnce)
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
		if s.queued = false; s.until <= b.w.now { // its time is up: it says that it has not run
			b.w.note(history.Event{Who: b.id, Kind: history.Turned, Txn: s.try.id})
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
