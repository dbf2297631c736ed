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

// testHistory is a short history retention, so that days reach its end.
const testHistory = 4 * time.Second

// cluster is nodes over a faultless model of the replicated groups: one log each, in which an entry is or is not. What may go wrong is who
// believes to lead a group, what a leader knows of its proposals, messages between nodes, clocks, stopped processes and restarts.
type cluster struct {
	rng   *rand.Rand
	now   time.Duration
	queue eventQueue
	nodes []*node
	knobs coordination.TestingKnobs
	logs  [groups.Count]groupLog
}

// groupLog is what is committed in a group.
type groupLog struct {
	entries [][]byte
	leader  *node
	term    uint64
}

// event is an action at a time. Events of the same time happen in the order in which they were scheduled.
type event struct {
	time     time.Duration
	sequence int
	action   func()
}

type eventQueue struct {
	events       []event
	lastSequence int
}

func (e *eventQueue) Len() int { return len(e.events) }
func (e *eventQueue) Less(i, j int) bool {
	a, b := e.events[i], e.events[j]
	return a.time < b.time || a.time == b.time && a.sequence < b.sequence
}
func (e *eventQueue) Swap(i, j int) { e.events[i], e.events[j] = e.events[j], e.events[i] }
func (e *eventQueue) Push(x any)    { e.events = append(e.events, x.(event)) }
func (e *eventQueue) Pop() any {
	last := e.events[len(e.events)-1]
	e.events = e.events[:len(e.events)-1]
	return last
}

// after schedules an action.
func (c *cluster) after(wait time.Duration, action func()) {
	c.queue.lastSequence++
	heap.Push(&c.queue, event{c.now + max(wait, 0), c.queue.lastSequence, action})
}

// runUntil lets all events up to a time happen.
func (c *cluster) runUntil(until time.Duration) {
	for len(c.queue.events) > 0 && c.queue.events[0].time <= until {
		e := heap.Pop(&c.queue).(event)
		c.now = e.time
		e.action()
	}
	c.now = until
}

// randomDuration draws a time.
func (c *cluster) randomDuration(from, to time.Duration) time.Duration {
	return from + time.Duration(c.rng.Int64N(int64(to-from)+1))
}

// node is a node with its service. It is the service's groups.Host and coordination.Env.
type node struct {
	cluster      *cluster
	index        int
	incarnation  uint64
	startedAt    time.Duration
	service      *coordination.Service
	states       [groups.Count]groups.StateMachine
	applied      [groups.Count]int
	leaderTerm   [groups.Count]uint64 // the term in which it believes to lead; 0: none
	leaderSince  [groups.Count]time.Duration
	knownLeader  [groups.Count]string // addresses
	proposals    [groups.Count][]*proposal
	committed    map[*byte]*proposal // and not yet applied here
	frozen       bool
	inputDelay   time.Duration
	backlog      []func()                 // turns that wait while it is frozen
	isolated     bool                     // it has no quorum contact
	delayedUntil map[string]time.Duration // messages to a node arrive then at the earliest
	brokenLinks  map[string]bool
	lastArrival  map[string]time.Duration // of the newest message to a node, since links keep order
}

type proposal struct {
	entry    []byte // nil: a read
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
		c.nodes[index].start()
	}
	for id := range groups.ID(groups.Count) {
		c.makeLeader(id, c.nodes[int(id)%nodes])
	}
	c.spreadLeaders()
	return c
}

// start begins an incarnation of a node, which applies the logs from the start.
func (n *node) start() {
	n.incarnation = n.cluster.rng.Uint64() | 1
	n.startedAt = n.cluster.now - n.cluster.randomDuration(0, time.Hour)
	n.service = coordination.New(n, coordination.Config{
		Address:          nodeAddress(n.index),
		Incarnation:      n.incarnation,
		HistoryRetention: testHistory,
		TestingKnobs:     n.cluster.knobs,
	})
	n.service.SetHost(n)
	n.frozen, n.backlog, n.isolated, n.committed = false, nil, false, map[*byte]*proposal{}
	for id := range groups.ID(groups.Count) {
		n.states[id] = n.service.StateMachine(id)
		n.applied[id], n.leaderTerm[id], n.proposals[id], n.knownLeader[id] = 0, 0, nil, ""
	}
}

