package loadbalancer

import (
	"math"
	"time"

	"clovergap/control"
)

// supply sums up the backends that a txn may go to.
type candidateSet struct {
	anyEligible bool
	inFlight    float64 // from here
	capacity    float64 // for submissions from here
	candidates  []*backend
	load        float64 // of the candidates
}

// pick chooses the backend for a txn: the first in its customer's ranking that has capacity. nil: none has.
func (c *Controller) pick(t *txn) *backend {
	c.refreshBackends()
	s := c.candidatesFor(t)
	c.candidates = s.candidates
	c.utilization = s.inFlight / max(s.capacity, 1)
	if !s.anyEligible {
		return c.pickFallback(t)
	}
	if len(s.candidates) == 0 || s.inFlight+1 > max(1, s.capacity+burstAllowance*math.Sqrt(s.capacity)) {
		c.saturated = c.saturated || !t.mayHaveRun
		return nil
	}
	return c.pickByRank(t, s)
}

// candidatesFor finds the backends that a txn may go to, and of those the candidates, which have capacity.
func (c *Controller) candidatesFor(t *txn) candidateSet {
	s := candidateSet{candidates: c.candidates[:0]}
	for _, b := range c.readyBackends {
		if !c.eligible(b, t) {
			continue
		}
		share := b.warmUpShare * c.slowStartShare(b)
		capacity := c.capacity * share * min(1, c.medianSlowdown/max(b.slowdown, minSlowdown))
		s.anyEligible, s.inFlight, s.capacity = true, s.inFlight+float64(b.inFlight), s.capacity+capacity
		// One that is warming up, or has just been readmitted, is passed over by chance.
		if share < 1 && c.rng.Float64() > share || float64(b.inFlight+1) > max(1, maxInFlightFactor*capacity) {
			continue
		}
		s.candidates = append(s.candidates, b)
		b.load = c.loadOf(b)
		s.load += b.load
	}
	return s
}

// pickByRank chooses the candidate with the highest hash among those of the own zone, since crossing zones has a price, then among the others.
// Those that have far more than the mean load are passed over; if all have, it is the least loaded.
func (c *Controller) pickByRank(t *txn, s candidateSet) *backend {
	maxLoad := maxLoadFactor*s.load/float64(len(s.candidates)) + 1
	var first, least *backend
	var highest uint64
	for _, b := range s.candidates {
		if least == nil || b.load < least.load {
			least = b
		}
		if b.load+1 > maxLoad {
			continue
		}
		if rank := c.rankOf(b, t); rank >= highest {
			first, highest = b, rank
		}
	}
	if first == nil {
		return least
	}
	return first
}

// rankOf is a backend's rank for a customer. In the own zone a backend whose warm-up token would lapse goes before all: on a lower rank it would not be
// used in time.
func (c *Controller) rankOf(b *backend, t *txn) uint64 {
	rank := control.Hash64(uint64(t.Customer)*control.GoldenRatio64^b.hash) >> 2
	if b.Zone == c.zone {
		rank |= 1 << 63
		if b.warmUpShare < 1 && b.warmUpTokensExpire {
			rank |= 1 << 62
		}
	}
	return rank
}

// pickFallback chooses, when no backend is good for a txn, the least failing and loaded one that the rules allow.
func (c *Controller) pickFallback(t *txn) (best *backend) {
	for _, b := range c.readyBackends {
		if c.allowedByRules(b, t) && float64(b.inFlight+1) <= max(1, c.capacity) &&
			(best == nil || b.lossShare+float64(b.inFlight) < best.lossShare+float64(best.inFlight)) {
			best = b
		}
	}
	return best
}

// eligible tells whether a backend is good for a txn, whether it has capacity or not.
func (c *Controller) eligible(b *backend, t *txn) bool {
	if b.ejected || b == t.previousBackend || b.rejectionBackoffUntil > c.now || c.excludedFor(b, t) || c.unresponsive(b, t) || !c.allowedByRules(b, t) {
		return false
	}
	// Where a plan bounds submissions in flight, a slot is not kept long at a slow backend.
	return c.plans[t.Plan].MaxInFlight <= 0 || b.slowdown <= maxSlowdownForLimitedPlans*c.medianSlowdown
}

