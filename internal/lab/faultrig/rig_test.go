package faultrig

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"go.uber.org/goleak"

	"clovergap/internal/history"
	"clovergap/internal/lab/spec"
)

var built string // a debug build of the front door: what must hold is asserted in it, and it has the named points

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "clovergap-rig-")
	if err != nil {
		panic(err)
	}
	built = filepath.Join(dir, "clovergap")
	if out, err := exec.Command("go", "build", "-tags", "debug", "-o", built, "clovergap/cmd/clovergap").CombinedOutput(); err != nil {
		fmt.Printf("%v: %s", err, out)
		os.Exit(1)
	}
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

// children lists the processes that this one has started and that are still there, but for its own tools.
func children(t *testing.T) (all []int) {
	t.Helper()
	stats, _ := filepath.Glob("/proc/[0-9]*/stat")
	for _, name := range stats {
		b, err := os.ReadFile(name)
		if err != nil {
			continue
		}
		text := string(b)
		var state string
		var parent int
		if i := strings.LastIndexByte(text, ')'); i > 0 {
			fmt.Sscan(text[i+1:], &state, &parent)
		}
		if parent == os.Getpid() {
			var pid int
			fmt.Sscan(text, &pid)
			all = append(all, pid)
		}
	}
	return all
}

func sec(s float64) spec.Span { return spec.Span(s * 1e9) }

// three is a small fleet with products of all effects and scopes.
func three(t *testing.T, seconds float64, faults ...spec.Fault) *spec.Spec {
	t.Helper()
	s, err := spec.Load("../../../lab/chaos.toml")
	if err != nil {
		t.Fatal(err)
	}
	s.Name, s.Nodes.Count, s.Backends.Count, s.For, s.Faults = "ci", 3, 4, sec(seconds), faults
	for i := range s.Products { // a busy machine is to lose no txn for its own slowness
		s.Products[i].Work, s.Products[i].SLA, s.Products[i].Expiry = sec(0.004), sec(1), sec(2)
	}
	return s
}

func options() Options {
	return Options{Program: built, Rate: 60, Cores: 1, MemoryMB: 192, Sockets: 1024}
}

// Three front doors, ten kinds of faults that overlap: all rules are kept, each fault is seen to have struck, and no
// process and no goroutine is left.
func TestFaultsOnProcesses(t *testing.T) {
	defer goleak.VerifyNone(t)
	s := three(t, 9,
		spec.Fault{Kind: "node-stall", At: sec(0.5), For: sec(0.8), Share: 0.3},
		spec.Fault{Kind: "peer-cut", Shape: "halves", Share: 0.34, Way: "in", Hold: true, At: sec(0.5), For: sec(2)},
		spec.Fault{Kind: "node-kill", At: sec(1), For: sec(0.5), Share: 0.3},
		spec.Fault{Kind: "link-cut", Link: "backends", At: sec(2), For: sec(1), Share: 0.3},
		spec.Fault{Kind: "stall-at", Point: "gate.before-submit", At: sec(2.5), For: sec(2), Share: 1, Delay: sec(0.3)},
		spec.Fault{Kind: "lost-answers", At: sec(3), For: sec(3), Share: 0.2},
		spec.Fault{Kind: "release", At: sec(3), For: sec(2), Share: 0.5, Waves: 2},
		spec.Fault{Kind: "resets", At: sec(4), For: sec(2), Share: 0.2},
		spec.Fault{Kind: "node-config", At: sec(5), For: sec(0.5), Share: 0.6},
		spec.Fault{Kind: "node-term", At: sec(6), For: sec(1), Share: 0.3},
		spec.Fault{Kind: "counter-down", At: sec(1), For: sec(1)})
	o := options()
	o.Own = true
	r, err := Play(context.Background(), s, o)
	if err != nil {
		t.Fatal(err)
	}
	for _, b := range r.Broken {
		t.Errorf("%s", b)
	}
	seen := map[string]int{}
	for _, e := range r.History {
		seen[string(e.Kind)]++
		switch e.Kind {
		case history.FaultBegan, history.Paused:
			seen[e.What]++
		case history.Down:
			seen["down "+e.What]++
		}
	}
	for _, f := range s.Faults {
		if seen[f.Kind] == 0 && f.Kind != "stall-at" {
			t.Errorf("%s never struck", f.Kind)
		}
	}
	if seen["gate.before-submit"] == 0 || seen["down "] == 0 || seen["down in order"] == 0 || seen["final"] == 0 || seen["up"] < 5 || seen["heal"] != len(s.Faults) {
		t.Errorf("not all was seen: %v", seen)
	}
	if r.Settled < r.Asked/2 {
		t.Errorf("%d of %d settled", r.Settled, r.Asked)
	}
	if left := children(t); len(left) > 0 {
		t.Errorf("processes left: %v", left)
	}
}

