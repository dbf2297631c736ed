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

// Gate receives the outcome of each attempt, and streamed answers.
type Gate interface {
	// Ended takes the one outcome of an attempt; also of one whose answer was streamed.
	Ended(txn slots.Ref, attempt int, at control.BackendID, o gate.Outcome)
	// Probed takes the outcome of a health check.
	Probed(at control.BackendID, good bool, took time.Duration, load []float64)
	// Begun takes the head of an answer that is streamed; false: nobody takes the rest.
	Begun(txn slots.Ref, o gate.Outcome) bool
	// Writable is how many bytes of a streamed answer may be passed now; below 0: nobody waits for them.
	Writable(txn slots.Ref) int
	// Pass takes the next bytes of a streamed answer.
	Pass(txn slots.Ref, part []byte)
}

// backend is a backend's address with the idle connections to it, the last used at the end.
type backend struct {
	id       control.BackendID
	addr     string
	started  time.Duration
	ready    bool // takes new attempts
	idle     []*conn
	open     int // number of connections, idle ones included
	maxConns int // of these; 0: as many as there may be
}

// Config configures a Dispatch.
type Config struct {
	// Dialect interprets the backends' answers.
	Dialect Dialect
	// IdleTimeout is when backends close an idle connection, unless their answers tell (Meaning.Idle).
	IdleTimeout time.Duration
	// MinIdle is how long a connection rests after an answer; 0: defaultMinIdle.
	MinIdle time.Duration
	// DialTimeout bounds a dial.
	DialTimeout time.Duration
	// Head and Body bound an answer's head and body, in bytes; if Head is 0, they are http1.MaxHead and http1.MaxBody.
	Head, Body int
	// Buffer is the size of an answer's body, in bytes, beyond which it is streamed; 0: none is.
	Buffer int
	// Raw bounds the bytes of an answer that wait on a connection; 0: enough for Head and Buffer if Buffer is set, else the
	// engine's bound.
	Raw int
}

// submission is an attempt: one sending of a txn to a backend.
type submission struct {
	txn            slots.Ref
	attempt        int
	backend        *backend
	message        gate.Message
	conn           *conn
	started        time.Duration
	deadline       time.Duration
	sendDeadline   time.Duration // from which the request must not be sent any more; 0: none
	answerTimeout  time.Duration // of an answer, from its first bytes; 0: none
	answerDeadline time.Duration // when an answer that has begun must be complete; 0: none has begun
	id             string
	streaming      bool // more of the request's body is to come
	transmission   transmission
}

// Dispatch sends attempts to backends over pooled connections.
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

// idleFraction is the part of Config.IdleTimeout for which an idle connection is used again. The backend may close an older one at any
// time, and what is written to it then may be lost.
const idleFraction = 0.8

// New makes a dispatch. freeDescriptor closes a connection that another stage does not need; false: there is none.
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

// SetMaxConns bounds the connections to a known backend; 0: no bound.
func (d *Dispatch) SetMaxConns(id control.BackendID, conns int) {
	if b := d.backends[id]; b != nil {
		b.maxConns = conns
	}
}

// SetBackend sets a backend's address, when its process started, and whether it takes new attempts. Idle connections to its former
// address or process are closed: if a machine vanished they stay open and never answer. Attempts that are still dialing a
// backend that moved, drains or is gone end as not sent. A backend that takes nothing new is forgotten; attempts in flight keep
// their reference to it.
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

// Backends counts the backends that take new attempts.
func (d *Dispatch) Backends() int { return len(d.backends) }

// SetBackends removes the backends that a complete list doesn't have.
func (d *Dispatch) SetBackends(listed map[control.BackendID]bool) {
	for id, b := range d.backends {
		if !listed[id] {
			d.SetBackend(id, b.addr, b.started, false)
		}
	}
}

// disconnectBackend closes a backend's idle connections and ends the attempts that are still dialing.
func (d *Dispatch) disconnectBackend(b *backend) {
	for len(b.idle) > 0 {
		b.idle[0].close()
	}
	d.submissions.Each(func(ref slots.Ref, s *submission) {
		if s.backend == b && s.conn != nil && s.conn.dialing {
			d.giveUp(ref, control.ConnectionLost, control.NotSent)
		}
	})
}

// Submit sends an attempt of a txn. However it ends, Gate.Ended is called once.
func (d *Dispatch) Submit(txn slots.Ref, attempt int, m gate.Message, to control.BackendID, limits gate.Limits) {
	b := d.backends[to]
	ref, s, ok := d.submissions.Add()
	if b == nil || !b.ready || !ok { // nothing goes to a backend that drains, whatever the module decided
		if ok {
			d.submissions.Drop(ref)
		}
		d.gate.Ended(txn, attempt, to, gate.Outcome{Ending: control.NotSent})
		return
	}
	now := d.engine.Now()
	*s = submission{txn: txn, attempt: attempt, backend: b, message: m, started: now, deadline: now + limits.Attempt,
		sendDeadline: limits.SendDeadline, answerTimeout: limits.Answer}
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

// reuseAny takes an idle connection regardless of Config.MinIdle when no more may be opened; without one the attempt ends.
func (d *Dispatch) reuseAny(b *backend, ref slots.Ref, s *submission) {
	c := d.reuse(b, true, s.message.ID())
	if c == nil {
		d.end(ref, control.NotSent)
		return
	}
	d.engine.Count.Add(counters.Reused)
	d.engine.At(s.deadline, &d.limitAlarms, uint32(ref))
	c.carry(ref, s)
}

// Recall cancels an attempt and closes its connection.
func (d *Dispatch) Recall(txn slots.Ref, attempt int) {
	ref := d.byTxn[txn]
	if s := d.submissions.Get(ref); s != nil && s.attempt == attempt {
		d.giveUp(ref, control.Canceled, control.NotSent)
	}
}

// Probe reports a failed health check at once: none is implemented here. It is not called unless health checks are allowed.
func (d *Dispatch) Probe(at control.BackendID) { d.gate.Probed(at, false, 0, nil) }

// disconnect closes the connection of an attempt that is given up.
func (d *Dispatch) disconnect(s *submission) {
	c := s.conn
	if c == nil {
		return
	}
	s.conn = nil
	if c.submission = 0; d.wary { // the backend must not receive the rest later
		c.link.Reset()
		c.drop()
	} else {
		c.close()
	}
}

// end reports an ending without an answer.
func (d *Dispatch) end(ref slots.Ref, e control.Ending) { d.ended(ref, gate.Outcome{Ending: e}) }

// ended forgets an attempt and reports its one outcome. It does nothing if the attempt has ended. Every call of the gate may end the very
// attempt that the caller goes on with: the gate may write to the client, and the client may be gone.
func (d *Dispatch) ended(ref slots.Ref, o gate.Outcome) {
	s := d.submissions.Get(ref)
	if s == nil {
		return
	}
	x := *s
	*s = submission{}
	d.submissions.Drop(ref)
	delete(d.byTxn, x.txn)
	o.Took = d.engine.Now() - x.started
	d.gate.Ended(x.txn, x.attempt, x.backend.id, o)
}
