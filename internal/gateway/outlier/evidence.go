package outlier

import (
	"fmt"
	"time"

	"clovergap/control"
)

// EvidenceKind classifies what a node observed of a backend.
type EvidenceKind uint8

// NoEvidence means that the outcome of an attempt allows no conclusion about the backend. CleanAnswer is a complete answer of the service itself
// without an error. All other kinds are failures.
const (
	NoEvidence EvidenceKind = iota
	CleanAnswer
	// A 5xx answer of the service itself. The request may have run.
	ServerError
	// No byte of an answer arrived within the time-out, although the request was sent completely.
	LostAnswer
	// The connection was reset while the request ran.
	ConnectionReset
	// A 2xx answer without the backend's seal, or bytes that are not an HTTP answer.
	MalformedAnswer
	// An answer to a request that was never sent on the connection on which the answer arrived.
	StrayAnswer
	// A second answer to a request that was already answered.
	DuplicateAnswer
	// Another instance answered a probe of this instance.
	WrongInstance
	evidenceKindCount
)

var evidenceNames = [evidenceKindCount]string{"none", "clean", "failed", "lost", "reset", "unsealed", "stray", "second", "stranger"}

// String returns the kind's name, as it is used in the reasons of ejections.
func (e EvidenceKind) String() string { return evidenceNames[e] }

// Weight determines the effect of evidence.
type Weight uint8

// Ignored evidence has no effect. ByRate evidence counts as a failure in the failure rate and has no other effect. Partial evidence may also be
// caused by the network link. Conclusive evidence can only be caused by the backend.
const (
	Ignored Weight = iota
	ByRate
	Partial
	Conclusive
)

// evidenceWeights holds the weight of each kind of evidence in the modes Strict and Patient. Weights are defined nowhere else.
var evidenceWeights = [evidenceKindCount][modeCount]Weight{
	ServerError: {ByRate, ByRate},
	// If the answer to a patient request has not arrived at the time-out, the answer may be late and not lost.
	LostAnswer:      {Partial, Ignored},
	ConnectionReset: {Partial, ByRate},
	MalformedAnswer: {Conclusive, ByRate},
	StrayAnswer:     {Conclusive, ByRate},
	DuplicateAnswer: {Conclusive, Ignored},
	WrongInstance:   {Conclusive, Conclusive},
}

// AttemptEnd describes how an attempt ended, as seen by a node.
type AttemptEnd struct {
	Ending control.Ending
	// True if the connection had not returned any answer before the attempt.
	FreshConnection bool
	// True if at least a part of an answer arrived.
	PartialAnswer bool
	// True if the answer was not HTTP, or was a 2xx without the backend's seal.
	Malformed bool
	// True if this node's process was stalled during the attempt.
	NodeStalled bool
}

// EvidenceKind returns the kind of evidence that follows from the end of an attempt. The reset of a fresh connection before any part of an answer is
// NoEvidence, because a backend resets fresh connections when it has too many connections. A time-out after a part of the answer is NoEvidence,
// because the answer is slow and not lost.
func (a AttemptEnd) EvidenceKind() EvidenceKind {
	switch {
	case a.NodeStalled:
		return NoEvidence
	case a.Ending == control.Succeeded:
		return CleanAnswer
	case a.Malformed && (a.Ending == control.Errored || a.Ending == control.ConnectionLost):
		return MalformedAnswer
	case a.Ending == control.Errored:
		return ServerError
	case a.Ending == control.ConnectionLost && (a.PartialAnswer || !a.FreshConnection):
		return ConnectionReset
	case a.Ending == control.TimedOut && !a.PartialAnswer:
		return LostAnswer
	}
	return NoEvidence
}

// provesPathWorks reports whether the attempt shows that the network path to the backend and back works.
func (a AttemptEnd) provesPathWorks() bool {
	return a.PartialAnswer || a.Malformed || a.Ending == control.Succeeded || a.Ending == control.Errored || a.Ending == control.Rejected
}

// Evidence is an item of conclusive or partial evidence in a node's report.
type Evidence struct {
	Kind    EvidenceKind
	Age     time.Duration // The age of the evidence at the time of the report.
	Timeout time.Duration // LostAnswer: the time-out of the attempt. Unused for other kinds.
}

// describeEvidence returns a text for the reason of an ejection. It lists the number of items of each kind, then the failures in the window w.
func describeEvidence(items []Evidence, w Window) string {
	var counts [evidenceKindCount]int
	for _, item := range items {
		counts[item.Kind]++
	}
	text := ""
	for k := evidenceKindCount - 1; k > CleanAnswer; k-- {
		if counts[k] > 0 {
			text += fmt.Sprintf("%d %s, ", counts[k], k)
		}
	}
	return text + fmt.Sprintf("%d of %d failing in 10 s", w.Failing, w.attemptCount())
}
