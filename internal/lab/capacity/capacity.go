// Package capacity works out how a deployment grows: least squares over what simulated deployments of several sizes did, with the error of the
// fit, and what that comes to at the target.
package capacity

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math"
	"os"
	"slices"
	"strings"

	"clovergap/internal/lab/simulation"
)

// Size is what the deployment is to carry.
type Size struct{ Nodes, Backends, Services, Routes, Tenants int }

// Target is the size that the pages ask for, in about two years.
var Target = Size{Nodes: 720, Backends: 5800, Services: 270, Routes: 1700, Tenants: 31000}

// What a node may spend on control.
const (
	MaxBytesPerSecond = 12 << 10 // sent, a second
	MaxCoreShare      = 0.01
	MaxMemoryBytes    = 256 << 20
)

// Fit is y = A + B x, by least squares.
type Fit struct {
	A, B     float64
	Error    float64 // of B: one standard deviation
	Residual float64 // the largest distance of a point from the line, as a share of it
	Power    float64 // of y in x, by the logarithms: 1 grows in proportion, 2 with the square
	From, To float64
	N        int
}

// FitLinear fits a line.
func FitLinear(x, y []float64) (f Fit) {
	n := float64(len(x))
	if f.N = len(x); f.N < 2 {
		return f
	}
	slope := func(x, y []float64) (a, b, sxx float64) {
		var mx, my, sxy float64
		for i := range x {
			mx += x[i] / n
			my += y[i] / n
		}
		for i := range x {
			sxx += (x[i] - mx) * (x[i] - mx)
			sxy += (x[i] - mx) * (y[i] - my)
		}
		if sxx == 0 {
			return my, 0, 0
		}
		return my - sxy/sxx*mx, sxy / sxx, sxx
	}
	var sxx, rest float64
	f.A, f.B, sxx = slope(x, y)
	f.From, f.To = slices.Min(x), slices.Max(x)
	for i := range x {
		d := y[i] - f.At(x[i])
		rest += d * d
		if y[i] != 0 {
			f.Residual = max(f.Residual, math.Abs(d/y[i]))
		}
	}
	if n > 2 && sxx > 0 {
		f.Error = math.Sqrt(rest / (n - 2) / sxx)
	}
	var lx, ly []float64
	for i := range x {
		if x[i] > 0 && y[i] > 0 {
			lx, ly = append(lx, math.Log(x[i])), append(ly, math.Log(y[i]))
		}
	}
	if n = float64(len(lx)); n >= 2 {
		_, f.Power, _ = slope(lx, ly)
	}
	return f
}

// At is the line's value.
func (f Fit) At(x float64) float64 { return f.A + f.B*x }

