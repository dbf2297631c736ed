package registry

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const (
	ms   = time.Millisecond
	beat = 1500 * ms
)

// fleet is a few nodes and the datagrams between them, on one clock.
type fleet struct {
	t          *testing.T
	now        time.Duration
	registries map[Slot]*Registry
	live       map[Slot]bool
	cut        map[[2]Slot]bool
	firm       int // nodes from 0 that count
	messages   int
	acks       map[Slot]map[Ticket]Acknowledge
	views      map[Slot]map[string]Record
}

func open(t *testing.T, n, firm int) *fleet {
	tr := &fleet{t: t, registries: map[Slot]*Registry{}, live: map[Slot]bool{}, cut: map[[2]Slot]bool{}, firm: firm,
		acks: map[Slot]map[Ticket]Acknowledge{}, views: map[Slot]map[string]Record{}}
	for s := range Slot(n) {
		tr.start(s)
	}
	tr.meet()
	return tr
}

func (tr *fleet) start(s Slot) {
	enough := 2
	if tr.firm == 1 { // the loss of the only disk is not tolerated
		enough = 1
	}
	tr.registries[s] = New(s, Terms{BeatInterval: beat, Enough: enough, Life: uint32(tr.now)}, tr.now)
	tr.acks[s], tr.views[s], tr.live[s] = map[Ticket]Acknowledge{}, map[string]Record{}, true
}

// meet tells each node which others it hears, and who follows whom: nodes without a disk the first one with a disk that
// they reach.
func (tr *fleet) meet() {
	reach := func(a, b Slot) bool { return tr.live[b] && !tr.cut[[2]Slot{a, b}] }
	follows := func(s Slot) Slot {
		for o := range Slot(tr.firm) {
			if int(s) >= tr.firm && reach(s, o) && reach(o, s) {
				return o
			}
		}
		return None
	}
	for s, b := range tr.registries {
		var nodes []Node
		for o := range Slot(len(tr.registries)) {
			nodes = append(nodes, Node{Seat: o, Control: fmt.Sprint("node", o), Firm: int(o) < tr.firm,
				Live: reach(s, o), Hears: follows(o) == s})
		}
		b.SetNodes(nodes)
	}
	tr.pump()
}

// pump carries datagrams until there is none; cut and dead nodes get none.
func (tr *fleet) pump() {
	for again := true; again; {
		again = false
		for s := range Slot(len(tr.registries)) {
			if !tr.live[s] {
				continue
			}
			for a, ok := tr.registries[s].Next(); ok; a, ok = tr.registries[s].Next() {
				switch a := a.(type) {
				case Send:
					again = true
					tr.messages++
					if tr.live[a.To] && !tr.cut[[2]Slot{s, a.To}] {
						tr.registries[a.To].Heard(s, a.Message)
					}
				case Acknowledge:
					tr.acks[s][a.Ticket] = a
				case Changed:
					tr.views[s][a.Word.ID] = a.Word
				}
			}
		}
	}
}

func (tr *fleet) step(d time.Duration) {
	for end := tr.now + d; tr.now < end; {
		tr.now += min(100*ms, end-tr.now)
		for s, b := range tr.registries {
			if tr.live[s] {
				b.Now(tr.now)
			}
		}
		tr.pump()
	}
}

// backend beats where it is told to.
type backend struct {
	Record
	target Slot
}

func (tr *fleet) beat(s *backend, at Slot) Acknowledge {
	s.Seq++
	ticket := tr.registries[at].Beat(s.Record)
	tr.pump()
	a, ok := tr.acks[at][ticket]
	if ok && a.Target != "" {
		fmt.Sscanf(a.Target, "node%d", &s.target)
	}
	return a
}

func server(i int) *backend {
	return &backend{Record: Record{ID: fmt.Sprint("i-", i), Service: "s", Capacity: 4,
		Addr: fmt.Sprint("10.0.0.", i, ":80")}}
}

