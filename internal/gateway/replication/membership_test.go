package replication

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// reconcileMembers calls ReconcileMembers at each replica with the nodes that the replica's host reaches, and schedules its own next call.
// Unless the walk is faultless, one call in four is skipped. `tolerates` is the number of losses that the cluster must survive.
func (w *walk) reconcileMembers(tolerates int) {
	for i, node := range w.nodes {
		if node.replica != nil && (w.faultless || w.rng.Intn(4) > 0) {
			w.actionOnNode(i, func(node *simNode) { node.replica.ReconcileMembers(w.reachableNodesFrom(i), tolerates) })()
		}
	}
	w.schedule(w.randomDelay(300)+time.Millisecond, func() { w.reconcileMembers(tolerates) })
}

// reachableNodesFrom returns the nodes that a node's host reaches. Hosts detect a stopped node only after detectionDelay.
func (w *walk) reachableNodesFrom(hostIndex int) (nodes []ReachableNode) {
	for i, node := range w.nodes {
		if node.replica == nil && node.formerMember.ID != 0 && w.now-node.stoppedAt < w.detectionDelay {
			nodes = append(nodes, ReachableNode{Member: node.formerMember})
		}
		if node.replica != nil && !w.partitioned[[2]int{hostIndex, i}] && !w.partitioned[[2]int{i, hostIndex}] {
			nodes = append(nodes, ReachableNode{Member{node.disk.ID, fmt.Sprint("node", i)}, node.draining})
		}
	}
	return nodes
}

// addNode starts a new node with an empty disk, and returns its index.
func (w *walk) addNode() int {
	w.nodes = append(w.nodes, &simNode{})
	w.startNodeWithEmptyDisk(len(w.nodes) - 1)
	return len(w.nodes) - 1
}

// stopNode ends the process of the node at nodeIndex. The node may be started again.
func (w *walk) stopNode(nodeIndex int) {
	w.nodes[nodeIndex].formerMember, w.nodes[nodeIndex].stoppedAt = Member{w.nodes[nodeIndex].disk.ID, fmt.Sprint("node", nodeIndex)}, w.now
	w.nodes[nodeIndex].replica, w.nodes[nodeIndex].draining = nil, false
	w.nodes[nodeIndex].incarnation++
}

// toleranceViolation checks that the cluster survives the loss of any `tolerates` members. It is called when no change of the member list
// should be in progress. The remaining members must be a majority of the member list, and more than `tolerates` running members must
// have each acknowledged entry on disk. It returns a description of the violation, or an empty string.
func (w *walk) toleranceViolation(tolerates int) string {
	leader := w.leaderIndex()
	if leader < 0 {
		return "no node leads"
	}
	replica, upToDate, withAcked := w.nodes[leader].replica, 0, 0
	for _, node := range w.nodes {
		if node.replica == nil || !replica.isMember(node.disk.ID) {
			continue
		}
		// A member may lack the last 9 entries, because they may still be in flight to the member.
		if lastIndex := node.disk.Snapshot.Index + uint64(len(node.disk.Entries)); lastIndex+9 >= w.ackedIndex {
			upToDate++
			if lastIndex >= w.ackedIndex {
				withAcked++
			}
		}
	}
	if n := len(replica.Members()); !replica.isLatestConfigCommitted() || upToDate-tolerates < majoritySize(n) || n <= 2*tolerates || withAcked <= tolerates {
		return fmt.Sprintf("members=%d up_to_date_members=%d members_with_last_acknowledged_entry=%d member_list_committed=%v",
			n, upToDate, withAcked, replica.isLatestConfigCommitted())
	}
	return ""
}

// requireProgress records a violation if no proposal is committed within 5 s. If the leader is lost, a commit can take up to two elections.
func (w *walk) requireProgress() {
	ackedBefore := w.ackedProposals
	for end := w.now + 5*time.Second; w.ackedProposals == ackedBefore && w.violation == "" && w.now < end; {
		w.runUntil(w.now + 20*time.Millisecond)
	}
	if w.ackedProposals == ackedBefore {
		w.recordViolation("no proposal was committed within 5 s")
	}
}

