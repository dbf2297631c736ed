package quota

import (
	"math"
	"time"
)

// allowanceNow brings the allowance of a customer up to now and gives it: what this gateway may consume without the owner's knowledge, whether it has
// a snapshot or not. It is the gateway's part of what the bound leaves beyond rate x Window + burst, some at once and the rest over a
// window. It begins empty in each epoch, and a partition does not renew it. What the owner acknowledges with units left comes back
// (confirmAllowance). While isolated (isolatedFrom) the gateway's part of the rate is added, with no more saved up than before.
func (l *Limiter) allowanceNow(a *Account) float64 {
	n := float64(l.gateways)
	part := (l.config.Excess*(a.limit.Rate*l.config.Window.Seconds()+a.limit.Burst) + l.config.Margin) / n
	most := min(part, max(1, allowanceBurstShare*part))
	fill := (part - most) / max(l.config.Window, time.Second).Seconds() * (l.now - a.allowanceAt).Seconds()
	if isolated := l.now - max(l.isolatedFrom(a), a.allowanceAt); isolated > 0 {
		a.allowanceUsed, most = 0, max(most, 1)
		fill += a.limit.Rate / n * isolated.Seconds()
	}
	a.allowance, a.allowanceAt = max(a.allowance, min(most-a.allowanceUsed, a.allowance+fill)), l.now
	return a.allowance
}

// isolatedFrom is when this gateway's part of the rate is its own to consume; now or later: it is not. The owner must be unresponsive. Then either it had
// a report shortly before, and withholds the part; or the host has found it unreachable for so long that the owner has found the same of
// this gateway.
func (l *Limiter) isolatedFrom(a *Account) time.Duration {
	owner, asked := l.peers[a.owner], a.requestedAt
	for _, u := range owner.unacked {
		if asked == 0 || u.firstSentAt < asked {
			asked = u.firstSentAt
		}
	}
	if asked == 0 {
		return l.now
	}
	from := max(asked, owner.receivedAt, l.pausedUntil) + ownerAttempts*l.answerTimeout(a)
	if l.withholdsEarly(a) && a.ackedSince > 0 && asked-a.ackedSince < recentReport {
		return from
	}
	if owner.unreachableSince == 0 {
		return l.now
	}
	return max(from, owner.unreachableSince+reachabilityLag)
}

// confirmAllowance settles the acknowledged units of the allowance by the owner's new level: if there are units left, the bucket had
// them, and they come back. If not, they were beyond it, and come back with time.
func (l *Limiter) confirmAllowance(a *Account, left float64) {
	settled := min(a.allowanceAcked, a.allowanceUsed)
	l.allowanceNow(a)
	if left > 0 {
		a.allowance += settled
	}
	a.allowanceAcked, a.allowanceUsed = 0, a.allowanceUsed-settled
}

// reportedInFlight is what a delta says in its field InFlight: the submissions in flight. In strict mode, which bounds none, it is after an
// isolation the units that may have been consumed of the withheld part and are yet to be reported or acknowledged, without the delta's own.
func (l *Limiter) reportedInFlight(a *Account, own float64) int {
	switch {
	case !l.config.Strict:
		return a.inFlight
	case a.unacked <= 0:
		a.usedIsolated = false
	case a.usedIsolated:
		return int(math.Ceil(max(0, a.unacked+a.unreported-own)))
	}
	return 0
}
