package quota

import (
	"time"
)

// refill brings an owned bucket up to now.
func (l *Limiter) refill(a *Account) {
	if l.now >= a.levelAt {
		a.level = min(a.limit.Burst, a.level+l.refillAmount(a, l.now-a.levelAt))
		a.levelAt = l.now
	}
}

// refillAmount is what an owned bucket gets in a time. By parts: gateways out of reach spend theirs alone. One that
// has reported and is silent may do so too: its part is kept, and comes when it is heard, less its spending.
// Kept until the host must have found it lost; if it was not, it had nothing to report.
func (l *Limiter) refillAmount(a *Account, in time.Duration) float64 {
	if !l.config.Strict {
		return a.limit.Rate * in.Seconds()
	}
	part, reach := a.limit.Rate*in.Seconds()/float64(l.gateways), l.reachableNow()
	for _, r := range a.reports {
		late := l.now - max(r.receivedAt, l.pausedUntil)
		switch lost := l.peers[r.from].unreachableSince > 0; {
		case lost && late <= reporterQuietAfter && r.inFlight == 0: // its own word goes before the host's
			reach++
		case lost || (r.inFlight > 0 || late > reporterQuietAfter) && late < reporterLostAfter && l.withholdsEarly(a):
			if r.withheld += part; !lost {
				reach--
			}
		case late >= reporterLostAfter:
			l.releaseWithheld(a, r, r.withheld)
		}
	}
	return part * float64(max(1, reach))
}

// withholdsEarly tells whether parts of the rate are kept for gateways that have just fallen silent. Of a small quota they come to
// nothing in that time, and to keep them would only delay it.
func (l *Limiter) withholdsEarly(a *Account) bool {
	return a.limit.Rate >= minWithholdRate*float64(l.gateways)
}

// releaseWithheld puts of a reporter's part of the rate into the bucket.
func (l *Limiter) releaseWithheld(a *Account, r *report, units float64) {
	if units = min(units, r.withheld); units > 0 {
		a.level, r.withheld = min(a.limit.Burst, a.level+units), r.withheld-units
	}
}
