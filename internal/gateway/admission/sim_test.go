package admission

import (
	"math/rand"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"clovergap/control"
	"clovergap/internal/timerqueue"
)

// job is an event of the simulation, or a request that is queued at a server. The kinds are:
//   - requestArrives: a client's request arrives at a node.
//   - submissionArrives: a submission reaches its server.
//   - processed: the server has processed the submission.
//   - succeeded, rejected, timedOut: the node learns that the submission ended in this way.
//   - wakeUp: the node is woken at the time that it requested.
type job struct {
	kind string
	node int // index of the node in simulation.controllers
	txn  control.TxnID
	// attempt is the number of the submission of the request, from 0. In a requestArrives event, attempt is the product ID of the request instead,
	// and 0 stands for product ID 1.
	attempt int
	backend control.BackendID
	sentAt  time.Duration // when the node sent the submission
}

// server simulates a backend. It processes as many requests at a time as it has slots, and queues as many more.
type server struct {
	speed        float64 // factor on the processing time; a lower value is faster
	slots        int     // number of submissions that the server processes at a time
	zone         control.ZoneID
	busy         int           // number of submissions that the server is processing
	queue        []job         // submissions that wait to be processed
	busyTime     time.Duration // total processing time of the submissions whose processing was started
	unresponsive bool          // the server ignores all events
}

// simulation runs several controllers, one for each node, against servers with queues in simulated time. arrivedAt holds the arrival times of requests
// without an answer, by node index and request ID. requested and served count requests by product ID. The fields in the last line count requests
// and submissions of all nodes.
type simulation struct {
	now                                                                             time.Duration
	rng                                                                             *rand.Rand
	controllers                                                                     []*Controller
	servers                                                                         []*server
	events                                                                          timerqueue.Queue[job]
	route                                                                           Route
	meanServiceTime                                                                 time.Duration
	arrivalRates                                                                    []float64 // requests per second, by controller; for the first route
	arrivedAt                                                                       map[[2]int]time.Duration
	lastTxn                                                                         control.TxnID
	routeOf                                                                         map[control.TxnID]control.ProductID
	requested, served                                                               map[control.ProductID]int
	arrived, inTarget, late, rejected, failed, crossZone, firstSubmissions, retries int
}

// newSimulation returns a simulation of nodes that send requests to the servers of one service. rate is the total number of requests per second.
func newSimulation(seed int64, nodes, servers, slots int, rate float64, effectful bool) *simulation {
	sim := &simulation{rng: rand.New(rand.NewSource(seed)), meanServiceTime: 120 * time.Millisecond, arrivedAt: map[[2]int]time.Duration{},
		routeOf: map[control.TxnID]control.ProductID{}, requested: map[control.ProductID]int{}, served: map[control.ProductID]int{},
		route: Route{Effectful: effectful, LatencyTarget: 400 * time.Millisecond, Deadline: 1500 * time.Millisecond, MaxAttempts: 2,
			Targets: []Target{{1, 1}}}}
	var list []control.Endpoint
	for i := range servers {
		sim.servers = append(sim.servers, &server{speed: 0.6 + 0.8*float64(i)/float64(servers-1), slots: slots,
			zone: control.ZoneID(i % 3)})
		list = append(list, control.Endpoint{ID: control.BackendID(i + 1), Zone: control.ZoneID(i % 3),
			State: control.Ready, Capacity: float64(slots), Service: 1})
	}
	sim.rng.Shuffle(servers, func(i, j int) {
		sim.servers[i].speed, sim.servers[j].speed = sim.servers[j].speed, sim.servers[i].speed
	})
	for i := range nodes {
		controller := New(100*seed+int64(i), Config{Zone: control.ZoneID(i % 3), RetryRatio: 0.2,
			RetryWindow: 10 * time.Second, RetryAllowance: 64, Nodes: nodes}, newUnlimitedLimiter(), 0)
		controller.SetRoute(1, sim.route)
		controller.EndpointsChanged(true, list)
		sim.controllers = append(sim.controllers, controller)
		sim.arrivalRates = append(sim.arrivalRates, rate/float64(nodes)*(0.6+0.8*sim.rng.Float64()))
		sim.events.Add(0, job{kind: "requestArrives", node: i})
	}
	return sim
}

// scheduleAfter adds an event that occurs when delay has passed since the present simulated time.
func (s *simulation) scheduleAfter(delay time.Duration, j job) { s.events.Add(s.now+delay, j) }

// randomDuration returns an exponentially distributed duration with the given mean.
func (s *simulation) randomDuration(mean time.Duration) time.Duration {
	return time.Duration(s.rng.ExpFloat64() * float64(mean))
}

