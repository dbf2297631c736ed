package transport

import (
	"context"
	"net"
	"sync"

	"github.com/go-faster/errors"
)

// Host is notified of what happens on the links, each event in a turn of its own.
type Host[F any] interface {
	PeerConnected(from string)       // a node began a stream; what it sent on one before may be lost
	FrameReceived(from string, f *F) // from is where the sender takes frames itself
	LinkUp(to string)                // all that was sent before is lost
	LinkDown(to string)              // the link has ended; it is dialed again while it is wanted
}

// Mesh is one node's end of its links to all others. Its methods may be called from any goroutine, except where they say otherwise.
type Mesh[F any] struct {
	addr        string
	incarnation uint64
	host        Host[F]
	turn        func(func())
	listener    net.Listener
	offersLinks bool           // set before the first Connect
	goroutines  sync.WaitGroup // all that Stop waits for

	mu          sync.Mutex // guards what follows
	stopped     bool
	links       map[string]*link[F]     // wanted, by target
	incoming    map[net.Conn]*incoming  // connections that frames come on
	lastArrival uint64                  // of these, by their beginning
	streamSeq   uint64                  // of the last stream that this node began
	offers      map[string]*offeredLink // by who offers

	// By sender, of its newest stream.
	inbound       map[string]net.Conn
	incarnations  map[string]uint64
	newestStreams map[string]stream
}

// New listens at an inner address, by which this node is known to the others. incarnation differs between two starts of a node;
// turn runs a function as the host's one owner, and returns when it has run. An error is that of the listener.
func New[F any](addr string, incarnation uint64, host Host[F], turn func(func())) (*Mesh[F], error) {
	listener, err := (&net.ListenConfig{KeepAlive: -1}).Listen(context.Background(), "tcp", addr)
	if err != nil {
		return nil, errors.Wrap(err, "listen for links of other nodes")
	}
	return &Mesh[F]{addr: addr, incarnation: incarnation, host: host, turn: turn, listener: listener,
		links: map[string]*link[F]{}, incoming: map[net.Conn]*incoming{}, offers: map[string]*offeredLink{},
		inbound: map[string]net.Conn{}, incarnations: map[string]uint64{}, newestStreams: map[string]stream{}}, nil
}

// Start accepts connections of other nodes from now on.
func (m *Mesh[F]) Start() { m.goroutines.Go(m.accept) }

// Addr is the address that the mesh listens at.
func (m *Mesh[F]) Addr() string { return m.listener.Addr().String() }

// Connect keeps a link to a node from now on. One to this node itself is passed over.
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

// Disconnect keeps the link to a node no longer.
func (m *Mesh[F]) Disconnect(to string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if l := m.links[to]; l != nil {
		l.stop()
		delete(m.links, to)
	}
}

// Send queues a frame for a node. It tells whether there is a link to it, up or not, with room in its queue; else the frame is
// dropped. Nobody changes the frame, or what it points to, from now on.
func (m *Mesh[F]) Send(to string, f *F) bool {
	m.mu.Lock()
	l := m.links[to]
	m.mu.Unlock()
	return l != nil && l.queue.put(f)
}

// Stop ends all links, and returns when the host is notified of nothing more. It is not called in a turn: it waits for those that are
// under way.
func (m *Mesh[F]) Stop() {
	m.mu.Lock()
	m.stopped = true
	m.listener.Close()
	for _, l := range m.links {
		l.stop()
	}
	for conn := range m.incoming {
		conn.Close()
	}
	m.mu.Unlock()
	m.goroutines.Wait()
}
