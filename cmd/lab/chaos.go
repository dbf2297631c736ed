package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/spf13/cobra"
	"golang.org/x/term"

	"clovergap/internal/history"
	"clovergap/internal/lab/emulator"
	"clovergap/internal/lab/experiments"
	"clovergap/internal/lab/faultrig"
	"clovergap/internal/lab/spec"
)

// chaos are the flags of playing on real processes.
type chaos struct {
	seedRuns
	named, out, operator string
	nodes, most, times   int
	dur                  time.Duration
	rate                 float64
	shrink, replay, own  bool
}

func chaosCommand() *cobra.Command {
	var k chaos
	c := &cobra.Command{Use: "chaos FILE", Short: "Random overlapping faults on real front doors, checked", Args: exactly(1, "one experiment file"),
		Long: "Starts the experiment's front doors as processes between stand-ins, draws random overlapping faults from each seed,\n" +
			"plays them, and holds the history of what all of them did against the rules. What fails is kept with its history\n" +
			"(--keep), made smaller (--shrink), and can be played again (--replay, which draws nothing). Ends with 1 if a rule\n" +
			"was broken. A run stopped by Ctrl-C leaves no process behind.",
		Example: "  lab chaos lab/chaos.toml --seeds 20 --for 30s --keep found\n  lab chaos found/chaos-7.toml --shrink\n" +
			"  lab chaos found/chaos-7-least.toml --replay --times 10",
		RunE: func(c *cobra.Command, args []string) error {
			s, err := spec.Load(args[0])
			if err != nil {
				return err
			}
			if k.nodes > 0 {
				s.Nodes.Count = k.nodes
			}
			if c.Flags().Changed("for") {
				if k.replay || k.shrink {
					return usageError{errors.New("--for would cut a schedule that is played again")}
				}
				s.For = spec.Span(k.dur)
			}
			if k.seeds < 1 || k.jobs < 1 || k.times < 1 || k.most < 1 {
				return usageError{errors.New("--seeds, --jobs, --times and --faults must be 1 at the least")}
			}
			path, done, err := program("clovergap", k.named)
			if err != nil {
				return err
			}
			defer done()
			k.named = path
			if k.operator != "" {
				text, err := os.ReadFile(k.operator)
				if err != nil {
					return err
				}
				k.operator, k.own = string(text), true
			}
			switch {
			case k.shrink:
				return k.smaller(c.Context(), s, args[0])
			case k.replay:
				return k.again(c.Context(), s)
			}
			return k.draw(c.Context(), s)
		}}
	c.Flags().StringVar(&k.named, "program", "", "clovergap program (default: beside lab, under bin, or built)")
	c.Flags().StringVar(&k.operator, "operator", "", "operator file for the front doors; {name} and {dir} stand for its name and the fleet's folder")
	c.Flags().StringVar(&k.keep, "keep", "found", "folder for schedules and histories of what failed")
	c.Flags().StringVar(&k.out, "out", "", "add each run's result to this file of JSON lines")
	c.Flags().IntVar(&k.seeds, "seeds", 5, "how many schedules")
	c.Flags().Uint64Var(&k.first, "first", 1, "first seed")
	c.Flags().IntVar(&k.nodes, "nodes", 0, "front doors in place of the file's")
	c.Flags().IntVar(&k.most, "faults", 6, "faults of a schedule at most")
	c.Flags().DurationVar(&k.dur, "for", 30*time.Second, "how long each runs, in place of the file's")
	c.Flags().Float64Var(&k.rate, "rate", 0, "requests a second in place of the file's load")
	c.Flags().IntVar(&k.jobs, "jobs", 1, "runs side by side")
	c.Flags().IntVar(&k.times, "times", 1, "with --replay, how often; with --shrink, how often each try is played at most")
	c.Flags().BoolVar(&k.shrink, "shrink", false, "find as few of the file's faults as still fail")
	c.Flags().BoolVar(&k.replay, "replay", false, "play the file's faults as they are")
	c.Flags().BoolVar(&k.firstBroken, "first-broken", false, "end when a rule is broken")
	c.Flags().BoolVar(&k.own, "own", false, "the front doors' own histories too")
	return c
}

func (c *chaos) options() faultrig.Options {
	return faultrig.Options{Program: c.named, Rate: c.rate, Cores: 1, MemoryMB: 192, Sockets: 1024, Keep: c.keep, Own: c.own, Operator: c.operator}
}

// report prints a run's line and adds it to the file of results.
func (c *chaos) report(r *faultrig.Result) error {
	verdict := "kept all rules"
	if len(r.Broken) > 0 {
		verdict = fmt.Sprintf("BROKE %d: %s", len(r.Broken), r.Broken[0])
	}
	if r.Doubt != "" {
		verdict += fmt.Sprintf("; times not to be trusted (%s), %d set aside", r.Doubt, len(r.Doubted))
	}
	fmt.Printf("%s seed %d: %d front doors, %d faults, %d asked, %d settled, %d refused, %d voided, %d without answer, beyond quota %.3f, held up %s: %s\n",
		r.Name, r.Seed, r.Nodes, r.Faults, r.Asked, r.Settled, r.Refused, r.Voided, r.Failed, r.Beyond, r.Slow.Round(time.Millisecond), verdict)
	if r.LeaseGrants > 0 {
		fmt.Printf("  leases: %d grants and renewals, %d steps taken, %d stale ones refused\n", r.LeaseGrants, r.Steps, r.Stale)
	}
	return addResult(c.out, r)
}

