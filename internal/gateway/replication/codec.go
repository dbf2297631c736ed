package replication

import (
	"bytes"
	"encoding/binary"

	"github.com/go-faster/errors"
)

// The coordination groups' messages in a compact form: most are heartbeats and single entries, which gob would carry in three times the
// bytes. Numbers are varints; a mask tells which fields follow. Contact, with its clocks, is not carried: nothing goes by it there
// (see tellsContact).

// fields of a message that are there, as bits.
const (
	hasIndex = 1 << iota
	hasAt
	hasDelivered
	hasRound
	hasElsewhere
	isNo
	hasEntries
	hasSnap
	hasChunk
	takesChunks
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
	}{{hasIndex, m.Index}, {hasAt, m.At}, {hasDelivered, m.Delivered}, {hasRound, m.Round}, {hasElsewhere, m.Elsewhere}}
	for _, n := range numbers {
		set(n.bit, n.value != 0)
	}
	set(isNo, m.No)
	set(hasEntries, len(m.Entries) > 0)
	set(hasSnap, m.Snap != nil)
	set(hasChunk, m.Chunk != nil)
	set(takesChunks, m.Chunks)
	b = append(b, byte(m.Kind))
	for _, n := range []uint64{mask, m.House, uint64(m.To), m.View} {
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
	if s := m.Snap; s != nil {
		b = binary.AppendUvarint(binary.AppendUvarint(b, s.Index), s.View)
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
	b = append(binary.AppendUvarint(binary.AppendUvarint(b, e.Index), e.View), byte(e.Kind))
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

// errShort is of a message that ends too early, or names more than there is.
var errShort = errors.New("message cut short")

// ReadMessage reads one, and gives what follows it. What it gives shares nothing with b.
func ReadMessage(b []byte) (m Message, rest []byte, err error) {
	r := reader{b: b}
	m.Kind = MessageKind(r.byte())
	mask := r.number()
	m.House, m.To, m.View, m.Contact = r.number(), MemberID(r.number()), r.number(), -1
	for _, n := range []struct {
		bit uint64
		to  *uint64
	}{{hasIndex, &m.Index}, {hasAt, &m.At}, {hasDelivered, &m.Delivered}, {hasRound, &m.Round}, {hasElsewhere, &m.Elsewhere}} {
		if mask&n.bit != 0 {
			*n.to = r.number()
		}
	}
	m.No, m.Chunks = mask&isNo != 0, mask&takesChunks != 0
	if mask&hasEntries != 0 {
		for range r.count() {
			m.Entries = append(m.Entries, Entry{Index: r.number(), View: r.number(), Kind: EntryKind(r.byte()), Data: r.bytes(), Members: r.members()})
		}
	}
	if mask&hasSnap != 0 {
		m.Snap = &Snapshot{Index: r.number(), View: r.number(), Members: r.members(), State: r.bytes()}
	}
	if mask&hasChunk != 0 {
		m.Chunk = &Chunk{Index: r.number(), View: r.number(), Sum: r.number(), Size: r.number(), Offset: r.number(), Data: r.bytes()}
	}
	if r.short {
		return Message{}, nil, errShort
	}
	return m, r.b, nil
}

// reader reads what is there, and notes if it is not enough.
type reader struct {
	b     []byte
	short bool
}

func (r *reader) fail() {
	r.b, r.short = nil, true
}

func (r *reader) byte() byte {
	if len(r.b) == 0 {
		r.fail()
		return 0
	}
	c := r.b[0]
	r.b = r.b[1:]
	return c
}

func (r *reader) number() uint64 {
	n, size := binary.Uvarint(r.b)
	if size <= 0 {
		r.fail()
		return 0
	}
	r.b = r.b[size:]
	return n
}

// count is a number of things of which each takes a byte at the least.
func (r *reader) count() int {
	n := r.number()
	if n > uint64(len(r.b)) {
		r.fail()
		return 0
	}
	return int(n)
}

func (r *reader) bytes() []byte {
	n := r.count()
	if n == 0 {
		return nil
	}
	data := bytes.Clone(r.b[:n])
	r.b = r.b[n:]
	return data
}

func (r *reader) members() (list []Member) {
	for range r.count() {
		list = append(list, Member{ID: MemberID(r.number()), Addr: string(r.bytes())})
	}
	return list
}
