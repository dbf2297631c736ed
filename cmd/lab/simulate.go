package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"runtime"
	"slices"
	"strings"
	"time"

	"github.com/spf13/cobra"
	"golang.org/x/term"

	"clovergap/internal/history"
	"clovergap/internal/invariant"
	"clovergap/internal/lab/experiments"
	"clovergap/internal/lab/faultrig"
	"clovergap/internal/lab/simulation"
	"clovergap/internal/lab/spec"
)

// simulate are the flags of days of the whole gateway in simulated time.
type simulate struct {
	site           simulation.Site
	seeds, most    int
	first          uint64
	dur            time.Duration
	jobs           int
	only           []int
	bytes          []int
	replay         uint64
	log, shrink    bool
	changes        bool
	hard           bool
	departures     bool
	cuts           bool
	firstBroken    bool
	days, broken   int
	simulated      time.Duration
	counts         simulation.Counts
	taken          int
	staleInContact uint64
	slowest        time.Duration
	rules          map[string]int
}

func simulateCommand() *cobra.Command {
	var k simulate
	c := &cobra.Command{Use: "simulate", Short: "Days of the whole gateway in simulated time, with random faults, judged",
		Args: exactly(0, "no arguments"),
		Long: "Plays nodes, backends, clients and an operator in simulated time; the nodes are the very code of gateway. Each\n" +
			"seed draws overlapping faults, biased to moments that matter, and the history is held against the rules. The same\n" +
			"seed and flags give the same day to the byte. Ends with 1 if a rule was broken.",
		Example: "  lab simulate --nodes 12 --disks 3 --seeds 1000\n" +
			"  lab simulate --replay 7 --log            # seed 7 again, with the nodes' log\n" +
			"  lab simulate --replay 7 --shrink         # as few of its faults as still fail\n" +
			"  lab simulate --replay 7 --only 0,2       # two of its faults\n" +
			"  lab simulate --bytes 3,12,48,96          # bytes a second between nodes in calm",
		RunE: func(c *cobra.Command, _ []string) error {
			s := k.site
			switch {
			case s.Nodes < 1 || s.Nodes > 1000 || s.Disks < 1 || s.Disks > s.Nodes:
				return usageError{errors.New("--nodes must be 1 to 1000, --disks 1 to as many")}
			case s.Zones < 0 || s.Zones > s.Nodes || k.seeds < 1 || k.jobs < 1 || k.most < 1 || k.dur <= 0:
				return usageError{errors.New("--zones must be 0 to --nodes; --seeds, --jobs, --faults and --for above nought")}
			case (k.log || k.shrink || len(k.only) > 0) && k.replay == 0:
				return usageError{errors.New("--log, --shrink and --only want --replay")}
			case len(k.bytes) > 0:
				return k.traffic(c.Context())
			case k.shrink:
				return k.smaller(c.Context())
			case k.replay > 0:
				return k.again()
			}
			return k.play(c.Context())
		}}
	f := c.Flags()
	f.IntVar(&k.site.Nodes, "nodes", 5, "nodes")
	f.IntVar(&k.site.Disks, "disks", 3, "the first so many nodes have a disk")
	f.IntVar(&k.site.Zones, "zones", 0, "zones (0: three, or as many as nodes)")
	f.IntVar(&k.site.Each, "backends", 0, "backends of each service in each zone (0: by the nodes)")
	f.Float64Var(&k.site.Rate, "rate", 0, "requests a second (0: by the nodes)")
	f.Float64Var(&k.site.Mbps, "mbps", 0, "of each machine's link (0: not bounded)")
	f.DurationVar(&k.site.Turn, "turn", 0, "processor time that a turn takes (0: none)")
	f.BoolVar(&k.site.Hot, "hot", false, "days on which a metered tenant rushes while nodes are cut off from each other")
	f.IntVar(&k.seeds, "seeds", 100, "how many days")
	f.Uint64Var(&k.first, "first", 1, "first seed")
	f.IntVar(&k.most, "faults", 6, "faults of a day at most")
	f.DurationVar(&k.dur, "for", 12*time.Second, "how long faults are brought; a day goes on until all has recovered")
	f.IntVar(&k.jobs, "jobs", max(1, runtime.NumCPU()/2), "days side by side")
	f.BoolVar(&k.hard, "hard", false, "days of another draw: machines with a disk replaced, cuts of 20 s, late copies of orders and replies,\n"+
		"restarts within a call, orders sent again long after")
	f.BoolVar(&k.departures, "departures", false, "days on which backends deregister without draining, and all processes are lost right after it")
	f.BoolVar(&k.cuts, "overlapping-cuts", false, "days on which nodes with a disk are cut off from each other, mostly in one direction, by cuts that overlap")
	f.BoolVar(&k.firstBroken, "first-broken", false, "end when a rule is broken")
	f.Uint64Var(&k.replay, "replay", 0, "play one seed's day again")
	f.BoolVar(&k.log, "log", false, "with --replay, write the nodes' log to standard error")
	f.BoolVar(&k.shrink, "shrink", false, "with --replay, find as few of its faults as still fail")
	f.IntSliceVar(&k.only, "only", nil, "with --replay, play these faults only, by number from 0")
	f.BoolVar(&k.changes, "changes", false, "with --bytes, while the configuration changes twice a second or so")
	f.IntSliceVar(&k.bytes, "bytes", nil, "count bytes between nodes in calm, for these numbers of nodes")
	return c
}

