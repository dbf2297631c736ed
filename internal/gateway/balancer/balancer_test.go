package balancer

import (
	"math/rand"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"clovergap/control"
)

// fixture is a balancer with backends 1 to 6, 1 to 3 of them in this zone, that answer in their own time.
type fixture struct {
	*Balancer
	now           time.Duration
	chosen        map[control.BackendID]int
	responseTimes map[control.BackendID]time.Duration // not 100 ms
	endings       map[control.BackendID]control.Ending
}

func newFixture(seed int64) *fixture {
	f := &fixture{Balancer: New(rand.New(rand.NewSource(seed)), 0, 3), now: time.Second,
		chosen: map[control.BackendID]int{}, responseTimes: map[control.BackendID]time.Duration{},
		endings: map[control.BackendID]control.Ending{}}
	for i := range 6 {
		f.SetEndpoint(0, f.endpoint(control.BackendID(i+1), control.Ready))
	}
	return f
}

func (f *fixture) endpoint(id control.BackendID, state control.BackendState) control.Endpoint {
	return control.Endpoint{ID: id, Zone: control.ZoneID((id - 1) / 3), State: state, Capacity: 4}
}

// play sends so many, one each 20 ms, each ended before the next: what each backend has out is no guide here.
func (f *fixture) sendRequests(n int, request Request) {
	clear(f.chosen)
	for range n {
		f.now += 20 * time.Millisecond
		id, result := f.Pick(f.now, request)
		if result != Chosen {
			continue
		}
		f.chosen[id]++
		f.Sent(f.now, id, request)
		took := 100 * time.Millisecond
		if t := f.responseTimes[id]; t > 0 {
			took = t
		}
		f.Ended(f.now, id, Outcome{Ending: f.endings[id], Took: took, LatencyTarget: 400 * time.Millisecond})
	}
}

func (f *fixture) inOtherZone() int { return f.chosen[4] + f.chosen[5] + f.chosen[6] }

func TestRequestsLeaveZoneOnlyIfItIsLateOrFailing(t *testing.T) {
	s := newFixture(1)
	s.sendRequests(300, Request{})
	must.Zero(t, s.inOtherZone())
	// Somewhat slower is no reason to leave, late is.
	for i := range 3 {
		s.responseTimes[control.BackendID(i+1)] = 200 * time.Millisecond
	}
	s.sendRequests(300, Request{})
	must.Zero(t, s.inOtherZone())
	for i := range 3 {
		s.responseTimes[control.BackendID(i+1)] = 500 * time.Millisecond
	}
	s.sendRequests(300, Request{})
	must.Greater(t, 50, s.inOtherZone())
	// And so is a zone that rejects all, or fails. When it is well again, they come back.
	for _, e := range []control.Ending{control.Rejected, control.Unreachable} {
		s = newFixture(1)
		s.endings[1], s.endings[2], s.endings[3] = e, e, e
		s.sendRequests(300, Request{})
		must.Greater(t, 200, s.inOtherZone())
		clear(s.endings)
		s.sendRequests(600, Request{})
		s.sendRequests(100, Request{})
		must.Less(t, 10, s.inOtherZone())
	}
}

// Requests go by a power of the speed, so that fewer come late by a slow backend alone, and nodes of one age and knowledge don't move in step.
func TestSharesFollowPowerOfSpeed(t *testing.T) {
	first := map[control.BackendID]int{}
	for seed := range int64(12) {
		s := newFixture(seed)
		id, _ := s.Pick(s.now, Request{})
		first[id]++
		s.responseTimes[1], s.responseTimes[2], s.responseTimes[3] = 60*time.Millisecond, 100*time.Millisecond, 140*time.Millisecond
		s.sendRequests(600, Request{})
		s.sendRequests(600, Request{})
		must.Between(t, 1.9, float64(s.chosen[1])/float64(s.chosen[2]), 2.7) // (100/60)^1.6 is 2.26
		must.Between(t, 1.5, float64(s.chosen[2])/float64(s.chosen[3]), 2.1)
	}
	must.MapLen(t, 3, first)
}

