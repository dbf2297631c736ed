package replication

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Quorum contact is checked by an observer that knows the state of all members. What was acknowledged before the reported time must be
// committed at the member that reports. No term newer than the reported one may have had a leader before that time. A suspended member
// reports nothing. What it reports after it resumes is checked against the time of that report.

// tick advances the time of member i to the simulated time, before any other input.
func (c *cluster) tick(i int) {
	if c.judgesContact {
		c.members[i].replica.Tick(c.now)
	}
}

// checkContact checks the quorum contact that each member reports against the committed entries.
func (c *cluster) checkContact() {
	if !c.judgesContact {
		return
	}
	for _, s := range c.members {
		age, view, ok := s.replica.QuorumContact(c.now)
		if !ok {
			continue
		}
		for n, at := range c.committedAt {
			if e := c.committed[n]; at < c.now-age && e.Index > s.replica.commitIndex {
				c.fail("member %d reports quorum contact at %v in term %d but lacks entry %d, which was committed at %v", s.disk.ID, c.now-age, view, e.Index, at)
			}
		}
	}
}

// withClock enables the check of quorum contact. Only steps advance the time, and an election time-out of an hour keeps time from starting an
// election.
func withClock(w *cluster) *cluster {
	for _, s := range w.members {
		s.replica.config.ElectionTimeout = time.Hour
	}
	w.judgesContact = true
	for range 2 { // the second heartbeat brings back the clocks that the first one sent
		w.now += time.Second
		w.heartbeat(0)
		w.deliverAll()
	}
	return w
}

// contactScenarios check the invariants of quorum contact too.
var contactScenarios = []scenario{
	{"a former leader receives late acknowledgements", func(planted mutation) *cluster {
		w := withClock(newCluster(3, 0, planted, stepBudget{proposals: 1, heartbeats: 1, ticks: 2}))
		w.heartbeat(0)
		w.deliverAmong([]int{0}, []int{1, 2})
		late := w.inflight
		w.electAmong(1, 2)
		w.deliverFromTo(1, 2)
		w.syncAll(2)
		w.inflight = append(w.inflight, late...)
		return w
	}, []mutation{contactFromAckTime, contactWhileLeading}},
	{"a follower receives late appends", func(planted mutation) *cluster {
		w := withClock(newCluster(3, 0, planted, stepBudget{proposals: 1, ticks: 2}))
		w.heartbeat(0)
		late := w.inflight
		w.electAmong(1, 0)
		w.deliverFromTo(1, 0)
		w.syncAll(0)
		for _, m := range late {
			if m.sent.Recipient.ID == w.members[2].disk.ID {
				w.inflight = append(w.inflight, m)
			}
		}
		return w
	}, []mutation{contactFromAppendTime}},
	{"a new leader that does not know which entries are committed", func(planted mutation) *cluster {
		w := withClock(newCluster(3, 0, planted, stepBudget{ticks: 1, heartbeats: 1})).propose()
		w.syncAll(0)
		w.deliverFromTo(0, 1)
		w.syncAll(1)
		w.deliverFromTo(1, 0) // the entry is committed
		w.now += time.Second
		w.electAmong(1, 2)
		return w
	}, []mutation{contactBeforeNoOp}},
	{"a follower that lacks committed entries", func(planted mutation) *cluster {
		w := withClock(newCluster(3, 0, planted, stepBudget{ticks: 1, heartbeats: 2})).propose()
		w.members[0].replica.Propose(2, []byte("y"))
		w.drainActions(0)
		w.syncAll(0)
		w.deliverAmong([]int{0}, []int{1})
		w.syncAll(1)
		w.deliverAmong([]int{1}, []int{0})
		w.now += time.Second
		return w
	}, []mutation{contactBeforeCommit}},
	{"a partition, an election and a proposal", func(planted mutation) *cluster {
		return withClock(newCluster(3, 0, planted, stepBudget{elections: 1, proposals: 1, heartbeats: 1, ticks: 2}))
	}, nil},
}

// Guards against reports of quorum contact that are too new. They would let a host act on state that is older than it assumes. All orders of
// messages, syncs, elections and seconds that pass are taken, up to a number of states.
func TestContactInAllOrders(t *testing.T) { exploreAll(t, contactScenarios) }

// acknowledgement is when the proposal at an index was acknowledged.
type acknowledgement struct {
	time  time.Duration
	index uint64
}

// deferWhilePaused reports whether the process of a node is suspended. If so, it schedules act for the time when the process resumes.
func (w *walk) deferWhilePaused(d *simNode, act func()) bool {
	if d.pausedUntil <= w.now {
		return false
	}
	w.after(d.pausedUntil-w.now, act)
	return true
}

// checkContact checks the quorum contact that node i reports against the acknowledged entries, and against the leaders of newer terms.
func (w *walk) checkContact(i int) {
	d := w.nodes[i]
	if d.replica.role == roleLeader && w.ledSince[d.replica.term] == 0 {
		w.ledSince[d.replica.term] = w.now
	}
	age, view, ok := d.replica.QuorumContact(w.now)
	if !ok {
		return
	}
	since := w.now - age
	for n := len(w.acks) - 1; n >= 0 && w.acks[n].time >= since-time.Minute; n-- {
		if a := w.acks[n]; a.time < since && a.index > d.index {
			w.fail("node %d reports quorum contact at %v but lacks entry %d, which was acknowledged at %v", i, since, a.index, a.time)
		}
	}
	for v, at := range w.ledSince {
		if v > view && at < since {
			w.fail("node %d reports quorum contact at %v in term %d, but term %d already had a leader at %v", i, since, view, v, at)
		}
	}
}

// pauseAndPartition suspends a node, or blocks its links one way or both, for up to 5 s, many times as long as an election takes. In two of three
// cases the node is the leader. Messages that wait in a suspended process or on a link arrive late.
func (w *walk) pauseAndPartition() {
	if w.faultless {
		return
	}
	i := w.rng.Intn(len(w.nodes))
	if l := w.leader(); l >= 0 && w.rng.Intn(3) > 0 {
		i = l
	}
	switch w.rng.Intn(3) {
	case 0:
		w.nodes[i].pausedUntil = w.now + w.randomDelay(4000)
	default:
		in, out := w.rng.Intn(2) == 0, w.rng.Intn(2) == 0
		for o := range w.nodes {
			if in || !out {
				w.partitioned[[2]int{o, i}] = true
			}
			if out || !in {
				w.partitioned[[2]int{i, o}] = true
			}
		}
		w.after(w.randomDelay(5000), func() { clear(w.partitioned) })
	}
	w.after(w.randomDelay(3000), w.pauseAndPartition)
}

// contactWalk returns a finished walk with the faults of pauseAndPartition for 30 s, and 10 s without faults.
func contactWalk(t *testing.T, seed int64, planted mutation) *walk {
	return walkWithFaults(t, seed, planted, (*walk).pauseAndPartition, 30*time.Second)
}

// Guards against reports of quorum contact that are too new while nodes are suspended or partitioned. 10 s after the last fault, all nodes must
// have been in contact with a majority within five heartbeats.
func TestContactOnWalks(t *testing.T) {
	for seed := range int64(maxStates(10_000) / 250) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			w := contactWalk(t, seed, noMutation)
			must.Eq(t, "", w.violation)
			for i, d := range w.nodes {
				age, _, ok := d.replica.QuorumContact(w.now)
				must.True(t, ok && age < 5*DefaultConfig().HeartbeatInterval, must.Sprintf("quorum contact of node %d: age=%v known=%v", i, age, ok))
			}
		})
	}
}
