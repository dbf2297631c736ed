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

// cluster is one state of the state space that explore searches: the members with their simulated disks, and the messages in flight
// between the members. From this state, explore takes all possible steps in every order.
type cluster struct {
	members   []*simMember
	inflight  []inflightMessage
	committed []Entry // committed entries from index 2 on, as applied by the first member that applied each entry
	// wipedDisks are the contents of disks just before they were erased. Their entries had been acknowledged correctly, so checkCommit
	// counts these disks as copies.
	wipedDisks     []PersistentState
	budget         stepBudget
	mutation       mutation
	config         Config
	violation      string
	trace          *traceStep
	currentMembers []Member               // the newest committed member list
	configBases    map[logPosition]uint64 // by term and index of a member list: the commit index of its leader when it appended the list

	checksQuorumContact bool // whether the simulated time advances and checkQuorumContact checks the state: see contact_test.go
	// now is the simulated time since the start of the scenario. It stays 0 unless checksQuorumContact is true.
	now         time.Duration
	committedAt []time.Duration // simulated time at which each entry of committed was first committed
}

// simMember is a simulated node with its replica and its disk. It may be a member or a spare node.
type simMember struct {
	replica *Replica
	disk    PersistentState
	writes  []Write // writes that the replica returned and that are not on disk yet, in order
	ledTerm uint64  // the newest term in which the member was seen as the leader; 0: none
	down    bool    // the process does not run until startMember is called
}

// inflightMessage is a message that a member has sent and that is neither delivered nor lost.
type inflightMessage struct {
	from MemberID
	send Send
}

// stepBudget is the number of further steps of each kind that forEachNextStep may offer.
// A crash restarts a member at once, without the writes that were not synced. A loss stops a member until a restart. A wipe restarts a
// member with an empty disk. A replacement makes a leader add a node in place of a lost member. A duplicate delivers a message with a
// chunk and keeps a copy of the message in flight. A tick advances the simulated time by one second.
type stepBudget struct{ elections, crashes, wipes, proposals, heartbeats, ticks, losses, restarts, replacements, duplicates, compactions int }

// traceStep is the last step on the way to a state, linked to the steps before it.
type traceStep struct {
	previous    *traceStep
	description string
}

// String returns the descriptions of all steps in the order of their execution, each on a line of its own.
func (t *traceStep) String() string {
	if t == nil {
		return ""
	}
	return t.previous.String() + "\n  " + t.description
}

// timelessConfig is a configuration in which no timeout has an effect: elections, heartbeats and retransmissions occur only as steps of
// explore. MaxMessageBytes limits a message to one entry.
var timelessConfig = Config{ElectionTimeout: 1, ElectionJitter: 1, QuorumTimeout: time.Hour, LearnerTimeout: time.Hour, MaxPending: 9,
	MaxMessageBytes: 1, CommitNotifyDelay: time.Hour,
	HeartbeatInterval: time.Hour, RetransmitTimeout: 1}

// newCluster returns a bootstrapped cluster with memberCount members, whose first member leads term 2. It also has spareCount further nodes
// with empty disks, which are not members.
func newCluster(memberCount, spareCount int, planted mutation, budget stepBudget) *cluster {
	return newClusterForLog(ConfigurationLog, memberCount, spareCount, planted, budget)
}

// newClusterForLog returns a cluster like newCluster, for one of several logs on the same disks.
func newClusterForLog(log LogID, memberCount, spareCount int, planted mutation, budget stepBudget) *cluster {
	c := &cluster{budget: budget, mutation: planted, config: timelessConfig, configBases: map[logPosition]uint64{}}
	c.config.LogID, c.config.TestingKnobs = log, knobsFor(planted)
	for i := range memberCount + spareCount {
		c.members = append(c.members, &simMember{disk: PersistentState{ID: MemberID(i + 1)}})
		c.startMember(i)
	}
	var memberList []Member
	for _, s := range c.members[:memberCount] {
		memberList = append(memberList, s.replica.self)
	}
	c.currentMembers = memberList
	for i := range memberList {
		if c.members[i].replica.Bootstrap(memberList) != nil {
			panic("bootstrap of the first member list failed")
		}
		c.drainActions(i)
	}
	c.syncAndDeliverAll()
	c.members[0].replica.startElection()
	c.drainActions(0)
	c.syncAndDeliverAll()
	c.sendHeartbeat(0)
	c.syncAndDeliverAll()
	return c
}

// startMember starts the member at memberIndex with the contents of that member's disk. Writes that were not synced are lost.
func (c *cluster) startMember(memberIndex int) {
	s := c.members[memberIndex]
	s.writes, s.down = nil, false
	s.replica = New(Member{s.disk.ID, fmt.Sprint("node", memberIndex)}, s.disk, c.config, 1, 0)
	c.drainActions(memberIndex)
}

// recordViolation records the first violation of an invariant. Later violations are ignored.
func (c *cluster) recordViolation(format string, args ...any) {
	if c.violation == "" {
		c.violation = fmt.Sprintf(format, args...)
	}
}

