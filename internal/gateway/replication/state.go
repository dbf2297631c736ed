package replication

import (
	"slices"

	"github.com/go-faster/errors"
)

// PersistentState is the state of one log on a member's disk. A state with only an ID stands for an empty disk.
type PersistentState struct {
	ID        MemberID
	ClusterID uint64   // 0 on an empty disk
	Term      uint64   // the newest term in which this member voted or followed a leader
	Vote      MemberID // the candidate that got this member's vote in Term, or the leader of Term
	Commit    uint64   // the log is committed at least up to this index
	Snapshot  Snapshot
	Entries   []Entry // entries from Snapshot.Index+1 on
}

// ErrInvalidState is wrapped by the errors that Validate returns.
var ErrInvalidState = errors.New("invalid persistent state")

// Validate returns an error that wraps ErrInvalidState if no sequence of writes can result in this state.
func (p *PersistentState) Validate() error {
	last := p.Snapshot.Index + uint64(len(p.Entries))
	switch {
	case p.ID == 0:
		return errors.Wrap(ErrInvalidState, "member ID is missing")
	case p.ClusterID == 0 && (p.Term != 0 || last != 0):
		return errors.Wrapf(ErrInvalidState, "cluster ID is missing, but got term=%d and last index=%d", p.Term, last)
	case p.ClusterID != 0 && (p.Snapshot.Index == 0 || len(p.Snapshot.Members) == 0):
		return errors.Wrap(ErrInvalidState, "cluster ID is set, but the snapshot has no index or no members")
	case p.Commit < p.Snapshot.Index || p.Commit > last:
		return errors.Wrapf(ErrInvalidState, "commit index=%d is outside the log: snapshot index=%d, last index=%d", p.Commit, p.Snapshot.Index, last)
	}
	term := p.Snapshot.Term
	for i, e := range p.Entries {
		index := p.Snapshot.Index + 1 + uint64(i)
		if e.Index != index || e.Term < term || e.Term > p.Term {
			return errors.Wrapf(ErrInvalidState, "got entry index=%d term=%d, want index=%d, term from %d to the current term", e.Index, e.Term, index, term)
		}
		term = e.Term
	}
	return nil
}

// Apply applies a write to the state.
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

// Write is an Action. The host writes it to disk atomically and syncs it, in the order of Seq, and then calls ReportSynced(Seq). If
// the write fails, the host must retry it or end the process: a later write must not reach the disk without it.
type Write struct {
	Seq        uint64
	ClusterID  uint64
	Term       uint64
	Vote       MemberID
	Commit     uint64
	Snapshot   *Snapshot // if not nil: replaces the snapshot and the entries up to its index
	FirstIndex uint64    // if not 0: Entries replace the log from this index on
	Entries    []Entry
}

// Merge returns a single write that has the same effect as w followed by next.
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

// Size returns the approximate number of bytes that the write puts on disk.
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
