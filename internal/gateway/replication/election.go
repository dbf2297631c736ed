package replication

import "clovergap/internal/invariant"

const (
	// startupTimeoutDivisor divides the election timeout of a process that has not seen a leader since its start, because after a
	// power loss on all nodes there is no leader. If a leader exists, the pre-vote prevents an unnecessary election.
	startupTimeoutDivisor = 3

	// maxElectionBackoffFactor limits the election timeout to this multiple of Config.ElectionTimeout. Each election that does not
	// result in a leader doubles the timeout. Without this backoff, candidates would depose each other forever if every sync takes
	// longer than the timeout.
	maxElectionBackoffFactor = 4

	// voteTimeoutFactor is the time that a candidate allows for votes, as a multiple of the time of its own sync. The factor
	// is above 1 because the disks of other members may be busier.
	voteTimeoutFactor = 3
)

// resetElectionDeadline restarts the election timeout. A node that is not a member has no deadline, because only members start
// elections.
func (r *Replica) resetElectionDeadline() {
	r.electionDeadline = never
	if r.clusterID == 0 || !r.isMember(r.self.ID) {
		return
	}
	timeout, jitter := r.config.ElectionTimeout, r.config.ElectionJitter
	if !r.sawLeader {
		timeout, jitter = timeout/startupTimeoutDivisor, jitter/startupTimeoutDivisor
	}
	for n := 0; n < r.failedElections && 2*timeout <= maxElectionBackoffFactor*r.config.ElectionTimeout; n++ {
		timeout, jitter = 2*timeout, 2*jitter
	}
	r.electionDeadline = r.now + timeout + r.randomDuration(jitter)
}

// ReportUnreachable reports that the connection to a member broke. If that member is the leader, this member soon starts a
// pre-vote, like the other members whose connections broke. Members that still receive messages from the leader reject the pre-vote.
func (r *Replica) ReportUnreachable(id MemberID) {
	if r.role != roleFollower || r.leaderID != id || r.electionDeadline == never {
		return
	}
	r.leaderContactAt = min(r.leaderContactAt, r.now-r.config.ElectionTimeout)
	r.electionDeadline = min(r.electionDeadline, r.now+r.randomDuration(r.config.HeartbeatInterval/2))
}

// enterTerm moves to a newer term as a follower. It is also called with the current term, if this member voted for another candidate
// than the one that became leader.
func (r *Replica) enterTerm(term uint64, votedFor MemberID) {
	invariant.Assert(term >= r.term, "the term never decreases")
	if r.role == roleLeader {
		r.stepDown()
	}
	r.term, r.votedFor = term, votedFor
	r.maxSeenTerm = max(r.maxSeenTerm, term)
	r.role, r.leaderID = roleFollower, 0
	r.matchIndex, r.readSeq, r.ackedReadSeq, r.leaderClock = 0, 0, 0, 0
	r.requireWriteFrom(0)
}

// startPreVote asks the other members whether they have lost the leader too. Without a pre-vote, a partitioned member would
// increase the term without being elected, and would depose the leader once the partition heals.
func (r *Replica) startPreVote() {
	r.resetElectionDeadline()
	if r.electionDeadline == never {
		return
	}
	r.role, r.leaderID = rolePreCandidate, 0
	r.preVoteSeq++
	r.preVotes = map[MemberID]bool{r.self.ID: true}
	for _, m := range r.otherMembers() {
		r.sendToMember(m, Message{Kind: MsgPreVote, Term: r.term, Seq: r.preVoteSeq})
	}
	r.startElectionIfPreVoteWon()
}

func (r *Replica) onPreVote(from MemberID, m Message) {
	leaderLost := r.role != roleLeader && r.now-r.leaderContactAt >= r.config.ElectionTimeout
	r.sendToID(from, Message{Kind: MsgPreVoteResponse, Term: r.term, Seq: m.Seq, Rejected: !leaderLost})
}

func (r *Replica) onPreVoteResponse(from MemberID, m Message) {
	if r.role == rolePreCandidate && m.Seq == r.preVoteSeq && !m.Rejected {
		r.preVotes[from] = true
		r.startElectionIfPreVoteWon()
	}
}

func (r *Replica) startElectionIfPreVoteWon() {
	if r.hasQuorum(func(id MemberID) bool { return r.preVotes[id] }) {
		r.startElection()
	}
}

// startElection increases the term and votes for this member. Vote requests are sent only after this vote is on disk: a member
// that cannot sync could not lead, so it should not depose the leader.
func (r *Replica) startElection() {
	r.enterTerm(max(r.term, r.maxSeenTerm)+1, r.self.ID)
	r.role, r.fetchingLogFrom = roleCandidate, 0
	r.votes, r.voteRequests = map[MemberID]logPosition{}, map[MemberID]Member{}
	r.resetElectionDeadline()
	r.failedElections++
	r.electionStartedAt = r.now
	r.replyAfterSync(pendingReply{kind: MsgRequestVote, term: r.term})
}

// extendElectionDeadline postpones this candidate's next election until the other members have had time to sync their votes. A next
// election before that time would start a newer term, in which these votes do not count.
func (r *Replica) extendElectionDeadline() {
	if r.electionDeadline == never || r.hasMutation(skipTieBreak) {
		return
	}
	ownSync := r.now - r.electionStartedAt
	voteTimeout := min(voteTimeoutFactor*ownSync, maxElectionBackoffFactor*r.config.ElectionTimeout)
	r.electionDeadline = max(r.electionDeadline, r.now+voteTimeout)
}

