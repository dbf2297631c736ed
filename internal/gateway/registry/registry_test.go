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

// fleet is a few nodes and the datagrams between them, on one clock.
type fleet struct {
	t           *testing.T
	now         time.Duration
	registries  map[Slot]*Registry
	live        map[Slot]bool
	partitioned map[[2]Slot]bool
	disks       int // nodes from 0 that count
	messages    int
	acks        map[Slot]map[Ticket]Acknowledge
	views       map[Slot]map[string]Record
}

func newFleet(t *testing.T, n, firm int) *fleet {
	tr := &fleet{t: t, registries: map[Slot]*Registry{}, live: map[Slot]bool{}, partitioned: map[[2]Slot]bool{}, disks: firm,
		acks: map[Slot]map[Ticket]Acknowledge{}, views: map[Slot]map[string]Record{}}
	for s := range Slot(n) {
		tr.start(s)
	}
	tr.updateNodes()
	return tr
}

func (f *fleet) start(s Slot) {
	enough := 2
	if f.disks == 1 { // the loss of the only disk is not tolerated
		enough = 1
	}
	f.registries[s] = New(s, Config{HeartbeatInterval: heartbeatInterval, MinCopies: enough, Incarnation: uint32(f.now)}, f.now)
	f.acks[s], f.views[s], f.live[s] = map[Ticket]Acknowledge{}, map[string]Record{}, true
}

// updateNodes tells each node which others it hears, and who follows whom: nodes without a disk the first one with a disk that
// they reach.
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

// deliverAll carries datagrams until there is none; cut and dead nodes get none.
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

// backend beats where it is told to.
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

