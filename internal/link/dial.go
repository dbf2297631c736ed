package link

import (
	"context"
	"net"
	"time"

	"github.com/lesismal/nbio"

	"clovergap/internal/counters"
)

// dialer opens connections for the poller. The poller's own asynchronous dial can't be used: it takes the
// first four bytes of an address as Go keeps it, sixteen bytes, and so connects to 0.0.0.0.
var dialer = net.Dialer{KeepAlive: -1}

// Dial opens a connection and tells whether it came up; one that is closed meanwhile tells nothing.
func (e *Engine) Dial(addr string, limit time.Duration, dialed func(ok bool)) *Link {
	l := e.newLink()
	e.Count.Add(counters.Dials)
	e.open++
	ctx, cancel := context.WithTimeout(noContext, limit)
	l.cancel = cancel
	go func() {
		conn, err := dialer.DialContext(ctx, "tcp", addr)
		cancel()
		e.Turn(func() { e.dialEnded(l, conn, err, dialed) })
	}()
	return l
}

// dialEnded hands a connection that came up to the poller.
func (e *Engine) dialEnded(l *Link, conn net.Conn, err error, dialed func(ok bool)) {
	var c *nbio.Conn
	if e.stopped {
		l.closed = true
	}
	if err == nil && !l.closed {
		if c, err = nbio.NBConn(conn); err == nil {
			l.c = c
			c.SetSession(l)
			if _, err = e.poll.AddConn(c); err != nil {
				l.lost() // the poller tells of its end by itself
				return
			}
			dialed(true)
			return
		}
	}
	e.open--
	if conn != nil {
		conn.Close()
	}
	if !l.closed {
		l.closed = true
		e.Count.Add(counters.DialsFailed)
		dialed(false)
	}
}
