package replication

import (
	"slices"

	"clovergap/internal/invariant"
)

// maxTrailingEntries limits the number of compacted entries that stay in memory, in addition to the limit in bytes: a small entry
// takes more memory than its Size.
const maxTrailingEntries = 4096

// entryLog is a snapshot and the entries after the snapshot. It also keeps some compacted entries in memory. Callers may keep the slices
// that the methods of entryLog return.
type entryLog struct {
	snapshot Snapshot
	entries  []Entry // entries after the snapshot
	// trailing contains the last compacted entries, up to the snapshot's index, for members that lack only a few entries. It is not on disk.
	trailing []Entry
	// termBeforeTrailing is the term of the entry before trailing. An append that starts with the first trailing entry must name this term.
	termBeforeTrailing uint64
}

// firstIndex returns the index of the oldest entry in memory, including the trailing entries. Without any entry, it returns the index
// after the snapshot.
func (e *entryLog) firstIndex() uint64 { return e.snapshot.Index + 1 - uint64(len(e.trailing)) }

func (e *entryLog) lastIndex() uint64 { return e.snapshot.Index + uint64(len(e.entries)) }

func (e *entryLog) lastPosition() logPosition {
	term, _ := e.termAt(e.lastIndex())
	return logPosition{term, e.lastIndex()}
}

// entryAt returns the entry with an index from firstIndex to lastIndex.
func (e *entryLog) entryAt(index uint64) *Entry {
	if index <= e.snapshot.Index {
		return &e.trailing[index-e.firstIndex()]
	}
	return &e.entries[index-e.snapshot.Index-1]
}

// termAt returns the term of the entry at an index. It returns false if the entry was compacted or does not exist yet.
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

// hasEntry reports whether the log has an entry with this index and term.
func (e *entryLog) hasEntry(index, term uint64) bool {
	foundTerm, known := e.termAt(index)
	return known && foundTerm == term
}

// entriesFrom returns a copy of the log from an index on. The index must be at least firstIndex.
func (e *entryLog) entriesFrom(index uint64) []Entry {
	if index > e.lastIndex() {
		return nil
	}
	if index <= e.snapshot.Index {
		return slices.Concat(e.trailing[index-e.firstIndex():], e.entries)
	}
	return slices.Clone(e.entries[index-e.snapshot.Index-1:])
}

// bytesBetween returns the total size of the entries after index `after`, up to and including index `upto`.
func (e *entryLog) bytesBetween(after, upto uint64) (bytes int) {
	for index := max(after+1, e.firstIndex()); index <= upto; index++ {
		bytes += e.entryAt(index).Size()
	}
	return bytes
}

func (e *entryLog) append(entry Entry) {
	invariant.Assert(entry.Index == e.lastIndex()+1, "an appended entry follows the last entry of the log")
	e.entries = append(e.entries, entry)
}

// truncateFrom removes all entries from an index on.
func (e *entryLog) truncateFrom(index uint64) {
	// Copy the slice, because the previous array may be part of a message or a write that is still in use.
	e.entries = slices.Clone(e.entries[:index-e.snapshot.Index-1])
}

// compact replaces the log up to the snapshot's index by the snapshot. It keeps the newest compacted entries in memory. Their total size
// is limited to the larger of trailingBytes and the size of the snapshot's state. A member that lacks only entries that are in memory
// receives these entries instead of the snapshot.
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

// appendEntry appends an entry to the log. The member list of an EntryConfigChange takes effect at once.
func (r *Replica) appendEntry(e Entry) {
	r.log.append(e)
	if e.Kind == EntryConfigChange {
		r.memberConfigs = append(r.memberConfigs, memberConfig{e.Index, e.Members})
	}
}

// truncateFrom removes all entries from an index on, together with the member lists in them.
func (r *Replica) truncateFrom(index uint64) {
	invariant.Assert(index > r.commitIndex, "committed entries are never removed")
	r.log.truncateFrom(index)
	for r.latestConfig().index >= index {
		r.memberConfigs = r.memberConfigs[:len(r.memberConfigs)-1]
	}
	r.lowerSyncedIndex(index - 1)
	r.requireWriteFrom(index)
}

// appendEntriesAfter appends the entries of a message to this member's log. The caller has checked that this log equals the sender's log up to
// prevIndex. Entries of this log are removed only from the first conflicting entry on. Entries after the last entry of the message stay
// if there is no conflict: the message may have been delayed and then contains fewer entries than a message that was handled before.
func (r *Replica) appendEntriesAfter(prevIndex uint64, entries []Entry) {
	for i, e := range entries {
		consecutive := e.Index == prevIndex+1+uint64(i)
		invariant.Assert(consecutive, "entries in a message have consecutive indexes")
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
		r.requireWriteFrom(e.Index)
		for _, e := range entries[i:] {
			r.appendEntry(e)
		}
		return
	}
}

// commitUpTo passes all entries up to an index to the host as committed, and finishes the proposals among them.
func (r *Replica) commitUpTo(index uint64) {
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
			// The commit index is written to disk. After a restart, this member then needs only the majority of the new list, even
			// if the other members that knew of the commit are gone.
			r.requireWriteFrom(0)
		}
	}
}

// Compact replaces the log up to a committed index by a snapshot. `state` is the host's state at that index.
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
	r.requireWriteFrom(0)
}

// FirstIndex returns the index of the oldest entry that EntriesAfter can return.
func (r *Replica) FirstIndex() uint64 { return r.log.firstIndex() }

// EntriesAfter returns the entries after index `index`, up to and including index `upto`. It returns false if some of these entries
// were compacted and are only in the snapshot, or if the log ends before `upto`.
func (r *Replica) EntriesAfter(index, upto uint64) ([]Entry, bool) {
	if index+1 < r.log.firstIndex() || upto > r.log.lastIndex() {
		return nil, false
	}
	entries := r.log.entriesFrom(index + 1)
	return entries[:min(uint64(len(entries)), max(upto, index)-index)], true
}

// UncompactedBytes returns the total size of the entries after the snapshot, up to and including index `upto`.
func (r *Replica) UncompactedBytes(upto uint64) int {
	return r.log.bytesBetween(r.log.snapshot.Index, min(upto, r.log.lastIndex()))
}

func (r *Replica) uncommittedBytes() int { return r.log.bytesBetween(r.commitIndex, r.log.lastIndex()) }
