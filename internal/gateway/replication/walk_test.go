package replication

import (
	"crypto/sha256"
	"fmt"
	"math/rand"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// walk is a run of nodes under chance: delays, losses, doubles, cuts, crashes, power, lost disks, changes
// of members.
type walk struct {
	t       *testing.T
	rng     *rand.Rand
	now     time.Duration
	nodes   []*simNode
	events  []event
	order   []Entry           // as delivered first, from index 2 on
	states  []string          // the host's state after each of them
	acked   uint64            // the newest index that was acknowledged
	reads   map[uint64]uint64 // what was acknowledged when a read came
	ended   map[uint64]bool   // proposals whose end was told
	cut     map[[2]int]bool   // one way
	token   uint64
	nextID  MemberID
	done    int
	calm    bool
	floor   int           // fewer members than these are too few
	silence time.Duration // until a host finds a member lost
	sync    time.Duration // of any disk, on top
	fault   fault
	terms   Terms
	bytes   map[int]int // of state and data that were sent to a node
	wrong   string

	acks []ack                    // by time
	led  map[uint64]time.Duration // since when a view was led
}

type simNode struct {
	p       *Replica
	disk    Kept
	life    int
	busy    time.Duration // the disk hangs until then
	wake    time.Duration
	index   uint64
	state   string
	written time.Duration // the last write is synced then
	before  Kept          // the disk before the last write of this life, with all before it
	last    Write
	stands  time.Duration // the process stands still until then
	leaving bool
	was     Member        // of a process that has ended
	ended   time.Duration // when
}

type event struct {
	at time.Duration
	do func()
}

func (w *walk) at(d time.Duration, do func()) { w.events = append(w.events, event{w.now + d, do}) }

func (w *walk) ms(n int) time.Duration { return time.Duration(w.rng.Intn(n*1000)+1) * time.Microsecond }

func (w *walk) start(i int) {
	d := w.nodes[i]
	d.life++
	d.index, d.state, d.written, d.wake = 0, "", 0, never
	d.before, d.last = d.disk, Write{}
	d.p = New(Member{d.disk.Me, fmt.Sprint("node", i)}, d.disk, w.terms, w.rng.Int63(), w.now)
	d.p.fault = w.fault
	w.pull(i)
}

func (w *walk) empty(i int) {
	w.nextID++
	w.nodes[i].disk = Kept{Me: w.nextID}
	w.start(i)
}

func (w *walk) down(i int, d time.Duration, then func(int)) {
	w.nodes[i].p = nil
	w.nodes[i].life++
	w.at(d, func() { then(i) })
}

func (w *walk) fail(f string, a ...any) {
	if w.wrong == "" {
		w.wrong = fmt.Sprintf("at %v: ", w.now) + fmt.Sprintf(f, a...)
	}
}

// on does something with a node, if it has not ended since.
func (w *walk) on(i int, do func(*simNode)) func() {
	life := w.nodes[i].life
	var act func()
	act = func() {
		if d := w.nodes[i]; d.life == life && d.p != nil && !w.waits(d, act) {
			d.p.Now(w.now)
			do(d)
			w.pull(i)
		}
	}
	return act
}

func (w *walk) pull(i int) {
	d := w.nodes[i]
	for a, ok := d.p.Next(); ok; a, ok = d.p.Next() {
		switch a := a.(type) {
		case Send:
			w.carry(i, a)
		case Write:
			w.merges(i, a)
			d.written = max(d.written, d.busy, w.now) + w.ms(5) + w.sync
			w.at(d.written-w.now, w.on(i, func(d *simNode) { d.disk.Apply(a); d.p.Synced(a.Nr) }))
		case Restore:
			d.index, d.state = a.Index, string(a.State)
			if a.Index > 1 && (a.Index-2 >= uint64(len(w.states)) || w.states[a.Index-2] != d.state) {
				w.fail("node %d restores another state at %d", i, a.Index)
			}
		case Commit:
			w.commitUpTo(i, d, a.Entry)
		case Outcome:
			since, read := w.reads[a.Token]
			switch {
			case !read && w.ended[a.Token]:
				w.fail("node %d tells a second end of proposal %d: %v", i, a.Token, a.Verdict)
			case a.Verdict == Done && !read && string(w.order[a.Index-2].Data) != string(changeOf(a.Token)):
				w.fail("node %d tells that proposal %d is at %d, where another is", i, a.Token, a.Index)
			case a.Verdict != Done:
			case read && a.Index < since:
				w.fail("a read told %d, acknowledged was %d", a.Index, since)
			case !read:
				w.acked = max(w.acked, a.Index)
				w.acks = append(w.acks, ack{w.now, a.Index})
				w.done++
			}
			w.ended[a.Token] = true
		case Wake:
			if d.wake = a.At; a.At < never {
				w.at(a.At-w.now, w.on(i, func(*simNode) {}))
			}
		}
	}
	if d.p.role == leading && d.index < w.acked && d.p.last() < w.acked {
		w.old(i)
	}
	w.judgeContact(i)
}

// old: a leader that lacks what was acknowledged must be one of an old view.
func (w *walk) old(i int) {
	if !slices.ContainsFunc(w.nodes, func(o *simNode) bool { return o.disk.Promise > w.nodes[i].p.promise }) {
		w.fail("node %d leads the newest view without %d", i, w.acked)
	}
}

func (w *walk) commitUpTo(i int, d *simNode, e Entry) {
	if e.Index != max(d.index, 1)+1 {
		w.fail("node %d is given %d after %d", i, e.Index, d.index)
		return
	}
	sum := sha256.Sum256(append([]byte(d.state), e.Data...))
	d.index, d.state = e.Index, string(sum[:8])
	if n := e.Index - 2; n < uint64(len(w.order)) {
		if !same(w.order[n], e) {
			w.fail("entry %d is of view %d, and at node %d of view %d", e.Index, w.order[n].View, i, e.View)
		}
	} else {
		w.order, w.states = append(w.order, e), append(w.states, d.state)
	}
	if w.rng.Intn(20) == 0 {
		d.p.Compact(d.index, []byte(d.state))
	}
}

func (w *walk) carry(from int, s Send) {
	id := w.nodes[from].disk.Me
	for i, d := range w.nodes {
		there := s.To.Addr == fmt.Sprint("node", i) || s.To.Addr == "" && d.disk.Me == s.To.ID
		if !there || w.cut[[2]int{from, i}] {
			continue
		}
		w.bytes[i] += carried(s.Message)
		n := 1
		if !w.calm {
			n = [...]int{0, 2, 1, 1, 1, 1, 1, 1, 1, 1}[w.rng.Intn(10)]
		}
		for range n {
			late := w.ms(8)
			if !w.calm && w.rng.Intn(20) == 0 {
				late += w.ms(1500)
			}
			life := d.life
			var act func()
			act = func() {
				if d.life == life || !w.calm { // a late one may reach who moved in since
					if d.p != nil && !w.waits(d, act) {
						d.p.Now(w.now)
						d.p.Heard(id, s.Message)
						w.pull(i)
					}
				}
			}
			w.at(late, act)
		}
	}
}

// merges sees that two writes in one do what they do one after the other.
func (w *walk) merges(i int, a Write) {
	d := w.nodes[i]
	if d.last.Nr > 0 {
		one, two := d.before, d.before
		one.Apply(d.last.Then(a))
		two.Apply(d.last)
		d.before = two
		two.Apply(a)
		if fmt.Sprint(one) != fmt.Sprint(two) || one.Check() != nil {
			w.fail("node %d: two writes in one make %v of the disk, apart %v", i, one, two)
		}
	}
	d.last = a
}

// changeOf is a change that tells its token; one in eight is long.
func changeOf(token uint64) []byte {
	if token%8 == 0 {
		return fmt.Appendf(nil, "%011d", token)
	}
	return strconv.AppendUint(nil, token, 10)
}

// carried is how many bytes of state and data a message has.
func carried(m Message) (n int) {
	if m.Snap != nil {
		n += len(m.Snap.State)
	}
	if m.Chunk != nil {
		n += len(m.Chunk.Data)
	}
	for _, e := range m.Entries {
		n += len(e.Data)
	}
	return n
}

func (w *walk) leader() (found int) {
	found = -1
	for i, d := range w.nodes {
		if d.p != nil && d.p.Leading() && (found < 0 || d.p.promise > w.nodes[found].p.promise) {
			found = i
		}
	}
	return found
}

// whole tells whether all members have the newest list on disk: a disk may be lost again.
func (w *walk) whole() bool {
	l := w.leader()
	if l < 0 || !w.nodes[l].p.mayReconfigure() {
		return false
	}
	list := w.nodes[l].p.configs
	for _, m := range w.nodes[l].p.Members() {
		if !slices.ContainsFunc(w.nodes, func(d *simNode) bool {
			return d.p != nil && d.disk.Me == m.ID && d.disk.House != 0 && d.disk.Delivered >= list[len(list)-1].index
		}) {
			return false
		}
	}
	return true
}

func (w *walk) proposes() {
	for range w.rng.Intn(3) {
		w.token++
		token, i := w.token, w.rng.Intn(len(w.nodes))
		if l := w.leader(); l >= 0 && w.rng.Intn(3) > 0 {
			i = l
		}
		w.on(i, func(d *simNode) {
			if w.rng.Intn(2) == 0 {
				w.reads[token] = w.acked
				d.p.Read(token)
			} else {
				d.p.Propose(token, changeOf(token))
			}
		})()
	}
	w.at(w.ms(120), w.proposes)
}

func (w *walk) trouble() {
	if w.calm {
		return
	}
	i := w.rng.Intn(len(w.nodes))
	d := w.nodes[i]
	switch w.rng.Intn(9) {
	case 0, 1: // power: what was not synced is lost
		if d.p != nil {
			w.down(i, w.ms(1500), w.start)
		}
	case 2: // all at once
		for i, d := range w.nodes {
			if d.p != nil {
				w.down(i, w.ms(900), w.start)
			}
		}
	case 3: // a disk, and at times power for the others
		if d.p != nil && w.whole() {
			all := w.rng.Intn(2) == 0
			for o, x := range w.nodes {
				if all && o != i && x.p != nil {
					w.down(o, w.ms(900), w.start)
				}
			}
			w.down(i, w.ms(900), w.empty)
		}
	case 4, 5:
		link := [2]int{i, w.rng.Intn(len(w.nodes))}
		w.cut[link] = true
		w.at(w.ms(4000), func() { delete(w.cut, link) })
	case 6: // cut off whole
		for o := range w.nodes {
			w.cut[[2]int{i, o}], w.cut[[2]int{o, i}] = true, true
		}
		w.at(w.ms(3000), func() { clear(w.cut) })
	case 7:
		d.busy = w.now + w.ms(3000)
	case 8:
		if l := w.leader(); l >= 0 {
			w.on(l, func(x *simNode) {
				if len(x.p.Members()) > 3 && w.rng.Intn(2) == 0 {
					x.p.Dismiss(d.disk.Me)
				} else {
					x.p.HandOver()
				}
			})()
		}
	}
	w.at(w.ms(1200), w.trouble)
}

func (w *walk) until(t time.Duration) {
	for w.wrong == "" {
		n := 0
		for i, e := range w.events {
			if e.at < w.events[n].at {
				n = i
			}
		}
		e := w.events[n]
		if e.at > t {
			break
		}
		last := len(w.events) - 1
		w.events[n] = w.events[last]
		w.events = w.events[:last]
		w.now = max(w.now, e.at)
		e.do()
	}
	w.now = t
}

// found sets up nodes, three of which found.
func found(t *testing.T, nodes int, seed int64, f fault) *walk { return foundBy(t, nodes, 3, seed, f) }

func foundBy(t *testing.T, nodes, founders int, seed int64, f fault) *walk {
	return foundUnder(t, DefaultTerms(), nodes, founders, seed, f)
}

// foundUnder is as foundBy, under other terms.
func foundUnder(t *testing.T, terms Terms, nodes, founders int, seed int64, f fault) *walk {
	w := &walk{t: t, rng: rand.New(rand.NewSource(seed)), fault: f, terms: terms, bytes: map[int]int{}}
	if seed%2 == 1 { // states and one change in eight go in chunks
		w.terms.Window, w.terms.Chunk, w.terms.Trail = 4, 2, 300
	}
	w.led = map[uint64]time.Duration{}
	w.cut, w.reads, w.ended = map[[2]int]bool{}, map[uint64]uint64{}, map[uint64]bool{}
	var list []Member
	for i := range nodes {
		w.nodes = append(w.nodes, &simNode{})
		w.empty(i)
		if i < founders {
			list = append(list, w.nodes[i].p.me)
		}
	}
	for i := range list {
		w.on(i, func(d *simNode) { must.NoError(t, d.p.Found(list)) })()
	}
	return w
}

func takeWalk(t *testing.T, seed int64, f fault) *walk {
	return troubled(t, seed, f, (*walk).trouble, 40*time.Second)
}

// troubled is a walk on three to five nodes with trouble until a time, and ten calm seconds after it.
func troubled(t *testing.T, seed int64, f fault, trouble func(*walk), until time.Duration) *walk {
	return found(t, 3+int(seed%3), seed, f).walks(trouble, until)
}

// takeGroupWalk is a walk of a coordination group.
func takeGroupWalk(t *testing.T, seed int64, f fault) *walk {
	return foundUnder(t, GroupTerms(1), 3+int(seed%3), 3, seed, f).walks((*walk).trouble, 40*time.Second)
}

// walks goes on with trouble until a time, and ten calm seconds after it.
func (w *walk) walks(trouble func(*walk), until time.Duration) *walk {
	w.tends(1)
	w.proposes()
	w.at(3*time.Second, func() { trouble(w) })
	w.until(until)
	w.calm = true
	clear(w.cut)
	w.until(until + 10*time.Second)
	return w
}

// eachWalk plays so many walks as are asked for.
func eachWalk(t *testing.T, play func(t *testing.T, seed int64)) {
	walks := 40
	if n, err := strconv.Atoi(os.Getenv("REPLICATION_WALKS")); err == nil {
		walks = n
	}
	for seed := range int64(walks) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			play(t, seed)
		})
	}
}

