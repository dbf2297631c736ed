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

// testHistory is short, so that days reach its end.
const testHistory = 4 * time.Second

// cluster is nodes over groups that are right by themselves: one log a group, in which an entry is or is not. What may go wrong is
// who believes to lead it, what a leader knows of its proposals, messages between nodes, clocks, standstills and restarts.
type cluster struct {
	rng   *rand.Rand
	now   time.Duration
	queue eventQueue
	nodes []*node
	logs  [groups.Count]groupLog
}

// groupLog is what is committed in a group.
type groupLog struct {
	entries [][]byte
	leader  *node
	term    uint64
}

// event is something that happens at a time; among those of one time the first comes first.
type event struct {
	at time.Duration
	nr int
	do func()
}

type eventQueue struct {
	all []event
	nr  int
}

func (q *eventQueue) Len() int { return len(q.all) }
func (q *eventQueue) Less(i, j int) bool {
	a, b := q.all[i], q.all[j]
	return a.at < b.at || a.at == b.at && a.nr < b.nr
}
func (q *eventQueue) Swap(i, j int) { q.all[i], q.all[j] = q.all[j], q.all[i] }
func (q *eventQueue) Push(x any)    { q.all = append(q.all, x.(event)) }
func (q *eventQueue) Pop() any {
	last := q.all[len(q.all)-1]
	q.all = q.all[:len(q.all)-1]
	return last
}

// in has something happen after a while.
func (c *cluster) in(wait time.Duration, do func()) {
	c.queue.nr++
	heap.Push(&c.queue, event{c.now + max(wait, 0), c.queue.nr, do})
}

// run goes on until a time.
func (c *cluster) run(until time.Duration) {
	for len(c.queue.all) > 0 && c.queue.all[0].at <= until {
		e := heap.Pop(&c.queue).(event)
		c.now = e.at
		e.do()
	}
	c.now = until
}

// between draws a time.
func (c *cluster) between(from, to time.Duration) time.Duration {
	return from + time.Duration(c.rng.Int64N(int64(to-from)+1))
}

// node is one, and what it stands on. It is a groups.Host and a coordination.Outside.
type node struct {
	c         *cluster
	nr        int
	life      uint64
	born      time.Duration
	service   *coordination.Service
	states    [groups.Count]groups.StateMachine
	applied   [groups.Count]int
	leads     [groups.Count]uint64 // the term it believes to lead in
	since     [groups.Count]time.Duration
	knows     [groups.Count]string // who leads, as far as it has heard
	waits     [groups.Count][]*proposal
	committed map[*byte]*proposal // and not yet applied here
	frozen    bool
	stood     time.Duration // how long what is taken now may have waited
	backlog   []func()
	parted    bool                     // it has no word of a majority
	links     map[string]time.Duration // what is sent to a node is held up until then
	broken    map[string]bool
	last      map[string]time.Duration // when what was sent there last arrives
}

type proposal struct {
	entry []byte // nil of a read
	term  uint64
	done  bool
	then  func(groups.Outcome, []byte)
}

func address(nr int) string { return fmt.Sprintf("node-%d", nr) }

func newCluster(seed uint64, nodes int) *cluster {
	c := &cluster{rng: rand.New(rand.NewPCG(seed, 7))}
	for nr := range nodes {
		c.nodes = append(c.nodes, &node{c: c, nr: nr, links: map[string]time.Duration{}, broken: map[string]bool{},
			last: map[string]time.Duration{}})
		c.nodes[nr].start()
	}
	for id := range groups.ID(groups.Count) {
		c.lead(id, c.nodes[int(id)%nodes])
	}
	c.gossip()
	return c
}

// start begins a life of a node, with what the logs hold.
func (n *node) start() {
	n.life = n.c.rng.Uint64() | 1
	n.born = n.c.now - n.c.between(0, time.Hour)
	n.service = coordination.New(n, coordination.Terms{Address: address(n.nr), Life: n.life, History: testHistory})
	n.service.Over(n)
	n.frozen, n.backlog, n.parted, n.committed = false, nil, false, map[*byte]*proposal{}
	for id := range groups.ID(groups.Count) {
		n.states[id] = n.service.StateMachine(id)
		n.applied[id], n.leads[id], n.waits[id], n.knows[id] = 0, 0, nil, ""
	}
}

