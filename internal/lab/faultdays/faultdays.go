// Package faultdays generates test days (fuzzing by grammar): it holds a table of the kinds of trouble that the operators' bench
// knows, with the fields of each, takes from a site file which of them are played there, and draws harsh days of them from a
// seed: several troubles of control in one day, cuts and freezes of up to 20 s, races of up to 30 pairs, one lost disk after the
// other, roll-outs and drains meanwhile, and a closing fault of each kind. The same seed and site give the same day.
package faultdays

import (
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"slices"
	"strings"

	"github.com/go-faster/errors"
	"github.com/pelletier/go-toml/v2"
)

// Site is what a day is drawn from: the part of a site file that is read.
type Site struct {
	Name      string   `toml:"name"`
	Length    float64  `toml:"length_s"`
	Zones     []Named  `toml:"zones"`
	Services  []Named  `toml:"services"`
	Faults    []Fault  `toml:"troubles"`
	Contracts []string `toml:"contracts"`
	Timing    struct {
		CatchUp float64 `toml:"catch_up_s"`
	} `toml:"timing"`
	Tolerate struct {
		Machines int `toml:"machines"`
	} `toml:"tolerate"`
}

// Named is what has a name.
type Named struct {
	Name string `toml:"name"`
}

// Fault is an entry of a day; nought is left out, but for At.
type Fault struct {
	Start    float64 `toml:"at"`
	Kind     string  `toml:"kind"`
	Target   string  `toml:"on"`
	Service  string  `toml:"service"`
	Zone     string  `toml:"zone"`
	Share    float64 `toml:"share"`
	Count    int     `toml:"count"`
	Strength float64 `toml:"x"`
	For      float64 `toml:"for_s"`
	Gap      float64 `toml:"gap_s"`
	How      string  `toml:"how"`
}

// Day is a day of our own.
type Day struct {
	Name    string
	Seed    uint64
	Length  float64
	Closing Closing
	Plan    []Fault
	Faults  []Fault
}

// Closing is the fault that a day ends with.
type Closing struct {
	Kind, How string
	Down      float64
}

// Load reads a site file.
func Load(file string) (*Site, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	s := new(Site)
	if err := toml.Unmarshal(text, s); err != nil {
		return nil, errors.Wrap(err, file)
	}
	if len(s.kinds()) == 0 {
		return nil, errors.Errorf("%s lists no troubles that are known here", file)
	}
	return s, nil
}

// kinds are those that are played at the site, in order.
func (s *Site) kinds() (all []string) {
	for _, t := range s.Faults {
		if _, ok := table[t.Kind]; ok && !slices.Contains(all, t.Kind) {
			all = append(all, t.Kind)
		}
	}
	slices.Sort(all)
	return all
}

// A day of this length has room for two troubles of 20 s, one after the other.
const length = 66.0

// Draw draws a day.
func Draw(s *Site, seed uint64) *Day {
	d := &drawer{Rand: rand.New(rand.NewPCG(seed, 0x4dc7)), site: s}
	day := &Day{Name: fmt.Sprintf("drawn-%d", seed), Seed: 1 + d.Uint64N(1<<28), Length: length}
	var control, other, plan []string
	for _, k := range s.kinds() {
		switch table[k].sort {
		case ofControl:
			control = append(control, k)
		case ofPlan:
			plan = append(plan, k)
		default:
			other = append(other, k)
		}
	}
	add := func(kind string, at float64) {
		t := table[kind].draw(d)
		t.Kind, t.Start = kind, toHundredths(at)
		if table[kind].sort == ofPlan {
			day.Plan = append(day.Plan, t)
		} else {
			day.Faults = append(day.Faults, t)
		}
	}
	// One kind of control troubles comes again and again, as soon as the core may have caught up with the last one or sooner.
	at := d.span(2, 8)
	if len(control) > 0 {
		lead := control[d.IntN(len(control))]
		for range 2 + d.IntN(3) {
			add(lead, at)
			at += d.span(2, 2*s.Timing.CatchUp+6)
		}
		for range 1 + d.IntN(4) {
			add(control[d.IntN(len(control))], d.span(2, length-24))
		}
	}
	for n := 1 + d.IntN(4); n > 0 && len(other) > 0; n-- {
		add(other[d.IntN(len(other))], d.span(2, length-15))
	}
	for n := 3 + d.IntN(5); n > 0 && len(plan) > 0; n-- {
		add(plan[d.IntN(len(plan))], d.span(1, length-8))
	}
	if slices.Contains(plan, "config_change") { // one in every few seconds, so that troubles that wait for one come
		for at := d.span(1, 4); at < length; at += d.span(2, 7) {
			add("config_change", at)
		}
	}
	day.close(d)
	return day
}

// close draws the closing fault, and puts all before it in order.
func (d *Day) close(with *drawer) {
	d.Closing = Closing{Kind: with.one("power_off_all", "wipe_after_ack", "wipe_after_ack", "kill_all"), How: with.one("", "aimed", "timed", "taken"),
		Down: toHundredths(with.span(0.4, 3))}
	byTime := func(a, b Fault) int { return int(1000 * (a.Start - b.Start)) }
	slices.SortStableFunc(d.Plan, byTime)
	slices.SortStableFunc(d.Faults, byTime)
}

// Write writes a day as site files have theirs.
func (d *Day) Write(w io.Writer) error {
	var b strings.Builder
	fmt.Fprintf(&b, "[[day]]\nname = %q\nslot = \"trouble\"\nseed = %d\nlength_s = %g\n", d.Name, d.Seed, d.Length)
	fmt.Fprintf(&b, "closing = { kind = %q, down_s = %g, how = %q }\n", d.Closing.Kind, d.Closing.Down, d.Closing.How)
	writeAll(&b, "plan", d.Plan)
	writeAll(&b, "faults", d.Faults)
	_, err := io.WriteString(w, b.String())
	return err
}

func writeAll(b *strings.Builder, name string, all []Fault) {
	fmt.Fprintf(b, "%s = [\n", name)
	for _, t := range all {
		fmt.Fprintf(b, "  { at = %g, kind = %q", t.Start, t.Kind)
		for _, x := range []struct {
			name string
			v    float64
		}{{"share", t.Share}, {"count", float64(t.Count)}, {"x", t.Strength}, {"for_s", t.For}, {"gap_s", t.Gap}} {
			if x.v != 0 {
				fmt.Fprintf(b, ", %s = %g", x.name, x.v)
			}
		}
		for _, x := range [][2]string{{"on", t.Target}, {"service", t.Service}, {"zone", t.Zone}, {"how", t.How}} {
			if x[1] != "" {
				fmt.Fprintf(b, ", %s = %q", x[0], x[1])
			}
		}
		b.WriteString(" },\n")
	}
	b.WriteString("]\n")
}