// walksFind wants each fault found within so many walks.
func walksFind(t *testing.T, play func(*testing.T, int64, fault) *walk, most int64, faults ...fault) {
	for _, f := range faults {
		t.Run(f.String(), func(t *testing.T) {
			t.Parallel()
			began := time.Now()
			for seed := range most {
				if w := play(t, seed, f); w.wrong != "" {
					t.Log("seed", seed, time.Since(began), w.wrong)
					return
				}
			}
			t.Fatal("not found")
		})
	}
}

// After any walk: one order, nothing acknowledged lost, reads new enough, and ten calm seconds later all go
// on.
func TestWalks(t *testing.T) { goesOnAfter(t, takeWalk) }

// The same under a group's terms: quick changes of leaders, rounds of reads that ask a bare majority.
func TestWalksOfGroups(t *testing.T) { goesOnAfter(t, takeGroupWalk) }

func TestWalksOfGroupsFindFaults(t *testing.T) {
	walksFind(t, takeGroupWalk, 200, unreadRounds, readEarly, keepTokens)
}

func goesOnAfter(t *testing.T, play func(*testing.T, int64, fault) *walk) {
	eachWalk(t, func(t *testing.T, seed int64) {
		w := play(t, seed, sound)
		must.Eq(t, "", w.wrong)
		done, l := w.done, w.leader()
		must.NotEq(t, -1, l, must.Sprint("nobody leads"))
		w.until(52 * time.Second)
		must.Eq(t, "", w.wrong)
		must.Greater(t, done, w.done, must.Sprint("nothing goes on"))
		for i, d := range w.nodes {
			must.True(t, w.nodes[l].p.member(d.disk.Me), must.Sprintf("node %d is no member", i))
			must.Between(t, w.acked-9, d.index, w.acked+9, must.Sprintf("node %d", i))
		}
	})
}

