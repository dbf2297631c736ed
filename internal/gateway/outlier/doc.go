// Package outlier detects unhealthy backends and takes them out of service (outlier ejection). All nodes act on the same decisions, and
// the rules depend on what the requests of a service need. No node uses the package yet. docs/outliers.md has the reasons, the figures and the
// alternatives that were considered.
//
// # Terms
//
//   - Instance: a backend from one start to its end. A backend that restarts at the same address is another instance.
//   - Mode: determines how the outcomes of a route's requests are evaluated. Strict is for requests that must neither run twice nor get lost,
//     Patient for requests that may be repeated, and Unwatched for requests whose outcomes are not evaluated.
//   - Key: an instance in a mode. Each Ejection refers to one key.
//   - Evidence: what a node observed of a key. It has a kind (EvidenceKind) and a weight. Conclusive evidence can only be caused by the backend.
//     Partial evidence can also be caused by the network link. ByRate evidence counts as a failure, and only the failure rate matters.
//   - Witness: a node that reports evidence.
//   - Refutation: an ejection on the evidence of one witness alone is refuted if the instance comes back into service and no other node
//     confirmed the evidence. A refuted witness has less weight.
//
// # Parts
//
//   - State (state.go, decide.go, entry.go, ejection.go, settings.go) is the replicated state. It applies the entries of the core's log
//     and holds the resulting Ejections. All nodes apply the same entries and reach the same state.
//   - Node (node.go, observe.go, zonepath.go) runs on every node. It counts the outcomes of requests to backends (evidence.go, window.go), reports
//     them (report.go) and tells its host the access of each backend (access.go).
//   - Coordinator (coordinator.go, evaluate.go, recovery.go) runs on the core's leader only. It combines the reports and proposes the entries
//     Eject, StepUp, Readmit and Forget.
//
// # Guarantees
//
//   - A failure of a node, a partition or a node with false reports cannot eject more than a bounded number of backends. Every rule except that
//     for conclusive evidence requires several nodes. Settings.SoleWitnessPercent and Settings.SoleWitnessMax bound the ejections that rest on
//     one witness alone.
//   - Patient requests always keep at least Settings.MinInService and Settings.MinInServicePercent of a service's backends. Strict requests have
//     no such minimum.
//   - Each entry names the revision that it was built on, and a coordinator's entry carries a fencing token (the leader's term). Of two
//     concurrent entries only one is accepted, and a delayed entry cannot change a newer revision.
//   - A report holds sums of one incarnation of a node, so lost, duplicated and reordered reports do no harm.
//   - The size of the state is bounded, and equal states have equal snapshots.
//
// # Restrictions
//
// The package does no I/O, reads no clock and draws no random numbers. The host passes the time to Tick. With Next it pulls what it must send,
// propose, probe or set. The types are not safe for concurrent use. A node calls them within its turns.
package outlier