// A run that is stopped in its midst, with a front door standing still and another in its start, leaves nothing behind.
func TestStoppedRunLeavesNothing(t *testing.T) {
	defer goleak.VerifyNone(t)
	ctx, cancel := context.WithTimeout(context.Background(), 1500*time.Millisecond)
	defer cancel()
	_, err := Play(ctx, three(t, 60, spec.Fault{Kind: "node-stall", At: sec(0.1), For: sec(50), Share: 0.3},
		spec.Fault{Kind: "node-kill", At: sec(0.2), For: sec(0.1), Share: 1}, spec.Fault{Kind: "node-kill", At: sec(0.31), For: sec(0.1), Share: 1},
		spec.Fault{Kind: "node-slow", At: sec(0.1), For: sec(50), Share: 1, By: 0.3}), options())
	if err == nil {
		t.Error("a stopped run gave no error")
	}
	if left := children(t); len(left) > 0 {
		t.Errorf("processes left: %v", left)
	}
}

// A front door that loses txns is found: the rig's verdict does not rest on the front door's word.
func TestRigFindsWhatIsLost(t *testing.T) {
	s := three(t, 3)
	go func() { // behind the rig's back one stands still for good
		time.Sleep(1500 * time.Millisecond)
		if all := children(t); len(all) > 0 {
			syscall.Kill(all[0], syscall.SIGSTOP)
		}
	}()
	r, err := Play(context.Background(), s, options())
	if err != nil {
		t.Fatal(err)
	}
	found := 0
	for _, b := range append(r.Broken, r.Doubted...) {
		if b.Rule == "one final answer" {
			found++
		}
	}
	if found == 0 {
		t.Errorf("%d asked, %d settled, and nothing found", r.Asked, r.Settled)
	}
}

// Shrinking finds the faults that matter, whatever stands beside them, and gives up in time.
func TestShrink(t *testing.T) {
	s := &spec.Spec{}
	for i := 0; i < 9; i++ {
		s.Faults = append(s.Faults, spec.Fault{Kind: fmt.Sprint(i)})
	}
	plays := 0
	needs := func(kinds ...string) func(*spec.Spec) (bool, error) {
		return func(c *spec.Spec) (bool, error) {
			plays++
			n := 0
			for _, f := range c.Faults {
				for _, k := range kinds {
					if f.Kind == k {
						n++
					}
				}
			}
			return n == len(kinds) && plays%2 == 0, nil // fails every second time only
		}
	}
	for _, kinds := range [][]string{{"4"}, {"0", "8"}, {"2", "3", "7"}} {
		plays = 0
		least, err := Shrink(context.Background(), s, 3, needs(kinds...), func(int, int) {})
		got := ""
		for _, f := range least.Faults {
			got += f.Kind
		}
		if err != nil || got != strings.Join(kinds, "") || plays > 120 {
			t.Errorf("%v: %q in %d plays, %v", kinds, got, plays, err)
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if least, err := Shrink(ctx, s, 3, needs("1"), func(int, int) {}); err == nil || len(least.Faults) != 9 {
		t.Errorf("stopped: %v", err)
	}
}

// A schedule that is kept comes back as it was.
func TestKeep(t *testing.T) {
	dir := t.TempDir()
	s := three(t, 30)
	s = s.Drawn(1, 8, false)
	if err := Keep(dir, s, &Result{Broken: []history.Violation{{Rule: "r", What: "two\nlines"}}, History: []history.Event{{Time: 5, Who: "n0", Kind: history.Up}}}); err != nil {
		t.Fatal(err)
	}
	again, err := spec.Load(filepath.Join(dir, "ci-1.toml"))
	if err != nil || fmt.Sprint(again) != fmt.Sprint(s) {
		t.Errorf("%v\n%v\n%v", err, again, s)
	}
	if h, _, err := history.ReadFile(filepath.Join(dir, "ci-1.jsonl")); err != nil || len(h) != 1 {
		t.Errorf("%v %v", h, err)
	}
}
