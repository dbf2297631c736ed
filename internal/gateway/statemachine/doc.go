// Package statemachine is what the entries of the configuration's log add up to: the configuration in force and the changes that
// were taken, which node has which slot, the roll-outs, and the disks that the coordination groups began with.
//
// Every node applies the same entries in the same order, members from their own log and others from a member's stream, and so comes
// to the same state. For that the package does no I/O and reads no clock, draws no random numbers, and depends on nothing
// but the entries: whatever an entry needs to know besides is a part of it.
//
// # Entries
//
// An entry is a Kind, which is its first byte, and a body whose form depends on that. The parts that decide what a body does are
// packages of their own: routing.Register for configurations and rollout.State for roll-outs. Machine directs an entry to its part.
//
// # Guarantees
//
//   - Apply gives the same verdict for the same entry on the same state, at all nodes of all versions that know its kind. An entry
//     of an unknown kind, or one that can't be read, changes nothing: a newer version may have proposed it.
//   - Decide gives the verdict that Apply would give now, and changes nothing.
//   - Equal states have equal Snapshot bytes in all processes of a version. A member that received a part of a snapshot goes on
//     with the rest of another member's.
//   - Restore of a Snapshot continues with the same verdicts; snapshots of older versions can be read.
//
// What is on disk and in snapshots keeps the names in stored.go.
package statemachine
