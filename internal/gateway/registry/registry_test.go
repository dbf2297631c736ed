package registry

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const (
	ms                = time.Millisecond
	heartbeatInterval = 1500 * ms
)

// fleet is a few nodes and the messages between them, on one clock.
type fleet struct {
	t           *testing.T
	now         time.Duration
	registries  map[Slot]*Registry
	live        map[Slot]bool
	partitioned map[[2]Slot]bool
	disks       int // nodes from 0 that have a disk
	messages    int
	acks        map[Slot]map[Ticket]Acknowledge
	views       map[Slot]map[string]Record
}

func newFleet(t *testing.T, n, firm int) *fleet {
	f := &fleet{t: t, registries: map[Slot]*Registry{}, live: map[Slot]bool{}, partitioned: map[[2]Slot]bool{}, disks: firm,
		acks: map[Slot]map[Ticket]Acknowledge{}, views: map[Slot]map[string]Record{}}
	for s := range Slot(n) {
		f.start(s)
	}
	f.updateNodes()
	return f
}

func (f *fleet) start(s Slot) {
	enough := 2
	if f.disks == 1 { // the loss of the only disk is not tolerated
		enough = 1
	}
	f.registries[s] = New(s, Config{HeartbeatInterval: heartbeatInterval, MinCopies: enough, Incarnation: uint32(f.now)}, f.now)
	f.acks[s], f.views[s], f.live[s] = map[Ticket]Acknowledge{}, map[string]Record{}, true
}

// updateNodes gives each node the others, live if it reaches them, and who follows whom: nodes without a disk follow the first one
// with a disk that they reach, both ways.
func (f *fleet) updateNodes() {
	reach := func(a, b Slot) bool { return f.live[b] && !f.partitioned[[2]Slot{a, b}] }
	follows := func(s Slot) Slot {
		for o := range Slot(f.disks) {
			if int(s) >= f.disks && reach(s, o) && reach(o, s) {
				return o
			}
		}
		return NoSlot
	}
	for s, b := range f.registries {
		var nodes []Node
		for o := range Slot(len(f.registries)) {
			nodes = append(nodes, Node{Slot: o, ControlAddr: fmt.Sprint("node", o), HasDisk: int(o) < f.disks,
				Live: reach(s, o), Follows: follows(o) == s})
		}
		b.SetNodes(nodes)
	}
	f.deliverAll()
}

// deliverAll delivers messages until there is none; what is sent into a partition or to a stopped node is lost.
func (f *fleet) deliverAll() {
	for again := true; again; {
		again = false
		for s := range Slot(len(f.registries)) {
			if !f.live[s] {
				continue
			}
			for a, ok := f.registries[s].Next(); ok; a, ok = f.registries[s].Next() {
				switch a := a.(type) {
				case Send:
					again = true
					f.messages++
					if f.live[a.Target] && !f.partitioned[[2]Slot{s, a.Target}] {
						f.registries[a.Target].Receive(s, a.Message)
					}
				case Acknowledge:
					f.acks[s][a.Ticket] = a
				case Changed:
					f.views[s][a.Record.ID] = a.Record
				}
			}
		}
	}
}

func (f *fleet) advance(d time.Duration) {
	for end := f.now + d; f.now < end; {
		f.now += min(100*ms, end-f.now)
		for s, b := range f.registries {
			if f.live[s] {
				b.Tick(f.now)
			}
		}
		f.deliverAll()
	}
}

// backend sends its heartbeats where the last answer named a node.
type backend struct {
	Record
	target Slot
}

func (f *fleet) heartbeat(s *backend, at Slot) Acknowledge {
	s.Seq++
	ticket := f.registries[at].Heartbeat(s.Record)
	f.deliverAll()
	a, ok := f.acks[at][ticket]
	if ok && a.OwnerAddr != "" {
		fmt.Sscanf(a.OwnerAddr, "node%d", &s.target)
	}
	return a
}

func newBackend(i int) *backend {
	return &backend{Record: Record{ID: fmt.Sprint("i-", i), Service: "s", Capacity: 4,
		Addr: fmt.Sprint("10.0.0.", i, ":80")}}
}

func (f *fleet) requirePhase(id string, want Phase) {
	f.t.Helper()
	for s := range f.registries {
		if w, ok := f.views[s][id]; f.live[s] && (ok || want != Gone) {
			must.Eq(f.t, want, w.Phase, must.Sprintf("node %d of %s", s, id))
		}
	}
}