// runUntil processes all events until a simulated time, including the events at that time.
func (s *simulation) runUntil(until time.Duration) {
	for {
		at, _ := s.events.NextDeadline()
		if at > until {
			return
		}
		s.now = at
		j, _ := s.events.Take(at)
		s.handleEvent(j)
	}
}

// handleEvent processes an event. An event at a node is passed to the node's controller, whose decisions are then performed.
func (s *simulation) handleEvent(j job) {
	controller := s.controllers[j.node]
	if j.kind == "submissionArrives" || j.kind == "processed" {
		s.handleServerEvent(j)
		return
	}
	controller.Now(s.now)
	switch j.kind {
	case "requestArrives":
		rate, kind := s.arrivalRates[j.node], control.ProductID(max(j.attempt, 1)) // see job.attempt
		if kind > 1 {
			rate *= addedRouteShare
		}
		s.scheduleAfter(s.randomDuration(time.Duration(float64(time.Second)/rate)), j)
		s.lastTxn++
		s.routeOf[s.lastTxn] = kind
		s.requested[kind]++
		s.arrived++
		s.arrivedAt[[2]int{j.node, int(s.lastTxn)}] = s.now
		controller.TxnArrived(control.Txn{ID: s.lastTxn, Product: kind, Units: 1, Expiry: s.now + s.route.Deadline})
	case "succeeded", "rejected", "timedOut":
		ending := map[string]control.Ending{"succeeded": control.Succeeded, "rejected": control.Rejected,
			"timedOut": control.TimedOut}[j.kind]
		key := [2]int{j.node, int(j.txn)}
		arrivedAt, waiting := s.arrivedAt[key]
		if t := controller.txns[j.txn]; t == nil || !t.inFlight || t.submissions-1 != j.attempt {
			break // the submission has already ended
		}
		if waiting && ending == control.Succeeded {
			delete(s.arrivedAt, key)
			s.served[s.routeOf[j.txn]]++
			if s.now-arrivedAt <= s.route.LatencyTarget {
				s.inTarget++
			} else {
				s.late++
			}
		}
		controller.SubmissionEnded(j.txn, j.attempt, j.backend, ending, ending == control.Succeeded, s.now-j.sentAt, nil)
	}
	s.performDecisions(j.node, controller)
}

// performDecisions performs all decisions that the controller of a node makes at the present time.
func (s *simulation) performDecisions(node int, controller *Controller) {
	for decision, ok := controller.Next(); ok; decision, ok = controller.Next() {
		key := [2]int{node, int(decision.Txn)}
		switch decision.Action {
		case control.Submit:
			attempt := controller.txns[decision.Txn].submissions - 1
			if attempt == 0 {
				s.firstSubmissions++
			} else {
				s.retries++
			}
			j := job{"submissionArrives", node, decision.Txn, attempt, decision.Backend, s.now}
			if s.servers[decision.Backend-1].zone != controller.config.Zone {
				s.crossZone++
			}
			s.scheduleAfter(time.Millisecond, j)
			j.kind = "timedOut"
			s.scheduleAfter(decision.After, j)
		case control.Reject, control.Fail:
			if decision.Action == control.Fail {
				s.failed++
			} else {
				s.rejected++
			}
			delete(s.arrivedAt, key)
		case control.Cancel:
			if t := controller.txns[decision.Txn]; t != nil && t.inFlight {
				controller.SubmissionEnded(decision.Txn, decision.Attempt, t.lastBackend, control.Canceled, t.ended, s.now-t.sentAt, nil)
			}
		case control.Wake:
			s.scheduleAfter(decision.After, job{kind: "wakeUp", node: node})
		}
	}
}

// handleServerEvent processes an event at a server: the arrival of a submission, or the end of its processing.
func (s *simulation) handleServerEvent(j job) {
	server := s.servers[j.backend-1]
	if server.unresponsive {
		return
	}
	if j.kind == "submissionArrives" {
		switch {
		case server.busy < server.slots:
			s.startProcessing(server, j)
		case len(server.queue) < server.slots:
			server.queue = append(server.queue, j)
		default:
			j.kind = "rejected"
			s.scheduleAfter(time.Millisecond, j)
		}
		return
	}
	j.kind = "succeeded"
	s.scheduleAfter(time.Millisecond, j)
	server.busy--
	if len(server.queue) > 0 {
		next := server.queue[0]
		server.queue = server.queue[1:]
		s.startProcessing(server, next)
	}
}

// startProcessing starts the processing of a submission at a server.
func (s *simulation) startProcessing(server *server, j job) {
	server.busy++
	d := time.Duration(float64(s.randomDuration(s.meanServiceTime)) * server.speed)
	j.kind = "processed"
	server.busyTime += d
	s.scheduleAfter(d, j)
}

