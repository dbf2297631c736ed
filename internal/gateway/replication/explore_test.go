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

// cluster is one state of the explorer's model: the members with a simulated disk each, and the messages in flight between them.
// explore takes all steps that can follow, in every order.
type cluster struct {
	members        []*simMember
	inflight       []inflightMessage
	committed      []Entry           // from index 2 on, as the first member to apply an entry received it
	wipedDisks     []PersistentState // contents at the time of the wipe: their entries were acknowledged correctly, so checkCommit counts them as copies
	budget         stepBudget
	mutation       mutation
	config         Config
	violation      string
	path           *traceStep
	currentMembers []Member               // the newest committed member list
	configBases    map[logPosition]uint64 // by term and index of a member list: the commit index of its leader when it appended the list

	judgesContact bool // enables now and checkContact: see contact_test.go
	// now is the simulated time. It stays 0 unless contact is checked.
	now         time.Duration
	committedAt []time.Duration // when each entry of committed was first committed
}

// simMember is a node of the model: its replica, and its simulated disk.
type simMember struct {
	replica *Replica
	disk    PersistentState
	writes  []Write // handed out by the replica, not synced yet
	ledTerm uint64  // the newest term in which the member was seen to lead; 0: none
	down    bool    // the process does not run, until start is called
}

type inflightMessage struct {
	from MemberID
	sent Send
}

// stepBudget is how many more steps of each kind nextSteps may offer.
type stepBudget struct{ elections, crashes, wipes, proposals, heartbeats, ticks, losses, restarts, replacements, duplicates, compactions int }

// traceStep is the last step on the way to a state, linked to the steps before it.
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

// timelessConfig keeps time from starting anything: elections, heartbeats and retransmissions occur only as steps of the explorer.
// MaxMessageBytes limits a message to one entry.
var timelessConfig = Config{ElectionTimeout: 1, ElectionJitter: 1, QuorumTimeout: time.Hour, LearnerTimeout: time.Hour, MaxPending: 9,
	MaxMessageBytes: 1, CommitNotifyDelay: time.Hour,
	HeartbeatInterval: time.Hour, RetransmitTimeout: 1}

// newCluster returns a bootstrapped cluster whose first member leads term 2, and further nodes with empty disks.
func newCluster(members, beside int, planted mutation, left stepBudget) *cluster {
	return newClusterOf(ConfigurationLog, members, beside, planted, left)
}

// newClusterOf is newCluster for one of several logs on the same disks.
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
			panic("bootstrap of the first member list failed")
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

// start starts member i with what its disk has. Writes that were not synced are lost.
func (c *cluster) start(i int) {
	s := c.members[i]
	s.writes, s.down = nil, false
	s.replica = New(Member{s.disk.ID, fmt.Sprint("node", i)}, s.disk, c.config, 1, 0)
	c.drainActions(i)
}

// fail records a violation of an invariant, if it is the first one.
func (c *cluster) fail(f string, a ...any) {
	if c.violation == "" {
		c.violation = fmt.Sprintf(f, a...)
	}
}

// drainActions carries out the actions of member i. It checks that applied entries and restored state agree between members, that
// a term has at most one leader, and that a leader has all committed entries.
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
				c.fail("member %d restored state %q at index %d, want %q", s.disk.ID, a.State, a.Index, all)
			}
		}
	}
	if s.replica.role == roleLeader && s.replica.term > s.ledTerm {
		s.ledTerm = s.replica.term
		if slices.ContainsFunc(c.members, func(o *simMember) bool { return o != s && o.ledTerm == s.ledTerm }) {
			c.fail("two members lead term %d", s.ledTerm)
		}
		for _, e := range c.committed {
			if v, ok := s.replica.log.termAt(e.Index); e.Index > s.replica.log.snapshot.Index && (!ok || v != e.Term) {
				c.fail("member %d leads term %d but lacks committed entry %d", s.replica.self.ID, s.replica.term, e.Index)
			}
		}
	}
}

func sameEntry(a, b Entry) bool {
	return a.Index == b.Index && a.Term == b.Term && a.Kind == b.Kind && string(a.Data) == string(b.Data)
}