func TestFailingBackendIsEjectedUnlessAllFail(t *testing.T) {
	s := newFixture(1)
	s.sendRequests(60, Request{})
	s.endings[2] = control.ConnectionLost
	s.sendRequests(300, Request{}) // six seconds
	must.Between(t, 2, s.chosen[2], 15)
	s.sendRequests(300, Request{Effectful: true})
	must.Less(t, 3, s.chosen[2])
	delete(s.endings, 2)
	s.sendRequests(600, Request{})
	s.sendRequests(300, Request{})
	must.Greater(t, 60, s.chosen[2])
	// Where all fail alike, all are still tried.
	for i := range 6 {
		s.endings[control.BackendID(i+1)] = control.Errored
	}
	s.sendRequests(300, Request{})
	must.MapLen(t, 6, s.chosen)
	for _, n := range s.chosen {
		must.Greater(t, 5, n)
	}
}

func TestWarmingUpBackendGetsReducedShareAndDrainingNone(t *testing.T) {
	s := newFixture(1)
	cold := s.endpoint(7, control.Ready)
	cold.Zone, cold.WarmingUntil = 0, s.now+6*time.Second
	s.SetEndpoint(s.now, cold)
	s.SetEndpoint(s.now, s.endpoint(1, control.Draining))
	s.sendRequests(300, Request{})
	must.Between(t, 10, s.chosen[7], 50)
	must.Zero(t, s.chosen[1])
	s.sendRequests(200, Request{})
	s.sendRequests(300, Request{})
	must.Greater(t, 85, s.chosen[7])
}

// One that owes answers for long gets few, and is dead once others have answered.
func TestUnresponsiveBackendIsAvoidedAndDeclaredDead(t *testing.T) {
	s := newFixture(1)
	s.sendRequests(100, Request{})
	for range 2 {
		s.Sent(s.now, 1, Request{})
	}
	s.now += 250 * time.Millisecond
	must.False(t, s.Dead(s.now, 1))
	s.now += 200 * time.Millisecond
	must.False(t, s.Dead(s.now, 1)) // nobody else was asked
	s.sendRequests(5, Request{Attempted: []control.BackendID{1}})
	must.True(t, s.Dead(s.now, 1))
	for range 10 {
		id, _ := s.Pick(s.now, Request{})
		must.NotEq(t, 1, id)
	}
	s.Resumed(s.now) // unless the silence was this node's own
	must.False(t, s.Dead(s.now, 1))
}

// Without a subset a node of a large fleet sent to each backend once in a while: it learnt nothing of them and opened a connection
// for two requests of three. Subsets are spread evenly without a message, most goes there, and what they have no capacity for,
// or all when they are gone, goes to the others.
func TestSubsetsAreEvenAndFallBackToOtherBackends(t *testing.T) {
	const nodes, backends = 24, 56
	nodesOf := map[control.BackendID]int{}
	for node := range nodes {
		balancer := New(rand.New(rand.NewSource(int64(node))), 0, 4*nodes)
		balancer.SetZoneIndex(node, nodes)
		for i := range backends {
			balancer.SetEndpoint(0, control.Endpoint{ID: control.BackendID(i + 1), Capacity: 4, State: control.Ready})
		}
		s := &fixture{Balancer: balancer, now: time.Second, chosen: map[control.BackendID]int{}}
		s.sendRequests(300, Request{}) // its rate is known
		inSubset := map[control.BackendID]bool{}
		for _, b := range balancer.ordered {
			if inSubset[b.ID] = !b.outsideSubset; !b.outsideSubset {
				nodesOf[b.ID]++
			}
		}
		s.sendRequests(400, Request{})
		toSubset := 0
		for id, n := range s.chosen {
			if inSubset[id] {
				toSubset += n
			}
		}
		must.Between(t, 330, toSubset, 399)
		var sentTo []control.BackendID
		for range 24 { // none of them ends
			id, result := s.Pick(s.now, Request{})
			must.Eq(t, Chosen, result)
			s.Sent(s.now, id, Request{})
			sentTo = append(sentTo, id)
		}
		for _, id := range sentTo {
			s.Ended(s.now, id, Outcome{Took: 100 * time.Millisecond, LatencyTarget: 400 * time.Millisecond})
		}
		for id := range inSubset {
			if inSubset[id] {
				s.SetEndpoint(s.now, control.Endpoint{ID: id, State: control.Gone})
			}
		}
		s.sendRequests(50, Request{})
		total := 0
		for _, n := range s.chosen {
			total += n
		}
		must.Eq(t, 50, total)
	}
	for id, n := range nodesOf {
		must.Between(t, nodesPerBackend, n, nodesPerBackend+2, must.Sprint("backend ", id))
	}
	must.MapLen(t, backends, nodesOf)
}

