package replication

import (
	"math"
	"time"

	"clovergap/internal/invariant"
)

// never is a deadline that does not come.
const never = time.Duration(math.MaxInt64)

// role is what a member does in its term.
type role uint8

const (
	roleFollower     role = iota
	rolePreCandidate      // asks whether others have lost the leader too
	roleCandidate         // asks for votes
	roleLeader
)

// String is the text in the control API's status.
func (r role) String() string { return [...]string{"following", "checking", "stopping", "leading"}[r] }

// Replica is one member of a cluster and its copy of the log. It is for one goroutine at a time. See the package's documentation
// for what its host must do.
type Replica struct {
	self        Member
	config      Config
	now         time.Duration
	randomState uint64

	// The cluster, term and log.
	clusterID       uint64
	term            uint64
	votedFor        MemberID // in term: a candidate, or the leader
	log             entryLog
	memberConfigs   []memberConfig // the list at the snapshot, and those in the log; never empty
	commitIndex     uint64
	syncedIndex     uint64 // the log is on disk up to here
	bootstrapSynced bool   // the cluster ID is on disk

	// Writes: see durability.go.
	nextWriteSeq       uint64 // of the next write
	syncedWriteSeq     uint64
	writeNeeded        bool   // the disk lacks something
	unwrittenFromIndex uint64 // index from which entries are not written; 0: none
	unwrittenSnapshot  bool
	unsyncedWrites     []unsyncedWrite
	pendingReplies     []pendingReply

	// Following a leader.
	role                role
	leaderID            MemberID // of term; 0: not known
	leaderContactAt     time.Duration
	matchIndex          uint64       // the log is as the leader's up to here
	readSeq             uint64       // the newest received from the leader; as leader, the newest sent
	ackedReadSeq        uint64       // the newest acknowledged to the leader
	replicatedElsewhere uint64       // as the leader last sent it: see ReplicatedElsewhere
	incoming            BlobReceiver // from the leader

	// Elections: see election.go.
	sawLeader         bool // since the start, of any term
	failedElections   int  // since the last contact with a leader
	electionStartedAt time.Duration
	electionDeadline  time.Duration
	announcedDeadline time.Duration            // the last Wake
	maxSeenTerm       uint64                   // in any message of this cluster
	preVoteSeq        uint64                   // distinguishes attempts
	preVotes          map[MemberID]bool        // members that have lost the leader
	votes             map[MemberID]logPosition // with each voter's last position
	voteRequests      map[MemberID]Member      // members that were sent a request
	fetchingLogFrom   MemberID

	// Contact with a majority: see contact.go.
	clock         Clock
	leaderClock   uint32 // the newest received from the leader of this term
	quorumContact contactState

	// Leading: see leader.go, read.go and transfer.go.
	peers                      map[MemberID]*progress // members of both lists, and the learner
	termStartIndex             uint64                 // of the no-op that began the term
	nextHeartbeatAt            time.Duration
	proposals                  map[uint64]uint64 // token by index
	reads                      []pendingRead
	replicationPending         bool          // entries or reads are to be sent before Next has nothing more
	snapshotBlob               *Blob         // of the latest snapshot's state, once it was sent
	leadershipTransferDeadline time.Duration // until then proposals are refused, for another member to lead
	transferee                 MemberID      // the one that is preferred; 0: any

	// Changes of members: see membership.go.
	lostSince          map[MemberID]time.Duration // members that the host does not reach; also at followers
	learner            MemberID                   // 0: none
	learnerConfig      memberConfig               // the list once the learner has caught up; without members: it is delayed
	learnerStartedAt   time.Duration
	learnerProgressAt  time.Duration // its disk last had something new
	lastDroppedLearner MemberID

	actions []Action // to be handed out by Next
}

// New returns a replica that continues from what a disk has. Times are the host's, counted from any start; the seed decides
// random delays.
func New(self Member, state PersistentState, config Config, seed int64, now time.Duration) *Replica {
	invariant.Assert(self.ID != 0 && self.ID == state.ID, "a disk keeps its member ID")
	r := &Replica{
		self:             self,
		config:           config,
		now:              now,
		randomState:      uint64(seed) ^ uint64(self.ID),
		clusterID:        state.ClusterID,
		term:             state.Term,
		votedFor:         state.Vote,
		maxSeenTerm:      state.Term,
		log:              entryLog{snapshot: state.Snapshot},
		memberConfigs:    []memberConfig{{state.Snapshot.Index, state.Snapshot.Members}},
		commitIndex:      state.Snapshot.Index,
		bootstrapSynced:  state.ClusterID != 0,
		nextWriteSeq:     1,
		leaderContactAt:  now - config.ElectionTimeout,
		electionDeadline: never,
		quorumContact:    contactState{lastContactAt: noContact},
		proposals:        map[uint64]uint64{},
		lostSince:        map[MemberID]time.Duration{},
	}
	r.clock = NewClock(r.randomState)
	for _, e := range state.Entries {
		r.appendEntry(e)
	}
	r.syncedIndex = r.log.lastIndex()
	if state.Snapshot.Index > 0 {
		r.actions = append(r.actions, Restore{state.Snapshot.Index, state.Snapshot.State})
	}
	r.commitTo(state.Commit)
	r.writeNeeded = false // a committed list marked it: that is on disk
	r.resetElectionDeadline()
	return r
}