// hasEntry reports whether a disk has an entry, in its log or compacted into its snapshot.
func hasEntry(k PersistentState, e Entry) bool {
	n := e.Index - k.Snapshot.Index - 1
	return k.Snapshot.Index >= e.Index || n < uint64(len(k.Entries)) && sameEntry(k.Entries[n], e)
}

// checkCommit checks an entry that member i applied: all members must apply the same entry at an index, and the entry must be on
// the disks of a majority. Disks that were wiped since count too.
func (c *cluster) checkCommit(i int, e Entry) {
	if n := e.Index - 2; n < uint64(len(c.committed)) {
		if !sameEntry(c.committed[n], e) {
			c.fail("index %d: the entry committed first has term %d, a different entry of term %d was committed later", e.Index, c.committed[n].Term, e.Term)
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
		c.fail("entry %d was committed but is not on the disks of a majority", e.Index)
	}
}

// stateAt returns the host's state after the entries up to an index: their data, the newest first. In this order the states of two
// indexes differ at every offset, so that mixed chunks of two snapshots are detected.
func (c *cluster) stateAt(upto uint64) (all string) {
	for _, e := range c.committed[:min(uint64(len(c.committed)), max(upto, 1)-1)] {
		all = string(e.Data) + all
	}
	return all
}

// compact makes member i compact its log up to its commit index.
func (c *cluster) compact(i int) {
	p := c.members[i].replica
	p.Compact(p.commitIndex, []byte(c.stateAt(p.commitIndex)))
	c.drainActions(i)
}

// checkMembers checks a member list that was committed. From then on any members may be lost, as many as the list's size tolerates. So
// each new member must have the log up to what the leader knew to be committed when it appended the list. The list must also not be
// shorter than the one before it.
func (c *cluster) checkMembers(e Entry) {
	was := c.currentMembers
	if c.currentMembers = e.Members; len(e.Members) < len(was) {
		c.fail("member list at index %d has %d members, fewer than the list before it", e.Index, len(e.Members))
	}
	for _, s := range c.members {
		is := func(m Member) bool { return m.ID == s.disk.ID }
		have, base := s.disk.Snapshot.Index+uint64(len(s.disk.Entries)), c.configBases[logPosition{e.Term, e.Index}]
		if slices.ContainsFunc(e.Members, is) && !slices.ContainsFunc(was, is) && !s.down && have < base {
			c.fail("member list at index %d was committed, but its new member %d has the log up to %d, want %d", e.Index, s.disk.ID, have, base)
		}
	}
}

// sync completes the oldest pending write of member i.
func (c *cluster) sync(i int) {
	s := c.members[i]
	s.disk.Apply(s.writes[0])
	nr := s.writes[0].Seq
	s.writes = s.writes[1:]
	c.tick(i)
	s.replica.ReportSynced(nr)
	c.drainActions(i)
}

// deliver delivers message n of those in flight. The message is lost if no running member has the recipient's address.
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

// heartbeat makes member i send a heartbeat to all others.
func (c *cluster) heartbeat(i int) {
	c.tick(i)
	if !c.judgesContact {
		// RetransmitTimeout passes: chunks that nobody acknowledged are sent again.
		c.members[i].replica.now++
	}
	c.members[i].replica.broadcastHeartbeat()
	c.drainActions(i)
}

// deliverAll completes all writes and delivers all messages in order, until none is left.
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

// dropStale removes messages that can't have an effect any more: those to disks that are gone, and responses to a member that has a
// newer term on disk.
func (c *cluster) dropStale() {
	c.inflight = slices.DeleteFunc(slices.Clone(c.inflight), func(f inflightMessage) bool {
		to := slices.IndexFunc(c.members, func(s *simMember) bool { return s.disk.ID == f.sent.Recipient.ID })
		k := f.sent.Message.Kind
		return to < 0 || f.sent.Message.Term < c.members[to].disk.Term && k != MsgAppend && k != MsgRequestVote
	})
}

// nextSteps calls do with each step that can come next. A message that is not delivered stands for one that is lost or delayed.
func (c *cluster) nextSteps(do func(what string, act func(*cluster))) {
	for n, m := range c.inflight {
		key := string(m.key(nil, c.judgesContact))
		if !slices.ContainsFunc(c.inflight[:n], func(o inflightMessage) bool { return string(o.key(nil, c.judgesContact)) == key }) {
			k := m.sent.Message
			what := fmt.Sprintf("message from %d to %d: kind=%d term=%d index=%d", m.from, m.sent.Recipient.ID, k.Kind, k.Term, k.Index)
			do(what, func(w *cluster) { w.deliver(n) })
			if k.Chunk != nil && c.budget.duplicates > 0 {
				do(what+" (duplicated)", func(w *cluster) {
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
				do(fmt.Sprintf("member %d starts again", id), func(w *cluster) { w.budget.restarts--; w.start(i) })
			}
			continue
		}
		if c.budget.losses > 0 {
			do(fmt.Sprintf("member %d stops", id), func(w *cluster) { w.budget.losses--; w.takeDown(i) })
		}
		if c.budget.replacements > 0 && s.replica.role == roleLeader {
			c.nextReplacements(i, do)
		}
		if len(s.writes) > 0 {
			do(fmt.Sprintf("member %d completes a write", id), func(w *cluster) { w.sync(i) })
		}
		if c.budget.crashes > 0 {
			do(fmt.Sprintf("member %d crashes and restarts", id), func(w *cluster) { w.budget.crashes--; w.start(i) })
		}
		if c.budget.wipes > 0 && s.replica.Bootstrapped() {
			do(fmt.Sprintf("member %d restarts with an empty disk", id), func(w *cluster) { w.budget.wipes--; w.wipeDisk(i) })
		}
		if c.budget.elections > 0 && s.replica.role != roleLeader && s.replica.isMember(id) {
			do(fmt.Sprintf("member %d starts an election", id), func(w *cluster) { w.budget.elections--; w.members[i].replica.startElection(); w.drainActions(i) })
		}
		if c.budget.proposals > 0 && s.replica.role == roleLeader {
			do(fmt.Sprintf("member %d proposes an entry", id), func(w *cluster) {
				w.budget.proposals--
				w.members[i].replica.Propose(1, []byte{byte(w.budget.proposals)})
				w.drainActions(i)
			})
		}
		if c.budget.compactions > 0 && s.replica.commitIndex > s.replica.log.snapshot.Index {
			do(fmt.Sprintf("member %d compacts its log", id), func(w *cluster) { w.budget.compactions--; w.compact(i) })
		}
		if c.budget.heartbeats > 0 && s.replica.role == roleLeader {
			do(fmt.Sprintf("member %d sends heartbeats", id), func(w *cluster) { w.budget.heartbeats--; w.heartbeat(i) })
		}
	}
	if c.budget.ticks > 0 {
		do("one second passes", func(w *cluster) { w.budget.ticks--; w.now += time.Second })
	}
}

// takeDown stops member i. Its disk keeps the writes that were synced.
func (c *cluster) takeDown(i int) { c.members[i].down, c.members[i].writes = true, nil }

// nextReplacements calls do with each replacement that leader i can begin: any running node that is no member, for any member that has
// stopped.
func (c *cluster) nextReplacements(i int, do func(what string, act func(*cluster))) {
	p := c.members[i].replica
	for _, in := range c.members {
		for _, out := range c.members {
			if from, to := in.replica.self, out.replica.self.ID; !in.down && out.down && !p.isMember(from.ID) && p.isMember(to) {
				do(fmt.Sprintf("leader %d replaces: new member %d, lost member %d", p.self.ID, from.ID, to), func(w *cluster) {
					w.budget.replacements--
					w.members[i].replica.AddMember(from, to)
					w.drainActions(i)
				})
			}
		}
	}
}

// replaceMember stops a member and lets the first member replace it by another node, until the new member list is committed.
func (c *cluster) replaceMember(out, in int) *cluster {
	c.takeDown(out)
	c.members[0].replica.AddMember(c.members[in].replica.self, c.members[out].disk.ID)
	c.drainActions(0)
	c.deliverAll()
	c.heartbeat(0)
	c.deliverAll()
	return c
}

// wipeDisk restarts member i with an empty disk, which has a new member ID. With the mutation countWipedDisk it keeps its ID.
func (c *cluster) wipeDisk(i int) {
	s := c.members[i]
	c.wipedDisks = append(slices.Clone(c.wipedDisks), s.disk)
	if s.disk = (PersistentState{ID: s.disk.ID + 10}); c.mutation == countWipedDisk {
		s.disk.ID -= 10
	}
	c.start(i)
}

// clone returns a copy on which steps can be taken without a change to the original. Slices that are only appended to are clipped, not
// copied.
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

// appendEntries appends an encoding of entries to b. It is a part of the keys of states.
func appendEntries(b []byte, all []Entry) []byte {
	b = appendUvarints(b, uint64(len(all)))
	for _, e := range all {
		b = append(appendUvarints(b, e.Index, e.Term, uint64(e.Kind), uint64(len(e.Data))), e.Data...)
	}
	return b
}

// key appends an encoding of the message to b, by which duplicates are found. If timed is true it has the message's clocks too.
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

// key appends an encoding of the chunk to b.
func (c *Chunk) key(b []byte) []byte {
	return append(appendUvarints(b, c.Index, c.View, c.Sum, c.Size, c.Offset), c.Data...)
}

// key returns a hash by which states are distinguished: two states with the same key have the same next steps.
func (c *cluster) key() uint64 {
	var b []byte
	for _, s := range c.members {
		p := s.replica
		b = appendUvarints(b, uint64(p.self.ID), uint64(p.role), p.term, uint64(p.votedFor), uint64(p.leaderID),
			p.commitIndex, p.syncedIndex, p.nextWriteSeq-p.syncedWriteSeq, p.matchIndex, p.readSeq, p.ackedReadSeq, p.maxSeenTerm, uint64(p.fetchingLogFrom),
			p.termStartIndex, p.log.snapshot.Index, uint64(len(p.unsyncedWrites)),
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

// explore takes all possible steps in every order, breadth first, until a number of distinct states was seen or an invariant is violated.
// It returns how many states were seen, and the violation with the steps that led to it; empty if there is none.
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
					if r := recover(); r != nil { // a violated invariant panics in a debug build
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

// electAmong makes member i start an election in which only the given other members vote. All messages to others are lost.
func (c *cluster) electAmong(i int, with ...int) {
	c.members[i].replica.startElection()
	c.drainActions(i)
	c.sync(i)
	c.deliverAmong([]int{i}, with)
	c.syncAll(with...)
	c.deliverAmong(with, []int{i})
	if c.members[i].replica.role == roleCandidate { // another member has a newer log, which the candidate fetches
		c.deliverAmong([]int{i}, with)
		c.deliverAmong(with, []int{i})
	}
	c.sync(i)
}

// syncAll completes all pending writes of the given members.
func (c *cluster) syncAll(which ...int) {
	for _, i := range which {
		for len(c.members[i].writes) > 0 {
			c.sync(i)
		}
	}
}

// deliverFromTo delivers all messages in flight from one member to another. All other messages in flight are lost.
func (c *cluster) deliverFromTo(from, to int) { c.deliverAmong([]int{from}, []int{to}) }

// deliverAmong delivers all messages in flight from some members to some others. All other messages in flight are lost.
func (c *cluster) deliverAmong(from, to []int) {
	in := func(which []int, id MemberID) bool {
		return slices.ContainsFunc(which, func(i int) bool { return c.members[i].disk.ID == id })
	}
	c.inflight = slices.DeleteFunc(c.inflight, func(f inflightMessage) bool { return !in(from, f.from) || !in(to, f.sent.Recipient.ID) })
	for n := len(c.inflight); n > 0; n-- {
		c.deliver(0)
	}
}

// propose makes the first member propose an entry. The entry is not synced, and the messages with it are in flight.
func (c *cluster) propose() *cluster {
	c.members[0].replica.Propose(1, []byte("x"))
	c.drainActions(0)
	return c
}

// inChunks makes all members send what is larger than two bytes in chunks of one byte, two of them in flight at a time.
func (c *cluster) inChunks() *cluster {
	c.config.MaxInflightBytes, c.config.ChunkBytes, c.config.TrailingBytes = 2, 1, 64<<10
	for _, s := range c.members {
		s.replica.config = c.config
	}
	return c
}

// commitOnTwo commits an entry for each data on the first two members, which then compact their logs. All messages to the third
// member are lost.
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
	// Without a trailing log, as after a restart, the entries of the snapshot are not in memory: a member that lacks them needs the snapshot.
	for _, s := range c.members {
		s.replica.log.trailing = nil
	}
	return c
}

// scenario is a state from which explore takes all possible steps, and the mutations that explore must detect from there.
type scenario struct {
	name      string
	make      func(mutation) *cluster
	mutations []mutation
}

// scenarios check all invariants but those of quorum contact, for which see contactScenarios.
var scenarios = []scenario{
	{"a proposal, an election and a crash", func(planted mutation) *cluster {
		return newCluster(3, 0, planted, stepBudget{elections: 1, crashes: 1}).propose()
	}, []mutation{ackUnsynced, forgetVotes, voteBeforeSync, electByMinority, leadWithoutNewestLog}},
	{"appends of a former leader arrive late", func(planted mutation) *cluster {
		w := newCluster(3, 0, planted, stepBudget{proposals: 1, heartbeats: 1}).propose()
		late := w.inflight
		w.electAmong(1, 2)
		w.inflight = append(w.inflight, late...)
		return w
	}, []mutation{acceptStaleTerm}},
	{"two concurrent elections", func(planted mutation) *cluster {
		return newCluster(3, 0, planted, stepBudget{elections: 2, proposals: 1})
	}, []mutation{ackUnsynced}},
	{"a member restarts with an empty disk", func(planted mutation) *cluster {
		w := newCluster(3, 0, planted, stepBudget{elections: 1, wipes: 1, heartbeats: 1}).propose()
		w.deliverFromTo(0, 2)
		return w
	}, []mutation{countWipedDisk}},
	{"a member is replaced by another", func(planted mutation) *cluster {
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
	{"a learner receives entries", func(planted mutation) *cluster {
		w := newCluster(3, 1, planted, stepBudget{elections: 1})
		// One message may carry entries beyond the commit index.
		w.members[0].replica.config.MaxMessageBytes = 1 << 10
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
	{"two candidates in one term", func(planted mutation) *cluster {
		w := newCluster(3, 0, planted, stepBudget{proposals: 1, heartbeats: 1})
		for _, i := range []int{1, 2} {
			w.members[i].replica.startElection()
			w.drainActions(i)
			w.syncAll(i)
		}
		return w
	}, []mutation{voteTwice}},
	{"an entry that only the former leader has", func(planted mutation) *cluster {
		w := newCluster(3, 0, planted, stepBudget{elections: 1, crashes: 1, heartbeats: 1}).propose()
		w.sync(0)
		w.electAmong(1, 2)
		return w
	}, []mutation{skipTruncation}},
	{"an uncommitted entry of an earlier term", func(planted mutation) *cluster {
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
	{"a proposal after an entry of another term", func(planted mutation) *cluster {
		w := newCluster(3, 0, planted, stepBudget{proposals: 1, heartbeats: 1}).propose()
		w.sync(0)
		w.electAmong(1, 2)
		return w
	}, []mutation{skipLogMatching}},
	{"an acknowledgement arrives two terms late", func(planted mutation) *cluster {
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
	{"a newer snapshot during a transfer", func(planted mutation) *cluster {
		w := newCluster(3, 0, planted, stepBudget{heartbeats: 1, proposals: 1, compactions: 1, crashes: 1}).inChunks().commitOnTwo("a", "b", "c")
		w.heartbeat(0)
		w.deliverFromTo(0, 2)
		w.deliverFromTo(2, 0)
		return w
	}, []mutation{installPartial}},
	{"a new leader with a newer snapshot during a transfer", func(planted mutation) *cluster {
		w := newCluster(3, 0, planted, stepBudget{heartbeats: 1, crashes: 1, duplicates: 1}).inChunks().commitOnTwo("a", "b", "c")
		w.heartbeat(0)
		w.deliverFromTo(0, 2)
		w.deliverFromTo(2, 0)
		// The third member has one chunk. Another chunk of the former leader is in flight.
		w.deliver(0)
		late := w.inflight
		w.commitOnTwo("d")
		w.electAmong(1, 0)
		w.inflight = append(w.inflight, late...)
		return w
	}, []mutation{mixBlobs}},
	{"a large entry in chunks is replaced by another entry", func(planted mutation) *cluster {
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
	{"five members: a proposal, an election and a crash", func(planted mutation) *cluster {
		w := newCluster(5, 0, planted, stepBudget{crashes: 1}).propose()
		w.syncAll(0)
		late := slices.DeleteFunc(slices.Clone(w.inflight), func(m inflightMessage) bool { return m.sent.Recipient.ID != w.members[2].disk.ID })
		w.deliverFromTo(0, 1)
		w.syncAll(1)
		// One more acknowledgement is enough for a majority.
		w.deliverFromTo(1, 0)
		w.members[3].replica.startElection()
		w.drainActions(3)
		w.syncAll(3)
		w.deliverAmong([]int{3}, []int{2, 4})
		w.syncAll(4)
		w.inflight = append(w.inflight, late...)
		return w
	}, []mutation{forgetVotes, voteBeforeSync, electByMinority}},
	{"five members: another member than the candidate has the newest log", func(planted mutation) *cluster {
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
	{"five members: an entry that only two members have", func(planted mutation) *cluster {
		w := newCluster(5, 0, planted, stepBudget{proposals: 1, heartbeats: 1}).propose()
		w.sync(0)
		w.deliverAmong([]int{0}, []int{1})
		w.sync(1)
		w.electAmong(2, 3, 4)
		return w
	}, []mutation{skipTruncation, skipLogMatching}},
	{"five members: a member restarts with an empty disk", func(planted mutation) *cluster {
		w := newCluster(5, 0, planted, stepBudget{elections: 1, wipes: 1}).propose()
		w.sync(0)
		w.deliverAmong([]int{0}, []int{1, 2})
		w.sync(1)
		w.sync(2)
		w.deliverAmong([]int{1, 2}, []int{0})
		return w
	}, []mutation{countWipedDisk}},
	{"a lost member is replaced and the leader is lost", func(planted mutation) *cluster {
		w := newCluster(3, 1, planted, stepBudget{elections: 1, losses: 1, restarts: 1, replacements: 1})
		w.takeDown(2)
		return w
	}, []mutation{promoteEarly}},
	{"a replaced member restarts and starts an election", func(planted mutation) *cluster {
		w := newCluster(3, 1, planted, stepBudget{elections: 2, restarts: 1, proposals: 1}).replaceMember(2, 3)
		w.propose()
		w.deliverFromTo(0, 3)
		w.syncAll(0, 3)
		return w
	}, []mutation{ackUnsynced}},
	{"an election among the previous members during a replacement", func(planted mutation) *cluster {
		w := newCluster(3, 1, planted, stepBudget{elections: 1, restarts: 1})
		w.takeDown(2)
		w.members[0].replica.AddMember(w.members[3].replica.self, 3)
		for w.drainActions(0); w.members[0].replica.isLatestConfigCommitted(); w.drainActions(0) {
			w.deliver(0)
			w.syncAll(3)
		}
		return w
	}, []mutation{singleMajority}},
	{"a learner is lost and another node becomes the learner", func(planted mutation) *cluster {
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
	{"an empty disk at a member's address while another member is down", func(planted mutation) *cluster {
		w := newCluster(3, 1, planted, stepBudget{elections: 1, restarts: 1, replacements: 1})
		w.takeDown(2)
		w.propose().deliverAll()
		w.wipeDisk(1)
		w.members[0].replica.AddMember(w.members[1].replica.self, 0)
		w.drainActions(0)
		return w
	}, []mutation{countWipedDisk}},
	{"five members: two members are lost and replaced one after the other", func(planted mutation) *cluster {
		w := newCluster(5, 2, planted, stepBudget{elections: 1, losses: 1, replacements: 1}).replaceMember(4, 5)
		w.takeDown(3)
		return w
	}, []mutation{promoteEarly}},
	{"five members: a lost member starts an election during its replacement, and one more is lost", func(planted mutation) *cluster {
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

// maxStates returns how many states of each scenario are explored: the value of REPLICATION_STAGES if it is set, else usual.
func maxStates(usual int) int {
	if n, err := strconv.Atoi(os.Getenv("REPLICATION_STAGES")); err == nil {
		return n
	}
	return usual
}

// Guards against diverging logs, lost committed entries and two leaders of one term. Such faults occur only in certain orders of messages,
// syncs, crashes and elections, so all orders are taken up to a number of states.
func TestAllOrders(t *testing.T) { exploreAll(t, scenarios) }

// exploreAll requires that explore finds no violation in any scenario.
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
