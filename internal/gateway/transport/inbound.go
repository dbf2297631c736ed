// What comes in: connections that others dialed, and those that this node dialed and offers.

package transport

import (
	"bufio"
	"cmp"
	"encoding/gob"
	"io"
	"net"
	"time"

	"github.com/go-faster/errors"

	"clovergap/internal/failpoint"
)

// incoming is a connection that frames come on.
type incoming struct {
	arrival uint64        // among all of them, by their beginning
	ended   chan struct{} // closed when nothing more comes on it
}

// handshake is the first value on a stream.
type handshake struct {
	from        string // where the sender takes frames
	incarnation uint64 // differs between two starts of the sender
	streamSeq   uint64 // grows with each stream that the sender begins in its incarnation; 0: a program that sends none
	offersLink  bool   // the sender takes frames on this connection as well, see OfferLinks
}

// stream tells which of a node's streams is the newer one: within a life by what the node says, else by the order in which their
// connections came.
type stream struct{ incarnation, seq, arrival uint64 }

func (s stream) before(o stream) bool {
	if s.incarnation == o.incarnation && s.seq > 0 && o.seq > 0 {
		return s.seq < o.seq
	}
	return s.arrival < o.arrival
}

func (m *Mesh[F]) accept() {
	for {
		c, err := m.listener.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			time.Sleep(10 * time.Millisecond) // descriptors ran out
			continue
		}
		m.mu.Lock()
		if m.stopped {
			c.Close()
		} else {
			m.trackIncoming(c)
			m.goroutines.Go(func() { m.readFrames(c, "") })
		}
		m.mu.Unlock()
	}
}

// frameLimiter ends a stream whose frame is longer than any may be.
type frameLimiter struct {
	reader    io.Reader
	remaining int
}

// trackIncoming gives a connection that frames may come on its place; the mesh is locked.
func (m *Mesh[F]) trackIncoming(c net.Conn) *incoming {
	m.lastArrival++
	in := &incoming{arrival: m.lastArrival, ended: make(chan struct{})}
	m.incoming[c] = in
	return in
}

// readFrames takes what comes on a connection until it ends. One that this node dialed bears the name of whom it leads to.
func (m *Mesh[F]) readFrames(c net.Conn, dialed string) {
	var o handshake
	defer func() {
		hidePowerLoss(c, cmp.Or(o.from, dialed))
		c.Close()
		m.mu.Lock()
		m.untrackIncoming(o.from, c)
		if m.inbound[o.from] == c {
			delete(m.inbound, o.from)
		}
		m.mu.Unlock()
	}()
	b := &frameLimiter{reader: c, remaining: maxFrameBytes}
	dec := gob.NewDecoder(bufio.NewReaderSize(b, 2<<10))
	var w wireHandshake
	err := dec.Decode(&w)
	o = w.handshake()
	if err != nil || dialed != "" && o.from != dialed {
		return
	}
	// What a link before this one still holds is of an earlier time, perhaps of an earlier life; and where its machine
	// lost power, nothing else ever ends it. Which is the earlier one is told by the order in which they came: which is read
	// first is chance.
	m.mu.Lock()
	this := stream{o.incarnation, o.streamSeq, m.incoming[c].arrival}
	if this.before(m.newestStreams[o.from]) {
		m.mu.Unlock()
		return
	}
	m.newestStreams[o.from] = this
	if old := m.inbound[o.from]; old != nil {
		old.Close()
	}
	m.inbound[o.from] = c
	if dialed == "" {
		m.peerDialed(o, c)
	}
	m.mu.Unlock()
	m.turn(func() {
		if m.isNewestFrom(o.from, c) {
			m.host.PeerConnected(o.from)
		}
	})
	for {
		f := new(F)
		b.remaining = maxFrameBytes
		if dec.Decode(f) != nil {
			return
		}
		m.turn(func() {
			if m.isNewestFrom(o.from, c) {
				m.host.FrameReceived(o.from, f)
			}
		})
	}
}

// peerDialed: a node has dialed us, so that it can be reached. A dial to it that hangs since its machine was dark, or a pause, ends;
// and a connection to an earlier life of it, which may look well for as long as nothing is sent.
// Where it offers the link that it dialed, what this node has to say goes there from now on.
func (m *Mesh[F]) peerDialed(o handshake, c net.Conn) {
	anew := m.incarnations[o.from] != 0 && m.incarnations[o.from] != o.incarnation
	m.incarnations[o.from] = o.incarnation
	offered := m.recordOffer(o, c)
	if l := m.links[o.from]; l != nil && l.abort != nil && (!l.connected || anew || offered) {
		l.abort()
	}
}

// isNewestFrom tells whether a node has dialed no other link since this one.
func (m *Mesh[F]) isNewestFrom(from string, c net.Conn) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.inbound[from] == c
}

// hidePowerLoss plays a machine without power in a debug build: nothing tells this side of the end of a connection, until it closes that
// itself.
func hidePowerLoss(c net.Conn, from string) {
	if !failpoint.Dark(from) {
		return
	}
	for b := make([]byte, 1); ; time.Sleep(partitionPollInterval) {
		if _, err := c.Read(b); errors.Is(err, net.ErrClosed) {
			return
		}
	}
}

// partitionPollInterval is how often a debug build looks whether a cut has healed.
const partitionPollInterval = 5 * time.Millisecond