// What orders of a few messages don't show: reads and ends of proposals.
func TestWalksFindFaults(t *testing.T) {
	walksFind(t, takeWalk, 200, unreadRounds, readEarly, keepTokens)
}

// A leader that is heard and hears nobody stops within Silence, refuses, and lets another lead.
func TestLeaderThatHearsNobody(t *testing.T) {
	w := quiet(t)
	l := w.leader()
	for i := range w.nodes {
		w.cut[[2]int{i, l}] = true
	}
	w.until(w.now + DefaultTerms().Silence + 2*DefaultTerms().Beat)
	must.False(t, w.nodes[l].p.Leading())
	must.Eq(t, NoLeader, w.nodes[l].p.mayLead(0))
	w.until(w.now + time.Second)
	must.NotEq(t, -1, w.leader())
	must.NotEq(t, l, w.leader())
}

// Where each sync takes longer than the patience with which a view is first asked for, one is led all the same: who asks in
// vain gives the next try longer. Without it nobody led for as long as a machine's disk was that slow.
func TestSlowDisksStillLead(t *testing.T) {
	for seed := range int64(20) {
		w := found(t, 3, seed, sound)
		w.calm, w.sync = true, 600*time.Millisecond
		w.until(20 * time.Second)
		l := w.leader()
		must.NotEq(t, -1, l, must.Sprintf("seed %d: nobody leads", seed))
		for i := range 9 {
			w.on(l, func(d *simNode) { d.p.Propose(uint64(i+1), changeOf(uint64(i+1))) })()
			w.until(w.now + 2*time.Second)
		}
		must.Eq(t, "", w.wrong)
		must.Eq(t, 9, w.done, must.Sprintf("seed %d", seed))
	}
}

