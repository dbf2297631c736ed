// Package replication is a replicated log: it keeps one order of changes among the nodes with a disk. It is a core without
// I/O: inputs are messages, times, proposals and finished writes; outputs are messages, writes, and committed entries in the
// order that holds.
//
// Members work in views, as in Viewstamped Replication; a view is what Raft calls a term. A view has a number, a leader and
// members; an entry carries the view that it was made in. A member that hears no leader asks the others first whether they
// have lost it too (pre-vote) and then to prepare the next view. Who promises so stops the old view, on disk before it
// answers. With a majority's promises, and the newest of their logs in hand, the asker leads the new view: the others' logs
// are truncated to where they agree with its own and go on. An entry is committed once a majority has it on disk, and only
// through an entry of the present view.
//
// While a change of members (EntryConfigChange) is not known to be committed, majorities of the members before it and after it are
// needed for everything (joint consensus). So one member may be replaced by another in one step, though majorities of three
// need not meet across such a step. Nothing rests on time but how soon a new view is asked for.
//
// Names of fields that are sent or kept on disk by gob (Message, Entry, Snapshot) stay as they are: nodes of two versions
// talk while a new one is rolled out.
package replication

import (
	"cmp"
	"encoding/binary"
	"hash/fnv"
	"slices"
	"time"

	"clovergap/internal/proxy/invariant"
	"github.com/go-faster/errors"
)

type role uint8

const (
	roleFollower     role = iota
	rolePreCandidate      // asks whether others have lost the leader too
	roleCandidate         // asks for promises
	roleLeader
)

func (r role) String() string { return [...]string{"following", "checking", "stopping", "leading"}[r] }

// logPosition is that of a log's last entry. A log whose last entry is of a newer view, or further in the same,
// is newer.
type logPosition struct{ term, index uint64 }

func (a logPosition) newerThan(b logPosition) bool {
	return a.term > b.term || a.term == b.term && a.index > b.index
}

type memberConfig struct {
	index   uint64
	members []Member
}

// unsyncedWrite is a write that is not synced: after it the log is on disk up to upto.
type unsyncedWrite struct{ seq, lastIndex uint64 }

// pendingReply is what is to be said once a write is synced.
type pendingReply struct {
	writeSeq  uint64
	kind      MessageKind // Have, Stopped, or Stop for an asker's own promise
	term      uint64
	recipient MemberID
}

// Replica is one member. It is for one goroutine at a time.
type Replica struct {
	self        Member
	config      Config
	now         time.Duration
	randomState uint64
	fault       fault

	clusterID       uint64
	term            uint64
	votedFor        MemberID
	snapshot        Snapshot
	log             []Entry        // after snap
	trailing        []Entry        // the last that went into snap, in memory only
	trailingTerm    uint64         // of the entry before them
	snapshotBlob    *Blob          // snap's state, once it was sent
	incoming        BlobReceiver   // from the leader
	memberConfigs   []memberConfig // the one that holds at snap, and those in the log
	commitIndex     uint64
	syncedIndex     uint64 // the log is on disk up to here
	bootstrapSynced bool   // so is the founding

	nextWriteSeq      uint64 // of the write that is put together
	syncedWriteSeq    uint64 // synced
	unwritten         bool
	unwrittenFrom     uint64
	unwrittenSnapshot bool
	unsyncedWrites    []unsyncedWrite
	pendingReplies    []pendingReply

	role                role
	leaderID            MemberID // of the view promise, 0 if not known
	leaderContactAt     time.Duration
	sawLeader           bool          // a leader was heard of in this life, or promised
	failedElections     int           // views asked for since a leader was heard
	electionStartedAt   time.Duration // when the last one was
	electionDeadline    time.Duration // a new view is asked for
	announcedDeadline   time.Duration // told to the host
	matchIndex          uint64        // the log is as the leader's up to here
	readSeq             uint64        // heard from the leader; or as leader, begun
	ackedReadSeq        uint64
	replicatedElsewhere uint64

	clock         Clock
	quorumContact contactState
	leaderClock   uint32 // the newest heard in this view

	maxSeenTerm     uint64                   // the newest view anyone spoke of
	preVoteSeq      uint64                   // number of an asking
	preVotes        map[MemberID]bool        // by whom the leader is lost
	votes           map[MemberID]logPosition // who promised
	fetchingLogFrom MemberID                 // asked for its log
	voteRequests    map[MemberID]Member      // told to stop

	peers              map[MemberID]*progress // by the leader
	learner            MemberID
	learnerConfig      memberConfig               // its members are the list once the learner has caught up; none: it is held back
	learnerProgressAt  time.Duration              // it last had something new on disk
	learnerSince       time.Duration              // it became the learner
	lostSince          map[MemberID]time.Duration // since when the host does not reach a member
	lastDroppedLearner MemberID                   // the last learner that was
	termStartIndex     uint64
	proposals          map[uint64]uint64 // by index
	reads              []pendingRead
	heartbeatAt        time.Duration
	replicationPending bool
	transferDeadline   time.Duration // proposals are refused until then: another is to lead
	transferee         MemberID      // this one, if it is heard; 0: any

	actions []Action
}

