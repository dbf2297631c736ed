package replication

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Quorum contact is the last time at which a majority is known to have followed the leader. Each member reports a time and a term of quorum
// contact. The tests check these reports with knowledge of the state of all members. Everything that was acknowledged before the reported
// time must be committed at the reporting member. No term newer than the reported term may have had a leader before the reported time.
// A suspended member reports nothing. Its report after the suspension is checked like any other report at that time.

// advanceTime advances the time of the member at memberIndex to the simulated time, before any other input.
func (c *cluster) advanceTime(memberIndex int) {
	if c.checksQuorumContact {
		c.members[memberIndex].replica.Tick(c.now)
	}
}

// checkQuorumContact checks the quorum contact that each member reports against the committed entries.
func (c *cluster) checkQuorumContact() {
	if !c.checksQuorumContact {
		return
	}
	for _, s := range c.members {
		age, term, ok := s.replica.QuorumContact(c.now)
		if !ok {
			continue
		}
		for n, at := range c.committedAt {
			if e := c.committed[n]; at < c.now-age && e.Index > s.replica.commitIndex {
				c.recordViolation("member %d reports quorum contact at %v in term %d but lacks entry %d, which was committed at %v",
					s.disk.ID, c.now-age, term, e.Index, at)
			}
		}
	}
}

// enableQuorumContactChecks enables the check of quorum contact on c and returns c. The simulated time then advances only by steps. An
// election timeout of one hour prevents elections that are not steps of explore.
func enableQuorumContactChecks(c *cluster) *cluster {
	for _, s := range c.members {
		s.replica.config.ElectionTimeout = time.Hour
	}
	c.checksQuorumContact = true
	for range 2 { // the second heartbeat brings back the clocks that the first one sent
		c.now += time.Second
		c.sendHeartbeat(0)
		c.syncAndDeliverAll()
	}
	return c
}

// contactScenarios are scenarios in which explore also checks the invariants of quorum contact.
var contactScenarios = []scenario{
	{"a former leader receives late acknowledgements", func(planted mutation) *cluster {
		c := enableQuorumContactChecks(newCluster(3, 0, planted, stepBudget{proposals: 1, heartbeats: 1, ticks: 2}))
		c.sendHeartbeat(0)
		c.deliverAmong([]int{0}, []int{1, 2})
		late := c.inflight
		c.electWithVotesOf(1, 2)
		c.deliverFromTo(1, 2)
		c.syncAllWrites(2)
		c.inflight = append(c.inflight, late...)
		return c
	}, []mutation{contactFromAckTime, contactWhileLeading}},
	{"a follower receives late appends", func(planted mutation) *cluster {
		c := enableQuorumContactChecks(newCluster(3, 0, planted, stepBudget{proposals: 1, ticks: 2}))
		c.sendHeartbeat(0)
		late := c.inflight
		c.electWithVotesOf(1, 0)
		c.deliverFromTo(1, 0)
		c.syncAllWrites(0)
		for _, m := range late {
			if m.send.Recipient.ID == c.members[2].disk.ID {
				c.inflight = append(c.inflight, m)
			}
		}
		return c
	}, []mutation{contactFromAppendTime}},
	{"a new leader that does not know which entries are committed", func(planted mutation) *cluster {
		c := enableQuorumContactChecks(newCluster(3, 0, planted, stepBudget{ticks: 1, heartbeats: 1})).proposeOnFirstMember()
		c.syncAllWrites(0)
		c.deliverFromTo(0, 1)
		c.syncAllWrites(1)
		c.deliverFromTo(1, 0) // the entry is committed
		c.now += time.Second
		c.electWithVotesOf(1, 2)
		return c
	}, []mutation{contactBeforeNoOp}},
	{"a follower that lacks committed entries", func(planted mutation) *cluster {
		c := enableQuorumContactChecks(newCluster(3, 0, planted, stepBudget{ticks: 1, heartbeats: 2})).proposeOnFirstMember()
		c.members[0].replica.Propose(2, []byte("y"))
		c.drainActions(0)
		c.syncAllWrites(0)
		c.deliverAmong([]int{0}, []int{1})
		c.syncAllWrites(1)
		c.deliverAmong([]int{1}, []int{0})
		c.now += time.Second
		return c
	}, []mutation{contactBeforeCommit}},
	{"a partition, an election and a proposal", func(planted mutation) *cluster {
		return enableQuorumContactChecks(newCluster(3, 0, planted, stepBudget{elections: 1, proposals: 1, heartbeats: 1, ticks: 2}))
	}, nil},
}

