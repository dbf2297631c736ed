package outlier

import (
	"maps"
	"slices"
	"time"
)

// Intervals and bounds of a node's observations and reports.
const (
	// A lost answer or a connection reset counts as evidence only after this delay. During the delay, other observations may show that a network
	// link caused the failure.
	linkEvidenceDelay = 500 * time.Millisecond
	// The value of keyState.reportWithin for a report that is to be sent at once. The value 0 of this field means that nothing is to be reported.
	reportNow = 1 * time.Nanosecond
	// The minimum time between the last report on a key and the next report, if new evidence other than ByRate evidence caused the next report.
	// ByRate evidence counts only in the failure rate and is reported after slowReportDelay.
	reportDelay = 200 * time.Millisecond
	// The minimum time between the last report on a key and the next report, if only new totals or new ByRate evidence caused the next report.
	slowReportDelay = time.Second
	// The report on a key is repeated at this interval while its evidence has not expired.
	reportInterval = 2 * time.Second
	// The maximum number of observations in one report.
	maxObservations = 32
	// The minimum interval between two probes of a backend.
	probeInterval = time.Second
	// The interval between two NoneAvailable actions while no backend of a service is available.
	noneAvailableInterval = 5 * time.Second
	// The number of requests per second that all nodes together may send to a backend with limited access.
	limitedPerSecond = 10
	// A connection reset by a backend does not count as evidence if at least this many other backends reset a connection within linkEvidenceDelay
	// of the reset. The cause is then assumed to be this node or a network link.
	maxOtherResets = 2
)

// Constants of local ejections. In a local ejection a node closes a backend to its own requests before the coordinator has decided.
const (
	// The duration of the first local ejection of a key. The duration doubles with each repeated local ejection.
	localEjectionTime = 10 * time.Second
	// The maximum number of these doublings.
	maxLocalDoublings = 3
)

// suspectFailureRate is the failure rate, by mode, from which a node reports the failures of a backend and the coordinator examines the backend.
var suspectFailureRate = [modeCount]float64{0.05, 0.3}

// Node is the part that runs on every node. It observes backends, reports to the coordinator and sets each backend's access according to the
// ejections.
type Node struct {
	actionQueue
	now          time.Duration
	zone         string
	incarnation  uint64
	seq          uint64
	nodeCount    int
	disconnected bool
	state        *State
	backends     map[InstanceID]*backend
	services     map[string]*service  // By service name.
	zonePaths    map[string]*zonePath // By zone.
	active       map[Key]*keyState    // The keys that Tick must check.
	delayed      []delayedEvidence    // Evidence that does not count yet, oldest first.
	resets       []observedReset      // The recent connection resets.
	changed      []*service           // The services queued for updateAccess.
}

// backend is a node's state for a backend.
type backend struct {
	Backend
	service      *service
	keys         [modeCount]keyState
	lastAnswerAt time.Duration // The time of the last answer to this node.
	probedAt     time.Duration // The time of this node's last probe.
}

// service is a node's state for a service.
type service struct {
	name string
	// The ready backends, ordered by ID.
	backends []*backend
	windows  [modeCount]slidingWindow
	// The time until which this node doubts its own observations of the service.
	doubtUntil time.Duration
	// True if the service is in Node.changed.
	changed bool
	// The time of the last NoneAvailable action. 0 while a backend accepts strict requests or the service has no ready backends.
	noneAvailableAt time.Duration
}

// NewNode returns a Node that is not connected to the core. Each start of a node needs a different incarnation.
func NewNode(zone string, incarnation uint64, now time.Duration) *Node {
	return &Node{now: now, zone: zone, incarnation: incarnation, nodeCount: 1, disconnected: true, state: NewState(), backends: map[InstanceID]*backend{},
		services: map[string]*service{}, zonePaths: map[string]*zonePath{}, active: map[Key]*keyState{}}
}

// SetNodeCount sets the number of nodes that send requests to the backends. The nodes share the rate limit of a backend with limited access.
func (n *Node) SetNodeCount(count int) { n.nodeCount = max(count, 1) }

