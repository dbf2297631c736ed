package eventloop

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"golang.org/x/sys/unix"
)

// Each address has those who take its connections, and is given up alone; what is dialed does not wait for
// ever.
func TestListeners(t *testing.T) {
	e := New("127.0.0.1:0", 256, 64<<10, 1<<20)
	came := make(chan int, 10)
	take := func(nr int) func(*Link) {
		return func(l *Link) {
			came <- nr
			l.CloseSoon()
		}
	}
	e.OnAccept(take(0))
	must.NoError(t, e.Listen("127.0.0.1:0", take(1)))
	must.NoError(t, e.Listen("127.0.0.2:0", take(2)))
	must.Error(t, e.Listen(e.AddrOf(1), take(3)))
	e.listeners, e.poll.Addrs = e.listeners[:3], e.poll.Addrs[:3]
	must.NoError(t, e.Start())
	defer e.Stop()
	for nr := range 3 {
		c, err := net.Dial("tcp", e.AddrOf(nr))
		must.NoError(t, err)
		defer c.Close()
		must.Eq(t, nr, <-came)
	}
	e.Turn(func() { e.StopListeningAt(1) })
	_, err := net.Dial("tcp", e.AddrOf(1))
	must.ErrorIs(t, err, syscall.ECONNREFUSED)
	e.SetUserTimeout(3 * time.Second)
	up := make(chan int)
	e.Turn(func() {
		var l *Link
		l = e.Dial(e.AddrOf(2), time.Second, func(bool) {
			ms, _ := unix.GetsockoptInt(l.conn.Hash(), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
			go func() { up <- ms }()
		})
	})
	must.Eq(t, 3000, <-up)
}

// What is given up must not arrive later: the other side of a connection that was reset gets an error, not an end.
func TestReset(t *testing.T) {
	e := New("127.0.0.1:0", 256, 64<<10, 1<<20)
	must.NoError(t, e.Start())
	defer e.Stop()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer ln.Close()
	for _, reset := range []bool{true, false} {
		e.Turn(func() {
			var l *Link
			l = e.Dial(ln.Addr().String(), time.Second, func(bool) {
				if l.Send([]byte("some")); reset {
					l.Reset()
				} else {
					l.Close()
				}
			})
		})
		c, err := ln.Accept()
		must.NoError(t, err)
		_, err = io.ReadAll(c)
		must.Eq(t, reset, errors.Is(err, syscall.ECONNRESET))
		must.NoError(t, c.Close())
	}
}
