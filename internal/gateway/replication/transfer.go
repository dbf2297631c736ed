package replication

// Leadership transfer: the leader refuses proposals until another member has its complete log. Then it asks that member to start an
// election at once, without a pre-vote.

// TransferLeadership transfers the leadership to another member as soon as a member has all entries. Proposals are refused during the
// transfer. If there is no new leader after Config.QuorumTimeout, this member accepts proposals again.
func (r *Replica) TransferLeadership() {
	if r.role == roleLeader && r.now >= r.leadershipTransferDeadline {
		r.leadershipTransferDeadline = r.now + r.config.QuorumTimeout
		r.maybeTransferLeadership()
	}
}

// TransferLeadershipTo transfers the leadership to the member with this ID. If that member does not respond, any other member may become
// the new leader.
func (r *Replica) TransferLeadershipTo(id MemberID) {
	r.transferee = id
	r.TransferLeadership()
}

// CanTransferTo reports whether this member is the leader and, as far as is known here, the given member could become leader at once.
func (r *Replica) CanTransferTo(id MemberID) bool {
	peer := r.peers[id]
	return r.role == roleLeader && peer != nil && r.canReconfigure() && r.isMember(id) && r.isRecentlyActive(peer) &&
		peer.matchIndex == r.log.lastIndex() && r.now-peer.lastResponseAt <= maxMissedHeartbeats*r.config.HeartbeatInterval
}

// maybeTransferLeadership asks a member that has all entries to start an election, if a leadership transfer is in progress.
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

// isEligibleTransferee reports whether a member may become the new leader. While the preferred member (transferee) responds, only the
// preferred member may.
func (r *Replica) isEligibleTransferee(peer *progress) bool {
	if !r.isRecentlyActive(peer) || !r.isMember(peer.ID) {
		return false
	}
	preferred := r.peers[r.transferee]
	return preferred == nil || preferred == peer || !r.isRecentlyActive(preferred) || !r.isMember(preferred.ID)
}