func (s *simulate) day(seed uint64) *simulation.Day {
	if s.departures {
		return simulation.DrawDepartures(s.site, seed, s.dur)
	}
	if s.cuts {
		return simulation.DrawOverlappingCuts(s.site, seed, s.dur)
	}
	if s.hard {
		return simulation.DrawHard(s.site, seed, s.most, s.dur)
	}
	return simulation.Draw(s.site, seed, s.most, s.dur)
}

// play plays the days.
func (s *simulate) play(ctx context.Context) error {
	ctx, enough := context.WithCancel(ctx)
	defer enough()
	began := time.Now()
	s.rules = map[string]int{}
	err := experiments.Seeds(ctx, s.first, s.seeds, s.jobs, func(seed uint64) (*simulation.Result, error) {
		return simulation.Play(s.day(seed)), nil
	}, func(done int, r *simulation.Result) error {
		s.add(r)
		if term.IsTerminal(int(os.Stderr.Fd())) || done%max(s.seeds/10, 1) == 0 {
			fmt.Fprintf(os.Stderr, "\r%d of %d days, %d broke rules, %.0f days an hour", done, s.seeds, s.broken,
				float64(done)/time.Since(began).Hours())
		}
		if len(r.Broken) > 0 && s.firstBroken {
			enough()
		}
		return nil
	})
	fmt.Fprintln(os.Stderr)
	if err != nil && (!s.firstBroken || s.broken == 0) {
		return err
	}
	n, took := float64(max(s.days, 1)), time.Since(began)
	fmt.Printf("%d nodes, %d disks, %d zones: %d days of %.1f s in the mean, in %.1f s with %d side by side: %.0f an hour\n",
		s.site.Nodes, s.site.Disks, s.site.Usual().Zones, s.days, s.simulated.Seconds()/n, took.Seconds(), s.jobs, n/took.Hours())
	fmt.Printf("a day: %.0f requests, %.1f %% served, %.1f %% in time, %.0f refused, %.0f voided, %.0f without an answer; %.1f configurations; "+
		"all served again %.1f s after the faults at the latest\n", float64(s.counts.Requested)/n,
		100*float64(s.counts.Served)/float64(max(1, s.counts.Requested)), 100*float64(s.counts.InTime)/float64(max(1, s.counts.Requested)),
		float64(s.counts.Rejected)/n, float64(s.counts.Aborted)/n, float64(s.counts.Failed)/n, float64(s.taken)/n, s.slowest.Seconds())
	fmt.Printf("%d times a member was stale in contact with a majority\n", s.staleInContact)
	if n := invariant.Violations(); n > 0 {
		fmt.Printf("%d must holds did not hold\n", n)
	}
	if s.broken > 0 {
		return fmt.Errorf("%d of %d days broke rules (%s)", s.broken, s.days, s.ruleNames())
	}
	return nil
}

func (s *simulate) ruleNames() string {
	var all []string
	for rule, n := range s.rules {
		all = append(all, fmt.Sprintf("%s %d", rule, n))
	}
	slices.Sort(all)
	return strings.Join(all, ", ")
}

// add counts a day, and prints what it broke.
func (s *simulate) add(r *simulation.Result) {
	s.days++
	s.simulated += r.SimulatedTime
	s.taken += r.AcceptedConfigs
	s.staleInContact += r.StaleInContact
	s.counts.Add(r.Counts)
	for _, x := range r.Recovered {
		s.slowest = max(s.slowest, x)
	}
	if len(r.Broken) == 0 {
		return
	}
	s.broken++
	had := map[string]bool{}
	for _, b := range r.Broken {
		if !had[b.Rule] {
			s.rules[b.Rule]++
		}
		had[b.Rule] = true
	}
	printDay(r, 4)
}

