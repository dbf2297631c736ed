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

// sharedDisk is a state of several logs on the same disks, with a cluster for each log. All writes of a node go through one WriteQueue, and
// a transaction of several logs is on disk completely or not at all. A message of one log may be delivered to another log.
type sharedDisk struct {
	logs      []*cluster
	queues    []WriteQueue
	writing   [][]LogWrite // by node: the transaction that is being written; nil: the disk is idle
	budget    sharedBudget
	mutation  mutation
	path      *traceStep
	violation string
}

// sharedBudget is how many more steps of each kind nextSteps may offer.
type sharedBudget struct{ elections, proposals, crashes, misrouted int }

// newShared returns a number of logs on three disks, each log led by its first member, after the steps with which the scenario begins.
func newShared(logs int, planted mutation, scene sharedScenario) *sharedDisk {
	s := &sharedDisk{queues: make([]WriteQueue, 3), writing: make([][]LogWrite, 3), budget: scene.budget, mutation: planted}
	for log := range logs {
		s.logs = append(s.logs, newClusterOf(LogID(log), 3, 0, planted, stepBudget{}))
	}
	for i := range s.queues {
		s.queues[i].knobs = knobsFor(planted)
	}
	scene.before(s)
	return s
}

// gather puts the writes of all replicas into the queues of their nodes, and begins a transaction on each idle disk, as a node does after it
// has processed its input.
func (s *sharedDisk) gather() {
	for log, w := range s.logs {
		if w.violation != "" && s.violation == "" {
			s.violation = fmt.Sprintf("log %d: %s", log, w.violation)
		}
		for i, place := range w.members {
			for _, write := range place.writes {
				s.queues[i].Put(LogID(log), write)
			}
			place.writes = nil
		}
	}
	for i := range s.queues {
		if s.writing[i] == nil {
			s.writing[i] = s.queues[i].Take()
		}
	}
}

// finishWrite completes the transaction of node i on disk. If notified is true, the replicas are told so by Synced.
func (s *sharedDisk) finishWrite(i int, notified bool) {
	batch := s.writing[i]
	s.writing[i] = nil
	for _, w := range batch {
		s.logs[w.Log].members[i].disk.Apply(w.Write)
	}
	for _, w := range batch {
		if notified {
			c := s.logs[w.Log]
			c.members[i].replica.ReportSynced(w.Write.Seq)
			c.drainActions(i)
		}
	}
	if notified && s.mutation == syncOtherLog {
		for log, w := range s.queues[i].pending {
			s.logs[log].members[i].replica.ReportSynced(w.Seq)
			s.logs[log].drainActions(i)
		}
	}
}

// restart starts node i again with what its disk has.
func (s *sharedDisk) restart(i int) {
	s.queues[i], s.writing[i] = WriteQueue{knobs: knobsFor(s.mutation)}, nil
	for _, w := range s.logs {
		w.start(i)
	}
}

// nextSteps calls do with each step that can come next.
func (s *sharedDisk) nextSteps(do func(what string, act func(*sharedDisk))) {
	for log, w := range s.logs {
		for n, m := range w.inflight {
			key := string(m.key(nil, false))
			if slices.ContainsFunc(w.inflight[:n], func(o inflightMessage) bool { return string(o.key(nil, false)) == key }) {
				continue
			}
			what := fmt.Sprintf("log %d: message from %d to %d: kind=%d term=%d index=%d", log,
				m.from, m.sent.Recipient.ID, m.sent.Message.Kind, m.sent.Message.Term, m.sent.Message.Index)
			do(what, func(s *sharedDisk) { s.logs[log].deliver(n) })
			if s.budget.misrouted > 0 {
				do(what+" (delivered to the next log)", func(s *sharedDisk) { s.budget.misrouted--; s.misroute(log, n) })
			}
		}
	}
	for i := range s.queues {
		if s.writing[i] != nil {
			do(fmt.Sprintf("node %d completes a write", i+1), func(s *sharedDisk) { s.finishWrite(i, true) })
		}
		if s.budget.crashes > 0 {
			do(fmt.Sprintf("node %d crashes and restarts", i+1), func(s *sharedDisk) { s.budget.crashes--; s.restart(i) })
			if s.writing[i] != nil {
				do(fmt.Sprintf("node %d completes a write, crashes before Synced and restarts", i+1), func(s *sharedDisk) {
					s.budget.crashes--
					s.finishWrite(i, false)
					s.restart(i)
				})
			}
		}
		for log, w := range s.logs {
			p := w.members[i].replica
			if s.budget.elections > 0 && p.role != roleLeader {
				do(fmt.Sprintf("log %d: member %d starts an election", log, i+1), func(s *sharedDisk) {
					s.budget.elections--
					s.logs[log].members[i].replica.startElection()
					s.logs[log].drainActions(i)
				})
			}
			if s.budget.proposals > 0 && p.role == roleLeader {
				do(fmt.Sprintf("log %d: member %d proposes an entry", log, i+1), func(s *sharedDisk) {
					s.budget.proposals--
					s.logs[log].members[i].replica.Propose(1, []byte{byte(10*log + s.budget.proposals)})
					s.logs[log].drainActions(i)
				})
			}
		}
	}
}

