package replication

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// tends does what hosts do: each member tells its log which nodes it reaches.
func (w *walk) tends(tolerates int) {
	for i, d := range w.nodes {
		if d.p != nil && (w.calm || w.rng.Intn(4) > 0) {
			w.on(i, func(o *simNode) { o.p.Tend(w.reach(i), tolerates) })()
		}
	}
	w.at(w.ms(300)+time.Millisecond, func() { w.tends(tolerates) })
}

func (w *walk) reach(from int) (all []Reach) {
	for i, d := range w.nodes {
		if d.p == nil && d.was.ID != 0 && w.now-d.ended < w.silence { // hosts find it out late
			all = append(all, Reach{Member: d.was})
		}
		if d.p != nil && !w.cut[[2]int{from, i}] && !w.cut[[2]int{i, from}] {
			all = append(all, Reach{Member{d.disk.Me, fmt.Sprint("node", i)}, d.leaving})
		}
	}
	return all
}

// join is a new machine with an empty disk.
func (w *walk) join() int {
	w.nodes = append(w.nodes, &simNode{})
	w.empty(len(w.nodes) - 1)
	return len(w.nodes) - 1
}

// stop ends a node for good, or until it is started.
func (w *walk) stop(i int) {
	w.nodes[i].was, w.nodes[i].ended = Member{w.nodes[i].disk.Me, fmt.Sprint("node", i)}, w.now
	w.nodes[i].p, w.nodes[i].leaving = nil, false
	w.nodes[i].life++
}

// bears is the must-hold of a settled moment: so many may be lost next, whoever they are. Those that are left must be a majority of
// the list, and what was acknowledged must be on more disks of theirs than may go. It tells what does not hold.
func (w *walk) bears(tolerates int) string {
	l := w.leader()
	if l < 0 {
		return "nobody leads"
	}
	p, up, had := w.nodes[l].p, 0, 0
	for _, d := range w.nodes {
		if d.p == nil || !p.member(d.disk.Me) {
			continue
		}
		if have := d.disk.Snap.Index + uint64(len(d.disk.Entries)); have+9 >= w.acked { // the last are on their way to some
			up++
			if have >= w.acked {
				had++
			}
		}
	}
	if n := len(p.Members()); !p.settled() || up-tolerates < majorityOf(n) || n <= 2*tolerates || had <= tolerates {
		return fmt.Sprintf("%d members, of which %d are up with the state, %d with the last acknowledged; settled %v", n, up, had, p.settled())
	}
	return ""
}

// goesOn: a change is taken soon. A leader that is lost takes up to two views' patience.
func (w *walk) goesOn() {
	done := w.done
	for end := w.now + 5*time.Second; w.done == done && w.wrong == "" && w.now < end; {
		w.until(w.now + 20*time.Millisecond)
	}
	if w.done == done {
		w.fail("no order is taken")
	}
}

// replacements is a walk in rounds: as many members as may be lost at once are, and are replaced in one of the ways that machines are;
// catch_up later as many more may go, and go.
func replacements(t *testing.T, seed int64, f fault) *walk {
	tolerates := 1 + int(seed%2)
	w := foundBy(t, 2*tolerates+1, 2*tolerates+1, seed, f)
	w.calm, w.floor = true, 2*tolerates+1
	catchUp := time.Duration(2+2*tolerates) * time.Second
	w.tends(tolerates)
	w.proposes()
	w.until(3 * time.Second)
	for range 5 {
		first := w.now
		if w.rng.Intn(3) == 0 { // all at once
			for range tolerates {
				w.stop(w.pick())
			}
			for range tolerates {
				w.until(w.now + w.ms(2000))
				w.join()
			}
		} else {
			for range 1 + w.rng.Intn(tolerates) {
				w.replace()
			}
		}
		w.until(max(w.now, first) + 100*time.Millisecond)
		w.goesOn()
		w.until(w.now + catchUp)
		if why := w.bears(tolerates); why != "" {
			w.fail("%v after the last start: %s", catchUp, why)
		}
	}
	return w
}

// pick is a member that is up, the leader at times.
func (w *walk) pick() int {
	for end := w.now + 3*time.Second; w.leader() < 0 && w.now < end; {
		w.until(w.now + 20*time.Millisecond)
	}
	l := w.leader()
	if l < 0 {
		w.fail("nobody leads")
		l = 0
	}
	if w.rng.Intn(3) == 0 {
		return l
	}
	var up []int
	for i, d := range w.nodes {
		if d.p != nil && w.nodes[l].p != nil && w.nodes[l].p.member(d.disk.Me) {
			up = append(up, i)
		}
	}
	return append(up, l)[w.rng.Intn(len(up)+1)]
}

