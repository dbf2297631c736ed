// Package downstream takes callers' connections, reads their messages and writes the answers. What a message
// means is its Form's affair: clients' txns, calls of control.
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

// Handler is what messages mean. All its methods are called in a turn.
type Handler interface {
	// Take takes a whole message. It is answered by Reject or Answer at once, or held for an answer that comes
	// later. What c.Request gives is there until the answer.
	Take(c *Client)
	// Left: the client that waited for a txn that is held has gone away.
	Left(txn slots.Ref)
}

// Streamer is a form that takes messages of which only the head and a part of the body are there
// (Client.Flows), and may answer in parts.
type Streamer interface {
	Handler
	// More: more of the body has come, or more of the answer may go.
	More(c *Client)
}

// Bounds are what a client may send and how long it may take. Nought stands for the usual one.
type Bounds struct {
	Head, Body     int           // bytes of a message's head and body
	Buffer         int           // of a body, beyond which it is taken in parts; 0: none is
	Raw            int           // bytes that may wait on a connection; least what a head and a body take
	HeadTimeout    time.Duration // for a head, from its first byte, or from the connection's start
	MessageTimeout time.Duration // for a message, likewise
	AnswerTimeout  time.Duration // for reading an answer
	IdleTimeout    time.Duration // between messages
}

// Bounds on clients that do nothing. They meet whatever keeps a descriptor and memory for nothing: silent ones, heads
// and bodies that do not end, answers that are not read, clients that asked once and stay. A usual client that is
// slower than these loses nothing but its connection.
const (
	sweepInterval     = 250 * time.Millisecond
	firstBytesTimeout = 100 * time.Millisecond // a client that connects has something to say by then
	messageTimeout    = 2 * time.Second        // a message, from its first byte, or from the connection's start
	answerTimeout     = 5 * time.Second        // an answer
	idleTimeout       = 5 * time.Second        // between messages
)

// rawShare of a body's bound is what the marks of its chunks may take besides.
const rawShare = 4

func (b Bounds) withDefaults() Bounds {
	or := func(x *time.Duration, usual time.Duration) {
		if *x <= 0 {
			*x = usual
		}
	}
	or(&b.MessageTimeout, messageTimeout)
	or(&b.HeadTimeout, b.MessageTimeout)
	or(&b.AnswerTimeout, answerTimeout)
	or(&b.IdleTimeout, idleTimeout)
	if b.Head <= 0 {
		b.Head = http1.MaxHead
	}
	if b.Body <= 0 {
		b.Body = http1.MaxBody
	}
	held := b.Body
	if b.Buffer > 0 {
		held = min(held, b.Buffer)
	}
	if least := b.Head + held + held/rawShare; b.Raw < least {
		b.Raw = least
	}
	return b
}

// streamRing is what waits of a body that is taken in parts, and of an answer that is given so.
const streamRing = 64 << 10

// Server is one side of a node that is called: its connections.
type Server struct {
	engine         *eventloop.Engine
	handler        Handler
	streams        Streamer // the form, if it is one
	clients        *slots.Table[Client]
	claimedIDs     map[string]slots.Ref // ids that are claimed, and by which client
	bounds         Bounds
	maxClients     int // clients at a time
	freeDescriptor func() bool
	draining       bool
	scratch        []byte
}

// New makes one that holds at most so many clients. freeDescriptor gives back a descriptor that another stage does
// not need.
func New(e *eventloop.Engine, most int, b Bounds, makeRoom func() bool) *Server {
	in := &Server{engine: e, clients: slots.New[Client](most), claimedIDs: map[string]slots.Ref{}, bounds: b.withDefaults(), maxClients: most,
		freeDescriptor: makeRoom}
	e.At(e.Now()+sweepInterval, in, 0)
	return in
}

// SetHandler says what the messages mean; it comes before the first connection.
func (s *Server) SetHandler(f Handler) {
	s.handler = f
	s.streams, _ = f.(Streamer)
}

// SetBounds changes the bounds, for messages and connections that begin from now on, and waits that are under
// way.
func (s *Server) SetBounds(b Bounds) { s.bounds = b.withDefaults() }

// Accept takes a new connection. When as many as may be are open, one that does nothing goes.
func (s *Server) Accept(l *eventloop.Link) {
	s.engine.Count.Add(counters.ClientsOpened)
	if s.clients.Len() >= s.maxClients && !s.Evict() || s.engine.FreeConnections() < 0 && !s.Evict() && !s.freeDescriptor() {
		l.CloseSoon()
		s.engine.Count.Add(counters.ClientsRefused)
		return
	}
	ref, c, ok := s.clients.Add()
	if !ok {
		l.CloseSoon()
		s.engine.Count.Add(counters.ClientsRefused)
		return
	}
	*c = Client{server: s, link: l, ref: ref, reader: http1.Requests(), since: s.engine.Now()}
	c.reader.Bound(s.bounds.Head, s.bounds.Body)
	l.Bound(s.bounds.Raw)
	l.SetOwner(c)
}

