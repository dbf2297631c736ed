package balancer

import (
	"math/rand"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"clovergap/control"
)

// fixture is a balancer together with simulated backends. The fixture that newFixture returns has backends 1 to 6, of which 1 to 3
// are in the balancer's zone.
type fixture struct {
	*Balancer
	now           time.Duration
	chosen        map[control.BackendID]int            // requests sent by the last sendRequests, by backend
	responseTimes map[control.BackendID]time.Duration  // response time of each backend; 100 ms if not set
	endings       map[control.BackendID]control.Ending // how requests end at each backend; Succeeded if not set
}

// newFixture returns a fixture with backends 1 to 6. seed is the seed of the random numbers.
func newFixture(seed int64) *fixture {
	f := &fixture{Balancer: New(rand.New(rand.NewSource(seed)), 0, 3), now: time.Second,
		chosen: map[control.BackendID]int{}, responseTimes: map[control.BackendID]time.Duration{},
		endings: map[control.BackendID]control.Ending{}}
	for i := range 6 {
		f.SetEndpoint(0, f.testEndpoint(control.BackendID(i+1), control.Ready))
	}
	return f
}

// testEndpoint returns the entry of one of the backends 1 to 6 in the backend list.
func (f *fixture) testEndpoint(id control.BackendID, state control.BackendState) control.Endpoint {
	return control.Endpoint{ID: id, Zone: control.ZoneID((id - 1) / 3), State: state, Capacity: 4}
}

// sendRequests sends requestCount requests, one every 20 ms. Each request ends before the next is sent, so the number of requests in flight does not influence
// the choice.
func (f *fixture) sendRequests(requestCount int, request Request) {
	clear(f.chosen)
	for range requestCount {
		f.now += 20 * time.Millisecond
		id, result := f.Pick(f.now, request)
		if result != Chosen {
			continue
		}
		f.chosen[id]++
		f.RecordSent(f.now, id, request)
		took := 100 * time.Millisecond
		if t := f.responseTimes[id]; t > 0 {
			took = t
		}
		f.RecordEnd(f.now, id, Outcome{Ending: f.endings[id], Took: took, LatencyTarget: 400 * time.Millisecond})
	}
}

// otherZoneRequestCount returns the number of requests that the last sendRequests sent to the other zone.
func (f *fixture) otherZoneRequestCount() int { return f.chosen[4] + f.chosen[5] + f.chosen[6] }

// Guards against needless traffic between zones, and against requests that stay in a zone whose backends are late, reject all requests or fail.
func TestRequestsLeaveZoneOnlyIfItIsLateOrFailing(t *testing.T) {
	f := newFixture(1)
	f.sendRequests(300, Request{})
	must.Zero(t, f.otherZoneRequestCount())
	// Requests stay in this zone if its responses are somewhat slower. They leave it if its responses are late.
	for i := range 3 {
		f.responseTimes[control.BackendID(i+1)] = 200 * time.Millisecond
	}
	f.sendRequests(300, Request{})
	must.Zero(t, f.otherZoneRequestCount())
	for i := range 3 {
		f.responseTimes[control.BackendID(i+1)] = 500 * time.Millisecond
	}
	f.sendRequests(300, Request{})
	must.Greater(t, 50, f.otherZoneRequestCount())
	// If all backends of a zone reject requests or fail, requests go to other zones as well. Requests return once the zone has recovered.
	for _, ending := range []control.Ending{control.Rejected, control.Unreachable} {
		f = newFixture(1)
		f.endings[1], f.endings[2], f.endings[3] = ending, ending, ending
		f.sendRequests(300, Request{})
		must.Greater(t, 200, f.otherZoneRequestCount())
		clear(f.endings)
		f.sendRequests(600, Request{})
		f.sendRequests(100, Request{})
		must.Less(t, 10, f.otherZoneRequestCount())
	}
}

