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
	Writable(txn slots.Ref) int
	Pass(txn slots.Ref, part []byte)
}

// backend is where one is and the idle connections to it, the last used at the end.
type backend struct {
	id       control.BackendID
	addr     string
	started  time.Duration
	ready    bool // takes new ones
	idle     []*conn
	open     int // connections, idle ones among them
	maxConns int // of these; 0: as many as there may be
}

// Config are what a Dispatch goes by.
type Config struct {
	Dialect     Dialect
	IdleTimeout time.Duration // after which a backend closes an idle connection, where its answers don't tell
	MinIdle     time.Duration // 0: defaultMinIdle
	DialTimeout time.Duration // limit of a dial
	Head        int           // bounds of an answer; 0: http1's
	Body        int
	Buffer      int // of a body, beyond which it is passed on in parts; 0: none is
	Raw         int // bytes of an answer that may wait; 0: the engine's
}

// submission is one that is out, or about to be.
type submission struct {
	txn            slots.Ref
	attempt        int
	backend        *backend
	message        gate.Message
	conn           *conn
	started        time.Duration
	deadline       time.Duration
	answerTimeout  time.Duration // for an answer, from its first bytes
	answerDeadline time.Duration // some of it has come, the rest must by then; 0: none has
	id             string
	streaming      bool // more of its body is to come
	transmission   transmission
}

// Dispatch carries submissions.
type Dispatch struct {
	engine         *eventloop.Engine
	gate           Gate
	backends       map[control.BackendID]*backend
	submissions    *slots.Table[submission]
	conns          *slots.Table[conn]
	byTxn          map[slots.Ref]slots.Ref
	config         Config
	wary           bool
	scratch        []byte
	dialAlarms     dialAlarm
	limitAlarms    limitAlarm
	partAlarms     partAlarm
	freeDescriptor func() bool
}

// idleFraction of the time after which a backend closes an idle connection: an older one is not used again, since
// what is written to it then may be lost.
const idleFraction = 0.8

// New makes one. freeDescriptor gives back a descriptor that another stage does not need.
func New(e *eventloop.Engine, g Gate, t Config, makeRoom func() bool) *Dispatch {
	d := &Dispatch{engine: e, gate: g, backends: map[control.BackendID]*backend{}, config: t, wary: t.Dialect.Wary(),
		submissions: slots.New[submission](1 << 16), conns: slots.New[conn](1 << 16), byTxn: map[slots.Ref]slots.Ref{},
		freeDescriptor: makeRoom}
	if d.config.MinIdle == 0 {
		d.config.MinIdle = defaultMinIdle
	}
	if d.config.Head == 0 {
		d.config.Head, d.config.Body = http1.MaxHead, http1.MaxBody
	}
	if d.config.Buffer > 0 && d.config.Raw == 0 {
		d.config.Raw = d.config.Head + d.config.Buffer + d.config.Buffer/4
	}
	d.dialAlarms.dispatch, d.limitAlarms.dispatch, d.partAlarms.dispatch = d, d, d
	return d
}

// SetMaxConns bounds the connections to a backend that is known; 0 bounds nothing.
func (d *Dispatch) SetMaxConns(id control.BackendID, conns int) {
	if b := d.backends[id]; b != nil {
		b.maxConns = conns
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
		d.disconnectBackend(b)
	}
	if !ready {
		delete(d.backends, id)
	}
}

// Backends counts those that take something new.
func (d *Dispatch) Backends() int { return len(d.backends) }

// SetBackends says which backends there are, where the whole list is known.
func (d *Dispatch) SetBackends(listed map[control.BackendID]bool) {
	for id, b := range d.backends {
		if !listed[id] {
			d.SetBackend(id, b.addr, b.started, false)
		}
	}
}

// disconnectBackend closes idle connections and ends what is still being connected.
func (d *Dispatch) disconnectBackend(b *backend) {
	for len(b.idle) > 0 {
		b.idle[0].close()
	}
	d.submissions.Each(func(ref slots.Ref, s *submission) {
		if s.backend == b && s.conn != nil && s.conn.dialing {
			d.giveUp(ref, s, control.ConnectionLost, control.NotSent)
		}
	})
}

// Submit sends a txn on. However it ends, Ended hears of it once.
func (d *Dispatch) Submit(txn slots.Ref, nr int, m gate.Message, to control.BackendID, limit, whole time.Duration) {
	b := d.backends[to]
	ref, s, ok := d.submissions.Add()
	if b == nil || !b.ready || !ok { // the rule on drains holds here too, whatever asks
		if ok {
			d.submissions.Drop(ref)
		}
		d.gate.Ended(txn, nr, to, gate.Outcome{Ending: control.NotSent})
		return
	}
	now := d.engine.Now()
	*s = submission{txn: txn, attempt: nr, backend: b, message: m, started: now, deadline: now + limit, answerTimeout: whole}
	d.byTxn[txn] = ref
	if c := d.reuse(b, false, m.ID()); c != nil {
		d.engine.Count.Add(counters.Reused)
		d.engine.At(s.deadline, &d.limitAlarms, uint32(ref))
		c.carry(ref, s)
		return
	}
	if b.maxConns > 0 && b.open >= b.maxConns {
		d.reuseAny(b, ref, s)
		return
	}
	if d.dial(b, ref, s) {
		if dialUntil := now + d.config.DialTimeout; dialUntil < s.deadline {
			d.engine.At(dialUntil, &d.dialAlarms, uint32(ref))
		}
		d.engine.At(s.deadline, &d.limitAlarms, uint32(ref))
	}
}

