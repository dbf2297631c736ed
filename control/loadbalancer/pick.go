package loadbalancer

import (
	"math"
	"time"

	"clovergap/control"
)

// candidateSet summarizes the backends that are eligible for a txn. isEligible defines when a backend is eligible.
type candidateSet struct {
	anyEligible bool       // true if at least one backend is eligible
	inFlight    float64    // number of submissions of this front door in flight at the eligible backends
	capacity    float64    // total capacity of the eligible backends
	candidates  []*backend // eligible backends that have capacity
	load        float64    // total load of the candidates
}

// pickBackend returns the backend for a txn. The result is the first eligible backend in the ranking of the txn's customer that has
// capacity. If backends are eligible but none has capacity, the result is nil. If no backend is eligible, pickFallbackBackend decides.
func (c *Controller) pickBackend(t *txn) *backend {
	c.refreshBackends()
	set := c.candidateSetFor(t)
	c.candidates = set.candidates
	c.utilization = set.inFlight / max(set.capacity, 1)
	if !set.anyEligible {
		return c.pickFallbackBackend(t)
	}
	if len(set.candidates) == 0 || set.inFlight+1 > max(1, set.capacity+burstAllowance*math.Sqrt(set.capacity)) {
		c.saturated = c.saturated || !t.mayHaveRun
		return nil
	}
	return c.pickByRank(t, set)
}

// candidateSetFor returns the summary of the eligible backends for a txn. The candidates are the eligible backends that have
// capacity.
func (c *Controller) candidateSetFor(t *txn) candidateSet {
	set := candidateSet{candidates: c.candidates[:0]}
	for _, b := range c.readyBackends {
		if !c.isEligible(b, t) {
			continue
		}
		share := b.warmUpShare * c.slowStartShare(b)
		capacity := c.capacity * share * min(1, c.medianSlowdown/max(b.slowdown, minSlowdown))
		set.anyEligible, set.inFlight, set.capacity = true, set.inFlight+float64(b.inFlight), set.capacity+capacity
		// A backend that is warming up or in slow start is skipped at random, so that it gets only its share of the txns.
		if share < 1 && c.rng.Float64() > share || float64(b.inFlight+1) > max(1, maxInFlightFactor*capacity) {
			continue
		}
		set.candidates = append(set.candidates, b)
		b.load = c.loadOf(b)
		set.load += b.load
	}
	return set
}

