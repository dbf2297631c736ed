package node

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/go-faster/errors"

	"clovergap/control"
	"clovergap/internal/gateway/controlapi"
	"clovergap/internal/gateway/ingress"
	"clovergap/internal/gateway/logstore"
	"clovergap/internal/gateway/replication"
	"clovergap/internal/gateway/routing"
	"clovergap/internal/gateway/transport"
	"clovergap/internal/proxy/counters"
	"clovergap/internal/proxy/downstream"
	"clovergap/internal/proxy/eventloop"
	"clovergap/internal/proxy/gate"
	"clovergap/internal/proxy/peers"
	"clovergap/internal/proxy/slots"
	"clovergap/internal/proxy/upstream"
)

// Environment is what a node stands on. New gives it sockets, a clock and a disk; a simulation gives it simulated ones. No part of a
// node knows the difference.
type Environment interface {
	EventLoop
	// Identity are what differs between two lives: the seed of all chance, and the life's name.
	Identity() (seed int64, life uint64)
	Counters() *counters.Set
	// Links to other nodes tell the host what comes, each in a turn.
	Links(host transport.Host[Frame]) (Links, error)
	// Disk is called for a node with one, and gives what it holds.
	Disk() (Disk, replication.PersistentState, error)
	// DataPath is the way of requests and of datagrams, once the gate is there.
	DataPath(h *Node, g *gate.Gate) (DataPath, error)
}

// EventLoop is a node's time. Whatever happens takes its turn; at the end of each the parts are pulled.
type EventLoop interface {
	Now() time.Duration
	Refresh()                  // brings Now up to the time within a turn
	InputDelay() time.Duration // how long what is read now may have lain unread
	At(at time.Duration, to eventloop.Alarm, ref uint32)
	Turn(func())
	OnTurnEnd(func())
}

// Links carry frames to other nodes; what is sent may be lost.
type Links interface {
	Connect(to string)
	Disconnect(to string)
	Send(to string, f *Frame) bool
	Check() // each second: asserts what must hold of them
}

// Disk keeps what the core must not forget. Writes go on apart from the turns, one at a time; done is called in a turn, once
// all of them are synced. A note that can't be kept is let go.
type Disk interface {
	Write(writes []replication.LogWrite, note []byte, done func())
	SoftState() []byte
	GroupLogs() map[replication.LogID]replication.PersistentState // what it held of the coordination groups
}

// DataPath is what carries requests and datagrams.
type DataPath struct {
	Dispatcher Dispatcher
	Datagrams  Datagrams
	Frontend   Frontend
}

// Dispatcher lead to backends.
type Dispatcher interface {
	gate.Sender
	SetBackend(id control.BackendID, addr string, started time.Duration, ready bool)
	SetMaxConns(id control.BackendID, conns int)
}

// Datagrams are datagrams between slots.
type Datagrams interface {
	gate.Teller
	SetPeers(addrs []netip.AddrPort, me int)
}

// Frontend is where clients come in.
type Frontend interface {
	SetBounds(downstream.Bounds)
	Clients() int
	Drain()         // connections close between requests
	StopListening() // and none is taken
	// User names whoever a request is of, and its tenant: see ingress.Handler.
	User(who, txn slots.Ref) (user []byte, tenant string)
}

// sockets are the real base.
type sockets struct {
	*eventloop.Engine
	node        *Node
	seed        int64
	incarnation uint64
	maxFDs      int
	mesh        *transport.Mesh[Frame]
	disk        *diskWriter
	peers       *peers.Peers
	dispatcher  *upstream.Dispatch
	frontend    *downstream.Server
	control     *downstream.Server
	readiness   *downstream.Server // the platform, asking whether this node is ready
}

func newSockets(fds, memory int) *sockets {
	s := &sockets{Engine: eventloop.New("", fds-minLinkFDs, maxConnBufferBytes, memory<<20/inboundMemoryDivisor), maxFDs: fds,
		seed: int64(rand.Uint64() >> 1), incarnation: rand.Uint64()}
	s.Engine.Silence(unackedTimeout)
	return s
}

func (s *sockets) Identity() (int64, uint64) { return s.seed, s.incarnation }
func (s *sockets) Counters() *counters.Set   { return s.Engine.Count }

func (s *sockets) Links(host transport.Host[Frame]) (_ Links, err error) {
	if s.mesh, err = transport.New[Frame](s.node.peerAddr, s.incarnation, host, s.Turn); err != nil {
		return nil, err
	}
	if s.node.settings.DataDir == "" { // all of these link to all that have a disk
		s.mesh.OfferLinks()
	}
	return s.mesh, nil
}

// Descriptors that links between nodes are left. A node with a disk has a link to each of the others, the rest have few.
const (
	minLinkFDs          = 200
	spareLinkFDs        = 100 // for links that are dialed anew before their former ones have ended
	minServingFDDivisor = 4   // of all are for requests and calls in any case
)

