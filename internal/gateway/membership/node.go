package membership

// Slot is a node's number. An entry of the configuration log assigns it once. The owners of quotas and of backends are chosen by
// hashing over slots.
type Slot int

// NoSlot is the slot of a node to which no slot has been assigned yet.
const NoSlot Slot = -1

// DiskID identifies a node's disk. 0 means that the node has no disk. A wiped disk gets a new ID.
type DiskID uint64

// Node is a node's description of itself.
type Node struct {
	Name         string
	Addr         string // address at which the node accepts links: its IP address and its first inner port
	ControlAddr  string // address at which the node accepts control calls
	Zone         string
	Disk         DiskID
	FirstStart   bool   // the node was started as part of the first start of the whole deployment
	Incarnation  uint64 // drawn at random at each start of the process
	Bootstrapped bool   // the node's disk holds a state of the core, the replicated group that orders the configuration log
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
	Node       Node     // the sender's description of itself
	KnownAddrs []string // addresses of nodes that the sender knows and that the receiver may not know
	// ClusterExists means that the sender has received a hello from a node whose disk holds a state of the core. The core is the
	// replicated group of nodes that orders the configuration log.
	ClusterExists bool
	ChunkedCalls  bool // the sender accepts large calls in several chunks
	// Acknowledged is the fingerprint of the receiver's description as the sender knows it. 0 means that the sender knows none.
	Acknowledged uint64
}

// Founder is a node whose disk is among the first members of the core, the replicated group that orders the configuration log. That
// log stores the fields under the names that they have here.
type Founder struct {
	Disk DiskID
	Addr string
}

// SlotHolder describes a node that has a slot, as recorded in the configuration log. The log and its snapshots store the fields under
// the names that they have here.
type SlotHolder struct{ Name, Addr, Control, Zone string }