// knownRecords is all that must be alike at nodes that have received the same.
func knownRecords(b *Registry) map[string]Record {
	m := map[string]Record{}
	for id, e := range b.entries {
		w := b.recordOf(e)
		w.SlowStartLeft, w.LostOwner, w.Seq = 0, NoSlot, 0 // heartbeats do not travel
		m[id] = w
	}
	return m
}

// permutations calls f with every order of n things.
func permutations(n int, f func([]int)) {
	var go1 func(head, rest []int)
	go1 = func(head, rest []int) {
		if len(rest) == 0 {
			f(head)
		}
		for i, x := range rest {
			left := append(append([]int{}, rest[:i]...), rest[i+1:]...)
			go1(append(append([]int{}, head...), x), left)
		}
	}
	all := make([]int, n)
	for i := range all {
		all[i] = i
	}
	go1(nil, all)
}

func TestUpdateOrdersConverge(t *testing.T) {
	w := newBackend(1).Record
	update := func(set func(*Record)) Record {
		x := w
		x.Owner, x.LostOwner = NoSlot, NoSlot
		set(&x)
		return x
	}
	for _, words := range [][]Record{
		{ // the owner changes while the former one times the backend out, and its heartbeats go on
			update(func(x *Record) { x.Seq, x.FencingToken, x.Owner = 1, 1, 3 }),
			update(func(x *Record) { x.Seq, x.FencingToken, x.Owner, x.Phase = 4, 1, 3, Gone }),
			update(func(x *Record) { x.Seq, x.FencingToken, x.Owner = 4, 2, 5 }),
			update(func(x *Record) { x.Seq, x.FencingToken, x.Owner = 4, 2, 4 }),
			update(func(x *Record) { x.Seq, x.FencingToken, x.Owner, x.Capacity = 5, 2, 5, 7 }),
		},
		{ // draining, timed out, a late heartbeat, deregistered
			update(func(x *Record) { x.Seq, x.FencingToken, x.Owner = 1, 1, 3 }),
			update(func(x *Record) { x.Seq, x.FencingToken, x.Owner, x.Phase, x.Draining = 2, 1, 3, Draining, true }),
			update(func(x *Record) { x.Seq, x.FencingToken, x.Owner = 3, 1, 3 }),
			update(func(x *Record) { x.Seq, x.FencingToken, x.Owner, x.Phase = 3, 1, 3, Gone }),
			{ID: w.ID, Owner: NoSlot, LostOwner: NoSlot, Phase: Gone, Deregistered: true},
		},
		{ // two at one address
			update(func(x *Record) { x.Seq, x.FencingToken, x.Owner, x.Age = 9, 1, 3, 9*time.Second }),
			update(func(x *Record) { x.ID, x.Service, x.Seq, x.FencingToken, x.Owner = "i-9", "other", 1, 1, 4 }),
			update(func(x *Record) { x.Seq, x.FencingToken, x.Owner, x.Age, x.Draining = 9, 1, 3, 9*time.Second, true }),
		},
	} {
		var first map[string]Record
		var seen []Record
		permutations(len(words), func(order []int) {
			b := New(0, Config{HeartbeatInterval: heartbeatInterval}, 0)
			for _, i := range append(order, order[0]) {
				b.Receive(Slot(words[i].Owner+1), Message{Updates: words[i : i+1]})
			}
			if first == nil {
				first, seen = knownRecords(b), b.Backends()
			}
			must.Eq(t, first, knownRecords(b), must.Sprint(order))
			must.SliceLen(t, len(seen), b.Backends())
		})
	}
}

func TestCallOrdersConverge(t *testing.T) {
	// Calls of one backend at three nodes, in every order, and with the nodes partitioned meanwhile or not.
	for _, cut := range []bool{false, true} {
		permutations(4, func(order []int) {
			f := newFleet(t, 3, 0)
			if cut {
				for _, p := range [][2]Slot{{0, 1}, {1, 0}, {0, 2}, {2, 0}} {
					f.partitioned[p] = true
				}
				f.updateNodes()
			}
			for _, i := range order {
				w := newBackend(1).Record
				switch i {
				case 0:
					w.Seq = 1
					f.registries[0].Heartbeat(w)
				case 1:
					w.Seq, w.Capacity = 2, 6
					f.registries[1].Heartbeat(w)
				case 2:
					w.Seq, w.Phase = 3, Draining
					f.registries[2].Heartbeat(w)
				case 3:
					w.Seq = 4
					f.registries[0].Heartbeat(w)
				}
				f.deliverAll()
			}
			f.partitioned = map[[2]Slot]bool{}
			f.updateNodes()
			f.advance(time.Second)
			f.requirePhase("i-1", Draining)
			must.Eq(t, knownRecords(f.registries[0])["i-1"], knownRecords(f.registries[1])["i-1"], must.Sprint(cut, order))
		})
	}
}

