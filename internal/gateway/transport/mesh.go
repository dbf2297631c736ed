package transport

import (
	"context"
	"net"
	"sync"

	"github.com/go-faster/errors"
)

// Host receives the events of the links, each in a separate turn.
type Host[F any] interface {
	// PeerConnected reports that a node began a new stream. Frames of its previous stream may be lost.
	PeerConnected(from string)
	// FrameReceived reports a frame. from is the address at which the sender accepts connections.
	FrameReceived(from string, f *F)
	// LinkUp reports that a link is up. All frames that were sent to it before are lost.
	LinkUp(to string)
	// LinkDown reports that a link has ended. The link is dialed again as long as it is wanted.
	LinkDown(to string)
}

// Mesh holds a node's links to all other nodes. Its methods may be called from any goroutine, unless their comments say
// otherwise.
type Mesh[F any] struct {
	addr        string
	incarnation uint64
	host        Host[F]
	turn        func(func())
	listener    net.Listener
	offersLinks bool           // set before the first Connect
	goroutines  sync.WaitGroup // the goroutines that Stop waits for

	mu          sync.Mutex // guards the fields below
	stopped     bool
	links       map[string]*link[F]        // wanted links, by target address
	incoming    map[net.Conn]*incomingConn // connections that carry inbound frames
	lastArrival uint64                     // arrival number of the newest incoming connection
	streamSeq   uint64                     // sequence number of the last stream that this node began
	offers      map[string]*offeredLink    // by address of the offering node

	// Properties of the newest stream of each sender, by address of the sender.
	inbound       map[string]net.Conn
	incarnations  map[string]uint64
	newestStreams map[string]streamOrder
}

// New creates a mesh that listens at addr, the inner address by which the other nodes know this node. incarnation must differ
// between any two starts of a node. turn runs a function in a turn, which means with exclusive access to the state of the host,
// and returns when the function has returned. New returns an error if it cannot listen at addr.
func New[F any](addr string, incarnation uint64, host Host[F], turn func(func())) (*Mesh[F], error) {
	listener, err := (&net.ListenConfig{KeepAlive: -1}).Listen(context.Background(), "tcp", addr)
	if err != nil {
		return nil, errors.Wrap(err, "listen for connections of other nodes")
	}
	return &Mesh[F]{addr: addr, incarnation: incarnation, host: host, turn: turn, listener: listener,
		links: map[string]*link[F]{}, incoming: map[net.Conn]*incomingConn{}, offers: map[string]*offeredLink{},
		inbound: map[string]net.Conn{}, incarnations: map[string]uint64{}, newestStreams: map[string]streamOrder{}}, nil
}

// Start begins to accept connections of other nodes.
func (m *Mesh[F]) Start() { m.goroutines.Go(m.accept) }

// Addr returns the address at which the mesh listens.
func (m *Mesh[F]) Addr() string { return m.listener.Addr().String() }

// Connect makes the link to a node wanted: the mesh dials it until it is up, and again when it ends. A call with the address of
// this node has no effect.
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

// Disconnect ends the link to a node and does not dial it again.
func (m *Mesh[F]) Disconnect(to string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if l := m.links[to]; l != nil {
		l.stop()
		delete(m.links, to)
	}
}

// Send queues a frame for a node. It returns true if the link to the node is wanted, whether up or down, and its queue has
// room. Otherwise it drops the frame and returns false. The frame and everything that it points to must not be changed after
// the call.
func (m *Mesh[F]) Send(to string, f *F) bool {
	m.mu.Lock()
	l := m.links[to]
	m.mu.Unlock()
	return l != nil && l.queue.put(f)
}

// Stop ends all links and returns when the host receives no more events. It must not be called in a turn, because it waits for
// the turns that are in progress.
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
