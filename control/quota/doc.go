// Package quota meters customers over many gateways. A check of a request uses only local state and makes no network call. Two programs
// use the package. A node of cmd/gateway calls NewLimiter and has limits per customer. A front door (cmd/clovergap) calls NewPlanLimiter
// and has limits per plan.
//
// # Design
//
// Each customer has one owner among the gateways that serve the customer. The owner is computed by rendezvous hashing (OwnerOf), so all
// gateways compute the same owner. The owner holds the customer's token bucket. Every other gateway decides by the owner's last
// snapshot, less the units that the gateway itself has consumed since then and that the owner has not acknowledged. Each gateway
// reports its consumption to the owner in deltas, and the owner answers each report with a new snapshot.
//
// One datagram to a peer has at most 256 bytes and carries the deltas, snapshots and acknowledgements of many customers. Datagrams to a
// peer are a minimum interval apart. The interval grows with the number of datagrams that the peer receives.
//
// # Terms
//
//   - gateway: one process with a limiter. It is a node of the gateway program or a front door.
//   - host: the code of that process that calls the limiter and does the I/O for it.
//   - set: the gateways that may serve a customer's requests. Their numbers run from setFirst to setFirst+setWidth-1, modulo the number
//     of gateways.
//   - account: the state that one gateway keeps of one customer. The owner's account includes the bucket. Every other account includes
//     the owner's snapshot.
//   - units: the cost of a request. A level is the number of units left.
//   - delta: the units consumed since the last report. Deltas carry a sequence number. They are sent again until they are acknowledged,
//     and applied once.
//   - reporter: a gateway that sends deltas for a customer to its owner. A gateway is a recent reporter for two seconds after
//     each of its deltas has arrived.
//   - snapshot: the owner's level for one reporter, with the number of recent reporters. It expires (Config.SnapshotTTL).
//   - burst share: the units that a gateway may consume against a snapshot before they are acknowledged. It is an equal part of the
//     burst or of a low level.
//   - strict mode: a setting (Config.Strict) that bounds the units which all gateways consume together. The section Guarantees has the
//     bound. Strict mode adds the allowance, the withheld part and grants of bucket units.
//   - grant: units that the owner sets aside for one gateway that has a pending request.
//   - allowance: units that a gateway may consume without the owner's knowledge (strict mode).
//   - withheld part: the part of the refill that belongs to a reporter whose messages have stopped. The owner keeps this part out of the
//     bucket until a message from the reporter arrives or the reporter is known to be lost (strict mode).
//   - isolated gateway: a gateway that gets no answers from the owner of a bucket.
//   - hard limit: a second rate and burst, which are split over the gateways. The sum of the shares never exceeds the rate and the burst,
//     whatever messages are lost and whichever gateways restart. The owner's share includes a pool, from which it grants units to others.
//   - epoch: the number of one run of a gateway's process. Acknowledgements and grants for another epoch are void.
//
// # Guarantees
//
// A delta is applied at most once. Deltas may be lost, duplicated or reordered (sequence window of 64, acknowledgement mask of 32).
//
// The buckets that a gateway owns are empty when the gateway starts, because all their units may have been consumed before the start. The
// exception is a cluster of which no member is older than two seconds. The buckets of such a cluster start with Config.InitialFill.
//
// In strict mode (used by the gateway) all gateways together consume at most (1 + Excess) x (rate x Window + burst) + Margin units in any
// Window, under any partition, loss and restart. docs/gateway.md has the argument. TestBoundHoldsInAnyPartition,
// TestBoundHoldsThroughAnyRestart and TestBoundHoldsWhileOwnersChange check the bound.
//
// Without strict mode (used by the front door) an isolated gateway consumes its burst share at once. Then it consumes the rate divided
// by the number of gateways that it does not know to be lost. Over all gateways this may be twice the quota and more.
//
// The hard limit holds in both modes, because no part of it is ever granted twice.
//
// # Constraints
//
// The package does no I/O, reads no clock and starts no goroutine. The host sets the time (SetNow), delivers datagrams (DatagramReceived),
// sends the datagrams that NextDatagram returns, and calls Sweep at NextDeadline or earlier. The package never blocks a request on the
// network. A request that is not covered is either Pending until a given time or Exceeded. No code may iterate over a map where the
// order could change a decision, because simulated days are replayed from a seed.
//
// The datagram format (message.go, decode.go) has a version number. A change of the format needs a new number and code that reads both.
package quota
