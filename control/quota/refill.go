package quota

import "time"

// refillBucket adds the refill since the last call to a bucket that this gateway owns. The level rises to the burst at most.
func (l *Limiter) refillBucket(a *Account) {
	if l.now >= a.levelAt {
		a.level = min(a.limit.Burst, a.level+l.refillAmount(a, l.now-a.levelAt))
		a.levelAt = l.now
	}
}

// refillAmount returns the number of units by which a bucket that this gateway owns is refilled for a period. Without strict mode, the
// bucket is refilled at the whole rate. In strict mode, each gateway has an equal part of the rate, and the bucket is refilled with the
// parts of the reachable gateways.
//
// An unreachable gateway may consume its part without asking the owner. So may a gateway that has sent reports and then no more messages.
// The parts of these gateways are withheld, which means that they are kept out of the bucket. When a message from such a gateway
// arrives, the withheld part is released, less the units that the gateway consumed. After reporterLostAfter, the host has found every
// lost gateway unreachable. A gateway that has sent no message for that time but is still reachable had nothing to report, so its
// withheld part is released.
func (l *Limiter) refillAmount(a *Account, period time.Duration) float64 {
	if !l.config.Strict {
		return a.limit.Rate * period.Seconds()
	}
	part, reachable := a.limit.Rate*period.Seconds()/float64(l.gatewayCount), l.effectiveReachableCount()
	for _, r := range a.reporterStates {
		silentFor := l.now - max(r.receivedAt, l.pausedUntil)
		unreachable := l.peers[r.from].unreachableSince > 0
		mayBeIsolated := (r.inFlight > 0 || silentFor > reporterQuietAfter) && silentFor < reporterLostAfter && l.withholdsEarly(a)
		switch {
		case unreachable && silentFor <= reporterQuietAfter && r.inFlight == 0: // a message has just arrived, so the host's finding is outdated
			reachable++
		case unreachable: // the initial value of reachable does not count the gateway r.from
			r.withheld += part
		case mayBeIsolated:
			r.withheld += part
			reachable--
		case silentFor >= reporterLostAfter:
			l.releaseWithheld(a, r, r.withheld)
		}
	}
	return part * float64(max(1, reachable))
}

// withholdsEarly reports whether parts of the rate are withheld from the time at which the messages of a gateway stop, before the host
// finds the gateway unreachable. At a small rate, the part for so short a time is negligible, and withholding it would only delay the
// customer.
func (l *Limiter) withholdsEarly(a *Account) bool {
	return a.limit.Rate >= minWithholdRate*float64(l.gatewayCount)
}

// releaseWithheld returns units that were withheld for a reporter to the bucket.
func (l *Limiter) releaseWithheld(a *Account, r *reporterState, units float64) {
	if units = min(units, r.withheld); units > 0 {
		a.level, r.withheld = min(a.limit.Burst, a.level+units), r.withheld-units
	}
}
