package outlier

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// The requirements of the recovery steps, and the time after which ejections of instances that are not in the registry are removed.
const (
	// The upper limit of minEjectionDuration.
	maxEjectionTime = 10 * time.Minute
	// The number of consecutive clean probes that end the step Ejected, if minEjectionDuration has passed. A clean probe is a probe that the
	// probed instance answered as healthy.
	readmitProbes = 3
	// The number of clean answers that end the step ReadsOnly.
	readmitReads = 20
	// The number of clean answers that end the step LimitedWrites after the first ejection. The number doubles with each repeated ejection.
	readmitWrites = 40
	// The maximum number of these doublings.
	maxWriteDoublings = 4
	// The clean answers must come from at least this number of nodes, or from all nodes if there are fewer.
	readmitNodes = 4
	// Each failure raises the required number of clean answers by this number. This applies to the last step before InService.
	failurePenalty = 10
	// When a coordinator has run for longer than this time, it removes the ejections of instances that are not in the registry.
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
// probe counts as two clean answers, because a service may have no patient requests.
func (e *Ejection) requiredAnswers() uint32 {
	if e.Step == LimitedWrites {
		return readmitWrites << min(e.Repeats, maxWriteDoublings)
	}
	return readmitReads
}

// usesProbes reports whether clean probes can advance the recovery in the current step.
func (e *Ejection) usesProbes() bool { return e.Step <= ReadsOnly && e.Step.next(e.Mode) != InService }

// proposeRecoveryStep proposes the next recovery step of an ejection if the requirements of the current step are met.
func (c *Coordinator) proposeRecoveryStep(e *Ejection) {
	r, backend := c.recoveries[e.Key], c.backends[e.ID]
	if e.Step == InService || r == nil || backend.ID == "" || backend.Phase != Ready {
		return
	}
	totals := c.recoveryTotals(e)
	entry := Entry{Verb: StepUp, Revision: e.Rev, Key: e.Key, Service: e.Service,
		Reason: fmt.Sprintf("clean answers: %d, failures: %d, clean reads: %d, clean probes: %d", totals.Clean, totals.Failing, totals.Reads, totals.Probes)}
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

// recoveryTotals sums the nodes' totals since the last change of the ejection. A single node may report wrong counts. The clean answers of one
// node therefore count only up to a fraction of the required number, and the failures of the node with the most failures do not count.
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

// proposeForgetEntry proposes a Forget entry, which removes the ejections of instances that are gone. When the coordinator has run for longer
// than unknownTTL, the entry also removes the ejections of instances that are not in the registry.
func (c *Coordinator) proposeForgetEntry() {
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
