package simulation

import (
	"time"

	"clovergap/control"
	"clovergap/internal/proxy/gate"
	"clovergap/internal/proxy/slots"
)

// dialMost is how long a node waits for a connection to a backend, as internal/gateway/node has it.
const dialMost = 700 * time.Millisecond

// ways are a node's ways to backends, as internal/proxy/upstream and the ingress's dialect carry submissions: over connections that
// are kept, with the backend's id in X-Expect-Backend; what proves that a request never ran, and nothing else, counts as such.
type ways struct {
	p    *process
	at   map[control.BackendID]*place
	subs map[slots.Ref]*submission
}

// place is where a node knows a backend to be.
type place struct {
	addr  string
	ready bool
	idle  []*line
}

// line is a connection to a process of a backend, whoever that is by now.
type line struct {
	b     *backend
	since time.Duration
}

// submission is one try at a backend.
type submission struct {
	x       *ways
	ref     slots.Ref
	nr      int
	to      control.BackendID
	place   *place
	try     *try
	name    string // X-Expect-Backend
	line    *line
	began   time.Duration
	until   time.Duration // on the world's clock
	dialing bool
	written bool
	over    bool
	queued  bool
}

func newWays(p *process) *ways {
	return &ways{p: p, at: map[control.BackendID]*place{}, subs: map[slots.Ref]*submission{}}
}

// SetBackend says where a backend is.
func (w *ways) SetBackend(id control.BackendID, addr string, _ time.Duration, ready bool) {
	b := w.at[id]
	if b == nil {
		if ready {
			w.at[id] = &place{addr: addr, ready: true}
		}
		return
	}
	if b.addr != addr || !ready {
		b.idle = nil
		for _, s := range w.sorted() {
			if s.place == b && s.dialing {
				s.end(control.NotSent, false)
			}
		}
	}
	if b.ready = ready; ready {
		b.addr = addr
	} else {
		delete(w.at, id)
	}
}

// SetMaxConns bounds nothing here: no more connections are kept than requests are out.
func (w *ways) SetMaxConns(control.BackendID, int) {}

func (w *ways) Probe(control.BackendID) {}

// sorted are the submissions that are out, in order.
func (w *ways) sorted() []*submission {
	all := make([]*submission, 0, len(w.subs))
	for _, ref := range sortedKeys(w.subs) {
		all = append(all, w.subs[ref])
	}
	return all
}

// lost: the node's process has ended, and its connections with it.
func (w *ways) lost() {
	for _, s := range w.sorted() {
		s.over = true
		s.leave()
	}
}

// Submit sends on. However it ends, the gate hears of it once.
func (w *ways) Submit(ref slots.Ref, nr int, m gate.Message, to control.BackendID, limit, _ time.Duration) {
	world, b := w.p.w, w.at[to]
	if b == nil || !b.ready {
		w.p.g.Ended(ref, nr, to, gate.Outcome{Ending: control.NotSent})
		return
	}
	s := &submission{x: w, ref: ref, nr: nr, to: to, place: b, began: world.now, until: world.now + limit, name: w.p.h.BackendName(to)}
	w.subs[ref] = s
	if number := m.AppendTo(nil, to, limit); len(number) > 0 && s.name != "" {
		s.try = w.p.upstreams.tries[numberOf(number)]
	}
	world.at(s.until, func() {
		if s.over {
			return
		}
		w.p.turn(func() {
			if s.written {
				s.end(control.TimedOut, false)
			} else {
				s.end(control.Unreachable, false)
			}
		})
	})
	for len(b.idle) > 0 {
		l := b.idle[len(b.idle)-1]
		b.idle = b.idle[:len(b.idle)-1]
		if !l.b.dead && world.now-l.since < idleMost {
			s.line = l
			s.write()
			return
		}
	}
	s.dial()
}

const idleMost = 3 * time.Second

func (s *submission) dial() {
	x, w := s.x, s.x.p.w
	s.dialing = true
	l, zone := w.timeline.at[s.place.addr], x.p.m.zone
	ended := func() {
		x.p.turn(func() {
			if !s.over && s.dialing {
				s.end(control.Unreachable, false)
			}
		})
	}
	if l == nil {
		w.after(2*w.way(zone, zone), ended)
		return
	}
	if w.apart(x.p.m, l.zone) {
		w.after(dialMost, ended)
		return
	}
	w.after(w.way(zone, l.zone)+w.way(l.zone, zone), func() {
		x.p.turn(func() {
			switch {
			case s.over:
			case l.dead:
				s.end(control.Unreachable, false)
			default:
				s.dialing = false
				s.line = &line{b: l}
				s.write()
			}
		})
	})
}

// write puts the request on its connection: from now on it may have run.
func (s *submission) write() {
	x, w := s.x, s.x.p.w
	if s.try == nil || s.until <= w.now { // its client has gone
		s.end(control.NotSent, false)
		return
	}
	s.written = true
	b := s.line.b
	if w.apart(x.p.m, b.zone) {
		return // nobody answers
	}
	w.after(w.way(x.p.m.zone, b.zone), func() { b.take(s) })
}

// answer is a backend's, on its way.
func (s *submission) answer(e control.Ending, final bool) {
	x, w := s.x, s.x.p.w
	if w.apart(x.p.m, s.line.b.zone) {
		return
	}
	w.after(w.way(s.line.b.zone, x.p.m.zone), func() {
		if !s.over {
			x.p.turn(func() { s.end(e, final) })
		}
	})
}

// misdirected: another backend answered at the address.
func (s *submission) misdirected() {
	x, w := s.x, s.x.p.w
	w.after(w.way(s.line.b.zone, x.p.m.zone), func() {
		if !s.over {
			x.p.turn(func() {
				if !s.over {
					x.p.h.BackendReplaced(s.to)
					s.line = nil
					s.end(control.Rejected, false)
				}
			})
		}
	})
}

// leave tells the backend that the connection has ended: what it has not begun it drops.
func (s *submission) leave() {
	if s.line == nil || !s.written {
		return
	}
	b := s.line.b
	s.x.p.w.after(s.x.p.w.way(s.x.p.m.zone, b.zone), func() { b.drop(s) })
}

// Recall calls a submission off.
func (w *ways) Recall(ref slots.Ref, nr int) {
	if s := w.subs[ref]; s != nil && s.nr == nr {
		if s.written {
			s.end(control.Canceled, false)
		} else {
			s.end(control.NotSent, false)
		}
	}
}

// end tells the one outcome, in a turn.
func (s *submission) end(e control.Ending, final bool) {
	x := s.x
	if s.over {
		return
	}
	e = x.p.w.denies(s, e)
	s.over = true
	delete(x.subs, s.ref)
	switch {
	case e == control.Succeeded || e == control.Errored || e == control.Rejected && s.line != nil:
		if l := s.line; l != nil && !l.b.dead && s.place.ready {
			l.since = x.p.w.now
			s.place.idle = append(s.place.idle, l)
		}
	default:
		s.leave()
	}
	o := gate.Outcome{Ending: e, Final: final, Took: x.p.w.now - s.began}
	if s.try != nil {
		o.Body = []byte(s.try.id)
	}
	x.p.g.Ended(s.ref, s.nr, s.to, o)
}
