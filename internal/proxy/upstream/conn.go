package upstream

import (
	"bytes"
	"time"

	"clovergap/control"
	"clovergap/internal/invariant"
	"clovergap/internal/proxy/counters"
	"clovergap/internal/proxy/eventloop"
	"clovergap/internal/proxy/gate"
	"clovergap/internal/proxy/http1"
	"clovergap/internal/proxy/slots"
)

// conn is a connection to a backend; it carries one attempt at a time.
type conn struct {
	dispatch   *Dispatch
	ref        slots.Ref
	backend    *backend
	link       *eventloop.Link
	reader     http1.Reader
	submission slots.Ref // that it carries; 0: idle
	dialing    bool
	idleAt     time.Duration
	idleFor    time.Duration
	sending    bool
	forwarding bool
	meaning    Meaning // of an answer that is streamed
	streaming  bool    // an answer is streamed
	last       string  // ID of the request that it carried last
}

// reuse takes the most recently used connection that has been idle for Config.MinIdle, or for less if ignoreMinIdle, and closes those that
// can't be used again. A request with the ID of the one before on a connection goes over another: a duplicate of the former
// answer could not be told from its own, and two clients may have chosen the same ID.
func (d *Dispatch) reuse(b *backend, ignoreMinIdle bool, id string) *conn {
	for i := len(b.idle) - 1; i >= 0; i-- {
		c := b.idle[i]
		if d.engine.Now()-c.idleAt < d.config.MinIdle && !ignoreMinIdle {
			continue
		}
		b.idle = append(b.idle[:i], b.idle[i+1:]...)
		same := id != "" && id == c.last && !disabledChecks.sameID
		if !same && d.engine.Now()-c.idleAt < c.idleFor && c.link.Clean() {
			return c
		}
		c.close()
	}
	return nil
}

// defaultMinIdle is how long a connection stays idle after an answer. What a backend sends after one, a duplicate or
// garbage, usually arrives within that time; later it would be taken for the next answer. An additional
// connection is needed now and then.
const defaultMinIdle = 10 * time.Millisecond

// dial opens a connection for an attempt; if none may be opened the attempt ends, and the result is false.
func (d *Dispatch) dial(b *backend, ref slots.Ref, s *submission) bool {
	if d.engine.FreeConnections() <= 0 && !d.Evict(b) && !d.freeDescriptor() {
		d.end(ref, control.Unreachable)
		return false
	}
	me, c, ok := d.conns.Add()
	if !ok {
		d.end(ref, control.Unreachable)
		return false
	}
	*c = conn{dispatch: d, ref: me, backend: b, reader: http1.Responses(), submission: ref, dialing: true}
	c.reader.Bound(d.config.Head, d.config.Body)
	b.open++
	c.link = d.engine.Dial(b.addr, d.config.DialTimeout, c.dialEnded)
	if d.config.Raw > 0 {
		c.link.Bound(d.config.Raw)
	}
	c.link.SetOwner(c)
	s.conn = c
	return true
}

// dialEnded is called when the dial has ended.
func (c *conn) dialEnded(ok bool) {
	c.dialing = false
	s := c.dispatch.submissions.Get(c.submission)
	if s == nil {
		c.close()
		return
	}
	if !ok {
		c.dispatch.giveUp(c.submission, control.ConnectionLost, control.Unreachable)
		return
	}
	c.carry(c.submission, s)
}

// carry writes an attempt's request. It brings the clock up to the time first: the attempt was decided on earlier, and the process may have
// been paused since.
func (c *conn) carry(ref slots.Ref, s *submission) {
	c.submission, s.conn = ref, c
	invariant.Assert(s.backend.ready, "nothing is sent to one that drains or is gone")
	c.dispatch.engine.Refresh()
	if s.sendDeadline > 0 && c.dispatch.engine.Now() >= s.sendDeadline {
		c.dispatch.giveUp(ref, control.ConnectionLost, control.NotSent)
		return
	}
	left := s.deadline - c.dispatch.engine.Now()
	c.dispatch.scratch = s.message.AppendTo(c.dispatch.scratch[:0], c.backend.id, left)
	if len(c.dispatch.scratch) == 0 || left <= 0 { // the client has left, or the deadline has passed, before anything was written
		c.dispatch.giveUp(ref, control.ConnectionLost, control.NotSent)
		return
	}
	c.reader.Bodiless = bytes.HasPrefix(c.dispatch.scratch, []byte("HEAD "))
	s.id, s.streaming = s.message.ID(), s.message.Flows()
	if c.send(s, c.dispatch.scratch, !s.streaming) && s.streaming {
		c.sendBody()
	}
}

// Sent implements eventloop.Owner: all that was sent is in the socket.
func (c *conn) Sent() {
	if s := c.dispatch.submissions.Get(c.submission); s != nil && s.streaming {
		c.sendBody()
	}
}

