package spec

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sort"
	"strings"

	"clovergap/internal/failpoint"
)

// Fault is something that goes wrong for a while. Faults may overlap.
type Fault struct {
	Kind  string  `toml:"kind"`
	At    Span    `toml:"at"`
	For   Span    `toml:"for"`
	Share float64 `toml:"share,omitempty"` // of the backends, front doors, messages or answers that it hits
	Zone  string  `toml:"zone,omitempty"`
	By    float64 `toml:"by,omitempty"`    // how much: times slower, share failing, times the load, bytes a second
	Waves int     `toml:"waves,omitempty"` // of a release or a roll; at a point: the so many-th time, drawn if nought
	Shape string  `toml:"shape,omitempty"` // of a cut between front doors
	Way   string  `toml:"way,omitempty"`   // in, out or both: what the cut group, or a link's front door, does not hear, is not heard with, or neither
	Hold  bool    `toml:"hold,omitempty"`  // what is said during the cut comes after it
	Delay Span    `toml:"delay,omitempty"`
	Link  string  `toml:"link,omitempty"`  // a front door's way to: discovery, backends, counter
	Point string  `toml:"point,omitempty"` // a named place in a debug build
	Pick  uint64  `toml:"pick,omitempty"`  // seed of what it hits, so that it hits the same without the other faults; 0: the run's
}

// Shapes of cuts between front doors.
var shapes = []string{"halves", "isolated", "bridge", "ring", "zone"}

// OnlyProcesses names the first fault that the emulator does not know.
func (s *Spec) OnlyProcesses() error {
	for i, f := range s.Faults {
		if !PlayedIn(Emulator, f.Kind) {
			return fmt.Errorf("faults[%d].kind: %q is played on real processes only (lab chaos)", i, f.Kind)
		}
	}
	return nil
}

func (f *Fault) wrong(s *Spec, at string, say func(bool, string, string)) {
	needs := func(what Fields) bool { return kindOf(f.Kind).needs&what != 0 }
	say(!PlayedIn(anywhere, f.Kind), at+"kind", fmt.Sprintf("no such fault: %q", f.Kind))
	say(f.At < 0 || f.At >= s.For, at+"at", fmt.Sprintf("%s is beyond the end, %s", f.At.D(), s.For.D()))
	say(f.For < 0, at+"for", "must not be below nought")
	say(f.At+f.For > s.For, at+"for", fmt.Sprintf("it ends at %s, beyond the end, %s", (f.At+f.For).D(), s.For.D()))
	say(needs(NeedsShare) && !(f.Share > 0 && f.Share <= 1), at+"share", "must be over 0 and at most 1")
	say(needs(NeedsBy) && !(f.By > 0), at+"by", "must be more than nought")
	say(f.Kind == "failing" && f.By > 1, at+"by", "must be over 0 and at most 1: it is the share that fails")
	say(f.Kind == "node-slow" && f.By > 1, at+"by", "must be over 0 and at most 1: it is the share of a core")
	say(needs(NeedsDelay) && f.Delay <= 0, at+"delay", "must be more than nought, such as \"50ms\"")
	say(needs(NeedsZone) && !slices.Contains(s.Zones.Names, f.Zone), at+"zone", fmt.Sprintf("no such zone: %q", f.Zone))
	say(needs(NeedsShape) && !slices.Contains(shapes, f.Shape), at+"shape", fmt.Sprintf("must be %s, not %q", strings.Join(shapes, ", "), f.Shape))
	say(f.Shape == "zone" && !slices.Contains(s.Zones.Names, f.Zone), at+"zone", fmt.Sprintf("no such zone: %q", f.Zone))
	say(f.Way != "" && f.Way != "in" && f.Way != "out" && f.Way != "both", at+"way", fmt.Sprintf("must be in, out or both, not %q", f.Way))
	say(needs(NeedsLink) && f.Link != "discovery" && f.Link != "backends" && f.Link != "counter", at+"link",
		fmt.Sprintf("must be discovery, backends or counter, not %q", f.Link))
	say(needs(NeedsPoint) && !failpoint.Known(failpoint.Name(f.Point)), at+"point", fmt.Sprintf("no such point: %q", f.Point))
}

