package outlier

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"clovergap/internal/gateway/membership"
)

// The rules of a verdict, by their names in its reason.
const (
	ruleConclusive = "proof"   // evidence that only the backend can have made
	ruleLost       = "lost"    // lost answers and resets, seen by several nodes
	ruleRate       = "failing" // its failure rate against that of the service's other backends
)

// Losses: a lost answer is told from a late one by other answers in its time.
const (
	lossConfirmTimeout       = 4 * time.Second // after it no node has the slots of that time any more
	minConfirmingAnswers     = 2               // clean answers in the second half of its time-out
	confirmingLatencyDivisor = 6               // each within so small a part of it
)

// Failure rates.
const (
	freshWindow          = 2 * time.Second // a window that was reported longer ago is not the present one
	minFailuresToRequest = 2               // failures, without the node that has most, that make a question to all nodes
	minServiceAnswers    = 20              // of the service's other backends, to compare with
	patientRateFactor    = 2               // so many times the others' rate
	patientMinRate       = 0.5             // and so much at the least
	strictRateFactor     = 4               // so many times the others' rate
	strictRateMargin     = 0.05            // and so much more
)

// minFailures that make a verdict by their rate, by mode.
var minFailures = [modeCount]uint32{5, 8}

// halfAnsweredAfter is after which half of the nodes are enough to answer a question; within it three quarters are.
const halfQuorumDelay = 500 * time.Millisecond

// assessment is what the reports on a key come to, under the present revision of its ejection.
type assessment struct {
	key             Key
	evidence        *keyEvidence
	backend         Backend
	revision        uint64
	recovering      bool       // it was ejected and is on its way back
	excludedWitness Slot       // whoever alone had it ejected has no say on its way back
	conclusive      []Slot     // nodes with conclusive evidence
	selfDoubt       bool       // one of them doubts itself
	items           []Evidence // all that still count
	total           Window     // of all nodes
	worst           Window     // of the node with most failures; empty where there is only one node
}

// counts reports whether a node's observation is one of the assessment's.
func (a *assessment) includes(from Slot, o *receivedObservation) bool {
	return o.Rev == a.revision && from != a.excludedWitness
}

// assess joins the reports on a key.
func (c *Coordinator) assess(key Key, evidence *keyEvidence, ejection *Ejection) *assessment {
	a := &assessment{key: key, evidence: evidence, backend: c.backends[key.ID], revision: c.state.revision(key),
		recovering: ejection != nil && ejection.Step != InService, excludedWitness: membership.NoSlot}
	if a.recovering {
		a.excludedWitness = ejection.SoleWitness
	}
	for _, from := range evidence.witnesses() {
		o := evidence.byWitness[from]
		if !a.includes(from, o) {
			continue
		}
		conclusive := false
		for _, item := range o.Evidence {
			if item.Age+c.now-o.receivedAt <= evidenceTTL {
				conclusive = conclusive || evidenceWeights[item.Kind][key.Mode] == Conclusive
				a.items = append(a.items, item)
			}
		}
		if conclusive {
			a.conclusive, a.selfDoubt = append(a.conclusive, from), a.selfDoubt || o.selfDoubt
		}
		if c.isFresh(o) {
			if a.total.add(o.Window); o.Window.Failing > a.worst.Failing {
				a.worst = o.Window
			}
		}
	}
	if c.nodeCount == 1 {
		a.worst = Window{}
	}
	return a
}

// isFresh reports whether an observation's window is the present one.
func (c *Coordinator) isFresh(o *receivedObservation) bool { return c.now-o.receivedAt <= freshWindow }

// witnesses are the nodes that have reported on a key, in order.
func (k *keyEvidence) witnesses() []Slot { return slices.Sorted(maps.Keys(k.byWitness)) }

