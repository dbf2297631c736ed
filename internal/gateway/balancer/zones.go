package balancer

import "time"

// updateCrossZoneShare returns the share of requests that are sent to other zones although this zone has capacity. It updates the share at most once
// per crossZoneInterval. The share grows while the value loss of this zone's responses exceeds that of the other zones' responses by more than
// crossZoneCost. If the difference is smaller, the share shrinks. The share changes slowly, so that not all nodes send to a zone with little load at
// once.
func (b *Balancer) updateCrossZoneShare(now time.Duration) float64 {
	if now-b.crossZoneUpdatedAt < crossZoneInterval {
		return b.crossZoneShare
	}
	b.crossZoneUpdatedAt = now
	if now-b.lastRemoteResponseAt > valueLossTTL {
		b.valueLoss[otherZones] = initialValueLoss
	}
	if gain := b.valueLoss[ownZone] - b.valueLoss[otherZones] - crossZoneCost; gain > 0 {
		b.crossZoneShare = min(maxCrossZoneShare, b.crossZoneShare+crossZoneGain*gain)
	} else if b.crossZoneShare *= crossZoneDecay; b.crossZoneShare < minCrossZoneShare {
		b.crossZoneShare = 0
	}
	return b.crossZoneShare
}

// mayUseOtherZones reports whether a request may be sent to another zone when this zone has no capacity. If the other zones are as overloaded as this
// zone, the request would only displace another request there.
func (b *Balancer) mayUseOtherZones() bool {
	return b.valueLoss[otherZones] < overloadValueLoss || b.valueLoss[otherZones]+crossZoneCost < b.valueLoss[ownZone]
}

// recordValueLoss updates the mean value loss of a zone with the value loss of one request. The value of a request is its worth to the client: 1 for a
// prompt response. loss is the share of this value that was lost, from 0 for a prompt response to lateValueLoss for a late response or a timeout. There
// is one mean for this zone and one for all other zones.
func (b *Balancer) recordValueLoss(now time.Duration, backend *backendState, loss float64) {
	locality := b.locality(backend.Zone)
	if locality == otherZones {
		b.lastRemoteResponseAt = now
	}
	b.valueLoss[locality] += valueLossSmoothing * (loss - b.valueLoss[locality])
}
