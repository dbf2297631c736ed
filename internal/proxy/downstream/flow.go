package downstream

import (
	"clovergap/internal/proxy/http1"
	"clovergap/internal/proxy/slots"
)

// beginStreaming takes a message in parts that won't be held whole, once its head is there.
func (c *Client) beginStreaming() bool {
	size, headed := c.reader.Headed()
	if b := &c.server.bounds; !headed || b.Buffer <= 0 || c.server.streams == nil {
		return false
	}
	b := c.link.Input.Linear()
	if !c.continueSent {
		c.continueSent = true
		if v, _ := c.reader.Get(b, "expect"); http1.Same(v, "100-continue") {
			c.link.Send([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
		}
	}
	length, _, chunked := c.reader.Framed()
	if length <= c.server.bounds.Buffer && (!chunked || c.reader.Buffered() <= c.server.bounds.Buffer && !c.link.Full()) || c.link.IsClosed() {
		return false
	}
	c.head = append(c.head[:0], b[:size]...)
	c.reader.StreamBody()
	c.link.Input.Drop(size)
	c.link.Input.Bound(streamRing)
	c.link.Input.KeepMemory(true)
	c.streaming, c.busy, c.size, c.last = true, true, 0, c.reader.Closes || c.server.draining || c.server.crowded()
	c.server.handler.Take(c)
	return true
}

// closeIfBodyUnread makes the answer to a message whose body was not taken to its end the connection's last: nobody
// knows where the next message would begin.
func (c *Client) closeIfBodyUnread() { c.last = c.last || c.streaming && !c.reader.Done() }

// endStreaming ends the taking in parts.
func (c *Client) endStreaming() {
	if !c.streaming {
		return
	}
	c.streaming = false
	c.link.Input.KeepMemory(false)
	c.link.Input.Bound(c.server.bounds.Raw)
	if cap(c.head) > leastHead {
		c.head = nil
	}
}

// leastHead is what is kept of a head's memory between messages.
const leastHead = 1 << 10

// Txn is what the present message was held for.
func (c *Client) Txn() slots.Ref { return c.txn }

// Flows tells whether the body is taken in parts.
func (c *Client) Flows() bool { return c.streaming }

// Part adds what has come of a body that is taken in parts. After an error nothing more of it can be told.
func (c *Client) Part(b []byte) (out []byte, whole bool, err error) {
	for !c.reader.Done() && !c.link.IsClosed() {
		if c.link.Input.Len() == 0 {
			break
		}
		h := c.link.Input.Head()
		part, used, _, err := c.reader.Part(h)
		if err == nil && used == 0 && len(h) < c.link.Input.Len() { // a chunk's mark across the ring's end
			part, used, _, err = c.reader.Part(c.link.Input.Linear())
		}
		if err != nil {
			return b, false, err
		}
		if used == 0 {
			break
		}
		b = append(b, part...)
		c.link.Input.Drop(used)
	}
	return b, c.reader.Done(), nil
}

// Resume reads on where the bytes that waited have filled their ring, after Part has taken some.
func (c *Client) Resume() bool {
	if !c.link.Full() || c.link.Input.Available() == 0 {
		return false
	}
	c.link.Resume()
	return true
}

// Begin writes what there is of an answer that comes in parts.
func (c *Client) Begin(write func(b []byte, last bool) []byte) {
	c.closeIfBodyUnread()
	c.server.scratch = write(c.server.scratch[:0], c.last)
	c.answering = true
	c.link.Send(c.server.scratch)
}

// Writable is how many bytes more of such an answer its reader is ready for.
func (c *Client) Writable() int { return streamRing - c.link.Unwritten() }

// Pass writes a part.
func (c *Client) Pass(p []byte) { c.link.Send(p) }

// End writes the last part, or breaks the connection off where the answer is not whole: it must not look so.
func (c *Client) End(whole bool, last []byte) {
	if !whole {
		c.txn = 0
		c.close()
		return
	}
	c.finish(append(c.server.scratch[:0], last...))
}
