package quota

import "math"

// grantUnits sets units aside for a reporter that has a pending request, and returns the number of units. No other gateway gets these
// units until the reporter has reported how many of them it consumed or let expire, or until grantMaxAge is over. The result is 0 if the
// reporter has no pending request or if unitsLeft is less than the request needs.
func (l *Limiter) grantUnits(r *reporterState, unitsLeft float64) (units float64) {
	if r.unitsWanted > 0 && unitsLeft >= r.unitsWanted {
		units = max(r.unitsWanted, math.Floor(unitsLeft/grantDivisor/float64(l.gatewayCount)))
		r.granted, r.grantedAt = r.granted+units, l.now
	}
	return units
}

// outstandingGrants returns the number of granted units of a bucket that this gateway owns, without the units that reporters have
// reported as used. Other gateways may still consume the counted units, or may have consumed them within the last Config.Window. A grant
// older than grantMaxAge does not count, because its units were consumed before that window or have expired. Without strict mode the
// result is 0.
func (l *Limiter) outstandingGrants(a *Account) (units float64) {
	if !l.config.Strict {
		return 0
	}
	for _, r := range a.reporterStates {
		if l.now-r.grantedAt >= grantMaxAge {
			r.granted = 0
		}
		units += r.granted
	}
	return units
}

// currentGrant returns the units that are left of the grants that the owner sent to this gateway. The units expire grantTTL after the
// last grant arrived. Expired units are reported to the owner as used.
func (l *Limiter) currentGrant(a *Account) float64 {
	if l.now-a.grantedAt >= grantTTL {
		a.granted, a.grantUsed = 0, a.grantUsed+a.granted
	}
	return a.granted
}
