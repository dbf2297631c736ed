package balancer

import (
	"cmp"
	"math/rand"
	"slices"
	"time"

	"clovergap/control"
)

// backendState is what is known of one backend.
type backendState struct {
	control.Endpoint
	inFlight int
	pass     float64 // when it is due, in virtual time

	// Silence.
	sentAt             time.Duration
	unanswered         int           // requests sent since the last answer
	unansweredSince    time.Duration // when the first of these was sent
	secondUnansweredAt time.Duration // and the second
	expectedLatency    time.Duration // longest usual answer time among them

	// Speed.
	slowdown float64
	answers  int // that say something of it

	// Rejections and failures.
	rejections     int // in a row
	rejectingUntil time.Duration
	failureShare   float64 // share of failing endings, smoothed
	endings        int
	backoff        time.Duration // length of the last ejection
	ejectedUntil   time.Duration
	suspect        bool
	slowStartFrom  time.Duration // when it last proved well after an ejection

	outsideSubset bool
}

// slots is how many requests a backend works on at a time.
func (b *backendState) slots() float64 { return max(b.Capacity, 1) }

// The two places that a backend may be in, as indices.
const (
	ownZone = iota
	otherZones
)

// Balancer chooses among the backends of one service. It is not safe for concurrent use.
type Balancer struct {
	rng       *rand.Rand
	zone      control.ZoneID
	nodes     int // that share the service
	zoneIndex int // of this node among those of its zone
	zoneNodes int // how many these are; 0: not known

	known       map[control.BackendID]*backendState // also those that are gone and owe an answer
	ordered     []*backendState                     // those that are not gone, by id
	slots       float64                             // of the ready ones
	virtualTime [2]float64                          // of stride scheduling, by ownZone and otherZones
	subset      subset

	latency        map[control.ProductID]float64 // usual answer time by kind of request, in seconds
	rejectionShare float64                       // share of endings that are rejections
	failureShare   float64                       // share of endings that are failures
	answeredAt     time.Duration                 // last answer of any backend

	inFlight    int
	capacity    float64
	saturatedAt time.Duration // when it was last exhausted

	valueLoss      [2]float64 // of answers, by ownZone and otherZones
	remoteAnswerAt time.Duration
	crossZoneShare float64 // of requests that leave the zone though it has capacity
	crossZoneAt    time.Duration
}

// New makes a balancer without backends, for one of some nodes that share the service.
func New(rng *rand.Rand, zone control.ZoneID, nodes int) *Balancer {
	return &Balancer{
		rng: rng, zone: zone, nodes: max(nodes, 1), saturatedAt: -time.Minute,
		known:     map[control.BackendID]*backendState{},
		latency:   map[control.ProductID]float64{},
		valueLoss: [2]float64{initialValueLoss, initialValueLoss},
	}
}

// SetNodes says how many nodes share the service.
func (b *Balancer) SetNodes(n int) { b.nodes = max(n, 1) }

// SetEndpoint takes one line of the backend list. A backend that drains or is gone gets nothing from now on.
func (b *Balancer) SetEndpoint(_ time.Duration, e control.Endpoint) {
	backend := b.known[e.ID]
	if backend == nil {
		if e.State == control.Gone {
			return
		}
		backend = &backendState{slowdown: 1, slowStartFrom: -slowStartTime}
		b.known[e.ID] = backend
	}
	if backend.State == control.Gone && e.State != control.Gone { // new, or back
		at, _ := slices.BinarySearchFunc(b.ordered, e.ID, compareID)
		b.ordered = slices.Insert(b.ordered, at, backend)
		backend.pass = b.virtualTime[b.locality(e.Zone)] + b.rng.Float64()/max(e.Capacity, 1)
	}
	backend.Endpoint = e
	if e.State == control.Gone {
		b.remove(backend)
	}
	b.updateSlots()
}

func compareID(backend *backendState, id control.BackendID) int { return cmp.Compare(backend.ID, id) }

// remove takes a backend out of the order. What it owes is still counted.
func (b *Balancer) remove(backend *backendState) {
	if at, ok := slices.BinarySearchFunc(b.ordered, backend.ID, compareID); ok {
		b.ordered = slices.Delete(b.ordered, at, at+1)
	}
	if backend.inFlight == 0 {
		delete(b.known, backend.ID)
	}
}

// updateSlots sums up the slots. The capacity follows them: with half the slots gone, half of it is left.
func (b *Balancer) updateSlots() {
	before := b.slots
	b.slots = 0
	for _, backend := range b.ordered {
		if backend.State == control.Ready {
			b.slots += backend.slots()
		}
	}
	if before > 0 && b.slots > 0 && b.capacity > 0 {
		b.capacity *= b.slots / before
	} else if b.slots > 0 {
		b.capacity = initialCapacityFactor * b.slots / float64(b.nodes)
	}
	b.boundCapacity()
	b.updateSubset()
}

func (b *Balancer) boundCapacity() {
	b.capacity = min(max(b.capacity, 1), max(1, maxCapacityFactor*b.slots))
}

// locality is the index of a zone: ownZone or otherZones.
func (b *Balancer) locality(zone control.ZoneID) int {
	if zone == b.zone {
		return ownZone
	}
	return otherZones
}

// Ready counts the backends that are ready.
func (b *Balancer) Ready() (n int) {
	for _, backend := range b.ordered {
		if backend.State == control.Ready {
			n++
		}
	}
	return n
}

// HasBackend tells whether a backend is ready that a request has not attempted.
func (b *Balancer) HasBackend(r Request) bool {
	return slices.ContainsFunc(b.ordered, r.mayGoTo)
}

// WarmingUp tells whether a backend is warming up, or is not known any more.
func (b *Balancer) WarmingUp(now time.Duration, id control.BackendID) bool {
	backend := b.known[id]
	return backend == nil || now < backend.WarmingUntil
}

// Empty tells that there is nothing to keep: no backend, and nothing in flight.
func (b *Balancer) Empty() bool { return len(b.known) == 0 }

// InFlight counts the requests of this node at the service.
func (b *Balancer) InFlight() int { return b.inFlight }

// Capacity is how many there may be now.
func (b *Balancer) Capacity() float64 { return b.capacity }

// TypicalLatency returns the smoothed response time of a kind of request, or false while none has been answered.
func (b *Balancer) TypicalLatency(kind control.ProductID) (time.Duration, bool) {
	seconds, ok := b.latency[kind]
	return time.Duration(seconds * float64(time.Second)), ok
}

// Resumed is called when this process has stood still until now. Silence and time-outs of that time are of its own making.
func (b *Balancer) Resumed(now time.Duration) {
	for _, backend := range b.ordered {
		backend.unansweredSince, backend.secondUnansweredAt = now, now
	}
	b.answeredAt = now
}
