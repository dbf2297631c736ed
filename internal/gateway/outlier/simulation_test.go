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
	tickInterval = 50 * time.Millisecond
	ms           = time.Millisecond
	farFuture    = time.Hour // never, in these plays
)

// trade is a service of the simulated site.
type simService struct {
	name                string
	backendCount        int
	writeRate, readRate float64 // a second, over all nodes
	typicalLatency      time.Duration
	timeout             time.Duration
	backends            []*simBackend
}

// fault is what a backend does to a request, beside answering it: None for nothing.
type faultFunc func(w *simulation, node *simNode, m Mode) (kind EvidenceKind, slower float64)

type simBackend struct {
	Backend
	service         *simService
	fault           faultFunc
	faultFrom       time.Duration // the fault's
	faultUntil      time.Duration // and its end; 0: never
	crashed         bool
	latencyFactor   float64
	firstEvidenceAt time.Duration // first evidence that a node saw
	faulty          bool          // has a fault of its own
	requests        []*simRequest // under way
}

type simRequest struct {
	node          *simNode
	backend       *simBackend
	key           Key
	rev           uint64
	sentAt        time.Duration
	outcome       AttemptEnd
	laterEvidence EvidenceKind // seen a moment later
	done          bool
}

type simNode struct {
	*Node
	slot        Slot
	zone        int
	state       *State
	applied     int                   // entries applied
	applyAt     map[int]time.Duration // when an entry comes
	access      map[Key]SetAccess
	inFlight    map[Key]int // under way
	sentAt      map[Key]time.Duration
	forgeReport func(d *simNode) *Report
	unserved    int
}

// world is a site of nodes in three zones, its backends, the core's log and the links between them.
type simulation struct {
	rng             *rand.Rand
	now             time.Duration
	services        []*simService
	backends        []*simBackend
	nodes           []*simNode
	coordinator     *Coordinator
	coordinatorNode int // its node
	entries         []Entry
	appendedAt      []time.Duration
	state           *State
	events          map[time.Duration][]func()
	partitions      []partition
	baseErrorRate   float64 // share of 5xx that all backends have
	startedBackends int

	faultCounts                      map[EvidenceKind]int // requests that met a fault
	ejections, wrongEjections        int
	detectionTimes, propagationTimes []time.Duration // first evidence to the entry, and the entry to the last node in touch
	reportsSent                      int
	worstPatientShare                float64       // share of the patient that is shut, against the bound
	wronglyClosed                    time.Duration // healthy backends shut by verdicts, times how long, of all nodes' time
	wronglyClosedLocally             time.Duration // and by nodes' own holds
	wronglyEjected                   map[InstanceID]bool
	maxSoleEjections                 int // cases that a liar has out alone
}

// cut takes a zone or a node from all others for a while.
type partition struct {
	zone, node int // -1: any
	from, to   time.Duration
}

func largeSite() []*simService {
	return []*simService{
		{"libro", 48, 560, 0, 160 * ms, 2 * time.Second, nil},
		{"catalogo", 64, 80, 900, 120 * ms, 1500 * ms, nil},
		{"archivo", 32, 0, 300, 300 * ms, 3 * time.Second, nil},
	}
}

func smallSite() []*simService {
	return []*simService{
		{"libro", 6, 69, 0, 160 * ms, 2 * time.Second, nil},
		{"catalogo", 13, 10, 217, 120 * ms, 1500 * ms, nil},
		{"archivo", 9, 0, 61, 300 * ms, 3 * time.Second, nil},
	}
}

