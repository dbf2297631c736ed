package outlier

import (
	"maps"
	"slices"
	"time"

	"clovergap/internal/gateway/routing"
)

const (
	// retryInterval is the minimum interval between two report requests for a key, and between two proposals of the same entry.
	retryInterval = time.Second
	// maxObservedKeys limits the keys for which the coordinator stores evidence.
	maxObservedKeys = 4096
	// coordinatorName is the author of the coordinator's entries in the history.
	coordinatorName = "duty"
)

// Coordinator runs on the core's leader and decides on ejections for all nodes. Another coordinator with a higher fencing token may replace a
// coordinator at any time. The replacement starts without evidence, and the nodes repeat their reports within reportInterval.
type Coordinator struct {
	actionQueue
	now              time.Duration
	startedAt        time.Duration
	fencingToken     uint64
	nodeCount        int // The number of live nodes, at least 1.
	state            *State
	backends         map[InstanceID]Backend
	evidence         map[Key]*keyEvidence
	recoveries       map[Key]*recovery
	forgetProposedAt time.Duration // The time of the last proposal of a Forget entry.
	// The keys for the next report request to all nodes.
	requestKeys []Key
}

// keyEvidence holds the reports of all nodes on a key.
type keyEvidence struct {
	// The newest observation of each node that has reported on the key.
	byWitness map[Slot]*receivedObservation
	// True if the key must be evaluated at the next Tick.
	changed     bool
	requestedAt time.Duration // The time of the last report request for the key.
	proposedAt  time.Duration // The time of the last proposal of an ejection of the key.
	// For each witness, the newest lost answer or connection reset that counts as partial evidence.
	losses map[Slot]confirmedLoss
}

// confirmedLoss is a lost answer that was confirmed (keyEvidence.confirmsLoss), or a connection reset.
type confirmedLoss struct {
	revision   uint64        // The revision of the key's ejection under which the loss was observed.
	observedAt time.Duration // The time of the loss on the coordinator's clock.
}

// receivedObservation is a node's newest observation of a key.
type receivedObservation struct {
	Observation
	zone        string        // The node's zone.
	incarnation uint64        // Report.Incarnation
	seq         uint64        // Report.Seq
	selfDoubt   bool          // Report.SelfDoubt
	receivedAt  time.Duration // The time when the coordinator received the report.
}

// NewCoordinator returns a Coordinator. The fencing token must be higher than that of every earlier coordinator.
func NewCoordinator(fencingToken uint64, now time.Duration) *Coordinator {
	return &Coordinator{now: now, startedAt: now, fencingToken: fencingToken, nodeCount: 1, state: NewState(), backends: map[InstanceID]Backend{},
		evidence: map[Key]*keyEvidence{}, recoveries: map[Key]*recovery{}, forgetProposedAt: now}
}

// SetNodeCount sets the number of live nodes.
func (c *Coordinator) SetNodeCount(count int) { c.nodeCount = max(count, 1) }

// ApplyState sets the state. e is the entry that was just applied, or nil if a snapshot was restored. The coordinator keeps a reference to the
// state. The host must therefore call ApplyState immediately after each change of the state.
func (c *Coordinator) ApplyState(s *State, e *Entry) {
	c.state = s
	if e != nil && e.Verb != SetSettings && e.Verb != Forget {
		c.recoveries[e.Key] = &recovery{revision: s.ejectionRevision(e.Key), since: c.now, proposedAt: -retryInterval}
		return
	}
	for i := range s.Ejections() {
		if ejection := &s.Ejections()[i]; c.recoveries[ejection.Key] == nil {
			c.recoveries[ejection.Key] = &recovery{revision: ejection.Rev, since: c.now, proposedAt: -retryInterval}
		}
	}
	maps.DeleteFunc(c.recoveries, func(k Key, _ *recovery) bool { return s.Ejection(k) == nil })
}

// SetBackend stores a backend as recorded in the registry. It drops the evidence on a backend that is gone.
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

// HandleReport stores the observations of a node's report. It ignores an observation if the backend is not ready or if the observation is
// invalid. It also ignores an observation if the same incarnation of the node has sent a report on the key with an equal or higher sequence
// number before.
func (c *Coordinator) HandleReport(from Slot, r Report) {
	for _, o := range r.Observations {
		b, known := c.backends[o.ID]
		if !known || b.Phase != Ready || !o.isValid() || !c.state.Enabled() {
			continue
		}
		evidence := c.evidence[o.Key]
		if evidence == nil {
			if len(c.evidence) >= maxObservedKeys {
				continue
			}
			evidence = &keyEvidence{byWitness: map[Slot]*receivedObservation{}, losses: map[Slot]confirmedLoss{}, requestedAt: -retryInterval,
				proposedAt: -retryInterval}
			c.evidence[o.Key] = evidence
		}
		if newest := evidence.byWitness[from]; newest != nil && newest.incarnation == r.Incarnation && newest.seq >= r.Seq {
			continue
		}
		evidence.byWitness[from], evidence.changed = &receivedObservation{o, r.Zone, r.Incarnation, r.Seq, r.SelfDoubt, c.now}, true
	}
}

// Tick sets the clock, evaluates keys with new observations, requests reports, and proposes recovery steps and a Forget entry.
func (c *Coordinator) Tick(now time.Duration) {
	c.now = max(c.now, now)
	if !c.state.Enabled() {
		return
	}
	for _, key := range slices.SortedFunc(maps.Keys(c.evidence), Key.compare) {
		evidence := c.evidence[key]
		if evidence.changed {
			evidence.changed = false
			c.proposeEjectionIfRuleMet(key, evidence)
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
		c.proposeRecoveryStep(&c.state.Ejections()[i])
	}
	c.proposeForgetEntry()
}

// hasFreshEvidence reports whether any observation of a key was received at most evidenceTTL ago.
func (c *Coordinator) hasFreshEvidence(evidence *keyEvidence) bool {
	for _, o := range evidence.byWitness {
		if c.now-o.receivedAt <= evidenceTTL {
			return true
		}
	}
	return false
}

// propose proposes an entry and returns true if the state would accept the entry now. If the last proposal is less than retryInterval old,
// propose returns true but does not propose the entry again. proposedAt points to the time of the last proposal, and propose updates this time.
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
