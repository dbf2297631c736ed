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
	target      string
	queue       *queue[F]
	stop        context.CancelFunc
	abort       func() // ends the dial, the pause or the connection that it has now
	connected   bool
	conn        net.Conn // that it goes over while it is up, where frames may come on that as well
	endedChecks int      // checks in a row that found this to have ended
}

// setConnection says what a link's abort is to end. conn is what it goes over; nil: it is not up.
func (m *Mesh[F]) setConnection(l *link[F], conn net.Conn, abort func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	l.connected, l.abort, l.conn, l.endedChecks = conn != nil, abort, nil, 0
	if _, both := m.incoming[conn]; both {
		l.conn = conn
	}
}

// runWriter dials, writes, and dials again, until the link is not wanted any more.
func (m *Mesh[F]) runWriter(ctx context.Context, l *link[F]) {
	for wait := minRedialBackoff; ctx.Err() == nil; wait = min(2*wait, maxRedialBackoff) {
		now, abort := context.WithCancel(ctx)
		c, ended, err := m.connect(now, l, abort)
		if err == nil {
			wait = minRedialBackoff
			l.queue.clear() // meant for a link that is no more
			m.setConnection(l, c, func() {
				abort()
				c.Close()
			})
			if b, _ := m.offerOf(l.target); b.conn != nil && b.conn != c { // it was offered meanwhile
				c.Close()
				abort()
				continue
			}
			m.turn(func() { m.host.LinkUp(l.target) })
			m.writeFrames(ctx, l, c, ended)
			m.setConnection(l, nil, abort)
			c.Close()
			m.turn(func() {
				if m.isCurrentLink(l) { // else the one in its place may be up already
					m.host.LinkDown(l.target)
				}
			})
		}
		select {
		case <-now.Done():
			wait = minRedialBackoff
		case <-time.After(wait):
		}
		abort()
	}
}

// dial dials; into a cut it hangs, as it would without an answer.
func dial(ctx context.Context, d *net.Dialer, to string) (net.Conn, error) {
	if failpoint.Cut(to) && !awaitHeal(ctx, to, dialTimeout) {
		return nil, errors.New("cut off")
	}
	return d.DialContext(ctx, "tcp", to)
}

// awaitHeal waits while a test has this node cut off from another; false if that takes too long. What is sent into a cut goes
// out when it heals, as TCP's does, and a link over which nothing got through for writeTimeout ends.
func awaitHeal(ctx context.Context, to string, most time.Duration) bool {
	for end := time.Now().Add(most); failpoint.Cut(to); time.Sleep(partitionPollInterval) {
		if ctx.Err() != nil || time.Now().After(end) {
			return false
		}
	}
	return true
}

// isCurrentLink tells whether no other link has been wanted since in the place of this one.
func (m *Mesh[F]) isCurrentLink(l *link[F]) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.links[l.target]
	return now == nil || now == l
}

// nextHandshake is the first value of the next stream that this node begins.
func (m *Mesh[F]) nextHandshake() handshake {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.streamSeq++
	return handshake{from: m.addr, incarnation: m.incarnation, offersLink: m.offersLinks, streamSeq: m.streamSeq}
}

// writeFrames writes frames until the link fails, or ended tells that nothing more comes on its connection.
func (m *Mesh[F]) writeFrames(ctx context.Context, l *link[F], c net.Conn, ended <-chan struct{}) {
	out := bufio.NewWriterSize(c, 4<<10)
	enc := gob.NewEncoder(out)
	if enc.Encode(m.nextHandshake().wire()) != nil || m.offersLinks && out.Flush() != nil {
		return
	}
	for {
		select {
		case <-l.queue.ready:
			f := l.queue.take()
			if f == nil {
				continue
			}
			if failpoint.Cut(l.target) && !awaitHeal(ctx, l.target, writeTimeout) {
				return
			}
			c.SetWriteDeadline(time.Now().Add(writeTimeout))
			if enc.Encode(f) != nil || l.queue.empty() && out.Flush() != nil {
				return
			}
		case <-ended:
			return
		case <-ctx.Done():
			if !failpoint.Cut(l.target) {
				out.Flush()
			}
			return
		}
	}
}

// setUserTimeout ends links to machines that say nothing: one without power or behind a cut never answers.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) {
		unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(writeTimeout/time.Millisecond))
	})
}