// drainActions carries out the actions of the member at memberIndex. It checks that applied entries and restored state agree between members, that
// a term has at most one leader, and that a leader has all committed entries.
func (c *cluster) drainActions(memberIndex int) {
	s := c.members[memberIndex]
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
			c.checkCommit(memberIndex, a.Entry)
		case Restore:
			if all := c.hostStateAt(a.Index); string(a.State) != all {
				c.recordViolation("member %d restored state %q at index %d, want %q", s.disk.ID, a.State, a.Index, all)
			}
		}
	}
	if s.replica.role == roleLeader && s.replica.term > s.ledTerm {
		s.ledTerm = s.replica.term
		if slices.ContainsFunc(c.members, func(o *simMember) bool { return o != s && o.ledTerm == s.ledTerm }) {
			c.recordViolation("two members lead term %d", s.ledTerm)
		}
		for _, e := range c.committed {
			if v, ok := s.replica.log.termAt(e.Index); e.Index > s.replica.log.snapshot.Index && (!ok || v != e.Term) {
				c.recordViolation("member %d leads term %d but lacks committed entry %d", s.replica.self.ID, s.replica.term, e.Index)
			}
		}
	}
}

// isSameEntry reports whether two entries have the same index, term, kind and data. It does not compare their member lists.
func isSameEntry(a, b Entry) bool {
	return a.Index == b.Index && a.Term == b.Term && a.Kind == b.Kind && string(a.Data) == string(b.Data)
}

// hasEntry reports whether a disk has an entry in its log, or has a snapshot that includes the entry's index.
func hasEntry(disk PersistentState, e Entry) bool {
	offset := e.Index - disk.Snapshot.Index - 1
	return disk.Snapshot.Index >= e.Index || offset < uint64(len(disk.Entries)) && isSameEntry(disk.Entries[offset], e)
}

// checkCommit checks an entry that the member at memberIndex applied: all members must apply the same entry at an index, and the entry must be on
// the disks of a majority. A disk that had the entry when it was erased counts too.
func (c *cluster) checkCommit(memberIndex int, e Entry) {
	if position := e.Index - 2; position < uint64(len(c.committed)) {
		if !isSameEntry(c.committed[position], e) {
			c.recordViolation("index %d: the entry committed first has term %d, a different entry of term %d was committed later",
				e.Index, c.committed[position].Term, e.Term)
		}
		return
	}
	c.committed, c.committedAt = append(c.committed, e), append(c.committedAt, c.now)
	if e.Kind == EntryConfigChange {
		c.checkMemberList(e)
	}
	if !hasMajority(c.members[memberIndex].replica.Members(), func(id MemberID) bool {
		diskHas := func(k PersistentState) bool { return k.ID == id && hasEntry(k, e) }
		memberHas := func(s *simMember) bool { return diskHas(s.disk) }
		return slices.ContainsFunc(c.wipedDisks, diskHas) || slices.ContainsFunc(c.members, memberHas)
	}) {
		c.recordViolation("entry %d was committed but is not on the disks of a majority", e.Index)
	}
}

// hostStateAt returns the host's state after the entries up to an index. The state is the data of these entries, with the newest entry
// first. In this order, the states of two indexes differ at every offset, so that mixed chunks of two snapshots are detected.
func (c *cluster) hostStateAt(index uint64) (state string) {
	for _, e := range c.committed[:min(uint64(len(c.committed)), max(index, 1)-1)] {
		state = string(e.Data) + state
	}
	return state
}

// compactLogOf makes the member at memberIndex compact its log up to the member's commit index.
func (c *cluster) compactLogOf(memberIndex int) {
	replica := c.members[memberIndex].replica
	replica.Compact(replica.commitIndex, []byte(c.hostStateAt(replica.commitIndex)))
	c.drainActions(memberIndex)
}

// checkMemberList checks a member list that was committed. Once the list is committed, any minority of its members may be lost. So each new
// member must have the log on disk up to the commit index that the leader had when it appended the list. The list must also not be
// shorter than the member list before it.
func (c *cluster) checkMemberList(e Entry) {
	previous := c.currentMembers
	if c.currentMembers = e.Members; len(e.Members) < len(previous) {
		c.recordViolation("member list at index %d has %d members, want at least as many as the list before it", e.Index, len(e.Members))
	}
	for _, s := range c.members {
		isThisMember := func(m Member) bool { return m.ID == s.disk.ID }
		lastIndex, base := s.disk.Snapshot.Index+uint64(len(s.disk.Entries)), c.configBases[logPosition{e.Term, e.Index}]
		if slices.ContainsFunc(e.Members, isThisMember) && !slices.ContainsFunc(previous, isThisMember) && !s.down && lastIndex < base {
			c.recordViolation("member list at index %d was committed, but its new member %d has last index=%d, want at least %d", e.Index, s.disk.ID, lastIndex, base)
		}
	}
}

// syncNextWrite completes the oldest pending write of the member at memberIndex.
func (c *cluster) syncNextWrite(memberIndex int) {
	s := c.members[memberIndex]
	s.disk.Apply(s.writes[0])
	seq := s.writes[0].Seq
	s.writes = s.writes[1:]
	c.advanceTime(memberIndex)
	s.replica.ReportSynced(seq)
	c.drainActions(memberIndex)
}

// deliverMessageAt delivers the message at a position of inflight. If no running member has the recipient's address, the message is lost.
func (c *cluster) deliverMessageAt(position int) {
	m := c.inflight[position]
	c.inflight = slices.Delete(slices.Clone(c.inflight), position, position+1)
	for i, s := range c.members {
		if s.down {
			continue
		}
		if s.replica.self.Addr == m.send.Recipient.Addr || m.send.Recipient.Addr == "" && s.replica.self.ID == m.send.Recipient.ID {
			c.advanceTime(i)
			s.replica.Step(m.from, m.send.Message)
			c.drainActions(i)
		}
	}
}