// knownRecords is all that must be alike at nodes that have heard the same.
func knownRecords(b *Registry) map[string]Record {
	m := map[string]Record{}
	for id, e := range b.entries {
		w := b.recordOf(e)
		w.SlowStartLeft, w.LostOwner, w.Seq = 0, NoSlot, 0 // beats do not travel
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

func TestAllOrdersOfWordsEndAlike(t *testing.T) {
	w := newBackend(1).Record
	say := func(f func(*Record)) Record {
		x := w
		x.Owner, x.LostOwner = NoSlot, NoSlot
		f(&x)
		return x
	}
	for _, words := range [][]Record{
		{ // one changes hands while its old registrar finds it silent, and it beats on
			say(func(x *Record) { x.Seq, x.FencingToken, x.Owner = 1, 1, 3 }),
			say(func(x *Record) { x.Seq, x.FencingToken, x.Owner, x.Phase = 4, 1, 3, Gone }),
			say(func(x *Record) { x.Seq, x.FencingToken, x.Owner = 4, 2, 5 }),
			say(func(x *Record) { x.Seq, x.FencingToken, x.Owner = 4, 2, 4 }),
			say(func(x *Record) { x.Seq, x.FencingToken, x.Owner, x.Capacity = 5, 2, 5, 7 }),
		},
		{ // draining, silent, beating late, leaving
			say(func(x *Record) { x.Seq, x.FencingToken, x.Owner = 1, 1, 3 }),
			say(func(x *Record) { x.Seq, x.FencingToken, x.Owner, x.Phase, x.Draining = 2, 1, 3, Draining, true }),
			say(func(x *Record) { x.Seq, x.FencingToken, x.Owner = 3, 1, 3 }),
			say(func(x *Record) { x.Seq, x.FencingToken, x.Owner, x.Phase = 3, 1, 3, Gone }),
			{ID: w.ID, Owner: NoSlot, LostOwner: NoSlot, Phase: Gone, Left: true},
		},
		{ // two at one address
			say(func(x *Record) { x.Seq, x.FencingToken, x.Owner, x.Age = 9, 1, 3, 9*time.Second }),
			say(func(x *Record) { x.ID, x.Service, x.Seq, x.FencingToken, x.Owner = "i-9", "other", 1, 1, 4 }),
			say(func(x *Record) { x.Seq, x.FencingToken, x.Owner, x.Age, x.Draining = 9, 1, 3, 9*time.Second, true }),
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

func TestAllOrdersOfCallsEndAlike(t *testing.T) {
	// Calls of one backend at three nodes, in every order and with the nodes cut from each other meanwhile
	// or not.
	for _, cut := range []bool{false, true} {
		permutations(4, func(order []int) {
			tr := newFleet(t, 3, 0)
			if cut {
				for _, p := range [][2]Slot{{0, 1}, {1, 0}, {0, 2}, {2, 0}} {
					tr.partitioned[p] = true
				}
				tr.updateNodes()
			}
			for _, i := range order {
				w := newBackend(1).Record
				switch i {
				case 0:
					w.Seq = 1
					tr.registries[0].Heartbeat(w)
				case 1:
					w.Seq, w.Capacity = 2, 6
					tr.registries[1].Heartbeat(w)
				case 2:
					w.Seq, w.Phase = 3, Draining
					tr.registries[2].Heartbeat(w)
				case 3:
					w.Seq = 4
					tr.registries[0].Heartbeat(w)
				}
				tr.deliverAll()
			}
			tr.partitioned = map[[2]Slot]bool{}
			tr.updateNodes()
			tr.advance(time.Second)
			tr.requirePhase("i-1", Draining)
			must.Eq(t, knownRecords(tr.registries[0])["i-1"], knownRecords(tr.registries[1])["i-1"], must.Sprint(cut, order))
		})
	}
}

func TestBeatsAreSteeredAndDoNotTravel(t *testing.T) {
	tr := newFleet(t, 4, 0)
	var all []*backend
	for i := range 20 {
		all = append(all, newBackend(i))
		must.True(t, tr.heartbeat(all[i], 0).Confirmed)
	}
	tr.advance(200 * ms)
	for _, s := range all {
		tr.requirePhase(s.ID, Ready)
		must.Eq(t, s.target, tr.registries[0].entries[s.ID].record.Owner)
	}
	kept := map[Slot]int{}
	for _, s := range all {
		kept[s.target]++
		tr.heartbeat(s, s.target)
	}
	must.MapLen(t, 4, kept)
	tr.advance(200 * ms)
	tr.messages = 0
	for range 8 {
		for _, s := range all {
			must.True(t, tr.heartbeat(s, s.target).Confirmed)
		}
		tr.advance(heartbeatInterval)
	}
	must.Eq(t, 0, tr.messages)
	// Without beats all are gone at all nodes, and one that beats again is back.
	tr.advance(4 * heartbeatInterval)
	for _, s := range all {
		tr.requirePhase(s.ID, Gone)
	}
	tr.heartbeat(all[3], 2)
	tr.advance(100 * ms)
	tr.requirePhase(all[3].ID, Ready)
}

func TestDrainIsAcknowledgedWhenOthersKnow(t *testing.T) {
	tr := newFleet(t, 4, 2)
	s := newBackend(1)
	tr.heartbeat(s, 0)
	tr.advance(time.Second)
	s.Phase = Draining
	must.True(t, tr.heartbeat(s, 0).Confirmed)
	tr.requirePhase(s.ID, Draining)
	must.Eq(t, 0, tr.registries[0].Status().PendingCalls)

	// Node 3 has not been missed yet but hears nothing: enough is enough after a while.
	mute := func(o Slot) { tr.partitioned[[2]Slot{0, o}] = true }
	mute(3)
	s = newBackend(2)
	tr.heartbeat(s, 0)
	s.Phase = Draining
	must.False(t, tr.heartbeat(s, 0).Confirmed)
	ticket := tr.registries[0].lastTicket
	tr.advance(400 * ms)
	must.MapNotContainsKey(t, tr.acks[0], ticket)
	tr.advance(100 * ms)
	must.True(t, tr.acks[0][ticket].Confirmed)

	// Copies at nodes that do not count are not enough.
	mute(1)
	ticket = tr.registries[0].Deregister(s.ID, 9)
	tr.deliverAll()
	tr.advance(700 * ms)
	must.MapNotContainsKey(t, tr.acks[0], ticket)
	tr.advance(100 * ms)
	must.MapContainsKey(t, tr.acks[0], ticket)
	must.False(t, tr.acks[0][ticket].Confirmed)

	// Node 1 hears again: the word is still on its way, and the next call finds it told.
	delete(tr.partitioned, [2]Slot{0, 1})
	delete(tr.partitioned, [2]Slot{0, 3})
	tr.advance(time.Second)
	tr.requirePhase(s.ID, Gone)
	ticket = tr.registries[0].Deregister(s.ID, 10)
	tr.deliverAll()
	must.True(t, tr.acks[0][ticket].Confirmed)

	// A node that hears nobody acknowledges no end, but a node that is alone may.
	for o := range Slot(3) {
		mute(o + 1)
	}
	tr.updateNodes()
	s = newBackend(3)
	must.True(t, tr.heartbeat(s, 0).Confirmed)
	s.Phase = Draining
	must.False(t, tr.heartbeat(s, 0).Confirmed)
	tr = newFleet(t, 1, 0)
	must.True(t, tr.heartbeat(s, 0).Confirmed)
}

func TestRegistrarLostIsNotItsBackends(t *testing.T) {
	tr := newFleet(t, 4, 0)
	var all []*backend
	for i := range 30 {
		all = append(all, newBackend(i))
		tr.heartbeat(all[i], 0)
		tr.heartbeat(all[i], all[i].target)
	}
	tr.advance(time.Second)
	dead := all[0].target
	var orphans, dumb []*backend
	for _, s := range all {
		if s.target == dead {
			orphans = append(orphans, s)
		}
	}
	must.Greater(t, 1, len(orphans))
	dumb, orphans = orphans[:1], orphans[1:]
	others := all[:0:0]
	for _, s := range all {
		if s.target != dead {
			others = append(others, s)
		}
	}
	tr.live[dead] = false
	next := (dead + 1) % 4
	for i := range 7 {
		for _, s := range others {
			tr.heartbeat(s, s.target)
		}
		for _, s := range orphans {
			if i == 0 || s.target == dead {
				tr.heartbeat(s, next) // its beat failed: it turns to the next node
			} else {
				tr.heartbeat(s, s.target)
			}
		}
		if i == 1 {
			tr.updateNodes() // only now the nodes miss it
		}
		for _, s := range all {
			if i < 4 || s != dumb[0] {
				tr.requirePhase(s.ID, Ready)
			}
		}
		tr.advance(heartbeatInterval)
	}
	tr.requirePhase(dumb[0].ID, Gone) // it went together with its registrar
	for _, s := range orphans {
		must.NotEq(t, dead, s.target)
		must.Eq(t, s.target, tr.registries[next].entries[s.ID].record.Owner)
	}
	// The registrar comes back and knows nothing: it is told the whole registry, ends too.
	tr.start(dead)
	tr.updateNodes()
	tr.advance(time.Second)
	must.Eq(t, knownRecords(tr.registries[next]), knownRecords(tr.registries[dead]))
	must.Eq(t, 29, len(tr.registries[dead].Backends()))
}

func TestIsolatedNodeExpiresOnlyDirectBackends(t *testing.T) {
	tr := newFleet(t, 5, 0)
	var all []*backend
	for i := range 20 {
		all = append(all, newBackend(i))
		tr.heartbeat(all[i], 1)
	}
	tr.advance(100 * ms)
	for o := range Slot(4) {
		tr.partitioned[[2]Slot{0, o + 1}], tr.partitioned[[2]Slot{o + 1, 0}] = true, true
	}
	tr.updateNodes()
	for range 10 {
		for _, s := range all {
			at := s.target
			if at == 0 {
				at = 2 // its zone does not reach node 0 any more
			}
			tr.heartbeat(s, at)
		}
		tr.advance(heartbeatInterval)
	}
	must.SliceLen(t, 20, tr.registries[0].Backends())
	tr.partitioned = map[[2]Slot]bool{}
	tr.updateNodes()
	tr.advance(time.Second)
	for _, s := range all {
		tr.requirePhase(s.ID, Ready)
	}
}

func TestStallIsNotATimeout(t *testing.T) {
	tr := newFleet(t, 2, 0)
	s := newBackend(1)
	tr.heartbeat(s, 0)
	tr.heartbeat(s, s.target)
	b := tr.registries[s.target]
	b.Tick(tr.now + 20*time.Second)
	tr.deliverAll()
	tr.requirePhase(s.ID, Ready)
	for range 20 {
		tr.now += 200 * ms
		b.Tick(tr.now + 20*time.Second)
	}
	tr.deliverAll()
	tr.requirePhase(s.ID, Ready)
	for range 5 {
		tr.now += 200 * ms
		b.Tick(tr.now + 20*time.Second)
	}
	tr.deliverAll()
	tr.requirePhase(s.ID, Gone)
}

func TestAddressUsedAgain(t *testing.T) {
	tr := newFleet(t, 3, 0)
	old := newBackend(1)
	tr.heartbeat(old, 0)
	tr.advance(2 * time.Second)
	young := newBackend(2)
	young.Addr, young.Service = old.Addr, "other"
	tr.heartbeat(young, 1)
	tr.advance(600 * ms)
	tr.requirePhase(old.ID, Gone)
	tr.requirePhase(young.ID, Ready)
	must.SliceLen(t, 1, tr.registries[2].Backends())
	// A late call of the old one changes nothing for long, and the young one's end does not bring it back.
	old.Seq += 5
	tr.heartbeat(old, 2)
	tr.advance(600 * ms)
	tr.requirePhase(old.ID, Gone)
	tr.requirePhase(young.ID, Ready)
	tr.registries[0].Deregister(young.ID, 9)
	tr.deliverAll()
	tr.requirePhase(young.ID, Gone)
	tr.requirePhase(old.ID, Gone)
}

func TestTombstonesEnd(t *testing.T) {
	tr := newFleet(t, 2, 0)
	s := newBackend(1)
	tr.heartbeat(s, 0)
	tr.registries[1].Deregister(s.ID, 2)
	tr.deliverAll()
	s.Seq = 7
	tr.heartbeat(s, 0)
	tr.requirePhase(s.ID, Gone)
	tr.advance(tombstoneTTL + time.Second)
	must.Eq(t, Status{}, tr.registries[0].Status())
	must.MapEmpty(t, tr.registries[0].entries)
	must.MapEmpty(t, tr.registries[0].byAddr)
	for i := range maxTombstones + 100 {
		tr.registries[0].Deregister(fmt.Sprint(i), 1)
	}
	tr.advance(time.Second)
	must.Eq(t, maxTombstones, len(tr.registries[0].entries))
}

func TestNodesConvergeAfterFaults(t *testing.T) {
	for seed := range int64(200) {
		r := rand.New(rand.NewSource(seed))
		n := 3 + r.Intn(9)
		tr, all, crashed := newFleet(t, n, r.Intn(4)), []*backend{}, map[string]bool{}
		for i := range 12 {
			all = append(all, newBackend(i))
		}
		beats := func() {
			for _, s := range all {
				for tries := 0; tries < n && !crashed[s.ID]; tries++ {
					if tr.live[s.target] && tr.heartbeat(s, s.target).Confirmed {
						break
					}
					s.target = Slot(r.Intn(n))
				}
			}
		}
		back := func(d Slot) {
			tr.start(d)
			for o, b := range tr.registries {
				if o != d && tr.live[o] {
					b.SyncPeer(d) // it may have been back before anybody missed it
				}
			}
			tr.updateNodes()
		}
		for range 25 {
			x, y, s := Slot(r.Intn(n)), Slot(r.Intn(n)), all[r.Intn(len(all))]
			switch r.Intn(7) {
			case 0:
				tr.live[x] = false
			case 1:
				back(x)
			case 2:
				tr.partitioned[[2]Slot{x, y}], tr.partitioned[[2]Slot{y, x}] = x != y, x != y
			case 3:
				tr.partitioned = map[[2]Slot]bool{}
			case 4:
				s.Phase = Draining
			case 5:
				crashed[s.ID] = true
			case 6:
				tr.registries[x].AddressTaken(s.ID)
			}
			for range 2 { // trouble is noticed before the next beats, after, or not at all
				if r.Intn(2) == 0 {
					tr.updateNodes()
				}
				beats()
				tr.advance(time.Duration(r.Intn(1000)) * ms)
			}
		}
		tr.partitioned = map[[2]Slot]bool{}
		for d := range Slot(n) {
			if !tr.live[d] {
				back(d)
			}
		}
		tr.updateNodes()
		for i := range 12 {
			if i == 9 {
				tr.messages = 0
			}
			beats()
			tr.advance(heartbeatInterval)
		}
		for _, s := range all {
			want := s.Phase
			if crashed[s.ID] {
				want = Gone
			}
			tr.requirePhase(s.ID, want)
		}
		must.Eq(t, 0, tr.messages, must.Sprint("in calm, seed ", seed))
	}
}

// What goes over a link must not grow with the nodes: a release of many backends, and a node that comes back in the middle of
// it, cost a node without a disk one word a change from the one that it follows, and its registry once. On thin links, words
// of all to all held up requests and broke DRAIN.
func TestMessagesGrowLinearlyWithNodes(t *testing.T) {
	for _, n := range []int{12, 48, 96} {
		tr := newFleet(t, n, 3)
		for i := range 60 {
			tr.heartbeat(newBackend(i), Slot(i%n))
		}
		tr.advance(time.Second)
		for s := range Slot(n) {
			must.Len(t, 60, tr.registries[s].Backends())
		}
		tr.messages = 0
		for i := range 60 {
			s := newBackend(i)
			s.Seq, s.Phase = 9, Draining
			must.True(t, tr.heartbeat(s, Slot(i%n)).Confirmed, must.Sprint("known by those with a disk, it is acknowledged at once"))
		}
		must.LessEq(t, 60*(2*n+20), tr.messages, must.Sprint(n, " nodes")) // a word and its confirmation each
		tr.advance(time.Second)
		tr.messages = 0
		tr.start(Slot(n - 1))
		for s := range Slot(n - 1) {
			tr.registries[s].SyncPeer(Slot(n - 1))
		}
		tr.updateNodes()
		tr.advance(time.Second)
		must.LessEq(t, 12, tr.messages)
		must.Len(t, 60, tr.registries[Slot(n-1)].Backends())
	}
}

// After the loss of all nodes one that remembers spares the others a wait for the beats. What it remembers wrongly goes:
// a backend that says nothing is gone after three beats, one that left meanwhile stays gone where that is known.
func TestRestore(t *testing.T) {
	tr := newFleet(t, 3, 1)
	lives, died := newBackend(1), newBackend(2)
	for _, s := range []*backend{lives, died} {
		tr.heartbeat(s, 0)
		tr.heartbeat(s, s.target)
	}
	tr.advance(time.Second)
	kept := tr.registries[0].Backends()
	must.Len(t, 2, kept)
	for s := range Slot(3) {
		tr.start(s)
	}
	tr.registries[0].Restore(kept)
	tr.updateNodes()
	tr.advance(200 * ms)
	tr.requirePhase(lives.ID, Ready)
	tr.requirePhase(died.ID, Ready)
	for range 6 {
		tr.heartbeat(lives, lives.target)
		tr.advance(heartbeatInterval)
	}
	tr.requirePhase(lives.ID, Ready)
	tr.requirePhase(died.ID, Gone)

	tr.start(0)
	tr.registries[0].Deregister(lives.ID, 0)
	tr.registries[0].Restore(kept)
	tr.deliverAll()
	must.Eq(t, Gone, tr.registries[0].visiblePhase(tr.registries[0].entries[lives.ID]))
}

// The only node with a disk comes back knowing nothing: those who follow it tell what it did not name. What lives is kept again
// without a wait for its beat, what died meanwhile goes after three beats at all nodes, though no beat ever names it again.
func TestFollowersReportMissingBackends(t *testing.T) {
	tr := newFleet(t, 4, 1)
	lives, died := newBackend(1), newBackend(2)
	for _, s := range []*backend{lives, died} {
		tr.heartbeat(s, 3)
		must.Eq(t, Slot(0), s.target) // nodes with a disk keep
		tr.heartbeat(s, 0)
	}
	tr.advance(time.Second)
	tr.start(0)
	for s := range Slot(3) {
		tr.registries[s+1].SyncPeer(0)
	}
	tr.updateNodes()
	must.Len(t, 0, tr.registries[0].Backends())
	tr.advance(fullSyncGrace + time.Second)
	must.Len(t, 2, tr.registries[0].Backends())
	must.Len(t, 2, tr.registries[2].Backends())
	for range 6 {
		tr.heartbeat(lives, 0)
		tr.advance(heartbeatInterval)
	}
	tr.requirePhase(lives.ID, Ready)
	tr.requirePhase(died.ID, Gone)
}

// A node that came back has nothing of what its former life knew: a late word of that one, read after the new one was greeted, is
// no copy. The end of a backend is acknowledged once the present life confirms it.
func TestLateWordOfFormerLifeIsNoCopy(t *testing.T) {
	defer func() { trustUnconfirmedPeers = false }()
	for _, fault := range []bool{false, true} {
		trustUnconfirmedPeers = fault
		tr := newFleet(t, 2, 2)
		s := &backend{Record: Record{ID: "b", Service: "s", Addr: "10.0.0.1:80"}}
		tr.heartbeat(s, 0)
		late := s.Record
		late.Phase, late.Draining, late.Seq, late.Owner, late.LostOwner = Draining, true, s.Seq+1, NoSlot, NoSlot
		tr.registries[0].SyncPeer(1) // the link to its new life is up, the datagrams of the former one lies unread
		sent := tr.takeMessages(0)
		tr.registries[0].Receive(1, Message{Seq: 7, Updates: []Record{late}})
		s.Phase, s.Seq = Draining, s.Seq+1
		ticket := tr.registries[0].Heartbeat(s.Record)
		sent = append(sent, tr.takeMessages(0)...)
		_, early := tr.acks[0][ticket]
		must.Eq(t, fault, early)
		tr.registries[1] = New(1, Config{HeartbeatInterval: heartbeatInterval, MinCopies: 2, Incarnation: 99}, tr.now)
		tr.registries[1].SetNodes([]Node{{Slot: 0, HasDisk: true, Live: true}, {Slot: 1, HasDisk: true, Live: true}})
		for _, m := range sent {
			tr.registries[1].Receive(0, m)
		}
		tr.deliverAll()
		must.True(t, tr.acks[0][ticket].Confirmed)
		must.Eq(t, Draining, tr.registries[1].entries["b"].phase())
	}
}

// takeMessages gives what a node sends, and carries it nowhere.
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
