package replication

// The forms in which gob sends messages of the configuration log between nodes of two versions. Gob matches fields by their
// names, so these keep the names that the first version had. Nothing but the two conversions below reads or writes their fields.
//
// Messages of the coordination groups go in the compact form of codec.go, which has no names and needs no conversion.

// Chunk is a part of a Blob as it is sent, or, without Data, an acknowledgement of all bytes before Offset. Frames and messages
// carry it in this form; a blobID is what the code goes by.
type Chunk struct {
	Index, View uint64 // log index and term of the snapshot or entry
	Sum, Size   uint64 // CRC-64 (ECMA) and length in bytes of the blob
	Offset      uint64 // in the blob: where Data begins
	Data        []byte
}

func (c *Chunk) blobID() blobID {
	return blobID{index: c.Index, term: c.View, checksum: c.Sum, size: c.Size}
}

// SameBlob reports whether two chunks are of the same blob.
func (c *Chunk) SameBlob(other *Chunk) bool { return c.blobID() == other.blobID() }

// WireEntry is an Entry as gob sends it.
type WireEntry struct {
	Index, View uint64
	Kind        EntryKind
	Data        []byte
	Members     []Member
}

// WireSnapshot is a Snapshot as gob sends it.
type WireSnapshot struct {
	Index, View uint64
	Members     []Member
	State       []byte
}

// WireMessage is a Message as gob sends it.
type WireMessage struct {
	Kind        MessageKind
	House       uint64
	To          MemberID
	View        uint64
	Index, At   uint64
	Delivered   uint64
	Round       uint64
	Elsewhere   uint64
	No          bool
	Entries     []WireEntry
	Snap        *WireSnapshot
	Chunk       *Chunk
	Chunks      bool
	Clock, Echo uint32
	Contact     int64
}

// Wire converts a message into the form that gob sends. Data of entries and snapshots is shared, not copied.
func (m *Message) Wire() WireMessage {
	wire := WireMessage{
		Kind:      m.Kind,
		House:     m.ClusterID,
		To:        m.Recipient,
		View:      m.Term,
		Index:     m.Index,
		At:        m.LogTerm,
		Delivered: m.Commit,
		Round:     m.Seq,
		Elsewhere: m.ReplicatedElsewhere,
		No:        m.Rejected,
		Chunk:     m.Chunk,
		Chunks:    m.AcceptsChunks,
		Clock:     m.Clock,
		Echo:      m.EchoedClock,
		Contact:   m.ContactAgeMillis,
	}
	if len(m.Entries) > 0 {
		wire.Entries = make([]WireEntry, len(m.Entries))
		for i := range m.Entries {
			wire.Entries[i] = m.Entries[i].toWire()
		}
	}
	if m.Snapshot != nil {
		wire.Snap = m.Snapshot.toWire()
	}
	return wire
}

// Message converts what gob received. Data of entries and snapshots is shared, not copied.
func (w *WireMessage) Message() Message {
	m := Message{
		Kind:                w.Kind,
		ClusterID:           w.House,
		Recipient:           w.To,
		Term:                w.View,
		Index:               w.Index,
		LogTerm:             w.At,
		Commit:              w.Delivered,
		Seq:                 w.Round,
		ReplicatedElsewhere: w.Elsewhere,
		Rejected:            w.No,
		Chunk:               w.Chunk,
		AcceptsChunks:       w.Chunks,
		Clock:               w.Clock,
		EchoedClock:         w.Echo,
		ContactAgeMillis:    w.Contact,
	}
	if len(w.Entries) > 0 {
		m.Entries = make([]Entry, len(w.Entries))
		for i := range w.Entries {
			m.Entries[i] = w.Entries[i].toEntry()
		}
	}
	if w.Snap != nil {
		m.Snapshot = w.Snap.toSnapshot()
	}
	return m
}

func (e *Entry) toWire() WireEntry {
	return WireEntry{Index: e.Index, View: e.Term, Kind: e.Kind, Data: e.Data, Members: e.Members}
}

func (w *WireEntry) toEntry() Entry {
	return Entry{Index: w.Index, Term: w.View, Kind: w.Kind, Data: w.Data, Members: w.Members}
}

func (s *Snapshot) toWire() *WireSnapshot {
	return &WireSnapshot{Index: s.Index, View: s.Term, Members: s.Members, State: s.State}
}

func (w *WireSnapshot) toSnapshot() *Snapshot {
	return &Snapshot{Index: w.Index, Term: w.View, Members: w.Members, State: w.State}
}