// allowed keeps rules 2, 3 and 4.
func (c *Controller) allowedByRules(b *backend, t *txn) bool {
	if b.State != control.Ready {
		return false
	}
	if t.mayHaveRun {
		p := c.products[t.Product]
		if !c.repeatable(t) || p.effect == referenced &&
			(p.repeatScope == scopeZone && b.Zone != t.ranZone || p.repeatScope == scopePod && b.Pod != t.ranPod) {
			return false
		}
	}
	return b.warmUpShare >= 1 || c.warmUpTokensNow(b) >= 1
}

// excludedFor tells whether a backend is excluded for a txn's product. A once-only txn can't go again after an error, so it keeps away while any
// product fails there, and leaves it to the others to find out.
func (c *Controller) excludedFor(b *backend, t *txn) bool {
	if c.products[t.Product].effect == onceOnly {
		for p, f := range b.failures {
			if control.ProductID(p) != t.Product && (f.excludedUntil > c.now || f.share > failureThreshold/2) {
				return true
			}
		}
	}
	return b.failures[t.Product].excludedUntil > c.now
}

// unresponsive tells whether a backend owes answers for longer than such txns take. Now and then an inquiry-like txn tries it all the same: else one
// that owes too little to be ejected would never answer again.
func (c *Controller) unresponsive(b *backend, t *txn) bool {
	if b.unanswered < 2 {
		return false
	}
	trial := c.now-b.sentAt > trialInterval && c.products[t.Product].effect == inquiryLike
	timeout := max(minUnresponsiveTime, time.Duration(unresponsiveFactor*float64(c.usualLatency(t))))
	return !trial && c.now-b.unansweredSince > timeout
}

// loadOf is what a backend has in flight, in usual txns of a warm backend. A load report counts ever less as it grows old: else a backend that once
// reported a high load, and is therefore not chosen, would never report anything else.
func (c *Controller) loadOf(b *backend) float64 {
	elsewhere := b.inFlightElsewhere * max(0, 1-float64(c.now-b.loadReportedAt)/float64(loadReportTTL))
	return (float64(b.inFlight) + elsewhere) * max(b.slowdown/c.medianSlowdown, minLoadSlowdown) / b.warmUpShare
}

// slowStartShare is the share that a backend gets after an ejection.
func (c *Controller) slowStartShare(b *backend) float64 {
	if b.slowStartedAt == 0 || c.now-b.slowStartedAt > slowStartTime {
		return 1
	}
	return minSlowStartShare + (1-minSlowStartShare)*float64(c.now-b.slowStartedAt)/float64(slowStartTime)
}

// warmUpTokensNow brings the budget of submissions to a backend that is warming up to now: in each fall window, this front door's rate to
// a warm backend times the share of its capacity that this one has. So all front doors together stay under what it bears.
func (c *Controller) warmUpTokensNow(b *backend) float64 {
	minRate := warmUpBudgetShare / float64(c.gateways) / c.slowestLatency()
	rate := b.warmUpShare * max(c.warmRate, minRate) * c.overloadFactor * warmUpBudgetShare
	if b.warmUpTokensAt == 0 { // begins anywhere between two tokens, so that many front doors keep the rate together from the start
		b.warmUpTokens, b.warmUpTokensAt = c.rng.Float64(), c.now
	}
	b.warmUpTokens, b.warmUpTokensAt = b.warmUpTokens+rate*(c.now-b.warmUpTokensAt).Seconds(), c.now
	maxTokens := rate * c.overloadWindow.Seconds() / 2
	b.warmUpTokensExpire = maxTokens < 1
	if !b.warmUpTokensExpire {
		b.warmUpTokens = min(b.warmUpTokens, maxTokens)
	} else if b.warmUpTokens > 1+maxTokens { // not used in time: what hundreds of front doors saved up could come at once
		b.warmUpTokens -= math.Floor(b.warmUpTokens - maxTokens)
	}
	return b.warmUpTokens
}
