package quota

import "time"

// refillBucket adds the refill since the last call to an owned bucket, up to the burst.
func (l *Limiter) refillBucket(a *Account) {
	if l.now >= a.levelAt {
		a.level = min(a.limit.Burst, a.level+l.refillAmount(a, l.now-a.levelAt))
		a.levelAt = l.now
	}
}

// refillAmount returns the number of units by which an owned bucket is refilled for a period. Without strict mode the refill is the
// whole rate. In strict mode the refill consists of the parts of the rate that belong to reachable gateways.
//
// An unreachable gateway consumes its part without asking the owner. A gateway that has sent reports and then no more messages may do
// the same. The part of such a gateway is withheld until a message from the gateway arrives. Then the part is released, less the
// units that the gateway consumed. After reporterLostAfter, the host has found every lost gateway unreachable. A silent gateway that
// is still reachable by then had nothing to report, and its part is released.
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
		case unreachable && silentFor <= reporterQuietAfter && r.inFlight == 0: // its last message is newer than the host's information
			reachable++
		case unreachable: // effectiveReachableCount leaves this gateway out
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

// withholdsEarly reports whether parts of the rate are withheld for gateways whose messages have just stopped. At a small rate, such
// a part is negligible for so short a time, and withholding the part would only delay the customer.
func (l *Limiter) withholdsEarly(a *Account) bool {
	return a.limit.Rate >= minWithholdRate*float64(l.gatewayCount)
}

// releaseWithheld returns units that were withheld for a reporter to the bucket.
func (l *Limiter) releaseWithheld(a *Account, r *reporterState, units float64) {
	if units = min(units, r.withheld); units > 0 {
		a.level, r.withheld = min(a.limit.Burst, a.level+units), r.withheld-units
	}
}
