package replication

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// reconcileMembers calls ReconcileMembers at each replica with the nodes that its host reaches, and schedules the next call, as hosts do. With
// faults, one call in four is left out.
func (w *walk) reconcileMembers(tolerates int) {
	for i, d := range w.nodes {
		if d.replica != nil && (w.faultless || w.rng.Intn(4) > 0) {
			w.onNode(i, func(o *simNode) { o.replica.ReconcileMembers(w.reachable(i), tolerates) })()
		}
	}
	w.after(w.randomDelay(300)+time.Millisecond, func() { w.reconcileMembers(tolerates) })
}

// reachable returns the nodes that a node's host reaches. Hosts detect a stopped node only after detectionDelay.
func (w *walk) reachable(from int) (all []ReachableNode) {
	for i, d := range w.nodes {
		if d.replica == nil && d.formerMember.ID != 0 && w.now-d.stoppedAt < w.detectionDelay {
			all = append(all, ReachableNode{Member: d.formerMember})
		}
		if d.replica != nil && !w.partitioned[[2]int{from, i}] && !w.partitioned[[2]int{i, from}] {
			all = append(all, ReachableNode{Member{d.disk.ID, fmt.Sprint("node", i)}, d.draining})
		}
	}
	return all
}

// join starts a new node with an empty disk, and returns its index.
func (w *walk) join() int {
	w.nodes = append(w.nodes, &simNode{})
	w.startEmpty(len(w.nodes) - 1)
	return len(w.nodes) - 1
}

// stop ends node i, until start is called for it.
func (w *walk) stop(i int) {
	w.nodes[i].formerMember, w.nodes[i].stoppedAt = Member{w.nodes[i].disk.ID, fmt.Sprint("node", i)}, w.now
	w.nodes[i].replica, w.nodes[i].draining = nil, false
	w.nodes[i].incarnation++
}

// missingTolerance checks that any members may be lost next, as many as `tolerates` says, while no change of members is under way: the
// others must be a majority of the list, and more than `tolerates` running members must have each acknowledged entry on disk. It returns
// what is violated; empty if nothing is.
func (w *walk) missingTolerance(tolerates int) string {
	l := w.leader()
	if l < 0 {
		return "no node leads"
	}
	p, up, had := w.nodes[l].replica, 0, 0
	for _, d := range w.nodes {
		if d.replica == nil || !p.isMember(d.disk.ID) {
			continue
		}
		// The newest entries may still be in flight to some members.
		if have := d.disk.Snapshot.Index + uint64(len(d.disk.Entries)); have+9 >= w.acked {
			up++
			if have >= w.acked {
				had++
			}
		}
	}
	if n := len(p.Members()); !p.isLatestConfigCommitted() || up-tolerates < majoritySize(n) || n <= 2*tolerates || had <= tolerates {
		return fmt.Sprintf("members=%d up_to_date=%d with_last_acknowledged=%d list_committed=%v", n, up, had, p.isLatestConfigCommitted())
	}
	return ""
}

// requireProgress requires that a proposal is committed within 5 s. If the leader is lost, that takes up to two elections.
func (w *walk) requireProgress() {
	done := w.acknowledged
	for end := w.now + 5*time.Second; w.acknowledged == done && w.violation == "" && w.now < end; {
		w.runUntil(w.now + 20*time.Millisecond)
	}
	if w.acknowledged == done {
		w.fail("no proposal was committed within 5 s")
	}
}

// replacements returns a finished walk of five passes. In each pass as many members are lost as are tolerated at once, and they are replaced in
// one of the ways in which machines are replaced. Within the time that the setting catch_up allows after that, the cluster must tolerate the
// same number of losses again, and the next pass causes them.
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
			w.fail("%v after the last node started: %s", catchUp, why)
		}
	}
	return w
}