// Guards against requests that leave their zone although its responses come within the latency target. Responses after nine tenths of the target counted
// as late, and so did a response that another zone would bring slightly earlier. A zone also keeps its requests if it misses about as many targets as
// the other zones, so that requests do not depend on the links between zones without a benefit to their clients.
func TestRequestsStayInZoneThatMeetsTheTarget(t *testing.T) {
	f := newFixture(1)
	for i := range 3 {
		f.responseTimes[control.BackendID(i+1)] = 390 * time.Millisecond
	}
	f.sendRequests(600, Request{})
	must.Zero(t, f.otherZoneRequestCount())
	must.Zero(t, f.missShare[ownZone])

	f.missShare = [2]float64{0.3, 0.25}
	f.lastRemoteResponseAt = f.now
	must.Zero(t, f.updateCrossZoneShare(f.now))
	f.missShare = [2]float64{0.5, 0.25}
	must.Positive(t, f.updateCrossZoneShare(f.now+crossZoneInterval))
	must.False(t, (&Balancer{missShare: [2]float64{0.3, 0.25}}).mayUseOtherZones())
	must.True(t, (&Balancer{missShare: [2]float64{0.5, 0.25}}).mayUseOtherZones())
	must.True(t, (&Balancer{missShare: [2]float64{0, missMargin / 2}}).mayUseOtherZones())
	must.False(t, (&Balancer{missShare: [2]float64{0, 0.15}}).mayUseOtherZones())
}

// Guards against late responses of slow backends and against nodes with the same observations that all choose the same backend. A backend's share of
// the requests must grow with a power of its speed.
func TestSharesFollowPowerOfSpeed(t *testing.T) {
	firstChosen := map[control.BackendID]int{}
	for seed := range int64(12) {
		f := newFixture(seed)
		id, _ := f.Pick(f.now, Request{})
		firstChosen[id]++
		f.responseTimes[1], f.responseTimes[2], f.responseTimes[3] = 60*time.Millisecond, 100*time.Millisecond, 140*time.Millisecond
		f.sendRequests(600, Request{})
		f.sendRequests(600, Request{})
		must.Between(t, 1.9, float64(f.chosen[1])/float64(f.chosen[2]), 2.7) // (100/60)^1.6 is 2.26
		must.Between(t, 1.5, float64(f.chosen[2])/float64(f.chosen[3]), 2.1)
	}
	must.MapLen(t, 3, firstChosen)
}

// Guards against requests that fail at a failing backend. Until it has recovered, the backend gets few idempotent requests and even fewer effectful
// requests. If all backends fail, all must still get requests.
func TestFailingBackendIsEjectedUnlessAllFail(t *testing.T) {
	f := newFixture(1)
	f.sendRequests(60, Request{})
	f.endings[2] = control.ConnectionLost
	f.sendRequests(300, Request{}) // takes 6 s
	must.Between(t, 2, f.chosen[2], 15)
	f.sendRequests(300, Request{Effectful: true})
	must.Less(t, 3, f.chosen[2])
	delete(f.endings, 2)
	f.sendRequests(600, Request{})
	f.sendRequests(300, Request{})
	must.Greater(t, 60, f.chosen[2])
	// If all backends fail equally often, all backends still get requests.
	for i := range 6 {
		f.endings[control.BackendID(i+1)] = control.Errored
	}
	f.sendRequests(300, Request{})
	must.MapLen(t, 6, f.chosen)
	for _, n := range f.chosen {
		must.Greater(t, 5, n)
	}
}