func TestHeartbeatsGoToOwnersAndNoFurther(t *testing.T) {
	f := newFleet(t, 4, 0)
	var all []*backend
	for i := range 20 {
		all = append(all, newBackend(i))
		must.True(t, f.heartbeat(all[i], 0).Confirmed)
	}
	f.advance(200 * ms)
	for _, s := range all {
		f.requirePhase(s.ID, Ready)
		must.Eq(t, s.target, f.registries[0].entries[s.ID].record.Owner)
	}
	kept := map[Slot]int{}
	for _, s := range all {
		kept[s.target]++
		f.heartbeat(s, s.target)
	}
	must.MapLen(t, 4, kept)
	f.advance(200 * ms)
	f.messages = 0
	for range 8 {
		for _, s := range all {
			must.True(t, f.heartbeat(s, s.target).Confirmed)
		}
		f.advance(heartbeatInterval)
	}
	must.Eq(t, 0, f.messages)
	// Without heartbeats all are gone at all nodes, and one that sends them again is back.
	f.advance(4 * heartbeatInterval)
	for _, s := range all {
		f.requirePhase(s.ID, Gone)
	}
	f.heartbeat(all[3], 2)
	f.advance(100 * ms)
	f.requirePhase(all[3].ID, Ready)
}

func TestDrainIsConfirmedByCopies(t *testing.T) {
	f := newFleet(t, 4, 2)
	s := newBackend(1)
	f.heartbeat(s, 0)
	f.advance(time.Second)
	s.Phase = Draining
	must.True(t, f.heartbeat(s, 0).Confirmed)
	f.requirePhase(s.ID, Draining)
	must.Eq(t, 0, f.registries[0].Status().PendingCalls)

	// Node 3 still counts as live but receives nothing: MinCopies suffice after allCopiesTimeout.
	loseTo := func(o Slot) { f.partitioned[[2]Slot{0, o}] = true }
	loseTo(3)
	s = newBackend(2)
	f.heartbeat(s, 0)
	s.Phase = Draining
	must.False(t, f.heartbeat(s, 0).Confirmed)
	ticket := f.registries[0].lastTicket
	f.advance(400 * ms)
	must.MapNotContainsKey(t, f.acks[0], ticket)
	f.advance(100 * ms)
	must.True(t, f.acks[0][ticket].Confirmed)

	// Copies at nodes without a disk are not enough.
	loseTo(1)
	ticket = f.registries[0].Deregister(s.ID)
	f.deliverAll()
	f.advance(700 * ms)
	must.MapNotContainsKey(t, f.acks[0], ticket)
	f.advance(100 * ms)
	must.MapContainsKey(t, f.acks[0], ticket)
	must.False(t, f.acks[0][ticket].Confirmed)

	// Node 1 receives again: the departure is still on its way, and the next call finds it acknowledged.
	delete(f.partitioned, [2]Slot{0, 1})
	delete(f.partitioned, [2]Slot{0, 3})
	f.advance(time.Second)
	f.requirePhase(s.ID, Gone)
	ticket = f.registries[0].Deregister(s.ID)
	f.deliverAll()
	must.True(t, f.acks[0][ticket].Confirmed)

	// A node that reaches nobody confirms no departure, but the only node there is may.
	for o := range Slot(3) {
		loseTo(o + 1)
	}
	f.updateNodes()
	s = newBackend(3)
	must.True(t, f.heartbeat(s, 0).Confirmed)
	s.Phase = Draining
	must.False(t, f.heartbeat(s, 0).Confirmed)
	f = newFleet(t, 1, 0)
	must.True(t, f.heartbeat(s, 0).Confirmed)
}

