package replication

import (
	"slices"

	"clovergap/internal/invariant"
)

// maxTrailingEntries bounds the compacted entries that stay in memory, beside Config.TrailingBytes: small entries cost more than
// their Size.
const maxTrailingEntries = 4096

// entryLog is a snapshot and the entries after it, and in memory some of the entries before its index. All that it returns may be
// kept by the caller.
type entryLog struct {
	snapshot           Snapshot
	entries            []Entry // after snapshot
	trailing           []Entry // the last ones up to snapshot, for members that lack only a little; not on disk
	termBeforeTrailing uint64  // of the entry before trailing, so that an append of all of trailing can name it
}

// firstIndex is that of the oldest entry in memory.
func (e *entryLog) firstIndex() uint64 { return e.snapshot.Index + 1 - uint64(len(e.trailing)) }

func (e *entryLog) lastIndex() uint64 { return e.snapshot.Index + uint64(len(e.entries)) }

func (e *entryLog) lastPosition() logPosition {
	term, _ := e.termAt(e.lastIndex())
	return logPosition{term, e.lastIndex()}
}

// at is the entry of an index from firstIndex to lastIndex.
func (e *entryLog) entryAt(index uint64) *Entry {
	if index <= e.snapshot.Index {
		return &e.trailing[index-e.firstIndex()]
	}
	return &e.entries[index-e.snapshot.Index-1]
}

// termAt is the term of the entry at an index, and false if that is not known any more or yet.
func (e *entryLog) termAt(index uint64) (uint64, bool) {
	switch {
	case index == e.snapshot.Index:
		return e.snapshot.Term, true
	case index+1 < e.firstIndex() || index > e.lastIndex():
		return 0, false
	case index+1 == e.firstIndex():
		return e.termBeforeTrailing, true
	}
	return e.entryAt(index).Term, true
}

// matches reports whether the log has an entry of this index and term.
func (e *entryLog) hasEntry(index, term uint64) bool {
	foundTerm, known := e.termAt(index)
	return known && foundTerm == term
}

// entriesFrom is a copy of the log from an index on, which is at least firstIndex.
func (e *entryLog) entriesFrom(index uint64) []Entry {
	if index > e.lastIndex() {
		return nil
	}
	if index <= e.snapshot.Index {
		return slices.Concat(e.trailing[index-e.firstIndex():], e.entries)
	}
	return slices.Clone(e.entries[index-e.snapshot.Index-1:])
}

// bytesBetween is the size of the entries after one index, up to and including another.
func (e *entryLog) bytesBetween(after, upto uint64) (bytes int) {
	for index := max(after+1, e.firstIndex()); index <= upto; index++ {
		bytes += e.entryAt(index).Size()
	}
	return bytes
}

func (e *entryLog) append(entry Entry) {
	invariant.Assert(entry.Index == e.lastIndex()+1, "the log has no gaps")
	e.entries = append(e.entries, entry)
}

// truncateFrom removes all entries from an index on.
func (e *entryLog) truncateFrom(index uint64) {
	// A copy: the previous array may be part of a message or a write that is under way.
	e.entries = slices.Clone(e.entries[:index-e.snapshot.Index-1])
}

// compact replaces the log up to the snapshot's index by it, and keeps as much of what it replaces as the larger of trailingBytes
// and the snapshot's state: a member that lacks less than that is sent entries, not the snapshot.
func (e *entryLog) compact(snapshot Snapshot, trailingBytes int) {
	if len(e.trailing) == 0 {
		e.termBeforeTrailing = e.snapshot.Term
	}
	compactedCount := snapshot.Index - e.snapshot.Index
	e.trailing = append(slices.Clone(e.trailing), e.entries[:compactedCount]...)
	e.entries = slices.Clone(e.entries[compactedCount:])
	e.snapshot = snapshot

	remainingBytes := max(trailingBytes, len(snapshot.State))
	for i := len(e.trailing) - 1; i >= 0; i-- {
		remainingBytes -= e.trailing[i].Size()
		if remainingBytes < 0 || len(e.trailing)-i > maxTrailingEntries {
			e.trailing, e.termBeforeTrailing = slices.Clone(e.trailing[i+1:]), e.trailing[i].Term
			return
		}
	}
}