// runReplacementWalk runs a walk of five passes and returns the finished walk. With an even seed the cluster must tolerate one loss, with
// an odd seed two. In each pass, members are lost and replaced. Either the tolerated number of members is lost at once, or up to that
// number is lost one after the other by replaceRandomMember. The setting catch_up allows a time after each pass, here 2 s plus 2 s for each
// tolerated loss. After this time, the cluster must tolerate the same number of losses again.
func runReplacementWalk(t *testing.T, seed int64, planted mutation) *walk {
	tolerates := 1 + int(seed%2)
	w := newWalkWithMembers(t, 2*tolerates+1, 2*tolerates+1, seed, planted)
	w.faultless, w.minMembers = true, 2*tolerates+1
	catchUp := time.Duration(2+2*tolerates) * time.Second
	w.reconcileMembers(tolerates)
	w.issueRequests()
	w.runUntil(3 * time.Second)
	for range 5 {
		passStart := w.now
		if w.rng.Intn(3) == 0 { // the tolerated number of members is lost at once
			for range tolerates {
				w.stopNode(w.randomMemberIndex())
			}
			for range tolerates {
				w.runUntil(w.now + w.randomDelay(2000))
				w.addNode()
			}
		} else {
			for range 1 + w.rng.Intn(tolerates) {
				w.replaceRandomMember()
			}
		}
		w.runUntil(max(w.now, passStart) + 100*time.Millisecond)
		w.requireProgress()
		w.runUntil(w.now + catchUp)
		if violation := w.toleranceViolation(tolerates); violation != "" {
			w.recordViolation("cluster does not tolerate further losses %v after the last node started: %s", catchUp, violation)
		}
	}
	return w
}

// randomMemberIndex returns the index of a random running member. The leader is chosen with a higher probability. It waits up to 3 s for a leader.
func (w *walk) randomMemberIndex() int {
	for end := w.now + 3*time.Second; w.leaderIndex() < 0 && w.now < end; {
		w.runUntil(w.now + 20*time.Millisecond)
	}
	leader := w.leaderIndex()
	if leader < 0 {
		w.recordViolation("no node leads within 3 s")
		leader = 0
	}
	if w.rng.Intn(3) == 0 {
		return leader
	}
	var running []int
	for i, node := range w.nodes {
		if node.replica != nil && w.nodes[leader].replica != nil && w.nodes[leader].replica.isMember(node.disk.ID) {
			running = append(running, i)
		}
	}
	return append(running, leader)[w.rng.Intn(len(running)+1)]
}

// replaceRandomMember stops a random member and starts a node that replaces it, in one of seven ways.
func (w *walk) replaceRandomMember() {
	i := w.randomMemberIndex()
	if w.violation != "" {
		return
	}
	runAtMost := func(n int) { w.runUntil(w.now + w.randomDelay(n)) }
	switch w.rng.Intn(7) {
	case 0: // the new node joins before the member shuts down
		w.addNode()
		runAtMost(2500)
		w.shutDownGracefully(i)
	case 1: // the new node joins after the member has shut down
		w.shutDownGracefully(i)
		runAtMost(3000)
		w.addNode()
	case 2: // the member crashes, a first new node stops while it is the learner, a second new node joins
		w.stopNode(i)
		runAtMost(300)
		firstNew := w.addNode()
		runAtMost(400)
		w.stopNode(firstNew)
		w.addNode()
	case 3: // the member comes back with an empty disk
		w.stopNode(i)
		runAtMost(900)
		w.startNodeWithEmptyDisk(i)
	case 4: // the member comes back with its disk after it was replaced
		w.stopNode(i)
		w.addNode()
		runAtMost(6000)
		w.startNode(i)
	case 5: // the member only restarts while a new node has joined: it must stay a member
		memberID := w.nodes[i].disk.ID
		w.stopNode(i)
		w.addNode()
		runAtMost(1500)
		w.startNode(i)
		w.runUntil(w.now + 1500*time.Millisecond)
		if leader := w.leaderIndex(); leader < 0 || !w.nodes[leader].replica.isMember(memberID) {
			w.recordViolation("node %d was removed from the member list although it only restarted", i)
		}
	case 6: // no new node joins for 8 s: the member list must not get shorter than minMembers, or acknowledged entries are on fewer disks
		w.stopNode(i)
		w.runUntil(w.now + 8*time.Second)
		if leader := w.leaderIndex(); leader >= 0 && len(w.nodes[leader].replica.Members()) < w.minMembers {
			w.recordViolation("member list has %d members after a loss without a new node, want at least minMembers", len(w.nodes[leader].replica.Members()))
		}
		w.startNode(i)
	}
}

// shutDownGracefully drains the node at nodeIndex and stops it. The node stops once a majority has all committed entries without counting
// the node, but after 5 s at the latest.
func (w *walk) shutDownGracefully(nodeIndex int) {
	node := w.nodes[nodeIndex]
	node.draining = true
	for end := w.now + 5*time.Second; w.now < end && node.replica != nil && w.violation == ""; {
		w.actionOnNode(nodeIndex, func(node *simNode) {
			if node.replica.IsLeader() {
				node.replica.TransferLeadership()
			}
		})()
		if !node.replica.IsLeader() && node.replica.IndexReplicatedElsewhere() >= node.replica.CommitIndex() {
			break
		}
		w.runUntil(w.now + 20*time.Millisecond)
	}
	w.stopNode(nodeIndex)
}

