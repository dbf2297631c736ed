package leasecheck

import (
	"testing"
	"time"

	"clovergap/internal/frontdoor/lease"
)

func sound(t *testing.T, name string, r Result, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%s: %s", name, r)
	if r.Violation != "" {
		t.Errorf("%s: %s", name, r)
	}
	if r.Granted == 0 {
		t.Errorf("%s: nobody ever held anything", name)
	}
}

// No two hold one permit, and numbers rise, whatever is lost, doubled, late, restarted or uneven: all states of a small
// world up to a bound, breadth first.
func TestExplore(t *testing.T) {
	m := Small()
	r, err := Explore(m, 60000)
	sound(t, "three voters, two wishers", r, err)
}

// The same on many long random ways, in larger worlds.
func TestWalks(t *testing.T) {
	walks := 800
	for name, m := range Models() {
		r, err := Walk(m, 1, walks, 150)
		sound(t, name, r, err)
	}
}

// Voters of a permit are the same at every front door, spread evenly, and change little with the fleet.
func TestVoters(t *testing.T) {
	load, moved := make([]int, 100), 0
	for i := 0; i < 400; i++ {
		task := lease.Task([]byte{'t', byte(i), byte(i >> 8)})
		a, b := lease.Voters(lease.Fleet{Generation: 1, Members: 100}, 5, task, 0), lease.Voters(lease.Fleet{Generation: 2, Members: 99}, 5, task, 0)
		same := 0
		for _, n := range a {
			load[n]++
			for _, o := range b {
				if n == o {
					same++
				}
			}
		}
		moved += 5 - same
	}
	for n, x := range load {
		if x < 4 || x > 45 {
			t.Errorf("front door %d votes for %d of 400 permits, 20 are even", n, x)
		}
	}
	if moved > 60 {
		t.Errorf("%d of 2,000 voters changed when one of a hundred left", moved)
	}
}

// Sixty front doors under random overlapping faults: no two hold a permit, and with the fleet at rest every task has a holder.
func TestFleet(t *testing.T) {
	var after []time.Duration
	grants := 0
	for seed := uint64(1); seed <= 12; seed++ {
		r, err := DefaultFleet(60).Play(seed)
		if err != nil {
			t.Fatal(err)
		}
		for _, b := range r.Violations {
			t.Errorf("seed %d: %s", seed, b)
		}
		if r.Idle > 2*time.Second {
			t.Errorf("seed %d: a task had no holder for %s with the fleet at rest", seed, r.Idle)
		}
		after, grants = append(after, r.FailoverTimes...), grants+r.Grants
	}
	t.Logf("%d grants; %d holders lost, their tasks went on after %s (median), %s (99 %%)", grants, len(after), Quantile(after, 0.5), Quantile(after, 0.99))
	if grants < 50 || len(after) == 0 {
		t.Errorf("%d grants, %d holders lost: nothing is shown", grants, len(after))
	}
}

// Ways that once led to two holders: a promise that still covered an act, begun just before its end, was given back, once
// because its holder asked anew and was refused, and once by a vote that came late.
func TestFoundBefore(t *testing.T) {
	for name, seed := range map[string]uint64{"clocks": 5, "drops": 3, "restarts": 3, "a wisher without time": 2} {
		r, err := Walk(Models()[name], seed, 500, 150)
		sound(t, name, r, err)
	}
}
