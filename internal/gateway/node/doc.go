// Package node puts one node of the gateway together, and runs it.
//
// # Idea
//
// A node routes requests by a configuration that all nodes agree on. The agreement, the membership, the registry of backends, the quota and
// the coordination groups are each decided by a package of their own that does no I/O and reads no clock. This package owns the event loop in
// which they are called, carries messages between them and the other nodes, and writes to the disk. What they decide is theirs: nothing is
// decided here twice.
//
// # The way of a turn
//
// Everything runs in a turn of the event loop (EventLoop), one at a time: a frame of another node, a call, a timer, the end of a write. A turn
// hands its input to one part. When it is over, Node.handleReady asks each part in a fixed order for what it decided, and carries it out:
//
//  1. core: the replica of the configuration log. Its committed entries are applied (installState, applyEntry), its messages sent, its writes
//     queued.
//  2. groups and coordination: the replicas of the coordination groups, and the calls that they settle.
//  3. the disk: what the replicas queued goes out as one transaction, in the background (diskQueue, diskWriter).
//  4. the roster: links, hellos, and which nodes live (cluster.go).
//  5. the registry: which backends there are (backend_registry.go).
//  6. the gate: requests, and the quota's datagrams.
//
// The log goes first, since all else depends on what is applied.
//
// # Terms
//
//   - Member, and a node with a disk: a node that has a replica of the configuration log, or may get one. Others are nodes without a disk.
//   - Learner: a node without a disk, which receives the log's entries from a member, its upstream. A learner of the log stream is not what
//     package replication calls a learner, a member that is being added.
//   - Log stream: entries and states from a member (streamSender) to a learner (streamReceiver).
//   - Contact: how old a node's knowledge of the log may be, and what it may do then: see package quorumcontact.
//   - Slot: the number of a node, assigned by the log once and never given back. Peers' datagrams and the quota go by it.
//   - Incarnation: one start of a node. Clocks and numbers of another incarnation mean nothing.
//
// # Guarantees
//
//   - A frame, call or timer never sees another's half-done work: parts are called in turns alone.
//   - What a replica acknowledges is on disk before its acknowledgement is sent.
//   - The applied index never goes back within an incarnation.
//   - A slow disk holds up neither requests nor heartbeats: it is written in the background.
//   - Decisions take time and chance from the Environment alone, so that whole nodes run in simulated time. The wall clock and the mark that
//     a roll-out's order gets (Rollout, proposeRollout) are for its history and for repetitions, and decide nothing.
//   - Messages to several nodes go out in the order of their addresses, except a roll-out's lap to learners (sendToLearners): that goes in
//     the order of a map.
//
// # What it must not do
//
// It must not read the wall clock for a decision, sleep, or block in a turn. Frames keep the field names of Frame and its messages, which gob
// sends by name: nodes of the version before and after run together.
package node
