package upstream

import (
	"clovergap/control"
	"clovergap/internal/proxy/gate"
	"clovergap/internal/proxy/slots"
)

// maxUnwritten bounds, in bytes, what of a streamed body waits for a socket.
const maxUnwritten = 64 << 10

// More reports that a front has more of a request's body, or takes more of the answer.
func (d *Dispatch) More(txn slots.Ref) {
	s := d.submissions.Get(d.byTxn[txn])
	if s == nil || s.conn == nil || s.transmission.conn == 0 {
		return
	}
	c := s.conn
	c.sendBody()
	if s := d.submissions.Get(c.submission); s != nil && s.conn == c && c.streaming {
		c.forwardAnswer(c.submission, s)
	}
}

// sendBody sends a streamed request's body, as much as has come and the backend takes.
func (c *conn) sendBody() {
	if c.sending {
		return
	}
	c.sending = true
	defer func() { c.sending = false }()
	for {
		ref := c.submission
		s := c.dispatch.submissions.Get(ref)
		if s == nil || s.conn != c || !s.streaming || s.transmission.conn == 0 || c.link.IsClosed() || c.link.Unwritten() >= maxUnwritten {
			return
		}
		b, complete, ok := s.message.Part(c.dispatch.scratch[:0])
		c.dispatch.scratch = b[:0]
		if !ok { // the rest never comes
			c.dispatch.giveUp(ref, control.ConnectionLost, control.NotSent)
			return
		}
		if c.dispatch.submissions.Get(ref) != s || s.conn != c { // the attempt has ended while the client's socket was read
			return
		}
		if s.streaming = !complete; len(b) == 0 {
			return
		}
		c.send(s, b, complete)
	}
}

// beginStreaming streams an answer that is not to be buffered, once its head is complete.
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
	case v.Other, v.Ending == control.ConnectionLost: // its end is not waited for
		c.dispatch.badAnswer(ref)
		return true
	case v.Ending != control.Succeeded && !v.Final:
		c.dispatch.disconnect(s)
		c.dispatch.end(ref, v.Ending)
		return true
	}
	if !c.dispatch.gate.Begun(s.txn, gate.Outcome{Ending: v.Ending, Load: v.Load, Final: v.Final, Answer: &c.reader, Bytes: b}) {
		c.dispatch.giveUp(ref, control.ConnectionLost, control.Unreachable)
		return true
	}
	if s = c.dispatch.submissions.Get(ref); s == nil || s.conn != c { // the client left while the head was written
		return true
	}
	c.meaning, c.streaming, s.answerDeadline = v, true, 0
	c.reader.StreamBody()
	c.link.Input.Drop(size)
	c.link.Input.Bound(maxUnwritten)
	c.link.ReadToEnd(true)
	if s := c.dispatch.submissions.Get(ref); s != nil && s.conn == c {
		c.forwardAnswer(ref, s)
	}
	return true
}

// forwardAnswer passes a streamed answer's body on, as much as has come and the client takes. The rest waits in the socket.
func (c *conn) forwardAnswer(ref slots.Ref, s *submission) {
	if c.forwarding {
		return
	}
	c.forwarding = true
	defer func() { c.forwarding = false }()
	for c.forwardPart(ref, s) {
	}
}

// forwardPart passes the next part on. It returns false when there is nothing more to do now, or the attempt has ended.
func (c *conn) forwardPart(ref slots.Ref, s *submission) (more bool) {
	writable := c.dispatch.gate.Writable(s.txn)
	if writable < 0 {
		c.dispatch.giveUp(ref, control.Canceled, control.NotSent)
		return false
	}
	head := c.link.Input.Head()
	if writable == 0 || len(head) == 0 && !c.refill() {
		return false
	}
	if s.conn != c || c.link.IsClosed() {
		return false
	}
	if head = c.link.Input.Head(); len(head) == 0 {
		return false
	}
	part, used, complete, err := c.reader.Part(head)
	if err == nil && used == 0 && !complete && len(head) < c.link.Input.Len() { // a chunk's size wraps in the ring
		part, used, complete, err = c.reader.Part(c.link.Input.Linear())
	}
	if err != nil {
		c.dispatch.badAnswer(ref)
		return false
	}
	if len(part) > 0 {
		c.dispatch.gate.Pass(s.txn, part)
	}
	if s.conn != c || c.link.IsClosed() {
		return false
	}
	c.link.Input.Drop(used)
	if complete {
		c.endStreaming(ref, s)
		return false
	}
	if used == 0 && !c.refill() {
		if s.conn == c && c.link.InputEnded() { // what is left is not the rest of the answer
			c.dispatch.badAnswer(ref)
		}
		return false
	}
	return true
}

// endStreaming ends an attempt whose answer has been passed on to its end.
func (c *conn) endStreaming(ref slots.Ref, s *submission) {
	c.streaming = false
	c.link.Input.Bound(c.dispatch.config.Raw)
	c.reader.Closes = !c.link.ReadToEnd(false) || c.reader.Closes
	m := c.meaning
	c.finish(ref, s, m, gate.Outcome{Ending: m.Ending, Load: m.Load, Final: m.Final, Answer: &c.reader}, 0)
}

// refill reads on from the socket if the ring was full. It returns false if nothing was added.
func (c *conn) refill() bool {
	if !c.link.Full() || c.link.Input.Available() == 0 {
		return false
	}
	before := c.link.Input.Len()
	c.link.Resume()
	return !c.link.IsClosed() && c.link.Input.Len() > before
}