// progress is what a leader knows of another member.
type progress struct {
	Member
	nextIndex, matchIndex uint64
	inflightBase          uint64 // entries are in flight from here on
	readSeq               uint64
	lastResponseAt        time.Duration
	snapshotSentAt        time.Duration
	nextRetryAt           time.Duration
	lastClock             uint32        // its newest
	contactAt             time.Duration // it followed this view when this one's clock was so

	responded        bool // in this view; and whether it takes chunks
	acceptsChunks    bool
	transfer         BlobSender  // what it is being sent: kept until it has it, however many snapshots there are since
	transferSnapshot *Snapshot   // whose state out is
	transferEntry    *Entry      // or whose data
	transferPrev     logPosition // what it must have before it takes that
}

type pendingRead struct{ token, readSeq uint64 }

const never = time.Duration(1<<63 - 1)

// New makes a member from what its disk held. The times are the host's, from any start on.
func New(me Member, k PersistentState, terms Config, seed int64, now time.Duration) *Replica {
	invariant.That(me.ID != 0 && me.ID == k.ID, "a disk keeps its member's id")
	p := &Replica{self: me, config: terms, now: now, randomState: uint64(seed) ^ uint64(me.ID), clusterID: k.ClusterID,
		term: k.Term, votedFor: k.Vote, snapshot: k.Snapshot, nextWriteSeq: 1, leaderContactAt: now - terms.ElectionTimeout, electionDeadline: never, maxSeenTerm: k.Term,
		proposals: map[uint64]uint64{}, lostSince: map[MemberID]time.Duration{}, quorumContact: contactState{since: noContact}}
	p.clock = NewClock(p.randomState)
	p.memberConfigs = []memberConfig{{k.Snapshot.Index, k.Snapshot.Members}}
	for _, e := range k.Entries {
		p.appendEntry(e)
	}
	p.syncedIndex, p.commitIndex, p.bootstrapSynced = p.lastIndex(), p.snapshot.Index, k.ClusterID != 0
	if p.snapshot.Index > 0 {
		p.actions = append(p.actions, Restore{p.snapshot.Index, p.snapshot.State})
	}
	p.commitTo(k.Commit)
	p.unwritten = false
	p.resetElectionDeadline()
	return p
}

// Tick tells the time. After a standstill it is to be told before messages that came meanwhile.
func (p *Replica) Tick(t time.Duration) {
	p.now = max(p.now, t)
	switch {
	case p.role == roleLeader:
		heard := func(id MemberID) bool { return id == p.self.ID || p.peers[id] != nil && p.recentlyActive(p.peers[id]) }
		if !p.hasQuorum(heard) {
			p.stepDown()
			return
		}
		if l := p.peers[p.learner]; l != nil && p.now-l.lastResponseAt > p.config.LearnerTimeout && p.fault != keepDead {
			p.dropLearner()
		}
		if p.now >= p.heartbeatAt {
			p.startReadSeq()
			p.broadcastHeartbeat()
		}
		p.updateQuorumContact()
	case p.now >= p.electionDeadline:
		p.startPreVote()
	}
}

func (p *Replica) recentlyActive(w *progress) bool {
	return p.now-w.lastResponseAt <= p.config.QuorumTimeout
}

// Bootstrap writes view 1 with these members on an empty disk, if this member is one of them. The same list
// again does nothing; anything else where something is on disk is refused. All founders must be handed the
// same list.
func (p *Replica) Bootstrap(members []Member) error {
	members, clusterID := sortedMembers(members), p.clusterIDFor(members)
	mine := false
	for i, m := range members {
		if m.ID == 0 || i > 0 && members[i-1].ID == m.ID {
			return errors.Errorf("a founder's id %d is 0 or twice in the list", m.ID)
		}
		mine = mine || m.ID == p.self.ID
	}
	switch {
	case !mine:
		return errors.New("this member is not among the founders")
	case p.clusterID == clusterID:
		return nil
	case p.clusterID != 0:
		return errors.New("there is something on disk already")
	}
	p.clusterID, p.term, p.maxSeenTerm = clusterID, 1, 1
	p.snapshot = Snapshot{Index: 1, View: 1, Members: members}
	p.memberConfigs = []memberConfig{{1, members}}
	p.commitIndex, p.unwrittenSnapshot = 1, true
	p.markUnwritten(2)
	p.resetElectionDeadline()
	return nil
}

// ClusterIDOf names the founding by these members, in whatever order.
func ClusterIDOf(members []Member) uint64 {
	hash := fnv.New32a()
	for _, m := range sortedMembers(members) {
		hash.Write(append(binary.AppendUvarint(nil, uint64(m.ID)), m.Addr...))
	}
	return uint64(hash.Sum32()) | 1
}

func sortedMembers(members []Member) []Member {
	members = slices.Clone(members)
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	return members
}

