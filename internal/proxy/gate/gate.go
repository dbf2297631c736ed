// Package gate drives the decision module: inputs only update what it knows; at the end of a turn decisions are
// pulled one by one and carried out. No protocol is known here: a second front would use the same gate.
package gate

import (
	"time"

	"go.uber.org/zap"

	"clovergap/control"
	"clovergap/internal/failpoint"
	"clovergap/internal/invariant"
	"clovergap/internal/proxy/counters"
	"clovergap/internal/proxy/http1"
	"clovergap/internal/proxy/slots"
)

// Module is what decides: inputs only update what it knows, and Next gives what is to be done now, one by
// one, until there is nothing: *loadbalancer.Controller or *admission.Controller.
type Module interface {
	Now(time.Duration)
	TxnArrived(control.Txn)
	ClientLeft(control.TxnID)
	SubmissionEnded(id control.TxnID, nr int, at control.BackendID, e control.Ending, over bool, took time.Duration,
		load []float64)
	EndpointsChanged(whole bool, list []control.Endpoint)
	DatagramReceived(from control.GatewayID, payload []byte)
	ProbeEnded(at control.BackendID, good bool, took time.Duration, load []float64)
	Woken(uint64)
	Next() (control.Decision, bool)
}

// Front is where txns come from. It knows a txn by its own number for who waits and by the gate's for the txn,
// so that a late word finds nobody else.
type Front interface {
	// Complete gives what the backend answered, or a Final failure.
	Complete(who, txn slots.Ref, o Outcome)
	// Reject: it never ran and never will; the client may come again, best after some time (0: no advice).
	Reject(who, txn slots.Ref, after time.Duration, why control.Reason)
	// Fail: it may have run.
	Fail(who, txn slots.Ref, why control.Reason)
	// AppendTo writes what is passed on to a backend; nothing once the client has gone.
	AppendTo(b []byte, who, txn slots.Ref, at control.BackendID, wait time.Duration) []byte
}

// Streamer is a front some of whose bodies are passed on as they come, both ways.
type Streamer interface {
	Front
	// Flows: Part gives its body, AppendTo the head alone.
	Flows(who, txn slots.Ref) bool
	// BodyConsumed: some of that body has gone, and the request can't go again.
	BodyConsumed(who, txn slots.Ref) bool
	// Part adds what has come of the body; when it is not ok, no more will.
	Part(b []byte, who, txn slots.Ref) (out []byte, whole, ok bool)
	// Begin takes the head of an answer; false: it can't be passed on in parts.
	Begin(who, txn slots.Ref, o Outcome) bool
	// Writable is how many bytes of the answer are wanted now; below 0: nobody waits. Pass adds them.
	Writable(who, txn slots.Ref) int
	Pass(who, txn slots.Ref, part []byte)
	// End ends the answer; one that is not whole must not look so.
	End(who, txn slots.Ref, whole bool)
}

// Message is what is passed on to a backend. It gives nothing once its client has gone.
type Message struct {
	front    Front
	who, txn slots.Ref
}

// AppendTo writes it as it goes on to a backend, which has so long for it.
func (m Message) AppendTo(b []byte, at control.BackendID, wait time.Duration) []byte {
	return m.front.AppendTo(b, m.who, m.txn, at, wait)
}

// ID is what its client calls it, while the client waits and where the front knows.
func (m Message) ID() string {
	if n, ok := m.front.(namer); ok {
		return n.ID(m.who, m.txn)
	}
	return ""
}

// Once tells whether it may run at most once, where the front knows.
func (m Message) Once() bool {
	o, ok := m.front.(interface{ Once(who, txn slots.Ref) bool })
	return ok && o.Once(m.who, m.txn)
}

// Flows tells whether its body is passed on as it comes.
func (m Message) Flows() bool {
	s, ok := m.front.(Streamer)
	return ok && s.Flows(m.who, m.txn)
}

// bodyConsumed tells whether some of such a body has gone.
func (m Message) bodyConsumed() bool {
	s, ok := m.front.(Streamer)
	return ok && s.BodyConsumed(m.who, m.txn)
}

// Part adds what has come of such a body. When it is not ok, the rest never comes.
func (m Message) Part(b []byte) (out []byte, whole, ok bool) {
	return m.front.(Streamer).Part(b, m.who, m.txn)
}