// Closed implements eventloop.Owner: the backend or an error ended the connection.
func (c *conn) Closed() {
	c.drop()
	s := c.dispatch.submissions.Get(c.submission)
	if s == nil || s.conn != c {
		return
	}
	s.conn = nil
	c.dispatch.giveUp(c.submission, control.ConnectionLost, control.Unreachable)
}

// close closes the connection and forgets it.
func (c *conn) close() {
	c.link.Close()
	c.drop()
}

// drop forgets the connection; its slot may be reused by the next dial.
func (c *conn) drop() {
	invariant.Assert(c.dispatch.conns.Get(c.ref) == c, "a connection is dropped once")
	for i, o := range c.backend.idle {
		if o == c {
			c.backend.idle = append(c.backend.idle[:i], c.backend.idle[i+1:]...)
			break
		}
	}
	c.backend.open--
	c.dispatch.conns.Drop(c.ref)
}

// Data implements eventloop.Owner: it reads answers.
func (c *conn) Data() {
	ref := c.submission
	s := c.dispatch.submissions.Get(ref)
	if s == nil || s.conn != c { // bytes without a request
		c.dispatch.engine.Count.Add(counters.BadAnswer)
		c.submission = 0
		c.close()
		return
	}
	if c.streaming {
		c.forwardAnswer(ref, s)
		return
	}
	for {
		b := c.link.Input.Linear()
		size, complete, err := c.reader.Read(b)
		if err != nil {
			c.dispatch.badAnswer(ref)
			return
		}
		if !complete && c.beginStreaming(ref, s, b) {
			return
		}
		if !complete {
			c.awaitRest(ref, s, len(b))
			return
		}
		if c.reader.Status() >= 200 {
			v := c.read(s, b)
			if !v.Other {
				c.answered(ref, s, v, b, size)
				return
			}
			c.dispatch.engine.Count.Add(counters.OtherAnswer)
			s.answerDeadline = 0
		}
		bodiless := c.reader.Bodiless // an interim (1xx) answer, or another request's
		c.link.Input.Drop(size)
		c.reader.Reset()
		c.reader.Bodiless = bodiless
	}
}

// awaitRest waits for the rest of an answer of which so many bytes are there.
func (c *conn) awaitRest(ref slots.Ref, s *submission, received int) {
	switch {
	case c.link.Full():
		c.dispatch.badAnswer(ref)
	case received > 0 && s.answerDeadline == 0 && s.answerTimeout > 0:
		s.answerDeadline = c.dispatch.engine.Now() + s.answerTimeout
		c.dispatch.engine.At(s.answerDeadline, &c.dispatch.partAlarms, uint32(ref))
	}
}

// answered ends an attempt by its complete answer.
func (c *conn) answered(ref slots.Ref, s *submission, v Meaning, b []byte, size int) {
	if v.Ending == control.ConnectionLost { // well-formed, yet not an answer to the request
		c.dispatch.badAnswer(ref)
		return
	}
	o := gate.Outcome{Ending: v.Ending, Load: v.Load, Final: v.Final, Answer: &c.reader, Bytes: b, Body: c.reader.Body(b)}
	c.finish(ref, s, v, o, size)
}

// finish reports the outcome of an answer, and pools the connection if nothing is left on it.
func (c *conn) finish(ref slots.Ref, s *submission, v Meaning, o gate.Outcome, size int) {
	// With bytes left in either direction the next answer's begin would not be known.
	keep := !c.reader.Closes && !v.Closes && c.link.Unwritten() == 0 && !s.streaming && c.link.Input.Len() == size
	c.submission, c.last, s.conn = 0, s.id, nil
	c.dispatch.ended(ref, o)
	if !keep || !c.backend.ready || c.link.IsClosed() {
		c.close()
		return
	}
	c.link.Input.Drop(size)
	c.reader.Reset()
	c.idleAt, c.idleFor = c.dispatch.engine.Now(), time.Duration(idleFraction*float64(c.dispatch.config.IdleTimeout))
	if v.Idle > 0 {
		c.idleFor = v.Idle
	}
	c.backend.idle = append(c.backend.idle, c)
}

// read asks the dialect what an answer means.
func (c *conn) read(s *submission, b []byte) Meaning {
	return c.dispatch.config.Dialect.Read(Request{s.id, s.message.Once(), c.backend.id}, &c.reader, b)
}

// badAnswer: an answer that can't be read ends as a broken connection does, it may have run.
func (d *Dispatch) badAnswer(ref slots.Ref) {
	d.engine.Count.Add(counters.BadAnswer)
	d.giveUp(ref, control.ConnectionLost, control.Unreachable)
}

// Evict closes the connection that has been idle longest, wherever it leads but to one backend.
func (d *Dispatch) Evict(but *backend) bool {
	var oldest *conn
	for _, b := range d.backends {
		if b != but && len(b.idle) > 0 && (oldest == nil || b.idle[0].idleAt < oldest.idleAt) {
			oldest = b.idle[0]
		}
	}
	if oldest == nil {
		return false
	}
	d.engine.Count.Add(counters.BackendsEvicted)
	oldest.close()
	return true
}
