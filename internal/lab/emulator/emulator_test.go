package emulator

import (
	"encoding/json"
	"flag"
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"clovergap/control"
	"clovergap/internal/lab/spec"
	"clovergap/internal/proxy/gate"
	"clovergap/internal/proxy/slots"
)

// day is a small fleet with the given faults.
func day(seconds float64, faults ...spec.Fault) *spec.Spec {
	s := spec.Default()
	s.For = spec.Span(seconds * 1e9)
	s.Nodes.Count, s.Backends.Count = 6, 8
	s.Rules.WarmBy = spec.Span(4 * time.Second)
	s.Faults = faults
	return &s
}

func at(sec float64) spec.Span { return spec.Span(sec * 1e9) }

// rogue breaks one rule on purpose; in all else it is the seeing mark, which keeps them.
type rogue struct {
	*simple
	kind string
}

func (r *rogue) Take(x control.Txn, f gate.Front, who slots.Ref) (slots.Ref, bool) {
	if r.kind == "drop" && who%97 == 0 {
		r.next++
		return r.next, true // and never a word of it
	}
	return r.simple.Take(x, f, who)
}

func (r *rogue) Ended(ref slots.Ref, nr int, at control.BackendID, o gate.Outcome) {
	t := r.txns[ref]
	if r.kind == "resend" && t != nil && o.Ending == control.Errored && r.node.world.spec.Products[t.txn.Product].Effect == "once-only" {
		t.out = false
		r.send(ref, t)
		return
	}
	r.simple.Ended(ref, nr, at, o)
}

func (r *rogue) EndpointsChanged(whole bool, list []control.Endpoint) {
	if r.kind == "drain" && !whole {
		list = slices.DeleteFunc(slices.Clone(list), func(l control.Endpoint) bool { return l.State != control.Ready })
	}
	r.simple.EndpointsChanged(whole, list)
}

func (r *rogue) choice(t *attempt) *backend {
	w := r.node.world
	switch r.kind {
	case "drain":
		for id := range r.node.unavailableSince {
			if b := w.byID[id]; b.state == control.Draining {
				return b
			}
		}
	case "cold":
		for _, b := range w.backends {
			if !b.dead && b.warmth() < 1 && r.state[b.id] == control.Ready {
				return b
			}
		}
	case "ceiling":
		if w.spec.Plans[t.request.customer.plan].Ceiling > 0 {
			for _, b := range w.backends {
				if !b.dead && b.warmth() == 1 && b.state == control.Ready {
					return b
				}
			}
		}
	}
	return r.pick(t)
}

// Each rule broken on purpose must be found, and no other named beside it.
func TestJudgeFindsEachBrokenRule(t *testing.T) {
	release := spec.Fault{Kind: "release", At: at(2), For: at(4), Share: 0.4, Waves: 2}
	for _, c := range []struct {
		kind string
		rule Rule
		s    *spec.Spec
	}{
		{"drop", RuleLost, day(5)},
		{"resend", RuleTwice, day(8, spec.Fault{Kind: "failing", At: at(1), For: at(6), Share: 0.5, By: 0.5})},
		{"drain", RuleDrain, day(10, release)},
		{"cold", RuleSlowStart, day(10, release)},
		{"ceiling", RuleHardLimit, day(8, spec.Fault{Kind: "burst", At: at(1), For: at(6), By: 6})},
		{"none", 0, day(10, release, spec.Fault{Kind: "burst", At: at(1), For: at(6), By: 3})},
	} {
		if c.kind == "resend" { // the seeing mark itself keeps away from what fails
			c.s.Backends.ErrorRate = 0.05
			c.s.Faults = nil
		}
		r, err := play(c.s, func(d *node) decider {
			x := &rogue{simple: newSimple(d, true), kind: c.kind}
			x.choose = x.choice
			return x
		})
		if err != nil {
			t.Fatal(err)
		}
		for _, b := range r.Broken {
			if b.Rule != c.rule {
				t.Errorf("%s: %s", c.kind, b)
			}
			if b.Time <= 0 || b.Node < 0 || b.Node >= c.s.Nodes.Count || b.Txn == 0 {
				t.Errorf("%s: no place named: %s", c.kind, b)
			}
		}
		if found := r.RulesBroken > 0; found != (c.rule != 0) {
			t.Errorf("%s: rules broken %d", c.kind, r.RulesBroken)
		}
	}
}

// The same seed gives the same bytes; another one another day.
func TestSameSeedSameBytes(t *testing.T) {
	s := day(6, spec.Fault{Kind: "zone-loss", At: at(1), For: at(2), Zone: "a", Share: 1},
		spec.Fault{Kind: "peer-loss", At: at(1.5), For: at(3), Share: 0.5},
		spec.Fault{Kind: "node-stall", At: at(2), For: at(1), Share: 0.5})
	text := func() string {
		r, err := Run(s)
		if err != nil {
			t.Fatal(err)
		}
		b, _ := json.Marshal(r)
		return string(b)
	}
	first := text()
	for i := 0; i < 3; i++ {
		if text() != first {
			t.Fatal("another result from the same seed")
		}
	}
	s.Seed++
	if text() == first {
		t.Fatal("the same result from another seed")
	}
}

