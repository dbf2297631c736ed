// Package balancer chooses among the backends of one service. No backend reports its load and no node tells
// another what it has out: all that is known comes from this node's own traffic. What is asked of no backend
// can't be wrong: there are no probes.
package balancer

import (
	"math"
	"math/rand"
	"slices"
	"time"

	"clovergap/control"
)

// Tuned values. Shares are of 1.
const (
	slowdownSmoothing = 0.08 // weight of a new answer in what is learnt of a backend's speed
	latencySmoothing  = 0.03 // and in the usual time of a kind of request
	failureSmoothing  = 0.2  // and of an ending in a backend's failing share
	serviceSmoothing  = 0.03 // and in shares over the whole service
	maxLatencyFactor  = 5.0  // times the usual: an answer counts as no longer
	minSlowdown       = 0.4  // bounds of what a backend's speed may do to its share
	maxSlowdown       = 5.0
	slowdownExponent  = 1.6 // power of it that goes into the share: a fast one gets more than its speed alone would give
	crowdedSlowdown   = 2.5 // times the usual: a backend this slow gets one at a time

	rejectionBackoff, maxRejectionDoublings = 60 * time.Millisecond, 5 // pause of a backend that turned one away, doubled so many times
	minEjectionTime                         = 300 * time.Millisecond   // pause of a failing one, doubled
	maxEjectionTime                         = 5 * time.Second
	failureThreshold                        = 0.3 // of endings: set aside
	failureOutlierFactor                    = 2.0 // and this times the share of the whole service
	effectfulFailureThreshold               = 0.3 // an effectful request keeps away from one failing more than this
	effectfulEjectionFactor                 = 3   // of the pause, and it stays away for so long
	notSentBackoff                          = 60 * time.Millisecond

	unresponsiveFactor       = 4.0 // times the usual without any answer: silent
	minUnresponsiveTime      = 300 * time.Millisecond
	singleUnresponsiveFactor = 8.0 // with one answer owed only
	trialInterval            = 700 * time.Millisecond
	deadUnanswered           = 2   // answers that a dead one owes for long
	deadSecondFactor         = 3.0 // times the usual: the second of them

	warmUpShare           = 0.25            // of its share, for one that is still slow from its start
	slowStartTime         = 2 * time.Second // after its return, or once warm, its share grows this long
	unknownShare          = 0.5             // of its share for one that has answered nothing yet
	unknownEffectfulShare = 0.3             // the same, for effectful requests

	initialCapacityFactor = 3.0 // times the even share of the slots: what this node may have out to begin with
	maxCapacityFactor     = 2.0 // times all slots
	capacityGain          = 0.01
	capacityLoss          = 0.05
	rejectionCapacityLoss = 0.06
	rejectionThreshold    = 0.05 // of endings turned away: only then is it more than one backend's own trouble
	minUtilization        = 0.7  // share of the room in use at which answers say something of it
	perBackend            = 2.0  // times its even part of the room
	queueFactor           = 1.5  // times its slots, and one more: no backend gets more from one node
	lateTargetShare       = 0.9  // of the aim

	lateCost           = 0.5  // of an answer's worth
	crossZoneCost      = 0.06 // of its worth, by the bytes between zones
	crossZoneInterval  = 100 * time.Millisecond
	crossZoneGain      = 0.3
	crossZoneDecay     = 0.93
	maxCrossZoneShare  = 0.85
	valueLossSmoothing = 0.05
	crowdedValueLoss   = 0.1             // answers lose this much of their worth: crowded
	initialValueLoss   = 0.04            // what the other zones are taken to cost while nothing is known of them
	valueLossTTL       = 4 * time.Second // without an answer from there it is forgotten
)

// Request is what a request asks of a backend.
type Request struct {
	Kind      control.ProductID
	Effectful bool
	Attempted []control.BackendID // it goes to none of these
}

// Result tells what a choice came to.
type Result int

// What a choice may come to.
const (
	Chosen    Result = iota
	Saturated        // there are backends, all of them have enough for now
	NoBackend        // there is none to go to
)

