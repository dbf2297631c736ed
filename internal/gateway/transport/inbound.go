package transport

import (
	"bufio"
	"cmp"
	"encoding/gob"
	"io"
	"net"
	"time"

	"github.com/go-faster/errors"
)

const (
	// maxFrameBytes is the maximum length of a frame. A longer frame ends its stream.
	maxFrameBytes = 16 << 20
	// acceptBackoff is the delay before the next accept after a failed one. Most failures are due to a lack of file
	// descriptors.
	acceptBackoff = 10 * time.Millisecond
	// readBufferBytes is the size of the read buffer of a stream. It is small because a node may have hundreds of streams, few
	// of which carry data at a time.
	readBufferBytes = 2 << 10
)

// errFrameTooLong is the read error of a stream with a frame longer than maxFrameBytes.
var errFrameTooLong = errors.New("read frame: length exceeds the maximum")

// incomingConn is a connection that carries inbound frames. It was dialed by another node, or by this node if it offers its
// links.
type incomingConn struct {
	arrival uint64        // number of the connection in the order in which connections began
	ended   chan struct{} // closed when the connection is no longer read
}

// frameLimiter limits the number of bytes that are read for one frame.
type frameLimiter struct {
	reader    io.Reader
	remaining int // bytes left for the current frame, reset for each frame
}

// Read reads at most the remaining bytes. It fails with errFrameTooLong if none remain.
func (f *frameLimiter) Read(p []byte) (int, error) {
	if f.remaining <= 0 {
		return 0, errFrameTooLong
	}
	n, err := f.reader.Read(p[:min(len(p), f.remaining)])
	f.remaining -= n
	return n, err
}

// accept accepts connections of other nodes until the listener is closed, and starts a reader for each.
func (m *Mesh[F]) accept() {
	for {
		conn, err := m.listener.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			time.Sleep(acceptBackoff)
			continue
		}
		m.mu.Lock()
		if m.stopped {
			conn.Close()
		} else {
			m.trackIncoming(conn)
			m.goroutines.Go(func() { m.readFrames(conn, "") })
		}
		m.mu.Unlock()
	}
}

// trackIncoming registers a connection that carries inbound frames. The caller holds m.mu.
func (m *Mesh[F]) trackIncoming(conn net.Conn) *incomingConn {
	m.lastArrival++
	in := &incomingConn{arrival: m.lastArrival, ended: make(chan struct{})}
	m.incoming[conn] = in
	return in
}

// untrackIncoming removes a connection that is no longer read, and notifies the writer that uses the connection. A node that
// offers its links accepts frames also on the connections that it dialed. The record that the node "from" offers its links
// remains, without the connection. The caller holds m.mu.
func (m *Mesh[F]) untrackIncoming(from string, conn net.Conn) {
	close(m.incoming[conn].ended)
	delete(m.incoming, conn)
	if o := m.offers[from]; o != nil && o.conn == conn {
		o.conn = nil
	}
}

// readFrames reads a connection until it ends and reports its frames to the host. dialedAddr is the address that this node
// dialed. It is empty if the other node dialed.
func (m *Mesh[F]) readFrames(conn net.Conn, dialedAddr string) {
	var sender handshake
	defer func() { m.closeIncoming(conn, sender.from, dialedAddr) }()
	limiter := &frameLimiter{reader: conn, remaining: maxFrameBytes}
	decoder := gob.NewDecoder(bufio.NewReaderSize(limiter, readBufferBytes))
	var first wireHandshake
	err := decoder.Decode(&first)
	sender = first.handshake()
	if err != nil || dialedAddr != "" && sender.from != dialedAddr || !m.adoptStream(conn, sender, dialedAddr == "") {
		return
	}
	m.turn(func() {
		if m.isNewestFrom(sender.from, conn) {
			m.host.PeerConnected(sender.from)
		}
	})
	for {
		f := new(F)
		limiter.remaining = maxFrameBytes
		if decoder.Decode(f) != nil {
			return
		}
		m.turn(func() {
			if m.isNewestFrom(sender.from, conn) {
				m.host.FrameReceived(sender.from, f)
			}
		})
	}
}

// closeIncoming closes a connection whose reading has ended, and removes it from the mesh.
func (m *Mesh[F]) closeIncoming(conn net.Conn, from, dialedAddr string) {
	hidePowerLoss(conn, cmp.Or(from, dialedAddr))
	conn.Close()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.untrackIncoming(from, conn)
	if m.inbound[from] == conn {
		delete(m.inbound, from)
	}
}

// adoptStream makes a stream the current one of its sender and closes the previous one. It returns false if a newer stream of
// the sender is already known. Data that the previous stream still holds is outdated and may come from an earlier incarnation.
// If the machine of the sender lost power, nothing else ever ends the previous stream. The order of the streams follows from
// the handshakes, because the order in which the streams are read is arbitrary.
func (m *Mesh[F]) adoptStream(conn net.Conn, sender handshake, peerDialed bool) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	order := streamOrder{sender.incarnation, sender.streamSeq, m.incoming[conn].arrival}
	if order.olderThan(m.newestStreams[sender.from]) {
		return false
	}
	m.newestStreams[sender.from] = order
	if previous := m.inbound[sender.from]; previous != nil {
		previous.Close()
	}
	m.inbound[sender.from] = conn
	if peerDialed {
		m.updateOutboundLink(sender, conn)
	}
	return true
}

// updateOutboundLink restarts this node's link to a peer that has just dialed, if that is necessary. A peer that dials is
// reachable. The function therefore ends a backoff, and a dial that hangs because the machine of the peer had no power. It also
// ends a connection to an earlier incarnation of the peer, because that connection may look intact as long as nothing is sent.
// If the peer also accepts frames on the connection that it dialed (an offered link), this node sends on that connection from
// now on. The caller holds m.mu.
//
// A peer that dials while this node's own connection to it is up may have lost its connection to this node. If the path was
// interrupted in the direction from the peer alone, this node's own connection is intact, but its kernel has received no
// acknowledgement since: its next retransmission may be as far away as the interruption was long, and until then nothing gets
// through. Such a connection is replaced if it is older than writeTimeout, also if the peer dials for the first time: this node
// may have started during the interruption. Two nodes do not replace each other's connections endlessly, because the connection
// that the peer has just dialed is younger.
func (m *Mesh[F]) updateOutboundLink(sender handshake, conn net.Conn) {
	known := m.incarnations[sender.from]
	restarted := known != 0 && known != sender.incarnation
	m.incarnations[sender.from] = sender.incarnation
	offered := m.recordOffer(sender, conn)
	l := m.links[sender.from]
	if l == nil || l.abort == nil {
		return
	}
	suspect := time.Since(l.connectedAt) > writeTimeout
	if !l.connected || restarted || offered || suspect {
		l.abort()
	}
}

// isNewestFrom reports whether a connection carries the newest stream of its sender.
func (m *Mesh[F]) isNewestFrom(from string, conn net.Conn) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.inbound[from] == conn
}