// Sender carries submissions and tells Ended, exactly once, how each went.
type Sender interface {
	Submit(txn slots.Ref, nr int, m Message, to control.BackendID, limit, whole time.Duration)
	Recall(txn slots.Ref, nr int)
	Probe(at control.BackendID)
}

// DatagramSender carries messages to peers.
type DatagramSender interface {
	SendDatagram(peer control.GatewayID, payload []byte)
}

// Answered is what a watcher is told of a txn that a backend's answer ended; the module's verbs name the others.
const Answered control.Action = -1

// Watcher is told of the steps of txns, where operators want a history of them. Without one nothing is done.
type Watcher interface {
	Sent(txn slots.Ref, id string, nr int, to control.BackendID)
	Ended(txn slots.Ref, nr int, at control.BackendID, how control.Ending)
	Final(txn slots.Ref, id string, how control.Action)
}

// namer is a front that knows txns by their clients' ids.
type namer interface {
	ID(who, txn slots.Ref) string
}

// Clock is the turn's time and a place to hang due times.
type Clock interface {
	Now() time.Duration
	Wake(at time.Duration, nr uint32)
}

// txn is one that this front door holds.
type txn struct {
	front      Front
	who        slots.Ref
	expiry     time.Duration
	answered   bool // or nobody waits any more
	begun      bool // some of an answer has gone to the client
	streams    bool // its body is passed on as it comes
	attempts   int  // submissions so far
	submitted  bool
	mayHaveRun bool // one of them may have run
}

// Log takes the module's lines; *zap.Logger is one. The fields are all made by zap.Float64.
type Log interface {
	Info(message string, fields ...zap.Field)
}

// Gate is the module with what it drives.
type Gate struct {
	module       Module
	clock        Clock
	txns         *slots.Table[txn]
	sender       Sender
	datagrams    DatagramSender
	counters     *counters.Set
	log          Log
	wakeSequence uint32 // number of the module's present due time
	watcher      Watcher
}

// New makes a gate for at most so many txns at a time.
func New(node Module, clock Clock, most int, count *counters.Set, log Log) *Gate {
	return &Gate{module: node, clock: clock, txns: slots.New[txn](most), counters: count, log: log}
}

// SetTransport says what carries submissions and messages.
func (g *Gate) SetTransport(s Sender, t DatagramSender) { g.sender, g.datagrams = s, t }

// SetWatcher says who is told of the steps of txns.
func (g *Gate) SetWatcher(w Watcher) { g.watcher = w }

func (t *txn) message(ref slots.Ref) Message { return Message{t.front, t.who, ref} }

// final tells of a final answer before it leaves.
func (g *Gate) final(ref slots.Ref, t *txn, how control.Action) {
	failpoint.At(failpoint.BeforeAnswer)
	if g.watcher != nil {
		g.watcher.Final(ref, t.message(ref).ID(), how)
	}
}

// InFlight counts txns that are not answered or still have a submission out.
func (g *Gate) InFlight() int { return g.txns.Len() }

// Requester is who waits for a txn, by its front's own number; 0: it is not held.
func (g *Gate) Requester(ref slots.Ref) slots.Ref {
	if t := g.txns.Get(ref); t != nil {
		return t.who
	}
	return 0
}

// ---- Inputs

// Take takes a txn in. Its id is given here; false means that as many as may be are held.
func (g *Gate) Take(x control.Txn, front Front, who slots.Ref) (slots.Ref, bool) {
	ref, t, ok := g.txns.Add()
	if !ok {
		g.counters.Add(counters.TooMany)
		return 0, false
	}
	*t = txn{front: front, who: who, expiry: x.Expiry}
	x.ID = control.TxnID(ref)
	g.counters.Add(counters.TxnsTaken)
	g.module.Now(g.clock.Now())
	g.module.TxnArrived(x)
	return ref, true
}

// Left is told when the client of a txn has gone away.
func (g *Gate) Left(ref slots.Ref) {
	t := g.txns.Get(ref)
	if t == nil || t.answered {
		return
	}
	g.counters.Add(counters.TxnsLeft)
	t.answered = true
	g.module.Now(g.clock.Now())
	g.module.ClientLeft(control.TxnID(ref))
	g.halt(ref, t)
}

// halt calls off what can't come to its end any more: an answer that nobody reads, a body that does not
// come.
func (g *Gate) halt(ref slots.Ref, t *txn) {
	if (t.begun || t.streams) && t.submitted {
		g.sender.Recall(ref, t.attempts-1)
		return
	}
	g.drop(ref, t)
}

