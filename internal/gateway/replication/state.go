package replication

import (
	"slices"

	"github.com/go-faster/errors"
)

// PersistentState is what a member's disk has of one log. The zero value with an ID is an empty disk.
type PersistentState struct {
	ID        MemberID
	ClusterID uint64   // 0 on an empty disk
	Term      uint64   // the newest term that this member took part in or voted in
	Vote      MemberID // the candidate that it voted for in Term, or its leader
	Commit    uint64   // known to be committed up to here, perhaps further
	Snapshot  Snapshot
	Entries   []Entry // from Snapshot.Index+1 on
}

// ErrInvalidState is the cause of what Validate returns.
var ErrInvalidState = errors.New("invalid persistent state")

// Validate returns an error that wraps ErrInvalidState if a disk has what no sequence of writes results in.
func (p *PersistentState) Validate() error {
	last := p.Snapshot.Index + uint64(len(p.Entries))
	switch {
	case p.ID == 0:
		return errors.Wrap(ErrInvalidState, "no member ID")
	case p.ClusterID == 0 && (p.Term != 0 || last != 0):
		return errors.Wrapf(ErrInvalidState, "no cluster ID, but term %d and log up to %d", p.Term, last)
	case p.ClusterID != 0 && (p.Snapshot.Index == 0 || len(p.Snapshot.Members) == 0):
		return errors.Wrap(ErrInvalidState, "a cluster ID, but no members")
	case p.Commit < p.Snapshot.Index || p.Commit > last:
		return errors.Wrapf(ErrInvalidState, "committed up to %d, log from %d to %d", p.Commit, p.Snapshot.Index, last)
	}
	term := p.Snapshot.Term
	for i, e := range p.Entries {
		index := p.Snapshot.Index + 1 + uint64(i)
		if e.Index != index || e.Term < term || e.Term > p.Term {
			return errors.Wrapf(ErrInvalidState, "entry %d of term %d at index %d, after term %d", e.Index, e.Term, index, term)
		}
		term = e.Term
	}
	return nil
}

// Apply is what a write does to a disk.
func (p *PersistentState) Apply(w Write) {
	p.ClusterID, p.Term, p.Vote, p.Commit = w.ClusterID, w.Term, w.Vote, w.Commit
	if w.Snapshot != nil {
		compacted := min(w.Snapshot.Index-p.Snapshot.Index, uint64(len(p.Entries)))
		p.Snapshot, p.Entries = *w.Snapshot, slices.Clone(p.Entries[compacted:])
	}
	if w.FirstIndex > 0 {
		kept := min(w.FirstIndex-p.Snapshot.Index-1, uint64(len(p.Entries)))
		p.Entries = append(slices.Clone(p.Entries[:kept]), w.Entries...)
	}
}

// Write is an Action: the host puts it on disk and syncs it atomically, in the order of Seq, and then calls Synced(Seq). If that
// fails the host retries or ends the process: a later write must not reach the disk without it.
type Write struct {
	Seq        uint64
	ClusterID  uint64
	Term       uint64
	Vote       MemberID
	Commit     uint64
	Snapshot   *Snapshot // if set, replaces the snapshot and the entries up to its index
	FirstIndex uint64    // if not 0, the log from here on is Entries
	Entries    []Entry
}

// Merge returns one write that does what w and then next do.
func (w Write) Merge(next Write) Write {
	if s := next.Snapshot; s == nil {
		next.Snapshot = w.Snapshot
	} else if w.FirstIndex > 0 && w.FirstIndex <= s.Index {
		w.Entries = w.Entries[min(uint64(len(w.Entries)), s.Index+1-w.FirstIndex):]
		w.FirstIndex = s.Index + 1
	}
	switch {
	case w.FirstIndex == 0:
	case next.FirstIndex == 0:
		next.FirstIndex, next.Entries = w.FirstIndex, w.Entries
	case next.FirstIndex > w.FirstIndex:
		kept := min(uint64(len(w.Entries)), next.FirstIndex-w.FirstIndex)
		next.FirstIndex, next.Entries = w.FirstIndex, slices.Concat(w.Entries[:kept], next.Entries)
	}
	return next
}

// Size is approximately how many bytes a write puts on disk.
func (w *Write) Size() int {
	size := totalEntryBytes(w.Entries)
	if w.Snapshot != nil {
		size += len(w.Snapshot.State)
	}
	return size
}

// LogWrite is a write to one of the logs on a disk.
type LogWrite struct {
	Log   LogID
	Write Write
}
