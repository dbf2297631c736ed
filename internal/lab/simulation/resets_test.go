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
		must.Greater(t, 5, r.AcceptedConfigs)
		must.Greater(t, r.Counts.Requested/2, r.Counts.Served)
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
	old := map[*peerLink]*conn{}
	for _, m := range w.machines[1:] {
		for _, v := range []*peerLink{m.process.links[w.machines[0].peerAddr], w.machines[0].process.links[m.peerAddr]} {
			must.NotNil(t, v.conn)
			old[v] = v.conn
		}
	}
	w.machines[0].resetConnections()
	for v, c := range old {
		must.True(t, c.closed && c.senderLost && v.conn == nil)
	}
	w.until(w.now+minRedialDelay+50*time.Millisecond, nil)
	for v, c := range old {
		must.True(t, v.conn != nil && v.conn != c)
	}
}

// A node with a disk is cut off, and in the next moment its connections are reset: to whom it is not linked it has nothing to tell, and
// took that for all having confirmed. It acknowledged an end that no other node with a disk had.
func TestResetWhileCutOff(t *testing.T) {
	for n, way := range []string{"both", "in", "out"} {
		d := &Day{Site: Site{Nodes: 5, Disks: 3}, Seed: uint64(60 + n), For: 10 * time.Second, Faults: []spec.Fault{
			{Kind: "core-part", At: spec.Span(2 * time.Second), For: spec.Span(8 * time.Second), Share: 0.1, By: 1, Way: way, Pick: 7},
			{Kind: "core-reset", Share: 1, At: spec.Span(1900 * time.Millisecond), For: spec.Span(400 * time.Millisecond), Pick: 5}}}
		for _, b := range Play(d).Broken {
			t.Errorf("%s: %s", way, b)
		}
	}
}
