package quota

import "math"

// grantUnits sets units aside for a gateway whose requests wait for them: nobody else has them until it reports what became of them.
func (l *Limiter) grantUnits(r *report, left float64) (units float64) {
	if r.unitsWanted > 0 && left >= r.unitsWanted {
		units = max(r.unitsWanted, math.Floor(left/grantDivisor/float64(l.gateways)))
		r.granted, r.grantedAt = r.granted+units, l.now
	}
	return units
}

// outstandingGrants is what is granted of an owned bucket and may still be consumed, or was consumed within the window. A gateway that is
// silent for longer has consumed its grant before that, or let it expire.
func (l *Limiter) outstandingGrants(a *Account) (units float64) {
	if !l.config.Strict {
		return 0
	}
	for _, r := range a.reports {
		if l.now-r.grantedAt >= grantMaxAge {
			r.granted = 0
		}
		units += r.granted
	}
	return units
}

// currentGrant is what is left of this gateway's grant. What is not consumed soon expires, and is reported as used.
func (l *Limiter) currentGrant(a *Account) float64 {
	if l.now-a.grantedAt >= grantTTL {
		a.granted, a.grantUsed = 0, a.grantUsed+a.granted
	}
	return a.granted
}