// addResult adds a play's result to a file, one JSON object a line; without a file it does nothing.
func addResult(file string, r any) error {
	if file == "" {
		return nil
	}
	f, err := os.OpenFile(file, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
	if err != nil {
		return err
	}
	b, err := json.Marshal(r)
	if err == nil {
		_, err = f.Write(append(b, '\n'))
	}
	return errors.Join(err, f.Close())
}

// draw plays random schedules, some side by side.
func (c *chaos) draw(ctx context.Context, s *spec.Spec) error {
	return playSeeds(ctx, &c.seedRuns, func(ctx context.Context, seed uint64) (*faultrig.Result, error) {
		return faultrig.Play(ctx, s.Drawn(seed, c.most, false), c.options())
	}, func(r *faultrig.Result) (bool, error) { return len(r.Broken) > 0, c.report(r) })
}

// failing makes of a play one that tells whether it breaks the rule: the one that is broken first, and the same all the way, or
// another failure would be found. A play that was ended from outside breaks nothing.
func failing(ctx context.Context, rule *string, play func(*spec.Spec) ([]history.Violation, error)) func(*spec.Spec) (bool, error) {
	return func(c *spec.Spec) (bool, error) {
		broken, err := play(c)
		if err != nil {
			if ctx.Err() != nil {
				return false, nil
			}
			return false, err
		}
		for _, b := range broken {
			if *rule == "" || b.Rule == *rule {
				*rule = b.Rule
				return true, nil
			}
		}
		return false, nil
	}
}

// smaller shrinks a schedule that fails.
func (c *chaos) smaller(ctx context.Context, s *spec.Spec, file string) error {
	rule := ""
	fails := failing(ctx, &rule, func(item *spec.Spec) ([]history.Violation, error) {
		o := c.options()
		o.Keep = ""
		r, err := faultrig.Play(ctx, item, o)
		if err != nil {
			return nil, err
		}
		return r.Broken, nil
	})
	times := max(c.times, 3)
	found := false
	for i := 0; i < times && !found; i++ {
		bad, err := fails(s)
		if err != nil {
			return err
		}
		found = bad
	}
	if !found {
		return fmt.Errorf("%s did not fail in %d plays", file, times)
	}
	fmt.Printf("fails by %q with %d faults\n", rule, len(s.Faults))
	least, err := faultrig.Shrink(ctx, s, times, fails, func(left, tried int) { fmt.Printf("  %d faults are enough (%d plays)\n", left, tried) })
	if err != nil {
		return err
	}
	least.Name += "-least"
	if err := faultrig.Keep(c.keep, least, &faultrig.Result{Broken: []history.Violation{{Rule: rule, What: "shrunk from " + filepath.Base(file)}}}); err != nil {
		return err
	}
	for _, f := range least.Faults {
		fmt.Printf("  %s at %s for %s\n", f.Kind, f.At.D(), f.For.D())
	}
	fmt.Printf("kept as %s\n", filepath.Join(c.keep, fmt.Sprintf("%s-%d.toml", least.Name, least.Seed)))
	return nil
}

// again plays a schedule as it is.
func (c *chaos) again(ctx context.Context, s *spec.Spec) error {
	broken := 0
	for i := 0; i < c.times; i++ {
		r, err := faultrig.Play(ctx, s, c.options())
		if err != nil {
			return err
		}
		if len(r.Broken) > 0 {
			broken++
		}
		if err := c.report(r); err != nil {
			return err
		}
	}
	if broken > 0 {
		return fmt.Errorf("broke rules in %d of %d plays", broken, c.times)
	}
	return nil
}

// randomRuns plays random schedules in simulated time on all cores.
func randomRuns(ctx context.Context, s *spec.Spec, n, most int, keep string, firstOnly bool) error {
	began, broken := time.Now(), 0
	ctx, enough := context.WithCancel(ctx)
	defer enough()
	err := experiments.Random(ctx, s, n, most, func(done int, c *spec.Spec, r *emulator.Result) error {
		if term.IsTerminal(int(os.Stderr.Fd())) || done%max(n/10, 1) == 0 {
			fmt.Fprintf(os.Stderr, "\r%d of %d, %d broke rules", done, n, broken)
		}
		if r.RulesBroken == 0 {
			return nil
		}
		if broken++; firstOnly {
			enough()
		}
		bad := make([]history.Violation, 0, len(r.Broken))
		for _, b := range r.Broken {
			bad = append(bad, history.Violation{Rule: b.Rule.String(), Time: b.Time, Who: fmt.Sprint("front door ", b.Node), Txn: fmt.Sprint(b.Txn), What: b.What})
		}
		fmt.Printf("\nseed %d BROKE %d: %s\n", c.Seed, r.RulesBroken, bad[0])
		return faultrig.Keep(keep, c, &faultrig.Result{Broken: bad})
	})
	fmt.Fprintln(os.Stderr)
	if err != nil && (!firstOnly || broken == 0) {
		return err
	}
	fmt.Printf("%s: %d random schedules in %.1f s, %d broke rules\n", s.Name, n, time.Since(began).Seconds(), broken)
	if broken > 0 {
		return fmt.Errorf("%d of %d schedules broke rules; they are kept in %s", broken, n, keep)
	}
	return nil
}
