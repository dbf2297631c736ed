package replication

import "clovergap/internal/invariant"

const (
	// startupTimeoutDivisor shortens the first election time-out of a process that knows of no leader yet: after a loss of
	// power everywhere there is none. Where there is one, the pre-vote keeps it.
	startupTimeoutDivisor = 3

	// maxElectionBackoff bounds the election time-out in multiples of Config.ElectionTimeout. Each election without a leader
	// doubles it: where every sync takes longer than the time-out, candidates would otherwise depose each other for ever.
	maxElectionBackoffFactor = 4

	// voteTimeoutFactor is how many times as long as its own disk took a candidate allows for votes: others' disks may be busier.
	voteTimeoutFactor = 3
)

// resetElectionDeadline starts the election time-out anew. Only members start elections.
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

// ReportUnreachable reports that the connection to a member broke. If that is the leader, this member starts a pre-vote soon, as do
// the others whose connections broke; those that still hear the leader reject it.
func (r *Replica) ReportUnreachable(id MemberID) {
	if r.role != roleFollower || r.leaderID != id || r.electionDeadline == never {
		return
	}
	r.leaderContactAt = min(r.leaderContactAt, r.now-r.config.ElectionTimeout)
	r.electionDeadline = min(r.electionDeadline, r.now+r.randomDuration(r.config.HeartbeatInterval/2))
}

// enterTerm goes on to a newer term, or in the present one to another leader than the candidate that this member voted for.
func (r *Replica) enterTerm(term uint64, votedFor MemberID) {
	invariant.Assert(term >= r.term, "terms never go back")
	if r.role == roleLeader {
		r.stepDown()
	}
	r.term, r.votedFor = term, votedFor
	r.maxSeenTerm = max(r.maxSeenTerm, term)
	r.role, r.leaderID = roleFollower, 0
	r.matchIndex, r.readSeq, r.ackedReadSeq, r.leaderClock = 0, 0, 0, 0
	r.requireWrite(0)
}

// startPreVote asks the others whether they have lost the leader too. Without it, a partitioned member would raise the
// term in vain, and depose the leader when it comes back.
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
	r.startElectionIfPreVoted()
}

func (r *Replica) onPreVote(from MemberID, m Message) {
	leaderLost := r.role != roleLeader && r.now-r.leaderContactAt >= r.config.ElectionTimeout
	r.sendToID(from, Message{Kind: MsgPreVoteResponse, Term: r.term, Seq: m.Seq, Rejected: !leaderLost})
}

func (r *Replica) onPreVoteResponse(from MemberID, m Message) {
	if r.role == rolePreCandidate && m.Seq == r.preVoteSeq && !m.Rejected {
		r.preVotes[from] = true
		r.startElectionIfPreVoted()
	}
}

func (r *Replica) startElectionIfPreVoted() {
	if r.hasQuorum(func(id MemberID) bool { return r.preVotes[id] }) {
		r.startElection()
	}
}

// startElection raises the term and votes for this member. The others are requested to once that vote is on disk: one that can't sync
// could not lead, and had better not depose the leader.
func (r *Replica) startElection() {
	r.enterTerm(max(r.term, r.maxSeenTerm)+1, r.self.ID)
	r.role, r.fetchingLogFrom = roleCandidate, 0
	r.votes, r.voteRequests = map[MemberID]logPosition{}, map[MemberID]Member{}
	r.resetElectionDeadline()
	r.failedElections++
	r.electionStartedAt = r.now
	r.replyAfterSync(pendingReply{kind: MsgRequestVote, term: r.term})
}

// awaitVotes puts the next election off until the others have had time to sync their votes: one that starts while they write
// makes those votes worthless.
func (r *Replica) extendElectionDeadline() {
	if r.electionDeadline == never || r.hasMutation(skipTieBreak) {
		return
	}
	ownSync := r.now - r.electionStartedAt
	voteTimeout := min(voteTimeoutFactor*ownSync, maxElectionBackoffFactor*r.config.ElectionTimeout)
	r.electionDeadline = max(r.electionDeadline, r.now+voteTimeout)
}

// onRequestVote votes for the first candidate of a term, whatever its log: it fetches the newest one before it leads.
func (r *Replica) onRequestVote(from MemberID, m Message) {
	if m.Term < r.term || m.Term == r.term && r.votedFor != from && !r.hasMutation(voteTwice) {
		r.sendToID(from, Message{Kind: MsgStaleTerm, Term: r.term, Rejected: r.role == roleCandidate})
		return
	}
	if m.Term > r.term || r.hasMutation(voteTwice) {
		r.enterTerm(m.Term, from)
		r.leaderContactAt, r.sawLeader = r.now, true // the candidate gets an election time-out to lead
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

// tallyVotes asks for the votes that are missing, and leads with a majority's if this log is the newest of theirs.
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
	if !r.isMember(r.self.ID) { // the newest log has a list without this member: another one will start an election
		r.role = roleFollower
		r.resetElectionDeadline()
		return
	}
	r.becomeLeader()
}

// requestVotes sends a request to the members that were not sent one in this term. A log that was fetched may have brought new ones.
func (r *Replica) requestVotes() {
	for _, m := range r.otherMembers() {
		if _, asked := r.voteRequests[m.ID]; !asked {
			r.voteRequests[m.ID] = m
			r.sendToMember(m, Message{Kind: MsgRequestVote, Term: r.term})
		}
	}
}

// newestVoter is the voter with the newest log: this member if none is newer than its own, else the lowest ID of several.
func (r *Replica) voterWithNewestLog() MemberID {
	newest, position := r.self.ID, r.log.lastPosition()
	for id, last := range r.votes {
		if last.newerThan(position) || last == position && newest != r.self.ID && id < newest {
			newest, position = id, last
		}
	}
	return newest
}

// onFetchLog gives this member's log to the candidate that it voted for.
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
		// In one message it would delay everything else on the link. This member leads instead, and brings the candidate up to
		// date in chunks.
		r.startElection()
		return
	}
	r.sendToID(from, tail)
}

// onLogTail takes over the newest voter's log.
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
	r.installSnapshotIfNewer(m.Snapshot)
	r.appendAfter(m.Index, m.Entries)
	r.tallyVotes()
}

// onStaleTerm takes the answer of a member that does not follow this one's term.
func (r *Replica) onStaleTerm(from MemberID, m Message) {
	// A majority may follow a newer term. A learner does not count.
	if r.role == roleLeader && m.Term > r.term && r.peers[from] != nil && from != r.learner {
		r.stepDown()
	}
	// Two candidates of one term keep each other from a majority. The lower ID starts another election, and the other one votes
	// for it.
	if r.role == roleCandidate && m.Rejected && m.Term == r.term && r.self.ID < from && !r.hasMutation(skipTieBreak) {
		r.startElection()
	}
}

// onTimeoutNow starts an election without a pre-vote: the leader transfers its leadership.
func (r *Replica) onTimeoutNow(from MemberID, m Message) {
	if m.Term == r.term && r.leaderID == from && r.role == roleFollower && r.isMember(r.self.ID) {
		r.startElection()
	}
}
