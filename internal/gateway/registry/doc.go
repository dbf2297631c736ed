// Package registry owns one node's list of the deployment's backends: which there are, which node watches each, and when a
// change is confirmed to the backend that asked for it. It decides only: inputs update what is known, the host then pulls
// actions with Next until there are none, and all times are the host's steady clock since its start.
//
// # Terms
//
//   - Backend: an instance of a service that calls a node's control address. It sends heartbeats, says once that it is
//     draining, and deregisters with its last call.
//   - Owner: the one node that watches a backend for missed heartbeats. It is chosen by rendezvous hashing of the backend's id
//     over the live nodes with a disk, in the backend's own zone where one lives there (ownerFor); without a live disk, over
//     all live nodes. Each answer to a heartbeat names the owner's control address, so that backends turn to it by themselves.
//   - Fencing token: counts a backend's changes of owner; 0 means that it has none yet.
//   - Departure: that a backend is draining, or has deregistered. Neither is taken back as long as the backend is remembered.
//   - Follower: a node without a disk, which takes its updates from one node with a disk, its upstream.
//   - Full sync: everything that a node sends to one that begins to follow it.
//   - Suspicion: a node's observation that another backend answers at a backend's address (HTTP 421), on its way to the owner.
//
// # How updates travel
//
// Heartbeats do not travel, changes alone do: the owner sends them to the other nodes with a disk, and each of these to its
// followers. As long as a node with a disk lives, nodes without one send each other nothing, so that what goes over one link does not grow
// with their number.
// Messages carry a sequence number, are acknowledged, resent with a growing interval, and limited to maxInFlight a peer;
// a peer that acknowledges nothing is probed alone, and synced anew once it answers.
//
// Whatever way and in whatever order updates come, and however often: nodes that have received the same know the same.
// Records merge (see merge): the newest call sequence number decides what a backend says of itself, the highest fencing
// token its owner, departures stay.
//
// # Guarantees
//
//   - A departure is confirmed (Acknowledge with Confirmed) only once Config.MinCopies nodes with a disk have it, one more
//     than may be lost at once, and as a rule once each node has it that this one informs. Copies that are merely all in
//     reach prove nothing in the first moments of a partition: where fewer than MinCopies disks are in reach, the call fails at
//     once and the backend turns to another node. Where no disk is known at all, all nodes count; the only node there is
//     confirms by itself. See pendingCall.
//   - Only what a peer acknowledged or sent in its present incarnation proves a copy: a late message of a former one, whose memory
//     is lost, is none.
//   - A backend is timed out after missedHeartbeats intervals without a heartbeat, by its owner alone. (A node that sees another
//     backend answer at its address takes it for gone by itself, until the owner or the next heartbeat decides.) Such a time-out counts only for exactly the call and the fencing token that the owner knew: a later heartbeat revives the backend
//     everywhere, and a former owner that missed the change can't time out what its successor watches. That is what the token
//     guards.
//   - When an owner is lost, its backends stay as they are for 2.5 heartbeat intervals. Then the next node in the order of hashing
//     takes over under the next token, if it reaches a majority of the nodes; a node on the smaller side of a partition takes
//     nothing over and times out only backends that call it directly. An owner that lives on and still hears the backend takes it back,
//     and whoever took it leaves it alone for takeoverHoldoffHeartbeats: two nodes do not take a backend from each other for ever.
//   - A step of the clock above a second is a stall of this process, during which no heartbeat could be read: all time-outs
//     begin anew.
//   - Tables are bounded: maxBackends entries, of them maxTombstones gone, and a tombstone for tombstoneTTL at most.
//
// # What it must not do
//
// It does no I/O, reads no clock and draws no random numbers. It does not choose among backends for a request (package
// balancer), and does not judge a backend's health by what requests come to. Nothing rests on what a disk kept of it
// (Restore): that is a hint which spares the deployment a wait for the first heartbeats after the loss of all nodes.
package registry
