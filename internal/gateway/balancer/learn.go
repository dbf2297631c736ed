// What the balancer learns of a backend from what becomes of requests: answer times, load, failures.

package balancer

import (
	"time"

	"clovergap/control"
	"clovergap/internal/proxy/invariant"
)

// ---- What happens

// Sent is told when a request went to a backend.
func (c *Balancer) Sent(now time.Duration, id control.BackendID, w Want) {
	b := c.all[id]
	invariant.That(b != nil && b.State == control.Ready, "only a ready backend gets a request")
	if b == nil {
		return
	}
	side, stride := c.side(b.Zone), c.stride(now, b, w)
	b.pass = max(b.pass, c.turn[side]-2*stride)
	c.turn[side] = max(c.turn[side], b.pass)
	b.pass += stride
	if b.owed == 0 {
		b.oweSince, b.expect = now, 0
	}
	if u, ok := c.Usual(w.Kind); ok {
		b.expect = max(b.expect, u)
	}
	if b.owed == 1 {
		b.oweNext = now
	}
	b.sentAt = now
	c.paced(now)
	b.owed++
	b.out++
	c.out++
}

// End is how a request ended at a backend.
type End struct {
	Ending control.Ending
	Kind   control.ProductID
	Took   time.Duration
	Aim    time.Duration // an answer later than this loses half of its worth
	Own    bool          // how long it took is this node's own doing
	Left   bool          // its client had left: if it was called off, then for that
}

// Ended takes the one end of a request that was sent.
func (c *Balancer) Ended(now time.Duration, id control.BackendID, e End) {
	b := c.all[id]
	invariant.That(b != nil && b.out > 0, "what ends at a backend was sent there")
	if b == nil || b.out == 0 {
		return
	}
	dead := c.Dead(now, id)
	b.out--
	c.out--
	if b.State == control.Gone && b.out == 0 {
		delete(c.all, id)
	}
	switch e.Ending {
	case control.Settled, control.Errored, control.Full:
		b.owed, b.oweSince, b.oweNext, c.heard = b.out, now, now, now
	default:
		if b.out == 0 {
			b.owed = 0
		}
	}
	bad := 0.0
	switch e.Ending {
	case control.CalledOff:
		// Where clients leave early nothing runs into its time any more: one that was silent for long when its client left has
		// failed all the same.
		silent := e.Left && !e.Own && e.Took > max(silenceLeast, b.usually(silenceTimes))
		if !dead && !silent {
			return
		}
		bad = 1
	case control.NotSent:
		b.fullUntil = max(b.fullUntil, now+notSentPause)
		return
	case control.Full:
		c.shed(now, b)
		return
	case control.Settled:
		b.fulls = 0
		c.sheds -= wideStep * c.sheds
		c.settled(now, b, e)
	case control.TimedOut:
		if e.Own {
			return
		}
		c.hurt(now, b, lateCost)
		bad = 1
	default:
		bad = 1
	}
	c.judge(now, b, bad, e.Ending)
}

// shed: a backend turned one away. It is left alone, twice as long each time in a row. It says nothing of the
// others, unless many are turned away.
func (c *Balancer) shed(now time.Duration, b *backend) {
	pause := fullFirst << min(b.fulls, fullTimes)
	b.fullUntil = now + time.Duration(float64(pause)*(0.75+c.rng.Float64()/2))
	b.fulls++
	c.sheds += wideStep * (1 - c.sheds)
	if c.sheds > shedShare {
		c.room *= 1 - shedDown
		c.bound()
	}
	c.pressed = now
	c.hurt(now, b, lateCost/2)
}

// settled learns from an answer's time.
func (c *Balancer) settled(now time.Duration, b *backend, e End) {
	if e.Own {
		return
	}
	took := max(e.Took.Seconds(), 0.0005)
	usual, ok := c.usual[e.Kind]
	if !ok {
		usual = took
	}
	took = min(took, longTimes*usual)
	c.usual[e.Kind] = usual + usualStep*(took-usual)
	b.answers++
	b.speed += max(speedStep, 1/float64(b.answers+4)) * (took/usual - b.speed)
	late := e.Aim > 0 && float64(e.Took) > lateFrom*float64(e.Aim)
	pain := 0.0
	if late {
		pain = lateCost
	}
	c.hurt(now, b, pain)
	used := float64(c.out+1) >= useLeast*c.room || now-c.pressed < 300*ms
	switch {
	case !late && used:
		c.room += roomUp * (c.room + 1)
	case late && used && now >= b.Cold && b.speed < crowdHigh:
		c.room *= 1 - roomDown
	}
	c.bound()
}

func (c *Balancer) hurt(now time.Duration, b *backend, pain float64) {
	side := c.side(b.Zone)
	if side == 1 {
		c.painAt = now
	}
	c.pain[side] += painStep * (pain - c.pain[side])
}

// judge sets a failing backend aside for a while. Where all fail alike, no backend is at fault.
func (c *Balancer) judge(now time.Duration, b *backend, fail float64, how control.Ending) {
	b.ends++
	b.fails += max(failStep, 1/float64(b.ends+1)) * (fail - b.fails)
	c.lost += wideStep * (fail - c.lost)
	if fail == 0 {
		if b.suspect {
			b.suspect, b.rampFrom, b.fails = false, now, min(b.fails, failShare/2)
		} else if b.fails < careShare/2 {
			b.pause = 0
		}
		return
	}
	// What takes no connection is left at once. A request out from before the pause says nothing new.
	if b.until > now || how != control.Unreachable && !b.suspect &&
		(b.fails < failShare || b.fails < failOdd*c.lost) {
		return
	}
	b.pause = min(max(asideFirst, 2*b.pause), asideLast)
	b.until = now + time.Duration(float64(b.pause)*(0.8+0.4*c.rng.Float64()))
	b.suspect = true
}

// Stood is told that this node stood still until now. Silence and time-outs of that time are of its own making.
func (c *Balancer) Stood(now time.Duration) {
	for _, b := range c.list {
		b.oweSince, b.oweNext = now, now
	}
	c.heard = now
}
