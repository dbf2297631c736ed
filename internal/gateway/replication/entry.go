package replication

// MemberID identifies a member's disk. It is drawn at random for each empty disk and is never 0; the ID of a lost disk never
// comes back.
type MemberID uint64

// Member is a disk and the address of its node.
type Member struct {
	ID   MemberID
	Addr string // host:port; no two members of a list share one
}

// EntryKind is what an entry is for. Its numbers are on disk and on the wire.
type EntryKind uint8

// The kinds of entries.
const (
	EntryNormal       EntryKind = iota // Data is the host's
	EntryConfigChange                  // Members is the list from this index on
	EntryNoOp                          // the first entry of a term
)

// Entry is one entry of the log.
type Entry struct {
	Index, Term uint64
	Kind        EntryKind
	Data        []byte   // of an EntryNormal; never changed once proposed
	Members     []Member // of an EntryConfigChange: the complete new list
}

// Approximate bytes that an entry and each member on its list take beside the data, on a link and on disk.
const (
	entryOverheadBytes  = 32
	memberOverheadBytes = 32
)

// Size is approximately how many bytes an entry takes on a link and on disk.
func (e *Entry) Size() int {
	return len(e.Data) + entryOverheadBytes + memberOverheadBytes*len(e.Members)
}

// sizeOf is the sum of the entries' sizes.
func totalEntryBytes(entries []Entry) (bytes int) {
	for i := range entries {
		bytes += entries[i].Size()
	}
	return bytes
}

// Snapshot is the host's state up to an index. It replaces the log up to there.
type Snapshot struct {
	Index, Term uint64 // of the last entry that State includes
	Members     []Member
	State       []byte // empty: the state that a system starts with
}

func (s *Snapshot) lastPosition() logPosition { return logPosition{s.Term, s.Index} }

// logPosition is that of a log's last entry.
type logPosition struct{ term, index uint64 }

// newerThan compares logs as Raft does: the one whose last entry has the higher term, or the higher index in the same term, is
// newer.
func (l logPosition) newerThan(other logPosition) bool {
	return l.term > other.term || l.term == other.term && l.index > other.index
}
