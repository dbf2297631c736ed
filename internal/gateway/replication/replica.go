package replication

import (
	"math"
	"time"

	"clovergap/internal/invariant"
)

// never is a deadline that is never reached.
const never = time.Duration(math.MaxInt64)

// role is the role of a member in its term.
type role uint8

const (
	roleFollower     role = iota
	rolePreCandidate      // asks the other members whether they have lost the leader too
	roleCandidate         // requests votes
	roleLeader
)

// String returns the text in the status of the control API. The text of a pre-candidate is "checking", and that of a candidate
// is "stopping".
func (r role) String() string { return [...]string{"following", "checking", "stopping", "leading"}[r] }

// Replica is one member of a cluster with its copy of the log. It must not be called from several goroutines at the same time. The
// package documentation lists the obligations of its host.
type Replica struct {
	self        Member
	config      Config
	now         time.Duration
	randomState uint64

	// Cluster, term and log.
	clusterID       uint64
	term            uint64
	votedFor        MemberID // in term: the candidate that got the vote, or the leader
	log             entryLog
	memberConfigs   []memberConfig // the member list of the snapshot, then the member lists in the log; never empty
	commitIndex     uint64
	syncedIndex     uint64 // the log is on disk up to this index
	bootstrapSynced bool   // the cluster ID is on disk

	// Writes: see durability.go.
	nextWriteSeq       uint64 // sequence number of the next write
	syncedWriteSeq     uint64 // sequence number of the last write that is on disk
	writeNeeded        bool   // the disk lacks a part of the state
	unwrittenFromIndex uint64 // index from which entries are not written yet; 0: none
	unwrittenSnapshot  bool   // the snapshot is not written yet
	unsyncedWrites     []unsyncedWrite
	pendingReplies     []pendingReply

	// State of a follower.
	role                role
	leaderID            MemberID      // leader of the current term; 0: not known
	leaderContactAt     time.Duration // time of the last message from a leader or of a later vote for a candidate; earlier if the leader is lost
	matchIndex          uint64        // this member's log equals the leader's log up to this index
	readSeq             uint64        // newest read sequence: as received from the leader, or as sent by this leader
	ackedReadSeq        uint64        // newest read sequence that was acknowledged to the leader
	replicatedElsewhere uint64        // the leader's last Message.ReplicatedElsewhere: see IndexReplicatedElsewhere
	incoming            BlobReceiver  // chunks from the leader

	// Elections: see election.go.
	sawLeader         bool // a leader of any term was seen since the process started
	failedElections   int  // number of own elections since this member last led or received a message from a leader
	electionStartedAt time.Duration
	electionDeadline  time.Duration            // when the election timeout ends; never: no election
	announcedDeadline time.Duration            // the deadline of the last Wake
	maxSeenTerm       uint64                   // highest term in any message of this cluster
	preVoteSeq        uint64                   // number of the current pre-vote attempt
	preVotes          map[MemberID]bool        // members that granted the current pre-vote
	votes             map[MemberID]logPosition // last log position of each voter
	voteRequests      map[MemberID]Member      // members to which a vote request was sent
	fetchingLogFrom   MemberID                 // voter that was asked for its newer log; 0: none

	// Quorum contact: see contact.go.
	clock         Clock
	leaderClock   uint32 // newest clock received from the leader of this term
	quorumContact contactState

	// State of a leader: see leader.go, read.go and transfer.go.
	peers                      map[MemberID]*progress // members of all lists in effect, and the learner
	termStartIndex             uint64                 // index of the no-op entry that started the term
	nextHeartbeatAt            time.Duration
	proposals                  map[uint64]uint64 // proposals without an Outcome: token by log index
	reads                      []pendingRead
	replicationPending         bool          // entries or reads must be sent before Next returns false
	snapshotBlob               *Blob         // the state of the latest snapshot, if it was sent in chunks
	leadershipTransferDeadline time.Duration // proposals are refused until then, because of a leadership transfer
	transferee                 MemberID      // preferred new leader; 0: any member

	// Membership changes: see membership.go.
	lostSince          map[MemberID]time.Duration // lost members, with the time of the loss; also tracked on followers
	learner            MemberID                   // 0: none
	learnerConfig      memberConfig               // member list that is appended once the learner has caught up; nil members delay the promotion
	learnerStartedAt   time.Duration
	learnerProgressAt  time.Duration // when the learner started or last acknowledged new entries
	lastDroppedLearner MemberID      // 0: no learner was dropped

	actions []Action // actions that Next has not returned yet, in order
}

// New returns a replica that continues from the state on disk. `now` is the time since any fixed start, for example the start of the
// process. The host must use the same start for all calls. The seed determines the random delays.
func New(self Member, state PersistentState, config Config, seed int64, now time.Duration) *Replica {
	invariant.Assert(self.ID != 0 && self.ID == state.ID, "the member ID is not 0 and equals the ID on disk")
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
	r.commitUpTo(state.Commit)
	r.writeNeeded = false // commitUpTo requested a write for a committed member list, which is already on disk
	r.resetElectionDeadline()
	return r
}

// Tick advances the time. After a suspension of the process, the host must call Tick before it passes on messages that arrived during
// the suspension. A leader that has lost its quorum then steps down before it answers any message.
func (r *Replica) Tick(now time.Duration) {
	r.now = max(r.now, now)
	switch {
	case r.role == roleLeader:
		r.tickLeader()
	case r.now >= r.electionDeadline:
		r.startPreVote()
	}
}

// Step handles a message from a member, or from a node that may become a member.
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

// Propose requests a new entry with this data. The data must not change afterwards. The Outcome contains the token, which the host
// must use only once.
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

// admissionStatus returns the status with which a proposal or a read is refused. `pending` is the number of proposals or reads that are
// already pending. If the request is accepted, it returns OutcomeCommitted.
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

// finishRequest ends a proposal or a read with an Outcome.
func (r *Replica) finishRequest(token, index uint64, status OutcomeStatus) {
	outcome := Outcome{Token: token, Index: index, Status: status}
	if status == OutcomeNotLeader {
		outcome.Leader, _, _ = r.Leader()
	}
	r.actions = append(r.actions, outcome)
}

// Next returns the next action for the host. It returns false if there is no action until the next input. New entries are sent and
// written only after the host has taken all earlier actions. So the proposals of one batch of inputs share one message and one write.
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
		r.actions = nil // releases the array
	}
	return action, true
}

func (r *Replica) nextDeadline() time.Duration {
	if r.role == roleLeader {
		return r.nextHeartbeatAt
	}
	return r.electionDeadline
}

// sendToID sends a message to a member of any list in the log, or to a learner.
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
	r.sendToMember(Member{ID: to}, m) // the host may know the address
}

func (r *Replica) sendToMember(to Member, m Message) {
	m.Recipient = to.ID
	if m.ClusterID == 0 {
		m.ClusterID = r.clusterID
	}
	r.actions = append(r.actions, Send{to, m})
}

// randomDuration returns a random duration below a bound. It uses splitmix64 (Steele, Lea and Flood, 2014) with the seed passed to New.
func (r *Replica) randomDuration(bound time.Duration) time.Duration {
	r.randomState += 0x9e3779b97f4a7c15
	z := r.randomState
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return time.Duration((z ^ z>>31) % uint64(max(bound, 1)))
}
