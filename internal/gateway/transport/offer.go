package transport

import (
	"context"
	"net"
	"syscall"
	"time"
)

// offerGrace is the time that a node that offers its links has for dialing this node, before this node dials it.
const offerGrace = 300 * time.Millisecond

// Offered links save file descriptors. Without them, a node that hundreds of other nodes dial needs two descriptors for each of
// these nodes: one for the connection that the other node dialed, and one for the connection that it dialed itself. A node that
// offers its links accepts frames also on the connections that it dialed, so that the other node does not need to dial. A node
// that offers its links does not use links that are offered to it. Otherwise each of two such nodes would close the connection
// that it dialed, use the connection of the other node, find that connection closed and dial again. This would repeat forever.
// A node whose program does not support offers always dials a connection of its own.

// offeredLink is a connection that another node dialed and on which that node accepts frames. The offer ends with the
// connection. Another connection may have replaced the connection by then.
type offeredLink struct {
	conn  net.Conn        // nil if the connection has ended and no other one has replaced it
	ended <-chan struct{} // closed when the connection is no longer read
}

// OfferLinks lets other nodes send frames on the connections that this node dials. It must be called before the first Connect.
func (m *Mesh[F]) OfferLinks() { m.offersLinks = true }

// recordOffer records whether a node that has dialed offers this connection. It returns true if this node uses the offer. The
// caller holds m.mu.
func (m *Mesh[F]) recordOffer(sender handshake, conn net.Conn) bool {
	if !sender.offersLink || m.offersLinks {
		delete(m.offers, sender.from)
		return false
	}
	if c, ok := conn.(syscall.Conn); ok {
		if raw, err := c.SyscallConn(); err == nil {
			setUserTimeout("", "", raw)
		}
	}
	m.offers[sender.from] = &offeredLink{conn, m.incoming[conn].ended}
	return true
}

// offerOf returns the connection that a node offers. known reports whether the node offers its links at all. The conn of the
// result is nil if the offered connection has ended.
func (m *Mesh[F]) offerOf(from string) (offer offeredLink, known bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if o := m.offers[from]; o != nil {
		return *o, true
	}
	return offeredLink{}, false
}

// connect returns a connection to the target of a link, and a channel that is closed when the connection ends. It uses the
// connection that the target offers, or dials one. A target that has offered its links before dials this node as soon as it
// can. If its last offered connection has ended, connect therefore first waits for offerGrace. abort ends that wait.
func (m *Mesh[F]) connect(ctx context.Context, l *link[F], abort func()) (net.Conn, <-chan struct{}, error) {
	m.setConnection(l, nil, abort)
	offer, known := m.offerOf(l.target)
	if known && offer.conn == nil {
		select {
		case <-ctx.Done():
		case <-time.After(offerGrace):
		}
		offer, _ = m.offerOf(l.target)
	}
	if offer.conn != nil {
		return offer.conn, offer.ended, nil
	}
	dialer := net.Dialer{Timeout: dialTimeout, KeepAlive: -1, Control: setUserTimeout}
	conn, err := dial(ctx, &dialer, l.target)
	if err != nil {
		return nil, nil, err
	}
	return conn, m.watchEnd(conn, l.target), nil
}

// watchEnd reads a connection that this node dialed, and returns a channel that is closed when the connection ends. If this
// node offers its links, the connection carries inbound frames. Otherwise watchEnd only detects its end.
func (m *Mesh[F]) watchEnd(conn net.Conn, to string) <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.offersLinks {
		ended := make(chan struct{})
		m.goroutines.Go(func() { // ends when the link's writer closes the connection
			var b [1]byte
			conn.Read(b[:])
			hidePowerLoss(conn, to)
			close(ended)
		})
		return ended
	}
	in := m.trackIncoming(conn)
	if m.stopped {
		conn.Close()
		m.untrackIncoming("", conn)
	} else {
		m.goroutines.Go(func() { m.readFrames(conn, to) })
	}
	return in.ended
}
