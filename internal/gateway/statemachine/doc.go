// Package statemachine implements the state machine of the configuration log. Its state is the configuration in force and the changes
// that were accepted, the assignment of slots to nodes, the roll-outs, and the disks with which the coordination groups were
// bootstrapped.
//
// Every node applies the same entries in the same order and so reaches the same state. Members apply them from their own log, and other
// nodes from a member's stream. For that reason the package does no I/O, reads no clock, draws no random numbers, and depends on nothing
// but the entries. Whatever else an entry needs is part of the entry.
//
// # Entries
//
// An entry is a Kind, which is its first byte, followed by a body whose format depends on the kind. The effects of entries are
// implemented in packages of their own, routing.Register for configurations and rollout.State for roll-outs. Machine dispatches each
// entry to the right one.
//
// # Guarantees
//
//   - Apply returns the same result for the same entry in the same state, at all nodes of all versions that know the entry's kind.
//     An entry of an unknown kind, or one that cannot be decoded, changes nothing, because a newer version may have proposed it.
//   - Decide returns the result that Apply would return now, and changes nothing.
//   - Equal states have equal Snapshot bytes in all processes of a version. So a member that received a part of a snapshot can
//     receive the rest from another member's snapshot.
//   - A machine that Restore returns for a Snapshot gives the same results from then on. Snapshots of older versions can be read.
//
// Entries and snapshots on disk use the names in stored.go.
package statemachine
