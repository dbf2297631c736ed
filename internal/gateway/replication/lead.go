package replication

import (
	"cmp"
	"slices"

	"clovergap/internal/invariant"
)

// lead begins the new view.
func (r *Replica) becomeLeader() {
	r.role, r.leaderID, r.sawLeader, r.failedElections = roleLeader, r.self.ID, true, 0
	r.peers = map[MemberID]*progress{}
	r.readSeq, r.reads, r.transferDeadline, r.transferee, r.learner = 0, nil, 0, 0, 0
	r.trackMembers()
	r.termStartIndex = r.appendToOwnTerm(Entry{Kind: EntryNoOp})
	r.heartbeatAt = r.now + r.config.HeartbeatInterval
	r.maybeCommit()
}

// meet keeps a progress for all who count, and the learner.
func (r *Replica) trackMembers() {
	others := r.otherMembers()
	for _, m := range others {
		if r.peers[m.ID] == nil {
			r.peers[m.ID] = r.newProgress(m)
		}
		r.peers[m.ID].Member = m
	}
	for id := range r.peers {
		if id != r.learner && !slices.ContainsFunc(others, func(m Member) bool { return m.ID == id }) {
			delete(r.peers, id)
		}
	}
}

// begin is a progress of which nothing is known yet.
func (r *Replica) newProgress(m Member) *progress {
	return &progress{Member: m, nextIndex: r.lastIndex() + 1, inflightBase: r.lastIndex(), lastResponseAt: r.now, snapshotSentAt: -never, nextRetryAt: -never, contactAt: noContact}
}

// add puts a new entry of this view into the log and has it pushed.
func (r *Replica) appendToOwnTerm(e Entry) uint64 {
	e.Index, e.View = r.lastIndex()+1, r.term
	r.appendEntry(e)
	r.markUnwritten(e.Index)
	if e.Kind == EntryConfigChange {
		r.trackMembers()
	}
	r.replicationPending = true
	return e.Index
}

// mayCast: the list may be changed. An entry of this view must have been committed, else a list of another
// view that is not known here might hold without meeting this one.
func (r *Replica) canReconfigure() bool {
	return r.membersCommitted() && r.commitIndex >= r.termStartIndex
}

// pushAll sends everyone what is new, and begins a round if reads wait for one.
func (r *Replica) replicateAll() {
	if r.role != roleLeader {
		return
	}
	for _, w := range r.sortedPeers() {
		r.replicateTo(w)
	}
	if len(r.reads) > 0 && r.confirmedReadSeq() == r.readSeq && r.startReadSeq() {
		r.broadcastReadSeq()
	}
	r.maybeCommit() // one member alone has nobody to answer
}