// evaluate holds what all nodes have of a key against the three rules.
func (c *Coordinator) evaluate(key Key, evidence *keyEvidence) {
	ejection := c.state.Ejection(key)
	if c.backends[key.ID].Phase != Ready || ejection != nil && ejection.Step == Ejected {
		return
	}
	a := c.assess(key, evidence, ejection)
	losses, settled := c.confirmedLosses(a)
	enoughWitnesses := len(losses)+len(a.conclusive) > 1 || a.recovering
	lossesUsable := len(losses) > 0 && enoughWitnesses && settled && c.requestAnswered(key, evidence) && c.seenInZone(a, losses)
	if c.ejectOnConclusive(a, losses, lossesUsable) {
		return
	}
	sufficient := 0
	if a.recovering { // with limited access one that is lost is enough
		sufficient = len(losses)
	}
	if lossesUsable && c.proposeEjection(a, ruleLost, losses, sufficient) {
		return
	}
	others := a.total.sub(a.worst)
	if others.Failing < minFailuresToRequest || others.failureRate() < doubtRate[key.Mode] || !c.requestAnswered(key, evidence) {
		return
	}
	if witnesses, exceeds := c.exceedsRate(a); exceeds {
		sufficient = 0
		if c.nodeCount == 1 {
			sufficient = 1
		}
		c.proposeEjection(a, ruleRate, witnesses, sufficient)
	}
}

// ejectByProof proposes a verdict on conclusive evidence. Losses that count make their witnesses witnesses of it too.
func (c *Coordinator) ejectOnConclusive(a *assessment, losses []Slot, lossesUsable bool) bool {
	if len(a.conclusive) == 0 {
		return false
	}
	witnesses, sufficient := slices.Clone(a.conclusive), len(a.conclusive)
	for _, from := range losses {
		if lossesUsable && !slices.Contains(a.conclusive, from) {
			witnesses = append(witnesses, from)
		}
	}
	if a.selfDoubt {
		sufficient = 0
	}
	return c.proposeEjection(a, ruleConclusive, witnesses, sufficient)
}

// requestAnswered asks all nodes about a key, and reports whether enough have answered.
func (c *Coordinator) requestAnswered(key Key, evidence *keyEvidence) bool {
	answers := 0
	for _, o := range evidence.byWitness {
		if o.receivedAt >= evidence.requestedAt {
			answers++
		}
	}
	since := c.now - evidence.requestedAt
	if since < retryInterval && (4*answers >= 3*c.nodeCount || 2*answers >= c.nodeCount && since >= halfQuorumDelay) {
		return true
	}
	evidence.changed = true
	if since >= retryInterval {
		evidence.requestedAt = c.now
		c.requestKeys = append(c.requestKeys, key)
	}
	return false
}

// seenInZone reports whether one of the witnesses is in the backend's zone, or no node there had an answer or a failure of it: links from
// elsewhere may be bad.
func (c *Coordinator) seenInZone(a *assessment, witnesses []Slot) bool {
	zoneHasTraffic := false
	for from, o := range a.evidence.byWitness {
		if o.zone == a.backend.Zone && slices.Contains(witnesses, from) {
			return true
		}
		zoneHasTraffic = zoneHasTraffic || o.zone == a.backend.Zone && o.Rev == a.revision && c.isFresh(o) && o.Window.total() > 0
	}
	return !zoneHasTraffic
}

// confirmsLoss tells a lost answer from a late one: in the second half of its time-out other answers came, quickly, and not at
// one node alone.
func (k *keyEvidence) confirmsLoss(revision uint64, item Evidence, at time.Duration, nodes int) bool {
	var total, largest Window
	for _, o := range k.byWitness {
		var sum Window
		for i, w := range o.Slots {
			end := o.receivedAt - o.SlotAge - time.Duration(i)*slotDuration
			if o.Rev == revision && end <= at && end-slotDuration >= at-item.Timeout/2 {
				sum.add(w)
			}
		}
		if total.add(sum); sum.Clean > largest.Clean {
			largest = sum
		}
	}
	quick := func(w Window) bool {
		return w.Clean > 0 && time.Duration(w.LatencyMillis/w.Clean)*time.Millisecond <= item.Timeout/confirmingLatencyDivisor
	}
	return total.Clean >= minConfirmingAnswers && quick(total) && (nodes == 1 || quick(total.sub(largest)))
}

