// Package coordination executes the calls of applications on locks, counters, small key-value pairs and watches. It is similar to the
// lease, kv and watch services of etcd, but distributes locks, counters and keys over several Raft groups.
//
// # Overview
//
// Each name belongs to one replicated group (package groups). State is the state machine of a group. The same entries give the same state
// and the same results at each member. Service runs on every node. A service receives calls, forwards each call to the leader of the call's
// group, and serves the calls of the groups that its own node leads. A call that changes state becomes one entry of the group's log. A read
// is answered from the leader's state after a majority has confirmed the leadership (ReadIndex, Raft §6.4).
//
// # Terms
//
//   - Log time: the time by the clock of a group's log, as a duration. The leader stamps each entry with the current log time. Log time
//     advances at the rate of the leader's monotonic clock and stops while there is no leader, so it never advances faster than real
//     time. Restarts, changes of leader and steps of the wall clock never set log time back.
//   - Lease: the time for which a lock is held after its last acquire or renewal, in log time. The holder measures the lease from the time
//     at which the holder sent the call. The holder therefore stops relying on the lock before the group considers the lock free.
//   - Fencing token: a number that rises with each grant of a lock in a group. A holder sends its token with each write to another
//     system, so that this system can reject the writes of a former holder.
//   - Key group and revision: keys with the same name up to the first dot form a key group. Each put in the group gets the next revision.
//   - Put: a call that stores the value of a key. A conditional put succeeds only if the key has the expected revision.
//   - Event, history and compacted revision: each put is recorded as an event. The history of a key group is the list of the events that are
//     kept. The compacted revision is the revision of the newest event that was removed from the history.
//   - Watch: a call that waits for events of a key group above a revision. A caller may resume from any revision that the caller received
//     within the history retention. A watch that resumes below the compacted revision fails. A watch never skips events.
//   - Parked watch and shared watch: a parked watch waits at the leader of its group for an event. A shared watch combines the watches of one
//     node's callers for the same events. The node polls the leader for a shared watch with one call at a time.
//   - Incarnation: one run of a node's process from start to end, identified by a random number. Call IDs and deadlines refer to an
//     incarnation, because a restarted node starts a new clock and counts calls from 1 again.
//   - Attempt: one delivery of a call to the node that is believed to be the leader. A call may need several attempts. All attempts of a call
//     have the same call ID.
//   - Turn: one run of the node's event loop. The node calls all methods of a service in turns, and therefore from one goroutine at a time.
//
// # Guarantees
//
//   - At any time at most one caller holds a lock according to the caller's own clock, provided that all clocks run at the same rate.
//   - The numbers under a name, the fencing tokens of a group and the revisions of a key group only increase. Reads and watches are
//     linearizable.
//   - Each call ends within callTimeout, and a watch within its own timeout plus callTimeout. StatusConflict, StatusLimitReached and
//     StatusUnavailable mean that the call had no effect and never will have one. StatusAmbiguous means that the call may have had an
//     effect, or may still have one.
//   - A forwarded call that arrives after its deadline has no effect. A call arrives late over a slow link, or at a process that was
//     suspended.
//   - The same state has the same snapshot bytes at each member. Decoding an entry, a snapshot or a message of an unknown version
//     returns ErrUnknownVersion.
//
// # Restrictions
//
// This package does no I/O, starts no goroutine and reads no clock. A service sends messages and sets timers through Env. A service reads the
// time and replicates entries through groups.Host. State must depend only on its entries. A leader must not rely on a leader lease to answer
// reads, because the leader's process may have been suspended for longer than the lease. The leader asks a majority instead. All tables are
// bounded (see limits.go).
//
// docs/coordination-calls.md gives the reasons for these rules and the alternatives that were considered.
package coordination
