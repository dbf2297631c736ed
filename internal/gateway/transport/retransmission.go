package transport

import (
	"net"
	"os"
	"sync"
	"time"

	"clovergap/internal/failpoint"
)

// maxPendingBytes is about the size of a socket's send buffer. A further write times out.
const maxPendingBytes = 4 << 20

// withRetransmissions lets a debug build simulate a network that loses acknowledgements: see retransmittingConn. A release build uses the
// connection as it is.
func withRetransmissions(conn net.Conn, to string) net.Conn {
	tcp, isTCP := conn.(*net.TCPConn)
	if !failpoint.On || !isTCP {
		return conn
	}
	return &retransmittingConn{TCPConn: tcp, to: to, openSince: time.Now()}
}

// retransmittingConn is a connection that this node dialed. After a time without acknowledgements it delivers nothing until the kernel would repeat
// the first unacknowledged segment. Writes succeed meanwhile, as they do while the buffer of a socket has room.
type retransmittingConn struct {
	*net.TCPConn
	to        string
	openSince time.Time

	mu      sync.Mutex
	pending []byte // written, and not sent yet
	resume  *time.Timer
}

// Write sends bytes, or keeps them until the next retransmission.
func (r *retransmittingConn) Write(p []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.pending) == 0 && !r.isStalled() {
		return r.TCPConn.Write(p)
	}
	if len(r.pending)+len(p) > maxPendingBytes {
		return 0, os.ErrDeadlineExceeded
	}
	r.pending = append(r.pending, p...)
	if r.resume == nil {
		r.resume = time.AfterFunc(r.untilResumed(), r.deliver)
	}
	return len(p), nil
}

// isStalled tells whether the connection waits for a retransmission.
func (r *retransmittingConn) isStalled() bool { return r.untilResumed() > 0 }

// untilResumed is the time until the next retransmission.
func (r *retransmittingConn) untilResumed() time.Duration {
	return time.Until(failpoint.ResumesAt(r.to, r.openSince))
}

// deliver sends what was pending, unless the network has been interrupted once more.
func (r *retransmittingConn) deliver() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if failpoint.Partitioned(r.to) || r.isStalled() {
		r.resume.Reset(max(r.untilResumed(), partitionPollInterval))
		return
	}
	r.TCPConn.Write(r.pending)
	r.pending, r.resume = nil, nil
}

// Close ends the connection. What is pending is lost.
func (r *retransmittingConn) Close() error {
	err := r.TCPConn.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.resume != nil {
		r.resume.Stop()
	}
	return err
}