// Guards against a reported time of quorum contact that is too new. A host would then act on state that is older than the host assumes. The
// test takes all orders of messages, syncs, elections and steps of one second, up to a number of states.
func TestContactInAllOrdersIsNeverTooNew(t *testing.T) { requireNoViolation(t, contactScenarios) }

// acknowledgement records the time at which the proposal at a log index was acknowledged.
type acknowledgement struct {
	time  time.Duration
	index uint64
}

// deferIfSuspended reports whether the process of a node is suspended. If the process is suspended, it schedules a call of act for the
// end of the suspension.
func (w *walk) deferIfSuspended(node *simNode, act func()) bool {
	if node.suspendedUntil <= w.now {
		return false
	}
	w.schedule(node.suspendedUntil-w.now, act)
	return true
}

// checkQuorumContact checks the quorum contact that the node at nodeIndex reports against the acknowledged entries, and against the leaders of newer terms.
func (w *walk) checkQuorumContact(nodeIndex int) {
	node := w.nodes[nodeIndex]
	if node.replica.role == roleLeader && w.leaderSince[node.replica.term] == 0 {
		w.leaderSince[node.replica.term] = w.now
	}
	age, term, ok := node.replica.QuorumContact(w.now)
	if !ok {
		return
	}
	since := w.now - age
	for n := len(w.acks) - 1; n >= 0 && w.acks[n].time >= since-time.Minute; n-- {
		if a := w.acks[n]; a.time < since && a.index > node.appliedIndex {
			w.recordViolation("node %d reports quorum contact at %v but lacks entry %d, which was acknowledged at %v", nodeIndex, since, a.index, a.time)
		}
	}
	for ledTerm, at := range w.leaderSince {
		if ledTerm > term && at < since {
			w.recordViolation("node %d reports quorum contact at %v in term %d, but term %d already had a leader at %v", nodeIndex, since, term, ledTerm, at)
		}
	}
}

// suspendOrPartition suspends a node for up to 4 s, or partitions its links in one or both directions for up to 5 s. This is many times as
// long as an election takes. If there is a leader, the leader is chosen in at least two of three cases. Messages to a suspended node are
// handled after its suspension. The method schedules its own next call, and does nothing once the walk is faultless.
func (w *walk) suspendOrPartition() {
	if w.faultless {
		return
	}
	i := w.rng.Intn(len(w.nodes))
	if leader := w.leaderIndex(); leader >= 0 && w.rng.Intn(3) > 0 {
		i = leader
	}
	switch w.rng.Intn(3) {
	case 0:
		w.nodes[i].suspendedUntil = w.now + w.randomDelay(4000)
	default:
		in, out := w.rng.Intn(2) == 0, w.rng.Intn(2) == 0
		for other := range w.nodes {
			if in || !out {
				w.partitioned[[2]int{other, i}] = true
			}
			if out || !in {
				w.partitioned[[2]int{i, other}] = true
			}
		}
		w.schedule(w.randomDelay(5000), func() { clear(w.partitioned) })
	}
	w.schedule(w.randomDelay(3000), w.suspendOrPartition)
}

// runQuorumContactWalk runs a walk with the faults of suspendOrPartition until 30 s, and for 10 s more without faults. It returns the finished walk.
func runQuorumContactWalk(t *testing.T, seed int64, planted mutation) *walk {
	return runWalkWithFaults(t, seed, planted, (*walk).suspendOrPartition, 30*time.Second)
}

// Guards against a reported time of quorum contact that is too new while nodes are suspended or partitioned. 10 s after the last fault, the
// quorum contact of all nodes must be less than five heartbeat intervals old.
func TestContactOnWalksIsNeverTooNew(t *testing.T) {
	for seed := range int64(stateLimit(10_000) / 250) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			w := runQuorumContactWalk(t, seed, noMutation)
			must.Eq(t, "", w.violation)
			for i, node := range w.nodes {
				age, _, ok := node.replica.QuorumContact(w.now)
				must.True(t, ok && age < 5*DefaultConfig().HeartbeatInterval, must.Sprintf("quorum contact of node %d: age=%v known=%v", i, age, ok))
			}
		})
	}
}
