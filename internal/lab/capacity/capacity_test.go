package capacity

import (
	"math"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"clovergap/internal/lab/simulation"
)

// What the page's sums rest on, at sizes that take seconds: a slope that grows, or a square where a line was, fails here.
func TestSlopes(t *testing.T) {
	var all []*simulation.Measure
	for _, n := range []int{12, 24, 48} {
		s := simulation.Site{Nodes: n, Disks: 3, Zones: 3, Rate: float64(n), Beat: 1500 * time.Millisecond,
			Wide: simulation.Wide{Backends: 10 * n, Services: 3, Routes: 8, Tenants: 8}}
		r := simulation.Meter(s, 1, 4*time.Second, 3*time.Second, []string{"calm", "changes", "killed"}, nil, nil)
		must.Eq(t, "", r.Incomplete)
		all = append(all, r)
		followers := float64(n-3) / 3
		start, ok := PhaseOf(r, "start")
		must.True(t, ok)
		must.Less(t, 4*float64(n), start.Member.Frames["feed"]*start.Seconds) // each slot was told to all by itself: with the square
		killed, ok := PhaseOf(r, "killed")
		must.True(t, ok)
		must.GreaterEq(t, 0, killed.All)
		must.Eq(t, 0, killed.Unready)
		// Each follower is told each backend once after the loss of all, and a part of them twice: by a feeder that it left.
		must.Less(t, 250*followers*float64(10*n), killed.Member.Kinds["registry"]*killed.Seconds)
		must.Less(t, float64((340+16*n)<<10), r.Heap)
	}
	slope := func(phase string, of func(p simulation.Phase) float64) Fit {
		var x, y []float64
		for _, r := range all {
			p, ok := PhaseOf(r, phase)
			must.True(t, ok)
			x, y = append(x, float64(r.Nodes)), append(y, of(p))
		}
		return FitLinear(x, y)
	}
	calm := slope("calm", func(p simulation.Phase) float64 { return p.Member.Mean })
	must.Between(t, 20, calm.B, 60) // B/s a node more: heartbeats to a third of them
	must.Less(t, 12, slope("calm", func(p simulation.Phase) float64 { return p.Other.Mean }).B)
	feed := slope("changes", func(p simulation.Phase) float64 { return p.Member.Kinds["feed"] })
	must.Less(t, 260, feed.B)
	must.Less(t, 1.5, feed.Power)
	must.Eq(t, 2, slope("calm", func(p simulation.Phase) float64 { return p.Member.LinksMost }).B)
	must.Less(t, 300, slope("changes", func(p simulation.Phase) float64 { return p.Worst }).At(48))
}

// A day that is to end does so in the middle, and says why.
func TestEnough(t *testing.T) {
	asked := 0
	r := simulation.Meter(simulation.Site{Nodes: 12, Disks: 3, Rate: 500, Wide: simulation.Wide{Backends: 400}}, 1, time.Minute, time.Minute, nil, nil,
		func() string {
			if asked++; asked == 2 {
				return "as told"
			}
			return ""
		})
	must.Eq(t, "as told", r.Incomplete)
	must.Eq(t, 2, asked)
}

// A line through points on a line, and a square, are told for what they are.
func TestLine(t *testing.T) {
	f := FitLinear([]float64{1, 2, 4}, []float64{5, 7, 11})
	must.InDelta(t, 3, f.A, 1e-9)
	must.InDelta(t, 2, f.B, 1e-9)
	must.InDelta(t, 0, f.Error, 1e-9)
	must.InDelta(t, 23, f.At(10), 1e-9)
	f = FitLinear([]float64{1, 2, 4, 8}, []float64{3, 12, 48, 192})
	must.InDelta(t, 2, f.Power, 1e-9)
	must.Greater(t, 0.5, f.Residual)
	// By hand: x 0, 1, 2 and y 0, 1, 5 give y = -0.5 + 2.5 x, rest 1.5 over one degree of freedom, and sxx 2.
	f = FitLinear([]float64{0, 1, 2}, []float64{0, 1, 5})
	must.InDelta(t, math.Sqrt(1.5/2), f.Error, 1e-9)
}