// crowded: more connections are open than idle ones are worth. Answers then end theirs: clients that ask once and stay
// would else fill the process, and what the usual ones may hold, until they are let go.
func (s *Server) crowded() bool { return 2*s.clients.Len() > s.maxClients }

// Evict closes the connection that is worth least: one that never brought a whole message and had a moment for it,
// before the one idle longest. One that has a txn, or may have one unread, stays.
func (s *Server) Evict() bool {
	var least *Client
	strange := func(c *Client) bool { return c.sequence == 0 && s.engine.Now()-c.since > firstBytesTimeout }
	s.clients.Each(func(_ slots.Ref, c *Client) {
		if c.busy || !strange(c) && !c.idle() {
			return
		}
		if least != nil && (strange(least) && !strange(c) || strange(least) == strange(c) && least.since <= c.since) {
			return
		}
		if c.link.Input.Len() > 0 || c.link.Clean() {
			least = c
		}
	})
	if least == nil {
		return false
	}
	s.engine.Count.Add(counters.ClientsEvicted)
	least.close()
	return true
}

// Drain closes connections between txns from now on; what has been taken is answered.
func (s *Server) Drain() {
	s.draining = true
	s.clients.Each(func(_ slots.Ref, c *Client) {
		if c.idle() && c.link.Clean() {
			c.close()
		}
	})
}

// Clients counts connections.
func (s *Server) Clients() int { return s.clients.Len() }

// Client is one connection of a client; it has one message at a time.
type Client struct {
	UserData     any // the form's own, for as long as the connection lasts
	server       *Server
	ref          slots.Ref
	link         *eventloop.Link
	reader       http1.Reader
	txn          slots.Ref // 0: none is held
	busy         bool
	size         int // bytes of the present message
	last         bool
	since        time.Duration // connected, or the last answer, or the first bytes of a message
	sequence     uint32        // of the message
	begun        bool          // some of the present message has come
	reading      bool
	id           string // of the message that is held
	claimed      bool   // the id is its own
	streaming    bool   // the body is taken in parts
	head         []byte // then: a copy of the message's head
	continueSent bool   // to go on with the body
	// some of the answer has gone, the rest comes in parts
	answering bool
}

// Request is the present message: its reader, and the bytes that this was shown. Where the body is taken in
// parts, the head alone is there.
func (c *Client) Request() (*http1.Reader, []byte) {
	if c.streaming {
		return &c.reader, c.head
	}
	return &c.reader, c.link.Input.Linear()
}

// Rest is what has come behind the present message already.
func (c *Client) Rest() []byte {
	if c.streaming {
		return nil
	}
	return c.link.Input.Linear()[c.size:]
}

// Count counts one, for a form.
func (s *Server) Count(id counters.ID) { s.engine.Count.Add(id) }

// Claim takes an id for as long as the message is held; it fails if another client has it.
func (c *Client) Claim(id string) bool {
	if _, held := c.server.claimedIDs[id]; held {
		return false
	}
	c.id, c.claimed = id, true
	c.server.claimedIDs[id] = c.ref
	return true
}

// AwaitAnswer keeps the message for an answer that comes later. txn is what the form is told of when the client
// leaves (0: nothing), id what the message is called.
func (c *Client) AwaitAnswer(txn slots.Ref, id string) {
	c.txn = txn
	if !c.claimed {
		c.id = id
	}
}

// Who is the connection's number, which a form may hand on.
func (c *Client) Who() slots.Ref { return c.ref }

// Closes makes the present message the connection's last.
func (c *Client) Closes() { c.last = true }

// Answer writes the answer to the present message; write adds it to the bytes it is given, and tells its
// reader if this is the connection's last.
func (c *Client) Answer(write func(b []byte, last bool) []byte) {
	c.closeIfBodyUnread()
	c.finish(write(c.server.scratch[:0], c.last))
}

// Ticket names a message that waits for its answer.
type Ticket struct {
	who      slots.Ref
	sequence uint32
}

// Ticket names the present message.
func (c *Client) Ticket() Ticket { return Ticket{c.ref, c.sequence} }

// Answer answers a message that was held, as the Client's Answer does. It tells whether its client still
// waits: nobody else ever gets it.
func (s *Server) Answer(t Ticket, write func(b []byte, last bool) []byte) bool {
	c := s.clients.Get(t.who)
	if c == nil || !c.busy || c.sequence != t.sequence {
		s.engine.Count.Add(counters.Undeliverable)
		return false
	}
	c.last = c.last || s.draining || s.crowded()
	c.Answer(write)
	return true
}