func TestLossOfOwnerKeepsItsBackends(t *testing.T) {
	f := newFleet(t, 4, 0)
	var all []*backend
	for i := range 30 {
		all = append(all, newBackend(i))
		f.heartbeat(all[i], 0)
		f.heartbeat(all[i], all[i].target)
	}
	f.advance(time.Second)
	dead := all[0].target
	var orphans, stopped []*backend
	for _, s := range all {
		if s.target == dead {
			orphans = append(orphans, s)
		}
	}
	must.Greater(t, 1, len(orphans))
	stopped, orphans = orphans[:1], orphans[1:]
	others := all[:0:0]
	for _, s := range all {
		if s.target != dead {
			others = append(others, s)
		}
	}
	f.live[dead] = false
	next := (dead + 1) % 4
	for i := range 7 {
		for _, s := range others {
			f.heartbeat(s, s.target)
		}
		for _, s := range orphans {
			if i == 0 || s.target == dead {
				f.heartbeat(s, next) // its heartbeat failed: it turns to the next node
			} else {
				f.heartbeat(s, s.target)
			}
		}
		if i == 1 {
			f.updateNodes() // only now do the nodes notice
		}
		for _, s := range all {
			if i < 4 || s != stopped[0] {
				f.requirePhase(s.ID, Ready)
			}
		}
		f.advance(heartbeatInterval)
	}
	f.requirePhase(stopped[0].ID, Gone) // it ended together with its owner
	for _, s := range orphans {
		must.NotEq(t, dead, s.target)
		must.Eq(t, s.target, f.registries[next].entries[s.ID].record.Owner)
	}
	// The owner comes back and knows nothing: it is sent the whole registry, departures too.
	f.start(dead)
	f.updateNodes()
	f.advance(time.Second)
	must.Eq(t, knownRecords(f.registries[next]), knownRecords(f.registries[dead]))
	must.Eq(t, 29, len(f.registries[dead].Backends()))
}

func TestIsolatedNodeExpiresOnlyDirectBackends(t *testing.T) {
	f := newFleet(t, 5, 0)
	var all []*backend
	for i := range 20 {
		all = append(all, newBackend(i))
		f.heartbeat(all[i], 1)
	}
	f.advance(100 * ms)
	for o := range Slot(4) {
		f.partitioned[[2]Slot{0, o + 1}], f.partitioned[[2]Slot{o + 1, 0}] = true, true
	}
	f.updateNodes()
	for range 10 {
		for _, s := range all {
			at := s.target
			if at == 0 {
				at = 2 // its zone does not reach node 0 any more
			}
			f.heartbeat(s, at)
		}
		f.advance(heartbeatInterval)
	}
	must.SliceLen(t, 20, f.registries[0].Backends())
	f.partitioned = map[[2]Slot]bool{}
	f.updateNodes()
	f.advance(time.Second)
	for _, s := range all {
		f.requirePhase(s.ID, Ready)
	}
}

func TestStallIsNotATimeout(t *testing.T) {
	f := newFleet(t, 2, 0)
	s := newBackend(1)
	f.heartbeat(s, 0)
	f.heartbeat(s, s.target)
	b := f.registries[s.target]
	b.Tick(f.now + 20*time.Second)
	f.deliverAll()
	f.requirePhase(s.ID, Ready)
	for range 20 {
		f.now += 200 * ms
		b.Tick(f.now + 20*time.Second)
	}
	f.deliverAll()
	f.requirePhase(s.ID, Ready)
	for range 5 {
		f.now += 200 * ms
		b.Tick(f.now + 20*time.Second)
	}
	f.deliverAll()
	f.requirePhase(s.ID, Gone)
}

func TestAddressUsedAgain(t *testing.T) {
	f := newFleet(t, 3, 0)
	old := newBackend(1)
	f.heartbeat(old, 0)
	f.advance(2 * time.Second)
	young := newBackend(2)
	young.Addr, young.Service = old.Addr, "other"
	f.heartbeat(young, 1)
	f.advance(600 * ms)
	f.requirePhase(old.ID, Gone)
	f.requirePhase(young.ID, Ready)
	must.SliceLen(t, 1, f.registries[2].Backends())
	// A late call of the old one changes nothing for long, and the departure of the young one does not bring it back.
	old.Seq += 5
	f.heartbeat(old, 2)
	f.advance(600 * ms)
	f.requirePhase(old.ID, Gone)
	f.requirePhase(young.ID, Ready)
	f.registries[0].Deregister(young.ID)
	f.deliverAll()
	f.requirePhase(young.ID, Gone)
	f.requirePhase(old.ID, Gone)
}

