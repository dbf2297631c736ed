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

// conn is a connection to a backend; it carries one submission at a time.
type conn struct {
	d       *Dispatch
	me      slots.Ref
	b       *backend
	l       *eventloop.Link
	r       http1.Reader
	sub     slots.Ref // 0: idle
	dialing bool
	idleAt  time.Duration
	idleFor time.Duration
	feeding bool
	passing bool
	verdict Verdict // of an answer that is passed on in parts
	flows   bool    // one is
	last    string  // id of what it carried last
}

// reuse takes the idle connection used last that has rested, unless any will do, and closes those that are
// not fit to be used again. What has the id of the one before on a connection goes on another: a second copy of that
// answer could not be told from its own, and two clients may have chosen alike.
func (d *Dispatch) reuse(b *backend, any bool, id string) *conn {
	for i := len(b.idle) - 1; i >= 0; i-- {
		c := b.idle[i]
		if d.e.Now()-c.idleAt < d.terms.Rest && !any {
			continue
		}
		b.idle = append(b.idle[:i], b.idle[i+1:]...)
		same := id != "" && id == c.last && !unfenced.sameID
		if !same && d.e.Now()-c.idleAt < c.idleFor && c.l.Clean() {
			return c
		}
		c.close()
	}
	return nil
}

// restUsual is how long a connection stays idle after an answer: what a backend sends behind one, a second
// copy or noise, shows itself by then. Come later, it would be taken for the next answer. It costs a
// connection more now and then.
const restUsual = 10 * time.Millisecond

// dial opens a connection for a submission, or ends it when none may be opened.
func (d *Dispatch) dial(b *backend, ref slots.Ref, s *submission) bool {
	if d.e.Room() <= 0 && !d.Evict(b) && !d.makeRoom() {
		d.tell(ref, s, control.Unreachable)
		return false
	}
	me, c, ok := d.conns.Add()
	if !ok {
		d.tell(ref, s, control.Unreachable)
		return false
	}
	*c = conn{d: d, me: me, b: b, r: http1.Responses(), sub: ref, dialing: true}
	c.r.Bound(d.terms.Head, d.terms.Body)
	b.open++
	c.l = d.e.Dial(b.addr, d.terms.Dial, c.up)
	if d.terms.Raw > 0 {
		c.l.Bound(d.terms.Raw)
	}
	c.l.Own(c)
	s.conn = c
	return true
}

func (c *conn) up(ok bool) {
	c.dialing = false
	s := c.d.subs.Get(c.sub)
	if s == nil {
		c.close()
		return
	}
	if !ok {
		c.d.giveUp(c.sub, s, control.ConnectionLost, control.Unreachable)
		return
	}
	c.carry(c.sub, s)
}

// carry writes a submission.
func (c *conn) carry(ref slots.Ref, s *submission) {
	c.sub, s.conn = ref, c
	invariant.That(s.backend.ready, "nothing is sent to one that drains or is gone")
	left := s.until - c.d.e.Now()
	c.d.scratch = s.message.AppendTo(c.d.scratch[:0], c.b.id, left)
	if len(c.d.scratch) == 0 || left <= 0 { // its client has gone, or its time, before anything was written
		c.d.giveUp(ref, s, control.ConnectionLost, control.NotSent)
		return
	}
	c.r.Bodiless = bytes.HasPrefix(c.d.scratch, []byte("HEAD "))
	s.id, s.flows = s.message.ID(), s.message.Flows()
	if c.hand(s, c.d.scratch, !s.flows) && s.flows {
		c.feed()
	}
}

// Sent: all that was handed over is in the socket.
func (c *conn) Sent() {
	if s := c.d.subs.Get(c.sub); s != nil && s.flows {
		c.feed()
	}
}

// Closed: the backend ended it, or an error did.
func (c *conn) Closed() {
	c.drop()
	s := c.d.subs.Get(c.sub)
	if s == nil || s.conn != c {
		return
	}
	s.conn = nil
	c.d.giveUp(c.sub, s, control.ConnectionLost, control.Unreachable)
}

