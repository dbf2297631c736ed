// Package registry maintains one node's list of the deployment's backends. It determines which backends exist, which node
// owns each of them, and when a backend's call is answered as confirmed. The package performs no actions itself. The
// program that embeds the package, the host, passes inputs to a Registry and then calls Next until Next returns no more
// actions. All times are offsets on the host's monotonic clock since the host's start.
//
// # Terms
//
//   - Backend: an instance of a service that calls a node's control address. It sends heartbeats, reports that it is
//     draining before it stops, and deregisters with its last call.
//   - Owner: the one node that watches a backend for missed heartbeats. The owner is chosen by rendezvous hashing of the
//     backend's id over the live nodes with a disk (ownerFor). Nodes in the backend's zone are preferred. If no node
//     with a disk is live, all live nodes are candidates. Each answer to a heartbeat names the owner's control
//     address, so that backends send their next heartbeats there.
//   - Fencing token: the number of a backend's changes of owner. 0 means that the backend has had no owner yet.
//   - Departure: the fact that a backend is draining or has deregistered. A departure is never reverted while the
//     registry remembers the backend. A node that has recorded a departure has a copy of the departure.
//   - Follower: a node without a disk that receives its updates from one node with a disk, its upstream.
//   - Full sync: the transfer of all records of backends that are not gone to a new follower.
//   - Suspicion: a node's report to the owner that another backend answers at a backend's address (HTTP 421).
//   - Tombstone: the entry of a backend that is gone.
//
// # How updates travel
//
// Nodes exchange changes, not heartbeats. The owner sends a change to the other nodes with a disk, and each node with a disk
// sends the change to its followers. While a node with a disk is live, nodes without a disk send each other nothing. The
// traffic on one link therefore does not grow with the number of nodes without a disk.
//
// Messages carry a sequence number and are acknowledged. A message without an acknowledgement is resent with exponential
// backoff, and at most maxInFlight messages are in flight to a peer. A peer that acknowledges nothing is only probed. The
// peer is synced again when it answers a probe.
//
// Nodes that have received the same updates have the same state, regardless of the path, order and repetition of the
// updates. Records are merged (see merge). The record with the highest call sequence number determines what the backend
// reports about itself, and the record with the highest fencing token determines its owner. Departures are kept.
//
// # Guarantees
//
//   - A departure is confirmed (Acknowledge with Confirmed) only when Config.MinCopies nodes with a disk have it.
//     MinCopies is one more than the number of nodes that may be lost at once. For up to allCopiesTimeout the registry
//     also waits until every peer that it sends updates to has the departure. If fewer than MinCopies nodes with a disk
//     are reachable, the call fails at once and the backend calls another node. Copies at all reachable nodes would not
//     suffice, because a partition that has just begun may leave very few nodes reachable. If no node with a disk is
//     known, nodes without a disk count too, and no more copies are required than there are known nodes. A node that
//     knows no other node and has no disk therefore confirms departures by itself. See pendingCall.
//   - A peer counts as a holder of a departure only if it acknowledged or sent the departure in its present incarnation.
//     A late message of a former incarnation does not count, because the memory of that incarnation is lost.
//   - Only the owner times out a backend, after missedHeartbeats intervals without a heartbeat. There is one exception:
//     a node that gets an answer of another backend at a backend's address treats the backend as gone. The exception
//     applies only at that node, and only until the owner's decision or the backend's next heartbeat arrives.
//   - A time-out applies only to the exact call sequence number and fencing token that the owner knew. A later heartbeat
//     therefore revives the backend at all nodes. A former owner that does not know of a change of owner cannot time out
//     the backend, because its fencing token is outdated.
//   - When an owner is lost, its backends stay as they are for 2.5 heartbeat intervals. Then the node that ownerFor
//     returns takes over with the next fencing token, if that node reaches a majority of the nodes. A node that reaches
//     no majority, because it is on the smaller side of a partition, takes over nothing and times out only backends that
//     call it directly. If the former owner is alive and still receives the backend's heartbeats, it takes the backend
//     back. The node that had taken over then does not take the backend over again for takeoverHoldoffHeartbeats
//     intervals. Without this hold-off, the two nodes would take the backend from each other forever.
//   - A step of the clock above stallThreshold means that this process was stalled and could read no heartbeats. All
//     time-outs then restart.
//   - The registry holds at most maxBackends entries, of which at most maxTombstones are tombstones. A tombstone is kept
//     for at most tombstoneTTL.
//
// # Restrictions
//
// The package does no I/O, reads no clock and draws no random numbers. Package balancer selects the backend for a request.
// The results of requests do not affect the registry. The correctness of the package does not depend on the records that a
// disk stored (Restore). After the loss of all nodes, these records only save the wait for the first heartbeats.
package registry
