package main

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/spf13/cobra"

	"clovergap/internal/lab/exchange"
)

func gatewayExchangeCommand() *cobra.Command {
	var named, out string
	var seeds, jobs, slowReaders int
	var first uint64
	var dur time.Duration
	c := &cobra.Command{Use: "exchange", Short: "Long uploads and answers on real nodes, while clients and backends reset, close and stall",
		Args: exactly(0, "no arguments"),
		Long: "Starts three nodes. Clients upload 100 kB to 3 MB and get 300 B to 2 MB back; a half of them resets, closes or stalls at a\n" +
			"random time, many about when the answer begins. Others send small requests on kept connections. Backends answer early, reset\n" +
			"and stall. Ends with 1 if a node ends, a request on a kept connection has no answer, or a node holds more at the end than at\n" +
			"the start.",
		Example: "  lab gateway exchange --seeds 10 --for 300s --jobs 3\n  lab gateway exchange --slow-readers 500 --for 20s",
		RunE: func(c *cobra.Command, _ []string) error {
			if seeds < 1 || jobs < 1 || dur <= 0 || slowReaders < 0 {
				return usageError{errors.New("--seeds, --jobs and --for must be above 0, --slow-readers not below")}
			}
			path, done, err := program(gatewayProgram, named, "debug")
			if err != nil {
				return err
			}
			defer done()
			return playExchanges(c.Context(), exchange.Options{Program: path, Seed: first, For: dur, SlowReaders: slowReaders}, seeds, jobs, out)
		}}
	c.Flags().StringVar(&named, "program", "", "gateway program (default: built for debug)")
	c.Flags().StringVar(&out, "out", "", "add each run's result to this file of JSON lines")
	c.Flags().IntVar(&seeds, "seeds", 1, "how many runs")
	c.Flags().IntVar(&jobs, "jobs", 1, "runs side by side")
	c.Flags().IntVar(&slowReaders, "slow-readers", 0, "instead of uploads, so many clients that read nothing of an answer of 8 MB")
	c.Flags().Uint64Var(&first, "first", 1, "first seed")
	c.Flags().DurationVar(&dur, "for", 30*time.Second, "how long clients act")
	return c
}

// playExchanges plays seeds, some side by side, and fails if one of them found a fault.
func playExchanges(ctx context.Context, o exchange.Options, seeds, jobs int, out string) error {
	var mu sync.Mutex
	var all error
	var runs sync.WaitGroup
	free := make(chan bool, jobs)
	for i := range seeds {
		free <- true
		runs.Go(func() {
			defer func() { <-free }()
			seed := o
			seed.Seed += uint64(i)
			result, err := exchange.Play(ctx, seed)
			mu.Lock()
			defer mu.Unlock()
			if err == nil {
				err = errors.Join(printExchange(result), addResult(out, result))
			}
			all = errors.Join(all, err)
		})
	}
	runs.Wait()
	return all
}

// printExchange prints a result, and returns its faults as an error.
func printExchange(r *exchange.Result) error {
	fmt.Printf("seed %d, %.0f s: %+v\n", r.Seed, r.Seconds, r.Counts)
	for i := range r.End {
		fmt.Printf("  node %d: start %+v\n          peak  %+v\n          end   %+v\n", i, r.Start[i], r.Peak[i], r.End[i])
	}
	if len(r.Faults) == 0 {
		return nil
	}
	return fmt.Errorf("seed %d: %s", r.Seed, strings.Join(r.Faults, "; "))
}
