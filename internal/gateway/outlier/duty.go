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
func (d *Coordinator) SetNodeCount(n int) { d.nodeCount = max(n, 1) }

// ApplyState takes the state after an entry, or after a snapshot without one; the host changes it in the same turn only.
func (d *Coordinator) ApplyState(s *State, e *Entry) {
	d.state = s
	if e != nil && e.Verb != SetSettings && e.Verb != Forget {
		d.recoveries[e.Key] = &recovery{revision: s.revision(e.Key), since: d.now, proposedAt: -retryInterval}
		return
	}
	for i := range s.Ejections() {
		if c := &s.Ejections()[i]; d.recoveries[c.Key] == nil {
			d.recoveries[c.Key] = &recovery{revision: c.Rev, since: d.now, proposedAt: -retryInterval}
		}
	}
	maps.DeleteFunc(d.recoveries, func(k Key, _ *recovery) bool { return s.Ejection(k) == nil })
}

// SetBackend takes what the registry tells of a backend.
func (d *Coordinator) SetBackend(l Backend) {
	if d.backends[l.ID] = l; l.Phase == Gone {
		for m := range modeCount {
			delete(d.evidence, Key{l.ID, m})
		}
		if !slices.ContainsFunc(d.state.Ejections(), func(c Ejection) bool { return c.ID == l.ID }) {
			delete(d.backends, l.ID)
		}
	}
}

// HandleReport takes a report.
func (d *Coordinator) HandleReport(from Slot, r Report) {
	for _, f := range r.Observations {
		l, ok := d.backends[f.ID]
		if !ok || l.Phase != Ready || !f.valid() || !d.state.Enabled() {
			continue
		}
		x := d.evidence[f.Key]
		if x == nil {
			if len(d.evidence) >= maxObservedKeys {
				continue
			}
			x = &keyEvidence{byWitness: map[Slot]*receivedObservation{}, losses: map[Slot]confirmedLoss{}, requestedAt: -retryInterval, proposedAt: -retryInterval}
			d.evidence[f.Key] = x
		}
		if t := x.byWitness[from]; t != nil && t.incarnation == r.Incarnation && t.seq >= r.Seq {
			continue
		}
		x.byWitness[from], x.changed = &receivedObservation{f, r.Zone, r.Incarnation, r.Seq, r.SelfDoubt, d.now}, true
	}
}

// Tick sets the clock and judges what is new.
func (d *Coordinator) Tick(now time.Duration) {
	d.now = max(d.now, now)
	if !d.state.Enabled() {
		return
	}
	for _, k := range slices.SortedFunc(maps.Keys(d.evidence), Key.compare) {
		x := d.evidence[k]
		if x.changed {
			x.changed = false
			d.evaluate(k, x)
		}
		if !d.hasFreshEvidence(x) {
			delete(d.evidence, k)
		}
	}
	for len(d.requestKeys) > 0 {
		n := min(len(d.requestKeys), maxObservations)
		d.push(BroadcastRequest{ReportRequest{d.requestKeys[:n:n]}})
		d.requestKeys = d.requestKeys[n:]
	}
	for i := range d.state.Ejections() {
		d.advanceRecovery(&d.state.Ejections()[i])
	}
	d.forgetGone()
}

