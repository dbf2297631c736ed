package replication

import (
	"cmp"
	"slices"

	"clovergap/internal/proxy/invariant"
)

// lead begins the new view.
func (p *Replica) becomeLeader() {
	p.role, p.leader, p.begun, p.failedViews = leading, p.me.ID, true, 0
	p.peers = map[MemberID]*progress{}
	p.round, p.reads, p.handingOver, p.successor, p.learner = 0, nil, 0, 0, 0
	p.trackMembers()
	p.noOp = p.appendNew(Entry{Kind: NoOp})
	p.beatAt = p.now + p.terms.Beat
	p.advanceCommit()
}

// meet keeps a progress for all who count, and the learner.
func (p *Replica) trackMembers() {
	others := p.others()
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
	return &progress{Member: m, next: p.last() + 1, base: p.last(), heard: p.now, snapAt: -never, againAt: -never, contact: noWord}
}

// add puts a new entry of this view into the log and has it pushed.
func (p *Replica) appendNew(e Entry) uint64 {
	e.Index, e.View = p.last()+1, p.promise
	p.appendEntry(e)
	p.markDirty(e.Index)
	if e.Kind == ConfigChange {
		p.trackMembers()
	}
	p.flush = true
	return e.Index
}

// mayCast: the list may be changed. An entry of this view must have been committed, else a list of another
// view that is not known here might hold without meeting this one.
func (p *Replica) mayReconfigure() bool { return p.settled() && p.committed >= p.noOp }

// pushAll sends everyone what is new, and begins a round if reads wait for one.
func (p *Replica) replicateAll() {
	if p.role != leading {
		return
	}
	for _, w := range p.sorted() {
		p.replicate(w)
	}
	if len(p.reads) > 0 && p.roundDone() == p.round && p.newRound() {
		p.askRound()
	}
	p.advanceCommit() // one member alone has nobody to answer
}

