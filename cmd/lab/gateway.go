package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/spf13/cobra"

	"clovergap/internal/history"
	"clovergap/internal/lab/gatewaystandin"
	"clovergap/internal/lab/standin"
)

// gatewayProgram names the gateway's program.
const gatewayProgram = "gateway"

func gatewayCommand() *cobra.Command {
	c := &cobra.Command{Use: "gateway",
		Short: "The whole gateway: real nodes, backends that beat, an operator, clients",
		Args: func(_ *cobra.Command, args []string) error {
			if len(args) > 0 {
				return usageError{fmt.Errorf("no such command: gateway %s", args[0])}
			}
			return usageError{fmt.Errorf("gateway wants demo, chaos, losses, rollout or exchange")}
		}, RunE: func(*cobra.Command, []string) error { return nil }}
	c.AddCommand(gatewayDemoCommand(), gatewayChaosCommand(), gatewayLossesCommand(), gatewayRolloutCommand(), gatewayExchangeCommand())
	return c
}

// zones of the deployments that are played.
var zones = []string{"zone-a", "zone-b", "zone-c"}

func gatewayDemoCommand() *cobra.Command {
	var named, fault string
	var nodes int
	var dur time.Duration
	var rate float64
	known := []string{"node-kill", "node-stall", "node-wipe", "release", "crash", "burst"}
	c := &cobra.Command{Use: "demo", Short: "Three real nodes with disks on loopback, and a live table",
		Args: exactly(0, "no arguments"),
		Long: "Starts nodes at 127.0.0.1, 127.0.0.2 and so on, alike in their ports, the first three with a\n" +
			"disk in a folder that goes with the demo; two services' backends that beat; an operator who changes\n" +
			"the configuration every other second; clients with keys. Shows each second what was asked and served,\n" +
			"and why the rest was not. Ctrl-C or --for ends it and all its processes.",
		Example: "  lab gateway demo --for 20s\n  lab gateway demo --for 30s --fault node-wipe",
		RunE: func(c *cobra.Command, _ []string) error {
			if fault != "" && !slices.Contains(known, fault) {
				return usageError{fmt.Errorf("no such fault: %q", fault)}
			}
			if nodes < 1 || nodes > 30 {
				return usageError{fmt.Errorf("--nodes must be 1 to 30")}
			}
			return showDemo(c, gatewayProgram, named, dur, func(ctx context.Context, path string) error {
				return gatewayDemo(ctx, path, fault, nodes, rate, dur)
			})
		}}
	c.Flags().StringVar(&named, "program", "", "gateway program (default: beside lab, under bin, or built)")
	c.Flags().StringVar(&fault, "fault", "", "fault to bring after a third of the time: "+strings.Join(known,
		", "))
	c.Flags().IntVar(&nodes, "nodes", 3, "nodes, the first three with a disk")
	c.Flags().DurationVar(&dur, "for", 0, "end after this long (default: at Ctrl-C)")
	c.Flags().Float64Var(&rate, "rate", 80, "requests a second")
	return c
}

// demoRun is the gateway on loopback, live.
type demoRun struct {
	deployment *gatewaystandin.Deployment
	clients    *gatewaystandin.Clients
	beside     sync.WaitGroup
	second     int
	last       tableRow // what the last line of the table was made of
}

// tableRow is what one line of the demo's table is made of: totals since the start.
type tableRow struct {
	outcome standin.Outcome
	status  map[int]int
	reasons map[string]int
}