// backend is what is known of one.
type backend struct {
	control.Endpoint
	inFlight           int
	unanswered         int           // sends since the last answer
	unansweredSince    time.Duration // when the first of these went
	secondUnansweredAt time.Duration // and the second
	expectedLatency    time.Duration // longest usual time among them
	slowdown           float64       // answer time against the usual, smoothed
	answers            int           // that say something of speed
	failureShare       float64       // share of failing endings, smoothed
	endings            int
	rejections         int // turned away in a row
	rejectingUntil     time.Duration
	backoff            time.Duration // present pause as a failing one
	ejectedUntil       time.Duration // and its end
	suspect            bool          // failing: after the pause one request at a time tries it
	slowStartFrom      time.Duration
	pass               float64 // its place in the order of sends, see Pick
	outsideSubset      bool    // no home of this node, see SetZoneIndex
	sentAt             time.Duration
}

// Balancer chooses among the backends of one service.
type Balancer struct {
	rng       *rand.Rand
	zone      control.ZoneID
	nodes     int
	zoneIndex int // of this node among those of its zone
	zoneNodes int
	subset    subset

	known       map[control.BackendID]*backend // with gone ones that still owe an answer
	ordered     []*backend                     // in order of id
	slots       float64                        // of the ready ones
	inFlight    int
	latency     map[control.ProductID]float64 // seconds
	virtualTime [2]float64                    // place in the order, in this zone and in the others

	capacity       float64
	saturatedAt    time.Duration // when room last ran out
	rejectionShare float64       // share of endings turned away
	failureShare   float64       // share that failed
	answeredAt     time.Duration // last answer of any backend
	valueLoss      [2]float64    // what answers of this zone and of the others lost of their worth
	remoteAnswerAt time.Duration // of the others, last
	crossZoneShare float64       // share sent to other zones though this one has room
	crossZoneAt    time.Duration
}

// New makes a cast without backends. Of its nodes many share the service, this one is in the zone given.
func New(rng *rand.Rand, zone control.ZoneID, nodes int) *Balancer {
	return &Balancer{rng: rng, zone: zone, nodes: max(nodes, 1), known: map[control.BackendID]*backend{},
		latency: map[control.ProductID]float64{}, valueLoss: [2]float64{initialValueLoss, initialValueLoss}, saturatedAt: -time.Minute}
}

// SetNodes says how many nodes share the service.
func (b *Balancer) SetNodes(n int) { b.nodes = max(n, 1) }

// SetEndpoint takes one line of the list. A backend that drains or is gone gets nothing from now on.
func (b *Balancer) SetEndpoint(now time.Duration, l control.Endpoint) {
	candidate := b.known[l.ID]
	if candidate == nil {
		if l.State == control.Gone {
			return
		}
		candidate = &backend{slowdown: 1, slowStartFrom: -slowStartTime}
		b.known[l.ID] = candidate
	}
	if candidate.State == control.Gone && l.State != control.Gone { // new, or back
		at, _ := slices.BinarySearchFunc(b.ordered, l.ID, compareID)
		b.ordered = slices.Insert(b.ordered, at, candidate)
		candidate.pass = b.virtualTime[b.locality(l.Zone)] + b.rng.Float64()/max(l.Capacity, 1)
	}
	candidate.Endpoint = l
	if l.State == control.Gone {
		b.remove(candidate)
	}
	b.updateSlots()
}

func compareID(b *backend, id control.BackendID) int {
	if b.ID < id {
		return -1
	}
	if b.ID > id {
		return 1
	}
	return 0
}

func (b *Balancer) remove(backend *backend) {
	if at, ok := slices.BinarySearchFunc(b.ordered, backend.ID, compareID); ok {
		b.ordered = slices.Delete(b.ordered, at, at+1)
	}
	if backend.inFlight == 0 {
		delete(b.known, backend.ID)
	}
}

// updateSlots brings the sum of the slots up to now. The room follows it: with half the backends gone, half is
// left.
func (b *Balancer) updateSlots() {
	was := b.slots
	b.slots = 0
	for _, backend := range b.ordered {
		if backend.State == control.Ready {
			b.slots += max(backend.Capacity, 1)
		}
	}
	if was > 0 && b.slots > 0 && b.capacity > 0 {
		b.capacity *= b.slots / was
	} else if b.slots > 0 {
		b.capacity = initialCapacityFactor * b.slots / float64(b.nodes)
	}
	b.boundCapacity()
	b.updateSubset()
}

func (b *Balancer) boundCapacity() {
	b.capacity = min(max(b.capacity, 1), max(1, maxCapacityFactor*b.slots))
}

// Ready counts the backends that may get something.
func (b *Balancer) Ready() (n int) {
	for _, backend := range b.ordered {
		if backend.State == control.Ready {
			n++
		}
	}
	return n
}