func newSimulation(seed int64, nodes int, services []*simService) *simulation {
	sim := &simulation{rng: rand.New(rand.NewSource(seed)), services: services, state: NewState(),
		events: map[time.Duration][]func(){}, faultCounts: map[EvidenceKind]int{}, wronglyEjected: map[InstanceID]bool{}}
	for i := range nodes {
		sim.nodes = append(sim.nodes, &simNode{Node: NewNode(zoneName(i%3), uint64(seed)*1000+uint64(i), 0), slot: Slot(i), zone: i % 3,
			state: NewState(), applyAt: map[int]time.Duration{}, access: map[Key]SetAccess{}, inFlight: map[Key]int{},
			sentAt: map[Key]time.Duration{}})
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

func zoneName(i int) string { return fmt.Sprint("zone-", i) }

func (sim *simulation) startBackend(svc *simService, zone int) *simBackend {
	sim.startedBackends++
	b := &simBackend{Backend: Backend{ID: InstanceID(fmt.Sprintf("i-%03d", sim.startedBackends)), Service: svc.name, Zone: zoneName(zone)}, service: svc,
		latencyFactor: math.Exp(0.15 * sim.rng.NormFloat64()), faultFrom: farFuture, firstEvidenceAt: farFuture}
	sim.backends, svc.backends = append(sim.backends, b), append(svc.backends, b)
	sim.updateRegistry(b)
	return b
}

func (sim *simulation) updateRegistry(b *simBackend) {
	for i, node := range sim.nodes {
		instance := b.Backend
		instance.Owned = i == sim.startedBackends*7919%len(sim.nodes)
		node.SetBackend(instance)
	}
	sim.coordinator.SetBackend(b.Backend)
}

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

// apart tells whether two places hear each other, and until when they do not.
func (sim *simulation) partitionedUntil(nodeA, zoneA, nodeB, zoneB int) (until time.Duration) {
	for _, c := range sim.partitions {
		if sim.now < c.from || sim.now >= c.to {
			continue
		}
		inside := func(node, zone int) bool { return node == c.node && node >= 0 || zone == c.zone && c.zone >= 0 }
		if inside(nodeA, zoneA) != inside(nodeB, zoneB) {
			until = max(until, c.to)
		}
	}
	return until
}

func (sim *simulation) schedule(delay time.Duration, event func()) {
	at := (sim.now + max(delay, tickInterval)).Truncate(tickInterval)
	sim.events[at] = append(sim.events[at], event)
}

// append puts an entry into the log, if the state takes it; each node has it a little later, in order.
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

func (sim *simulation) applyEntries(node *simNode) {
	connected := sim.partitionedUntil(int(node.slot), node.zone, sim.coordinatorNode, sim.coordinatorNode%3) == 0
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

// play goes on for a time.
func (sim *simulation) run(duration time.Duration) {
	for end := sim.now + duration; sim.now < end; {
		sim.step()
	}
}

func (sim *simulation) step() {
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
		sim.applyEntries(node)
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
				sim.schedule(tickInterval, func() { sim.appendEntry(action.Entry) })
			}
		case BroadcastRequest:
			for _, node := range sim.nodes {
				if sim.partitionedUntil(int(node.slot), node.zone, sim.coordinatorNode, sim.coordinatorNode%3) == 0 && sim.rng.Intn(50) > 0 {
					sim.schedule(tickInterval, func() { node.HandleReportRequest(action.Request) })
				}
			}
		}
	}
}

// core tells whether the duty's node is with the majority: two zones of three.
func (sim *simulation) hasQuorum() bool {
	for _, c := range sim.partitions {
		if sim.now >= c.from && sim.now < c.to && (c.zone == sim.coordinatorNode%3 || c.node == sim.coordinatorNode) {
			return false
		}
	}
	return true
}

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
				if b.ID == action.ID && !b.crashed && sim.partitionedUntil(int(node.slot), node.zone, -1, zoneOf(b)) == 0 {
					sim.schedule(2*tickInterval, func() { node.HandleProbe(b.ID, b.ID, true) }) // it lies: always well
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

func zoneOf(b *simBackend) int { return int(b.Zone[len(b.Zone)-1] - '0') }

// send takes a report to the duty; one of fifty is lost, one of fifty comes twice.
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
		sim.schedule(time.Duration(sim.rng.Intn(60))*ms, func() {
			if sim.partitionedUntil(int(node.slot), node.zone, sim.coordinatorNode, sim.coordinatorNode%3) == 0 {
				sim.coordinator.HandleReport(node.slot, report)
			}
		})
	}
}

// ask sends a tick's requests of one manner.
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

