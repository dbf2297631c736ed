package quota

import (
	"math"
	"time"
)

// checkHardLimit tells whether this gateway's part of the hard limit covers a request, and otherwise when to ask again. A share of the limit
// is split evenly over the set, so that each gateway has some when partitioned; the rest is the owner's pool, of which those ask
// whose requests come unevenly. Parts and pool begin empty in each epoch, and rates and bursts add up to the whole limit, whoever
// restarts.
func (l *Limiter) checkHardLimit(a *Account, r Request) (allowed bool, at time.Duration) {
	if a.limit.HardRate <= 0 {
		return true, 0
	}
	if !a.inSet {
		return false, l.now + time.Second
	}
	lacking := r.Units + a.reserved - l.hardShareNow(a)
	if lacking <= 0 {
		return true, 0
	}
	if a.owner != l.self {
		a.hardWanted = min(max(a.hardWanted, lacking), l.hardShareCap(a))
		l.requestSnapshot(a)
		return false, l.now
	}
	return false, l.now + time.Duration(lacking/(a.limit.HardRate*l.hardFraction(a))*float64(time.Second))
}

// hardFraction is the share of the hard limit that is this gateway's.
func (l *Limiter) hardFraction(a *Account) float64 {
	width := float64(max(a.setWidth, 1))
	// The largest request must fit into a part.
	even := min(1, max(evenShare, l.config.MaxUnits*width/max(a.limit.HardBurst, 1)))
	if a.owner == l.self {
		return even/width + 1 - even
	}
	return even / width
}

// hardShareNow brings this gateway's part up to now and gives what is left of it.
func (l *Limiter) hardShareNow(a *Account) float64 {
	fill := a.limit.HardRate * l.hardFraction(a) * (l.now - a.hardShareAt).Seconds()
	a.hardShare, a.hardShareAt = min(l.hardShareCap(a), a.hardShare+fill), l.now
	return a.hardShare
}

// hardShareCap is the most that this gateway's part holds.
func (l *Limiter) hardShareCap(a *Account) float64 { return a.limit.HardBurst * l.hardFraction(a) }

// takeTransfer gives what a delta says in its field Transfer, and clears it: below 0 the units that are asked of the owner's pool; in
// strict mode the units of grants that were used.
func (l *Limiter) takeTransfer(a *Account) (transfer float64) {
	if l.config.Strict {
		transfer, a.grantUsed = a.grantUsed, 0
		return transfer
	}
	transfer, a.hardWanted = -a.hardWanted, 0
	return transfer
}

// grantHardShare gives units of the owner's pool. They are taken off before they are sent, and added at most once and only in the epoch that
// they were meant for: a lost message loses them.
func (l *Limiter) grantHardShare(a *Account, r *report) float64 {
	if r.hardWanted <= 0 || !a.inSet || a.limit.HardRate <= 0 {
		return 0
	}
	units := math.Ceil(16*r.hardWanted) / 16 // as a message rounds them
	r.hardWanted = 0
	if units > l.hardShareNow(a)-a.reserved {
		return 0 // less than what is asked for would let nobody go
	}
	a.hardShare -= units
	return units
}
