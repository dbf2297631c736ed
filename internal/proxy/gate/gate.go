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

// Module makes the decisions: *loadbalancer.Controller or *admission.Controller. Inputs only update its state;
// Next returns the decisions that follow from it, one by one, until there is none.
type Module interface {
	// Now sets the module's clock; it precedes every input.
	Now(time.Duration)
	TxnArrived(control.Txn)
	ClientLeft(control.TxnID)
	// SubmissionEnded reports the one outcome of an attempt; over: the txn has been answered.
	SubmissionEnded(id control.TxnID, attempt int, at control.BackendID, e control.Ending, over bool, took time.Duration,
		load []float64)
	// EndpointsChanged: the list is complete, or has only what changed.
	EndpointsChanged(complete bool, list []control.Endpoint)
	DatagramReceived(from control.GatewayID, payload []byte)
	ProbeEnded(at control.BackendID, good bool, took time.Duration, load []float64)
	// Woken: the time that a Wake decision asked for has come.
	Woken(uint64)
	Next() (control.Decision, bool)
}

// Limits bound an attempt.
type Limits struct {
	// Attempt is the longest time for the whole attempt.
	Attempt time.Duration
	// Answer is the longest time from the first byte of the answer to its last; 0: no limit.
	Answer time.Duration
	// SendDeadline is the time of the clock from which no byte of the attempt may be sent if none was sent before; 0: no limit.
	SendDeadline time.Duration
}

// Sender carries attempts to backends, and reports the outcome of each to Gate.Ended exactly once.
type Sender interface {
	// Submit sends an attempt of a txn, within limits.
	Submit(txn slots.Ref, attempt int, m Message, to control.BackendID, limits Limits)
	// Recall cancels an attempt if it is in flight.
	Recall(txn slots.Ref, attempt int)
	Probe(at control.BackendID)
}

// DatagramSender carries messages to peers; any may be lost.
type DatagramSender interface {
	SendDatagram(peer control.GatewayID, payload []byte)
}

// Answered is reported to a Watcher for a txn that a backend's answer ended. The others end by the module's Reject or Fail.
const Answered control.Action = -1

// Watcher observes the steps of txns, for histories that operators ask for. It is optional.
type Watcher interface {
	Sent(txn slots.Ref, id string, attempt int, to control.BackendID)
	Ended(txn slots.Ref, attempt int, at control.BackendID, how control.Ending)
	Final(txn slots.Ref, id string, how control.Action)
}

// namer is a front that knows the IDs that clients give to their requests.
type namer interface {
	ID(who, txn slots.Ref) string
}

// Clock gives the time of the current turn, and calls Gate.Due with sequence at the time given to Wake.
type Clock interface {
	Now() time.Duration
	Wake(at time.Duration, sequence uint32)
}

// txn is a request in flight.
type txn struct {
	front       Front
	who         slots.Ref
	expiry      time.Duration
	answered    bool // or its client has left
	answerBegun bool // the head of a streamed answer has gone to the client
	streams     bool // its body is streamed to the backend
	attempts    int  // so far; the next one's number
	submitted   bool
	mayHaveRun  bool // an attempt may have had effect
}

// Log takes the module's log entries; *zap.Logger implements it. All fields are made by zap.Float64.
type Log interface {
	Info(message string, fields ...zap.Field)
}

// Gate connects the module with the fronts and the senders. It is used by the turn's owner alone.
type Gate struct {
	module       Module
	clock        Clock
	txns         *slots.Table[txn]
	sender       Sender
	datagrams    DatagramSender
	counters     *counters.Set
	log          Log
	wakeSequence uint32 // number of the newest Wake decision; earlier ones are stale
	watcher      Watcher
}

// New makes a gate for at most so many txns in flight.
func New(node Module, clock Clock, most int, count *counters.Set, log Log) *Gate {
	return &Gate{module: node, clock: clock, txns: slots.New[txn](most), counters: count, log: log}
}

