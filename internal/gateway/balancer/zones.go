package balancer

import "time"

// crossZoneShareNow is the share of requests that leave this zone though it has capacity. It grows while answers from here lose more of their value
// than those from elsewhere, by more than the way between zones costs. It changes slowly, so that nodes don't rush together to where it is
// quiet.
func (b *Balancer) crossZoneShareNow(now time.Duration) float64 {
	if now-b.crossZoneAt < crossZoneInterval {
		return b.crossZoneShare
	}
	b.crossZoneAt = now
	if now-b.remoteAnswerAt > valueLossTTL {
		b.valueLoss[otherZones] = initialValueLoss
	}
	if gain := b.valueLoss[ownZone] - b.valueLoss[otherZones] - crossZoneCost; gain > 0 {
		b.crossZoneShare = min(maxCrossZoneShare, b.crossZoneShare+crossZoneGain*gain)
	} else if b.crossZoneShare *= crossZoneDecay; b.crossZoneShare < minCrossZoneShare {
		b.crossZoneShare = 0
	}
	return b.crossZoneShare
}

// otherZonesBetter tells whether a request may leave a zone that has no capacity. Where the others are as crowded, each would only take the place of
// another.
func (b *Balancer) otherZonesBetter() bool {
	return b.valueLoss[otherZones] < crowdedValueLoss || b.valueLoss[otherZones]+crossZoneCost < b.valueLoss[ownZone]
}

// recordValueLoss learns what an answer of a backend lost of its value.
func (b *Balancer) recordValueLoss(now time.Duration, backend *backendState, loss float64) {
	i := b.locality(backend.Zone)
	if i == otherZones {
		b.remoteAnswerAt = now
	}
	b.valueLoss[i] += valueLossSmoothing * (loss - b.valueLoss[i])
}
