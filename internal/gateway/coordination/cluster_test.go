package coordination_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"clovergap/internal/gateway/coordination"
	"clovergap/internal/gateway/groups"
)

const ms = time.Millisecond

// testHistoryRetention is shorter than the simulations, so that the simulations test the compaction of the history.
const testHistoryRetention = 4 * time.Second

// cluster is a set of simulated nodes over a fault-free model of the replicated groups. Each group has one log of committed entries. Faults
// affect which node believes that it leads a group, whether a leader learns the outcomes of its proposals, the messages between nodes, the
// clocks, and the processes of nodes, which can be suspended or restarted.
type cluster struct {
	rng   *rand.Rand
	now   time.Duration
	queue eventQueue
	nodes []*node
	knobs coordination.TestingKnobs
	logs  [groups.Count]groupLog
}

// groupLog holds the committed entries and the leader of a group.
type groupLog struct {
	entries [][]byte
	leader  *node
	term    uint64
}

// event is an action that is scheduled for a time. Events with the same time run in the order in which they were scheduled.
type event struct {
	scheduledAt time.Duration
	sequence    int
	action      func()
}

type eventQueue struct {
	events       []event
	lastSequence int
}

func (e *eventQueue) Len() int { return len(e.events) }
func (e *eventQueue) Less(i, j int) bool {
	a, b := e.events[i], e.events[j]
	return a.scheduledAt < b.scheduledAt || a.scheduledAt == b.scheduledAt && a.sequence < b.sequence
}
func (e *eventQueue) Swap(i, j int) { e.events[i], e.events[j] = e.events[j], e.events[i] }
func (e *eventQueue) Push(x any)    { e.events = append(e.events, x.(event)) }
func (e *eventQueue) Pop() any {
	last := e.events[len(e.events)-1]
	e.events = e.events[:len(e.events)-1]
	return last
}

// scheduleEvent adds an event that runs an action after a delay. A negative delay counts as 0.
func (c *cluster) scheduleEvent(delay time.Duration, action func()) {
	c.queue.lastSequence++
	heap.Push(&c.queue, event{c.now + max(delay, 0), c.queue.lastSequence, action})
}

// runUntil runs all events up to and including the time until.
func (c *cluster) runUntil(until time.Duration) {
	for len(c.queue.events) > 0 && c.queue.events[0].scheduledAt <= until {
		e := heap.Pop(&c.queue).(event)
		c.now = e.scheduledAt
		e.action()
	}
	c.now = until
}

// randomDuration returns a random duration between from and to, inclusive.
func (c *cluster) randomDuration(from, to time.Duration) time.Duration {
	return from + time.Duration(c.rng.Int64N(int64(to-from)+1))
}

// node is a node with its service. node implements groups.Host and coordination.Env for the service.
type node struct {
	cluster     *cluster
	index       int
	incarnation uint64
	startedAt   time.Duration // time of the simulation at which the node's clock shows 0; up to an hour before the incarnation started
	service     *coordination.Service
	states      [groups.Count]groups.StateMachine
	applied     [groups.Count]int
	leaderTerm  [groups.Count]uint64        // term in which the node believes that it leads the group, or 0
	leaderSince [groups.Count]time.Duration // time of the node's clock at which the node became leader of the group
	knownLeader [groups.Count]string        // address of the leader that the node knows, or empty
	proposals   [groups.Count][]*proposal
	committed   map[*byte]*proposal // committed proposals that this node has not applied yet, by the first byte of their entry
	suspended   bool
	// inputDelay is how long the input of the current turn waited unread, as the node knows it: see observedDelay.
	inputDelay   time.Duration
	backlog      []queuedTurn             // turns that wait while the node is suspended, or until the node has read what came before
	isolated     bool                     // the node has no quorum contact
	delayedUntil map[string]time.Duration // earliest time at which messages arrive, by receiver
	brokenLinks  map[string]bool
	// lastArrival is the arrival time of the newest message, by receiver. Links deliver messages in order.
	lastArrival map[string]time.Duration
}

// queuedTurn is a turn that waits, and the time at which its input arrived.
type queuedTurn struct {
	arrivedAt time.Duration
	run       func()
}

