// What goes out: each link that is wanted has a writer, which dials, writes, and dials again.

package transport

import (
	"bufio"
	"context"
	"encoding/gob"
	"net"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"

	"clovergap/internal/failpoint"
)

type link[F any] struct {
	to    string
	queue *queue[F]
	stop  context.CancelFunc
	abort func() // ends the dial, the pause or the connection that it has now
	up    bool
	conn  net.Conn // that it goes over while it is up, where frames may come on that as well
	over  int      // checks in a row that found this to have ended
}

// setConnection says what a link's abort is to end. conn is what it goes over; nil: it is not up.
func (w *Mesh[F]) setConnection(l *link[F], conn net.Conn, abort func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	l.up, l.abort, l.conn, l.over = conn != nil, abort, nil, 0
	if _, both := w.incoming[conn]; both {
		l.conn = conn
	}
}

// write dials, writes, and dials again, until the link is not wanted any more.
func (w *Mesh[F]) write(ctx context.Context, l *link[F]) {
	for wait := redialIn; ctx.Err() == nil; wait = min(2*wait, redialMost) {
		now, abort := context.WithCancel(ctx)
		c, ended, err := w.reach(now, l, abort)
		if err == nil {
			wait = redialIn
			l.queue.clear() // meant for a link that is no more
			w.setConnection(l, c, func() {
				abort()
				c.Close()
			})
			if b, _ := w.offerOf(l.to); b.conn != nil && b.conn != c { // it was offered meanwhile
				c.Close()
				abort()
				continue
			}
			w.turn(func() { w.host.Up(l.to) })
			w.pass(ctx, l, c, ended)
			w.setConnection(l, nil, abort)
			c.Close()
			w.turn(func() {
				if w.newest(l) { // else the one in its place may be up already
					w.host.Down(l.to)
				}
			})
		}
		select {
		case <-now.Done():
			wait = redialIn
		case <-time.After(wait):
		}
		abort()
	}
}

// dial dials; into a cut it hangs, as it would without an answer.
func dial(ctx context.Context, d *net.Dialer, to string) (net.Conn, error) {
	if failpoint.Cut(to) && !through(ctx, to, dialLimit) {
		return nil, errors.New("cut off")
	}
	return d.DialContext(ctx, "tcp", to)
}

// through waits while a test has this node cut off from another; false if that takes too long. What is sent into a cut goes
// out when it heals, as TCP's does, and a link over which nothing got through for writeLimit ends.
func through(ctx context.Context, to string, most time.Duration) bool {
	for end := time.Now().Add(most); failpoint.Cut(to); time.Sleep(cutLook) {
		if ctx.Err() != nil || time.Now().After(end) {
			return false
		}
	}
	return true
}

// newest tells whether no other link has been wanted since in the place of this one.
func (w *Mesh[F]) newest(l *link[F]) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.links[l.to]
	return now == nil || now == l
}

// nextOpening is the first value of the next stream that this node begins.
func (w *Mesh[F]) nextOpening() opening {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.nr++
	return opening{From: w.me, Life: w.life, Both: w.offer, Nr: w.nr}
}

// pass writes frames until the link fails, or ended tells that nothing more comes on its connection.
func (w *Mesh[F]) pass(ctx context.Context, l *link[F], c net.Conn, ended <-chan struct{}) {
	out := bufio.NewWriterSize(c, 4<<10)
	enc := gob.NewEncoder(out)
	if enc.Encode(w.nextOpening()) != nil || w.offer && out.Flush() != nil {
		return
	}
	for {
		select {
		case <-l.queue.ready:
			f := l.queue.take()
			if f == nil {
				continue
			}
			if failpoint.Cut(l.to) && !through(ctx, l.to, writeLimit) {
				return
			}
			c.SetWriteDeadline(time.Now().Add(writeLimit))
			if enc.Encode(f) != nil || l.queue.empty() && out.Flush() != nil {
				return
			}
		case <-ended:
			return
		case <-ctx.Done():
			if !failpoint.Cut(l.to) {
				out.Flush()
			}
			return
		}
	}
}

// setUserTimeout ends links to machines that say nothing: one without power or behind a cut never answers.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) {
		unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(writeLimit/time.Millisecond))
	})
}
