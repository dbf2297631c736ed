package admission

import (
	"math/rand"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"clovergap/control"
	"clovergap/internal/timerqueue"
)

// job is a request at a backend; or, among the events, any event.
type job struct {
	kind    string
	node    int
	txn     control.TxnID
	attempt int
	backend control.BackendID
	sentAt  time.Duration
}

// server works on so many at a time and queues as many more.
type server struct {
	speed        float64
	slots        int
	zone         control.ZoneID
	busy         int
	queue        []job
	busyTime     time.Duration // done
	unresponsive bool
}

// simulated is a few controllers before queueing servers, in simulated time.
type simulated struct {
	now                                                                   time.Duration
	rng                                                                   *rand.Rand
	controllers                                                           []*Controller
	servers                                                               []*server
	events                                                                timerqueue.Queue[job]
	route                                                                 Route
	meanTime                                                              time.Duration
	rate                                                                  []float64 // a second, by controller
	arrivedAt                                                             map[[2]int]time.Duration
	next                                                                  control.TxnID
	routeOf                                                               map[control.TxnID]control.ProductID
	requested, served                                                     map[control.ProductID]int
	arrived, inTarget, late, rejected, failed, crossZone, firsts, retries int
}

func newSimulated(seed int64, nodes, servers, slots int, rate float64, effectful bool) *simulated {
	f := &simulated{rng: rand.New(rand.NewSource(seed)), meanTime: 120 * time.Millisecond, arrivedAt: map[[2]int]time.Duration{},
		routeOf: map[control.TxnID]control.ProductID{}, requested: map[control.ProductID]int{}, served: map[control.ProductID]int{},
		route: Route{Effectful: effectful, LatencyTarget: 400 * time.Millisecond, Deadline: 1500 * time.Millisecond, MaxAttempts: 2,
			Targets: []Target{{1, 1}}}}
	var list []control.Endpoint
	for i := range servers {
		f.servers = append(f.servers, &server{speed: 0.6 + 0.8*float64(i)/float64(servers-1), slots: slots,
			zone: control.ZoneID(i % 3)})
		list = append(list, control.Endpoint{ID: control.BackendID(i + 1), Zone: control.ZoneID(i % 3),
			State: control.Ready, Capacity: float64(slots), Service: 1})
	}
	f.rng.Shuffle(servers, func(i, j int) {
		f.servers[i].speed, f.servers[j].speed = f.servers[j].speed, f.servers[i].speed
	})
	for i := range nodes {
		o := New(100*seed+int64(i), Config{Zone: control.ZoneID(i % 3), RetryRatio: 0.2,
			RetryWindow: 10 * time.Second, RetryAllowance: 64, Nodes: nodes}, unlimited(), 0)
		o.SetRoute(1, f.route)
		o.EndpointsChanged(true, list)
		f.controllers = append(f.controllers, o)
		f.rate = append(f.rate, rate/float64(nodes)*(0.6+0.8*f.rng.Float64()))
		f.events.Add(0, job{kind: "arrival", node: i})
	}
	return f
}

func (s *simulated) after(d time.Duration, j job) { s.events.Add(s.now+d, j) }

func (s *simulated) randomTime(mean time.Duration) time.Duration {
	return time.Duration(s.rng.ExpFloat64() * float64(mean))
}

// run plays until a time.
func (s *simulated) run(until time.Duration) {
	for {
		at, _ := s.events.NextDeadline()
		if at > until {
			return
		}
		s.now = at
		j, _ := s.events.Take(at)
		s.play(j)
	}
}

func (s *simulated) play(j job) {
	o := s.controllers[j.node]
	if j.kind == "arrive" || j.kind == "done" {
		s.serve(j)
		return
	}
	o.Now(s.now)
	switch j.kind {
	case "arrival":
		rate, kind := s.rate[j.node], control.ProductID(max(j.attempt, 1)) // nr: of a route added later
		if kind > 1 {
			rate *= addedShare
		}
		s.after(s.randomTime(time.Duration(float64(time.Second)/rate)), j)
		s.next++
		s.routeOf[s.next] = kind
		s.requested[kind]++
		s.arrived++
		s.arrivedAt[[2]int{j.node, int(s.next)}] = s.now
		o.TxnArrived(control.Txn{ID: s.next, Product: kind, Units: 1, Expiry: s.now + s.route.Deadline})
	case "settled", "full", "cut":
		how := map[string]control.Ending{"settled": control.Succeeded, "full": control.Rejected,
			"cut": control.TimedOut}[j.kind]
		who := [2]int{j.node, int(j.txn)}
		born, waits := s.arrivedAt[who]
		if t := o.txns[j.txn]; t == nil || !t.inFlight || t.submissions-1 != j.attempt {
			break // it has ended otherwise
		}
		if waits && how == control.Succeeded {
			delete(s.arrivedAt, who)
			s.served[s.routeOf[j.txn]]++
			if s.now-born <= s.route.LatencyTarget {
				s.inTarget++
			} else {
				s.late++
			}
		}
		o.SubmissionEnded(j.txn, j.attempt, j.backend, how, how == control.Succeeded, s.now-j.sentAt, nil)
	}
	s.pull(j.node, o)
}