// SetTransport sets what carries attempts and datagrams; it precedes the first input.
func (g *Gate) SetTransport(s Sender, t DatagramSender) { g.sender, g.datagrams = s, t }

// SetWatcher sets who observes the steps of txns.
func (g *Gate) SetWatcher(w Watcher) { g.watcher = w }

// message is what is sent to a backend for it.
func (t *txn) message(ref slots.Ref) Message { return Message{t.front, t.who, ref} }

// notifyFinal reports to the watcher how a txn ends, before the answer leaves.
func (g *Gate) notifyFinal(ref slots.Ref, t *txn, how control.Action) {
	failpoint.At(failpoint.BeforeAnswer)
	if g.watcher != nil {
		g.watcher.Final(ref, t.message(ref).ID(), how)
	}
}

// InFlight counts txns that are not answered or still have an attempt out.
func (g *Gate) InFlight() int { return g.txns.Len() }

// Requester is the front's reference to the client that waits for a txn; 0: it is not in flight.
func (g *Gate) Requester(ref slots.Ref) slots.Ref {
	if t := g.txns.Get(ref); t != nil {
		return t.who
	}
	return 0
}

// Take admits a txn to the decisions and gives it its ID. It returns false if as many as allowed are in flight.
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

// Left reports that the client of a txn has gone away.
func (g *Gate) Left(ref slots.Ref) {
	t := g.txns.Get(ref)
	if t == nil || t.answered {
		return
	}
	g.counters.Add(counters.TxnsLeft)
	t.answered = true
	g.module.Now(g.clock.Now())
	g.module.ClientLeft(control.TxnID(ref))
	g.cancelStream(ref, t)
}

// cancelStream cancels a streamed attempt that can't complete any more: nobody reads the answer, or the rest of the body
// never comes.
func (g *Gate) cancelStream(ref slots.Ref, t *txn) {
	if (t.answerBegun || t.streams) && t.submitted {
		g.sender.Recall(ref, t.attempts-1)
		return
	}
	g.drop(ref, t)
}

// More reports that a front has more of a body, or takes more of an answer.
func (g *Gate) More(ref slots.Ref) {
	if t := g.txns.Get(ref); t == nil || !t.submitted {
		return
	}
	if s, ok := g.sender.(interface{ More(txn slots.Ref) }); ok {
		s.More(ref)
	}
}

// Begun takes the head of an answer that is streamed. It returns false if nobody waits for it, or if the front
// can't stream it.
func (g *Gate) Begun(ref slots.Ref, o Outcome) bool {
	t := g.txns.Get(ref)
	if t == nil || t.answered {
		return false
	}
	s, ok := t.front.(Streamer)
	if !ok {
		return false
	}
	// Begin writes to the client, and the write may end the attempt or the txn before Begin returns. The answer has begun by then.
	t.answerBegun = true
	begun := s.Begin(t.who, ref, o)
	if t = g.txns.Get(ref); t == nil || t.answered {
		return false
	}
	t.answerBegun = begun
	return begun
}

// Writable is how many bytes of a streamed answer the client takes now; below 0: nobody waits any more.
func (g *Gate) Writable(ref slots.Ref) int {
	t := g.txns.Get(ref)
	if t == nil || t.answered || !t.answerBegun {
		return -1
	}
	return t.front.(Streamer).Writable(t.who, ref)
}

// Pass gives a part of a streamed answer to the client.
func (g *Gate) Pass(ref slots.Ref, part []byte) {
	if t := g.txns.Get(ref); t != nil && !t.answered && t.answerBegun {
		t.front.(Streamer).Pass(t.who, ref, part)
	}
}

// Outcome is how an attempt ended. Answer, Bytes and Body are valid during the call only.
type Outcome struct {
	Ending control.Ending
	Took   time.Duration
	Load   []float64
	Final  bool          // no success, yet it goes to the client as it is: another attempt would bring nothing better
	Answer *http1.Reader // of a backend's complete answer; nil: there is none
	Bytes  []byte        // what Answer has read
	Body   []byte
}

