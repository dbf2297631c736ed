package simulation

import (
	"time"

	"clovergap/control"
	"clovergap/internal/proxy/gate"
	"clovergap/internal/proxy/slots"
)

// backendDialTimeout is how long a node waits for a connection to a backend, as internal/gateway/node has it.
const backendDialTimeout = 700 * time.Millisecond

// backendLinks are a node's ways to backends, as internal/proxy/upstream and the ingress's dialect carry submissions: over connections that
// are kept, with the backend's id in X-Expect-Backend; what proves that a request never ran, and nothing else, counts as such.
type backendLinks struct {
	process     *process
	endpoints   map[control.BackendID]*endpoint
	submissions map[slots.Ref]*submission
}

// endpoint is where a node knows a backend to be.
type endpoint struct {
	addr  string
	ready bool
	idle  []*backendConn
}

// backendConn is a connection to a process of a backend, whoever that is by now.
type backendConn struct {
	backend *backend
	since   time.Duration
}

// submission is one try at a backend.
type submission struct {
	links    *backendLinks
	ref      slots.Ref
	attempt  int
	target   control.BackendID
	endpoint *endpoint
	request  *attempt
	name     string // X-Expect-Backend
	conn     *backendConn
	began    time.Duration
	deadline time.Duration // on the world's clock
	dialing  bool
	written  bool
	done     bool
	queued   bool
}

func newWays(p *process) *backendLinks {
	return &backendLinks{process: p, endpoints: map[control.BackendID]*endpoint{}, submissions: map[slots.Ref]*submission{}}
}

// SetBackend says where a backend is.
func (b *backendLinks) SetBackend(id control.BackendID, addr string, _ time.Duration, ready bool) {
	item := b.endpoints[id]
	if item == nil {
		if ready {
			b.endpoints[id] = &endpoint{addr: addr, ready: true}
		}
		return
	}
	if item.addr != addr || !ready {
		item.idle = nil
		for _, s := range b.sorted() {
			if s.endpoint == item && s.dialing {
				s.end(control.NotSent, false)
			}
		}
	}
	if item.ready = ready; ready {
		item.addr = addr
	} else {
		delete(b.endpoints, id)
	}
}

// SetMaxConns bounds nothing here: no more connections are kept than requests are out.
func (b *backendLinks) SetMaxConns(control.BackendID, int) {}

func (b *backendLinks) Probe(control.BackendID) {}

// sorted are the submissions that are out, in order.
func (b *backendLinks) sorted() []*submission {
	all := make([]*submission, 0, len(b.submissions))
	for _, ref := range sortedKeys(b.submissions) {
		all = append(all, b.submissions[ref])
	}
	return all
}

// lost: the node's process has ended, and its connections with it.
func (b *backendLinks) lost() {
	for _, s := range b.sorted() {
		s.done = true
		s.disconnect()
	}
}

// Submit sends on. However it ends, the gate hears of it once.
func (b *backendLinks) Submit(ref slots.Ref, nr int, m gate.Message, to control.BackendID, limits gate.Limits) {
	world, endpoint := b.process.world, b.endpoints[to]
	if endpoint == nil || !endpoint.ready {
		b.process.gate.Ended(ref, nr, to, gate.Outcome{Ending: control.NotSent})
		return
	}
	s := &submission{links: b, ref: ref, attempt: nr, target: to, endpoint: endpoint, began: world.now, deadline: world.now + limits.Attempt, name: b.process.node.BackendName(to)}
	b.submissions[ref] = s
	if number := m.AppendTo(nil, to, limits.Attempt); len(number) > 0 && s.name != "" {
		s.request = b.process.upstreams.attempts[numberOf(number)]
	}
	world.at(s.deadline, func() {
		if s.done {
			return
		}
		b.process.turn(func() {
			if s.written {
				s.end(control.TimedOut, false)
			} else {
				s.end(control.Unreachable, false)
			}
		})
	})
	for len(endpoint.idle) > 0 {
		l := endpoint.idle[len(endpoint.idle)-1]
		endpoint.idle = endpoint.idle[:len(endpoint.idle)-1]
		if !l.backend.dead && world.now-l.since < maxIdle {
			s.conn = l
			s.write()
			return
		}
	}
	s.dial()
}

