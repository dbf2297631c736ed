package emulator

import (
	"encoding/binary"
	"time"

	"go.uber.org/zap"

	"clovergap/control"
	"clovergap/control/loadbalancer"
	"clovergap/internal/proxy/counters"
	"clovergap/internal/proxy/gate"
	"clovergap/internal/proxy/slots"
)

// decider is what decides at a front door: the gate with the module behind it, or a mark to compare with.
type decider interface {
	Take(x control.Txn, front gate.Front, who slots.Ref) (slots.Ref, bool)
	Left(ref slots.Ref)
	Ended(ref slots.Ref, nr int, at control.BackendID, o gate.Outcome)
	EndpointsChanged(whole bool, list []control.Endpoint)
	DatagramReceived(from control.GatewayID, payload []byte)
	Live(nr uint32) bool
	Due(nr uint32)
	RunDecisions()
}

// idleConn is a connection that rests.
type idleConn struct{ since time.Duration }

// node is one front door's machine: its process, its connections, what discovery told it.
type node struct {
	world            *world
	index            int
	zone             int
	incarnation      int
	running          bool
	stalled          bool
	backlog          []func()
	decider          decider
	counters         *counters.Set
	idle             map[*backend][]idleConn
	submissions      map[*submission]bool
	unavailableSince map[control.BackendID]time.Duration // since when it knows a backend as draining or gone
}

func newNode(w *world, nr, zone int) *node { return &node{world: w, index: nr, zone: zone} }

// module is the real thing: the gate and the module.
func module(d *node) decider {
	w := d.world
	seed := int64(w.spec.Seed)<<20 ^ int64(d.index)<<8 ^ int64(d.incarnation)
	m, err := loadbalancer.New(seed, settings(w.spec, d.index, d.zone), w.now)
	if err != nil {
		panic(err) // probed before the run
	}
	g := gate.New(m, d, 1<<16, d.counters, zap.NewNop())
	g.SetTransport(d, d)
	return g
}

// start begins a life, with the list as discovery has it.
func (n *node) start() {
	n.incarnation++
	n.running, n.stalled, n.backlog = true, false, nil
	n.counters = &counters.Set{}
	n.idle, n.submissions, n.unavailableSince = map[*backend][]idleConn{}, map[*submission]bool{}, map[control.BackendID]time.Duration{}
	n.decider = n.world.newDecider(n)
	var list []control.Endpoint
	for _, b := range n.world.backends {
		if b.state != control.Gone {
			list = append(list, b.listing())
		}
	}
	n.turn(func() { n.decider.EndpointsChanged(true, list) })
}

// kill ends the process at once: what it holds is left to its clients.
func (n *node) kill() {
	if !n.running {
		return
	}
	n.world.recorder.add(n.counters)
	n.running = false
	var mine []*submission
	for s := range n.submissions {
		mine = append(mine, s)
	}
	sortSubs(mine)
	for _, s := range mine {
		s := s
		s.done = true
		n.world.after(n.world.hop(n.zone, s.target.zone), func() { s.target.drop(s) })
	}
	for b, idle := range n.idle {
		b.open -= len(idle)
	}
	n.world.clients.lost(n)
	n.world.checker.killed(n)
}

// turn is one owner's: inputs, then decisions until there is none.
func (n *node) turn(do func()) {
	if !n.running {
		return
	}
	if n.stalled {
		n.backlog = append(n.backlog, do)
		return
	}
	do()
	n.decider.RunDecisions()
}

// stall lets the process stand still for a while: what comes meanwhile waits.
func (n *node) stall(long time.Duration) {
	if !n.running || n.stalled {
		return
	}
	life := n.incarnation
	n.stalled = true
	n.world.checker.stalled(n, n.world.now+long)
	n.world.after(long, func() {
		if n.incarnation != life || !n.running {
			return
		}
		n.stalled = false
		backlog := n.backlog
		n.backlog = nil
		n.turn(func() {
			for _, do := range backlog {
				do()
			}
		})
	})
}

