package quota

import "math"

// grantUnits sets units aside for a reporter that has a pending request, and returns their number. No other gateway gets these
// units until the reporter has reported how many of them it used, or until grantMaxAge is over. The result is 0 if the reporter has
// no pending request or if fewer units are left than the request needs.
func (l *Limiter) grantUnits(r *reporterState, unitsLeft float64) (units float64) {
	if r.unitsWanted > 0 && unitsLeft >= r.unitsWanted {
		units = max(r.unitsWanted, math.Floor(unitsLeft/grantDivisor/float64(l.gatewayCount)))
		r.granted, r.grantedAt = r.granted+units, l.now
	}
	return units
}

// outstandingGrants returns the number of granted units of an owned bucket that may still be consumed, or may have been consumed
// within the window of the bound (Config.Window). Without strict mode the result is 0. A grant older than grantMaxAge no longer
// counts. After this time, the gateway has consumed the units before the current window, or the grant has expired.
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

// currentGrant returns the units that are left of this gateway's grant. A grant expires after grantTTL, and its remaining units are
// then reported as used.
func (l *Limiter) currentGrant(a *Account) float64 {
	if l.now-a.grantedAt >= grantTTL {
		a.granted, a.grantUsed = 0, a.grantUsed+a.granted
	}
	return a.granted
}
