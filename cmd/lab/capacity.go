package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"runtime"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"clovergap/internal/lab/capacity"
	"clovergap/internal/lab/simulation"
)

// capacityRun are the flags of measuring how a deployment grows.
type capacityRun struct {
	sizes     []int
	site      simulation.Site
	full      bool
	each      float64 // requests a second at each node
	warm, dur time.Duration
	seed      uint64
	phases    []string
	out       string
	fit       []string
	state     bool
	hollow    int
	changes   int
	memory    uint64 // MB
	added     string
	every     time.Duration
	from      int
	axis      string
	target    float64
}

func capacityCommand() *cobra.Command {
	var k capacityRun
	c := &cobra.Command{Use: "capacity", Short: "How state, messages and work grow with the fleet, and what that comes to at the target",
		Args: exactly(0, "no arguments"),
		Long: "Plays fleets of several sizes in simulated time: the nodes are the very code of gateway, without clients' bytes. Backends,\n" +
			"services, routes and tenants grow with the nodes, or are those of the target. Counted are bytes, frames, links and\n" +
			"processor time of each node, calm and in trouble, and times to the last node. --fit reads what was measured.",
		Example: "  lab capacity --sizes 3,12,48,96 --out docs/capacity/nodes.jsonl\n" +
			"  lab capacity --fit docs/capacity/nodes.jsonl          # slopes, errors, the sum at the target\n" +
			"  lab capacity --state                                   # bytes in memory of each part",
		RunE: func(c *cobra.Command, _ []string) error {
			switch {
			case k.state:
				return capacity.PrintState(os.Stdout)
			case k.added != "":
				return k.adds(c.Context())
			case k.hollow > 0:
				return k.real(c.Context())
			case len(k.fit) > 0:
				return k.slopes()
			}
			return k.play(c.Context())
		}}
	f := c.Flags()
	f.IntSliceVar(&k.sizes, "sizes", []int{3, 12, 48}, "numbers of nodes")
	f.IntVar(&k.site.Disks, "core", 6, "nodes with a disk")
	f.IntVar(&k.site.Zones, "zones", 9, "zones")
	f.IntVar(&k.site.Regions, "regions", 3, "regions")
	f.IntVar(&k.site.Wide.Backends, "backends", 0, "backends (0: in proportion)")
	f.IntVar(&k.site.Wide.Services, "services", 0, "services (0: in proportion)")
	f.IntVar(&k.site.Wide.Routes, "routes", 0, "routes (0: in proportion)")
	f.IntVar(&k.site.Wide.Tenants, "tenants", 0, "tenants (0: in proportion)")
	f.BoolVar(&k.full, "whole", false, "backends, services, routes and tenants of the target at each size")
	f.Float64Var(&k.each, "rate", 1, "requests a second at each node")
	f.DurationVar(&k.site.Beat, "beat", 1500*time.Millisecond, "between two beats of a backend")
	f.Float64Var(&k.site.Share, "share", 0, "of a core that each node has (0: not bounded)")
	f.DurationVar(&k.warm, "warm", 4*time.Second, "after the start, before the first phase")
	f.DurationVar(&k.dur, "for", 8*time.Second, "of each phase")
	f.Uint64Var(&k.seed, "seed", 1, "seed")
	f.StringSliceVar(&k.phases, "phases", nil, strings.Join(simulation.Phases, ", ")+" (none: all)")
	f.StringVar(&k.out, "out", "", "add what was measured to this file of JSON lines")
	f.StringSliceVar(&k.fit, "fit", nil, "read what was measured from these files, and print slopes")
	f.IntVar(&k.from, "up-to", 0, "with --fit, only of sizes up to this")
	f.StringVar(&k.axis, "by", "node", "with --fit, what quantities grow with: "+strings.Join(capacity.Axes(), ", "))
	f.Float64Var(&k.target, "at", float64(capacity.Target.Nodes), "with --fit, what the slopes come to at so much of it")
	f.IntVar(&k.hollow, "hollow", 0, "start so many real nodes in this process, on loopback, and measure them")
	f.IntVar(&k.changes, "changes", 20, "with --hollow, changes of the configuration")
	f.StringVar(&k.added, "added", "", "gateway program: measure what a node adds to a request, --rate of them a second")
	f.DurationVar(&k.every, "change-every", 0, "with --added, change the configuration so often (0: never)")
	f.Uint64Var(&k.memory, "memory", 8<<10, "MB that a simulated fleet may take")
	f.BoolVar(&k.state, "state", false, "measure bytes in memory of each part, alone")
	return c
}

