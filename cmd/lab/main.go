// Command lab runs experiments on front doors: in simulated time, or on loopback with real processes.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"clovergap/internal/lab/emulator"
	"clovergap/internal/lab/experiments"
	"clovergap/internal/lab/spec"
)

// usageError is one of how the program was called: it exits with 2, not 1.
type usageError struct{ error }

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	os.Exit(execute(ctx, os.Args[1:]))
}

func execute(ctx context.Context, args []string) int {
	root := command()
	root.SetArgs(args)
	if err := root.ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "lab:", err)
		var usage usageError
		if errors.As(err, &usage) || strings.HasPrefix(err.Error(), "unknown command") {
			return 2
		}
		return 1
	}
	return 0
}

// exactly asks for so many arguments; anything else is a usage error.
func exactly(n int, what string) cobra.PositionalArgs {
	return func(_ *cobra.Command, args []string) error {
		if len(args) != n {
			return usageError{fmt.Errorf("wants %s, got %d arguments", what, len(args))}
		}
		return nil
	}
}

func command() *cobra.Command {
	root := &cobra.Command{Use: "lab", Short: "Experiments on clovergap front doors", SilenceUsage: true, SilenceErrors: true,
		Long: "lab plays fleets of front doors in simulated time (run, sweep), compares and draws results (compare, report), and\n" +
			"starts real front doors on loopback (bench, demo). Exit codes: 0 good, 1 failed or worse, 2 usage."}
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return usageError{err} })
	root.AddCommand(runCommand(), sweepCommand(), compareCommand(), reportCommand(), benchCommand(), demoCommand(), chaosCommand(), mutantsCommand(), keptCommand(), leasesCommand(), gatewayCommand(), simulateCommand(), capacityCommand(), daysCommand())
	return root
}

