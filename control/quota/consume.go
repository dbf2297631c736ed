package quota

import "clovergap/control"

// Reserve keeps units that Check allowed for a request that still waits for something else. Release ends that.
func (l *Limiter) Reserve(c control.CustomerID, units float64) {
	if a := l.accounts[c]; a != nil {
		l.reserve(a, units)
	}
}

func (l *Limiter) reserve(a *Account, units float64) {
	a.reserved += units
	a.reservations++
}

// Release gives up a reservation, whether its units are consumed next or not.
func (l *Limiter) Release(c control.CustomerID, units float64) {
	if a := l.accounts[c]; a != nil {
		a.reserved = max(0, a.reserved-units)
		a.reservations--
	}
}

// Consume takes units that Check allowed, once, as the request is sent on.
func (l *Limiter) Consume(c control.CustomerID, units float64) {
	if a := l.accounts[c]; a != nil {
		l.consume(a, units)
	}
}

func (l *Limiter) consume(a *Account, units float64) {
	if a.limit.HardRate > 0 {
		a.hardShare -= units
	}
	if a.limit.Rate <= 0 {
		return
	}
	if a.owner == l.self {
		l.refill(a)
		l.draw(a, units)
		return
	}
	if l.config.Strict {
		l.consumeRemote(a, units)
	}
	a.unreported += units
	l.scheduleReport(a)
}

// consumeRemote takes units of a grant or, where that doesn't hold as many, of the allowance.
func (l *Limiter) consumeRemote(a *Account, units float64) {
	if l.currentGrant(a) >= units {
		a.granted, a.grantUsed = a.granted-units, a.grantUsed+units
		return
	}
	l.allowanceNow(a)
	a.allowance -= units
	if l.isolatedFrom(a) >= l.now {
		a.allowanceUsed, a.allowanceUnreported = a.allowanceUsed+units, a.allowanceUnreported+units
	} else {
		a.usedIsolated = true
	}
}

// draw takes units from an owned bucket. What it doesn't hold was beyond the quota and takes nothing; in strict mode it is paid back, but
// old use not for long. Recent reporters that believe there are units get a snapshot at once when there are none any more.
func (l *Limiter) draw(a *Account, units float64) {
	least := 0.0
	if l.config.Strict {
		least = -a.limit.Rate * maxDebt.Seconds()
	}
	a.level = max(least, a.level-units)
	if a.level >= 1 {
		a.exhausted = false
		return
	}
	if a.exhausted {
		return
	}
	a.exhausted = true
	for _, r := range a.reports {
		if l.now-r.receivedAt < reporterTTL && r.snapshotLevel >= 1 {
			l.scheduleSnapshot(l.peers[r.from], a.id)
		}
	}
}