type proposal struct {
	entry    []byte // nil for a read
	term     uint64
	ended    bool
	callback func(groups.Outcome, []byte)
}

func nodeAddress(index int) string { return fmt.Sprintf("node-%d", index) }

func newCluster(seed uint64, nodes int, knobs coordination.TestingKnobs) *cluster {
	c := &cluster{knobs: knobs, rng: rand.New(rand.NewPCG(seed, 7))}
	for index := range nodes {
		c.nodes = append(c.nodes, &node{cluster: c, index: index, delayedUntil: map[string]time.Duration{}, brokenLinks: map[string]bool{},
			lastArrival: map[string]time.Duration{}})
		c.nodes[index].startIncarnation()
	}
	for id := range groups.ID(groups.Count) {
		c.electLeader(id, c.nodes[int(id)%nodes])
	}
	c.notifyNodesPeriodically()
	return c
}

// startIncarnation starts a new incarnation of the node. The new incarnation applies the logs from their first entry.
func (n *node) startIncarnation() {
	n.incarnation = n.cluster.rng.Uint64() | 1
	n.startedAt = n.cluster.now - n.cluster.randomDuration(0, time.Hour)
	n.service = coordination.New(n, coordination.Config{
		Address:          nodeAddress(n.index),
		Incarnation:      n.incarnation,
		HistoryRetention: testHistoryRetention,
		TestingKnobs:     n.cluster.knobs,
	})
	n.service.SetHost(n)
	n.suspended, n.backlog, n.isolated, n.committed = false, nil, false, map[*byte]*proposal{}
	for id := range groups.ID(groups.Count) {
		n.states[id] = n.service.StateMachine(id)
		n.applied[id], n.leaderTerm[id], n.proposals[id], n.knownLeader[id] = 0, 0, nil, ""
	}
}

// restart ends the node's incarnation with all pending calls, and starts a new incarnation.
func (n *node) restart() {
	for id := range groups.ID(groups.Count) {
		if n.cluster.logs[id].leader == n {
			n.cluster.electLeader(id, n.cluster.randomOtherNode(n))
		}
	}
	n.startIncarnation()
}

func (c *cluster) randomOtherNode(excluded *node) *node {
	for {
		if n := c.nodes[c.rng.IntN(len(c.nodes))]; n != excluded && !n.suspended {
			return n
		}
	}
}

// runTurn runs a turn of the node. It queues the turn while the node is suspended, or reads input that came before.
func (n *node) runTurn(turn func()) {
	if n.suspended || len(n.backlog) > 0 {
		n.backlog = append(n.backlog, queuedTurn{n.cluster.now, turn})
		return
	}
	n.execute(queuedTurn{n.cluster.now, turn})
}

// execute runs a turn.
func (n *node) execute(turn queuedTurn) {
	n.inputDelay = observedDelay(n.cluster.now - turn.arrivedAt)
	turn.run()
	n.service.NotifyWatchers()
}

// observedDelay returns the least delay that a node may observe for input that waited unread for a time. The node's account of unread input
// may be wrong by coordination.MaxUnknownInputDelay.
func observedDelay(waited time.Duration) time.Duration {
	return max(0, waited-coordination.MaxUnknownInputDelay)
}

// readBacklog runs the queued turns in their order, one each pace. Turns that come meanwhile wait behind them.
func (n *node) readBacklog(incarnation uint64, pace time.Duration) {
	if n.incarnation != incarnation || n.suspended || len(n.backlog) == 0 {
		return
	}
	n.execute(n.backlog[0])
	if n.incarnation != incarnation {
		return
	}
	n.backlog = n.backlog[1:]
	n.cluster.scheduleEvent(pace, func() { n.readBacklog(incarnation, pace) })
}

// scheduleTurn schedules a turn of the node after a delay. The turn is skipped if the node has restarted by then.
func (n *node) scheduleTurn(delay time.Duration, turn func()) {
	incarnation := n.incarnation
	n.cluster.scheduleEvent(delay, func() {
		if n.incarnation == incarnation {
			n.runTurn(turn)
		}
	})
}

