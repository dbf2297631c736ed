package experiments

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"clovergap/internal/lab/emulator"
)

func files(t *testing.T, grid string) (sweep, out string) {
	t.Helper()
	dir := t.TempDir()
	write := func(name, text string) string {
		p := filepath.Join(dir, name)
		if err := os.WriteFile(p, []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
		return p
	}
	write("base.toml", "name = \"tiny\"\nfor = \"2s\"\n[nodes]\ncount = 3\n[backends]\ncount = 4\n")
	return write("sweep.toml", "base = \"base.toml\"\nseeds = 3\n[grid]\n"+grid), filepath.Join(dir, "out.jsonl")
}

// A sweep that is stopped, even in the middle of a line, goes on with the same call and plays nothing twice.
func TestInterruptedSweepGoesOn(t *testing.T) {
	file, out := files(t, "\"clients.load\" = [0.3, 0.9]\n\"peers.loss\" = [0.0, 0.3]\n")
	s, err := LoadSweep(file)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	n := 0
	err = s.Run(ctx, out, func(int, int, *emulator.Result) {
		if n++; n == 2 {
			cancel()
		}
	})
	if err == nil || !strings.Contains(err.Error(), "goes on from there") {
		t.Fatalf("stopped: %v", err)
	}
	f, _ := os.OpenFile(out, os.O_WRONLY|os.O_APPEND, 0)
	f.WriteString(`{"name":"tiny","seed":`) // a crash in the middle of a line
	f.Close()
	before, cut, err := Read(out)
	if err != nil || !cut || len(before) < 2 {
		t.Fatalf("%d results, cut %v: %v", len(before), cut, err)
	}
	played := 0
	if err = s.Run(context.Background(), out, func(int, int, *emulator.Result) { played++ }); err != nil {
		t.Fatal(err)
	}
	all, cut, err := Read(out)
	if err != nil || cut || len(all) != 12 || played != 12-len(before) {
		t.Fatalf("%d results, %d played after %d, cut %v: %v", len(all), played, len(before), cut, err)
	}
	seen := map[string]bool{}
	for _, r := range all {
		if seen[key(r)] {
			t.Errorf("%s twice", key(r))
		}
		seen[key(r)] = true
	}
	var b bytes.Buffer
	if Table(&b, all); strings.Count(b.String(), "\n") != 13 {
		t.Errorf("table of %d lines", strings.Count(b.String(), "\n"))
	}
}

func TestSweepNamesWhatIsWrong(t *testing.T) {
	for grid, want := range map[string]string{
		"\"clients.laod\" = [1.0]\n":    "unknown key clients.laod",
		"\"nodes.count\" = [0]\n":       "nodes.count: must be 1 to 1000",
		"\"clients.load\" = [\"no\"]\n": "base.toml",
	} {
		file, out := files(t, grid)
		s, err := LoadSweep(file)
		if err == nil {
			err = s.Run(context.Background(), out, nil)
		}
		if err == nil || !strings.Contains(err.Error(), want) || !strings.Contains(err.Error(), "sweep.toml") {
			t.Errorf("%q: %v", grid, err)
		}
	}
}

// The kept grids read well, point by point.
func TestKeptSweeps(t *testing.T) {
	kept, _ := filepath.Glob("../../../lab/*-sweep.toml")
	if len(kept) < 2 {
		t.Fatal("no sweeps found")
	}
	for _, f := range kept {
		s, err := LoadSweep(f)
		if err != nil {
			t.Error(err)
			continue
		}
		if jobs, err := s.Jobs(); err != nil || len(jobs) < s.Seeds {
			t.Errorf("%s: %d jobs, %v", f, len(jobs), err)
		}
	}
}

func set(scores ...float64) (all []*emulator.Result) {
	for i, s := range scores {
		all = append(all, &emulator.Result{Name: "x", Seed: uint64(i), Score: s})
	}
	return all
}

func TestCompare(t *testing.T) {
	a := set(0.80, 0.82, 0.90, 0.70)
	c, err := Compare(a, set(0.75, 0.78, 0.85, 0.66), "score")
	if err != nil || !c.Worse(0.01) || c.Worse(0.2) || c.Pairs != 4 || c.Diff > -0.04 || c.High > -0.03 {
		t.Errorf("clearly worse: %v %v", c, err)
	}
	if c, _ = Compare(a, set(0.9, 0.6, 0.95, 0.68), "score"); c.Worse(0.01) {
		t.Errorf("unsure: %v", c)
	}
	b := set(0.9, 0.9, 0.95, 0.8)
	b[2].RulesBroken = 1
	if c, _ = Compare(a, b, "score"); !c.Worse(0.01) {
		t.Errorf("breaks a rule: %v", c)
	}
	if _, err = Compare(a, set(), "score"); err == nil {
		t.Error("nothing to pair")
	}
	if _, err = Compare(a, b, "luck"); err == nil || !strings.Contains(err.Error(), "place, score, service, worst") {
		t.Error(err)
	}
}

// The page holds all it shows.
func TestReport(t *testing.T) {
	r := &emulator.Result{Name: "x <b>", Seed: 3, Service: 0.9, Reasons: map[string]int{"view": 4}, RulesBroken: 1,
		Broken: []emulator.Violation{{Rule: emulator.RuleDrain, Txn: 7, Node: 2, What: "sent late"}},
		Plans:  []emulator.Group{{Name: "p", Service: 0.8}}, Zones: []emulator.Group{{Name: "a", Service: 1}}}
	for i := 0; i < 5; i++ {
		r.Course = append(r.Course, emulator.Second{Start: i, Offered: 2, Served: 1.5})
	}
	var b bytes.Buffer
	if err := Report(&b, "t", []*emulator.Result{r}); err != nil {
		t.Fatal(err)
	}
	text := b.String()
	if strings.Count(text, "<svg") != 6 || !strings.Contains(text, "front door 2, txn 7") || strings.Contains(text, "x <b>") ||
		strings.Contains(text, "http-equiv") || strings.Contains(text, "src=") {
		t.Error("charts", strings.Count(text, "<svg"))
	}
	if _, err := json.Marshal(r); err != nil {
		t.Error(err)
	}
}
