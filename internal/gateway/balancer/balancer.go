package balancer

import (
	"cmp"
	"math/rand"
	"slices"
	"time"

	"clovergap/control"
)

// backendState holds the observations of this node for one backend.
type backendState struct {
	control.Endpoint
	inFlight int // requests of this node in flight at the backend
	// pass is the point in virtual time at which the backend is chosen next, see the package comment.
	pass float64

	// Unanswered requests.
	sentAt             time.Duration // when the last request was sent
	unanswered         int           // requests in flight at the last response or sent since then
	unansweredSince    time.Duration // when the first of the unanswered requests was sent, or the last response if later
	secondUnansweredAt time.Duration // when the second of the unanswered requests was sent, or the last response if later
	expectedLatency    time.Duration // highest typical latency of the kinds of requests sent since unanswered was 0

	// Response times.
	slowdown  float64 // smoothed ratio of the backend's response times to the typical latency of the service; 1 is typical
	responses int     // number of responses that were used for slowdown

	// Rejections and failures.
	rejections    int           // consecutive rejections
	backoffUntil  time.Duration // end of the backoff after a rejection or a request that could not be sent
	failureShare  float64       // smoothed share of requests that failed
	endedRequests int           // requests that were counted in failureShare
	ejectionTime  time.Duration // length of the last ejection
	ejectedUntil  time.Duration // end of the last ejection
	suspect       bool          // the backend was ejected, and no request has succeeded since
	slowStartFrom time.Duration // start of the slow start: the first success after the last ejection

	outsideSubset bool // see subset.go
}

// slots returns the number of requests that a backend processes at a time, which is at least 1.
func (b *backendState) slots() float64 { return max(b.Capacity, 1) }

// Indices of arrays that hold one value for this node's zone and one for all other zones.
const (
	ownZone = iota
	otherZones
)

// Balancer chooses among the backends of one service. It is not safe for concurrent use.
type Balancer struct {
	rng       *rand.Rand
	zone      control.ZoneID
	nodes     int // number of nodes that send requests to the service
	zoneIndex int // index of this node among the nodes of its zone
	zoneNodes int // number of nodes in this zone; 0 if unknown

	// known holds all listed backends, and the removed backends that still have requests in flight.
	known map[control.BackendID]*backendState
	// ordered holds the backends that are not removed, sorted by ID.
	ordered []*backendState
	slots   float64 // total number of slots of the ready backends
	// virtualTime is the highest pass of a backend that was chosen, by ownZone and otherZones.
	virtualTime [2]float64
	subset      subset

	latency        map[control.ProductID]latencyEstimate // by kind of request
	rejectionShare float64                               // smoothed share of requests that were rejected
	failureShare   float64                               // smoothed share of requests that failed
	lastResponseAt time.Duration                         // time of the last response of any backend

	inFlight    int           // requests of this node in flight at all backends
	capacity    float64       // number of requests that this node may have in flight at all backends of the service
	saturatedAt time.Duration // when a request last found no capacity, or was rejected by a backend

	missShare            [2]float64    // smoothed share of misses by ownZone and otherZones, see recordMiss
	lastRemoteResponseAt time.Duration // time of the last response from another zone
	crossZoneShare       float64       // share of requests sent to other zones although this zone has capacity
	crossZoneUpdatedAt   time.Duration // last time that crossZoneShare was updated
}

// New returns a balancer without backends. zone is the zone of this node. nodes is the number of nodes that send requests to the service.
func New(rng *rand.Rand, zone control.ZoneID, nodes int) *Balancer {
	return &Balancer{
		rng: rng, zone: zone, nodes: max(nodes, 1), saturatedAt: -time.Minute,
		known:   map[control.BackendID]*backendState{},
		latency: map[control.ProductID]latencyEstimate{},
	}
}

// SetNodes sets the number of nodes that send requests to the service.
func (b *Balancer) SetNodes(nodeCount int) { b.nodes = max(nodeCount, 1) }

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
	b.updateTotalSlots()
}

// compareID compares the ID of a backend with an ID, for a binary search.
func compareID(backend *backendState, id control.BackendID) int { return cmp.Compare(backend.ID, id) }

// removeBackend removes a backend from ordered. The backend remains in known until it has no request in flight.
func (b *Balancer) removeBackend(backend *backendState) {
	if at, ok := slices.BinarySearchFunc(b.ordered, backend.ID, compareID); ok {
		b.ordered = slices.Delete(b.ordered, at, at+1)
	}
	if backend.inFlight == 0 {
		delete(b.known, backend.ID)
	}
}

// updateTotalSlots updates the total number of slots of the ready backends. The capacity changes in proportion: with half the slots, half the capacity is
// left.
func (b *Balancer) updateTotalSlots() {
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

// boundCapacity limits the capacity to at least 1 and at most maxCapacityFactor times the slots.
func (b *Balancer) boundCapacity() {
	b.capacity = min(max(b.capacity, 1), max(1, maxCapacityFactor*b.slots))
}

// locality returns the array index for a zone: ownZone if the zone is this node's zone, and otherZones for all other zones.
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

// HasBackend reports whether there is a ready backend to which the request has not been sent.
func (b *Balancer) HasBackend(r Request) bool {
	return slices.ContainsFunc(b.ordered, r.mayGoTo)
}

// IsWarmingUp reports whether a backend is warming up. It also returns true for a backend that is not known any more.
func (b *Balancer) IsWarmingUp(now time.Duration, id control.BackendID) bool {
	backend := b.known[id]
	return backend == nil || now < backend.WarmingUntil
}

// IsEmpty reports whether the balancer knows no backend. A balancer that knows no backend has no request in flight.
func (b *Balancer) IsEmpty() bool { return len(b.known) == 0 }

// InFlightCount returns the number of this node's requests in flight at the service.
func (b *Balancer) InFlightCount() int { return b.inFlight }

// Capacity returns the number of requests that this node may have in flight at the service now.
func (b *Balancer) Capacity() float64 { return b.capacity }

// RecordResume records that a pause of this process ended now. Responses that are missing because of the pause do not count against the backends.
func (b *Balancer) RecordResume(now time.Duration) {
	for _, backend := range b.ordered {
		backend.unansweredSince, backend.secondUnansweredAt = now, now
	}
	b.lastResponseAt = now
}
