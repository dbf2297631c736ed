package node

import (
	"encoding/json"
	"time"

	"github.com/phuslu/log"

	"clovergap/internal/gateway/admission"
	"clovergap/internal/gateway/controlapi"
	"clovergap/internal/gateway/membership"
	"clovergap/internal/gateway/registry"
	"clovergap/internal/gateway/rollout"
	"clovergap/internal/gateway/routing"
)

// backendsRefreshInterval is how often the coordinator gets the capacity of the backends.
const backendsRefreshInterval = time.Second

// LocalRollbackMessage is logged where a node sends its users back to the baseline by its own findings, without a decision for all nodes.
const LocalRollbackMessage = "rolled back on this node alone"

// rolloutHost runs roll-outs at a node: package rollout decides, this carries for it. It owns the node's part (local: which side a
// user is on, and what requests come to), and at the leader the coordinator, which judges for all nodes. While there is no
// roll-out it asks, times and sends nothing. It is called in turns of the node.
type rolloutHost struct {
	peers     rolloutPeers
	backends  rolloutBackends
	local     *rollout.Node
	reports   reportQueue
	admission admissionStates

	coordinator         *rollout.Coordinator // nil: another node leads
	coordinatorTerm     uint64               // of the log, in which this node leads: the coordinator's fencing token
	backendsRefreshedAt time.Duration

	appliedRevision    uint64            // of the state
	loggedRevisions    map[string]uint64 // of each service's
	caughtUp           bool              // in this incarnation the state here was as new as the leader's
	catchUpRequestedAt time.Duration
	answerStatus       int // of the response whose outcome is being passed on; 0: there is none
}

// rolloutMessage is a report on its way to the leader, with the slot of the node that it is of, or the start of a lap, in which evidence is
// gathered afresh, on its way to all nodes.
type rolloutMessage struct {
	slot   membership.Slot
	hops   int
	report *rollout.Report
	lap    *rollout.Lap
}

// rolloutPeers is what a rolloutHost needs of the log and of the other nodes.
type rolloutPeers interface {
	now() time.Duration
	rolloutState() *rollout.State
	// isCurrent reports whether what this node knows is recent enough to refuse requests by it.
	isCurrent() bool
	isMember() bool
	ledTerm() (term uint64, leads bool)
	slot() membership.Slot
	clusterSize() int
	readRollouts(done callDone)
	proposeRollout(e rollout.Entry)
	// sendTowardsLeader sends a report to the leader, or to the node that this one follows, unless that is where it came from.
	sendTowardsLeader(report *rolloutMessage, from string)
	sendToMembers(lap *rolloutMessage)
	sendToLearners(lap *rolloutMessage, except string)
	logInfo(p logPart) *log.Entry
	logWarn(p logPart) *log.Entry
}

// rolloutBackends is what a rolloutHost needs of those that choose a backend for a request.
type rolloutBackends interface {
	// serviceRecords are the registrations of a service; known is false as long as this node has no registry.
	serviceRecords(service string) (records []registry.Record, known bool)
	// tickRegistry brings the registry's clock up to this turn.
	tickRegistry()
	updateListing(c registry.Changed)
	setRollout(service string, open admission.CanaryAccess)
	// busyEverywhere is how many requests a service has at a time on all nodes, as extrapolated from this node's own.
	busyEverywhere(service string) int
	// isConfigured reports whether the configuration has a service; true while there is no configuration.
	isConfigured(service string) bool
}

func newRolloutHost(peers rolloutPeers, backends rolloutBackends, zone string, incarnation uint64) *rolloutHost {
	return &rolloutHost{peers: peers, backends: backends, local: rollout.NewNode(zone, incarnation, peers.now()),
		admission: admissionStates{}, loggedRevisions: map[string]uint64{}, catchUpRequestedAt: -time.Second}
}

