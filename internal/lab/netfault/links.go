// Package netfault decides what becomes of a datagram between two front doors while faults are under way: it is free of
// I/O, so that the emulator and the relay before real processes play the same faults.
package netfault

import (
	"math/rand/v2"
	"time"

	"clovergap/internal/lab/spec"
)

// Effect is what a fault does to the datagrams from one front door to another.
type Effect struct {
	Matches   func(from, to int) bool // nil: to all
	Blocked   bool                    // nothing gets through
	Delayed   bool                    // and comes when the cut is over
	Loss      float64                 // share lost
	Duplicate float64                 // share that comes twice
	Reorder   float64                 // share that is overtaken: later by up to Delay
	Corrupt   float64                 // share with some bytes changed, or cut short
	Delay     time.Duration           // of all, by a half to three halves, unless it only reorders
	Rate      float64                 // bytes a second on each link
}

// Copy is a datagram that gets through, after a while.
type Copy struct {
	Source, Target int
	After          time.Duration
	Payload        []byte
}

// maxDelayed datagrams wait for the end of a cut; what comes beyond is lost and counted.
const maxDelayed = 4096

// maxQueueDelay is how long a link's queue may be: what would wait longer is lost.
const maxQueueDelay = 500 * time.Millisecond

type direction struct{ source, target int }

// activeEffect is an effect under way.
type activeEffect struct {
	id      int
	effect  Effect
	delayed []Copy
}

// Set is the effects under way.
type Set struct {
	rng        *rand.Rand
	active     []*activeEffect
	next       int
	free       map[direction]time.Duration // of a slow link: when it is free again
	Overflowed uint64                      // datagrams that were to be held and found no room
}

// New makes a set that draws from a source.
func New(rng *rand.Rand) *Set { return &Set{rng: rng, free: map[direction]time.Duration{}} }

// Begin begins an effect, End ends it by its number and gives what it held back.
func (s *Set) Begin(e Effect) int {
	s.next++
	s.active = append(s.active, &activeEffect{id: s.next, effect: e})
	return s.next
}

// End gives what was held during the effect: it comes now, after its time.
func (s *Set) End(id int) []Copy {
	for i, b := range s.active {
		if b.id == id {
			s.active = append(s.active[:i:i], s.active[i+1:]...)
			return b.delayed
		}
	}
	return nil
}

// Idle tells that nothing is under way.
func (s *Set) Idle() bool { return len(s.active) == 0 }

// Partitioned tells whether a cut parts two front doors in this direction.
func (s *Set) Partitioned(from, to int) bool {
	for _, b := range s.active {
		if b.effect.Blocked && (b.effect.Matches == nil || b.effect.Matches(from, to)) {
			return true
		}
	}
	return false
}

// Send gives what arrives of a datagram, and after how long: nothing, it, or it and copies. The payload is taken.
func (s *Set) Send(now time.Duration, from, to int, payload []byte) []Copy {
	c := Copy{Source: from, Target: to, Payload: payload}
	twice := false
	for _, b := range s.active {
		if b.effect.Matches != nil && !b.effect.Matches(from, to) {
			continue
		}
		if b.effect.Blocked {
			if !b.effect.Delayed {
				return nil
			}
			if len(b.delayed) >= maxDelayed {
				s.Overflowed++
				return nil
			}
			c.After = time.Duration(s.rng.Float64() * float64(20*time.Millisecond)) // after the heal, in no order
			b.delayed = append(b.delayed, c)
			return nil
		}
		if b.effect.Loss > 0 && s.rng.Float64() < b.effect.Loss {
			return nil
		}
		if b.effect.Reorder > 0 {
			if s.rng.Float64() < b.effect.Reorder {
				c.After += time.Duration(s.rng.Float64() * float64(b.effect.Delay))
			}
		} else if b.effect.Delay > 0 {
			c.After += time.Duration((0.5 + s.rng.Float64()) * float64(b.effect.Delay))
		}
		if b.effect.Rate > 0 {
			w := direction{from, to}
			s.free[w] = max(s.free[w], now) + time.Duration(float64(len(payload))/b.effect.Rate*1e9)
			if s.free[w]-now > maxQueueDelay {
				s.free[w] -= time.Duration(float64(len(payload)) / b.effect.Rate * 1e9)
				return nil
			}
			c.After += s.free[w] - now
		}
		twice = twice || b.effect.Duplicate > 0 && s.rng.Float64() < b.effect.Duplicate
		if b.effect.Corrupt > 0 && len(payload) > 0 && s.rng.Float64() < b.effect.Corrupt {
			c.Payload = s.corrupt(c.Payload)
		}
	}
	out := []Copy{c}
	if twice {
		c.After += time.Duration(s.rng.Float64() * float64(50*time.Millisecond))
		out = append(out, c)
	}
	return out
}

func (s *Set) corrupt(b []byte) []byte {
	b = append([]byte(nil), b...)
	if s.rng.IntN(3) == 0 {
		return b[:s.rng.IntN(len(b))]
	}
	for i := 1 + s.rng.IntN(4); i > 0; i-- {
		b[s.rng.IntN(len(b))] ^= byte(1 + s.rng.IntN(255))
	}
	return b
}

// EffectOf gives what a fault does to the datagrams between front doors, if it does anything.
func EffectOf(f *spec.Fault, n int, zone func(int) string, rng *rand.Rand) (e Effect, ok bool) {
	switch f.Effect() {
	case spec.PartitionPeers:
		e = Effect{Blocked: true, Delayed: f.Hold, Matches: f.Pairs(n, zone, rng)}
	case spec.LosePeers:
		e = Effect{Loss: f.Share}
	case spec.DelayPeers:
		e = Effect{Delay: f.Delay.D()}
	case spec.RepeatPeers:
		e = Effect{Duplicate: f.Share}
	case spec.ReorderPeers:
		e = Effect{Reorder: f.Share, Delay: f.Delay.D()}
	case spec.LimitPeers:
		e = Effect{Rate: f.By}
	case spec.SpoilPeers:
		e = Effect{Corrupt: f.Share}
	default:
		return e, false
	}
	return e, true
}
