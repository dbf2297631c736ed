package outlier

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"clovergap/internal/gateway/membership"
	"clovergap/internal/gateway/routing"
)

const (
	retryInterval      = time.Second            // a question, or an entry that did not come back through the log
	quorumWait         = 500 * time.Millisecond // after which half of the nodes are enough
	freshWindow        = 2 * time.Second        // a window that was told longer ago is not the present one
	lossConfirmTimeout = 4 * time.Second        // after which nobody can tell any more what else was answered then
	minVouchingAnswers = 2                      // clean answers that tell a lost one from a late one
	vouchingSpeedup    = 6                      // in so small a part of its time
	minServiceAnswers  = 20                     // ends of the rest to compare with
	patientRateFactor  = 2                      // its failing share, at least
	strictRateMargin   = 0.05                   // beyond strictRateFactor times the rest's
	strictRateFactor   = 4
	patientMinRate     = 0.5
	maxEjectionTime    = 10 * time.Minute
	readmitProbes      = 3  // clean ones in a row
	readmitReads       = 20 // and clean ends, in the steps back
	readmitWrites      = 40
	maxWriteDoublings  = 4  // doublings
	readmitNodes       = 4  // from so many nodes at the least, where there are
	failurePenalty     = 10 // clean ends that one failing costs
	maxObservedKeys    = 4096
	unknownTTL         = 60 * time.Second // a life that no registry knows
)

// minFailures are failing ends that make a verdict by their share; minFailuresToAsk, of those told, that make a question.
const minFailuresToAsk = 2

var minFailures = [modeCount]uint32{5, 8}

// Coordinator is the one node's part that judges for all. It may be taken over at any time by another with a higher fence:
// what it needs is told again within two seconds.
type Coordinator struct {
	actionQueue
	now          time.Duration
	startedAt    time.Duration
	fencingToken uint64
	nodeCount    int
	state        *State
	backends     map[InstanceID]Backend
	evidence     map[Key]*keyEvidence
	recoveries   map[Key]*recovery
	forgotAt     time.Duration
	requestKeys  []Key
}

// keyEvidence is what all nodes have of a key.
type keyEvidence struct {
	byWitness   map[Slot]*receivedObservation
	changed     bool
	requestedAt time.Duration
	proposedAt  time.Duration          // last proposal
	losses      map[Slot]confirmedLoss // by witnesses
}

// confirmedLoss is the newest half of a proof of a witness that others bore out.
type confirmedLoss struct {
	revision   uint64
	observedAt time.Duration
}

type receivedObservation struct {
	Observation
	zone        string
	incarnation uint64
	seq         uint64
	selfDoubt   bool
	receivedAt  time.Duration
}

// recovery is that of a case back into service.
type recovery struct {
	revision   uint64
	since      time.Duration
	proposedAt time.Duration
}

// NewCoordinator makes one. The fence must be above that of whoever had the duty before.
func NewCoordinator(fence uint64, now time.Duration) *Coordinator {
	return &Coordinator{now: now, startedAt: now, fencingToken: fence, nodeCount: 1, state: NewState(), backends: map[InstanceID]Backend{},
		evidence: map[Key]*keyEvidence{}, recoveries: map[Key]*recovery{}, forgotAt: now}
}

// SetNodeCount says how many live.
func (c *Coordinator) SetNodeCount(n int) { c.nodeCount = max(n, 1) }

// ApplyState takes the state after an entry, or after a snapshot without one; the host changes it in the same turn only.
func (c *Coordinator) ApplyState(s *State, e *Entry) {
	c.state = s
	if e != nil && e.Verb != SetSettings && e.Verb != Forget {
		c.recoveries[e.Key] = &recovery{revision: s.revision(e.Key), since: c.now, proposedAt: -retryInterval}
		return
	}
	for i := range s.Ejections() {
		if ejection := &s.Ejections()[i]; c.recoveries[ejection.Key] == nil {
			c.recoveries[ejection.Key] = &recovery{revision: ejection.Rev, since: c.now, proposedAt: -retryInterval}
		}
	}
	maps.DeleteFunc(c.recoveries, func(k Key, _ *recovery) bool { return s.Ejection(k) == nil })
}

