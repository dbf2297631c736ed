package simulation

import (
	"fmt"
	"os"
	"runtime"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"clovergap/internal/gateway/coordination"
	"clovergap/internal/gateway/groups"
)

// groupWorld is a day's world whose groups are led, eight disks and two nodes without one.
func groupWorld(t *testing.T, seed uint64) *world { return groupWorldOf(t, seed, 10, 8) }

// groupWorldOf is one of so many nodes and disks.
func groupWorldOf(t *testing.T, seed uint64, nodes, disks int) *world {
	w := newWorld(&Day{Site: Site{Nodes: nodes, Disks: disks, Rate: 20}.Usual(), Seed: seed, For: time.Second})
	for _, m := range w.machines {
		m.settings.Contracts = []string{"coord"}
		m.start()
	}
	w.operator.open(func() {})
	must.True(t, w.until(w.now+20*time.Second, func() bool { return w.spread() }), must.Sprintf("seed %d: not all groups are led", seed))
	return w
}

// leads is the machine that leads a group: the one of the newest view, if it runs.
func (w *world) leads(id groups.ID) (leader *machine) {
	newest := uint64(0)
	for _, m := range w.cores() {
		if m.process == nil {
			continue
		}
		if s, ok := m.process.node.GroupStatus(id); ok && s.Role == "leading" && s.Term > newest {
			leader, newest = m, s.Term
		}
	}
	return leader
}

// spread tells whether all groups are led, and each disk leads its share.
func (w *world) spread() bool {
	led, share := map[*machine]int{}, (groups.Count+w.day.Disks-1)/w.day.Disks
	for id := range groups.ID(groups.Count) {
		m := w.leads(id)
		if led[m]++; m == nil || led[m] > share {
			return false
		}
	}
	return true
}

// nameIn is a counter of a group.
func nameIn(id groups.ID) string {
	for i := 0; ; i++ {
		if name := fmt.Sprint("n", i); groups.GroupOf(name) == id {
			return name
		}
	}
}

// goesOn asks for numbers of a group at nodes that are not struck, each 10 ms, until one is given that was asked for after now, and tells
// how long that took.
func (w *world) goesOn(id groups.ID, struck *machine, most time.Duration) (time.Duration, bool) {
	began, done, name, n := w.now, time.Duration(0), nameIn(id), 0
	w.every(10*time.Millisecond, func() bool {
		m := w.machines[n%len(w.machines)]
		if n++; m == struck || !m.runs() {
			return done == 0
		}
		m.process.turn(func() {
			m.process.node.Coordinate(coordination.Call{Operation: coordination.NumberNext, Name: name}, 0, func(a coordination.Result) {
				if a.Status == coordination.StatusOK && done == 0 {
					done = w.now
				}
			})
		})
		return done == 0
	})
	ok := w.until(began+most, func() bool { return done > 0 })
	return done - began, ok
}

// strikes are what befalls a leader, and what ends it.
var strikes = []struct {
	name    string
	on, off func(w *world, m *machine)
}{
	{"killed", func(_ *world, m *machine) { m.kill(false) }, func(_ *world, m *machine) { m.start() }},
	{"without power", func(_ *world, m *machine) { m.kill(true) }, func(_ *world, m *machine) { m.start() }},
	{"frozen", func(_ *world, m *machine) { m.stall(true) }, func(_ *world, m *machine) { m.stall(false) }},
	{"cut both ways", partitionMachine(true, true), endPartitions},
	{"hears nothing", partitionMachine(true, false), endPartitions},
	{"is not heard", partitionMachine(false, true), endPartitions},
	{"disk hangs", func(_ *world, m *machine) { m.disk.hangFaults++ }, func(_ *world, m *machine) { m.disk.hangFaults-- }},
}

func partitionMachine(in, out bool) func(w *world, m *machine) {
	return func(w *world, m *machine) {
		w.partitions = append(w.partitions, &partition{members: map[*machine]bool{m: true}, blocksInbound: in, blocksOutbound: out})
	}
}

func endPartitions(w *world, _ *machine) { w.partitions = nil }

// A group whose leader is lost, whichever way, goes on under another one: within 1.1 s at the worst, and again afterwards. GROUP_TIMES
// plays so many of each.
func TestGroupsGoOnAfterTheirLeaderIsLost(t *testing.T) {
	t.Parallel()
	times := 3
	if n, err := strconv.Atoi(os.Getenv("GROUP_TIMES")); err == nil {
		times = n
	}
	for _, s := range strikes {
		var took []time.Duration
		for i := range times {
			w := groupWorld(t, uint64(i+1))
			id := groups.ID(i % groups.Count)
			for calm := range 3 { // a call or two before it, so that something is known
				_, ok := w.goesOn(id, nil, time.Second)
				must.True(t, ok, must.Sprintf("%s, seed %d: no number in calm, %d", s.name, i+1, calm))
			}
			leader := w.leads(id)
			s.on(w, leader)
			span, ok := w.goesOn(id, leader, 5*time.Second)
			must.True(t, ok, must.Sprintf("%s, seed %d: no number in 5 s", s.name, i+1))
			took = append(took, span)
			w.until(w.now+2*time.Second, nil)
			s.off(w, leader)
			w.until(w.now+time.Second, nil)
			_, ok = w.goesOn(id, nil, time.Second)
			must.True(t, ok, must.Sprintf("%s, seed %d: no number after it", s.name, i+1))
		}
		slices.Sort(took)
		t.Logf("%-14s median %4d ms, worst %4d ms of %d", s.name, took[len(took)/2].Milliseconds(), took[len(took)-1].Milliseconds(), times)
		must.Less(t, 1100*time.Millisecond, took[len(took)-1], must.Sprint(s.name))
	}
}

