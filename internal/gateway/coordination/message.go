package coordination

import (
	"time"

	"clovergap/internal/gateway/groups"
)

// Message is what services say to each other: one of its fields is set.
type Message struct {
	Ask   *Ask
	Reply *Reply
}

// Ask is a call on its way to whoever leads its group. It counts until a time by the clock of the life that it is meant for: one that
// stood on a link, or was read after a standstill, does nothing.
type Ask struct {
	Asker  uint64 // the life of the node that took the call
	Number uint32 // of the call there
	Try    uint8
	Life   uint64        // that Until is of; 0: its clock is not known yet
	Until  time.Duration // by that life's steady clock
	Call   Call
}

// Reply ends an Ask.
type Reply struct {
	Asker   uint64
	Number  uint32
	Try     uint8
	Outcome Outcome
	Leader  string        // where the asked node isn't: who leads, as far as it knows
	Life    uint64        // of the node that answers
	Clock   time.Duration // and its steady clock
	Answer  Answer
}

// Outcome tells how one try of a call ended.
type Outcome uint8

// The outcomes.
const (
	Done      Outcome = iota // the answer holds
	Refused                  // this try did nothing and never will
	Uncertain                // it may have taken effect, or may still
	Undated                  // Refused, since it bore no time of this life's clock
)

// The kinds of messages on a link.
const (
	askKind   = 1
	replyKind = 2
)

// Encode words a message for a link: bytes between zones are dear.
func (m *Message) Encode() []byte {
	var e encoder
	if a := m.Ask; a != nil {
		e.uint(askKind)
		e.uint(a.Asker)
		e.uint(uint64(a.Number))
		e.uint(uint64(a.Try))
		e.uint(a.Life)
		e.time(a.Until)
		a.Call.encode(&e)
		return e.bytes
	}
	r := m.Reply
	e.uint(replyKind)
	e.uint(r.Asker)
	e.uint(uint64(r.Number))
	e.uint(uint64(r.Try))
	e.uint(uint64(r.Outcome))
	e.text(r.Leader)
	e.uint(r.Life)
	e.time(r.Clock)
	r.Answer.encode(&e)
	return e.bytes
}

// DecodeMessage reads a message.
func DecodeMessage(b []byte) (*Message, error) {
	d := decoder{bytes: b}
	switch d.uint() {
	case askKind:
		a := &Ask{Asker: d.uint(), Number: uint32(d.uint()), Try: uint8(d.uint()), Life: d.uint(), Until: d.time()}
		a.Call.decode(&d)
		return &Message{Ask: a}, d.err
	case replyKind:
		r := &Reply{Asker: d.uint(), Number: uint32(d.uint()), Try: uint8(d.uint()), Outcome: Outcome(d.uint()), Leader: d.text(),
			Life: d.uint(), Clock: d.time()}
		r.Answer.decode(&d)
		return &Message{Reply: r}, d.err
	}
	return nil, errVersion
}

// encode words a call: only those fields that its operation has.
func (c *Call) encode(e *encoder) {
	e.uint(uint64(c.Operation))
	e.text(c.Name)
	switch c.Operation {
	case LockBegin:
		e.text(c.Holder)
		e.time(c.Hold)
	case LockHeartbeat:
		e.text(c.Holder)
		e.uint(c.Fence)
		e.time(c.Hold)
	case LockFinish:
		e.text(c.Holder)
		e.uint(c.Fence)
	case KeyReplace:
		e.text(c.Value)
		e.bool(c.Bound)
		e.uint(c.Expected)
	case KeyWatch:
		e.uint(c.After)
		e.time(c.Wait)
	case LockList:
		e.uint(uint64(c.Group))
	}
}

func (c *Call) decode(d *decoder) {
	c.Operation = Operation(d.uint())
	c.Name = d.text()
	switch c.Operation {
	case LockBegin:
		c.Holder, c.Hold = d.text(), d.time()
	case LockHeartbeat:
		c.Holder, c.Fence, c.Hold = d.text(), d.uint(), d.time()
	case LockFinish:
		c.Holder, c.Fence = d.text(), d.uint()
	case KeyReplace:
		c.Value, c.Bound, c.Expected = d.text(), d.bool(), d.uint()
	case KeyWatch:
		c.After, c.Wait = d.uint(), d.time()
	case LockList:
		c.Group = groups.ID(d.uint())
	}
}

func (a *Answer) encode(e *encoder) {
	e.uint(uint64(a.Status))
	e.uint(a.Fence)
	e.uint(a.Number)
	e.uint(a.Revision)
	e.text(a.Value)
	e.uint(uint64(len(a.Events)))
	for _, x := range a.Events {
		e.text(x.Name)
		e.text(x.Value)
		e.uint(x.Revision)
	}
	e.uint(uint64(len(a.Locks)))
	for _, l := range a.Locks {
		e.text(l.Name)
		e.text(l.Holder)
		e.uint(l.Fence)
		e.time(l.Left)
	}
}

func (a *Answer) decode(d *decoder) {
	a.Status, a.Fence, a.Number, a.Revision, a.Value = Status(d.uint()), d.uint(), d.uint(), d.uint(), d.text()
	if a.Status > Unclear && d.err == nil {
		d.err = errVersion
	}
	for range d.count() {
		a.Events = append(a.Events, Event{d.text(), d.text(), d.uint()})
	}
	for range d.count() {
		a.Locks = append(a.Locks, Lock{d.text(), d.text(), d.uint(), d.time()})
	}
}
