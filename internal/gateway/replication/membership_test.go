package replication

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// reconcileMembers does what hosts do: each member reports to its replica which nodes it reaches.
func (w *walk) reconcileMembers(tolerates int) {
	for i, d := range w.nodes {
		if d.replica != nil && (w.faultless || w.rng.Intn(4) > 0) {
			w.onNode(i, func(o *simNode) { o.replica.ReconcileMembers(w.reachable(i), tolerates) })()
		}
	}
	w.after(w.randomDelay(300)+time.Millisecond, func() { w.reconcileMembers(tolerates) })
}

func (w *walk) reachable(from int) (all []ReachableNode) {
	for i, d := range w.nodes {
		if d.replica == nil && d.formerMember.ID != 0 && w.now-d.stoppedAt < w.detectionDelay { // hosts find it out late
			all = append(all, ReachableNode{Member: d.formerMember})
		}
		if d.replica != nil && !w.partitioned[[2]int{from, i}] && !w.partitioned[[2]int{i, from}] {
			all = append(all, ReachableNode{Member{d.disk.ID, fmt.Sprint("node", i)}, d.draining})
		}
	}
	return all
}

// join is a new machine with an empty disk.
func (w *walk) join() int {
	w.nodes = append(w.nodes, &simNode{})
	w.startEmpty(len(w.nodes) - 1)
	return len(w.nodes) - 1
}

// stop ends a node for good, or until it is started.
func (w *walk) stop(i int) {
	w.nodes[i].formerMember, w.nodes[i].stoppedAt = Member{w.nodes[i].disk.ID, fmt.Sprint("node", i)}, w.now
	w.nodes[i].replica, w.nodes[i].draining = nil, false
	w.nodes[i].incarnation++
}

// missingTolerance is the invariant of a moment without changes under way: so many may be lost next, whoever they are. Those that are left must be a majority of
// the list, and what was acknowledged must be on more disks of theirs than may go. It returns what is violated.
func (w *walk) missingTolerance(tolerates int) string {
	l := w.leader()
	if l < 0 {
		return "nobody leads"
	}
	p, up, had := w.nodes[l].replica, 0, 0
	for _, d := range w.nodes {
		if d.replica == nil || !p.isMember(d.disk.ID) {
			continue
		}
		if have := d.disk.Snapshot.Index + uint64(len(d.disk.Entries)); have+9 >= w.acked { // the last are on their way to some
			up++
			if have >= w.acked {
				had++
			}
		}
	}
	if n := len(p.Members()); !p.isLatestConfigCommitted() || up-tolerates < majoritySize(n) || n <= 2*tolerates || had <= tolerates {
		return fmt.Sprintf("%d members, of which %d are up with the state, %d with the last acknowledged; committed %v", n, up, had, p.isLatestConfigCommitted())
	}
	return ""
}

// requireProgress wants a proposal committed soon. Where the leader is lost that takes up to two elections.
func (w *walk) requireProgress() {
	done := w.acknowledged
	for end := w.now + 5*time.Second; w.acknowledged == done && w.violation == "" && w.now < end; {
		w.runUntil(w.now + 20*time.Millisecond)
	}
	if w.acknowledged == done {
		w.fail("no order is taken")
	}
}

// replacements is a walk in several passes: as many members as may be lost at once are, and are replaced in one of the ways that machines are;
// catch_up later as many more may go, and go.
func replacements(t *testing.T, seed int64, planted mutation) *walk {
	tolerates := 1 + int(seed%2)
	w := bootstrappedBy(t, 2*tolerates+1, 2*tolerates+1, seed, planted)
	w.faultless, w.minMembers = true, 2*tolerates+1
	catchUp := time.Duration(2+2*tolerates) * time.Second
	w.reconcileMembers(tolerates)
	w.proposeSome()
	w.runUntil(3 * time.Second)
	for range 5 {
		first := w.now
		if w.rng.Intn(3) == 0 { // all at once
			for range tolerates {
				w.stop(w.pickMember())
			}
			for range tolerates {
				w.runUntil(w.now + w.randomDelay(2000))
				w.join()
			}
		} else {
			for range 1 + w.rng.Intn(tolerates) {
				w.replace()
			}
		}
		w.runUntil(max(w.now, first) + 100*time.Millisecond)
		w.requireProgress()
		w.runUntil(w.now + catchUp)
		if why := w.missingTolerance(tolerates); why != "" {
			w.fail("%v after the last start: %s", catchUp, why)
		}
	}
	return w
}

// pickMember is a member that is up, the leader at times.
func (w *walk) pickMember() int {
	for end := w.now + 3*time.Second; w.leader() < 0 && w.now < end; {
		w.runUntil(w.now + 20*time.Millisecond)
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
		if d.replica != nil && w.nodes[l].replica != nil && w.nodes[l].replica.isMember(d.disk.ID) {
			up = append(up, i)
		}
	}
	return append(up, l)[w.rng.Intn(len(up)+1)]
}

