// Package rollout moves a share of a service's users from one version of it to the next, step by step, and rolls them back when the
// new version fails: a canary release that is judged by a sequential test in place of fixed thresholds. docs/rollouts.md
// has the statistics, the figures and what was weighed.
//
// # Terms
//
// The versions of a service are the generations that its backends name in their heartbeats. The baseline is the one that users come
// from, the canary the one that they go to. A Spec is an operator's order: both versions, the steps (shares of the users in basis
// points), limits on the traffic concerned, and the FailureCriteria. A Run is a roll-out as the replicated log has it: its Spec, phase,
// step and history. An Outcome is the end of a request's first attempt; later attempts are not compared. Evidence is the logarithm of the
// wealth of bets that the canary fails some times as often as the baseline, by test (kind of request, group of tenants, slow
// answers) and by backend. A lap is a span of 30 s over which evidence is gathered afresh, beside that since the step began: a version that
// fails after ten good minutes has no credit from them. A false positive is a good version that is rolled back.
//
// # Parts
//
//   - State (state.go, decide.go, entry.go, stored.go) is the replicated state: entries of the core's log go in, Runs come out. All nodes
//     apply the same entries and come to the same.
//   - Node (node.go) is on every node. It gives each request its side (side.go: a hash of the user that is the same at every node),
//     counts outcomes (outcome.go, counter.go, quantile.go), weighs them (evidence.go) and hands out a Report each second (report.go).
//   - Coordinator (coordinator.go) is on the core's leader alone. It joins the reports of all nodes and proposes entries: rollback, the next
//     step, a pause.
//   - evaluate (evaluate.go) decides on evidence, for one node as for all.
//
// # Guarantees
//
//   - A good version is rolled back by all nodes with a chance of at most FleetFalsePositiveRate over a whole roll-out, by one node for itself of
//     at most NodeFalsePositiveRate. The failures of one backend or of one node never roll it back for all.
//   - A user has the same side at every node that knows the same step, and stays on the canary while shares grow.
//   - What was rolled back or finished stays so until another roll-out of the service starts: entries name the number of theirs, and a
//     coordinator's entries carry a fencing token (the leader's term), so that a late verdict hits nothing newer.
//   - A report is the sum of all that one incarnation of a node found: lost, doubled and reordered reports change nothing, and a new coordinator
//     has all with the next round.
//   - State is bounded. Equal states give equal snapshots.
//
// # What it must not do
//
// It does no I/O, reads no clock and draws no random number: time comes with Tick, and the host pulls with Next what is to be sent, proposed or
// logged. It must not send a user to the canary before this incarnation of the node was connected to the core (SetConnected), nor let a request go
// from the baseline to the canary (MayAttempt). Nothing of it may be called concurrently: a node calls it in its turns.
//
// # Stored and sent names
//
// Gob stores entries and snapshots in the log and sends reports between nodes. It goes by the names of fields, and other versions read them:
// stored.go has these forms with the names that they were given first, and the functions between them and the types that the code uses. Lap is sent,
// and Spec stored, as it is.
package rollout
