package balancer

import (
	"math"
	"slices"
	"time"

	"clovergap/control"
)

// Request describes a request to choose a backend for.
type Request struct {
	Kind      control.ProductID
	Effectful bool                // it may run only once
	Attempted []control.BackendID // backends that it has been sent to; none of these is chosen
}

func (r Request) mayGoTo(backend *backendState) bool {
	return backend.State == control.Ready && !slices.Contains(r.Attempted, backend.ID)
}

// Result is the result of a choice.
type Result int

// The results of a choice.
const (
	// Chosen means that a backend was chosen.
	Chosen Result = iota
	// Saturated means that there are backends for the request, but all have as many requests in flight as they may have.
	Saturated
	// NoBackend means that there is no backend for the request.
	NoBackend
)

// Pick chooses a backend for a request. The caller reports with RecordSent that the request was sent there.
func (b *Balancer) Pick(now time.Duration, r Request) (control.BackendID, Result) {
	if b.inFlight >= int(max(1, b.capacity)) {
		b.saturatedAt = now
		if b.HasBackend(r) {
			return 0, Saturated
		}
		return 0, NoBackend
	}
	result := b.findNext(now, r, r.Effectful)
	if r.Effectful && !result.hasNext() && !result.anyBusy {
		result = b.findNext(now, r, false)
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

// searchResult holds the backends whose turn is next, by ownZone and otherZones, and why others were passed over.
type searchResult struct {
	next        [2]*backendState
	nextPass    [2]float64
	anyEligible bool // there is a backend that the request may be sent to
	anyBusy     bool // there is a healthy backend that is busy
}

func (s *searchResult) hasNext() bool { return s.next[ownZone] != nil || s.next[otherZones] != nil }

// search finds the backends whose turn is next by their pass. Each request in flight counts as one more stride. A random part is added, so that
// nodes with the same observations do not all choose the same backend. excludeFailing leaves out backends that are too unreliable for effectful
// requests.
func (b *Balancer) findNext(now time.Duration, r Request, excludeFailing bool) searchResult {
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
		stride, locality := b.stride(now, backend, r), b.locality(backend.Zone)
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
	busy                   // it has enough requests in flight, or has just rejected one
	unhealthy              // it is ejected, unresponsive, or too unreliable for the request
)

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

// maxInFlight returns the number of this node's requests that may be in flight at a backend.
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

// stride returns the distance in virtual time between two requests to a backend, which is the inverse of its share.
func (b *Balancer) stride(now time.Duration, backend *backendState, r Request) float64 {
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

// pickLeastFailing chooses, among the failing and the unresponsive backends, the backend with the fewest failures and requests in flight. So some
// backend is used even if all backends are unhealthy.
func (b *Balancer) pickLeastFailing(now time.Duration, r Request) (control.BackendID, Result) {
	var best *backendState
	lowestPenalty := 0.0
	for _, backend := range b.ordered {
		if !r.mayGoTo(backend) || backend.inFlight >= b.maxInFlight(now, backend) {
			continue
		}
		penalty := backend.failureShare + float64(backend.inFlight) + b.rng.Float64()/2
		if b.locality(backend.Zone) == otherZones {
			penalty += crossZoneCost
		}
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