func (c *conn) close() {
	c.l.Close()
	c.drop()
}

// drop forgets the connection; its slot may be another's from the next dial on.
func (c *conn) drop() {
	invariant.That(c.d.conns.Get(c.me) == c, "a connection is dropped once")
	for i, o := range c.b.idle {
		if o == c {
			c.b.idle = append(c.b.idle[:i], c.b.idle[i+1:]...)
			break
		}
	}
	c.b.open--
	c.d.conns.Drop(c.me)
}

// Data reads an answer.
func (c *conn) Data() {
	ref := c.sub
	s := c.d.subs.Get(ref)
	if s == nil || s.conn != c { // bytes that nobody asked for
		c.d.e.Count.Add(counters.BadAnswer)
		c.sub = 0
		c.close()
		return
	}
	if c.flows {
		c.pass(ref, s)
		return
	}
	for {
		b := c.l.In.Linear()
		size, whole, err := c.r.Read(b)
		if err != nil {
			c.d.spoilt(ref, s)
			return
		}
		if !whole && c.begins(ref, s, b) {
			return
		}
		if !whole {
			if c.l.Full() {
				c.d.spoilt(ref, s)
			} else if len(b) > 0 && s.wholeBy == 0 && s.whole > 0 {
				s.wholeBy = c.d.e.Now() + s.whole
				c.d.e.At(s.wholeBy, &c.d.parts, uint32(ref))
			}
			return
		}
		if c.r.Status() >= 200 {
			v := c.read(s, b)
			if !v.Other {
				c.answered(ref, s, v, b, size)
				return
			}
			c.d.e.Count.Add(counters.OtherAnswer)
			s.wholeBy = 0
		}
		bodiless := c.r.Bodiless // an interim answer, or another's
		c.l.In.Drop(size)
		c.r.Reset()
		c.r.Bodiless = bodiless
	}
}

// answered ends a submission by its answer and keeps the connection where it may carry another.
func (c *conn) answered(ref slots.Ref, s *submission, v Verdict, b []byte, size int) {
	if v.Ending == control.ConnectionLost { // it has the form of an answer, and is none
		c.d.spoilt(ref, s)
		return
	}
	o := gate.Outcome{Ending: v.Ending, Load: v.Load, Final: v.Final, Answer: &c.r, Bytes: b, Body: c.r.Body(b)}
	c.over(ref, s, v, o, size)
}

// over tells the outcome that an answer makes, and keeps the connection if nothing is left on it.
func (c *conn) over(ref slots.Ref, s *submission, v Verdict, o gate.Outcome, size int) {
	// else nobody would find it again
	keep := !c.r.Closes && !v.Closes && c.l.Unwritten() == 0 && !s.flows && c.l.In.Len() == size
	c.sub, c.last, s.conn = 0, s.id, nil
	c.d.ended(ref, s, o)
	if !keep || !c.b.ready || c.l.IsClosed() {
		c.close()
		return
	}
	c.l.In.Drop(size)
	c.r.Reset()
	c.idleAt, c.idleFor = c.d.e.Now(), time.Duration(idleShare*float64(c.d.terms.Idle))
	if v.Idle > 0 {
		c.idleFor = v.Idle
	}
	c.b.idle = append(c.b.idle, c)
}

// read asks what an answer means.
func (c *conn) read(s *submission, b []byte) Verdict {
	return c.d.terms.Dialect.Read(Carried{s.id, s.message.Once(), c.b.id}, &c.r, b)
}

// spoilt: an answer that can't be read ends as a broken connection does, it may have run.
func (d *Dispatch) spoilt(ref slots.Ref, s *submission) {
	d.e.Count.Add(counters.BadAnswer)
	d.giveUp(ref, s, control.ConnectionLost, control.Unreachable)
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
	d.e.Count.Add(counters.BackendsEvicted)
	oldest.close()
	return true
}