// More passes on that a front has more of a body, or room for more of an answer.
func (g *Gate) More(ref slots.Ref) {
	if t := g.txns.Get(ref); t == nil || !t.submitted {
		return
	}
	if s, ok := g.sender.(interface{ More(txn slots.Ref) }); ok {
		s.More(ref)
	}
}

// Begun takes the head of an answer that goes on in parts. False: nobody waits for it, or it can't be had
// so.
func (g *Gate) Begun(ref slots.Ref, o Outcome) bool {
	t := g.txns.Get(ref)
	if t == nil || t.answered {
		return false
	}
	s, ok := t.front.(Streamer)
	t.begun = ok && s.Begin(t.who, ref, o)
	return t.begun
}

// Writable is how many bytes of such an answer are wanted now; below 0: nobody waits any more.
func (g *Gate) Writable(ref slots.Ref) int {
	t := g.txns.Get(ref)
	if t == nil || t.answered || !t.begun {
		return -1
	}
	return t.front.(Streamer).Writable(t.who, ref)
}

// Pass passes them on.
func (g *Gate) Pass(ref slots.Ref, part []byte) {
	if t := g.txns.Get(ref); t != nil && !t.answered && t.begun {
		t.front.(Streamer).Pass(t.who, ref, part)
	}
}

// Outcome is how a submission ended. The answer is there during the call only.
type Outcome struct {
	Ending control.Ending
	Took   time.Duration
	Load   []float64
	Final  bool          // no success, yet to be passed on as it is: nothing better will come
	Answer *http1.Reader // of a backend's whole answer, with the bytes that it read; nil: there is none
	Bytes  []byte
	Body   []byte
}

// Ended takes the one outcome of a submission.
func (g *Gate) Ended(ref slots.Ref, nr int, at control.BackendID, o Outcome) {
	t := g.txns.Get(ref)
	invariant.That(t != nil && t.submitted && t.attempts == nr+1, "a submission ends once, while its txn is held")
	if t == nil || !t.submitted || t.attempts != nr+1 {
		return
	}
	t.submitted, t.mayHaveRun = false, t.mayHaveRun || mayHaveRun(o.Ending)
	g.counters.Add(counters.EndAnswered + counters.ID(o.Ending))
	if g.watcher != nil {
		g.watcher.Ended(ref, nr, at, o.Ending)
	}
	over := t.answered
	switch {
	case t.answered:
	case t.begun:
		over, t.answered = true, true
		g.final(ref, t, Answered)
		if o.Answer != nil {
			g.counters.Add(counters.Answered)
		} else {
			g.counters.Add(counters.Truncated)
		}
		t.front.(Streamer).End(t.who, ref, o.Answer != nil)
	case o.Ending == control.Succeeded || o.Final:
		g.counters.Add(counters.Answered)
		over, t.answered = true, true
		g.final(ref, t, Answered)
		t.front.Complete(t.who, ref, o)
	case t.streams && t.message(ref).bodyConsumed(): // whatever the module would do, it can't go again
		over, t.answered = true, true
		if mayHaveRun(o.Ending) {
			g.void(ref, t, control.ReasonNoBackend)
		} else {
			g.decline(ref, t, 0, control.ReasonNoBackend)
		}
	}
	g.module.Now(g.clock.Now())
	g.module.SubmissionEnded(control.TxnID(ref), nr, at, o.Ending, over, o.Took, o.Load)
	g.drop(ref, t)
}

// allowSecondRun lets through whatever the module decides; only a test sets it.
var allowSecondRun bool

// mayHaveRun tells whether a submission that ended so may have run.
func mayHaveRun(e control.Ending) bool {
	return e != control.Rejected && e != control.Unreachable && e != control.NotSent
}

// decline and void give the one answer to a txn that no backend's answer ends.
func (g *Gate) decline(ref slots.Ref, t *txn, after time.Duration, why control.Reason) {
	g.final(ref, t, control.Reject)
	g.counters.Add(counters.GaveUpTime + counters.ID(why))
	g.counters.Add(counters.Rejected)
	t.front.Reject(t.who, ref, after, why)
}

func (g *Gate) void(ref slots.Ref, t *txn, why control.Reason) {
	g.final(ref, t, control.Fail)
	g.counters.Add(counters.GaveUpTime + counters.ID(why))
	g.counters.Add(counters.Failed)
	t.front.Fail(t.who, ref, why)
}