// appendEntry appends to the log, and puts a member list into effect.
func (r *Replica) appendEntry(e Entry) {
	r.log.append(e)
	if e.Kind == EntryConfigChange {
		r.memberConfigs = append(r.memberConfigs, memberConfig{e.Index, e.Members})
	}
}

// truncateFrom removes all entries from an index on, and the member lists among them.
func (r *Replica) truncateFrom(index uint64) {
	invariant.Assert(index > r.commitIndex, "committed entries are never removed")
	r.log.truncateFrom(index)
	for r.latestConfig().index >= index {
		r.memberConfigs = r.memberConfigs[:len(r.memberConfigs)-1]
	}
	r.lowerSyncedIndex(index - 1)
	r.requireWrite(index)
}

// appendAfter makes the log as a newer one, given that one's entries after an index up to which both are equal. Entries are only
// removed where one conflicts: a delayed message has fewer entries than an earlier one, and must not undo it.
func (r *Replica) appendAfter(prevIndex uint64, entries []Entry) {
	for i, e := range entries {
		consecutive := e.Index == prevIndex+1+uint64(i)
		invariant.Assert(consecutive, "entries in a message are consecutive")
		if !consecutive {
			return
		}
		if e.Index <= r.commitIndex {
			continue
		}
		if term, known := r.log.termAt(e.Index); known {
			if term == e.Term || r.hasMutation(skipTruncation) {
				continue
			}
			r.truncateFrom(e.Index)
		}
		r.requireWrite(e.Index)
		for _, e := range entries[i:] {
			r.appendEntry(e)
		}
		return
	}
}

// commitTo hands over all entries up to an index, and ends the proposals among them.
func (r *Replica) commitTo(index uint64) {
	invariant.Assert(index <= r.log.lastIndex(), "only entries in the log are committed")
	for r.commitIndex < min(index, r.log.lastIndex()) {
		r.commitIndex++
		e := *r.log.entryAt(r.commitIndex)
		r.actions = append(r.actions, Commit{e})
		if token, proposed := r.proposals[e.Index]; proposed {
			delete(r.proposals, e.Index)
			r.finishRequest(token, e.Index, OutcomeCommitted)
		}
		if e.Kind == EntryConfigChange {
			// The commit index goes to disk: after a restart this member needs only the majority of the new list, also where
			// the members that knew so are gone.
			r.requireWrite(0)
		}
	}
}

// Compact replaces the log up to a committed index by the host's state at that index.
func (r *Replica) Compact(index uint64, state []byte) {
	invariant.Assert(index <= r.commitIndex, "only committed entries are compacted")
	if index <= r.log.snapshot.Index || index > r.commitIndex {
		return
	}
	for len(r.memberConfigs) > 1 && r.memberConfigs[1].index <= index {
		r.memberConfigs = r.memberConfigs[1:]
	}
	term, _ := r.log.termAt(index)
	r.log.compact(Snapshot{Index: index, Term: term, Members: r.memberConfigs[0].members, State: state}, r.config.TrailingBytes)
	r.unwrittenSnapshot = true
	r.requireWrite(0)
}

// FirstIndex is the index of the oldest entry that EntriesAfter can return.
func (r *Replica) FirstIndex() uint64 { return r.log.firstIndex() }

// EntriesAfter returns the entries after an index, up to and including another. It returns false if some of them are compacted:
// the snapshot has them.
func (r *Replica) EntriesAfter(index, upto uint64) ([]Entry, bool) {
	if index+1 < r.log.firstIndex() || upto > r.log.lastIndex() {
		return nil, false
	}
	entries := r.log.entriesFrom(index + 1)
	return entries[:min(uint64(len(entries)), max(upto, index)-index)], true
}

// UncompactedBytes is the size of the entries after the snapshot, up to and including an index.
func (r *Replica) UncompactedBytes(upto uint64) int {
	return r.log.bytesBetween(r.log.snapshot.Index, min(upto, r.log.lastIndex()))
}

func (r *Replica) uncommittedBytes() int { return r.log.bytesBetween(r.commitIndex, r.log.lastIndex()) }
