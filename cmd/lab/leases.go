package main

import (
	"context"
	"errors"
	"fmt"
	"runtime"
	"slices"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/spf13/cobra"

	"clovergap/internal/frontdoor/lease/check"
)

func leasesCommand() *cobra.Command {
	var states, walks, steps, doors, seeds int
	var model string
	c := &cobra.Command{Use: "leases", Short: "Explore what the leases' core can do: no two may hold one seat", Args: exactly(0, "no arguments"),
		Long: "Goes through the states of a small world breadth first, and many random ways through larger ones, on all cores: messages\n" +
			"lost, doubled, late and in any order, restarts without promises, clocks as uneven as they may be, voters that change.",
		Example: "  lab leases --states 2000000 --walks 100000\n  lab leases --model restarts --walks 500000",
		RunE: func(c *cobra.Command, _ []string) error {
			if states < 1 || walks < 1 || steps < 1 {
				return usageError{errors.New("--states, --walks and --steps must be 1 at the least")}
			}
			if doors > 0 {
				return bigFleet(c.Context(), doors, seeds)
			}
			models := check.Models()
			var names []string
			for n := range models {
				if model == "all" || strings.ReplaceAll(n, " ", "-") == model {
					names = append(names, n)
				}
			}
			if sort.Strings(names); len(names) == 0 {
				return usageError{fmt.Errorf("no such model: %q", model)}
			}
			broken := 0
			say := func(name string, n int, r check.Result) {
				if r.Bad != "" {
					broken++
					fmt.Printf("%s: BROKE %d: %s: %s\n", name, n, r.Bad, strings.Join(r.Trace, ", "))
					return
				}
				fmt.Printf("%s: %s\n", name, r)
			}
			if states > 1 {
				r, err := check.Explore(check.Small(), states)
				if err != nil {
					return err
				}
				say("three voters, breadth first", 1, r)
			}
			for _, name := range names {
				const chunk = 500
				var mu sync.Mutex
				var wg sync.WaitGroup
				var sum check.Result
				var failed error
				next, first := 0, 0
				for i := 0; i < runtime.NumCPU(); i++ {
					wg.Add(1)
					go func() {
						defer wg.Done()
						for {
							mu.Lock()
							seed := next
							next++
							over := seed*chunk >= walks || sum.Bad != "" || failed != nil || c.Context().Err() != nil
							mu.Unlock()
							if over {
								return
							}
							r, err := check.Walk(models[name], uint64(seed+1), min(chunk, walks-seed*chunk), steps)
							mu.Lock()
							sum.States, sum.Depth, sum.Took, sum.Granted = sum.States+r.States, max(sum.Depth, r.Depth), sum.Took+r.Took, sum.Granted+r.Granted
							if failed == nil {
								failed = err
							}
							if r.Bad != "" && sum.Bad == "" {
								sum.Bad, sum.Trace, first = r.Bad, slices.Clone(r.Trace), (seed+1)*chunk
							}
							mu.Unlock()
						}
					}()
				}
				wg.Wait()
				if failed != nil {
					return failed
				}
				say(name, first, sum)
			}
			if c.Context().Err() != nil {
				return errors.New("stopped before all was walked through")
			}
			if broken > 0 {
				return fmt.Errorf("%d models broke", broken)
			}
			return nil
		}}
	c.Flags().IntVar(&states, "states", 500000, "states to go through breadth first; 1 for none")
	c.Flags().IntVar(&walks, "walks", 20000, "random ways through each model")
	c.Flags().IntVar(&steps, "steps", 150, "steps of each")
	c.Flags().IntVar(&doors, "fleet", 0, "instead, play random faults on so many front doors in simulated time")
	c.Flags().IntVar(&seeds, "seeds", 20, "with --fleet, from seed 1 on")
	c.Flags().StringVar(&model, "model", "all", "all, or one, with dashes for spaces")
	return c
}

// bigFleet plays seeds of a big fleet on all cores.
func bigFleet(ctx context.Context, doors, seeds int) error {
	b := check.Usual(doors)
	var mu sync.Mutex
	var wg sync.WaitGroup
	var after []time.Duration
	var idle time.Duration
	var failed error
	next, bad, grants := uint64(0), 0, 0
	frames, most := 0.0, 0.0
	for i := 0; i < runtime.NumCPU(); i++ {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for {
				mu.Lock()
				next++
				seed := next
				mu.Unlock()
				if seed > uint64(seeds) || ctx.Err() != nil {
					return
				}
				r, err := b.Play(seed)
				mu.Lock()
				if err != nil {
					failed = err
				} else {
					for _, x := range r.Bad {
						fmt.Printf("seed %d: BROKE %d: %s\n", seed, len(r.Bad), x)
					}
					bad, grants, idle = bad+len(r.Bad), grants+r.Grants, max(idle, r.Idle)
					after = append(after, r.After...)
					frames, most = frames+r.Frames/float64(seeds), max(most, r.Most)
				}
				mu.Unlock()
			}
		}()
	}
	wg.Wait()
	if failed != nil {
		return failed
	}
	if ctx.Err() != nil {
		return errors.New("stopped before all seeds were played")
	}
	fmt.Printf("%d front doors, %d tasks with %d wishers each, %d seeds of %s: %d grants, %d times two held one seat\n", doors, b.Tasks, b.Wishers, seeds, b.For, grants, bad)
	fmt.Printf("  %d holders died or stood still: their tasks went on after %.2f s (median), %.2f s (99 %%), %.2f s (most); without a holder at rest %.2f s at most\n",
		len(after), check.Quantile(after, 0.5).Seconds(), check.Quantile(after, 0.99).Seconds(), check.Quantile(after, 1).Seconds(), idle.Seconds())
	fmt.Printf("  %.1f frames a front door a second, %.1f the one that sent most\n", frames, most)
	if bad > 0 {
		return fmt.Errorf("%d times two held one seat", bad)
	}
	return nil
}
