package outlier

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"clovergap/internal/gateway/membership"
)

// The names of the rules for an ejection. The reason of an ejection begins with the name of the rule that was met.
const (
	// Evidence that only the backend can have caused.
	ruleConclusive = "proof"
	// Lost answers and connection resets, seen by several nodes, or by one node while the backend recovers.
	ruleLost = "lost"
	// A failure rate well above that of the service's other backends.
	ruleRate = "failing"
)

// Constants for the confirmation of a lost answer. If the backend gave fast answers to other requests during the attempt, the missing answer is
// taken as lost and not as late.
const (
	// Partial evidence that is older than this time cannot be confirmed, because the reported window slots no longer cover the attempt.
	lossConfirmTimeout = 4 * time.Second
	// The number of clean answers that confirm a lost answer. They must have arrived in the second half of the time-out of the lost attempt.
	minConfirmingAnswers = 2
	// The mean latency of the confirming answers must be at most the attempt's time-out divided by this number.
	confirmingLatencyDivisor = 6
)

// Constants for the comparison of failure rates.
const (
	// A report that is older than this time is not used for failure rates, because its window is no longer current.
	freshWindow = 2 * time.Second
	// All nodes are asked for reports on a key that has at least this number of failures. The failures of the node with the most failures do not
	// count.
	minFailuresToRequest = 2
	// The comparison needs at least this number of answers of the service's other backends.
	minServiceAnswers = 20
	// The limit for the failure rate of a patient key is this multiple of the other backends' failure rate, but at least patientMinRate.
	patientRateFactor = 2
	// The lowest limit for the failure rate of a patient key.
	patientMinRate = 0.5
	// The limit for the failure rate of a strict key is this multiple of the other backends' failure rate, plus strictRateMargin.
	strictRateFactor = 4
	// The constant part of the limit for the failure rate of a strict key.
	strictRateMargin = 0.05
)

// minFailures is the number of failures that an ejection by failure rate needs, by mode.
var minFailures = [modeCount]uint32{5, 8}

// halfQuorumDelay is the time for which the coordinator waits until three quarters of the nodes have answered a report request. After this time,
// the answers of half of the nodes suffice.
const halfQuorumDelay = 500 * time.Millisecond

// assessment combines the nodes' reports on a key. It contains only observations under the current revision of the key's ejection.
type assessment struct {
	key      Key
	evidence *keyEvidence
	backend  Backend
	revision uint64
	// True if the key has an ejection whose backend is not back in service.
	recovering bool
	// The sole witness of the ejection during the recovery, or NoSlot. The observations of this node do not count.
	excludedWitness Slot
	// The nodes with conclusive evidence.
	conclusive []Slot
	// True if at least one of the nodes with conclusive evidence doubts its own observations (Report.SelfDoubt).
	selfDoubt bool
	// The evidence of all included nodes that is not older than evidenceTTL.
	items []Evidence
	// The sum of the windows of all included nodes. Only observations that are at most freshWindow old count.
	total Window
	// The window of the node with the most failures, among the windows in total. Empty if there is only one node.
	worst Window
}

// includes reports whether a node's observation counts in the assessment. It counts if it has the current revision and the node is not the
// excluded witness.
func (a *assessment) includes(from Slot, o *receivedObservation) bool {
	return o.Rev == a.revision && from != a.excludedWitness
}