// Guards against uneven load, needless traffic between zones, and overload that delays all requests. Fast backends are used a little more than slow
// backends without being overloaded. Few requests leave their zone. Load beyond the capacity is rejected, and the other requests still succeed.
func TestLoadIsBalancedWithinZonesAndExcessIsRejected(t *testing.T) {
	sim := newSimulation(1, 12, 13, 4, 330, false)
	sim.runUntil(40 * time.Second)
	for zone := range control.ZoneID(3) {
		lowestUse, highestUse := 1.0, 0.0
		for _, s := range sim.servers {
			if use := s.busyTime.Seconds() / sim.now.Seconds() / float64(s.slots); s.zone == zone {
				lowestUse, highestUse = min(lowestUse, use), max(highestUse, use)
			}
		}
		must.Less(t, 1.35, highestUse/lowestUse) // speeds are 0.6 to 1.4; a backend's share is proportional to speed^-1.6
	}
	must.Greater(t, 0.93, sim.shareOfArrivals(sim.inTarget))
	must.Less(t, 0.06, sim.shareOfArrivals(sim.crossZone))

	sim = newSimulation(1, 12, 13, 4, 650, false) // 1.5 times the capacity of all backends
	sim.runUntil(40 * time.Second)
	must.Greater(t, 0.55, sim.shareOfArrivals(sim.inTarget))
	must.LessEq(t, 0.2*float64(sim.firstSubmissions)+64, float64(sim.retries))
}

// Guards against requests that fail because two backends do not respond. The other backends take over, and few requests probe the two.
func TestTwoUnresponsiveBackendsCostFewRequests(t *testing.T) {
	for _, effectful := range []bool{false, true} {
		sim := newSimulation(1, 12, 13, 4, 217, effectful)
		sim.runUntil(20 * time.Second)
		sim.arrived, sim.inTarget, sim.failed = 0, 0, 0
		sim.servers[0].unresponsive, sim.servers[5].unresponsive = true, true
		sim.runUntil(50 * time.Second)
		must.Greater(t, 0.92, sim.shareOfArrivals(sim.inTarget))
		must.Less(t, 0.008, sim.shareOfArrivals(sim.failed))
	}
}

// shareOfArrivals returns requestCount divided by the number of requests that arrived.
func (s *simulation) shareOfArrivals(requestCount int) float64 {
	return float64(requestCount) / float64(s.arrived)
}

// addedRouteShare is the request rate of each route that is added later, as a fraction of the node's request rate for the first route.
const addedRouteShare = 0.1

// Guards against requests of a newly added route that fail because little is known of the route's latencies or backends. One added route uses the
// existing service. Another added route uses a new service, whose backends are warming up and slow. In the first five seconds, the share of requests
// that succeed must be at least 0.8 times the share of the first route.
func TestAddedRoutesAreServed(t *testing.T) {
	for _, nodes := range []int{3, 12} {
		sim := newSimulation(2, nodes, 13, 4, 200, false)
		sim.runUntil(20 * time.Second)
		for i := range 3 {
			sim.servers = append(sim.servers, &server{speed: 1.5, slots: 4, zone: control.ZoneID(i)})
		}
		for i, controller := range sim.controllers {
			controller.Now(sim.now)
			controller.SetRoute(2, sim.route)
			newServiceRoute := sim.route
			newServiceRoute.Targets = []Target{{2, 1}}
			controller.SetRoute(3, newServiceRoute)
			for b := range 3 {
				controller.EndpointsChanged(false, []control.Endpoint{{ID: control.BackendID(14 + b), Zone: control.ZoneID(b), State: control.Ready,
					Capacity: 4, Service: 2, WarmingUntil: sim.now + 3*time.Second}})
			}
			for kind := 2; kind <= 3; kind++ {
				sim.events.Add(sim.now, job{kind: "requestArrives", node: i, attempt: kind})
			}
		}
		sim.requested, sim.served = map[control.ProductID]int{}, map[control.ProductID]int{}
		sim.runUntil(25 * time.Second)
		firstRouteShare := float64(sim.served[1]) / float64(sim.requested[1])
		must.Greater(t, 0.9, firstRouteShare)
		for kind := control.ProductID(2); kind <= 3; kind++ {
			must.Greater(t, 40, sim.requested[kind])
			must.Greater(t, 0.8*firstRouteShare, float64(sim.served[kind])/float64(sim.requested[kind]), must.Sprintf("%d nodes, product ID %d", nodes, kind))
		}
	}
}
