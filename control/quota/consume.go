package quota

import (
	"clovergap/control"
)

// Reserve keeps units that are covered for one that waits for something else; Unkeep lets go of them.
func (l *Limiter) Reserve(c control.CustomerID, units float64) {
	if a := l.accounts[c]; a != nil {
		l.reserve(a, units)
	}
}

func (l *Limiter) reserve(a *Account, units float64) {
	a.reserved, a.reservations = a.reserved+units, a.reservations+1
}

// Release lets go of kept units.
func (l *Limiter) Release(c control.CustomerID, units float64) {
	if a := l.accounts[c]; a != nil {
		a.reserved, a.reservations = max(0, a.reserved-units), a.reservations-1
	}
}

// Consume takes units, once, for what goes on its way now.
func (l *Limiter) Consume(c control.CustomerID, units float64) {
	if a := l.accounts[c]; a != nil {
		l.consume(a, units)
	}
}

// consume draws units from the bucket, the view and the ceiling's part.
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

// consumeRemote takes units of what is lent or, where that is not enough, of what may be spent on no word.
func (l *Limiter) consumeRemote(a *Account, units float64) {
	if l.currentGrant(a) >= units {
		a.granted, a.grantUsed = a.granted-units, a.grantUsed+units
		return
	}
	l.allowanceNow(a)
	if a.allowance -= units; l.isolatedFrom(a) >= l.now {
		a.allowanceUsed, a.allowanceUnreported = a.allowanceUsed+units, a.allowanceUnreported+units
	} else {
		a.usedIsolated = true
	}
}

// draw takes units from an owned bucket; what is not there was beyond the quota and takes nothing.
func (l *Limiter) draw(a *Account, units float64) {
	least := 0.0
	if l.config.Strict { // spent without its word: paid back, but old use not for long
		least = -a.limit.Rate * maxDebt.Seconds()
	}
	a.level = max(least, a.level-units)
	if a.level >= 1 {
		a.exhausted = false
	} else if !a.exhausted { // exhaustion is told to recent reporters at once
		a.exhausted = true
		for _, r := range a.reports {
			if l.now-r.receivedAt < reporterTTL && r.snapshotLevel >= 1 {
				l.scheduleSnapshot(l.peers[r.from], a.id)
			}
		}
	}
}