// applyState takes the state after an entry or a snapshot.
func (r *rolloutHost) applyState() {
	state := r.peers.rolloutState()
	if state.Revision == r.appliedRevision {
		return
	}
	r.appliedRevision = state.Revision
	now := r.peers.now()
	r.local.Tick(now)
	r.local.ApplyState(state)
	if r.coordinator != nil {
		r.coordinator.Tick(now)
		r.coordinator.ApplyState(state)
	}
	for i := range state.Runs() {
		r.logProgress(&state.Runs()[i])
	}
	r.updateAdmission()
}

// logProgress logs what has become of a roll-out, once for each of its revisions.
func (r *rolloutHost) logProgress(run *rollout.Run) {
	if r.loggedRevisions[run.Spec.Service] == run.Revision {
		return
	}
	r.loggedRevisions[run.Spec.Service] = run.Revision
	last := run.History[len(run.History)-1]
	r.peers.logInfo(rolloutPart).Str("service", run.Spec.Service).Uint64("rollout", uint64(run.Number)).
		Str("verb", string(last.Verb)).Str("by", last.Author).Str("phase", string(run.Phase)).Int("step", run.Step).
		Int("steps", len(run.Spec.Steps)).Int("share", run.CanaryShare()).Str("reason", last.Reason).Msg("roll-out changed")
}

// tick is the part of the node's periodic timer.
func (r *rolloutHost) tick() {
	if !r.local.HasRollouts() {
		return
	}
	now, current := r.peers.now(), r.peers.isCurrent()
	if current && !r.caughtUp && now-r.catchUpRequestedAt >= time.Second {
		r.catchUpRequestedAt = now
		r.peers.readRollouts(r.receiveCatchUp)
	}
	r.local.SetConnected(current && r.caughtUp)
	r.local.Tick(now)
	for action, ok := r.local.Next(); ok; action, ok = r.local.Next() {
		switch action := action.(type) {
		case rollout.SendReport:
			r.report(action.Report)
		case rollout.LocalRollback:
			r.peers.logWarn(rolloutPart).Str("service", action.Service).Uint64("rollout", uint64(action.Number)).
				Str("reason", action.Reason).Msg(LocalRollbackMessage)
		}
	}
	for _, report := range r.reports.take(now) {
		r.peers.sendTowardsLeader(&rolloutMessage{slot: r.peers.slot(), hops: 1, report: &report}, "")
	}
	r.runCoordinator()
	r.updateAdmission()
}

// receiveCatchUp takes the leader's state at the time of the request: this node's own may be from before its restart.
func (r *rolloutHost) receiveCatchUp(status int, body []byte) {
	var there controlapi.RolloutStatus
	if status == statusOK && json.Unmarshal(body, &there) == nil && r.peers.rolloutState().Revision >= there.Rev {
		r.caughtUp = true
	}
}

// report has the coordinator take a report of this node.
func (r *rolloutHost) report(report rollout.Report) {
	if r.coordinator != nil {
		r.receiveReport(&rolloutMessage{slot: r.peers.slot(), report: &report})
		return
	}
	r.reports.add(report)
}

// receive takes a report or the beginning of a lap, or passes it on.
func (r *rolloutHost) receive(from string, m *rolloutMessage) {
	switch {
	case m.lap != nil:
		r.local.Tick(r.peers.now())
		r.local.HandleLap(*m.lap)
		if r.peers.isMember() {
			r.peers.sendToLearners(m, from)
		}
	case m.report == nil || len(m.report.Evidence) > maxEvidenceBytes:
	case r.coordinator != nil:
		r.receiveReport(m)
	case m.hops < maxHops && r.peers.isMember():
		r.peers.sendTowardsLeader(&rolloutMessage{slot: m.slot, hops: m.hops + 1, report: m.report}, from)
	}
}

// receiveReport hands a report to this node's coordinator.
func (r *rolloutHost) receiveReport(m *rolloutMessage) {
	if m.slot == membership.NoSlot {
		return
	}
	r.coordinator.Tick(r.peers.now())
	if err := r.coordinator.HandleReport(rollout.NodeID(m.slot), *m.report); err != nil {
		r.peers.logInfo(rolloutPart).Int("slot", int(m.slot)).Err(err).Msg("report not readable")
	}
}

