package main

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"clovergap/internal/history"
	"clovergap/internal/lab/faultrig"
	"clovergap/internal/lab/spec"
)

// gatewayChaos are the flags of playing schedules on the gateway's nodes.
type gatewayChaos struct {
	seedRuns
	named, out       string
	nodes, most      int
	dur              time.Duration
	rate             float64
	only             []int
	shrink, founding bool
	storms, series   bool
	overlappingCuts  bool
	lateInput        bool
}

func gatewayChaosCommand() *cobra.Command {
	var k gatewayChaos
	c := &cobra.Command{Use: "chaos",
		Short: "Random kills, stalls, cuts, lost disks and restarts of real nodes, checked", Args: exactly(0,
			"no arguments"),
		Long: "Starts nodes, three of them with a disk, with backends that beat, an operator and clients; draws\n" +
			"overlapping faults from each seed, plays them, and holds what clients, backends and the operator saw\n" +
			"against the rules. A schedule is drawn again from its seed, --nodes, --faults and --for; --only plays\n" +
			"some of its faults. Ends with 1 if a rule was broken.",
		Example: "  lab gateway chaos --nodes 5 --seeds 20 --for 20s\n" +
			"  lab gateway chaos --first 7 --seeds 1            # seed 7 again\n" +
			"  lab gateway chaos --first 7 --seeds 1 --only 0,2 # two of its faults\n" +
			"  lab gateway chaos --first 7 --seeds 1 --shrink",
		RunE: func(c *cobra.Command, _ []string) error {
			if err := k.sound(); err != nil {
				return err
			}
			if k.shrink && k.seeds != 1 {
				return usageError{errors.New("--shrink wants one seed")}
			}
			if k.shrink {
				return k.built(c.Context(), k.smaller, "debug")
			}
			return k.built(c.Context(), k.play, "debug")
		}}
	c.Flags().StringVar(&k.named, "program", "", "gateway program of a debug build (default: built)")
	k.flags(c, 80)
	c.Flags().IntVar(&k.most, "faults", 7, "faults of a schedule at most")
	c.Flags().DurationVar(&k.dur, "for", 20*time.Second, "how long faults are brought")
	c.Flags().IntSliceVar(&k.only, "only", nil, "play these faults of the schedule only, by number from 0")
	c.Flags().BoolVar(&k.founding, "founding", false, "schedules of the first start of all only: late starts, kills, stalls")
	c.Flags().BoolVar(&k.storms, "storms", false, "schedules of storms: two or three troubles that overlap, losses of power among them, again and again")
	c.Flags().BoolVar(&k.series, "series", false, "schedules of signals, restarts and departures of backends that come in series and overlap")
	c.Flags().BoolVar(&k.overlappingCuts, "overlapping-cuts", false,
		"schedules of cuts between nodes with a disk, mostly in one direction, that follow each other or overlap; connections stall after them")
	c.Flags().BoolVar(&k.lateInput, "late-input", false,
		"schedules of pauses that overlap with other faults, while applications call for locks, numbers, keys and watches; most have nodes with a small share of a core")
	c.Flags().BoolVar(&k.shrink, "shrink", false, "find as few of the seed's faults as still fail")
	return c
}

// flags are those of all that plays a schedule a seed.
func (g *gatewayChaos) flags(c *cobra.Command, rate float64) {
	c.Flags().StringVar(&g.keep, "keep", "found", "folder for histories and nodes' logs of what failed")
	c.Flags().StringVar(&g.out, "out", "", "add each run's result to this file of JSON lines")
	c.Flags().IntVar(&g.seeds, "seeds", 5, "how many schedules")
	c.Flags().Uint64Var(&g.first, "first", 1, "first seed")
	c.Flags().IntVar(&g.nodes, "nodes", 5, "nodes, the first three with a disk")
	c.Flags().Float64Var(&g.rate, "rate", rate, "requests a second")
	c.Flags().IntVar(&g.jobs, "jobs", 1, "runs side by side")
}

// built plays with the program that was named, found or built; with tags it is named or built.
func (g *gatewayChaos) built(ctx context.Context, play func(context.Context) error, tags ...string) error {
	path, done, err := program(gatewayProgram, g.named, tags...)
	if err != nil {
		return err
	}
	defer done()
	g.named = path
	return play(ctx)
}

// sound tells whether the flags can be played.
func (g *gatewayChaos) sound() error {
	if g.seeds < 1 || g.jobs < 1 || g.most < 2 || g.nodes < faultrig.Disks || g.nodes > 60 {
		return usageError{fmt.Errorf("--seeds and --jobs must be 1 at the least, --faults 2, --nodes %d to 60", faultrig.Disks)}
	}
	return nil
}

