package rig

import (
	"context"
	"os"
	"testing"

	"go.uber.org/goleak"

	"clovergap/internal/history"
	"clovergap/internal/spec"
)

// Five front doors share a roll call by lease, while the holder stands still between check and write for longer than two
// leases, links are cut one way, datagrams come late, twice and from before the cut, front doors die and restart: no two
// hold it at once, the ledger refuses the stale step, no span is closed twice, and the task goes on.
func TestLeasesOnProcesses(t *testing.T) {
	defer goleak.VerifyNone(t)
	text, err := os.ReadFile("../../lab/leases.operator.toml")
	if err != nil {
		t.Fatal(err)
	}
	s := three(t, 11,
		spec.Fault{Kind: "stall-at", Point: "lease.before-act", At: sec(3), For: sec(1), Share: 1, Delay: sec(2)},
		spec.Fault{Kind: "peer-cut", Shape: "halves", Share: 0.4, Way: "in", Hold: true, At: sec(5.5), For: sec(1.5)},
		spec.Fault{Kind: "peer-double", Share: 0.5, At: sec(3), For: sec(6)},
		spec.Fault{Kind: "door-kill", Share: 0.2, At: sec(7.5), For: sec(0.2)},
		spec.Fault{Kind: "door-stall", Share: 0.4, At: sec(8), For: sec(1.2)})
	s.Doors.Count = 5
	o := options()
	o.Own, o.Operator = true, string(text)
	r, err := Play(context.Background(), s, o)
	if err != nil {
		t.Fatal(err)
	}
	for _, b := range r.Broken {
		t.Errorf("%s", b)
	}
	holders := map[string]bool{}
	for _, e := range r.History {
		if e.Kind == history.Holds {
			holders[e.Who] = true
		}
	}
	if len(holders) < 2 || r.Steps < 10 || r.Stale < 1 {
		t.Errorf("%d holders, %d steps, %d stale ones refused", len(holders), r.Steps, r.Stale)
	}
}
