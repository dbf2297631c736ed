package downstream

import (
	"time"

	"clovergap/internal/proxy/counters"
	"clovergap/internal/proxy/eventloop"
	"clovergap/internal/proxy/http1"
	"clovergap/internal/proxy/slots"
)

// Handler processes requests. All its methods are called in a turn.
type Handler interface {
	// Take processes a complete request, or the head of a streamed one. It answers at once by Client.Reject or Client.Answer, or calls
	// Client.AwaitAnswer and answers later. What Client.Request returns is valid until the answer.
	Take(c *Client)
	// Left reports that the client that waited for a txn has gone away.
	Left(txn slots.Ref)
}

// Streamer is a handler that takes requests whose bodies are streamed (Client.Flows), and may stream answers.
type Streamer interface {
	Handler
	// More reports that more of the body has come, or that more of the answer can be written.
	More(c *Client)
}

// Server accepts clients' connections, and finds the client that waits for an answer. It is used in turns alone.
type Server struct {
	engine         *eventloop.Engine
	handler        Handler
	streams        Streamer // handler, if it streams
	clients        *slots.Table[Client]
	claimedIDs     map[string]slots.Ref // ids that are claimed, and by which client
	bounds         Bounds
	maxClients     int // clients at a time
	freeDescriptor func() bool
	draining       bool
	scratch        []byte
	sweepAt        time.Duration // when the next sweep is due
}

// New makes a server for at most so many clients. freeDescriptor closes a connection that another stage does not
// need; it returns false if there is none.
func New(e *eventloop.Engine, most int, b Bounds, makeRoom func() bool) *Server {
	in := &Server{engine: e, clients: slots.New[Client](most), claimedIDs: map[string]slots.Ref{}, bounds: b.withDefaults(), maxClients: most,
		freeDescriptor: makeRoom}
	in.sweepAt = e.Now() + sweepInterval
	e.At(in.sweepAt, in, 0)
	return in
}

// SetHandler sets what processes requests; it precedes the first connection.
func (s *Server) SetHandler(f Handler) {
	s.handler = f
	s.streams, _ = f.(Streamer)
}

// SetBounds changes the bounds. Sizes hold for requests and connections that begin from now on, time-outs at once.
func (s *Server) SetBounds(b Bounds) { s.bounds = b.withDefaults() }

// Accept takes a new connection. If as many as allowed are open, an idle one is closed for it, or else it is refused.
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

// crowded tells that over half of the allowed connections are open. Answers then close theirs, since clients that send one
// request and stay would else use up the connections of all others.
func (s *Server) crowded() bool { return 2*s.clients.Len() > s.maxClients }

// Evict closes the connection whose client loses least: one that sent no complete request within firstBytesTimeout, or else the one that has been idle
// longest. A connection that has a request, or may have one unread, stays open.
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

// Drain closes connections between requests from now on; requests in flight are answered.
func (s *Server) Drain() {
	s.draining = true
	s.clients.Each(func(_ slots.Ref, c *Client) {
		if c.idle() && c.link.Clean() {
			c.close()
		}
	})
}

// Clients counts connections, those included that are closed as soon as their last answer is written. A process that ends before would cut
// off these answers.
func (s *Server) Clients() int { return s.clients.Len() + s.engine.ClosingLinks() }

// InFlight counts connections that have a request in flight, or an answer that is not written.
func (s *Server) InFlight() (n int) {
	s.clients.Each(func(_ slots.Ref, c *Client) {
		if c.busy || c.link.Unwritten() > 0 {
			n++
		}
	})
	return n
}

// Count increments a counter, for a handler.
func (s *Server) Count(id counters.ID) { s.engine.Count.Add(id) }

// Answer answers the request of a ticket, as Client.Answer does. It returns false if its client does not wait any more:
// nobody else ever gets the answer.
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

// ClientToAnswer finds the client that waits for a txn, to answer it now. If it has gone the result is nil, and the answer
// counts as undeliverable.
func (s *Server) ClientToAnswer(who, txn slots.Ref) *Client {
	c := s.ClientOf(who, txn)
	if c == nil {
		s.engine.Count.Add(counters.Undeliverable)
		return nil
	}
	c.last = c.last || s.draining || s.crowded()
	return c
}

// ClientOf finds the client that waits for a txn, before its answer; nil if it has gone.
func (s *Server) ClientOf(who, txn slots.Ref) *Client {
	if c := s.clients.Get(who); c != nil && c.txn == txn && txn != 0 {
		return c
	}
	return nil
}

// ID is the ID that the client gave to a txn; empty once the client has gone.
func (s *Server) ID(who, txn slots.Ref) string {
	if c := s.ClientOf(who, txn); c != nil {
		return c.id
	}
	return ""
}

// ignoreUnread has Due close connections although input of their clients lies unread; only a test sets it.
var ignoreUnread bool

// Live and Due implement eventloop.Alarm: all clients are compared with their bounds.
func (s *Server) Live(uint32) bool { return true }

// Due closes connections whose time-outs have passed. The time by which a sweep is late does not count: this process did not run, or was
// slow. A client whose input lies unread is not silent, however long the input has waited.
func (s *Server) Due(uint32) {
	now := s.engine.Now()
	late := max(now-s.sweepAt, 0)
	s.sweepAt = now + sweepInterval
	s.engine.At(s.sweepAt, s, 0)
	s.clients.Each(func(_ slots.Ref, c *Client) {
		c.since = min(c.since+late, now)
		if c.busy || now-c.since < s.timeoutOf(c) || !c.mayClose() {
			return
		}
		if c.idle() {
			s.engine.Count.Add(counters.ClientsIdle)
		} else {
			s.engine.Count.Add(counters.ClientsStuck)
		}
		c.closeUnread()
	})
}

// timeoutOf returns the time-out that holds for a client that has no request in flight.
func (s *Server) timeoutOf(c *Client) time.Duration {
	switch {
	case c.link.Unwritten() > 0:
		return s.bounds.AnswerTimeout
	case !c.begun && c.sequence > 0:
		return s.bounds.IdleTimeout
	case !c.headed():
		return s.bounds.HeadTimeout
	}
	return s.bounds.MessageTimeout
}