// newAssessment combines the reports on a key. ejection is nil if the key was never ejected.
func (c *Coordinator) newAssessment(key Key, evidence *keyEvidence, ejection *Ejection) *assessment {
	a := &assessment{key: key, evidence: evidence, backend: c.backends[key.ID], revision: c.state.ejectionRevision(key),
		recovering: ejection != nil && ejection.Step != InService, excludedWitness: membership.NoSlot}
	if a.recovering {
		a.excludedWitness = ejection.SoleWitness
	}
	for _, from := range evidence.sortedWitnesses() {
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

// isFresh reports whether an observation was received at most freshWindow ago, so that its window is current.
func (c *Coordinator) isFresh(o *receivedObservation) bool { return c.now-o.receivedAt <= freshWindow }

// sortedWitnesses returns the nodes that have reported on a key, in ascending order.
func (k *keyEvidence) sortedWitnesses() []Slot { return slices.Sorted(maps.Keys(k.byWitness)) }

// proposeEjectionIfRuleMet applies the three rules to the reports of all nodes on a key and proposes an ejection if one of the rules is met.
func (c *Coordinator) proposeEjectionIfRuleMet(key Key, evidence *keyEvidence) {
	ejection := c.state.Ejection(key)
	if c.backends[key.ID].Phase != Ready || ejection != nil && ejection.Step == Ejected {
		return
	}
	a := c.newAssessment(key, evidence, ejection)
	losses, settled := c.lossWitnesses(a)
	enoughWitnesses := len(losses)+len(a.conclusive) > 1 || a.recovering
	lossesUsable := len(losses) > 0 && enoughWitnesses && settled && c.hasEnoughReports(key, evidence) && c.hasWitnessInZone(a, losses)
	if c.ejectOnConclusiveEvidence(a, losses, lossesUsable) {
		return
	}
	sufficient := 0
	if a.recovering { // The access is limited. The lost answers of a single node therefore suffice for another ejection.
		sufficient = len(losses)
	}
	if lossesUsable && c.proposeEjection(a, ruleLost, losses, sufficient) {
		return
	}
	others := a.total.minus(a.worst)
	if others.Failing < minFailuresToRequest || others.failureRate() < suspectFailureRate[key.Mode] || !c.hasEnoughReports(key, evidence) {
		return
	}
	if witnesses, exceeds := c.checkFailureRate(a); exceeds {
		sufficient = 0
		if c.nodeCount == 1 {
			sufficient = 1
		}
		c.proposeEjection(a, ruleRate, witnesses, sufficient)
	}
}

// ejectOnConclusiveEvidence proposes an ejection if there is conclusive evidence. losses are the nodes with a lost answer or a connection reset
// (lossWitnesses). If lossesUsable is true, these nodes are added to the witnesses of the ejection. The function returns false if there is no
// conclusive evidence or if the state would not accept the entry.
func (c *Coordinator) ejectOnConclusiveEvidence(a *assessment, losses []Slot, lossesUsable bool) bool {
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

// hasEnoughReports reports whether enough nodes (halfQuorumDelay) have answered the current report request for a key. If the last request is at
// least retryInterval old, the function queues a new request. If too few nodes have answered, the key is evaluated again at the next Tick.
func (c *Coordinator) hasEnoughReports(key Key, evidence *keyEvidence) bool {
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

// hasWitnessInZone reports whether one of the witnesses is in the backend's zone. Witnesses in other zones do not suffice while nodes of the
// backend's zone observe the backend, because the links between the zones may be faulty. The function also returns true if no node of the
// backend's zone has recently observed an answer or a failure of the backend.
func (c *Coordinator) hasWitnessInZone(a *assessment, witnesses []Slot) bool {
	zoneHasTraffic := false
	for from, o := range a.evidence.byWitness {
		if o.zone == a.backend.Zone && slices.Contains(witnesses, from) {
			return true
		}
		zoneHasTraffic = zoneHasTraffic || o.zone == a.backend.Zone && o.Rev == a.revision && c.isFresh(o) && o.Window.attemptCount() > 0
	}
	return !zoneHasTraffic
}

// confirmsLoss reports whether other answers of the backend confirm that an answer was lost and is not late. The backend must have given
// at least minConfirmingAnswers clean answers in the second half of the attempt's time-out. These answers must have been fast, and they must not
// all have arrived at the same node. If there is only one node, the answers to this node suffice. timedOutAt is the time when the attempt timed
// out, and nodeCount is the number of live nodes.
func (k *keyEvidence) confirmsLoss(revision uint64, item Evidence, timedOutAt time.Duration, nodeCount int) bool {
	var total, largest Window
	for _, o := range k.byWitness {
		var sum Window
		for i, w := range o.Slots {
			end := o.receivedAt - o.SlotAge - time.Duration(i)*slotDuration
			if o.Rev == revision && end <= timedOutAt && end-slotDuration >= timedOutAt-item.Timeout/2 {
				sum.add(w)
			}
		}
		if total.add(sum); sum.Clean > largest.Clean {
			largest = sum
		}
	}
	isFast := func(w Window) bool {
		return w.Clean > 0 && time.Duration(w.LatencyMillis/w.Clean)*time.Millisecond <= item.Timeout/confirmingLatencyDivisor
	}
	return total.Clean >= minConfirmingAnswers && isFast(total) && (nodeCount == 1 || isFast(total.minus(largest)))
}

// lossWitnesses returns the nodes with a confirmed lost answer or a connection reset. A connection reset needs no confirmation. complete is
// false while a lost answer cannot be confirmed, because too few nodes have answered the report request (hasEnoughReports).
func (c *Coordinator) lossWitnesses(a *assessment) (witnesses []Slot, complete bool) {
	complete = true
	losses := a.evidence.losses
	for _, from := range a.evidence.sortedWitnesses() {
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
			if item.Kind == LostAnswer && !c.hasEnoughReports(a.key, a.evidence) {
				complete = false
			} else if item.Kind == ConnectionReset || a.evidence.confirmsLoss(a.revision, item, at, c.nodeCount) {
				losses[from] = confirmedLoss{a.revision, at}
			}
		}
		if loss, ok := losses[from]; ok && loss.revision == a.revision && c.now-loss.observedAt <= evidenceTTL {
			witnesses = append(witnesses, from)
		}
	}
	return witnesses, complete
}

// otherBackendWindows returns each node's window of the service's other backends. It leaves out backends whose failure rate is at least
// suspectFailureRate, so that they do not raise the rate that the assessed backend is compared with.
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
		if key != a.key && (total.Failing < minFailuresToRequest || total.failureRate() < suspectFailureRate[key.Mode]) {
			continue
		}
		for from, o := range evidence.byWitness {
			if c.isFresh(o) {
				byNode[from] = byNode[from].minus(o.Window)
			}
		}
	}
	return byNode
}

// isUnhealthy reports whether a backend's failure rate is too high. own is the backend's window, and others is the window of the service's other
// backends. Too few failures or too few answers of the other backends allow no conclusion, and the result is then false.
func isUnhealthy(mode Mode, own, others Window) bool {
	limit := max(patientMinRate, patientRateFactor*others.failureRate())
	if mode == Strict {
		limit = strictRateMargin + strictRateFactor*others.failureRate()
	}
	return others.attemptCount() >= minServiceAnswers && own.Failing >= minFailures[mode] && own.failureRate() >= limit
}

// checkFailureRate reports in tooHigh whether a backend's failure rate is too high (isUnhealthy). The rate must remain too high when the
// observations of any one node are left out. witnesses are the nodes that observed failures. The node with the most failures comes first.
func (c *Coordinator) checkFailureRate(a *assessment) (witnesses []Slot, tooHigh bool) {
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
			own = a.total.minus(o.Window)
			if o.Window.Failing > 0 {
				witnesses = append(witnesses, from)
			}
		}
		if c.nodeCount > 1 && !isUnhealthy(a.key.Mode, own, others.minus(byNode[from])) {
			return nil, false
		}
	}
	failing := func(from Slot) uint32 { return a.evidence.byWitness[from].Window.Failing }
	slices.SortFunc(witnesses, func(x, y Slot) int { return cmp.Or(cmp.Compare(failing(y), failing(x)), cmp.Compare(x, y)) })
	return witnesses, len(witnesses) > 0
}

// proposeEjection proposes an ejection. rule is the name of the rule that is met, and sufficient is the number of witnesses at the start of the
// list whose evidence suffices alone. The function returns false if the state would not accept the entry.
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