// reuseAny takes a connection that has not rested where no more may be opened, rather than none at all.
func (d *Dispatch) reuseAny(b *backend, ref slots.Ref, s *submission) {
	c := d.reuse(b, true, s.message.ID())
	if c == nil {
		d.end(ref, s, control.NotSent)
		return
	}
	d.engine.Count.Add(counters.Reused)
	d.engine.At(s.deadline, &d.limitAlarms, uint32(ref))
	c.carry(ref, s)
}

// Recall calls a submission off: its connection ends.
func (d *Dispatch) Recall(txn slots.Ref, nr int) {
	ref := d.byTxn[txn]
	if s := d.submissions.Get(ref); s != nil && s.attempt == nr {
		d.giveUp(ref, s, control.Canceled, control.NotSent)
	}
}

// Probe is not called where probes are not allowed; where they are, no word of how they look has come yet.
func (d *Dispatch) Probe(at control.BackendID) { d.gate.Probed(at, false, 0, nil) }

// disconnect closes the connection of a submission that is given up.
func (d *Dispatch) disconnect(s *submission) {
	c := s.conn
	if c == nil {
		return
	}
	s.conn = nil
	if c.sub = 0; d.wary { // what was given up must not arrive later
		c.link.Reset()
		c.drop()
	} else {
		c.close()
	}
}

// end says how a submission ended without an answer that is passed on.
func (d *Dispatch) end(ref slots.Ref, s *submission, e control.Ending) {
	d.ended(ref, s, gate.Outcome{Ending: e})
}

// ended hands the one outcome of a submission on.
func (d *Dispatch) ended(ref slots.Ref, s *submission, o gate.Outcome) {
	x := *s
	*s = submission{}
	d.submissions.Drop(ref)
	delete(d.byTxn, x.txn)
	o.Took = d.engine.Now() - x.started
	d.gate.Ended(x.txn, x.attempt, x.backend.id, o)
}

// limitAlarm and dialAlarm are told when a submission's time, or that of its dial, is up; partAlarm when an answer has
// begun long ago and is not whole: a length that promises more than comes, a head that trickles. What waits for it would
// else wait for its limit. A backend whose network is that slow is hurt.
type limitAlarm struct{ dispatch *Dispatch }
type dialAlarm struct{ dispatch *Dispatch }
type partAlarm struct{ dispatch *Dispatch }

func (p *partAlarm) Live(ref uint32) bool {
	s := p.dispatch.submissions.Get(slots.Ref(ref))
	return s != nil && s.answerDeadline > 0
}

func (p *partAlarm) Due(ref uint32) {
	s := p.dispatch.submissions.Get(slots.Ref(ref))
	switch {
	case !p.Live(ref) || p.dispatch.engine.Now() < s.answerDeadline:
	case p.dispatch.engine.InputDelay() > 0 && !disabledChecks.unread: // this node stood still: the rest may lie unread
		s.answerDeadline = p.dispatch.engine.Now() + s.answerTimeout
		p.dispatch.engine.At(s.answerDeadline, p, ref)
	default:
		p.dispatch.badAnswer(slots.Ref(ref), s)
	}
}

func (l *limitAlarm) Live(ref uint32) bool { return l.dispatch.submissions.Get(slots.Ref(ref)) != nil }

func (l *limitAlarm) Due(ref uint32) {
	// A slot's generations come round: an alarm of long ago may name the submission of now.
	if s := l.dispatch.submissions.Get(slots.Ref(ref)); s != nil && l.dispatch.engine.Now() >= s.deadline {
		l.dispatch.giveUp(slots.Ref(ref), s, control.TimedOut, control.Unreachable)
	}
}

func (d *dialAlarm) Live(ref uint32) bool {
	s := d.dispatch.submissions.Get(slots.Ref(ref))
	return s != nil && s.conn != nil && s.conn.dialing
}

func (d *dialAlarm) Due(ref uint32) {
	if s := d.dispatch.submissions.Get(slots.Ref(ref)); d.Live(ref) && d.dispatch.engine.Now() >= s.started+d.dispatch.config.DialTimeout {
		d.dispatch.engine.Count.Add(counters.DialsFailed)
		d.dispatch.giveUp(slots.Ref(ref), s, control.ConnectionLost, control.Unreachable)
	}
}