// pickMember returns a random member that runs, the leader with a higher probability.
func (w *walk) pickMember() int {
	for end := w.now + 3*time.Second; w.leader() < 0 && w.now < end; {
		w.runUntil(w.now + 20*time.Millisecond)
	}
	l := w.leader()
	if l < 0 {
		w.fail("no node leads within 3 s")
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

// replace stops a member and starts a node that replaces it, in one of seven ways.
func (w *walk) replace() {
	i := w.pickMember()
	if w.violation != "" {
		return
	}
	pass := func(n int) { w.runUntil(w.now + w.randomDelay(n)) }
	switch w.rng.Intn(7) {
	case 0: // the new node joins before the member shuts down
		w.join()
		pass(2500)
		w.shutDownGracefully(i)
	case 1: // the new node joins after the member has shut down
		w.shutDownGracefully(i)
		pass(3000)
		w.join()
	case 2: // the member crashes, a first new node stops while it is the learner, a second new node joins
		w.stop(i)
		pass(300)
		heir := w.join()
		pass(400)
		w.stop(heir)
		w.join()
	case 3: // the member comes back with an empty disk
		w.stop(i)
		pass(900)
		w.startEmpty(i)
	case 4: // the member comes back with its disk after it was replaced
		w.stop(i)
		w.join()
		pass(6000)
		w.start(i)
	case 5: // the member only restarts while a new node has joined: it must stay a member
		was := w.nodes[i].disk.ID
		w.stop(i)
		w.join()
		pass(1500)
		w.start(i)
		w.runUntil(w.now + 1500*time.Millisecond)
		if l := w.leader(); l < 0 || !w.nodes[l].replica.isMember(was) {
			w.fail("node %d was removed from the members although it only restarted", i)
		}
	case 6: // no new node joins for 8 s: the list must not get shorter than minMembers, so that acknowledged entries are on as many disks as before
		w.stop(i)
		w.runUntil(w.now + 8*time.Second)
		if l := w.leader(); l >= 0 && len(w.nodes[l].replica.Members()) < w.minMembers {
			w.fail("the list has only %d members after a loss without a new node", len(w.nodes[l].replica.Members()))
		}
		w.start(i)
	}
}

// shutDownGracefully ends node i as a draining node ends: once the other members have all entries that it has, or after 5 s.
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

// Guards against a cluster that does not tolerate further losses in time. After each kind of replacement, the same number of members may be
// lost again after the time that the setting catch_up allows.
func TestReplacementWalks(t *testing.T) {
	forEachSeed(t, func(t *testing.T, seed int64) { must.Eq(t, "", replacements(t, seed, noMutation).violation) })
}

// drainWithSlowDisk commits an entry while one member drains and the disk of another one hangs, so that only the leader and the draining member
// have the entry on disk. It returns whether one of these two was allowed to shut down at once, and whether the leader was once the disk works
// again.
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
	for _, i := range []int{l, (l + 2) % 3} { // the two members that have the entry on disk
		p := w.nodes[i].replica
		atOnce = atOnce || p.IndexReplicatedElsewhere() >= p.CommitIndex()
	}
	w.runUntil(w.now + 2200*time.Millisecond)
	p := w.nodes[l].replica
	return atOnce, p.IndexReplicatedElsewhere() >= p.CommitIndex()
}

// Guards against the loss of an acknowledged entry when a member drains and another one is lost right after it. The draining member must stay
// until a majority of the others has its entries.
func TestDrainingMemberStaysUntilReplicatedElsewhere(t *testing.T) {
	atOnce, later := drainWithSlowDisk(t, noMutation)
	must.False(t, atOnce)
	must.True(t, later)
	// A node that is not a member may shut down at once.
	w := newCluster(3, 1, noMutation, stepBudget{}).replaceMember(2, 3)
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

// Guards against a disk that loses its membership when it moves to another address. The list must be changed to the new address, with the
// majorities of both lists.
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
	// An empty disk at the former address is a fourth member. It is not mistaken for the disk that moved.
	w.startEmpty(i)
	w.runUntil(w.now + time.Second)
	must.Len(t, 4, w.nodes[w.leader()].replica.Members())
	must.Eq(t, "", w.violation)
}

// twoClusters sets up two clusters. The first has three members, of which only `last` runs: its disk has the bootstrap and, if promised, a
// vote. The second has two members, led by `other`, which then adds `last` as a learner.
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
			panic("bootstrap of a member list failed")
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

// Guards against a disk that can't join any cluster because it has the bootstrap of a cluster that no other disk joined. It must join another
// cluster when a leader there sends the state, as an empty disk does. It must not join if it has voted: its first cluster may have committed
// entries with that vote.
func TestBootstrappedOnlyDiskJoinsAnotherCluster(t *testing.T) {
	_, last, other := twoClusters(noMutation, false)
	must.Eq(t, other.clusterID, last.clusterID)
	must.Len(t, 3, last.Members())
	must.True(t, last.isLatestConfigCommitted())
	_, last, other = twoClusters(noMutation, true)
	must.NotEq(t, other.clusterID, last.clusterID)
	must.Eq(t, 2, last.term)
}

// Guards against a disk that stays unusable when the other members of its bootstrap are gone for good. The bootstrap can be discarded, on disk
// as well, and the disk can be bootstrapped again. A disk that has more than a bootstrap must refuse.
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

// loseAfterCatchUp stops a member, which hosts detect after 2.9 s, starts a new node 0.2 s after the stop, and stops the leader 4 s after
// that. It returns the violation; empty if proposals are still committed.
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

// Guards against a lost member that is replaced too late. The new node must be a member within the time that the setting catch_up allows after
// its start, 4 s at the small sites. Another disk may be lost right after that, and proposals must still be committed.
func TestReplacedWithinCatchUp(t *testing.T) {
	must.Eq(t, "", loseAfterCatchUp(t, noMutation))
}