// hasFreshEvidence tells whether anything of a dossier may still count.
func (d *Coordinator) hasFreshEvidence(x *keyEvidence) bool {
	for _, t := range x.byWitness {
		if d.now-t.receivedAt <= evidenceTTL {
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
func (d *Coordinator) evaluate(k Key, x *keyEvidence) {
	l, c := d.backends[k.ID], d.state.Ejection(k)
	if l.Phase != Ready || c != nil && c.Step == Ejected {
		return
	}
	rev, back, mute := d.state.revision(k), c != nil && c.Step != InService, membership.NoSlot
	if back {
		mute = c.SoleWitness // whoever alone had it out has no say on its way back
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
			if p.Age+d.now-t.receivedAt <= evidenceTTL {
				proof, pieces = proof || weights[p.Kind][k.Mode] == Conclusive, append(pieces, p)
			}
		}
		if proof {
			proofs, doubt = append(proofs, s), doubt || t.selfDoubt
		}
		if d.now-t.receivedAt <= freshWindow {
			if all.add(t.Window); t.Window.Failing > most.Failing {
				most = t.Window
			}
		}
	}
	if d.nodeCount == 1 {
		most = Window{}
	}
	halves, sure := d.confirmedLosses(k, x, rev, mute)
	links := len(halves) > 0 && (len(halves)+len(proofs) > 1 || back) && sure && d.requestAnswered(k, x) && d.seenInZone(x, l, rev, halves)
	both, suffice := slices.Clone(proofs), len(proofs)
	for _, s := range halves {
		if links && !slices.Contains(proofs, s) {
			both = append(both, s)
		}
	}
	if doubt {
		suffice = 0
	}
	if len(proofs) > 0 && d.proposeEjection(k, x, ruleConclusive, both, suffice, pieces, all) {
		return
	}
	suffice = 0
	if back { // in a trickle one that is lost is enough
		suffice = len(halves)
	}
	if links && d.proposeEjection(k, x, ruleLost, halves, suffice, pieces, all) {
		return
	}
	if w := all.sub(most); w.Failing >= minFailuresToAsk && w.failureRate() >= doubtRate[k.Mode] && d.requestAnswered(k, x) {
		if slots, ok := d.exceedsRate(k, x, rev, mute, all); ok {
			suffice = 0
			if d.nodeCount == 1 {
				suffice = 1
			}
			d.proposeEjection(k, x, ruleRate, slots, suffice, pieces, all)
		}
	}
}

// requestAnswered asks all nodes about a key, and tells whether enough have answered.
func (d *Coordinator) requestAnswered(k Key, x *keyEvidence) bool {
	n := 0
	for _, t := range x.byWitness {
		if t.receivedAt >= x.requestedAt {
			n++
		}
	}
	since := d.now - x.requestedAt
	if since < retryInterval && (4*n >= 3*d.nodeCount || 2*n >= d.nodeCount && since >= quorumWait) {
		return true
	}
	x.changed = true
	if since >= retryInterval {
		x.requestedAt = d.now
		d.requestKeys = append(d.requestKeys, k)
	}
	return false
}

// seenInZone tells whether one of the witnesses is in the backend's zone, or nobody there has had an end of it: links from
// elsewhere may be bad.
func (d *Coordinator) seenInZone(x *keyEvidence, l Backend, rev uint64, slots []Slot) bool {
	local := false
	for s, t := range x.byWitness {
		if t.zone == l.Zone && slices.Contains(slots, s) {
			return true
		}
		local = local || t.zone == l.Zone && t.Rev == rev && d.now-t.receivedAt <= freshWindow && t.Window.total() > 0
	}
	return !local
}

// confirmsLoss tells a lost answer from a late one: in the second half of its time others came, in a small part of it, and not
// by one node's word.
func (x *keyEvidence) confirmsLoss(rev uint64, p Evidence, at time.Duration, nodes int) bool {
	var all, most Window
	for _, t := range x.byWitness {
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
func (d *Coordinator) confirmedLosses(k Key, x *keyEvidence, rev uint64, mute Slot) (slots []Slot, sure bool) {
	sure = true
	for _, s := range slices.Sorted(maps.Keys(x.byWitness)) {
		t := x.byWitness[s]
		if t.Rev != rev || s == mute {
			continue
		}
		for _, p := range t.Evidence {
			at := t.receivedAt - p.Age
			if weights[p.Kind][k.Mode] != Partial || x.losses[s].revision == rev && x.losses[s].observedAt >= at-slotDuration || d.now-at > lossConfirmTimeout {
				continue
			}
			if p.Kind == LostAnswer && !d.requestAnswered(k, x) {
				sure = false
			} else if p.Kind == ConnectionReset || x.confirmsLoss(rev, p, at, d.nodeCount) {
				x.losses[s] = confirmedLoss{rev, at}
			}
		}
		if o, ok := x.losses[s]; ok && o.revision == rev && d.now-o.observedAt <= evidenceTTL {
			slots = append(slots, s)
		}
	}
	return slots, sure
}

// exceedsRate holds the failing share against the rest's, without any one node.
func (d *Coordinator) exceedsRate(k Key, x *keyEvidence, rev uint64, mute Slot, all Window) (slots []Slot, is bool) {
	var rest Window
	by := map[Slot]Window{} // what each node has of the rest
	for s, t := range x.byWitness {
		if d.now-t.receivedAt <= freshWindow {
			by[s] = t.ServiceWindow
		}
	}
	for o, y := range d.evidence { // those that are in doubt themselves are no rest
		if o.Mode != k.Mode || d.backends[o.ID].Service != d.backends[k.ID].Service {
			continue
		}
		var w Window
		for _, t := range y.byWitness {
			if d.now-t.receivedAt <= freshWindow {
				w.add(t.Window)
			}
		}
		if o != k && (w.Failing < 2 || w.failureRate() < doubtRate[k.Mode]) {
			continue
		}
		for s, t := range y.byWitness {
			if d.now-t.receivedAt <= freshWindow {
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
		if d.now-t.receivedAt > freshWindow {
			continue
		}
		w := all
		if t.Rev == rev && s != mute {
			w = all.sub(t.Window)
			if t.Window.Failing > 0 {
				slots = append(slots, s)
			}
		}
		if d.nodeCount > 1 && !sick(w, rest.sub(by[s])) {
			return nil, false
		}
	}
	slices.SortFunc(slots, func(a, b Slot) int {
		return cmp.Or(cmp.Compare(x.byWitness[b].Window.Failing, x.byWitness[a].Window.Failing), cmp.Compare(a, b))
	})
	return slots, len(slots) > 0
}

// proposeEjection proposes a verdict; false where the state would not take it.
func (d *Coordinator) proposeEjection(k Key, x *keyEvidence, rule string, slots []Slot, suffice int, pieces []Evidence, all Window) bool {
	l := d.backends[k.ID]
	backs := 0
	for _, o := range d.backends {
		if o.Service == l.Service && o.Phase == Ready {
			backs++
		}
	}
	e := Entry{Verb: Eject, Revision: d.state.revision(k), Key: k, Service: l.Service, Witnesses: slots[:min(len(slots), maxNamedWitnesses)],
		SufficientAlone: suffice, ReadyBackends: backs, Score: int(1000 * all.failureRate()), Reason: rule + ": " + describeEvidence(pieces, all)}
	return d.propose(e, &x.proposedAt)
}

// propose puts an entry forward if the state would take it now, and again where it does not come back.
func (d *Coordinator) propose(e Entry, said *time.Duration) bool {
	e.Author, e.FencingToken = "duty", d.fencingToken
	if v, _ := d.state.Decide(&e); v != routing.Taken {
		return false
	}
	if d.now-*said >= retryInterval {
		*said = d.now
		d.push(Propose{e})
	}
	return true
}

// ejectionTime is how long a case stays out at the least.
func ejectionTime(s *State, c *Ejection) time.Duration {
	return min(time.Duration(s.Settings().BaseEjectionTime)<<c.Repeats, maxEjectionTime)
}

// requiredAnswers is what a step asks for, in clean ends; a probe counts for two reads where a service has none.
func (c *Ejection) requiredAnswers() uint32 {
	if c.Step == LimitedWrites {
		return readmitWrites << min(c.Repeats, maxWriteDoublings)
	}
	return readmitReads
}

// advanceRecovery takes a case one step on where what is asked for has come, from several nodes: one alone may lie.
func (d *Coordinator) advanceRecovery(c *Ejection) {
	w, l := d.recoveries[c.Key], d.backends[c.ID]
	if c.Step == InService || w == nil || l.ID == "" || l.Phase != Ready {
		return
	}
	var sum Totals
	worst := uint32(0) // what the one node says that says most: one alone may lie
	if x := d.evidence[c.Key]; x != nil {
		most := c.requiredAnswers()/min(uint32(d.nodeCount), readmitNodes) + 1
		for _, t := range x.byWitness {
			if t.Rev == c.Rev {
				sum.add(Totals{Clean: min(t.Clean, most), Failing: t.Failing, Reads: min(t.Reads, most), Probes: t.Probes})
				worst = max(worst, t.Failing)
			}
		}
	}
	if d.nodeCount > 1 {
		sum.Failing -= worst
	}
	e := Entry{Verb: StepUp, Revision: c.Rev, Key: c.Key, Service: c.Service,
		Reason: fmt.Sprintf("%d clean ends, %d failing, %d clean reads, %d probes", sum.Clean, sum.Failing, sum.Reads, sum.Probes)}
	if c.Step.next(c.Mode) == InService {
		e.Verb = Readmit
	}
	ready := false
	switch {
	case c.Step == Ejected:
		ready = d.now-w.since >= ejectionTime(d.state, c) && sum.Probes >= readmitProbes
	case c.Step == ReadsOnly && c.Mode == Strict:
		ready = sum.Reads+2*sum.Probes >= c.requiredAnswers()
	default:
		ready = sum.Clean >= c.requiredAnswers()+failurePenalty*sum.Failing
	}
	if ready {
		d.propose(e, &w.proposedAt)
	}
}

// forgetGone drops the cases of lives that are gone, or that no registry has known for long.
func (d *Coordinator) forgetGone() {
	if d.now-d.forgotAt < retryInterval {
		return
	}
	var gone []InstanceID
	for i := range d.state.Ejections() {
		id := d.state.Ejections()[i].ID
		l, known := d.backends[id]
		if (known && l.Phase == Gone || !known && d.now-d.startedAt > unknownTTL) && !slices.Contains(gone, id) {
			gone = append(gone, id)
		}
	}
	if len(gone) > 0 {
		d.propose(Entry{Verb: Forget, GoneInstances: gone}, &d.forgotAt)
	}
	maps.DeleteFunc(d.backends, func(id InstanceID, l Backend) bool {
		return l.Phase == Gone && d.state.Ejection(Key{id, Strict}) == nil && d.state.Ejection(Key{id, Patient}) == nil
	})
}
