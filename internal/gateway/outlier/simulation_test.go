package outlier

import (
	"bytes"
	"fmt"
	"math"
	"math/rand"
	"os"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"clovergap/control"
	"clovergap/internal/gateway/routing"
)

const (
	tickInterval = 50 * time.Millisecond // The step of the simulated clock.
	ms           = time.Millisecond
	farFuture    = time.Hour // Later than the end of every simulation.
)

// simService is a service of the simulated site.
type simService struct {
	name                string
	backendCount        int           // The number of backends at the start.
	writeRate, readRate float64       // Strict and patient requests per second, over all nodes.
	typicalLatency      time.Duration // The median latency of a backend with the latencyFactor 1.
	timeout             time.Duration // The time-out of a request.
	backends            []*simBackend // The backends that are not gone.
}

// faultFunc returns the kind of evidence that a backend's fault causes on a request, and the factor by which the fault multiplies the latency.
// The kind is NoEvidence if the fault does not affect the request.
type faultFunc func(sim *simulation, node *simNode, m Mode) (kind EvidenceKind, slowdown float64)

// simBackend is a simulated backend.
type simBackend struct {
	Backend
	service         *simService
	fault           faultFunc
	faultStart      time.Duration // The start of the fault.
	faultEnd        time.Duration // The end of the fault. 0: the fault does not end.
	crashed         bool
	latencyFactor   float64       // The backend's typical latency, as a multiple of the service's typical latency.
	firstEvidenceAt time.Duration // The time when a node first saw evidence after faultStart. farFuture: no evidence yet.
	faulty          bool          // True if the backend itself has a fault, as opposed to a link to it.
	requests        []*simRequest // The requests in flight.
}

// simRequest is a simulated request.
type simRequest struct {
	node          *simNode
	backend       *simBackend
	key           Key
	rev           uint64
	sentAt        time.Duration
	outcome       AttemptEnd
	laterEvidence EvidenceKind // Evidence that the node sees shortly after the end of the request.
	done          bool
}

// simNode is a simulated node.
type simNode struct {
	*Node
	slot        Slot
	zone        int
	state       *State
	applied     int                   // The number of log entries that the node has applied.
	applyAt     map[int]time.Duration // The time when each log entry arrives at the node, by index of the entry.
	access      map[Key]SetAccess
	inFlight    map[Key]int // The number of requests in flight.
	lastSentAt  map[Key]time.Duration
	forgeReport func(node *simNode) *Report // Returns a false report of a lying node. Nil if the node reports the truth.
	unserved    int                         // The number of requests for which pickBackend returned no backend.
}

// simulation is a site with nodes in three zones, its backends, the core's log and the links between them.
type simulation struct {
	rng             *rand.Rand
	now             time.Duration
	services        []*simService
	backends        []*simBackend
	nodes           []*simNode
	coordinator     *Coordinator
	coordinatorNode int // The index of the coordinator's node.
	entries         []Entry
	appendedAt      []time.Duration
	state           *State
	events          map[time.Duration][]func()
	partitions      []partition
	baseErrorRate   float64 // The fraction of the requests without a fault that a backend answers with a 5xx.
	startedBackends int

	faultCounts                      map[EvidenceKind]int // The number of requests with a fault, by kind.
	ejections, wrongEjections        int
	detectionTimes, propagationTimes []time.Duration // From the first evidence to the Eject entry, and from the entry to each connected node.
	reportsSent                      int
	// The largest number of a service's ready backends that were not open to a node's patient requests. The value is a fraction of the allowed
	// number, which is the number of ready backends minus Settings.minBackendsInService. It is logged as
	// max_closed_of_allowed.
	maxClosedFraction float64
	// The time in which ejections by the coordinator closed a healthy backend to a node's strict requests. The value is the sum over all backends,
	// averaged over the nodes. It is logged as healthy_closed_for.
	wronglyClosed time.Duration
	// The time in which a node's local ejection closed a healthy backend to the node's strict requests. The value is the sum over all backends,
	// averaged over the nodes. It is logged as healthy_closed_locally_for.
	wronglyClosedLocally time.Duration
	wronglyEjected       map[InstanceID]bool
	maxSoleEjections     int // The largest number of simultaneous ejections on the evidence of the lying node alone. It is logged as max_lying_node_ejections.
}

// partition separates one zone or one node from everything else for a period.
type partition struct {
	zone, node int // The index of the separated zone or of the separated node. The other value is -1.
	from, to   time.Duration
}

// largeSiteServices returns the services of a site with 144 backends.
func largeSiteServices() []*simService {
	return []*simService{
		{"libro", 48, 560, 0, 160 * ms, 2 * time.Second, nil},
		{"catalogo", 64, 80, 900, 120 * ms, 1500 * ms, nil},
		{"archivo", 32, 0, 300, 300 * ms, 3 * time.Second, nil},
	}
}