// gatewayDemo starts nodes, an operator and clients, and shows what becomes of requests until the time is over.
func gatewayDemo(ctx context.Context, path, fault string, nodes int, rate float64, dur time.Duration) error {
	log := history.InMemory(1 << 20)
	disks := min(3, nodes)
	t, err := gatewaystandin.New(gatewaystandin.Config{Program: path, Nodes: nodes, Disks: disks, Base: "127.0.0.", Zones: zones, BackendsPerZone: 2,
		Rate: rate, Seed: 1, HeartbeatInterval: time.Second, MaxLostDisks: min(1, (disks-1)/2), History: log})
	if err != nil {
		return err
	}
	defer t.Close()
	if err := t.Start(); err != nil {
		return err
	}
	showNodes(t)
	x := &demoRun{deployment: t, clients: gatewaystandin.NewClients(t)}
	defer x.clients.Close()
	defer x.beside.Wait()
	x.beside.Go(func() { x.clients.Watch(ctx) })
	x.beside.Go(func() { x.operate(ctx) })
	fmt.Println(" sec  asked served  late | 429 503 502+504 other none | nodes' reasons | nodes ready, backends, version")
	faultTime := demoFaultTime(fault, dur)
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			x.beside.Wait()
			return gatewaySummary(t, x.clients, log)
		case <-faultTime:
			fmt.Println("  --", fault)
			x.beside.Go(func() { gatewayFault(ctx, t, fault, x.clients) })
		case <-tick.C:
			x.show(ctx)
		}
	}
}

// showNodes prints where each node can be reached.
func showNodes(t *gatewaystandin.Deployment) {
	for _, d := range t.Nodes {
		disk := ""
		if d.Disk != "" {
			disk = ", with a disk"
		}
		fmt.Printf("  %s in %s: clients at %s, control at %s, process %d%s\n", d.Name, d.Zone, d.Front, d.Control, d.Pid(), disk)
	}
}

// demoFaultTime is a third of the demo's time, or a little after its start.
func demoFaultTime(fault string, dur time.Duration) <-chan time.Time {
	switch {
	case fault == "":
		return nil
	case dur > 0:
		return time.After(dur / 3)
	}
	return time.After(5 * time.Second)
}

// operate opens with a configuration and changes it every other second; clients come once there is one.
func (d *demoRun) operate(ctx context.Context) {
	operator := d.deployment.Operator
	if operator.Open(ctx) {
		d.beside.Go(func() { d.clients.Open(ctx) })
	}
	for ctx.Err() == nil {
		rest(ctx, 2*time.Second)
		operator.Step(ctx)
		if _, config := operator.Known(); config != nil {
			d.clients.Learn(config)
		}
	}
}

// show prints the table's line of the last second.
func (d *demoRun) show(ctx context.Context) {
	d.second++
	outcome, _, status := d.clients.Outcomes()
	now := tableRow{outcome, status, gatewayReasons(ctx, d.deployment)}
	ended := func(codes ...int) (n int) {
		for _, code := range codes {
			n += now.status[code] - d.last.status[code]
		}
		return n
	}
	other := 0
	for code := range now.status {
		if code/100 != 2 && !slices.Contains([]int{0, 429, 503, 502, 504}, code) {
			other += ended(code)
		}
	}
	var reasons []string
	for reason, n := range now.reasons {
		if n > d.last.reasons[reason] {
			reasons = append(reasons, fmt.Sprintf("%s %d", reason, n-d.last.reasons[reason]))
		}
	}
	slices.Sort(reasons)
	version, _ := d.deployment.Operator.Known()
	a, b := now.outcome, d.last.outcome
	fmt.Printf("%4d %6d %6d %5d | %3d %3d %7d %5d %4d | %s | %d, %d, %d\n", d.second, a.Requests-b.Requests, a.InTime-b.InTime,
		a.Settled-a.InTime-(b.Settled-b.InTime), ended(429), ended(503), ended(502, 504), other, ended(0), strings.Join(reasons, ", "),
		d.clients.Ready(), len(d.deployment.Serving()), version)
	d.last = now
}