// restart ends a life and begins another: what waited in it is gone.
func (n *node) restart() {
	for id := range groups.ID(groups.Count) {
		if n.c.logs[id].leader == n {
			n.c.lead(id, n.c.other(n))
		}
	}
	n.start()
}

func (c *cluster) other(than *node) *node {
	for {
		if n := c.nodes[c.rng.IntN(len(c.nodes))]; n != than && !n.frozen {
			return n
		}
	}
}

// turn has something happen at a node, once it does not stand still. What belongs to a former life is let go.
func (n *node) turn(do func()) {
	if n.frozen {
		n.backlog = append(n.backlog, do)
		return
	}
	do()
	n.service.Flush()
}

// later is a turn after a while, in this life.
func (n *node) later(wait time.Duration, do func()) {
	life := n.life
	n.c.in(wait, func() {
		if n.life == life {
			n.turn(do)
		}
	})
}

func (n *node) freeze(span time.Duration) {
	life := n.life
	n.frozen = true
	n.c.in(span, func() {
		if n.life != life {
			return
		}
		n.frozen, n.stood = false, span
		n.c.in(20*ms, func() { n.stood = 0 })
		all := n.backlog
		n.backlog = nil
		for _, do := range all {
			n.turn(do)
		}
	})
}

// gossip tells nodes now and then who leads, and lets them apply what is committed.
func (c *cluster) gossip() {
	for _, n := range c.nodes {
		n.later(c.between(0, 100*ms), func() {
			id := groups.ID(c.rng.IntN(groups.Count))
			n.catchUp(id)
			if !n.parted {
				n.knows[id] = address(c.logs[id].leader.nr)
				n.service.Moved(id)
			}
		})
	}
	c.in(20*ms, c.gossip)
}

// catchUp applies what is committed; a node that is far behind is given the state of one that is not.
func (n *node) catchUp(id groups.ID) {
	all := n.c.logs[id].entries
	if len(all)-n.applied[id] > 5 && n.c.rng.IntN(2) == 0 {
		for _, x := range n.c.nodes {
			if x.applied[id] > n.applied[id] {
				if err := n.states[id].Restore(x.states[id].Snapshot()); err != nil {
					panic(err)
				}
				for _, entry := range all[n.applied[id]:x.applied[id]] {
					n.ends(entry, groups.Ambiguous, nil)
				}
				n.applied[id] = x.applied[id]
				break
			}
		}
	}
	for n.applied[id] < len(all) {
		entry := all[n.applied[id]]
		n.applied[id]++
		n.ends(entry, groups.Applied, n.states[id].Apply(uint64(n.applied[id]), entry))
	}
}

// ends tells of the end of a proposal, where it is this node's.
func (n *node) ends(entry []byte, o groups.Outcome, result []byte) {
	if p := n.committed[&entry[0]]; p != nil {
		delete(n.committed, &entry[0])
		p.then(o, result)
	}
}

// lead makes a node the leader of a group. Of what the one before it had proposed, a first part is committed, as chance has it; that one learns of
// it all later.
func (c *cluster) lead(id groups.ID, n *node) {
	l := &c.logs[id]
	if l.leader == n || n.frozen {
		return
	}
	if old := l.leader; old != nil {
		term, life, survive := l.term, old.life, c.rng.IntN(2) == 0
		for _, p := range old.waits[id] {
			if p.term != term || p.done || p.entry == nil {
				continue
			}
			if survive = survive && c.rng.IntN(4) > 0; survive {
				l.entries = append(l.entries, p.entry)
			}
		}
		c.in(c.between(0, 900*ms), func() {
			if old.life == life {
				old.turn(func() { old.learns(id, term) })
			}
		})
	}
	l.leader = n
	l.term++
	n.turn(func() {
		n.learns(id, l.term-1)
		n.catchUp(id)
		n.leads[id], n.since[id], n.knows[id] = l.term, n.Now(), address(n.nr)
		n.service.LeadershipGained(id, l.term)
	})
}

