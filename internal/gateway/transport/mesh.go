// Package transport carries frames between the nodes of a deployment: gob streams over TCP that stay open, so that types travel
// once. What is sent is lost when a link ends; whoever sends over it repeats what must arrive. Each node dials the
// nodes that it wants to tell something; what others say comes on links that they dialed, or back on a link that this node
// offers to them: see Offer.
package transport

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// Bounds of a link.
const (
	dialTimeout      = 600 * time.Millisecond
	writeTimeout     = 2 * time.Second
	minRedialBackoff = 40 * time.Millisecond // doubled up to maxRedialBackoff: nodes that start together are up soon
	maxRedialBackoff = 640 * time.Millisecond
	offerGrace       = 300 * time.Millisecond // a node that offers its links is left so long to dial first
	maxFrameBytes    = 16 << 20               // bytes of one frame
)

// Host is told what happens, each in a turn of its own.
type Host[F any] interface {
	PeerConnected(from string)       // a link of another node is up: what it sent on one before may be lost
	FrameReceived(from string, f *F) // from: where the sender takes frames itself
	LinkUp(to string)                // a link that was dialed is up; all before is lost
	LinkDown(to string)              // it has ended
}

// Mesh are a node's links. Frames are of one type, gob-friendly.
type Mesh[F any] struct {
	addr          string
	host          Host[F]
	turn          func(func())
	listener      net.Listener
	mu            sync.Mutex
	links         map[string]*link[F]
	incoming      map[net.Conn]*incoming  // what frames come on
	lastArrival   uint64                  // place of the last of them
	inbound       map[string]net.Conn     // the newest link of each node
	incarnations  map[string]uint64       // and its life
	newestStreams map[string]stream       // and which one it is
	streamSeq     uint64                  // of the last stream that this node began
	offers        map[string]*offeredLink // links of other nodes that may be written to as well
	incarnation   uint64
	offersLinks   bool
	stopped       bool
	goroutines    sync.WaitGroup
}

// New listens at an inner address, which is this node's name among the links; life is another one at each start. turn runs
// something as the one owner.
func New[F any](me string, life uint64, host Host[F], turn func(func())) (*Mesh[F], error) {
	ln, err := (&net.ListenConfig{KeepAlive: -1}).Listen(context.Background(), "tcp", me)
	if err != nil {
		return nil, errors.Wrap(err, "transport")
	}
	return &Mesh[F]{addr: me, host: host, turn: turn, listener: ln, links: map[string]*link[F]{}, incoming: map[net.Conn]*incoming{},
		inbound: map[string]net.Conn{}, incarnations: map[string]uint64{}, newestStreams: map[string]stream{}, offers: map[string]*offeredLink{}, incarnation: life}, nil
}

// Start takes links of others.
func (m *Mesh[F]) Start() { m.goroutines.Go(m.accept) }

// Addr is where frames come in.
func (m *Mesh[F]) Addr() string { return m.listener.Addr().String() }

func (f *frameLimiter) Read(p []byte) (int, error) {
	if f.remaining <= 0 {
		return 0, errors.New("frame too long")
	}
	n, err := f.reader.Read(p[:min(len(p), f.remaining)])
	f.remaining -= n
	return n, err
}

// Connect keeps a link to a node from now on.
func (m *Mesh[F]) Connect(to string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.links[to] != nil || to == m.addr || m.stopped {
		return
	}
	ctx, stop := context.WithCancel(context.Background())
	l := &link[F]{target: to, queue: newQueue[F](), stop: stop}
	m.links[to] = l
	m.goroutines.Go(func() { m.runWriter(ctx, l) })
}

// Disconnect keeps it no longer.
func (m *Mesh[F]) Disconnect(to string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if l := m.links[to]; l != nil {
		l.stop()
		delete(m.links, to)
	}
}

// Send gives a frame to a node's link; it tells whether the frame is on its way. A full queue drops it.
func (m *Mesh[F]) Send(to string, f *F) bool {
	m.mu.Lock()
	l := m.links[to]
	m.mu.Unlock()
	return l != nil && l.queue.put(f)
}

// Stop ends all links, and returns when nothing more is told. It is not for a turn.
func (m *Mesh[F]) Stop() {
	m.mu.Lock()
	m.stopped = true
	m.listener.Close()
	for _, l := range m.links {
		l.stop()
	}
	for c := range m.incoming {
		c.Close()
	}
	m.mu.Unlock()
	m.goroutines.Wait()
}
