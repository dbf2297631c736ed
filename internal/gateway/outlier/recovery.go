package outlier

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// What the steps back into service ask for.
const (
	maxEjectionTime   = 10 * time.Minute
	readmitProbes     = 3  // clean probes in a row, after the ejection time
	readmitReads      = 20 // clean answers, in the step after it
	readmitWrites     = 40 // clean answers of writes, doubled with each repetition
	maxWriteDoublings = 4
	readmitNodes      = 4                // at the least, where there are so many
	failurePenalty    = 10               // clean answers that one failure costs
	unknownTTL        = 60 * time.Second // an instance that no registry knows is forgotten after it
)

// recovery is the way of an ejection back into service.
type recovery struct {
	revision   uint64
	since      time.Duration
	proposedAt time.Duration
}

// ejectionTime is how long an ejection lasts at the least.
func ejectionTime(s *State, e *Ejection) time.Duration {
	return min(time.Duration(s.Settings().BaseEjectionTime)<<e.Repeats, maxEjectionTime)
}

// requiredAnswers is what a step asks for, in clean answers; a probe counts for two reads where a service has none.
func (e *Ejection) requiredAnswers() uint32 {
	if e.Step == LimitedWrites {
		return readmitWrites << min(e.Repeats, maxWriteDoublings)
	}
	return readmitReads
}

// wantsProbes reports whether probes take an ejection further.
func (e *Ejection) wantsProbes() bool { return e.Step <= ReadsOnly && e.Step.next(e.Mode) != InService }

// advanceRecovery takes an ejection one step on where what is asked for has come, from several nodes: one alone may be wrong.
func (c *Coordinator) advanceRecovery(e *Ejection) {
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
		ready = c.now-r.since >= ejectionTime(c.state, e) && totals.Probes >= readmitProbes
	case e.Step == ReadsOnly && e.Mode == Strict:
		ready = totals.Reads+2*totals.Probes >= e.requiredAnswers()
	default:
		ready = totals.Clean >= e.requiredAnswers()+failurePenalty*totals.Failing
	}
	if ready {
		c.propose(entry, &r.proposedAt)
	}
}

// recoveryTotals sums what nodes counted since the ejection's last change. Clean answers of one node count up to a part of what is asked
// for, and the failures of the node that has most of them don't count: one alone may be wrong.
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

// forgetGone drops the ejections of instances that are gone, or that no registry has known for long.
func (c *Coordinator) forgetGone() {
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