// Guards against too many requests at a backend that is warming up, and against requests at a draining backend. A backend that is warming up gets a
// reduced share, which grows to its full size.
func TestWarmingUpBackendGetsReducedShareAndDrainingNone(t *testing.T) {
	f := newFixture(1)
	warmingUp := f.testEndpoint(7, control.Ready)
	warmingUp.Zone, warmingUp.WarmingUntil = 0, f.now+6*time.Second
	f.SetEndpoint(f.now, warmingUp)
	f.SetEndpoint(f.now, f.testEndpoint(1, control.Draining))
	f.sendRequests(300, Request{})
	must.Between(t, 10, f.chosen[7], 50)
	must.Zero(t, f.chosen[1])
	f.sendRequests(200, Request{})
	f.sendRequests(300, Request{})
	must.Greater(t, 85, f.chosen[7])
}

// Guards against requests that wait for a backend that does not respond. A backend with unanswered requests gets no further requests, and is dead
// once other backends have responded.
func TestUnresponsiveBackendIsAvoidedAndDeclaredDead(t *testing.T) {
	f := newFixture(1)
	f.sendRequests(100, Request{})
	for range 2 {
		f.RecordSent(f.now, 1, Request{})
	}
	f.now += 250 * time.Millisecond
	must.False(t, f.IsDead(f.now, 1))
	f.now += 200 * time.Millisecond
	must.False(t, f.IsDead(f.now, 1)) // no other backend has responded since
	f.sendRequests(5, Request{Attempted: []control.BackendID{1}})
	must.True(t, f.IsDead(f.now, 1))
	for range 10 {
		id, _ := f.Pick(f.now, Request{})
		must.NotEq(t, 1, id)
	}
	f.RecordResume(f.now) // after a pause of this process, missing responses do not count against the backend
	must.False(t, f.IsDead(f.now, 1))
}

// Guards against a node of a large deployment that sends to each backend too rarely. Such a node did not know the speed of the backends and opened a
// new connection for two of three requests. The subsets of the nodes are evenly distributed over the backends, without messages between nodes. Most
// requests go to the subset. Requests for which the subset has no capacity go to the other backends. If all backends of the subset are gone, all
// requests go to the other backends.
func TestSubsetsAreEvenAndFallBackToOtherBackends(t *testing.T) {
	const nodes, backends = 24, 56
	nodesOf := map[control.BackendID]int{}
	for node := range nodes {
		balancer := New(rand.New(rand.NewSource(int64(node))), 0, 4*nodes)
		balancer.SetZoneIndex(node, nodes)
		for i := range backends {
			balancer.SetEndpoint(0, control.Endpoint{ID: control.BackendID(i + 1), Capacity: 4, State: control.Ready})
		}
		f := &fixture{Balancer: balancer, now: time.Second, chosen: map[control.BackendID]int{}}
		f.sendRequests(300, Request{}) // the balancer measures the request rate
		inSubset := map[control.BackendID]bool{}
		for _, b := range balancer.ordered {
			if inSubset[b.ID] = !b.outsideSubset; !b.outsideSubset {
				nodesOf[b.ID]++
			}
		}
		f.sendRequests(400, Request{})
		toSubset := 0
		for id, n := range f.chosen {
			if inSubset[id] {
				toSubset += n
			}
		}
		must.Between(t, 330, toSubset, 399)
		var sentTo []control.BackendID
		for range 24 { // all of these requests stay in flight until the loop below ends them
			id, result := f.Pick(f.now, Request{})
			must.Eq(t, Chosen, result)
			f.RecordSent(f.now, id, Request{})
			sentTo = append(sentTo, id)
		}
		for _, id := range sentTo {
			f.RecordEnd(f.now, id, Outcome{Took: 100 * time.Millisecond, LatencyTarget: 400 * time.Millisecond})
		}
		for id := range inSubset {
			if inSubset[id] {
				f.SetEndpoint(f.now, control.Endpoint{ID: id, State: control.Gone})
			}
		}
		f.sendRequests(50, Request{})
		total := 0
		for _, n := range f.chosen {
			total += n
		}
		must.Eq(t, 50, total)
	}
	for id, n := range nodesOf {
		must.Between(t, nodesPerBackend, n, nodesPerBackend+2, must.Sprint("backend ", id))
	}
	must.MapLen(t, backends, nodesOf)
}

