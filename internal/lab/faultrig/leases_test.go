package faultrig

import (
	"context"
	"net/url"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"clovergap/internal/frontdoor/leasing"
	"clovergap/internal/history"
	"clovergap/internal/lab/spec"
	"clovergap/internal/lab/standin"
)

// Five front doors share a roll call by lease, while the holder stands still between check and write for longer than two
// leases, links are cut one way, datagrams come late, twice and from before the cut, front doors die and restart: no two
// hold it at once, the ledger refuses the stale step, no span is closed twice, and the task goes on.
func TestLeasesOnProcesses(t *testing.T) {
	defer goleak.VerifyNone(t)
	text, err := os.ReadFile("../../../lab/leases.operator.toml")
	if err != nil {
		t.Fatal(err)
	}
	s := three(t, 11,
		spec.Fault{Kind: "stall-at", Point: "lease.before-act", Waves: 4, At: sec(2.5), For: sec(1), Share: 1, Delay: sec(4)},
		spec.Fault{Kind: "peer-cut", Shape: "halves", Share: 0.4, Way: "in", Hold: true, At: sec(5.5), For: sec(1.5)},
		spec.Fault{Kind: "peer-double", Share: 0.5, At: sec(3), For: sec(6)},
		spec.Fault{Kind: "node-kill", Share: 0.2, At: sec(7.5), For: sec(0.2)},
		spec.Fault{Kind: "node-stall", Share: 0.4, At: sec(8), For: sec(1.2)})
	s.Nodes.Count = 5
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
		if e.Kind == history.LeaseGranted {
			holders[e.Who] = true
		}
	}
	if len(holders) < 2 || r.Steps < 10 || r.Stale < 1 {
		t.Errorf("%d holders, %d steps, %d stale ones refused", len(holders), r.Steps, r.Stale)
	}
}

// A roll of five front doors that each wait for their turn: never more than two are down at once, nor two of one zone, and
// all have their turn.
func TestTurnsOnProcesses(t *testing.T) {
	defer goleak.VerifyNone(t)
	s := three(t, 5)
	s.Nodes.Count = 5
	log := history.InMemory(1 << 18)
	f, err := standin.With(s, standin.Options{Program: built, Cores: 1, MemoryMB: 192, Sockets: 1024, History: log,
		Operator: "[leases]\non = true\nlength = \"2s\"\nmargin = \"50ms\"\nretry = \"100ms\"\nturns = 2\nturns_hall = 1\nsocket = \"{dir}/{name}.sock\"\n"})
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	var wg sync.WaitGroup
	for _, d := range f.Nodes {
		wg.Add(1)
		go func() {
			defer wg.Done()
			if text, wrong := leasing.Call(context.Background(), filepath.Join(f.Dir(), d.Name+".sock"), "POST", "/turn/wait", url.Values{"for": {"60s"}}); wrong != nil {
				t.Errorf("%s: %v %s", d.Name, wrong, text)
				return
			}
			d.Term(5 * time.Second)
			if wrong := d.Again(); wrong != nil {
				t.Error(wrong)
			}
		}()
	}
	wg.Wait()
	down, most, restarts := map[string]bool{}, 0, 0
	for _, e := range log.Events() {
		switch e.Kind {
		case history.Down:
			down[e.Who] = true
			restarts++
		case history.Up:
			delete(down, e.Who)
		}
		zones := map[string]int{}
		for _, d := range f.Nodes {
			if down[d.Name] {
				if zones[d.Zone]++; zones[d.Zone] > 1 {
					t.Errorf("two of zone %s are down: %v", d.Zone, down)
				}
			}
		}
		most = max(most, len(down))
	}
	if restarts != 5 || most > 2 {
		t.Errorf("%d restarts, %d down at once", restarts, most)
	}
	text, err := leasing.Call(context.Background(), filepath.Join(f.Dir(), "n0.sock"), "GET", "/leases", nil)
	if err != nil || !strings.Contains(text, `"front_door":"n0"`) {
		t.Errorf("%v %s", err, text)
	}
	if _, err := leasing.Call(context.Background(), filepath.Join(f.Dir(), "n0.sock"), "POST", "/turn/wait", url.Values{"for": {"soon"}}); err == nil {
		t.Error("a wait for \"soon\"")
	}
}
