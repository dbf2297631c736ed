package replication

import (
	"bytes"
	"encoding/binary"

	"github.com/go-faster/errors"
)

// This file encodes messages between members of the coordination groups in a compact form. Each group has its own log beside the
// configuration log. Most of these messages are heartbeats and single entries, for which gob would take three times the bytes. The
// layout is as follows. Numbers are varints, except the kinds of messages and entries, which take one byte each:
//
//	kind, mask, cluster ID, recipient, term, the fields whose bits are set in the mask
//
// The form omits clocks and quorum contact, because the logs of groups do not track quorum contact (see tracksQuorumContact).

// Bits of the mask, in the order in which the fields are encoded. They are part of the wire format.
const (
	hasIndex = 1 << iota
	hasLogTerm
	hasCommit
	hasSeq
	hasReplicatedElsewhere
	isRejection
	hasEntries
	hasSnapshot
	hasChunk
	acceptsChunks
)

// ErrTruncatedMessage is returned for a message that ends too early. It is also returned if the length of a list or byte sequence in the
// message exceeds the number of remaining bytes.
var ErrTruncatedMessage = errors.New("truncated message")

// fieldMask returns the mask of the compact form: the bits of the optional fields that the message sets.
func (m *Message) fieldMask() (mask uint64) {
	set := func(bit uint64, isSet bool) {
		if isSet {
			mask |= bit
		}
	}
	set(hasIndex, m.Index != 0)
	set(hasLogTerm, m.LogTerm != 0)
	set(hasCommit, m.Commit != 0)
	set(hasSeq, m.Seq != 0)
	set(hasReplicatedElsewhere, m.ReplicatedElsewhere != 0)
	set(isRejection, m.Rejected)
	set(hasEntries, len(m.Entries) > 0)
	set(hasSnapshot, m.Snapshot != nil)
	set(hasChunk, m.Chunk != nil)
	set(acceptsChunks, m.AcceptsChunks)
	return mask
}

// AppendMessage appends the compact form of a message to b.
func AppendMessage(b []byte, m *Message) []byte {
	b = append(b, byte(m.Kind))
	for _, n := range [...]uint64{m.fieldMask(), m.ClusterID, uint64(m.Recipient), m.Term} {
		b = binary.AppendUvarint(b, n)
	}
	for _, n := range [...]uint64{m.Index, m.LogTerm, m.Commit, m.Seq, m.ReplicatedElsewhere} {
		if n != 0 {
			b = binary.AppendUvarint(b, n)
		}
	}
	if len(m.Entries) > 0 {
		b = binary.AppendUvarint(b, uint64(len(m.Entries)))
		for i := range m.Entries {
			b = appendEntry(b, &m.Entries[i])
		}
	}
	if s := m.Snapshot; s != nil {
		b = appendUvarints(b, s.Index, s.Term)
		b = appendBytes(appendMembers(b, s.Members), s.State)
	}
	if c := m.Chunk; c != nil {
		b = appendUvarints(b, c.Index, c.View, c.Sum, c.Size, c.Offset)
		b = appendBytes(b, c.Data)
	}
	return b
}

func appendUvarints(b []byte, numbers ...uint64) []byte {
	for _, n := range numbers {
		b = binary.AppendUvarint(b, n)
	}
	return b
}

func appendEntry(b []byte, e *Entry) []byte {
	b = append(appendUvarints(b, e.Index, e.Term), byte(e.Kind))
	return appendMembers(appendBytes(b, e.Data), e.Members)
}

func appendMembers(b []byte, members []Member) []byte {
	b = binary.AppendUvarint(b, uint64(len(members)))
	for _, m := range members {
		b = appendBytes(binary.AppendUvarint(b, uint64(m.ID)), []byte(m.Addr))
	}
	return b
}

func appendBytes(b, data []byte) []byte {
	return append(binary.AppendUvarint(b, uint64(len(data))), data...)
}

// DecodeMessage decodes a message and returns the bytes that follow it. The message does not refer to the memory of b.
func DecodeMessage(b []byte) (m Message, rest []byte, err error) {
	r := messageReader{rest: b}
	m.Kind = MessageKind(r.readByte())
	mask := r.readUvarint()
	m.ClusterID, m.Recipient, m.Term, m.ContactAgeMillis = r.readUvarint(), MemberID(r.readUvarint()), r.readUvarint(), -1
	for i, field := range [...]*uint64{&m.Index, &m.LogTerm, &m.Commit, &m.Seq, &m.ReplicatedElsewhere} {
		if mask&(hasIndex<<i) != 0 {
			*field = r.readUvarint()
		}
	}
	m.Rejected, m.AcceptsChunks = mask&isRejection != 0, mask&acceptsChunks != 0
	if mask&hasEntries != 0 {
		for range r.readCount() {
			m.Entries = append(m.Entries, r.readEntry())
		}
	}
	if mask&hasSnapshot != 0 {
		m.Snapshot = &Snapshot{Index: r.readUvarint(), Term: r.readUvarint(), Members: r.readMembers(), State: r.readBytes()}
	}
	if mask&hasChunk != 0 {
		m.Chunk = &Chunk{Index: r.readUvarint(), View: r.readUvarint(), Sum: r.readUvarint(), Size: r.readUvarint(), Offset: r.readUvarint(), Data: r.readBytes()}
	}
	if r.truncated {
		return Message{}, nil, ErrTruncatedMessage
	}
	return m, r.rest, nil
}

// messageReader decodes fields from a buffer. Once the buffer is too short for a field, truncated is true and all further reads
// return zero values.
type messageReader struct {
	rest      []byte
	truncated bool
}

func (m *messageReader) setTruncated() {
	m.rest, m.truncated = nil, true
}

func (m *messageReader) readByte() byte {
	if len(m.rest) == 0 {
		m.setTruncated()
		return 0
	}
	c := m.rest[0]
	m.rest = m.rest[1:]
	return c
}

func (m *messageReader) readUvarint() uint64 {
	n, size := binary.Uvarint(m.rest)
	if size <= 0 {
		m.setTruncated()
		return 0
	}
	m.rest = m.rest[size:]
	return n
}

// readCount reads the length of a list or byte sequence. Each item takes at least one byte, so a count beyond the remaining
// bytes is an error. This check prevents large allocations for an invalid count.
func (m *messageReader) readCount() int {
	n := m.readUvarint()
	if n > uint64(len(m.rest)) {
		m.setTruncated()
		return 0
	}
	return int(n)
}

func (m *messageReader) readBytes() []byte {
	n := m.readCount()
	if n == 0 {
		return nil
	}
	data := bytes.Clone(m.rest[:n])
	m.rest = m.rest[n:]
	return data
}

func (m *messageReader) readEntry() Entry {
	return Entry{Index: m.readUvarint(), Term: m.readUvarint(), Kind: EntryKind(m.readByte()), Data: m.readBytes(), Members: m.readMembers()}
}

func (m *messageReader) readMembers() (members []Member) {
	for range m.readCount() {
		members = append(members, Member{ID: MemberID(m.readUvarint()), Addr: string(m.readBytes())})
	}
	return members
}