// misroute delivers a message of one log to the recipient's replica of the next log.
func (s *sharedDisk) misroute(log, n int) {
	m := s.logs[log].inflight[n]
	other := s.logs[(log+1)%len(s.logs)]
	for i, place := range other.members {
		if place.disk.ID == m.sent.Recipient.ID {
			place.replica.Step(m.from, m.sent.Message)
			other.drainActions(i)
		}
	}
}

// clone returns a copy on which steps can be taken without a change to the original.
func (s *sharedDisk) clone() *sharedDisk {
	c := *s
	c.logs, c.queues, c.writing = nil, slices.Clone(s.queues), slices.Clone(s.writing)
	for _, w := range s.logs {
		c.logs = append(c.logs, w.clone())
	}
	for i := range c.queues {
		due := map[LogID]*Write{}
		// The writes themselves can be shared: Put replaces a pending write by a new one and changes none.
		for log, w := range s.queues[i].pending {
			due[log] = w
		}
		c.queues[i].pending = due
	}
	return &c
}

// key returns a hash by which states are distinguished: two states with the same key have the same next steps.
func (s *sharedDisk) key() uint64 {
	b := fmt.Append(nil, s.budget)
	write := func(w *Write) {
		b = appendEntries(appendUvarints(b, w.Term, uint64(w.Vote), w.FirstIndex, w.Commit), w.Entries)
	}
	for i := range s.queues {
		for log, w := range s.logs {
			b = appendUvarints(b, w.key())
			if due := s.queues[i].pending[LogID(log)]; due != nil {
				write(due)
			}
			b = append(b, '|')
		}
		for j := range s.writing[i] {
			write(&s.writing[i][j].Write)
		}
		b = append(b, ';')
	}
	return maphash.Bytes(seed, b)
}

// exploreShared is explore for several logs on the same disks.
func exploreShared(s *sharedDisk, most int) (seen int, wrong string) {
	s.gather()
	known := map[uint64]bool{s.key(): true}
	for line := []*sharedDisk{s}; len(line) > 0 && len(known) < most && wrong == ""; {
		s := line[0]
		line[0], line = nil, line[1:]
		s.nextSteps(func(what string, act func(*sharedDisk)) {
			if wrong != "" || len(known) >= most {
				return
			}
			c := s.clone()
			c.path = &traceStep{s.path, what}
			func() {
				defer func() {
					if r := recover(); r != nil { // a violated invariant panics in a debug build
						c.violation = fmt.Sprint(r)
					}
				}()
				act(c)
				c.gather()
				for _, w := range c.logs {
					w.dropStale()
				}
			}()
			if c.violation != "" {
				wrong = c.violation + c.path.String()
			}
			if k := c.key(); !known[k] {
				known[k] = true
				line = append(line, c)
			}
		})
	}
	return len(known), wrong
}

// sharedScenario is a state from which exploreShared takes all possible steps, and the budget of these steps.
type sharedScenario struct {
	name   string
	before func(*sharedDisk)
	budget sharedBudget
}

// propose makes the first member of a log propose an entry, and begins to write the entry.
func (s *sharedDisk) propose(log int) {
	s.logs[log].propose()
	s.gather()
}

// deliver delivers all messages of a log that are in flight from one member to another. Other messages stay in flight.
func (s *sharedDisk) deliver(log int, from, to MemberID) {
	w := s.logs[log]
	for n := 0; n < len(w.inflight); {
		if m := w.inflight[n]; m.from == from && m.sent.Recipient.ID == to {
			w.deliver(n)
		} else {
			n++
		}
	}
	s.gather()
}

// sharedScenarios cover entries in two logs with a crash between the syncs of their writes, an election in one of the logs meanwhile,
// writes that queue, and messages that reach the wrong log. TestAllOrdersOverOneDiskFindMutations goes by their order.
var sharedScenarios = []sharedScenario{
	{"proposals and a crash", func(*sharedDisk) {}, sharedBudget{proposals: 2, crashes: 1}},
	{"a vote and a crash", func(s *sharedDisk) {
		s.logs[0].members[1].replica.startElection()
		s.logs[0].drainActions(1)
		s.gather()
		s.finishWrite(1, true)
		s.gather()
	}, sharedBudget{elections: 1, crashes: 1}},
	{"a vote, a proposal and a crash", func(s *sharedDisk) {
		s.propose(0)
		s.deliver(0, 1, 2)
	}, sharedBudget{elections: 1, proposals: 1, crashes: 1}},
	{"queued writes", func(s *sharedDisk) {
		for range 3 { // the first one is being written, the other two are pending
			s.propose(0)
		}
		s.propose(1)
		s.deliver(0, 1, 2)
	}, sharedBudget{crashes: 1}},
	{"messages delivered to the wrong log", func(s *sharedDisk) {
		s.propose(0)
		s.propose(1)
		s.deliver(0, 1, 2)
	}, sharedBudget{elections: 1, misrouted: 2}},
}

