package replication

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Quorum contact is checked by an observer who sees all: what was acknowledged so long ago must be committed at the member, and no term
// newer than the one that it names may have had a leader by then. A member that is suspended reports nothing; what it reports when it
// goes on is checked by the time that it is then.

// tick advances a member's time before anything else.
func (c *cluster) tick(i int) {
	if c.judgesContact {
		c.members[i].replica.Tick(c.now)
	}
}

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
				c.fail("member %d is in contact since %v in term %d, and lacks %d of %v", s.disk.ID, c.now-age, view, e.Index, at)
			}
		}
	}
}

// withClock lets time pass by steps, and by nothing else: no election time-out comes before an hour.
func withClock(w *cluster) *cluster {
	for _, s := range w.members {
		s.replica.config.ElectionTimeout = time.Hour
	}
	w.judgesContact = true
	for range 2 { // the second brings clocks back
		w.now += time.Second
		w.heartbeat(0)
		w.deliverAll()
	}
	return w
}

var contactScenarios = []scenario{
	{"a former leader, and answers that come late", func(planted mutation) *cluster {
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
	{"a follower, and appends that come late", func(planted mutation) *cluster {
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
	{"a new leader that does not know what was acknowledged", func(planted mutation) *cluster {
		w := withClock(newCluster(3, 0, planted, stepBudget{ticks: 1, heartbeats: 1})).propose()
		w.syncAll(0)
		w.deliverFromTo(0, 1)
		w.syncAll(1)
		w.deliverFromTo(1, 0) // acknowledged
		w.now += time.Second
		w.electAmong(1, 2)
		return w
	}, []mutation{contactBeforeNoOp}},
	{"a follower that lacks some", func(planted mutation) *cluster {
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
	{"a partition, a new term, a proposal", func(planted mutation) *cluster {
		return withClock(newCluster(3, 0, planted, stepBudget{elections: 1, proposals: 1, heartbeats: 1, ticks: 2}))
	}, nil},
}

func TestContactInAllOrders(t *testing.T) { exploreAll(t, contactScenarios) }

type acknowledgement struct {
	time  time.Duration
	index uint64
}

// deferWhilePaused: what comes to a process that stands still is read when it goes on.
func (w *walk) deferWhilePaused(d *simNode, act func()) bool {
	if d.pausedUntil <= w.now {
		return false
	}
	w.after(d.pausedUntil-w.now, act)
	return true
}

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
			w.fail("node %d is in contact since %v, and lacks %d of %v", i, since, a.index, a.time)
		}
	}
	for v, at := range w.ledSince {
		if v > view && at < since {
			w.fail("node %d is in contact since %v by term %d, and %d was led at %v", i, since, view, v, at)
		}
	}
}

// pauseAndPartition lets processes stand still, and parts leaders from the others one way or both, for up to so long as votes need many times
// over; what stood in a process or on a link comes late.
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

func contactWalk(t *testing.T, seed int64, planted mutation) *walk {
	return walkWithFaults(t, seed, planted, (*walk).pauseAndPartition, 30*time.Second)
}

// No member reports newer contact than it has, whoever is suspended or partitioned; after ten seconds without faults all are in contact
// with a majority again, within a few heartbeats.
func TestContactOnWalks(t *testing.T) {
	for seed := range int64(maxStates(10_000) / 250) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			w := contactWalk(t, seed, noMutation)
			must.Eq(t, "", w.violation)
			for i, d := range w.nodes {
				age, _, ok := d.replica.QuorumContact(w.now)
				must.True(t, ok && age < 5*DefaultConfig().HeartbeatInterval, must.Sprintf("node %d: %v %v", i, age, ok))
			}
		})
	}
}