// Guards against a cluster that takes too long to tolerate further losses after a loss. After each kind of replacement, and after the time
// that the setting catch_up allows for it, the cluster must tolerate the same number of losses again.
func TestReplacementWalksTolerateFurtherLosses(t *testing.T) {
	forEachSeed(t, func(t *testing.T, seed int64) { must.Eq(t, "", runReplacementWalk(t, seed, noMutation).violation) })
}

// drainWithSlowDisk commits an entry while one member drains and the disk of another member hangs, so that only the leader and the
// draining member have the entry on disk. mayStopAtOnce reports whether the leader or the draining member was allowed to shut down while
// the disk hung. mayStopAfterSync reports whether the leader was allowed to shut down after the disk worked again.
func drainWithSlowDisk(t *testing.T, planted mutation) (mayStopAtOnce, mayStopAfterSync bool) {
	t.Helper()
	w := newWalkWithMembers(t, 3, 3, 1, planted)
	w.faultless = true
	w.runUntil(3 * time.Second)
	leader := w.leaderIndex()
	slow := (leader + 1) % 3
	w.nodes[(leader+2)%3].draining = true
	w.reconcileMembers(1)
	w.runUntil(w.now + time.Second)
	w.nodes[slow].diskBusyUntil = w.now + 2*time.Second
	w.actionOnNode(leader, func(node *simNode) { node.replica.Propose(7, []byte("7")) })()
	w.runUntil(w.now + 200*time.Millisecond)
	must.Eq(t, 1, w.ackedProposals)
	for _, i := range []int{leader, (leader + 2) % 3} { // the two members that have the entry on disk
		replica := w.nodes[i].replica
		mayStopAtOnce = mayStopAtOnce || replica.IndexReplicatedElsewhere() >= replica.CommitIndex()
	}
	w.runUntil(w.now + 2200*time.Millisecond)
	replica := w.nodes[leader].replica
	return mayStopAtOnce, replica.IndexReplicatedElsewhere() >= replica.CommitIndex()
}

// Guards against the loss of an acknowledged entry if a member shuts down and another member is lost right after that. The draining member
// must run until a majority has its committed entries without counting the draining member.
func TestDrainingMemberStaysUntilReplicatedElsewhere(t *testing.T) {
	atOnce, afterSync := drainWithSlowDisk(t, noMutation)
	must.False(t, atOnce)
	must.True(t, afterSync)
	// A node that is not a member may shut down at once.
	c := newCluster(3, 1, noMutation, stepBudget{}).replaceMember(2, 3)
	c.startMember(2)
	c.sendHeartbeat(0)
	c.syncAndDeliverAll()
	c.members[0].replica.startLearner(c.members[2].replica.self, nil)
	c.drainActions(0)
	c.syncAndDeliverAll()
	c.sendHeartbeat(0)
	c.syncAndDeliverAll()
	removed := c.members[2].replica
	must.Eq(t, c.members[0].replica.commitIndex, removed.CommitIndex())
	must.Eq(t, removed.CommitIndex(), removed.IndexReplicatedElsewhere())
}

// Guards against a disk that loses its membership when it moves to another address. The leader must change the member list to the new
// address. This change needs the majorities of both lists.
func TestMovedDiskStaysMember(t *testing.T) {
	w := newWalkWithMembers(t, 3, 3, 1, noMutation)
	w.faultless = true
	w.reconcileMembers(1)
	w.runUntil(3 * time.Second)
	i := (w.leaderIndex() + 1) % 3
	id := w.nodes[i].disk.ID
	w.nodes = append(w.nodes, &simNode{disk: w.nodes[i].disk})
	w.stopNode(i)
	w.startNode(3)
	w.runUntil(w.now + time.Second)
	members := w.nodes[w.leaderIndex()].replica.Members()
	must.Len(t, 3, members)
	must.True(t, slices.Contains(members, Member{id, "node3"}))
	// An empty disk at the former address is a fourth member. It is not mistaken for the disk that moved.
	w.startNodeWithEmptyDisk(i)
	w.runUntil(w.now + time.Second)
	must.Len(t, 4, w.nodes[w.leaderIndex()].replica.Members())
	must.Eq(t, "", w.violation)
}

