package quota

import (
	"math"
	"time"
)

// checkHardLimit decides whether this gateway's share of the hard limit covers a request and the requests ahead of it. The results are those of
// Check. A request waits if the refill, or the owner's answer with units of the pool, can come in time.
//
// A part of the hard limit (hardEvenShare) is split evenly over the set, so that each gateway has some units during a partition. The
// rest is the owner's pool. A gateway whose share is too small for a request requests units from the pool. Shares and pool are empty at
// the start of each epoch, which is one run of a gateway's process. The rates and bursts of the shares and the pool add up to the whole
// limit, whichever gateways restart.
func (l *Limiter) checkHardLimit(a *Account, r Request) (Outcome, time.Duration) {
	if a.limit.HardRate <= 0 {
		return Allowed, 0
	}
	if !a.inSet {
		return Exceeded, time.Second
	}
	lacking := r.Units + r.UnitsAhead + a.reserved - l.refillHardShare(a)
	if lacking <= 0 {
		return Allowed, 0
	}
	if a.owner != l.self {
		a.hardUnitsWanted = min(max(a.hardUnitsWanted, lacking), l.hardShareCap(a))
		l.requestSnapshot(a)
	}
	after := time.Duration(lacking / l.expectedHardRate(a) * float64(time.Second))
	if l.now+after < r.PendingUntil {
		return Pending, r.PendingUntil
	}
	if deadline := l.answerDeadline(a, r); a.owner != l.self && lacking <= l.hardShareCap(a) && l.now < deadline {
		return Pending, deadline
	}
	return Exceeded, after
}

// expectedHardRate returns the rate in units per second at which this gateway is expected to get units of the hard limit. The owner has its share
// and the pool. Another gateway has its share and, from the pool, as much as the other recent reporters.
func (l *Limiter) expectedHardRate(a *Account) float64 {
	rate := a.limit.HardRate * l.hardLimitFraction(a)
	if a.owner == l.self {
		return rate
	}
	return max(rate, a.limit.HardRate/float64(max(a.reporterCount, 1)))
}

// hardLimitFraction returns the fraction of the hard limit that belongs to this gateway. The owner's fraction includes the pool.
func (l *Limiter) hardLimitFraction(a *Account) float64 {
	width := float64(max(a.setWidth, 1))
	// A share must hold the largest request.
	even := min(1, max(hardEvenShare, l.config.MaxUnits*width/max(a.limit.HardBurst, 1)))
	if a.owner == l.self {
		return even/width + 1 - even
	}
	return even / width
}

// refillHardShare adds the refill since the last call to this gateway's share of the hard limit. It returns the units in the share.
func (l *Limiter) refillHardShare(a *Account) float64 {
	fill := a.limit.HardRate * l.hardLimitFraction(a) * (l.now - a.hardShareAt).Seconds()
	a.hardShare, a.hardShareAt = min(l.hardShareCap(a), a.hardShare+fill), l.now
	return a.hardShare
}

// hardShareCap returns the maximum number of units in this gateway's share of the hard limit.
func (l *Limiter) hardShareCap(a *Account) float64 { return a.limit.HardBurst * l.hardLimitFraction(a) }

// takeTransfer returns the value for the field Transfer of a delta and clears the account's field that held the value. Without strict mode
// the value is negative or 0 and requests that many units from the owner's pool. In strict mode the value is the number of granted
// units that were consumed or expired.
func (l *Limiter) takeTransfer(a *Account) (transfer float64) {
	if l.config.Strict {
		transfer, a.grantUsed = a.grantUsed, 0
		return transfer
	}
	transfer, a.hardUnitsWanted = -a.hardUnitsWanted, 0
	return transfer
}

// grantFromHardPool grants a reporter units from the owner's pool of the hard limit and returns the number of units. The result is 0 if
// the pool covers less than the reporter requested. The owner subtracts the units before it sends the grant. The reporter adds the
// units at most once, and only in the epoch for which they were granted. So a lost message loses units, but no message can add the same
// units twice.
func (l *Limiter) grantFromHardPool(a *Account, r *reporterState) float64 {
	if r.hardUnitsWanted <= 0 || !a.inSet || a.limit.HardRate <= 0 {
		return 0
	}
	units := math.Ceil(16*r.hardUnitsWanted) / 16 // the precision of a message
	r.hardUnitsWanted = 0
	if units > l.refillHardShare(a)-a.reserved {
		return 0 // a grant of less than the requested units would not cover the waiting request
	}
	a.hardShare -= units
	return units
}
