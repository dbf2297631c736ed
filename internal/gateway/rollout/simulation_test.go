package rollout

import (
	"bytes"
	"encoding/binary"
	"encoding/gob"
	"fmt"
	"math"
	"math/rand"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// simulation simulates a service with nodes in three zones, their requests and a roll-out.
type simulation struct {
	rng         *rand.Rand
	nodes       []*Node
	coordinator *Coordinator
	state       *State
	// rate is the number of requests per second over all nodes. Three of ten requests are writes.
	rate float64
	// failureRate is the fraction of requests that fails on both sides.
	failureRate          float64
	backendLatencyFactor map[uint64]float64 // random factor, by backend number
	// commonFactors returns the factors by which the failure rate and the latency of both sides are multiplied.
	commonFactors func(now time.Duration) (fails, slower float64)
	// fault returns the probability that is added to a request's failure probability, and the factor by which the request's latency is
	// multiplied.
	fault func(now time.Duration, e *Outcome, zone int, tenant int) (fails, slower float64)
	now   time.Duration // simulated time since the start of the roll-out

	canaryRequests, canaryFailures int    // number of requests sent to the canary, and number of these requests that failed
	lostReportsOfSeven             int    // average number of lost reports out of seven sent ones
	evidenceBytes                  int    // size of the encoded evidence in all reports that the nodes sent, in bytes
	rollbackReason                 string // empty until the coordinator rolls back
	localRollbacks                 int    // number of local rollbacks at all nodes
}

const (
	baselineBackendCount, canaryBackendCount = 7, 6
	tick                                     = 250 * time.Millisecond
)

// newSimulation returns a simulation with a started roll-out and connected nodes. The rate is in requests per second over all nodes.
func newSimulation(seed int64, nodes int, rate float64, spec *Spec) *simulation {
	sim := &simulation{rng: rand.New(rand.NewSource(seed)), rate: rate, failureRate: 0.004, state: NewState(),
		coordinator: NewCoordinator(1, 0), backendLatencyFactor: map[uint64]float64{}, lostReportsOfSeven: 1}
	sim.commonFactors = func(time.Duration) (float64, float64) { return 1, 1 }
	sim.fault = func(time.Duration, *Outcome, int, int) (float64, float64) { return 0, 1 }
	e := newStartEntry(spec, 0, "")
	e.Capacity.Canary = 1000
	if _, err := sim.state.Apply(e); err != nil {
		panic(err)
	}
	for i := range nodes {
		node := NewNode(fmt.Sprint("zone-", i%3), uint64(seed)+uint64(i), 0)
		node.SetConnected(true)
		sim.nodes = append(sim.nodes, node)
	}
	for b := range uint64(baselineBackendCount + canaryBackendCount) {
		sim.backendLatencyFactor[b+1] = math.Exp(0.15 * sim.rng.NormFloat64())
	}
	sim.applyState()
	return sim
}

// applyState passes the replicated state to the coordinator and to all nodes.
func (s *simulation) applyState() {
	s.coordinator.ApplyState(s.state)
	for _, node := range s.nodes {
		node.ApplyState(s.state)
	}
}

// simulateTick simulates one tick. It runs the requests of each node, delivers the nodes' reports, and applies the entries that the
// coordinator proposes. The entries take effect at the nodes with the next tick.
func (s *simulation) simulateTick() {
	s.now += tick
	failureFactor, latencyFactor := s.commonFactors(s.now)
	for i, node := range s.nodes {
		n := s.rate * tick.Seconds() / float64(len(s.nodes))
		for range int(n + s.rng.Float64()) {
			s.simulateRequest(i, node, failureFactor, latencyFactor)
		}
		node.Tick(s.now)
		for a, ok := node.Next(); ok; a, ok = node.Next() {
			switch a := a.(type) {
			case SendReport:
				s.evidenceBytes += len(a.Report.Evidence)
				if s.rng.Intn(7) >= s.lostReportsOfSeven {
					if err := s.coordinator.HandleReport(NodeID(i), a.Report); err != nil {
						panic(err)
					}
				}
			case LocalRollback:
				s.localRollbacks++
			}
		}
	}
	s.coordinator.Tick(s.now)
	for a, ok := s.coordinator.Next(); ok; a, ok = s.coordinator.Next() {
		switch a := a.(type) {
		case BroadcastLap:
			for _, node := range s.nodes {
				node.HandleLap(a.Lap)
			}
		case Propose:
			if _, err := s.state.Apply(&a.Entry); err != nil {
				panic(err)
			}
			if a.Entry.Verb == Rollback {
				s.rollbackReason = a.Entry.Reason
			}
			s.applyState()
		}
	}
}

// simulateRequest simulates one request of a random user at a node and records its outcome.
func (s *simulation) simulateRequest(nodeIndex int, n *Node, failureFactor, latencyFactor float64) {
	user := s.rng.Intn(4000)
	name := binary.LittleEndian.AppendUint16(nil, uint16(user))
	tenant := user % 8
	side, compared := n.ChooseSide("libro", name, Scope{})
	outcome := Outcome{Side: side, Tenant: uint32(tenant), Backend: uint64(1 + s.rng.Intn(baselineBackendCount))}
	if s.rng.Float64() < 0.3 {
		outcome.Kind, outcome.Route = Write, 1
	}
	if side == Canary {
		outcome.Backend = uint64(1 + baselineBackendCount + s.rng.Intn(canaryBackendCount))
		outcome.WarmingUp = s.now < 8*time.Second
		s.canaryRequests++
	}
	fails, slower := s.fault(s.now, &outcome, nodeIndex%3, tenant)
	took := 0.12 * s.backendLatencyFactor[outcome.Backend] * latencyFactor * slower * math.Exp(0.4*s.rng.NormFloat64())
	outcome.Latency = time.Duration(took * float64(time.Second))
	if outcome.WarmingUp {
		outcome.Latency *= 3
	}
	if s.rng.Float64() < s.failureRate*failureFactor+fails {
		outcome.Cause = Cause(1 + s.rng.Intn(3))
		if side == Canary {
			s.canaryFailures++
		}
	}
	if compared {
		n.RecordOutcome("libro", n.RunningNumber("libro"), outcome)
	}
}

// Guards against false positives. It simulates 1,000 roll-outs of a good version in four steps. Each roll-out may have a random fault
// that is not caused by the version.
func TestGoodVersionIsNotRolledBack(t *testing.T) {
	t.Parallel()
	const runs = 1000
	var falsePositives, localRollbacks, finished, evidenceBytes int
	var mu sync.Mutex
	var all sync.WaitGroup
	for part := range 8 {
		all.Go(func() {
			for seed := part; seed < runs; seed += 8 {
				sim := newSimulation(int64(seed), 6, 150, newTestSpec(100, 500, 2500, 5000))
				sim.failureRate = 0.004 + 0.026*sim.rng.Float64()
				injectRandomFault(sim)
				for sim.now < 45*time.Second && sim.rollbackReason == "" {
					sim.simulateTick()
				}
				mu.Lock()
				if localRollbacks += sim.localRollbacks; sim.rollbackReason != "" {
					falsePositives++
					t.Logf("seed=%d: a good version was rolled back after %v: %s", seed, sim.now, sim.rollbackReason)
				}
				if sim.state.Run("libro").Step == 4 {
					finished++
				}
				evidenceBytes += sim.evidenceBytes
				mu.Unlock()
			}
		})
	}
	all.Wait()
	t.Logf("%d of %d roll-outs rolled back, %d local rollbacks; %d roll-outs reached the last step; %d bytes of evidence per node and second",
		falsePositives, runs, localRollbacks, finished, evidenceBytes/runs/45/6)
	must.LessEq(t, runs/100, falsePositives) // documented limit, 1 in 100
	must.GreaterEq(t, runs*8/10, finished)
}

// injectRandomFault adds a fault of a random kind, or none. The kinds are a period with more failures and higher latency on both sides, a
// backend that crashes, a backend that is faulty all the time, and a zone whose nodes have network problems.
func injectRandomFault(sim *simulation) {
	faultStart := time.Duration(5+sim.rng.Intn(30)) * time.Second
	isActive := func(now, long time.Duration) bool { return now >= faultStart && now < faultStart+long }
	faultyBackend := uint64(1 + sim.rng.Intn(baselineBackendCount+canaryBackendCount))
	unhealthyZone := sim.rng.Intn(3)
	switch sim.rng.Intn(5) {
	case 0: // for 6 s, both sides have 15 times as many failures and 2.5 times the latency
		sim.commonFactors = func(now time.Duration) (float64, float64) {
			if isActive(now, 6*time.Second) {
				return 15, 2.5
			}
			return 1, 1
		}
	case 1: // a backend crashes, and the load balancer sends requests to it for another second
		sim.fault = func(now time.Duration, e *Outcome, _, _ int) (float64, float64) {
			if e.Backend == faultyBackend && isActive(now, time.Second) {
				return 1, 1
			}
			return 0, 1
		}
	case 2: // one backend of either side is faulty all the time
		sim.fault = func(_ time.Duration, e *Outcome, _, _ int) (float64, float64) {
			if e.Backend == faultyBackend {
				return 0.2, 2
			}
			return 0, 1
		}
	case 3: // the nodes of one zone have network problems with both sides
		sim.fault = func(now time.Duration, _ *Outcome, zone, _ int) (float64, float64) {
			if zone == unhealthyZone && isActive(now, 5*time.Second) {
				return 0.3, 1.5
			}
			return 0, 1
		}
	}
}

// Guards against failing versions that are rolled back too late or not at all. docs/rollouts.md contains the same table of faults.
func TestFailingVersionsAreRolledBack(t *testing.T) {
	t.Parallel()
	type fault = func(now time.Duration, e *Outcome, zone, tenant int) (float64, float64)
	type only = func(now time.Duration, e *Outcome, zone, tenant int) bool
	newCanaryFault := func(fails, slower float64, only only) fault {
		return func(now time.Duration, e *Outcome, zone, tenant int) (float64, float64) {
			if e.Side == Canary && only(now, e, zone, tenant) {
				return fails, slower
			}
			return 0, 1
		}
	}
	isInZoneOne := func(_ time.Duration, _ *Outcome, zone, _ int) bool { return zone == 1 }
	isOfTenantThree := func(_ time.Duration, _ *Outcome, _, tenant int) bool { return tenant == 3 }
	isWarmingUp := func(_ time.Duration, e *Outcome, _, _ int) bool { return e.WarmingUp }
	isAfterTenMinutes := func(now time.Duration, _ *Outcome, _, _ int) bool { return now > 10*time.Minute }
	isAnyRequest := func(time.Duration, *Outcome, int, int) bool { return true }
	isWrite := func(_ time.Duration, e *Outcome, _, _ int) bool { return e.Kind == Write }
	for _, c := range []struct {
		name  string
		share int     // canary's share of the users, in basis points
		rate  float64 // requests per second at all nodes together
		fault fault
		most  time.Duration // highest allowed median of the time from the start of the fault to the rollback, as documented
	}{
		{"1 in 5 writes fails, 1 %, 350/s", 100, 350, newCanaryFault(.2, 1, isWrite), 80 * time.Second},
		{"1 in 5 writes fails, 10 %, 350/s", 1000, 350, newCanaryFault(.2, 1, isWrite), 8 * time.Second},
		{"1 in 5 writes fails, 50 %, 350/s", 5000, 350, newCanaryFault(.2, 1, isWrite), 5 * time.Second},
		{"1 in 5 writes fails, 90 %, 350/s", 9000, 350, newCanaryFault(.2, 1, isWrite), 15 * time.Second},
		{"1 in 5 writes fails, 10 %, 3500/s", 1000, 3500, newCanaryFault(.2, 1, isWrite), 3 * time.Second},
		{"all requests fail, 1 %", 100, 350, newCanaryFault(1, 1, isAnyRequest), 6 * time.Second},
		{"all requests fail, 50 %", 5000, 350, newCanaryFault(1, 1, isAnyRequest), 3 * time.Second},
		{"1 in 200 requests fails", 2500, 3500, newCanaryFault(.005, 1, isAnyRequest), 90 * time.Second},
		{"1 in 50 requests fails", 2500, 350, newCanaryFault(.02, 1, isAnyRequest), 40 * time.Second},
		{"1 tenant of 8: 1 in 2 fails", 1000, 350, newCanaryFault(.5, 1, isOfTenantThree), 25 * time.Second},
		{"1 zone of 3: 1 in 5 fails", 1000, 350, newCanaryFault(.2, 1, isInZoneOne), 15 * time.Second},
		{"latency doubled", 1000, 350, newCanaryFault(0, 2, isAnyRequest), 45 * time.Second},
		{"latency tripled", 1000, 350, newCanaryFault(0, 3, isAnyRequest), 15 * time.Second},
		{"during warm-up: 1 in 5 fails", 1000, 350, newCanaryFault(.2, 1, isWarmingUp), 8 * time.Second},
		{"after 10 minutes: 1 in 5 fails", 1000, 60, newCanaryFault(.2, 1, isAfterTenMinutes), 60 * time.Second},
	} {
		const runs = 5
		var took []time.Duration
		var requests, failures []int
		localRollbacks, faultStart := 0, time.Duration(0)
		if c.rate == 60 {
			faultStart = 10 * time.Minute
		}
		for seed := range int64(runs) {
			sim := newSimulation(seed, 12, c.rate, newTestSpec(c.share))
			sim.fault = c.fault
			requestsBeforeFault := 0
			for sim.rollbackReason == "" && sim.now < faultStart+2*time.Minute {
				if sim.simulateTick(); sim.now == faultStart {
					requestsBeforeFault = sim.canaryRequests
				}
			}
			took, requests, failures = append(took, sim.now-faultStart), append(requests, sim.canaryRequests-requestsBeforeFault), append(failures, sim.canaryFailures)
			localRollbacks += sim.localRollbacks
		}
		slices.Sort(took)
		slices.Sort(requests)
		slices.Sort(failures)
		t.Logf("%-30s | share %2d %% | %4.0f/s | time median %4.1f s, max %4.1f s | requests median %4d, max %4d | failures median %3d | local rollbacks %d",
			c.name, c.share/100, c.rate,
			took[2].Seconds(), took[4].Seconds(), requests[2], requests[4], failures[2], localRollbacks)
		if took[2] > c.most {
			t.Errorf("%s: median time to the rollback is %v, which is above the limit", c.name, took[2])
		}
	}
}

// Guards against counts that depend on the order of reports. A coordinator receives every subset of the reports in every order, and each
// report twice. The coordinator must count each outcome once. A new coordinator must have all counts after the last report of each node.
func TestReportOrderDoesNotChangeCounts(t *testing.T) {
	t.Parallel()
	sim := newSimulation(1, 2, 400, newTestSpec(5000))
	sim.lostReportsOfSeven = 7
	var reports []Report
	for range 3 {
		for range 4 {
			sim.now += tick
			for i, node := range sim.nodes {
				for range 40 {
					sim.simulateRequest(i, node, 1, 1)
				}
				node.Tick(sim.now)
				for a, ok := node.Next(); ok; a, ok = node.Next() {
					reports = append(reports, a.(SendReport).Report)
				}
			}
		}
	}
	must.Eq(t, 6, len(reports))
	var b bytes.Buffer
	must.NoError(t, gob.NewEncoder(&b).Encode(reports[5]))
	must.Less(t, 4096, b.Len())
	var want Counts
	want.Add(&reports[4].Counts)
	want.Add(&reports[5].Counts)
	must.Eq(t, uint32(480*2), want[0][0].Outcomes+want[0][1].Outcomes+want[1][0].Outcomes+want[1][1].Outcomes)
	var deliverInEveryOrder func(left, done []int)
	deliverInEveryOrder = func(left, done []int) {
		coordinator := NewCoordinator(2, sim.now)
		coordinator.ApplyState(sim.state)
		for _, i := range append(done, done...) {
			must.NoError(t, coordinator.HandleReport(NodeID(i%2), reports[i]))
		}
		if slices.Contains(done, 4) && slices.Contains(done, 5) {
			got, _ := coordinator.Counts("libro")
			must.Eq(t, want, got)
			old := reports[4]
			old.Number++
			must.NoError(t, coordinator.HandleReport(0, old))
			got, _ = coordinator.Counts("libro")
			must.Eq(t, want, got)
		}
		for i := range left {
			rest := slices.Delete(slices.Clone(left), i, i+1)
			deliverInEveryOrder(rest, append(slices.Clone(done), left[i]))
		}
	}
	deliverInEveryOrder([]int{0, 1, 2, 3, 4, 5}, nil)
	broken := reports[5]
	broken.Evidence = broken.Evidence[:len(broken.Evidence)-1]
	coordinator := NewCoordinator(2, 0)
	coordinator.ApplyState(sim.state)
	must.Error(t, coordinator.HandleReport(1, broken))
}

// A local rollback whose report was lost must still reach the coordinator, although the node compares no more requests after it: otherwise
// the roll-out runs on for good, at a share of 0.
func TestLostLastReportsAreRepeated(t *testing.T) {
	sim := newSimulation(1, 4, 200, newTestSpec(5000))
	sim.lostReportsOfSeven = 7
	sim.fault = func(_ time.Duration, o *Outcome, _, _ int) (fails, slower float64) {
		if o.Side == Canary {
			return 1, 1
		}
		return 0, 1
	}
	for sim.localRollbacks < len(sim.nodes) {
		sim.simulateTick()
		must.Less(t, time.Minute, sim.now)
	}
	for range int(2 * reportInterval / tick) { // the reports of the local rollbacks get lost as well
		sim.simulateTick()
	}
	must.Eq(t, "", sim.rollbackReason)

	sim.lostReportsOfSeven = 0
	sim.coordinator = NewCoordinator(2, sim.now)
	sim.applyState()
	for range int(2 * reportRepeatInterval / tick) {
		sim.simulateTick()
	}
	must.NotEq(t, "", sim.rollbackReason)
}

// Guards against a rollback by all nodes on the evidence of one faulty node. The coordinator must not propose a rollback while only this
// node has sent reports, even if the reports come from several incarnations of this node.
func TestOneNodeDoesNotRollBack(t *testing.T) {
	s := NewState()
	e := newStartEntry(newTestSpec(5000), 0, "")
	_, err := s.Apply(e)
	must.NoError(t, err)
	coordinator := NewCoordinator(2, 0)
	coordinator.SetNodeCount(12)
	coordinator.ApplyState(s)
	now := time.Duration(0)
	reportFailuresFrom := func(id NodeID, incarnation uint64) (rolledBack bool) {
		node := NewNode("a", incarnation, now)
		node.ApplyState(s)
		node.SetConnected(true)
		for end := now + 3*time.Second; now < end; now += tick {
			for i := range 20 {
				node.RecordOutcome("libro", 1, Outcome{Side: Side(i % 2), Backend: uint64(1 + i%6), Cause: Cause(i % 2)})
			}
			node.Tick(now)
			for a, ok := node.Next(); ok; a, ok = node.Next() {
				if send, is := a.(SendReport); is {
					must.NoError(t, coordinator.HandleReport(id, send.Report))
				}
			}
			coordinator.Tick(now)
			for a, ok := coordinator.Next(); ok; a, ok = coordinator.Next() {
				p, is := a.(Propose)
				rolledBack = rolledBack || is && p.Entry.Verb == Rollback
			}
		}
		return rolledBack
	}
	must.False(t, reportFailuresFrom(3, 1))
	must.False(t, reportFailuresFrom(3, 2))
	must.True(t, reportFailuresFrom(4, 3)) // a second node confirms the failures
}