// Pairs tells which ordered pairs of front doors a cut parts: hears(i, j) is false where nothing that i says gets to j.
func (f *Fault) Pairs(n int, zone func(int) string, rng *rand.Rand) (cut func(from, to int) bool) {
	group := make([]int, n) // 0: the rest; 1: the cut group; 2: a bridge
	order := rng.Perm(n)
	size := 1
	switch f.Shape {
	case "halves", "bridge":
		share := f.Share
		if share <= 0 {
			share = 0.5
		}
		size = min(max(1, int(math.Round(share*float64(n)))), max(1, n-1))
	case "ring":
		place := make([]int, n)
		for i, who := range order {
			place[who] = i
		}
		return func(from, to int) bool {
			d := (place[from] - place[to] + n) % n
			return d > 1 && d < n-1
		}
	case "zone":
		size = 0
		for i := range group {
			if zone(i) == f.Zone {
				group[i] = 1
			}
		}
	}
	for _, i := range order[:size] {
		group[i] = 1
	}
	if f.Shape == "bridge" && size < n {
		group[order[size]] = 2
	}
	return func(from, to int) bool {
		if group[from] == 2 || group[to] == 2 || group[from] == group[to] {
			return false
		}
		switch f.Way {
		case "in": // the group does not hear the rest
			return group[to] == 1
		case "out":
			return group[from] == 1
		}
		return true
	}
}

// Hits draws which of some things a share of them hits: at least one.
func Hits(n int, share float64, rng *rand.Rand) []int {
	if n == 0 {
		return nil
	}
	picked := rng.Perm(n)[:min(n, max(1, int(math.Round(share*float64(n)))))]
	sort.Ints(picked)
	return picked
}

// Source is the fault's own one, or the given where it has none.
func (f *Fault) Source(run *rand.Rand) *rand.Rand {
	if f.Pick != 0 {
		return rand.New(rand.NewPCG(f.Pick, 0xfa017))
	}
	return run
}

// drawn kinds need a debug build or a machine of their own, or would end every run.
var notDrawn = map[string]bool{"stall-at": true, "exit-at": true, "node-sockets": true, "node-memory": true, "peer-spoil": true}

// Drawn gives an experiment with random faults on top of its own, and with a seed of its own.
func (s *Spec) Drawn(seed uint64, most int, emulated bool) *Spec {
	c := *s
	c.Seed = seed
	c.Faults = append([]Fault(nil), s.Faults...)
	c.Draw(rand.New(rand.NewPCG(seed, 0xc4a05)), most, emulated)
	return &c
}

// Draw adds random faults, which overlap as they like and end a while before the run does, so that what must come back
// after the last heal can.
func (s *Spec) Draw(rng *rand.Rand, most int, emulated bool) {
	var names []string
	for _, k := range Kinds(anywhere) {
		if !notDrawn[k] && (!emulated || PlayedIn(Emulator, k)) {
			names = append(names, k)
		}
	}
	span := func(least, most float64) Span { return Span((least + rng.Float64()*(most-least)) * 1e9) }
	total := s.For.D().Seconds()
	for i := 1 + rng.IntN(most); i > 0; i-- {
		f := Fault{Kind: names[rng.IntN(len(names))], Pick: rng.Uint64()>>1 | 1}
		f.At = span(0.05*total, 0.7*total)
		f.For = min(span(0.05, 0.5*total), Span(0.85*total*1e9)-f.At)
		needs := kindOf(f.Kind).needs
		if needs&NeedsShare != 0 || f.Kind == "peer-cut" {
			f.Share = math.Round((0.05+0.75*rng.Float64())*100) / 100
		}
		if needs&NeedsDelay != 0 {
			f.Delay = span(0.002, 0.3)
		}
		switch f.Kind {
		case "slow":
			f.By = 2 + math.Round(6*rng.Float64())
		case "failing":
			f.By = math.Round((0.1+0.8*rng.Float64())*100) / 100
		case "burst":
			f.By = math.Round((1.2+2*rng.Float64())*100) / 100
		case "node-slow":
			f.By = math.Round((0.1+0.5*rng.Float64())*100) / 100
		case "link-rate", "peer-rate":
			f.By = math.Round(2000 + 30000*rng.Float64())
		case "peer-cut":
			f.Shape = shapes[rng.IntN(len(shapes))]
			f.Way = []string{"in", "out", "both"}[rng.IntN(3)]
			f.Hold = rng.IntN(3) == 0
		case "release", "node-roll":
			f.Waves = 1 + rng.IntN(4)
		}
		if needs&NeedsZone != 0 || f.Shape == "zone" {
			f.Zone = s.Zones.Names[rng.IntN(len(s.Zones.Names))]
		}
		if f.Kind == "link-cut" {
			f.Way = []string{"in", "out", "both"}[rng.IntN(3)]
		}
		if needs&NeedsLink != 0 {
			f.Link = []string{"discovery", "backends", "counter"}[rng.IntN(3)]
		}
		if f.Kind == "zone-loss" && rng.IntN(2) == 0 {
			f.Share = 1
		}
		s.Faults = append(s.Faults, f)
	}
	sort.SliceStable(s.Faults, func(i, j int) bool { return s.Faults[i].At < s.Faults[j].At })
}
