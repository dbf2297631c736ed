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
	// dialTimeout limits one dial. It covers several round trips and is far below the time after which a node is considered
	// lost.
	dialTimeout = 600 * time.Millisecond
	// writeTimeout is the time after which a link ends if the peer reads nothing or its machine acknowledges nothing.
	writeTimeout = 2 * time.Second
	// minRedialBackoff is the delay before the next dial after a first failure. The delay doubles with each further failure, up
	// to maxRedialBackoff. Both are short so that links between nodes that start together are soon up.
	minRedialBackoff = 40 * time.Millisecond
	maxRedialBackoff = 640 * time.Millisecond
	// writeBufferBytes is the size of the buffer that combines waiting frames into one write.
	writeBufferBytes = 4 << 10
)

// link is a wanted link from this node to another one, with the queue of its frames.
type link[F any] struct {
	target string
	queue  *queue[F]
	stop   context.CancelFunc // called when the link is no longer wanted

	// Guarded by Mesh.mu.
	abort       func() // ends the current dial, backoff or connection
	connected   bool
	connectedAt time.Time // when the connection of a link that is up began
	conn        net.Conn  // connection of a link that is up, if it also carries inbound frames, else nil
	endedChecks int       // number of consecutive checks that found the connection ended, see Check
}

// setConnection sets the connection of a link and the function abort, which ends that connection. A nil conn means that the
// link is down. In this case abort ends the current dial or backoff.
func (m *Mesh[F]) setConnection(l *link[F], conn net.Conn, abort func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	l.connected, l.connectedAt, l.abort, l.conn, l.endedChecks = conn != nil, time.Now(), abort, nil, 0
	if _, isIncoming := m.incoming[conn]; isIncoming {
		l.conn = conn
	}
}

// runWriter dials the target and writes the queued frames, again and again until the link is no longer wanted.
func (m *Mesh[F]) runWriter(ctx context.Context, l *link[F]) {
	for backoff := minRedialBackoff; ctx.Err() == nil; backoff = min(2*backoff, maxRedialBackoff) {
		attempt, abort := context.WithCancel(ctx)
		conn, ended, err := m.connect(attempt, l, abort)
		if err == nil {
			backoff = minRedialBackoff
			l.queue.clear() // the frames were queued for an earlier connection
			m.setConnection(l, conn, func() {
				abort()
				conn.Close()
			})
			if o, _ := m.offerOf(l.target); o.conn != nil && o.conn != conn { // the target offered a connection in the meantime
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

// serve writes frames to a connection until it ends. It reports to the host that the link is up and then down.
func (m *Mesh[F]) serve(ctx context.Context, l *link[F], conn net.Conn, ended <-chan struct{}, abort func()) {
	m.turn(func() { m.host.LinkUp(l.target) })
	m.writeFrames(ctx, l, conn, ended)
	m.setConnection(l, nil, abort)
	conn.Close()
	m.turn(func() {
		if m.isCurrentLink(l) { // otherwise the link that replaced this one may already be up
			m.host.LinkDown(l.target)
		}
	})
}

// isCurrentLink reports whether no newer link to the same target has replaced this one.
func (m *Mesh[F]) isCurrentLink(l *link[F]) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	current := m.links[l.target]
	return current == nil || current == l
}

// writeFrames sends the handshake and then the queued frames until a write fails, ended is closed or ctx is cancelled.
func (m *Mesh[F]) writeFrames(ctx context.Context, l *link[F], conn net.Conn, ended <-chan struct{}) {
	out := bufio.NewWriterSize(conn, writeBufferBytes)
	encoder := gob.NewEncoder(out)
	// An offer is sent at once, because the other side waits for it. Without an offer, the handshake is sent with the first
	// frame.
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

// setUserTimeout sets TCP_USER_TIMEOUT to writeTimeout, so that the kernel ends a connection to a machine that acknowledges
// nothing for that time. A machine without power or behind a partition never sends a reset.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) {
		unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(writeTimeout/time.Millisecond))
	})
}
