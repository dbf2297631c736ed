// Package quota meters customers over many gateways without a call to another one on a request's way. Both programs use it: the
// gateway's nodes (NewLimiter, limits by customer) and the front doors (NewPlanLimiter, limits by plan).
//
// # The idea
//
// Each customer has one owner among the gateways of its set, found by rendezvous hashing (OwnerOf), the same at every gateway. The
// owner holds the customer's token bucket. Every other gateway decides by the owner's last snapshot, less what it has itself consumed
// and the owner has not acknowledged; it reports its use in deltas, and the owner answers each report with a new snapshot. Reports,
// snapshots and acknowledgements for many customers are packed into one datagram of at most 256 bytes a peer, and datagrams to a peer
// are a minimum interval apart, which grows with what the peer has to take in.
//
// # Terms
//
//   - account: what one gateway keeps of one customer: the bucket if it is the owner, the snapshot if it is not.
//   - units: what a request costs; a level is what is left of them.
//   - delta: units consumed since the last report, with a sequence number. It is sent again until it is acknowledged, and applied once.
//   - snapshot: the owner's level for one reporter, with the number of recent reporters. It expires (Config.SnapshotTTL).
//   - burst share: what a gateway may consume against a snapshot before it is acknowledged: an equal part of the burst or of a low level.
//   - grant: units that the owner sets aside for one gateway whose requests wait for them.
//   - allowance: units that a gateway may consume without the owner's knowledge (strict mode).
//   - withheld: a silent reporter's part of the refill, which the owner keeps out of the bucket until that reporter is reached or known
//     to be lost (strict mode).
//   - hard limit: a second rate and burst, split over the gateways so that no sum of parts exceeds it, whatever is lost or restarts.
//   - epoch: a number of one run of a gateway's process. Acknowledgements and grants for another epoch are void.
//   - set: the gateways, numbered setFirst to setFirst+setWidth-1 around, that may see a customer's requests.
//
// # Guarantees
//
// A delta is applied at most once, in any order, over any loss and duplication (sequence window of 64, acknowledgement mask of 32).
// A gateway that starts owns empty buckets: that stands for everything consumed before. The exception is a cluster of which no
// member is older than two seconds, whose buckets begin with Config.InitialFill.
//
// In strict mode (Config.Strict, the gateway's) all gateways together consume at most (1 + Excess) x (rate x Window + burst) + Margin units in
// any Window, under any partition, loss and restart; docs/gateway.md has the argument, TestQuotaAnyCut, TestQuotaAnyRestart and
// TestQuotaAnyGrowth hold it. Otherwise (the front door's) an isolated gateway consumes its burst share at once and then the rate
// divided by the gateways that it does not know to be lost: over all gateways this may be twice the quota and more.
//
// The hard limit is kept in either mode, since no part of it is ever given out twice.
//
// # What it must not do
//
// It does no I/O, reads no clock and starts nothing: the host sets the time (Now), delivers datagrams (DatagramReceived), sends what NextDatagram
// gives and calls Sweep, at the latest at NextDeadline. It never blocks a request on the network: what is not covered now is Pending until
// a given time or Exceeded. It must not iterate over a map where the order could change a decision: simulated days replay from a seed.
// The format of a datagram (message.go, decode.go) has a version number; another format needs another number and code that reads both.
package quota
