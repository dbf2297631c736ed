package main

import (
	"bufio"
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sort"
	"strings"
	"sync/atomic"
	"time"

	"github.com/spf13/cobra"
	"golang.org/x/term"

	"clovergap/internal/lab/spec"
	"clovergap/internal/lab/standin"
)

// program finds a program of the module, such as the front door's: as named, beside this one, under bin, or built from the module at hand; with
// tags it is always built.
func program(what, named string, tags ...string) (path string, done func(), err error) {
	done = func() {}
	if named != "" {
		return named, done, nil
	}
	self, _ := os.Executable()
	beside := []string{filepath.Join(filepath.Dir(self), what), filepath.Join("bin", what)}
	if len(tags) > 0 {
		beside = nil // what lies there is a release
	}
	for _, p := range beside {
		if i, missing := os.Stat(p); missing == nil && !i.IsDir() {
			p, err = filepath.Abs(p)
			return p, done, err
		}
	}
	if _, err = os.Stat(filepath.Join("cmd", what)); err != nil {
		return "", done, fmt.Errorf("no %s program found: name it with --program", what)
	}
	dir, err := os.MkdirTemp("", "clovergap-build-")
	if err != nil {
		return "", done, err
	}
	path = filepath.Join(dir, what)
	if out, err := exec.Command("go", "build", "-tags", strings.Join(tags, ","), "-o", path, "./cmd/"+what).CombinedOutput(); err != nil {
		os.RemoveAll(dir)
		return "", done, fmt.Errorf("building %s: %w: %s", what, err, out)
	}
	return path, func() { os.RemoveAll(dir) }, nil
}

// small is a fleet that fits on one machine.
func small(nodes, backends int) *spec.Spec {
	s := spec.Default()
	s.Name, s.Nodes.Count, s.Backends.Count = "loopback", nodes, backends
	for i := range s.Products {
		s.Products[i].Work = spec.Span(20 * time.Millisecond)
	}
	return &s
}

func benchCommand() *cobra.Command {
	var named, mode string
	var rate float64
	var clients, backends, conns int
	var dur time.Duration
	c := &cobra.Command{Use: "bench", Short: "Load one real front door on loopback", Args: exactly(0, "no arguments"),
		Long: "Starts one front door and stand-in backends that answer at once, and loads it in a closed loop (so many clients, each\n" +
			"asking again when answered) or an open one (a rate, with times counted from when each request was meant to go).",
		Example: "  lab bench --clients 64 --for 10s\n  lab bench --mode open --rate 2000 --for 10s",
		RunE: func(c *cobra.Command, _ []string) error {
			if mode != "open" && mode != "closed" {
				return usageError{fmt.Errorf("--mode must be open or closed, not %q", mode)}
			}
			path, done, err := program("clovergap", named)
			if err != nil {
				return err
			}
			defer done()
			s := small(1, backends)
			s.Plans = []spec.Plan{{Name: "bench", Share: 1, Rate: 1e6, Burst: 1e6, Price: 1, Width: 1}}
			s.Backends.Slots, s.Backends.Queue = 1000, 10000
			for i := range s.Products {
				s.Products[i].Work, s.Products[i].SLA, s.Products[i].Expiry = spec.Span(time.Millisecond), spec.Span(2*time.Second), spec.Span(5*time.Second)
			}
			f, err := standin.Start(s, path, 1, 512, 8192)
			if err != nil {
				return err
			}
			defer f.Close()
			load := standin.NewClients(f, conns)
			load.Rate = func() float64 { return rate }
			load.Closed(c.Context(), 16, time.Second) // connections open, usual times are learned
			warm := standin.NewClients(f, conns)
			warm.Rate = load.Rate
			cpu0, err := f.Nodes[0].CPU()
			if err != nil {
				return err
			}
			allocs := f.Nodes[0].Counters(2 * time.Second)["allocations"]
			began := time.Now()
			if mode == "open" {
				warm.Open(c.Context(), dur)
			} else {
				warm.Closed(c.Context(), clients, dur)
			}
			took := time.Since(began)
			cpu1, err := f.Nodes[0].CPU()
			if err != nil {
				return err
			}
			allocs = f.Nodes[0].Counters(2 * time.Second)["allocations"] - allocs
			if who := f.Crashed(); len(who) > 0 {
				return fmt.Errorf("front doors %v ended by themselves", who)
			}
			o := warm.Outcomes()[""]
			n, cpu := float64(max(o.Requests, 1)), cpu1-cpu0
			fmt.Printf("%s loop, %s: %d requests, settled %d, declined %d, voided %d, failed %d, wrong %d\n", mode, took.Round(time.Millisecond),
				o.Requests, o.Settled, o.Declined, o.Voided, o.Failed, o.Wrong)
			fmt.Printf("  %.0f txns a second; CPU %.2f of a core, %.1f us a txn, so %.0f txns a second a core\n", n/took.Seconds(),
				cpu.Seconds()/took.Seconds(), float64(cpu.Microseconds())/n, n/max(cpu.Seconds(), 0.01))
			fmt.Printf("  times of settled ones: median %s, 90 %% %s, 99 %% %s, 99.9 %% %s; resident %.1f MB at most, %.1f allocations a txn\n", warm.Quantile(50), warm.Quantile(90),
				warm.Quantile(99), warm.Quantile(99.9), f.Nodes[0].Memory(), float64(allocs)/n)
			if o.Wrong > 0 {
				return fmt.Errorf("%d requests were settled with another's answer", o.Wrong)
			}
			return nil
		}}
	c.Flags().StringVar(&named, "program", "", "clovergap program (default: beside lab, under bin, or built)")
	c.Flags().StringVar(&mode, "mode", "closed", "open or closed loop")
	c.Flags().Float64Var(&rate, "rate", 1000, "requests a second, open loop")
	c.Flags().IntVar(&clients, "clients", 64, "clients, closed loop")
	c.Flags().IntVar(&backends, "backends", 4, "stand-in backends")
	c.Flags().IntVar(&conns, "conns", 512, "connections to the front door at most")
	c.Flags().DurationVar(&dur, "for", 10*time.Second, "how long")
	return c
}

