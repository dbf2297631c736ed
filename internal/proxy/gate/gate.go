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
	// Settle gives what the backend answered, or a Final failure.
	Settle(who, txn slots.Ref, o Outcome)
	// Decline: it never ran and never will; the client may come again, best after some time (0: no advice).
	Decline(who, txn slots.Ref, after time.Duration, why control.Reason)
	// Void: it may have run.
	Void(who, txn slots.Ref, why control.Reason)
	// AppendTo writes what is passed on to a backend; nothing once the client has gone.
	AppendTo(b []byte, who, txn slots.Ref, at control.BackendID, wait time.Duration) []byte
}

// Streamer is a front some of whose bodies are passed on as they come, both ways.
type Streamer interface {
	Front
	// Flows: Part gives its body, AppendTo the head alone.
	Flows(who, txn slots.Ref) bool
	// Spent: some of that body has gone, and the request can't go again.
	Spent(who, txn slots.Ref) bool
	// Part adds what has come of the body; when it is not ok, no more will.
	Part(b []byte, who, txn slots.Ref) (out []byte, whole, ok bool)
	// Begin takes the head of an answer; false: it can't be passed on in parts.
	Begin(who, txn slots.Ref, o Outcome) bool
	// Room is how many bytes of the answer are wanted now; below 0: nobody waits. Pass adds them.
	Room(who, txn slots.Ref) int
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

// spent tells whether some of such a body has gone.
func (m Message) spent() bool {
	s, ok := m.front.(Streamer)
	return ok && s.Spent(m.who, m.txn)
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

// Teller carries messages to peers.
type Teller interface {
	Tell(peer control.GatewayID, payload []byte)
}

// Settled is what a watcher is told of a txn that a backend's answer ended; the module's verbs name the others.
const Settled control.Action = -1

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
	front    Front
	who      slots.Ref
	expiry   time.Duration
	answered bool // or nobody waits any more
	begun    bool // some of an answer has gone to the client
	flows    bool // its body is passed on as it comes
	nr       int  // submissions so far
	out      bool
	ran      bool // one of them may have run
}

// Log takes the module's lines; *zap.Logger is one. The fields are all made by zap.Float64.
type Log interface {
	Info(message string, fields ...zap.Field)
}

// Gate is the module with what it drives.
type Gate struct {
	node  Module
	clock Clock
	txns  *slots.Table[txn]
	send  Sender
	tell  Teller
	count *counters.Set
	log   Log
	wake  uint32 // number of the module's present due time
	watch Watcher
}

// New makes a gate for at most so many txns at a time.
func New(node Module, clock Clock, most int, count *counters.Set, log Log) *Gate {
	return &Gate{node: node, clock: clock, txns: slots.New[txn](most), count: count, log: log}
}

// Through says what carries submissions and messages.
func (g *Gate) Through(s Sender, t Teller) { g.send, g.tell = s, t }

// Watched says who is told of the steps of txns.
func (g *Gate) Watched(w Watcher) { g.watch = w }

func (t *txn) message(ref slots.Ref) Message { return Message{t.front, t.who, ref} }

// final tells of a final answer before it leaves.
func (g *Gate) final(ref slots.Ref, t *txn, how control.Action) {
	failpoint.At(failpoint.BeforeAnswer)
	if g.watch != nil {
		g.watch.Final(ref, t.message(ref).ID(), how)
	}
}

// Held counts txns that are not answered or still have a submission out.
func (g *Gate) Held() int { return g.txns.Held() }

// Asker is who waits for a txn, by its front's own number; 0: it is not held.
func (g *Gate) Asker(ref slots.Ref) slots.Ref {
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
		g.count.Add(counters.TooMany)
		return 0, false
	}
	*t = txn{front: front, who: who, expiry: x.Expiry}
	x.ID = control.TxnID(ref)
	g.count.Add(counters.TxnsTaken)
	g.node.Now(g.clock.Now())
	g.node.TxnArrived(x)
	return ref, true
}

// Left is told when the client of a txn has gone away.
func (g *Gate) Left(ref slots.Ref) {
	t := g.txns.Get(ref)
	if t == nil || t.answered {
		return
	}
	g.count.Add(counters.TxnsLeft)
	t.answered = true
	g.node.Now(g.clock.Now())
	g.node.ClientLeft(control.TxnID(ref))
	g.halt(ref, t)
}

// halt calls off what can't come to its end any more: an answer that nobody reads, a body that does not
// come.
func (g *Gate) halt(ref slots.Ref, t *txn) {
	if (t.begun || t.flows) && t.out {
		g.send.Recall(ref, t.nr-1)
		return
	}
	g.drop(ref, t)
}

