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
	On      func(from, to int) bool // nil: to all
	Cut     bool                    // nothing gets through
	Hold    bool                    // and comes when the cut is over
	Loss    float64                 // share lost
	Double  float64                 // share that comes twice
	Reorder float64                 // share that is overtaken: later by up to Delay
	Spoil   float64                 // share with some bytes changed, or cut short
	Delay   time.Duration           // of all, by a half to three halves, unless it only reorders
	Rate    float64                 // bytes a second on each link
}

// Copy is a datagram that gets through, after a while.
type Copy struct {
	From, To int
	After    time.Duration
	Payload  []byte
}

// heldMost datagrams wait for the end of a cut; what comes beyond is lost and counted.
const heldMost = 4096

// rateWait is how long a link's queue may be: what would wait longer is lost.
const rateWait = 500 * time.Millisecond

type way struct{ from, to int }

// brought is an effect under way.
type brought struct {
	id   int
	e    Effect
	held []Copy
}

// Set is the effects under way.
type Set struct {
	rng  *rand.Rand
	now  []*brought
	next int
	free map[way]time.Duration // of a slow link: when it is free again
	Over uint64                // datagrams that were to be held and found no room
}

// New makes a set that draws from a source.
func New(rng *rand.Rand) *Set { return &Set{rng: rng, free: map[way]time.Duration{}} }

// Bring begins an effect, End ends it by its number and gives what it held back.
func (s *Set) Bring(e Effect) int {
	s.next++
	s.now = append(s.now, &brought{id: s.next, e: e})
	return s.next
}

// End gives what was held during the effect: it comes now, after its time.
func (s *Set) End(id int) []Copy {
	for i, b := range s.now {
		if b.id == id {
			s.now = append(s.now[:i:i], s.now[i+1:]...)
			return b.held
		}
	}
	return nil
}

// Calm tells that nothing is under way.
func (s *Set) Calm() bool { return len(s.now) == 0 }

// Apart tells whether a cut parts two front doors in this direction.
func (s *Set) Apart(from, to int) bool {
	for _, b := range s.now {
		if b.e.Cut && (b.e.On == nil || b.e.On(from, to)) {
			return true
		}
	}
	return false
}

// Send gives what arrives of a datagram, and after how long: nothing, it, or it and copies. The payload is taken.
func (s *Set) Send(now time.Duration, from, to int, payload []byte) []Copy {
	c := Copy{From: from, To: to, Payload: payload}
	twice := false
	for _, b := range s.now {
		if b.e.On != nil && !b.e.On(from, to) {
			continue
		}
		if b.e.Cut {
			if !b.e.Hold {
				return nil
			}
			if len(b.held) >= heldMost {
				s.Over++
				return nil
			}
			c.After = time.Duration(s.rng.Float64() * float64(20*time.Millisecond)) // after the heal, in no order
			b.held = append(b.held, c)
			return nil
		}
		if b.e.Loss > 0 && s.rng.Float64() < b.e.Loss {
			return nil
		}
		if b.e.Reorder > 0 {
			if s.rng.Float64() < b.e.Reorder {
				c.After += time.Duration(s.rng.Float64() * float64(b.e.Delay))
			}
		} else if b.e.Delay > 0 {
			c.After += time.Duration((0.5 + s.rng.Float64()) * float64(b.e.Delay))
		}
		if b.e.Rate > 0 {
			w := way{from, to}
			s.free[w] = max(s.free[w], now) + time.Duration(float64(len(payload))/b.e.Rate*1e9)
			if s.free[w]-now > rateWait {
				s.free[w] -= time.Duration(float64(len(payload)) / b.e.Rate * 1e9)
				return nil
			}
			c.After += s.free[w] - now
		}
		twice = twice || b.e.Double > 0 && s.rng.Float64() < b.e.Double
		if b.e.Spoil > 0 && len(payload) > 0 && s.rng.Float64() < b.e.Spoil {
			c.Payload = s.spoil(c.Payload)
		}
	}
	out := []Copy{c}
	if twice {
		c.After += time.Duration(s.rng.Float64() * float64(50*time.Millisecond))
		out = append(out, c)
	}
	return out
}

func (s *Set) spoil(b []byte) []byte {
	b = append([]byte(nil), b...)
	if s.rng.IntN(3) == 0 {
		return b[:s.rng.IntN(len(b))]
	}
	for i := 1 + s.rng.IntN(4); i > 0; i-- {
		b[s.rng.IntN(len(b))] ^= byte(1 + s.rng.IntN(255))
	}
	return b
}

// Of gives what a fault does to the datagrams between front doors, if it does anything.
func Of(f *spec.Fault, n int, zone func(int) string, rng *rand.Rand) (e Effect, ok bool) {
	switch f.Effect() {
	case spec.CutPeers:
		e = Effect{Cut: true, Hold: f.Hold, On: f.Pairs(n, zone, rng)}
	case spec.LosePeers:
		e = Effect{Loss: f.Share}
	case spec.DelayPeers:
		e = Effect{Delay: f.Delay.D()}
	case spec.RepeatPeers:
		e = Effect{Double: f.Share}
	case spec.ReorderPeers:
		e = Effect{Reorder: f.Share, Delay: f.Delay.D()}
	case spec.LimitPeers:
		e = Effect{Rate: f.By}
	case spec.SpoilPeers:
		e = Effect{Spoil: f.Share}
	default:
		return e, false
	}
	return e, true
}