// reserveLinkFDs leaves descriptors for the links of a deployment of so many nodes.
func (s *sockets) reserveLinkFDs(nodes int) {
	links := minLinkFDs
	if s.disk != nil {
		links = max(links, nodes+spareLinkFDs)
	}
	s.Engine.Descriptors(max(s.maxFDs-links, s.maxFDs/minServingFDDivisor))
}

// Disk reads the disk. One that can't be read counts as lost: it is emptied, and let in anew by the others.
func (s *sockets) Disk() (Disk, replication.PersistentState, error) {
	dir := s.node.settings.DataDir
	book, kept, err := logstore.Open(dir)
	if torn := (*logstore.CorruptError)(nil); errors.As(err, &torn) {
		s.node.warn(corePart, "disk can't be read, begins empty: %v", err)
		if err = logstore.Wipe(dir); err != nil {
			return nil, kept, err
		}
		book, kept, err = logstore.Open(dir)
	}
	if err != nil {
		return nil, kept, err
	}
	if !book.Created() {
		s.node.warn(corePart, "disk is full at its first start: has no vote until it takes writes")
	}
	if err := book.RenameError(); err != nil {
		s.node.warn(corePart, "disk's file keeps its former name: %v", err)
	}
	s.disk = &diskWriter{node: s.node, store: book, writes: make(chan diskBatch, 1)}
	go s.disk.run()
	return s.disk, kept, nil
}

// diskWriter is a real one, with a goroutine of its own: a slow disk must hold up nothing else.
type diskWriter struct {
	node   *Node
	store  *logstore.Store
	writes chan diskBatch
}

// diskBatch is what goes to the disk at once.
type diskBatch struct {
	writes    []replication.LogWrite
	softState []byte
	done      func()
}

func (d *diskWriter) Write(writes []replication.LogWrite, note []byte, done func()) {
	d.writes <- diskBatch{writes, note, done}
}
func (d *diskWriter) SoftState() []byte { return d.store.SoftState() }
func (d *diskWriter) GroupLogs() map[replication.LogID]replication.PersistentState {
	return d.store.GroupLogs()
}

func (d *diskWriter) run() {
	for b := range d.writes {
		for wait := 20 * time.Millisecond; ; wait = min(2*wait, time.Second) {
			err := d.store.Write(b.writes)
			if err == nil {
				break
			}
			d.node.loop.Turn(func() { d.node.warn(corePart, "write failed, goes again: %v", err) })
			time.Sleep(wait)
		}
		if b.softState != nil {
			if err := d.store.SaveSoftState(b.softState); err != nil {
				d.node.loop.Turn(func() { d.node.warn(corePart, "registry not kept: %v", err) })
			}
		}
		d.node.loop.Turn(b.done)
	}
}

func (s *sockets) DataPath(h *Node, g *gate.Gate) (p DataPath, err error) {
	s.dispatcher = upstream.New(s.Engine, &outcomeTap{g, h}, ingress.Terms(h, dialTimeout), func() bool { return s.frontend.Evict() })
	bounds := ingress.Bounds(ingress.Limits{Head: routing.DefaultMostHeader, Body: routing.DefaultMostBody,
		HeadIn: routing.DefaultHeaderTimeout, Idle: routing.DefaultIdleTimeout})
	s.frontend = downstream.New(s.Engine, max(1, (s.maxFDs-minLinkFDs)/clientFDDivisor), bounds, func() bool { return s.dispatcher.Evict(nil) })
	form := ingress.New(s.frontend, s.Engine, g, h)
	s.control = downstream.New(s.Engine, maxControlConns, downstream.Bounds{Body: maxControlBodyBytes}, func() bool { return s.frontend.Evict() })
	s.control.Serves(controlapi.New(s.control, h))
	s.readiness = downstream.New(s.Engine, 64, downstream.Bounds{}, func() bool { return s.frontend.Evict() })
	s.readiness.Serves(controlapi.New(s.readiness, h))
	datagram := h.datagramAddr(h.peerAddr)
	if s.peers, err = peers.New(s.Engine, datagram.String(), []netip.AddrPort{datagram}, 0, h.ReceiveDatagram); err != nil {
		return p, err
	}
	s.Short(func() {
		if !s.dispatcher.Evict(nil) {
			s.frontend.Evict()
		}
	})
	for _, l := range []struct {
		addr string
		to   func(*eventloop.Link)
	}{{h.settings.Bind.Front, s.frontend.Accept}, {h.settings.Bind.Readiness, s.readiness.Accept}, {h.settings.Bind.Control, s.control.Accept}} {
		if l.addr != "" {
			if err := s.Listen(l.addr, l.to); err != nil {
				return p, err
			}
		}
	}
	return DataPath{s.dispatcher, s.peers, frontendServer{s.frontend, form, s.Engine}}, nil
}

// frontendServer is where clients come in, all of the node's listening with it.
type frontendServer struct {
	*downstream.Server
	handler *ingress.Handler
	loop    *eventloop.Engine
}

func (f frontendServer) User(who, txn slots.Ref) ([]byte, string) { return f.handler.User(who, txn) }

func (f frontendServer) StopListening() { f.loop.StopListening() }
