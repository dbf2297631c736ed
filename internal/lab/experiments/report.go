package experiments

import (
	"bytes"
	"fmt"
	"html/template"
	"io"
	"sort"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"clovergap/internal/lab/emulator"
)

const width, height = 22 * vg.Centimeter, 7 * vg.Centimeter

// svg draws a plot as the text of one SVG element.
func svg(p *plot.Plot) (template.HTML, error) {
	c := vgsvg.New(width, height)
	p.Draw(draw.New(c))
	var b bytes.Buffer
	if _, err := c.WriteTo(&b); err != nil {
		return "", err
	}
	text := b.String()
	if i := strings.Index(text, "<svg"); i > 0 {
		text = text[i:]
	}
	return template.HTML(text), nil
}

// series is one course over time.
type series struct {
	name   string
	points plotter.XYs
}

func lineChart(title, y string, all ...series) (template.HTML, error) {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, "seconds", y
	p.Add(plotter.NewGrid())
	p.Legend.Top = true
	for i, l := range all {
		if len(l.points) == 0 {
			continue
		}
		x, err := plotter.NewLine(l.points)
		if err != nil {
			return "", err
		}
		x.Color, x.Width = plotutil.Color(i), vg.Points(1.5)
		p.Add(x)
		p.Legend.Add(l.name, x)
	}
	return svg(p)
}

func bars(title, y string, names []string, values []float64) (template.HTML, error) {
	p := plot.New()
	p.Title.Text, p.Y.Label.Text = title, y
	p.Y.Min = 0
	if len(values) > 0 {
		b, err := plotter.NewBarChart(plotter.Values(values), vg.Points(24))
		if err != nil {
			return "", err
		}
		b.Color = plotutil.Color(2)
		p.Add(b)
		p.NominalX(names...)
	}
	return svg(p)
}

// Charts are one result's.
type Charts struct {
	R      *emulator.Result
	Charts []template.HTML
}

// Draw makes a result's charts: service and what ended otherwise over time, latency, reasons, plans and zones.
func Draw(r *emulator.Result) (*Charts, error) {
	c := &Charts{R: r}
	var service, declined, late, beyond, voided plotter.XYs
	for _, s := range r.Course {
		x := float64(s.Start)
		if s.Offered > 0 {
			service = append(service, plotter.XY{X: x, Y: s.Served / s.Offered})
		}
		declined = append(declined, plotter.XY{X: x, Y: float64(s.Rejected)})
		late = append(late, plotter.XY{X: x, Y: float64(s.Late)})
		beyond = append(beyond, plotter.XY{X: x, Y: float64(s.Beyond)})
		voided = append(voided, plotter.XY{X: x, Y: float64(s.Failed)})
	}
	var reasons []string
	for k := range r.Reasons {
		reasons = append(reasons, k)
	}
	sort.Strings(reasons)
	var counts []float64
	for _, k := range reasons {
		counts = append(counts, float64(r.Reasons[k]))
	}
	groups := func(gs []emulator.Group) (n []string, v []float64) {
		for _, g := range gs {
			n, v = append(n, g.Name), append(v, g.Service)
		}
		return n, v
	}
	plans, planV := groups(r.Plans)
	zones, zoneV := groups(r.Zones)
	for _, make := range []func() (template.HTML, error){
		func() (template.HTML, error) {
			return lineChart("service, by the second of the first try", "share", series{"service", service})
		},
		func() (template.HTML, error) {
			return lineChart("what ended otherwise", "requests a second", series{"declined", declined}, series{"late", late},
				series{"voided or expired", voided}, series{"sent on beyond quotas", beyond})
		},
		func() (template.HTML, error) {
			return bars("time to the answer, from the first try", "ms", []string{"median", "90 %", "99 %"}, []float64{r.P50, r.P90, r.P99})
		},
		func() (template.HTML, error) {
			return bars("tries given up, by what was lacking", "tries", reasons, counts)
		},
		func() (template.HTML, error) { return bars("service by plan", "share", plans, planV) },
		func() (template.HTML, error) {
			return bars("service by zone of the customer's set", "share", zones, zoneV)
		},
	} {
		x, err := make()
		if err != nil {
			return nil, err
		}
		c.Charts = append(c.Charts, x)
	}
	return c, nil
}

// pageStyle is of all pages.
const pageStyle = `
<style>body{font-family:sans-serif;max-width:60em;margin:2em auto;line-height:1.4}table{border-collapse:collapse}
td,th{border:1px solid #bbb;padding:.2em .6em;text-align:right}td:first-child,th:first-child{text-align:left}
.bad{color:#b00;font-weight:bold}svg{max-width:100%;height:auto}</style>`

var page = template.Must(template.New("report").Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>clovergap lab: {{.Title}}</title>` + pageStyle + `</head><body>
<h1>{{.Title}}</h1>
<p>Simulated fleets; figures are of stand-ins. Service is the worth settled in time, of what was offered inside quotas; the
place is 0 at the plain mark and 1 at the one that sees everything.</p>
<table><tr><th>experiment</th><th>seed</th><th>build</th><th>requests</th><th>service</th><th>score</th><th>place</th><th>p50 ms</th>
<th>p99 ms</th><th>beyond</th><th>rules broken</th></tr>
{{range .All}}<tr><td>{{.R.Name}} {{.R.Point}} {{.R.Policy}}</td><td>{{.R.Seed}}</td><td>{{.R.Build}}</td><td>{{.R.Requests}}</td>
<td>{{printf "%.3f" .R.Service}}</td><td>{{printf "%.3f" .R.Score}}</td><td>{{printf "%.2f" .R.Place}}</td><td>{{printf "%.0f" .R.P50}}</td>
<td>{{printf "%.0f" .R.P99}}</td><td>{{.R.Beyond}}</td><td>{{if .R.RulesBroken}}<span class="bad">{{.R.RulesBroken}}</span>{{else}}0{{end}}</td></tr>
{{end}}</table>
{{range .All}}{{if .Charts}}<h2>{{.R.Name}} {{.R.Point}}, seed {{.R.Seed}}</h2>
<p>{{.R.Nodes}} front doors, {{.R.Backends}} backends, {{.R.Seconds}} simulated seconds; {{.R.Submissions}} submissions, {{.R.Handshakes}}
new connections, {{.R.Messages}} messages between front doors.{{if .R.Notes}} Faults: {{range .R.Notes}}{{.}}; {{end}}{{end}}</p>
{{if .R.Broken}}<h3 class="bad">Rules broken</h3><ul>{{range .R.Broken}}<li>{{.}}</li>{{end}}</ul>{{end}}
{{range .Charts}}{{.}}
{{end}}{{end}}{{end}}</body></html>
`))

// mostDrawn results get charts; all stand in the table.
const mostDrawn = 12

// Report writes one page that needs nothing beside it.
func Report(w io.Writer, title string, all []*emulator.Result) error {
	var cs []*Charts
	for i, r := range all {
		c := &Charts{R: r}
		if i < mostDrawn {
			var err error
			if c, err = Draw(r); err != nil {
				return fmt.Errorf("%s, seed %d: %w", r.Name, r.Seed, err)
			}
		}
		cs = append(cs, c)
	}
	return page.Execute(w, map[string]any{"Title": title, "All": cs})
}
