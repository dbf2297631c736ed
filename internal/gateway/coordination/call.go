package coordination

import (
	"time"

	"clovergap/internal/gateway/groups"
)

// Operation is what a call asks for. The numbers are sent between nodes and stored in the log; they must not change.
type Operation uint8

// The operations, with their paths in api/control.yaml.
const (
	LockAcquire Operation = 1 // Locks.Begin: takes a lock, or extends the lease of its holder
	LockRenew   Operation = 2 // Locks.Heartbeat: extends the lease of a lock's holder
	LockRelease Operation = 3 // Locks.Finish: gives a lock back
	NumberNext  Operation = 4 // numbers: the next number of a name
	KeyPut      Operation = 5 // Cells.Replace: puts a key's value
	KeyRead     Operation = 6 // Cells.Read: a key's value and revision
	KeyWatch    Operation = 7 // watch: waits for puts in a key group
	LockRead    Operation = 8 // Locks.Read: who holds a lock, for operators
	LockList    Operation = 9 // Locks.List: the locks of a group, for operators
)

// operationNames are the names in the counters of Groups.List, which operators' tools read.
var operationNames = [...]string{
	0:           "?",
	LockAcquire: "lock begin",
	LockRenew:   "lock heartbeat",
	LockRelease: "lock finish",
	NumberNext:  "number",
	KeyPut:      "key replace",
	KeyRead:     "key read",
	KeyWatch:    "key watch",
	LockRead:    "lock read",
	LockList:    "lock list",
}

// String is the operation's name in the control API.
func (o Operation) String() string {
	if int(o) < len(operationNames) {
		return operationNames[o]
	}
	return operationNames[0]
}

// Call is one call of an application. Only the fields of its operation are sent and stored.
type Call struct {
	Operation        Operation
	Name             string        // of the lock, the counter, the key, or of the key group with its dot
	Holder           string        // of a lock
	FencingToken     uint64        // that the holder was given; of LockRenew and LockRelease
	TTL              time.Duration // the lease; of LockAcquire and LockRenew
	Value            string        // of KeyPut
	Conditional      bool          // of KeyPut: ExpectedRevision must be the key's revision
	ExpectedRevision uint64        // 0: the key must never have been put
	AfterRevision    uint64        // of KeyWatch: events above it; 0: only the current revision is asked for
	Timeout          time.Duration // of KeyWatch
	Group            groups.ID     // of LockList
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

// isReadOnly reports whether a call changes nothing, so that giving it up is never ambiguous.
func (c *Call) isReadOnly() bool {
	switch c.Operation {
	case KeyRead, KeyWatch, LockRead, LockList:
		return true
	}
	return false
}

// Status is how a call ended. The numbers are sent between nodes; they must not change.
type Status uint8

// The statuses, with what they promise. Package controlapi maps them to HTTP status codes.
const (
	StatusOK           Status = iota // the call was done
	StatusLockHeld                   // another caller may hold the lock
	StatusLockLost                   // the lock is not, or no longer, held by this holder
	StatusConflict                   // the key has another revision; no effect, now or later
	StatusNotFound                   // the key has no value
	StatusCompacted                  // the watch begins before the history that is kept
	StatusLimitReached               // a table is full; no effect, now or later
	StatusUnavailable                // no leader could be asked; no effect, now or later
	StatusAmbiguous                  // the call may have taken effect, or may still do so
)

// statusNames are the error texts of the control API.
var statusNames = [...]string{
	StatusOK:           "ok",
	StatusLockHeld:     "held",
	StatusLockLost:     "lost",
	StatusConflict:     "conflict",
	StatusNotFound:     "not found",
	StatusCompacted:    "compacted",
	StatusLimitReached: "full",
	StatusUnavailable:  "unavailable",
	StatusAmbiguous:    "unclear",
}

// String is the status's name in the control API.
func (s Status) String() string { return statusNames[s] }

// Result is the answer to a call. Which fields are set depends on the operation.
type Result struct {
	Status       Status
	FencingToken uint64     // of LockAcquire
	Number       uint64     // of NumberNext
	Revision     uint64     // of the key; of KeyWatch: where the next watch begins
	Value        string     // of KeyRead
	Events       []Event    // of KeyWatch, by rising revision
	Locks        []LockInfo // of LockRead and LockList, by name
}

// Event is one put of a key.
type Event struct {
	Name     string
	Value    string
	Revision uint64
}

// LockInfo is a held lock as operators see it.
type LockInfo struct {
	Name         string
	Holder       string
	FencingToken uint64
	TimeLeft     time.Duration // until its lease expires, in log time
}

// CallID identifies a call that is forwarded, the same in all its attempts: the incarnation of the node that took it, and its sequence
// number there.
type CallID struct {
	Incarnation uint64
	Sequence    uint32
}