// ApplyState sets the state. e is the entry that was just applied, or nil if a snapshot was restored. The node keeps a reference to the state.
// The host must therefore call ApplyState immediately after each change of the state.
func (n *Node) ApplyState(s *State, e *Entry) {
	n.state = s
	if e != nil && e.Verb != SetSettings && e.Verb != Forget {
		if instance := n.backends[e.Key.ID]; instance != nil {
			n.applyEjectionRevision(instance, e.Key.Mode)
		}
	} else {
		for _, instance := range n.backends {
			n.applyEjectionRevision(instance, Strict)
			n.applyEjectionRevision(instance, Patient)
		}
	}
	if !s.Enabled() {
		n.delayed, n.resets = nil, nil
		for _, state := range n.active {
			n.resetKey(state, state.revision)
		}
	}
	n.updateAccess()
}

// applyEjectionRevision discards what was observed of a key if its ejection has a new revision, and queues the service for updateAccess.
func (n *Node) applyEjectionRevision(instance *backend, m Mode) {
	state := &instance.keys[m]
	if rev := n.state.ejectionRevision(state.key); rev != state.revision {
		n.resetKey(state, rev)
	}
	n.queueAccessUpdate(instance.service)
}

// SetConnected sets whether this node is connected to the core. When the connection is restored, the node drops the evidence that a network
// link may have caused.
func (n *Node) SetConnected(connected bool) {
	if connected && n.disconnected {
		n.delayed = nil
		for _, state := range n.active {
			state.delayedCount = 0
			state.evidence = slices.DeleteFunc(state.evidence, func(item evidenceItem) bool { return evidenceWeights[item.kind][state.key.Mode] == Partial })
		}
	}
	n.disconnected = !connected
}

// SetBackend stores a backend as recorded in the registry. It stops the observation of a backend that is not ready.
func (n *Node) SetBackend(b Backend) {
	instance := n.backends[b.ID]
	if instance == nil {
		if b.Phase != Ready {
			return
		}
		instance = n.addBackend(b)
	}
	instance.Backend = b
	svc := instance.service
	n.queueAccessUpdate(svc)
	at, listed := slices.BinarySearchFunc(svc.backends, b.ID, func(o *backend, id InstanceID) int {
		return Key{ID: o.ID}.compare(Key{ID: id})
	})
	if ready := b.Phase == Ready; ready && !listed {
		svc.backends = slices.Insert(svc.backends, at, instance)
	} else if !ready && listed {
		svc.backends = slices.Delete(svc.backends, at, at+1)
	}
	// A backend that is not ready gets no new requests. Later observations of the backend say nothing about the service.
	if b.Phase != Ready {
		n.removeBackend(instance)
	}
	n.updateAccess()
}

// addBackend starts the observation of a backend and of its service.
func (n *Node) addBackend(b Backend) *backend {
	svc := n.services[b.Service]
	if svc == nil {
		svc = &service{name: b.Service}
		n.services[b.Service] = svc
	}
	instance := &backend{service: svc, lastAnswerAt: n.now}
	for m := range instance.keys {
		state := &instance.keys[m]
		state.key, state.backend = Key{b.ID, Mode(m)}, instance
		n.resetKey(state, n.state.ejectionRevision(state.key))
	}
	n.backends[b.ID] = instance
	return instance
}

// removeBackend stops the observation of a backend and sets its access to Open.
func (n *Node) removeBackend(instance *backend) {
	delete(n.backends, instance.ID)
	for m := range instance.keys {
		n.setAccess(&instance.keys[m], Open, false)
		delete(n.active, instance.keys[m].key)
	}
	if len(instance.service.backends) == 0 {
		delete(n.services, instance.service.name)
	}
}

// ModeFor returns the mode of a route's requests, or Unwatched if outlier detection is disabled. effectful is true if the route's requests have
// side effects.
func (n *Node) ModeFor(route string, effectful bool) Mode {
	if !n.state.Enabled() {
		return Unwatched
	}
	return n.state.Settings().ModeFor(route, effectful)
}

// Revision returns the current revision of a key's ejection. The host stores it with an attempt and passes it to RecordAttempt.
func (n *Node) Revision(k Key) uint64 { return n.state.ejectionRevision(k) }

