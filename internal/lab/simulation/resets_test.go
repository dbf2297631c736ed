package simulation

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"clovergap/internal/lab/spec"
)

// All connections of the core's machines, or of all, are reset again and again: links, those to backends and those of clients. No
// rule is broken by it, requests and changes go on, and the links are up again within a moment.
func TestConnectionsAreReset(t *testing.T) {
	for i, kind := range []string{"core-reset", "node-reset"} {
		d := &Day{Site: Site{Nodes: 5, Disks: 3}, Seed: 40 + uint64(i), For: 8 * time.Second, Faults: []spec.Fault{
			{Kind: kind, Share: 1, At: spec.Span(time.Second), For: spec.Span(3 * time.Second), Pick: 5},
			{Kind: "drain", Share: 0.2, At: spec.Span(2 * time.Second), For: spec.Span(time.Second), Pick: 7}}}
		r := Play(d)
		must.SliceEmpty(t, r.Broken)
		must.Greater(t, 5, r.Taken)
		must.Greater(t, r.Counts.Asked/2, r.Counts.Served)
		must.Less(t, time.Second, r.Recovered[0])
	}
}

// A reset ends what was on its way on all of a machine's links, and these come up again.
func TestResetLinksComeUpAgain(t *testing.T) {
	w := newWorld(&Day{Site: Site{Nodes: 3, Disks: 3}.Usual(), Seed: 1})
	for _, m := range w.machines {
		m.start()
	}
	w.operator.open(func() {})
	w.until(w.now+5*time.Second, nil)
	old := map[*wing]*conn{}
	for _, m := range w.machines[1:] {
		for _, v := range []*wing{m.p.links[w.machines[0].inner], w.machines[0].p.links[m.inner]} {
			must.NotNil(t, v.c)
			old[v] = v.c
		}
	}
	w.machines[0].resets()
	for v, c := range old {
		must.True(t, c.over && c.gone && v.c == nil)
	}
	w.until(w.now+redialIn+50*time.Millisecond, nil)
	for v, c := range old {
		must.True(t, v.c != nil && v.c != c)
	}
}