// faults of the demo, by their key.
var faults = []struct{ key, name, what string }{
	{"1", "slow", "a third of the backends six times slower"}, {"2", "zone-loss", "zone b's backends are gone"},
	{"3", "failing", "half of the backends fail half of their answers"}, {"4", "node-kill", "one front door is killed, and starts again after 3 s"},
	{"5", "burst", "four times the load"}, {"6", "silent", "a third of the backends never answer"},
	{"7", "half", "a fifth of all answers break off in the middle"}, {"0", "none", "all is well again"},
}

func demoCommand() *cobra.Command {
	var named, fault string
	var dur time.Duration
	var rate float64
	c := &cobra.Command{Use: "demo", Short: "Three real front doors on loopback, a live table, and faults by key", Args: exactly(0, "no arguments"),
		Long: "Starts three front doors, six stand-in backends in two zones, discovery and clients, and shows each second what was\n" +
			"served and why the rest was not. A key and Enter brings a fault; Ctrl-C or --for ends it with a summary.",
		Example: "  lab demo\n  lab demo --for 10s --fault zone-loss",
		RunE: func(c *cobra.Command, _ []string) error {
			known := fault == ""
			for _, f := range faults {
				known = known || f.name == fault
			}
			if !known {
				return usageError{fmt.Errorf("no such fault: %q", fault)}
			}
			return showDemo(c, "clovergap", named, dur, func(ctx context.Context, path string) error {
				return demo(ctx, path, fault, rate, dur)
			})
		}}
	c.Flags().StringVar(&named, "program", "", "clovergap program (default: beside lab, under bin, or built)")
	c.Flags().StringVar(&fault, "fault", "", "fault to bring after a third of the time: "+faultNames())
	c.Flags().DurationVar(&dur, "for", 0, "end after this long (default: at Ctrl-C)")
	c.Flags().Float64Var(&rate, "rate", 120, "requests a second")
	return c
}

func faultNames() string {
	var n []string
	for _, f := range faults {
		n = append(n, f.name)
	}
	return strings.Join(n, ", ")
}

