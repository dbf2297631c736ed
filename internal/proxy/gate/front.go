package gate

import (
	"time"

	"clovergap/control"
	"clovergap/internal/proxy/slots"
)

// Front is where txns come from. Each is named by who, the front's reference to its client, and by txn, the gate's
// reference: both must match, so that a late call never reaches another client or the client's next request.
type Front interface {
	// Complete answers with what the backend answered, a success or a Final failure.
	Complete(who, txn slots.Ref, o Outcome)
	// Reject answers that the txn had no effect and will have none: the client may retry, best after some time
	// (0: no advice).
	Reject(who, txn slots.Ref, after time.Duration, why control.Reason)
	// Fail answers that the txn may have had effect.
	Fail(who, txn slots.Ref, why control.Reason)
	// AppendTo appends the request as it goes to a backend, which has wait for it; nothing once the client has left.
	AppendTo(b []byte, who, txn slots.Ref, at control.BackendID, wait time.Duration) []byte
}

// Streamer is a front that can stream bodies, in both directions.
type Streamer interface {
	Front
	// Flows tells that the request's body is streamed: Part gives it, AppendTo gives the head alone.
	Flows(who, txn slots.Ref) bool
	// BodyConsumed tells that some of the body has been taken, so that the request can't be sent again.
	BodyConsumed(who, txn slots.Ref) bool
	// Part appends what has come of the body. complete: that was the last of it; not ok: the rest never comes.
	Part(b []byte, who, txn slots.Ref) (out []byte, complete, ok bool)
	// Begin takes the head of an answer. It returns false if the answer can't be streamed.
	Begin(who, txn slots.Ref, o Outcome) bool
	// Writable is how many bytes of the answer the client takes now; below 0: nobody waits.
	Writable(who, txn slots.Ref) int
	// Pass gives the next bytes of the answer.
	Pass(who, txn slots.Ref, part []byte)
	// End ends the answer. One that is not complete must be recognizable as such to the client.
	End(who, txn slots.Ref, complete bool)
}

// Message is a txn's request as it is sent to backends. It is empty once the client has left.
type Message struct {
	front    Front
	who, txn slots.Ref
}

// AppendTo appends the request as it goes to a backend, which has wait for it.
func (m Message) AppendTo(b []byte, at control.BackendID, wait time.Duration) []byte {
	return m.front.AppendTo(b, m.who, m.txn, at, wait)
}

// ID is the ID that the client gave to the request; empty if the front knows none or the client has left.
func (m Message) ID() string {
	if n, ok := m.front.(namer); ok {
		return n.ID(m.who, m.txn)
	}
	return ""
}

// Once tells whether the request must take effect at most once, where the front knows.
func (m Message) Once() bool {
	o, ok := m.front.(interface{ Once(who, txn slots.Ref) bool })
	return ok && o.Once(m.who, m.txn)
}

// Flows tells whether the request's body is streamed.
func (m Message) Flows() bool {
	s, ok := m.front.(Streamer)
	return ok && s.Flows(m.who, m.txn)
}

// bodyConsumed tells whether some of a streamed body has been taken.
func (m Message) bodyConsumed() bool {
	s, ok := m.front.(Streamer)
	return ok && s.BodyConsumed(m.who, m.txn)
}

// Part appends what has come of a streamed body: see Streamer.
func (m Message) Part(b []byte) (out []byte, complete, ok bool) {
	return m.front.(Streamer).Part(b, m.who, m.txn)
}
