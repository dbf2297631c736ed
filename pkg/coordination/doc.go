// Package coordination is the Go client for the gateway's coordination calls: locks with leases, leader elections, counters that issue
// increasing numbers, small key-value pairs and watches.
//
// # Terms
//
//   - Lease: the time for which a lock is granted. A Session renews its lease. If the renewals fail, the Session ends before another
//     holder can acquire the lock.
//   - Fence, the fencing token: a number that is higher than the fencing tokens of all former holders of the lock. Each write that the
//     lock protects carries the token, so that the store that receives the write can reject a former holder.
//   - Key group: all keys whose names are the same up to and including the first dot. A revision counts the puts in a key group. A watch
//     reports the puts in one key group.
//
// # Guarantees
//
// The client sends each call to one node after the other until a node answers or the context ends. Each node has one second to answer.
// A call may therefore arrive more than once. The repetition is harmless. The holder of a lock may acquire the lock again. A counter skips a
// number. The gateway recognizes a repeated put by its key and value. Put each value at most once to a key, because the gateway takes a
// second put of the same value for a repetition of the first one.
//
// Use errors.Is and errors.As to tell errors apart. ErrUnavailable guarantees that the call had no effect and will have none later.
// ErrUnclear means that the call may have taken effect or may still take effect.
//
// A Client is safe for concurrent use by several goroutines.
package coordination