func TestTombstonesEnd(t *testing.T) {
	f := newFleet(t, 2, 0)
	s := newBackend(1)
	f.heartbeat(s, 0)
	f.registries[1].Deregister(s.ID)
	f.deliverAll()
	s.Seq = 7
	f.heartbeat(s, 0)
	f.requirePhase(s.ID, Gone)
	f.advance(tombstoneTTL + time.Second)
	must.Eq(t, Status{}, f.registries[0].Status())
	must.MapEmpty(t, f.registries[0].entries)
	must.MapEmpty(t, f.registries[0].byAddr)
	for i := range maxTombstones + 100 {
		f.registries[0].Deregister(fmt.Sprint(i))
	}
	f.advance(time.Second)
	must.Eq(t, maxTombstones, len(f.registries[0].entries))
}

func TestNodesConvergeAfterFaults(t *testing.T) {
	for seed := range int64(200) {
		r := rand.New(rand.NewSource(seed))
		n := 3 + r.Intn(9)
		f, all, crashed := newFleet(t, n, r.Intn(4)), []*backend{}, map[string]bool{}
		for i := range 12 {
			all = append(all, newBackend(i))
		}
		beats := func() {
			for _, s := range all {
				for tries := 0; tries < n && !crashed[s.ID]; tries++ {
					if f.live[s.target] && f.heartbeat(s, s.target).Confirmed {
						break
					}
					s.target = Slot(r.Intn(n))
				}
			}
		}
		back := func(d Slot) {
			f.start(d)
			for o, b := range f.registries {
				if o != d && f.live[o] {
					b.SyncPeer(d) // it may have been back before its liveness timed out
				}
			}
			f.updateNodes()
		}
		for range 25 {
			x, y, s := Slot(r.Intn(n)), Slot(r.Intn(n)), all[r.Intn(len(all))]
			switch r.Intn(7) {
			case 0:
				f.live[x] = false
			case 1:
				back(x)
			case 2:
				f.partitioned[[2]Slot{x, y}], f.partitioned[[2]Slot{y, x}] = x != y, x != y
			case 3:
				f.partitioned = map[[2]Slot]bool{}
			case 4:
				s.Phase = Draining
			case 5:
				crashed[s.ID] = true
			case 6:
				f.registries[x].ReportAddressConflict(s.ID)
			}
			for range 2 { // faults are noticed before the next heartbeats, after, or not at all
				if r.Intn(2) == 0 {
					f.updateNodes()
				}
				beats()
				f.advance(time.Duration(r.Intn(1000)) * ms)
			}
		}
		f.partitioned = map[[2]Slot]bool{}
		for d := range Slot(n) {
			if !f.live[d] {
				back(d)
			}
		}
		f.updateNodes()
		for i := range 12 {
			if i == 9 {
				f.messages = 0
			}
			beats()
			f.advance(heartbeatInterval)
		}
		for _, s := range all {
			want := s.Phase
			if crashed[s.ID] {
				want = Gone
			}
			f.requirePhase(s.ID, want)
		}
		must.Eq(t, 0, f.messages, must.Sprint("in calm, seed ", seed))
	}
}

// What goes over a link must not grow with the nodes: a release of many backends, and a node that comes back in the middle of
// it, cost a node without a disk one update a change from its upstream, and the registry once. Guards against messages of all to all, which
// held up requests on thin links and broke the rule DRAIN.
func TestMessagesGrowLinearlyWithNodes(t *testing.T) {
	for _, n := range []int{12, 48, 96} {
		f := newFleet(t, n, 3)
		for i := range 60 {
			f.heartbeat(newBackend(i), Slot(i%n))
		}
		f.advance(time.Second)
		for s := range Slot(n) {
			must.Len(t, 60, f.registries[s].Backends())
		}
		f.messages = 0
		for i := range 60 {
			s := newBackend(i)
			s.Seq, s.Phase = 9, Draining
			must.True(t, f.heartbeat(s, Slot(i%n)).Confirmed, must.Sprint("known by those with a disk, it is acknowledged at once"))
		}
		must.LessEq(t, 60*(2*n+20), f.messages, must.Sprint(n, " nodes")) // an update and its acknowledgement each
		f.advance(time.Second)
		f.messages = 0
		f.start(Slot(n - 1))
		for s := range Slot(n - 1) {
			f.registries[s].SyncPeer(Slot(n - 1))
		}
		f.updateNodes()
		f.advance(time.Second)
		must.LessEq(t, 12, f.messages)
		must.Len(t, 60, f.registries[Slot(n-1)].Backends())
	}
}