// SetBackend takes what the registry tells of a backend.
func (c *Coordinator) SetBackend(l Backend) {
	if c.backends[l.ID] = l; l.Phase == Gone {
		for m := range modeCount {
			delete(c.evidence, Key{l.ID, m})
		}
		if !slices.ContainsFunc(c.state.Ejections(), func(ejection Ejection) bool { return ejection.ID == l.ID }) {
			delete(c.backends, l.ID)
		}
	}
}

// HandleReport takes a report.
func (c *Coordinator) HandleReport(from Slot, r Report) {
	for _, f := range r.Observations {
		l, ok := c.backends[f.ID]
		if !ok || l.Phase != Ready || !f.valid() || !c.state.Enabled() {
			continue
		}
		x := c.evidence[f.Key]
		if x == nil {
			if len(c.evidence) >= maxObservedKeys {
				continue
			}
			x = &keyEvidence{byWitness: map[Slot]*receivedObservation{}, losses: map[Slot]confirmedLoss{}, requestedAt: -retryInterval, proposedAt: -retryInterval}
			c.evidence[f.Key] = x
		}
		if t := x.byWitness[from]; t != nil && t.incarnation == r.Incarnation && t.seq >= r.Seq {
			continue
		}
		x.byWitness[from], x.changed = &receivedObservation{f, r.Zone, r.Incarnation, r.Seq, r.SelfDoubt, c.now}, true
	}
}

// Tick sets the clock and judges what is new.
func (c *Coordinator) Tick(now time.Duration) {
	c.now = max(c.now, now)
	if !c.state.Enabled() {
		return
	}
	for _, k := range slices.SortedFunc(maps.Keys(c.evidence), Key.compare) {
		x := c.evidence[k]
		if x.changed {
			x.changed = false
			c.evaluate(k, x)
		}
		if !c.hasFreshEvidence(x) {
			delete(c.evidence, k)
		}
	}
	for len(c.requestKeys) > 0 {
		n := min(len(c.requestKeys), maxObservations)
		c.push(BroadcastRequest{ReportRequest{c.requestKeys[:n:n]}})
		c.requestKeys = c.requestKeys[n:]
	}
	for i := range c.state.Ejections() {
		c.advanceRecovery(&c.state.Ejections()[i])
	}
	c.forgetGone()
}

// hasFreshEvidence tells whether anything of a dossier may still count.
func (c *Coordinator) hasFreshEvidence(x *keyEvidence) bool {
	for _, t := range x.byWitness {
		if c.now-t.receivedAt <= evidenceTTL {
			return true
		}
	}
	return false
}

// Rules of a verdict.
const (
	ruleConclusive = "proof"
	ruleLost       = "lost"
	ruleRate       = "failing"
)

