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

// held is a connection that rests.
type held struct{ since time.Duration }

// node is one front door's machine: its process, its connections, what discovery told it.
type node struct {
	w       *world
	nr      int
	zone    int
	life    int
	up      bool
	stalled bool
	backlog []func()
	brain   decider
	count   *counters.Set
	idle    map[*backend][]held
	subs    map[*submission]bool
	told    map[control.BackendID]time.Duration // since when it knows a backend as draining or gone
}

func newNode(w *world, nr, zone int) *node { return &node{w: w, nr: nr, zone: zone} }

// module is the real thing: the gate and the module.
func module(d *node) decider {
	w := d.w
	seed := int64(w.s.Seed)<<20 ^ int64(d.nr)<<8 ^ int64(d.life)
	m, err := loadbalancer.New(seed, settings(w.s, d.nr, d.zone), w.now)
	if err != nil {
		panic(err) // probed before the run
	}
	g := gate.New(m, d, 1<<16, d.count, zap.NewNop())
	g.SetTransport(d, d)
	return g
}

// start begins a life, with the list as discovery has it.
func (n *node) start() {
	n.life++
	n.up, n.stalled, n.backlog = true, false, nil
	n.count = &counters.Set{}
	n.idle, n.subs, n.told = map[*backend][]held{}, map[*submission]bool{}, map[control.BackendID]time.Duration{}
	n.brain = n.w.make(n)
	var list []control.Endpoint
	for _, b := range n.w.backends {
		if b.state != control.Gone {
			list = append(list, b.listing())
		}
	}
	n.turn(func() { n.brain.EndpointsChanged(true, list) })
}

// kill ends the process at once: what it holds is left to its clients.
func (n *node) kill() {
	if !n.up {
		return
	}
	n.w.res.add(n.count)
	n.up = false
	var mine []*submission
	for s := range n.subs {
		mine = append(mine, s)
	}
	sortSubs(mine)
	for _, s := range mine {
		s := s
		s.over = true
		n.w.after(n.w.hop(n.zone, s.to.zone), func() { s.to.drop(s) })
	}
	for b, idle := range n.idle {
		b.open -= len(idle)
	}
	n.w.clients.lost(n)
	n.w.judge.killed(n)
}

// turn is one owner's: inputs, then decisions until there is none.
func (n *node) turn(do func()) {
	if !n.up {
		return
	}
	if n.stalled {
		n.backlog = append(n.backlog, do)
		return
	}
	do()
	n.brain.RunDecisions()
}

// stall lets the process stand still for a while: what comes meanwhile waits.
func (n *node) stall(long time.Duration) {
	if !n.up || n.stalled {
		return
	}
	life := n.life
	n.stalled = true
	n.w.judge.stalled(n, n.w.now+long)
	n.w.after(long, func() {
		if n.life != life || !n.up {
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
				delete(n.told, l.ID)
			} else if _, ok := n.told[l.ID]; !ok {
				n.told[l.ID] = n.w.now
			}
		}
		n.brain.EndpointsChanged(false, list)
	})
}

// ---- what the gate asks of its host

// Now is the clock.
func (n *node) Now() time.Duration { return n.w.now }

// Wake hangs the module's due time on the clock.
func (n *node) Wake(at time.Duration, nr uint32) {
	life := n.life
	n.w.at(at, func() {
		if n.life == life && n.up && (n.stalled || n.brain.Live(nr)) {
			n.turn(func() {
				if n.brain.Live(nr) {
					n.brain.Due(nr)
				}
			})
		}
	})
}

// SendDatagram sends a datagram: late, lost, or cut off.
func (n *node) SendDatagram(peer control.GatewayID, payload []byte) {
	w := n.w
	w.res.messages++
	w.judge.said(n, payload)
	if int(peer) < 0 || int(peer) >= len(w.nodes) || w.net.Float64() < w.s.Peers.Loss || w.faultAt(w.lossBy) {
		return
	}
	if w.apart(n.zone, w.nodes[peer].zone) {
		return
	}
	for _, c := range w.links.Send(w.now, n.nr, int(peer), payload) {
		c.After += w.between(w.s.Peers.Delay)
		w.hear(c)
	}
}

// AppendTo gives the number of the try: the emulated wire needs no more.
func (n *node) AppendTo(b []byte, who, _ slots.Ref, _ control.BackendID, _ time.Duration) []byte {
	return binary.LittleEndian.AppendUint32(b, uint32(who))
}

// Complete, Decline and Void are the final answers.
func (n *node) Complete(who, _ slots.Ref, o gate.Outcome) {
	n.w.clients.answer(n, who, control.Succeeded, 0, o.Body)
}

// Reject: trying again is harmless.
func (n *node) Reject(who, _ slots.Ref, after time.Duration, _ control.Reason) {
	n.w.clients.answer(n, who, control.Rejected, after, nil)
}

// Fail makes no such promise.
func (n *node) Fail(who, _ slots.Ref, _ control.Reason) {
	n.w.clients.answer(n, who, control.Errored, 0, nil)
}

// Probe is not allowed on this site; as dispatch does, it is answered as failed.
func (n *node) Probe(control.BackendID) {}