// A member that was cut off comes back without a new view; one that leaves hands over within a few round
// trips.
func TestComingAndGoing(t *testing.T) {
	w := quiet(t)
	l := w.leader()
	view, away := w.nodes[l].p.promise, (l+1)%3
	for i := range w.nodes {
		w.cut[[2]int{i, away}], w.cut[[2]int{away, i}] = true, true
	}
	w.until(w.now + 5*time.Second)
	clear(w.cut)
	w.until(w.now + time.Second)
	must.Eq(t, view, w.nodes[l].p.promise)
	must.True(t, w.nodes[l].p.Leading())
	w.on(l, func(d *simNode) { d.p.HandOver() })()
	w.until(w.now + 100*time.Millisecond)
	must.NotEq(t, -1, w.leader())
	must.NotEq(t, l, w.leader())
	must.Eq(t, view+1, w.nodes[l].p.promise)
}

func quiet(t *testing.T) *walk {
	w := found(t, 3, 1, sound)
	w.calm = true
	w.until(3 * time.Second)
	must.NotEq(t, -1, w.leader())
	return w
}

// Whoever began the core may die before the word reached the others: any founder hands it on while nothing else is known to be
// delivered, and an empty disk takes it as if it were the first.
func TestFoundersHandTheWordOn(t *testing.T) {
	list := []Member{{1, "a"}, {2, "b"}, {3, "c"}}
	at := func(id MemberID, k Kept) *Replica {
		k.Me = id
		return New(Member{id, string(rune('a' + id - 1))}, k, DefaultTerms(), 1, 0)
	}
	first := at(1, Kept{})
	must.Nil(t, first.Founders())
	must.NoError(t, first.Found(list))
	var kept Kept
	for a, ok := first.Next(); ok; a, ok = first.Next() {
		if w, is := a.(Write); is {
			kept.Apply(w)
			first.Synced(w.Nr)
		}
	}
	again, second := at(1, kept), at(2, Kept{})
	must.Eq(t, list, again.Founders())
	must.NoError(t, second.Found(again.Founders()))
	must.Eq(t, list, second.Members())
	must.Error(t, at(9, Kept{}).Found(again.Founders()))
}

