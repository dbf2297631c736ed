package loadbalancer

import (
	"math"
	"time"

	"clovergap/control"
)

// pick takes the first backend in the customer's ranking that does not have enough: its own zone first.
func (c *Controller) pick(t *txn) *backend {
	c.survey()
	can := c.candidates[:0]
	mean, out, roomAll, some := 0.0, 0.0, 0.0, false
	capped := c.plans[t.Plan].MaxInFlight > 0 // a slot is scarce: it is not kept long at a slow one
	for _, b := range c.available {
		if b.ejected || b == t.previous || b.rejectingUntil > c.now || c.excludedFor(b, t) ||
			c.unresponsive(b, t) || !c.allowed(b, t) || capped && b.slowdown > cappedSlowRatio*c.medianSlowdown {
			continue
		}
		w := b.warmth * c.slowStartShare(b)
		room := c.capacity * w * min(1, c.medianSlowdown/max(b.slowdown, 0.1))
		out, roomAll, some = out+float64(b.inFlight), roomAll+room, true
		if w < 1 && c.rng.Float64() > w || float64(b.inFlight+1) > max(1, 1.5*room) {
			continue // a fresh one is passed over by chance; a full one has enough
		}
		can = append(can, b)
		b.load = c.loadOf(b)
		mean += b.load
	}
	c.candidates = can
	c.utilization = out / max(roomAll, 1)
	if !some {
		return c.pickLeastBad(t)
	}
	if len(can) == 0 || out+1 > max(1, roomAll+burstAllowance*math.Sqrt(roomAll)) {
		c.saturated = c.saturated || !t.mayHaveRun
		return nil // all have enough
	}
	enough := maxLoadFactor*mean/float64(len(can)) + 1
	var first, least *backend
	var highest uint64
	for _, b := range can {
		if least == nil || b.load < least.load {
			least = b
		}
		if b.load+1 > enough {
			continue
		}
		h := control.Hash64(uint64(t.Customer)*0x9e3779b97f4a7c15^b.hash) >> 2
		if b.Zone == c.zone { // crossing zones has a price
			h |= 1 << 63
			if b.warmth < 1 && b.tokensLapse { // one send, and only now: it would be lost on a lower rank
				h |= 1 << 62
			}
		}
		if h >= highest {
			first, highest = b, h
		}
	}
	if first == nil {
		return least
	}
	return first
}

// pickLeastBad: when none is good, the least failing and loaded that the rules allow.
func (c *Controller) pickLeastBad(t *txn) (best *backend) {
	for _, b := range c.available {
		if c.allowed(b, t) && float64(b.inFlight+1) <= max(1, c.capacity) &&
			(best == nil || b.failureShare+float64(b.inFlight) < best.failureShare+float64(best.inFlight)) {
			best = b
		}
	}
	return best
}

// allowed keeps rules 2, 3 and 4 for every send.
func (c *Controller) allowed(b *backend, t *txn) bool {
	if b.State != control.Ready {
		return false
	}
	if t.mayHaveRun {
		p := c.products[t.Product]
		if !c.repeatable(t) || p.effect == "referenced" &&
			(p.repeatScope == "zone" && b.Zone != t.ranZone || p.repeatScope == "pod" && b.Pod != t.ranPod) {
			return false
		}
	}
	return b.warmth >= 1 || c.warmUpTokens(b) >= 1
}

// excludedFor tells whether a backend is passed over for a txn. A once-only txn can't go again after an error, so
// it keeps away while any product fails there, and leaves it to the others to find out.
func (c *Controller) excludedFor(b *backend, t *txn) bool {
	if c.products[t.Product].effect == "once-only" {
		for p, f := range b.failures {
			if control.ProductID(p) != t.Product && (f.excludedUntil > c.now || f.share > failureThreshold/2) {
				return true
			}
		}
	}
	return b.failures[t.Product].excludedUntil > c.now
}

// unresponsive tells that a backend owes answers for longer than such txns take. Now and then an inquiry-like txn
// tries it all the same: else one that owes too little to be set aside would never be heard again.
func (c *Controller) unresponsive(b *backend, t *txn) bool {
	if b.unanswered < 2 {
		return false
	}
	trial := c.now-b.sentAt > trialInterval && c.products[t.Product].effect == "inquiry-like"
	most := max(minUnresponsiveTime, time.Duration(unresponsiveFactor*float64(c.usualLatency(t))))
	return !trial && c.now-b.unansweredSince > most
}

// loadOf is what a backend holds, counted in usual txns of a warm backend.
func (c *Controller) loadOf(b *backend) float64 {
	others := b.inFlightElsewhere * max(0, 1-float64(c.now-b.loadReportedAt)/float64(loadReportTTL)) // an old report says ever less
	return (float64(b.inFlight) + others) * max(b.slowdown/c.medianSlowdown, 0.5) / b.warmth
}

func (c *Controller) slowStartShare(b *backend) float64 {
	if b.slowStartFrom == 0 || c.now-b.slowStartFrom > slowStart {
		return 1
	}
	return 0.2 + 0.8*float64(c.now-b.slowStartFrom)/float64(slowStart)
}

// warmUpTokens is the budget of sends to a cold backend: in each fall window, this gateway's own send rate to a
// warm backend times the cold one's capacity share. All gateways doing so stay under what a warm one bears.
func (c *Controller) warmUpTokens(b *backend) float64 {
	floor := warmUpBudgetShare / float64(c.gateways) / c.slowestLatency()
	rate := b.warmth * max(c.warmRate, floor) * c.fallMultiple * warmUpBudgetShare
	if b.warmUpTokensAt == 0 { // starts anywhere between two sends: many gateways together keep the rate at once
		b.warmUpTokens, b.warmUpTokensAt = c.rng.Float64(), c.now
	}
	b.warmUpTokens, b.warmUpTokensAt = b.warmUpTokens+rate*(c.now-b.warmUpTokensAt).Seconds(), c.now
	most := rate * c.fallWindow.Seconds() / 2
	if b.tokensLapse = most < 1; !b.tokensLapse {
		b.warmUpTokens = min(b.warmUpTokens, most)
	} else if b.warmUpTokens > 1+most { // not used in time: what hundreds of gateways save up could come at once
		b.warmUpTokens -= math.Floor(b.warmUpTokens - most)
	}
	return b.warmUpTokens
}