// pick chooses one in the node's zone, else any, as its binds let it.
func (sim *simulation) pickBackend(node *simNode, svc *simService, m Mode) *simBackend {
	var near, far []*simBackend
	for _, b := range svc.backends {
		key := Key{b.ID, m}
		if b.Phase != Ready {
			continue
		}
		switch access := node.access[key]; {
		case access.Access == Closed, access.Access == Limited && (node.inFlight[key] > 0 || sim.now-node.sentAt[key] < access.Interval):
		case zoneOf(b) == node.zone:
			near = append(near, b)
		default:
			far = append(far, b)
		}
	}
	if len(near) == 0 || sim.rng.Intn(10) == 0 && len(far) > 0 { // some cross anyway
		near = far
	}
	if len(near) == 0 {
		return nil
	}
	return near[sim.rng.Intn(len(near))]
}

func (sim *simulation) sendRequest(node *simNode, b *simBackend, m Mode) {
	svc := b.service
	req := &simRequest{node: node, backend: b, key: Key{b.ID, m}, rev: node.Revision(Key{b.ID, m}), sentAt: sim.now, outcome: AttemptEnd{Ending: control.Succeeded}}
	node.inFlight[req.key]++
	node.sentAt[req.key] = sim.now
	kind, slowdown := NoEvidence, 1.0
	if b.fault != nil && sim.now >= b.faultFrom {
		kind, slowdown = b.fault(sim, node, m)
	}
	if kind == NoEvidence && sim.rng.Float64() < sim.baseErrorRate {
		kind = ServerError
	}
	latency := time.Duration(float64(svc.typicalLatency) * b.latencyFactor * slowdown * math.Exp(0.4*sim.rng.NormFloat64()))
	if b.faultUntil > 0 { // it goes on at its usual pace then
		latency = min(latency, b.faultUntil-sim.now+time.Duration(float64(latency)/slowdown))
	}
	if until := sim.partitionedUntil(int(node.slot), node.zone, -1, zoneOf(b)); until > 0 {
		latency += until - sim.now + time.Duration(200+sim.rng.Intn(800))*ms
	}
	for _, c := range sim.partitions { // one that begins on its way
		inside := func(index, zoneIndex int) bool {
			return c.node >= 0 && index == c.node || c.zone >= 0 && zoneIndex == c.zone
		}
		if c.from > sim.now && c.from < sim.now+latency && inside(int(node.slot), node.zone) != inside(-1, zoneOf(b)) {
			latency += c.to - c.from + time.Duration(200+sim.rng.Intn(800))*ms
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
	sim.schedule(latency, func() { sim.endRequest(req) })
}

func (sim *simulation) endRequest(req *simRequest) {
	if req.done {
		return
	}
	req.done = true
	node := req.node
	node.inFlight[req.key]--
	if kind := req.outcome.Evidence(); kind > CleanAnswer && req.backend.firstEvidenceAt == farFuture && sim.now > req.backend.faultFrom {
		req.backend.firstEvidenceAt = sim.now
	}
	node.Node.now = sim.now
	node.RecordAttempt(req.key, req.rev, req.sentAt, req.outcome)
	if req.laterEvidence != NoEvidence {
		sim.schedule(2*tickInterval, func() {
			if req.backend.firstEvidenceAt == farFuture {
				req.backend.firstEvidenceAt = sim.now
			}
			node.RecordEvidence(req.key, req.rev, req.laterEvidence)
		})
	}
	sim.handleActions(node)
}

// check holds every node against the floor, at every moment.
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
		minimum := node.state.Settings().minInService(ready)
		if open < minimum {
			panic(fmt.Sprintf("node %d has %d of %d open, floor %d", node.slot, open, ready, minimum))
		}
		sim.worstPatientShare = max(sim.worstPatientShare, float64(ready-open)/float64(max(ready-minimum, 1)))
	}
}

// sick makes some of a service's backends do a thing to a share of a manner's requests, from callers of a zone (-1: any).
func (sim *simulation) injectFault(service string, backendShare float64, m Mode, kind EvidenceKind, requestShare float64, caller int) {
	var candidates []*simBackend
	for _, b := range sim.backends {
		if b.Service == service {
			candidates = append(candidates, b)
		}
	}
	for _, b := range candidates[:int(backendShare*float64(len(candidates)))] {
		b.faultFrom, b.faulty = 5*time.Second+time.Duration(sim.rng.Intn(2000))*ms, caller < 0
		b.fault = func(sim *simulation, node *simNode, mode Mode) (EvidenceKind, float64) {
			if mode == m && sim.rng.Float64() < requestShare && (caller < 0 || caller == node.zone && caller != zoneOf(b)) {
				return kind, 1
			}
			return NoEvidence, 1
		}
	}
}

