package simulation

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"clovergap/internal/lab/gatewaystandin"
)

// A configuration of 1 MB that comes to a node without a disk is passed on twice over links of 2 Mbit/s, 4 s each. As one frame it held up
// all heartbeats so long, and each try began anew: its caller has a second. In parts nobody misses a heartbeat, and what a try has brought
// counts for the next one.
func TestLargeCallOnThinLinks(t *testing.T) {
	c := thin(t, 4, 30_000, 2)
	w, last := c.w, c.w.machines[len(c.w.machines)-1]
	b := *c.config
	b.Tenants = nil
	for i := range 1_000_000 / 110 {
		b.Tenants = append(b.Tenants, tenant(i))
	}
	b.Generation, b.ParentVersion = c.gen+1, c.gen
	text, err := json.Marshal(&b)
	must.NoError(t, err)
	leads, tries, taken, under, oldest := c.leader(), 0, false, false, time.Duration(0)
	view, began := leads.process.node.Status().Core.View, w.now
	w.every(50*time.Millisecond, func() bool {
		for _, m := range w.machines { // until it is in force, and has to be had everywhere
			if age, _ := m.process.node.Staleness(); c.applied(leads) == c.gen {
				oldest = max(oldest, age)
			}
		}
		if !under && !taken {
			under, tries = true, tries+1
			w.operator.call(last, gatewaystandin.ReplacePath, text, func(status int, _ []byte) { under, taken = false, status == 200 })
		}
		return !taken
	})
	must.True(t, w.until(w.now+time.Minute, func() bool { return taken }))
	t.Logf("%d bytes in %v and %d tries, oldest word %v", len(text), w.now-began, tries, oldest)
	must.LessEq(t, 20*time.Second, w.now-began)
	must.Less(t, 1500*time.Millisecond, oldest)
	must.Eq(t, view, leads.process.node.Status().Core.View)
}
