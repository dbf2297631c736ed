package quota

import (
	"math"
	"time"
)

// checkHardLimit keeps rule 5. A share of the ceiling is split evenly over the set's gateways, so that each has
// some when cut off; the rest is the owner's pool, for those to ask whose customers come unevenly. Parts and
// pool start empty in each life, and their rates and stores add up to the whole, whoever restarts.
func (l *Limiter) checkHardLimit(a *Account, w Request) (bool, time.Duration) {
	if a.limit.HardRate <= 0 {
		return true, 0
	}
	if !a.inSet {
		return false, l.now + time.Second
	}
	need := w.Units + a.reserved - l.hardShareNow(a)
	if need <= 0 {
		return true, 0
	}
	if a.owner != l.self {
		a.hardWanted = min(max(a.hardWanted, need), l.hardShareCap(a))
		l.requestSnapshot(a)
		return false, l.now
	}
	return false, l.now + time.Duration(need/(a.limit.HardRate*l.hardFraction(a))*float64(time.Second))
}

// hardFraction is the share of a ceiling that is this gateway's.
func (l *Limiter) hardFraction(a *Account) float64 {
	width := float64(max(a.setWidth, 1))
	// The largest txn fits into a part.
	even := min(1, max(evenShare, l.config.MaxUnits*width/max(a.limit.HardBurst, 1)))
	if a.owner == l.self {
		return even/width + 1 - even
	}
	return even / width
}

// hardShareNow brings this gateway's part of a ceiling up to now.
func (l *Limiter) hardShareNow(a *Account) float64 {
	fill := a.limit.HardRate * l.hardFraction(a) * (l.now - a.hardShareAt).Seconds()
	a.hardShare, a.hardShareAt = min(l.hardShareCap(a), a.hardShare+fill), l.now
	return a.hardShare
}

// hardShareCap is what it holds at most.
func (l *Limiter) hardShareCap(a *Account) float64 { return a.limit.HardBurst * l.hardFraction(a) }

// takeTransfer tells the owner what this gateway lacks of a ceiling; by parts, what is gone of what was lent.
func (l *Limiter) takeTransfer(a *Account) (want float64) {
	if l.config.Strict {
		want, a.grantUsed = a.grantUsed, 0
		return want
	}
	want, a.hardWanted = a.hardWanted, 0
	return -want
}

// grantHardShare gives from the owner's pool. It is taken off before it is sent, applied at most once and only in the
// life it was meant for: a lost message merely loses it.
func (l *Limiter) grantHardShare(a *Account, r *report) float64 {
	if r.hardWanted <= 0 || !a.inSet || a.limit.HardRate <= 0 {
		return 0
	}
	g := math.Ceil(16*r.hardWanted) / 16
	if r.hardWanted = 0; g > l.hardShareNow(a)-a.reserved {
		return 0 // a fragment lets nobody go
	}
	a.hardShare -= g
	return g
}
