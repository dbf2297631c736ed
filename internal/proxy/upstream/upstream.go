// Package upstream carries submissions to backends over connections that are kept. It chooses nothing: which
// backend, how long and whether again is the module's word.
package upstream

import (
	"time"

	"clovergap/control"
	"clovergap/internal/proxy/counters"
	"clovergap/internal/proxy/eventloop"
	"clovergap/internal/proxy/gate"
	"clovergap/internal/proxy/http1"
	"clovergap/internal/proxy/slots"
)

// Gate is told how each submission ended.
type Gate interface {
	Ended(txn slots.Ref, nr int, at control.BackendID, o gate.Outcome)
	Probed(at control.BackendID, good bool, took time.Duration, load []float64)
	// Of an answer that is passed on in parts: its head, how much is wanted, a part; Ended tells of its end as
	// well.
	Begun(txn slots.Ref, o gate.Outcome) bool
	Room(txn slots.Ref) int
	Pass(txn slots.Ref, part []byte)
}

// backend is where one is and the idle connections to it, the last used at the end.
type backend struct {
	id      control.BackendID
	addr    string
	started time.Duration
	ready   bool // takes new ones
	idle    []*conn
	open    int // connections, idle ones among them
	most    int // of these; 0: as many as there may be
}

// Terms are what a Dispatch goes by.
type Terms struct {
	Dialect Dialect
	Idle    time.Duration // after which a backend closes an idle connection, where its answers don't tell
	Rest    time.Duration // 0: restUsual
	Dial    time.Duration // limit of a dial
	Head    int           // bounds of an answer; 0: http1's
	Body    int
	Buffer  int // of a body, beyond which it is passed on in parts; 0: none is
	Raw     int // bytes of an answer that may wait; 0: the engine's
}

// submission is one that is out, or about to be.
type submission struct {
	txn     slots.Ref
	nr      int
	backend *backend
	message gate.Message
	conn    *conn
	began   time.Duration
	until   time.Duration
	whole   time.Duration // for an answer, from its first bytes
	wholeBy time.Duration // some of it has come, the rest must by then; 0: none has
	id      string
	flows   bool // more of its body is to come
	fence   fence
}

// Dispatch carries submissions.
type Dispatch struct {
	e        *eventloop.Engine
	gate     Gate
	backends map[control.BackendID]*backend
	subs     *slots.Table[submission]
	conns    *slots.Table[conn]
	byTxn    map[slots.Ref]slots.Ref
	terms    Terms
	wary     bool
	scratch  []byte
	dials    dialAlarm
	limits   limitAlarm
	parts    partAlarm
	makeRoom func() bool
}

// idleShare of the time after which a backend closes an idle connection: an older one is not used again, since
// what is written to it then may be lost.
const idleShare = 0.8

// New makes one. makeRoom gives back a descriptor that another stage does not need.
func New(e *eventloop.Engine, g Gate, t Terms, makeRoom func() bool) *Dispatch {
	d := &Dispatch{e: e, gate: g, backends: map[control.BackendID]*backend{}, terms: t, wary: t.Dialect.Wary(),
		subs: slots.New[submission](1 << 16), conns: slots.New[conn](1 << 16), byTxn: map[slots.Ref]slots.Ref{},
		makeRoom: makeRoom}
	if d.terms.Rest == 0 {
		d.terms.Rest = restUsual
	}
	if d.terms.Head == 0 {
		d.terms.Head, d.terms.Body = http1.MostHead, http1.MostBody
	}
	if d.terms.Buffer > 0 && d.terms.Raw == 0 {
		d.terms.Raw = d.terms.Head + d.terms.Buffer + d.terms.Buffer/4
	}
	d.dials.d, d.limits.d, d.parts.d = d, d, d
	return d
}

// SetMaxConns bounds the connections to a backend that is known; 0 bounds nothing.
func (d *Dispatch) SetMaxConns(id control.BackendID, conns int) {
	if b := d.backends[id]; b != nil {
		b.most = conns
	}
}

// SetBackend says where a backend is, since when, and whether it takes anything new. Connections to where it was before, or to
// the process before, are not used again: where a machine vanished they are open and silent. What is still being
// connected to one that drains or is gone ends here, never sent. One that takes nothing new is forgotten: what is out
// there keeps its own hold of it.
func (d *Dispatch) SetBackend(id control.BackendID, addr string, started time.Duration, ready bool) {
	b := d.backends[id]
	if b == nil {
		if ready {
			d.backends[id] = &backend{id: id, addr: addr, started: started, ready: true}
		}
		return
	}
	moved := ready && (b.addr != addr || b.started != started)
	if moved {
		b.addr, b.started = addr, started
	}
	if b.ready = ready; moved || !ready {
		d.leave(b)
	}
	if !ready {
		delete(d.backends, id)
	}
}

// Backends counts those that take something new.
func (d *Dispatch) Backends() int { return len(d.backends) }

// Only says which backends there are, where the whole list is known.
func (d *Dispatch) Only(listed map[control.BackendID]bool) {
	for id, b := range d.backends {
		if !listed[id] {
			d.SetBackend(id, b.addr, b.started, false)
		}
	}
}

// leave closes idle connections and ends what is still being connected.
func (d *Dispatch) leave(b *backend) {
	for len(b.idle) > 0 {
		b.idle[0].close()
	}
	d.subs.Each(func(ref slots.Ref, s *submission) {
		if s.backend == b && s.conn != nil && s.conn.dialing {
			d.giveUp(ref, s, control.ConnectionLost, control.NotSent)
		}
	})
}

