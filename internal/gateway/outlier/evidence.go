package outlier

import (
	"fmt"
	"time"

	"clovergap/control"
)

// EvidenceKind is what a node saw of a backend.
type EvidenceKind uint8

// The closed list. CleanAnswer is a complete answer of the service's own; NoEvidence says nothing.
const (
	NoEvidence EvidenceKind = iota
	CleanAnswer
	ServerError     // a 5xx of its own that may have run
	LostAnswer      // sent completely, and no byte of an answer in its time
	ConnectionReset // while the request ran
	MalformedAnswer // a 2xx without its seal, or no HTTP answer
	StrayAnswer     // an answer to what its connection never carried
	DuplicateAnswer // a second answer to what was answered
	WrongInstance   // a probe answered by another instance
	evidenceKindCount
)

var evidenceNames = [evidenceKindCount]string{"none", "clean", "failed", "lost", "reset", "unsealed", "stray", "second", "stranger"}

// String gives the kind's name in reasons.
func (e EvidenceKind) String() string { return evidenceNames[e] }

// Weight is what evidence can do.
type Weight uint8

// Conclusive: only the backend can be its cause. Partial: the link can too. ByRate: a matter of degree.
const (
	Ignored Weight = iota
	ByRate
	Partial
	Conclusive
)

// weights is the one place that says what evidence can do in which mode.
var evidenceWeights = [evidenceKindCount][modeCount]Weight{
	ServerError:     {ByRate, ByRate},
	LostAnswer:      {Partial, Ignored}, // a read that is late is only late
	ConnectionReset: {Partial, ByRate},
	MalformedAnswer: {Conclusive, ByRate},
	StrayAnswer:     {Conclusive, ByRate},
	DuplicateAnswer: {Conclusive, Ignored},
	WrongInstance:   {Conclusive, Conclusive},
}

// AttemptEnd is what a node knows of the end of an attempt.
type AttemptEnd struct {
	Ending          control.Ending
	FreshConnection bool // its connection had answered nothing before
	PartialAnswer   bool // some of an answer had come
	Malformed       bool // what came was no HTTP answer, or a 2xx without its seal
	NodeStalled     bool // this process stood still meanwhile
}

// Evidence is what it is evidence of. A backend resets fresh connections that are too many for it, and what is late but
// comes is only slow.
func (a AttemptEnd) Evidence() EvidenceKind {
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

// pathWorked reports that the network to the backend and back worked.
func (a AttemptEnd) pathWorked() bool {
	return a.PartialAnswer || a.Malformed || a.Ending == control.Succeeded || a.Ending == control.Errored || a.Ending == control.Rejected
}

// Evidence is conclusive or partial evidence.
type Evidence struct {
	Kind    EvidenceKind
	Age     time.Duration // at the time of the report
	Timeout time.Duration // LostAnswer: the time-out of the attempt
}

// describeEvidence gives evidence in words, by kind.
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
	return text + fmt.Sprintf("%d of %d failing in 10 s", w.Failing, w.total())
}
