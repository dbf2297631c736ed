package faultdays

import (
	"testing"

	"github.com/shoenig/test/must"
)

// Long days have hundreds of changes and troubles at any hour, several of them at once, on machines with a disk and without; a seed names
// a day. Guards against days that end before what a trouble has left behind can show (incident mvk-anadolu 7).
func TestDrawLong(t *testing.T) {
	s := site(t)
	_, err := DrawLong(s, 1, 240, []string{"no_such"})
	must.ErrorContains(t, err, "no_such")
	seen := map[string]bool{}
	for seed := range uint64(30) {
		d, err := DrawLong(s, seed, 240, []string{"give_up", "node_kill", "node_freeze"})
		must.NoError(t, err)
		again, _ := DrawLong(s, seed, 240, []string{"give_up", "node_kill", "node_freeze"})
		must.Eq(t, d, again)
		changes, late, before := 0, 0, -1.0
		for _, x := range d.Plan {
			if x.Kind == "config_change" {
				changes++
			}
			must.True(t, x.Start > 0 && x.Start < d.Length)
		}
		for _, x := range d.Faults {
			must.True(t, x.Start > 0 && x.Start < d.Length && x.Start >= before)
			seen["at once"] = seen["at once"] || x.Start-before < stormWithin
			seen[x.Kind+" "+x.Target] = true
			if before = x.Start; x.Start > d.Length/2 {
				late++
			}
		}
		must.Greater(t, 150, changes)
		must.Greater(t, 8, late)
	}
	for _, x := range []string{"at once", "node_kill core", "node_kill ", "node_freeze core", "node_freeze ", "give_up "} {
		must.True(t, seen[x], must.Sprint(x))
	}
}
