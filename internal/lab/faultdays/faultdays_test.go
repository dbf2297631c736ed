package faultdays

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/pelletier/go-toml/v2"
	"github.com/shoenig/test/must"
)

const text = `
name = "try"
services = [{ name = "one" }, { name = "two" }]
troubles = [
  { kind = "core_cut", for_s = 4.0 }, { kind = "after_ack_wipe" }, { kind = "config_race" }, { kind = "config_change" },
  { kind = "scale_in", share = 0.1 }, { kind = "hot_tenant" }, { kind = "no_such" }, { kind = "core_cut", how = "leader" },
]
[timing]
catch_up_s = 4.0
[tolerate]
machines = 1
`

func site(t *testing.T) *Site {
	file := filepath.Join(t.TempDir(), "site.toml")
	must.NoError(t, os.WriteFile(file, []byte(text), 0o644))
	s, err := Load(file)
	must.NoError(t, err)
	return s
}

// A seed names a day: the same bytes each time, others for another seed, and what is written reads back as what was drawn.
func TestDrawIsDeterministic(t *testing.T) {
	s := site(t)
	write := func(seed uint64) string {
		var b strings.Builder
		must.NoError(t, Draw(s, seed).Write(&b))
		return b.String()
	}
	for seed := range uint64(40) {
		must.Eq(t, write(seed), write(seed))
		must.NotEq(t, write(seed), write(seed+1))
		var back struct {
			Day []struct {
				Name         string
				Seed         uint64
				Plan, Faults []Fault
			}
		}
		must.NoError(t, toml.Unmarshal([]byte(write(seed)), &back))
		d := Draw(s, seed)
		must.Eq(t, d.Seed, back.Day[0].Seed)
		must.Eq(t, d.Plan, back.Day[0].Plan)
		must.Eq(t, d.Faults, back.Day[0].Faults)
	}
}

// Days hold only kinds that the site lists, lie within their length, strike no more machines than may be lost, and are harsh:
// troubles of control come several times in one, and over some dozens each of the long and repeated ones comes.
func TestDaysAreHarsh(t *testing.T) {
	s := site(t)
	seen := map[string]bool{}
	for seed := range uint64(60) {
		d, control, last := Draw(s, seed), 0, map[string]bool{}
		for _, x := range slices.Concat(d.Plan, d.Faults) {
			must.SliceContains(t, s.kinds(), x.Kind)
			must.True(t, x.Start > 0 && x.Start < d.Length)
			if table[x.Kind].sort == ofControl {
				control++
				must.LessEq(t, max(1, 30*boolToInt(x.Kind == "config_race")), x.Count)
			}
			seen["twice "+x.Kind] = seen["twice "+x.Kind] || last[x.Kind]
			last[x.Kind] = true
			seen["long cut"] = seen["long cut"] || x.Kind == "core_cut" && x.For == 20
			for _, how := range []string{"one_way", "both", "seeds", "taken", "timed", "spot"} {
				seen[how] = seen[how] || strings.Contains(x.How, how)
			}
		}
		must.GreaterEq(t, 3, control)
		seen[d.Closing.Kind] = true
	}
	for _, x := range []string{"twice core_cut", "twice after_ack_wipe", "twice config_race", "long cut", "one_way", "both", "seeds", "taken",
		"timed", "spot", "power_off_all", "wipe_after_ack", "kill_all"} {
		must.True(t, seen[x], must.Sprint(x))
	}
}

func boolToInt(x bool) int {
	if x {
		return 1
	}
	return 0
}

// A site that lists nothing known here is told, and draws no empty days.
func TestNoKinds(t *testing.T) {
	file := filepath.Join(t.TempDir(), "site.toml")
	must.NoError(t, os.WriteFile(file, []byte(`troubles = [{ kind = "no_such" }]`), 0o644))
	_, err := Load(file)
	must.ErrorContains(t, err, "no troubles")
}

// Days of overlapping cuts have several cuts of the core, the next about when one ends, most of them in one direction, and changes all the while.
func TestDrawOverlappingCuts(t *testing.T) {
	s := site(t)
	oneWay := 0
	for seed := range uint64(100) {
		d := DrawOverlappingCuts(s, seed)
		must.Eq(t, d, DrawOverlappingCuts(s, seed))
		var cuts []Fault
		for _, f := range d.Faults {
			if f.Kind == "core_cut" && f.For >= minCutSeconds {
				cuts = append(cuts, f)
			}
			if strings.Contains(f.How, "one_way") {
				oneWay++
			}
		}
		must.GreaterEq(t, minOverlappingCuts, len(cuts))
		changes := 0
		for _, p := range d.Plan {
			if p.Kind == "config_change" {
				changes++
			}
			must.True(t, p.Start > 0 && p.Start <= d.Length)
		}
		must.Greater(t, 15, changes)
	}
	must.Greater(t, 100, oneWay)
}
