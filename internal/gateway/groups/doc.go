// Package groups defines the interface between the replicated groups and the coordination calls that the groups order.
//
// # Terms
//
// A group is one replicated log together with the state machine to which the log is applied. There are Count groups, in addition to the
// log of the configuration. Each name of a lock, a counter or a group of keys belongs to one group (GroupOf), which orders all calls
// on that name. A Host runs the groups at a node: it proposes entries, confirms reads and knows the leaders. An Application implements
// the calls that the groups order: it provides the state machines, and the host notifies it of changes of leadership.
//
// # Guarantees
//
// All calls are made in a turn of the node, which means by one goroutine at a time. No call blocks. The calls for one group are made in
// the order of its log. The same entries produce the same state at each member.
//
// PreferredLeaders distributes the leaders over the disks. Each node computes the same distribution without exchanging messages.
//
// # What it must not do
//
// The package has no state, does no I/O and reads no clock. The assignment of names to groups must never change, because stored data
// depends on it.
package groups