// sendHeartbeat makes the member at memberIndex, which leads, send a heartbeat to all other members and the learner.
func (c *cluster) sendHeartbeat(memberIndex int) {
	c.advanceTime(memberIndex)
	if !c.checksQuorumContact {
		// Let RetransmitTimeout pass, so that chunks without an acknowledgement are sent again.
		c.members[memberIndex].replica.now++
	}
	c.members[memberIndex].replica.broadcastHeartbeat()
	c.drainActions(memberIndex)
}

// syncAndDeliverAll completes all writes and delivers all messages in order, until none is left.
func (c *cluster) syncAndDeliverAll() {
	for again := true; again; {
		again = len(c.inflight) > 0
		for i, s := range c.members {
			for len(s.writes) > 0 {
				c.syncNextWrite(i)
				again = true
			}
		}
		if len(c.inflight) > 0 {
			c.deliverMessageAt(0)
		}
	}
}

// removeStaleMessages removes messages in flight that can have no effect any more. These are messages to erased disks, and messages with a
// term below the term on the recipient's disk, except appends and vote requests.
func (c *cluster) removeStaleMessages() {
	c.inflight = slices.DeleteFunc(slices.Clone(c.inflight), func(f inflightMessage) bool {
		recipient := slices.IndexFunc(c.members, func(s *simMember) bool { return s.disk.ID == f.send.Recipient.ID })
		kind := f.send.Message.Kind
		return recipient < 0 || f.send.Message.Term < c.members[recipient].disk.Term && kind != MsgAppend && kind != MsgRequestVote
	})
}

// forEachNextStep calls visit with each step that is possible in this state, and with a description of the step. There is no step that
// loses or delays a message: a message that is never delivered, or is delivered later, covers these cases.
func (c *cluster) forEachNextStep(visit func(description string, step func(*cluster))) {
	for n, m := range c.inflight {
		key := string(m.appendKey(nil, c.checksQuorumContact))
		if !slices.ContainsFunc(c.inflight[:n], func(o inflightMessage) bool { return string(o.appendKey(nil, c.checksQuorumContact)) == key }) {
			message := m.send.Message
			description := fmt.Sprintf("message from member %d to member %d: kind=%d term=%d index=%d",
				m.from, m.send.Recipient.ID, message.Kind, message.Term, message.Index)
			visit(description, func(next *cluster) { next.deliverMessageAt(n) })
			if message.Chunk != nil && c.budget.duplicates > 0 {
				visit(description+" (duplicated)", func(next *cluster) {
					next.budget.duplicates--
					next.inflight = append(slices.Clone(next.inflight), next.inflight[n])
					next.deliverMessageAt(n)
				})
			}
		}
	}
	for i, s := range c.members {
		id := s.disk.ID
		if s.down {
			if c.budget.restarts > 0 {
				visit(fmt.Sprintf("member %d starts again", id), func(next *cluster) { next.budget.restarts--; next.startMember(i) })
			}
			continue
		}
		if c.budget.losses > 0 {
			visit(fmt.Sprintf("member %d stops", id), func(next *cluster) { next.budget.losses--; next.stopMember(i) })
		}
		if c.budget.replacements > 0 && s.replica.role == roleLeader {
			c.forEachReplacement(i, visit)
		}
		if len(s.writes) > 0 {
			visit(fmt.Sprintf("member %d completes a write", id), func(next *cluster) { next.syncNextWrite(i) })
		}
		if c.budget.crashes > 0 {
			visit(fmt.Sprintf("member %d crashes and restarts", id), func(next *cluster) { next.budget.crashes--; next.startMember(i) })
		}
		if c.budget.wipes > 0 && s.replica.Bootstrapped() {
			visit(fmt.Sprintf("member %d restarts with an empty disk", id), func(next *cluster) { next.budget.wipes--; next.wipeDisk(i) })
		}
		if c.budget.elections > 0 && s.replica.role != roleLeader && s.replica.isMember(id) {
			visit(fmt.Sprintf("member %d starts an election", id), func(next *cluster) {
				next.budget.elections--
				next.members[i].replica.startElection()
				next.drainActions(i)
			})
		}
		if c.budget.proposals > 0 && s.replica.role == roleLeader {
			visit(fmt.Sprintf("member %d proposes an entry", id), func(next *cluster) {
				next.budget.proposals--
				next.members[i].replica.Propose(1, []byte{byte(next.budget.proposals)})
				next.drainActions(i)
			})
		}
		if c.budget.compactions > 0 && s.replica.commitIndex > s.replica.log.snapshot.Index {
			visit(fmt.Sprintf("member %d compacts its log", id), func(next *cluster) { next.budget.compactions--; next.compactLogOf(i) })
		}
		if c.budget.heartbeats > 0 && s.replica.role == roleLeader {
			visit(fmt.Sprintf("member %d sends heartbeats", id), func(next *cluster) { next.budget.heartbeats--; next.sendHeartbeat(i) })
		}
	}
	if c.budget.ticks > 0 {
		visit("one second passes", func(next *cluster) { next.budget.ticks--; next.now += time.Second })
	}
}

// stopMember stops the member with this index. Its disk keeps the writes that were synced.
func (c *cluster) stopMember(index int) { c.members[index].down, c.members[index].writes = true, nil }