// smallSiteServices returns the services of a site with 28 backends.
func smallSiteServices() []*simService {
	return []*simService{
		{"libro", 6, 69, 0, 160 * ms, 2 * time.Second, nil},
		{"catalogo", 13, 10, 217, 120 * ms, 1500 * ms, nil},
		{"archivo", 9, 0, 61, 300 * ms, 3 * time.Second, nil},
	}
}

// newSimulation returns a simulation with the given number of nodes and the services of a site. Outlier detection is enabled.
func newSimulation(seed int64, nodes int, services []*simService) *simulation {
	sim := &simulation{rng: rand.New(rand.NewSource(seed)), services: services, state: NewState(),
		events: map[time.Duration][]func(){}, faultCounts: map[EvidenceKind]int{}, wronglyEjected: map[InstanceID]bool{}}
	for i := range nodes {
		sim.nodes = append(sim.nodes, &simNode{Node: NewNode(zoneName(i%3), uint64(seed)*1000+uint64(i), 0), slot: Slot(i), zone: i % 3,
			state: NewState(), applyAt: map[int]time.Duration{}, access: map[Key]SetAccess{}, inFlight: map[Key]int{},
			lastSentAt: map[Key]time.Duration{}})
		sim.nodes[i].SetNodeCount(nodes)
		sim.nodes[i].SetConnected(true)
	}
	sim.startCoordinator(1, 0)
	for _, svc := range services {
		for i := range svc.backendCount {
			sim.startBackend(svc, i%3)
		}
	}
	sim.appendEntry(Entry{Verb: SetSettings, Settings: &Settings{Enabled: true}})
	return sim
}

// zoneName returns the name of the zone with the given index, from 0 to 2.
func zoneName(zoneIndex int) string { return fmt.Sprint("zone-", zoneIndex) }

// startBackend starts a backend of a service in the zone with the given index, and registers the backend.
func (sim *simulation) startBackend(svc *simService, zone int) *simBackend {
	sim.startedBackends++
	b := &simBackend{Backend: Backend{ID: InstanceID(fmt.Sprintf("i-%03d", sim.startedBackends)), Service: svc.name, Zone: zoneName(zone)}, service: svc,
		latencyFactor: math.Exp(0.15 * sim.rng.NormFloat64()), faultStart: farFuture, firstEvidenceAt: farFuture}
	sim.backends, svc.backends = append(sim.backends, b), append(svc.backends, b)
	sim.updateRegistry(b)
	return b
}

// updateRegistry passes a backend's description to all nodes and to the coordinator, as the registry does after a change.
func (sim *simulation) updateRegistry(b *simBackend) {
	for i, node := range sim.nodes {
		instance := b.Backend
		instance.Owned = i == sim.startedBackends*7919%len(sim.nodes)
		node.SetBackend(instance)
	}
	sim.coordinator.SetBackend(b.Backend)
}

// startCoordinator replaces the coordinator by a new one on the node with the given index.
func (sim *simulation) startCoordinator(fencingToken uint64, node int) {
	sim.coordinator, sim.coordinatorNode = NewCoordinator(fencingToken, sim.now), node
	sim.coordinator.SetNodeCount(len(sim.nodes))
	for _, b := range sim.backends {
		if b.Phase == Ready {
			sim.coordinator.SetBackend(b.Backend)
		}
	}
	sim.coordinator.ApplyState(sim.state, nil)
}

// partitionEnd returns the time when the last current partition between two participants A and B ends, or 0 if A and B can reach each other. A
// participant is given by the index of its node and the index of its zone. If the node is -1, the participant is a backend in the zone.
func (sim *simulation) partitionEnd(nodeA, zoneA, nodeB, zoneB int) (until time.Duration) {
	for _, p := range sim.partitions {
		if sim.now < p.from || sim.now >= p.to {
			continue
		}
		inside := func(node, zone int) bool { return node == p.node && node >= 0 || zone == p.zone && p.zone >= 0 }
		if inside(nodeA, zoneA) != inside(nodeB, zoneB) {
			until = max(until, p.to)
		}
	}
	return until
}

// scheduleEvent enqueues an event that the simulation runs after a delay of at least one tick.
func (sim *simulation) scheduleEvent(delay time.Duration, event func()) {
	at := (sim.now + max(delay, tickInterval)).Truncate(tickInterval)
	sim.events[at] = append(sim.events[at], event)
}

// appendEntry appends an entry to the log if the state accepts it. Each node receives the entries in order, with a delay.
func (sim *simulation) appendEntry(e Entry) {
	previous := sim.state.Ejection(e.Key)
	if result, _ := sim.state.Apply(&e); result != routing.Accepted {
		return
	}
	sim.entries, sim.appendedAt = append(sim.entries, e), append(sim.appendedAt, sim.now)
	sim.coordinator.ApplyState(sim.state, &e)
	if e.Verb == Eject {
		sim.ejections++
		for _, b := range sim.backends {
			if b.ID != e.Key.ID {
				continue
			}
			if !b.faulty && !b.crashed {
				sim.wrongEjections++
				sim.wronglyEjected[b.ID] = true
			}
			if b.firstEvidenceAt < sim.now && previous == nil {
				sim.detectionTimes = append(sim.detectionTimes, sim.now-b.firstEvidenceAt)
			}
		}
	}
	for _, node := range sim.nodes {
		node.applyAt[len(sim.entries)-1] = sim.now + 20*ms + time.Duration(sim.rng.Intn(100))*ms
	}
}

