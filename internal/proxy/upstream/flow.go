package upstream

import (
	"clovergap/control"
	"clovergap/internal/proxy/gate"
	"clovergap/internal/proxy/slots"
)

// flowMost is how much of a body that is passed on as it comes waits for the socket.
const flowMost = 64 << 10

// More is called when a front has more of a request's body, or is ready for more of the answer.
func (d *Dispatch) More(txn slots.Ref) {
	s := d.subs.Get(d.byTxn[txn])
	if s == nil || s.conn == nil || s.fence.conn == 0 {
		return
	}
	c := s.conn
	c.feed()
	if s := d.subs.Get(c.sub); s != nil && s.conn == c && c.flows {
		c.pass(c.sub, s)
	}
}

// feed passes a request's body on, as much as has come and the backend takes.
func (c *conn) feed() {
	if c.feeding {
		return
	}
	c.feeding = true
	defer func() { c.feeding = false }()
	for {
		s := c.d.subs.Get(c.sub)
		if s == nil || s.conn != c || !s.flows || s.fence.conn == 0 || c.l.IsClosed() || c.l.Unwritten() >= flowMost {
			return
		}
		b, whole, ok := s.message.Part(c.d.scratch[:0])
		c.d.scratch = b[:0]
		if !ok { // the rest never comes
			c.d.giveUp(c.sub, s, control.ConnectionLost, control.NotSent)
			return
		}
		if s.flows = !whole; len(b) == 0 {
			return
		}
		c.hand(s, b, whole)
	}
}

// begins passes an answer on in parts that won't be held whole, once its head is there.
func (c *conn) begins(ref slots.Ref, s *submission, b []byte) bool {
	size, headed := c.r.Headed()
	buffer := c.d.terms.Buffer
	if !headed || buffer <= 0 || c.r.Status() < 200 {
		return false
	}
	if length, _, chunked := c.r.Framed(); length <= buffer && (!chunked || c.r.Some() <= buffer && !c.l.Full()) {
		return false
	}
	v := c.read(s, b)
	switch {
	case v.Other, v.Ending == control.ConnectionLost: // what belongs to nobody is not waited for to its end
		c.d.spoilt(ref, s)
		return true
	case v.Ending != control.Succeeded && !v.Final:
		c.d.cut(s)
		c.d.tell(ref, s, v.Ending)
		return true
	}
	if !c.d.gate.Begun(s.txn, gate.Outcome{Ending: v.Ending, Load: v.Load, Final: v.Final, Answer: &c.r, Bytes: b}) {
		c.d.giveUp(ref, s, control.ConnectionLost, control.Unreachable)
		return true
	}
	c.verdict, c.flows, s.wholeBy = v, true, 0
	c.r.Cut()
	c.l.In.Drop(size)
	c.l.In.Bound(flowMost)
	c.l.Trail(true)
	if s := c.d.subs.Get(ref); s != nil && s.conn == c {
		c.pass(ref, s)
	}
	return true
}

// pass passes an answer's body on, as much as has come and its reader takes: the rest waits in the socket.
func (c *conn) pass(ref slots.Ref, s *submission) {
	if c.passing {
		return
	}
	c.passing = true
	defer func() { c.passing = false }()
	for {
		room := c.d.gate.Room(s.txn)
		if room < 0 {
			c.d.giveUp(ref, s, control.Canceled, control.NotSent)
			return
		}
		h := c.l.In.Head()
		if room == 0 || len(h) == 0 && !c.refill() {
			return
		}
		if s.conn != c || c.l.IsClosed() {
			return
		}
		if h = c.l.In.Head(); len(h) == 0 {
			return
		}
		part, used, whole, err := c.r.Part(h)
		if err == nil && used == 0 && !whole && len(h) < c.l.In.Len() { // a chunk's mark across the ring's end
			part, used, whole, err = c.r.Part(c.l.In.Linear())
		}
		if err != nil {
			c.d.spoilt(ref, s)
			return
		}
		if len(part) > 0 {
			c.d.gate.Pass(s.txn, part)
		}
		if s.conn != c || c.l.IsClosed() {
			return
		}
		c.l.In.Drop(used)
		if whole {
			c.flows = false
			c.l.In.Bound(c.d.terms.Raw)
			c.r.Closes = !c.l.Trail(false) || c.r.Closes
			v := c.verdict
			c.over(ref, s, v, gate.Outcome{Ending: v.Ending, Load: v.Load, Final: v.Final, Answer: &c.r}, 0)
			return
		}
		if used == 0 && !c.refill() {
			if s.conn == c && c.l.Over() { // what waits is not the rest of the answer
				c.d.spoilt(ref, s)
			}
			return
		}
	}
}

// refill reads on where the ring was full.
func (c *conn) refill() bool {
	if !c.l.Full() || c.l.In.Room() == 0 {
		return false
	}
	before := c.l.In.Len()
	c.l.Resume()
	return !c.l.IsClosed() && c.l.In.Len() > before
}