// pickByRank returns the candidate with the highest rank. The ranks of backends in the own zone are above all others, because traffic
// between zones has a cost. Candidates with far more than the mean load (maxLoadFactor) are skipped. If all candidates are skipped, the
// result is the candidate with the lowest load.
func (c *Controller) pickByRank(t *txn, set candidateSet) *backend {
	maxLoad := maxLoadFactor*set.load/float64(len(set.candidates)) + 1
	var first, least *backend
	var highest uint64
	for _, b := range set.candidates {
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

// rankOf returns the rank of a backend for the customer of a txn. In the own zone, a backend whose warm-up tokens expire ranks above
// all others, because at a lower rank its tokens would expire before they are used.
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

// pickFallbackBackend returns the backend to use if no backend is eligible for a txn. The result is one of the backends that the rules
// allow and that have capacity. Of these backends, it is the backend with the smallest sum of two numbers, which are the number of this
// front door's submissions in flight and the loss share. The loss share is at most 1, so it mainly decides between backends with
// equally many submissions in flight. The result is nil if the rules allow no backend that has capacity.
func (c *Controller) pickFallbackBackend(t *txn) (best *backend) {
	for _, b := range c.readyBackends {
		if c.rulesAllow(b, t) && float64(b.inFlight+1) <= max(1, c.capacity) &&
			(best == nil || b.lossShare+float64(b.inFlight) < best.lossShare+float64(best.inFlight)) {
			best = b
		}
	}
	return best
}

// isEligible reports whether a txn may go to a backend, regardless of the backend's capacity. A backend is not eligible if it is ejected,
// excluded, unresponsive, or in a rejection backoff, if it was the last backend of the txn, or if the rules forbid a submission.
func (c *Controller) isEligible(b *backend, t *txn) bool {
	if b.ejected || b == t.previousBackend || b.rejectionBackoffUntil > c.now || c.isExcludedFor(b, t) || c.mustAvoidUnresponsive(b, t) || !c.rulesAllow(b, t) {
		return false
	}
	// If a plan limits the submissions in flight, a submission to a slow backend would use up a part of that limit for too long.
	return c.plans[t.Plan].MaxInFlight <= 0 || b.slowdown <= maxSlowdownForLimitedPlans*c.medianSlowdown
}

// rulesAllow reports whether rules 2, 3 and 4 of the package comment allow a submission of a txn to a backend.
func (c *Controller) rulesAllow(b *backend, t *txn) bool {
	if b.State != control.Ready {
		return false
	}
	if t.mayHaveRun {
		p := c.products[t.Product]
		if !c.mayRepeat(t) || p.effect == referenced &&
			(p.repeatScope == scopeZone && b.Zone != t.ranZone || p.repeatScope == scopePod && b.Pod != t.ranPod) {
			return false
		}
	}
	return b.warmUpShare >= 1 || c.refillWarmUpTokens(b) >= 1
}

// isExcludedFor reports whether a backend is excluded for the product of a txn. A once-only txn cannot be retried after an error, so a
// backend at which any other product fails is also excluded for once-only txns. Txns of the other products show when that backend has
// recovered.
func (c *Controller) isExcludedFor(b *backend, t *txn) bool {
	if c.products[t.Product].effect == onceOnly {
		for p, f := range b.failures {
			if control.ProductID(p) != t.Product && (f.excludedUntil > c.now || f.share > failureThreshold/2) {
				return true
			}
		}
	}
	return b.failures[t.Product].excludedUntil > c.now
}

// mustAvoidUnresponsive reports whether a txn must avoid a backend because the backend has not responded for too long. The longest
// allowed time without a response is derived from the usual response time of the txn. An inquiry-like txn tries the backend again
// after each trialInterval. Without these trials, the backend would get no submissions until its ejection and could not show that it
// has recovered.
func (c *Controller) mustAvoidUnresponsive(b *backend, t *txn) bool {
	if b.unanswered < 2 {
		return false
	}
	trial := c.now-b.sentAt > trialInterval && c.products[t.Product].effect == inquiryLike
	timeout := max(minUnresponsiveTime, time.Duration(unresponsiveFactor*float64(c.usualLatency(t))))
	return !trial && c.now-b.unansweredSince > timeout
}

// loadOf returns the load of a backend, which is estimated from the submissions of all front doors. The unit of the result is one usual
// txn in flight at a warm backend. The weight of a load report decreases with its age. With a constant weight, a backend that once
// reported a high load would not be picked again, so it could never report a lower load.
func (c *Controller) loadOf(b *backend) float64 {
	elsewhere := b.inFlightElsewhere * max(0, 1-float64(c.now-b.loadReportedAt)/float64(loadReportTTL))
	return (float64(b.inFlight) + elsewhere) * max(b.slowdown/c.medianSlowdown, minLoadSlowdown) / b.warmUpShare
}

// slowStartShare returns the share of its capacity that a backend may use after an ejection, from 0 to 1. This share grows linearly from
// minSlowStartShare to 1 within slowStartTime.
func (c *Controller) slowStartShare(b *backend) float64 {
	if b.slowStartedAt == 0 || c.now-b.slowStartedAt > slowStartTime {
		return 1
	}
	return minSlowStartShare + (1-minSlowStartShare)*float64(c.now-b.slowStartedAt)/float64(slowStartTime)
}

// refillWarmUpTokens refills the budget of submissions to a backend that is warming up, up to the present, and returns the number of
// tokens. The number of tokens earned per second is this front door's rate of responses from one warm backend, multiplied by the warm-up
// share of the backend, overloadFactor and warmUpBudgetShare. So all front doors together stay below the rate that would overload the
// backend. The tokens of half an overload window can be saved up.
func (c *Controller) refillWarmUpTokens(b *backend) float64 {
	minRate := warmUpBudgetShare / float64(c.gateways) / c.longestAssumedLatency()
	rate := b.warmUpShare * max(c.warmRate, minRate) * c.overloadFactor * warmUpBudgetShare
	if b.warmUpTokensAt == 0 { // a random initial fraction spreads the first submissions of many front doors over time
		b.warmUpTokens, b.warmUpTokensAt = c.rng.Float64(), c.now
	}
	b.warmUpTokens, b.warmUpTokensAt = b.warmUpTokens+rate*(c.now-b.warmUpTokensAt).Seconds(), c.now
	maxTokens := rate * c.overloadWindow.Seconds() / 2
	b.warmUpTokensExpire = maxTokens < 1
	if !b.warmUpTokensExpire {
		b.warmUpTokens = min(b.warmUpTokens, maxTokens)
	} else if b.warmUpTokens > 1+maxTokens { // unused tokens expire, so that hundreds of front doors cannot use saved tokens at the same time
		b.warmUpTokens -= math.Floor(b.warmUpTokens - maxTokens)
	}
	return b.warmUpTokens
}