// applyArrivedEntries applies the entries that have arrived at a node, if the node is connected to the coordinator's node.
func (sim *simulation) applyArrivedEntries(node *simNode) {
	connected := sim.partitionEnd(int(node.slot), node.zone, sim.coordinatorNode, sim.coordinatorNode%3) == 0
	if node.SetConnected(connected); !connected {
		return
	}
	for node.applied < len(sim.entries) && node.applyAt[node.applied] <= sim.now {
		if _, err := node.state.Apply(&sim.entries[node.applied]); err != nil {
			panic(err)
		}
		delete(node.applyAt, node.applied)
		if node.applied++; sim.entries[node.applied-1].Verb == Eject {
			if delay := sim.now - sim.appendedAt[node.applied-1]; delay < time.Second {
				sim.propagationTimes = append(sim.propagationTimes, delay)
			}
		}
		node.ApplyState(node.state, &sim.entries[node.applied-1])
	}
}

// runFor advances the simulation by a duration.
func (sim *simulation) runFor(duration time.Duration) {
	for end := sim.now + duration; sim.now < end; {
		sim.advanceOneTick()
	}
}

// advanceOneTick advances the simulation by one tick.
func (sim *simulation) advanceOneTick() {
	sim.now += tickInterval
	for _, event := range sim.events[sim.now] {
		event()
	}
	delete(sim.events, sim.now)
	for _, svc := range sim.services {
		sim.sendRequests(svc, Strict, svc.writeRate)
		sim.sendRequests(svc, Patient, svc.readRate)
	}
	for _, node := range sim.nodes {
		sim.applyArrivedEntries(node)
		if sim.now%(2*tickInterval) == 0 || len(node.delayed) > 0 {
			node.Tick(sim.now)
		}
		sim.handleActions(node)
		sim.checkMinInService(node)
	}
	sim.coordinator.Tick(sim.now)
	for action, ok := sim.coordinator.Next(); ok; action, ok = sim.coordinator.Next() {
		switch action := action.(type) {
		case Propose:
			if sim.hasQuorum() {
				sim.scheduleEvent(tickInterval, func() { sim.appendEntry(action.Entry) })
			}
		case BroadcastRequest:
			for _, node := range sim.nodes {
				if sim.partitionEnd(int(node.slot), node.zone, sim.coordinatorNode, sim.coordinatorNode%3) == 0 && sim.rng.Intn(50) > 0 {
					sim.scheduleEvent(tickInterval, func() { node.HandleReportRequest(action.Request) })
				}
			}
		}
	}
}

// hasQuorum reports whether the coordinator's node reaches a majority, which means that no partition separates its zone or the node itself.
func (sim *simulation) hasQuorum() bool {
	for _, p := range sim.partitions {
		if sim.now >= p.from && sim.now < p.to && (p.zone == sim.coordinatorNode%3 || p.node == sim.coordinatorNode) {
			return false
		}
	}
	return true
}

// handleActions carries out a node's pending actions. For a lying node it delivers forged reports in place of the true ones.
func (sim *simulation) handleActions(node *simNode) {
	for action, ok := node.Next(); ok; action, ok = node.Next() {
		switch action := action.(type) {
		case SendReport:
			report := action.Report
			if node.forgeReport != nil {
				continue
			}
			sim.deliverReport(node, report)
		case SetAccess:
			node.access[action.Key] = action
		case Probe:
			for _, b := range sim.backends {
				if b.ID == action.ID && !b.crashed && sim.partitionEnd(int(node.slot), node.zone, -1, zoneIndexOf(b)) == 0 {
					sim.scheduleEvent(2*tickInterval, func() { node.HandleProbe(b.ID, b.ID, true) }) // A faulty backend also answers all probes as healthy.
				}
			}
		}
	}
	if node.forgeReport != nil {
		if report := node.forgeReport(node); report != nil {
			sim.deliverReport(node, *report)
		}
	}
}

// zoneIndexOf returns the index of a backend's zone, which is the last digit of the zone's name.
func zoneIndexOf(b *simBackend) int { return int(b.Zone[len(b.Zone)-1] - '0') }

// deliverReport delivers a report to the coordinator. One of fifty reports is lost, and one of fifty is duplicated.
func (sim *simulation) deliverReport(node *simNode, report Report) {
	sim.reportsSent++
	copies := 1
	switch sim.rng.Intn(50) {
	case 0:
		copies = 0
	case 1:
		copies = 2
	}
	for range copies {
		sim.scheduleEvent(time.Duration(sim.rng.Intn(60))*ms, func() {
			if sim.partitionEnd(int(node.slot), node.zone, sim.coordinatorNode, sim.coordinatorNode%3) == 0 {
				sim.coordinator.HandleReport(node.slot, report)
			}
		})
	}
}

