// Package outlier detects unhealthy backends by what their services need, once for all nodes, and takes them out of service (outlier ejection).
// It is not wired into a node yet. docs/outliers.md has the reasons, the figures and what was weighed.
//
// # Terms
//
// An instance is one start of a backend, whatever its address. A mode says how the requests of a route are treated: Strict for what must not run
// twice or vanish, Patient for what may be asked again, Unwatched for what says nothing. A Key is an instance in a mode; it is what an Ejection is
// about. Evidence is what a node saw of a key, of a kind (EvidenceKind) and a weight: Conclusive where only the backend can be its cause, Partial where the
// link can too, ByRate where it is a matter of degree. A node that reports evidence is a witness. An ejection that rests on one witness alone is
// refuted if the instance comes back and no other node saw anything; a refuted witness weighs less.
//
// # Parts
//
//   - State (state.go, decide.go, entry.go, ejection.go, settings.go) is the replicated state: entries of the core's log go in, Ejections come out.
//     All nodes apply the same entries and come to the same.
//   - Node (node.go, observe.go, zonepath.go) is on every node. It counts what it sees of backends (evidence.go, window.go), reports it (report.go),
//     and tells its host what access each backend has (access.go).
//   - Coordinator (coordinator.go, evaluate.go, recovery.go) is on the core's leader alone. It joins the reports and proposes entries: eject, one step
//     back into service, readmit, forget.
//
// # Guarantees
//
//   - A node's own failures, a partition and a lying node eject nobody beyond a bound: every rule but conclusive evidence asks for several nodes, and
//     what rests on one witness alone is bounded by Settings.SoleWitnessPercent and Settings.SoleWitnessMax.
//   - Patient requests always keep Settings.MinInService and MinInServicePercent of a service's backends; writes keep none.
//   - Entries name the revision that they build on, and a coordinator's carry a fencing token (the leader's term): of two at once one wins, and a late
//     one hits nothing newer.
//   - Reports are sums of one incarnation of a node: lost, doubled and reordered ones change nothing.
//   - State is bounded, and equal states give equal snapshots.
//
// # What it must not do
//
// It does no I/O, reads no clock and draws no random number: time comes with Tick, and the host pulls with Next what is to be sent, proposed, probed
// or set. Nothing of it may be called concurrently: a node calls it in its turns.
package outlier