func (n *node) listed(list []control.Endpoint) {
	n.turn(func() {
		for _, l := range list {
			if l.State == control.Ready {
				delete(n.unavailableSince, l.ID)
			} else if _, ok := n.unavailableSince[l.ID]; !ok {
				n.unavailableSince[l.ID] = n.world.now
			}
		}
		n.decider.EndpointsChanged(false, list)
	})
}

// ---- what the gate asks of its host

// Now is the clock.
func (n *node) Now() time.Duration { return n.world.now }

// Wake hangs the module's due time on the clock.
func (n *node) Wake(at time.Duration, nr uint32) {
	life := n.incarnation
	n.world.at(at, func() {
		if n.incarnation == life && n.running && (n.stalled || n.decider.Live(nr)) {
			n.turn(func() {
				if n.decider.Live(nr) {
					n.decider.Due(nr)
				}
			})
		}
	})
}

// SendDatagram sends a datagram: late, lost, or cut off.
func (n *node) SendDatagram(peer control.GatewayID, payload []byte) {
	w := n.world
	w.recorder.messages++
	w.checker.datagramSent(n, payload)
	if int(peer) < 0 || int(peer) >= len(w.nodes) || w.netRand.Float64() < w.spec.Peers.Loss || w.drawsFault(w.lossBy) {
		return
	}
	if w.partitioned(n.zone, w.nodes[peer].zone) {
		return
	}
	for _, c := range w.links.Send(w.now, n.index, int(peer), payload) {
		c.After += w.between(w.spec.Peers.Delay)
		w.deliverDatagram(c)
	}
}

// AppendTo gives the number of the try: the emulated wire needs no more.
func (n *node) AppendTo(b []byte, who, _ slots.Ref, _ control.BackendID, _ time.Duration) []byte {
	return binary.LittleEndian.AppendUint32(b, uint32(who))
}

// Complete, Decline and Void are the final answers.
func (n *node) Complete(who, _ slots.Ref, o gate.Outcome) {
	n.world.clients.answer(n, who, control.Succeeded, 0, o.Body)
}

// Reject: trying again is harmless.
func (n *node) Reject(who, _ slots.Ref, after time.Duration, _ control.Reason) {
	n.world.clients.answer(n, who, control.Rejected, after, nil)
}

// Fail makes no such promise.
func (n *node) Fail(who, _ slots.Ref, _ control.Reason) {
	n.world.clients.answer(n, who, control.Errored, 0, nil)
}

// Probe is not allowed on this site; as dispatch does, it is answered as failed.
func (n *node) Probe(control.BackendID) {}

// Recall gives a submission up.
func (n *node) Recall(ref slots.Ref, nr int) {
	for s := range n.submissions {
		if s.ref == ref && s.number == nr && !s.done {
			s.finish(control.Canceled)
			return
		}
	}
}

// submission is one try at a backend.
type submission struct {
	node        *node
	incarnation int
	ref         slots.Ref
	number      int
	attempt     *attempt
	target      *backend
	sent        time.Duration // handed to the network
	written     bool          // its last byte is written
	executed    bool
	fails       bool
	done        bool // its end is known at the node
	job         *job
}

// Submit sends a txn to a backend, over a connection that rests or a new one.
func (n *node) Submit(ref slots.Ref, nr int, m gate.Message, at control.BackendID, limits gate.Limits) {
	number := binary.LittleEndian.Uint32(m.AppendTo(nil, at, limits.Attempt))
	n.submit(ref, nr, n.world.clients.attempts[number], n.world.byID[at], limits.Attempt)
}