// After the loss of all nodes one that kept its registry on disk spares the others a wait for heartbeats. What it has wrongly goes: a
// backend that sends none is gone after three intervals, one that deregistered meanwhile stays gone where that is known.
func TestRestore(t *testing.T) {
	f := newFleet(t, 3, 1)
	lives, died := newBackend(1), newBackend(2)
	for _, s := range []*backend{lives, died} {
		f.heartbeat(s, 0)
		f.heartbeat(s, s.target)
	}
	f.advance(time.Second)
	kept := f.registries[0].Backends()
	must.Len(t, 2, kept)
	for s := range Slot(3) {
		f.start(s)
	}
	f.registries[0].Restore(kept)
	f.updateNodes()
	f.advance(200 * ms)
	f.requirePhase(lives.ID, Ready)
	f.requirePhase(died.ID, Ready)
	for range 6 {
		f.heartbeat(lives, lives.target)
		f.advance(heartbeatInterval)
	}
	f.requirePhase(lives.ID, Ready)
	f.requirePhase(died.ID, Gone)

	f.start(0)
	f.registries[0].Deregister(lives.ID)
	f.registries[0].Restore(kept)
	f.deliverAll()
	must.Eq(t, Gone, f.registries[0].visiblePhase(f.registries[0].entries[lives.ID]))
}

// The only node with a disk comes back knowing nothing: its followers send it what its full sync left out. A backend that lives has an
// owner again without a wait for its heartbeat; one that died meanwhile is gone after three intervals at all nodes, though no heartbeat ever
// names it again.
func TestFollowersReportMissingBackends(t *testing.T) {
	f := newFleet(t, 4, 1)
	lives, died := newBackend(1), newBackend(2)
	for _, s := range []*backend{lives, died} {
		f.heartbeat(s, 3)
		must.Eq(t, Slot(0), s.target) // nodes with a disk own backends
		f.heartbeat(s, 0)
	}
	f.advance(time.Second)
	f.start(0)
	for s := range Slot(3) {
		f.registries[s+1].SyncPeer(0)
	}
	f.updateNodes()
	must.Len(t, 0, f.registries[0].Backends())
	f.advance(fullSyncGrace + time.Second)
	must.Len(t, 2, f.registries[0].Backends())
	must.Len(t, 2, f.registries[2].Backends())
	for range 6 {
		f.heartbeat(lives, 0)
		f.advance(heartbeatInterval)
	}
	f.requirePhase(lives.ID, Ready)
	f.requirePhase(died.ID, Gone)
}

// A node that came back has nothing of what its former incarnation knew: a late message of that one, read after the new one was synced, is
// no copy. The departure of a backend is confirmed once the present incarnation acknowledges it.
func TestLateMessageOfFormerIncarnationIsNoCopy(t *testing.T) {
	for _, fault := range withoutDefence {
		f := newFleet(t, 2, 2)
		knobs := knobsTrustingPeers(fault)
		for _, r := range f.registries {
			r.config.TestingKnobs = knobs
		}
		s := &backend{Record: Record{ID: "b", Service: "s", Addr: "10.0.0.1:80"}}
		f.heartbeat(s, 0)
		late := s.Record
		late.Phase, late.Draining, late.Seq, late.Owner, late.LostOwner = Draining, true, s.Seq+1, NoSlot, NoSlot
		f.registries[0].SyncPeer(1) // the link to its new incarnation is up, a message of the former one lies unread
		sent := f.takeMessages(0)
		f.registries[0].Receive(1, Message{Seq: 7, Updates: []Record{late}})
		s.Phase, s.Seq = Draining, s.Seq+1
		ticket := f.registries[0].Heartbeat(s.Record)
		sent = append(sent, f.takeMessages(0)...)
		_, early := f.acks[0][ticket]
		must.Eq(t, fault, early)
		f.registries[1] = New(1, Config{HeartbeatInterval: heartbeatInterval, MinCopies: 2, Incarnation: 99, TestingKnobs: knobs}, f.now)
		f.registries[1].SetNodes([]Node{{Slot: 0, HasDisk: true, Live: true}, {Slot: 1, HasDisk: true, Live: true}})
		for _, m := range sent {
			f.registries[1].Receive(0, m)
		}
		f.deliverAll()
		must.True(t, f.acks[0][ticket].Confirmed)
		must.Eq(t, Draining, f.registries[1].entries["b"].phase())
	}
}

// takeMessages gives what a node sends, and delivers nothing.
func (f *fleet) takeMessages(s Slot) (sent []Message) {
	for a, ok := f.registries[s].Next(); ok; a, ok = f.registries[s].Next() {
		switch a := a.(type) {
		case Send:
			sent = append(sent, a.Message)
		case Acknowledge:
			f.acks[s][a.Ticket] = a
		}
	}
	return sent
}