// forEachReplacement calls visit with each replacement that the leader at leaderIndex can begin. The new member is any running node that is
// not a member, and the lost member is any member that has stopped.
func (c *cluster) forEachReplacement(leaderIndex int, visit func(description string, step func(*cluster))) {
	leader := c.members[leaderIndex].replica
	for _, in := range c.members {
		for _, out := range c.members {
			if newMember, lostID := in.replica.self, out.replica.self.ID; !in.down && out.down && !leader.isMember(newMember.ID) && leader.isMember(lostID) {
				visit(fmt.Sprintf("leader %d replaces: new member %d, lost member %d", leader.self.ID, newMember.ID, lostID), func(next *cluster) {
					next.budget.replacements--
					next.members[leaderIndex].replica.AddMember(newMember, lostID)
					next.drainActions(leaderIndex)
				})
			}
		}
	}
}

// replaceMember stops the member at lostIndex. Then the first member, which leads, replaces the stopped member by the node at spareIndex.
// replaceMember returns once the new member list is committed.
func (c *cluster) replaceMember(lostIndex, spareIndex int) *cluster {
	c.stopMember(lostIndex)
	c.members[0].replica.AddMember(c.members[spareIndex].replica.self, c.members[lostIndex].disk.ID)
	c.drainActions(0)
	c.syncAndDeliverAll()
	c.sendHeartbeat(0)
	c.syncAndDeliverAll()
	return c
}

// wipeDisk restarts the member at memberIndex with an empty disk, which has a new member ID. With the mutation countWipedDisk, the empty
// disk keeps the former member ID.
func (c *cluster) wipeDisk(memberIndex int) {
	s := c.members[memberIndex]
	c.wipedDisks = append(slices.Clone(c.wipedDisks), s.disk)
	if s.disk = (PersistentState{ID: s.disk.ID + 10}); c.mutation == countWipedDisk {
		s.disk.ID -= 10
	}
	c.startMember(memberIndex)
}

// clone returns a copy. A step that is taken on the copy does not change the original. Slices to which steps only append are not copied but
// clipped, so that an append allocates a new array.
func (c *cluster) clone() *cluster {
	copied := *c
	copied.members = nil
	for _, s := range c.members {
		member, r := *s, *s.replica
		r.log.entries, r.memberConfigs, r.unsyncedWrites = slices.Clone(r.log.entries), slices.Clone(r.memberConfigs), slices.Clone(r.unsyncedWrites)
		r.pendingReplies, r.reads, r.peers = slices.Clone(r.pendingReplies), slices.Clone(r.reads), maps.Clone(r.peers)
		for id, q := range r.peers {
			q := *q
			r.peers[id] = &q
		}
		r.incoming.data, r.log.trailing = slices.Clip(r.incoming.data), slices.Clip(r.log.trailing)
		r.proposals, r.preVotes = maps.Clone(r.proposals), maps.Clone(r.preVotes)
		r.votes, r.voteRequests, r.lostSince = maps.Clone(r.votes), maps.Clone(r.voteRequests), maps.Clone(r.lostSince)
		member.replica = &r
		copied.members = append(copied.members, &member)
	}
	copied.inflight, copied.committed, copied.committedAt = slices.Clip(c.inflight), slices.Clip(c.committed), slices.Clip(c.committedAt)
	for _, s := range copied.members {
		s.writes = slices.Clip(s.writes)
	}
	return &copied
}

// appendEntriesKey appends an encoding of entries to b. The encoding is a part of the input of stateKey.
func appendEntriesKey(b []byte, all []Entry) []byte {
	b = appendUvarints(b, uint64(len(all)))
	for _, e := range all {
		b = append(appendUvarints(b, e.Index, e.Term, uint64(e.Kind), uint64(len(e.Data))), e.Data...)
	}
	return b
}

// appendKey appends an encoding of the message to b. Messages with the same encoding are duplicates. If timed is true, the encoding includes
// the message's clocks and the age of the quorum contact.
func (i inflightMessage) appendKey(b []byte, timed bool) []byte {
	m := i.send.Message
	b = appendUvarints(b, uint64(i.from), uint64(m.Recipient), uint64(m.Kind), m.Term, m.Index, m.LogTerm, m.Commit, m.Seq)
	if m.Snapshot != nil {
		b = append(append(b, 's'), m.Snapshot.State...)
	}
	if m.Chunk != nil {
		b = m.Chunk.appendKey(b)
	}
	if timed {
		b = appendUvarints(b, uint64(m.Clock), uint64(m.EchoedClock), uint64(m.ContactAgeMillis))
	}
	return appendEntriesKey(b, m.Entries)
}

// appendKey appends an encoding of the chunk to b.
func (c *Chunk) appendKey(b []byte) []byte {
	return append(appendUvarints(b, c.Index, c.View, c.Sum, c.Size, c.Offset), c.Data...)
}

