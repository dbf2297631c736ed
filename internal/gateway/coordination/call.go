package coordination

import (
	"time"

	"clovergap/internal/gateway/groups"
)

// Operation is the kind of a call. The numbers of the operations are sent between nodes and stored in the log, so these numbers must not
// change.
type Operation uint8

// The operations. Each comment begins with the operation's path in api/control.yaml.
const (
	LockAcquire Operation = 1 // Locks.Begin: grants a free lock, or extends the lease of its holder
	LockRenew   Operation = 2 // Locks.Heartbeat: extends the holder's lease
	LockRelease Operation = 3 // Locks.Finish: releases a lock
	NumberNext  Operation = 4 // numbers: returns the next number under a name
	KeyPut      Operation = 5 // Cells.Replace: stores a key's value
	KeyRead     Operation = 6 // Cells.Read: returns a key's value and revision
	KeyWatch    Operation = 7 // watch: waits for puts in a key group
	LockRead    Operation = 8 // Locks.Read: returns the holder of a lock, for operators
	LockList    Operation = 9 // Locks.List: returns the held locks of a group, for operators
)

// operationNames holds the names of the operations in the counters of Groups.List. Operators' tools match these names. The names differ
// from those of the constants: LockAcquire, LockRenew and LockRelease are called begin, heartbeat and finish outside of this program, and
// KeyPut is called replace.
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

// String returns the operation's name in the control API, or "?" for an unknown operation.
func (o Operation) String() string {
	if int(o) < len(operationNames) {
		return operationNames[o]
	}
	return operationNames[0]
}

// Call is one call of an application. Only the fields that the call's operation uses are sent and stored.
type Call struct {
	Operation Operation
	// Name is the name of the lock, counter or key. For KeyWatch it is the name of a key group, which is the common beginning of its keys'
	// names up to and including the first dot, such as "config." for the key "config.limit".
	Name             string
	Holder           string        // lock operations: who acquires, renews or releases the lock
	FencingToken     uint64        // LockRenew and LockRelease: the token that was granted to the holder
	TTL              time.Duration // LockAcquire and LockRenew: the duration of the lease
	Value            string        // KeyPut: the new value
	Conditional      bool          // KeyPut: the put succeeds only if the key's revision is ExpectedRevision
	ExpectedRevision uint64        // KeyPut with Conditional: 0 means that the key must never have been put
	// KeyWatch waits for events with a higher revision than this one. With 0 it only returns the current revision.
	AfterRevision uint64
	Timeout       time.Duration // KeyWatch: the longest time to wait for an event
	Group         groups.ID     // LockList: the group whose locks are listed
}

// GroupID returns the ID of the group that orders the call.
func (c *Call) GroupID() groups.ID {
	switch c.Operation {
	case KeyPut, KeyRead, KeyWatch:
		return groups.GroupOf(groups.KeyGroup(c.Name))
	case LockList:
		return c.Group
	}
	return groups.GroupOf(c.Name)
}

// isReadOnly reports whether the call changes no state. A read-only call never ends with StatusAmbiguous.
func (c *Call) isReadOnly() bool {
	switch c.Operation {
	case KeyRead, KeyWatch, LockRead, LockList:
		return true
	}
	return false
}

// Status is the outcome of a call. The numbers of the statuses are sent between nodes, so these numbers must not change.
type Status uint8

// The statuses and their guarantees. Package controlapi maps them to HTTP status codes.
const (
	StatusOK           Status = iota // the call succeeded
	StatusLockHeld                   // another caller may hold the lock
	StatusLockLost                   // this holder never held the lock, or no longer holds it
	StatusConflict                   // the key has another revision; the call has no effect, now or later
	StatusNotFound                   // the key has no value
	StatusCompacted                  // the watch starts before the oldest event that is kept
	StatusLimitReached               // a table is full; the call has no effect, now or later
	StatusUnavailable                // no leader could be reached; the call has no effect, now or later
	StatusAmbiguous                  // the call may have taken effect, or may still take effect
)

// statusNames holds the error texts of the control API.
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

// String returns the status's name in the control API.
func (s Status) String() string { return statusNames[s] }

// Result is the answer to a call. The call's operation determines which fields are set.
type Result struct {
	Status       Status
	FencingToken uint64     // LockAcquire: the token that is granted to the holder
	Number       uint64     // NumberNext: the next number
	Revision     uint64     // KeyPut and KeyRead: the key's revision; KeyWatch: the revision from which the next watch resumes
	Value        string     // KeyRead: the key's value
	Events       []Event    // KeyWatch: events in ascending order of revision
	Locks        []LockInfo // LockRead and LockList: held locks, sorted by name
}

// Event records one put of a key.
type Event struct {
	Name     string
	Value    string
	Revision uint64
}

// LockInfo describes a held lock to operators.
type LockInfo struct {
	Name         string
	Holder       string
	FencingToken uint64
	TimeLeft     time.Duration // time until the lease expires, in log time
}

// CallID identifies a forwarded call and is the same in all attempts of the call. CallID consists of the incarnation of the node that
// received the call from the application, and of the call's sequence number at that node.
type CallID struct {
	Incarnation uint64
	Sequence    uint32
}
