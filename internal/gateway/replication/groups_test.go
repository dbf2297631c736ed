package replication

import (
	"fmt"
	"hash/maphash"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// sharedDisk is one state of a simulation in which several logs are on the same disks. Each log has its own cluster. All writes of a node
// go through one WriteQueue, and a transaction with writes of several logs is on disk completely or not at all. A message of one log
// may be delivered to another log.
type sharedDisk struct {
	logs      []*cluster
	queues    []WriteQueue
	writing   [][]LogWrite // by node index: the transaction that is being written; nil: the disk is idle
	budget    sharedBudget
	mutation  mutation
	trace     *traceStep
	violation string
}

// sharedBudget is the number of further steps of each kind that forEachNextStep may offer. A misrouted step delivers a message of one
// log to a replica of another log (see deliverToNextLog).
type sharedBudget struct{ elections, proposals, crashes, misrouted int }

// newSharedDisk returns the initial state of a scenario: logCount logs on three disks. The first member leads each log. The scenario's
// prepare function has been called.
func newSharedDisk(logCount int, planted mutation, start sharedScenario) *sharedDisk {
	s := &sharedDisk{queues: make([]WriteQueue, 3), writing: make([][]LogWrite, 3), budget: start.budget, mutation: planted}
	for log := range logCount {
		s.logs = append(s.logs, newClusterForLog(LogID(log), 3, 0, planted, stepBudget{}))
	}
	for i := range s.queues {
		s.queues[i].knobs = knobsFor(planted)
	}
	start.prepare(s)
	return s
}

// beginWrites puts the writes of all replicas into the queues of their nodes, and begins a transaction on each idle disk. A real node does
// the same after it has processed its input.
func (s *sharedDisk) beginWrites() {
	for log, c := range s.logs {
		if c.violation != "" && s.violation == "" {
			s.violation = fmt.Sprintf("log %d: %s", log, c.violation)
		}
		for i, member := range c.members {
			for _, write := range member.writes {
				s.queues[i].Put(LogID(log), write)
			}
			member.writes = nil
		}
	}
	for i := range s.queues {
		if s.writing[i] == nil {
			s.writing[i] = s.queues[i].Take()
		}
	}
}

// finishTransaction completes the transaction of the node at nodeIndex on disk. If reportSynced is true, it also reports the writes
// to the replicas by ReportSynced.
func (s *sharedDisk) finishTransaction(nodeIndex int, reportSynced bool) {
	batch := s.writing[nodeIndex]
	s.writing[nodeIndex] = nil
	for _, w := range batch {
		s.logs[w.Log].members[nodeIndex].disk.Apply(w.Write)
	}
	for _, w := range batch {
		if reportSynced {
			c := s.logs[w.Log]
			c.members[nodeIndex].replica.ReportSynced(w.Write.Seq)
			c.drainActions(nodeIndex)
		}
	}
	if reportSynced && s.mutation == syncOtherLog {
		for log, w := range s.queues[nodeIndex].pending {
			s.logs[log].members[nodeIndex].replica.ReportSynced(w.Seq)
			s.logs[log].drainActions(nodeIndex)
		}
	}
}

// restartNode starts the node at nodeIndex again with the contents of its disk. Writes that are not on disk are lost.
func (s *sharedDisk) restartNode(nodeIndex int) {
	s.queues[nodeIndex], s.writing[nodeIndex] = WriteQueue{knobs: knobsFor(s.mutation)}, nil
	for _, c := range s.logs {
		c.startMember(nodeIndex)
	}
}

// forEachNextStep calls visit with each step that is possible in this state, and with a description of the step.
func (s *sharedDisk) forEachNextStep(visit func(description string, step func(*sharedDisk))) {
	for log, c := range s.logs {
		for n, m := range c.inflight {
			key := string(m.appendKey(nil, false))
			if slices.ContainsFunc(c.inflight[:n], func(o inflightMessage) bool { return string(o.appendKey(nil, false)) == key }) {
				continue
			}
			description := fmt.Sprintf("log %d: message from member %d to member %d: kind=%d term=%d index=%d", log,
				m.from, m.send.Recipient.ID, m.send.Message.Kind, m.send.Message.Term, m.send.Message.Index)
			visit(description, func(s *sharedDisk) { s.logs[log].deliverMessageAt(n) })
			if s.budget.misrouted > 0 {
				visit(description+" (misrouted to the replica of another log)", func(s *sharedDisk) { s.budget.misrouted--; s.deliverToNextLog(log, n) })
			}
		}
	}
	for i := range s.queues {
		if s.writing[i] != nil {
			visit(fmt.Sprintf("node %d completes a write", i+1), func(s *sharedDisk) { s.finishTransaction(i, true) })
		}
		if s.budget.crashes > 0 {
			visit(fmt.Sprintf("node %d crashes and restarts", i+1), func(s *sharedDisk) { s.budget.crashes--; s.restartNode(i) })
			if s.writing[i] != nil {
				visit(fmt.Sprintf("node %d completes a write, crashes before ReportSynced and restarts", i+1), func(s *sharedDisk) {
					s.budget.crashes--
					s.finishTransaction(i, false)
					s.restartNode(i)
				})
			}
		}
		for log, c := range s.logs {
			replica := c.members[i].replica
			if s.budget.elections > 0 && replica.role != roleLeader {
				visit(fmt.Sprintf("log %d: member %d starts an election", log, i+1), func(s *sharedDisk) {
					s.budget.elections--
					s.logs[log].members[i].replica.startElection()
					s.logs[log].drainActions(i)
				})
			}
			if s.budget.proposals > 0 && replica.role == roleLeader {
				visit(fmt.Sprintf("log %d: member %d proposes an entry", log, i+1), func(s *sharedDisk) {
					s.budget.proposals--
					s.logs[log].members[i].replica.Propose(1, []byte{byte(10*log + s.budget.proposals)})
					s.logs[log].drainActions(i)
				})
			}
		}
	}
}

// deliverToNextLog delivers a message of one log to the replica of another log on the disk of the recipient. The other log is the log with the
// next index in s.logs; after the last log comes the first.
func (s *sharedDisk) deliverToNextLog(log, position int) {
	m := s.logs[log].inflight[position]
	nextLog := s.logs[(log+1)%len(s.logs)]
	for i, member := range nextLog.members {
		if member.disk.ID == m.send.Recipient.ID {
			member.replica.Step(m.from, m.send.Message)
			nextLog.drainActions(i)
		}
	}
}

// clone returns a copy. A step that is taken on the copy does not change the original.
func (s *sharedDisk) clone() *sharedDisk {
	c := *s
	c.logs, c.queues, c.writing = nil, slices.Clone(s.queues), slices.Clone(s.writing)
	for _, w := range s.logs {
		c.logs = append(c.logs, w.clone())
	}
	for i := range c.queues {
		pending := map[LogID]*Write{}
		// The copy shares the writes with the original, because Put replaces a pending write and never changes it.
		for log, w := range s.queues[i].pending {
			pending[log] = w
		}
		c.queues[i].pending = pending
	}
	return &c
}

// stateKey returns a hash of the state. States with the same key are considered equal, because the same steps are possible in them.
func (s *sharedDisk) stateKey() uint64 {
	b := fmt.Append(nil, s.budget)
	write := func(w *Write) {
		b = appendEntriesKey(appendUvarints(b, w.Term, uint64(w.Vote), w.FirstIndex, w.Commit), w.Entries)
	}
	for i := range s.queues {
		for log, w := range s.logs {
			b = appendUvarints(b, w.stateKey())
			if pending := s.queues[i].pending[LogID(log)]; pending != nil {
				write(pending)
			}
			b = append(b, '|')
		}
		for j := range s.writing[i] {
			write(&s.writing[i][j].Write)
		}
		b = append(b, ';')
	}
	return maphash.Bytes(hashSeed, b)
}

// exploreSharedDisk does the same as explore for several logs on the same disks: it takes all possible steps in every order, until
// `limit` distinct states were seen or an invariant is violated. It returns the number of states, and the violation with its steps.
func exploreSharedDisk(s *sharedDisk, limit int) (seen int, violation string) {
	s.beginWrites()
	visited := map[uint64]bool{s.stateKey(): true}
	for queue := []*sharedDisk{s}; len(queue) > 0 && len(visited) < limit && violation == ""; {
		s := queue[0]
		queue[0], queue = nil, queue[1:]
		s.forEachNextStep(func(description string, step func(*sharedDisk)) {
			if violation != "" || len(visited) >= limit {
				return
			}
			c := s.clone()
			c.trace = &traceStep{s.trace, description}
			func() {
				defer func() {
					if r := recover(); r != nil { // a violated invariant panics in a debug build
						c.violation = fmt.Sprint(r)
					}
				}()
				step(c)
				c.beginWrites()
				for _, logCluster := range c.logs {
					logCluster.removeStaleMessages()
				}
			}()
			if c.violation != "" {
				violation = c.violation + c.trace.String()
			}
			if key := c.stateKey(); !visited[key] {
				visited[key] = true
				queue = append(queue, c)
			}
		})
	}
	return len(visited), violation
}

// sharedScenario is a state from which exploreSharedDisk takes all possible steps, and the budget of these steps.
type sharedScenario struct {
	name    string
	prepare func(*sharedDisk)
	budget  sharedBudget
}

// propose makes the first member of a log propose an entry, and begins the write of the entry on that member's disk.
func (s *sharedDisk) propose(log int) {
	s.logs[log].proposeOnFirstMember()
	s.beginWrites()
}

// deliverAllBetween delivers all messages of a log that are in flight from one member to another. Other messages stay in flight.
func (s *sharedDisk) deliverAllBetween(log int, from, to MemberID) {
	c := s.logs[log]
	for n := 0; n < len(c.inflight); {
		if m := c.inflight[n]; m.from == from && m.send.Recipient.ID == to {
			c.deliverMessageAt(n)
		} else {
			n++
		}
	}
	s.beginWrites()
}

// sharedScenarios cover entries in two logs with a crash between the syncs of their writes, an election in one log during a write of the
// other log, queued writes, and messages that reach the wrong log. TestAllOrdersOverOneDiskFindMutations refers to the scenarios by
// their index.
var sharedScenarios = []sharedScenario{
	{"proposals and a crash", func(*sharedDisk) {}, sharedBudget{proposals: 2, crashes: 1}},
	{"a vote and a crash", func(s *sharedDisk) {
		s.logs[0].members[1].replica.startElection()
		s.logs[0].drainActions(1)
		s.beginWrites()
		s.finishTransaction(1, true)
		s.beginWrites()
	}, sharedBudget{elections: 1, crashes: 1}},
	{"a vote, a proposal and a crash", func(s *sharedDisk) {
		s.propose(0)
		s.deliverAllBetween(0, 1, 2)
	}, sharedBudget{elections: 1, proposals: 1, crashes: 1}},
	{"queued writes", func(s *sharedDisk) {
		for range 3 { // the first one is being written, the other two are pending
			s.propose(0)
		}
		s.propose(1)
		s.deliverAllBetween(0, 1, 2)
	}, sharedBudget{crashes: 1}},
	{"messages delivered to the wrong log", func(s *sharedDisk) {
		s.propose(0)
		s.propose(1)
		s.deliverAllBetween(0, 1, 2)
	}, sharedBudget{elections: 1, misrouted: 2}},
}

// Guards against logs that violate the invariants of a single log because they share disks and links with other logs. The test takes all
// orders of messages, syncs and crashes. GROUP_STATES sets how many states of each scenario are explored. The default is 10,000.
func TestAllOrdersOverOneDiskKeepInvariants(t *testing.T) {
	limit := 10_000
	if n, err := strconv.Atoi(os.Getenv("GROUP_STATES")); err == nil {
		limit = n
	}
	for _, start := range sharedScenarios {
		t.Run(start.name, func(t *testing.T) {
			t.Parallel()
			began := time.Now()
			seen, violation := exploreSharedDisk(newSharedDisk(2, noMutation, start), limit)
			must.Eq(t, "", violation)
			t.Logf("explored %d states in %v", seen, time.Since(began))
		})
	}
}

// Guards against a log whose writes are delayed without a limit by the writes of other logs. Each transaction must contain the pending
// write of the configuration log. The coordination groups must take turns within maxBatchBytes. No write may stay in the queue.
func TestTransactionsAreBounded(t *testing.T) {
	var queue WriteQueue
	largeWrite := func(index uint64) Write {
		return Write{Seq: index, FirstIndex: index, Entries: []Entry{{Index: index, Data: make([]byte, maxBatchBytes*2/5)}}}
	}
	for log := LogID(1); log <= 8; log++ {
		queue.Put(log, largeWrite(1))
	}
	queue.Put(ConfigurationLog, largeWrite(1))
	written := map[LogID]int{}
	for range 3 {
		batch := queue.Take()
		size := 0
		for i, w := range batch {
			written[w.Log]++
			if w.Log != ConfigurationLog {
				size += w.Write.Size()
			}
			must.Eq(t, i == 0, w.Log == ConfigurationLog)
		}
		must.Len(t, 3, batch)
		must.LessEq(t, maxBatchBytes, size)
		queue.Put(ConfigurationLog, largeWrite(1))
		queue.Put(1, largeWrite(2))
	}
	must.Eq(t, map[LogID]int{0: 3, 1: 1, 2: 1, 3: 1, 4: 1, 5: 1, 6: 1}, written)
	for range 3 {
		queue.Take()
	}
	must.Nil(t, queue.Take())
}

// Guards against a leadership transfer to a member other than the one that TransferLeadershipTo names, and against a transfer that takes
// more than a few round trips. If the named member does not respond, another member must lead.
func TestLeadershipTransferToNamedMember(t *testing.T) {
	w := newFaultlessWalk(t)
	for range 4 {
		leader := w.leaderIndex()
		to := (leader + 1 + w.rng.Intn(2)) % 3
		must.True(t, w.nodes[leader].replica.CanTransferTo(w.nodes[to].disk.ID))
		w.actionOnNode(leader, func(node *simNode) { node.replica.TransferLeadershipTo(w.nodes[to].disk.ID) })()
		w.runUntil(w.now + 100*time.Millisecond)
		must.Eq(t, to, w.leaderIndex())
		w.runUntil(w.now + 500*time.Millisecond)
	}
	leader := w.leaderIndex()
	stopped, other := (leader+1)%3, (leader+2)%3
	w.nodes[stopped].replica = nil
	w.runUntil(w.now + DefaultConfig().QuorumTimeout + 100*time.Millisecond)
	must.False(t, w.nodes[leader].replica.CanTransferTo(w.nodes[stopped].disk.ID))
	w.actionOnNode(leader, func(node *simNode) { node.replica.TransferLeadershipTo(w.nodes[stopped].disk.ID) })()
	w.runUntil(w.now + 100*time.Millisecond)
	must.Eq(t, other, w.leaderIndex())
	must.Eq(t, "", w.violation)
}

// Guards against slow elections after the connections to the leader broke. ReportUnreachable makes a member start a pre-vote at once. While
// the other members still receive messages from the leader, the term must not change. If the leader has stopped, another member must
// lead within half the election timeout.
func TestUnreachableLeaderStartsElectionAtOnce(t *testing.T) {
	w := newFaultlessWalk(t)
	leader := w.leaderIndex()
	leaderID, term := w.nodes[leader].disk.ID, w.nodes[leader].replica.term
	for range 5 {
		w.actionOnNode((leader+1)%3, func(node *simNode) { node.replica.ReportUnreachable(leaderID) })()
		w.runUntil(w.now + 300*time.Millisecond)
		must.Eq(t, term, w.nodes[leader].replica.term)
		must.Eq(t, leader, w.leaderIndex())
	}
	w.nodes[leader].replica = nil
	for i, node := range w.nodes {
		if node.replica != nil {
			w.actionOnNode(i, func(node *simNode) { node.replica.ReportUnreachable(leaderID) })()
		}
	}
	w.runUntil(w.now + DefaultConfig().ElectionTimeout/2)
	must.NotEq(t, -1, w.leaderIndex())
	must.Eq(t, "", w.violation)
}