// Propose asks for an entry; its Outcome carries the token, which is the host's and not used twice. The
// data is kept.
func (p *Replica) Propose(token uint64, data []byte) {
	if v := p.admitRequest(len(p.proposals)); v != OutcomeCommitted {
		p.finish(token, 0, v)
		return
	}
	if p.config.MaxUncommittedBytes > 0 && p.commitIndex < p.lastIndex() && p.uncommittedBytes()+len(data) > p.config.MaxUncommittedBytes {
		p.finish(token, 0, OutcomeBusy) // the disks are not for any number of large ones that wait
		return
	}
	p.proposals[p.appendToOwnTerm(Entry{Kind: EntryNormal, Data: data})] = token
}

// Read asks what is committed; see Outcome.
func (p *Replica) Read(token uint64) {
	if p.role != roleLeader || len(p.reads) >= p.config.MaxPending {
		p.finish(token, 0, p.admitRequest(len(p.reads)))
		return
	}
	p.reads = append(p.reads, pendingRead{token, p.readSeq + 1})
	p.replicationPending = true
}

// admitRequest tells why a proposal is not taken; Done if it is.
func (p *Replica) admitRequest(waiting int) OutcomeStatus {
	switch _, _, known := p.Leader(); {
	case p.role != roleLeader && known:
		return OutcomeNotLeader
	case p.role != roleLeader || p.now < p.transferDeadline:
		return OutcomeNoLeader
	case waiting >= p.config.MaxPending:
		return OutcomeBusy
	}
	return OutcomeCommitted
}

func (p *Replica) finish(token, index uint64, v OutcomeStatus) {
	o := Outcome{Token: token, Index: index, Status: v}
	if v == OutcomeNotLeader {
		o.Leader, _, _ = p.Leader()
	}
	p.actions = append(p.actions, o)
}

// TransferLeadership lets another member lead, as soon as one has all. Proposals are refused meanwhile; after a
// second without a new leader they are taken again.
func (p *Replica) TransferLeadership() {
	if p.role == roleLeader && p.now >= p.transferDeadline {
		p.transferDeadline = p.now + p.config.QuorumTimeout
		p.maybeTransferLeadership()
	}
}

// Synced tells that the write nr and all before it are on disk.
func (p *Replica) Synced(nr uint64) {
	invariant.That(nr < p.nextWriteSeq, "what is synced was written")
	p.syncedWriteSeq = max(p.syncedWriteSeq, nr)
	for len(p.unsyncedWrites) > 0 && p.unsyncedWrites[0].seq <= nr {
		p.syncedIndex = max(p.syncedIndex, p.unsyncedWrites[0].lastIndex)
		p.bootstrapSynced = p.bootstrapSynced || p.clusterID != 0 && p.syncedIndex > 0
		p.unsyncedWrites = p.unsyncedWrites[1:]
	}
	n := 0
	for ; n < len(p.pendingReplies) && p.pendingReplies[n].writeSeq <= p.syncedWriteSeq; n++ {
		p.sendPendingReply(p.pendingReplies[n])
	}
	p.pendingReplies = p.pendingReplies[n:]
	if p.role == roleLeader {
		p.maybeCommit()
	}
}

// Compact puts the host's state after an index that was committed in the place of the log up to there.
func (p *Replica) Compact(index uint64, state []byte) {
	invariant.That(index <= p.commitIndex, "only what was delivered goes into a snapshot")
	if index <= p.snapshot.Index || index > p.commitIndex {
		return
	}
	view, _ := p.termAt(index)
	gone, before := p.log[:index-p.snapshot.Index], p.snapshot.View
	p.log = slices.Clone(p.log[index-p.snapshot.Index:])
	for len(p.memberConfigs) > 1 && p.memberConfigs[1].index <= index {
		p.memberConfigs = p.memberConfigs[1:]
	}
	p.snapshot = Snapshot{Index: index, View: view, Members: p.memberConfigs[0].members, State: state}
	p.retainTrailing(gone, before)
	p.unwrittenSnapshot = true
	p.markUnwritten(0)
}

// Next is what is to be done, until there is nothing.
func (p *Replica) Next() (Action, bool) {
	if len(p.actions) == 0 && p.replicationPending {
		p.replicationPending = false
		p.replicateAll()
	}
	if len(p.actions) == 0 && p.unwritten {
		p.actions = append(p.actions, p.takeWrite())
	}
	if len(p.actions) == 0 {
		if at := p.nextDeadline(); at != p.announcedDeadline && at != never {
			p.announcedDeadline = at
			return Wake{at}, true
		}
		return nil, false
	}
	a := p.actions[0]
	if p.actions = p.actions[1:]; len(p.actions) == 0 {
		p.actions = nil
	}
	return a, true
}

func (p *Replica) nextDeadline() time.Duration {
	if p.role == roleLeader {
		return p.heartbeatAt
	}
	return p.electionDeadline
}

// random is splitmix64: below n, by the seed.
func (p *Replica) random(n time.Duration) time.Duration {
	p.randomState += 0x9e3779b97f4a7c15
	z := p.randomState
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return time.Duration((z ^ z>>31) % uint64(max(n, 1)))
}