// Ended takes the one outcome of an attempt.
func (g *Gate) Ended(ref slots.Ref, attempt int, at control.BackendID, o Outcome) {
	t := g.txns.Get(ref)
	invariant.Assert(t != nil && t.submitted && t.attempts == attempt+1, "a submission ends once, while its txn is held")
	if t == nil || !t.submitted || t.attempts != attempt+1 {
		return
	}
	t.submitted, t.mayHaveRun = false, t.mayHaveRun || mayHaveRun(o.Ending)
	g.counters.Add(counters.EndAnswered + counters.ID(o.Ending))
	if g.watcher != nil {
		g.watcher.Ended(ref, attempt, at, o.Ending)
	}
	over := t.answered
	switch {
	case t.answered:
	case t.answerBegun:
		over, t.answered = true, true
		g.notifyFinal(ref, t, Answered)
		if o.Answer != nil {
			g.counters.Add(counters.Answered)
		} else {
			g.counters.Add(counters.Truncated)
		}
		t.front.(Streamer).End(t.who, ref, o.Answer != nil)
	case o.Ending == control.Succeeded || o.Final:
		g.counters.Add(counters.Answered)
		over, t.answered = true, true
		g.notifyFinal(ref, t, Answered)
		t.front.Complete(t.who, ref, o)
	case t.streams && t.message(ref).bodyConsumed(): // the body can't be sent again, so there is no retry
		over, t.answered = true, true
		if mayHaveRun(o.Ending) {
			g.fail(ref, t, control.ReasonNoBackend)
		} else {
			g.reject(ref, t, 0, control.ReasonNoBackend)
		}
	}
	g.module.Now(g.clock.Now())
	g.module.SubmissionEnded(control.TxnID(ref), attempt, at, o.Ending, over, o.Took, o.Load)
	g.drop(ref, t)
}

// allowSecondRun disables the check that what may run once is not sent again; only a test sets it.
var allowSecondRun bool

// mayHaveRun tells whether an attempt with such an ending may have had effect.
func mayHaveRun(e control.Ending) bool {
	return e != control.Rejected && e != control.Unreachable && e != control.NotSent
}

// reject answers a txn that had no effect and will have none.
func (g *Gate) reject(ref slots.Ref, t *txn, after time.Duration, why control.Reason) {
	g.notifyFinal(ref, t, control.Reject)
	g.counters.Add(counters.GaveUpTime + counters.ID(why))
	g.counters.Add(counters.Rejected)
	t.front.Reject(t.who, ref, after, why)
}

// fail answers a txn that may have had effect.
func (g *Gate) fail(ref slots.Ref, t *txn, why control.Reason) {
	g.notifyFinal(ref, t, control.Fail)
	g.counters.Add(counters.GaveUpTime + counters.ID(why))
	g.counters.Add(counters.Failed)
	t.front.Fail(t.who, ref, why)
}

// EndpointsChanged takes an update of the endpoint list.
func (g *Gate) EndpointsChanged(complete bool, list []control.Endpoint) {
	g.module.Now(g.clock.Now())
	g.module.EndpointsChanged(complete, list)
}

// DatagramReceived takes a peer's message.
func (g *Gate) DatagramReceived(from control.GatewayID, payload []byte) {
	g.module.Now(g.clock.Now())
	g.module.DatagramReceived(from, payload)
}

// Probed takes the outcome of a health check.
func (g *Gate) Probed(at control.BackendID, good bool, took time.Duration, load []float64) {
	g.module.Now(g.clock.Now())
	g.module.ProbeEnded(at, good, took, load)
}

// Live reports whether an alarm is the newest: the module asks anew whenever something is due earlier.
func (g *Gate) Live(sequence uint32) bool { return sequence == g.wakeSequence }

// Due wakes the module; RunDecisions at the end of the turn does the rest.
func (g *Gate) Due(uint32) { g.module.Woken(0) }

