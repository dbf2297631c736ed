package main

import (
	"errors"
	"fmt"
	"runtime"
	"slices"
	"sort"
	"strings"
	"sync"

	"github.com/spf13/cobra"

	"clovergap/internal/lease/check"
)

func leasesCommand() *cobra.Command {
	var states, walks, steps int
	var model string
	c := &cobra.Command{Use: "leases", Short: "Explore what the leases' core can do: no two may hold one seat", Args: exactly(0, "no arguments"),
		Long: "Goes through the states of a small world breadth first, and many random ways through larger ones, on all cores: messages\n" +
			"lost, doubled, late and in any order, restarts without promises, clocks as uneven as they may be, voters that change.",
		Example: "  lab leases --states 2000000 --walks 100000\n  lab leases --model restarts --walks 500000",
		RunE: func(c *cobra.Command, _ []string) error {
			if states < 1 || walks < 1 || steps < 1 {
				return usageError{errors.New("--states, --walks and --steps must be 1 at the least")}
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
							sum.States, sum.Depth, sum.Took, sum.Granted = sum.States+r.States, max(sum.Depth, r.Depth), sum.Took+r.Took, sum.Granted || r.Granted
							if failed == nil {
								failed = err
							}
							if r.Bad != "" && sum.Bad == "" {
								sum.Bad, sum.Trace, first = r.Bad, slices.Clone(r.Trace), seed*chunk
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
	c.Flags().IntVar(&steps, "steps", 90, "steps of each")
	c.Flags().StringVar(&model, "model", "all", "all, or one, with dashes for spaces")
	return c
}
