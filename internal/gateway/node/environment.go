package node

import (
	"net/netip"
	"time"

	"clovergap/control"
	"clovergap/internal/gateway/replication"
	"clovergap/internal/gateway/transport"
	"clovergap/internal/proxy/counters"
	"clovergap/internal/proxy/downstream"
	"clovergap/internal/proxy/eventloop"
	"clovergap/internal/proxy/gate"
	"clovergap/internal/proxy/slots"
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