// sendRequests sends the requests of one tick in one mode.
func (sim *simulation) sendRequests(svc *simService, m Mode, rate float64) {
	for n := rate * tickInterval.Seconds(); n > 0; n-- {
		if n < 1 && sim.rng.Float64() > n {
			break
		}
		node := sim.nodes[sim.rng.Intn(len(sim.nodes))]
		if b := sim.pickBackend(node, svc, m); b != nil {
			sim.sendRequest(node, b, m)
		} else {
			node.unserved++
		}
	}
}

// pickBackend returns a backend to which the node may send a request now. Backends of the node's zone are preferred, but about one request in ten
// goes to another zone. If the node may send a request to no backend of any zone, the result is nil.
func (sim *simulation) pickBackend(node *simNode, svc *simService, m Mode) *simBackend {
	var near, far []*simBackend
	for _, b := range svc.backends {
		key := Key{b.ID, m}
		if b.Phase != Ready {
			continue
		}
		switch access := node.access[key]; {
		case access.Access == Closed, access.Access == Limited && (node.inFlight[key] > 0 || sim.now-node.lastSentAt[key] < access.Interval):
		case zoneIndexOf(b) == node.zone:
			near = append(near, b)
		default:
			far = append(far, b)
		}
	}
	if len(near) == 0 || sim.rng.Intn(10) == 0 && len(far) > 0 {
		near = far
	}
	if len(near) == 0 {
		return nil
	}
	return near[sim.rng.Intn(len(near))]
}

// sendRequest sends a request to a backend and schedules the end of the request. The outcome depends on the backend's fault and on partitions.
func (sim *simulation) sendRequest(node *simNode, b *simBackend, m Mode) {
	svc := b.service
	req := &simRequest{node: node, backend: b, key: Key{b.ID, m}, rev: node.Revision(Key{b.ID, m}), sentAt: sim.now,
		outcome: AttemptEnd{Ending: control.Succeeded}}
	node.inFlight[req.key]++
	node.lastSentAt[req.key] = sim.now
	kind, slowdown := NoEvidence, 1.0
	if b.fault != nil && sim.now >= b.faultStart {
		kind, slowdown = b.fault(sim, node, m)
	}
	if kind == NoEvidence && sim.rng.Float64() < sim.baseErrorRate {
		kind = ServerError
	}
	latency := time.Duration(float64(svc.typicalLatency) * b.latencyFactor * slowdown * math.Exp(0.4*sim.rng.NormFloat64()))
	if b.faultEnd > 0 { // After the end of the fault the request continues at the usual speed.
		latency = min(latency, b.faultEnd-sim.now+time.Duration(float64(latency)/slowdown))
	}
	if until := sim.partitionEnd(int(node.slot), node.zone, -1, zoneIndexOf(b)); until > 0 {
		latency += until - sim.now + time.Duration(200+sim.rng.Intn(800))*ms
	}
	for _, p := range sim.partitions { // A partition that begins while the request is in flight delays the answer.
		inside := func(index, zone int) bool { return p.node >= 0 && index == p.node || p.zone >= 0 && zone == p.zone }
		if p.from > sim.now && p.from < sim.now+latency && inside(int(node.slot), node.zone) != inside(-1, zoneIndexOf(b)) {
			latency += p.to - p.from + time.Duration(200+sim.rng.Intn(800))*ms
		}
	}
	switch kind {
	case LostAnswer:
		latency = farFuture
	case ServerError:
		req.outcome.Ending = control.Errored
	case MalformedAnswer:
		req.outcome = AttemptEnd{Ending: control.Errored, Malformed: true}
	case ConnectionReset:
		req.outcome = AttemptEnd{Ending: control.ConnectionLost, PartialAnswer: true}
	case DuplicateAnswer, StrayAnswer:
		req.laterEvidence = kind
	}
	if kind != NoEvidence {
		sim.faultCounts[kind]++
	}
	if latency > svc.timeout {
		latency, req.outcome = svc.timeout, AttemptEnd{Ending: control.TimedOut}
	}
	if b.crashed {
		req.outcome = AttemptEnd{Ending: control.Unreachable}
		latency = tickInterval
	}
	b.requests = append(slices.DeleteFunc(b.requests, func(r *simRequest) bool { return r.done }), req)
	sim.scheduleEvent(latency, func() { sim.endRequest(req) })
}