// confirmedLosses are the nodes whose partial evidence others bear out; not settled while that is still asked.
func (c *Coordinator) confirmedLosses(a *assessment) (witnesses []Slot, settled bool) {
	settled = true
	losses := a.evidence.losses
	for _, from := range a.evidence.witnesses() {
		o := a.evidence.byWitness[from]
		if !a.includes(from, o) {
			continue
		}
		for _, item := range o.Evidence {
			at := o.receivedAt - item.Age
			known := losses[from].revision == a.revision && losses[from].observedAt >= at-slotDuration
			if evidenceWeights[item.Kind][a.key.Mode] != Partial || known || c.now-at > lossConfirmTimeout {
				continue
			}
			if item.Kind == LostAnswer && !c.requestAnswered(a.key, a.evidence) {
				settled = false
			} else if item.Kind == ConnectionReset || a.evidence.confirmsLoss(a.revision, item, at, c.nodeCount) {
				losses[from] = confirmedLoss{a.revision, at}
			}
		}
		if loss, ok := losses[from]; ok && loss.revision == a.revision && c.now-loss.observedAt <= evidenceTTL {
			witnesses = append(witnesses, from)
		}
	}
	return witnesses, settled
}

// otherBackends is what each node has of the service's other backends, without those that are in doubt themselves.
func (c *Coordinator) otherBackendWindows(a *assessment) map[Slot]Window {
	byNode := map[Slot]Window{}
	for from, o := range a.evidence.byWitness {
		if c.isFresh(o) {
			byNode[from] = o.ServiceWindow
		}
	}
	for key, evidence := range c.evidence {
		if key.Mode != a.key.Mode || c.backends[key.ID].Service != a.backend.Service {
			continue
		}
		var total Window
		for _, o := range evidence.byWitness {
			if c.isFresh(o) {
				total.add(o.Window)
			}
		}
		if key != a.key && (total.Failing < minFailuresToRequest || total.failureRate() < doubtRate[key.Mode]) {
			continue
		}
		for from, o := range evidence.byWitness {
			if c.isFresh(o) {
				byNode[from] = byNode[from].sub(o.Window)
			}
		}
	}
	return byNode
}

// isUnhealthy holds a backend's window against that of the service's others.
func isUnhealthy(mode Mode, own, others Window) bool {
	limit := max(patientMinRate, patientRateFactor*others.failureRate())
	if mode == Strict {
		limit = strictRateMargin + strictRateFactor*others.failureRate()
	}
	return others.total() >= minServiceAnswers && own.Failing >= minFailures[mode] && own.failureRate() >= limit
}

// exceedsRate holds the failure rate against that of the service's other backends; it must exceed it without any one node too. The
// witnesses are the nodes with failures, that with most first.
func (c *Coordinator) exceedsRate(a *assessment) (witnesses []Slot, exceeds bool) {
	byNode := c.otherBackendWindows(a)
	var others Window
	for _, w := range byNode {
		others.add(w)
	}
	if !isUnhealthy(a.key.Mode, a.total, others) {
		return nil, false
	}
	for from, o := range a.evidence.byWitness {
		if !c.isFresh(o) {
			continue
		}
		own := a.total
		if a.includes(from, o) {
			own = a.total.sub(o.Window)
			if o.Window.Failing > 0 {
				witnesses = append(witnesses, from)
			}
		}
		if c.nodeCount > 1 && !isUnhealthy(a.key.Mode, own, others.sub(byNode[from])) {
			return nil, false
		}
	}
	failing := func(from Slot) uint32 { return a.evidence.byWitness[from].Window.Failing }
	slices.SortFunc(witnesses, func(x, y Slot) int { return cmp.Or(cmp.Compare(failing(y), failing(x)), cmp.Compare(x, y)) })
	return witnesses, len(witnesses) > 0
}

// proposeEjection proposes a verdict; false where the state would not take it.
func (c *Coordinator) proposeEjection(a *assessment, rule string, witnesses []Slot, sufficient int) bool {
	ready := 0
	for _, b := range c.backends {
		if b.Service == a.backend.Service && b.Phase == Ready {
			ready++
		}
	}
	e := Entry{Verb: Eject, Revision: a.revision, Key: a.key, Service: a.backend.Service,
		Witnesses: witnesses[:min(len(witnesses), maxNamedWitnesses)], Sufficient: sufficient, ReadyBackends: ready,
		Score: int(1000 * a.total.failureRate()), Reason: rule + ": " + describeEvidence(a.items, a.total)}
	return c.propose(e, &a.evidence.proposedAt)
}