// replace loses a member, and starts what replaces it.
func (w *walk) replace() {
	i := w.pickMember()
	if w.violation != "" {
		return
	}
	pass := func(n int) { w.runUntil(w.now + w.randomDelay(n)) }
	switch w.rng.Intn(7) {
	case 0: // its successor is there before it goes
		w.join()
		pass(2500)
		w.shutDownGracefully(i)
	case 1: // or comes after it
		w.shutDownGracefully(i)
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
		w.startEmpty(i)
	case 4: // it comes back after it was replaced, with what it had
		w.stop(i)
		w.join()
		pass(6000)
		w.start(i)
	case 5: // it only starts again, and a newcomer is there: no member is replaced
		was := w.nodes[i].disk.ID
		w.stop(i)
		w.join()
		pass(1500)
		w.start(i)
		w.runUntil(w.now + 1500*time.Millisecond)
		if l := w.leader(); l < 0 || !w.nodes[l].replica.isMember(was) {
			w.fail("node %d only started again, and is no member any more", i)
		}
	case 6: // nobody comes for long: what is acknowledged meanwhile is on as many disks as ever
		w.stop(i)
		w.runUntil(w.now + 8*time.Second)
		if l := w.leader(); l >= 0 && len(w.nodes[l].replica.Members()) < w.minMembers {
			w.fail("%d members are left", len(w.nodes[l].replica.Members()))
		}
		w.start(i)
	}
}

// shutDownGracefully ends a node as one that drains: it goes once the others have what it has.
func (w *walk) shutDownGracefully(i int) {
	d := w.nodes[i]
	d.draining = true
	for end := w.now + 5*time.Second; w.now < end && d.replica != nil && w.violation == ""; {
		w.onNode(i, func(d *simNode) {
			if d.replica.IsLeader() {
				d.replica.TransferLeadership()
			}
		})()
		if !d.replica.IsLeader() && d.replica.IndexReplicatedElsewhere() >= d.replica.CommitIndex() {
			break
		}
		w.runUntil(w.now + 20*time.Millisecond)
	}
	w.stop(i)
}

// After each replacement, whatever its kind, catch_up later as many more may be lost.
func TestReplacementWalks(t *testing.T) {
	forEachSeed(t, func(t *testing.T, seed int64) { must.Eq(t, "", replacements(t, seed, noMutation).violation) })
}

// drainWithSlowDisk has a member drain while the disk of the third one hangs, so that the one that drains has one of two copies of an
// acknowledged entry. It returns whether that might go at once, and once the disk works again.
func drainWithSlowDisk(t *testing.T, planted mutation) (atOnce, later bool) {
	t.Helper()
	w := bootstrappedBy(t, 3, 3, 1, planted)
	w.faultless = true
	w.runUntil(3 * time.Second)
	l := w.leader()
	slow := (l + 1) % 3
	w.nodes[(l+2)%3].draining = true
	w.reconcileMembers(1)
	w.runUntil(w.now + time.Second)
	w.nodes[slow].diskBusyUntil = w.now + 2*time.Second
	w.onNode(l, func(d *simNode) { d.replica.Propose(7, []byte("7")) })()
	w.runUntil(w.now + 200*time.Millisecond)
	must.Eq(t, 1, w.acknowledged)
	for _, i := range []int{l, (l + 2) % 3} { // the one that leads, or the other that has it
		p := w.nodes[i].replica
		atOnce = atOnce || p.IndexReplicatedElsewhere() >= p.CommitIndex()
	}
	w.runUntil(w.now + 2200*time.Millisecond)
	p := w.nodes[l].replica
	return atOnce, p.IndexReplicatedElsewhere() >= p.CommitIndex()
}

// A member that drains stays until a majority of the others has what it has: else the loss of another one right after would lose an
// acknowledged change.
func TestDrainingMemberStaysUntilReplicatedElsewhere(t *testing.T) {
	atOnce, later := drainWithSlowDisk(t, noMutation)
	must.False(t, atOnce)
	must.True(t, later)
	w := newCluster(3, 1, noMutation, stepBudget{}).replaceMember(2, 3) // one that is no member goes at once
	w.start(2)
	w.heartbeat(0)
	w.deliverAll()
	w.members[0].replica.startLearner(w.members[2].replica.self, nil)
	w.drainActions(0)
	w.deliverAll()
	w.heartbeat(0)
	w.deliverAll()
	out := w.members[2].replica
	must.Eq(t, w.members[0].replica.commitIndex, out.CommitIndex())
	must.Eq(t, out.CommitIndex(), out.IndexReplicatedElsewhere())
}