// breaks ends what is under way at a backend, or from a node, by a reset.
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

// crash ends a backend without a word; its registrar tells of it 3 s later, another begins after 5.
func (sim *simulation) crashBackend(b *simBackend) {
	if b.crashed || b.Phase != Ready {
		return
	}
	b.crashed = true
	if sim.rng.Intn(2) == 0 {
		sim.resetConnections(func(req *simRequest) bool { return req.backend == b })
	}
	sim.schedule(3*time.Second, func() { sim.setPhase(b, Gone) })
	sim.schedule(5*time.Second, func() { sim.startBackend(b.service, zoneOf(b)) })
}

func (sim *simulation) setPhase(b *simBackend, p Phase) {
	b.Phase = p
	if p == Gone {
		b.service.backends = slices.DeleteFunc(b.service.backends, func(other *simBackend) bool { return other == b })
	}
	sim.updateRegistry(b)
}

// usual are the troubles of the sites: none of them is a sick backend.
func (sim *simulation) scheduleDisturbances(interval time.Duration) {
	sim.baseErrorRate = 0.01
	randomBackend := func() *simBackend {
		svc := sim.services[sim.rng.Intn(len(sim.services))]
		return svc.backends[sim.rng.Intn(len(svc.backends))]
	}
	addPartition := func(c partition, from time.Duration) {
		c.from, c.to = from, from+time.Duration(1000+sim.rng.Intn(7000))*ms
		sim.partitions = append(sim.partitions, c)
		if c.zone == sim.coordinatorNode%3 || c.node == sim.coordinatorNode { // who follows is on the other side
			sim.schedule(c.from-sim.now+1500*ms, func() { sim.startCoordinator(sim.coordinator.fencingToken+1, (sim.coordinatorNode+1)%len(sim.nodes)) })
		}
	}
	for at := interval; at < farFuture/20; at += time.Duration((0.5 + sim.rng.Float64()) * float64(interval)) {
		disturbance := sim.rng.Intn(7)
		sim.schedule(at, func() {
			switch disturbance {
			case 0:
				sim.crashBackend(randomBackend())
			case 1: // many at once
				for range 4 {
					sim.crashBackend(randomBackend())
				}
			case 2:
				addPartition(partition{zone: sim.rng.Intn(3), node: -1}, sim.now+time.Second)
			case 3:
				addPartition(partition{zone: -1, node: sim.rng.Intn(len(sim.nodes))}, sim.now+time.Second)
			case 4: // all connections of a node
				node := sim.nodes[sim.rng.Intn(len(sim.nodes))]
				sim.resetConnections(func(req *simRequest) bool { return req.node == node })
			case 5: // slow for ten seconds
				b, slowdown := randomBackend(), []float64{3, 10, 100}[sim.rng.Intn(3)]
				b.faultFrom, b.faultUntil = sim.now, sim.now+10*time.Second
				b.fault = func(*simulation, *simNode, Mode) (EvidenceKind, float64) { return NoEvidence, slowdown }
				sim.schedule(10*time.Second, func() { b.fault, b.faultUntil = nil, 0 })
			case 6:
				if b := randomBackend(); b.Phase == Ready && !b.crashed {
					sim.setPhase(b, Draining)
					sim.schedule(2*time.Second, func() { sim.setPhase(b, Gone) })
					sim.startBackend(b.service, zoneOf(b))
				}
			}
		})
	}
}

// agree: once nothing is cut, all nodes have come to the same, whatever they heard in between.
func (sim *simulation) checkConvergence() {
	sim.partitions = nil
	for _, node := range sim.nodes {
		node.applyAt = map[int]time.Duration{}
		sim.applyEntries(node)
		sim.handleActions(node)
		if !bytes.Equal(sim.state.Snapshot(), node.state.Snapshot()) {
			panic(fmt.Sprint("node ", node.slot, " has another state"))
		}
		for k, b := range node.access {
			if o := sim.nodes[0].access[k]; !b.Local && !o.Local && b.Access != o.Access {
				panic(fmt.Sprintf("nodes %d and 0 bind %v otherwise", node.slot, k))
			}
		}
	}
}