const maxIdle = 3 * time.Second

func (s *submission) dial() {
	x, w := s.links, s.links.process.world
	s.dialing = true
	l, zone := w.timeline.byAddr[s.endpoint.addr], x.process.machine.zone
	ended := func() {
		x.process.turn(func() {
			if !s.done && s.dialing {
				s.end(control.Unreachable, false)
			}
		})
	}
	if l == nil {
		w.after(2*w.delay(zone, zone), ended)
		return
	}
	if w.backendUnreachable(x.process.machine, l.zone) {
		w.after(backendDialTimeout, ended)
		return
	}
	w.after(w.delay(zone, l.zone)+w.delay(l.zone, zone), func() {
		x.process.turn(func() {
			switch {
			case s.done:
			case l.dead:
				s.end(control.Unreachable, false)
			default:
				s.dialing = false
				s.conn = &backendConn{backend: l}
				s.write()
			}
		})
	})
}

// write puts the request on its connection: from now on it may have run.
func (s *submission) write() {
	x, w := s.links, s.links.process.world
	if s.request == nil || s.deadline <= w.now { // its client has gone
		s.end(control.NotSent, false)
		return
	}
	s.written = true
	b := s.conn.backend
	if w.backendUnreachable(x.process.machine, b.zone) {
		return // nobody answers
	}
	w.after(w.delay(x.process.machine.zone, b.zone), func() { b.receive(s) })
}

// answer is a backend's, on its way.
func (s *submission) answer(e control.Ending, final bool) {
	x, w := s.links, s.links.process.world
	if w.backendUnreachable(x.process.machine, s.conn.backend.zone) {
		return
	}
	w.after(w.delay(s.conn.backend.zone, x.process.machine.zone), func() {
		if !s.done {
			x.process.turn(func() { s.end(e, final) })
		}
	})
}

// misdirected: another backend answered at the address.
func (s *submission) misdirected() {
	x, w := s.links, s.links.process.world
	w.after(w.delay(s.conn.backend.zone, x.process.machine.zone), func() {
		if !s.done {
			x.process.turn(func() {
				if !s.done {
					x.process.node.BackendReplaced(s.target)
					s.conn = nil
					s.end(control.Rejected, false)
				}
			})
		}
	})
}

// disconnect tells the backend that the connection has ended: what it has not begun it drops.
func (s *submission) disconnect() {
	if s.conn == nil || !s.written {
		return
	}
	b := s.conn.backend
	s.links.process.world.after(s.links.process.world.delay(s.links.process.machine.zone, b.zone), func() { b.drop(s) })
}

// Recall calls a submission off.
func (b *backendLinks) Recall(ref slots.Ref, nr int) {
	if s := b.submissions[ref]; s != nil && s.attempt == nr {
		if s.written {
			s.end(control.Canceled, false)
		} else {
			s.end(control.NotSent, false)
		}
	}
}

// end tells the one outcome, in a turn.
func (s *submission) end(e control.Ending, final bool) {
	x := s.links
	if s.done {
		return
	}
	e = x.process.world.plantedEnding(s, e)
	s.done = true
	delete(x.submissions, s.ref)
	switch {
	case e == control.Succeeded || e == control.Errored || e == control.Rejected && s.conn != nil:
		if l := s.conn; l != nil && !l.backend.dead && s.endpoint.ready {
			l.since = x.process.world.now
			s.endpoint.idle = append(s.endpoint.idle, l)
		}
	default:
		s.disconnect()
	}
	o := gate.Outcome{Ending: e, Final: final, Took: x.process.world.now - s.began}
	if s.request != nil {
		o.Body = []byte(s.request.id)
	}
	x.process.gate.Ended(s.ref, s.attempt, s.target, o)
}
