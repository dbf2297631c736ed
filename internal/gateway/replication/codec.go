package replication

import (
	"bytes"
	"encoding/binary"

	"github.com/go-faster/errors"
)

// The coordination groups' messages in a compact form: most are heartbeats and single entries, which gob would carry in three times the
// bytes. Numbers are varints; a mask tells which fields follow. Contact, with its clocks, is not carried: nothing goes by it there
// (see reportsContact).

// fields of a message that are there, as bits.
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

// AppendMessage adds a message's compact form.
func AppendMessage(b []byte, m *Message) []byte {
	mask := uint64(0)
	set := func(bit uint64, is bool) {
		if is {
			mask |= bit
		}
	}
	numbers := []struct {
		bit, value uint64
	}{{hasIndex, m.Index}, {hasLogTerm, m.LogTerm}, {hasCommit, m.Commit}, {hasSeq, m.Seq}, {hasReplicatedElsewhere, m.ReplicatedElsewhere}}
	for _, n := range numbers {
		set(n.bit, n.value != 0)
	}
	set(isRejection, m.Rejected)
	set(hasEntries, len(m.Entries) > 0)
	set(hasSnapshot, m.Snapshot != nil)
	set(hasChunk, m.Chunk != nil)
	set(acceptsChunks, m.AcceptsChunks)
	b = append(b, byte(m.Kind))
	for _, n := range []uint64{mask, m.ClusterID, uint64(m.Recipient), m.Term} {
		b = binary.AppendUvarint(b, n)
	}
	for _, n := range numbers {
		if mask&n.bit != 0 {
			b = binary.AppendUvarint(b, n.value)
		}
	}
	if len(m.Entries) > 0 {
		b = binary.AppendUvarint(b, uint64(len(m.Entries)))
		for i := range m.Entries {
			b = appendEntry(b, &m.Entries[i])
		}
	}
	if s := m.Snapshot; s != nil {
		b = binary.AppendUvarint(binary.AppendUvarint(b, s.Index), s.Term)
		b = appendBytes(appendMembers(b, s.Members), s.State)
	}
	if c := m.Chunk; c != nil {
		for _, n := range []uint64{c.Index, c.View, c.Sum, c.Size, c.Offset} {
			b = binary.AppendUvarint(b, n)
		}
		b = appendBytes(b, c.Data)
	}
	return b
}

func appendEntry(b []byte, e *Entry) []byte {
	b = append(binary.AppendUvarint(binary.AppendUvarint(b, e.Index), e.Term), byte(e.Kind))
	return appendMembers(appendBytes(b, e.Data), e.Members)
}

func appendMembers(b []byte, list []Member) []byte {
	b = binary.AppendUvarint(b, uint64(len(list)))
	for _, m := range list {
		b = appendBytes(binary.AppendUvarint(b, uint64(m.ID)), []byte(m.Addr))
	}
	return b
}

func appendBytes(b, data []byte) []byte {
	return append(binary.AppendUvarint(b, uint64(len(data))), data...)
}

// ErrTruncatedMessage is of a message that ends too early, or names more than there is.
var ErrTruncatedMessage = errors.New("message cut short")

// DecodeMessage reads one, and gives what follows it. What it gives shares nothing with b.
func DecodeMessage(b []byte) (m Message, rest []byte, err error) {
	r := messageReader{rest: b}
	m.Kind = MessageKind(r.byte())
	mask := r.uvarint()
	m.ClusterID, m.Recipient, m.Term, m.ContactAgeMillis = r.uvarint(), MemberID(r.uvarint()), r.uvarint(), -1
	for _, n := range []struct {
		bit uint64
		to  *uint64
	}{{hasIndex, &m.Index}, {hasLogTerm, &m.LogTerm}, {hasCommit, &m.Commit}, {hasSeq, &m.Seq}, {hasReplicatedElsewhere, &m.ReplicatedElsewhere}} {
		if mask&n.bit != 0 {
			*n.to = r.uvarint()
		}
	}
	m.Rejected, m.AcceptsChunks = mask&isRejection != 0, mask&acceptsChunks != 0
	if mask&hasEntries != 0 {
		for range r.count() {
			m.Entries = append(m.Entries, Entry{Index: r.uvarint(), Term: r.uvarint(), Kind: EntryKind(r.byte()), Data: r.bytes(), Members: r.members()})
		}
	}
	if mask&hasSnapshot != 0 {
		m.Snapshot = &Snapshot{Index: r.uvarint(), Term: r.uvarint(), Members: r.members(), State: r.bytes()}
	}
	if mask&hasChunk != 0 {
		m.Chunk = &Chunk{Index: r.uvarint(), View: r.uvarint(), Sum: r.uvarint(), Size: r.uvarint(), Offset: r.uvarint(), Data: r.bytes()}
	}
	if r.truncated {
		return Message{}, nil, ErrTruncatedMessage
	}
	return m, r.rest, nil
}

// messageReader reads what is there, and notes if it is not enough.
type messageReader struct {
	rest      []byte
	truncated bool
}

func (m *messageReader) fail() {
	m.rest, m.truncated = nil, true
}

func (m *messageReader) byte() byte {
	if len(m.rest) == 0 {
		m.fail()
		return 0
	}
	c := m.rest[0]
	m.rest = m.rest[1:]
	return c
}

func (m *messageReader) uvarint() uint64 {
	n, size := binary.Uvarint(m.rest)
	if size <= 0 {
		m.fail()
		return 0
	}
	m.rest = m.rest[size:]
	return n
}

// count is a number of things of which each takes a byte at the least.
func (m *messageReader) count() int {
	n := m.uvarint()
	if n > uint64(len(m.rest)) {
		m.fail()
		return 0
	}
	return int(n)
}

func (m *messageReader) bytes() []byte {
	n := m.count()
	if n == 0 {
		return nil
	}
	data := bytes.Clone(m.rest[:n])
	m.rest = m.rest[n:]
	return data
}

func (m *messageReader) members() (list []Member) {
	for range m.count() {
		list = append(list, Member{ID: MemberID(m.uvarint()), Addr: string(m.bytes())})
	}
	return list
}