// sorted are the others in a fixed order: the same inputs must give the same outputs.
func (p *Replica) sorted() (all []*progress) {
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
func (p *Replica) replicate(w *progress) {
	if p.fault == unpinned && w.snap != nil && w.snap.Index < p.snap.Index {
		w.out, w.snap, w.next = Outgoing{}, nil, 0
	}
	switch {
	case w.out.Blob != nil:
		p.sendChunks(w)
	case w.next < p.First():
		p.sendSnapshot(w)
	case w.next <= p.last():
		entries, size := p.from(w.next), 0
		if p.large(len(entries[0].Data)) && (w.chunks || !w.answered) {
			if e := entries[0]; w.answered {
				v, _ := p.viewAt(e.Index - 1)
				w.entry, w.snap, w.prev, w.out = &e, nil, place{v, e.Index - 1}, Outgoing{Blob: NewBlob(e.Index, e.View, e.Data)}
				p.sendChunks(w)
			}
			return
		}
		flying := p.inFlight(w)
		for i, e := range entries {
			size += e.size()
			if p.terms.Window > 0 && flying > 0 && flying+size > p.terms.Window || p.large(len(e.Data)) && i > 0 && w.chunks {
				entries = entries[:i]
				break
			}
			if size > p.terms.Batch && i > 0 {
				entries = entries[:i]
				break
			}
		}
		if len(entries) == 0 {
			return
		}
		v, _ := p.viewAt(w.next - 1)
		m := Message{Index: w.next - 1, At: v, Entries: entries}
		w.next += uint64(len(entries))
		p.appendTo(w, m)
	}
}

// inFlight is how many bytes of entries a member has been sent and not acknowledged.
func (p *Replica) inFlight(w *progress) (n int) {
	for i := max(w.match, w.base, p.First()-1) + 1; i < w.next; i++ {
		if i <= p.snap.Index {
			n += p.trail[i-p.First()].size()
		} else {
			n += p.log[i-p.snap.Index-1].size()
		}
	}
	return n
}

func (p *Replica) appendTo(w *progress, m Message) {
	if m.Kind == 0 {
		m.Kind = Append
	}
	m.View, m.Delivered, m.Round = p.promise, p.committed, p.round
	p.tellContact(w, &m)
	p.sendTo(w.Member, m)
}

// beat tells all that the leader is there, and what was committed.
func (p *Replica) heartbeat() {
	for _, w := range p.sorted() {
		p.heartbeatTo(w)
	}
	p.beatAt = p.now + p.terms.Beat
}

// askRound tells a bare majority of the round that reads wait for: those that were heard last. Who of them does not answer is made
// up for by the next heartbeat, which goes to all.
func (p *Replica) askRound() {
	if !p.terms.Narrow || !p.settled() {
		p.heartbeat()
		return
	}
	others := slices.DeleteFunc(p.sorted(), func(w *progress) bool { return !p.member(w.ID) })
	slices.SortStableFunc(others, func(a, b *progress) int { return cmp.Compare(b.heard, a.heard) })
	for _, w := range others[:min(len(others), len(p.Members())/2)] {
		p.heartbeatTo(w)
	}
}

func (p *Replica) heartbeatTo(w *progress) {
	prev := w.next - 1
	v, ok := p.viewAt(prev)
	if w.out.Blob != nil {
		prev, v, ok = w.prev.index, w.prev.view, true
	}
	if !ok {
		prev, v = p.snap.Index, p.snap.View
	}
	m := Message{Index: prev, At: v}
	if p.leaving(w.ID) { // only one that leaves goes by it
		m.Elsewhere = p.heldWithout(w.ID)
	}
	p.appendTo(w, m)
	if w.out.Blob != nil {
		p.sendChunks(w) // what was lost
	}
}

// heldWithout is up to which index what is committed is on a majority's disks without a member's.
func (p *Replica) heldWithout(id MemberID) uint64 {
	if p.fault == leaveEarly {
		return p.committed
	}
	on := func(o MemberID) uint64 {
		switch w := p.peers[o]; {
		case o == id:
			return 0
		case o == p.me.ID:
			return p.synced
		case w != nil:
			return w.match
		}
		return 0
	}
	var most uint64
	for _, m := range append(p.others(), p.me) {
		if n := min(on(m.ID), p.committed); n > most && p.quorum(func(o MemberID) bool { return on(o) >= n }) {
			most = n
		}
	}
	return most
}

// answered takes a member's answer to what the leader sends.
func (p *Replica) onAck(from MemberID, m Message) {
	w := p.peers[from]
	if p.role != leading || m.View != p.promise && p.fault != countLate || w == nil {
		return
	}
	w.heard, w.round = p.now, max(w.round, m.Round)
	p.answeredClock(w, m)
	w.answered, w.chunks = true, m.Chunks
	if m.Kind == AckChunk {
		w.out.Ack(m.Chunk, p.now)
		p.replicate(w)
		p.answerReads()
		return
	}
	if w.out.Blob != nil && (m.Index >= w.out.Blob.Index() || m.Kind == Reject && w.snap == nil) {
		w.out, w.snap, w.entry = Outgoing{}, nil, nil
	}
	if m.Kind == Reject && w.out.Blob != nil { // it is being sent what it lacks
		p.replicate(w)
		p.answerReads()
		return
	}
	if m.Kind == Reject {
		// The lines sent since come back as missed too: once is enough.
		if p.now >= w.againAt {
			w.againAt = p.now + p.terms.Beat/2
			w.base = max(m.Index, w.match)
			w.next = w.base + 1
			p.replicate(w)
		}
		p.answerReads()
		return
	}
	invariant.That(m.Index <= p.last(), "nobody has more than the leader")
	was := w.match
	w.match = max(w.match, m.Index)
	w.next = max(w.next, w.match+1)
	p.advanceCommit()
	if p.role != leading || p.peers[from] == nil {
		return
	}
	if from == p.learner {
		if m.Index > was {
			p.learnAt = p.now
		}
		p.admitLearner()
	}
	if p.peers[from] != nil && w.next <= p.last() {
		p.replicate(w)
	}
	p.handOver()
}

// commit commits what a majority has on disk, through an entry of this view.
func (p *Replica) advanceCommit() {
	for p.role == leading {
		had := func(n uint64) bool {
			return p.quorum(func(id MemberID) bool {
				if id == p.me.ID {
					return p.synced >= n || p.fault == ackUnsynced
				}
				if p.fault == countLearner && p.learner != 0 && id == p.others()[0].ID {
					id = p.learner // stands for one who counts
				}
				return p.peers[id] != nil && p.peers[id].match >= n
			})
		}
		n := p.last()
		for ; n > p.committed; n-- {
			if v, _ := p.viewAt(n); v != p.promise && p.fault != countOld {
				n = p.committed
				break
			}
			if had(n) {
				break
			}
		}
		if n <= p.committed {
			break
		}
		before := p.settled()
		p.commitUpTo(n)
		p.beatAt = min(p.beatAt, p.now+p.terms.Tell)
		if !before && p.settled() {
			p.heartbeat() // those who are no members any more hear so, once
			p.trackMembers()
			if !p.member(p.me.ID) {
				p.stepDown()
			}
		}
	}
	p.answerReads()
}

// newRound begins a round if reads wait for one.
func (p *Replica) newRound() bool {
	if n := len(p.reads); n == 0 || p.reads[n-1].round <= p.round {
		return false
	}
	p.round++
	return true
}

// roundDone is the newest round that a majority has heard.
func (p *Replica) roundDone() (done uint64) {
	heard := func(r uint64) bool {
		return p.quorum(func(id MemberID) bool {
			return id == p.me.ID || p.peers[id] != nil && p.peers[id].round >= r
		})
	}
	if len(p.peers) == 0 && heard(p.round) {
		return p.round
	}
	for _, w := range p.peers {
		if w.round > done && heard(w.round) {
			done = w.round
		}
	}
	return done
}

// answerReads answers the reads whose round is through. Before the first entry of this view is committed,
// others' entries may be acknowledged and not yet known here to be.
func (p *Replica) answerReads() {
	if p.role != leading || len(p.reads) == 0 || p.committed < p.noOp && p.fault != readEarly {
		return
	}
	done, n := p.roundDone(), 0
	if p.fault == unreadRounds {
		done = p.round + 1
	}
	for ; n < len(p.reads) && p.reads[n].round <= done; n++ {
		p.outcome(p.reads[n].token, p.committed, Done)
	}
	if p.reads = p.reads[n:]; len(p.reads) > 0 && done >= p.round {
		p.flush = true // those that came during the round
	}
}

// handOver asks one who has all to take the lead.
func (p *Replica) handOver() {
	if p.role != leading || p.now >= p.handingOver || p.committed < p.last() {
		return
	}
	for _, w := range p.sorted() {
		if w.match == p.last() && p.takesOver(w) {
			p.sendTo(w.Member, Message{Kind: TakeOver, View: p.promise})
			return
		}
	}
}