// WarmingUp tells whether a backend is still slow from its start, or not known any more.
func (b *Balancer) WarmingUp(now time.Duration, id control.BackendID) bool {
	backend := b.known[id]
	return backend == nil || now < backend.WarmingUntil
}

// Empty tells that there is nothing to keep: no backend and nothing out.
func (b *Balancer) Empty() bool { return len(b.known) == 0 }

// InFlight counts what this node has out at the service.
func (b *Balancer) InFlight() int { return b.inFlight }

// Capacity is how much it may have out now.
func (b *Balancer) Capacity() float64 { return b.capacity }

// UsualLatency is the usual answer time of a kind of request; false while none has been answered.
func (b *Balancer) UsualLatency(kind control.ProductID) (time.Duration, bool) {
	s, ok := b.latency[kind]
	return time.Duration(s * float64(time.Second)), ok
}

func (b *Balancer) locality(zone control.ZoneID) int {
	if zone == b.zone {
		return 0
	}
	return 1
}

// ---- Choice

// Pick chooses a backend. Each has a place in an order of sends, that of stride scheduling: a send moves it
// on by its stride, which is small for many slots and a good speed, and what it has out counts as sends to
// come. So each gets its part of the traffic, evenly spread. The fastest of all would be the choice of a
// dozen nodes at once; a part by speed is not.
func (b *Balancer) Pick(now time.Duration, w Request) (control.BackendID, Result) {
	if b.inFlight >= int(max(1, b.capacity)) {
		b.saturatedAt = now
		if b.HasBackend(w) {
			return 0, Saturated
		}
		return 0, NoBackend
	}
	var best [2]*backend
	var score [2]float64
	enough, some := false, false
	for careful := w.Effectful; ; careful = false {
		for _, backend := range b.ordered {
			if backend.State != control.Ready || slices.Contains(w.Attempted, backend.ID) {
				continue
			}
			some = true
			switch b.grade(now, backend, w, careful) {
			case bad:
				continue
			case busy:
				enough = true
				continue
			}
			stride := b.stride(now, backend, w)
			s := max(backend.pass, b.virtualTime[b.locality(backend.Zone)]-2*stride) + stride*(float64(backend.inFlight)+b.rng.Float64()/4)
			if i := b.locality(backend.Zone); best[i] == nil || s < score[i] {
				best[i], score[i] = backend, s
			}
		}
		if best[0] != nil || best[1] != nil || enough || !careful {
			break
		}
	}
	switch {
	case best[0] != nil && best[1] != nil && b.rng.Float64() < b.crossZoneShareNow(now):
		return best[1].ID, Chosen
	case best[0] != nil:
		return best[0].ID, Chosen
	case best[1] != nil && (!enough || b.valueLoss[1] < crowdedValueLoss || b.valueLoss[1]+crossZoneCost < b.valueLoss[0]):
		// This zone has enough. Where the others are as crowded, each would only fill the place of another.
		return best[1].ID, Chosen
	case enough:
		b.saturatedAt = now
		return 0, Saturated
	case !some:
		return 0, NoBackend
	}
	return b.pickLeastBad(now, w)
}

type grade int

const (
	good grade = iota
	busy
	bad
)

// grade tells whether a backend may be chosen now.
func (b *Balancer) grade(now time.Duration, backend *backend, w Request, careful bool) grade {
	if backend.ejectedUntil > now || b.unresponsive(now, backend, w) {
		return bad
	}
	if careful && (backend.failureShare > effectfulFailureThreshold || backend.suspect && now < backend.ejectedUntil+(effectfulEjectionFactor-1)*backend.backoff) {
		return bad
	}
	if backend.rejectingUntil > now || backend.inFlight >= b.maxInFlight(now, backend) {
		return busy
	}
	return good
}

// maxInFlight is how many this node may have out there.
func (b *Balancer) maxInFlight(now time.Duration, backend *backend) int {
	if backend.suspect || now < backend.WarmingUntil || backend.slowdown > crowdedSlowdown || backend.rejections > 0 {
		return 1
	}
	n := perBackend * b.capacity * max(backend.Capacity, 1) / max(b.slots, 1)
	n = min(n, queueFactor*max(backend.Capacity, 1)+1)
	if backend.answers == 0 {
		n = min(n, 2)
	}
	return max(1, int(n+0.5))
}

