// Package statemachine implements the state machine of the configuration log. Its state consists of the configuration in force, the
// accepted changes, the assignment of slots to nodes, the roll-outs, and the nodes on whose disks the coordination groups were
// bootstrapped. The coordination groups are the replicated logs that order the calls on locks, counters and keys, see package groups.
//
// Every node applies the same entries in the same order and so reaches the same state. Members of the log apply the entries from their
// own log. Other nodes apply them from a member's log stream. For that reason the package does no I/O, reads no clock, draws no random
// numbers, and depends on nothing but the entries. Every value that an entry needs is part of the entry.
//
// # Entries
//
// An entry is a Kind, which is its first byte, followed by a body whose format depends on the kind. The effects of entries are
// implemented in packages of their own, routing.Register for configurations and rollout.State for roll-outs. Machine dispatches each
// entry to the package that implements its kind.
//
// # Guarantees
//
//   - Apply returns the same result for the same entry in the same state, at all nodes whose version supports the entry's kind.
//   - An entry that has an unknown kind or cannot be decoded changes nothing, because a newer version may have proposed it.
//   - Decide returns the result that Apply would return now, and changes nothing.
//   - Equal states have equal Snapshot bytes in all processes of a version. So a member that received a part of a snapshot can
//     receive the rest from another member's snapshot.
//   - A machine that Restore returns for a snapshot gives the same results as the original machine. Snapshots of older versions can be
//     read.
//
// Entries and snapshots are encoded as the types in stored.go.
package statemachine