// endRequest ends a request and records its outcome at the node. It does nothing if the request has already ended.
func (sim *simulation) endRequest(req *simRequest) {
	if req.done {
		return
	}
	req.done = true
	node := req.node
	node.inFlight[req.key]--
	if kind := req.outcome.EvidenceKind(); kind > CleanAnswer && req.backend.firstEvidenceAt == farFuture && sim.now > req.backend.faultStart {
		req.backend.firstEvidenceAt = sim.now
	}
	node.Node.now = sim.now
	node.RecordAttempt(req.key, req.rev, req.sentAt, req.outcome)
	if req.laterEvidence != NoEvidence {
		sim.scheduleEvent(2*tickInterval, func() {
			if req.backend.firstEvidenceAt == farFuture {
				req.backend.firstEvidenceAt = sim.now
			}
			node.RecordEvidence(req.key, req.rev, req.laterEvidence)
		})
	}
	sim.handleActions(node)
}

// checkMinInService panics if a node has fewer backends open for patient requests than the settings require. It also adds up the time that
// healthy backends are closed.
func (sim *simulation) checkMinInService(node *simNode) {
	if sim.now%(10*tickInterval) != 0 {
		return
	}
	for _, svc := range sim.services {
		ready, open := 0, 0
		for _, b := range svc.backends {
			if b.Phase != Ready {
				continue
			}
			ready++
			if node.access[Key{b.ID, Patient}].Access == Open {
				open++
			}
			if access := node.access[Key{b.ID, Strict}]; access.Access == Closed && !b.faulty && !b.crashed {
				if access.Local {
					sim.wronglyClosedLocally += 10 * tickInterval / time.Duration(len(sim.nodes))
				} else {
					sim.wronglyClosed += 10 * tickInterval / time.Duration(len(sim.nodes))
				}
			}
		}
		minimum := node.state.Settings().minBackendsInService(ready)
		if open < minimum {
			panic(fmt.Sprintf("too few backends open to patient requests: node=%d open=%d ready=%d minimum=%d", node.slot, open, ready, minimum))
		}
		sim.maxClosedFraction = max(sim.maxClosedFraction, float64(ready-open)/float64(max(ready-minimum, 1)))
	}
}

// injectFault gives a fraction of a service's backends a fault that affects a fraction of the requests of a mode. If callerZone is -1, the fault
// affects the requests of all nodes. If callerZone is the index of a zone, the fault is a link fault and affects only the requests from nodes of
// this zone to backends of other zones.
func (sim *simulation) injectFault(service string, backendShare float64, m Mode, kind EvidenceKind, requestShare float64, callerZone int) {
	var candidates []*simBackend
	for _, b := range sim.backends {
		if b.Service == service {
			candidates = append(candidates, b)
		}
	}
	for _, b := range candidates[:int(backendShare*float64(len(candidates)))] {
		b.faultStart, b.faulty = 5*time.Second+time.Duration(sim.rng.Intn(2000))*ms, callerZone < 0
		b.fault = func(sim *simulation, node *simNode, mode Mode) (EvidenceKind, float64) {
			if mode == m && sim.rng.Float64() < requestShare && (callerZone < 0 || callerZone == node.zone && callerZone != zoneIndexOf(b)) {
				return kind, 1
			}
			return NoEvidence, 1
		}
	}
}

// resetConnections ends, by a connection reset, all requests in flight for which matches returns true.
func (sim *simulation) resetConnections(matches func(req *simRequest) bool) {
	for _, b := range sim.backends {
		for _, req := range slices.Clone(b.requests) {
			if !req.done && matches(req) {
				req.outcome, req.laterEvidence = AttemptEnd{Ending: control.ConnectionLost}, NoEvidence
				sim.endRequest(req)
			}
		}
	}
}

// crashBackend stops a backend without notice. The registry learns of the crash after 3 s, and a new instance starts after 5 s.
func (sim *simulation) crashBackend(b *simBackend) {
	if b.crashed || b.Phase != Ready {
		return
	}
	b.crashed = true
	if sim.rng.Intn(2) == 0 {
		sim.resetConnections(func(req *simRequest) bool { return req.backend == b })
	}
	sim.scheduleEvent(3*time.Second, func() { sim.setPhase(b, Gone) })
	sim.scheduleEvent(5*time.Second, func() { sim.startBackend(b.service, zoneIndexOf(b)) })
}

// setPhase changes the phase of a backend and updates the registry.
func (sim *simulation) setPhase(b *simBackend, p Phase) {
	b.Phase = p
	if p == Gone {
		b.service.backends = slices.DeleteFunc(b.service.backends, func(other *simBackend) bool { return other == b })
	}
	sim.updateRegistry(b)
}