// drop forgets a txn that is answered and has no attempt out.
func (g *Gate) drop(ref slots.Ref, t *txn) {
	if t.answered && !t.submitted {
		*t = txn{}
		g.txns.Drop(ref)
	}
}

// RunDecisions carries out the module's decisions until there is none left. It ends every turn.
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

// carryOut does what one decision asks for.
func (g *Gate) carryOut(d control.Decision) {
	ref := slots.Ref(d.Txn)
	switch d.Action {
	case control.Submit:
		g.submit(ref, d)
	case control.Reject, control.Fail:
		g.giveUp(ref, d)
	case control.Cancel:
		if t := g.txns.Get(ref); t != nil && t.answerBegun && !t.answered {
			return // its answer is on its way to the client already
		}
		g.sender.Recall(ref, d.Attempt)
	case control.Probe:
		g.sender.Probe(d.Backend)
	case control.SendDatagram:
		g.datagrams.SendDatagram(d.Peer, d.Payload)
	case control.Wake:
		g.wakeSequence++
		g.clock.Wake(g.clock.Now()+d.After, g.wakeSequence)
	case control.Log:
		g.logEntry(d.Entry)
	}
}

// submit sends an attempt of a txn to a backend.
func (g *Gate) submit(ref slots.Ref, d control.Decision) {
	t := g.txns.Get(ref)
	invariant.Assert(t != nil && !t.submitted && !t.answered, "a submission goes out alone, for a txn that waits")
	if t == nil || t.submitted || t.answered {
		return
	}
	attempt := t.attempts
	t.attempts, t.submitted, t.streams = t.attempts+1, true, t.message(ref).Flows()
	// The last check before the socket, whatever the module decided: what may run at most once and may have run is not sent again.
	again := t.mayHaveRun && t.message(ref).Once() && !allowSecondRun
	invariant.Assert(!again, "what may run once is not sent after it may have run")
	if again {
		g.Ended(ref, attempt, d.Backend, Outcome{Ending: control.NotSent})
		return
	}
	g.counters.Add(counters.Submissions)
	limit := t.expiry - g.clock.Now()
	if d.After > 0 {
		limit = min(limit, d.After)
	}
	failpoint.At(failpoint.BeforeSubmit)
	if g.watcher != nil {
		g.watcher.Sent(ref, t.message(ref).ID(), attempt, d.Backend)
	}
	g.sender.Submit(ref, attempt, t.message(ref), d.Backend, Limits{limit, d.ResponseTimeout, d.SendDeadline})
	failpoint.At(failpoint.AfterSubmit)
}

// giveUp answers a txn that no backend's answer ends, as the decision says: rejected or failed.
func (g *Gate) giveUp(ref slots.Ref, d control.Decision) {
	t := g.txns.Get(ref)
	invariant.Assert(t != nil && !t.answered, "a txn is answered once")
	if t == nil || t.answered {
		return
	}
	t.answered = true
	rejected := d.Action == control.Reject
	if rejected && (t.mayHaveRun || t.submitted) && t.message(ref).Once() && !allowSecondRun {
		invariant.Assert(false, "what is refused has not run, and nothing of it is out")
		rejected = false
	}
	switch {
	case t.answerBegun:
		g.counters.Add(counters.Truncated)
		t.front.(Streamer).End(t.who, ref, false)
	case rejected:
		g.reject(ref, t, d.After, d.Reason)
	default:
		g.fail(ref, t, d.Reason)
	}
	g.cancelStream(ref, t)
}

// logEntry logs an entry of the module's, all of whose fields are numbers.
func (g *Gate) logEntry(entry *control.LogEntry) {
	fields := make([]zap.Field, 0, len(entry.Fields))
	for _, f := range entry.Fields {
		fields = append(fields, zap.Float64(f.Name, f.Value))
	}
	g.log.Info(entry.Message, fields...)
}
