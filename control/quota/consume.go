package quota

import "clovergap/control"

// Reserve sets aside units that Check allowed, for a request that still waits for another resource. Release ends the reservation.
func (l *Limiter) Reserve(customer control.CustomerID, units float64) {
	if a := l.accounts[customer]; a != nil {
		l.reserve(a, units)
	}
}

func (l *Limiter) reserve(a *Account, units float64) {
	a.reserved += units
	a.reservations++
}

// Release ends a reservation of the given units. The caller then calls Consume or gives up the request.
func (l *Limiter) Release(customer control.CustomerID, units float64) {
	if a := l.accounts[customer]; a != nil {
		a.reserved = max(0, a.reserved-units)
		a.reservations--
	}
}

// Consume takes units that Check allowed. It is called once for each request, when the request is forwarded.
func (l *Limiter) Consume(customer control.CustomerID, units float64) {
	if a := l.accounts[customer]; a != nil {
		l.consume(a, units)
	}
}

// consume takes units from this gateway's share of the hard limit and from the bucket. If another gateway owns the bucket, consume counts
// the units as unreported and schedules a report to the owner.
func (l *Limiter) consume(a *Account, units float64) {
	if a.limit.HardRate > 0 {
		a.hardShare -= units
	}
	if a.limit.Rate <= 0 {
		return
	}
	if a.owner == l.self {
		l.refillBucket(a)
		l.drawFromBucket(a, units)
		return
	}
	if l.config.Strict {
		l.consumeGrantOrAllowance(a, units)
	}
	a.unreported += units
	l.scheduleReport(a)
}

// consumeGrantOrAllowance takes units from the grant or, if the grant does not hold enough, from the allowance.
func (l *Limiter) consumeGrantOrAllowance(a *Account, units float64) {
	if l.currentGrant(a) >= units {
		a.granted, a.grantUsed = a.granted-units, a.grantUsed+units
		return
	}
	l.refillAllowance(a)
	a.allowance -= units
	if l.isolationStart(a) >= l.now {
		a.allowanceUsed, a.allowanceUnreported = a.allowanceUsed+units, a.allowanceUnreported+units
	} else {
		a.consumedWhileIsolated = true
	}
}

// drawFromBucket takes units from a bucket that this gateway owns. Units that the bucket does not hold exceed the quota. Without strict
// mode, the excess units are ignored. In strict mode, the excess units lower the level below 0, and later refills raise the level again.
// The negative level is limited (maxDebtTime), so that past use does not reduce the quota for long.
//
// When the level falls below one unit, drawFromBucket schedules a snapshot for each recent reporter whose last snapshot
// showed at least one unit.
func (l *Limiter) drawFromBucket(a *Account, units float64) {
	minLevel := 0.0
	if l.config.Strict {
		minLevel = -a.limit.Rate * maxDebtTime.Seconds()
	}
	a.level = max(minLevel, a.level-units)
	if a.level >= 1 {
		a.exhausted = false
		return
	}
	if a.exhausted {
		return
	}
	a.exhausted = true
	for _, r := range a.reporterStates {
		if l.now-r.receivedAt < reporterTTL && r.snapshotLevel >= 1 {
			l.scheduleSnapshot(l.peers[r.from], a.id)
		}
	}
}