// Guards against a subset that is too large for the request rate. With a subset of twelve backends and three requests per second, nearly each of
// the first requests opened a connection. A node of a very large deployment with few requests has a small subset, so that the node sends to each backend
// of the subset before the idle connection is closed. The subset grows as soon as the request rate grows. At each request rate every backend is in
// the subsets of about the same number of nodes. The backends outside a small subset get a few requests.
func TestSubsetSizeFollowsRequestRate(t *testing.T) {
	const nodes, backends = 50, 42
	nodesOf := map[control.BackendID]int{}
	for node := range nodes {
		balancer := New(rand.New(rand.NewSource(int64(node))), 0, 6*nodes)
		balancer.SetZoneIndex(node, nodes)
		for i := range backends {
			balancer.SetEndpoint(0, control.Endpoint{ID: control.BackendID(i + 1), Capacity: 4, State: control.Ready})
		}
		f := &fixture{Balancer: balancer, now: time.Second, chosen: map[control.BackendID]int{}}
		subsetSize := func() (n int) {
			for _, b := range balancer.ordered {
				if !b.outsideSubset {
					n++
				}
			}
			return n
		}
		must.Eq(t, minSubset, subsetSize())
		sendWithInterval := func(n int, gap time.Duration) (toSubset int) {
			f.sendRequests(0, Request{})
			for range n {
				f.now += gap - 20*time.Millisecond
				before := f.chosen
				f.chosen = map[control.BackendID]int{}
				f.sendRequests(1, Request{})
				for id := range f.chosen {
					if !balancer.known[id].outsideSubset {
						toSubset++
					}
					before[id]++
				}
				f.chosen = before
			}
			return toSubset
		}
		sendWithInterval(60, 300*time.Millisecond)
		must.Between(t, 6, subsetSize(), 8)
		toSubset := sendWithInterval(200, 300*time.Millisecond)
		must.Between(t, 180, toSubset, 199)
		must.Greater(t, 12, len(f.chosen)) // of 42 backends, in one minute
		for _, b := range balancer.ordered {
			if !b.outsideSubset {
				nodesOf[b.ID]++
			}
		}
		first := balancer.zoneIndex * backends / nodes
		must.False(t, balancer.ordered[first].outsideSubset)
		sendWithInterval(60, 50*time.Millisecond)
		must.Eq(t, maxSubsetByRate, subsetSize())
		must.False(t, balancer.ordered[first].outsideSubset)
		sendWithInterval(30, 2*time.Second)
		must.Eq(t, minSubset, subsetSize())
		must.False(t, balancer.ordered[first].outsideSubset)
	}
	for id, n := range nodesOf {
		must.Between(t, nodes*6/backends-1, n, nodes*8/backends+2, must.Sprint("backend ", id))
	}
	must.MapLen(t, backends, nodesOf)
}

// Guards against a balancer that ignores canceled requests. If all clients leave an unresponsive backend before the deadline, no request times out, and
// the backend must still be ejected. A backend whose clients leave within its usual response time must not be ejected.
func TestUnresponsiveBackendIsEjectedWhenClientsLeaveFirst(t *testing.T) {
	for _, leavesAfter := range []time.Duration{150 * time.Millisecond, 500 * time.Millisecond} {
		f := newFixture(1)
		f.sendRequests(100, Request{})
		for range 8 {
			f.RecordSent(f.now, 1, Request{})
			f.now += leavesAfter
			f.RecordEnd(f.now, 1, Outcome{Ending: control.Canceled, Took: leavesAfter, LatencyTarget: 400 * time.Millisecond, ClientLeft: true})
		}
		f.sendRequests(60, Request{})
		if leavesAfter > 4*100*time.Millisecond {
			must.Zero(t, f.chosen[1])
		} else {
			must.Positive(t, f.chosen[1])
		}
	}
}
