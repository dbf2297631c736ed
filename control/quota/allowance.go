package quota

import (
	"math"
	"time"
)

// refillAllowance adds the refill since the last call to the allowance of a customer and returns the allowance. The allowance is the
// number of units that this gateway may consume without the owner's knowledge, with or without a snapshot (strict mode).
//
// The allowances of all gateways together are the difference between the bound of strict mode and rate x Window + burst. Each gateway
// gets an equal part of this difference. The fraction allowanceBurstShare of this part is the maximum that can be saved up. The rest of
// the part is added evenly over Config.Window. The allowance is empty at the start of each epoch, and a partition does not renew it.
// Units that the owner acknowledges while its bucket has units left are returned to the allowance (confirmAllowance). While the gateway
// is isolated (isolationStart), the allowance also gets the gateway's part of the rate, but the maximum that can be saved up stays the
// same (at least one unit).
func (l *Limiter) refillAllowance(a *Account) float64 {
	part, maxSaved := l.allowancePart(a)
	fill := (part - maxSaved) / max(l.config.Window, time.Second).Seconds() * (l.now - a.allowanceAt).Seconds()
	if isolated := l.now - max(l.isolationStart(a), a.allowanceAt); isolated > 0 {
		a.allowanceUsed, maxSaved = 0, max(maxSaved, 1)
		fill += a.limit.Rate / float64(l.gatewayCount) * isolated.Seconds()
	}
	a.allowance, a.allowanceAt = max(a.allowance, min(maxSaved-a.allowanceUsed, a.allowance+fill)), l.now
	return a.allowance
}

// allowancePart returns this gateway's equal part of the allowances of all gateways, and the part of it that can be saved up.
func (l *Limiter) allowancePart(a *Account) (part, maxSaved float64) {
	part = (l.config.Excess*(a.limit.Rate*l.config.Window.Seconds()+a.limit.Burst) + l.config.Margin) / float64(l.gatewayCount)
	return part, min(part, max(1, allowanceBurstShare*part))
}

// limitSavedAllowance reduces the allowance to what can be saved up under the present limits. What was saved up under higher limits, and
// what the owner will return of it (confirmAllowance), would exceed the bound.
func (l *Limiter) limitSavedAllowance(a *Account) {
	_, maxSaved := l.allowancePart(a)
	a.allowance = min(a.allowance, maxSaved-a.allowanceUsed)
}

// isolationStart returns the time from which this gateway may consume its part of the rate without the owner. If the gateway may not
// consume its part yet, the result is the present or later.
//
// The owner must be unresponsive, and one of two conditions must be met. In the first condition, the owner received a report shortly
// before it became unresponsive, and therefore withholds this gateway's part of the rate. In the second condition, this gateway's
// host found the owner unreachable so long ago that the owner's host has found this gateway unreachable as well.
func (l *Limiter) isolationStart(a *Account) time.Duration {
	owner, requestedAt := l.peers[a.owner], a.snapshotRequestedAt
	for _, u := range owner.unacked {
		if requestedAt == 0 || u.firstSentAt < requestedAt {
			requestedAt = u.firstSentAt
		}
	}
	if requestedAt == 0 {
		return l.now
	}
	from := max(requestedAt, owner.receivedAt, l.pausedUntil) + ownerAttempts*l.answerTimeout(a)
	if l.withholdsEarly(a) && a.lastAckedSentAt > 0 && requestedAt-a.lastAckedSentAt < recentReportAge {
		return from
	}
	if owner.unreachableSince == 0 {
		return l.now
	}
	return max(from, owner.unreachableSince+reachabilityLag)
}

// confirmAllowance uses the level in the owner's new snapshot to decide about the acknowledged units of the allowance. If the
// level is above 0, the bucket covered the acknowledged units, and these units are returned to the allowance. If the level is 0, the
// acknowledged units may have exceeded the bucket, so only the refill of the allowance replaces them.
func (l *Limiter) confirmAllowance(a *Account, level float64) {
	confirmed := min(a.allowanceAcked, a.allowanceUsed)
	l.refillAllowance(a)
	if level > 0 {
		a.allowance += confirmed
	}
	a.allowanceAcked, a.allowanceUsed = 0, a.allowanceUsed-confirmed
}

// reportedInFlight returns the value for the field InFlight of a delta. Without strict mode, the value is the number of submissions
// in flight.
//
// Strict mode does not limit the submissions in flight and uses the field for a number of units. After an isolation, the value counts
// the units that may have been consumed from the withheld part and are not acknowledged yet. The units of the delta itself
// (deltaUnits) are left out. In all other cases the value is 0.
func (l *Limiter) reportedInFlight(a *Account, deltaUnits float64) int {
	switch {
	case !l.config.Strict:
		return a.inFlight
	case a.unacked <= 0:
		a.consumedWhileIsolated = false
	case a.consumedWhileIsolated:
		return int(math.Ceil(max(0, a.unacked+a.unreported-deltaUnits)))
	}
	return 0
}