// ClientToAnswer finds the client that waits for a txn, nil if it has gone.
func (s *Server) ClientToAnswer(who, txn slots.Ref) *Client {
	c := s.clientOf(who, txn)
	if c == nil {
		s.engine.Count.Add(counters.Undeliverable)
		return nil
	}
	c.last = c.last || s.draining || s.crowded()
	return c
}

// clientOf finds it without a word on its answer.
func (s *Server) clientOf(who, txn slots.Ref) *Client {
	if c := s.clients.Get(who); c != nil && c.txn == txn && txn != 0 {
		return c
	}
	return nil
}

// ClientOf finds the client that waits for a txn, where no answer is due yet.
func (s *Server) ClientOf(who, txn slots.Ref) *Client { return s.clientOf(who, txn) }

// ID names a txn by its client's id, while the client waits.
func (s *Server) ID(who, txn slots.Ref) string {
	if c := s.clientOf(who, txn); c != nil {
		return c.id
	}
	return ""
}

// IsClosed tells that its connection is over, or about to be.
func (c *Client) IsClosed() bool { return c.link.IsClosed() }

// ignoreStall takes a defence out; only a test sets it.
var ignoreStall bool

// Live and Due are the engine's: it is time to look at all clients.
func (s *Server) Live(uint32) bool { return true }

// Due closes connections that have had their time. What this node stood still is not theirs: what came meanwhile lies
// unread, and is read before anybody is looked at again.
func (s *Server) Due(uint32) {
	s.engine.At(s.engine.Now()+sweepInterval, s, 0)
	if stood := s.engine.InputDelay(); stood > 0 && !ignoreStall {
		s.clients.Each(func(_ slots.Ref, c *Client) { c.since = min(c.since+stood, s.engine.Now()) })
		return
	}
	s.clients.Each(func(_ slots.Ref, c *Client) {
		most := s.bounds.MessageTimeout
		switch {
		case c.busy:
			return
		case c.link.Unwritten() > 0:
			most = s.bounds.AnswerTimeout
		case !c.begun && c.sequence > 0:
			most = s.bounds.IdleTimeout
		case !c.headed():
			most = s.bounds.HeadTimeout
		}
		if s.engine.Now()-c.since < most || !c.begun && c.link.Unwritten() == 0 && !c.link.Clean() {
			return
		}
		if c.idle() {
			s.engine.Count.Add(counters.ClientsIdle)
		} else {
			s.engine.Count.Add(counters.ClientsStuck)
		}
		c.close()
	})
}

// idle: between txns, with nothing of the next read yet. Where the connection is to be closed, Clean asks the
// socket as well: a txn that waits there unread would be lost with it.
func (c *Client) idle() bool { return !c.busy && c.link.Input.Len() == 0 && c.link.Unwritten() == 0 }

func (c *Client) close() {
	c.link.Close()
	c.drop()
}

func (c *Client) drop() {
	c.release()
	c.head, c.UserData = nil, nil
	if c.server.clients.Get(c.ref) == c {
		c.server.engine.Count.Add(counters.ClientsClosed)
		c.server.clients.Drop(c.ref)
	}
}

// headed tells whether the head of the present message is whole.
func (c *Client) headed() bool {
	_, whole := c.reader.Headed()
	return whole
}

// release gives a message's id free.
func (c *Client) release() {
	if c.claimed {
		delete(c.server.claimedIDs, c.id)
	}
	c.id, c.claimed = "", false
}

// Closed is called when the client has gone away.
func (c *Client) Closed() {
	txn := c.txn
	c.txn = 0
	c.drop()
	if txn != 0 {
		c.server.handler.Left(txn)
	}
}

// Sent is called when an answer is written, or what there is of it.
func (c *Client) Sent() {
	c.Data() // what has waited behind an answer
}

// Data reads on while no txn is held: a client has one at a time, in order.
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
		size, whole, err := c.reader.Read(c.link.Input.Linear())
		if err != nil {
			c.RejectUnreadable(err)
			return
		}
		if !whole && c.beginStreaming() {
			return
		}
		if !whole {
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

// RejectUnreadable rejects a message whose end can't be told, and with it all that follows.
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

// Reject answers what goes no further, and counts why.
func (c *Client) Reject(status int, why counters.ID, line string) {
	c.server.engine.Count.Add(why)
	c.closeIfBodyUnread()
	if r, b := c.Request(); string(r.Method(b)) == "HEAD" {
		line = ""
	}
	c.finish(answer.BadRequest(c.server.scratch[:0], status, line, c.last))
}

// finish writes an answer and makes ready for the next message.
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
	c.reading = true // what waits behind it is taken below: its own last word is not this one's
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
