// Package membership owns one node's knowledge of the deployment's nodes: which there are, which are live, which slot each
// has, to which this node keeps a link, and, at the first start of all, which nodes bootstrap the core. It decides only: inputs
// update what is known, and the host pulls actions with Next until there are none.
//
// # Terms
//
//   - Node: one process of the gateway, named by the inner address at which it takes links.
//   - Disk: the id of a node's disk, drawn at random when it was empty. Nodes with a disk are the core's candidates; nodes
//     without one follow these. A wiped disk is another disk.
//   - Incarnation: one run of a node's process, named by a random number.
//   - Slot: a node's number, given once by the core's log. Quota owners and backend owners are hashed over slots.
//   - Seed: an address named by the settings, by which a node finds the others.
//   - Hello: what a node says of itself when a link comes up and when anything of it changes. It carries a fingerprint of
//     what the sender knows of the receiver, which acknowledges the receiver's own hello.
//   - Watcher: a node that is sent another one's heartbeats.
//   - Founders, bootstrap: the nodes whose disks become the core's first members, and the one exchange that makes them so.
//
// # Liveness
//
// Each node sends heartbeats to maxWatchers nodes with a disk, the next ones after its position on a hash ring; nodes with a disk
// to all others that have one. A node is reachable if anything at all came from it within livenessTimeout. Nodes with a disk
// report to each other whom they reach themselves, and to their followers who is live. So n nodes send a few heartbeats each and not n,
// and all go by the same reports. What is passed on is never hearsay: else two nodes could keep a dead one alive between them.
//
// A node is live if it is reachable, or a reachable node with a disk reports it, and, where this node wants a link to it, the
// link is up and it has said hello in its present incarnation.
//
// # Links
//
// Nodes with a disk want links to all nodes, the others to those with a disk alone: links grow with the nodes and not with their
// square. Two nodes without a disk are linked only while one of them may know nobody else. See updateLink.
//
// # Guarantees
//
//   - Hellos converge: whichever are lost, both ends of a link that stays up know each other as they are in the end, and then
//     say nothing more.
//   - At most one bootstrap ever gets a majority of its founders. It takes more than half of the seeds to begin one; its founders are sent to
//     seeds first, which accept one alone each, and to others once more than half of the seeds hold it (MayBootstrap). No node
//     begins one where a node that it has met holds a state of the core, or has met one that does.
//   - A step of the clock above a second is a stall of this process: what others sent lies unread, and nobody is taken for lost
//     for it.
//   - Nodes that are not heard for forgetAfter are forgotten, seeds and slot holders apart; maxNodes are known at most.
//   - Actions do not depend on the order of maps: the same inputs give the same actions.
//
// # What it must not do
//
// It does no I/O, reads no clock and draws no random numbers. It decides neither who leads nor who is a member of the core once
// that exists (package replication), and gives no slots: those come from the log (SetSlots).
package membership
