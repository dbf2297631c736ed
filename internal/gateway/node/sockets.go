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
	"clovergap/internal/gateway/transport"
	"clovergap/internal/proxy/counters"
	"clovergap/internal/proxy/downstream"
	"clovergap/internal/proxy/eventloop"
	"clovergap/internal/proxy/gate"
	"clovergap/internal/proxy/peers"
	"clovergap/internal/proxy/slots"
	"clovergap/internal/proxy/upstream"
)

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
		s.node.logWarn(corePart).Err(err).Msg("disk unreadable, begins empty")
		if err = logstore.Wipe(dir); err != nil {
			return nil, kept, err
		}
		book, kept, err = logstore.Open(dir)
	}
	if err != nil {
		return nil, kept, err
	}
	if !book.Created() {
		s.node.logWarn(corePart).Msg("disk full at its first start, no vote until it takes writes")
	}
	if err := book.RenameError(); err != nil {
		s.node.logWarn(corePart).Err(err).Msg("disk file keeps its former name")
	}
	s.disk = &diskWriter{node: s.node, store: book, writes: make(chan diskBatch, 1)}
	go s.disk.run()
	return s.disk, kept, nil
}

func (s *sockets) DataPath(h *Node, g *gate.Gate) (p DataPath, err error) {
	s.dispatcher = upstream.New(s.Engine, &outcomeTap{g, h}, ingress.UpstreamConfig(h, dialTimeout), func() bool { return s.frontend.Evict() })
	bounds := ingress.Bounds(ingress.Limits{MaxHeadBytes: routing.DefaultMaxHeaderBytes, MaxBodyBytes: routing.DefaultMaxBodyBytes,
		HeadTimeout: routing.DefaultHeaderTimeout, IdleTimeout: routing.DefaultIdleTimeout})
	s.frontend = downstream.New(s.Engine, max(1, (s.maxFDs-minLinkFDs)/clientFDDivisor), bounds, func() bool { return s.dispatcher.Evict(nil) })
	form := ingress.New(s.frontend, s.Engine, g, h)
	s.control = downstream.New(s.Engine, maxControlConns, downstream.Bounds{Body: maxControlBodyBytes}, func() bool { return s.frontend.Evict() })
	s.control.Serves(controlapi.New(s.control, h))
	s.readiness = downstream.New(s.Engine, maxReadinessConns, downstream.Bounds{}, func() bool { return s.frontend.Evict() })
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
