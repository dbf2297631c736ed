package replication

// MemberID identifies a member's disk. It is drawn at random for each empty disk and is never 0. The ID of a lost disk is never
// used again.
type MemberID uint64

// Member is a disk of the cluster with the address of its node.
type Member struct {
	ID   MemberID
	Addr string // host:port, unique within a member list
}

// EntryKind is the kind of an entry. Its values are part of the disk format and the wire format.
type EntryKind uint8

// Kinds of entries.
const (
	EntryNormal       EntryKind = iota // Data is the host's payload
	EntryConfigChange                  // Members is the member list that takes effect at this index
	EntryNoOp                          // the first entry of a term, without content
)

// Entry is one entry of the log.
type Entry struct {
	Index, Term uint64
	Kind        EntryKind
	Data        []byte   // for EntryNormal; must not change after the proposal
	Members     []Member // for EntryConfigChange: the complete new member list
}

// entryOverheadBytes is the approximate overhead of an entry in bytes on a link or on disk. For an EntryConfigChange,
// memberOverheadBytes is added for each member on the member list in Entry.Members.
const (
	entryOverheadBytes  = 32
	memberOverheadBytes = 32
)

// Size returns the approximate size of the entry in bytes on a link or on disk.
func (e *Entry) Size() int {
	return len(e.Data) + entryOverheadBytes + memberOverheadBytes*len(e.Members)
}

// totalEntryBytes returns the sum of the sizes of the entries, as Entry.Size estimates them.
func totalEntryBytes(entries []Entry) (bytes int) {
	for i := range entries {
		bytes += entries[i].Size()
	}
	return bytes
}

// Snapshot is the host's state up to an index. It replaces the log up to that index.
type Snapshot struct {
	Index, Term uint64   // of the last entry that State includes
	Members     []Member // the member list in effect at Index
	State       []byte   // empty: the initial state of a new system
}

func (s *Snapshot) lastPosition() logPosition { return logPosition{s.Term, s.Index} }

// logPosition is the term and index of an entry, usually of the last entry of a log.
type logPosition struct{ term, index uint64 }

// newerThan compares the last entries of two logs as Raft does. The log with the higher last term is newer. If the terms are equal,
// the log with the higher last index is newer.
func (l logPosition) newerThan(other logPosition) bool {
	return l.term > other.term || l.term == other.term && l.index > other.index
}
