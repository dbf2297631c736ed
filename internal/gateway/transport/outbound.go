package transport

import (
	"bufio"
	"context"
	"encoding/gob"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"clovergap/internal/failpoint"
)

const (
	// dialTimeout bounds one dial: some round trips, and far below the time after which a node is taken for lost.
	dialTimeout = 600 * time.Millisecond
	// writeTimeout bounds the time in which a peer takes nothing, or its machine acknowledges nothing, before the link ends.
	writeTimeout = 2 * time.Second
	// minRedialBackoff is the wait after a first failure. It doubles up to maxRedialBackoff. Both are short: nodes that start together
	// are up soon.
	minRedialBackoff = 40 * time.Millisecond
	maxRedialBackoff = 640 * time.Millisecond
	// writeBufferBytes is how much is gathered for one write while frames wait.
	writeBufferBytes = 4 << 10
)

// link is this node's wish to send to another one.
type link[F any] struct {
	target string
	queue  *queue[F]
	stop   context.CancelFunc // the link is no longer wanted

	// Guarded by Mesh.mu.
	abort       func() // ends the dial, the backoff or the connection that it has now
	connected   bool
	conn        net.Conn // while it is up, if frames come on its connection as well
	endedChecks int      // see Check
}

// setConnection says what a link's abort is to end. conn is what it goes over; nil: it is not up.
func (m *Mesh[F]) setConnection(l *link[F], conn net.Conn, abort func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	l.connected, l.abort, l.conn, l.endedChecks = conn != nil, abort, nil, 0
	if _, framesComeIn := m.incoming[conn]; framesComeIn {
		l.conn = conn
	}
}

// runWriter dials, writes, and dials again, until the link is not wanted any more.
func (m *Mesh[F]) runWriter(ctx context.Context, l *link[F]) {
	for backoff := minRedialBackoff; ctx.Err() == nil; backoff = min(2*backoff, maxRedialBackoff) {
		attempt, abort := context.WithCancel(ctx)
		conn, ended, err := m.connect(attempt, l, abort)
		if err == nil {
			backoff = minRedialBackoff
			l.queue.clear() // meant for a connection that is no more
			m.setConnection(l, conn, func() {
				abort()
				conn.Close()
			})
			if o, _ := m.offerOf(l.target); o.conn != nil && o.conn != conn { // it was offered meanwhile
				conn.Close()
				abort()
				continue
			}
			m.serve(ctx, l, conn, ended, abort)
		}
		select {
		case <-attempt.Done():
			backoff = minRedialBackoff
		case <-time.After(backoff):
		}
		abort()
	}
}

// serve writes to a connection until it ends, and tells the host that it is up and down.
func (m *Mesh[F]) serve(ctx context.Context, l *link[F], conn net.Conn, ended <-chan struct{}, abort func()) {
	m.turn(func() { m.host.LinkUp(l.target) })
	m.writeFrames(ctx, l, conn, ended)
	m.setConnection(l, nil, abort)
	conn.Close()
	m.turn(func() {
		if m.isCurrentLink(l) { // else the one in its place may be up already
			m.host.LinkDown(l.target)
		}
	})
}

// isCurrentLink tells whether no other link has been wanted since in the place of this one.
func (m *Mesh[F]) isCurrentLink(l *link[F]) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	current := m.links[l.target]
	return current == nil || current == l
}

// writeFrames writes frames until the link fails, or ended tells that nothing more comes on its connection.
func (m *Mesh[F]) writeFrames(ctx context.Context, l *link[F], conn net.Conn, ended <-chan struct{}) {
	out := bufio.NewWriterSize(conn, writeBufferBytes)
	encoder := gob.NewEncoder(out)
	// An offer is sent at once, as the other side waits for it; else the handshake goes with the first frame.
	if encoder.Encode(m.nextHandshake().wire()) != nil || m.offersLinks && out.Flush() != nil {
		return
	}
	for {
		select {
		case <-l.queue.ready:
			f := l.queue.take()
			if f == nil {
				continue
			}
			if failpoint.Partitioned(l.target) && !awaitHeal(ctx, l.target, writeTimeout) {
				return
			}
			conn.SetWriteDeadline(time.Now().Add(writeTimeout))
			if encoder.Encode(f) != nil || l.queue.empty() && out.Flush() != nil {
				return
			}
		case <-ended:
			return
		case <-ctx.Done():
			if !failpoint.Partitioned(l.target) {
				out.Flush()
			}
			return
		}
	}
}

// setUserTimeout ends connections to machines that acknowledge nothing for writeTimeout: one without power, or behind a partition,
// never sends a reset.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) {
		unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(writeTimeout/time.Millisecond))
	})
}