// stateKey returns a hash of the state. States with the same key are considered equal, because the same steps are possible in them.
func (c *cluster) stateKey() uint64 {
	var b []byte
	for _, s := range c.members {
		r := s.replica
		b = appendUvarints(b, uint64(r.self.ID), uint64(r.role), r.term, uint64(r.votedFor), uint64(r.leaderID),
			r.commitIndex, r.syncedIndex, r.nextWriteSeq-r.syncedWriteSeq, r.matchIndex, r.readSeq, r.ackedReadSeq, r.maxSeenTerm, uint64(r.fetchingLogFrom),
			r.termStartIndex, r.log.snapshot.Index, uint64(len(r.unsyncedWrites)),
			uint64(r.learner), uint64(len(r.learnerConfig.members)))
		if s.down {
			b = append(b, 'g')
		}
		b = appendEntriesKey(append(r.incoming.id.newChunk(0, nil).appendKey(appendEntriesKey(b, r.log.entries)), r.incoming.data...), r.log.trailing)
		for _, q := range r.pendingReplies {
			b = appendUvarints(b, q.writeSeq-r.syncedWriteSeq, uint64(q.kind), q.term, uint64(q.recipient))
		}
		for id := range MemberID(20) {
			if q := r.peers[id]; q != nil {
				b = appendUvarints(b, q.nextIndex, q.matchIndex, q.readSeq)
				if o := q.transfer.sender; o.Blob != nil {
					b = appendUvarints(o.Blob.id.newChunk(0, nil).appendKey(b), o.ackedBytes, o.sentBytes, o.retransmittedFrom, uint64(r.now-o.lastProgressAt))
				}
				if c.checksQuorumContact {
					b = appendUvarints(b, uint64(q.lastReceivedClock), uint64(q.lastContactAt))
				}
			}
			if q, ok := r.votes[id]; ok && r.role == roleCandidate {
				b = appendUvarints(b, q.term, q.index)
			}
		}
		if c.checksQuorumContact {
			b = appendUvarints(b, uint64(r.leaderClock), uint64(r.quorumContact.lastContactAt), r.quorumContact.term)
		}
		b = appendEntriesKey(appendUvarints(b, s.disk.Term, uint64(s.disk.Vote), s.disk.Commit), s.disk.Entries)
		for _, q := range s.writes {
			b = appendEntriesKey(appendUvarints(b, q.Term, q.FirstIndex, q.Commit), q.Entries)
		}
	}
	var flight []string
	for _, f := range c.inflight {
		flight = append(flight, string(f.appendKey(nil, c.checksQuorumContact)))
	}
	slices.Sort(flight)
	b = append(b, fmt.Sprint(c.budget, c.now, c.committedAt)...)
	for _, f := range flight {
		b = append(b, f...)
	}
	return maphash.Bytes(hashSeed, b)
}

var hashSeed = maphash.MakeSeed()

// explore is an exhaustive state space search. It takes all possible steps in every order, breadth first, until `limit` distinct states were
// seen or an invariant is violated. It returns the number of states, and the violation with the steps that led to it. If there is no
// violation, it returns an empty string.
func explore(state *cluster, limit int) (seen int, violation string) {
	visited := map[uint64]bool{state.stateKey(): true}
	for queue := []*cluster{state}; len(queue) > 0 && len(visited) < limit; {
		state := queue[0]
		queue[0], queue = nil, queue[1:]
		state.forEachNextStep(func(description string, step func(*cluster)) {
			if violation != "" || len(visited) >= limit {
				return
			}
			c := state.clone()
			c.trace = &traceStep{state.trace, description}
			func() {
				defer func() {
					if r := recover(); r != nil { // a violated invariant panics in a debug build
						c.recordViolation("%v", r)
					}
				}()
				step(c)
				c.removeStaleMessages()
				c.checkQuorumContact()
			}()
			if c.violation != "" {
				violation = c.violation + c.trace.String()
			}
			if key := c.stateKey(); !visited[key] {
				visited[key] = true
				queue = append(queue, c)
			}
		})
		if violation != "" {
			break
		}
	}
	return len(visited), violation
}

// electWithVotesOf makes the member at candidateIndex start an election in which only the members at voterIndexes vote. All messages to
// other members are lost.
func (c *cluster) electWithVotesOf(candidateIndex int, voterIndexes ...int) {
	c.members[candidateIndex].replica.startElection()
	c.drainActions(candidateIndex)
	c.syncNextWrite(candidateIndex)
	c.deliverAmong([]int{candidateIndex}, voterIndexes)
	c.syncAllWrites(voterIndexes...)
	c.deliverAmong(voterIndexes, []int{candidateIndex})
	if c.members[candidateIndex].replica.role == roleCandidate { // another member has a newer log, which the candidate fetches
		c.deliverAmong([]int{candidateIndex}, voterIndexes)
		c.deliverAmong(voterIndexes, []int{candidateIndex})
	}
	c.syncNextWrite(candidateIndex)
}

// syncAllWrites completes all pending writes of the members at memberIndexes.
func (c *cluster) syncAllWrites(memberIndexes ...int) {
	for _, i := range memberIndexes {
		for len(c.members[i].writes) > 0 {
			c.syncNextWrite(i)
		}
	}
}

// deliverFromTo delivers all messages in flight from one member to another, given by their indexes. All other messages in flight are lost.
func (c *cluster) deliverFromTo(from, to int) { c.deliverAmong([]int{from}, []int{to}) }

// deliverAmong delivers all messages in flight that a member in from has sent to a member in to. Both parameters are lists of member indexes.
// All other messages in flight are lost.
func (c *cluster) deliverAmong(from, to []int) {
	contains := func(which []int, id MemberID) bool {
		return slices.ContainsFunc(which, func(i int) bool { return c.members[i].disk.ID == id })
	}
	c.inflight = slices.DeleteFunc(c.inflight, func(f inflightMessage) bool { return !contains(from, f.from) || !contains(to, f.send.Recipient.ID) })
	for n := len(c.inflight); n > 0; n-- {
		c.deliverMessageAt(0)
	}
}