// leadsAfter is how long it takes until a core of two founders has a leader that the other one follows.
func leadsAfter(t *testing.T, seed int64, sync time.Duration, f fault) time.Duration {
	w := foundBy(t, 2, 2, seed, f)
	w.calm, w.sync = true, sync
	for w.now < 30*time.Second {
		w.until(w.now + 10*time.Millisecond)
		if l := w.leader(); l >= 0 {
			if m, _, ok := w.nodes[1-l].p.Leader(); ok && m.ID == w.nodes[l].p.me.ID {
				return w.now
			}
		}
	}
	return w.now
}

// Two founders that start level both ask for the first view where a promise takes its time, and keep each other from it: once each had to
// wait for a longer turn, up to seconds. Now the one with the lower id asks again at once.
func TestTwoFoundersLeadSoon(t *testing.T) {
	for _, sync := range []time.Duration{0, 50 * time.Millisecond, 150 * time.Millisecond, 300 * time.Millisecond} {
		worst := map[fault]time.Duration{}
		for _, f := range []fault{sound, asksInTurn} {
			sum, runs := time.Duration(0), 100
			for seed := range int64(runs) {
				took := leadsAfter(t, seed, sync, f)
				sum, worst[f] = sum+took, max(worst[f], took)
			}
			t.Logf("syncs of %v, %v: a leader after %v in the mean, %v at worst", sync, f, sum/time.Duration(runs), worst[f])
		}
		must.LessEq(t, time.Second+5*sync, worst[sound])
		if sync >= 150*time.Millisecond {
			must.Greater(t, worst[sound], worst[asksInTurn])
		}
	}
}
