package balancer

import "time"

// updateCrossZoneShare returns the share of requests that are sent to other zones although this zone has capacity. It updates the share at most once
// per crossZoneInterval. The share grows while this zone's share of misses exceeds that of the other zones by more than missMargin. If the difference
// is smaller, the share shrinks. The share changes slowly, so that not all nodes send to a zone with little load at once.
func (b *Balancer) updateCrossZoneShare(now time.Duration) float64 {
	if now-b.crossZoneUpdatedAt < crossZoneInterval {
		return b.crossZoneShare
	}
	b.crossZoneUpdatedAt = now
	if now-b.lastRemoteResponseAt > missTTL {
		b.missShare[otherZones] = 0
	}
	if excess := b.missShare[ownZone] - b.missShare[otherZones] - missMargin; excess > 0 {
		b.crossZoneShare = min(maxCrossZoneShare, b.crossZoneShare+crossZoneGain*excess)
	} else if b.crossZoneShare *= crossZoneDecay; b.crossZoneShare < minCrossZoneShare {
		b.crossZoneShare = 0
	}
	return b.crossZoneShare
}

// mayUseOtherZones reports whether a request may be sent to another zone when this zone has no capacity. It may if the other zones miss no more
// targets than by chance, or fewer than this zone. Otherwise the request would probably miss its target there, or displace a request that then misses
// its own.
func (b *Balancer) mayUseOtherZones() bool {
	return b.missShare[otherZones] < max(missMargin, b.missShare[ownZone]-missMargin)
}

// recordMiss updates a zone's share of misses with the end of one request. A request is missed if the backend did not answer it within its latency
// target or rejected it. There is one share for this zone and one for all other zones.
func (b *Balancer) recordMiss(now time.Duration, backend *backendState, missed bool) {
	locality := b.locality(backend.Zone)
	if locality == otherZones {
		b.lastRemoteResponseAt = now
	}
	value := 0.0
	if missed {
		value = 1
	}
	b.missShare[locality] += missSmoothing * (value - b.missShare[locality])
}