// HandleProbe handles the result of a probe of instance id. answeredBy is the instance that answered, or "" if no instance answered. healthy is
// true if the answering instance reported that it is healthy.
func (n *Node) HandleProbe(id, answeredBy InstanceID, healthy bool) {
	instance := n.backends[id]
	if instance == nil || !n.state.Enabled() {
		return
	}
	instance.lastAnswerAt = n.now
	for m := range instance.keys {
		state := &instance.keys[m]
		switch {
		case answeredBy != "" && answeredBy != id:
			n.countEvidence(state, evidenceItem{WrongInstance, n.now, 0})
		case healthy && answeredBy == id:
			state.Probes++
		default:
			state.Probes = 0
		}
	}
	n.updateAccess()
}

// HandleReportRequest reports at once on the requested keys whose backends this node knows.
func (n *Node) HandleReportRequest(r ReportRequest) {
	for _, k := range r.Keys {
		if instance := n.backends[k.ID]; instance != nil && k.Mode < modeCount {
			instance.keys[k.Mode].reportWithin = reportNow
			n.active[k] = &instance.keys[k.Mode]
		}
	}
	n.pushReport(r.Keys)
}

// Tick sets the clock and does the work that has become due: it counts delayed evidence, ends local ejections, updates access, probes backends
// and reports on keys.
func (n *Node) Tick(now time.Duration) {
	n.now = max(n.now, now)
	n.releaseDelayedEvidence()
	keys := slices.SortedFunc(maps.Keys(n.active), Key.compare)
	for _, k := range keys {
		n.updateActiveKey(n.active[k])
	}
	for _, svc := range n.services {
		if svc.noneAvailableAt > 0 && n.now-svc.noneAvailableAt >= noneAvailableInterval {
			n.queueAccessUpdate(svc)
		}
	}
	n.probeIdleBackends()
	n.updateAccess()
	n.pushReport(keys)
}

// pushProbe pushes a probe of a backend, unless the last probe was less than probeInterval ago.
func (n *Node) pushProbe(instance *backend) {
	if n.now-instance.probedAt >= probeInterval {
		instance.probedAt = n.now
		n.push(Probe{instance.ID})
	}
}

// probeIdleBackends probes each ready backend that this node owns and that has neither answered nor been probed for at least
// Settings.ProbeIdleAfter. It does nothing if Settings.ProbeIdleAfter is 0.
func (n *Node) probeIdleBackends() {
	after := time.Duration(n.state.Settings().ProbeIdleAfter)
	if after == 0 || !n.state.Enabled() {
		return
	}
	for _, svc := range n.services {
		for _, instance := range svc.backends {
			if instance.Owned && n.now-max(instance.lastAnswerAt, instance.probedAt) >= after {
				n.pushProbe(instance)
			}
		}
	}
}

// pushReport pushes one report with the observations of those given keys whose report is due. It pushes nothing if no report is due or if the
// node is disconnected from the core.
func (n *Node) pushReport(keys []Key) {
	if n.disconnected || !n.state.Enabled() {
		return
	}
	var observations []Observation
	selfDoubt := false
	for _, k := range keys {
		state := n.active[k]
		if state == nil || state.reportWithin == 0 || n.now-state.reportedAt < state.reportWithin && state.reportedAt > 0 {
			continue
		}
		svc := state.backend.service
		observation := Observation{Key: k, Rev: state.revision, Window: state.window.sum(n.now), ServiceWindow: svc.windows[k.Mode].sum(n.now),
			Totals: state.Totals}
		if k.Mode == Strict && (len(state.evidence) > 0 || state.reportWithin == reportNow) {
			observation.Slots, observation.SlotAge = state.window.completedSlots(n.now), n.now%slotDuration
		}
		state.reportWithin, state.reportedAt, state.reportedTotals = 0, n.now, state.Totals
		for _, item := range state.evidence {
			observation.Evidence = append(observation.Evidence, Evidence{item.kind, n.now - item.observedAt, item.timeout})
		}
		selfDoubt = selfDoubt || svc.doubtUntil > n.now
		if observations = append(observations, observation); len(observations) == maxObservations {
			// The remaining keys are reported at the next Tick.
			break
		}
	}
	if len(observations) > 0 {
		n.seq++
		n.push(SendReport{Report{n.zone, n.incarnation, n.seq, selfDoubt, observations}})
	}
}
