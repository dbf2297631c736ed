package downstream

import (
	"clovergap/internal/proxy/http1"
	"clovergap/internal/proxy/slots"
)

// beginStreaming streams a request that is not to be buffered, once its head is complete. It returns false if the request is to be buffered. It
// returns true also if the client has gone: what the client has sent must not be read any more.
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
	if c.link.IsClosed() {
		return true
	}
	length, _, chunked := c.reader.Framed()
	if length <= c.server.bounds.Buffer && (!chunked || c.reader.Buffered() <= c.server.bounds.Buffer && !c.link.Full()) {
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

// closeIfBodyUnread makes an answer the connection's last if the request's body was not read to its end: where the next
// request would begin is not known.
func (c *Client) closeIfBodyUnread() { c.last = c.last || c.streaming && !c.reader.Done() }

// endStreaming returns to buffered requests.
func (c *Client) endStreaming() {
	if !c.streaming {
		return
	}
	c.streaming = false
	c.link.Input.KeepMemory(false)
	c.link.Input.Bound(c.server.bounds.Raw)
	if cap(c.head) > maxKeptHead {
		c.head = nil
	}
}

// maxKeptHead is how many bytes of memory for a head are kept between requests.
const maxKeptHead = 1 << 10

// Txn is what the present request waits for.
func (c *Client) Txn() slots.Ref { return c.txn }

// Flows tells whether the body is streamed.
func (c *Client) Flows() bool { return c.streaming }

// Part appends what has come of a streamed body; complete: that was the last. After an error the rest can't be read.
func (c *Client) Part(b []byte) (out []byte, complete bool, err error) {
	for !c.reader.Done() && !c.link.IsClosed() {
		if c.link.Input.Len() == 0 {
			break
		}
		h := c.link.Input.Head()
		part, used, _, err := c.reader.Part(h)
		if err == nil && used == 0 && len(h) < c.link.Input.Len() { // a chunk's size wraps in the ring
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

// Resume reads on from the socket if the ring was full, after Part has taken some.
func (c *Client) Resume() bool {
	if !c.link.Full() || c.link.Input.Available() == 0 {
		return false
	}
	c.link.Resume()
	return true
}

// Begin writes the head of a streamed answer.
func (c *Client) Begin(write func(b []byte, last bool) []byte) {
	c.closeIfBodyUnread()
	c.server.scratch = write(c.server.scratch[:0], c.last)
	c.answering = true
	c.link.Send(c.server.scratch)
}

// Writable is how many bytes of a streamed answer may be written now.
func (c *Client) Writable() int { return streamRing - c.link.Unwritten() }

// Pass writes a part of a streamed answer.
func (c *Client) Pass(p []byte) { c.link.Send(p) }

// End writes the end of a streamed answer, or closes the connection if the answer is not complete, so that the client can
// tell.
func (c *Client) End(complete bool, last []byte) {
	if !complete {
		c.txn = 0
		if c.Writable() <= 0 { // the answer waited for the client
			c.closeUnread()
		} else {
			c.close()
		}
		return
	}
	c.finish(append(c.server.scratch[:0], last...))
}