// printDay prints a day that broke rules.
func printDay(r *simulation.Result, most int) {
	fmt.Printf("\nseed %d BROKE %d: %s\n", r.Day.Seed, len(r.Broken), r.Broken[0])
	for i, b := range r.Broken[1:] {
		if i == most {
			fmt.Printf("      and %d more\n", len(r.Broken)-1-i)
			break
		}
		fmt.Printf("      %s\n", b)
	}
	for i, f := range r.Day.Faults {
		fmt.Printf("  %2d %s\n", i, formatFault(f))
	}
	if r.Day.Early {
		fmt.Println("  from the first start on")
	}
	if r.Day.Closing {
		fmt.Printf("  closing fault, a disk lost: %v\n", r.Day.Wipe)
	}
}

func formatFault(f spec.Fault) string {
	return fmt.Sprintf("%-12s at %.2fs for %.2fs, share %.1f", f.Kind, f.At.D().Seconds(), f.For.D().Seconds(), f.Share)
}

// chosen is the day to replay, or what is asked of it.
func (s *simulate) chosen() *simulation.Day {
	d := s.day(s.replay)
	if len(s.only) > 0 {
		var some []spec.Fault
		for i, f := range d.Faults {
			if slices.Contains(s.only, i) {
				some = append(some, f)
			}
		}
		d.Faults = some
	}
	return d
}

// again plays one day as it was.
func (s *simulate) again() error {
	d := s.chosen()
	if s.log {
		d.Log = io.Writer(os.Stderr)
	}
	r := simulation.Play(d)
	fmt.Printf("seed %d: %.1f s, %d events, digest %s\n", d.Seed, r.SimulatedTime.Seconds(), r.Events, r.Digest)
	fmt.Printf("%+v, %d configurations, served again after %v\n", r.Counts, r.AcceptedConfigs, r.Recovered)
	if len(r.Broken) > 0 {
		printDay(r, 40)
		return fmt.Errorf("broke %d rules", len(r.Broken))
	}
	return nil
}

// smaller shrinks a day that fails.
func (s *simulate) smaller(ctx context.Context) error {
	d, rule := s.chosen(), ""
	fails := failing(ctx, &rule, func(c *spec.Spec) ([]history.Violation, error) {
		x := *d
		x.Faults = c.Faults
		return simulation.Play(&x).Broken, ctx.Err()
	})
	whole := &spec.Spec{Faults: d.Faults}
	if bad, err := fails(whole); err != nil || !bad {
		return errors.Join(err, fmt.Errorf("seed %d breaks nothing", d.Seed))
	}
	fmt.Printf("fails by %q with %d faults, closing fault %v\n", rule, len(d.Faults), d.Closing)
	least, err := faultrig.Shrink(ctx, whole, 1, fails, func(left, tried int) {
		fmt.Printf("  %d faults are enough (%d plays)\n", left, tried)
	})
	if err != nil {
		return err
	}
	for _, f := range least.Faults {
		fmt.Printf("  number %d: %s\n", slices.Index(d.Faults, f), formatFault(f))
	}
	return nil
}

// traffic prints bytes a second of a node by what they are for, in calm.
func (s *simulate) traffic(ctx context.Context) error {
	fmt.Printf("bytes a second that a node sends in calm, beats each %s, configuration changed %v\n", s.site.Usual().Beat, s.changes)
	head := "%5v %5v %-8s"
	fmt.Printf(head, "nodes", "disks", "node")
	for _, kind := range simulation.TrafficKinds {
		fmt.Printf(" %10s", kind)
	}
	fmt.Printf(" %10s %10s\n", "all", "the most")
	for _, n := range s.bytes {
		site := s.site
		site.Nodes, site.Disks, site.Zones = n, min(s.site.Disks, n), min(max(s.site.Zones, 3), n)
		r := simulation.Play(&simulation.Day{Site: site, Seed: s.first, For: s.dur, Calm: true, Changes: s.changes})
		if len(r.Broken) > 0 {
			printDay(r, 4)
			return errors.New("a calm day broke rules")
		}
		row := func(name string, t simulation.Traffic, most string) {
			fmt.Printf(head, n, site.Disks, name)
			for _, kind := range simulation.TrafficKinds {
				fmt.Printf(" %10d", t[kind])
			}
			fmt.Printf(" %10d %10s\n", t.Sum(), most)
		}
		row("disk", r.Disks, fmt.Sprintf("%.0f", r.MaxNodeRate))
		if n > site.Disks {
			row("none", r.Others, "")
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
	return nil
}