// sortedPeers are the others in a fixed order: the same inputs must give the same outputs.
func (r *Replica) sortedPeers() (all []*progress) {
	for _, w := range r.peers {
		all = append(all, w)
	}
	slices.SortFunc(all, func(a, b *progress) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return all
}

// push sends a member the next it has not been sent.
func (r *Replica) replicateTo(w *progress) {
	if r.fault == unpinned && w.transferSnapshot != nil && w.transferSnapshot.Index < r.snapshot.Index {
		w.transfer, w.transferSnapshot, w.nextIndex = BlobSender{}, nil, 0
	}
	switch {
	case w.transfer.Blob != nil:
		r.sendChunks(w)
	case w.nextIndex < r.FirstIndex():
		r.sendSnapshot(w)
	case w.nextIndex <= r.lastIndex():
		entries, size := r.entriesFrom(w.nextIndex), 0
		if r.needsChunks(len(entries[0].Data)) && (w.acceptsChunks || !w.responded) {
			if e := entries[0]; w.responded {
				v, _ := r.termAt(e.Index - 1)
				w.transferEntry, w.transferSnapshot, w.transferPrev, w.transfer = &e, nil, logPosition{v, e.Index - 1}, BlobSender{Blob: NewBlob(e.Index, e.View, e.Data)}
				r.sendChunks(w)
			}
			return
		}
		flying := r.inflightBytes(w)
		for i, e := range entries {
			size += e.size()
			if r.config.MaxInflightBytes > 0 && flying > 0 && flying+size > r.config.MaxInflightBytes || r.needsChunks(len(e.Data)) && i > 0 && w.acceptsChunks {
				entries = entries[:i]
				break
			}
			if size > r.config.MaxMessageBytes && i > 0 {
				entries = entries[:i]
				break
			}
		}
		if len(entries) == 0 {
			return
		}
		v, _ := r.termAt(w.nextIndex - 1)
		m := Message{Index: w.nextIndex - 1, At: v, Entries: entries}
		w.nextIndex += uint64(len(entries))
		r.sendAppend(w, m)
	}
}

// inflightBytes is how many bytes of entries a member has been sent and not acknowledged.
func (r *Replica) inflightBytes(w *progress) (n int) {
	for i := max(w.matchIndex, w.inflightBase, r.FirstIndex()-1) + 1; i < w.nextIndex; i++ {
		if i <= r.snapshot.Index {
			n += r.trailing[i-r.FirstIndex()].size()
		} else {
			n += r.log[i-r.snapshot.Index-1].size()
		}
	}
	return n
}

func (r *Replica) sendAppend(w *progress, m Message) {
	if m.Kind == 0 {
		m.Kind = MsgAppend
	}
	m.View, m.Delivered, m.Round = r.term, r.commitIndex, r.readSeq
	r.attachContact(w, &m)
	r.sendTo(w.Member, m)
}

// beat tells all that the leader is there, and what was committed.
func (r *Replica) broadcastHeartbeat() {
	for _, w := range r.sortedPeers() {
		r.sendHeartbeat(w)
	}
	r.heartbeatAt = r.now + r.config.HeartbeatInterval
}

// broadcastReadSeq tells a bare majority of the round that reads wait for: those that were heard last. Who of them does not answer is made
// up for by the next heartbeat, which goes to all.
func (r *Replica) broadcastReadSeq() {
	if !r.config.ReadMinimalQuorum || !r.membersCommitted() {
		r.broadcastHeartbeat()
		return
	}
	others := slices.DeleteFunc(r.sortedPeers(), func(w *progress) bool { return !r.isMember(w.ID) })
	slices.SortStableFunc(others, func(a, b *progress) int { return cmp.Compare(b.lastResponseAt, a.lastResponseAt) })
	for _, w := range others[:min(len(others), len(r.Members())/2)] {
		r.sendHeartbeat(w)
	}
}

func (r *Replica) sendHeartbeat(w *progress) {
	prev := w.nextIndex - 1
	v, ok := r.termAt(prev)
	if w.transfer.Blob != nil {
		prev, v, ok = w.transferPrev.index, w.transferPrev.term, true
	}
	if !ok {
		prev, v = r.snapshot.Index, r.snapshot.View
	}
	m := Message{Index: prev, At: v}
	if r.isDraining(w.ID) { // only one that leaves goes by it
		m.Elsewhere = r.replicatedWithout(w.ID)
	}
	r.sendAppend(w, m)
	if w.transfer.Blob != nil {
		r.sendChunks(w) // what was lost
	}
}

// replicatedWithout is up to which index what is committed is on a majority's disks without a member's.
func (r *Replica) replicatedWithout(id MemberID) uint64 {
	if r.fault == leaveEarly {
		return r.commitIndex
	}
	on := func(o MemberID) uint64 {
		switch w := r.peers[o]; {
		case o == id:
			return 0
		case o == r.self.ID:
			return r.syncedIndex
		case w != nil:
			return w.matchIndex
		}
		return 0
	}
	var most uint64
	for _, m := range append(r.otherMembers(), r.self) {
		if n := min(on(m.ID), r.commitIndex); n > most && r.hasQuorum(func(o MemberID) bool { return on(o) >= n }) {
			most = n
		}
	}
	return most
}

// answered takes a member's answer to what the leader sends.
func (r *Replica) onAppendResponse(from MemberID, m Message) {
	w := r.peers[from]
	if r.role != roleLeader || m.View != r.term && r.fault != countLate || w == nil {
		return
	}
	w.lastResponseAt, w.readSeq = r.now, max(w.readSeq, m.Round)
	r.recordResponseClock(w, m)
	w.responded, w.acceptsChunks = true, m.Chunks
	if m.Kind == MsgChunkAck {
		w.transfer.Ack(m.Chunk, r.now)
		r.replicateTo(w)
		r.finishReads()
		return
	}
	if w.transfer.Blob != nil && (m.Index >= w.transfer.Blob.Index() || m.Kind == MsgAppendReject && w.transferSnapshot == nil) {
		w.transfer, w.transferSnapshot, w.transferEntry = BlobSender{}, nil, nil
	}
	if m.Kind == MsgAppendReject && w.transfer.Blob != nil { // it is being sent what it lacks
		r.replicateTo(w)
		r.finishReads()
		return
	}
	if m.Kind == MsgAppendReject {
		// The lines sent since come back as missed too: once is enough.
		if r.now >= w.nextRetryAt {
			w.nextRetryAt = r.now + r.config.HeartbeatInterval/2
			w.inflightBase = max(m.Index, w.matchIndex)
			w.nextIndex = w.inflightBase + 1
			r.replicateTo(w)
		}
		r.finishReads()
		return
	}
	invariant.That(m.Index <= r.lastIndex(), "nobody has more than the leader")
	was := w.matchIndex
	w.matchIndex = max(w.matchIndex, m.Index)
	w.nextIndex = max(w.nextIndex, w.matchIndex+1)
	r.maybeCommit()
	if r.role != roleLeader || r.peers[from] == nil {
		return
	}
	if from == r.learner {
		if m.Index > was {
			r.learnerProgressAt = r.now
		}
		r.promoteLearner()
	}
	if r.peers[from] != nil && w.nextIndex <= r.lastIndex() {
		r.replicateTo(w)
	}
	r.maybeTransferLeadership()
}

// commit commits what a majority has on disk, through an entry of this view.
func (r *Replica) maybeCommit() {
	for r.role == roleLeader {
		had := func(n uint64) bool {
			return r.hasQuorum(func(id MemberID) bool {
				if id == r.self.ID {
					return r.syncedIndex >= n || r.fault == ackUnsynced
				}
				if r.fault == countLearner && r.learner != 0 && id == r.otherMembers()[0].ID {
					id = r.learner // stands for one who counts
				}
				return r.peers[id] != nil && r.peers[id].matchIndex >= n
			})
		}
		n := r.lastIndex()
		for ; n > r.commitIndex; n-- {
			if v, _ := r.termAt(n); v != r.term && r.fault != countOld {
				n = r.commitIndex
				break
			}
			if had(n) {
				break
			}
		}
		if n <= r.commitIndex {
			break
		}
		before := r.membersCommitted()
		r.commitTo(n)
		r.heartbeatAt = min(r.heartbeatAt, r.now+r.config.CommitNotifyDelay)
		if !before && r.membersCommitted() {
			r.broadcastHeartbeat() // those who are no members any more hear so, once
			r.trackMembers()
			if !r.isMember(r.self.ID) {
				r.stepDown()
			}
		}
	}
	r.finishReads()
}

// startReadSeq begins a round if reads wait for one.
func (r *Replica) startReadSeq() bool {
	if n := len(r.reads); n == 0 || r.reads[n-1].readSeq <= r.readSeq {
		return false
	}
	r.readSeq++
	return true
}

// confirmedReadSeq is the newest round that a majority has heard.
func (r *Replica) confirmedReadSeq() (done uint64) {
	heard := func(count uint64) bool {
		return r.hasQuorum(func(id MemberID) bool {
			return id == r.self.ID || r.peers[id] != nil && r.peers[id].readSeq >= count
		})
	}
	if len(r.peers) == 0 && heard(r.readSeq) {
		return r.readSeq
	}
	for _, w := range r.peers {
		if w.readSeq > done && heard(w.readSeq) {
			done = w.readSeq
		}
	}
	return done
}

// finishReads answers the reads whose round is through. Before the first entry of this view is committed,
// others' entries may be acknowledged and not yet known here to be.
func (r *Replica) finishReads() {
	if r.role != roleLeader || len(r.reads) == 0 || r.commitIndex < r.termStartIndex && r.fault != readEarly {
		return
	}
	done, n := r.confirmedReadSeq(), 0
	if r.fault == unreadRounds {
		done = r.readSeq + 1
	}
	for ; n < len(r.reads) && r.reads[n].readSeq <= done; n++ {
		r.finish(r.reads[n].token, r.commitIndex, OutcomeCommitted)
	}
	if r.reads = r.reads[n:]; len(r.reads) > 0 && done >= r.readSeq {
		r.replicationPending = true // those that came during the round
	}
}

// maybeTransferLeadership asks one who has all to take the lead.
func (r *Replica) maybeTransferLeadership() {
	if r.role != roleLeader || r.now >= r.transferDeadline || r.commitIndex < r.lastIndex() {
		return
	}
	for _, w := range r.sortedPeers() {
		if w.matchIndex == r.lastIndex() && r.eligibleTransferee(w) {
			r.sendTo(w.Member, Message{Kind: MsgTimeoutNow, View: r.term})
			return
		}
	}
}