func (tr *fleet) phases(id string, want Phase) {
	tr.t.Helper()
	for s := range tr.registries {
		if w, ok := tr.views[s][id]; tr.live[s] && (ok || want != Gone) {
			must.Eq(tr.t, want, w.Phase, must.Sprintf("node %d of %s", s, id))
		}
	}
}

// know is all that must be alike at nodes that have heard the same.
func know(b *Registry) map[string]Record {
	m := map[string]Record{}
	for id, e := range b.all {
		w := b.record(e)
		w.ColdLeft, w.Missed, w.Seq = 0, None, 0 // beats do not travel
		m[id] = w
	}
	return m
}

// orders calls f with every order of n things.
func orders(n int, f func([]int)) {
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
	w := server(1).Record
	say := func(f func(*Record)) Record {
		x := w
		x.Keeper, x.Missed = None, None
		f(&x)
		return x
	}
	for _, words := range [][]Record{
		{ // one changes hands while its old registrar finds it silent, and it beats on
			say(func(x *Record) { x.Seq, x.Fence, x.Keeper = 1, 1, 3 }),
			say(func(x *Record) { x.Seq, x.Fence, x.Keeper, x.Phase = 4, 1, 3, Gone }),
			say(func(x *Record) { x.Seq, x.Fence, x.Keeper = 4, 2, 5 }),
			say(func(x *Record) { x.Seq, x.Fence, x.Keeper = 4, 2, 4 }),
			say(func(x *Record) { x.Seq, x.Fence, x.Keeper, x.Capacity = 5, 2, 5, 7 }),
		},
		{ // draining, silent, beating late, leaving
			say(func(x *Record) { x.Seq, x.Fence, x.Keeper = 1, 1, 3 }),
			say(func(x *Record) { x.Seq, x.Fence, x.Keeper, x.Phase, x.Drained = 2, 1, 3, Draining, true }),
			say(func(x *Record) { x.Seq, x.Fence, x.Keeper = 3, 1, 3 }),
			say(func(x *Record) { x.Seq, x.Fence, x.Keeper, x.Phase = 3, 1, 3, Gone }),
			{ID: w.ID, Keeper: None, Missed: None, Phase: Gone, Final: true},
		},
		{ // two at one address
			say(func(x *Record) { x.Seq, x.Fence, x.Keeper, x.Age = 9, 1, 3, 9*time.Second }),
			say(func(x *Record) { x.ID, x.Service, x.Seq, x.Fence, x.Keeper = "i-9", "other", 1, 1, 4 }),
			say(func(x *Record) { x.Seq, x.Fence, x.Keeper, x.Age, x.Drained = 9, 1, 3, 9*time.Second, true }),
		},
	} {
		var first map[string]Record
		var seen []Record
		orders(len(words), func(order []int) {
			b := New(0, Terms{BeatInterval: beat}, 0)
			for _, i := range append(order, order[0]) {
				b.Heard(Slot(words[i].Keeper+1), Message{Words: words[i : i+1]})
			}
			if first == nil {
				first, seen = know(b), b.All()
			}
			must.Eq(t, first, know(b), must.Sprint(order))
			must.SliceLen(t, len(seen), b.All())
		})
	}
}

func TestAllOrdersOfCallsEndAlike(t *testing.T) {
	// Calls of one backend at three nodes, in every order and with the nodes cut from each other meanwhile
	// or not.
	for _, cut := range []bool{false, true} {
		orders(4, func(order []int) {
			tr := open(t, 3, 0)
			if cut {
				for _, p := range [][2]Slot{{0, 1}, {1, 0}, {0, 2}, {2, 0}} {
					tr.cut[p] = true
				}
				tr.meet()
			}
			for _, i := range order {
				w := server(1).Record
				switch i {
				case 0:
					w.Seq = 1
					tr.registries[0].Beat(w)
				case 1:
					w.Seq, w.Capacity = 2, 6
					tr.registries[1].Beat(w)
				case 2:
					w.Seq, w.Phase = 3, Draining
					tr.registries[2].Beat(w)
				case 3:
					w.Seq = 4
					tr.registries[0].Beat(w)
				}
				tr.pump()
			}
			tr.cut = map[[2]Slot]bool{}
			tr.meet()
			tr.step(time.Second)
			tr.phases("i-1", Draining)
			must.Eq(t, know(tr.registries[0])["i-1"], know(tr.registries[1])["i-1"], must.Sprint(cut, order))
		})
	}
}

