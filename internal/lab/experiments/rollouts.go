package experiments

import (
	"fmt"
	"html/template"
	"io"

	"gonum.org/v1/plot/plotter"

	"clovergap/internal/lab/faultrig"
)

// Rollouts writes one page of roll-outs on real nodes: both versions' courses and the moment of the pull-back.
func Rollouts(w io.Writer, title string, all []*faultrig.RolloutResult) error {
	type drawn struct {
		R      *faultrig.RolloutResult
		Charts []template.HTML
	}
	var list []drawn
	for i, r := range all {
		d := drawn{R: r}
		if i < mostDrawn {
			for _, draw := range []func(*faultrig.RolloutResult) (template.HTML, error){reached, failing} {
				x, err := draw(r)
				if err != nil {
					return fmt.Errorf("%s, seed %d: %w", r.Play, r.Seed, err)
				}
				d.Charts = append(d.Charts, x)
			}
		}
		list = append(list, d)
	}
	return rolloutPage.Execute(w, map[string]any{"Title": title, "All": list, "Sum": faultrig.SumRollouts(all)})
}

// eventMarkers are upright lines at the moments of a roll-out.
func eventMarkers(r *faultrig.RolloutResult, top float64) (all []series) {
	for _, m := range []struct {
		name string
		at   float64
	}{{"it begins to fail", r.SpoiltAt}, {"pulled back", r.PulledAt}} {
		if m.at > 0 {
			all = append(all, series{m.name, plotter.XYs{{X: m.at}, {X: m.at, Y: top}}})
		}
	}
	return all
}

func reached(r *faultrig.RolloutResult) (template.HTML, error) {
	var old, new plotter.XYs
	top := 0.0
	for _, m := range r.Course {
		old = append(old, plotter.XY{X: m.At, Y: float64(m.Old)})
		new = append(new, plotter.XY{X: m.At, Y: float64(m.New)})
		top = max(top, float64(m.Old), float64(m.New))
	}
	return lineChart("requests that reached each version", "in half a second",
		append([]series{{"old", old}, {"new", new}}, eventMarkers(r, top)...)...)
}

func failing(r *faultrig.RolloutResult) (template.HTML, error) {
	share := func(bad, n int) float64 { return float64(bad) / float64(max(n, 1)) }
	var old, new plotter.XYs
	for _, m := range r.Course {
		old = append(old, plotter.XY{X: m.At, Y: share(m.OldBad, m.Old)})
		new = append(new, plotter.XY{X: m.At, Y: share(m.NewBad, m.New)})
	}
	return lineChart("of these, what failed", "share", append([]series{{"old", old}, {"new", new}}, eventMarkers(r, 1)...)...)
}

var rolloutPage = template.Must(template.New("rollouts").Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>clovergap lab: {{.Title}}</title>` + pageStyle + `</head><body>
<h1>{{.Title}}</h1>
<p>Real nodes between stand-ins on loopback. {{.Sum.Runs}} roll-outs, {{.Sum.Pulled}} pulled back; from the first failing answer to the
last request on the version {{.Sum.Last.Half}} (median), {{.Sum.Last.Worst}} (worst).</p>
<table><tr><th>seed</th><th>flaw</th><th>share</th><th>verdict</th><th>last request</th><th>met it</th><th>failed</th><th>rules broken</th></tr>
{{range .All}}<tr><td>{{.R.Seed}}</td><td>{{.R.Flaw}}</td><td>{{.R.Share}}</td><td>{{.R.Met.Verdict}}</td><td>{{.R.Met.Last}}</td>
<td>{{.R.Met.Requests}}</td><td>{{.R.Met.Failing}}</td><td>{{len .R.Broken}}</td></tr>
{{end}}</table>
{{range .All}}{{if .Charts}}<h2>seed {{.R.Seed}}: {{.R.Flaw}}</h2><p>{{.R.Verdict}} {{.R.Why}}{{range .R.Faults}}; {{.}}{{end}}</p>
{{range .Charts}}{{.}}
{{end}}{{end}}{{end}}</body></html>
`))