// scheduleDisturbances schedules random disturbances: crashes, partitions, connection resets, slow backends and restarts. The given interval is
// the mean time between two disturbances. No disturbance is a fault for which a backend should be ejected.
func (sim *simulation) scheduleDisturbances(interval time.Duration) {
	sim.baseErrorRate = 0.01
	randomBackend := func() *simBackend {
		svc := sim.services[sim.rng.Intn(len(sim.services))]
		return svc.backends[sim.rng.Intn(len(svc.backends))]
	}
	addPartition := func(p partition, from time.Duration) {
		p.from, p.to = from, from+time.Duration(1000+sim.rng.Intn(7000))*ms
		sim.partitions = append(sim.partitions, p)
		// If the partition separates the coordinator's node, another coordinator starts on the other side of the partition.
		if p.zone == sim.coordinatorNode%3 || p.node == sim.coordinatorNode {
			sim.scheduleEvent(p.from-sim.now+1500*ms, func() { sim.startCoordinator(sim.coordinator.fencingToken+1, (sim.coordinatorNode+1)%len(sim.nodes)) })
		}
	}
	for at := interval; at < farFuture/20; at += time.Duration((0.5 + sim.rng.Float64()) * float64(interval)) {
		disturbance := sim.rng.Intn(7)
		sim.scheduleEvent(at, func() {
			switch disturbance {
			case 0:
				sim.crashBackend(randomBackend())
			case 1: // Several backends crash at the same time.
				for range 4 {
					sim.crashBackend(randomBackend())
				}
			case 2:
				addPartition(partition{zone: sim.rng.Intn(3), node: -1}, sim.now+time.Second)
			case 3:
				addPartition(partition{zone: -1, node: sim.rng.Intn(len(sim.nodes))}, sim.now+time.Second)
			case 4: // All connections of a node are reset.
				node := sim.nodes[sim.rng.Intn(len(sim.nodes))]
				sim.resetConnections(func(req *simRequest) bool { return req.node == node })
			case 5: // A backend is slow for ten seconds.
				b, slowdown := randomBackend(), []float64{3, 10, 100}[sim.rng.Intn(3)]
				b.faultStart, b.faultEnd = sim.now, sim.now+10*time.Second
				b.fault = func(*simulation, *simNode, Mode) (EvidenceKind, float64) { return NoEvidence, slowdown }
				sim.scheduleEvent(10*time.Second, func() { b.fault, b.faultEnd = nil, 0 })
			case 6: // A backend is replaced by a new instance.
				if b := randomBackend(); b.Phase == Ready && !b.crashed {
					sim.setPhase(b, Draining)
					sim.scheduleEvent(2*time.Second, func() { sim.setPhase(b, Gone) })
					sim.startBackend(b.service, zoneIndexOf(b))
				}
			}
		})
	}
}

// checkConvergence ends all partitions and lets the nodes apply all log entries. It panics if a node's state then differs from the log's, or if
// two nodes differ in the requests that they may send to a backend. Local ejections may differ between nodes and are not compared.
func (sim *simulation) checkConvergence() {
	sim.partitions = nil
	for _, node := range sim.nodes {
		node.applyAt = map[int]time.Duration{}
		sim.applyArrivedEntries(node)
		sim.handleActions(node)
		if !bytes.Equal(sim.state.Snapshot(), node.state.Snapshot()) {
			panic(fmt.Sprint("the state of node ", node.slot, " differs from the state of the log after all entries were applied"))
		}
		for k, access := range node.access {
			if other := sim.nodes[0].access[k]; !access.Local && !other.Local && access.Access != other.Access {
				panic(fmt.Sprintf("after all log entries were applied, node %d and node 0 differ in their access to key %v", node.slot, k))
			}
		}
	}
}

// runSimulations runs simulations with the seeds from 0 to count-1, three at a time. It passes each finished simulation to collect, one at a time.
func runSimulations(count int, simulate func(seed int64) *simulation, collect func(sim *simulation)) {
	var mu sync.Mutex
	var workers sync.WaitGroup
	next := make(chan int64)
	for range 3 {
		workers.Add(1)
		go func() {
			defer workers.Done()
			for seed := range next {
				sim := simulate(seed)
				mu.Lock()
				collect(sim)
				mu.Unlock()
			}
		}()
	}
	for seed := range int64(count) {
		next <- seed
	}
	close(next)
	workers.Wait()
}

// seedCount returns the value of OUTLIER_SEEDS, or defaultCount if it is not set to a number.
func seedCount(defaultCount int) int {
	if n, err := strconv.Atoi(os.Getenv("OUTLIER_SEEDS")); err == nil {
		return n
	}
	return defaultCount
}

