package simulation

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"clovergap/internal/lab/gatewaystandin"
	"clovergap/internal/lab/spec"
)

// Hard days are days as well: the same seed gives the same bytes.
func TestHardDaysAreDeterministic(t *testing.T) {
	t.Parallel()
	for seed := range uint64(3) {
		day := func() string { return Play(DrawHard(Site{Nodes: 5, Disks: 3}, seed+1, 5, 6*time.Second)).Digest }
		must.Eq(t, day(), day())
	}
}

// A machine with a disk is replaced by a new one: another address, an empty disk, the old one gone for good. The core gives it the
// state, and nothing is owed that isn't given.
func TestReplacedMachine(t *testing.T) {
	w := newWorld(&Day{Site: Site{Nodes: 5, Disks: 3}.Usual(), Seed: 4, For: time.Second, Hard: true})
	for _, m := range w.machines {
		m.start()
	}
	opened := false
	w.operator.open(func() { opened = true })
	must.True(t, w.until(w.now+firstConfigTimeout, func() bool { return opened }))
	old := w.machines[1]
	n := old.replace()
	n.start()
	old.start() // a fault that was under way on it ends: nothing comes of it
	must.Nil(t, old.process)
	must.NotEq(t, old.controlAddr, n.controlAddr)
	must.False(t, n.settings.FirstBoot)
	must.True(t, w.until(w.now+gatewaystandin.Bounds().CatchUp, func() bool { return n.disk.persisted.Commit > 0 }))
	for seed := range uint64(4) {
		d := &Day{Site: Site{Nodes: 5, Disks: 3}, Seed: 20 + seed, For: 8 * time.Second, Hard: true, Faults: []spec.Fault{
			{Kind: "core-replace", At: spec.Span(2 * time.Second), For: spec.Span(time.Second), Share: 0.01, Pick: 3 + seed}}}
		must.SliceEmpty(t, Play(d).Broken)
	}
}

// A node passes on an order, is killed, and is back before the order's time is up, while whoever has the order stands still; old
// copies of orders and replies come as well. When replies were known by their numbers alone, which begin anew in each life, the
// reply to the former life's order was taken for one to the new life's: an order that never left was acknowledged, and 19 of
// 150 such days broke CONFIG, five of these among them; the other nine are of the 12 that do so since nodes without a majority
// turn calls away at once.
func TestRestartWithinACall(t *testing.T) {
	t.Parallel()
	for _, seed := range []uint64{6, 22, 46, 61, 64, 79, 89, 95, 97, 107, 112, 113, 117, 118} {
		d := &Day{Site: Site{Nodes: 5, Disks: 3}, Seed: seed, For: 10 * time.Second, Hard: true, Faults: []spec.Fault{
			{Kind: "copies", For: spec.Span(10 * time.Second), Pick: 1},
			{Kind: "call-kill", At: spec.Span(time.Second), For: spec.Span(time.Duration(seed%7+1) * 50 * time.Millisecond), Pick: 1, By: 0.9},
			{Kind: "call-kill", At: spec.Span(5 * time.Second), For: spec.Span(time.Duration(seed%5+1) * 30 * time.Millisecond), Pick: 1, By: 0.9},
			{Kind: "disk-slow", At: spec.Span(time.Second), For: spec.Span(8 * time.Second), Share: 1, By: 0.4, Pick: 3}}}
		for _, b := range Play(d).Broken {
			t.Errorf("seed %d: %s", seed, b)
		}
	}
}

// An order that the operator holds for taken, and that is refused when it comes again, is told by name.
func TestAgainIsJudged(t *testing.T) {
	w := newWorld(&Day{Site: Site{Nodes: 3, Disks: 3}.Usual(), Seed: 1, For: time.Second, Hard: true})
	for _, m := range w.machines {
		m.start()
	}
	opened := false
	w.operator.open(func() { opened = true })
	must.True(t, w.until(w.now+firstConfigTimeout, func() bool { return opened }))
	never := gatewaystandin.First()
	never.Generation = 1000
	text, err := json.Marshal(never)
	must.NoError(t, err)
	w.operator.accepted = []sentChange{{1000, gatewaystandin.ReplacePath, text}}
	must.True(t, w.until(w.now+10*time.Second, func() bool { return len(w.broken) > 0 }))
	must.Eq(t, "AGAIN", w.broken[0].Rule)
}

// A machine with a disk is replaced, and as soon as the page lets another disk go, that one is lost. A newcomer was added beside the
// old one while the leader did not know yet that it was lost: of four members two were gone, and there was no majority for ever.
func TestSecondLossAfterReplacement(t *testing.T) {
	for _, d := range []*Day{
		{Seed: 1386, Faults: []spec.Fault{
			{Kind: "sync-replace", At: 49386858, For: 908511903, Share: 0.01, Pick: 0x706f936c2669c25d},
			{Kind: "disk-wipe", At: 1701482394, For: 577418279, Share: 0.01, Pick: 0x66b867d38530a035, By: 0.7674336374857961}}},
		{Seed: 1153, Faults: []spec.Fault{
			{Kind: "sync-replace", At: 10124212455, For: 868994974, Share: 0.01, Pick: 0x4a6a65acf3008e99},
			{Kind: "ack-replace", At: 6692844360, For: 83639561, Share: 0.01, Pick: 0x6fffcd40aee14871}}},
	} {
		d.Site, d.For, d.Hard = Site{Nodes: 5, Disks: 3, Rate: 80, Beat: time.Second}, 12*time.Second, true
		for _, b := range Play(d).Broken {
			t.Errorf("seed %d: %s", d.Seed, b)
		}
	}
}