// stride is the distance between two sends to a backend.
func (b *Balancer) stride(now time.Duration, backend *backend, w Request) float64 {
	part := 1.0
	if now < backend.WarmingUntil {
		part = warmUpShare
	} else if from := max(backend.slowStartFrom, backend.WarmingUntil); now-from < slowStartTime {
		part = warmUpShare + (1-warmUpShare)*float64(now-from)/float64(slowStartTime)
	}
	if backend.answers == 0 {
		if w.Effectful {
			part *= unknownEffectfulShare
		} else {
			part *= unknownShare
		}
	}
	if backend.outsideSubset {
		part *= b.subset.outsideShare
	}
	return math.Pow(min(max(backend.slowdown, minSlowdown), maxSlowdown), slowdownExponent) / (max(backend.Capacity, 1) * part)
}

// unresponsive tells that a backend owes answers for longer than such requests take. Now and then a pure one tries
// it all the same.
func (b *Balancer) unresponsive(now time.Duration, backend *backend, w Request) bool {
	if backend.unanswered == 0 {
		return false
	}
	times := unresponsiveFactor
	if backend.unanswered == 1 {
		times = singleUnresponsiveFactor
	}
	if now-backend.unansweredSince <= max(minUnresponsiveTime, backend.expectedTime(times)) {
		return false
	}
	return w.Effectful || now-backend.sentAt < trialInterval
}

// expectedTime is some times the usual time of what a backend owes, at its speed.
func (b *backend) expectedTime(times float64) time.Duration {
	return time.Duration(times * max(1, min(b.slowdown, maxSlowdown)) * float64(b.expectedLatency))
}

// Dead tells that what is out at a backend is not worth waiting for: it owes several answers for long, or one
// where it is under suspicion or gone, and others have answered meanwhile.
func (b *Balancer) Dead(now time.Duration, id control.BackendID) bool {
	backend := b.known[id]
	if backend == nil || backend.unanswered == 0 || backend.unanswered < deadUnanswered && backend.State != control.Gone && !backend.suspect {
		return false
	}
	most := max(minUnresponsiveTime, backend.expectedTime(unresponsiveFactor))
	if backend.unanswered >= deadUnanswered && now-backend.secondUnansweredAt <= backend.expectedTime(deadSecondFactor) {
		return false // one may take long by chance, not two
	}
	return now-backend.unansweredSince > most && b.answeredAt > backend.unansweredSince+most/2
}

// HasBackend tells whether any backend is ready that a request was not sent to before.
func (b *Balancer) HasBackend(w Request) bool {
	return slices.ContainsFunc(b.ordered, func(candidate *backend) bool {
		return candidate.State == control.Ready && !slices.Contains(w.Attempted, candidate.ID)
	})
}

// pickLeastBad: when all are failing or silent, the least so that has little out. Never is everyone set aside.
func (b *Balancer) pickLeastBad(now time.Duration, w Request) (control.BackendID, Result) {
	var best *backend
	least := 0.0
	for _, backend := range b.ordered {
		if backend.State != control.Ready || slices.Contains(w.Attempted, backend.ID) || backend.inFlight >= b.maxInFlight(now, backend) {
			continue
		}
		s := backend.failureShare + float64(backend.inFlight) + b.rng.Float64()/2
		if b.locality(backend.Zone) > 0 {
			s += crossZoneCost
		}
		if best == nil || s < least {
			best, least = backend, s
		}
	}
	if best == nil {
		b.saturatedAt = now
		return 0, Saturated
	}
	return best.ID, Chosen
}

// crossZoneShareNow is the share of requests that leave this zone though it has room: it grows while answers from here
// lose clearly more of their worth than those from elsewhere, by more than the way between zones costs. It
// moves slowly, so that nodes don't rush together to where it is quiet.
func (b *Balancer) crossZoneShareNow(now time.Duration) float64 {
	if now-b.crossZoneAt < crossZoneInterval {
		return b.crossZoneShare
	}
	b.crossZoneAt = now
	if now-b.remoteAnswerAt > valueLossTTL {
		b.valueLoss[1] = initialValueLoss
	}
	if diff := b.valueLoss[0] - b.valueLoss[1] - crossZoneCost; diff > 0 {
		b.crossZoneShare = min(maxCrossZoneShare, b.crossZoneShare+crossZoneGain*diff)
	} else if b.crossZoneShare *= crossZoneDecay; b.crossZoneShare < 0.01 {
		b.crossZoneShare = 0
	}
	return b.crossZoneShare
}