// A calm day lies near the upper mark, and the marks are apart where it matters.
func TestMarks(t *testing.T) {
	s := day(12, spec.Fault{Kind: "burst", At: at(3), For: at(6), By: 2.2},
		spec.Fault{Kind: "slow", At: at(4), For: at(6), Share: 0.25, By: 6})
	r, err := RunScored(s)
	if err != nil {
		t.Fatal(err)
	}
	if r.High-r.Low < 0.2 || r.Place < 0.2 || r.Place > 1.02 || r.RulesBroken > 0 {
		t.Errorf("high %.3f low %.3f score %.3f place %.3f, rules broken %d", r.High, r.Low, r.Score, r.Place, r.RulesBroken)
	}
	sum := 0
	for _, n := range r.Reasons {
		sum += n
	}
	if sum < r.Rejected*9/10 || math.IsNaN(r.Place) {
		t.Errorf("%d reasons for %d declines", sum, r.Rejected)
	}
}

// The module keeps the five rules whatever faults come, overlapping as they may.
func TestRulesUnderRandomFaults(t *testing.T) {
	flag.Set("rapid.checks", "60") // a few seconds; more by hand
	scopes, err := spec.Load("../../../lab/scopes.toml")
	if err != nil {
		t.Fatal(err)
	}
	rapid.Check(t, func(t *rapid.T) {
		s := *scopes // products of all effects and scopes, with windows that are reached
		s.For, s.Faults = at(6), nil
		s.Rules.WarmBy = at(4)
		s.Nodes.Count = rapid.IntRange(1, 12).Draw(t, "nodes")
		s.Backends.Count = rapid.IntRange(2, 12).Draw(t, "backends")
		s.Clients.Load = rapid.Float64Range(0.1, 1.2).Draw(t, "load")
		s.Clients.TryShare = rapid.Float64Range(0.4, 1).Draw(t, "try")
		c := s.Drawn(rapid.Uint64Range(1, 1<<40).Draw(t, "seed"), 6, true)
		r, err := Run(c)
		if err != nil {
			t.Fatal(err)
		}
		for _, b := range r.Broken {
			t.Errorf("%s", b)
		}
	})
}

// A fault that only real processes can play is named as such.
func TestFaultsOfProcesses(t *testing.T) {
	_, err := Run(day(5, spec.Fault{Kind: "burst", At: at(1), For: at(1), By: 2}, spec.Fault{Kind: "node-term", At: at(1), For: at(1), Share: 0.5}))
	if err == nil || err.Error() != `faults[1].kind: "node-term" is played on real processes only (lab chaos)` {
		t.Error(err)
	}
}

// Quotas by a call to the counter for each txn hold while it answers; each of its faults lets more through, and none
// costs the front doors that do not call it anything.
func TestCounterFaults(t *testing.T) {
	beyond := func(policy string, faults ...spec.Fault) int {
		s := day(10, faults...)
		s.Policy = policy
		s.Clients.Heavy, s.Clients.HeavyBy, s.Clients.Load = 0.5, 8, 0.3
		r, err := Run(s)
		if err != nil {
			t.Fatal(err)
		}
		return r.Beyond
	}
	fault := func(kind string) spec.Fault {
		return spec.Fault{Kind: kind, At: at(1), For: at(8), Share: 0.8, Delay: spec.Span(600 * time.Millisecond)}
	}
	calm, module := beyond("counted"), beyond("module")
	for _, kind := range []string{"counter-down", "counter-spoilt", "counter-mute", "counter-late", "counter-busy"} {
		if n := beyond("counted", fault(kind)); n < 2*calm {
			t.Errorf("%s: %d beyond quotas, %d without it", kind, n, calm)
		}
		if n := beyond("module", fault(kind)); n != module {
			t.Errorf("%s: %d beyond quotas with the module, %d without it", kind, n, module)
		}
	}
	reset := fault("counter-reset")
	reset.At, reset.For = at(5), at(1)
	if n := beyond("counted", reset); n <= calm {
		t.Errorf("counter-reset: %d beyond quotas, %d without it", n, calm)
	}
}

// Datagrams from before a cut, doubled, overtaken, slow: what each does is seen, and no rule is broken.
func TestDatagramFaults(t *testing.T) {
	for _, f := range []spec.Fault{{Kind: "peer-cut", Shape: "halves", Share: 0.5, Hold: true}, {Kind: "peer-cut", Shape: "isolated", Way: "in"},
		{Kind: "peer-cut", Shape: "bridge", Share: 0.5}, {Kind: "peer-cut", Shape: "ring"}, {Kind: "peer-cut", Shape: "zone", Zone: "a", Way: "out"},
		{Kind: "peer-double", Share: 0.8}, {Kind: "peer-reorder", Share: 0.5, Delay: at(0.5)}, {Kind: "peer-rate", By: 3000}, {Kind: "peer-delay", Delay: at(0.2)}} {
		f.At, f.For = at(1), at(4)
		calm, err := Run(day(7))
		if err != nil {
			t.Fatal(err)
		}
		r, err := Run(day(7, f))
		if err != nil {
			t.Fatal(err)
		}
		if r.RulesBroken > 0 || r.Score == calm.Score && r.Messages == calm.Messages {
			t.Errorf("%s %s: %d rules broken, score %.4f, %d messages; without it %.4f, %d", f.Kind, f.Shape, r.RulesBroken, r.Score, r.Messages,
				calm.Score, calm.Messages)
		}
	}
}

// What a run prints, kept for people to read.
func Example() {
	s := day(8, spec.Fault{Kind: "zone-loss", At: at(2), For: at(2), Zone: "b"})
	r, err := RunScored(s)
	if err != nil {
		fmt.Println(err)
		return
	}
	fmt.Println("rules broken:", r.RulesBroken, "- backends pushed over:", r.Fallen)
	fmt.Println("between the marks:", r.Low < r.Score && r.Score <= r.High)
	fmt.Println(strings.Join(r.Notes, ", "))
	// Output:
	// rules broken: 0 - backends pushed over: 0
	// between the marks: true
	// 2.0s zone-loss begins, 4.0s zone-loss ends
}