// restart ends the node's incarnation, with all that was pending in it, and begins another one.
func (n *node) restart() {
	for id := range groups.ID(groups.Count) {
		if n.cluster.logs[id].leader == n {
			n.cluster.makeLeader(id, n.cluster.randomOther(n))
		}
	}
	n.start()
}

func (c *cluster) randomOther(than *node) *node {
	for {
		if n := c.nodes[c.rng.IntN(len(c.nodes))]; n != than && !n.frozen {
			return n
		}
	}
}

// runTurn runs a turn of the node, as soon as it is not frozen.
func (n *node) runTurn(turn func()) {
	if n.frozen {
		n.backlog = append(n.backlog, turn)
		return
	}
	turn()
	n.service.NotifyWatchers()
}

// runAfter schedules a turn, which is left out if the node has been restarted by then.
func (n *node) runAfter(wait time.Duration, turn func()) {
	incarnation := n.incarnation
	n.cluster.after(wait, func() {
		if n.incarnation == incarnation {
			n.runTurn(turn)
		}
	})
}

// freeze stops the node's process for a while.
func (n *node) freeze(span time.Duration) {
	incarnation := n.incarnation
	n.frozen = true
	n.cluster.after(span, func() {
		if n.incarnation != incarnation {
			return
		}
		n.frozen, n.inputDelay = false, span
		n.cluster.after(20*ms, func() { n.inputDelay = 0 })
		backlog := n.backlog
		n.backlog = nil
		for _, turn := range backlog {
			n.runTurn(turn)
		}
	})
}

// spreadLeaders notifies nodes from time to time of who leads, and lets them apply what is committed.
func (c *cluster) spreadLeaders() {
	for _, n := range c.nodes {
		n.runAfter(c.randomDuration(0, 100*ms), func() {
			id := groups.ID(c.rng.IntN(groups.Count))
			n.catchUp(id)
			if !n.isolated {
				n.knownLeader[id] = nodeAddress(c.logs[id].leader.index)
				n.service.LeaderChanged(id)
			}
		})
	}
	c.after(20*ms, c.spreadLeaders)
}

// catchUp applies what is committed; a node that is far behind is given the state of one that is not.
func (n *node) catchUp(id groups.ID) {
	all := n.cluster.logs[id].entries
	if len(all)-n.applied[id] > 5 && n.cluster.rng.IntN(2) == 0 {
		for _, x := range n.cluster.nodes {
			if x.applied[id] > n.applied[id] {
				if err := n.states[id].Restore(x.states[id].Snapshot()); err != nil {
					panic(err)
				}
				for _, entry := range all[n.applied[id]:x.applied[id]] {
					n.completeProposal(entry, groups.Ambiguous, nil)
				}
				n.applied[id] = x.applied[id]
				break
			}
		}
	}
	for n.applied[id] < len(all) {
		entry := all[n.applied[id]]
		n.applied[id]++
		n.completeProposal(entry, groups.Applied, n.states[id].Apply(uint64(n.applied[id]), entry))
	}
}

// completeProposal ends the proposal of an entry, if it is this node's.
func (n *node) completeProposal(entry []byte, o groups.Outcome, result []byte) {
	if p := n.committed[&entry[0]]; p != nil {
		delete(n.committed, &entry[0])
		p.callback(o, result)
	}
}

