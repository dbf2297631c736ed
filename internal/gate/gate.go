// Package gate drives the decision module: inputs only update what it knows; at the end of a turn decisions are
// pulled one by one and carried out. No protocol is known here: a second front would use the same gate.
package gate

import (
	"time"

	"go.uber.org/zap"

	"clovergap/control"
	"clovergap/internal/check"
	"clovergap/internal/counters"
	"clovergap/internal/points"
	"clovergap/internal/slots"
)

// Front is where txns come from. It knows a txn by its own number for who waits and by the gate's for the txn,
// so that a late word finds nobody else.
type Front interface {
	Settle(who, txn slots.Ref, body, kind []byte) // what the backend answered; kind names its form
	Decline(who, txn slots.Ref, after time.Duration)
	Void(who, txn slots.Ref)
	AppendTo(b []byte, who, txn slots.Ref, wait time.Duration) []byte // what is passed on
}

// Message is what is passed on to a backend. It gives nothing once its client has gone.
type Message struct {
	front    Front
	who, txn slots.Ref
}

// AppendTo writes it as it goes on.
func (m Message) AppendTo(b []byte, wait time.Duration) []byte {
	return m.front.AppendTo(b, m.who, m.txn, wait)
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
const Settled control.Verb = -1

// Watcher is told of the steps of txns, where operators want a history of them. Without one nothing is done.
type Watcher interface {
	Sent(txn slots.Ref, id string, nr int, to control.BackendID)
	Ended(txn slots.Ref, nr int, at control.BackendID, how control.Ending)
	Final(txn slots.Ref, id string, how control.Verb)
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
	nr       int  // submissions so far
	out      bool
}

// Gate is the module with what it drives.
type Gate struct {
	door  *control.Door
	clock Clock
	txns  *slots.Table[txn]
	send  Sender
	tell  Teller
	count *counters.Set
	log   *zap.Logger
	wake  uint32 // number of the module's present due time
	watch Watcher
}

// New makes a gate for at most so many txns at a time.
func New(door *control.Door, clock Clock, most int, count *counters.Set, log *zap.Logger) *Gate {
	return &Gate{door: door, clock: clock, txns: slots.New[txn](most), count: count, log: log}
}

// Through says what carries submissions and messages.
func (g *Gate) Through(s Sender, t Teller) { g.send, g.tell = s, t }

// Watched says who is told of the steps of txns.
func (g *Gate) Watched(w Watcher) { g.watch = w }

func (t *txn) id(ref slots.Ref) string {
	if n, ok := t.front.(namer); ok {
		return n.ID(t.who, ref)
	}
	return ""
}

// final tells of a final answer before it leaves.
func (g *Gate) final(ref slots.Ref, t *txn, how control.Verb) {
	points.At(points.BeforeAnswer)
	if g.watch != nil {
		g.watch.Final(ref, t.id(ref), how)
	}
}

// Held counts txns that are not answered or still have a submission out.
func (g *Gate) Held() int { return g.txns.Held() }

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
	g.door.Now(g.clock.Now())
	g.door.TxnTaken(x)
	return ref, true
}

// Left: the client of a txn has gone away.
func (g *Gate) Left(ref slots.Ref) {
	t := g.txns.Get(ref)
	if t == nil || t.answered {
		return
	}
	g.count.Add(counters.TxnsLeft)
	t.answered = true
	g.door.Now(g.clock.Now())
	g.door.ClientLeft(control.TxnID(ref))
	g.drop(ref, t)
}

// Outcome is how a submission ended.
type Outcome struct {
	Ending     control.Ending
	Took       time.Duration
	Load       []float64
	Body, Kind []byte // of a settled one
}

