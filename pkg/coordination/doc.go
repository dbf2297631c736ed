// Package coordination is the Go client of the gateway's coordination calls: locks with leases, elections, numbers, small keys and
// watches.
//
// # Terms
//
//   - Lease: the time for which a lock is held. A Session renews it, and ends by itself before the lock becomes free for others.
//   - Fence, the fencing token: a number above those of all former holders. What is written under the lock carries it, so that the
//     store that it is written to can reject a former holder.
//   - Key group: the keys with the same name up to the first dot, with the dot. Revisions count the puts in a key group, and a watch
//     is of a key group.
//
// # Guarantees
//
// Each call is sent to one node after the other until one answers, or the context ends. A node has one second for it. Calls may
// therefore arrive twice, which is harmless: a lock's holder may ask again, a number is skipped, and a put is recognized by its key and
// value. Put a value only once to a key: the same value again is taken for the same put.
//
// Errors are distinguished by errors.Is and errors.As. ErrUnavailable promises that the call had no effect and never
// will. ErrUnclear means that it may have had one, or still may.
//
// A Client may be used by several goroutines at once.
package coordination