// evaluate holds what all nodes have of a key against the three rules.
func (c *Coordinator) evaluate(k Key, x *keyEvidence) {
	l, ejection := c.backends[k.ID], c.state.Ejection(k)
	if l.Phase != Ready || ejection != nil && ejection.Step == Ejected {
		return
	}
	rev, back, mute := c.state.revision(k), ejection != nil && ejection.Step != InService, membership.NoSlot
	if back {
		mute = ejection.SoleWitness // whoever alone had it out has no say on its way back
	}
	var proofs []Slot
	doubt := false
	var pieces []Evidence
	var all, most Window // most: what one node has that has most failing
	for _, s := range slices.Sorted(maps.Keys(x.byWitness)) {
		t := x.byWitness[s]
		if t.Rev != rev || s == mute {
			continue
		}
		proof := false
		for _, p := range t.Evidence {
			if p.Age+c.now-t.receivedAt <= evidenceTTL {
				proof, pieces = proof || weights[p.Kind][k.Mode] == Conclusive, append(pieces, p)
			}
		}
		if proof {
			proofs, doubt = append(proofs, s), doubt || t.selfDoubt
		}
		if c.now-t.receivedAt <= freshWindow {
			if all.add(t.Window); t.Window.Failing > most.Failing {
				most = t.Window
			}
		}
	}
	if c.nodeCount == 1 {
		most = Window{}
	}
	halves, sure := c.confirmedLosses(k, x, rev, mute)
	links := len(halves) > 0 && (len(halves)+len(proofs) > 1 || back) && sure && c.requestAnswered(k, x) && c.seenInZone(x, l, rev, halves)
	both, suffice := slices.Clone(proofs), len(proofs)
	for _, s := range halves {
		if links && !slices.Contains(proofs, s) {
			both = append(both, s)
		}
	}
	if doubt {
		suffice = 0
	}
	if len(proofs) > 0 && c.proposeEjection(k, x, ruleConclusive, both, suffice, pieces, all) {
		return
	}
	suffice = 0
	if back { // in a trickle one that is lost is enough
		suffice = len(halves)
	}
	if links && c.proposeEjection(k, x, ruleLost, halves, suffice, pieces, all) {
		return
	}
	if w := all.sub(most); w.Failing >= minFailuresToAsk && w.failureRate() >= doubtRate[k.Mode] && c.requestAnswered(k, x) {
		if slots, ok := c.exceedsRate(k, x, rev, mute, all); ok {
			suffice = 0
			if c.nodeCount == 1 {
				suffice = 1
			}
			c.proposeEjection(k, x, ruleRate, slots, suffice, pieces, all)
		}
	}
}

// requestAnswered asks all nodes about a key, and tells whether enough have answered.
func (c *Coordinator) requestAnswered(k Key, x *keyEvidence) bool {
	n := 0
	for _, t := range x.byWitness {
		if t.receivedAt >= x.requestedAt {
			n++
		}
	}
	since := c.now - x.requestedAt
	if since < retryInterval && (4*n >= 3*c.nodeCount || 2*n >= c.nodeCount && since >= quorumWait) {
		return true
	}
	x.changed = true
	if since >= retryInterval {
		x.requestedAt = c.now
		c.requestKeys = append(c.requestKeys, k)
	}
	return false
}

// seenInZone tells whether one of the witnesses is in the backend's zone, or nobody there has had an end of it: links from
// elsewhere may be bad.
func (c *Coordinator) seenInZone(x *keyEvidence, l Backend, rev uint64, slots []Slot) bool {
	local := false
	for s, t := range x.byWitness {
		if t.zone == l.Zone && slices.Contains(slots, s) {
			return true
		}
		local = local || t.zone == l.Zone && t.Rev == rev && c.now-t.receivedAt <= freshWindow && t.Window.total() > 0
	}
	return !local
}

// confirmsLoss tells a lost answer from a late one: in the second half of its time others came, in a small part of it, and not
// by one node's word.
func (k *keyEvidence) confirmsLoss(rev uint64, p Evidence, at time.Duration, nodes int) bool {
	var all, most Window
	for _, t := range k.byWitness {
		var sum Window
		for i, w := range t.Slots {
			to := t.receivedAt - t.SlotAge - time.Duration(i)*slotDuration
			if t.Rev == rev && to <= at && to-slotDuration >= at-p.Timeout/2 {
				sum.add(w)
			}
		}
		if all.add(sum); sum.Clean > most.Clean {
			most = sum
		}
	}
	quick := func(w Window) bool {
		return w.Clean > 0 && time.Duration(w.LatencyMillis/w.Clean)*time.Millisecond <= p.Timeout/vouchingSpeedup
	}
	return all.Clean >= minVouchingAnswers && quick(all) && (nodes == 1 || quick(all.sub(most)))
}

