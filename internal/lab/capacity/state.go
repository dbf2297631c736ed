package capacity

import (
	"fmt"
	"io"
	"runtime"
	"time"

	"clovergap/control"
	"clovergap/control/quota"
	"clovergap/internal/gateway/membership"
	"clovergap/internal/gateway/registry"
	"clovergap/internal/gateway/routing"
	"clovergap/internal/gateway/statemachine"
	"clovergap/internal/lab/simulation"
)

// measureHeap is what a part keeps in use.
func measureHeap(build func() any) (bytes float64, took time.Duration) {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	before, began := m.HeapAlloc, time.Now()
	x := build()
	took = time.Since(began)
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	bytes = float64(m.HeapAlloc) - float64(before)
	runtime.KeepAlive(x)
	runtime.KeepAlive(build) // what it builds from is not of the part
	return bytes, took
}

// part is a part of a node whose state grows with something.
type part struct {
	name, per string
	sizes     []int
	build     func(n int) func() any
}

func parts() []part {
	text := func(wide simulation.Wide) []byte { return simulation.FirstText(wide) }
	register := func(wide simulation.Wide) func() any {
		body := text(wide)
		return func() any {
			s := statemachine.New()
			if v, err := s.Apply(statemachine.EncodeEntry(statemachine.KindReplaceConfig, body)); v != routing.Accepted {
				panic(fmt.Sprint(v, err))
			}
			return s
		}
	}
	table := func(wide simulation.Wide) func() any {
		s := register(wide)().(*statemachine.Machine)
		return func() any { return routing.NewTable(s.Configs.Config()) }
	}
	return []part{
		{"configuration as kept", "tenant", []int{100, 1000, 10000, 31000}, func(n int) func() any { return register(simulation.Wide{Tenants: n}) }},
		{"configuration as kept", "route", []int{100, 400, 1700}, func(n int) func() any { return register(simulation.Wide{Routes: n}) }},
		{"table", "tenant", []int{100, 1000, 10000, 31000}, func(n int) func() any { return table(simulation.Wide{Tenants: n}) }},
		{"table", "route", []int{100, 400, 1700}, func(n int) func() any { return table(simulation.Wide{Routes: n}) }},
		{"quota, limits alone", "tenant", []int{100, 1000, 10000, 31000}, func(n int) func() any {
			return func() any {
				q := quota.NewLimiter(1, 0, 720, 0, quota.Config{MinInterval: 50 * time.Millisecond, SnapshotTTL: time.Second, DatagramsPerSecond: 400,
					MaxUnits: 1, Strict: true, InitialFill: 0.5})
				for i := range n {
					q.SetLimit(control.CustomerID(i+1), 50, 50)
				}
				return q
			}
		}},
		{"registry", "backend", []int{100, 1000, 5800}, func(n int) func() any {
			return func() any {
				b := registry.New(0, registry.Config{HeartbeatInterval: 1500 * time.Millisecond, MinCopies: 3, Incarnation: 1}, 0)
				b.SetNodes([]registry.Node{{Slot: 0, ControlAddr: "10.0.0.1:7102", Zone: "zone-0", Live: true, HasDisk: true}})
				for i := range n {
					b.Heartbeat(registry.Record{ID: fmt.Sprintf("i-service-%d", i), Service: fmt.Sprintf("service-%03d", i%270),
						Addr: fmt.Sprintf("10.200.%d.%d:8080", i/200, i%200+1), Zone: "zone-0", Generation: "v1", Capacity: 4,
						Phase: registry.Ready, Seq: 1})
					for _, ok := b.Next(); ok; _, ok = b.Next() {
					}
				}
				return b
			}
		}},
		{"roster", "node", []int{48, 200, 500}, func(n int) func() any {
			return func() any {
				at := func(i int) string { return fmt.Sprintf("10.0.%d.%d:7110", i/200, i%200+1) }
				c := membership.New(membership.Node{Name: "node-0", Addr: at(0), Zone: "zone-0", Disk: 1}, membership.Config{ToleratedLosses: 2}, 0)
				var order []membership.SlotHolder
				for i := range n {
					order = append(order, membership.SlotHolder{Name: fmt.Sprintf("node-%d", i), Addr: at(i), Control: at(i), Zone: "zone-0"})
				}
				c.SetSlots(order)
				for i := 1; i < n; i++ {
					c.HandleHello(at(i), membership.Hello{Node: membership.Node{Name: fmt.Sprintf("node-%d", i), Addr: at(i), ControlAddr: at(i), Zone: "zone-0",
						Incarnation: uint64(i)}})
				}
				for _, ok := c.Next(); ok; _, ok = c.Next() {
				}
				return c
			}
		}},
	}
}

// PrintState prints the bytes in use of each part, with the slope.
func PrintState(w io.Writer) error {
	fmt.Fprintf(w, "| part | for each | sizes | bytes each | error | off the line | at the target, KB | building it there, ms |\n")
	fmt.Fprintf(w, "| --- | --- | --- | ---: | ---: | ---: | ---: | ---: |\n")
	for _, p := range parts() {
		var x, y []float64
		var took time.Duration
		for _, n := range p.sizes {
			build := p.build(n)
			var b float64
			b, took = measureHeap(build)
			x, y = append(x, float64(n)), append(y, b)
		}
		f := FitLinear(x, y)
		at := map[string]int{"tenant": Target.Tenants, "route": Target.Routes, "backend": Target.Backends, "node": Target.Nodes}[p.per]
		fmt.Fprintf(w, "| %s | %s | %v | %.0f | %.2g | %.0f %% | %.0f | %.1f |\n", p.name, p.per, p.sizes, f.B, f.Error, 100*f.Residual,
			f.At(float64(at))/1024, float64(took.Microseconds())/1000)
	}
	wide := simulation.Wide{Services: Target.Services, Routes: Target.Routes, Tenants: Target.Tenants}
	body := simulation.FirstText(wide)
	s := statemachine.New()
	began := time.Now()
	if v, err := s.Apply(statemachine.EncodeEntry(statemachine.KindReplaceConfig, body)); v != routing.Accepted {
		return fmt.Errorf("the target's configuration is not taken: %v %w", v, err)
	}
	applied := time.Since(began)
	began = time.Now()
	snap := s.Snapshot()
	snapped := time.Since(began)
	began = time.Now()
	if _, err := statemachine.Restore(snap); err != nil {
		return err
	}
	fmt.Fprintf(w, "\nthe target's configuration: %d bytes as sent, taken in %d ms; a snapshot of %d bytes is made in %d ms, read in %d ms\n", len(body),
		applied.Milliseconds(), len(snap), snapped.Milliseconds(), time.Since(began).Milliseconds())
	return nil
}
