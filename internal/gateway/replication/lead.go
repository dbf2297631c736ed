package replication

import (
	"cmp"
	"slices"

	"clovergap/internal/proxy/invariant"
)

// lead begins the new view.
func (p *Replica) becomeLeader() {
	p.role, p.leaderID, p.sawLeader, p.failedElections = roleLeader, p.self.ID, true, 0
	p.peers = map[MemberID]*progress{}
	p.readSeq, p.reads, p.transferDeadline, p.transferee, p.learner = 0, nil, 0, 0, 0
	p.trackMembers()
	p.termStartIndex = p.appendToOwnTerm(Entry{Kind: EntryNoOp})
	p.heartbeatAt = p.now + p.config.HeartbeatInterval
	p.maybeCommit()
}

// meet keeps a progress for all who count, and the learner.
func (p *Replica) trackMembers() {
	others := p.otherMembers()
	for _, m := range others {
		if p.peers[m.ID] == nil {
			p.peers[m.ID] = p.newProgress(m)
		}
		p.peers[m.ID].Member = m
	}
	for id := range p.peers {
		if id != p.learner && !slices.ContainsFunc(others, func(m Member) bool { return m.ID == id }) {
			delete(p.peers, id)
		}
	}
}

// begin is a progress of which nothing is known yet.
func (p *Replica) newProgress(m Member) *progress {
	return &progress{Member: m, nextIndex: p.lastIndex() + 1, inflightBase: p.lastIndex(), lastResponseAt: p.now, snapshotSentAt: -never, nextRetryAt: -never, contactAt: noContact}
}

// add puts a new entry of this view into the log and has it pushed.
func (p *Replica) appendToOwnTerm(e Entry) uint64 {
	e.Index, e.View = p.lastIndex()+1, p.term
	p.appendEntry(e)
	p.markUnwritten(e.Index)
	if e.Kind == EntryConfigChange {
		p.trackMembers()
	}
	p.replicationPending = true
	return e.Index
}

// mayCast: the list may be changed. An entry of this view must have been committed, else a list of another
// view that is not known here might hold without meeting this one.
func (p *Replica) canReconfigure() bool {
	return p.membersCommitted() && p.commitIndex >= p.termStartIndex
}

// pushAll sends everyone what is new, and begins a round if reads wait for one.
func (p *Replica) replicateAll() {
	if p.role != roleLeader {
		return
	}
	for _, w := range p.sortedPeers() {
		p.replicateTo(w)
	}
	if len(p.reads) > 0 && p.confirmedReadSeq() == p.readSeq && p.startReadSeq() {
		p.broadcastReadSeq()
	}
	p.maybeCommit() // one member alone has nobody to answer
}