// plays runs seeds on three cores.
func runSeeds(count int, simulate func(seed int64) *simulation, collect func(sim *simulation)) {
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

// seeds are more where OUTLIER_SEEDS says so.
func seedCount(defaultCount int) int {
	if n, err := strconv.Atoi(os.Getenv("OUTLIER_SEEDS")); err == nil {
		return n
	}
	return defaultCount
}

// The usual troubles, one every five seconds, are no verdicts; what is shut wrongly is counted.
func TestDisturbancesCauseNoEjections(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		nodes  int
		trades func() []*simService
		n      int
	}{{12, smallSite, seedCount(24)}, {96, largeSite, seedCount(6)}} {
		wrongEjections, ejections, worstShare, simulated, closedLocally, reports := 0, 0, 0.0, time.Duration(0), time.Duration(0), 0
		runSeeds(tc.n, func(seed int64) *simulation {
			sim := newSimulation(seed, tc.nodes, tc.trades())
			sim.scheduleDisturbances(5 * time.Second)
			sim.run(60 * time.Second)
			sim.checkConvergence()
			return sim
		}, func(sim *simulation) {
			wrongEjections, ejections, worstShare, simulated = wrongEjections+sim.wrongEjections, ejections+sim.ejections, max(worstShare, sim.worstPatientShare), simulated+sim.now
			closedLocally, reports = closedLocally+sim.wronglyClosedLocally, reports+sim.reportsSent
			for _, record := range sim.state.History() {
				if record.Verb == Eject && sim.wronglyEjected[record.Key.ID] {
					t.Log(record.Key, record.Reason, record.Witnesses)
				}
			}
		})
		t.Logf("%d nodes: %d seeds, %v: %d wrong of %d verdicts; patient: %.2f of its bound shut; held off by single nodes: %v; %.1f reports/s",
			tc.nodes, tc.n, simulated, wrongEjections, ejections, worstShare, closedLocally.Round(ms), float64(reports)/simulated.Seconds())
		must.LessEq(t, 1+int(simulated.Hours()/10), wrongEjections)
	}
}

// lies says of forty backends whatever may convict, bears out what others say, and says that all else is well.
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
			observation.Rev = node.state.revision(observation.Key)
			for kind := ServerError; kind < evidenceKindCount; kind++ {
				observation.Evidence = append(observation.Evidence, Evidence{kind, 0, 2 * time.Second})
			}
			report.Observations = append(report.Observations, observation)
		}
	}
	return report
}

// A node that sees nonsense on purpose has out what its bound says at every moment, and less with each refuted verdict.
func TestOneLyingNode(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		nodes         int
		trades        func() []*simService
		troubles      bool
		soleEjections int
	}{{96, largeSite, false, seedCount(1)}, {12, smallSite, false, seedCount(6)}, {12, smallSite, true, seedCount(6)}} {
		maxEjected, ejections, closedTime, simulated, sharedEjections := 0, 0, time.Duration(0), time.Duration(0), 0
		runSeeds(tc.soleEjections, func(seed int64) *simulation {
			sim := newSimulation(seed, tc.nodes, tc.trades())
			if tc.troubles {
				sim.scheduleDisturbances(5 * time.Second)
			}
			sim.baseErrorRate = 0.004
			liar := sim.nodes[1]
			liar.forgeReport = sim.forgedReport
			for sim.now < 90*time.Second {
				sim.step()
				soleEjections, byService := 0, map[string]int{}
				for _, x := range sim.state.Ejections() {
					if x.Step != InService && x.SoleWitness == liar.slot {
						soleEjections++
						byService[x.Service+x.Mode.String()]++
					} else if x.Step != InService && !tc.troubles {
						panic(fmt.Sprintf("%v is out by more than the liar", x))
					}
				}
				sim.maxSoleEjections = max(sim.maxSoleEjections, soleEjections)
				for _, x := range sim.services {
					for m := range modeCount {
						serviceLimit, totalLimit := sim.state.Settings().soleWitnessLimits(len(x.backends), 0)
						if count := byService[x.name+m.String()]; count > serviceLimit && !tc.troubles || soleEjections > totalLimit {
							panic(fmt.Sprintf("node %d alone has %d of %s out, %d in all", liar.slot, count, x.name, soleEjections))
						}
					}
				}
			}
			return sim
		}, func(sim *simulation) {
			maxEjected, ejections, closedTime, simulated = max(maxEjected, sim.maxSoleEjections), ejections+sim.ejections, closedTime+sim.wronglyClosed, simulated+sim.now
			for _, record := range sim.state.History() {
				if record.Verb == Eject && len(record.Witnesses) > 1 && sim.wronglyEjected[record.Key.ID] {
					sharedEjections++
				}
			}
		})
		t.Logf("%d nodes, troubles %v: %d seeds, %v: at most %d out at once, %d verdicts (%d by more than the liar), shut for writes %v",
			tc.nodes, tc.troubles, tc.soleEjections, simulated, maxEjected, ejections, sharedEjections, closedTime.Round(time.Second))
	}
}