// suspend suspends the node's process for a duration. Turns are queued meanwhile. Afterwards the node reads them at a random pace, often for longer
// than any alarm of the node was late.
func (n *node) suspend(duration time.Duration) {
	incarnation := n.incarnation
	n.suspended = true
	n.cluster.scheduleEvent(duration, func() {
		if n.incarnation != incarnation {
			return
		}
		n.suspended = false
		n.readBacklog(incarnation, n.cluster.randomDuration(0, 4*ms))
	})
}

// notifyNodesPeriodically schedules a turn of each node every 20 ms. In the turn, the node applies the committed entries of a random group.
// In the same turn, the node learns the group's leader, unless the node is isolated.
func (c *cluster) notifyNodesPeriodically() {
	for _, n := range c.nodes {
		n.scheduleTurn(c.randomDuration(0, 100*ms), func() {
			id := groups.ID(c.rng.IntN(groups.Count))
			n.applyCommitted(id)
			if !n.isolated {
				n.knownLeader[id] = nodeAddress(c.logs[id].leader.index)
				n.service.LeaderChanged(id)
			}
		})
	}
	c.scheduleEvent(20*ms, c.notifyNodesPeriodically)
}

// applyCommitted applies the committed entries that the node lacks. A node that lacks more than 5 entries sometimes restores the snapshot of a
// node that has applied more entries.
func (n *node) applyCommitted(id groups.ID) {
	entries := n.cluster.logs[id].entries
	if len(entries)-n.applied[id] > 5 && n.cluster.rng.IntN(2) == 0 {
		for _, peer := range n.cluster.nodes {
			if peer.applied[id] > n.applied[id] {
				if err := n.states[id].Restore(peer.states[id].Snapshot()); err != nil {
					panic(err)
				}
				for _, entry := range entries[n.applied[id]:peer.applied[id]] {
					n.completeProposal(entry, groups.Ambiguous, nil)
				}
				n.applied[id] = peer.applied[id]
				break
			}
		}
	}
	for n.applied[id] < len(entries) {
		entry := entries[n.applied[id]]
		n.applied[id]++
		n.completeProposal(entry, groups.Applied, n.states[id].Apply(uint64(n.applied[id]), entry))
	}
}

// completeProposal calls the callback of the proposal of an entry, if this node proposed the entry.
func (n *node) completeProposal(entry []byte, outcome groups.Outcome, result []byte) {
	if p := n.committed[&entry[0]]; p != nil {
		delete(n.committed, &entry[0])
		p.callback(outcome, result)
	}
}

// electLeader makes a node the leader of a group. A random prefix of the former leader's open proposals is committed. The former leader
// learns up to 900 ms later that its leadership has ended. A suspended node is not elected.
func (c *cluster) electLeader(id groups.ID, n *node) {
	l := &c.logs[id]
	if l.leader == n || n.suspended {
		return
	}
	if oldLeader := l.leader; oldLeader != nil {
		term, incarnation, isCommitted := l.term, oldLeader.incarnation, c.rng.IntN(2) == 0
		for _, p := range oldLeader.proposals[id] {
			if p.term != term || p.ended || p.entry == nil {
				continue
			}
			if isCommitted = isCommitted && c.rng.IntN(4) > 0; isCommitted {
				l.entries = append(l.entries, p.entry)
			}
		}
		c.scheduleEvent(c.randomDuration(0, 900*ms), func() {
			if oldLeader.incarnation == incarnation {
				oldLeader.runTurn(func() { oldLeader.endLeadership(id, term) })
			}
		})
	}
	l.leader = n
	l.term++
	n.runTurn(func() {
		n.endLeadership(id, l.term-1)
		n.applyCommitted(id)
		n.leaderTerm[id], n.leaderSince[id], n.knownLeader[id] = l.term, n.Now(), nodeAddress(n.index)
		n.service.LeadershipGained(id, l.term)
	})
}

// endLeadership ends the node's leadership of a group in a term. The node's open proposals end with groups.Ambiguous.
func (n *node) endLeadership(id groups.ID, term uint64) {
	if n.leaderTerm[id] != term || term == 0 {
		return
	}
	n.leaderTerm[id] = 0
	proposals := n.proposals[id]
	n.proposals[id] = nil
	for _, p := range proposals {
		if !p.ended {
			p.ended = true
			p.callback(groups.Ambiguous, nil)
		}
	}
	n.service.LeadershipLost(id, term)
}

