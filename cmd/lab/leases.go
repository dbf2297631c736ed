package main

import (
	"context"
	"errors"
	"fmt"
	"runtime"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"clovergap/internal/lab/experiments"
	"clovergap/internal/lab/leasecheck"
)

// leaseRuns are the flags of exploring the leases' core.
type leaseRuns struct {
	states, walks, steps int
	nodes, seeds         int
	model                string
	broken               int // models that broke
}

func leasesCommand() *cobra.Command {
	var k leaseRuns
	c := &cobra.Command{Use: "leases", Short: "Explore what the leases' core can do: no two may hold one permit", Args: exactly(0, "no arguments"),
		Long: "Goes through the states of a small world breadth first, and many random ways through larger ones, on all cores: messages\n" +
			"lost, doubled, late and in any order, restarts without promises, clocks as uneven as they may be, voters that change.",
		Example: "  lab leases --states 2000000 --walks 100000\n  lab leases --model restarts --walks 500000",
		RunE: func(c *cobra.Command, _ []string) error {
			if k.states < 1 || k.walks < 1 || k.steps < 1 {
				return usageError{errors.New("--states, --walks and --steps must be 1 at the least")}
			}
			if k.nodes > 0 {
				return bigFleet(c.Context(), k.nodes, k.seeds)
			}
			return k.explore(c.Context())
		}}
	c.Flags().IntVar(&k.states, "states", 500000, "states to go through breadth first; 1 for none")
	c.Flags().IntVar(&k.walks, "walks", 20000, "random ways through each model")
	c.Flags().IntVar(&k.steps, "steps", 150, "steps of each")
	c.Flags().IntVar(&k.nodes, "fleet", 0, "instead, play random faults on so many front doors in simulated time")
	c.Flags().IntVar(&k.seeds, "seeds", 20, "with --fleet, from seed 1 on")
	c.Flags().StringVar(&k.model, "model", "all", "all, or one, with dashes for spaces")
	return c
}

// explore goes through the small world's states and walks through the models.
func (l *leaseRuns) explore(ctx context.Context) error {
	models := leasecheck.Models()
	var names []string
	for name := range models {
		if l.model == "all" || strings.ReplaceAll(name, " ", "-") == l.model {
			names = append(names, name)
		}
	}
	if sort.Strings(names); len(names) == 0 {
		return usageError{fmt.Errorf("no such model: %q", l.model)}
	}
	if l.states > 1 {
		r, err := leasecheck.Explore(leasecheck.Small(), l.states)
		if err != nil {
			return err
		}
		l.report("three voters, breadth first", 1, r)
	}
	for _, name := range names {
		first, sum, err := l.walk(ctx, models[name])
		if err != nil {
			return err
		}
		l.report(name, first, sum)
	}
	if ctx.Err() != nil {
		return errors.New("stopped before all was walked through")
	}
	if l.broken > 0 {
		return fmt.Errorf("%d models broke", l.broken)
	}
	return nil
}

// report prints what came of a model.
func (l *leaseRuns) report(name string, walk int, r leasecheck.Result) {
	if r.Violation != "" {
		l.broken++
		fmt.Printf("%s: BROKE %d: %s: %s\n", name, walk, r.Violation, strings.Join(r.Trace, ", "))
		return
	}
	fmt.Printf("%s: %s\n", name, r)
}

// walkChunk walks are of one seed.
const walkChunk = 500

// walk walks through a model on all cores until one walk breaks; first is about which.
func (l *leaseRuns) walk(ctx context.Context, m leasecheck.Model) (first int, sum leasecheck.Result, err error) {
	chunks, enough := context.WithCancel(ctx)
	defer enough()
	type chunk struct {
		seed uint64
		r    leasecheck.Result
	}
	err = experiments.Seeds(chunks, 1, (l.walks+walkChunk-1)/walkChunk, runtime.NumCPU(), func(seed uint64) (chunk, error) {
		r, wrong := leasecheck.Walk(m, seed, min(walkChunk, l.walks-int(seed-1)*walkChunk), l.steps)
		return chunk{seed, r}, wrong
	}, func(_ int, c chunk) error {
		sum.States, sum.Depth, sum.Elapsed, sum.Granted = sum.States+c.r.States, max(sum.Depth, c.r.Depth), sum.Elapsed+c.r.Elapsed, sum.Granted+c.r.Granted
		if c.r.Violation != "" && sum.Violation == "" {
			sum.Violation, sum.Trace, first = c.r.Violation, slices.Clone(c.r.Trace), int(c.seed)*walkChunk
			enough()
		}
		return nil
	})
	if chunks.Err() != nil { // a walk broke, or all was stopped
		err = nil
	}
	return first, sum, err
}

// bigFleet plays seeds of a big fleet on all cores.
func bigFleet(ctx context.Context, nodes, seeds int) error {
	b := leasecheck.DefaultFleet(nodes)
	var after []time.Duration
	var idle time.Duration
	bad, grants := 0, 0
	frames, most := 0.0, 0.0
	err := experiments.Seeds(ctx, 1, seeds, runtime.NumCPU(), b.Play, func(_ int, r *leasecheck.FleetResult) error {
		for _, x := range r.Violations {
			fmt.Printf("seed %d: BROKE %d: %s\n", r.Seed, len(r.Violations), x)
		}
		bad, grants, idle = bad+len(r.Violations), grants+r.Grants, max(idle, r.Idle)
		after = append(after, r.FailoverTimes...)
		frames, most = frames+r.Frames/float64(seeds), max(most, r.MaxFrames)
		return nil
	})
	if err != nil {
		return err
	}
	fmt.Printf("%d front doors, %d tasks with %d wishers each, %d seeds of %s: %d grants, %d times two held one permit\n", nodes, b.Tasks, b.Requesters, seeds, b.Duration, grants, bad)
	fmt.Printf("  %d holders died or stood still: their tasks went on after %.2f s (median), %.2f s (99 %%), %.2f s (most); without a holder at rest %.2f s at most\n",
		len(after), leasecheck.Quantile(after, 0.5).Seconds(), leasecheck.Quantile(after, 0.99).Seconds(), leasecheck.Quantile(after, 1).Seconds(), idle.Seconds())
	fmt.Printf("  %.1f frames a front door a second, %.1f the one that sent most\n", frames, most)
	if bad > 0 {
		return fmt.Errorf("%d times two held one permit", bad)
	}
	return nil
}
