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

	"clovergap/internal/invariant"
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

func (l logPosition) newerThan(b logPosition) bool {
	return l.term > b.term || l.term == b.term && l.index > b.index
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
func (r *Replica) Tick(t time.Duration) {
	r.now = max(r.now, t)
	switch {
	case r.role == roleLeader:
		heard := func(id MemberID) bool { return id == r.self.ID || r.peers[id] != nil && r.recentlyActive(r.peers[id]) }
		if !r.hasQuorum(heard) {
			r.stepDown()
			return
		}
		if l := r.peers[r.learner]; l != nil && r.now-l.lastResponseAt > r.config.LearnerTimeout && r.fault != keepDead {
			r.dropLearner()
		}
		if r.now >= r.heartbeatAt {
			r.startReadSeq()
			r.broadcastHeartbeat()
		}
		r.updateQuorumContact()
	case r.now >= r.electionDeadline:
		r.startPreVote()
	}
}

func (r *Replica) recentlyActive(w *progress) bool {
	return r.now-w.lastResponseAt <= r.config.QuorumTimeout
}

// Bootstrap writes view 1 with these members on an empty disk, if this member is one of them. The same list
// again does nothing; anything else where something is on disk is refused. All founders must be handed the
// same list.
func (r *Replica) Bootstrap(members []Member) error {
	members, clusterID := sortedMembers(members), r.clusterIDFor(members)
	mine := false
	for i, m := range members {
		if m.ID == 0 || i > 0 && members[i-1].ID == m.ID {
			return errors.Errorf("a founder's id %d is 0 or twice in the list", m.ID)
		}
		mine = mine || m.ID == r.self.ID
	}
	switch {
	case !mine:
		return errors.New("this member is not among the founders")
	case r.clusterID == clusterID:
		return nil
	case r.clusterID != 0:
		return errors.New("there is something on disk already")
	}
	r.clusterID, r.term, r.maxSeenTerm = clusterID, 1, 1
	r.snapshot = Snapshot{Index: 1, View: 1, Members: members}
	r.memberConfigs = []memberConfig{{1, members}}
	r.commitIndex, r.unwrittenSnapshot = 1, true
	r.markUnwritten(2)
	r.resetElectionDeadline()
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
func (r *Replica) Propose(token uint64, data []byte) {
	if v := r.admitRequest(len(r.proposals)); v != OutcomeCommitted {
		r.finish(token, 0, v)
		return
	}
	if r.config.MaxUncommittedBytes > 0 && r.commitIndex < r.lastIndex() && r.uncommittedBytes()+len(data) > r.config.MaxUncommittedBytes {
		r.finish(token, 0, OutcomeBusy) // the disks are not for any number of large ones that wait
		return
	}
	r.proposals[r.appendToOwnTerm(Entry{Kind: EntryNormal, Data: data})] = token
}

// Read asks what is committed; see Outcome.
func (r *Replica) Read(token uint64) {
	if r.role != roleLeader || len(r.reads) >= r.config.MaxPending {
		r.finish(token, 0, r.admitRequest(len(r.reads)))
		return
	}
	r.reads = append(r.reads, pendingRead{token, r.readSeq + 1})
	r.replicationPending = true
}

// admitRequest tells why a proposal is not taken; Done if it is.
func (r *Replica) admitRequest(waiting int) OutcomeStatus {
	switch _, _, known := r.Leader(); {
	case r.role != roleLeader && known:
		return OutcomeNotLeader
	case r.role != roleLeader || r.now < r.transferDeadline:
		return OutcomeNoLeader
	case waiting >= r.config.MaxPending:
		return OutcomeBusy
	}
	return OutcomeCommitted
}

func (r *Replica) finish(token, index uint64, v OutcomeStatus) {
	o := Outcome{Token: token, Index: index, Status: v}
	if v == OutcomeNotLeader {
		o.Leader, _, _ = r.Leader()
	}
	r.actions = append(r.actions, o)
}

// TransferLeadership lets another member lead, as soon as one has all. Proposals are refused meanwhile; after a
// second without a new leader they are taken again.
func (r *Replica) TransferLeadership() {
	if r.role == roleLeader && r.now >= r.transferDeadline {
		r.transferDeadline = r.now + r.config.QuorumTimeout
		r.maybeTransferLeadership()
	}
}

// Synced tells that the write nr and all before it are on disk.
func (r *Replica) Synced(nr uint64) {
	invariant.That(nr < r.nextWriteSeq, "what is synced was written")
	r.syncedWriteSeq = max(r.syncedWriteSeq, nr)
	for len(r.unsyncedWrites) > 0 && r.unsyncedWrites[0].seq <= nr {
		r.syncedIndex = max(r.syncedIndex, r.unsyncedWrites[0].lastIndex)
		r.bootstrapSynced = r.bootstrapSynced || r.clusterID != 0 && r.syncedIndex > 0
		r.unsyncedWrites = r.unsyncedWrites[1:]
	}
	n := 0
	for ; n < len(r.pendingReplies) && r.pendingReplies[n].writeSeq <= r.syncedWriteSeq; n++ {
		r.sendPendingReply(r.pendingReplies[n])
	}
	r.pendingReplies = r.pendingReplies[n:]
	if r.role == roleLeader {
		r.maybeCommit()
	}
}

// Compact puts the host's state after an index that was committed in the place of the log up to there.
func (r *Replica) Compact(index uint64, state []byte) {
	invariant.That(index <= r.commitIndex, "only what was delivered goes into a snapshot")
	if index <= r.snapshot.Index || index > r.commitIndex {
		return
	}
	view, _ := r.termAt(index)
	gone, before := r.log[:index-r.snapshot.Index], r.snapshot.View
	r.log = slices.Clone(r.log[index-r.snapshot.Index:])
	for len(r.memberConfigs) > 1 && r.memberConfigs[1].index <= index {
		r.memberConfigs = r.memberConfigs[1:]
	}
	r.snapshot = Snapshot{Index: index, View: view, Members: r.memberConfigs[0].members, State: state}
	r.retainTrailing(gone, before)
	r.unwrittenSnapshot = true
	r.markUnwritten(0)
}

// Next is what is to be done, until there is nothing.
func (r *Replica) Next() (Action, bool) {
	if len(r.actions) == 0 && r.replicationPending {
		r.replicationPending = false
		r.replicateAll()
	}
	if len(r.actions) == 0 && r.unwritten {
		r.actions = append(r.actions, r.takeWrite())
	}
	if len(r.actions) == 0 {
		if at := r.nextDeadline(); at != r.announcedDeadline && at != never {
			r.announcedDeadline = at
			return Wake{at}, true
		}
		return nil, false
	}
	a := r.actions[0]
	if r.actions = r.actions[1:]; len(r.actions) == 0 {
		r.actions = nil
	}
	return a, true
}

func (r *Replica) nextDeadline() time.Duration {
	if r.role == roleLeader {
		return r.heartbeatAt
	}
	return r.electionDeadline
}

// random is splitmix64: below n, by the seed.
func (r *Replica) random(n time.Duration) time.Duration {
	r.randomState += 0x9e3779b97f4a7c15
	z := r.randomState
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return time.Duration((z ^ z>>31) % uint64(max(n, 1)))
}