// Submit sends a txn on. However it ends, Ended hears of it once.
func (d *Dispatch) Submit(txn slots.Ref, nr int, m gate.Message, to control.BackendID, limit, whole time.Duration) {
	b := d.backends[to]
	ref, s, ok := d.subs.Add()
	if b == nil || !b.ready || !ok { // the rule on drains holds here too, whatever asks
		if ok {
			d.subs.Drop(ref)
		}
		d.gate.Ended(txn, nr, to, gate.Outcome{Ending: control.NotSent})
		return
	}
	now := d.e.Now()
	*s = submission{txn: txn, nr: nr, backend: b, message: m, began: now, until: now + limit, whole: whole}
	d.byTxn[txn] = ref
	if c := d.reuse(b, false, m.ID()); c != nil {
		d.e.Count.Add(counters.Reused)
		d.e.At(s.until, &d.limits, uint32(ref))
		c.carry(ref, s)
		return
	}
	if b.most > 0 && b.open >= b.most {
		d.crowded(b, ref, s)
		return
	}
	if d.dial(b, ref, s) {
		if dialUntil := now + d.terms.Dial; dialUntil < s.until {
			d.e.At(dialUntil, &d.dials, uint32(ref))
		}
		d.e.At(s.until, &d.limits, uint32(ref))
	}
}

// crowded takes a connection that has not rested where no more may be opened, rather than none at all.
func (d *Dispatch) crowded(b *backend, ref slots.Ref, s *submission) {
	c := d.reuse(b, true, s.message.ID())
	if c == nil {
		d.tell(ref, s, control.NotSent)
		return
	}
	d.e.Count.Add(counters.Reused)
	d.e.At(s.until, &d.limits, uint32(ref))
	c.carry(ref, s)
}

// Recall calls a submission off: its connection ends.
func (d *Dispatch) Recall(txn slots.Ref, nr int) {
	ref := d.byTxn[txn]
	if s := d.subs.Get(ref); s != nil && s.nr == nr {
		d.giveUp(ref, s, control.Canceled, control.NotSent)
	}
}

// Probe is not called where probes are not allowed; where they are, no word of how they look has come yet.
func (d *Dispatch) Probe(at control.BackendID) { d.gate.Probed(at, false, 0, nil) }

// cut closes the connection of a submission that is given up.
func (d *Dispatch) cut(s *submission) {
	c := s.conn
	if c == nil {
		return
	}
	s.conn = nil
	if c.sub = 0; d.wary { // what was given up must not arrive later
		c.l.Reset()
		c.drop()
	} else {
		c.close()
	}
}

// tell says how a submission ended without an answer that is passed on.
func (d *Dispatch) tell(ref slots.Ref, s *submission, e control.Ending) {
	d.ended(ref, s, gate.Outcome{Ending: e})
}

// ended hands the one outcome of a submission on.
func (d *Dispatch) ended(ref slots.Ref, s *submission, o gate.Outcome) {
	x := *s
	*s = submission{}
	d.subs.Drop(ref)
	delete(d.byTxn, x.txn)
	o.Took = d.e.Now() - x.began
	d.gate.Ended(x.txn, x.nr, x.backend.id, o)
}

// limitAlarm and dialAlarm are told when a submission's time, or that of its dial, is up; partAlarm when an answer has
// begun long ago and is not whole: a length that promises more than comes, a head that trickles. What waits for it would
// else wait for its limit. A backend whose network is that slow is hurt.
type limitAlarm struct{ d *Dispatch }
type dialAlarm struct{ d *Dispatch }
type partAlarm struct{ d *Dispatch }

func (p *partAlarm) Live(ref uint32) bool {
	s := p.d.subs.Get(slots.Ref(ref))
	return s != nil && s.wholeBy > 0
}

func (p *partAlarm) Due(ref uint32) {
	s := p.d.subs.Get(slots.Ref(ref))
	switch {
	case !p.Live(ref) || p.d.e.Now() < s.wholeBy:
	case p.d.e.InputDelay() > 0 && !unfenced.unread: // this node stood still: the rest may lie unread
		s.wholeBy = p.d.e.Now() + s.whole
		p.d.e.At(s.wholeBy, p, ref)
	default:
		p.d.spoilt(slots.Ref(ref), s)
	}
}

func (l *limitAlarm) Live(ref uint32) bool { return l.d.subs.Get(slots.Ref(ref)) != nil }

func (l *limitAlarm) Due(ref uint32) {
	// A slot's generations come round: an alarm of long ago may name the submission of now.
	if s := l.d.subs.Get(slots.Ref(ref)); s != nil && l.d.e.Now() >= s.until {
		l.d.giveUp(slots.Ref(ref), s, control.TimedOut, control.Unreachable)
	}
}

func (d *dialAlarm) Live(ref uint32) bool {
	s := d.d.subs.Get(slots.Ref(ref))
	return s != nil && s.conn != nil && s.conn.dialing
}

func (d *dialAlarm) Due(ref uint32) {
	if s := d.d.subs.Get(slots.Ref(ref)); d.Live(ref) && d.d.e.Now() >= s.began+d.d.terms.Dial {
		d.d.e.Count.Add(counters.DialsFailed)
		d.d.giveUp(slots.Ref(ref), s, control.ConnectionLost, control.Unreachable)
	}
}