func TestBeatsAreSteeredAndDoNotTravel(t *testing.T) {
	tr := open(t, 4, 0)
	var all []*backend
	for i := range 20 {
		all = append(all, server(i))
		must.True(t, tr.beat(all[i], 0).OK)
	}
	tr.step(200 * ms)
	for _, s := range all {
		tr.phases(s.ID, Ready)
		must.Eq(t, s.target, tr.registries[0].all[s.ID].w.Keeper)
	}
	kept := map[Slot]int{}
	for _, s := range all {
		kept[s.target]++
		tr.beat(s, s.target)
	}
	must.MapLen(t, 4, kept)
	tr.step(200 * ms)
	tr.messages = 0
	for range 8 {
		for _, s := range all {
			must.True(t, tr.beat(s, s.target).OK)
		}
		tr.step(beat)
	}
	must.Eq(t, 0, tr.messages)
	// Without beats all are gone at all nodes, and one that beats again is back.
	tr.step(4 * beat)
	for _, s := range all {
		tr.phases(s.ID, Gone)
	}
	tr.beat(all[3], 2)
	tr.step(100 * ms)
	tr.phases(all[3].ID, Ready)
}

func TestDrainIsAcknowledgedWhenOthersKnow(t *testing.T) {
	tr := open(t, 4, 2)
	s := server(1)
	tr.beat(s, 0)
	tr.step(time.Second)
	s.Phase = Draining
	must.True(t, tr.beat(s, 0).OK)
	tr.phases(s.ID, Draining)
	must.Eq(t, 0, tr.registries[0].Status().Waiting)

	// Node 3 has not been missed yet but hears nothing: enough is enough after a while.
	mute := func(o Slot) { tr.cut[[2]Slot{0, o}] = true }
	mute(3)
	s = server(2)
	tr.beat(s, 0)
	s.Phase = Draining
	must.False(t, tr.beat(s, 0).OK)
	ticket := tr.registries[0].tail
	tr.step(400 * ms)
	must.MapNotContainsKey(t, tr.acks[0], ticket)
	tr.step(100 * ms)
	must.True(t, tr.acks[0][ticket].OK)

	// Copies at nodes that do not count are not enough.
	mute(1)
	ticket = tr.registries[0].Leave(s.ID, 9)
	tr.pump()
	tr.step(700 * ms)
	must.MapNotContainsKey(t, tr.acks[0], ticket)
	tr.step(100 * ms)
	must.MapContainsKey(t, tr.acks[0], ticket)
	must.False(t, tr.acks[0][ticket].OK)

	// Node 1 hears again: the word is still on its way, and the next call finds it told.
	delete(tr.cut, [2]Slot{0, 1})
	delete(tr.cut, [2]Slot{0, 3})
	tr.step(time.Second)
	tr.phases(s.ID, Gone)
	ticket = tr.registries[0].Leave(s.ID, 10)
	tr.pump()
	must.True(t, tr.acks[0][ticket].OK)

	// A node that hears nobody acknowledges no end, but a node that is alone may.
	for o := range Slot(3) {
		mute(o + 1)
	}
	tr.meet()
	s = server(3)
	must.True(t, tr.beat(s, 0).OK)
	s.Phase = Draining
	must.False(t, tr.beat(s, 0).OK)
	tr = open(t, 1, 0)
	must.True(t, tr.beat(s, 0).OK)
}