// replace loses a member, and starts what comes in its place.
func (w *walk) replace() {
	i := w.pick()
	if w.wrong != "" {
		return
	}
	pass := func(n int) { w.until(w.now + w.ms(n)) }
	switch w.rng.Intn(7) {
	case 0: // its successor is there before it goes
		w.join()
		pass(2500)
		w.leave(i)
	case 1: // or comes after it
		w.leave(i)
		pass(3000)
		w.join()
	case 2: // power is lost, a first successor dies as it learns, another comes
		w.stop(i)
		pass(300)
		heir := w.join()
		pass(400)
		w.stop(heir)
		w.join()
	case 3: // its disk is lost
		w.stop(i)
		pass(900)
		w.empty(i)
	case 4: // it comes back after it was replaced, with what it held
		w.stop(i)
		w.join()
		pass(6000)
		w.start(i)
	case 5: // it only starts again, and a newcomer is there: nobody loses its place
		was := w.nodes[i].disk.Me
		w.stop(i)
		w.join()
		pass(1500)
		w.start(i)
		w.until(w.now + 1500*time.Millisecond)
		if l := w.leader(); l < 0 || !w.nodes[l].p.member(was) {
			w.fail("node %d only started again, and is no member any more", i)
		}
	case 6: // nobody comes for long: what is acknowledged meanwhile is on as many disks as ever
		w.stop(i)
		w.until(w.now + 8*time.Second)
		if l := w.leader(); l >= 0 && len(w.nodes[l].p.Members()) < w.floor {
			w.fail("%d members are left", len(w.nodes[l].p.Members()))
		}
		w.start(i)
	}
}

// leave ends a node as one that is told to: it goes once the others have what it has.
func (w *walk) leave(i int) {
	d := w.nodes[i]
	d.leaving = true
	for end := w.now + 5*time.Second; w.now < end && d.p != nil && w.wrong == ""; {
		w.on(i, func(d *simNode) {
			if d.p.Leading() {
				d.p.HandOver()
			}
		})()
		if !d.p.Leading() && d.p.Elsewhere() >= d.p.Committed() {
			break
		}
		w.until(w.now + 20*time.Millisecond)
	}
	w.stop(i)
}

// After each replacement, whatever its kind, catch_up later as many more may be lost.
func TestReplacementWalks(t *testing.T) {
	eachWalk(t, func(t *testing.T, seed int64) { must.Eq(t, "", replacements(t, seed, sound).wrong) })
}

func TestReplacementWalksFindFaults(t *testing.T) {
	walksFind(t, replacements, 60, addOnly, hasty, shrinkFar, keepDead)
}

// A member that leaves may hold one of two copies of what was acknowledged, where the third one's disk hangs: it stays until that one
// has it. Else the loss of the other one right after would lose an acknowledged change.
func TestWhoLeavesStaysUntilOthersHaveIt(t *testing.T) {
	early := func(f fault) (waited, first bool) {
		w := foundBy(t, 3, 3, 1, f)
		w.calm = true
		w.until(3 * time.Second)
		l := w.leader()
		slow := (l + 1) % 3
		w.nodes[(l+2)%3].leaving = true
		w.tends(1)
		w.until(w.now + time.Second)
		w.nodes[slow].busy = w.now + 2*time.Second
		w.on(l, func(d *simNode) { d.p.Propose(7, []byte("7")) })()
		w.until(w.now + 200*time.Millisecond)
		must.Eq(t, 1, w.done)
		for _, i := range []int{l, (l + 2) % 3} { // the one that leads, or the other that has it
			p := w.nodes[i].p
			first = first || p.Elsewhere() >= p.Committed()
		}
		w.until(w.now + 2200*time.Millisecond)
		p := w.nodes[l].p
		return p.Elsewhere() >= p.Committed(), first
	}
	done, first := early(sound)
	must.True(t, done)
	must.False(t, first)
	_, first = early(leaveEarly)
	must.True(t, first)
	w := newCluster(3, 1, sound, budget{}).replaced(2, 3) // one that is no member goes at once
	w.start(2)
	w.heartbeat(0)
	w.settle()
	w.places[0].p.learn(w.places[2].p.me, nil)
	w.pull(0)
	w.settle()
	w.heartbeat(0)
	w.settle()
	out := w.places[2].p
	must.Eq(t, w.places[0].p.committed, out.Committed())
	must.Eq(t, out.Committed(), out.Elsewhere())
}