// Append adds what was measured to a file.
func Append(name string, r *simulation.Measure) error {
	f, err := os.OpenFile(name, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
	if err != nil {
		return err
	}
	if err := json.NewEncoder(f).Encode(r); err != nil {
		f.Close()
		return err
	}
	return f.Close()
}

// PrintHeader and PrintPhase print a phase for people.
func PrintHeader(w io.Writer) {
	fmt.Fprintf(w, "  %-9s %6s %10s %10s %10s %8s %8s %6s | %9s %9s %8s %6s | %4s %7s %7s %7s %7s %6s %4s\n", "phase", "s", "member B/s", "busiest",
		"came", "core %", "most %", "links", "other B/s", "busiest", "core %", "links", "n", "ack ms", "median", "99 %", "last", "all s", "out")
}

// PrintPhase prints a line of the table for a phase of a day.
func PrintPhase(w io.Writer, p simulation.Phase) {
	fmt.Fprintf(w, "  %-9s %6.1f %10.0f %10.0f %10.0f %8.2f %8.2f %6.0f | %9.0f %9.0f %8.3f %6.1f | %4d %7.1f %7.1f %7.1f %7.1f %6.2f %4d\n",
		p.Name, p.Seconds, p.Member.Mean, p.Member.Most, p.Member.Got, 100*p.Member.Core, 100*p.Member.CoreMost, p.Member.LinksMost,
		p.Other.Mean, p.Other.Most, 100*p.Other.Core, p.Other.Links, p.Events, p.Acks, p.Median, p.Mean99, p.Worst, p.All, p.Unready)
}

// row is one quantity that grows.
type row struct {
	phase, what, unit string
	value             func(p simulation.Phase) float64
}

func rows(phases []string) (all []row) {
	add := func(phase, what, unit string, of func(p simulation.Phase) float64) {
		all = append(all, row{phase, what, unit, of})
	}
	for _, ph := range phases {
		add(ph, "member, sent", "B/s", func(p simulation.Phase) float64 { return p.Member.Mean })
		add(ph, "busiest member, sent", "B/s", func(p simulation.Phase) float64 { return p.Member.Most })
		for _, kind := range simulation.TrafficKinds {
			add(ph, "  "+kind+" of a member", "B/s", func(p simulation.Phase) float64 { return p.Member.Kinds[kind] })
		}
		add(ph, "member, in all", "MB", func(p simulation.Phase) float64 { return p.Member.Mean * p.Seconds / 1e6 })
		add(ph, "busiest member, in all", "MB", func(p simulation.Phase) float64 { return p.Member.Most * p.Seconds / 1e6 })
		add(ph, "member, came", "B/s", func(p simulation.Phase) float64 { return p.Member.Got })
		add(ph, "member, processor", "% core", func(p simulation.Phase) float64 { return 100 * p.Member.Core })
		add(ph, "busiest member, processor", "% core", func(p simulation.Phase) float64 { return 100 * p.Member.CoreMost })
		add(ph, "member, links", "", func(p simulation.Phase) float64 { return p.Member.LinksMost })
		add(ph, "other node, sent", "B/s", func(p simulation.Phase) float64 { return p.Other.Mean })
		add(ph, "other node, busiest", "B/s", func(p simulation.Phase) float64 { return p.Other.Most })
		for _, kind := range simulation.TrafficKinds {
			add(ph, "  "+kind+" of another node", "B/s", func(p simulation.Phase) float64 { return p.Other.Kinds[kind] })
		}
		add(ph, "other node, came", "B/s", func(p simulation.Phase) float64 { return p.Other.Got })
		add(ph, "other node, processor", "% core", func(p simulation.Phase) float64 { return 100 * p.Other.Core })
		add(ph, "change to a node, median", "ms", func(p simulation.Phase) float64 { return p.Median })
		add(ph, "change to the last node", "ms", func(p simulation.Phase) float64 { return p.Worst })
		add(ph, "all there again", "s", func(p simulation.Phase) float64 { return p.All })
	}
	return all
}

// axes are what quantities may grow with.
var axes = map[string]func(m *simulation.Measure) float64{
	"node":    func(m *simulation.Measure) float64 { return float64(m.Nodes) },
	"member":  func(m *simulation.Measure) float64 { return float64(m.Disks) },
	"backend": func(m *simulation.Measure) float64 { return float64(m.Wide.Backends) },
	"route":   func(m *simulation.Measure) float64 { return float64(m.Wide.Routes) },
	"tenant":  func(m *simulation.Measure) float64 { return float64(m.Wide.Tenants) },
	"request": func(m *simulation.Measure) float64 { return m.Rate / float64(m.Nodes) }, // a second, at each node
}

// Axes are their names.
func Axes() []string { return slices.Sorted(maps.Keys(axes)) }

// PrintSlopes prints a line for each quantity: how it grows with one thing, and what it comes to where there is so much of that.
func PrintSlopes(w io.Writer, all []*simulation.Measure, by string, at float64) error {
	x, ok := axes[by]
	if !ok {
		return fmt.Errorf("slopes are by %s", strings.Join(Axes(), ", "))
	}
	if len(all) == 0 {
		return fmt.Errorf("nothing was measured")
	}
	slices.SortStableFunc(all, func(a, b *simulation.Measure) int { return cmp.Compare(x(a), x(b)) })
	var phases []string
	for _, name := range simulation.Phases {
		if slices.ContainsFunc(all, func(m *simulation.Measure) bool { _, ok := PhaseOf(m, name); return ok }) {
			phases = append(phases, name)
		}
	}
	fmt.Fprintf(w, "| phase | quantity | at the least | at the most | a %s more | error | off the line | power | at %g |\n", by, at)
	fmt.Fprintf(w, "| --- | --- | ---: | ---: | ---: | ---: | ---: | ---: | ---: |\n")
	for _, r := range rows(phases) {
		var xs, y []float64
		for _, m := range all {
			if p, ok := PhaseOf(m, r.phase); ok && m.Nodes > m.Disks {
				xs, y = append(xs, x(m)), append(y, r.value(p))
			}
		}
		if len(xs) < 2 || slices.Max(y) <= 0 {
			continue
		}
		f := FitLinear(xs, y)
		fmt.Fprintf(w, "| %s | %s, %s | %.4g (%d) | %.4g (%d) | %.4g | %.2g | %.0f %% | %.2f | %.4g |\n", r.phase, r.what, r.unit,
			y[0], int(f.From), y[len(y)-1], int(f.To), f.B, f.Error, 100*f.Residual, f.Power, f.At(at))
	}
	return nil
}

// PhaseOf finds a phase.
func PhaseOf(m *simulation.Measure, name string) (simulation.Phase, bool) {
	for _, p := range m.Phases {
		if p.Name == name {
			return p, true
		}
	}
	return simulation.Phase{}, false
}
