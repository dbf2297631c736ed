package coordination

import (
	"time"

	"clovergap/internal/gateway/groups"
)

// Operation is what a call asks for. The numbers are on the wire between nodes and in the log.
type Operation uint8

// The operations.
const (
	LockAcquire Operation = 1 // takes a lock, or lengthens the time of its holder
	LockRenew   Operation = 2 // lengthens the time of a lock's holder
	LockRelease Operation = 3 // gives a lock back
	NumberNext  Operation = 4 // the next number of a name
	KeyPut      Operation = 5 // puts a key's value
	KeyRead     Operation = 6
	KeyWatch    Operation = 7 // waits for puts in a group of keys
	LockRead    Operation = 8 // who holds a lock, for operators
	LockList    Operation = 9 // the locks of a group that are held, for operators
)

func (o Operation) String() string {
	names := [...]string{"?", "lock begin", "lock heartbeat", "lock finish", "number", "key replace", "key read", "key watch",
		"lock read", "lock list"}
	if int(o) < len(names) {
		return names[o]
	}
	return names[0]
}

// Call is one call of an application. Which fields count is the operation's affair.
type Call struct {
	Operation        Operation
	Name             string // of the lock, the counter, the key, or of the group of keys
	Holder           string
	FencingToken     uint64
	TTL              time.Duration
	Value            string
	Conditional      bool          // a put is bound to Expected
	ExpectedRevision uint64        // the revision that the key must have; 0: it must never have been put
	AfterRevision    uint64        // the revision after which a watch begins, 0: only the present revision is asked for
	Timeout          time.Duration // of a watch
	Group            groups.ID     // of a LockList
}

// GroupID is the group that orders the call.
func (c *Call) GroupID() groups.ID {
	switch c.Operation {
	case KeyPut, KeyRead, KeyWatch:
		return groups.GroupOf(groups.KeyGroup(c.Name))
	case LockList:
		return c.Group
	}
	return groups.GroupOf(c.Name)
}

// Status tells how a call ended.
type Status uint8

// The statuses. Full and Unavailable promise that the call has not taken effect and never will; so does Conflict.
const (
	StatusOK           Status = iota
	StatusLockHeld            // another may hold the lock
	StatusLockLost            // the lock is not, or no longer, that holder's
	StatusConflict            // the key has another revision
	StatusNotFound            // the key has no value
	StatusCompacted           // the watch begins before what is kept of the history
	StatusLimitReached        // a bound is reached
	StatusUnavailable         // nobody could be asked
	StatusAmbiguous           // it may have taken effect, or may still
)

func (s Status) String() string {
	return [...]string{"ok", "held", "lost", "conflict", "not found", "compacted", "full", "unavailable", "unclear"}[s]
}

// Result is the answer to a call.
type Result struct {
	Status       Status
	FencingToken uint64
	Number       uint64
	Revision     uint64
	Value        string
	Events       []Event
	Locks        []LockInfo
}

// Event is one put of a key.
type Event struct {
	Name     string
	Value    string
	Revision uint64
}

// LockInfo is a lock that is held, as operators see it.
type LockInfo struct {
	Name         string
	Holder       string
	FencingToken uint64
	TimeLeft     time.Duration // until its time has run out
}

// Bounds of what callers may send, and of what is kept. Sizes are of one group.
const (
	MaxNameBytes    = 256 // bytes of a name or of a holder
	MaxValueBytes   = 4 << 10
	MaxTTL          = 10 * time.Minute
	MaxWatchTimeout = 30 * time.Second

	maxLocks              = 4096
	maxNumbers            = 4096
	maxKeyBytes           = 2 << 20 // of keys and their values
	maxHistoryBytes       = 2 << 20 // bytes of history, beyond which it is shorter than it should be
	maxRememberedPuts     = 16384   // that are known again when they are repeated, the newest
	maxEventBytesInResult = 128 << 10
)

// CallID tells calls that are passed on from each other: the life of the node that took the call, and its number there.
type CallID struct {
	Incarnation uint64
	Sequence    uint32
}
