// Package outlier detects unhealthy backends and takes them out of service (outlier ejection). All nodes act on the same decisions. The rules
// depend on whether a request may be repeated (Mode). No node uses the package yet. docs/outliers.md has the reasons, the figures and the
// alternatives that were considered.
//
// # Terms
//
//   - Instance: a backend from one start to its end. A backend that restarts at the same address is another instance.
//   - Mode: determines how the outcomes of a route's requests are evaluated. Strict is for requests that must neither run twice nor get lost,
//     Patient for requests that may be repeated, and Unwatched for requests whose outcomes are not evaluated.
//   - Key: an instance in a mode. Each Ejection refers to one key.
//   - Core: the nodes that replicate the log by consensus. One of these nodes is the leader.
//   - Host: the program that embeds the package. It sends messages, appends log entries and reads the clock for the package.
//   - Evidence: what a node observed of a key. Evidence has a kind (EvidenceKind) and a weight. Conclusive evidence can only be caused by the
//     backend. Partial evidence can also be caused by the network link. ByRate evidence counts as a failure in the failure rate and has no
//     other effect.
//   - Witness: a node that reports evidence. If an ejection rests on the evidence of one witness alone, this node is the sole witness.
//   - Ejection: the record that a key was taken out of service. The ejection has a revision, which each change of the ejection raises.
//     Evidence counts only under the revision in which it was observed.
//   - Local ejection: a temporary measure of one node, before the coordinator has decided. The node sends the backend no strict requests. The
//     requests of other nodes are not affected.
//   - Refutation: an ejection on the evidence of one witness alone is refuted if the instance comes back into service and no other node
//     confirmed the evidence. A witness with refutations has less weight.
//   - Seal: the header X-Backend-Seal, by which a backend marks an answer as its own. A 2xx answer without the seal is malformed.
//
// # Parts
//
//   - State (state.go, decide.go, entry.go, ejection.go, settings.go) is the replicated state. It applies the entries of the core's log
//     and holds the resulting Ejections. All nodes apply the same entries and reach the same state.
//   - Node (node.go, observe.go, zonepath.go) runs on every node. It counts the outcomes of requests to backends (evidence.go, window.go), reports
//     them (report.go) and pushes the access of each backend to its host (access.go).
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
//   - Each entry except Forget names the revision of the ejection or of the settings that was current when the entry was made. A coordinator's
//     entry also carries a fencing token (the leader's term). Of two concurrent entries for the same revision only one is accepted, and a delayed
//     entry cannot change a newer revision.
//   - A report holds cumulative counts and not changes. The loss, duplication or reordering of reports therefore causes no error.
//   - The size of the state is bounded, and equal states have equal snapshots.
//
// # Restrictions
//
// The package does no I/O, reads no clock and draws no random numbers. The host passes the time to Tick. With Next it pulls what it must send,
// propose, probe or set. The types are not safe for concurrent use. The host makes all calls from one event loop.
package outlier
