// Package membership tracks what one node knows of the nodes in its deployment: which nodes exist, which are live, which slot each
// one has, which nodes this node keeps links to, and which nodes bootstrap the core (see Terms) when the deployment starts for the
// first time. The package only decides. Inputs update a Roster, and the host calls Next for the resulting actions until there are
// none left.
//
// # Terms
//
//   - Node: one process of the gateway. Its name in this package is the inner address at which it accepts links.
//   - Core: the replicated group of nodes that orders the configuration log. Its state is stored on its members' disks.
//   - Disk: the ID of a node's disk, drawn at random when the disk was empty. Nodes with a disk are candidates for the core.
//     A node without a disk follows a node with one: it applies the log entries that the other node sends. A wiped disk gets a
//     new ID.
//   - Incarnation: one run of a node's process, identified by a random number.
//   - Slot: a node's number, assigned once by the core's log. Quota owners and backend owners are chosen by hashing over slots.
//   - Seed: an address in the settings by which a node finds the other nodes.
//   - Hello: a node's description of itself, sent when a link comes up and when the description changes. It carries a fingerprint
//     of what the sender knows of the receiver, which acknowledges the receiver's own hello.
//   - Founders, bootstrap: the founders are the nodes whose disks become the first members of the core. The bootstrap is the
//     exchange of messages that makes them so. It happens once in the life of a deployment.
//
// # Liveness
//
// A node without a disk sends heartbeats to maxHeartbeatTargets nodes with a disk, the next ones after its own position on a hash
// ring. A node with a disk sends heartbeats to all other nodes with a disk. A node is reachable if any frame came from it within
// livenessTimeout. Nodes with a disk report to each other which nodes they reach themselves, and report to their followers which
// nodes are live. So each of n nodes sends a few heartbeats instead of n, and all nodes use the same reports. A node with a disk does
// not repeat to a second node with a disk what a third node reported. Otherwise two nodes could repeat each other's reports, and
// would count a dead node as live without end.
//
// A node is live if it is reachable, or if a reachable node with a disk reports it. Where this node wants a link to it, the link
// must also be up, and a hello must have come over it in the node's present incarnation.
//
// # Links
//
// Nodes with a disk want links to all nodes. Nodes without a disk want links only to nodes with one. So the number of links grows
// with the number of nodes and not with the square of that number. Two nodes without a disk are linked only while one of them may
// know no other node. See updateLink.
//
// # Guarantees
//
//   - Hellos converge. Whichever hellos are lost, both ends of a link that stays up finally know each other's current description,
//     and then send no more hellos.
//   - At most one bootstrap ever reaches a majority of its founders. A node needs contact with more than half of the seeds to begin
//     one. Its founders are sent to seeds first, each of which accepts a single bootstrap, and to other nodes once more than half
//     of the seeds hold it (MaySendFounders). No node begins a bootstrap if a node that it has met holds a state of the core, or has
//     met a node that does.
//   - A step of the clock of more than a second means that this process was stalled. What other nodes sent in that time is still
//     unread, so no node is declared lost because of it.
//   - Nodes that are not heard from for forgetAfter are forgotten, except seeds and slot holders. At most maxNodes nodes are known.
//   - Actions do not depend on the iteration order of maps. The same inputs give the same actions.
//
// # Limits
//
// The package does no I/O, reads no clock and draws no random numbers. Once the core exists, package replication decides which node
// leads it and which nodes are its members. Slots are assigned by the log and passed in with SetSlots.
package membership