// A disk that was moved to another address stays a member: the list is changed, by both majorities.
func TestDiskAtAnotherAddress(t *testing.T) {
	w := bootstrappedBy(t, 3, 3, 1, noMutation)
	w.faultless = true
	w.reconcileMembers(1)
	w.runUntil(3 * time.Second)
	i := (w.leader() + 1) % 3
	id := w.nodes[i].disk.ID
	w.nodes = append(w.nodes, &simNode{disk: w.nodes[i].disk})
	w.stop(i)
	w.start(3)
	w.runUntil(w.now + time.Second)
	list := w.nodes[w.leader()].replica.Members()
	must.Len(t, 3, list)
	must.True(t, slices.Contains(list, Member{id, "node3"}))
	w.startEmpty(i) // and another moves in where it was: it is a fourth, not the former one
	w.runUntil(w.now + time.Second)
	must.Len(t, 4, w.nodes[w.leader()].replica.Members())
	must.Eq(t, "", w.violation)
}

// twoClusters are two clusters: one of three members, of which only the last is up, with a bootstrap and perhaps a vote, and one of two with
// a leader.
func twoClusters(planted mutation, promised bool) (w *cluster, last, other *Replica) {
	w = newCluster(5, 0, planted, stepBudget{})
	list := []Member{w.members[3].replica.self, w.members[4].replica.self}
	alone := []Member{{8, "x"}, {9, "y"}, w.members[2].replica.self}
	for i, l := range [][]Member{2: alone, 3: list, 4: list} {
		if l == nil {
			continue
		}
		w.members[i].disk = PersistentState{ID: w.members[i].disk.ID}
		w.start(i)
		if w.members[i].replica.Bootstrap(l) != nil {
			panic("not bootstrapped")
		}
		w.drainActions(i)
	}
	w.deliverAll()
	if last = w.members[2].replica; promised {
		last.Step(8, Message{Kind: MsgRequestVote, ClusterID: last.clusterID, Recipient: last.self.ID, Term: 2})
		w.drainActions(2)
		w.deliverAll()
	}
	w.members[3].replica.startElection()
	w.drainActions(3)
	w.deliverAll()
	other = w.members[3].replica
	other.AddMember(last.self, 0)
	w.drainActions(3)
	w.deliverAll()
	w.heartbeat(3)
	w.deliverAll()
	return w, last, other
}

// A disk with only the bootstrap of a cluster that nobody joined stayed out for ever. It joins another cluster once a leader of that one
// sends it the state, as an empty disk would; and never if it has voted: the first cluster may have committed entries by that vote.
func TestBootstrappedOnlyDiskJoinsAnotherCluster(t *testing.T) {
	_, last, other := twoClusters(noMutation, false)
	must.Eq(t, other.clusterID, last.clusterID)
	must.Len(t, 3, last.Members())
	must.True(t, last.isLatestConfigCommitted())
	_, last, other = twoClusters(noMutation, true)
	must.NotEq(t, other.clusterID, last.clusterID)
	must.Eq(t, 2, last.term)
}

// Where the other members of a bootstrap are gone for good it can be discarded, on disk as well, and the disk be bootstrapped anew.
func TestBootstrapIsDiscarded(t *testing.T) {
	w, _, _ := twoClusters(noMutation, true)
	must.False(t, w.members[2].replica.DiscardBootstrap())
	w = newCluster(3, 1, noMutation, stepBudget{})
	must.False(t, w.members[0].replica.DiscardBootstrap())
	p := w.members[3].replica
	must.NoError(t, p.Bootstrap([]Member{{8, "x"}, {9, "y"}, p.self}))
	w.drainActions(3)
	w.deliverAll()
	must.True(t, p.DiscardBootstrap())
	w.drainActions(3)
	w.deliverAll()
	must.False(t, p.Bootstrapped())
	must.NoError(t, w.members[3].disk.Validate())
	must.Eq(t, PersistentState{ID: p.self.ID}, w.members[3].disk)
	must.NoError(t, p.Bootstrap([]Member{p.self}))
}

// loseAfterCatchUp loses a member, which hosts find out 2.9 s after its last response, lets a successor come at once, and loses the
// leader 4 s after that. It returns what was wrong.
func loseAfterCatchUp(t *testing.T, planted mutation) string {
	t.Helper()
	w := bootstrappedBy(t, 3, 3, 1, planted)
	w.faultless, w.minMembers, w.detectionDelay = true, 3, 2900*time.Millisecond
	w.reconcileMembers(1)
	w.proposeSome()
	w.runUntil(3 * time.Second)
	l := w.leader()
	w.stop((l + 1) % 3)
	w.runUntil(w.now + 200*time.Millisecond)
	w.join()
	w.runUntil(w.now + 4*time.Second)
	w.stop(l)
	w.requireProgress()
	return w.violation
}

// The successor of a lost member must be on the list within catch_up, 4 s on the small sites, of its own start: right after that another
// disk may be lost, and changes must go on.
func TestReplacedWithinCatchUp(t *testing.T) {
	must.Eq(t, "", loseAfterCatchUp(t, noMutation))
}
