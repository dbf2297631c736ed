package simulation

import (
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"clovergap/internal/gateway/routing"
	"clovergap/internal/lab/gatewaystandin"
)

// A calm simulated day with a planted fault breaks the rule that is there for it, and no other; without one it breaks none.
func TestPlantedFaultsAreFound(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		planted plantedFault
		rules   []string
	}{
		"none":                 {noPlantedFault, nil},
		"cuts at the end":      {closesOnShutdown, []string{"LOST"}},
		"refuses routes added": {rejectsNewRoutes, []string{"CONFIG", "Starved"}},
		"refuses a kind":       {rejectsOneKind, []string{"Starved"}},
		"says it was not sent": {reportsRunAsUnsent, []string{"BUDGET"}},
	} {
		w := newWorld(&Day{Site: Site{Nodes: 5, Disks: 3, Rate: 100}.Usual(), Seed: 3, For: time.Second})
		w.planted = c.planted
		for _, s := range gatewaystandin.Services {
			for _, z := range w.zones {
				w.timeline.add(s.Name, z, 0)
			}
		}
		for _, m := range w.machines {
			m.start()
		}
		w.clients.watch()
		opened := false
		w.operator.open(func() { opened = true })
		must.True(t, w.until(w.now+firstConfigTimeout, func() bool { return opened }))
		w.clients.begin()
		w.until(w.now+15*time.Second, nil)
		for _, b := range w.timeline.live { // failing ones, so that there is something to send again
			b.failShare = 0.3
		}
		w.until(w.now+5*time.Second, nil)
		w.machines[4].terminate()
		w.until(w.now+10*time.Second, nil)
		w.operator.goes, w.clients.open = false, false
		w.until(w.now+drainTime, nil)
		w.operator.read(func(*routing.Config) {})
		w.until(w.now+drainTime, nil)
		var rules []string
		for _, b := range gatewaystandin.Check(w.history, w.backends(), timingSlack) {
			rules = append(rules, b.Rule)
		}
		slices.Sort(rules)
		must.Eq(t, c.rules, slices.Compact(rules), must.Sprint(name))
	}
}