// Guards against ejections of healthy backends because of the disturbances of scheduleDisturbances, which occur every five seconds on average.
// At most one wrong ejection is allowed, and one more for every ten simulated hours.
func TestDisturbancesRarelyEjectHealthyBackends(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		nodes int
		site  func() []*simService
		seeds int
	}{{12, smallSiteServices, seedCount(24)}, {96, largeSiteServices, seedCount(6)}} {
		wrongEjections, ejections, worstShare, simulated, closedLocally, reports := 0, 0, 0.0, time.Duration(0), time.Duration(0), 0
		runSimulations(tc.seeds, func(seed int64) *simulation {
			sim := newSimulation(seed, tc.nodes, tc.site())
			sim.scheduleDisturbances(5 * time.Second)
			sim.runFor(60 * time.Second)
			sim.checkConvergence()
			return sim
		}, func(sim *simulation) {
			wrongEjections, ejections, worstShare, simulated = wrongEjections+sim.wrongEjections, ejections+sim.ejections,
				max(worstShare, sim.maxClosedFraction), simulated+sim.now
			closedLocally, reports = closedLocally+sim.wronglyClosedLocally, reports+sim.reportsSent
			for _, record := range sim.state.History() {
				if record.Verb == Eject && sim.wronglyEjected[record.Key.ID] {
					t.Log(record.Key, record.Reason, record.Witnesses)
				}
			}
		})
		t.Logf(
			"nodes=%d seeds=%d simulated=%v wrong_ejections=%d ejections=%d max_closed_of_allowed=%.2f healthy_closed_locally_for=%v reports_per_second=%.1f",
			tc.nodes, tc.seeds, simulated, wrongEjections, ejections, worstShare, closedLocally.Round(ms), float64(reports)/simulated.Seconds())
		must.LessEq(t, 1+int(simulated.Hours()/10), wrongEjections)
	}
}

// forgedReport returns the report of a lying node, which is a node that sends false reports. The report holds evidence of every kind against up
// to forty backends, confirms the losses that other nodes report, and claims that all other backends are healthy. It is nil between two reports.
func (sim *simulation) forgedReport(node *simNode) *Report {
	if sim.now%(4*tickInterval) != 0 || sim.now < 5*time.Second {
		return nil
	}
	node.seq++
	report := &Report{Zone: zoneName(sim.rng.Intn(3)), Incarnation: 1, Seq: node.seq}
	var slots []Window
	for range maxReportedSlots {
		slots = append(slots, Window{Clean: 50, LatencyMillis: 500})
	}
	for _, i := range sim.rng.Perm(len(sim.backends))[:min(40, len(sim.backends))] {
		for m := range modeCount {
			observation := Observation{Key: Key{sim.backends[i].ID, m}, Window: Window{0, 1000, 0}, ServiceWindow: Window{1 << 20, 0, 0}, Slots: slots,
				Totals: Totals{Failing: 1 << 20}}
			observation.Rev = node.state.ejectionRevision(observation.Key)
			for kind := ServerError; kind < evidenceKindCount; kind++ {
				observation.Evidence = append(observation.Evidence, Evidence{kind, 0, 2 * time.Second})
			}
			report.Observations = append(report.Observations, observation)
		}
	}
	return report
}

// Guards against a node that ejects backends with false reports. At no time may the number of ejections on the evidence of this node alone exceed
// Settings.soleWitnessLimits.
func TestLyingNodeStaysWithinLimits(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		nodes     int
		site      func() []*simService
		disturbed bool
		seeds     int
	}{{96, largeSiteServices, false, seedCount(1)}, {12, smallSiteServices, false, seedCount(6)}, {12, smallSiteServices, true, seedCount(6)}} {
		maxEjected, ejections, closedTime, simulated, sharedEjections := 0, 0, time.Duration(0), time.Duration(0), 0
		runSimulations(tc.seeds, func(seed int64) *simulation {
			sim := newSimulation(seed, tc.nodes, tc.site())
			if tc.disturbed {
				sim.scheduleDisturbances(5 * time.Second)
			}
			sim.baseErrorRate = 0.004
			lyingNode := sim.nodes[1]
			lyingNode.forgeReport = sim.forgedReport
			for sim.now < 90*time.Second {
				sim.advanceOneTick()
				soleEjections, byService := 0, map[string]int{}
				for _, ejection := range sim.state.Ejections() {
					if ejection.Step != InService && ejection.SoleWitness == lyingNode.slot {
						soleEjections++
						byService[ejection.Service+ejection.Mode.String()]++
					} else if ejection.Step != InService && !tc.disturbed {
						panic(fmt.Sprintf("ejection %+v does not rest on the evidence of the lying node alone", ejection))
					}
				}
				sim.maxSoleEjections = max(sim.maxSoleEjections, soleEjections)
				for _, svc := range sim.services {
					for m := range modeCount {
						serviceLimit, totalLimit := sim.state.Settings().soleWitnessLimits(len(svc.backends), 0)
						if count := byService[svc.name+m.String()]; count > serviceLimit && !tc.disturbed || soleEjections > totalLimit {
							panic(fmt.Sprintf("too many ejections on the evidence of one node alone: node=%d ejections_in_service=%d service=%s ejections_in_total=%d",
								lyingNode.slot, count, svc.name, soleEjections))
						}
					}
				}
			}
			return sim
		}, func(sim *simulation) {
			maxEjected, ejections, closedTime, simulated = max(maxEjected, sim.maxSoleEjections), ejections+sim.ejections,
				closedTime+sim.wronglyClosed, simulated+sim.now
			for _, record := range sim.state.History() {
				if record.Verb == Eject && len(record.Witnesses) > 1 && sim.wronglyEjected[record.Key.ID] {
					sharedEjections++
				}
			}
		})
		t.Logf(
			"nodes=%d disturbances=%v seeds=%d simulated=%v max_lying_node_ejections=%d ejections=%d wrong_ejections_with_several_witnesses=%d healthy_closed_for=%v",
			tc.nodes, tc.disturbed, tc.seeds, simulated, maxEjected, ejections, sharedEjections, closedTime.Round(time.Second))
	}
}