// More passes on that a front has more of a body, or room for more of an answer.
func (g *Gate) More(ref slots.Ref) {
	if t := g.txns.Get(ref); t == nil || !t.out {
		return
	}
	if s, ok := g.send.(interface{ More(txn slots.Ref) }); ok {
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

// Room is how many bytes of such an answer are wanted now; below 0: nobody waits any more.
func (g *Gate) Room(ref slots.Ref) int {
	t := g.txns.Get(ref)
	if t == nil || t.answered || !t.begun {
		return -1
	}
	return t.front.(Streamer).Room(t.who, ref)
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
	invariant.That(t != nil && t.out && t.nr == nr+1, "a submission ends once, while its txn is held")
	if t == nil || !t.out || t.nr != nr+1 {
		return
	}
	t.out, t.ran = false, t.ran || ran(o.Ending)
	g.count.Add(counters.EndSettled + counters.ID(o.Ending))
	if g.watch != nil {
		g.watch.Ended(ref, nr, at, o.Ending)
	}
	over := t.answered
	switch {
	case t.answered:
	case t.begun:
		over, t.answered = true, true
		g.final(ref, t, Settled)
		if o.Answer != nil {
			g.count.Add(counters.Settled)
		} else {
			g.count.Add(counters.CutShort)
		}
		t.front.(Streamer).End(t.who, ref, o.Answer != nil)
	case o.Ending == control.Succeeded || o.Final:
		g.count.Add(counters.Settled)
		over, t.answered = true, true
		g.final(ref, t, Settled)
		t.front.Settle(t.who, ref, o)
	case t.flows && t.message(ref).spent(): // whatever the module would do, it can't go again
		over, t.answered = true, true
		if ran(o.Ending) {
			g.void(ref, t, control.ReasonNoBackend)
		} else {
			g.decline(ref, t, 0, control.ReasonNoBackend)
		}
	}
	g.node.Now(g.clock.Now())
	g.node.SubmissionEnded(control.TxnID(ref), nr, at, o.Ending, over, o.Took, o.Load)
	g.drop(ref, t)
}

// unguarded lets through whatever the module decides; only a test sets it.
var unguarded bool

// ran tells whether a submission that ended so may have run.
func ran(e control.Ending) bool {
	return e != control.Rejected && e != control.Unreachable && e != control.NotSent
}

// decline and void give the one answer to a txn that no backend's answer ends.
func (g *Gate) decline(ref slots.Ref, t *txn, after time.Duration, why control.Reason) {
	g.final(ref, t, control.Reject)
	g.count.Add(counters.GaveUpTime + counters.ID(why))
	g.count.Add(counters.Declined)
	t.front.Decline(t.who, ref, after, why)
}

func (g *Gate) void(ref slots.Ref, t *txn, why control.Reason) {
	g.final(ref, t, control.Fail)
	g.count.Add(counters.GaveUpTime + counters.ID(why))
	g.count.Add(counters.Voided)
	t.front.Void(t.who, ref, why)
}

// Listed takes news of the backends.
func (g *Gate) Listed(whole bool, list []control.Endpoint) {
	g.node.Now(g.clock.Now())
	g.node.EndpointsChanged(whole, list)
}

// Heard takes a peer's message.
func (g *Gate) Heard(from control.GatewayID, payload []byte) {
	g.node.Now(g.clock.Now())
	g.node.DatagramReceived(from, payload)
}

// Probed takes the answer to a probe.
func (g *Gate) Probed(at control.BackendID, good bool, took time.Duration, load []float64) {
	g.node.Now(g.clock.Now())
	g.node.ProbeEnded(at, good, took, load)
}

// Live reports whether a due time is the newest: the module asks anew whenever something is due earlier.
func (g *Gate) Live(nr uint32) bool { return nr == g.wake }

// Due is called when the module's own due time has come; the pull at the end of the turn does the rest.
func (g *Gate) Due(uint32) { g.node.Woken(0) }

func (g *Gate) drop(ref slots.Ref, t *txn) {
	if t.answered && !t.out {
		*t = txn{}
		g.txns.Drop(ref)
	}
}

// ---- Decisions

// Pull carries out decisions until there is none left.
func (g *Gate) Pull() {
	g.node.Now(g.clock.Now())
	for {
		x, ok := g.node.Next()
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
		invariant.That(t != nil && !t.out && !t.answered, "a submission goes out alone, for a txn that waits")
		if t == nil || t.out || t.answered {
			return
		}
		nr := t.nr
		t.nr, t.out, t.flows = t.nr+1, true, t.message(ref).Flows()
		// Whatever decides: what may run once and may have run passes no fence again.
		again := t.ran && t.message(ref).Once() && !unguarded
		invariant.That(!again, "what may run once is not sent after it may have run")
		if again {
			g.Ended(ref, nr, x.Backend, Outcome{Ending: control.NotSent})
			return
		}
		g.count.Add(counters.Submissions)
		limit := t.expiry - g.clock.Now()
		if x.After > 0 {
			limit = min(limit, x.After)
		}
		failpoint.At(failpoint.BeforeSubmit)
		if g.watch != nil {
			g.watch.Sent(ref, t.message(ref).ID(), nr, x.Backend)
		}
		g.send.Submit(ref, nr, t.message(ref), x.Backend, limit, x.ResponseTimeout)
		failpoint.At(failpoint.AfterSubmit)
	case control.Reject, control.Fail:
		t := g.txns.Get(ref)
		invariant.That(t != nil && !t.answered, "a txn is answered once")
		if t == nil || t.answered {
			return
		}
		t.answered = true
		refused := x.Action == control.Reject
		if refused && (t.ran || t.out) && t.message(ref).Once() && !unguarded {
			invariant.That(false, "what is refused has not run, and nothing of it is out")
			refused = false
		}
		switch {
		case t.begun:
			g.count.Add(counters.CutShort)
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
		g.send.Recall(ref, x.Attempt)
	case control.Probe:
		g.send.Probe(x.Backend)
	case control.SendDatagram:
		g.tell.Tell(x.Peer, x.Payload)
	case control.Wake:
		g.wake++
		g.clock.Wake(g.clock.Now()+x.After, g.wake)
	case control.Log:
		fields := make([]zap.Field, 0, len(x.Entry.Fields))
		for _, f := range x.Entry.Fields {
			fields = append(fields, zap.Float64(f.Name, f.Value))
		}
		g.log.Info(x.Entry.Message, fields...)
	}
}
