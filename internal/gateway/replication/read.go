package replication

import (
	"cmp"
	"slices"
)

// Reads by Raft's ReadIndex: a leader that a majority still follows after a read came has committed all that was acknowledged
// before. Heartbeats carry a sequence number, which members acknowledge at once. One sequence serves all reads that came before
// it, and the next one starts when it is confirmed.

// pendingRead is a read that a read sequence must confirm.
type pendingRead struct{ token, readSeq uint64 }

// Read asks up to which index the host's state must be to include all that was acknowledged before: see Outcome.
func (r *Replica) Read(token uint64) {
	if r.role != roleLeader || len(r.reads) >= r.config.MaxPending {
		r.finishRequest(token, 0, r.admissionStatus(len(r.reads)))
		return
	}
	r.reads = append(r.reads, pendingRead{token, r.readSeq + 1})
	r.replicationPending = true
}

// startReadSeq starts the next read sequence if there are reads for it.
func (r *Replica) startReadSeq() bool {
	if n := len(r.reads); n == 0 || r.reads[n-1].readSeq <= r.readSeq {
		return false
	}
	r.readSeq++
	return true
}

// broadcastReadSeq sends a new read sequence. With ReadMinimalQuorum it goes to a bare majority, those that responded last; where
// one of them does not answer, the next heartbeat to all makes up for it.
func (r *Replica) broadcastReadSeq() {
	if !r.config.ReadMinimalQuorum || !r.isLatestConfigCommitted() {
		r.broadcastHeartbeat()
		return
	}
	members := slices.DeleteFunc(r.sortedPeers(), func(peer *progress) bool { return !r.isMember(peer.ID) })
	slices.SortStableFunc(members, func(a, b *progress) int { return cmp.Compare(b.lastResponseAt, a.lastResponseAt) })
	needed := majoritySize(len(r.Members())) - 1 // beside this one
	for _, peer := range members[:min(len(members), needed)] {
		r.sendHeartbeat(peer)
	}
}

// confirmedReadSeq is the newest read sequence that a majority has acknowledged.
func (r *Replica) confirmedReadSeq() (confirmed uint64) {
	acknowledged := func(seq uint64) bool {
		return r.hasQuorum(func(id MemberID) bool {
			return id == r.self.ID || r.peers[id] != nil && r.peers[id].readSeq >= seq
		})
	}
	if len(r.peers) == 0 && acknowledged(r.readSeq) {
		return r.readSeq
	}
	for _, peer := range r.peers {
		if peer.readSeq > confirmed && acknowledged(peer.readSeq) {
			confirmed = peer.readSeq
		}
	}
	return confirmed
}

// finishReads ends the reads whose sequence is confirmed, once an entry of this term is committed: before that, entries that an
// earlier leader acknowledged may not be known to be committed.
func (r *Replica) finishConfirmedReads() {
	if r.role != roleLeader || len(r.reads) == 0 || r.commitIndex < r.termStartIndex && !r.hasMutation(readBeforeNoOp) {
		return
	}
	confirmed := r.confirmedReadSeq()
	if r.hasMutation(skipReadSeq) {
		confirmed = r.readSeq + 1
	}
	finishedCount := 0
	for ; finishedCount < len(r.reads) && r.reads[finishedCount].readSeq <= confirmed; finishedCount++ {
		r.finishRequest(r.reads[finishedCount].token, r.commitIndex, OutcomeCommitted)
	}
	r.reads = r.reads[finishedCount:]
	if len(r.reads) > 0 && confirmed >= r.readSeq {
		r.replicationPending = true // starts the sequence of those that came meanwhile
	}
}
