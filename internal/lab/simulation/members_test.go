package simulation

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"clovergap/internal/lab/gatewaystandin"
)

// catchUp is how long a new machine, and the one whose place it takes, count as lost on the small sites.
const catchUp = 4 * time.Second

// replacementDay plays three nodes with disks and three without, with traffic and changes; one with a disk is replaced by a fourth, before it
// goes or after, and catch_up later one more is lost, the leader among them. It gives how long the replacement took.
func replacementDay(t *testing.T, seed uint64, before, told bool) time.Duration {
	w := newWorld(&Day{Site: Site{Nodes: 7, Disks: 4}.Usual(), Seed: seed, For: 30 * time.Second})
	late := w.machines[3]
	for _, m := range w.machines {
		m.settings.Tolerance.Machines = 1
		if m != late {
			m.start()
		}
	}
	late.incarnation = 1 // it is not there at the first start of all
	w.clients.watch()
	opened := false
	w.operator.open(func() { opened = true })
	must.True(t, w.until(w.now+firstConfigTimeout, func() bool { return opened }))
	w.clients.begin()
	w.until(w.now+2*time.Second, nil)
	gone, next := w.machines[seed%3], w.machines[(seed+1+seed/3%2)%3]
	loses := func() {
		if gone.countFault(true); told {
			gone.terminate()
		} else {
			gone.kill(true)
		}
		must.True(t, w.until(w.now+8*time.Second, func() bool { return gone.process == nil }))
	}
	comes := func() {
		late.countFault(true)
		late.start()
	}
	if before {
		comes()
		w.until(w.now+catchUp, nil)
		loses()
	} else {
		loses()
		w.until(w.now+time.Second, nil)
		comes()
	}
	began := w.now
	three := func() bool {
		for _, m := range w.cores() {
			if m == gone {
				continue
			}
			c := m.process.node.Status().Core
			has := map[string]bool{}
			for _, o := range c.Members {
				has[o.Address] = true
			}
			if !c.Settled || len(has) != 3 || !has[late.peerAddr] || has[gone.peerAddr] {
				return false
			}
		}
		return true
	}
	must.True(t, w.until(began+catchUp, three), must.Sprintf("seed %d: the lost one still counts", seed))
	took := w.now - began
	w.until(began+catchUp, nil)
	late.countFault(false)
	gone.countFault(false)
	taken := func() (n int) {
		for _, v := range w.operator.versions {
			if v.Acked > 0 {
				n++
			}
		}
		return n
	}
	was := taken()
	next.countFault(true)
	next.kill(true)
	must.True(t, w.until(w.now+gatewaystandin.ClearMost, func() bool { return taken() > was }), must.Sprintf("seed %d: nothing is taken", seed))
	w.until(w.now+2*time.Second, nil)
	next.start()
	w.until(w.now+catchUp, nil)
	next.countFault(false)
	w.operator.goes, w.clients.open = false, false
	w.until(w.now+gatewaystandin.ClearMost+5*time.Second, func() bool { return !w.operator.busy })
	w.finished = true
	for _, b := range gatewaystandin.Check(w.history, w.backends(), timingSlack) {
		t.Errorf("seed %d: %s", seed, b)
	}
	return took
}

// A machine with a disk is replaced, and catch_up later another is lost: an order is taken all the same, and no rule is broken.
func TestReplacementDays(t *testing.T) {
	t.Parallel()
	for seed := range uint64(12) {
		took := replacementDay(t, seed, seed&1 > 0, seed&2 > 0)
		t.Logf("seed %d: replaced %v after both", seed, took)
	}
}

// foundingDay starts three nodes with disks and four without, one disk not there as the others found the core: full until a time, or its
// machine late. It gives when the core has three members, from when it is there, after which one more is lost and an order is taken.
func foundingDay(t *testing.T, odd int, full bool, away time.Duration) (took time.Duration) {
	w := newWorld(&Day{Site: Site{Nodes: 7, Disks: 3}.Usual(), Seed: uint64(odd + 1), For: 30 * time.Second})
	one, name := w.machines[odd], must.Sprintf("disk %d, full %v", odd, full)
	for _, z := range w.zones {
		w.timeline.add(gatewaystandin.Services[0].Name, z, 0)
	}
	if full {
		one.disk.fullFaults++
	}
	for _, m := range w.machines {
		if m != one || full {
			m.start()
		}
	}
	w.clients.watch()
	opened := false
	w.operator.open(func() { opened = true })
	must.True(t, w.until(w.now+firstConfigTimeout, func() bool { return opened }), name)
	t.Logf("%s opened after %v", one.name, w.now-origin)
	w.until(w.now+away, nil)
	if full {
		must.True(t, one.process.node.Ready(), name)
		must.Eq(t, 0, one.disk.syncs, name)
		one.disk.fullFaults--
	} else {
		one.start()
	}
	began := w.now
	three := func() bool {
		for _, m := range w.cores() {
			if c := m.process.node.Status().Core; !c.Settled || len(c.Members) != 3 || c.Synced < c.Last {
				return false
			}
		}
		return true
	}
	must.True(t, w.until(began+catchUp, three), name)
	took = w.now - began
	w.operator.goes = true
	taken := func() (n int) {
		for _, v := range w.operator.versions {
			if v.Acked > 0 {
				n++
			}
		}
		return n
	}
	was := taken()
	w.machines[(odd+1)%3].kill(true)
	must.True(t, w.until(w.now+gatewaystandin.ClearMost, func() bool { return taken() > was }), name)
	return took
}

// One of three disks is full at the very first start, or its machine comes later than the others wait: they found the core, it serves on
// without a vote, and counts as soon as it can, so that the loss of another is borne catch_up later.
func TestFoundingWithoutOne(t *testing.T) {
	for odd := range 3 {
		for _, full := range []bool{true, false} {
			t.Logf("disk %d, full %v: a member %v after", odd, full, foundingDay(t, odd, full, 2*time.Second))
		}
	}
}
