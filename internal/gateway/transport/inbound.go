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
	// maxFrameBytes bounds one frame. A stream with a longer one ends.
	maxFrameBytes = 16 << 20
	// acceptBackoff is how long no connection is accepted after an error: mostly descriptors ran out.
	acceptBackoff = 10 * time.Millisecond
	// readBufferBytes is small: a node may have hundreds of streams, with something on few of them.
	readBufferBytes = 2 << 10
)

// errFrameTooLong ends a stream whose frame exceeds maxFrameBytes.
var errFrameTooLong = errors.New("frame too long")

// incoming is a connection that frames come on: another node dialed it, or this one, which offers its links.
type incoming struct {
	arrival uint64        // counts all of them, by their beginning
	ended   chan struct{} // closed when nothing more comes on it
}

// frameLimiter bounds what is read for one frame.
type frameLimiter struct {
	reader    io.Reader
	remaining int // bytes; set anew for each frame
}

// Read reads up to what remains, and fails with errFrameTooLong where nothing does.
func (f *frameLimiter) Read(p []byte) (int, error) {
	if f.remaining <= 0 {
		return 0, errFrameTooLong
	}
	n, err := f.reader.Read(p[:min(len(p), f.remaining)])
	f.remaining -= n
	return n, err
}

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

// trackIncoming takes a connection among those that frames come on. m.mu is held.
func (m *Mesh[F]) trackIncoming(conn net.Conn) *incoming {
	m.lastArrival++
	in := &incoming{arrival: m.lastArrival, ended: make(chan struct{})}
	m.incoming[conn] = in
	return in
}

// untrackIncoming notes that nothing more comes on a connection, and notifies who writes to it. That its node offers links stays
// known. m.mu is held.
func (m *Mesh[F]) untrackIncoming(from string, conn net.Conn) {
	close(m.incoming[conn].ended)
	delete(m.incoming, conn)
	if o := m.offers[from]; o != nil && o.conn == conn {
		o.conn = nil
	}
}

// readFrames takes what comes on a connection until it ends. dialed is the node that this one dialed there; "": the other side dialed.
func (m *Mesh[F]) readFrames(conn net.Conn, dialed string) {
	var sender handshake
	defer func() { m.endReading(conn, sender.from, dialed) }()
	limiter := &frameLimiter{reader: conn, remaining: maxFrameBytes}
	decoder := gob.NewDecoder(bufio.NewReaderSize(limiter, readBufferBytes))
	var first wireHandshake
	err := decoder.Decode(&first)
	sender = first.handshake()
	if err != nil || dialed != "" && sender.from != dialed || !m.adoptStream(conn, sender, dialed == "") {
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

// endReading closes a connection on which nothing more comes.
func (m *Mesh[F]) endReading(conn net.Conn, from, dialed string) {
	hidePowerLoss(conn, cmp.Or(from, dialed))
	conn.Close()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.untrackIncoming(from, conn)
	if m.inbound[from] == conn {
		delete(m.inbound, from)
	}
}

// adoptStream puts a stream in the place of its sender's former one, which ends; false if it is itself the former one. What that still
// holds is of an earlier time, perhaps of an earlier incarnation; and where its machine lost power, nothing else ever ends it. Which
// one is the former is decided by the handshakes: which is read first is chance.
func (m *Mesh[F]) adoptStream(conn net.Conn, sender handshake, peerDialed bool) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := stream{sender.incarnation, sender.streamSeq, m.incoming[conn].arrival}
	if s.before(m.newestStreams[sender.from]) {
		return false
	}
	m.newestStreams[sender.from] = s
	if former := m.inbound[sender.from]; former != nil {
		former.Close()
	}
	m.inbound[sender.from] = conn
	if peerDialed {
		m.peerDialed(sender, conn)
	}
	return true
}

// peerDialed has this node's own link to one that has just dialed begin anew where it must. Who dials can be reached: a dial to it
// that hangs, since its machine had no power, or a backoff, ends. So does a connection to an earlier incarnation, which may look well
// for as long as nothing is sent. Where the peer offers the link that it dialed, what this node sends goes there from now on.
// m.mu is held.
func (m *Mesh[F]) peerDialed(sender handshake, conn net.Conn) {
	known := m.incarnations[sender.from]
	restarted := known != 0 && known != sender.incarnation
	m.incarnations[sender.from] = sender.incarnation
	offered := m.recordOffer(sender, conn)
	if l := m.links[sender.from]; l != nil && l.abort != nil && (!l.connected || restarted || offered) {
		l.abort()
	}
}

// isNewestFrom tells whether a connection carries its sender's newest stream.
func (m *Mesh[F]) isNewestFrom(from string, conn net.Conn) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.inbound[from] == conn
}
