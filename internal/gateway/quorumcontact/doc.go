// Package quorumcontact tracks how old a node's knowledge of the configuration log may be, and decides what the node may do at that age.
//
// # Contact age
//
// A node serves from its own copy of the configuration, even while it is partitioned from the majority that orders changes. What it
// may still do then depends on a single value, its contact age. Every change that a majority acknowledged longer ago than the contact
// age has been applied at this node. The contact age is the age of the safe time of bounded-staleness reads (the closed timestamp).
//
//   - A member of the log gets the age from its replica (replication.Replica.QuorumContact).
//   - A node without a disk gets it from its upstream, the member whose log stream it applies. Each report echoes a timestamp that
//     this node sent. The age counts from the time when this node sent the timestamp, and not from the time when the report came.
//     So the age includes the time that a report spent in transit, or unread while this process was paused.
//
// The age is measured with the node's monotonic clock and is computed anew for each decision. After a pause of the process, the age
// includes the pause.
//
// # Terms
//
//   - Contact: the contact age, and the newest term in which the contact is known.
//   - State: the result of comparing the contact age with a bound, and whether the node leads. See State.
//   - Permission: something that a node does for others and that requires a certain state. The table of permissions is the only
//     place that defines which state a permission requires and up to which age.
//
// # Guarantees
//
// The computed age is never less than the true age. A report is rejected if its term is older than the newest reported one, if it
// covers more entries than were applied at this node, or if it echoes a timestamp of another incarnation.
//
// No change or read relies on the age. The log itself orders, confirms and reads with a majority, whatever the age is. This package
// sends nothing, reads no clock and stores nothing.
package quorumcontact
