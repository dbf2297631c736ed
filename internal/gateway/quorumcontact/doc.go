// Package quorumcontact tracks how old a node's knowledge of the configuration log may be, and decides what the node may do at that age.
//
// # Idea
//
// A node serves from its own copy of the configuration, also while it is partitioned from the majority that orders changes. What it may
// still do then depends on one figure, its contact age: everything that a majority acknowledged longer ago than that has been applied
// here. This is the safe time of bounded-staleness reads, or a closed timestamp, turned into an age.
//
//   - A member of the log has the age from its replica (replication.Replica.QuorumContact).
//   - A node without a disk has it from its upstream, the member whose log stream it applies. Each report answers a clock that this node
//     sent, and the age counts from when that clock was sent and not from when the report came: a report that was long on its way, or lay
//     unread while this process was paused, is as old as it is.
//
// The age runs by the node's monotonic clock, and is computed anew for each decision. After a pause of the process nothing that was fresh
// before it still is.
//
// # Terms
//
//   - Contact: the age, and the newest term that it is known of.
//   - State: the contact compared with a bound, and whether the node leads: see State.
//   - Permission: something that a node does for others and that requires a state. The table of permissions is the only place that says
//     which, and within which age.
//
// # Guarantees
//
// The age is never younger than the truth: a report of an older term than the newest one is not taken, nor one of more entries than were
// applied here, nor one that answers a clock of another incarnation.
//
// Nothing is written, confirmed or read on the ground of an age: the log itself does that, with a majority, whatever the age. This
// package sends nothing, reads no clock, and stores nothing.
package quorumcontact
