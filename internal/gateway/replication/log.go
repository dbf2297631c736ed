package replication

import (
	"slices"

	"clovergap/internal/proxy/invariant"
)

// fault is a defect that tests put in, to see that the explorer finds it.
type fault uint8

const (
	sound        fault = iota
	ackUnsynced        // what is not on disk is acknowledged
	countWiped         // a member with an empty disk promises
	takeOld            // lines of an old view are taken
	forgetful          // promises are not put on disk
	noTruncate         // what the leader does not have stays
	countOld           // entries of old views are committed by counting
	oneMajority        // a change of members needs one majority only
	unreadRounds       // a read is answered without a round
	tellEarly          // a promise is told before it is on disk
	promiseTwo         // a view is promised to two
	fewPromises        // one promise fewer than a majority is enough
	notNewest          // the asker leads by its own log, though another's is newer
	unmatched          // lines are taken behind an entry of another view
	countLearner       // who is no member yet counts
	countLate          // what was confirmed to an older view counts in this one
	keepTokens         // a proposal whose end was told waits on
	readEarly          // a read is answered before an entry of the present view is committed
	mixChunks          // chunks of two blobs are put together
	skipChunks         // a chunk is taken though one before it is missing
	installPart        // a snapshot is installed before it is whole
	unpinned           // a newer snapshot takes the place of the one that is being sent

	contactByReceipt // a leader counts contact from when an answer came
	followByReceipt  // a follower counts it from when the word came
	contactEarly     // a leader tells it before an entry of its view is committed
	contactLeads     // a leader is in contact while it leads
	contactAhead     // a follower takes it though it lacks what the leader has committed
	addOnly          // a new member never takes the place of a lost one, and no lost one leaves
	admitEarly       // a learner becomes a member before it has the state
	hasty            // who restarts counts as lost at once
	shrinkFar        // lost members leave, however few stay
	keepDead         // a learner that is gone is waited for
	leaveEarly       // who leaves does not wait until the others have what it has
	lateLost         // a member is lost from when the host finds it so
	leaveFounding    // a disk that has promised a view leaves its founding for another

	dropMerged  // of two writes of a log that wait, the first is forgotten
	oneFounding // all logs of a disk bear one founding's name
	syncedAhead // a log's write counts as synced with another log's
	asksInTurn  // two that asked for one view both wait until they ask again, however slow the disks are
)

func (f fault) String() string {
	return [...]string{"none", "what is not on disk is acknowledged", "a wiped member counts", "an old view's lines are taken",
		"promises are not put on disk", "a trim is missed", "an old view's entry is delivered by counting",
		"one majority is enough for a change of members", "a read without a round", "a promise is told before it is on disk",
		"a view is promised to two", "one promise too few", "not the newest log leads", "lines behind an entry of another view",
		"a learner counts", "a late confirmation counts", "a proposal ends twice", "a read before the view's first entry",
		"chunks of two snapshots mixed", "a missing chunk is passed over", "a snapshot is installed before it is whole",
		"a newer snapshot in the place of the one under way", "contact by an answer's receipt", "contact by the word's receipt",
		"contact before the view's first entry", "contact while it leads", "contact ahead of the log",
		"nobody is replaced", "a learner counts before it has the state", "who restarts is replaced",
		"too few members stay", "a dead learner blocks the next", "a leaver does not wait", "lost from when it is found",
		"a founding is left after a promise",
		"a write that waits is forgotten", "all logs have one founding", "synced with another log's write",
		"two that ask for one view both wait"}[f]
}

func (p *Replica) last() uint64 { return p.snap.Index + uint64(len(p.log)) }

func (p *Replica) end() place {
	v, _ := p.viewAt(p.last())
	return place{v, p.last()}
}

// viewAt is the view of the entry at an index, if that is known.
func (p *Replica) viewAt(index uint64) (uint64, bool) {
	switch {
	case index == p.snap.Index:
		return p.snap.View, true
	case index+1 < p.First() || index > p.last():
		return 0, false
	case index+1 == p.First():
		return p.trailView, true
	case index < p.snap.Index:
		return p.trail[index-p.First()].View, true
	}
	return p.log[index-p.snap.Index-1].View, true
}

// from is a copy of the log from an index on.
func (p *Replica) from(index uint64) []Entry {
	if index > p.last() {
		return nil
	}
	if index <= p.snap.Index {
		return slices.Concat(p.trail[index-p.First():], p.log)
	}
	return slices.Clone(p.log[index-p.snap.Index-1:])
}

// put puts an entry behind the last.
func (p *Replica) appendEntry(e Entry) {
	invariant.That(e.Index == p.last()+1, "entries follow one another")
	p.log = append(p.log, e)
	if e.Kind == ConfigChange {
		p.configs = append(p.configs, config{e.Index, e.Members})
	}
}

// trim takes away all entries from an index on.
func (p *Replica) truncate(from uint64) {
	invariant.That(from > p.committed, "what was delivered stays")
	p.log = slices.Clone(p.log[:from-p.snap.Index-1])
	for p.configs[len(p.configs)-1].index >= from {
		p.configs = p.configs[:len(p.configs)-1]
	}
	p.unsync(from - 1)
	p.markDirty(from)
}

// unsync: what is on disk beyond an index is not the log any more.
func (p *Replica) unsync(upto uint64) {
	p.synced = min(p.synced, upto)
	for i := range p.writes {
		p.writes[i].upto = min(p.writes[i].upto, upto)
	}
}