// Two disks of eight are replaced by empty ones at other addresses, one after the other, the leader of a group among them: each group's
// members become the configuration's, with the new disks and without the old ones, within the six seconds in which a machine and its
// successor count as lost; and what was given before is not given again, also when all are killed afterwards.
func TestGroupsFollowTheConfigurationsMembers(t *testing.T) {
	w := groupWorld(t, 7)
	for _, m := range w.machines {
		m.settings.Tolerance.Machines = 2
	}
	highest := map[groups.ID]uint64{}
	next := func(id groups.ID) {
		given := uint64(0)
		n := 0
		w.every(40*time.Millisecond, func() bool {
			m := w.machines[n%len(w.machines)]
			if n++; m.runs() {
				m.process.turn(func() {
					m.process.node.Coordinate(coordination.Call{Operation: coordination.NumberNext, Name: nameIn(id)}, 0, func(a coordination.Result) {
						given = max(given, a.Number)
					})
				})
			}
			return given == 0
		})
		must.True(t, w.until(w.now+3*time.Second, func() bool { return given > 0 }), must.Sprint("group ", id))
		must.Greater(t, highest[id], given)
		highest[id] = given
	}
	all := func() {
		for id := range groups.ID(groups.Count) {
			next(id)
		}
	}
	all()
	for round := range 2 {
		gone := w.leads(groups.ID(round))
		old := gone.process.node.Status().Core.Me
		came := gone.replace()
		w.after(time.Second, came.start)
		all()
		began := w.now
		moved := func() bool {
			if came.process == nil {
				return false
			}
			for id := range groups.ID(groups.Count) {
				m := w.leads(id)
				if m == nil {
					return false
				}
				s, _ := m.process.node.GroupStatus(id)
				had, has := false, false
				for _, o := range s.Members {
					had = had || fmt.Sprintf("%010x", uint64(o.ID)) == old
					has = has || o.Addr == came.peerAddr
				}
				if had || !has || !s.MembersCommitted {
					return false
				}
			}
			return true
		}
		must.True(t, w.until(w.now+7*time.Second, moved), must.Sprint("round ", round))
		t.Logf("round %d: all groups had moved %v after the first calls went on", round, w.now-began)
		all()
	}
	for _, m := range w.machines {
		m.kill(true)
	}
	w.until(w.now+time.Second, nil)
	for _, m := range w.machines {
		m.start()
	}
	all()
}

// What an idle group costs: with the groups there and no calls, a node sends no more than so many bytes a second for them; where they
// were never called for, none.
func TestIdleGroupsCostLittle(t *testing.T) {
	bytes := func(contracts ...string) (groupsOf, all int64) {
		w := newWorld(&Day{Site: Site{Nodes: 10, Disks: 8, Rate: 20}.Usual(), Seed: 3, For: time.Second})
		for _, m := range w.machines {
			m.settings.Contracts = contracts
			m.start()
		}
		w.operator.open(func() {})
		w.until(w.now+12*time.Second, nil)
		w.countedTime = w.now
		w.until(w.now+5*time.Second, nil)
		r := &Result{}
		w.countTraffic(r, 5*time.Second)
		return r.Disks["groups"], r.Disks.Sum()
	}
	none, before := bytes()
	must.Eq(t, 0, none)
	idle, with := bytes("coord")
	t.Logf("a node with a disk sends %d B/s without groups, %d with eight idle ones, %d of them the groups'", before, with, idle)
}

// callMix is what applications ask, in the shares of the two sites' days: the next of them.
func callMix(i int) coordination.Call {
	holder := fmt.Sprintf("a%d.%d", i%24, i%7)
	switch i % 8 {
	case 0, 1:
		return coordination.Call{Operation: coordination.LockAcquire, Name: fmt.Sprint("l", i%12), Holder: holder, TTL: 300 * time.Millisecond}
	case 2:
		return coordination.Call{Operation: coordination.NumberNext, Name: fmt.Sprint("n", i%2)}
	case 3, 4:
		return coordination.Call{Operation: coordination.KeyPut, Name: fmt.Sprintf("g%d.%d", i%8, i%5), Value: fmt.Sprintf("%016x", i)}
	}
	return coordination.Call{Operation: coordination.KeyRead, Name: fmt.Sprintf("g%d.%d", i%8, i%5)}
}

// callCost is what calls cost all nodes together, a second, beside what they do without calls.
type callCost struct {
	answered, syncs, frames, bytes float64
	processor                      time.Duration
}

