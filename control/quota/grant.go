package quota

import (
	"math"
)

// grantUnits sets units aside for a gateway whose txns wait: nobody else has them till it tells what became of it.
func (l *Limiter) grantUnits(a *Account, r *report, left float64) (units float64) {
	if r.unitsWanted > 0 && left >= r.unitsWanted {
		units = max(r.unitsWanted, math.Floor(left/grantDivisor/float64(l.gateways)))
		r.granted, r.grantedAt = r.granted+units, l.now
	}
	return units
}

// outstandingGrants is what is lent of an owned bucket, and may have been spent. A gateway that is silent for a window more has
// spent it before that, or let go of it.
func (l *Limiter) outstandingGrants(a *Account) (units float64) {
	if l.config.Strict {
		for _, r := range a.reports {
			if l.now-r.grantedAt >= grantMaxAge {
				r.granted = 0
			}
			units += r.granted
		}
	}
	return units
}

// currentGrant is what this gateway has of what the owner lent it. What is not used soon it lets go.
func (l *Limiter) currentGrant(a *Account) float64 {
	if l.now-a.grantedAt >= grantTTL {
		a.granted, a.grantUsed = 0, a.grantUsed+a.granted
	}
	return a.granted
}
