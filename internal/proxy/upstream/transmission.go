package upstream

import (
	"clovergap/control"
	"clovergap/internal/invariant"
	"clovergap/internal/proxy/eventloop"
	"clovergap/internal/proxy/slots"
)

// transmission records what of an attempt was handed to a socket. It is the point of no return: conn.send is the only place that hands
// over a request's bytes, and submission.mayRun the only one that tells whether the request may have had effect. From before its first
// byte is handed over, it may have. Only after the connection is closed can that be excluded, and only if the socket never took what
// a backend starts at: the first byte (Dialect.Wary), or else the last. So mayRun must not be called while the poller may write.
type transmission struct {
	conn          slots.Ref // the connection that it went over; 0: nothing was handed over
	link          *eventloop.Link
	writtenBefore int64 // bytes of the connection that the socket had taken before
	sent          int   // bytes handed over since
	complete      bool  // the last byte was handed over
}

// disabledChecks disables protections; only tests set it.
var disabledChecks struct {
	passed bool // nothing counts as handed over
	first  bool // the first byte doesn't count for a wary dialect
	sameID bool // a request may follow one with the same ID on a connection
	unread bool // unread input doesn't prolong an answer's deadline
}

// send hands bytes of an attempt to its connection; complete: no more will follow. An attempt goes over one connection.
func (c *conn) send(s *submission, b []byte, complete bool) bool {
	f := &s.transmission
	first := f.conn == 0 && c.link.Unwritten() == 0
	may := s.conn == c && (first || f.conn == c.ref) && !f.complete
	invariant.Assert(may, "an attempt passes once, on the connection that carries it")
	if !may {
		return false
	}
	if first {
		f.conn, f.link, f.writtenBefore = c.ref, c.link, c.link.Written()
	}
	f.sent += len(b)
	f.complete = complete
	return c.link.Send(b)
}

// mayRun tells whether the request may have had effect. Its connection must be closed.
func (s *submission) mayRun(wary bool) bool {
	f := &s.transmission
	if f.conn == 0 || disabledChecks.passed {
		return false
	}
	invariant.Assert(f.link.IsClosed(), "nobody asks what ran while the poller may write")
	written := f.link.Written() - f.writtenBefore
	return !f.link.IsClosed() || wary && !disabledChecks.first && written > 0 || f.complete && written >= int64(f.sent)
}

// giveUp ends an attempt without an answer: as ran if it may have had effect, else as unsent. The connection is closed before the outcome
// is reported, and so before another attempt of the txn. It does nothing if the attempt has ended.
func (d *Dispatch) giveUp(ref slots.Ref, ran, unsent control.Ending) {
	s := d.submissions.Get(ref)
	if s == nil {
		return
	}
	d.disconnect(s)
	if s.mayRun(d.wary) {
		unsent = ran
	}
	d.end(ref, unsent)
}
