package quota

import (
	"math"
	"time"
)

// allowanceNow is what a gateway may spend of a customer's on no word, fresh view or none: its part of what the
// rule leaves beyond rate x window + burst, some at once, the rest over it. What an owner acknowledges
// with units left comes back. It begins empty in each life; a silence does not renew it. Once the owner is
// silent, and keeps this gateway's part of the rate or must know it as lost, that is added, nothing saved up.
func (l *Limiter) allowanceNow(a *Account) float64 {
	n := float64(l.gateways)
	part := (l.config.Excess*(a.limit.Rate*l.config.Window.Seconds()+a.limit.Burst) + l.config.Margin) / n
	most := min(part, max(1, allowanceBurstShare*part))
	fill := (part - most) / max(l.config.Window, time.Second).Seconds() * (l.now - a.allowanceAt).Seconds()
	if alone := l.now - max(l.isolatedFrom(a), a.allowanceAt); alone > 0 {
		a.allowanceUsed, most = 0, max(most, 1)
		fill += a.limit.Rate / n * alone.Seconds()
	}
	a.allowance, a.allowanceAt = max(a.allowance, min(most-a.allowanceUsed, a.allowance+fill)), l.now
	return a.allowance
}

// isolatedFrom is when this gateway's part of the rate is its own, or later than now. The owner is silent, and either lost for
// so long that it knows that of this gateway too, or it was told of the customer shortly before: then it keeps the part.
func (l *Limiter) isolatedFrom(a *Account) time.Duration {
	p, asked := l.peers[a.owner], a.requestedAt
	for _, f := range p.unacked {
		if asked == 0 || f.firstSentAt < asked {
			asked = f.firstSentAt
		}
	}
	if asked == 0 {
		return l.now
	}
	from := max(asked, p.receivedAt, l.pausedUntil) + ownerAttempts*l.answerTimeout(a)
	if l.withholdsEarly(a) && a.ackedSince > 0 && asked-a.ackedSince < recentReport {
		return from
	}
	if p.unreachableSince == 0 {
		return l.now
	}
	return max(from, p.unreachableSince+reachabilityLag)
}

// confirmAllowance settles acknowledged units that were spent on no word: where the owner has units left, they were covered.
func (l *Limiter) confirmAllowance(a *Account, left float64) {
	back := min(a.allowanceAcked, a.allowanceUsed)
	if l.allowanceNow(a); left > 0 {
		a.allowance += back
	}
	a.allowanceAcked, a.allowanceUsed = 0, a.allowanceUsed-back
}

// reportedInFlight is what a delta tells beside units: submissions out; by parts, after a time alone, what may be part of that and is
// yet to be told of or acknowledged, but for the delta's own.
func (l *Limiter) reportedInFlight(a *Account, but float64) int {
	switch {
	case !l.config.Strict:
		return a.inFlight
	case a.unacked <= 0:
		a.usedIsolated = false
	case a.usedIsolated:
		return int(math.Ceil(max(0, a.unacked+a.unreported-but)))
	}
	return 0
}
