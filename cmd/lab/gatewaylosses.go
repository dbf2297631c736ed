package main

import (
	"errors"
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"clovergap/internal/lab/faultrig"
	"clovergap/internal/lab/leasecheck"
)

func gatewayLossesCommand() *cobra.Command {
	var named, out string
	var nodes, tries int
	var seed uint64
	var rate float64
	var cuts bool
	c := &cobra.Command{Use: "losses", Short: "How long until the core acknowledges and the nodes serve after a loss",
		Args: exactly(0, "no arguments"),
		Long: "Starts nodes, three of them with a disk, under load; kills the leader, freezes it, kills all nodes and starts\n" +
			"them again, in turn, each once all is well again. A change is sent right after the leader's loss, again and again\n" +
			"to nodes drawn at random, until it is acknowledged.",
		Example: "  lab gateway losses --nodes 5 --tries 30\n  lab gateway losses --cuts   # and the leader cut off, by a debug build",
		RunE: func(c *cobra.Command, _ []string) error {
			if tries < 1 || nodes < faultrig.Disks || nodes > 60 {
				return usageError{fmt.Errorf("--tries must be 1 at the least, --nodes %d to 60", faultrig.Disks)}
			}
			losses, tags := []faultrig.Loss{faultrig.Killed, faultrig.Frozen, faultrig.Emptied}, []string(nil)
			if cuts {
				losses, tags = []faultrig.Loss{faultrig.Partitioned}, []string{"debug"}
			}
			path, done, err := program(gatewayProgram, named, tags...)
			if err != nil {
				return err
			}
			defer done()
			all, err := faultrig.MeasureLosses(c.Context(), seed, nodes, tries, losses, faultrig.GatewayOptions{Program: path, Rate: rate},
				func(l faultrig.Loss, try int) { fmt.Printf("  %d of %d: %s\n", try+1, tries, l) })
			for _, s := range all { // what there is of them
				fmt.Printf("%s, on %d nodes; %d tries set aside, the rig was held up; at most %s in the rest:\n", s.Loss, nodes,
					s.Aside, s.Slow.Round(time.Millisecond))
				printSpan("another leads after", s.Leads)
				printSpan("a change is acknowledged after", s.Taken)
				printSpan("a quarter of the tries is served after", s.Serve)
				printSpan("every node serves every first route after", s.All)
				err = errors.Join(err, addResult(out, s))
			}
			return err
		}}
	c.Flags().StringVar(&named, "program", "", "gateway program (default: beside lab, under bin, or built; with --cuts built for debug)")
	c.Flags().StringVar(&out, "out", "", "add each loss's times to this file of JSON lines")
	c.Flags().IntVar(&nodes, "nodes", 5, "nodes, the first three with a disk")
	c.Flags().IntVar(&tries, "tries", 30, "how often each loss is brought")
	c.Flags().Uint64Var(&seed, "seed", 1, "seed of the load, and of when losses come")
	c.Flags().Float64Var(&rate, "rate", 80, "requests a second")
	c.Flags().BoolVar(&cuts, "cuts", false, "cut the leader off from all nodes, and nothing else")
	return c
}

// printSpan prints the median and the worst of some times, if there are any.
func printSpan(what string, of []time.Duration) {
	if len(of) > 0 {
		ms := func(q float64) time.Duration { return leasecheck.Quantile(of, q).Round(time.Millisecond) }
		fmt.Printf("  %-42s %d times, median %s, 90 %% %s, worst %s\n", what, len(of), ms(0.5), ms(0.9), ms(1))
	}
}