func (s *simulated) pull(node int, o *Controller) {
	for x, ok := o.Next(); ok; x, ok = o.Next() {
		who := [2]int{node, int(x.Txn)}
		switch x.Action {
		case control.Submit:
			nr := o.txns[x.Txn].submissions - 1
			if nr == 0 {
				s.firsts++
			} else {
				s.retries++
			}
			j := job{"arrive", node, x.Txn, nr, x.Backend, s.now}
			if s.servers[x.Backend-1].zone != o.config.Zone {
				s.crossZone++
			}
			s.after(time.Millisecond, j)
			j.kind = "cut"
			s.after(x.After, j)
		case control.Reject, control.Fail:
			if x.Action == control.Fail {
				s.failed++
			} else {
				s.rejected++
			}
			delete(s.arrivedAt, who)
		case control.Cancel:
			if t := o.txns[x.Txn]; t != nil && t.inFlight {
				o.SubmissionEnded(x.Txn, x.Attempt, t.backend, control.Canceled, t.ended, s.now-t.sentAt, nil)
			}
		case control.Wake:
			s.after(x.After, job{kind: "wake", node: node})
		}
	}
}

func (s *simulated) serve(j job) {
	server := s.servers[j.backend-1]
	if server.unresponsive {
		return
	}
	if j.kind == "arrive" {
		switch {
		case server.busy < server.slots:
			s.start(server, j)
		case len(server.queue) < server.slots:
			server.queue = append(server.queue, j)
		default:
			j.kind = "full"
			s.after(time.Millisecond, j)
		}
		return
	}
	j.kind = "settled"
	s.after(time.Millisecond, j)
	server.busy--
	if len(server.queue) > 0 {
		next := server.queue[0]
		server.queue = server.queue[1:]
		s.start(server, next)
	}
}

func (s *simulated) start(server *server, j job) {
	server.busy++
	d := time.Duration(float64(s.randomTime(s.meanTime)) * server.speed)
	j.kind = "done"
	server.busyTime += d
	s.after(d, j)
}

// Fast backends are used a little more than slow ones, but none is crowded; few requests leave their zone, and what is beyond what all
// can do is refused without taking away from the rest.
func TestFair(t *testing.T) {
	f := newSimulated(1, 12, 13, 4, 330, false)
	f.run(40 * time.Second)
	for zone := range control.ZoneID(3) {
		least, most := 1.0, 0.0
		for _, s := range f.servers {
			if used := s.busyTime.Seconds() / f.now.Seconds() / float64(s.slots); s.zone == zone {
				least, most = min(least, used), max(most, used)
			}
		}
		must.Less(t, 1.35, most/least) // speeds are 0.6 to 1.4, shares go by their 1.6th power
	}
	must.Greater(t, 0.93, f.share(f.inTarget))
	must.Less(t, 0.06, f.share(f.crossZone))

	f = newSimulated(1, 12, 13, 4, 650, false) // half as much again as all can do
	f.run(40 * time.Second)
	must.Greater(t, 0.55, f.share(f.inTarget))
	must.LessEq(t, 0.2*float64(f.firsts)+64, float64(f.retries))
}

// Two backends that are silent cost little: others take over, those are tried with few.
func TestSilent(t *testing.T) {
	for _, effectful := range []bool{false, true} {
		f := newSimulated(1, 12, 13, 4, 217, effectful)
		f.run(20 * time.Second)
		f.arrived, f.inTarget, f.failed = 0, 0, 0
		f.servers[0].unresponsive, f.servers[5].unresponsive = true, true
		f.run(50 * time.Second)
		must.Greater(t, 0.92, f.share(f.inTarget))
		must.Less(t, 0.008, f.share(f.failed))
	}
}

func (s *simulated) share(n int) float64 { return float64(n) / float64(s.arrived) }

// addedShare of a node's requests, beside these, go by each route that was added later.
const addedShare = 0.1

// A route that is added later is served as often as the first ones, from its first second on: on the service that there is, and on
// one that just appeared, whose backends are slow from their start and of which no node has learnt anything yet.
func TestAddedRoutesAreServed(t *testing.T) {
	for _, nodes := range []int{3, 12} {
		f := newSimulated(2, nodes, 13, 4, 200, false)
		f.run(20 * time.Second)
		for i := range 3 {
			f.servers = append(f.servers, &server{speed: 1.5, slots: 4, zone: control.ZoneID(i)})
		}
		for i, o := range f.controllers {
			o.Now(f.now)
			o.SetRoute(2, f.route)
			onNew := f.route
			onNew.Targets = []Target{{2, 1}}
			o.SetRoute(3, onNew)
			for b := range 3 {
				o.EndpointsChanged(false, []control.Endpoint{{ID: control.BackendID(14 + b), Zone: control.ZoneID(b), State: control.Ready, Capacity: 4,
					Service: 2, WarmingUntil: f.now + 3*time.Second}})
			}
			for kind := 2; kind <= 3; kind++ {
				f.events.Add(f.now, job{kind: "arrival", node: i, attempt: kind})
			}
		}
		f.requested, f.served = map[control.ProductID]int{}, map[control.ProductID]int{}
		f.run(25 * time.Second)
		first := float64(f.served[1]) / float64(f.requested[1])
		must.Greater(t, 0.9, first)
		for kind := control.ProductID(2); kind <= 3; kind++ {
			must.Greater(t, 40, f.requested[kind])
			must.Greater(t, 0.8*first, float64(f.served[kind])/float64(f.requested[kind]), must.Sprintf("%d nodes, kind %d", nodes, kind))
		}
	}
}
