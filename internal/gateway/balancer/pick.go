package balancer

import (
	"math"
	"slices"
	"time"

	"clovergap/control"
)

// Request is what the choice goes by.
type Request struct {
	Kind      control.ProductID
	Effectful bool                // it may run once only
	Attempted []control.BackendID // it goes to none of these
}

func (r Request) mayGoTo(backend *backendState) bool {
	return backend.State == control.Ready && !slices.Contains(r.Attempted, backend.ID)
}

// Result is what a choice came to.
type Result int

// What a choice may come to.
const (
	// Chosen: a backend was chosen.
	Chosen Result = iota
	// Saturated: there are backends, all of them have enough in flight.
	Saturated
	// NoBackend: there is none for the request.
	NoBackend
)

// Pick chooses a backend for a request. Sent tells that it was sent there.
func (b *Balancer) Pick(now time.Duration, r Request) (control.BackendID, Result) {
	if b.inFlight >= int(max(1, b.capacity)) {
		b.saturatedAt = now
		if b.HasBackend(r) {
			return 0, Saturated
		}
		return 0, NoBackend
	}
	s := b.search(now, r, r.Effectful)
	if r.Effectful && !s.found() && !s.busy {
		s = b.search(now, r, false)
	}
	own, other := s.first[ownZone], s.first[otherZones]
	switch {
	case own != nil && other != nil && b.rng.Float64() < b.crossZoneShareNow(now):
		return other.ID, Chosen
	case own != nil:
		return own.ID, Chosen
	case other != nil && (!s.busy || b.otherZonesBetter()):
		return other.ID, Chosen
	case s.busy:
		b.saturatedAt = now
		return 0, Saturated
	case !s.any:
		return 0, NoBackend
	}
	return b.pickLeastBad(now, r)
}

// search is the outcome of a search for the backends that are due first, by ownZone and otherZones.
type search struct {
	first [2]*backendState
	score [2]float64
	any   bool // there is a backend that the request may go to
	busy  bool // there is a good one that has enough in flight
}

func (s *search) found() bool { return s.first[ownZone] != nil || s.first[otherZones] != nil }

// search looks for the backends that are due first: by their pass, what is in flight counting as requests to come, with some chance between nodes of the
// same mind. careful: those are left out of which an effectful request keeps away.
func (b *Balancer) search(now time.Duration, r Request, careful bool) search {
	var s search
	for _, backend := range b.ordered {
		if !r.mayGoTo(backend) {
			continue
		}
		s.any = true
		switch b.grade(now, backend, r, careful) {
		case bad:
			continue
		case busy:
			s.busy = true
			continue
		}
		stride, i := b.stride(now, backend, r), b.locality(backend.Zone)
		due := max(backend.pass, b.virtualTime[i]-maxLag*stride) + stride*(float64(backend.inFlight)+b.rng.Float64()/4)
		if s.first[i] == nil || due < s.score[i] {
			s.first[i], s.score[i] = backend, due
		}
	}
	return s
}

// grade tells whether a backend may be chosen now.
type grade int

const (
	good grade = iota
	busy       // it has enough in flight, or rejects
	bad        // it fails, or is unresponsive
)

func (b *Balancer) grade(now time.Duration, backend *backendState, r Request, careful bool) grade {
	if backend.ejectedUntil > now || b.unresponsive(now, backend, r) {
		return bad
	}
	if careful && (backend.failureShare > effectfulFailureThreshold ||
		backend.suspect && now < backend.ejectedUntil+(effectfulEjectionFactor-1)*backend.backoff) {
		return bad
	}
	if backend.rejectingUntil > now || backend.inFlight >= b.maxInFlight(now, backend) {
		return busy
	}
	return good
}

// maxInFlight is how many requests of this node may be in flight at a backend.
func (b *Balancer) maxInFlight(now time.Duration, backend *backendState) int {
	if backend.suspect || now < backend.WarmingUntil || backend.slowdown > crowdedSlowdown || backend.rejections > 0 {
		return 1
	}
	n := perBackend * b.capacity * backend.slots() / max(b.slots, 1)
	n = min(n, queueFactor*backend.slots()+1)
	if backend.answers == 0 {
		n = min(n, maxUnknownInFlight)
	}
	return max(1, int(n+0.5))
}

// stride is the distance in virtual time between two requests to a backend: the inverse of its share.
func (b *Balancer) stride(now time.Duration, backend *backendState, r Request) float64 {
	part := 1.0
	if now < backend.WarmingUntil {
		part = warmUpShare
	} else if from := max(backend.slowStartFrom, backend.WarmingUntil); now-from < slowStartTime {
		part = warmUpShare + (1-warmUpShare)*float64(now-from)/float64(slowStartTime)
	}
	if backend.answers == 0 {
		if r.Effectful {
			part *= unknownEffectfulShare
		} else {
			part *= unknownShare
		}
	}
	if backend.outsideSubset {
		part *= b.subset.outsideShare
	}
	return math.Pow(min(max(backend.slowdown, minSlowdown), maxSlowdown), slowdownExponent) / (backend.slots() * part)
}

// pickLeastBad chooses, when all backends are failing or unresponsive, the least so that has little in flight. Never are all left alone.
func (b *Balancer) pickLeastBad(now time.Duration, r Request) (control.BackendID, Result) {
	var best *backendState
	least := 0.0
	for _, backend := range b.ordered {
		if !r.mayGoTo(backend) || backend.inFlight >= b.maxInFlight(now, backend) {
			continue
		}
		badness := backend.failureShare + float64(backend.inFlight) + b.rng.Float64()/2
		if b.locality(backend.Zone) == otherZones {
			badness += crossZoneCost
		}
		if best == nil || badness < least {
			best, least = backend, badness
		}
	}
	if best == nil {
		b.saturatedAt = now
		return 0, Saturated
	}
	return best.ID, Chosen
}
