package downstream

import (
	"time"

	"github.com/go-faster/errors"

	"clovergap/internal/proxy/answer"
	"clovergap/internal/proxy/counters"
	"clovergap/internal/proxy/eventloop"
	"clovergap/internal/proxy/http1"
	"clovergap/internal/proxy/slots"
)

// Client is one connection of a client; it has one request at a time.
type Client struct {
	UserData     any // the handler's, for as long as the connection lasts
	server       *Server
	ref          slots.Ref
	link         *eventloop.Link
	reader       http1.Reader
	txn          slots.Ref // that the request waits for; 0: none
	busy         bool
	size         int // of the present request, in bytes
	last         bool
	since        time.Duration // the time of the connection, the last answer or a request's first bytes
	sequence     uint32        // number of the present request on this connection
	begun        bool          // some of the present request has come
	reading      bool
	id           string // of the request that waits for an answer
	claimed      bool   // id is claimed: see Claim
	streaming    bool   // the body is streamed
	head         []byte // a copy of the request's head while streaming
	continueSent bool   // the client was asked to send the body
	// the head of a streamed answer has been written
	answering bool
}

// Request is the present request: its reader, and the bytes that the reader has read. If the body is streamed they are the
// head alone.
func (c *Client) Request() (*http1.Reader, []byte) {
	if c.streaming {
		return &c.reader, c.head
	}
	return &c.reader, c.link.Input.Linear()
}

// Rest is what has come after the present request already.
func (c *Client) Rest() []byte {
	if c.streaming {
		return nil
	}
	return c.link.Input.Linear()[c.size:]
}

// Claim reserves an ID until the request is answered; it fails if another request in flight has the same.
func (c *Client) Claim(id string) bool {
	if _, held := c.server.claimedIDs[id]; held {
		return false
	}
	c.id, c.claimed = id, true
	c.server.claimedIDs[id] = c.ref
	return true
}

// AwaitAnswer keeps the request for an answer that comes later. Handler.Left is called with txn if the client leaves before
// (0: it is not called); id is what ID returns for it.
func (c *Client) AwaitAnswer(txn slots.Ref, id string) {
	c.txn = txn
	if !c.claimed {
		c.id = id
	}
}

// InputDelay returns how long the present request may have waited, unread or behind the request before it: see eventloop.Link.InputDelay. A handler
// calls it in Take.
func (c *Client) InputDelay() time.Duration { return c.link.InputDelay(max(c.size, 1)) }

// Who is the reference to this connection, for a handler.
func (c *Client) Who() slots.Ref { return c.ref }

// Closes makes the present request the connection's last.
func (c *Client) Closes() { c.last = true }

// Answer answers the present request: write appends the answer to b; last tells that the connection ends with it.
func (c *Client) Answer(write func(b []byte, last bool) []byte) {
	c.closeIfBodyUnread()
	c.finish(write(c.server.scratch[:0], c.last))
}

// Ticket names a request that waits for its answer.
type Ticket struct {
	who      slots.Ref
	sequence uint32
}

// Ticket names the present request.
func (c *Client) Ticket() Ticket { return Ticket{c.ref, c.sequence} }

// IsClosed tells that the connection is closed, or is about to be.
func (c *Client) IsClosed() bool { return c.link.IsClosed() }

// idle tells that no request is in flight and nothing of the next has been read. Before a connection is closed, Link.Clean asks
// the socket as well: a request that waits there unread would be lost with it.
func (c *Client) idle() bool { return !c.busy && c.link.Input.Len() == 0 && c.link.Unwritten() == 0 }

// mayClose reports whether the connection of a client whose time-out has passed may be closed. If the client is to send, nothing may lie
// unread in the socket.
func (c *Client) mayClose() bool {
	switch {
	case c.link.Unwritten() > 0:
		return true
	case !c.begun:
		return c.link.Clean()
	}
	return ignoreUnread || !c.link.HasUnreadInput()
}

// close closes the connection and forgets the client.
func (c *Client) close() {
	c.link.Close()
	c.drop()
}

// closeUnread closes the connection and forgets the client. If the client has not read all that it was sent, the connection counts as cut off.
func (c *Client) closeUnread() {
	if c.link.Unwritten() > 0 {
		c.link.CloseUnread()
	}
	c.close()
}