// makeLeader makes a node the leader of a group. Of what the leader before it had proposed, a random first part is committed; that node
// learns later that it no longer leads.
func (c *cluster) makeLeader(id groups.ID, n *node) {
	l := &c.logs[id]
	if l.leader == n || n.frozen {
		return
	}
	if old := l.leader; old != nil {
		term, incarnation, survive := l.term, old.incarnation, c.rng.IntN(2) == 0
		for _, p := range old.proposals[id] {
			if p.term != term || p.ended || p.entry == nil {
				continue
			}
			if survive = survive && c.rng.IntN(4) > 0; survive {
				l.entries = append(l.entries, p.entry)
			}
		}
		c.after(c.randomDuration(0, 900*ms), func() {
			if old.incarnation == incarnation {
				old.runTurn(func() { old.loseLeadership(id, term) })
			}
		})
	}
	l.leader = n
	l.term++
	n.runTurn(func() {
		n.loseLeadership(id, l.term-1)
		n.catchUp(id)
		n.leaderTerm[id], n.leaderSince[id], n.knownLeader[id] = l.term, n.Now(), nodeAddress(n.index)
		n.service.LeadershipGained(id, l.term)
	})
}

// loseLeadership ends the node's leadership: proposals that have not ended are ambiguous.
func (n *node) loseLeadership(id groups.ID, term uint64) {
	if n.leaderTerm[id] != term || term == 0 {
		return
	}
	n.leaderTerm[id] = 0
	all := n.proposals[id]
	n.proposals[id] = nil
	for _, p := range all {
		if !p.ended {
			p.ended = true
			p.callback(groups.Ambiguous, nil)
		}
	}
	n.service.LeadershipLost(id, term)
}

// Propose and the methods up to Now are groups.Host.
func (n *node) Propose(id groups.ID, entry []byte, then func(groups.Outcome, []byte)) {
	if n.leaderTerm[id] == 0 {
		then(groups.NotProposed, nil)
		return
	}
	p := &proposal{entry: entry, term: n.leaderTerm[id], callback: then}
	n.proposals[id] = append(n.proposals[id], p)
	n.cluster.after(n.cluster.randomDuration(2*ms, 12*ms), func() { n.commit(id) })
}

// commit commits the node's first open proposal, if the node leads in that proposal's term.
func (n *node) commit(id groups.ID) {
	l := &n.cluster.logs[id]
	for _, p := range n.proposals[id] {
		if p.ended || p.entry == nil || p.term != l.term || l.leader != n {
			continue
		}
		p.ended = true
		n.proposals[id] = slices.DeleteFunc(n.proposals[id], func(x *proposal) bool { return x == p })
		l.entries = append(l.entries, p.entry)
		n.committed[&p.entry[0]] = p
		n.runAfter(0, func() { n.catchUp(id) })
		return
	}
}

func (n *node) ReadIndex(id groups.ID, then func(bool)) {
	if n.leaderTerm[id] == 0 {
		then(false)
		return
	}
	p := &proposal{term: n.leaderTerm[id], callback: func(o groups.Outcome, _ []byte) { then(o == groups.Applied) }}
	n.proposals[id] = append(n.proposals[id], p)
	n.runAfter(n.cluster.randomDuration(2*ms, 8*ms), func() {
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

func (n *node) LeaderCandidates(id groups.ID) (all []string) {
	for i := range 3 {
		all = append(all, nodeAddress((int(id)+i)%len(n.cluster.nodes)))
	}
	return all
}

func (n *node) HintLeader(id groups.ID, address string) { n.knownLeader[id] = address }
func (n *node) Now() time.Duration                      { return n.cluster.now - n.startedAt }

// Send and the methods after it are coordination.Env.
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
	n.cluster.after(arrives-n.cluster.now, func() {
		if peer.incarnation == incarnation {
			peer.runTurn(func() { peer.service.Receive(from, decoded) })
		}
	})
	return true
}

func (n *node) ScheduleAt(at time.Duration, sequence uint32) {
	n.runAfter(at-n.Now(), func() {
		if n.service.Live(sequence) {
			n.service.Due(sequence)
		}
	})
}

func (n *node) InputDelay() time.Duration { return n.inputDelay }
func (n *node) HasQuorumContact() bool    { return !n.isolated }
