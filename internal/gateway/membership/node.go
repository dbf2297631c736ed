package membership

// Slot is a node's number, given once by the core's log; owners of quotas and of backends are hashed over
// slots.
type Slot int

// NoSlot is the slot of a node that has none yet.
const NoSlot Slot = -1

// DiskID names a node's disk; 0: the node has none. A wiped disk is another one.
type DiskID uint64

// Node is what a node says of itself.
type Node struct {
	Name         string
	Addr         string // where it takes links: IP and first inner port
	ControlAddr  string // where it takes control calls
	Zone         string
	Disk         DiskID
	FirstStart   bool   // this is the first start of the whole deployment
	Incarnation  uint64 // drawn at random at each start
	Bootstrapped bool   // its disk holds a state of the core
	Leaving      bool   // it is shutting down
	ClusterID    uint64 // which bootstrap that state is of; 0: none
}

// The constants of FNV-1a, 64 bits.
const (
	fnvOffset = 0xcbf29ce484222325
	fnvPrime  = 0x100000001b3
)

// fingerprint tells apart two states of a node, by what other nodes go by (FNV-1a by 64-bit words). It is never 0. It is taken of each
// peer several times a second.
func (n *Node) fingerprint() uint64 {
	flags := uint64(0)
	if n.Bootstrapped {
		flags |= 1
	}
	if n.Leaving {
		flags |= 2
	}
	hash := uint64(fnvOffset)
	for _, field := range [...]uint64{n.Incarnation, uint64(n.Disk), n.ClusterID, flags} {
		hash = (hash ^ field) * fnvPrime
		hash ^= hash >> 32
	}
	return max(hash, 1)
}

// Hello is what nodes send each other when a link comes up, and when something of it changes.
type Hello struct {
	Node          Node     // the sender
	KnownAddrs    []string // nodes that the receiver is to know of
	ClusterExists bool     // a node that the sender has met holds a state of the core
	ChunkedCalls  bool     // the sender's program takes large calls in chunks
	Acknowledged  uint64   // fingerprint of the receiver as the sender knows it; 0: it does not
}

// Founder is a node whose disk is among the first members of the core. The core's log stores it with these names.
type Founder struct {
	Disk DiskID
	Addr string
}

// SlotHolder is a node as the core's log gave it a slot. The log and its snapshots store it with these names.
type SlotHolder struct{ Name, Addr, Control, Zone string }
