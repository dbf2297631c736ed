package replication

import (
	"fmt"
	"hash/maphash"
	"maps"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// cluster is a few members, what they have on disk, and what is on its way; each step is one of all that
// could come next.
type cluster struct {
	members        []*simMember
	inflight       []inflightMessage
	committed      []Entry           // as delivered first, from index 2 on
	wipedDisks     []PersistentState // wiped disks: what they had was acknowledged in good faith
	budget         stepBudget
	mutation       mutation
	config         Config
	violation      string
	path           *traceStep
	currentMembers []Member               // in force
	configBases    map[logPosition]uint64 // what the leader knew to be committed when it made a list

	judgesContact bool // contact is judged: see contact_test.go
	now           time.Duration
	committedAt   []time.Duration // by order
}

type simMember struct {
	replica *Replica
	disk    PersistentState
	writes  []Write // not synced
	ledTerm uint64  // the newest term it was seen to lead
	down    bool    // for good, or until it is started
}

type inflightMessage struct {
	from MemberID
	sent Send
}

type stepBudget struct{ elections, crashes, wipes, proposals, heartbeats, ticks, losses, restarts, replacements, duplicates, compactions int }

type traceStep struct {
	before      *traceStep
	description string
}

func (t *traceStep) String() string {
	if t == nil {
		return ""
	}
	return t.before.String() + "\n  " + t.description
}

// timelessConfig are terms under which time never matters: steps are taken when the explorer says so.
var timelessConfig = Config{ElectionTimeout: 1, ElectionJitter: 1, QuorumTimeout: time.Hour, LearnerTimeout: time.Hour, MaxPending: 9, MaxMessageBytes: 1, CommitNotifyDelay: time.Hour,
	HeartbeatInterval: time.Hour, RetransmitTimeout: 1}

// newCluster has so many members in term 2, and others beside them with empty disks.
func newCluster(members, beside int, planted mutation, left stepBudget) *cluster {
	return newClusterOf(ConfigurationLog, members, beside, planted, left)
}

// newClusterOf is as newCluster, for one of several logs on the same disks.
func newClusterOf(log LogID, members, beside int, planted mutation, left stepBudget) *cluster {
	w := &cluster{budget: left, mutation: planted, config: timelessConfig, configBases: map[logPosition]uint64{}}
	w.config.LogID, w.config.TestingKnobs = log, knobsFor(planted)
	for i := range members + beside {
		w.members = append(w.members, &simMember{disk: PersistentState{ID: MemberID(i + 1)}})
		w.start(i)
	}
	var list []Member
	for _, s := range w.members[:members] {
		list = append(list, s.replica.self)
	}
	w.currentMembers = list
	for i := range list {
		if w.members[i].replica.Bootstrap(list) != nil {
			panic("not bootstrapped")
		}
		w.drainActions(i)
	}
	w.deliverAll()
	w.members[0].replica.startElection()
	w.drainActions(0)
	w.deliverAll()
	w.heartbeat(0)
	w.deliverAll()
	return w
}

func (c *cluster) start(i int) {
	s := c.members[i]
	s.writes, s.down = nil, false
	s.replica = New(Member{s.disk.ID, fmt.Sprint("node", i)}, s.disk, c.config, 1, 0)
	c.drainActions(i)
}

func (c *cluster) fail(f string, a ...any) {
	if c.violation == "" {
		c.violation = fmt.Sprintf(f, a...)
	}
}

// drainActions carries out a member's actions and judges them.
func (c *cluster) drainActions(i int) {
	s := c.members[i]
	if latest := s.replica.latestConfig(); s.replica.role == roleLeader && latest.index > s.replica.commitIndex {
		if term, _ := s.replica.log.termAt(latest.index); term == s.replica.term && c.configBases[logPosition{term, latest.index}] == 0 {
			c.configBases = maps.Clone(c.configBases)
			c.configBases[logPosition{term, latest.index}] = s.replica.commitIndex
		}
	}
	for a, ok := s.replica.Next(); ok; a, ok = s.replica.Next() {
		switch a := a.(type) {
		case Send:
			c.inflight = append(c.inflight, inflightMessage{s.disk.ID, a})
		case Write:
			s.writes = append(s.writes, a)
		case Commit:
			c.checkCommit(i, a.Entry)
		case Restore:
			if all := c.stateAt(a.Index); string(a.State) != all {
				c.fail("member %d restores %q at %d, delivered is %q", s.disk.ID, a.State, a.Index, all)
			}
		}
	}
	if s.replica.role == roleLeader && s.replica.term > s.ledTerm {
		s.ledTerm = s.replica.term
		if slices.ContainsFunc(c.members, func(o *simMember) bool { return o != s && o.ledTerm == s.ledTerm }) {
			c.fail("two lead term %d", s.ledTerm)
		}
		for _, e := range c.committed {
			if v, ok := s.replica.log.termAt(e.Index); e.Index > s.replica.log.snapshot.Index && (!ok || v != e.Term) {
				c.fail("member %d leads term %d without the committed entry %d", s.replica.self.ID, s.replica.term, e.Index)
			}
		}
	}
}

func sameEntry(a, b Entry) bool {
	return a.Index == b.Index && a.Term == b.Term && a.Kind == b.Kind && string(a.Data) == string(b.Data)
}

func hasEntry(k PersistentState, e Entry) bool {
	n := e.Index - k.Snapshot.Index - 1
	return k.Snapshot.Index >= e.Index || n < uint64(len(k.Entries)) && sameEntry(k.Entries[n], e)
}

func (c *cluster) checkCommit(i int, e Entry) {
	if n := e.Index - 2; n < uint64(len(c.committed)) {
		if !sameEntry(c.committed[n], e) {
			c.fail("entry %d of term %d was committed, and then one of term %d", e.Index, c.committed[n].Term, e.Term)
		}
		return
	}
	c.committed, c.committedAt = append(c.committed, e), append(c.committedAt, c.now)
	if e.Kind == EntryConfigChange {
		c.checkMembers(e)
	}
	if !hasMajority(c.members[i].replica.Members(), func(id MemberID) bool {
		had := func(k PersistentState) bool { return k.ID == id && hasEntry(k, e) }
		now := func(s *simMember) bool { return had(s.disk) }
		return slices.ContainsFunc(c.wipedDisks, had) || slices.ContainsFunc(c.members, now)
	}) {
		c.fail("entry %d is delivered and on too few disks", e.Index)
	}
}

// stateAt is the host's state: what was delivered up to an index, the newest first, so that two differ in each byte.
func (c *cluster) stateAt(upto uint64) (all string) {
	for _, e := range c.committed[:min(uint64(len(c.committed)), max(upto, 1)-1)] {
		all = string(e.Data) + all
	}
	return all
}

// compact has a member put all that it delivered into a snapshot.
func (c *cluster) compact(i int) {
	p := c.members[i].replica
	p.Compact(p.commitIndex, []byte(c.stateAt(p.commitIndex)))
	c.drainActions(i)
}

// checkMembers: once a list is in force as many more may go as its size says, whoever they are. So who is new on it has what the leader
// knew to be committed when it made it, and it is no shorter than the first one.
func (c *cluster) checkMembers(e Entry) {
	was := c.currentMembers
	if c.currentMembers = e.Members; len(e.Members) < len(was) {
		c.fail("list %d has %d members", e.Index, len(e.Members))
	}
	for _, s := range c.members {
		is := func(m Member) bool { return m.ID == s.disk.ID }
		have, base := s.disk.Snapshot.Index+uint64(len(s.disk.Entries)), c.configBases[logPosition{e.Term, e.Index}]
		if slices.ContainsFunc(e.Members, is) && !slices.ContainsFunc(was, is) && !s.down && have < base {
			c.fail("list %d is in force, and its new member %d has %d of %d", e.Index, s.disk.ID, have, base)
		}
	}
}

func (c *cluster) sync(i int) {
	s := c.members[i]
	s.disk.Apply(s.writes[0])
	nr := s.writes[0].Seq
	s.writes = s.writes[1:]
	c.tick(i)
	s.replica.ReportSynced(nr)
	c.drainActions(i)
}

func (c *cluster) deliver(n int) {
	m := c.inflight[n]
	c.inflight = slices.Delete(slices.Clone(c.inflight), n, n+1)
	for i, s := range c.members {
		if s.down {
			continue
		}
		if s.replica.self.Addr == m.sent.Recipient.Addr || m.sent.Recipient.Addr == "" && s.replica.self.ID == m.sent.Recipient.ID {
			c.tick(i)
			s.replica.Step(m.from, m.sent.Message)
			c.drainActions(i)
		}
	}
}

func (c *cluster) heartbeat(i int) {
	c.tick(i)
	if !c.judgesContact {
		c.members[i].replica.now++ // what nobody acknowledged goes again
	}
	c.members[i].replica.broadcastHeartbeat()
	c.drainActions(i)
}

// deliverAll lets all come through in order.
func (c *cluster) deliverAll() {
	for again := true; again; {
		again = len(c.inflight) > 0
		for i, s := range c.members {
			for len(s.writes) > 0 {
				c.sync(i)
				again = true
			}
		}
		if len(c.inflight) > 0 {
			c.deliver(0)
		}
	}
}

// dropStale removes what can't do anything any more: answers to a member that has gone on to a newer term, on disk.
func (c *cluster) dropStale() {
	c.inflight = slices.DeleteFunc(slices.Clone(c.inflight), func(f inflightMessage) bool {
		to := slices.IndexFunc(c.members, func(s *simMember) bool { return s.disk.ID == f.sent.Recipient.ID })
		k := f.sent.Message.Kind
		return to < 0 || f.sent.Message.Term < c.members[to].disk.Term && k != MsgAppend && k != MsgRequestVote
	})
}

// nextSteps are all that could come next. What is never taken was lost or has yet to come.
func (c *cluster) nextSteps(do func(what string, act func(*cluster))) {
	for n, m := range c.inflight {
		key := string(m.key(nil, c.judgesContact))
		if !slices.ContainsFunc(c.inflight[:n], func(o inflightMessage) bool { return string(o.key(nil, c.judgesContact)) == key }) {
			k := m.sent.Message
			what := fmt.Sprintf("%d>%d kind %d term %d index %d", m.from, m.sent.Recipient.ID, k.Kind, k.Term, k.Index)
			do(what, func(w *cluster) { w.deliver(n) })
			if k.Chunk != nil && c.budget.duplicates > 0 {
				do(what+" and will again", func(w *cluster) {
					w.budget.duplicates--
					w.inflight = append(slices.Clone(w.inflight), w.inflight[n])
					w.deliver(n)
				})
			}
		}
	}
	for i, s := range c.members {
		id := s.disk.ID
		if s.down {
			if c.budget.restarts > 0 {
				do(fmt.Sprintf("%d is back", id), func(w *cluster) { w.budget.restarts--; w.start(i) })
			}
			continue
		}
		if c.budget.losses > 0 {
			do(fmt.Sprintf("%d is lost", id), func(w *cluster) { w.budget.losses--; w.takeDown(i) })
		}
		if c.budget.replacements > 0 && s.replica.role == roleLeader {
			c.nextReplacements(i, do)
		}
		if len(s.writes) > 0 {
			do(fmt.Sprintf("%d syncs", id), func(w *cluster) { w.sync(i) })
		}
		if c.budget.crashes > 0 {
			do(fmt.Sprintf("%d loses power", id), func(w *cluster) { w.budget.crashes--; w.start(i) })
		}
		if c.budget.wipes > 0 && s.replica.Bootstrapped() {
			do(fmt.Sprintf("%d loses its disk", id), func(w *cluster) { w.budget.wipes--; w.wipeDisk(i) })
		}
		if c.budget.elections > 0 && s.replica.role != roleLeader && s.replica.isMember(id) {
			do(fmt.Sprintf("%d starts an election", id), func(w *cluster) { w.budget.elections--; w.members[i].replica.startElection(); w.drainActions(i) })
		}
		if c.budget.proposals > 0 && s.replica.role == roleLeader {
			do(fmt.Sprintf("%d proposes", id), func(w *cluster) {
				w.budget.proposals--
				w.members[i].replica.Propose(1, []byte{byte(w.budget.proposals)})
				w.drainActions(i)
			})
		}
		if c.budget.compactions > 0 && s.replica.commitIndex > s.replica.log.snapshot.Index {
			do(fmt.Sprintf("%d compacts", id), func(w *cluster) { w.budget.compactions--; w.compact(i) })
		}
		if c.budget.heartbeats > 0 && s.replica.role == roleLeader {
			do(fmt.Sprintf("%d sends heartbeats", id), func(w *cluster) { w.budget.heartbeats--; w.heartbeat(i) })
		}
	}
	if c.budget.ticks > 0 {
		do("a second passes", func(w *cluster) { w.budget.ticks--; w.now += time.Second })
	}
}

// takeDown ends a member; its disk keeps what it has.
func (c *cluster) takeDown(i int) { c.members[i].down, c.members[i].writes = true, nil }

// nextReplacements are the replacements that a leader could begin: any that is there for any member that is lost.
func (c *cluster) nextReplacements(i int, do func(what string, act func(*cluster))) {
	p := c.members[i].replica
	for _, in := range c.members {
		for _, out := range c.members {
			if from, to := in.replica.self, out.replica.self.ID; !in.down && out.down && !p.isMember(from.ID) && p.isMember(to) {
				do(fmt.Sprintf("%d takes %d in for %d", p.self.ID, from.ID, to), func(w *cluster) {
					w.budget.replacements--
					w.members[i].replica.AddMember(from, to)
					w.drainActions(i)
				})
			}
		}
	}
}

// replaceMember has a member lost and another replace it, as all know that reach each other.
func (c *cluster) replaceMember(out, in int) *cluster {
	c.takeDown(out)
	c.members[0].replica.AddMember(c.members[in].replica.self, c.members[out].disk.ID)
	c.drainActions(0)
	c.deliverAll()
	c.heartbeat(0)
	c.deliverAll()
	return c
}

func (c *cluster) wipeDisk(i int) {
	s := c.members[i]
	c.wipedDisks = append(slices.Clone(c.wipedDisks), s.disk)
	if s.disk = (PersistentState{ID: s.disk.ID + 10}); c.mutation == countWipedDisk {
		s.disk.ID -= 10
	}
	c.start(i)
}

func (c *cluster) clone() *cluster {
	copied := *c
	copied.members = nil
	for _, s := range c.members {
		o, p := *s, *s.replica
		p.log.entries, p.memberConfigs, p.unsyncedWrites = slices.Clone(p.log.entries), slices.Clone(p.memberConfigs), slices.Clone(p.unsyncedWrites)
		p.pendingReplies, p.reads, p.peers = slices.Clone(p.pendingReplies), slices.Clone(p.reads), maps.Clone(p.peers)
		for id, q := range p.peers {
			q := *q
			p.peers[id] = &q
		}
		p.incoming.data, p.log.trailing = slices.Clip(p.incoming.data), slices.Clip(p.log.trailing)
		p.proposals, p.preVotes = maps.Clone(p.proposals), maps.Clone(p.preVotes)
		p.votes, p.voteRequests, p.lostSince = maps.Clone(p.votes), maps.Clone(p.voteRequests), maps.Clone(p.lostSince)
		o.replica = &p
		copied.members = append(copied.members, &o)
	}
	copied.inflight, copied.committed, copied.committedAt = slices.Clip(c.inflight), slices.Clip(c.committed), slices.Clip(c.committedAt)
	for _, s := range copied.members {
		s.writes = slices.Clip(s.writes)
	}
	return &copied
}

func appendEntries(b []byte, all []Entry) []byte {
	b = appendUvarints(b, uint64(len(all)))
	for _, e := range all {
		b = append(appendUvarints(b, e.Index, e.Term, uint64(e.Kind), uint64(len(e.Data))), e.Data...)
	}
	return b
}

func (i inflightMessage) key(b []byte, timed bool) []byte {
	m := i.sent.Message
	b = appendUvarints(b, uint64(i.from), uint64(m.Recipient), uint64(m.Kind), m.Term, m.Index, m.LogTerm, m.Commit, m.Seq)
	if m.Snapshot != nil {
		b = append(append(b, 's'), m.Snapshot.State...)
	}
	if m.Chunk != nil {
		b = m.Chunk.key(b)
	}
	if timed {
		b = appendUvarints(b, uint64(m.Clock), uint64(m.EchoedClock), uint64(m.ContactAgeMillis))
	}
	return appendEntries(b, m.Entries)
}

func (c *Chunk) key(b []byte) []byte {
	return append(appendUvarints(b, c.Index, c.View, c.Sum, c.Size, c.Offset), c.Data...)
}

// key distinguishes states that may go on differently.
func (c *cluster) key() uint64 {
	var b []byte
	for _, s := range c.members {
		p := s.replica
		b = appendUvarints(b, uint64(p.self.ID), uint64(p.role), p.term, uint64(p.votedFor), uint64(p.leaderID),
			p.commitIndex, p.syncedIndex, p.nextWriteSeq-p.syncedWriteSeq, p.matchIndex, p.readSeq, p.ackedReadSeq, p.maxSeenTerm, uint64(p.fetchingLogFrom), p.termStartIndex, p.log.snapshot.Index, uint64(len(p.unsyncedWrites)),
			uint64(p.learner), uint64(len(p.learnerConfig.members)))
		if s.down {
			b = append(b, 'g')
		}
		b = appendEntries(append(p.incoming.id.newChunk(0, nil).key(appendEntries(b, p.log.entries)), p.incoming.data...), p.log.trailing)
		for _, q := range p.pendingReplies {
			b = appendUvarints(b, q.writeSeq-p.syncedWriteSeq, uint64(q.kind), q.term, uint64(q.recipient))
		}
		for id := range MemberID(20) {
			if q := p.peers[id]; q != nil {
				b = appendUvarints(b, q.nextIndex, q.matchIndex, q.readSeq)
				if o := q.transfer.sender; o.Blob != nil {
					b = appendUvarints(o.Blob.id.newChunk(0, nil).key(b), o.ackedBytes, o.sentBytes, o.retransmittedFrom, uint64(p.now-o.lastProgressAt))
				}
				if c.judgesContact {
					b = appendUvarints(b, uint64(q.lastReceivedClock), uint64(q.lastContactAt))
				}
			}
			if q, ok := p.votes[id]; ok && p.role == roleCandidate {
				b = appendUvarints(b, q.term, q.index)
			}
		}
		if c.judgesContact {
			b = appendUvarints(b, uint64(p.leaderClock), uint64(p.quorumContact.lastContactAt), p.quorumContact.term)
		}
		b = appendEntries(appendUvarints(b, s.disk.Term, uint64(s.disk.Vote), s.disk.Commit), s.disk.Entries)
		for _, q := range s.writes {
			b = appendEntries(appendUvarints(b, q.Term, q.FirstIndex, q.Commit), q.Entries)
		}
	}
	var flight []string
	for _, f := range c.inflight {
		flight = append(flight, string(f.key(nil, c.judgesContact)))
	}
	slices.Sort(flight)
	b = append(b, fmt.Sprint(c.budget, c.now, c.committedAt)...)
	for _, f := range flight {
		b = append(b, f...)
	}
	return maphash.Bytes(seed, b)
}

var seed = maphash.MakeSeed()

// explore takes all steps in all orders, breadth first, until so many states were seen.
func explore(w *cluster, most int) (seen int, wrong string) {
	known := map[uint64]bool{w.key(): true}
	for line := []*cluster{w}; len(line) > 0 && len(known) < most; {
		w := line[0]
		line[0], line = nil, line[1:]
		w.nextSteps(func(what string, act func(*cluster)) {
			if wrong != "" || len(known) >= most {
				return
			}
			c := w.clone()
			c.path = &traceStep{w.path, what}
			func() {
				defer func() {
					if r := recover(); r != nil { // a debug build's check
						c.fail("%v", r)
					}
				}()
				act(c)
				c.dropStale()
				c.checkContact()
			}()
			if c.violation != "" {
				wrong = c.violation + c.path.String()
			}
			if k := c.key(); !known[k] {
				known[k] = true
				line = append(line, c)
			}
		})
		if wrong != "" {
			break
		}
	}
	return len(known), wrong
}

// electAmong has a member start an election in which only some others vote; all other messages are lost.
func (c *cluster) electAmong(i int, with ...int) {
	c.members[i].replica.startElection()
	c.drainActions(i)
	c.sync(i)
	c.deliverAmong([]int{i}, with)
	c.syncAll(with...)
	c.deliverAmong(with, []int{i})
	if c.members[i].replica.role == roleCandidate { // another's log is newer
		c.deliverAmong([]int{i}, with)
		c.deliverAmong(with, []int{i})
	}
	c.sync(i)
}

// syncAll lets some have on disk all that they wrote.
func (c *cluster) syncAll(which ...int) {
	for _, i := range which {
		for len(c.members[i].writes) > 0 {
			c.sync(i)
		}
	}
}

// deliverFromTo delivers all messages of one member to another; the others are lost.
func (c *cluster) deliverFromTo(from, to int) { c.deliverAmong([]int{from}, []int{to}) }

// deliverAmong delivers all messages of some members to some others; the rest is lost.
func (c *cluster) deliverAmong(from, to []int) {
	in := func(which []int, id MemberID) bool {
		return slices.ContainsFunc(which, func(i int) bool { return c.members[i].disk.ID == id })
	}
	c.inflight = slices.DeleteFunc(c.inflight, func(f inflightMessage) bool { return !in(from, f.from) || !in(to, f.sent.Recipient.ID) })
	for n := len(c.inflight); n > 0; n-- {
		c.deliver(0)
	}
}

// propose has an entry that only the first member has so far.
func (c *cluster) propose() *cluster {
	c.members[0].replica.Propose(1, []byte("x"))
	c.drainActions(0)
	return c
}

// inChunks has all go in chunks of a byte, two in flight.
func (c *cluster) inChunks() *cluster {
	c.config.MaxInflightBytes, c.config.ChunkBytes, c.config.TrailingBytes = 2, 1, 64<<10
	for _, s := range c.members {
		s.replica.config = c.config
	}
	return c
}

// commitOnTwo has so many delivered by the first two, which both compact, while the third hears nothing.
func (c *cluster) commitOnTwo(all ...string) *cluster {
	for _, data := range all {
		c.members[0].replica.Propose(1, []byte(data))
		for range 3 {
			c.drainActions(0)
			c.syncAll(0)
			c.deliverAmong([]int{0}, []int{1})
			c.syncAll(1)
			c.deliverAmong([]int{1}, []int{0})
		}
		c.heartbeat(0)
		c.deliverAmong([]int{0}, []int{1})
		c.inflight = nil
	}
	c.compact(0)
	c.compact(1)
	c.syncAll(0, 1)
	for _, s := range c.members { // as after a restart: only what is not in the snapshot is in memory
		s.replica.log.trailing = nil
	}
	return c
}

// A scenario is what has happened before all orders of what may come are explored, and the mutations that this must find.
type scenario struct {
	name      string
	make      func(mutation) *cluster
	mutations []mutation
}

var scenarios = []scenario{
	{"a proposal, an election, a loss of power", func(planted mutation) *cluster {
		return newCluster(3, 0, planted, stepBudget{elections: 1, crashes: 1}).propose()
	}, []mutation{ackUnsynced, forgetVotes, voteBeforeSync, electByMinority, leadWithoutNewestLog}},
	{"a former leader's appends come late", func(planted mutation) *cluster {
		w := newCluster(3, 0, planted, stepBudget{proposals: 1, heartbeats: 1}).propose()
		late := w.inflight
		w.electAmong(1, 2)
		w.inflight = append(w.inflight, late...)
		return w
	}, []mutation{acceptStaleTerm}},
	{"two elections at once", func(planted mutation) *cluster {
		return newCluster(3, 0, planted, stepBudget{elections: 2, proposals: 1})
	}, []mutation{ackUnsynced}},
	{"a lost disk", func(planted mutation) *cluster {
		w := newCluster(3, 0, planted, stepBudget{elections: 1, wipes: 1, heartbeats: 1}).propose()
		w.deliverFromTo(0, 2)
		return w
	}, []mutation{countWipedDisk}},
	{"a member for another", func(planted mutation) *cluster {
		w := newCluster(3, 1, planted, stepBudget{elections: 1})
		w.members[0].replica.AddMember(w.members[3].replica.self, 3)
		for w.drainActions(0); w.members[0].replica.isLatestConfigCommitted(); w.drainActions(0) {
			w.deliver(0)
			if len(w.members[3].writes) > 0 {
				w.sync(3)
			}
		}
		return w
	}, []mutation{singleMajority}},
	{"a member to be", func(planted mutation) *cluster {
		w := newCluster(3, 1, planted, stepBudget{elections: 1})
		w.members[0].replica.config.MaxMessageBytes = 1 << 10 // it is sent more at once than was committed
		w.members[0].replica.AddMember(w.members[3].replica.self, 0)
		w.drainActions(0)
		w.propose().syncAll(0)
		for range 2 {
			w.deliverFromTo(0, 3)
			w.syncAll(3)
			w.deliverFromTo(3, 0)
		}
		return w
	}, []mutation{countLearner}},
	{"two candidates of one term", func(planted mutation) *cluster {
		w := newCluster(3, 0, planted, stepBudget{proposals: 1, heartbeats: 1})
		for _, i := range []int{1, 2} {
			w.members[i].replica.startElection()
			w.drainActions(i)
			w.syncAll(i)
		}
		return w
	}, []mutation{voteTwice}},
	{"what only the former leader has", func(planted mutation) *cluster {
		w := newCluster(3, 0, planted, stepBudget{elections: 1, crashes: 1, heartbeats: 1}).propose()
		w.sync(0)
		w.electAmong(1, 2)
		return w
	}, []mutation{skipTruncation}},
	{"an earlier term's entry", func(planted mutation) *cluster {
		w := newCluster(3, 0, planted, stepBudget{elections: 1}).propose()
		w.sync(0)
		w.electAmong(1, 2)
		w.heartbeat(0)
		w.deliverFromTo(0, 1)
		w.deliverFromTo(1, 0)
		w.electAmong(0, 2)
		w.members[1].replica.Step(1, Message{Kind: MsgRequestVote, ClusterID: w.members[1].replica.clusterID, Recipient: 2, Term: 4})
		w.drainActions(1)
		return w
	}, []mutation{commitEarlierTerms}},
	{"a proposal behind an entry of another term", func(planted mutation) *cluster {
		w := newCluster(3, 0, planted, stepBudget{proposals: 1, heartbeats: 1}).propose()
		w.sync(0)
		w.electAmong(1, 2)
		return w
	}, []mutation{skipLogMatching}},
	{"an acknowledgement comes two terms late", func(planted mutation) *cluster {
		w := newCluster(3, 0, planted, stepBudget{elections: 1, crashes: 1, heartbeats: 1}).propose().propose()
		w.deliverFromTo(0, 1)
		w.syncAll(1)
		late := w.inflight
		w.start(0)
		w.electAmong(2, 0)
		w.deliverFromTo(2, 1)
		w.syncAll(1)
		w.electAmong(0, 2)
		w.inflight = append(w.inflight, late...)
		return w
	}, []mutation{countStaleAcks}},
	{"a snapshot in chunks", func(planted mutation) *cluster {
		w := newCluster(3, 0, planted, stepBudget{crashes: 1, heartbeats: 1, duplicates: 1}).inChunks().commitOnTwo("a", "b", "c")
		w.heartbeat(0)
		w.deliverFromTo(0, 2)
		w.deliverFromTo(2, 0)
		return w
	}, []mutation{skipChunks, installPartial}},
	{"a newer snapshot midway", func(planted mutation) *cluster {
		w := newCluster(3, 0, planted, stepBudget{heartbeats: 1, proposals: 1, compactions: 1, crashes: 1}).inChunks().commitOnTwo("a", "b", "c")
		w.heartbeat(0)
		w.deliverFromTo(0, 2)
		w.deliverFromTo(2, 0)
		return w
	}, []mutation{installPartial}},
	{"a new leader with a newer snapshot midway", func(planted mutation) *cluster {
		w := newCluster(3, 0, planted, stepBudget{heartbeats: 1, crashes: 1, duplicates: 1}).inChunks().commitOnTwo("a", "b", "c")
		w.heartbeat(0)
		w.deliverFromTo(0, 2)
		w.deliverFromTo(2, 0)
		w.deliver(0) // one chunk is had, another of the former leader's is on its way
		late := w.inflight
		w.commitOnTwo("d")
		w.electAmong(1, 0)
		w.inflight = append(w.inflight, late...)
		return w
	}, []mutation{mixBlobs}},
	{"a large entry in chunks, and another that replaces it", func(planted mutation) *cluster {
		w := newCluster(3, 0, planted, stepBudget{heartbeats: 1, crashes: 1}).inChunks()
		w.members[0].replica.Propose(1, []byte("xyz"))
		w.drainActions(0)
		late := w.inflight
		w.deliverFromTo(0, 2)
		w.electAmong(1, 2)
		w.deliverAmong([]int{1}, []int{2})
		w.syncAll(2)
		w.deliverAmong([]int{2}, []int{1})
		w.members[1].replica.Propose(1, []byte("XYZ"))
		w.drainActions(1)
		w.inflight = append(w.inflight, late...)
		return w
	}, []mutation{mixBlobs}},
	{"five: a proposal, an election, a loss of power", func(planted mutation) *cluster {
		w := newCluster(5, 0, planted, stepBudget{crashes: 1}).propose()
		w.syncAll(0)
		late := slices.DeleteFunc(slices.Clone(w.inflight), func(m inflightMessage) bool { return m.sent.Recipient.ID != w.members[2].disk.ID })
		w.deliverFromTo(0, 1)
		w.syncAll(1)
		w.deliverFromTo(1, 0) // one more is enough
		w.members[3].replica.startElection()
		w.drainActions(3)
		w.syncAll(3)
		w.deliverAmong([]int{3}, []int{2, 4})
		w.syncAll(4)
		w.inflight = append(w.inflight, late...)
		return w
	}, []mutation{forgetVotes, voteBeforeSync, electByMinority}},
	{"five: another has the newest log", func(planted mutation) *cluster {
		w := newCluster(5, 0, planted, stepBudget{elections: 1}).propose()
		w.syncAll(0)
		w.deliverAmong([]int{0}, []int{1, 2})
		w.syncAll(1, 2)
		w.deliverAmong([]int{1, 2}, []int{0})
		w.members[3].replica.startElection()
		w.drainActions(3)
		w.syncAll(3)
		return w
	}, []mutation{leadWithoutNewestLog, electByMinority}},
	{"five: what only two have", func(planted mutation) *cluster {
		w := newCluster(5, 0, planted, stepBudget{proposals: 1, heartbeats: 1}).propose()
		w.sync(0)
		w.deliverAmong([]int{0}, []int{1})
		w.sync(1)
		w.electAmong(2, 3, 4)
		return w
	}, []mutation{skipTruncation, skipLogMatching}},
	{"five: a lost disk", func(planted mutation) *cluster {
		w := newCluster(5, 0, planted, stepBudget{elections: 1, wipes: 1}).propose()
		w.sync(0)
		w.deliverAmong([]int{0}, []int{1, 2})
		w.sync(1)
		w.sync(2)
		w.deliverAmong([]int{1, 2}, []int{0})
		return w
	}, []mutation{countWipedDisk}},
	{"a lost member is replaced, and the leader is lost", func(planted mutation) *cluster {
		w := newCluster(3, 1, planted, stepBudget{elections: 1, losses: 1, restarts: 1, replacements: 1})
		w.takeDown(2)
		return w
	}, []mutation{promoteEarly}},
	{"a replaced member is back and starts an election", func(planted mutation) *cluster {
		w := newCluster(3, 1, planted, stepBudget{elections: 2, restarts: 1, proposals: 1}).replaceMember(2, 3)
		w.propose()
		w.deliverFromTo(0, 3)
		w.syncAll(0, 3)
		return w
	}, []mutation{ackUnsynced}},
	{"the previous members start an election while one is replaced", func(planted mutation) *cluster {
		w := newCluster(3, 1, planted, stepBudget{elections: 1, restarts: 1})
		w.takeDown(2)
		w.members[0].replica.AddMember(w.members[3].replica.self, 3)
		for w.drainActions(0); w.members[0].replica.isLatestConfigCommitted(); w.drainActions(0) {
			w.deliver(0)
			w.syncAll(3)
		}
		return w
	}, []mutation{singleMajority}},
	{"a learner is lost and another comes", func(planted mutation) *cluster {
		w := newCluster(3, 2, planted, stepBudget{elections: 1, restarts: 2, replacements: 1})
		w.takeDown(2)
		w.members[0].replica.AddMember(w.members[3].replica.self, 3)
		w.drainActions(0)
		w.deliverFromTo(0, 3)
		w.deliverFromTo(3, 0)
		w.takeDown(3)
		w.members[0].replica.dropLearner()
		return w
	}, []mutation{promoteEarly}},
	{"a lost disk at a member's address while another is down", func(planted mutation) *cluster {
		w := newCluster(3, 1, planted, stepBudget{elections: 1, restarts: 1, replacements: 1})
		w.takeDown(2)
		w.propose().deliverAll()
		w.wipeDisk(1)
		w.members[0].replica.AddMember(w.members[1].replica.self, 0)
		w.drainActions(0)
		return w
	}, []mutation{countWipedDisk}},
	{"five: two are lost, one is replaced, the other in turn", func(planted mutation) *cluster {
		w := newCluster(5, 2, planted, stepBudget{elections: 1, losses: 1, replacements: 1}).replaceMember(4, 5)
		w.takeDown(3)
		return w
	}, []mutation{promoteEarly}},
	{"five: the lost one starts an election as another replaces it, and one more is lost", func(planted mutation) *cluster {
		w := newCluster(5, 1, planted, stepBudget{losses: 1})
		w.takeDown(4)
		w.members[0].replica.AddMember(w.members[5].replica.self, 5)
		for w.drainActions(0); w.members[0].replica.isLatestConfigCommitted(); w.drainActions(0) {
			w.deliver(0)
			w.syncAll(5)
		}
		w.syncAll(0)
		w.deliverAmong([]int{0}, []int{1, 5})
		w.syncAll(1, 5)
		late := w.inflight
		w.start(4)
		w.members[4].replica.startElection()
		w.drainActions(4)
		w.syncAll(4)
		w.deliverAmong([]int{4}, []int{2, 3})
		w.inflight = append(w.inflight, late...)
		return w
	}, []mutation{singleMajority}},
}

// maxStates is how many states are seen of each scenario, unless REPLICATION_STAGES says otherwise.
func maxStates(usual int) int {
	if n, err := strconv.Atoi(os.Getenv("REPLICATION_STAGES")); err == nil {
		return n
	}
	return usual
}

func TestAllOrders(t *testing.T) { exploreAll(t, scenarios) }

// exploreAll finds nothing in any scenario.
func exploreAll(t *testing.T, all []scenario) {
	t.Helper()
	for _, s := range all {
		t.Run(s.name, func(t *testing.T) {
			t.Parallel()
			seen, wrong := explore(s.make(noMutation), maxStates(10_000))
			t.Log(seen, "states")
			must.Eq(t, "", wrong)
		})
	}
}