// Tick advances the time. After the process was suspended it comes before the messages that arrived meanwhile, so that a leader that
// has lost its quorum steps down before it answers anything.
func (r *Replica) Tick(now time.Duration) {
	r.now = max(r.now, now)
	switch {
	case r.role == roleLeader:
		r.tickLeader()
	case r.now >= r.electionDeadline:
		r.startPreVote()
	}
}

// Step takes a message from a member, or from a node that may become one.
func (r *Replica) Step(from MemberID, m Message) {
	if m.Recipient != r.self.ID && !r.hasMutation(countWipedDisk) || from == r.self.ID {
		return
	}
	if r.clusterID == 0 || m.ClusterID != r.clusterID && r.hasOnlyBootstrap() {
		r.stepBeforeJoining(from, m)
		return
	}
	if m.ClusterID != r.clusterID {
		return
	}
	r.maxSeenTerm = max(r.maxSeenTerm, m.Term)
	switch m.Kind {
	case MsgAppend:
		r.onAppend(from, m)
	case MsgAppendChunk:
		r.onChunk(from, m)
	case MsgAppendAck, MsgAppendReject, MsgChunkAck:
		r.onAppendResponse(from, m)
	case MsgStaleTerm:
		r.onStaleTerm(from, m)
	case MsgPreVote:
		r.onPreVote(from, m)
	case MsgPreVoteResponse:
		r.onPreVoteResponse(from, m)
	case MsgRequestVote:
		r.onRequestVote(from, m)
	case MsgVoteGranted:
		r.onVoteGranted(from, m)
	case MsgFetchLog:
		r.onFetchLog(from, m)
	case MsgLogTail:
		r.onLogTail(m)
	case MsgTimeoutNow:
		r.onTimeoutNow(from, m)
	}
}

// Propose asks for an entry with this data, which must not change any more. The Outcome carries the token, which the host uses
// once.
func (r *Replica) Propose(token uint64, data []byte) {
	if status := r.admissionStatus(len(r.proposals)); status != OutcomeCommitted {
		r.finishRequest(token, 0, status)
		return
	}
	pending := r.commitIndex < r.log.lastIndex()
	if limit := r.config.MaxUncommittedBytes; limit > 0 && pending && r.uncommittedBytes()+len(data) > limit {
		r.finishRequest(token, 0, OutcomeBusy)
		return
	}
	index := r.appendInCurrentTerm(Entry{Kind: EntryNormal, Data: data})
	r.proposals[index] = token
}

// admitRequest returns why a proposal or a read can't be taken while so many are pending; OutcomeCommitted if it can.
func (r *Replica) admissionStatus(pending int) OutcomeStatus {
	switch _, _, known := r.Leader(); {
	case r.role != roleLeader && known:
		return OutcomeNotLeader
	case r.role != roleLeader || r.now < r.leadershipTransferDeadline:
		return OutcomeNoLeader
	case pending >= r.config.MaxPending:
		return OutcomeBusy
	}
	return OutcomeCommitted
}

// finish ends a proposal or a read.
func (r *Replica) finishRequest(token, index uint64, status OutcomeStatus) {
	outcome := Outcome{Token: token, Index: index, Status: status}
	if status == OutcomeNotLeader {
		outcome.Leader, _, _ = r.Leader()
	}
	r.actions = append(r.actions, outcome)
}

// Next returns what the host is to do next, and false once there is nothing more until the next input. Sending is put off until
// the actions before it are taken, so that all proposals of one turn go in one message and one write.
func (r *Replica) Next() (Action, bool) {
	if len(r.actions) == 0 && r.replicationPending {
		r.replicationPending = false
		r.replicateAll()
	}
	if len(r.actions) == 0 && r.writeNeeded {
		r.actions = append(r.actions, r.takeWrite())
	}
	if len(r.actions) == 0 {
		if deadline := r.nextDeadline(); deadline != r.announcedDeadline && deadline != never {
			r.announcedDeadline = deadline
			return Wake{deadline}, true
		}
		return nil, false
	}
	action := r.actions[0]
	if r.actions = r.actions[1:]; len(r.actions) == 0 {
		r.actions = nil // lets go of the array
	}
	return action, true
}

func (r *Replica) nextDeadline() time.Duration {
	if r.role == roleLeader {
		return r.nextHeartbeatAt
	}
	return r.electionDeadline
}

// send sends a message to a member of any list in the log, or to a learner.
func (r *Replica) sendToID(to MemberID, m Message) {
	if peer := r.peers[to]; peer != nil {
		r.sendToMember(peer.Member, m)
		return
	}
	if to == r.self.ID {
		return
	}
	for i := len(r.memberConfigs) - 1; i >= 0; i-- {
		for _, member := range r.memberConfigs[i].members {
			if member.ID == to {
				r.sendToMember(member, m)
				return
			}
		}
	}
	r.sendToMember(Member{ID: to}, m) // the host may know its address
}

func (r *Replica) sendToMember(to Member, m Message) {
	m.Recipient = to.ID
	if m.ClusterID == 0 {
		m.ClusterID = r.clusterID
	}
	r.actions = append(r.actions, Send{to, m})
}

// random draws a time below a bound, by splitmix64 (Steele, Lea and Flood, 2014) from the seed that New was given.
func (r *Replica) randomDuration(bound time.Duration) time.Duration {
	r.randomState += 0x9e3779b97f4a7c15
	z := r.randomState
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return time.Duration((z ^ z>>31) % uint64(max(bound, 1)))
}