// onRequestVote votes for the first candidate of a term. The vote does not depend on the candidate's log, because a candidate
// fetches the newest log before it leads.
func (r *Replica) onRequestVote(from MemberID, m Message) {
	if m.Term < r.term || m.Term == r.term && r.votedFor != from && !r.hasMutation(voteTwice) {
		r.sendToID(from, Message{Kind: MsgStaleTerm, Term: r.term, Rejected: r.role == roleCandidate})
		return
	}
	if m.Term > r.term || r.hasMutation(voteTwice) {
		r.enterTerm(m.Term, from)
		r.leaderContactAt, r.sawLeader = r.now, true // the candidate has one election timeout to become leader
		r.resetElectionDeadline()
	}
	r.replyAfterSync(pendingReply{kind: MsgVoteGranted, term: m.Term, recipient: from})
}

func (r *Replica) onVoteGranted(from MemberID, m Message) {
	if r.role == roleCandidate && m.Term == r.term {
		r.votes[from] = logPosition{m.LogTerm, m.Index}
		r.tallyVotes()
	}
}

// tallyVotes sends the missing vote requests and counts the votes. If a majority has voted for this candidate, the candidate becomes
// leader if no voter has a newer log. If a voter has a newer log, the candidate fetches the newest log first.
func (r *Replica) tallyVotes() {
	if _, synced := r.votes[r.self.ID]; !synced {
		return
	}
	r.requestVotes()
	hasVoted := func(id MemberID) bool { _, ok := r.votes[id]; return ok }
	if !r.hasQuorum(hasVoted) && !(r.hasMutation(electByMinority) && 2*len(r.votes) >= len(r.Members())-1) {
		return
	}
	if newest := r.voterWithNewestLog(); newest != r.self.ID && !r.hasMutation(leadWithoutNewestLog) {
		if r.fetchingLogFrom != newest {
			r.fetchingLogFrom = newest
			r.sendToID(newest, Message{Kind: MsgFetchLog, Term: r.term, Index: r.commitIndex})
		}
		return
	}
	// This member is not on the member list of the newest log. It must not lead. Another member will start an election.
	if !r.isMember(r.self.ID) {
		r.role = roleFollower
		r.resetElectionDeadline()
		return
	}
	r.becomeLeader()
}

// requestVotes sends a vote request to each member that has not been sent one in this term. It is called repeatedly, because the member
// list can grow during an election if the candidate fetches a newer log.
func (r *Replica) requestVotes() {
	for _, m := range r.otherMembers() {
		if _, asked := r.voteRequests[m.ID]; !asked {
			r.voteRequests[m.ID] = m
			r.sendToMember(m, Message{Kind: MsgRequestVote, Term: r.term})
		}
	}
}

// voterWithNewestLog returns the voter whose log is the newest. It returns this member if no log is newer than its own, and the
// lowest ID if several other voters have the same newest position.
func (r *Replica) voterWithNewestLog() MemberID {
	newest, position := r.self.ID, r.log.lastPosition()
	for id, last := range r.votes {
		if last.newerThan(position) || last == position && newest != r.self.ID && id < newest {
			newest, position = id, last
		}
	}
	return newest
}

// onFetchLog sends this member's log to the candidate that it voted for.
func (r *Replica) onFetchLog(from MemberID, m Message) {
	if m.Term != r.term || r.votedFor != from || r.role != roleFollower || r.leaderID != 0 {
		return
	}
	tail := Message{Kind: MsgLogTail, Term: r.term, Index: m.Index}
	size := 0
	if m.Index < r.log.snapshot.Index {
		snapshot := r.log.snapshot
		tail.Snapshot, tail.Index = &snapshot, snapshot.Index
		size = len(snapshot.State)
	}
	tail.Entries = r.log.entriesFrom(tail.Index + 1)
	size += totalEntryBytes(tail.Entries)
	if r.needsChunks(size) && r.isMember(r.self.ID) {
		// A single message of this size would delay all other traffic on the link. This member starts an election to lead
		// instead, and then sends its log to the candidate in chunks.
		r.startElection()
		return
	}
	r.sendToID(from, tail)
}

// onLogTail updates this candidate's log to the newer log that a voter sent, and removes conflicting entries.
func (r *Replica) onLogTail(m Message) {
	if r.role != roleCandidate || m.Term != r.term {
		return
	}
	var last logPosition
	if n := len(m.Entries); n > 0 {
		last = logPosition{m.Entries[n-1].Term, m.Entries[n-1].Index}
	} else if m.Snapshot != nil {
		last = m.Snapshot.lastPosition()
	}
	if !last.newerThan(r.log.lastPosition()) || m.Snapshot == nil && m.Index > r.commitIndex {
		return
	}
	r.installSnapshotIfNeeded(m.Snapshot)
	r.appendEntriesAfter(m.Index, m.Entries)
	r.tallyVotes()
}

// onStaleTerm handles the response of a member that does not accept this member's term.
func (r *Replica) onStaleTerm(from MemberID, m Message) {
	// The member's newer term shows that a majority may follow a newer term. The response of a learner does not show this, because a
	// learner does not count for a majority.
	if r.role == roleLeader && m.Term > r.term && r.peers[from] != nil && from != r.learner {
		r.stepDown()
	}
	// Two candidates in one term prevent each other from getting a majority. The one with the lower ID starts another
	// election, and the other votes for it.
	if r.role == roleCandidate && m.Rejected && m.Term == r.term && r.self.ID < from && !r.hasMutation(skipTieBreak) {
		r.startElection()
	}
}

// onTimeoutNow handles MsgTimeoutNow, by which the leader transfers its leadership to this member. It starts an election without a
// pre-vote.
func (r *Replica) onTimeoutNow(from MemberID, m Message) {
	if m.Term == r.term && r.leaderID == from && r.role == roleFollower && r.isMember(r.self.ID) {
		r.startElection()
	}
}
