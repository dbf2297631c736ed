package quota

import "time"

// refill brings an owned bucket up to now.
func (l *Limiter) refill(a *Account) {
	if l.now >= a.levelAt {
		a.level = min(a.limit.Burst, a.level+l.refillAmount(a, l.now-a.levelAt))
		a.levelAt = l.now
	}
}

// refillAmount is what an owned bucket gets in a time: the rate; in strict mode, the parts of the gateways in touch. A gateway out of
// reach consumes its part alone. One that reported and has fallen silent may do so too: its part is withheld until a message of it comes, and then
// released, less what it has consumed. After reporterLostAfter the host has found it lost; if not, it had nothing to report.
func (l *Limiter) refillAmount(a *Account, in time.Duration) float64 {
	if !l.config.Strict {
		return a.limit.Rate * in.Seconds()
	}
	part, reachable := a.limit.Rate*in.Seconds()/float64(l.gateways), l.reachableNow()
	for _, r := range a.reports {
		silentFor := l.now - max(r.receivedAt, l.pausedUntil)
		lost := l.peers[r.from].unreachableSince > 0
		mayBeIsolated := (r.inFlight > 0 || silentFor > reporterQuietAfter) && silentFor < reporterLostAfter && l.withholdsEarly(a)
		switch {
		case lost && silentFor <= reporterQuietAfter && r.inFlight == 0: // its own message is newer than the host's finding
			reachable++
		case lost: // not counted as reachable
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

// withholdsEarly tells whether parts of the rate are withheld for gateways that have just fallen silent. Of a small rate they come to nothing in
// that time, and to withhold them would only delay the customer.
func (l *Limiter) withholdsEarly(a *Account) bool {
	return a.limit.Rate >= minWithholdRate*float64(l.gateways)
}

// releaseWithheld puts units that were withheld for a reporter into the bucket.
func (l *Limiter) releaseWithheld(a *Account, r *report, units float64) {
	if units = min(units, r.withheld); units > 0 {
		a.level, r.withheld = min(a.limit.Burst, a.level+units), r.withheld-units
	}
}
