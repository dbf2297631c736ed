package netfault

import (
	"math/rand/v2"
	"testing"
	"time"
)

const ms = time.Millisecond

func set() *Set { return New(rand.New(rand.NewPCG(1, 2))) }

// Each effect does what it says, to the links that it is on, and no more once it has ended.
func TestEffects(t *testing.T) {
	to1 := func(_, to int) bool { return to == 1 }
	for name, c := range map[string]struct {
		e    Effect
		want func(n, spoilt int, least, most time.Duration) bool
	}{
		"cut":     {Effect{Blocked: true}, func(n, _ int, _, _ time.Duration) bool { return n == 0 }},
		"loss":    {Effect{Loss: 0.3}, func(n, _ int, _, _ time.Duration) bool { return n > 600 && n < 800 }},
		"double":  {Effect{Duplicate: 0.3}, func(n, _ int, _, _ time.Duration) bool { return n > 1200 && n < 1400 }},
		"delay":   {Effect{Delay: 20 * ms}, func(n, _ int, l, m time.Duration) bool { return n == 1000 && l >= 10*ms && m <= 30*ms }},
		"reorder": {Effect{Reorder: 0.5, Delay: 20 * ms}, func(n, _ int, l, m time.Duration) bool { return n == 1000 && l == 0 && m > 10*ms }},
		"rate":    {Effect{Rate: 1000}, func(n, _ int, _, m time.Duration) bool { return n == 50 && m > 450*ms && m <= maxQueueDelay }},
		"spoil":   {Effect{Corrupt: 0.5}, func(n, s int, _, _ time.Duration) bool { return n == 1000 && s > 400 && s < 600 }},
	} {
		s := set()
		c.e.Matches = to1
		id := s.Begin(c.e)
		n, spoilt, least, most := 0, 0, time.Hour, time.Duration(0)
		for i := 0; i < 1000; i++ {
			for _, x := range s.Send(0, 0, 1, []byte("0123456789")) {
				n++
				if string(x.Payload) != "0123456789" {
					spoilt++
				}
				least, most = min(least, x.After), max(most, x.After)
			}
		}
		if !c.want(n, spoilt, least, most) {
			t.Errorf("%s: %d came, %d spoilt, %s to %s", name, n, spoilt, least, most)
		}
		if x := s.Send(0, 1, 2, []byte("a")); len(x) != 1 || x[0].After != 0 {
			t.Errorf("%s: hits another link", name)
		}
		if s.End(id); !s.Idle() || len(s.Send(time.Hour, 0, 1, []byte("a"))) != 1 {
			t.Errorf("%s: goes on after its end", name)
		}
	}
}

// What a cut holds comes after it, and what finds no room is counted.
func TestHold(t *testing.T) {
	s := set()
	id := s.Begin(Effect{Blocked: true, Delayed: true})
	for i := 0; i < maxDelayed+10; i++ {
		if s.Send(0, 0, 1, []byte{byte(i)}) != nil {
			t.Fatal("through a cut")
		}
	}
	if !s.Partitioned(0, 1) {
		t.Error("not apart")
	}
	if held := s.End(id); len(held) != maxDelayed || s.Overflowed != 10 || s.Partitioned(0, 1) {
		t.Errorf("%d held, %d over", len(held), s.Overflowed)
	}
	if s.End(id) != nil {
		t.Error("ended twice")
	}
}