func demo(ctx context.Context, path, fault string, rate float64, dur time.Duration) error {
	s := small(3, 6)
	f, err := standin.Start(s, path, 1, 192, 1024)
	if err != nil {
		return err
	}
	defer f.Close()
	var factor atomic.Int64
	factor.Store(1)
	load := standin.NewClients(f, 256)
	load.Rate = func() float64 { return rate * float64(factor.Load()) }
	loads := make(chan struct{})
	go func() { defer close(loads); load.Open(ctx, 24*time.Hour) }()
	keys := make(chan string)
	if term.IsTerminal(int(os.Stdin.Fd())) {
		for _, x := range faults {
			fmt.Printf("  %s  %-10s %s\n", x.key, x.name, x.what)
		}
		go func() {
			for in := bufio.NewScanner(os.Stdin); in.Scan(); {
				keys <- strings.TrimSpace(in.Text())
			}
		}()
	}
	var later <-chan time.Time
	if fault != "" {
		wait := 3 * time.Second
		if dur > 0 {
			wait = dur / 3
		}
		later = time.After(wait)
	}
	fmt.Println(" sec  asked served  late declined voided failed | gave up: time units view slots ceiling backends | ready backends, nodes")
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	last, lastWhy := standin.Outcome{}, map[string]int{}
	bring := func(name string) {
		fmt.Println("  --", name)
		apply(f, name, &factor)
	}
	for sec := 1; ; {
		select {
		case <-ctx.Done():
			<-loads
			return summary(f, load)
		case k := <-keys:
			for _, x := range faults {
				if x.key == k || x.name == k {
					bring(x.name)
				}
			}
		case <-later:
			bring(fault)
		case <-tick.C:
			now := load.Outcomes()[""]
			why := reasons(f)
			line := fmt.Sprintf("%4d %6d %6d %5d %8d %6d %6d | %13d %5d %4d %5d %7d %8d |", sec, now.Requests-last.Requests, now.InTime-last.InTime,
				now.Settled-now.InTime-(last.Settled-last.InTime), now.Declined-last.Declined, now.Voided-last.Voided, now.Failed-last.Failed,
				why["time"]-lastWhy["time"], why["units"]-lastWhy["units"], why["view"]-lastWhy["view"], why["slots"]-lastWhy["slots"],
				why["ceiling"]-lastWhy["ceiling"], why["backends"]-lastWhy["backends"])
			up := 0
			for _, d := range f.Nodes {
				if d.Up() {
					up++
				}
			}
			fmt.Printf("%s %d, %d\n", line, f.Ready(), up)
			last, lastWhy = now, why
			sec++
		}
	}
}

// reasons adds up what the front doors count of what they gave up.
func reasons(f *standin.Fleet) map[string]int {
	sum := map[string]int{}
	for _, d := range f.Nodes {
		for k, n := range d.Counters(300 * time.Millisecond) {
			if why, ok := strings.CutPrefix(k, "gave up: "); ok {
				sum[why] += n
			}
		}
	}
	return sum
}

// apply brings a fault.
func apply(f *standin.Fleet, name string, factor *atomic.Int64) {
	third := max(1, len(f.Backends)/3)
	switch name {
	case "slow":
		for _, b := range f.Backends[:third] {
			b.Set(standin.Mode{Slow: 6})
		}
	case "silent":
		for _, b := range f.Backends[:third] {
			b.Set(standin.Mode{Silent: 1})
		}
	case "failing":
		for _, b := range f.Backends[:len(f.Backends)/2] {
			b.Set(standin.Mode{Fail: 0.5})
		}
	case "half":
		for _, b := range f.Backends {
			b.Set(standin.Mode{Half: 0.2})
		}
	case "zone-loss":
		f.Lose("b", 1500*time.Millisecond)
	case "node-kill":
		go f.Bounce(f.Nodes[len(f.Nodes)-1], 3*time.Second)
	case "burst":
		factor.Store(4)
	case "none":
		factor.Store(1)
		f.Heal()
	}
}

func summary(f *standin.Fleet, load *standin.Clients) error {
	all := load.Outcomes()
	var plans []string
	for p := range all {
		plans = append(plans, p)
	}
	sort.Strings(plans)
	fmt.Println("summary (stand-ins on loopback):")
	for _, p := range plans {
		o := all[p]
		name := p
		if p == "" {
			name = "all"
		}
		fmt.Printf("  %-8s %6d requests, served in time %5.1f %%, late %d, declined %d, voided %d, failed %d\n", name, o.Requests,
			100*float64(o.InTime)/float64(max(o.Requests, 1)), o.Settled-o.InTime, o.Declined, o.Voided, o.Failed)
	}
	fmt.Printf("  times: median %s, 99 %% %s\n", load.Quantile(50), load.Quantile(99))
	twice := 0
	for _, b := range f.Backends {
		twice += b.Twice()
	}
	if who := f.Crashed(); len(who) > 0 {
		return fmt.Errorf("front doors %v ended by themselves", who)
	}
	if all[""].Wrong > 0 || twice > 0 {
		return fmt.Errorf("%d requests got another's answer, %d ran twice on one backend", all[""].Wrong, twice)
	}
	return nil
}

// showDemo runs a demo of a program that is found or built for it, for so long, or without end.
func showDemo(c *cobra.Command, name, named string, dur time.Duration, run func(context.Context, string) error) error {
	path, done, err := program(name, named)
	if err != nil {
		return err
	}
	defer done()
	ctx, cancel := c.Context(), context.CancelFunc(func() {})
	if dur > 0 {
		ctx, cancel = context.WithTimeout(ctx, dur)
	}
	defer cancel()
	return run(ctx, path)
}
