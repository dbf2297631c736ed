// Package groups is the contract between the replicated groups and the coordination calls that they order.
//
// # Terms
//
// A group is one replicated log and the state machine that it is applied to. There are Count of them beside the configuration's log; each
// name of a lock, a counter or a group of keys belongs to one (GroupOf), which orders all calls on it. A Host runs the groups at a node:
// it proposes entries, confirms reads and knows who leads. An Application is what the groups order: the host asks it for the state
// machines and notifies it of leadership.
//
// # Guarantees
//
// Everything is called within a turn of the node: by one goroutine at a time. Nothing blocks. The calls on one group come in the order of
// its log. The same entries give the same state at each member.
//
// PreferredLeaders spreads the leaders over the disks in the same way at each node, without a message.
//
// # What it must not do
//
// The package has no state, does no I/O and reads no clock. Which group a name is in is part of what is on disk, and never changes.
package groups