// Ended takes the one outcome of a submission.
func (g *Gate) Ended(ref slots.Ref, nr int, at control.BackendID, o Outcome) {
	t := g.txns.Get(ref)
	check.That(t != nil && t.out && t.nr == nr+1, "a submission ends once, while its txn is held")
	if t == nil || !t.out || t.nr != nr+1 {
		return
	}
	t.out = false
	g.count.Add(counters.EndSettled + counters.ID(o.Ending))
	if g.watch != nil {
		g.watch.Ended(ref, nr, at, o.Ending)
	}
	over := t.answered
	if o.Ending == control.Settled && !t.answered {
		g.count.Add(counters.Settled)
		over, t.answered = true, true
		g.final(ref, t, Settled)
		t.front.Settle(t.who, ref, o.Body, o.Kind)
	}
	g.door.Now(g.clock.Now())
	g.door.SubmissionEnded(control.TxnID(ref), nr, at, o.Ending, over, o.Took, o.Load)
	g.drop(ref, t)
}

// Listed takes news of the backends.
func (g *Gate) Listed(whole bool, list []control.Listing) {
	g.door.Now(g.clock.Now())
	g.door.ListChanged(whole, list)
}

// Heard takes a peer's message.
func (g *Gate) Heard(from control.GatewayID, payload []byte) {
	g.door.Now(g.clock.Now())
	g.door.PeerSaid(from, payload)
}

// Probed takes the answer to a probe.
func (g *Gate) Probed(at control.BackendID, good bool, took time.Duration, load []float64) {
	g.door.Now(g.clock.Now())
	g.door.ProbeEnded(at, good, took, load)
}

// Live: the module asks anew whenever something is due earlier.
func (g *Gate) Live(nr uint32) bool { return nr == g.wake }

// Due: the module's own due time has come; the pull at the end of the turn does the rest.
func (g *Gate) Due(uint32) { g.door.Woken(0) }

func (g *Gate) drop(ref slots.Ref, t *txn) {
	if t.answered && !t.out {
		*t = txn{}
		g.txns.Drop(ref)
	}
}

// ---- Decisions

// Pull carries out decisions until there is none left.
func (g *Gate) Pull() {
	g.door.Now(g.clock.Now())
	for {
		x, ok := g.door.Next()
		if !ok {
			return
		}
		g.carryOut(x)
	}
}

func (g *Gate) carryOut(x control.Decision) {
	ref := slots.Ref(x.Txn)
	switch x.Verb {
	case control.Submit:
		t := g.txns.Get(ref)
		check.That(t != nil && !t.out && !t.answered, "a submission goes out alone, for a txn that waits")
		if t == nil || t.out || t.answered {
			return
		}
		nr := t.nr
		t.nr, t.out = t.nr+1, true
		g.count.Add(counters.Submissions)
		limit := t.expiry - g.clock.Now()
		if x.Limit > 0 {
			limit = min(limit, x.Limit)
		}
		points.At(points.BeforeSubmit)
		if g.watch != nil {
			g.watch.Sent(ref, t.id(ref), nr, x.Backend)
		}
		g.send.Submit(ref, nr, Message{t.front, t.who, ref}, x.Backend, limit, x.Whole)
		points.At(points.AfterSubmit)
	case control.Decline, control.Void:
		t := g.txns.Get(ref)
		check.That(t != nil && !t.answered, "a txn is answered once")
		if t == nil || t.answered {
			return
		}
		t.answered = true
		g.final(ref, t, x.Verb)
		g.count.Add(counters.GaveUpTime + counters.ID(x.Why))
		if x.Verb == control.Decline {
			g.count.Add(counters.Declined)
			t.front.Decline(t.who, ref, x.Limit)
		} else {
			g.count.Add(counters.Voided)
			t.front.Void(t.who, ref)
		}
		g.drop(ref, t)
	case control.Recall:
		g.send.Recall(ref, x.Nr)
	case control.Probe:
		g.send.Probe(x.Backend)
	case control.Tell:
		g.tell.Tell(x.Peer, x.Payload)
	case control.Wake:
		g.wake++
		g.clock.Wake(g.clock.Now()+x.Limit, g.wake)
	case control.Note:
		g.log.Info(x.Text)
	}
}
