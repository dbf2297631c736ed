package downstream

import (
	"clovergap/internal/proxy/http1"
	"clovergap/internal/proxy/slots"
)

// begins takes a message in parts that won't be held whole, once its head is there.
func (c *Client) begins() bool {
	size, headed := c.r.Headed()
	if b := &c.in.bounds; !headed || b.Buffer <= 0 || c.in.streams == nil {
		return false
	}
	b := c.l.In.Linear()
	if !c.asked {
		c.asked = true
		if v, _ := c.r.Get(b, "expect"); http1.Same(v, "100-continue") {
			c.l.Send([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
		}
	}
	length, _, chunked := c.r.Framed()
	if length <= c.in.bounds.Buffer && (!chunked || c.r.Some() <= c.in.bounds.Buffer && !c.l.Full()) || c.l.IsClosed() {
		return false
	}
	c.head = append(c.head[:0], b[:size]...)
	c.r.Cut()
	c.l.In.Drop(size)
	c.l.In.Bound(streamRing)
	c.l.In.Hold(true)
	c.flows, c.busy, c.size, c.last = true, true, 0, c.r.Closes || c.in.draining || c.in.crowded()
	c.in.handler.Take(c)
	return true
}

// final makes the answer to a message whose body was not taken to its end the connection's last: nobody
// knows where the next message would begin.
func (c *Client) final() { c.last = c.last || c.flows && !c.r.Done() }

// unflow ends the taking in parts.
func (c *Client) unflow() {
	if !c.flows {
		return
	}
	c.flows = false
	c.l.In.Hold(false)
	c.l.In.Bound(c.in.bounds.Raw)
	if cap(c.head) > leastHead {
		c.head = nil
	}
}

// leastHead is what is kept of a head's memory between messages.
const leastHead = 1 << 10

// Txn is what the present message was held for.
func (c *Client) Txn() slots.Ref { return c.txn }

// Flows tells whether the body is taken in parts.
func (c *Client) Flows() bool { return c.flows }

// Part adds what has come of a body that is taken in parts. After an error nothing more of it can be told.
func (c *Client) Part(b []byte) (out []byte, whole bool, err error) {
	for !c.r.Done() && !c.l.IsClosed() {
		if c.l.In.Len() == 0 {
			break
		}
		h := c.l.In.Head()
		part, used, _, err := c.r.Part(h)
		if err == nil && used == 0 && len(h) < c.l.In.Len() { // a chunk's mark across the ring's end
			part, used, _, err = c.r.Part(c.l.In.Linear())
		}
		if err != nil {
			return b, false, err
		}
		if used == 0 {
			break
		}
		b = append(b, part...)
		c.l.In.Drop(used)
	}
	return b, c.r.Done(), nil
}

// Resume reads on where the bytes that waited have filled their ring, after Part has taken some.
func (c *Client) Resume() bool {
	if !c.l.Full() || c.l.In.Room() == 0 {
		return false
	}
	c.l.Resume()
	return true
}

// Begin writes what there is of an answer that comes in parts.
func (c *Client) Begin(write func(b []byte, last bool) []byte) {
	c.final()
	c.in.scratch = write(c.in.scratch[:0], c.last)
	c.answering = true
	c.l.Send(c.in.scratch)
}

// Room is how many bytes more of such an answer its reader is ready for.
func (c *Client) Room() int { return streamRing - c.l.Unwritten() }

// Pass writes a part.
func (c *Client) Pass(p []byte) { c.l.Send(p) }

// End writes the last part, or breaks the connection off where the answer is not whole: it must not look so.
func (c *Client) End(whole bool, last []byte) {
	if !whole {
		c.txn = 0
		c.close()
		return
	}
	c.finish(append(c.in.scratch[:0], last...))
}