func (n *node) submit(ref slots.Ref, nr int, t *attempt, b *backend, limit time.Duration) {
	w := n.world
	s := &submission{node: n, incarnation: n.incarnation, ref: ref, number: nr, attempt: t, target: b, sent: w.now}
	n.submissions[s] = true
	w.recorder.submissions++
	if b.zone != n.zone {
		w.recorder.crossed++
	}
	w.checker.sent(s)
	w.after(max(limit, 0), func() { s.finish(control.TimedOut) })
	way := w.hop(n.zone, b.zone)
	if idle := n.idle[b]; len(idle) > 0 {
		n.idle[b] = idle[:len(idle)-1]
		if w.now-idle[len(idle)-1].since < w.spec.Backends.ConnIdle.D() {
			s.write(way)
			return
		}
		b.open--
	}
	w.recorder.handshakes++
	if !b.reachable(n) {
		w.after(w.spec.Backends.DialLimit.D(), func() { s.finish(control.Unreachable) })
		return
	}
	if b.dead {
		w.after(2*way, func() { s.finish(control.Unreachable) })
		return
	}
	b.open++
	w.after(time.Duration(2*w.spec.Backends.RoundTrips)*way+w.spec.Backends.Handshake.D(), func() { s.write(way) })
}

// write puts the last byte on the wire.
func (s *submission) write(way time.Duration) {
	if s.done {
		return
	}
	w := s.node.world
	if s.target.dead {
		w.after(way, func() { s.finish(control.Unreachable) })
		return
	}
	s.written = true
	w.after(way, func() {
		switch {
		case s.done || s.incarnation != s.node.incarnation:
		case s.target.dead:
			w.after(way, func() { s.finish(control.ConnectionLost) })
		case !s.target.reachable(s.node): // nothing comes back
		default:
			s.target.receive(s)
			if w.drawsFault(w.resetBy) { // sometime while it runs
				in := time.Duration(w.netRand.Float64() * s.attempt.request.work * float64(time.Second))
				w.after(way+in, func() { s.finish(control.ConnectionLost) })
			}
		}
	})
}

// reply is the backend's answer on its way back.
func (s *submission) reply(e control.Ending) {
	w := s.node.world
	if !s.target.reachable(s.node) || w.drawsFault(w.lostBy) {
		return
	}
	load := s.target.loadReport()
	w.after(w.hop(s.node.zone, s.target.zone), func() { s.end(e, load) })
}

// finish ends a submission at the node: what it gave up, the backend hears of.
func (s *submission) finish(e control.Ending) {
	if s.done || s.incarnation != s.node.incarnation || !s.node.running {
		return
	}
	if !s.written && (e == control.TimedOut || e == control.Canceled) {
		e = control.NotSent
	}
	b := s.target
	if s.written {
		b.open--
		s.node.world.after(s.node.world.hop(s.node.zone, b.zone), func() { b.drop(s) })
	}
	s.end(e, nil)
}

// end tells the gate how a submission went.
func (s *submission) end(e control.Ending, load []float64) {
	d := s.node
	if s.done || s.incarnation != d.incarnation || !d.running {
		return
	}
	d.turn(func() {
		if s.done || s.incarnation != d.incarnation {
			return
		}
		s.done = true
		delete(d.submissions, s)
		if e == control.Succeeded || e == control.Errored || e == control.Rejected {
			d.idle[s.target] = append(d.idle[s.target], idleConn{d.world.now})
		}
		d.world.checker.ended(s, e)
		o := gate.Outcome{Ending: e, Took: d.world.now - s.sent, Load: load}
		if e == control.Succeeded {
			o.Body = binary.LittleEndian.AppendUint32(nil, uint32(s.attempt.number))
		}
		d.decider.Ended(s.ref, s.number, s.target.id, o)
	})
}

// broken: the backend's process has ended.
func (n *node) broken(b *backend) {
	if count := len(n.idle[b]); count > 0 {
		b.open -= count
		delete(n.idle, b)
	}
	var mine []*submission
	for s := range n.submissions {
		if s.target == b && s.written {
			mine = append(mine, s)
		}
	}
	sortSubs(mine)
	for _, s := range mine {
		s := s
		if b.reachable(n) {
			n.world.after(n.world.hop(n.zone, b.zone), func() { s.end(control.ConnectionLost, nil) })
		}
	}
}
