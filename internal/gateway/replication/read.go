package replication

import (
	"cmp"
	"slices"
)

// Reads use the ReadIndex method of Raft: if a majority still follows a leader after a read was requested, the leader has committed
// everything that was acknowledged before the request. Heartbeats carry a number, the read sequence. The leader starts a read sequence
// by increasing the number and sending it in a round of heartbeats. Members acknowledge the number at once. The read sequence is
// confirmed once a majority has acknowledged its number or a higher one. A confirmed read sequence finishes all reads that were
// requested before it started. The leader starts the next read sequence for later reads when the current one is confirmed, or with the
// next regular heartbeat.

// pendingRead is a read that finishes once the read sequence with the number readSeq is confirmed.
type pendingRead struct{ token, readSeq uint64 }

// Read requests a read index. The Outcome contains this index. Once the host has applied all entries up to the index, its state includes
// everything that was acknowledged before the call of Read.
func (r *Replica) Read(token uint64) {
	if r.role != roleLeader || len(r.reads) >= r.config.MaxPending {
		r.finishRequest(token, 0, r.admissionStatus(len(r.reads)))
		return
	}
	r.reads = append(r.reads, pendingRead{token, r.readSeq + 1})
	r.replicationPending = true
}

// startReadSeq starts the next read sequence, which is a numbered round of heartbeats, if reads wait for this round. It reports whether the
// read sequence was started. The caller sends the heartbeats.
func (r *Replica) startReadSeq() bool {
	if n := len(r.reads); n == 0 || r.reads[n-1].readSeq <= r.readSeq {
		return false
	}
	r.readSeq++
	return true
}

// broadcastReadSeq sends the number of the new read sequence in heartbeats. A majority acknowledges the number to confirm that this
// replica still leads. With ReadMinimalQuorum, broadcastReadSeq sends the number only to as many members as a majority
// needs, and prefers the members that responded last. If one of the chosen members does not respond, the next heartbeat sends the read
// sequence to all members.
func (r *Replica) broadcastReadSeq() {
	if !r.config.ReadMinimalQuorum || !r.isLatestConfigCommitted() {
		r.broadcastHeartbeat()
		return
	}
	members := slices.DeleteFunc(r.sortedPeers(), func(peer *progress) bool { return !r.isMember(peer.ID) })
	slices.SortStableFunc(members, func(a, b *progress) int { return cmp.Compare(b.lastResponseAt, a.lastResponseAt) })
	needed := majoritySize(len(r.Members())) - 1 // a majority without this member
	for _, peer := range members[:min(len(members), needed)] {
		r.sendHeartbeat(peer)
	}
}

// confirmedReadSeq returns the newest read sequence that a majority has acknowledged.
func (r *Replica) confirmedReadSeq() (confirmed uint64) {
	isAcknowledged := func(seq uint64) bool {
		return r.hasQuorum(func(id MemberID) bool {
			return id == r.self.ID || r.peers[id] != nil && r.peers[id].readSeq >= seq
		})
	}
	if len(r.peers) == 0 && isAcknowledged(r.readSeq) {
		return r.readSeq
	}
	for _, peer := range r.peers {
		if peer.readSeq > confirmed && isAcknowledged(peer.readSeq) {
			confirmed = peer.readSeq
		}
	}
	return confirmed
}

// finishConfirmedReads finishes the reads whose read sequence is confirmed. It does nothing before an entry of this term is committed:
// until then, this leader may not know that entries that an earlier leader acknowledged are committed.
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
		r.replicationPending = true // starts the next read sequence, for the reads that were requested after this one started
	}
}