// A disk that was moved to another address keeps its place: the list is told, by both majorities, and it goes on as a member.
func TestDiskAtAnotherAddress(t *testing.T) {
	w := foundBy(t, 3, 3, 1, sound)
	w.calm = true
	w.tends(1)
	w.until(3 * time.Second)
	i := (w.leader() + 1) % 3
	id := w.nodes[i].disk.Me
	w.nodes = append(w.nodes, &simNode{disk: w.nodes[i].disk})
	w.stop(i)
	w.start(3)
	w.until(w.now + time.Second)
	list := w.nodes[w.leader()].p.Members()
	must.Len(t, 3, list)
	must.True(t, slices.Contains(list, Member{id, "node3"}))
	w.empty(i) // and another moves in where it was: it is a fourth, not the old one
	w.until(w.now + time.Second)
	must.Len(t, 4, w.nodes[w.leader()].p.Members())
	must.Eq(t, "", w.wrong)
}

// systems are two foundings that a leader each has: three members, the last of which holds the word of the first founding and maybe more,
// and two of another.
func systems(f fault, promised bool) (w *cluster, last, other *Replica) {
	w = newCluster(5, 0, f, budget{})
	list := []Member{w.places[3].p.me, w.places[4].p.me}
	alone := []Member{{8, "x"}, {9, "y"}, w.places[2].p.me}
	for i, l := range [][]Member{2: alone, 3: list, 4: list} {
		if l == nil {
			continue
		}
		w.places[i].disk = Kept{Me: w.places[i].disk.Me}
		w.start(i)
		if w.places[i].p.Found(l) != nil {
			panic("not founded")
		}
		w.pull(i)
	}
	w.settle()
	if last = w.places[2].p; promised {
		last.Heard(8, Message{Kind: Prepare, House: last.clusterID, To: last.me.ID, View: 2})
		w.pull(2)
		w.settle()
	}
	w.places[3].p.prepare(true)
	w.pull(3)
	w.settle()
	other = w.places[3].p
	other.Admit(last.me, 0)
	w.pull(3)
	w.settle()
	w.heartbeat(3)
	w.settle()
	return w, last, other
}

// A disk that holds a founding that nobody joined stayed out for ever. It joins another founding once a leader of that one gives it the
// state, as an empty disk would; and never if it has promised a view: the founding may have taken orders that rest on it.
func TestLoneFoundingGivesWay(t *testing.T) {
	_, last, other := systems(sound, false)
	must.Eq(t, other.clusterID, last.clusterID)
	must.Len(t, 3, last.Members())
	must.True(t, last.settled())
	_, last, other = systems(sound, true)
	must.NotEq(t, other.clusterID, last.clusterID)
	must.Eq(t, 2, last.promise)
	w, last, other := systems(leaveFounding, true)
	must.Eq(t, other.clusterID, last.clusterID) // the fault: its promise to the first founding is forgotten
	must.Eq(t, w.places[2].disk.House, last.clusterID)
}

// Where the others of its founding are gone for good it can be laid aside, on disk as well, and be handed another word.
func TestLoneFoundingIsLaidAside(t *testing.T) {
	w, _, _ := systems(sound, true)
	must.False(t, w.places[2].p.LayAside())
	w = newCluster(3, 1, sound, budget{})
	must.False(t, w.places[0].p.LayAside())
	p := w.places[3].p
	must.NoError(t, p.Found([]Member{{8, "x"}, {9, "y"}, p.me}))
	w.pull(3)
	w.settle()
	must.True(t, p.LayAside())
	w.pull(3)
	w.settle()
	must.False(t, p.Founded())
	must.NoError(t, w.places[3].disk.Check())
	must.Eq(t, Kept{Me: p.me.ID}, w.places[3].disk)
	must.NoError(t, p.Found([]Member{p.me}))
}

// A host finds a member lost up to 2.9 s after it was last heard. The successor that was there at once must be on the list within
// catch_up, 4 s on the small sites, of its own start: right after that another disk may be lost, and changes must go on.
func TestReplacedWithinCatchUp(t *testing.T) {
	last := func(f fault) string {
		w := foundBy(t, 3, 3, 1, f)
		w.calm, w.floor, w.silence = true, 3, 2900*time.Millisecond
		w.tends(1)
		w.proposes()
		w.until(3 * time.Second)
		l := w.leader()
		w.stop((l + 1) % 3)
		w.until(w.now + 200*time.Millisecond)
		w.join()
		w.until(w.now + 4*time.Second)
		w.stop(l)
		w.goesOn()
		return w.wrong
	}
	must.Eq(t, "", last(sound))
	must.StrContains(t, last(lateLost), "no order is taken")
}