// drop forgets the client.
func (c *Client) drop() {
	c.release()
	c.head, c.UserData = nil, nil
	if c.server.clients.Get(c.ref) == c {
		c.server.engine.Count.Add(counters.ClientsClosed)
		c.server.clients.Drop(c.ref)
	}
}

// headed tells whether the head of the present request is complete.
func (c *Client) headed() bool {
	_, complete := c.reader.Headed()
	return complete
}

// release ends the claim on the request's ID.
func (c *Client) release() {
	if c.claimed {
		delete(c.server.claimedIDs, c.id)
	}
	c.id, c.claimed = "", false
}

// Closed implements eventloop.Owner: the client has gone away.
func (c *Client) Closed() {
	txn := c.txn
	c.txn = 0
	c.drop()
	if txn != 0 {
		c.server.handler.Left(txn)
	}
}

// Sent implements eventloop.Owner: all that was sent is in the socket.
func (c *Client) Sent() {
	c.Data() // what has come after the present request
}

// Data implements eventloop.Owner: it reads requests while none is in flight, one at a time, in order.
func (c *Client) Data() {
	if c.reading {
		return // the loop below goes on by itself
	}
	c.reading = true
	defer func() { c.reading = false }()
	for !c.link.IsClosed() {
		if c.streaming || c.answering {
			c.server.streams.More(c)
		}
		if c.busy || c.link.Input.Len() == 0 {
			return
		}
		if c.link.Unwritten() > 0 { // one answer at a time
			return
		}
		if !c.begun {
			c.begun, c.since = true, c.server.engine.Now()
		}
		size, complete, err := c.reader.Read(c.link.Input.Linear())
		if err != nil {
			c.RejectUnreadable(err)
			return
		}
		if !complete && c.beginStreaming() {
			return
		}
		if !complete {
			if c.link.Input.Available() == 0 {
				c.RejectUnreadable(http1.ErrBody)
			} else if c.link.Full() {
				c.last = true
				c.Reject(503, counters.NoMemory, "no memory for it now")
			}
			return
		}
		c.busy, c.size, c.last = true, size, c.reader.Closes || c.server.draining || c.server.crowded()
		c.server.handler.Take(c)
	}
}

// RejectUnreadable rejects a request whose end is not known, and closes the connection with the answer.
func (c *Client) RejectUnreadable(err error) {
	c.last = true
	switch {
	case errors.Is(err, http1.ErrHead):
		c.Reject(431, counters.HeadTooLarge, "head too large")
	case errors.Is(err, http1.ErrBody):
		c.Reject(413, counters.TooLarge, "body too large")
	case errors.Is(err, http1.ErrFraming):
		c.Reject(400, counters.BadFraming, "doubtful framing")
	default:
		c.Reject(400, counters.BadRequest, "malformed request")
	}
}

// Reject answers with a status and a line of text, and counts why.
func (c *Client) Reject(status int, why counters.ID, line string) {
	c.server.engine.Count.Add(why)
	c.closeIfBodyUnread()
	if r, b := c.Request(); string(r.Method(b)) == "HEAD" {
		line = ""
	}
	c.finish(answer.BadRequest(c.server.scratch[:0], status, line, c.last))
}

// finish writes an answer and prepares for the next request.
func (c *Client) finish(b []byte) {
	c.server.scratch = b
	c.release()
	c.endStreaming()
	c.txn, c.busy, c.begun, c.continueSent, c.answering = 0, false, false, false, false
	if c.link.IsClosed() {
		c.server.engine.Count.Add(counters.Undeliverable)
		return
	}
	c.link.Input.Drop(min(c.size, c.link.Input.Len()))
	c.reader.Reset()
	c.size, c.since, c.sequence = 0, c.server.engine.Now(), c.sequence+1
	last, reading := c.last, c.reading
	c.reading = true // what has come after it is processed below: whether that ends the connection is not this answer's matter
	c.link.Send(b)
	c.reading = reading
	if last && !c.link.IsClosed() {
		c.link.CloseSent()
		c.drop()
		return
	}
	c.link.Resume()
	c.Data()
}