func TestRegistrarLostIsNotItsBackends(t *testing.T) {
	tr := open(t, 4, 0)
	var all []*backend
	for i := range 30 {
		all = append(all, server(i))
		tr.beat(all[i], 0)
		tr.beat(all[i], all[i].target)
	}
	tr.step(time.Second)
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
			tr.beat(s, s.target)
		}
		for _, s := range orphans {
			if i == 0 || s.target == dead {
				tr.beat(s, next) // its beat failed: it turns to the next node
			} else {
				tr.beat(s, s.target)
			}
		}
		if i == 1 {
			tr.meet() // only now the nodes miss it
		}
		for _, s := range all {
			if i < 4 || s != dumb[0] {
				tr.phases(s.ID, Ready)
			}
		}
		tr.step(beat)
	}
	tr.phases(dumb[0].ID, Gone) // it went together with its registrar
	for _, s := range orphans {
		must.NotEq(t, dead, s.target)
		must.Eq(t, s.target, tr.registries[next].all[s.ID].w.Keeper)
	}
	// The registrar comes back and knows nothing: it is told the whole registry, ends too.
	tr.start(dead)
	tr.meet()
	tr.step(time.Second)
	must.Eq(t, know(tr.registries[next]), know(tr.registries[dead]))
	must.Eq(t, 29, len(tr.registries[dead].All()))
}

func TestCutOffNodeJudgesOnlyWhatItHeard(t *testing.T) {
	tr := open(t, 5, 0)
	var all []*backend
	for i := range 20 {
		all = append(all, server(i))
		tr.beat(all[i], 1)
	}
	tr.step(100 * ms)
	for o := range Slot(4) {
		tr.cut[[2]Slot{0, o + 1}], tr.cut[[2]Slot{o + 1, 0}] = true, true
	}
	tr.meet()
	for range 10 {
		for _, s := range all {
			at := s.target
			if at == 0 {
				at = 2 // its zone does not reach node 0 any more
			}
			tr.beat(s, at)
		}
		tr.step(beat)
	}
	must.SliceLen(t, 20, tr.registries[0].All())
	tr.cut = map[[2]Slot]bool{}
	tr.meet()
	tr.step(time.Second)
	for _, s := range all {
		tr.phases(s.ID, Ready)
	}
}

func TestStandstillIsNotSilence(t *testing.T) {
	tr := open(t, 2, 0)
	s := server(1)
	tr.beat(s, 0)
	tr.beat(s, s.target)
	b := tr.registries[s.target]
	b.Now(tr.now + 20*time.Second)
	tr.pump()
	tr.phases(s.ID, Ready)
	for range 20 {
		tr.now += 200 * ms
		b.Now(tr.now + 20*time.Second)
	}
	tr.pump()
	tr.phases(s.ID, Ready)
	for range 5 {
		tr.now += 200 * ms
		b.Now(tr.now + 20*time.Second)
	}
	tr.pump()
	tr.phases(s.ID, Gone)
}

func TestAddressUsedAgain(t *testing.T) {
	tr := open(t, 3, 0)
	old := server(1)
	tr.beat(old, 0)
	tr.step(2 * time.Second)
	young := server(2)
	young.Addr, young.Service = old.Addr, "other"
	tr.beat(young, 1)
	tr.step(600 * ms)
	tr.phases(old.ID, Gone)
	tr.phases(young.ID, Ready)
	must.SliceLen(t, 1, tr.registries[2].All())
	// A late call of the old one changes nothing for long, and the young one's end does not bring it back.
	old.Seq += 5
	tr.beat(old, 2)
	tr.step(600 * ms)
	tr.phases(old.ID, Gone)
	tr.phases(young.ID, Ready)
	tr.registries[0].Leave(young.ID, 9)
	tr.pump()
	tr.phases(young.ID, Gone)
	tr.phases(old.ID, Gone)
}

func TestTombstonesEnd(t *testing.T) {
	tr := open(t, 2, 0)
	s := server(1)
	tr.beat(s, 0)
	tr.registries[1].Leave(s.ID, 2)
	tr.pump()
	s.Seq = 7
	tr.beat(s, 0)
	tr.phases(s.ID, Gone)
	tr.step(tombFor + time.Second)
	must.Eq(t, Status{}, tr.registries[0].Status())
	must.MapEmpty(t, tr.registries[0].all)
	must.MapEmpty(t, tr.registries[0].byAddr)
	for i := range tombs + 100 {
		tr.registries[0].Leave(fmt.Sprint(i), 1)
	}
	tr.step(time.Second)
	must.Eq(t, tombs, len(tr.registries[0].all))
}

