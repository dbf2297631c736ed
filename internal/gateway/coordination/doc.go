// Package coordination orders the calls of applications on locks, numbers, small keys and watches of keys, like etcd's lease, kv and
// watch services over several Raft groups.
//
// # The idea
//
// Each name belongs to one replicated group (package groups). State is the state machine of a group: the same entries give the same
// state and results at each member. Service runs on every node. It takes calls, forwards each to the leader of its group, and serves
// those of the groups that its own node leads. A call that changes something becomes one entry of the group's log; a read is answered
// from the leader's state after a majority has confirmed the leadership (ReadIndex, Raft §6.4).
//
// # Terms
//
//   - Log time: the clock of a group's log. The leader stamps each entry with it. It goes on at the leader's monotonic rate and stands
//     still while there is no leader, so it never runs faster than real time. Restarts, changes of leader and steps of the wall clock
//     never set it back.
//   - Lease: the time for which a lock is held after its last acquire or renew, in log time. The holder counts its own time from
//     before it sent the call, so that its lease ends before the lock's.
//   - Fencing token: a number that rises with each grant of a lock in a group. What a holder writes elsewhere carries it, so that
//     writes of a former holder can be rejected.
//   - Key group and revision: keys with the same name up to the first dot form a key group; each of its puts has the next revision.
//   - Watch: waits for puts in a key group above a revision. A watch may resume from any revision that it was given within the
//     history retention; below the compacted revision it fails and never skips events.
//   - Incarnation: a node's process from start to end, named by a random number. Call IDs and deadlines name one, since a restarted
//     node starts a new clock and counts calls from 1 again.
//   - Attempt: one delivery of a call to the node that is thought to lead. A call may take several; its call ID is the same in all.
//
// # Guarantees
//
//   - At any time at most one caller holds a lock, by the callers' own clocks, provided that clocks run at the same rate.
//   - Numbers under a name, fencing tokens and revisions rise. Reads and watches are linearizable.
//   - Each call ends within callTimeout, a watch within its own timeout besides. StatusConflict, StatusLimitReached and
//     StatusUnavailable mean that the call had no effect and never will; StatusAmbiguous that it may have had one, or still may.
//   - A forwarded call that arrives after its deadline, from a slow link or at a process that was stopped, has no effect.
//   - The same state has the same snapshot bytes at each member, and entries, snapshots and messages are read as long as their
//     version is known (ErrUnknownVersion).
//
// # What this package must not do
//
// It does no I/O, starts no goroutine and reads no clock: messages and timers go out through Env, time and replication come from
// groups.Host. State must not depend on anything but its entries. No answer may rest on a lease of the leader: a leader that was
// stopped must find out by a majority before it confirms anything. All tables are bounded, see limits.go.
//
// docs/coordination-calls.md gives the reasons behind these rules and what was weighed against them.
package coordination