// Propose and the following methods up to Now implement groups.Host.
func (n *node) Propose(id groups.ID, entry []byte, done func(groups.Outcome, []byte)) {
	if n.leaderTerm[id] == 0 {
		done(groups.NotProposed, nil)
		return
	}
	p := &proposal{entry: entry, term: n.leaderTerm[id], callback: done}
	n.proposals[id] = append(n.proposals[id], p)
	n.cluster.scheduleEvent(n.cluster.randomDuration(2*ms, 12*ms), func() { n.commitFirstProposal(id) })
}

// commitFirstProposal commits the node's first open proposal, if the node still leads the group in the proposal's term.
func (n *node) commitFirstProposal(id groups.ID) {
	l := &n.cluster.logs[id]
	for _, p := range n.proposals[id] {
		if p.ended || p.entry == nil || p.term != l.term || l.leader != n {
			continue
		}
		p.ended = true
		n.proposals[id] = slices.DeleteFunc(n.proposals[id], func(x *proposal) bool { return x == p })
		l.entries = append(l.entries, p.entry)
		n.committed[&p.entry[0]] = p
		n.scheduleTurn(0, func() { n.applyCommitted(id) })
		return
	}
}

func (n *node) ReadIndex(id groups.ID, done func(bool)) {
	if n.leaderTerm[id] == 0 {
		done(false)
		return
	}
	p := &proposal{term: n.leaderTerm[id], callback: func(o groups.Outcome, _ []byte) { done(o == groups.Applied) }}
	n.proposals[id] = append(n.proposals[id], p)
	n.scheduleTurn(n.cluster.randomDuration(2*ms, 8*ms), func() {
		if l := &n.cluster.logs[id]; !p.ended && l.leader == n && l.term == p.term {
			p.ended = true
			n.proposals[id] = slices.DeleteFunc(n.proposals[id], func(x *proposal) bool { return x == p })
			p.callback(groups.Applied, nil)
		}
	})
}

func (n *node) Leadership(id groups.ID) (uint64, time.Duration, bool) {
	return n.leaderTerm[id], n.leaderSince[id], n.leaderTerm[id] != 0
}

func (n *node) Leader(id groups.ID) (string, bool) { return n.knownLeader[id], n.knownLeader[id] != "" }

func (n *node) LeaderCandidates(id groups.ID) (addresses []string) {
	for i := range 3 {
		addresses = append(addresses, nodeAddress((int(id)+i)%len(n.cluster.nodes)))
	}
	return addresses
}

func (n *node) HintLeader(id groups.ID, address string) { n.knownLeader[id] = address }
func (n *node) Now() time.Duration                      { return n.cluster.now - n.startedAt }

// Send and the methods after it implement coordination.Env.
func (n *node) Send(to string, m *coordination.Message) bool {
	if n.brokenLinks[to] {
		return false
	}
	peer := n.cluster.nodes[slices.IndexFunc(n.cluster.nodes, func(x *node) bool { return nodeAddress(x.index) == to })]
	arrives := max(n.cluster.now+n.cluster.randomDuration(ms/2, 3*ms), n.delayedUntil[to], n.lastArrival[to])
	n.lastArrival[to] = arrives
	incarnation, from := peer.incarnation, nodeAddress(n.index)
	decoded, err := coordination.DecodeMessage(m.Encode())
	if err != nil {
		panic(err)
	}
	n.cluster.scheduleEvent(arrives-n.cluster.now, func() {
		if peer.incarnation == incarnation {
			peer.runTurn(func() { peer.service.Receive(from, decoded) })
		}
	})
	return true
}

func (n *node) ScheduleAt(at time.Duration, sequence uint32) {
	n.scheduleTurn(at-n.Now(), func() {
		if n.service.Live(sequence) {
			n.service.Due(sequence)
		}
	})
}

func (n *node) HasQuorumContact() bool { return !n.isolated }
