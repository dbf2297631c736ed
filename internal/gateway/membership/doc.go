// Package membership tracks what one node knows of the nodes in its deployment: which nodes exist, which are live, which slot each
// node has, which nodes this node keeps links to, and which nodes bootstrap the core (see Terms) when the deployment starts for the
// first time. The package makes decisions only. Its caller, the host, does the I/O: it passes inputs to a Roster, and then calls
// Next repeatedly and performs the returned actions until Next returns none.
//
// # Terms
//
//   - Node: one process of the gateway. In this package a node is identified by the inner address at which it accepts links.
//   - Link: a connection on which a node sends frames to another node. Each of two nodes sends on a link of its own.
//   - Core: the replicated group of nodes that orders the configuration log. The state of the core is stored on the disks of its
//     members.
//   - Disk: the ID of a node's disk, drawn at random when the disk was empty. Nodes with a disk are candidates for the core.
//     A node without a disk follows a node with a disk: it applies the log entries that the other node sends. The other node is its
//     upstream. A wiped disk gets a new ID.
//   - Incarnation: one run of a node's process, identified by a random number.
//   - Slot: a node's number, assigned once by the core's log. Quota owners and backend owners are chosen by hashing over slots.
//   - Seed: an address in the settings at which a node looks for other nodes, and the node at that address.
//   - Frame: any message that a node receives over a link, heartbeats included.
//   - Hello: a node's description of itself, sent when a link comes up and when the description changes. A hello also contains a
//     fingerprint of the receiver's description as the sender knows it. This fingerprint acknowledges the receiver's last hello.
//   - Founders, bootstrap: the founders are the nodes whose disks become the first members of the core. The bootstrap is the
//     exchange of messages by which the founders create the core. A deployment is bootstrapped once.
//
// # Liveness
//
// A node without a disk sends heartbeats to at most maxHeartbeatTargets nodes with a disk. These are the next nodes after its own
// position on a hash ring. A node with a disk sends heartbeats to all other nodes with a disk. A node is reachable if any frame came from it within
// livenessTimeout. Nodes with a disk report to each other which nodes they reach themselves, and report to their followers which
// nodes are live. So each of n nodes sends a few heartbeats instead of n, and all nodes use the same reports. A node with a disk
// reports to other nodes with a disk only what it observed itself, and not what another node reported. If it repeated reports, two
// nodes could repeat each other's reports and count a dead node as live forever.
//
// A node is live if it is reachable, or if a reachable node with a disk reports it as live. If this node wants a link to the other
// node, two more conditions apply: the link must be up, and the other node must have sent a hello.
//
// # Links
//
// Nodes with a disk want links to all nodes. Nodes without a disk want links only to nodes with a disk. So the number of links grows
// with the number of nodes and not with the square of that number. Two nodes without a disk are linked only while one of the two may
// not know any other node yet. See updateLink.
//
// # Guarantees
//
//   - Hellos converge. Whichever hellos are lost, both ends of a link that stays up eventually know each other's current
//     description, and then send no more hellos.
//   - At most one bootstrap ever reaches a majority of its founders. A node begins a bootstrap only while it is in contact with more
//     than half of the seeds. It sends the list of founders to seeds first. Each seed accepts a single list. Other nodes receive the
//     list once more than half of the seeds have stored it (MaySendFounders). No node begins a bootstrap if it has a hello from a
//     node that holds a state of the core, or from a node that knows of such a node (Hello.ClusterExists).
//   - A step of the clock of more than a second means that this process was stalled. The frames that other nodes sent during the
//     stall are still unread, so the stall does not count towards any time-out.
//   - A node from which no frame came for forgetAfter is forgotten, unless it is a seed or has a slot. At most maxNodes other nodes
//     are known.
//   - Actions do not depend on the iteration order of maps. The same inputs give the same actions.
//
// # Limits
//
// The package does no I/O, reads no clock and draws no random numbers. Once the core exists, package replication decides which node
// leads the core and which nodes are its members. Slots are assigned by the log and passed in with SetSlots.
package membership
