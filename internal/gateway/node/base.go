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

// Base is what a node stands on. New gives it sockets, a clock and a disk; a simulation gives it simulated ones. No part of a
// node knows the difference.
type Base interface {
	Turns
	// Draws are what differs between two lives: the seed of all chance, and the life's name.
	Draws() (seed int64, life uint64)
	Counters() *counters.Set
	// Links to other nodes tell the host what comes, each in a turn.
	Links(host transport.Host[Frame]) (Links, error)
	// Disk is called for a node with one, and gives what it holds.
	Disk() (Disk, replication.PersistentState, error)
	// Path is the way of requests and of datagrams, once the gate is there.
	Path(h *Node, g *gate.Gate) (Path, error)
}

// Turns is a node's time. Whatever happens takes its turn; at the end of each the parts are pulled.
type Turns interface {
	Now() time.Duration
	Refresh()              // brings Now up to the time within a turn
	Waited() time.Duration // how long what is read now may have lain unread
	At(at time.Duration, to eventloop.Alarm, ref uint32)
	Turn(func())
	Settled(func())
}

// Links carry frames to other nodes; what is sent may be lost.
type Links interface {
	Want(to string)
	Leave(to string)
	Send(to string, f *Frame) bool
	Check() // each second: asserts what must hold of them
}

// Disk keeps what the core must not forget. Writes go on apart from the turns, one at a time; done is called in a turn, once
// all of them are synced. A note that can't be kept is let go.
type Disk interface {
	Write(writes []replication.LogWrite, note []byte, done func())
	Noted() []byte
	Groups() map[replication.LogID]replication.PersistentState // what it held of the coordination groups
}

// Path is what carries requests and datagrams.
type Path struct {
	Ways      Ways
	Datagrams Datagrams
	Front     Front
}

// Ways lead to backends.
type Ways interface {
	gate.Sender
	At(id control.BackendID, addr string, started time.Duration, ready bool)
	Most(id control.BackendID, conns int)
}

// Datagrams are datagrams between slots.
type Datagrams interface {
	gate.Teller
	Move(addrs []netip.AddrPort, me int)
}

// Front is where clients come in.
type Front interface {
	Bound(downstream.Bounds)
	Clients() int
	Drain()  // connections close between requests
	Deafen() // and none is taken
	// User names whoever a request is of, and its tenant: see ingress.Handler.
	User(who, txn slots.Ref) (user []byte, tenant string)
}

// sockets are the real base.
type sockets struct {
	*eventloop.Engine
	h        *Node
	seed     int64
	life     uint64
	fds      int
	mesh     *transport.Mesh[Frame]
	disk     *disk
	peers    *peers.Peers
	dispatch *upstream.Dispatch
	front    *downstream.Server
	callers  *downstream.Server
	askers   *downstream.Server // the platform, asking whether this node is ready
}

func newSockets(fds, memory int) *sockets {
	s := &sockets{Engine: eventloop.New("", fds-linksLeast, ringBound, memory<<20/ringShare), fds: fds,
		seed: int64(rand.Uint64() >> 1), life: rand.Uint64()}
	s.Engine.Silence(silence)
	return s
}

func (s *sockets) Draws() (int64, uint64)  { return s.seed, s.life }
func (s *sockets) Counters() *counters.Set { return s.Engine.Count }

func (s *sockets) Links(host transport.Host[Frame]) (_ Links, err error) {
	if s.mesh, err = transport.New[Frame](s.h.inner, s.life, host, s.Turn); err != nil {
		return nil, err
	}
	if s.h.settings.DataDir == "" { // all of these link to all that have a disk
		s.mesh.Offer()
	}
	return s.mesh, nil
}

// Descriptors that links between nodes are left. A node with a disk has a link to each of the others, the rest have few.
const (
	linksLeast = 200
	linksSpare = 100 // for links that are dialed anew before their former ones have ended
	leastShare = 4   // of all are for requests and calls in any case
)

// leaveLinks leaves descriptors for the links of a deployment of so many nodes.
func (s *sockets) leaveLinks(nodes int) {
	links := linksLeast
	if s.disk != nil {
		links = max(links, nodes+linksSpare)
	}
	s.Engine.Descriptors(max(s.fds-links, s.fds/leastShare))
}

