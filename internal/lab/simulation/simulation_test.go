package simulation

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"clovergap/internal/lab/spec"
)

// Days of all shapes keep the rules, and the same day gives the same bytes: no map and no clock has a say.
func TestDays(t *testing.T) {
	t.Parallel()
	served := 0
	for seed, site := range []Site{{Nodes: 5, Disks: 3}, {Nodes: 3, Disks: 3}, {Nodes: 7, Disks: 5, Mbps: 2}, {Nodes: 1, Disks: 1},
		{Nodes: 6, Disks: 3, Turn: 100 * time.Microsecond}, {Nodes: 12, Disks: 3}} {
		for n := range 2 {
			day := func() *Result { return Play(Draw(site, uint64(10*seed+n), 6, 8*time.Second)) }
			r := day()
			for _, b := range r.Broken {
				t.Errorf("seed %d: %s", r.Day.Seed, b)
			}
			must.Eq(t, r.Digest, day().Digest)
			served += r.Counts.Served
		}
	}
	must.Greater(t, 4000, served)
}

// Days that broke a rule before what they found was mended, shrunk.
func TestKept(t *testing.T) {
	for name, d := range map[string]*Day{
		// A node without a disk and the one that it followed stood still at once, for longer than silence is borne: neither
		// had any reason to speak to the other again, their links being whole.
		"two stand still": {Site: Site{Nodes: 7, Disks: 3}, Seed: 1504, Faults: []spec.Fault{{Kind: "node-stall",
			At: 336857009, For: 2243628234, Share: 0.3, Pick: 0x41a2054cc35fe963}}},
		// The first seed stands still from its first moment on, while the others begin the core: awake, it began one of its own
		// before it read that.
		"frozen before it begins": {Site: Site{Nodes: 3, Disks: 3, Rate: 72}, Seed: 70010, Early: true, Closing: true, Faults: []spec.Fault{
			{Kind: "core-stall", At: 1427792977, For: 5773695458, Share: 0.1, Pick: 0x4952d45b103c5989},
			{Kind: "sync-power", At: 426962490, For: 3359333924, Share: 0.1, Pick: 0x2b3dc7edc3446fc3}}},
		// A member that was cut off learns of five changes at once, and sends each on for itself, with its word of a majority for all of
		// them: a follower whose later ones were late on the link had word that was newer than what it went by.
		"more to come": {Site: Site{Nodes: 7, Disks: 3, Rate: 88, Beat: 3 * time.Second}, Seed: 322, Faults: []spec.Fault{
			{Kind: "zone-cut", At: 1713210009, For: 2640580476, Share: 0.1, By: 0.623, Way: "out", Pick: 8222488716068426561},
			{Kind: "drain-cut", At: 4037354427, For: 519869252, Share: 0.3, By: 0.594, Way: "in", Pick: 3636719602394286987},
			{Kind: "loss", At: 4463065611, For: 2187177036, Share: 0.3, By: 0.5408288305328643, Way: "in", Pick: 5724724401740988601}}},
	} {
		d.For = 5 * time.Second
		for _, b := range Play(d).Broken {
			t.Errorf("%s: %s", name, b)
		}
	}
}

// What nodes say in calm does not grow with their square: a node without a disk stays under its budget whatever their number,
// one with a disk grows with it. See docs/simulation.md.
func TestControlBytes(t *testing.T) {
	t.Parallel()
	all := map[int]*Result{}
	for _, n := range []int{12, 24, 48} {
		r := Play(&Day{Site: Site{Nodes: n, Disks: 3, Rate: 200}, Seed: 1, For: 5 * time.Second, Calm: true})
		must.SliceEmpty(t, r.Broken)
		must.Less(t, 2<<10, r.Others.Sum())
		// Who owns a bucket answers for it, with or without a disk: the slots' chance. So datagrams counts as the mean of all nodes.
		datagram := (3*r.Disks["datagrams"] + int64(n-3)*r.Others["datagrams"]) / int64(n)
		must.Less(t, 2<<10+int64(60*n), r.Disks.Sum()-r.Disks["datagrams"]+datagram)
		all[n] = r
	}
	must.Less(t, all[12].Others.Sum()*5/4, all[48].Others.Sum())
	// All together: twice the nodes, no more than somewhat over twice the bytes.
	total := func(n int) int64 { return 3*all[n].Disks.Sum() + int64(n-3)*all[n].Others.Sum() }
	must.Less(t, total(24)*5/2, total(48))
}

// A node that does not come back is told by the rule on recovery, and by no other; the rules on histories are tested in gatewaystandin.
func TestRecoverIsJudged(t *testing.T) {
	d := &Day{Site: Site{Nodes: 3, Disks: 3, Rate: 20}, Seed: 1, For: time.Second, Faults: []spec.Fault{{Kind: "node-kill", Share: 0.1,
		For: spec.Span(time.Hour), Pick: 1}}}
	r := Play(d)
	must.SliceLen(t, 1, r.Broken)
	must.Eq(t, "RECOVER", r.Broken[0].Rule)
}

// A node without a disk goes by the word of the one that it follows of who lives. Started again it had to wait for up to a second
// for it, and filled the buckets that it owns at a third of their rate so long: it refused what was owed.
func TestWhoLivesIsToldAtOnce(t *testing.T) {
	w := newWorld(&Day{Site: Site{Nodes: 12, Disks: 3}.Usual(), Seed: 1, For: time.Second})
	for _, m := range w.machines {
		m.start()
	}
	w.operator.open(func() {})
	hears := func(m *machine) (n int) {
		for _, d := range m.process.node.Status().Nodes {
			if d.Live {
				n++
			}
		}
		return n
	}
	for _, m := range w.machines {
		must.True(t, w.until(w.now+20*time.Second, func() bool { return hears(m) == 12 }))
	}
	for _, m := range w.machines[3:] {
		m.kill(false)
		w.until(w.now+700*time.Millisecond, nil)
		m.start()
		must.True(t, w.until(w.now+250*time.Millisecond, func() bool { return hears(m) == 12 }), must.Sprint(m.name))
	}
}