// of is the site of a size.
func (c *capacityRun) of(nodes int) simulation.Site {
	s, t := c.site, capacity.Target
	s.Nodes, s.Disks = nodes, min(s.Disks, nodes)
	s.Zones = min(s.Zones, nodes)
	s.Regions = min(s.Regions, s.Zones)
	s.Rate = c.each * float64(nodes)
	size := func(of *int, target int) {
		switch {
		case *of > 0:
		case c.full:
			*of = target
		default:
			*of = max(1, (target*nodes+t.Nodes/2)/t.Nodes)
		}
	}
	size(&s.Wide.Backends, t.Backends)
	size(&s.Wide.Services, t.Services)
	size(&s.Wide.Routes, t.Routes)
	size(&s.Wide.Tenants, t.Tenants)
	return s
}

// enough tells why a run is to end: nobody waits for it, or it takes more memory than it may. Three deployments of 720 nodes side by side took
// all of a machine's.
func (c *capacityRun) enough(ctx context.Context) string {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	switch {
	case ctx.Err() != nil:
		return ctx.Err().Error()
	case m.Sys>>20 > c.memory:
		return fmt.Sprintf("it took over %d MB, see --memory", c.memory)
	}
	return ""
}

func (c *capacityRun) play(ctx context.Context) error {
	for _, n := range c.sizes {
		if n < 1 || n > capacity.Target.Nodes {
			return usageError{fmt.Errorf("--sizes must be 1 to %d", capacity.Target.Nodes)}
		}
	}
	for _, n := range c.sizes {
		s := c.of(n)
		fmt.Printf("%d nodes, %d of the core, %d zones, %d regions; %+v; %.0f requests a second\n", n, s.Disks, s.Zones, s.Regions, s.Wide, s.Rate)
		capacity.PrintHeader(os.Stdout)
		r := simulation.Meter(s, c.seed, c.warm, c.dur, c.phases, func(p simulation.Phase) { capacity.PrintPhase(os.Stdout, p) },
			func() string { return c.enough(ctx) })
		fmt.Printf("  configuration %d bytes, %.0f KB of heap a node, %d nodes known, took %.0f s\n", r.Config, r.Heap/1024, r.Known, r.TookS)
		if c.out != "" {
			if err := capacity.Append(c.out, r); err != nil {
				return err
			}
		}
		if r.Incomplete != "" {
			return errors.New(r.Incomplete)
		}
	}
	return nil
}

// real measures real nodes, without clients.
func (c *capacityRun) real(ctx context.Context) error {
	s := c.of(c.hollow)
	r, err := capacity.Hollow{Nodes: s.Nodes, Members: s.Disks, Zones: s.Zones, Wide: s.Wide, Beat: s.Beat, Over: c.dur, Changes: c.changes}.Play(ctx, os.Stdout)
	return printed(r, err)
}

// printed prints what was measured.
func printed(r any, err error) error {
	if err != nil {
		return err
	}
	text, err := json.Marshal(r)
	if err == nil {
		fmt.Println(string(text))
	}
	return err
}

// adds measures what a node adds to a request.
func (c *capacityRun) adds(ctx context.Context) error {
	wide := c.of(capacity.Target.Nodes).Wide
	r, err := capacity.Added{Program: c.added, Nodes: 3, Wide: wide, Rate: c.each, Over: c.dur, Change: c.every, Backends: 8}.Play(ctx)
	return printed(r, err)
}

func (c *capacityRun) slopes() error {
	var all []*simulation.Measure
	for _, name := range c.fit {
		f, err := os.Open(name)
		if err != nil {
			return err
		}
		for d := json.NewDecoder(f); d.More(); {
			r := new(simulation.Measure)
			if err := d.Decode(r); err != nil {
				f.Close()
				return fmt.Errorf("%s: %w", name, err)
			}
			if c.from == 0 || r.Nodes <= c.from {
				all = append(all, r)
			}
		}
		f.Close()
	}
	return capacity.PrintSlopes(os.Stdout, all, c.axis, c.target)
}