// learns ends a lead: what was proposed and has not ended is unclear.
func (n *node) learns(id groups.ID, term uint64) {
	if n.leads[id] != term || term == 0 {
		return
	}
	n.leads[id] = 0
	all := n.waits[id]
	n.waits[id] = nil
	for _, p := range all {
		if !p.done {
			p.done = true
			p.then(groups.Ambiguous, nil)
		}
	}
	n.service.LeadershipLost(id, term)
}

// Propose and the others are groups.Host.
func (n *node) Propose(id groups.ID, entry []byte, then func(groups.Outcome, []byte)) {
	if n.leads[id] == 0 {
		then(groups.NotProposed, nil)
		return
	}
	p := &proposal{entry: entry, term: n.leads[id], then: then}
	n.waits[id] = append(n.waits[id], p)
	n.c.in(n.c.between(2*ms, 12*ms), func() { n.commit(id) })
}

// commit commits the first proposal that is not, of a leader that is one.
func (n *node) commit(id groups.ID) {
	l := &n.c.logs[id]
	for _, p := range n.waits[id] {
		if p.done || p.entry == nil || p.term != l.term || l.leader != n {
			continue
		}
		p.done = true
		n.waits[id] = slices.DeleteFunc(n.waits[id], func(x *proposal) bool { return x == p })
		l.entries = append(l.entries, p.entry)
		n.committed[&p.entry[0]] = p
		n.later(0, func() { n.catchUp(id) })
		return
	}
}

func (n *node) ReadIndex(id groups.ID, then func(bool)) {
	if n.leads[id] == 0 {
		then(false)
		return
	}
	p := &proposal{term: n.leads[id], then: func(o groups.Outcome, _ []byte) { then(o == groups.Applied) }}
	n.waits[id] = append(n.waits[id], p)
	n.later(n.c.between(2*ms, 8*ms), func() {
		if l := &n.c.logs[id]; !p.done && l.leader == n && l.term == p.term {
			p.done = true
			n.waits[id] = slices.DeleteFunc(n.waits[id], func(x *proposal) bool { return x == p })
			p.then(groups.Applied, nil)
		}
	})
}

func (n *node) Leadership(id groups.ID) (uint64, time.Duration, bool) {
	return n.leads[id], n.since[id], n.leads[id] != 0
}

func (n *node) Leader(id groups.ID) (string, bool) { return n.knows[id], n.knows[id] != "" }

func (n *node) LeaderCandidates(id groups.ID) (all []string) {
	for i := range 3 {
		all = append(all, address((int(id)+i)%len(n.c.nodes)))
	}
	return all
}

func (n *node) HintLeader(id groups.ID, address string) { n.knows[id] = address }
func (n *node) Now() time.Duration                      { return n.c.now - n.born }

// Send and the others are coordination.Outside.
func (n *node) Send(to string, m *coordination.Message) bool {
	if n.broken[to] {
		return false
	}
	peer := n.c.nodes[slices.IndexFunc(n.c.nodes, func(x *node) bool { return address(x.nr) == to })]
	arrives := max(n.c.now+n.c.between(ms/2, 3*ms), n.links[to], n.last[to])
	n.last[to] = arrives
	life, from := peer.life, address(n.nr)
	read, err := coordination.DecodeMessage(m.Encode())
	if err != nil {
		panic(err)
	}
	n.c.in(arrives-n.c.now, func() {
		if peer.life == life {
			peer.turn(func() { peer.service.Heard(from, read) })
		}
	})
	return true
}

func (n *node) At(at time.Duration, number uint32) {
	n.later(at-n.Now(), func() {
		if n.service.Live(number) {
			n.service.Due(number)
		}
	})
}

func (n *node) Waited() time.Duration { return n.stood }
func (n *node) InTouch() bool         { return !n.parted }
