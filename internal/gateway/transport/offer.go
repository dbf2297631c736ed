package transport

import (
	"context"
	"net"
	"syscall"
	"time"
)

// Offered links. A node that hundreds of others dial would need two descriptors for each of them: the link that the other one
// dialed and its own. A node that offers its links takes frames on those that it dialed as well, so that the other side needs no
// link of its own. Whoever offers links uses none that is offered to it: two such nodes would else give way to each other
// without end. A node that does not know of offers dials as before.

// offeredLink is a link that another node dialed and offers. Its end is its connection's: another link may have taken its place by then.
type offeredLink struct {
	conn  net.Conn        // nil: it is over, and none has come in its place
	ended <-chan struct{} // closed when nothing more comes on it
}

// OfferLinks has others answer on the links that this node dials; it comes before the first Want.
func (m *Mesh[F]) OfferLinks() { m.offersLinks = true }

// recordOffer notes that a node takes frames on a link that it dialed; the mesh is locked.
func (m *Mesh[F]) recordOffer(o handshake, c net.Conn) bool {
	if !o.offersLink || m.offersLinks {
		delete(m.offers, o.from)
		return false
	}
	if raw, ok := c.(syscall.Conn); ok {
		if r, err := raw.SyscallConn(); err == nil {
			setUserTimeout("", "", r)
		}
	}
	m.offers[o.from] = &offeredLink{c, m.incoming[c].ended}
	return true
}

// untrackIncoming notes that nothing more comes on a connection, and tells whoever writes to it; the mesh is locked. That its node offers
// links stays known.
func (m *Mesh[F]) untrackIncoming(from string, c net.Conn) {
	close(m.incoming[c].ended)
	delete(m.incoming, c)
	if b := m.offers[from]; b != nil && b.conn == c {
		b.conn = nil
	}
}

// offerOf finds the link that a node offers. known tells that it offers links, if there is one or not.
func (m *Mesh[F]) offerOf(to string) (b offeredLink, known bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if o := m.offers[to]; o != nil {
		return *o, true
	}
	return offeredLink{}, false
}

// connect gives a connection to a node, and what tells of its end: the one that it offers, else one that is dialed. A node that has offered
// links dials this one itself as soon as it can; abort ends the wait for that.
func (m *Mesh[F]) connect(now context.Context, l *link[F], abort func()) (net.Conn, <-chan struct{}, error) {
	m.setConnection(l, nil, abort)
	b, known := m.offerOf(l.target)
	if known && b.conn == nil {
		select {
		case <-now.Done():
		case <-time.After(offerGrace):
		}
		b, _ = m.offerOf(l.target)
	}
	if b.conn != nil {
		return b.conn, b.ended, nil
	}
	d := net.Dialer{Timeout: dialTimeout, KeepAlive: -1, Control: setUserTimeout}
	c, err := dial(now, &d, l.target)
	if err != nil {
		return nil, nil, err
	}
	return c, m.watchEnd(c, l.target), nil
}

// watchEnd reads what comes back on a connection that this node dialed: frames where it offers its links, else nothing but the end.
func (m *Mesh[F]) watchEnd(c net.Conn, to string) <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.offersLinks {
		ended := make(chan struct{})
		go func() {
			var b [1]byte
			c.Read(b[:])
			hidePowerLoss(c, to)
			close(ended)
		}()
		return ended
	}
	in := m.trackIncoming(c)
	if m.stopped {
		c.Close()
		m.untrackIncoming("", c)
	} else {
		m.goroutines.Go(func() { m.readFrames(c, to) })
	}
	return in.ended
}
