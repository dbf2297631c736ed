package balancer

import (
	"math"
	"slices"
	"time"

	"clovergap/control"
)

// Request describes a request for which a backend is chosen.
type Request struct {
	Kind      control.ProductID   // requests of the same kind have similar latencies
	Effectful bool                // the request may run only once
	Attempted []control.BackendID // backends to which the request was sent; none of these is chosen again
}

// mayGoTo reports whether a backend is ready and the request has not been sent to it.
func (r Request) mayGoTo(backend *backendState) bool {
	return backend.State == control.Ready && !slices.Contains(r.Attempted, backend.ID)
}

// Result is the result of a choice.
type Result int

// The results of a choice.
const (
	// Chosen means that a backend was chosen.
	Chosen Result = iota
	// Saturated means that the request may be sent to a backend, but not now: this node has no capacity, or all these backends are busy.
	Saturated
	// NoBackend means that no ready backend is left to which the request has not been sent.
	NoBackend
)

// Pick chooses a backend for a request. If the caller sends the request there, it must call RecordSent.
func (b *Balancer) Pick(now time.Duration, r Request) (control.BackendID, Result) {
	if b.inFlight >= int(max(1, b.capacity)) {
		b.saturatedAt = now
		if b.HasBackend(r) {
			return 0, Saturated
		}
		return 0, NoBackend
	}
	result := b.findNextBackends(now, r, r.Effectful)
	if r.Effectful && !result.hasAvailableBackend() && !result.anyBusy {
		result = b.findNextBackends(now, r, false)
	}
	local, remote := result.next[ownZone], result.next[otherZones]
	switch {
	case local != nil && remote != nil && b.rng.Float64() < b.updateCrossZoneShare(now):
		return remote.ID, Chosen
	case local != nil:
		return local.ID, Chosen
	case remote != nil && (!result.anyBusy || b.mayUseOtherZones()):
		return remote.ID, Chosen
	case result.anyBusy:
		b.saturatedAt = now
		return 0, Saturated
	case !result.anyEligible:
		return 0, NoBackend
	}
	return b.pickLeastFailing(now, r)
}

// searchResult is the result of findNextBackends.
type searchResult struct {
	next        [2]*backendState // available backend with the lowest pass, by ownZone and otherZones; nil if there is none
	nextPass    [2]float64       // pass of these backends
	anyEligible bool             // there is a ready backend to which the request has not been sent
	anyBusy     bool             // there is a healthy backend that is busy
}

// hasAvailableBackend reports whether an available backend was found, in this zone or in another zone.
func (s *searchResult) hasAvailableBackend() bool {
	return s.next[ownZone] != nil || s.next[otherZones] != nil
}

// findNextBackends finds, in this zone and in the other zones, the available backend with the lowest pass. The pass is the point in virtual time at
// which stride scheduling chooses the backend next, see the package comment. Each request in flight at a backend adds one stride to the backend's
// pass. A random fraction of a stride is added too, so that nodes with the same observations do not all choose the same backend. If excludeFailing is
// set, backends that are too unreliable for effectful requests count as unhealthy.
func (b *Balancer) findNextBackends(now time.Duration, r Request, excludeFailing bool) searchResult {
	var result searchResult
	for _, backend := range b.ordered {
		if !r.mayGoTo(backend) {
			continue
		}
		result.anyEligible = true
		switch b.availability(now, backend, r, excludeFailing) {
		case unhealthy:
			continue
		case busy:
			result.anyBusy = true
			continue
		}
		stride, locality := b.strideOf(now, backend, r), b.locality(backend.Zone)
		pass := max(backend.pass, b.virtualTime[locality]-maxLag*stride) + stride*(float64(backend.inFlight)+b.rng.Float64()/4)
		if result.next[locality] == nil || pass < result.nextPass[locality] {
			result.next[locality], result.nextPass[locality] = backend, pass
		}
	}
	return result
}

// availability says whether a backend may be chosen now.
type availability int

const (
	available availability = iota
	busy                   // the backend has enough requests in flight or is in a backoff
	unhealthy              // the backend is ejected, unresponsive, or too unreliable for the request
)

// availability returns whether a request may be sent to a backend now. If excludeFailing is set, a backend that is too unreliable for effectful
// requests is unhealthy.
func (b *Balancer) availability(now time.Duration, backend *backendState, r Request, excludeFailing bool) availability {
	if backend.ejectedUntil > now || b.isUnresponsive(now, backend, r) {
		return unhealthy
	}
	if excludeFailing && (backend.failureShare > effectfulFailureThreshold ||
		backend.suspect && now < backend.ejectedUntil+(effectfulEjectionFactor-1)*backend.ejectionTime) {
		return unhealthy
	}
	if backend.backoffUntil > now || backend.inFlight >= b.maxInFlight(now, backend) {
		return busy
	}
	return available
}

// maxInFlight returns the maximum number of this node's requests in flight at a backend.
func (b *Balancer) maxInFlight(now time.Duration, backend *backendState) int {
	if backend.suspect || now < backend.WarmingUntil || backend.slowdown > overloadSlowdown || backend.rejections > 0 {
		return 1
	}
	n := backendCapacityFactor * b.capacity * backend.slots() / max(b.slots, 1)
	n = min(n, backendSlotFactor*backend.slots()+1)
	if backend.responses == 0 {
		n = min(n, maxUnprovenInFlight)
	}
	return max(1, int(n+0.5))
}

// strideOf returns a backend's stride for a request: the distance in virtual time between two requests to the backend. The stride is the inverse of
// the backend's share of the requests. So a backend with a smaller stride gets more requests.
func (b *Balancer) strideOf(now time.Duration, backend *backendState, r Request) float64 {
	share := 1.0
	if now < backend.WarmingUntil {
		share = warmUpShare
	} else if from := max(backend.slowStartFrom, backend.WarmingUntil); now-from < slowStartTime {
		share = warmUpShare + (1-warmUpShare)*float64(now-from)/float64(slowStartTime)
	}
	if backend.responses == 0 {
		if r.Effectful {
			share *= unprovenEffectfulShare
		} else {
			share *= unprovenShare
		}
	}
	if backend.outsideSubset {
		share *= b.subset.outsideShare
	}
	return math.Pow(min(max(backend.slowdown, minSlowdown), maxSlowdown), slowdownExponent) / (backend.slots() * share)
}

// pickLeastFailing chooses the backend with the lowest penalty. The penalty is the sum of the backend's share of failures, its requests in flight and a
// random number below 0.5. pickLeastFailing is called if all backends are unhealthy, so that requests are still
// sent. It returns Saturated if all backends have their maximum number of requests in flight.
func (b *Balancer) pickLeastFailing(now time.Duration, r Request) (control.BackendID, Result) {
	var best *backendState
	lowestPenalty := 0.0
	for _, backend := range b.ordered {
		if !r.mayGoTo(backend) || backend.inFlight >= b.maxInFlight(now, backend) {
			continue
		}
		penalty := backend.failureShare + float64(backend.inFlight) + b.rng.Float64()/2
		if best == nil || penalty < lowestPenalty {
			best, lowestPenalty = backend, penalty
		}
	}
	if best == nil {
		b.saturatedAt = now
		return 0, Saturated
	}
	return best.ID, Chosen
}