// rest waits, or until the context ends.
func rest(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// gatewayReasons adds up why nodes gave requests up, by their own word.
func gatewayReasons(ctx context.Context, t *gatewaystandin.Deployment) map[string]int {
	ctx, cancel := context.WithTimeout(ctx, 300*time.Millisecond)
	defer cancel()
	sum := map[string]int{}
	for _, d := range t.Nodes {
		r, _ := http.NewRequestWithContext(ctx, "GET", "http://"+d.Control+"/api/Node.Status", nil)
		a, err := http.DefaultClient.Do(r)
		if err != nil {
			continue
		}
		var s struct{ Counters string }
		json.NewDecoder(a.Body).Decode(&s)
		a.Body.Close()
		for _, part := range strings.Split(s.Counters, ", ") {
			i := strings.LastIndexByte(part, ' ')
			name, ours := "", false
			if i > 0 {
				if name, ours = strings.CutPrefix(part[:i], "gave up: "); !ours {
					name, ours = part[:i], slices.Contains([]string{"not known yet", "unknown keys", "unknown paths",
						"too many held"}, part[:i])
				}
			}
			if ours {
				n := 0
				fmt.Sscan(part[i+1:], &n)
				sum[name] += n
			}
		}
	}
	return sum
}

// gatewayFault brings what the demo was asked for.
func gatewayFault(ctx context.Context, t *gatewaystandin.Deployment, fault string, load *gatewaystandin.Clients) {
	d := t.Nodes[len(t.Nodes)-1]
	again := func() {
		if err := d.Again(); err != nil {
			fmt.Fprintln(os.Stderr, err)
		}
	}
	switch fault {
	case "node-kill":
		d.Kill()
		rest(ctx, 3*time.Second)
		again()
	case "node-wipe":
		d = t.Cores()[len(t.Cores())-1]
		d.Kill()
		d.Wipe()
		rest(ctx, time.Second)
		again()
	case "node-stall":
		d.Suspend(true, fault)
		rest(ctx, 4*time.Second)
		d.Suspend(false, fault)
	case "crash":
		for _, l := range t.Serving()[:2] {
			l.Crash()
			rest(ctx, time.Second)
			t.Add(l.Service, l.Zone, 2*time.Second)
		}
	case "release":
		for _, l := range t.Serving() {
			if l.Service == "programme" && ctx.Err() == nil {
				t.Add(l.Service, l.Zone, 2*time.Second)
				l.Drain(ctx)
			}
		}
	case "burst":
		load.Times(4)
	}
}

func gatewaySummary(t *gatewaystandin.Deployment, load *gatewaystandin.Clients, log *history.Log) error {
	all, by, _ := load.Outcomes()
	fmt.Println("summary (stand-ins on loopback):")
	names := []string{}
	for k := range by {
		names = append(names, k)
	}
	slices.Sort(names)
	for _, k := range append([]string{"*"}, names...) {
		o := all
		if k != "*" {
			o = by[k]
		}
		switch k {
		case "*":
			k = "all"
		case "":
			k = "public"
		}
		fmt.Printf("  %-8s %6d requests, served in time %5.1f %%, late %d, refused %d, failed %d, no answer %d\n",
			k, o.Requests,
			100*float64(o.InTime)/float64(max(o.Requests, 1)), o.Settled-o.InTime, o.Declined, o.Voided, o.Failed)
	}
	taken, refused := 0, 0
	for _, v := range t.Operator.Versions() {
		if v.Acked > 0 {
			taken++
		} else if v.Lost {
			refused++
		}
	}
	fmt.Printf("  configurations: %d taken, %d refused (races and invalid ones)\n", taken, refused)
	for _, d := range t.Nodes {
		if words, bad := d.Crash(); bad {
			return fmt.Errorf("%s ended by itself: %s", d.Name, words)
		}
	}
	if bad := gatewaystandin.Twice(log.Events()); len(bad) > 0 || all.Wrong > 0 {
		return fmt.Errorf("%d requests got another's answer; ran twice, or ran though refused: %v", all.Wrong, bad)
	}
	return nil
}