// costAt plays a few seconds of so many calls a second at all nodes in turn, two of them without a disk.
func costAt(t *testing.T, disks, perSecond int) (c callCost) {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	w := groupWorldOf(t, 5, disks+2, disks)
	w.metered = true
	for _, m := range w.machines {
		m.meter = meter{}
	}
	const over = 5 * time.Second
	syncs := 0
	for _, m := range w.cores() {
		syncs -= m.disk.syncs
	}
	n := 0
	if perSecond > 0 {
		w.every(time.Second/time.Duration(perSecond), func() bool {
			m := w.machines[n%len(w.machines)]
			n++
			m.process.turn(func() {
				m.process.node.Coordinate(callMix(n), 0, func(a coordination.Result) {
					if a.Status != coordination.StatusAmbiguous && a.Status != coordination.StatusUnavailable {
						c.answered += 1 / over.Seconds()
					}
				})
			})
			return true
		})
	}
	w.until(w.now+over, nil)
	for _, m := range w.cores() {
		syncs += m.disk.syncs
	}
	for _, m := range w.machines {
		for kind, frames := range m.meter.sent.Frames {
			c.frames += float64(frames) / over.Seconds()
			c.bytes += float64(m.meter.sent.Bytes[kind]) / over.Seconds()
		}
		c.processor += m.meter.cpuTotal / time.Duration(over.Seconds())
	}
	c.syncs = float64(syncs) / over.Seconds()
	return c
}

// What a call costs, in syncs, frames, bytes and processor of all nodes together: no more than so much.
func TestCostOfACall(t *testing.T) {
	t.Parallel()
	for _, at := range []struct{ disks, rate int }{{8, 120}, {8, 240}, {8, 480}, {3, 240}, {5, 240}} {
		idle := costAt(t, at.disks, 0)
		c := costAt(t, at.disks, at.rate)
		must.Greater(t, 0.95*float64(at.rate), c.answered)
		syncs, frames := (c.syncs-idle.syncs)/c.answered, (c.frames-idle.frames)/c.answered
		t.Logf("%d disks, %3d calls a second: %.1f syncs, %.1f frames, %.0f bytes, %v of processor a call (idle: %.0f syncs, %.0f frames, %.0f bytes, %v a second)",
			at.disks, at.rate, syncs, frames, (c.bytes-idle.bytes)/c.answered, time.Duration(float64(c.processor-idle.processor)/c.answered).Round(time.Microsecond),
			idle.syncs, idle.frames, idle.bytes, idle.processor.Round(time.Microsecond))
		must.Less(t, 8, syncs)
		must.Less(t, 40, frames)
	}
}

// Configurations and calls share disks and links, and neither waits long for the other: 480 calls a second with puts of 4 KB beside an operator
// who changes the configuration all the time.
func TestConfigurationsAndCallsShareTheDisk(t *testing.T) {
	t.Parallel()
	const over = 10 * time.Second
	play := func(perSecond int, changes bool) (acks, calls []time.Duration) {
		w := groupWorld(t, 9)
		began, n := w.now, 0
		w.operator.goes = changes
		if perSecond > 0 {
			w.every(time.Second/time.Duration(perSecond), func() bool {
				m, c, asked := w.machines[n%len(w.machines)], callMix(n), w.now
				if n++; c.Operation == coordination.KeyPut {
					c.Value = fmt.Sprintf("%04096d", n)
				}
				m.process.turn(func() {
					m.process.node.Coordinate(c, 0, func(a coordination.Result) {
						must.NotEq(t, coordination.StatusUnavailable, a.Status)
						calls = append(calls, w.now-asked)
					})
				})
				return w.now < began+over
			})
		}
		w.until(began+over, nil)
		for _, v := range w.operator.versions {
			if v.Sent > began && v.Acked > 0 {
				acks = append(acks, v.Acked-v.Sent)
			}
		}
		slices.Sort(acks)
		slices.Sort(calls)
		return acks, calls
	}
	at := func(all []time.Duration, q float64) time.Duration {
		return all[min(len(all)-1, int(q*float64(len(all))))].Round(100 * time.Microsecond)
	}
	aloneAcks, _ := play(0, true)
	_, aloneCalls := play(480, false)
	acks, calls := play(480, true)
	t.Logf("%d changes: median %v, worst %v; beside calls median %v, worst %v", len(aloneAcks), at(aloneAcks, 0.5), at(aloneAcks, 1), at(acks, 0.5), at(acks, 1))
	t.Logf("%d calls: median %v, 99 in 100 %v, worst %v; beside changes median %v, 99 in 100 %v, worst %v", len(aloneCalls), at(aloneCalls, 0.5),
		at(aloneCalls, 0.99), at(aloneCalls, 1), at(calls, 0.5), at(calls, 0.99), at(calls, 1))
	must.Less(t, at(aloneAcks, 0.5)+20*time.Millisecond, at(acks, 0.5))
	must.Less(t, 60*time.Millisecond, at(calls, 0.99))
}
