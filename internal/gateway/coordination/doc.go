// Package coordination orders the calls of applications on locks, numbers, small keys and watches of keys. It is similar to the lease, kv
// and watch services of etcd, but runs over several Raft groups.
//
// # Overview
//
// Each name belongs to one replicated group (package groups). State is the state machine of a group. The same entries give the same state
// and the same results at each member. Service runs on every node. It receives calls, forwards each to the leader of its group, and serves
// the calls of the groups that its own node leads. A call that changes state becomes one entry of the group's log. A read is answered from
// the leader's state after a majority has confirmed the leadership (ReadIndex, Raft §6.4).
//
// # Terms
//
//   - Log time: the time by the clock of a group's log, as a duration. The leader stamps each entry with the current log time. Log time
//     advances at the rate of the leader's monotonic clock and stops while there is no leader, so it never advances faster than real
//     time. Restarts, changes of leader and steps of the wall clock never set it back.
//   - Lease: the time for which a lock is held after its last acquire or renewal, in log time. The holder counts its own time from before
//     it sent the call, so that its lease ends before the lock's lease.
//   - Fencing token: a number that rises with each grant of a lock in a group. A holder attaches its token to what it writes elsewhere, so
//     that writes of a former holder can be rejected.
//   - Key group and revision: keys with the same name up to the first dot form a key group. Each put in the group gets the next revision.
//   - Watch: a call that waits for puts in a key group above a revision. A watch may resume from any revision that it received within the
//     history retention. A watch that resumes below the compacted revision fails. A watch never skips events.
//   - Incarnation: one run of a node's process from start to end, identified by a random number. Call IDs and deadlines refer to an
//     incarnation, because a restarted node starts a new clock and counts calls from 1 again.
//   - Attempt: one delivery of a call to the node that is believed to be the leader. A call may need several attempts. Its call ID is the
//     same in all of them.
//
// # Guarantees
//
//   - At any time at most one caller holds a lock, by the callers' own clocks, provided that clocks run at the same rate.
//   - Numbers under a name, fencing tokens and revisions rise. Reads and watches are linearizable.
//   - Each call ends within callTimeout, and a watch within its own timeout plus callTimeout. StatusConflict, StatusLimitReached and
//     StatusUnavailable mean that the call had no effect and never will have one. StatusAmbiguous means that it may have had an effect, or
//     may still have one.
//   - A forwarded call that arrives after its deadline has no effect. The call may have come over a slow link, or
//     to a process that was suspended.
//   - The same state has the same snapshot bytes at each member. Entries, snapshots and messages can be decoded as long as their version
//     is known. Otherwise decoding returns ErrUnknownVersion.
//
// # Restrictions
//
// This package does no I/O, starts no goroutine and reads no clock. Messages and timers go out through Env, and time and replication come
// from groups.Host. State must depend only on its entries. No answer may rely on a lease of the leader, because a leader whose process was
// suspended must ask a majority before it confirms anything. All tables are bounded (see limits.go).
//
// docs/coordination-calls.md gives the reasons for these rules and the alternatives that were considered.
package coordination