// runCoordinator judges for all nodes while this one leads.
func (r *rolloutHost) runCoordinator() {
	term, leads := r.peers.ledTerm()
	if !leads {
		r.coordinator = nil
		return
	}
	now := r.peers.now()
	if r.coordinator == nil || r.coordinatorTerm != term {
		r.coordinator, r.coordinatorTerm = rollout.NewCoordinator(term, now), term
		r.coordinator.ApplyState(r.peers.rolloutState())
		r.backendsRefreshedAt = now - backendsRefreshInterval
	}
	if now-r.backendsRefreshedAt >= backendsRefreshInterval {
		r.backendsRefreshedAt = now
		r.coordinator.SetNodeCount(r.peers.clusterSize())
		r.refreshBackends()
	}
	r.coordinator.Tick(now)
	for action, ok := r.coordinator.Next(); ok; action, ok = r.coordinator.Next() {
		switch action := action.(type) {
		case rollout.Propose:
			r.peers.proposeRollout(action.Entry)
		case rollout.BroadcastLap:
			r.broadcastLap(action.Lap)
		}
	}
}

// broadcastLap has all nodes gather evidence afresh.
func (r *rolloutHost) broadcastLap(lap rollout.Lap) {
	r.local.HandleLap(lap)
	m := &rolloutMessage{lap: &lap}
	r.peers.sendToMembers(m)
	r.peers.sendToLearners(m, "")
}

// refreshBackends updates the coordinator on whether there is a version to go back to, and a service at all.
func (r *rolloutHost) refreshBackends() {
	for i := range r.peers.rolloutState().Runs() {
		run := &r.peers.rolloutState().Runs()[i]
		if run.Phase != rollout.Running {
			continue
		}
		baseline := -1 // not known
		if capacity := r.capacityOf(&run.Spec); capacity.Baseline+capacity.Canary > 0 {
			baseline = capacity.Baseline
		}
		r.coordinator.SetBaselineBackends(run.Spec.Service, baseline, r.backends.isConfigured(run.Spec.Service))
	}
}

// capacityOf is how many requests the ready backends of each version take at a time, and how many there are at the busiest, as
// extrapolated from this node's own.
func (r *rolloutHost) capacityOf(spec *rollout.Spec) (c rollout.Capacity) {
	records, known := r.backends.serviceRecords(spec.Service)
	if !known {
		return c
	}
	for _, record := range records {
		switch {
		case record.Phase != registry.Ready:
		case record.Generation == spec.New:
			c.Canary += max(record.Capacity, 1)
		default:
			c.Baseline += max(record.Capacity, 1)
		}
	}
	c.PeakInUse = r.backends.busyEverywhere(spec.Service)
	return c
}

// prepareEntry is an operator's entry as the leader puts it into the log: with what the coordinator has counted until now. An order that
// would be taken, but names what is not in the configuration, is refused here, since another node may not know the newest.
func (r *rolloutHost) prepareEntry(body []byte, checkKnown func(*rollout.Spec) error) ([]byte, error) {
	e, err := rollout.DecodeEntry(body)
	if err != nil {
		return nil, err
	}
	if e.Spec != nil { // the node that took the call may know of fewer backends
		here := r.capacityOf(e.Spec)
		e.Capacity.Baseline, e.Capacity.Canary = max(e.Capacity.Baseline, here.Baseline), max(e.Capacity.Canary, here.Canary)
	}
	if v, _ := r.peers.rolloutState().Decide(e); v == routing.Accepted && e.Spec != nil {
		if err := checkKnown(e.Spec); err != nil {
			return nil, err
		}
	}
	if r.coordinator != nil {
		e.Counts, _ = r.coordinator.Counts(e.Service)
	}
	return e.Encode(), nil
}
