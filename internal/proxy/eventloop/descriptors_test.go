package eventloop

import (
	"errors"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/lesismal/nbio"
	"github.com/shoenig/test/must"
)

// recordingOwner is an owner that keeps what came.
type recordingOwner struct {
	l      *Link
	came   chan string
	closed bool
}

func (r *recordingOwner) Data() {
	r.came <- string(r.l.Input.Linear())
	r.l.Input.Drop(r.l.Input.Len())
}
func (r *recordingOwner) Sent()   {}
func (r *recordingOwner) Closed() { r.closed = true }

func newRecordingOwner(l *Link) *recordingOwner {
	s := &recordingOwner{l: l, came: make(chan string, 10)}
	l.SetOwner(s)
	return s
}

// occupyDescriptorsBelow takes all free descriptors below one.
func occupyDescriptorsBelow(t *testing.T, fd int) {
	for {
		p, err := syscall.Dup(0)
		must.NoError(t, err)
		if p > fd {
			syscall.Close(p)
			return
		}
		t.Cleanup(func() { syscall.Close(p) })
	}
}

// A batch of the poller holds the end of a connection that is closed before its turn comes, and whose descriptor is opened
// again by then: the new connection was read from, and closed with its request under way.
func TestEventOfFormerLife(t *testing.T) {
	for _, fault := range []bool{false, true} {
		reuseAtOnce = fault
		e := New("127.0.0.1:0", 256, 64<<10, 1<<20)
		links := make(chan *Link, 3)
		e.OnAccept(func(l *Link) { newRecordingOwner(l); links <- l })
		var hook atomic.Value
		hook.Store(e.readable)
		e.poll.OnRead(func(c *nbio.Conn) { hook.Load().(func(*nbio.Conn))(c) })
		must.NoError(t, e.Start())
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		must.NoError(t, err)
		dialed, err := net.Dial("tcp", ln.Addr().String())
		must.NoError(t, err)
		peer, err := ln.Accept()
		must.NoError(t, err)
		var clients [3]net.Conn
		var l [3]*Link
		for i := range clients {
			clients[i], err = net.Dial("tcp", e.Addr())
			must.NoError(t, err)
			l[i] = <-links
		}
		// the three are among those that are watched once the next one is asked for
		fourth, err := net.Dial("tcp", e.Addr())
		must.NoError(t, err)
		<-links

		step, barrier, late := 0, make(chan bool, 1), make(chan *recordingOwner, 2)
		hook.Store(func(c *nbio.Conn) {
			switch {
			case c == l[0].conn && step == 0:
				step = 1
				clients[1].Write([]byte("x")) // both in the next batch, in this order
				clients[2].Close()
			case c == l[0].conn:
				barrier <- true
			case c == l[1].conn && step == 1:
				step = 2
				occupyDescriptorsBelow(t, l[2].conn.Hash())
				e.Turn(func() { l[2].Close() })
				peer.Write([]byte("hello"))
				n := e.newLink()
				e.Turn(func() { e.open++ })
				e.dialEnded(n, dialed, nil, func(bool) {
					s := newRecordingOwner(n)
					late <- s
					late <- s
				})
				must.Eq(t, fault, n.conn.Hash() == l[2].conn.Hash())
			}
			e.readable(c)
		})
		next := func() { // one event, in a batch of its own
			clients[0].Write([]byte("x"))
			must.Eq(t, "x", <-l[0].owner.(*recordingOwner).came)
		}
		next()
		must.Eq(t, "hello", <-(<-late).came)
		next()
		<-barrier
		e.Turn(func() { must.Eq(t, !fault, (<-late).l.alive()) })
		for _, c := range []io.Closer{clients[0], clients[1], fourth, peer, ln} {
			c.Close()
		}
		e.Stop()
	}
	reuseAtOnce = false
}

// What the poller has closed and not told of yet has no descriptor any more: it may be another connection's, which must
// not be ended, nor read from, nor reset, in its place.
func TestDescriptorOfFormerLife(t *testing.T) {
	e := New("127.0.0.1:0", 256, 64<<10, 1<<20)
	links := make(chan *Link, 1)
	e.OnAccept(func(l *Link) { newRecordingOwner(l); links <- l })
	must.NoError(t, e.Start())
	defer e.Stop()
	defer func() { skipAliveCheck = false }()
	acts := []struct {
		act  func(l *Link)
		hurt func(l *Link, pair [2]int) bool
	}{
		{(*Link).CloseSent, func(_ *Link, pair [2]int) bool {
			n, _, err := syscall.Recvfrom(pair[1], make([]byte, 1), syscall.MSG_DONTWAIT)
			return n == 0 && err == nil
		}},
		{(*Link).Reset, func(_ *Link, pair [2]int) bool {
			on, err := syscall.GetsockoptInt(pair[0], syscall.SOL_SOCKET, syscall.SO_LINGER)
			must.NoError(t, err)
			return on != 0
		}},
		{func(l *Link) { l.ReadToEnd(true); l.read() }, func(_ *Link, pair [2]int) bool {
			n, _, err := syscall.Recvfrom(pair[0], make([]byte, 9), syscall.MSG_DONTWAIT)
			return n != 9 || err != nil
		}},
	}
	for _, fault := range []bool{false, true} {
		for nr, a := range acts {
			for _, polled := range []bool{false, true} {
				skipAliveCheck = fault
				c, err := net.Dial("tcp", e.Addr())
				must.NoError(t, err)
				l := <-links
				pair, err := syscall.Socketpair(syscall.AF_UNIX, syscall.SOCK_STREAM, 0)
				must.NoError(t, err)
				syscall.Write(pair[1], []byte("another's"))
				e.Turn(func() {
					e.polled = polled
					l.conn.Close() // as the poller does; its word waits for its turn
					must.NoError(t, syscall.Dup3(pair[0], l.conn.Hash(), 0))
					a.act(l)
					must.Eq(t, fault, a.hurt(l, pair), must.Sprint(nr, polled))
					l.Close()
					syscall.Close(l.conn.Hash())
				})
				for _, fd := range pair {
					syscall.Close(fd)
				}
				c.Close()
			}
		}
	}
}

// A connection that is closed before the poller has it among those that it watches ends all the same, and leaves
// nothing of it there.
func TestClosedBeforeWatched(t *testing.T) {
	e := New("127.0.0.1:0", 256, 64<<10, 1<<20)
	links := make(chan *Link, 1)
	e.OnAccept(func(l *Link) { l.Close(); links <- l })
	must.NoError(t, e.Start())
	defer e.Stop()
	var last *Link
	for range 20 {
		c, err := net.Dial("tcp", e.Addr())
		must.NoError(t, err)
		l := <-links
		must.NoError(t, c.SetReadDeadline(time.Now().Add(10*time.Second)))
		_, err = c.Read(make([]byte, 1))
		must.True(t, errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET))
		c.Close()
		if last != nil {
			must.False(t, last.alive())
		}
		last = l
	}
}
