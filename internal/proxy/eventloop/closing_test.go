package eventloop

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"clovergap/internal/proxy/counters"
)

// await waits until something holds in a turn.
func await(t *testing.T, e *Engine, what string, holds func() bool) {
	t.Helper()
	tick := time.NewTicker(time.Millisecond)
	defer tick.Stop()
	for end := time.Now().Add(time.Minute); ; <-tick.C {
		ok := false
		e.Turn(func() { ok = holds() })
		if ok {
			return
		}
		must.True(t, time.Now().Before(end), must.Sprint("never: ", what))
	}
}

// Guards against a process that ends while its last answers are not written (review/2): a connection that is closed once all is written counts
// until its peer has read on, has gone, or has been cut off.
func TestClosingLinksCountUntilWritten(t *testing.T) {
	const size = 8 << 20 // more than the socket's buffers hold
	for _, c := range []struct {
		name string
		ends func(peer net.Conn, link *Link, e *Engine)
		got  int // -1: any number
	}{
		{"the peer reads", nil, size},
		{"the peer resets", func(peer net.Conn, _ *Link, _ *Engine) { peer.(*net.TCPConn).SetLinger(0); peer.Close() }, -1},
		{"the link is cut off", func(_ net.Conn, link *Link, e *Engine) { e.Turn(link.Close) }, -1},
	} {
		e := New("127.0.0.1:0", 256, 2*size, 4*size)
		links := make(chan *Link, 1)
		e.OnAccept(func(l *Link) { newRecordingOwner(l); links <- l })
		must.NoError(t, e.Start())
		peer, err := net.Dial("tcp", e.Addr())
		must.NoError(t, err)
		link := <-links
		e.Turn(func() {
			must.Eq(t, 0, e.ClosingLinks())
			link.Send(make([]byte, size))
			link.CloseSent()
			link.CloseSent() // counts once
			must.Eq(t, 1, e.ClosingLinks(), must.Sprint(c.name))
		})
		if c.ends != nil {
			c.ends(peer, link, e)
		} else {
			read, err := io.Copy(io.Discard, peer)
			must.NoError(t, err)
			must.Eq(t, c.got, int(read), must.Sprint(c.name))
		}
		await(t, e, c.name, func() bool { return e.ClosingLinks() == 0 })
		peer.Close()
		e.Stop()
	}
}

// A connection whose last bytes the other side does not read is cut off in the end, is counted, and is reported with its address.
func TestUnreadLinkIsClosed(t *testing.T) {
	const size = 8 << 20 // more than the socket's buffers hold
	e := New("127.0.0.1:0", 256, 2*size, 4*size)
	links, reported := make(chan *Link, 1), ""
	e.OnAccept(func(l *Link) { newRecordingOwner(l); links <- l })
	e.OnUnread(func(peer net.Addr, unwritten int) {
		reported = peer.String()
		must.Between(t, 1, unwritten, size)
	})
	must.NoError(t, e.Start())
	defer e.Stop()
	peer, err := net.Dial("tcp", e.Addr())
	must.NoError(t, err)
	defer peer.Close()
	link := <-links
	e.Turn(func() {
		link.Send(make([]byte, size))
		link.CloseSent()
		link.Due(0) // the time is up
		link.Due(0)
		must.True(t, link.IsClosed())
		must.Eq(t, 0, e.ClosingLinks())
		must.Eq(t, 1, e.Count[counters.Unread])
		must.Eq(t, peer.LocalAddr().String(), reported)
	})
}
