package node

import (
	"net/netip"
	"time"

	"clovergap/control"
	"clovergap/internal/gateway/registry"
	"clovergap/internal/gateway/replication"
	"clovergap/internal/gateway/transport"
	"clovergap/internal/proxy/counters"
	"clovergap/internal/proxy/downstream"
	"clovergap/internal/proxy/eventloop"
	"clovergap/internal/proxy/gate"
	"clovergap/internal/proxy/slots"
)

// Environment is everything outside of a node: time, links, disk, clients and backends. New gives a node sockets, a clock and a disk; a
// simulation gives it simulated ones, and no part of the node knows the difference.
type Environment interface {
	EventLoop
	// Identity differs between two incarnations of a node: the seed of all chance, and the incarnation's number.
	Identity() (seed int64, incarnation uint64)
	// Counters are counted on by all parts.
	Counters() *counters.Set
	// Links to other nodes call the host for what comes, each time in a turn.
	Links(host transport.Host[Frame]) (Links, error)
	// Disk is called once, at a node that has one; it gives what the disk holds of the configuration's log.
	Disk() (Disk, replication.PersistentState, error)
	// DataPath is called once, when the gate is there.
	DataPath(n *Node, g *gate.Gate) (DataPath, error)
}

// EventLoop is a node's time and order: everything runs in a turn, one at a time, and at the end of each turn the node hands out what its
// parts decided.
type EventLoop interface {
	// Now is the steady time of the turn. It stands within a turn.
	Now() time.Duration
	// Refresh brings Now up to the time within a turn.
	Refresh()
	// At has an alarm called in a turn of its own, at a time or soon after, if the alarm still wants it by then.
	At(at time.Duration, to eventloop.Alarm, ref uint32)
	// Turn runs something in a turn, for callers that are in none.
	Turn(func())
	// OnTurnEnd sets what runs at the end of each turn.
	OnTurnEnd(func())
}

// Links carry frames to other nodes. What is sent may be lost, never doubled or changed; between two nodes it keeps its order as long as
// the link stands.
type Links interface {
	// Connect keeps a link to a node from now on, Disconnect keeps it no longer.
	Connect(to string)
	Disconnect(to string)
	// Send reports whether the frame is on its way. It may be lost all the same.
	Send(to string, f *Frame) bool
	// Check asserts the invariants of the links; it is called each second.
	Check()
}

// Disk keeps what a member must not forget.
type Disk interface {
	// Write stores a batch in the background, one call at a time. done is called in a turn, once the logs and departures of the batch are
	// synced. A write that fails is repeated until then. The soft state is stored after them, and is dropped if that fails.
	Write(batch DiskBatch, done func())
	// SoftState returns the encoded backends of the last soft state that was stored, or nil if there is none.
	SoftState() []byte
	// Departures returns the departures of backends that the disk held when it was opened.
	Departures() []registry.Departure
	// GroupLogs are what the disk held of the coordination groups when it was opened.
	GroupLogs() map[replication.LogID]replication.PersistentState
}

// DiskBatch is what a disk stores at once. The logs and the departures are stored in one transaction.
type DiskBatch struct {
	Logs       []replication.LogWrite
	Departures []registry.Departure
	SoftState  *SoftState // nil: nothing new
}

// SoftState is the state of the registry that a node uses after a start. It may be out of date or lost.
type SoftState struct {
	Backends []byte // encoded: see encodeBackends
	// Ids of the backends whose departures stay on the disk. The disk removes all other departures once Backends is stored.
	DepartingIDs []string
}

// DataPath is what carries requests, and the datagrams of the quota.
type DataPath struct {
	Dispatcher Dispatcher
	Datagrams  Datagrams
	Frontend   Frontend
}

// Dispatcher sends requests to backends.
type Dispatcher interface {
	gate.Sender
	// SetBackend sets where a backend is, when it started, and whether requests may go there.
	SetBackend(id control.BackendID, addr string, started time.Duration, ready bool)
	// SetMaxConns bounds the connections to a backend.
	SetMaxConns(id control.BackendID, conns int)
}

// Datagrams carry the quota's datagrams between nodes.
type Datagrams interface {
	gate.DatagramSender
	// SetPeers gives the addresses by slot, and this node's slot.
	SetPeers(addrs []netip.AddrPort, self int)
}

// Frontend is where clients come in.
type Frontend interface {
	// SetBounds sets the bounds of requests that come from now on.
	SetBounds(downstream.Bounds)
	// Clients is the number of connections.
	Clients() int
	// CallsInFlight is the number of control calls that are not answered, or whose answer is not written.
	CallsInFlight() int
	// Drain closes connections between requests or control calls, StopListening takes none any more.
	Drain()
	StopListening()
	// User is who sent a request, and its tenant: see ingress.Handler.
	User(who, txn slots.Ref) (user []byte, tenant string)
}