// newClusterWithTwoMemberLists returns one simulation with the members of two clusters. The first cluster has three members, of which only
// lastMember runs. The disk of lastMember has the bootstrap and, if lastMemberVoted is true, a vote. The second cluster has two members and
// is led by otherLeader. Then otherLeader adds lastMember as a learner.
func newClusterWithTwoMemberLists(planted mutation, lastMemberVoted bool) (c *cluster, lastMember, otherLeader *Replica) {
	c = newCluster(5, 0, planted, stepBudget{})
	secondCluster := []Member{c.members[3].replica.self, c.members[4].replica.self}
	firstCluster := []Member{{8, "x"}, {9, "y"}, c.members[2].replica.self}
	for i, members := range [][]Member{2: firstCluster, 3: secondCluster, 4: secondCluster} {
		if members == nil {
			continue
		}
		c.members[i].disk = PersistentState{ID: c.members[i].disk.ID}
		c.startMember(i)
		if c.members[i].replica.Bootstrap(members) != nil {
			panic("bootstrap of a member list failed")
		}
		c.drainActions(i)
	}
	c.syncAndDeliverAll()
	if lastMember = c.members[2].replica; lastMemberVoted {
		lastMember.Step(8, Message{Kind: MsgRequestVote, ClusterID: lastMember.clusterID, Recipient: lastMember.self.ID, Term: 2})
		c.drainActions(2)
		c.syncAndDeliverAll()
	}
	c.members[3].replica.startElection()
	c.drainActions(3)
	c.syncAndDeliverAll()
	otherLeader = c.members[3].replica
	otherLeader.AddMember(lastMember.self, 0)
	c.drainActions(3)
	c.syncAndDeliverAll()
	c.sendHeartbeat(3)
	c.syncAndDeliverAll()
	return c, lastMember, otherLeader
}

// Guards against a disk that cannot join any cluster because it has the bootstrap of a cluster that no other disk joined. If the leader of
// another cluster sends its snapshot, the disk must join that cluster, like an empty disk. If the disk has voted, it must not join: its
// first cluster may have committed entries with that vote.
func TestBootstrappedOnlyDiskJoinsAnotherCluster(t *testing.T) {
	_, lastMember, otherLeader := newClusterWithTwoMemberLists(noMutation, false)
	must.Eq(t, otherLeader.clusterID, lastMember.clusterID)
	must.Len(t, 3, lastMember.Members())
	must.True(t, lastMember.isLatestConfigCommitted())
	_, lastMember, otherLeader = newClusterWithTwoMemberLists(noMutation, true)
	must.NotEq(t, otherLeader.clusterID, lastMember.clusterID)
	must.Eq(t, 2, lastMember.term)
}

// Guards against a disk that stays unusable after the other members of its bootstrap are permanently lost. DiscardBootstrap must erase the
// bootstrap in memory and on disk, and the disk can then be bootstrapped again. If a disk has more than a bootstrap, DiscardBootstrap
// must return false.
func TestBootstrapIsDiscarded(t *testing.T) {
	c, _, _ := newClusterWithTwoMemberLists(noMutation, true)
	must.False(t, c.members[2].replica.DiscardBootstrap())
	c = newCluster(3, 1, noMutation, stepBudget{})
	must.False(t, c.members[0].replica.DiscardBootstrap())
	replica := c.members[3].replica
	must.NoError(t, replica.Bootstrap([]Member{{8, "x"}, {9, "y"}, replica.self}))
	c.drainActions(3)
	c.syncAndDeliverAll()
	must.True(t, replica.DiscardBootstrap())
	c.drainActions(3)
	c.syncAndDeliverAll()
	must.False(t, replica.Bootstrapped())
	must.NoError(t, c.members[3].disk.Validate())
	must.Eq(t, PersistentState{ID: replica.self.ID}, c.members[3].disk)
	must.NoError(t, replica.Bootstrap([]Member{replica.self}))
}

// loseLeaderAfterReplacement stops a member, starts a new node 0.2 s later, and stops the leader 4 s after the start of the new node. Hosts
// detect a stopped member only after 2.9 s. It returns the violation, or an empty string if proposals are still committed.
func loseLeaderAfterReplacement(t *testing.T, planted mutation) string {
	t.Helper()
	w := newWalkWithMembers(t, 3, 3, 1, planted)
	w.faultless, w.minMembers, w.detectionDelay = true, 3, 2900*time.Millisecond
	w.reconcileMembers(1)
	w.issueRequests()
	w.runUntil(3 * time.Second)
	leader := w.leaderIndex()
	w.stopNode((leader + 1) % 3)
	w.runUntil(w.now + 200*time.Millisecond)
	w.addNode()
	w.runUntil(w.now + 4*time.Second)
	w.stopNode(leader)
	w.requireProgress()
	return w.violation
}

// Guards against a lost member that is replaced too late. The setting catch_up is the time after the start of a new node until the node must
// be a member, 4 s at the small sites. Another disk may be lost right after this time, and proposals must still be committed.
func TestLostMemberIsReplacedWithinCatchUpTime(t *testing.T) {
	must.Eq(t, "", loseLeaderAfterReplacement(t, noMutation))
}
