// Package rollout moves the users of a service from one version to the next in steps, and moves them back if the new version fails. Such
// a roll-out is a canary release. A sequential statistical test decides whether the new version fails, instead of fixed thresholds.
// docs/rollouts.md describes the statistics, the measured figures and the alternatives that were considered.
//
// # Terms
//
// The versions of a service are the generations that its backends send in their heartbeats. The baseline is the version that the users come
// from. The canary is the version that they move to. A Spec is an operator's specification of a roll-out. A Spec contains both versions, the
// steps (shares of the users in basis points), limits on the affected traffic, and the FailureCriteria. The core is the group of nodes that
// replicates the log and elects a leader (see package membership). A Run is a roll-out in the core's log, with its Spec, phase, step and
// history. An Outcome is the result of a request's first attempt. Later attempts are not compared.
//
// The statistical tests work by betting. A bet is an imaginary wager that the canary fails a certain number of times as often as the
// baseline. This number is the ratio of the bet. The stake is the amount with which a bet starts. The stakes of all bets add up to 1. The
// wealth of a bet is the amount that it holds later. Failures of the canary increase the wealth, and failures of the baseline decrease it.
// If both versions fail equally often, the expected wealth does not grow. A large wealth is therefore unlikely unless the canary is worse.
// Evidence is the natural logarithm of the factor by which the wealth of a bet has changed. Evidence is kept for each test (kind of request,
// group of tenants, slow responses) and for each backend.
//
// A lap is an interval of 30 s for which evidence is gathered from zero, in addition to the evidence since the start of the step. The
// coordinator starts each lap. Without laps, a version that fails after ten minutes without failures would be rolled back late, because the
// evidence of these minutes is in its favor. A false positive is a rollback of a good version.
//
// # Parts
//
//   - State (state.go, decide.go, entry.go, stored.go) is the replicated state. It applies the entries of the core's log and provides the
//     Runs. All nodes apply the same entries and reach the same state.
//   - Node (node.go) runs on every node. It assigns each request to a side (side.go) by a hash of the user that is the same at every node.
//     It counts outcomes (outcome.go, counter.go, quantile.go), derives evidence from them (evidence.go) and sends a Report each second
//     (report.go).
//   - Coordinator (coordinator.go) runs only on the core's leader. It combines the reports of all nodes and proposes entries for a rollback,
//     the next step or a pause.
//   - evaluate (evaluate.go) decides on the evidence, both of one node and of all nodes.
//
// # Guarantees
//
//   - The probability that all nodes roll back a good version during a whole roll-out is at most FleetFalsePositiveRate. The probability
//     that one node rolls it back locally is at most NodeFalsePositiveRate. Failures of a single backend or a single node never cause a
//     rollback by all nodes.
//   - A user has the same side at every node that knows the same step, and stays on the canary while the share grows.
//   - A roll-out that was rolled back or finished stays so until another roll-out of the service starts. Entries contain the number of their
//     roll-out. A coordinator's entries also contain a fencing token (the leader's term). A late decision therefore has no effect on a newer
//     roll-out.
//   - A report contains the totals of everything that one incarnation of a node has gathered. Lost, duplicated and reordered reports do not
//     change the result, and a new coordinator has all data after the next round of reports.
//   - The size of the state is bounded. Equal states have equal snapshots.
//
// # Constraints
//
// The package does no I/O, reads no clock and uses no random numbers. The host is the part of the gateway node that calls this package.
// The host passes the time to Tick, and calls Next for the messages to send, the entries to propose and the events to log. A user must
// not be sent to a running canary before this incarnation of the node has been connected to the core (SetConnected). A request must not
// move from the baseline to the canary (MayAttempt). The types are not safe for concurrent use. The host calls them from the node's event
// loop.
//
// # Stored and sent names
//
// Gob encodes the entries and snapshots in the log and the reports between nodes. Gob identifies fields by name, and other versions of the
// program read the data. stored.go therefore defines separate types with the original field names, and functions that convert them to and
// from the types that the code uses. Lap is sent and Spec is stored without conversion.
package rollout
