package eventloop

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"github.com/lesismal/nbio"
	"golang.org/x/sys/unix"

	"clovergap/internal/proxy/counters"
)

// dialer opens connections for the poller. nbio's own asynchronous dial can't be used: it takes the first four of the
// sixteen bytes that Go has for an IPv4 address, and so connects to 0.0.0.0.
var dialer = net.Dialer{KeepAlive: -1}

// SetUserTimeout sets how long bytes sent on a dialed connection may stay unacknowledged before the connection counts as
// broken (TCP_USER_TIMEOUT): a machine without power, or behind a partition, acknowledges nothing. 0: the system's default.
func (e *Engine) SetUserTimeout(most time.Duration) { e.userTimeout = most }

// controlUserTimeout sets TCP_USER_TIMEOUT on a socket before it connects.
func controlUserTimeout(most time.Duration) func(string, string, syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error {
		var failed error
		err := c.Control(func(fd uintptr) {
			failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(most/time.Millisecond))
		})
		return errors.Join(err, failed)
	}
}

// Dial opens a connection, and calls dialed in a turn with whether it came up; not if it is closed before.
func (e *Engine) Dial(addr string, limit time.Duration, dialed func(ok bool)) *Link {
	l := e.newLink()
	e.Count.Add(counters.Dials)
	e.open++
	ctx, cancel := context.WithTimeout(noContext, limit)
	l.cancel = cancel
	d := dialer
	if e.userTimeout > 0 {
		d.Control = controlUserTimeout(e.userTimeout)
	}
	go func() {
		conn, err := d.DialContext(ctx, "tcp", addr)
		cancel()
		e.dialEnded(l, conn, err, dialed)
	}()
	return l
}

// dialEnded takes the result of a dial, in the dial's goroutine.
func (e *Engine) dialEnded(l *Link, conn net.Conn, err error, dialed func(ok bool)) {
	var c *nbio.Conn
	if err == nil {
		c, err = e.descriptors.adopt(conn)
	}
	e.Turn(func() { e.dialed(l, c, err, dialed) })
}

// dialed gives a connection that came up to the poller.
func (e *Engine) dialed(l *Link, c *nbio.Conn, err error, dialed func(ok bool)) {
	if e.stopped {
		l.closed = true
	}
	if err == nil && !l.closed {
		l.conn, l.seen = c, e.descriptors.releases.Load()
		c.SetSession(l)
		l.watchInput()
		if _, err = e.poll.AddConn(c); err != nil {
			l.closeBroken() // the poller reports its end
			return
		}
		dialed(true)
		return
	}
	e.open--
	if c != nil {
		c.Close()
		e.descriptors.release(c.Hash(), true) // no batch has events of it
	}
	if !l.closed {
		l.closed = true
		e.Count.Add(counters.DialsFailed)
		dialed(false)
	}
}
