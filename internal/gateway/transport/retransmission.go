package transport

import (
	"net"
	"os"
	"sync"
	"time"

	"clovergap/internal/failpoint"
)

// maxHeldBytes is about what the buffer of a socket holds. A further write times out.
const maxHeldBytes = 4 << 20

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

	mu     sync.Mutex
	held   []byte // written, and not sent yet
	resume *time.Timer
}

// Write sends bytes, or holds them until the next retransmission.
func (c *retransmittingConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.held) == 0 && !c.isStalled() {
		return c.TCPConn.Write(p)
	}
	if len(c.held)+len(p) > maxHeldBytes {
		return 0, os.ErrDeadlineExceeded
	}
	c.held = append(c.held, p...)
	if c.resume == nil {
		c.resume = time.AfterFunc(c.untilResumed(), c.deliver)
	}
	return len(p), nil
}

// isStalled tells whether the connection waits for a retransmission.
func (c *retransmittingConn) isStalled() bool { return c.untilResumed() > 0 }

// untilResumed is the time until the next retransmission.
func (c *retransmittingConn) untilResumed() time.Duration {
	return time.Until(failpoint.ResumesAt(c.to, c.openSince))
}

// deliver sends what was held, unless the network has been interrupted once more.
func (c *retransmittingConn) deliver() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if failpoint.Partitioned(c.to) || c.isStalled() {
		c.resume.Reset(max(c.untilResumed(), partitionPollInterval))
		return
	}
	c.TCPConn.Write(c.held)
	c.held, c.resume = nil, nil
}

// Close ends the connection. What is held is lost.
func (c *retransmittingConn) Close() error {
	err := c.TCPConn.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.resume != nil {
		c.resume.Stop()
	}
	return err
}