func TestAfterAnyTroubleAllKnowTheSame(t *testing.T) {
	for seed := range int64(200) {
		r := rand.New(rand.NewSource(seed))
		n := 3 + r.Intn(9)
		tr, all, crashed := open(t, n, r.Intn(4)), []*backend{}, map[string]bool{}
		for i := range 12 {
			all = append(all, server(i))
		}
		beats := func() {
			for _, s := range all {
				for tries := 0; tries < n && !crashed[s.ID]; tries++ {
					if tr.live[s.target] && tr.beat(s, s.target).OK {
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
					b.Greet(d) // it may have been back before anybody missed it
				}
			}
			tr.meet()
		}
		for range 25 {
			x, y, s := Slot(r.Intn(n)), Slot(r.Intn(n)), all[r.Intn(len(all))]
			switch r.Intn(7) {
			case 0:
				tr.live[x] = false
			case 1:
				back(x)
			case 2:
				tr.cut[[2]Slot{x, y}], tr.cut[[2]Slot{y, x}] = x != y, x != y
			case 3:
				tr.cut = map[[2]Slot]bool{}
			case 4:
				s.Phase = Draining
			case 5:
				crashed[s.ID] = true
			case 6:
				tr.registries[x].Seen421(s.ID)
			}
			for range 2 { // trouble is noticed before the next beats, after, or not at all
				if r.Intn(2) == 0 {
					tr.meet()
				}
				beats()
				tr.step(time.Duration(r.Intn(1000)) * ms)
			}
		}
		tr.cut = map[[2]Slot]bool{}
		for d := range Slot(n) {
			if !tr.live[d] {
				back(d)
			}
		}
		tr.meet()
		for i := range 12 {
			if i == 9 {
				tr.messages = 0
			}
			beats()
			tr.step(beat)
		}
		for _, s := range all {
			want := s.Phase
			if crashed[s.ID] {
				want = Gone
			}
			tr.phases(s.ID, want)
		}
		must.Eq(t, 0, tr.messages, must.Sprint("in calm, seed ", seed))
	}
}

// What goes over a link must not grow with the nodes: a release of many backends, and a node that comes back in the middle of
// it, cost a node without a disk one word a change from the one that it follows, and its registry once. On thin links, words
// of all to all held up requests and broke DRAIN.
func TestMessagesGrowWithTheNodesAndNotTheirSquare(t *testing.T) {
	for _, n := range []int{12, 48, 96} {
		tr := open(t, n, 3)
		for i := range 60 {
			tr.beat(server(i), Slot(i%n))
		}
		tr.step(time.Second)
		for s := range Slot(n) {
			must.Len(t, 60, tr.registries[s].All())
		}
		tr.messages = 0
		for i := range 60 {
			s := server(i)
			s.Seq, s.Phase = 9, Draining
			must.True(t, tr.beat(s, Slot(i%n)).OK, must.Sprint("known by those with a disk, it is acknowledged at once"))
		}
		must.LessEq(t, 60*(2*n+20), tr.messages, must.Sprint(n, " nodes")) // a word and its confirmation each
		tr.step(time.Second)
		tr.messages = 0
		tr.start(Slot(n - 1))
		for s := range Slot(n - 1) {
			tr.registries[s].Greet(Slot(n - 1))
		}
		tr.meet()
		tr.step(time.Second)
		must.LessEq(t, 12, tr.messages)
		must.Len(t, 60, tr.registries[Slot(n-1)].All())
	}
}

// After the loss of all nodes one that remembers spares the others a wait for the beats. What it remembers wrongly goes:
// a backend that says nothing is gone after three beats, one that left meanwhile stays gone where that is known.
func TestWhatOneNodeRemembers(t *testing.T) {
	tr := open(t, 3, 1)
	lives, died := server(1), server(2)
	for _, s := range []*backend{lives, died} {
		tr.beat(s, 0)
		tr.beat(s, s.target)
	}
	tr.step(time.Second)
	kept := tr.registries[0].All()
	must.Len(t, 2, kept)
	for s := range Slot(3) {
		tr.start(s)
	}
	tr.registries[0].Remember(kept)
	tr.meet()
	tr.step(200 * ms)
	tr.phases(lives.ID, Ready)
	tr.phases(died.ID, Ready)
	for range 6 {
		tr.beat(lives, lives.target)
		tr.step(beat)
	}
	tr.phases(lives.ID, Ready)
	tr.phases(died.ID, Gone)

	tr.start(0)
	tr.registries[0].Leave(lives.ID, 0)
	tr.registries[0].Remember(kept)
	tr.pump()
	must.Eq(t, Gone, tr.registries[0].view(tr.registries[0].all[lives.ID]))
}

// The only node with a disk comes back knowing nothing: those who follow it tell what it did not name. What lives is kept again
// without a wait for its beat, what died meanwhile goes after three beats at all nodes, though no beat ever names it again.
func TestOthersKeepWhatAMissingNodeShouldHaveHad(t *testing.T) {
	tr := open(t, 4, 1)
	lives, died := server(1), server(2)
	for _, s := range []*backend{lives, died} {
		tr.beat(s, 3)
		must.Eq(t, Slot(0), s.target) // nodes with a disk keep
		tr.beat(s, 0)
	}
	tr.step(time.Second)
	tr.start(0)
	for s := range Slot(3) {
		tr.registries[s+1].Greet(0)
	}
	tr.meet()
	must.Len(t, 0, tr.registries[0].All())
	tr.step(nameFor + time.Second)
	must.Len(t, 2, tr.registries[0].All())
	must.Len(t, 2, tr.registries[2].All())
	for range 6 {
		tr.beat(lives, 0)
		tr.step(beat)
	}
	tr.phases(lives.ID, Ready)
	tr.phases(died.ID, Gone)
}

// A node that came back has nothing of what its former life knew: a late word of that one, read after the new one was greeted, is
// no copy. The end of a backend is acknowledged once the present life confirms it.
func TestLateWordOfFormerLifeIsNoCopy(t *testing.T) {
	defer func() { wordIsCopy = false }()
	for _, fault := range []bool{false, true} {
		wordIsCopy = fault
		tr := open(t, 2, 2)
		s := &backend{Record: Record{ID: "b", Service: "s", Addr: "10.0.0.1:80"}}
		tr.beat(s, 0)
		late := s.Record
		late.Phase, late.Drained, late.Seq, late.Keeper, late.Missed = Draining, true, s.Seq+1, None, None
		tr.registries[0].Greet(1) // the link to its new life is up, the datagrams of the former one lies unread
		sent := tr.held(0)
		tr.registries[0].Heard(1, Message{Nr: 7, Words: []Record{late}})
		s.Phase, s.Seq = Draining, s.Seq+1
		ticket := tr.registries[0].Beat(s.Record)
		sent = append(sent, tr.held(0)...)
		_, early := tr.acks[0][ticket]
		must.Eq(t, fault, early)
		tr.registries[1] = New(1, Terms{BeatInterval: beat, Enough: 2, Life: 99}, tr.now)
		tr.registries[1].SetNodes([]Node{{Seat: 0, Firm: true, Live: true}, {Seat: 1, Firm: true, Live: true}})
		for _, m := range sent {
			tr.registries[1].Heard(0, m)
		}
		tr.pump()
		must.True(t, tr.acks[0][ticket].OK)
		must.Eq(t, Draining, tr.registries[1].all["b"].phase())
	}
}

// held gives what a node sends, and carries it nowhere.
func (tr *fleet) held(s Slot) (sent []Message) {
	for a, ok := tr.registries[s].Next(); ok; a, ok = tr.registries[s].Next() {
		switch a := a.(type) {
		case Send:
			sent = append(sent, a.Message)
		case Acknowledge:
			tr.acks[s][a.Ticket] = a
		}
	}
	return sent
}
