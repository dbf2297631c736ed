package upstream

import (
	"clovergap/control"
	"clovergap/internal/proxy/gate"
	"clovergap/internal/proxy/slots"
)

// maxUnwritten is how much of a body that is passed on as it comes waits for the socket.
const maxUnwritten = 64 << 10

// More is called when a front has more of a request's body, or is ready for more of the answer.
func (d *Dispatch) More(txn slots.Ref) {
	s := d.submissions.Get(d.byTxn[txn])
	if s == nil || s.conn == nil || s.transmission.conn == 0 {
		return
	}
	c := s.conn
	c.sendBody()
	if s := d.submissions.Get(c.sub); s != nil && s.conn == c && c.streaming {
		c.forwardAnswer(c.sub, s)
	}
}

// sendBody passes a request's body on, as much as has come and the backend takes.
func (c *conn) sendBody() {
	if c.sending {
		return
	}
	c.sending = true
	defer func() { c.sending = false }()
	for {
		s := c.dispatch.submissions.Get(c.sub)
		if s == nil || s.conn != c || !s.streaming || s.transmission.conn == 0 || c.link.IsClosed() || c.link.Unwritten() >= maxUnwritten {
			return
		}
		b, whole, ok := s.message.Part(c.dispatch.scratch[:0])
		c.dispatch.scratch = b[:0]
		if !ok { // the rest never comes
			c.dispatch.giveUp(c.sub, s, control.ConnectionLost, control.NotSent)
			return
		}
		if s.streaming = !whole; len(b) == 0 {
			return
		}
		c.send(s, b, whole)
	}
}

// beginStreaming passes an answer on in parts that won't be held whole, once its head is there.
func (c *conn) beginStreaming(ref slots.Ref, s *submission, b []byte) bool {
	size, headed := c.reader.Headed()
	buffer := c.dispatch.config.Buffer
	if !headed || buffer <= 0 || c.reader.Status() < 200 {
		return false
	}
	if length, _, chunked := c.reader.Framed(); length <= buffer && (!chunked || c.reader.Buffered() <= buffer && !c.link.Full()) {
		return false
	}
	v := c.read(s, b)
	switch {
	case v.Other, v.Ending == control.ConnectionLost: // what belongs to nobody is not waited for to its end
		c.dispatch.badAnswer(ref, s)
		return true
	case v.Ending != control.Succeeded && !v.Final:
		c.dispatch.disconnect(s)
		c.dispatch.end(ref, s, v.Ending)
		return true
	}
	if !c.dispatch.gate.Begun(s.txn, gate.Outcome{Ending: v.Ending, Load: v.Load, Final: v.Final, Answer: &c.reader, Bytes: b}) {
		c.dispatch.giveUp(ref, s, control.ConnectionLost, control.Unreachable)
		return true
	}
	c.meaning, c.streaming, s.answerDeadline = v, true, 0
	c.reader.StreamBody()
	c.link.Input.Drop(size)
	c.link.Input.Bound(maxUnwritten)
	c.link.Trail(true)
	if s := c.dispatch.submissions.Get(ref); s != nil && s.conn == c {
		c.forwardAnswer(ref, s)
	}
	return true
}

// forwardAnswer passes an answer's body on, as much as has come and its reader takes: the rest waits in the socket.
func (c *conn) forwardAnswer(ref slots.Ref, s *submission) {
	if c.forwarding {
		return
	}
	c.forwarding = true
	defer func() { c.forwarding = false }()
	for {
		room := c.dispatch.gate.Writable(s.txn)
		if room < 0 {
			c.dispatch.giveUp(ref, s, control.Canceled, control.NotSent)
			return
		}
		h := c.link.Input.Head()
		if room == 0 || len(h) == 0 && !c.refill() {
			return
		}
		if s.conn != c || c.link.IsClosed() {
			return
		}
		if h = c.link.Input.Head(); len(h) == 0 {
			return
		}
		part, used, whole, err := c.reader.Part(h)
		if err == nil && used == 0 && !whole && len(h) < c.link.Input.Len() { // a chunk's mark across the ring's end
			part, used, whole, err = c.reader.Part(c.link.Input.Linear())
		}
		if err != nil {
			c.dispatch.badAnswer(ref, s)
			return
		}
		if len(part) > 0 {
			c.dispatch.gate.Pass(s.txn, part)
		}
		if s.conn != c || c.link.IsClosed() {
			return
		}
		c.link.Input.Drop(used)
		if whole {
			c.streaming = false
			c.link.Input.Bound(c.dispatch.config.Raw)
			c.reader.Closes = !c.link.Trail(false) || c.reader.Closes
			v := c.meaning
			c.over(ref, s, v, gate.Outcome{Ending: v.Ending, Load: v.Load, Final: v.Final, Answer: &c.reader}, 0)
			return
		}
		if used == 0 && !c.refill() {
			if s.conn == c && c.link.Over() { // what waits is not the rest of the answer
				c.dispatch.badAnswer(ref, s)
			}
			return
		}
	}
}

// refill reads on where the ring was full.
func (c *conn) refill() bool {
	if !c.link.Full() || c.link.Input.Available() == 0 {
		return false
	}
	before := c.link.Input.Len()
	c.link.Resume()
	return !c.link.IsClosed() && c.link.Input.Len() > before
}
