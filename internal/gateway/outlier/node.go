package outlier

import (
	"maps"
	"slices"
	"time"
)

// Times and bounds of what a node observes and reports.
const (
	linkEvidenceDelay           = 500 * time.Millisecond // evidence that a link may have made is counted after it
	reportNow                   = 1 * time.Nanosecond    // at the next turn
	reportDelay                 = 200 * time.Millisecond // of new evidence on a key
	slowReportDelay             = time.Second            // of totals, and of failures that count by rate
	reportRepeatInterval        = 2 * time.Second        // while evidence counts
	maxObservations             = 32                     // of one report
	probeInterval               = time.Second            // between probes of a backend
	noneAvailableRepeatInterval = 5 * time.Second
	limitedPerSecond            = 10 // requests to a backend with limited access, of all nodes together
	maxOtherResets              = 2  // so many other backends that reset at once: it was not theirs
)

// A node's own ejections, before there is a verdict.
const (
	localEjectionTime = 10 * time.Second // doubled with each repetition
	maxLocalDoublings = 3
)

// doubtRate is the failure rate from which a backend is in doubt, and a node reports it.
var doubtRate = [modeCount]float64{0.05, 0.3}

// Node is one node's part: it observes backends, reports to the coordinator, and gives each backend the access that ejections leave it.
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
	services     map[string]*service  // by service
	zonePaths    map[string]*zonePath // by zone
	active       map[Key]*keyState    // keys with anything to look at
	delayed      []delayedEvidence    // not counted yet
	resets       []observedReset      // of late
	changed      []*service           // whose access may have changed
}

// backend is what a node has of a backend.
type backend struct {
	Backend
	service      *service
	keys         [modeCount]keyState
	lastAnswerAt time.Duration // to this node
	probedAt     time.Duration
}

// service is what a node has of a service.
type service struct {
	name            string
	backends        []*backend // ready ones, by ID
	windows         [modeCount]slidingWindow
	doubtUntil      time.Duration // this node doubts its own observations until then
	changed         bool          // it is in Node.changed
	noneAvailableAt time.Duration // when NoneAvailable was last pushed; 0: some backend takes writes
}

// NewNode makes one. Each start of a node has another incarnation.
func NewNode(zone string, incarnation uint64, now time.Duration) *Node {
	return &Node{now: now, zone: zone, incarnation: incarnation, nodeCount: 1, disconnected: true, state: NewState(), backends: map[InstanceID]*backend{},
		services: map[string]*service{}, zonePaths: map[string]*zonePath{}, active: map[Key]*keyState{}}
}

// SetNodeCount says how many nodes share the backends.
func (n *Node) SetNodeCount(count int) { n.nodeCount = max(count, 1) }

// ApplyState takes the state after an entry, or after a snapshot without one; the host changes it in the same turn only.
func (n *Node) ApplyState(s *State, e *Entry) {
	n.state = s
	if e != nil && e.Verb != SetSettings && e.Verb != Forget {
		if instance := n.backends[e.Key.ID]; instance != nil {
			n.applyKey(instance, e.Key.Mode)
		}
	} else {
		for _, instance := range n.backends {
			n.applyKey(instance, Strict)
			n.applyKey(instance, Patient)
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

func (n *Node) applyKey(instance *backend, m Mode) {
	state := &instance.keys[m]
	if rev := n.state.revision(state.key); rev != state.revision {
		n.resetKey(state, rev)
	}
	n.queueService(instance.service)
}

// SetConnected says whether this node has contact with the core. What it found of links while it had none is dropped when it has again.
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

// SetBackend takes a backend's state from the registry.
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
	n.queueService(svc)
	at, listed := slices.BinarySearchFunc(svc.backends, b.ID, func(o *backend, id InstanceID) int {
		return Key{ID: o.ID}.compare(Key{ID: id})
	})
	if ready := b.Phase == Ready; ready && !listed {
		svc.backends = slices.Insert(svc.backends, at, instance)
	} else if !ready && listed {
		svc.backends = slices.Delete(svc.backends, at, at+1)
	}
	if b.Phase != Ready { // it gets nothing new, and what is seen of it now is not about the service
		n.removeBackend(instance)
	}
	n.updateAccess()
}

// addBackend begins to observe a backend.
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
		n.resetKey(state, n.state.revision(state.key))
	}
	n.backends[b.ID] = instance
	return instance
}

// removeBackend ends it; one that comes back begins open.
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

// ModeFor is the mode of a route's requests.
func (n *Node) ModeFor(route string, effectful bool) Mode {
	if !n.state.Enabled() {
		return Unwatched
	}
	return n.state.Settings().ModeFor(route, effectful)
}

// Revision of a key is kept with an attempt, for its end.
func (n *Node) Revision(k Key) uint64 { return n.state.revision(k) }

// HandleProbe takes the answer to a probe: which instance answered, "" if none did, and whether it is healthy.
func (n *Node) HandleProbe(id, by InstanceID, healthy bool) {
	instance := n.backends[id]
	if instance == nil || !n.state.Enabled() {
		return
	}
	instance.lastAnswerAt = n.now
	for m := range instance.keys {
		state := &instance.keys[m]
		switch {
		case by != "" && by != id:
			n.countEvidence(state, evidenceItem{WrongInstance, n.now, 0})
		case healthy && by == id:
			state.Probes++
		default:
			state.Probes = 0
		}
	}
	n.updateAccess()
}

// HandleReportRequest answers a request of the coordinator to report on some keys.
func (n *Node) HandleReportRequest(r ReportRequest) {
	for _, k := range r.Keys {
		if instance := n.backends[k.ID]; instance != nil && k.Mode < modeCount {
			instance.keys[k.Mode].reportWithin = reportNow
			n.active[k] = &instance.keys[k.Mode]
		}
	}
	n.report(r.Keys)
}

// Tick sets the clock, and reports what is due.
func (n *Node) Tick(now time.Duration) {
	n.now = max(n.now, now)
	n.releaseDelayed()
	keys := slices.SortedFunc(maps.Keys(n.active), Key.compare)
	for _, k := range keys {
		n.maintainKey(n.active[k])
	}
	for _, svc := range n.services {
		if svc.noneAvailableAt > 0 && n.now-svc.noneAvailableAt >= noneAvailableRepeatInterval {
			n.queueService(svc)
		}
	}
	n.probeIdle()
	n.updateAccess()
	n.report(keys)
}

func (n *Node) probe(instance *backend) {
	if n.now-instance.probedAt >= probeInterval {
		instance.probedAt = n.now
		n.push(Probe{instance.ID})
	}
}

// probeIdle has the backends in service probed that this node owns and that have answered nothing for a while, where the settings say so.
func (n *Node) probeIdle() {
	after := time.Duration(n.state.Settings().ProbeIdleAfter)
	if after == 0 || !n.state.Enabled() {
		return
	}
	for _, svc := range n.services {
		for _, instance := range svc.backends {
			if instance.Owned && n.now-max(instance.lastAnswerAt, instance.probedAt) >= after {
				n.probe(instance)
			}
		}
	}
}

// report sends the observations of some keys that are due.
func (n *Node) report(keys []Key) {
	if n.disconnected || !n.state.Enabled() {
		return
	}
	var observations []Observation
	doubt := false
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
		doubt = doubt || svc.doubtUntil > n.now
		if observations = append(observations, observation); len(observations) == maxObservations {
			break // the others with the next turn
		}
	}
	if len(observations) > 0 {
		n.seq++
		n.push(SendReport{Report{n.zone, n.incarnation, n.seq, doubt, observations}})
	}
}