// confirmedLosses are the witnesses of halves that others bear out; false where that is still asked.
func (c *Coordinator) confirmedLosses(k Key, x *keyEvidence, rev uint64, mute Slot) (slots []Slot, sure bool) {
	sure = true
	for _, s := range slices.Sorted(maps.Keys(x.byWitness)) {
		t := x.byWitness[s]
		if t.Rev != rev || s == mute {
			continue
		}
		for _, p := range t.Evidence {
			at := t.receivedAt - p.Age
			if weights[p.Kind][k.Mode] != Partial || x.losses[s].revision == rev && x.losses[s].observedAt >= at-slotDuration || c.now-at > lossConfirmTimeout {
				continue
			}
			if p.Kind == LostAnswer && !c.requestAnswered(k, x) {
				sure = false
			} else if p.Kind == ConnectionReset || x.confirmsLoss(rev, p, at, c.nodeCount) {
				x.losses[s] = confirmedLoss{rev, at}
			}
		}
		if o, ok := x.losses[s]; ok && o.revision == rev && c.now-o.observedAt <= evidenceTTL {
			slots = append(slots, s)
		}
	}
	return slots, sure
}

// exceedsRate holds the failing share against the rest's, without any one node.
func (c *Coordinator) exceedsRate(k Key, x *keyEvidence, rev uint64, mute Slot, all Window) (slots []Slot, is bool) {
	var rest Window
	by := map[Slot]Window{} // what each node has of the rest
	for s, t := range x.byWitness {
		if c.now-t.receivedAt <= freshWindow {
			by[s] = t.ServiceWindow
		}
	}
	for o, y := range c.evidence { // those that are in doubt themselves are no rest
		if o.Mode != k.Mode || c.backends[o.ID].Service != c.backends[k.ID].Service {
			continue
		}
		var w Window
		for _, t := range y.byWitness {
			if c.now-t.receivedAt <= freshWindow {
				w.add(t.Window)
			}
		}
		if o != k && (w.Failing < 2 || w.failureRate() < doubtRate[k.Mode]) {
			continue
		}
		for s, t := range y.byWitness {
			if c.now-t.receivedAt <= freshWindow {
				by[s] = by[s].sub(t.Window)
			}
		}
	}
	for _, w := range by {
		rest.add(w)
	}
	sick := func(w, rest Window) bool {
		asked := max(patientMinRate, patientRateFactor*rest.failureRate())
		if k.Mode == Strict {
			asked = strictRateMargin + strictRateFactor*rest.failureRate()
		}
		return rest.total() >= minServiceAnswers && w.Failing >= minFailures[k.Mode] && w.failureRate() >= asked
	}
	if !sick(all, rest) {
		return nil, false
	}
	for s, t := range x.byWitness {
		if c.now-t.receivedAt > freshWindow {
			continue
		}
		w := all
		if t.Rev == rev && s != mute {
			w = all.sub(t.Window)
			if t.Window.Failing > 0 {
				slots = append(slots, s)
			}
		}
		if c.nodeCount > 1 && !sick(w, rest.sub(by[s])) {
			return nil, false
		}
	}
	slices.SortFunc(slots, func(a, b Slot) int {
		return cmp.Or(cmp.Compare(x.byWitness[b].Window.Failing, x.byWitness[a].Window.Failing), cmp.Compare(a, b))
	})
	return slots, len(slots) > 0
}

// proposeEjection proposes a verdict; false where the state would not take it.
func (c *Coordinator) proposeEjection(k Key, x *keyEvidence, rule string, slots []Slot, suffice int, pieces []Evidence, all Window) bool {
	l := c.backends[k.ID]
	backs := 0
	for _, o := range c.backends {
		if o.Service == l.Service && o.Phase == Ready {
			backs++
		}
	}
	e := Entry{Verb: Eject, Revision: c.state.revision(k), Key: k, Service: l.Service, Witnesses: slots[:min(len(slots), maxNamedWitnesses)],
		SufficientAlone: suffice, ReadyBackends: backs, Score: int(1000 * all.failureRate()), Reason: rule + ": " + describeEvidence(pieces, all)}
	return c.propose(e, &x.proposedAt)
}

