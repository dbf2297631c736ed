package outlier

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// The requirements of the recovery steps, and the TTL of unknown instances.
const (
	maxEjectionTime = 10 * time.Minute
	// Consecutive clean probes, after the ejection time.
	readmitProbes = 3
	// Clean answers in the step ReadsOnly.
	readmitReads = 20
	// Clean answers to writes, doubled with each repeated ejection.
	readmitWrites     = 40
	maxWriteDoublings = 4
	// The minimum number of nodes that the clean answers come from, if there are so many nodes.
	readmitNodes = 4
	// The number of additional clean answers that each failure requires.
	failurePenalty = 10
	// The time after which an instance that is not in the registry is forgotten.
	unknownTTL = 60 * time.Second
)

// recovery tracks the current recovery step of an ejection.
type recovery struct {
	// The revision of the ejection in this step.
	revision uint64
	// The time when this step began.
	since time.Duration
	// The time of the last proposal of the next step.
	proposedAt time.Duration
}

// minEjectionDuration returns the minimum duration of an ejection. It doubles with each repeated ejection, up to maxEjectionTime.
func minEjectionDuration(s *State, e *Ejection) time.Duration {
	return min(time.Duration(s.Settings().BaseEjectionTime)<<e.Repeats, maxEjectionTime)
}

// requiredAnswers returns the number of clean answers that the current step requires. In the step ReadsOnly of a strict ejection a clean
// probe counts as two reads, because a service may have no reads.
func (e *Ejection) requiredAnswers() uint32 {
	if e.Step == LimitedWrites {
		return readmitWrites << min(e.Repeats, maxWriteDoublings)
	}
	return readmitReads
}

// advancesByProbes reports whether clean probes can advance the recovery in the current step.
func (e *Ejection) advancesByProbes() bool {
	return e.Step <= ReadsOnly && e.Step.next(e.Mode) != InService
}

// proposeRecoveryStep proposes the next recovery step of an ejection once the requirements of the current step are met. The required answers
// must come from several nodes, because one node alone may be wrong.
func (c *Coordinator) proposeRecoveryStep(e *Ejection) {
	r, backend := c.recoveries[e.Key], c.backends[e.ID]
	if e.Step == InService || r == nil || backend.ID == "" || backend.Phase != Ready {
		return
	}
	totals := c.recoveryTotals(e)
	entry := Entry{Verb: StepUp, Revision: e.Rev, Key: e.Key, Service: e.Service,
		Reason: fmt.Sprintf("%d clean ends, %d failing, %d clean reads, %d probes", totals.Clean, totals.Failing, totals.Reads, totals.Probes)}
	if e.Step.next(e.Mode) == InService {
		entry.Verb = Readmit
	}
	ready := false
	switch {
	case e.Step == Ejected:
		ready = c.now-r.since >= minEjectionDuration(c.state, e) && totals.Probes >= readmitProbes
	case e.Step == ReadsOnly && e.Mode == Strict:
		ready = totals.Reads+2*totals.Probes >= e.requiredAnswers()
	default:
		ready = totals.Clean >= e.requiredAnswers()+failurePenalty*totals.Failing
	}
	if ready {
		c.propose(entry, &r.proposedAt)
	}
}

// recoveryTotals sums the nodes' totals since the last change of the ejection. One node alone may be wrong. So the clean answers of one
// node count only up to a share of the required number, and the failures of the node with the most failures do not count.
func (c *Coordinator) recoveryTotals(e *Ejection) (sum Totals) {
	evidence := c.evidence[e.Key]
	if evidence == nil {
		return sum
	}
	worst := uint32(0)
	maxPerNode := e.requiredAnswers()/min(uint32(c.nodeCount), readmitNodes) + 1
	for _, o := range evidence.byWitness {
		if o.Rev == e.Rev {
			sum.add(Totals{Clean: min(o.Clean, maxPerNode), Failing: o.Failing, Reads: min(o.Reads, maxPerNode), Probes: o.Probes})
			worst = max(worst, o.Failing)
		}
	}
	if c.nodeCount > 1 {
		sum.Failing -= worst
	}
	return sum
}

// proposeForgetGone proposes to remove the ejections of instances that are gone. It includes instances that are not in the registry when the
// coordinator has run for longer than unknownTTL.
func (c *Coordinator) proposeForgetGone() {
	if c.now-c.forgetProposedAt < retryInterval {
		return
	}
	var gone []InstanceID
	for i := range c.state.Ejections() {
		id := c.state.Ejections()[i].ID
		b, known := c.backends[id]
		if (known && b.Phase == Gone || !known && c.now-c.startedAt > unknownTTL) && !slices.Contains(gone, id) {
			gone = append(gone, id)
		}
	}
	if len(gone) > 0 {
		c.propose(Entry{Verb: Forget, GoneInstances: gone}, &c.forgetProposedAt)
	}
	maps.DeleteFunc(c.backends, func(id InstanceID, b Backend) bool {
		return b.Phase == Gone && c.state.Ejection(Key{id, Strict}) == nil && c.state.Ejection(Key{id, Patient}) == nil
	})
}
