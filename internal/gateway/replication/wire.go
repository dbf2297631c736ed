package replication

// This file contains the types that gob encodes for messages of the configuration log. During a roll-out, nodes of the old and of the new
// software version exchange these messages. Gob matches fields by name, so the fields keep the names that they had in the first
// version. Only the conversions in this file and the code that handles chunks use these fields.
//
// A coordination group is a part of the cluster's data with its own log beside the configuration log. Messages of these logs use the
// compact form of codec.go, which contains no names and needs no conversion.

// Chunk is a part of a Blob. Without Data, it is an acknowledgement of all bytes before Offset. Frames and messages contain Chunk
// in this form. Other code identifies the blob by its blobID.
type Chunk struct {
	Index, View uint64 // log index and term of the snapshot or entry
	Sum, Size   uint64 // CRC-64 (ECMA) and length in bytes of the blob
	Offset      uint64 // position of Data in the blob
	Data        []byte
}

func (c *Chunk) blobID() blobID {
	return blobID{index: c.Index, term: c.View, checksum: c.Sum, size: c.Size}
}

// SameBlob reports whether two chunks are part of the same blob.
func (c *Chunk) SameBlob(other *Chunk) bool { return c.blobID() == other.blobID() }

// WireEntry is the gob form of an Entry. View is the term.
type WireEntry struct {
	Index, View uint64
	Kind        EntryKind
	Data        []byte
	Members     []Member
}

// WireSnapshot is the gob form of a Snapshot. View is the term.
type WireSnapshot struct {
	Index, View uint64
	Members     []Member
	State       []byte
}

// WireMessage is the gob form of a Message. The method Wire shows which field of Message each field contains.
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

// Wire converts a message to the gob form. The result shares the data of entries and snapshots with the message.
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

// Message converts a message from the gob form. The result shares the data of entries and snapshots with w.
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