// propose puts an entry forward if the state would take it now, and again where it does not come back.
func (c *Coordinator) propose(e Entry, said *time.Duration) bool {
	e.Author, e.FencingToken = "duty", c.fencingToken
	if v, _ := c.state.Decide(&e); v != routing.Accepted {
		return false
	}
	if c.now-*said >= retryInterval {
		*said = c.now
		c.push(Propose{e})
	}
	return true
}

// ejectionTime is how long a case stays out at the least.
func ejectionTime(s *State, c *Ejection) time.Duration {
	return min(time.Duration(s.Settings().BaseEjectionTime)<<c.Repeats, maxEjectionTime)
}

// requiredAnswers is what a step asks for, in clean ends; a probe counts for two reads where a service has none.
func (e *Ejection) requiredAnswers() uint32 {
	if e.Step == LimitedWrites {
		return readmitWrites << min(e.Repeats, maxWriteDoublings)
	}
	return readmitReads
}

// advanceRecovery takes a case one step on where what is asked for has come, from several nodes: one alone may lie.
func (c *Coordinator) advanceRecovery(ejection *Ejection) {
	w, l := c.recoveries[ejection.Key], c.backends[ejection.ID]
	if ejection.Step == InService || w == nil || l.ID == "" || l.Phase != Ready {
		return
	}
	var sum Totals
	worst := uint32(0) // what the one node says that says most: one alone may lie
	if x := c.evidence[ejection.Key]; x != nil {
		most := ejection.requiredAnswers()/min(uint32(c.nodeCount), readmitNodes) + 1
		for _, t := range x.byWitness {
			if t.Rev == ejection.Rev {
				sum.add(Totals{Clean: min(t.Clean, most), Failing: t.Failing, Reads: min(t.Reads, most), Probes: t.Probes})
				worst = max(worst, t.Failing)
			}
		}
	}
	if c.nodeCount > 1 {
		sum.Failing -= worst
	}
	e := Entry{Verb: StepUp, Revision: ejection.Rev, Key: ejection.Key, Service: ejection.Service,
		Reason: fmt.Sprintf("%d clean ends, %d failing, %d clean reads, %d probes", sum.Clean, sum.Failing, sum.Reads, sum.Probes)}
	if ejection.Step.next(ejection.Mode) == InService {
		e.Verb = Readmit
	}
	ready := false
	switch {
	case ejection.Step == Ejected:
		ready = c.now-w.since >= ejectionTime(c.state, ejection) && sum.Probes >= readmitProbes
	case ejection.Step == ReadsOnly && ejection.Mode == Strict:
		ready = sum.Reads+2*sum.Probes >= ejection.requiredAnswers()
	default:
		ready = sum.Clean >= ejection.requiredAnswers()+failurePenalty*sum.Failing
	}
	if ready {
		c.propose(e, &w.proposedAt)
	}
}

// forgetGone drops the cases of lives that are gone, or that no registry has known for long.
func (c *Coordinator) forgetGone() {
	if c.now-c.forgotAt < retryInterval {
		return
	}
	var gone []InstanceID
	for i := range c.state.Ejections() {
		id := c.state.Ejections()[i].ID
		l, known := c.backends[id]
		if (known && l.Phase == Gone || !known && c.now-c.startedAt > unknownTTL) && !slices.Contains(gone, id) {
			gone = append(gone, id)
		}
	}
	if len(gone) > 0 {
		c.propose(Entry{Verb: Forget, GoneInstances: gone}, &c.forgotAt)
	}
	maps.DeleteFunc(c.backends, func(id InstanceID, l Backend) bool {
		return l.Phase == Gone && c.state.Ejection(Key{id, Strict}) == nil && c.state.Ejection(Key{id, Patient}) == nil
	})
}