// medianAndMax returns the median and the maximum of some durations, or 0 if there are none. It sorts the slice.
func medianAndMax(durations []time.Duration) (median, largest time.Duration) {
	if len(durations) == 0 {
		return 0, 0
	}
	slices.Sort(durations)
	return durations[len(durations)/2], durations[len(durations)-1]
}

// Guards against slow detection of a faulty backend. The test measures the time from the first evidence to the ejection, and the time from the
// ejection until the connected nodes apply the entry. Faults of one zone's links, and faults that all backends have equally, must eject no backend.
func TestFaultyBackendsAreEjectedInTime(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name         string
		nodes        int
		site         func() []*simService
		service      string
		backendShare float64
		mode         Mode
		kind         EvidenceKind
		requestShare float64
		caller       int           // Only requests from this zone to backends of other zones are affected. -1: all requests.
		maxMedian    time.Duration // The limit for the median time to the ejection. 0: no ejection is expected.
	}{
		{"small site: one answer in forty is lost", 12, smallSiteServices, "libro", 0.5, Strict, LostAnswer, 1. / 40, -1, 15 * time.Second},
		{"large site: one answer in forty is lost", 96, largeSiteServices, "libro", 0.5, Strict, LostAnswer, 1. / 40, -1, 15 * time.Second},
		{"small site: one request in forty is answered twice", 12, smallSiteServices, "libro", 0.5, Strict, DuplicateAnswer, 1. / 40, -1, 300 * ms},
		{"large site: one request in forty is answered twice", 96, largeSiteServices, "libro", 0.5, Strict, DuplicateAnswer, 1. / 40, -1, 300 * ms},
		{"small site: no answer has the header X-Backend-Seal", 12, smallSiteServices, "libro", 1, Strict, MalformedAnswer, 1, -1, time.Second},
		{"small site: one request in five is answered with 5xx", 12, smallSiteServices, "libro", 0.5, Strict, ServerError, 0.2, -1, 15 * time.Second},
		{"large site: one request in five is answered with 5xx", 96, largeSiteServices, "libro", 0.5, Strict, ServerError, 0.2, -1, 20 * time.Second},
		{"large site: nine answers in ten lack X-Backend-Seal", 96, largeSiteServices, "catalogo", 0.5, Patient, MalformedAnswer, 0.9, -1, 15 * time.Second},
		{"small site: one answer in ten from other zones to zone 2 is lost", 12, smallSiteServices, "libro", 1, Strict, LostAnswer, 0.1, 2, 0},
		{"large site: one answer in ten from other zones to zone 2 is lost", 96, largeSiteServices, "libro", 1, Strict, LostAnswer, 0.1, 2, 0},
		{"small site: all backends answer half of the requests with 5xx", 12, smallSiteServices, "libro", 1, Strict, ServerError, 0.5, -1, 0},
	} {
		var detection, propagation []time.Duration
		faults, ejections, ejectedKeys, unserved := 0, 0, 0, 0
		runs := max(1, seedCount(36/tc.nodes))
		runSimulations(runs, func(seed int64) *simulation {
			sim := newSimulation(seed, tc.nodes, tc.site())
			sim.baseErrorRate = 0.004
			sim.injectFault(tc.service, tc.backendShare, tc.mode, tc.kind, tc.requestShare, tc.caller)
			sim.runFor(45 * time.Second)
			return sim
		}, func(sim *simulation) {
			detection, propagation = append(detection, sim.detectionTimes...), append(propagation, sim.propagationTimes...)
			faults, ejections, ejectedKeys = faults+sim.faultCounts[tc.kind], ejections+sim.ejections, ejectedKeys+len(sim.state.Ejections())
			for _, node := range sim.nodes {
				unserved += node.unserved
			}
			must.Eq(t, 0, sim.wrongEjections)
		})
		medianDetection, maxDetection := medianAndMax(detection)
		medianPropagation, maxPropagation := medianAndMax(propagation)
		t.Logf(
			"%-70s | nodes=%2d | detection: median %v, max %v | propagation: median %v, max %v | faults_per_run=%d ejections=%d ejected_keys=%d unserved_requests=%d",
			tc.name, tc.nodes,
			medianDetection, maxDetection, medianPropagation,
			maxPropagation, faults/runs, ejections, ejectedKeys, unserved)
		must.True(t, medianDetection <= tc.maxMedian && (ejections > 0) == (tc.maxMedian > 0), must.Sprint(tc.name))
	}
}