// Disk reads the disk. One that can't be read counts as lost: it is emptied, and let in anew by the others.
func (s *sockets) Disk() (Disk, replication.PersistentState, error) {
	dir := s.h.settings.DataDir
	book, kept, err := logstore.Open(dir)
	if torn := (*logstore.CorruptError)(nil); errors.As(err, &torn) {
		s.h.warn(corePart, "disk can't be read, begins empty: %v", err)
		if err = logstore.Wipe(dir); err != nil {
			return nil, kept, err
		}
		book, kept, err = logstore.Open(dir)
	}
	if err != nil {
		return nil, kept, err
	}
	if !book.Created() {
		s.h.warn(corePart, "disk is full at its first start: has no vote until it takes writes")
	}
	s.disk = &disk{h: s.h, store: book, writes: make(chan batch, 1)}
	go s.disk.run()
	return s.disk, kept, nil
}

// disk is a real one, with a goroutine of its own: a slow disk must hold up nothing else.
type disk struct {
	h      *Node
	store  *logstore.Store
	writes chan batch
}

// batch is what goes to the disk at once.
type batch struct {
	writes []replication.LogWrite
	note   []byte
	done   func()
}

func (d *disk) Write(writes []replication.LogWrite, note []byte, done func()) {
	d.writes <- batch{writes, note, done}
}
func (d *disk) Noted() []byte                                             { return d.store.SoftState() }
func (d *disk) Groups() map[replication.LogID]replication.PersistentState { return d.store.GroupLogs() }

func (d *disk) run() {
	for b := range d.writes {
		for wait := 20 * time.Millisecond; ; wait = min(2*wait, time.Second) {
			err := d.store.Write(b.writes)
			if err == nil {
				break
			}
			d.h.e.Turn(func() { d.h.warn(corePart, "write failed, goes again: %v", err) })
			time.Sleep(wait)
		}
		if b.note != nil {
			if err := d.store.SaveSoftState(b.note); err != nil {
				d.h.e.Turn(func() { d.h.warn(corePart, "registry not kept: %v", err) })
			}
		}
		d.h.e.Turn(b.done)
	}
}

func (s *sockets) Path(h *Node, g *gate.Gate) (p Path, err error) {
	s.dispatch = upstream.New(s.Engine, &endTap{g, h}, ingress.Terms(h, dialLimit), func() bool { return s.front.Evict() })
	bounds := ingress.Bounds(ingress.Limits{Head: routing.DefaultMostHeader, Body: routing.DefaultMostBody,
		HeadIn: routing.DefaultHeaderTimeout, Idle: routing.DefaultIdleTimeout})
	s.front = downstream.New(s.Engine, max(1, (s.fds-linksLeast)/clientShare), bounds, func() bool { return s.dispatch.Evict(nil) })
	form := ingress.New(s.front, s.Engine, g, h)
	s.callers = downstream.New(s.Engine, callersMost, downstream.Bounds{Body: controlBound}, func() bool { return s.front.Evict() })
	s.callers.Serves(controlapi.New(s.callers, h))
	s.askers = downstream.New(s.Engine, 64, downstream.Bounds{}, func() bool { return s.front.Evict() })
	s.askers.Serves(controlapi.New(s.askers, h))
	datagram := h.datagramAddr(h.inner)
	if s.peers, err = peers.New(s.Engine, datagram.String(), []netip.AddrPort{datagram}, 0, h.DatagramCame); err != nil {
		return p, err
	}
	s.Short(func() {
		if !s.dispatch.Evict(nil) {
			s.front.Evict()
		}
	})
	for _, l := range []struct {
		addr string
		to   func(*eventloop.Link)
	}{{h.settings.Bind.Front, s.front.Accept}, {h.settings.Bind.Readiness, s.askers.Accept}, {h.settings.Bind.Control, s.callers.Accept}} {
		if l.addr != "" {
			if err := s.Listen(l.addr, l.to); err != nil {
				return p, err
			}
		}
	}
	return Path{s.dispatch, s.peers, entrance{s.front, form, s.Engine}}, nil
}

// entrance is where clients come in, all of the node's listening with it.
type entrance struct {
	*downstream.Server
	handler *ingress.Handler
	e       *eventloop.Engine
}

func (e entrance) User(who, txn slots.Ref) ([]byte, string) { return e.handler.User(who, txn) }

func (e entrance) Deafen() { e.e.Deafen() }
