package dispatch

import (
	"time"

	"clovergap/control"
	"clovergap/internal/check"
	"clovergap/internal/counters"
	"clovergap/internal/http1"
	"clovergap/internal/link"
	"clovergap/internal/slots"
)

// conn is a connection to a backend; it carries one submission at a time.
type conn struct {
	d       *Dispatch
	me      slots.Ref
	b       *backend
	l       *link.Link
	r       http1.Reader
	sub     slots.Ref // 0: idle
	dialing bool
	carries bool // the present submission was given to the link
	idleAt  time.Duration
}

// reuse takes the idle connection used last that has rested, and closes those that are not fit to be used again.
func (d *Dispatch) reuse(b *backend) *conn {
	for i := len(b.idle) - 1; i >= 0; i-- {
		c := b.idle[i]
		if d.e.Now()-c.idleAt < rest {
			continue
		}
		b.idle = append(b.idle[:i], b.idle[i+1:]...)
		if d.e.Now()-c.idleAt < d.idleMost && c.l.Clean() {
			return c
		}
		c.close()
	}
	return nil
}

// rest is how long a connection stays idle after an answer: what a backend sends behind one, a second copy or noise,
// shows itself by then. Come later, it would be taken for the next answer. It costs a connection more now and then.
const rest = 10 * time.Millisecond

// dial opens a connection for a submission, or ends it when none may be opened.
func (d *Dispatch) dial(b *backend, ref slots.Ref, s *submission) bool {
	if d.e.Room() <= 0 && !d.Evict(b) && !d.makeRoom() {
		d.end(ref, s, control.Unreachable)
		return false
	}
	me, c, ok := d.conns.Add()
	if !ok {
		d.end(ref, s, control.Unreachable)
		return false
	}
	*c = conn{d: d, me: me, b: b, r: http1.Responses(), sub: ref, dialing: true}
	c.l = d.e.Dial(b.addr, d.dialLimit, c.up)
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
		c.d.end(c.sub, s, control.Unreachable)
		return
	}
	c.carry(c.sub, s)
}

// carry writes a submission.
func (c *conn) carry(ref slots.Ref, s *submission) {
	c.sub, s.conn = ref, c
	check.That(s.backend.ready, "nothing is sent to one that drains or is gone")
	left := s.until - c.d.e.Now()
	c.d.scratch = s.message.AppendTo(c.d.scratch[:0], left)
	if len(c.d.scratch) == 0 || left <= 0 { // its client has gone, or its time, before anything was written
		c.d.end(ref, s, control.NotSent)
		return
	}
	c.carries = true
	c.l.Send(c.d.scratch)
}

// Sent: the last byte is in the socket; mayRun asks for that when it counts.
func (c *conn) Sent() {}

// Closed: a connection that ends before a submission's last byte is written never ran it.
func (c *conn) Closed() {
	c.drop()
	s := c.d.subs.Get(c.sub)
	if s == nil || s.conn != c {
		return
	}
	e := control.Unreachable
	if s.mayRun() {
		e = control.Broken
	}
	s.conn = nil
	c.d.end(c.sub, s, e)
}

func (c *conn) close() {
	c.l.Close()
	c.drop()
}

// drop forgets the connection; its slot may be another's from the next dial on.
func (c *conn) drop() {
	check.That(c.d.conns.Get(c.me) == c, "a connection is dropped once")
	for i, o := range c.b.idle {
		if o == c {
			c.b.idle = append(c.b.idle[:i], c.b.idle[i+1:]...)
			break
		}
	}
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
	for {
		b := c.l.In.Linear()
		size, whole, err := c.r.Read(b)
		if err != nil {
			c.d.spoilt(ref, s)
			return
		}
		if !whole {
			if c.l.Full() {
				c.d.spoilt(ref, s)
			} else if len(b) > 0 && !s.partly && s.whole > 0 {
				s.partly = true
				c.d.e.At(c.d.e.Now()+s.whole, &c.d.parts, uint32(ref))
			}
			return
		}
		if c.r.Status() >= 200 {
			c.answered(ref, s, b, size)
			return
		}
		c.l.In.Drop(size) // an interim answer
		c.r.Reset()
	}
}

// spoilt: an answer that can't be read ends as a broken connection does, it may have run.
func (d *Dispatch) spoilt(ref slots.Ref, s *submission) {
	d.e.Count.Add(counters.BadAnswer)
	d.end(ref, s, control.Broken)
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
