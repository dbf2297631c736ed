package membership

// Slot is a node's number, which the core's log assigns once. The owners of quotas and of backends are chosen by hashing over
// slots.
type Slot int

// NoSlot is the slot of a node to which no slot has been assigned yet.
const NoSlot Slot = -1

// DiskID identifies a node's disk. 0 means that the node has no disk. A wiped disk gets a new ID.
type DiskID uint64

// Node is a node's description of itself.
type Node struct {
	Name         string
	Addr         string // where the node accepts links: IP and first inner port
	ControlAddr  string // where the node accepts control calls
	Zone         string
	Disk         DiskID
	FirstStart   bool   // the node was started as part of the first start of the whole deployment
	Incarnation  uint64 // drawn at random at each start of the process
	Bootstrapped bool   // the node's disk holds a state of the core
	Leaving      bool   // the node is shutting down
	ClusterID    uint64 // ID of the cluster whose state the node's disk holds; 0 if it holds none
}

// The constants of the 64-bit FNV-1a hash.
const (
	fnvOffset = 0xcbf29ce484222325
	fnvPrime  = 0x100000001b3
)

// fingerprint returns a hash (FNV-1a over 64-bit words) that distinguishes descriptions of a node by the fields that other nodes
// act on. The hash is never 0. It must be cheap, because it is computed for each peer several times a second.
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

// Hello is the message that nodes send each other when a link comes up and when their description of themselves changes.
type Hello struct {
	Node          Node     // the sender
	KnownAddrs    []string // addresses of nodes of which the receiver may not know
	ClusterExists bool     // a node from which the sender has a hello holds a state of the core
	ChunkedCalls  bool     // the sender accepts large calls in several chunks
	// Acknowledged is the fingerprint of the receiver's description as the sender knows it. 0 means that the sender knows none.
	Acknowledged uint64
}

// Founder is a node whose disk is among the first members of the core. The core's log stores these fields under their names here.
type Founder struct {
	Disk DiskID
	Addr string
}

// SlotHolder describes a node that has a slot, as recorded in the core's log. The log and its snapshots store these fields under
// their names here.
type SlotHolder struct{ Name, Addr, Control, Zone string }
