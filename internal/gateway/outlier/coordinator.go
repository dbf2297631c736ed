package outlier

import (
	"maps"
	"slices"
	"time"

	"clovergap/internal/gateway/routing"
)

const (
	retryInterval   = time.Second // of a question, and of an entry that did not come back through the log
	maxObservedKeys = 4096
	coordinatorName = "duty" // the coordinator's name in histories
)

// Coordinator is the part on the core's leader that decides for all nodes. It may be taken over at any time by another with a higher
// fencing token: what it needs is reported again within two seconds.
type Coordinator struct {
	actionQueue
	now              time.Duration
	startedAt        time.Duration
	fencingToken     uint64
	nodeCount        int
	state            *State
	backends         map[InstanceID]Backend
	evidence         map[Key]*keyEvidence
	recoveries       map[Key]*recovery
	forgetProposedAt time.Duration
	requestKeys      []Key // to ask all nodes about
}

// keyEvidence is what all nodes have of a key.
type keyEvidence struct {
	byWitness   map[Slot]*receivedObservation
	changed     bool // since it was last evaluated
	requestedAt time.Duration
	proposedAt  time.Duration
	losses      map[Slot]confirmedLoss // by witness
}

// confirmedLoss is the newest partial evidence of a witness that others bore out.
type confirmedLoss struct {
	revision   uint64
	observedAt time.Duration
}

// receivedObservation is a node's newest one of a key.
type receivedObservation struct {
	Observation
	zone        string
	incarnation uint64
	seq         uint64
	selfDoubt   bool
	receivedAt  time.Duration
}

// NewCoordinator makes one. The fencing token must be above that of every coordinator before.
func NewCoordinator(fencingToken uint64, now time.Duration) *Coordinator {
	return &Coordinator{now: now, startedAt: now, fencingToken: fencingToken, nodeCount: 1, state: NewState(), backends: map[InstanceID]Backend{},
		evidence: map[Key]*keyEvidence{}, recoveries: map[Key]*recovery{}, forgetProposedAt: now}
}

// SetNodeCount says how many nodes are alive.
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

// SetBackend takes a backend's state from the registry.
func (c *Coordinator) SetBackend(b Backend) {
	c.backends[b.ID] = b
	if b.Phase != Gone {
		return
	}
	for m := range modeCount {
		delete(c.evidence, Key{b.ID, m})
	}
	if !slices.ContainsFunc(c.state.Ejections(), func(e Ejection) bool { return e.ID == b.ID }) {
		delete(c.backends, b.ID)
	}
}

// HandleReport takes a report. Observations of backends that are not in service, that no node may have written, or that are older
// than the witness's last change nothing.
func (c *Coordinator) HandleReport(from Slot, r Report) {
	for _, o := range r.Observations {
		b, known := c.backends[o.ID]
		if !known || b.Phase != Ready || !o.valid() || !c.state.Enabled() {
			continue
		}
		evidence := c.evidence[o.Key]
		if evidence == nil {
			if len(c.evidence) >= maxObservedKeys {
				continue
			}
			evidence = &keyEvidence{byWitness: map[Slot]*receivedObservation{}, losses: map[Slot]confirmedLoss{}, requestedAt: -retryInterval, proposedAt: -retryInterval}
			c.evidence[o.Key] = evidence
		}
		if newest := evidence.byWitness[from]; newest != nil && newest.incarnation == r.Incarnation && newest.seq >= r.Seq {
			continue
		}
		evidence.byWitness[from], evidence.changed = &receivedObservation{o, r.Zone, r.Incarnation, r.Seq, r.SelfDoubt, c.now}, true
	}
}

// Tick sets the clock and evaluates what is new.
func (c *Coordinator) Tick(now time.Duration) {
	c.now = max(c.now, now)
	if !c.state.Enabled() {
		return
	}
	for _, key := range slices.SortedFunc(maps.Keys(c.evidence), Key.compare) {
		evidence := c.evidence[key]
		if evidence.changed {
			evidence.changed = false
			c.evaluate(key, evidence)
		}
		if !c.hasFreshEvidence(evidence) {
			delete(c.evidence, key)
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

// hasFreshEvidence reports whether anything of a key's evidence may still count.
func (c *Coordinator) hasFreshEvidence(evidence *keyEvidence) bool {
	for _, o := range evidence.byWitness {
		if c.now-o.receivedAt <= evidenceTTL {
			return true
		}
	}
	return false
}

// propose puts an entry forward if the state would take it now, and again where it does not come back. proposedAt is when it last was.
func (c *Coordinator) propose(e Entry, proposedAt *time.Duration) bool {
	e.Author, e.FencingToken = coordinatorName, c.fencingToken
	if result, _ := c.state.Decide(&e); result != routing.Accepted {
		return false
	}
	if c.now-*proposedAt >= retryInterval {
		*proposedAt = c.now
		c.push(Propose{e})
	}
	return true
}