// Recall gives a submission up.
func (n *node) Recall(ref slots.Ref, nr int) {
	for s := range n.subs {
		if s.ref == ref && s.nr == nr && !s.over {
			s.finish(control.Canceled)
			return
		}
	}
}

// submission is one try at a backend.
type submission struct {
	d     *node
	life  int
	ref   slots.Ref
	nr    int
	try   *try
	to    *backend
	sent  time.Duration // handed to the network
	whole bool          // its last byte is written
	ran   bool
	fails bool
	over  bool // its end is known at the node
	job   *job
}

// Submit sends a txn to a backend, over a connection that rests or a new one.
func (n *node) Submit(ref slots.Ref, nr int, m gate.Message, at control.BackendID, limit, _ time.Duration) {
	n.submit(ref, nr, n.w.clients.tries[binary.LittleEndian.Uint32(m.AppendTo(nil, at, limit))], n.w.byID[at], limit)
}

func (n *node) submit(ref slots.Ref, nr int, t *try, b *backend, limit time.Duration) {
	w := n.w
	s := &submission{d: n, life: n.life, ref: ref, nr: nr, try: t, to: b, sent: w.now}
	n.subs[s] = true
	w.res.submissions++
	if b.zone != n.zone {
		w.res.crossed++
	}
	w.judge.sent(s)
	w.after(max(limit, 0), func() { s.finish(control.TimedOut) })
	way := w.hop(n.zone, b.zone)
	if idle := n.idle[b]; len(idle) > 0 {
		n.idle[b] = idle[:len(idle)-1]
		if w.now-idle[len(idle)-1].since < w.s.Backends.ConnIdle.D() {
			s.write(way)
			return
		}
		b.open--
	}
	w.res.handshakes++
	if !b.reachable(n) {
		w.after(w.s.Backends.DialLimit.D(), func() { s.finish(control.Unreachable) })
		return
	}
	if b.dead {
		w.after(2*way, func() { s.finish(control.Unreachable) })
		return
	}
	b.open++
	w.after(time.Duration(2*w.s.Backends.RoundTrips)*way+w.s.Backends.Handshake.D(), func() { s.write(way) })
}

// write puts the last byte on the wire.
func (s *submission) write(way time.Duration) {
	if s.over {
		return
	}
	w := s.d.w
	if s.to.dead {
		w.after(way, func() { s.finish(control.Unreachable) })
		return
	}
	s.whole = true
	w.after(way, func() {
		switch {
		case s.over || s.life != s.d.life:
		case s.to.dead:
			w.after(way, func() { s.finish(control.ConnectionLost) })
		case !s.to.reachable(s.d): // nothing comes back
		default:
			s.to.take(s)
			if w.faultAt(w.resetBy) { // sometime while it runs
				in := time.Duration(w.net.Float64() * s.try.req.work * float64(time.Second))
				w.after(way+in, func() { s.finish(control.ConnectionLost) })
			}
		}
	})
}

// reply is the backend's answer on its way back.
func (s *submission) reply(e control.Ending) {
	w := s.d.w
	if !s.to.reachable(s.d) || w.faultAt(w.lostBy) {
		return
	}
	load := s.to.held()
	w.after(w.hop(s.d.zone, s.to.zone), func() { s.end(e, load) })
}

// finish ends a submission at the node: what it gave up, the backend hears of.
func (s *submission) finish(e control.Ending) {
	if s.over || s.life != s.d.life || !s.d.up {
		return
	}
	if !s.whole && (e == control.TimedOut || e == control.Canceled) {
		e = control.NotSent
	}
	b := s.to
	if s.whole {
		b.open--
		s.d.w.after(s.d.w.hop(s.d.zone, b.zone), func() { b.drop(s) })
	}
	s.end(e, nil)
}

// end tells the gate how a submission went.
func (s *submission) end(e control.Ending, load []float64) {
	d := s.d
	if s.over || s.life != d.life || !d.up {
		return
	}
	d.turn(func() {
		if s.over || s.life != d.life {
			return
		}
		s.over = true
		delete(d.subs, s)
		if e == control.Succeeded || e == control.Errored || e == control.Rejected {
			d.idle[s.to] = append(d.idle[s.to], held{d.w.now})
		}
		d.w.judge.ended(s, e)
		o := gate.Outcome{Ending: e, Took: d.w.now - s.sent, Load: load}
		if e == control.Succeeded {
			o.Body = binary.LittleEndian.AppendUint32(nil, uint32(s.try.nr))
		}
		d.brain.Ended(s.ref, s.nr, s.to.id, o)
	})
}

// broken: the backend's process has ended.
func (n *node) broken(b *backend) {
	if count := len(n.idle[b]); count > 0 {
		b.open -= count
		delete(n.idle, b)
	}
	var mine []*submission
	for s := range n.subs {
		if s.to == b && s.whole {
			mine = append(mine, s)
		}
	}
	sortSubs(mine)
	for _, s := range mine {
		s := s
		if b.reachable(n) {
			n.w.after(n.w.hop(n.zone, b.zone), func() { s.end(control.ConnectionLost, nil) })
		}
	}
}
