package replication

// Leadership transfer: the leader refuses proposals until a member has its complete log, and asks that one to start an election at
// once, without a pre-vote.

// TransferLeadership has another member lead, as soon as one has all entries. Proposals are refused meanwhile; without a new
// leader after Config.QuorumTimeout they are taken again.
func (r *Replica) TransferLeadership() {
	if r.role == roleLeader && r.now >= r.leadershipTransferDeadline {
		r.leadershipTransferDeadline = r.now + r.config.QuorumTimeout
		r.maybeTransferLeadership()
	}
}

// TransferLeadershipTo is TransferLeadership to a certain member, or to any other if that one does not answer.
func (r *Replica) TransferLeadershipTo(id MemberID) {
	r.transferee = id
	r.TransferLeadership()
}

// CanTransferTo reports whether this member leads and another could take over at once, as far as is known here.
func (r *Replica) CanTransferTo(id MemberID) bool {
	peer := r.peers[id]
	return r.role == roleLeader && peer != nil && r.canReconfigure() && r.isMember(id) && r.isRecentlyActive(peer) &&
		peer.matchIndex == r.log.lastIndex() && r.now-peer.lastResponseAt <= maxMissedHeartbeats*r.config.HeartbeatInterval
}

// maybeTransferLeadership asks a member that has all entries to lead, while a transfer is under way.
func (r *Replica) maybeTransferLeadership() {
	if r.role != roleLeader || r.now >= r.leadershipTransferDeadline || r.commitIndex < r.log.lastIndex() {
		return
	}
	for _, peer := range r.sortedPeers() {
		if peer.matchIndex == r.log.lastIndex() && r.isEligibleTransferee(peer) {
			r.sendToMember(peer.Member, Message{Kind: MsgTimeoutNow, Term: r.term})
			return
		}
	}
}

// eligibleTransferee reports whether a member may lead: only the preferred one, if that answers.
func (r *Replica) isEligibleTransferee(peer *progress) bool {
	if !r.isRecentlyActive(peer) || !r.isMember(peer.ID) {
		return false
	}
	preferred := r.peers[r.transferee]
	return preferred == nil || preferred == peer || !r.isRecentlyActive(preferred) || !r.isMember(preferred.ID)
}
