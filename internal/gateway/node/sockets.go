package node

import (
	"math/rand/v2"
	"net/netip"

	"github.com/go-faster/errors"

	"clovergap/internal/gateway/controlapi"
	"clovergap/internal/gateway/ingress"
	"clovergap/internal/gateway/logstore"
	"clovergap/internal/gateway/replication"
	"clovergap/internal/gateway/routing"
	"clovergap/internal/gateway/settings"
	"clovergap/internal/gateway/transport"
	"clovergap/internal/proxy/counters"
	"clovergap/internal/proxy/downstream"
	"clovergap/internal/proxy/eventloop"
	"clovergap/internal/proxy/gate"
	"clovergap/internal/proxy/peers"
	"clovergap/internal/proxy/slots"
	"clovergap/internal/proxy/upstream"
)

// sockets are the Environment of a node in service: an event loop over sockets, links over TCP, and a disk.
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
	s.Engine.SetUserTimeout(unackedTimeout)
	return s
}

// Identity is drawn by chance at each start.
func (s *sockets) Identity() (int64, uint64) { return s.seed, s.incarnation }

// Counters are the event loop's.
func (s *sockets) Counters() *counters.Set { return s.Engine.Count }

// Links listens for other nodes. A node without a disk offers its links, since all of these have one to each node with a disk.
func (s *sockets) Links(host transport.Host[Frame]) (_ Links, err error) {
	if s.mesh, err = transport.New[Frame](s.node.peerAddr, s.incarnation, host, s.Turn); err != nil {
		return nil, err
	}
	if s.node.settings.DataDir == "" {
		s.mesh.OfferLinks()
	}
	return s.mesh, nil
}

// Descriptors that are reserved for links between nodes. A node with a disk has a link to each of the others, the rest have few.
const (
	minLinkFDs          = 200
	spareLinkFDs        = 100 // for links that are dialed anew before their former ones have ended
	minServingFDDivisor = 4   // of all descriptors, for requests and calls in any case
)

// reserveLinkFDs reserves descriptors for the links of a deployment of so many nodes.
func (s *sockets) reserveLinkFDs(nodes int) {
	links := minLinkFDs
	if s.disk != nil {
		links = max(links, nodes+spareLinkFDs)
	}
	s.Engine.SetDescriptors(max(s.maxFDs-links, s.maxFDs/minServingFDDivisor))
}

// Disk opens the disk. One that can't be read counts as lost: it is emptied, and the other members add this node again.
func (s *sockets) Disk() (Disk, replication.PersistentState, error) {
	dir := s.node.settings.DataDir
	store, kept, err := logstore.Open(dir)
	if torn := (*logstore.CorruptError)(nil); errors.As(err, &torn) {
		s.node.logWarn(corePart).Err(err).Msg("disk unreadable, begins empty")
		if err = logstore.Wipe(dir); err != nil {
			return nil, kept, err
		}
		store, kept, err = logstore.Open(dir)
	}
	if err != nil {
		return nil, kept, err
	}
	if !store.HasFile() {
		s.node.logWarn(corePart).Msg("disk full at its first start, no vote until it takes writes")
	}
	if err := store.RenameError(); err != nil {
		s.node.logWarn(corePart).Err(err).Msg("disk file keeps its former name")
	}
	s.disk = &diskWriter{node: s.node, store: store, writes: make(chan diskWrite, 1)}
	go s.disk.run()
	return s.disk, kept, nil
}

// DataPath makes what requests, calls and datagrams go through, and listens for them.
func (s *sockets) DataPath(n *Node, g *gate.Gate) (path DataPath, err error) {
	s.dispatcher = upstream.New(s.Engine, &outcomeTap{g, n}, ingress.UpstreamConfig(n, dialTimeout), func() bool { return s.frontend.Evict() })
	bounds := ingress.DownstreamBounds(ingress.Limits{MaxHeadBytes: routing.DefaultMaxHeaderBytes, MaxBodyBytes: routing.DefaultMaxBodyBytes,
		HeadTimeout: routing.DefaultHeaderTimeout, IdleTimeout: routing.DefaultIdleTimeout})
	s.frontend = downstream.New(s.Engine, max(1, (s.maxFDs-minLinkFDs)/clientFDDivisor), bounds, func() bool { return s.dispatcher.Evict(nil) })
	handler := ingress.New(s.frontend, s.Engine, g, n)
	s.control = downstream.New(s.Engine, maxControlConns, downstream.Bounds{Body: maxControlBodyBytes}, func() bool { return s.frontend.Evict() })
	s.control.SetHandler(controlapi.New(s.control, n))
	s.readiness = downstream.New(s.Engine, maxReadinessConns, downstream.Bounds{}, func() bool { return s.frontend.Evict() })
	s.readiness.SetHandler(controlapi.New(s.readiness, n))
	self := n.datagramAddr(n.peerAddr)
	if s.peers, err = peers.New(s.Engine, self.String(), []netip.AddrPort{self}, 0, n.ReceiveDatagram); err != nil {
		return path, err
	}
	s.OnUnread(n.logUnread)
	s.OnOutOfDescriptors(func() {
		if !s.dispatcher.Evict(nil) {
			s.frontend.Evict()
		}
	})
	return DataPath{s.dispatcher, s.peers, frontendServer{s.frontend, s.control, handler, s.Engine}}, s.listen(&n.settings.Bind)
}

// listen takes connections at the addresses that the settings name.
func (s *sockets) listen(bind *settings.Bind) error {
	for _, l := range []struct {
		addr   string
		accept func(*eventloop.Link)
	}{{bind.Front, s.frontend.Accept}, {bind.Readiness, s.readiness.Accept}, {bind.Control, s.control.Accept}} {
		if l.addr == "" {
			continue
		}
		if err := s.Listen(l.addr, l.accept); err != nil {
			return err
		}
	}
	return nil
}

// frontendServer is where clients come in, all of the node's listening with it.
type frontendServer struct {
	*downstream.Server
	control *downstream.Server
	handler *ingress.Handler
	loop    *eventloop.Engine
}

// Drain closes connections between requests or control calls from now on.
func (f frontendServer) Drain() {
	f.Server.Drain()
	f.control.Drain()
}

// CallsInFlight is the number of control calls that are not answered, or whose answer is not written.
func (f frontendServer) CallsInFlight() int { return f.control.InFlight() }

// User is who sent a request, and its tenant.
func (f frontendServer) User(who, txn slots.Ref) ([]byte, string) { return f.handler.User(who, txn) }

// StopListening closes all listeners of the process.
func (f frontendServer) StopListening() { f.loop.StopListening() }