func runCommand() *cobra.Command {
	var out, policy string
	var seed uint64
	var marks bool
	var random, most int
	var keep string
	var firstOnly bool
	c := &cobra.Command{Use: "run FILE", Short: "Play one experiment in simulated time", Args: exactly(1, "one experiment file"),
		Example: "  lab run lab/calm.toml\n  lab run lab/zone-loss.toml --seed 7 --out results.jsonl\n" +
			"  lab run lab/scopes.toml --random 1000 --keep found",
		RunE: func(c *cobra.Command, args []string) error {
			s, err := spec.Load(args[0])
			if err != nil {
				return err
			}
			if c.Flags().Changed("seed") {
				s.Seed = seed
			}
			if policy != "" {
				s.Policy = policy
			}
			if random > 0 {
				return randomRuns(c.Context(), s, random, most, keep, firstOnly)
			}
			began := time.Now()
			r, err := experiments.One(s, args[0], marks && s.Policy == "module")
			if err != nil {
				return err
			}
			show(r, time.Since(began))
			if out != "" {
				f, err := os.OpenFile(out, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
				if err != nil {
					return err
				}
				defer f.Close()
				if err := experiments.Append(f, r); err != nil {
					return err
				}
			}
			if r.RulesBroken > 0 {
				return fmt.Errorf("%d rules broken", r.RulesBroken)
			}
			return nil
		}}
	c.Flags().StringVar(&out, "out", "", "add the result to this file of JSON lines")
	c.Flags().StringVar(&policy, "policy", "", strings.Join(spec.Policies, ", ")+" in place of the file's")
	c.Flags().Uint64Var(&seed, "seed", 1, "seed in place of the file's")
	c.Flags().IntVar(&random, "random", 0, "play so many random overlapping schedules on top of the file's faults, on all cores")
	c.Flags().IntVar(&most, "faults", 6, "with --random, drawn faults of a schedule at most")
	c.Flags().BoolVar(&firstOnly, "first-broken", false, "with --random, end when a rule is broken")
	c.Flags().StringVar(&keep, "keep", "found", "with --random, folder for schedules that broke a rule")
	c.Flags().BoolVar(&marks, "marks", true, "play both marks as well, for the place between them")
	return c
}

// show prints a result for people.
func show(r *emulator.Result, took time.Duration) {
	fmt.Printf("%s, seed %d, %s: %d front doors, %d backends, %.0f simulated seconds\n", r.Name, r.Seed, r.Policy, r.Nodes, r.Backends, r.Seconds)
	fmt.Printf("  service %.3f  score %.3f  place %.2f (marks %.3f, %.3f)  worst second %.2f\n", r.Service, r.Score, r.Place, r.Low, r.High, r.Worst)
	fmt.Printf("  %d requests, %d tries, %d submissions; settled %d (%d late), declined %d tries, voided %d; beyond quotas %d\n", r.Requests, r.Attempts,
		r.Submissions, r.Succeeded, r.Late, r.Rejected, r.Failed, r.Beyond)
	fmt.Printf("  ms: median %.0f, 90 %% %.0f, 99 %% %.0f; %d new connections, %d messages; given up: %v\n", r.P50, r.P90, r.P99, r.Handshakes, r.Messages, r.Reasons)
	for _, g := range r.Plans {
		fmt.Printf("  plan %-10s %.3f\n", g.Name, g.Service)
	}
	for _, n := range r.Notes {
		fmt.Println("  " + n)
	}
	for _, b := range r.Broken {
		fmt.Println("  BROKEN", b)
	}
	if took > 0 {
		fmt.Printf("  %d events in %.2f s of real time with the marks: %.0f a second\n", r.Events, took.Seconds(), float64(r.Events)/took.Seconds())
	}
}

func sweepCommand() *cobra.Command {
	var out string
	c := &cobra.Command{Use: "sweep FILE", Short: "Play a grid of experiments over many seeds, in parallel", Args: exactly(1, "one sweep file"),
		Long: "Plays every point of the file's grid with every seed. Results go to a file of JSON lines and a table beside it; what\n" +
			"the file holds already is not played again, so an interrupted sweep goes on with the same call.",
		Example: "  lab sweep lab/load-sweep.toml --out load.jsonl",
		RunE: func(c *cobra.Command, args []string) error {
			s, err := experiments.LoadSweep(args[0])
			if err != nil {
				return err
			}
			if out == "" {
				out = strings.TrimSuffix(filepath.Base(args[0]), ".toml") + ".jsonl"
			}
			err = s.Run(c.Context(), out, func(done, all int, r *emulator.Result) {
				fmt.Fprintf(os.Stderr, "%d of %d: %s seed %d: service %.3f place %.2f rules broken %d\n", done, all, r.Point, r.Seed, r.Service, r.Place,
					r.RulesBroken)
			})
			if err != nil {
				return err
			}
			return table(out)
		}}
	c.Flags().StringVar(&out, "out", "", "file of JSON lines (default: the sweep's name)")
	return c
}

// table writes a result file's table beside it.
func table(file string) error {
	all, _, err := experiments.Read(file)
	if err != nil {
		return err
	}
	f, err := os.Create(strings.TrimSuffix(file, ".jsonl") + ".csv")
	if err != nil {
		return err
	}
	defer f.Close()
	return experiments.Table(f, all)
}

func compareCommand() *cobra.Command {
	var metric string
	var margin float64
	c := &cobra.Command{Use: "compare A B", Short: "Compare two files of results, pair by pair", Args: exactly(2, "two files of results"),
		Long: "Pairs results by experiment, point and seed, and gives the mean difference B less A with its 95 % interval. Exits with 1\n" +
			"where B is surely worse by more than the margin, or breaks more rules.",
		Example: "  lab compare before.jsonl after.jsonl --metric place --margin 0.02",
		RunE: func(_ *cobra.Command, args []string) error {
			a, _, err := experiments.Read(args[0])
			if err != nil {
				return err
			}
			b, _, err := experiments.Read(args[1])
			if err != nil {
				return err
			}
			x, err := experiments.Compare(a, b, metric)
			if err != nil {
				return err
			}
			fmt.Println(x)
			if x.Worse(margin) {
				return fmt.Errorf("%s is worse by more than %g", args[1], margin)
			}
			return nil
		}}
	c.Flags().StringVar(&metric, "metric", "score", "place, score, service or worst")
	c.Flags().Float64Var(&margin, "margin", 0.01, "what B may be worse by")
	return c
}

func reportCommand() *cobra.Command {
	var out, title string
	c := &cobra.Command{Use: "report RESULTS", Short: "Draw results as one HTML page", Args: exactly(1, "one file of results"),
		Example: "  lab report load.jsonl --out load.html",
		RunE: func(_ *cobra.Command, args []string) error {
			all, cut, err := experiments.Read(args[0])
			if err != nil {
				return err
			}
			if cut {
				fmt.Fprintf(os.Stderr, "%s: the last line is cut off and left out\n", args[0])
			}
			if len(all) == 0 {
				return fmt.Errorf("%s holds no results", args[0])
			}
			if out == "" {
				out = strings.TrimSuffix(args[0], ".jsonl") + ".html"
			}
			f, err := os.Create(out)
			if err != nil {
				return err
			}
			defer f.Close()
			if title == "" {
				title = all[0].Name
			}
			return experiments.Report(f, title, all)
		}}
	c.Flags().StringVar(&out, "out", "", "page to write (default: beside the results)")
	c.Flags().StringVar(&title, "title", "", "of the page")
	return c
}
