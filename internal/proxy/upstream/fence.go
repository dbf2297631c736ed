package upstream

import (
	"clovergap/control"
	"clovergap/internal/invariant"
	"clovergap/internal/proxy/eventloop"
	"clovergap/internal/proxy/slots"
)

// fence is the one place where a request's bytes go to a socket, and the one that says whether it may have run. What has
// passed may have run, from before its first byte is handed over. Only the end of the connection that it passed on takes
// that back, and only if the socket never took what a backend begins with: its first byte, or, where backends wait for the
// whole, its last. So nobody asks while the poller may still write.
type fence struct {
	conn  slots.Ref // that it passed on; 0: it has not
	link  *eventloop.Link
	from  int64 // bytes of the connection that were in the socket before
	given int   // handed over since
	whole bool  // the last of them was
}

// unfenced takes defences out; only tests set it.
var unfenced struct{ passed, first, sameID, unread bool }

// hand gives bytes of a submission to its connection: whole says that no more will follow. An attempt passes on one connection.
func (c *conn) hand(s *submission, b []byte, whole bool) bool {
	f := &s.fence
	first := f.conn == 0 && c.l.Unwritten() == 0
	may := s.conn == c && (first || f.conn == c.me) && !f.whole
	invariant.That(may, "an attempt passes once, on the connection that carries it")
	if !may {
		return false
	}
	if first {
		f.conn, f.link, f.from = c.me, c.l, c.l.Written()
	}
	f.given += len(b)
	f.whole = whole
	return c.l.Send(b)
}

// mayRun is asked once the connection is over.
func (s *submission) mayRun(wary bool) bool {
	f := &s.fence
	if f.conn == 0 || unfenced.passed {
		return false
	}
	invariant.That(f.link.IsClosed(), "nobody asks what ran while the poller may write")
	written := f.link.Written() - f.from
	return !f.link.IsClosed() || wary && !unfenced.first && written > 0 || f.whole && written >= int64(f.given)
}

// giveUp ends a submission that no answer ends: its connection is closed before anything is said of it, and before anything
// else goes out for the txn.
func (d *Dispatch) giveUp(ref slots.Ref, s *submission, ran, unsent control.Ending) {
	d.cut(s)
	if s.mayRun(d.wary) {
		unsent = ran
	}
	d.tell(ref, s, unsent)
}