func (g *gatewayChaos) drawn(seed uint64) *faultrig.GatewaySchedule {
	s := faultrig.DrawGateway(seed, g.nodes, g.most, g.dur)
	if g.storms {
		s = faultrig.DrawStorms(seed, g.nodes, g.dur)
	}
	if g.series {
		s = faultrig.DrawSeries(seed, g.nodes, g.dur)
	}
	if g.overlappingCuts {
		s = faultrig.DrawOverlappingCuts(seed, g.nodes, g.dur)
	}
	if g.lateInput {
		s = faultrig.DrawLateInput(seed, g.nodes, g.dur)
	}
	if g.founding {
		s = faultrig.DrawFounding(seed, g.nodes, g.most, g.dur)
	}
	if len(g.only) > 0 {
		var some []spec.Fault
		for _, i := range g.only {
			if i >= 0 && i < len(s.Faults) {
				some = append(some, s.Faults[i])
			}
		}
		s.Faults = some
	}
	return s
}

func (g *gatewayChaos) options() faultrig.GatewayOptions {
	return faultrig.GatewayOptions{Program: g.named, Rate: g.rate, Keep: g.keep}
}

const gatewayTable = "%5v %5v %7v %6v %6v %5v %7v %6v %5v %7v %8v %16v  %s\n"

// report prints a run's line and adds it to the file of results.
func (g *gatewayChaos) report(r *faultrig.GatewayResult) error {
	verdict := "kept all rules: "
	if len(r.Broken) > 0 {
		verdict = fmt.Sprintf("BROKE %d (%s): ", len(r.Broken), strings.Join(ruleNames(r), ", "))
	}
	if len(r.Doubted) > 0 {
		verdict += fmt.Sprintf("%d set aside, the rig was held up; ", len(r.Doubted))
	}
	fmt.Printf(gatewayTable, r.Seed, r.Nodes, r.Asked, r.Settled, r.Refused, r.Voided, r.Failed, r.Taken,
		r.Unclear, fmt.Sprintf("%.0fs", r.Seconds),
		r.Slow.Round(time.Millisecond), fmt.Sprint(r.Recovered), verdict+strings.Join(r.Faults, ", "))
	showBroken(r)
	return addResult(g.out, r)
}

// showBroken prints the first of the rules broken.
func showBroken(r *faultrig.GatewayResult) {
	for i, b := range r.Broken {
		if i == 4 {
			fmt.Printf("      and %d more\n", len(r.Broken)-i)
			break
		}
		fmt.Printf("      %s\n", b)
	}
}

// ruleNames lists the rules broken, with how often each.
func ruleNames(r *faultrig.GatewayResult) (all []string) {
	n, order := map[string]int{}, []string{}
	for _, b := range r.Broken {
		if n[b.Rule]++; n[b.Rule] == 1 {
			order = append(order, b.Rule)
		}
	}
	for _, rule := range order {
		all = append(all, fmt.Sprintf("%s %d", rule, n[rule]))
	}
	return all
}

// play plays the schedules, some side by side.
func (g *gatewayChaos) play(ctx context.Context) error {
	fmt.Printf(gatewayTable, "seed", "nodes", "asked", "served", "refus", "fail", "no answ", "taken", "uncl",
		"took", "held up", "recovered", "verdict")
	return playSeeds(ctx, &g.seedRuns, func(ctx context.Context, seed uint64) (*faultrig.GatewayResult, error) {
		return faultrig.PlayGateway(ctx, g.drawn(seed), g.options())
	}, func(r *faultrig.GatewayResult) (bool, error) { return len(r.Broken) > 0, g.report(r) })
}

// smaller shrinks a seed's schedule that fails.
func (g *gatewayChaos) smaller(ctx context.Context) error {
	s, rule := g.drawn(g.first), ""
	fails := failing(ctx, &rule, func(c *spec.Spec) ([]history.Violation, error) {
		x, o := *s, g.options()
		x.Faults, o.Keep = c.Faults, ""
		r, err := faultrig.PlayGateway(ctx, &x, o)
		if err != nil {
			return nil, err
		}
		return r.Broken, nil
	})
	whole := &spec.Spec{Faults: s.Faults}
	for i := 0; rule == ""; i++ {
		if i == 3 {
			return fmt.Errorf("seed %d did not fail in 3 plays", g.first)
		}
		if _, err := fails(whole); err != nil {
			return err
		}
	}
	fmt.Printf("fails by %q with %d faults\n", rule, len(s.Faults))
	least, err := faultrig.Shrink(ctx, whole, 3, fails, func(left,
		tried int) {
		fmt.Printf("  %d faults are enough (%d plays)\n", left, tried)
	})
	if err != nil {
		return err
	}
	for _, f := range least.Faults {
		for i := range s.Faults {
			if s.Faults[i] == f {
				fmt.Printf("  number %d: %s at %s for %s, share %.2f\n", i, f.Kind, f.At.D(), f.For.D(), f.Share)
			}
		}
	}
	return nil
}