func medianAndMax(durations []time.Duration) (median, largest time.Duration) {
	if len(durations) == 0 {
		return 0, 0
	}
	slices.Sort(durations)
	return durations[len(durations)/2], durations[len(durations)-1]
}

// From the first evidence of a backend to its verdict, and to the last node in touch; what is no verdict.
func TestDetectionTime(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name    string
		nodes   int
		trades  func() []*simService
		service string
		part    float64
		manner  Mode
		kind    EvidenceKind
		share   float64
		caller  int           // of this zone only, at backends elsewhere; -1: any
		most    time.Duration // stated, for the median; 0: no verdict
	}{
		{"one answer in forty lost", 12, smallSite, "libro", 0.5, Strict, LostAnswer, 1. / 40, -1, 15 * time.Second},
		{"one answer in forty lost", 96, largeSite, "libro", 0.5, Strict, LostAnswer, 1. / 40, -1, 15 * time.Second},
		{"one in forty answered twice", 12, smallSite, "libro", 0.5, Strict, DuplicateAnswer, 1. / 40, -1, 300 * ms},
		{"one in forty answered twice", 96, largeSite, "libro", 0.5, Strict, DuplicateAnswer, 1. / 40, -1, 300 * ms},
		{"all within two seconds, no seal", 12, smallSite, "libro", 1, Strict, MalformedAnswer, 1, -1, time.Second},
		{"one in five fails by 5xx", 12, smallSite, "libro", 0.5, Strict, ServerError, 0.2, -1, 15 * time.Second},
		{"one in five fails by 5xx", 96, largeSite, "libro", 0.5, Strict, ServerError, 0.2, -1, 20 * time.Second},
		{"nine reads in ten without a seal", 96, largeSite, "catalogo", 0.5, Patient, MalformedAnswer, 0.9, -1, 15 * time.Second},
		{"one in ten lost, from one zone", 12, smallSite, "libro", 1, Strict, LostAnswer, 0.1, 2, 0},
		{"one in ten lost, from one zone", 96, largeSite, "libro", 1, Strict, LostAnswer, 0.1, 2, 0},
		{"all fail by 5xx alike", 12, smallSite, "libro", 1, Strict, ServerError, 0.5, -1, 0},
	} {
		var detection, propagation []time.Duration
		faults, ejections, ejectedKeys, unserved := 0, 0, 0, 0
		runs := max(1, seedCount(36/tc.nodes))
		runSeeds(runs, func(seed int64) *simulation {
			sim := newSimulation(seed, tc.nodes, tc.trades())
			sim.baseErrorRate = 0.004
			sim.injectFault(tc.service, tc.part, tc.manner, tc.kind, tc.share, tc.caller)
			sim.run(45 * time.Second)
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
		t.Logf("%-32s | %2d nodes | %v, %v | %v, %v | met %d | %d verdicts on %d | refused %d", tc.name, tc.nodes, medianDetection, maxDetection, medianPropagation,
			maxPropagation, faults/runs, ejections, ejectedKeys, unserved)
		must.True(t, medianDetection <= tc.most && (ejections > 0) == (tc.most > 0), must.Sprint(tc.name))
	}
}