// take makes the log that of a newer one, given the entries after an index that both have.
func (p *Replica) merge(prev uint64, entries []Entry) {
	for i, e := range entries {
		invariant.That(e.Index == prev+1+uint64(i), "entries follow one another")
		if e.Index != prev+1+uint64(i) {
			return
		}
		if e.Index <= p.committed {
			continue
		}
		if v, ok := p.viewAt(e.Index); ok {
			if v == e.View || p.fault == noTruncate {
				continue
			}
			p.truncate(e.Index)
		}
		p.markDirty(e.Index)
		for _, e := range entries[i:] {
			p.appendEntry(e)
		}
		return
	}
}

// install puts a snapshot in the place of everything.
func (p *Replica) install(s Snapshot) {
	p.snap, p.log, p.trail = s, nil, nil
	p.configs = []config{{s.Index, s.Members}}
	p.committed = s.Index
	p.unsync(0)
	p.dirtySnap = true
	p.markDirty(s.Index + 1)
	p.out = append(p.out, Restore{s.Index, s.State})
}

// mayInstall tells whether a snapshot is ahead of what is had here.
func (p *Replica) mayInstall(s *Snapshot) bool {
	if s == nil || s.Index <= p.committed {
		return false
	}
	v, ok := p.viewAt(s.Index)
	return !ok || v != s.View
}

// deliver hands over all up to an index.
func (p *Replica) commitUpTo(upto uint64) {
	invariant.That(upto <= p.last(), "only what is had is delivered")
	for p.committed < min(upto, p.last()) {
		p.committed++
		e := p.log[p.committed-p.snap.Index-1]
		p.out = append(p.out, Commit{e})
		if token, ok := p.tokens[e.Index]; ok {
			delete(p.tokens, e.Index)
			p.outcome(token, e.Index, Done)
		}
		if e.Kind == ConfigChange {
			p.markDirty(0) // that the list is settled must outlast the one who knew
		}
	}
}

// settled: the newest list is known to be committed.
func (p *Replica) settled() bool { return p.configs[len(p.configs)-1].index <= p.committed }

// quorum tells whether a majority of the members is so, and of those before if the newest list is not
// settled.
func (p *Replica) quorum(is func(MemberID) bool) bool {
	if !majority(p.Members(), is) {
		return false
	}
	return p.settled() || p.fault == oneMajority || majority(p.configs[len(p.configs)-2].members, is)
}

func majority(list []Member, is func(MemberID) bool) bool {
	n := 0
	for _, m := range list {
		if is(m.ID) {
			n++
		}
	}
	return n > len(list)/2
}

func (p *Replica) member(id MemberID) bool {
	return slices.ContainsFunc(p.Members(), func(m Member) bool { return m.ID == id })
}

// others are all who count, now or if the newest list should fall, but for this one.
func (p *Replica) others() (list []Member) {
	list = slices.Clone(p.Members())
	if !p.settled() {
		for _, m := range p.configs[len(p.configs)-2].members {
			if !p.member(m.ID) {
				list = append(list, m)
			}
		}
	}
	return slices.DeleteFunc(list, func(m Member) bool { return m.ID == p.me.ID })
}

// touch notes that the disk is behind, and its entries from an index on if that is not 0.
func (p *Replica) markDirty(from uint64) {
	p.dirty = true
	if from > 0 && (p.dirtyFrom == 0 || from < p.dirtyFrom) {
		p.dirtyFrom = from
	}
}

// write is all that the disk is behind.
func (p *Replica) write() Write {
	w := Write{Nr: p.nr, House: p.clusterID, Promise: p.promise, For: p.promisedTo, Delivered: p.committed}
	if p.fault == forgetful {
		w.Promise, w.For = 1, 0
	}
	if p.dirtyFrom > 0 {
		w.From = max(p.dirtyFrom, p.snap.Index+1)
		w.Entries = p.from(w.From)
	}
	if p.dirtySnap {
		s := p.snap
		w.Snap = &s
	}
	p.writes = append(p.writes, issued{p.nr, p.last()})
	p.nr++
	p.dirty, p.dirtyFrom, p.dirtySnap = false, 0, false
	return w
}

// when says something once all of now is on disk.
func (p *Replica) afterSync(w waiting) {
	w.nr = p.nr
	if !p.dirty {
		w.nr--
	}
	if w.nr <= p.done || p.fault == ackUnsynced && w.kind == Ack ||
		p.fault == tellEarly && w.kind == Promise {
		p.say(w)
	} else if !slices.Contains(p.waits, w) {
		p.waits = append(p.waits, w)
	}
}

// say says what waited, unless a newer view was promised meanwhile.
func (p *Replica) say(w waiting) {
	if w.view != p.promise {
		return
	}
	switch w.kind {
	case Ack:
		if p.role == following && p.leader == w.to {
			p.ack()
		}
	case Promise:
		if p.promisedTo == w.to {
			e := p.end()
			p.send(w.to, Message{Kind: Promise, View: p.promise, Index: e.index, At: e.view})
		}
	case Prepare:
		if p.role == preparing && p.promisedTo == p.me.ID {
			p.promises[p.me.ID] = p.end()
			p.awaitPromises()
			p.tallyPromises()
		}
	}
}

// send sends a message to whom it may be known where to find.
func (p *Replica) send(to MemberID, m Message) {
	if w := p.peers[to]; w != nil {
		p.sendTo(w.Member, m)
		return
	}
	if to == p.me.ID {
		return
	}
	for i := len(p.configs) - 1; i >= 0; i-- {
		for _, o := range p.configs[i].members {
			if o.ID == to {
				p.sendTo(o, m)
				return
			}
		}
	}
	p.sendTo(Member{ID: to}, m) // the host may know its address
}

func (p *Replica) sendTo(to Member, m Message) {
	m.To = to.ID
	if m.House == 0 {
		m.House = p.clusterID
	}
	p.out = append(p.out, Send{to, m})
}