// sortedPeers are the others in a fixed order: the same inputs must give the same outputs.
func (p *Replica) sortedPeers() (all []*progress) {
	for _, w := range p.peers {
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
func (p *Replica) replicateTo(w *progress) {
	if p.fault == unpinned && w.transferSnapshot != nil && w.transferSnapshot.Index < p.snapshot.Index {
		w.transfer, w.transferSnapshot, w.nextIndex = BlobSender{}, nil, 0
	}
	switch {
	case w.transfer.Blob != nil:
		p.sendChunks(w)
	case w.nextIndex < p.FirstIndex():
		p.sendSnapshot(w)
	case w.nextIndex <= p.lastIndex():
		entries, size := p.entriesFrom(w.nextIndex), 0
		if p.needsChunks(len(entries[0].Data)) && (w.acceptsChunks || !w.responded) {
			if e := entries[0]; w.responded {
				v, _ := p.termAt(e.Index - 1)
				w.transferEntry, w.transferSnapshot, w.transferPrev, w.transfer = &e, nil, logPosition{v, e.Index - 1}, BlobSender{Blob: NewBlob(e.Index, e.View, e.Data)}
				p.sendChunks(w)
			}
			return
		}
		flying := p.inflightBytes(w)
		for i, e := range entries {
			size += e.size()
			if p.config.MaxInflightBytes > 0 && flying > 0 && flying+size > p.config.MaxInflightBytes || p.needsChunks(len(e.Data)) && i > 0 && w.acceptsChunks {
				entries = entries[:i]
				break
			}
			if size > p.config.MaxMessageBytes && i > 0 {
				entries = entries[:i]
				break
			}
		}
		if len(entries) == 0 {
			return
		}
		v, _ := p.termAt(w.nextIndex - 1)
		m := Message{Index: w.nextIndex - 1, At: v, Entries: entries}
		w.nextIndex += uint64(len(entries))
		p.sendAppend(w, m)
	}
}

// inflightBytes is how many bytes of entries a member has been sent and not acknowledged.
func (p *Replica) inflightBytes(w *progress) (n int) {
	for i := max(w.matchIndex, w.inflightBase, p.FirstIndex()-1) + 1; i < w.nextIndex; i++ {
		if i <= p.snapshot.Index {
			n += p.trailing[i-p.FirstIndex()].size()
		} else {
			n += p.log[i-p.snapshot.Index-1].size()
		}
	}
	return n
}

func (p *Replica) sendAppend(w *progress, m Message) {
	if m.Kind == 0 {
		m.Kind = MsgAppend
	}
	m.View, m.Delivered, m.Round = p.term, p.commitIndex, p.readSeq
	p.attachContact(w, &m)
	p.sendTo(w.Member, m)
}

// beat tells all that the leader is there, and what was committed.
func (p *Replica) broadcastHeartbeat() {
	for _, w := range p.sortedPeers() {
		p.sendHeartbeat(w)
	}
	p.heartbeatAt = p.now + p.config.HeartbeatInterval
}

// broadcastReadSeq tells a bare majority of the round that reads wait for: those that were heard last. Who of them does not answer is made
// up for by the next heartbeat, which goes to all.
func (p *Replica) broadcastReadSeq() {
	if !p.config.ReadMinimalQuorum || !p.membersCommitted() {
		p.broadcastHeartbeat()
		return
	}
	others := slices.DeleteFunc(p.sortedPeers(), func(w *progress) bool { return !p.isMember(w.ID) })
	slices.SortStableFunc(others, func(a, b *progress) int { return cmp.Compare(b.lastResponseAt, a.lastResponseAt) })
	for _, w := range others[:min(len(others), len(p.Members())/2)] {
		p.sendHeartbeat(w)
	}
}

func (p *Replica) sendHeartbeat(w *progress) {
	prev := w.nextIndex - 1
	v, ok := p.termAt(prev)
	if w.transfer.Blob != nil {
		prev, v, ok = w.transferPrev.index, w.transferPrev.term, true
	}
	if !ok {
		prev, v = p.snapshot.Index, p.snapshot.View
	}
	m := Message{Index: prev, At: v}
	if p.isDraining(w.ID) { // only one that leaves goes by it
		m.Elsewhere = p.replicatedWithout(w.ID)
	}
	p.sendAppend(w, m)
	if w.transfer.Blob != nil {
		p.sendChunks(w) // what was lost
	}
}

// replicatedWithout is up to which index what is committed is on a majority's disks without a member's.
func (p *Replica) replicatedWithout(id MemberID) uint64 {
	if p.fault == leaveEarly {
		return p.commitIndex
	}
	on := func(o MemberID) uint64 {
		switch w := p.peers[o]; {
		case o == id:
			return 0
		case o == p.self.ID:
			return p.syncedIndex
		case w != nil:
			return w.matchIndex
		}
		return 0
	}
	var most uint64
	for _, m := range append(p.otherMembers(), p.self) {
		if n := min(on(m.ID), p.commitIndex); n > most && p.hasQuorum(func(o MemberID) bool { return on(o) >= n }) {
			most = n
		}
	}
	return most
}

// answered takes a member's answer to what the leader sends.
func (p *Replica) onAppendResponse(from MemberID, m Message) {
	w := p.peers[from]
	if p.role != roleLeader || m.View != p.term && p.fault != countLate || w == nil {
		return
	}
	w.lastResponseAt, w.readSeq = p.now, max(w.readSeq, m.Round)
	p.recordResponseClock(w, m)
	w.responded, w.acceptsChunks = true, m.Chunks
	if m.Kind == MsgChunkAck {
		w.transfer.Ack(m.Chunk, p.now)
		p.replicateTo(w)
		p.finishReads()
		return
	}
	if w.transfer.Blob != nil && (m.Index >= w.transfer.Blob.Index() || m.Kind == MsgAppendReject && w.transferSnapshot == nil) {
		w.transfer, w.transferSnapshot, w.transferEntry = BlobSender{}, nil, nil
	}
	if m.Kind == MsgAppendReject && w.transfer.Blob != nil { // it is being sent what it lacks
		p.replicateTo(w)
		p.finishReads()
		return
	}
	if m.Kind == MsgAppendReject {
		// The lines sent since come back as missed too: once is enough.
		if p.now >= w.nextRetryAt {
			w.nextRetryAt = p.now + p.config.HeartbeatInterval/2
			w.inflightBase = max(m.Index, w.matchIndex)
			w.nextIndex = w.inflightBase + 1
			p.replicateTo(w)
		}
		p.finishReads()
		return
	}
	invariant.That(m.Index <= p.lastIndex(), "nobody has more than the leader")
	was := w.matchIndex
	w.matchIndex = max(w.matchIndex, m.Index)
	w.nextIndex = max(w.nextIndex, w.matchIndex+1)
	p.maybeCommit()
	if p.role != roleLeader || p.peers[from] == nil {
		return
	}
	if from == p.learner {
		if m.Index > was {
			p.learnerProgressAt = p.now
		}
		p.promoteLearner()
	}
	if p.peers[from] != nil && w.nextIndex <= p.lastIndex() {
		p.replicateTo(w)
	}
	p.maybeTransferLeadership()
}

// commit commits what a majority has on disk, through an entry of this view.
func (p *Replica) maybeCommit() {
	for p.role == roleLeader {
		had := func(n uint64) bool {
			return p.hasQuorum(func(id MemberID) bool {
				if id == p.self.ID {
					return p.syncedIndex >= n || p.fault == ackUnsynced
				}
				if p.fault == countLearner && p.learner != 0 && id == p.otherMembers()[0].ID {
					id = p.learner // stands for one who counts
				}
				return p.peers[id] != nil && p.peers[id].matchIndex >= n
			})
		}
		n := p.lastIndex()
		for ; n > p.commitIndex; n-- {
			if v, _ := p.termAt(n); v != p.term && p.fault != countOld {
				n = p.commitIndex
				break
			}
			if had(n) {
				break
			}
		}
		if n <= p.commitIndex {
			break
		}
		before := p.membersCommitted()
		p.commitTo(n)
		p.heartbeatAt = min(p.heartbeatAt, p.now+p.config.CommitNotifyDelay)
		if !before && p.membersCommitted() {
			p.broadcastHeartbeat() // those who are no members any more hear so, once
			p.trackMembers()
			if !p.isMember(p.self.ID) {
				p.stepDown()
			}
		}
	}
	p.finishReads()
}

// startReadSeq begins a round if reads wait for one.
func (p *Replica) startReadSeq() bool {
	if n := len(p.reads); n == 0 || p.reads[n-1].readSeq <= p.readSeq {
		return false
	}
	p.readSeq++
	return true
}

// confirmedReadSeq is the newest round that a majority has heard.
func (p *Replica) confirmedReadSeq() (done uint64) {
	heard := func(r uint64) bool {
		return p.hasQuorum(func(id MemberID) bool {
			return id == p.self.ID || p.peers[id] != nil && p.peers[id].readSeq >= r
		})
	}
	if len(p.peers) == 0 && heard(p.readSeq) {
		return p.readSeq
	}
	for _, w := range p.peers {
		if w.readSeq > done && heard(w.readSeq) {
			done = w.readSeq
		}
	}
	return done
}

// finishReads answers the reads whose round is through. Before the first entry of this view is committed,
// others' entries may be acknowledged and not yet known here to be.
func (p *Replica) finishReads() {
	if p.role != roleLeader || len(p.reads) == 0 || p.commitIndex < p.termStartIndex && p.fault != readEarly {
		return
	}
	done, n := p.confirmedReadSeq(), 0
	if p.fault == unreadRounds {
		done = p.readSeq + 1
	}
	for ; n < len(p.reads) && p.reads[n].readSeq <= done; n++ {
		p.finish(p.reads[n].token, p.commitIndex, OutcomeCommitted)
	}
	if p.reads = p.reads[n:]; len(p.reads) > 0 && done >= p.readSeq {
		p.replicationPending = true // those that came during the round
	}
}

// maybeTransferLeadership asks one who has all to take the lead.
func (p *Replica) maybeTransferLeadership() {
	if p.role != roleLeader || p.now >= p.transferDeadline || p.commitIndex < p.lastIndex() {
		return
	}
	for _, w := range p.sortedPeers() {
		if w.matchIndex == p.lastIndex() && p.eligibleTransferee(w) {
			p.sendTo(w.Member, Message{Kind: MsgTimeoutNow, View: p.term})
			return
		}
	}
}
