package upstream

import (
	"clovergap/control"
	"clovergap/internal/invariant"
	"clovergap/internal/proxy/eventloop"
	"clovergap/internal/proxy/slots"
)

// transmission is the one place where a request's bytes go to a socket, and the one that says whether it may have run. What has
// passed may have run, from before its first byte is handed over. Only the end of the connection that it passed on takes
// that back, and only if the socket never took what a backend begins with: its first byte, or, where backends wait for the
// whole, its last. So nobody asks while the poller may still write.
type transmission struct {
	conn          slots.Ref // that it passed on; 0: it has not
	link          *eventloop.Link
	writtenBefore int64 // bytes of the connection that were in the socket before
	sent          int   // handed over since
	complete      bool  // the last of them was
}

// disabledChecks takes defences out; only tests set it.
var disabledChecks struct{ passed, first, sameID, unread bool }

// send gives bytes of a submission to its connection: whole says that no more will follow. An attempt passes on one connection.
func (c *conn) send(s *submission, b []byte, whole bool) bool {
	f := &s.transmission
	first := f.conn == 0 && c.link.Unwritten() == 0
	may := s.conn == c && (first || f.conn == c.ref) && !f.complete
	invariant.That(may, "an attempt passes once, on the connection that carries it")
	if !may {
		return false
	}
	if first {
		f.conn, f.link, f.writtenBefore = c.ref, c.link, c.link.Written()
	}
	f.sent += len(b)
	f.complete = whole
	return c.link.Send(b)
}

// mayRun is asked once the connection is over.
func (s *submission) mayRun(wary bool) bool {
	f := &s.transmission
	if f.conn == 0 || disabledChecks.passed {
		return false
	}
	invariant.That(f.link.IsClosed(), "nobody asks what ran while the poller may write")
	written := f.link.Written() - f.writtenBefore
	return !f.link.IsClosed() || wary && !disabledChecks.first && written > 0 || f.complete && written >= int64(f.sent)
}

// giveUp ends a submission that no answer ends: its connection is closed before anything is said of it, and before anything
// else goes out for the txn.
func (d *Dispatch) giveUp(ref slots.Ref, s *submission, ran, unsent control.Ending) {
	d.disconnect(s)
	if s.mayRun(d.wary) {
		unsent = ran
	}
	d.end(ref, s, unsent)
}
