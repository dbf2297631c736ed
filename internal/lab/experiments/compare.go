package experiments

import (
	"fmt"
	"math"
	"sort"
	"strings"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"

	"clovergap/internal/lab/emulator"
)

// metrics that results can be compared by; more is better in each.
var metrics = map[string]func(*emulator.Result) float64{
	"place":   func(r *emulator.Result) float64 { return r.Place },
	"score":   func(r *emulator.Result) float64 { return r.Score },
	"service": func(r *emulator.Result) float64 { return r.Service },
	"worst":   func(r *emulator.Result) float64 { return r.Worst },
}

// Comparison is of two sets of results of the same days.
type Comparison struct {
	Metric    string
	Pairs     int
	Unpaired  int // results without a partner
	MeanA     float64
	MeanB     float64
	Diff      float64 // B less A
	Low, High float64 // interval of the difference, 95 of 100
	BrokenA   int
	BrokenB   int
}

// Compare pairs results by experiment, point and seed.
func Compare(a, b []*emulator.Result, metric string) (*Comparison, error) {
	get := metrics[metric]
	if get == nil {
		var names []string
		for n := range metrics {
			names = append(names, n)
		}
		sort.Strings(names)
		return nil, fmt.Errorf("no such metric %q: there are %s", metric, strings.Join(names, ", "))
	}
	at := map[string]*emulator.Result{}
	pair := func(r *emulator.Result) string { return fmt.Sprintf("%s|%s|%d", r.Name, r.Point, r.Seed) }
	for _, r := range a {
		if at[pair(r)] != nil {
			return nil, fmt.Errorf("%s, %s, seed %d stands twice in one file: which is meant?", r.Name, r.Point, r.Seed)
		}
		at[pair(r)] = r
	}
	c := &Comparison{Metric: metric}
	var xs, ys, ds []float64
	for _, r := range b {
		o := at[pair(r)]
		if o == nil {
			c.Unpaired++
			continue
		}
		delete(at, pair(r))
		xs, ys, ds = append(xs, get(o)), append(ys, get(r)), append(ds, get(r)-get(o))
		c.BrokenA += o.RulesBroken
		c.BrokenB += r.RulesBroken
	}
	c.Unpaired += len(at)
	if c.Pairs = len(ds); c.Pairs == 0 {
		return nil, fmt.Errorf("no result of the one file has a partner in the other")
	}
	c.MeanA, c.MeanB = stat.Mean(xs, nil), stat.Mean(ys, nil)
	mean, dev := stat.MeanStdDev(ds, nil)
	half := math.Inf(1)
	if c.Pairs > 1 {
		t := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: float64(c.Pairs - 1)}
		half = t.Quantile(0.975) * dev / math.Sqrt(float64(c.Pairs))
	}
	c.Diff, c.Low, c.High = mean, mean-half, mean+half
	return c, nil
}

// Worse tells whether B is surely worse by more than a margin, or breaks rules that A keeps.
func (c *Comparison) Worse(margin float64) bool {
	return c.BrokenB > c.BrokenA || c.High < -margin
}

func (c *Comparison) String() string {
	return fmt.Sprintf("%s over %d pairs: %.4f against %.4f, difference %+.4f (95%%: %+.4f to %+.4f); rules broken %d against %d; "+
		"%d without a partner", c.Metric, c.Pairs, c.MeanB, c.MeanA, c.Diff, c.Low, c.High, c.BrokenB, c.BrokenA, c.Unpaired)
}