// EndpointsChanged takes news of the backends.
func (g *Gate) EndpointsChanged(whole bool, list []control.Endpoint) {
	g.module.Now(g.clock.Now())
	g.module.EndpointsChanged(whole, list)
}

// DatagramReceived takes a peer's message.
func (g *Gate) DatagramReceived(from control.GatewayID, payload []byte) {
	g.module.Now(g.clock.Now())
	g.module.DatagramReceived(from, payload)
}

// Probed takes the answer to a probe.
func (g *Gate) Probed(at control.BackendID, good bool, took time.Duration, load []float64) {
	g.module.Now(g.clock.Now())
	g.module.ProbeEnded(at, good, took, load)
}

// Live reports whether a due time is the newest: the module asks anew whenever something is due earlier.
func (g *Gate) Live(nr uint32) bool { return nr == g.wakeSequence }

// Due is called when the module's own due time has come; the pull at the end of the turn does the rest.
func (g *Gate) Due(uint32) { g.module.Woken(0) }

func (g *Gate) drop(ref slots.Ref, t *txn) {
	if t.answered && !t.submitted {
		*t = txn{}
		g.txns.Drop(ref)
	}
}

// ---- Decisions

// RunDecisions carries out decisions until there is none left.
func (g *Gate) RunDecisions() {
	g.module.Now(g.clock.Now())
	for {
		x, ok := g.module.Next()
		if !ok {
			return
		}
		g.carryOut(x)
	}
}

func (g *Gate) carryOut(x control.Decision) {
	ref := slots.Ref(x.Txn)
	switch x.Action {
	case control.Submit:
		t := g.txns.Get(ref)
		invariant.That(t != nil && !t.submitted && !t.answered, "a submission goes out alone, for a txn that waits")
		if t == nil || t.submitted || t.answered {
			return
		}
		nr := t.attempts
		t.attempts, t.submitted, t.streams = t.attempts+1, true, t.message(ref).Flows()
		// Whatever decides: what may run once and may have run passes no fence again.
		again := t.mayHaveRun && t.message(ref).Once() && !allowSecondRun
		invariant.That(!again, "what may run once is not sent after it may have run")
		if again {
			g.Ended(ref, nr, x.Backend, Outcome{Ending: control.NotSent})
			return
		}
		g.counters.Add(counters.Submissions)
		limit := t.expiry - g.clock.Now()
		if x.After > 0 {
			limit = min(limit, x.After)
		}
		failpoint.At(failpoint.BeforeSubmit)
		if g.watcher != nil {
			g.watcher.Sent(ref, t.message(ref).ID(), nr, x.Backend)
		}
		g.sender.Submit(ref, nr, t.message(ref), x.Backend, limit, x.ResponseTimeout)
		failpoint.At(failpoint.AfterSubmit)
	case control.Reject, control.Fail:
		t := g.txns.Get(ref)
		invariant.That(t != nil && !t.answered, "a txn is answered once")
		if t == nil || t.answered {
			return
		}
		t.answered = true
		refused := x.Action == control.Reject
		if refused && (t.mayHaveRun || t.submitted) && t.message(ref).Once() && !allowSecondRun {
			invariant.That(false, "what is refused has not run, and nothing of it is out")
			refused = false
		}
		switch {
		case t.begun:
			g.counters.Add(counters.Truncated)
			t.front.(Streamer).End(t.who, ref, false)
		case refused:
			g.decline(ref, t, x.After, x.Reason)
		default:
			g.void(ref, t, x.Reason)
		}
		g.halt(ref, t)
	case control.Cancel:
		if t := g.txns.Get(ref); t != nil && t.begun && !t.answered {
			return // its answer is on its way to the client already
		}
		g.sender.Recall(ref, x.Attempt)
	case control.Probe:
		g.sender.Probe(x.Backend)
	case control.SendDatagram:
		g.datagrams.SendDatagram(x.Peer, x.Payload)
	case control.Wake:
		g.wakeSequence++
		g.clock.Wake(g.clock.Now()+x.After, g.wakeSequence)
	case control.Log:
		fields := make([]zap.Field, 0, len(x.Entry.Fields))
		for _, f := range x.Entry.Fields {
			fields = append(fields, zap.Float64(f.Name, f.Value))
		}
		g.log.Info(x.Entry.Message, fields...)
	}
}