// proposeOnFirstMember makes the first member, which leads, propose an entry. The entry is not synced, and the messages with the entry are in flight.
func (c *cluster) proposeOnFirstMember() *cluster {
	c.members[0].replica.Propose(1, []byte("x"))
	c.drainActions(0)
	return c
}

// withSmallChunks changes the configuration of all members: data of more than two bytes is sent in chunks of one byte, with at most two
// chunks in flight.
func (c *cluster) withSmallChunks() *cluster {
	c.config.MaxInflightBytes, c.config.ChunkBytes, c.config.TrailingBytes = 2, 1, 64<<10
	for _, s := range c.members {
		s.replica.config = c.config
	}
	return c
}

// commitOnFirstTwoMembers commits one entry for each string in all on the first two members. Then these two members compact their logs. All
// messages to the third member are lost.
func (c *cluster) commitOnFirstTwoMembers(all ...string) *cluster {
	for _, data := range all {
		c.members[0].replica.Propose(1, []byte(data))
		for range 3 {
			c.drainActions(0)
			c.syncAllWrites(0)
			c.deliverAmong([]int{0}, []int{1})
			c.syncAllWrites(1)
			c.deliverAmong([]int{1}, []int{0})
		}
		c.sendHeartbeat(0)
		c.deliverAmong([]int{0}, []int{1})
		c.inflight = nil
	}
	c.compactLogOf(0)
	c.compactLogOf(1)
	c.syncAllWrites(0, 1)
	// Remove the trailing log, as a restart does. Entries that the snapshot includes are then not in memory, so a member that lacks these
	// entries needs the snapshot.
	for _, s := range c.members {
		s.replica.log.trailing = nil
	}
	return c
}

// scenario is a state from which explore takes all possible steps, and the mutations that explore must detect from there.
type scenario struct {
	name      string
	build     func(mutation) *cluster
	mutations []mutation
}

