package balancer

import (
	"cmp"
	"math/rand"
	"slices"
	"time"

	"clovergap/control"
)

// backendState is what this node knows of one backend.
type backendState struct {
	control.Endpoint
	inFlight int
	// pass is the point in virtual time at which the backend is next in turn, see the package comment.
	pass float64

	// Unanswered requests.
	sentAt             time.Duration
	unanswered         int           // requests sent since the last response
	unansweredSince    time.Duration // when the first of these was sent
	secondUnansweredAt time.Duration // when the second of these was sent
	expectedLatency    time.Duration // highest typical latency among these

	// Response times.
	slowdown  float64
	responses int // responses that have changed slowdown

	// Rejections and failures.
	rejections    int           // consecutive
	backoffUntil  time.Duration // no requests until then, after a rejection or a failed send
	failureShare  float64       // smoothed share of requests that failed
	endedRequests int           // requests that were counted in failureShare
	ejectionTime  time.Duration // length of the last ejection
	ejectedUntil  time.Duration // no requests until then, if other backends are healthy
	suspect       bool          // ejected, and no request has succeeded since
	slowStartFrom time.Duration // time of the first success after the last ejection

	outsideSubset bool
}

// slots returns the number of requests that a backend processes at a time, 1 at the least.
func (b *backendState) slots() float64 { return max(b.Capacity, 1) }

// The indices of the backends in this node's zone and of all other backends.
const (
	ownZone = iota
	otherZones
)

// Balancer chooses among the backends of one service. It is not safe for concurrent use.
type Balancer struct {
	rng       *rand.Rand
	zone      control.ZoneID
	nodes     int // nodes that share the service
	zoneIndex int // index of this node among the nodes of its zone
	zoneNodes int // number of nodes in this zone; 0 if unknown

	// known holds all listed backends, and removed ones that still have requests in flight.
	known map[control.BackendID]*backendState
	// ordered holds the backends that are not removed, sorted by ID.
	ordered []*backendState
	slots   float64 // total of the ready backends
	// virtualTime is that of stride scheduling, by ownZone and otherZones.
	virtualTime [2]float64
	subset      subset

	latency        map[control.ProductID]float64 // typical latency by kind of request, in seconds
	rejectionShare float64                       // smoothed share of requests that were rejected
	failureShare   float64                       // smoothed share of requests that failed
	lastResponseAt time.Duration                 // time of the last response of any backend

	inFlight    int
	capacity    float64
	saturatedAt time.Duration // when the capacity was last exhausted

	valueLoss            [2]float64 // mean value loss of responses, by ownZone and otherZones
	lastRemoteResponseAt time.Duration
	crossZoneShare       float64 // share of requests sent to other zones although this zone has capacity
	crossZoneUpdatedAt   time.Duration
}

// New returns a balancer without backends for one of several nodes that share the service.
func New(rng *rand.Rand, zone control.ZoneID, nodes int) *Balancer {
	return &Balancer{
		rng: rng, zone: zone, nodes: max(nodes, 1), saturatedAt: -time.Minute,
		known:     map[control.BackendID]*backendState{},
		latency:   map[control.ProductID]float64{},
		valueLoss: [2]float64{initialValueLoss, initialValueLoss},
	}
}

// SetNodes sets the number of nodes that share the service.
func (b *Balancer) SetNodes(n int) { b.nodes = max(n, 1) }

// SetEndpoint applies one entry of the backend list. A backend that is draining or gone gets no further requests.
func (b *Balancer) SetEndpoint(_ time.Duration, e control.Endpoint) {
	backend := b.known[e.ID]
	if backend == nil {
		if e.State == control.Gone {
			return
		}
		backend = &backendState{slowdown: 1, slowStartFrom: -slowStartTime}
		b.known[e.ID] = backend
	}
	if backend.State == control.Gone && e.State != control.Gone { // new, or listed again
		at, _ := slices.BinarySearchFunc(b.ordered, e.ID, compareID)
		b.ordered = slices.Insert(b.ordered, at, backend)
		backend.pass = b.virtualTime[b.locality(e.Zone)] + b.rng.Float64()/max(e.Capacity, 1)
	}
	backend.Endpoint = e
	if e.State == control.Gone {
		b.removeBackend(backend)
	}
	b.updateSlots()
}

func compareID(backend *backendState, id control.BackendID) int { return cmp.Compare(backend.ID, id) }

// remove removes a backend from the order. Its requests in flight are still counted.
func (b *Balancer) removeBackend(backend *backendState) {
	if at, ok := slices.BinarySearchFunc(b.ordered, backend.ID, compareID); ok {
		b.ordered = slices.Delete(b.ordered, at, at+1)
	}
	if backend.inFlight == 0 {
		delete(b.known, backend.ID)
	}
}

// updateSlots sums the slots of the ready backends. The capacity changes in proportion: if half the slots are gone, half the capacity is left.
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

// locality returns the index of a zone: ownZone or otherZones.
func (b *Balancer) locality(zone control.ZoneID) int {
	if zone == b.zone {
		return ownZone
	}
	return otherZones
}

// ReadyCount returns the number of ready backends.
func (b *Balancer) ReadyCount() (n int) {
	for _, backend := range b.ordered {
		if backend.State == control.Ready {
			n++
		}
	}
	return n
}

// HasBackend reports whether there is a ready backend that the request has not attempted.
func (b *Balancer) HasBackend(r Request) bool {
	return slices.ContainsFunc(b.ordered, r.mayGoTo)
}

// IsWarmingUp reports whether a backend is warming up or no longer known.
func (b *Balancer) IsWarmingUp(now time.Duration, id control.BackendID) bool {
	backend := b.known[id]
	return backend == nil || now < backend.WarmingUntil
}

// IsEmpty reports whether the balancer knows no backend, which implies that no request is in flight.
func (b *Balancer) IsEmpty() bool { return len(b.known) == 0 }

// InFlightCount returns the number of this node's requests in flight at the service.
func (b *Balancer) InFlightCount() int { return b.inFlight }

// Capacity returns the number of requests that this node may now have in flight at the service.
func (b *Balancer) Capacity() float64 { return b.capacity }

// TypicalLatency returns the smoothed response time of a kind of request, or false while none has been answered.
func (b *Balancer) TypicalLatency(kind control.ProductID) (time.Duration, bool) {
	seconds, ok := b.latency[kind]
	return time.Duration(seconds * float64(time.Second)), ok
}

// RecordResume is called after a pause of this process that ended now. Backends are not blamed for responses that are missing because of the pause.
func (b *Balancer) RecordResume(now time.Duration) {
	for _, backend := range b.ordered {
		backend.unansweredSince, backend.secondUnansweredAt = now, now
	}
	b.lastResponseAt = now
}