// A node of a very large fleet sends little: it has a small subset then, to each backend of which it sends before the connection would have been closed
// as idle, and more as soon as it sends more. Guards against a subset of twelve for three requests a second, where nearly each of the first
// requests opened a connection. All backends have about as many nodes at any rate, and small subsets leave the others a little.
func TestSubsetSizeFollowsRequestRate(t *testing.T) {
	const nodes, backends = 50, 42
	nodesOf := map[control.BackendID]int{}
	for node := range nodes {
		balancer := New(rand.New(rand.NewSource(int64(node))), 0, 6*nodes)
		balancer.SetZoneIndex(node, nodes)
		for i := range backends {
			balancer.SetEndpoint(0, control.Endpoint{ID: control.BackendID(i + 1), Capacity: 4, State: control.Ready})
		}
		s := &fixture{Balancer: balancer, now: time.Second, chosen: map[control.BackendID]int{}}
		subsetSize := func() (n int) {
			for _, b := range balancer.ordered {
				if !b.outsideSubset {
					n++
				}
			}
			return n
		}
		must.Eq(t, minSubset, subsetSize())
		sendEvery := func(n int, gap time.Duration) (nodesOf int) {
			s.sendRequests(0, Request{})
			for range n {
				s.now += gap - 20*time.Millisecond
				before := s.chosen
				s.chosen = map[control.BackendID]int{}
				s.sendRequests(1, Request{})
				for id := range s.chosen {
					if !balancer.known[id].outsideSubset {
						nodesOf++
					}
					before[id]++
				}
				s.chosen = before
			}
			return nodesOf
		}
		sendEvery(60, 300*time.Millisecond)
		must.Between(t, 6, subsetSize(), 8)
		toSubset := sendEvery(200, 300*time.Millisecond)
		must.Between(t, 180, toSubset, 199)
		must.Greater(t, 12, len(s.chosen)) // of 42, in a minute
		for _, b := range balancer.ordered {
			if !b.outsideSubset {
				nodesOf[b.ID]++
			}
		}
		first := balancer.zoneIndex * backends / nodes
		must.False(t, balancer.ordered[first].outsideSubset)
		sendEvery(60, 50*time.Millisecond)
		must.Eq(t, maxSubsetByRate, subsetSize())
		must.False(t, balancer.ordered[first].outsideSubset)
		sendEvery(30, 2*time.Second)
		must.Eq(t, minSubset, subsetSize())
		must.False(t, balancer.ordered[first].outsideSubset)
	}
	for id, n := range nodesOf {
		must.Between(t, nodes*6/backends-1, n, nodes*8/backends+2, must.Sprint("backend ", id))
	}
	must.MapLen(t, backends, nodesOf)
}

// A backend that is silent is ejected although every client leaves it before its time is up; one whose clients leave soon is not. Guards
// against learning nothing of a backend whose requests are canceled.
func TestUnresponsiveBackendIsEjectedWhenClientsLeaveFirst(t *testing.T) {
	for _, leavesAfter := range []time.Duration{150 * time.Millisecond, 500 * time.Millisecond} {
		s := newFixture(1)
		s.sendRequests(100, Request{})
		for range 8 {
			s.Sent(s.now, 1, Request{})
			s.now += leavesAfter
			s.Ended(s.now, 1, Outcome{Ending: control.Canceled, Took: leavesAfter, LatencyTarget: 400 * time.Millisecond, ClientLeft: true})
		}
		s.sendRequests(60, Request{})
		if leavesAfter > 4*100*time.Millisecond {
			must.Zero(t, s.chosen[1])
		} else {
			must.Positive(t, s.chosen[1])
		}
	}
}
