package transport

import (
	"context"
	"net"
	"syscall"
	"time"
)

// offerGrace is how long a node that offers its links is left to dial, before this one dials it.
const offerGrace = 300 * time.Millisecond

// Offered links. A node that hundreds of others dial would need two descriptors for each of them: the connection that the other one
// dialed and its own. A node that offers its links takes frames on those that it dialed as well, so that the other side needs no
// connection of its own. Whoever offers links uses none that is offered to it: two such nodes would else give way to each other
// without end. A node that does not know of offers dials as before.

// offeredLink is a connection that another node dialed and offers. It ends with that connection: another one may have taken its
// place by then.
type offeredLink struct {
	conn  net.Conn        // nil: it has ended, and none has come in its place
	ended <-chan struct{} // closed when nothing more comes on it
}

// OfferLinks has others answer on the connections that this node dials. It is called before the first Connect.
func (m *Mesh[F]) OfferLinks() { m.offersLinks = true }

// recordOffer notes whether a node that has dialed offers this connection. m.mu is held.
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

// offerOf gives the connection that a node offers. known tells whether it offers links at all: the connection may have ended.
func (m *Mesh[F]) offerOf(from string) (offer offeredLink, known bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if o := m.offers[from]; o != nil {
		return *o, true
	}
	return offeredLink{}, false
}

// connect gives a connection to a link's target, and a channel that is closed at its end: the one that the target offers, else one that
// is dialed. A node that has offered links dials this one itself as soon as it can; abort ends the wait for that.
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

// watchEnd reads what comes back on a connection that this node dialed: frames where it offers its links, else nothing but the end.
func (m *Mesh[F]) watchEnd(conn net.Conn, to string) <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.offersLinks {
		ended := make(chan struct{})
		m.goroutines.Go(func() { // ends with the connection, which the link's writer closes
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