// Guards against logs that violate the invariants of a single log because they share disks and links. All orders of messages, syncs and
// crashes are taken. GROUP_STATES sets how many states of each scenario are explored; the default is 10,000.
func TestAllOrdersOverOneDisk(t *testing.T) {
	most := 10_000
	if n, err := strconv.Atoi(os.Getenv("GROUP_STATES")); err == nil {
		most = n
	}
	for _, scene := range sharedScenarios {
		t.Run(scene.name, func(t *testing.T) {
			t.Parallel()
			began := time.Now()
			seen, wrong := exploreShared(newShared(2, noMutation, scene), most)
			must.Eq(t, "", wrong)
			t.Logf("explored %d states in %v", seen, time.Since(began))
		})
	}
}

// Guards against a log whose writes are delayed without a bound by those of the others. Each transaction must have the write of the
// configuration's log, the groups must take turns within maxBatchBytes, and no write may stay in the queue.
func TestTransactionsAreBounded(t *testing.T) {
	var q WriteQueue
	large := func(nr uint64) Write {
		return Write{Seq: nr, FirstIndex: nr, Entries: []Entry{{Index: nr, Data: make([]byte, maxBatchBytes*2/5)}}}
	}
	for log := LogID(1); log <= 8; log++ {
		q.Put(log, large(1))
	}
	q.Put(ConfigurationLog, large(1))
	written := map[LogID]int{}
	for range 3 {
		batch := q.Take()
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
		q.Put(ConfigurationLog, large(1))
		q.Put(1, large(2))
	}
	must.Eq(t, map[LogID]int{0: 3, 1: 1, 2: 1, 3: 1, 4: 1, 5: 1, 6: 1}, written)
	for range 3 {
		q.Take()
	}
	must.Nil(t, q.Take())
}

// Guards against a leadership transfer to another member than the named one, and against a transfer that takes more than a few round trips.
// If the named member does not respond, another one must lead.
func TestLeadershipTransferToNamedMember(t *testing.T) {
	w := faultlessWalk(t)
	for range 4 {
		l := w.leader()
		to := (l + 1 + w.rng.Intn(2)) % 3
		must.True(t, w.nodes[l].replica.CanTransferTo(w.nodes[to].disk.ID))
		w.onNode(l, func(d *simNode) { d.replica.TransferLeadershipTo(w.nodes[to].disk.ID) })()
		w.runUntil(w.now + 100*time.Millisecond)
		must.Eq(t, to, w.leader())
		w.runUntil(w.now + 500*time.Millisecond)
	}
	l := w.leader()
	gone, other := (l+1)%3, (l+2)%3
	w.nodes[gone].replica = nil
	w.runUntil(w.now + DefaultConfig().QuorumTimeout + 100*time.Millisecond)
	must.False(t, w.nodes[l].replica.CanTransferTo(w.nodes[gone].disk.ID))
	w.onNode(l, func(d *simNode) { d.replica.TransferLeadershipTo(w.nodes[gone].disk.ID) })()
	w.runUntil(w.now + 100*time.Millisecond)
	must.Eq(t, other, w.leader())
	must.Eq(t, "", w.violation)
}

// Guards against slow elections after the connection to the leader broke: a member then starts a pre-vote at once. The term must not change
// while the other members still hear from the leader. If the leader is gone, another member must lead within half the election time-out.
func TestUnreachableLeaderStartsElectionAtOnce(t *testing.T) {
	w := faultlessWalk(t)
	l := w.leader()
	leader, view := w.nodes[l].disk.ID, w.nodes[l].replica.term
	for range 5 {
		w.onNode((l+1)%3, func(d *simNode) { d.replica.ReportUnreachable(leader) })()
		w.runUntil(w.now + 300*time.Millisecond)
		must.Eq(t, view, w.nodes[l].replica.term)
		must.Eq(t, l, w.leader())
	}
	w.nodes[l].replica = nil
	for i, d := range w.nodes {
		if d.replica != nil {
			w.onNode(i, func(d *simNode) { d.replica.ReportUnreachable(leader) })()
		}
	}
	w.runUntil(w.now + DefaultConfig().ElectionTimeout/2)
	must.NotEq(t, -1, w.leader())
	must.Eq(t, "", w.violation)
}