// scenarios are the scenarios in which explore checks all invariants except those of quorum contact. See also contactScenarios.
var scenarios = []scenario{
	{"a proposal, an election and a crash", func(planted mutation) *cluster {
		return newCluster(3, 0, planted, stepBudget{elections: 1, crashes: 1}).proposeOnFirstMember()
	}, []mutation{ackUnsynced, forgetVotes, voteBeforeSync, electByMinority, leadWithoutNewestLog}},
	{"appends of a former leader arrive late", func(planted mutation) *cluster {
		c := newCluster(3, 0, planted, stepBudget{proposals: 1, heartbeats: 1}).proposeOnFirstMember()
		late := c.inflight
		c.electWithVotesOf(1, 2)
		c.inflight = append(c.inflight, late...)
		return c
	}, []mutation{acceptStaleTerm}},
	{"two concurrent elections and a proposal", func(planted mutation) *cluster {
		return newCluster(3, 0, planted, stepBudget{elections: 2, proposals: 1})
	}, []mutation{ackUnsynced}},
	{"a member restarts with an empty disk", func(planted mutation) *cluster {
		c := newCluster(3, 0, planted, stepBudget{elections: 1, wipes: 1, heartbeats: 1}).proposeOnFirstMember()
		c.deliverFromTo(0, 2)
		return c
	}, []mutation{countWipedDisk}},
	{"a member is replaced by another", func(planted mutation) *cluster {
		c := newCluster(3, 1, planted, stepBudget{elections: 1})
		c.members[0].replica.AddMember(c.members[3].replica.self, 3)
		for c.drainActions(0); c.members[0].replica.isLatestConfigCommitted(); c.drainActions(0) {
			c.deliverMessageAt(0)
			if len(c.members[3].writes) > 0 {
				c.syncNextWrite(3)
			}
		}
		return c
	}, []mutation{singleMajority}},
	{"a learner receives entries", func(planted mutation) *cluster {
		c := newCluster(3, 1, planted, stepBudget{elections: 1})
		// A message can then contain several entries, so that the learner also receives entries that are not committed yet.
		c.members[0].replica.config.MaxMessageBytes = 1 << 10
		c.members[0].replica.AddMember(c.members[3].replica.self, 0)
		c.drainActions(0)
		c.proposeOnFirstMember().syncAllWrites(0)
		for range 2 {
			c.deliverFromTo(0, 3)
			c.syncAllWrites(3)
			c.deliverFromTo(3, 0)
		}
		return c
	}, []mutation{countLearner}},
	{"two candidates in one term", func(planted mutation) *cluster {
		c := newCluster(3, 0, planted, stepBudget{proposals: 1, heartbeats: 1})
		for _, i := range []int{1, 2} {
			c.members[i].replica.startElection()
			c.drainActions(i)
			c.syncAllWrites(i)
		}
		return c
	}, []mutation{voteTwice}},
	{"an entry that only the former leader has", func(planted mutation) *cluster {
		c := newCluster(3, 0, planted, stepBudget{elections: 1, crashes: 1, heartbeats: 1}).proposeOnFirstMember()
		c.syncNextWrite(0)
		c.electWithVotesOf(1, 2)
		return c
	}, []mutation{skipTruncation}},
	{"an uncommitted entry of an earlier term", func(planted mutation) *cluster {
		c := newCluster(3, 0, planted, stepBudget{elections: 1}).proposeOnFirstMember()
		c.syncNextWrite(0)
		c.electWithVotesOf(1, 2)
		c.sendHeartbeat(0)
		c.deliverFromTo(0, 1)
		c.deliverFromTo(1, 0)
		c.electWithVotesOf(0, 2)
		c.members[1].replica.Step(1, Message{Kind: MsgRequestVote, ClusterID: c.members[1].replica.clusterID, Recipient: 2, Term: 4})
		c.drainActions(1)
		return c
	}, []mutation{commitEarlierTerms}},
	{"a proposal after an entry of another term", func(planted mutation) *cluster {
		c := newCluster(3, 0, planted, stepBudget{proposals: 1, heartbeats: 1}).proposeOnFirstMember()
		c.syncNextWrite(0)
		c.electWithVotesOf(1, 2)
		return c
	}, []mutation{skipLogMatching}},
	{"an acknowledgement arrives two terms late", func(planted mutation) *cluster {
		c := newCluster(3, 0, planted, stepBudget{elections: 1, crashes: 1, heartbeats: 1}).proposeOnFirstMember().proposeOnFirstMember()
		c.deliverFromTo(0, 1)
		c.syncAllWrites(1)
		late := c.inflight
		c.startMember(0)
		c.electWithVotesOf(2, 0)
		c.deliverFromTo(2, 1)
		c.syncAllWrites(1)
		c.electWithVotesOf(0, 2)
		c.inflight = append(c.inflight, late...)
		return c
	}, []mutation{countStaleAcks}},
	{"a snapshot in chunks", func(planted mutation) *cluster {
		c := newCluster(3, 0, planted, stepBudget{crashes: 1, heartbeats: 1, duplicates: 1}).withSmallChunks().commitOnFirstTwoMembers("a", "b", "c")
		c.sendHeartbeat(0)
		c.deliverFromTo(0, 2)
		c.deliverFromTo(2, 0)
		return c
	}, []mutation{skipChunks, installPartial}},
	{"a newer snapshot during a transfer", func(planted mutation) *cluster {
		c := newCluster(3, 0, planted, stepBudget{heartbeats: 1, proposals: 1, compactions: 1, crashes: 1}).withSmallChunks().commitOnFirstTwoMembers("a", "b", "c")
		c.sendHeartbeat(0)
		c.deliverFromTo(0, 2)
		c.deliverFromTo(2, 0)
		return c
	}, []mutation{installPartial}},
	{"a new leader with a newer snapshot during a transfer", func(planted mutation) *cluster {
		c := newCluster(3, 0, planted, stepBudget{heartbeats: 1, crashes: 1, duplicates: 1}).withSmallChunks().commitOnFirstTwoMembers("a", "b", "c")
		c.sendHeartbeat(0)
		c.deliverFromTo(0, 2)
		c.deliverFromTo(2, 0)
		// Deliver one chunk to the third member. Another chunk of the former leader stays in flight.
		c.deliverMessageAt(0)
		late := c.inflight
		c.commitOnFirstTwoMembers("d")
		c.electWithVotesOf(1, 0)
		c.inflight = append(c.inflight, late...)
		return c
	}, []mutation{mixBlobs}},
	{"a large entry in chunks is replaced by another entry", func(planted mutation) *cluster {
		c := newCluster(3, 0, planted, stepBudget{heartbeats: 1, crashes: 1}).withSmallChunks()
		c.members[0].replica.Propose(1, []byte("xyz"))
		c.drainActions(0)
		late := c.inflight
		c.deliverFromTo(0, 2)
		c.electWithVotesOf(1, 2)
		c.deliverAmong([]int{1}, []int{2})
		c.syncAllWrites(2)
		c.deliverAmong([]int{2}, []int{1})
		c.members[1].replica.Propose(1, []byte("XYZ"))
		c.drainActions(1)
		c.inflight = append(c.inflight, late...)
		return c
	}, []mutation{mixBlobs}},
	{"five members: a proposal, an election and a crash", func(planted mutation) *cluster {
		c := newCluster(5, 0, planted, stepBudget{crashes: 1}).proposeOnFirstMember()
		c.syncAllWrites(0)
		late := slices.DeleteFunc(slices.Clone(c.inflight), func(m inflightMessage) bool { return m.send.Recipient.ID != c.members[2].disk.ID })
		c.deliverFromTo(0, 1)
		c.syncAllWrites(1)
		// The leader and the second member have the entry. One more acknowledgement is enough for a majority.
		c.deliverFromTo(1, 0)
		c.members[3].replica.startElection()
		c.drainActions(3)
		c.syncAllWrites(3)
		c.deliverAmong([]int{3}, []int{2, 4})
		c.syncAllWrites(4)
		c.inflight = append(c.inflight, late...)
		return c
	}, []mutation{forgetVotes, voteBeforeSync, electByMinority}},
	{"five members: another member than the candidate has the newest log", func(planted mutation) *cluster {
		c := newCluster(5, 0, planted, stepBudget{elections: 1}).proposeOnFirstMember()
		c.syncAllWrites(0)
		c.deliverAmong([]int{0}, []int{1, 2})
		c.syncAllWrites(1, 2)
		c.deliverAmong([]int{1, 2}, []int{0})
		c.members[3].replica.startElection()
		c.drainActions(3)
		c.syncAllWrites(3)
		return c
	}, []mutation{leadWithoutNewestLog, electByMinority}},
	{"five members: an entry that only two members have", func(planted mutation) *cluster {
		c := newCluster(5, 0, planted, stepBudget{proposals: 1, heartbeats: 1}).proposeOnFirstMember()
		c.syncNextWrite(0)
		c.deliverAmong([]int{0}, []int{1})
		c.syncNextWrite(1)
		c.electWithVotesOf(2, 3, 4)
		return c
	}, []mutation{skipTruncation, skipLogMatching}},
	{"five members: a member restarts with an empty disk", func(planted mutation) *cluster {
		c := newCluster(5, 0, planted, stepBudget{elections: 1, wipes: 1}).proposeOnFirstMember()
		c.syncNextWrite(0)
		c.deliverAmong([]int{0}, []int{1, 2})
		c.syncNextWrite(1)
		c.syncNextWrite(2)
		c.deliverAmong([]int{1, 2}, []int{0})
		return c
	}, []mutation{countWipedDisk}},
	{"a lost member is replaced and the leader is lost", func(planted mutation) *cluster {
		c := newCluster(3, 1, planted, stepBudget{elections: 1, losses: 1, restarts: 1, replacements: 1})
		c.stopMember(2)
		return c
	}, []mutation{promoteEarly}},
	{"a replaced member restarts and starts an election", func(planted mutation) *cluster {
		c := newCluster(3, 1, planted, stepBudget{elections: 2, restarts: 1, proposals: 1}).replaceMember(2, 3)
		c.proposeOnFirstMember()
		c.deliverFromTo(0, 3)
		c.syncAllWrites(0, 3)
		return c
	}, []mutation{ackUnsynced}},
	{"an election among the previous members during a replacement", func(planted mutation) *cluster {
		c := newCluster(3, 1, planted, stepBudget{elections: 1, restarts: 1})
		c.stopMember(2)
		c.members[0].replica.AddMember(c.members[3].replica.self, 3)
		for c.drainActions(0); c.members[0].replica.isLatestConfigCommitted(); c.drainActions(0) {
			c.deliverMessageAt(0)
			c.syncAllWrites(3)
		}
		return c
	}, []mutation{singleMajority}},
	{"a learner is lost and another node becomes the learner", func(planted mutation) *cluster {
		c := newCluster(3, 2, planted, stepBudget{elections: 1, restarts: 2, replacements: 1})
		c.stopMember(2)
		c.members[0].replica.AddMember(c.members[3].replica.self, 3)
		c.drainActions(0)
		c.deliverFromTo(0, 3)
		c.deliverFromTo(3, 0)
		c.stopMember(3)
		c.members[0].replica.dropLearner()
		return c
	}, []mutation{promoteEarly}},
	{"an empty disk at a member's address while another member is down", func(planted mutation) *cluster {
		c := newCluster(3, 1, planted, stepBudget{elections: 1, restarts: 1, replacements: 1})
		c.stopMember(2)
		c.proposeOnFirstMember().syncAndDeliverAll()
		c.wipeDisk(1)
		c.members[0].replica.AddMember(c.members[1].replica.self, 0)
		c.drainActions(0)
		return c
	}, []mutation{countWipedDisk}},
	{"five members: two members are lost and replaced one after the other", func(planted mutation) *cluster {
		c := newCluster(5, 2, planted, stepBudget{elections: 1, losses: 1, replacements: 1}).replaceMember(4, 5)
		c.stopMember(3)
		return c
	}, []mutation{promoteEarly}},
	{"five members: a lost member starts an election during its replacement, and one more is lost", func(planted mutation) *cluster {
		c := newCluster(5, 1, planted, stepBudget{losses: 1})
		c.stopMember(4)
		c.members[0].replica.AddMember(c.members[5].replica.self, 5)
		for c.drainActions(0); c.members[0].replica.isLatestConfigCommitted(); c.drainActions(0) {
			c.deliverMessageAt(0)
			c.syncAllWrites(5)
		}
		c.syncAllWrites(0)
		c.deliverAmong([]int{0}, []int{1, 5})
		c.syncAllWrites(1, 5)
		late := c.inflight
		c.startMember(4)
		c.members[4].replica.startElection()
		c.drainActions(4)
		c.syncAllWrites(4)
		c.deliverAmong([]int{4}, []int{2, 3})
		c.inflight = append(c.inflight, late...)
		return c
	}, []mutation{singleMajority}},
}

// stateLimit returns how many states of each scenario are explored: the value of REPLICATION_STAGES if it is set, else defaultLimit.
func stateLimit(defaultLimit int) int {
	if n, err := strconv.Atoi(os.Getenv("REPLICATION_STAGES")); err == nil {
		return n
	}
	return defaultLimit
}

// Guards against diverging logs, lost committed entries and two leaders of one term. Such faults occur only in certain orders of messages,
// syncs, crashes and elections, so explore takes all orders up to a number of states.
func TestAllOrdersKeepInvariants(t *testing.T) { requireNoViolation(t, scenarios) }

// requireNoViolation requires that explore finds no violation in any scenario.
func requireNoViolation(t *testing.T, all []scenario) {
	t.Helper()
	for _, s := range all {
		t.Run(s.name, func(t *testing.T) {
			t.Parallel()
			seen, violation := explore(s.build(noMutation), stateLimit(10_000))
			t.Log(seen, "states explored")
			must.Eq(t, "", violation)
		})
	}
}
