package coordination

import (
	"time"

	"clovergap/internal/gateway/groups"
)

// Message is what services say to each other: one of its fields is set.
type Message struct {
	Request  *ForwardRequest
	Response *ForwardResponse
}

// ForwardRequest is a call on its way to whoever leads its group. It counts until a time by the clock of the life that it is meant for: one that
// stood on a link, or was read after a standstill, does nothing.
type ForwardRequest struct {
	OriginIncarnation uint64 // the life of the node that took the call
	Sequence          uint32 // of the call there
	Attempt           uint8
	TargetIncarnation uint64        // that Until is of; 0: its clock is not known yet
	Deadline          time.Duration // by that life's steady clock
	Call              Call
}

// ForwardResponse ends an Ask.
type ForwardResponse struct {
	OriginIncarnation    uint64
	Sequence             uint32
	Attempt              uint8
	Outcome              AttemptOutcome
	LeaderHint           string        // where the asked node isn't: who leads, as far as it knows
	ResponderIncarnation uint64        // of the node that answers
	ResponderClock       time.Duration // and its steady clock
	Result               Result
}

// AttemptOutcome tells how one try of a call ended.
type AttemptOutcome uint8

// The outcomes.
const (
	AttemptDone            AttemptOutcome = iota // the answer holds
	AttemptRejected                              // this try did nothing and never will
	AttemptAmbiguous                             // it may have taken effect, or may still
	AttemptDeadlineInvalid                       // Refused, since it bore no time of this life's clock
)

// The kinds of messages on a link.
const (
	requestKind  = 1
	responseKind = 2
)

// Encode words a message for a link: bytes between zones are dear.
func (m *Message) Encode() []byte {
	var e encoder
	if a := m.Request; a != nil {
		e.uint(requestKind)
		e.uint(a.OriginIncarnation)
		e.uint(uint64(a.Sequence))
		e.uint(uint64(a.Attempt))
		e.uint(a.TargetIncarnation)
		e.duration(a.Deadline)
		a.Call.encode(&e)
		return e.bytes
	}
	r := m.Response
	e.uint(responseKind)
	e.uint(r.OriginIncarnation)
	e.uint(uint64(r.Sequence))
	e.uint(uint64(r.Attempt))
	e.uint(uint64(r.Outcome))
	e.string(r.LeaderHint)
	e.uint(r.ResponderIncarnation)
	e.duration(r.ResponderClock)
	r.Result.encode(&e)
	return e.bytes
}

// DecodeMessage reads a message.
func DecodeMessage(b []byte) (*Message, error) {
	d := decoder{bytes: b}
	switch d.uint() {
	case requestKind:
		a := &ForwardRequest{OriginIncarnation: d.uint(), Sequence: uint32(d.uint()), Attempt: uint8(d.uint()), TargetIncarnation: d.uint(), Deadline: d.duration()}
		a.Call.decode(&d)
		return &Message{Request: a}, d.err
	case responseKind:
		r := &ForwardResponse{OriginIncarnation: d.uint(), Sequence: uint32(d.uint()), Attempt: uint8(d.uint()), Outcome: AttemptOutcome(d.uint()), LeaderHint: d.string(),
			ResponderIncarnation: d.uint(), ResponderClock: d.duration()}
		r.Result.decode(&d)
		return &Message{Response: r}, d.err
	}
	return nil, ErrUnknownVersion
}

// encode words a call: only those fields that its operation has.
func (c *Call) encode(e *encoder) {
	e.uint(uint64(c.Operation))
	e.string(c.Name)
	switch c.Operation {
	case LockAcquire:
		e.string(c.Holder)
		e.duration(c.TTL)
	case LockRenew:
		e.string(c.Holder)
		e.uint(c.FencingToken)
		e.duration(c.TTL)
	case LockRelease:
		e.string(c.Holder)
		e.uint(c.FencingToken)
	case KeyPut:
		e.string(c.Value)
		e.bool(c.Conditional)
		e.uint(c.ExpectedRevision)
	case KeyWatch:
		e.uint(c.AfterRevision)
		e.duration(c.Timeout)
	case LockList:
		e.uint(uint64(c.Group))
	}
}

func (c *Call) decode(d *decoder) {
	c.Operation = Operation(d.uint())
	c.Name = d.string()
	switch c.Operation {
	case LockAcquire:
		c.Holder, c.TTL = d.string(), d.duration()
	case LockRenew:
		c.Holder, c.FencingToken, c.TTL = d.string(), d.uint(), d.duration()
	case LockRelease:
		c.Holder, c.FencingToken = d.string(), d.uint()
	case KeyPut:
		c.Value, c.Conditional, c.ExpectedRevision = d.string(), d.bool(), d.uint()
	case KeyWatch:
		c.AfterRevision, c.Timeout = d.uint(), d.duration()
	case LockList:
		c.Group = groups.ID(d.uint())
	}
}

func (r *Result) encode(e *encoder) {
	e.uint(uint64(r.Status))
	e.uint(r.FencingToken)
	e.uint(r.Number)
	e.uint(r.Revision)
	e.string(r.Value)
	e.uint(uint64(len(r.Events)))
	for _, x := range r.Events {
		e.string(x.Name)
		e.string(x.Value)
		e.uint(x.Revision)
	}
	e.uint(uint64(len(r.Locks)))
	for _, l := range r.Locks {
		e.string(l.Name)
		e.string(l.Holder)
		e.uint(l.FencingToken)
		e.duration(l.TimeLeft)
	}
}

func (r *Result) decode(d *decoder) {
	r.Status, r.FencingToken, r.Number, r.Revision, r.Value = Status(d.uint()), d.uint(), d.uint(), d.uint(), d.string()
	if r.Status > StatusAmbiguous && d.err == nil {
		d.err = ErrUnknownVersion
	}
	for range d.count() {
		r.Events = append(r.Events, Event{d.string(), d.string(), d.uint()})
	}
	for range d.count() {
		r.Locks = append(r.Locks, LockInfo{d.string(), d.string(), d.uint(), d.duration()})
	}
}
