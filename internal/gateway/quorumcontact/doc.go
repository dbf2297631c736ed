// Package quorumcontact tracks how old a node's knowledge of the configuration log may be, and decides what the node may do at that
// age.
//
// # Contact age
//
// A node serves from its own copy of the configuration, even while it is partitioned from the majority that orders changes. What it
// may still do then depends on a single value, its contact age. Every change that a majority acknowledged longer ago than the contact
// age has been applied at this node. The contact age is the age of the safe time of bounded-staleness reads (the closed timestamp).
//
//   - A member of the log gets the age from its replica of the log (replication.Replica.QuorumContact).
//   - A learner gets the age from its upstream, which is the member whose log stream it applies. Each report of the upstream echoes a
//     timestamp that the learner sent. The age counts from the time when the learner sent the timestamp, and not from the time when
//     the report arrived. So the age includes the time that the report spent in transit, or unread while the process was paused.
//
// The age is measured with the node's monotonic clock and is computed anew for each decision. So a pause of the process increases the
// age.
//
// # Terms
//
//   - Member: a node with a disk that takes part in the replication of the log.
//   - Learner: a node without a disk. It applies the log stream of a member and does not vote.
//   - Contact: the contact age, and the newest term of the log to which the age refers.
//   - Incarnation: one run of a node's process.
//   - State: the contact age compared with a maximum age, and whether the node leads the log. See State.
//   - Permission: something that a node does for others and that requires a certain state. The table of permissions is the only
//     place that defines which state a permission requires and up to which age.
//
// # Guarantees
//
// The computed age is never less than the true age. A report is rejected if its term is older than the newest reported term, if the
// report covers more entries than were applied at this node, or if it echoes a timestamp of another incarnation.
//
// The correctness of changes and reads does not depend on the age: the log needs a majority for both, whatever the age is. This package
// sends nothing, reads no clock and stores nothing on disk.
package quorumcontact
