package replication

import (
	"hash/crc64"
	"slices"
	"time"
)

// Chunk is a part of a blob: of a snapshot's state, or of what else is too large for one message. Index, View, Sum and Size
// tell its blob from any other: what was had before a redial or under another sender counts for whoever sends the same.
type Chunk struct {
	Index, View uint64 // the snapshot's, or the entry's
	Sum, Size   uint64 // of the whole
	Offset      uint64 // where Data begins; in an acknowledgement: all before is had
	Data        []byte
}

// SameBlob tells whether two are parts of the same.
func (c *Chunk) SameBlob(o *Chunk) bool {
	return c.Index == o.Index && c.View == o.View && c.Sum == o.Sum && c.Size == o.Size
}

// Blob is bytes that are sent in chunks. All who are sent it share it.
type Blob struct {
	id    Chunk
	bytes []byte
}

var sums = crc64.MakeTable(crc64.ECMA)

// NewBlob makes one; the bytes must not be changed any more.
func NewBlob(index, view uint64, bytes []byte) *Blob {
	return &Blob{Chunk{Index: index, View: view, Sum: crc64.Checksum(bytes, sums), Size: uint64(len(bytes))}, bytes}
}

// Index is that of the snapshot or the entry.
func (b *Blob) Index() uint64 { return b.id.Index }

// Bytes are the whole.
func (b *Blob) Bytes() []byte { return b.bytes }

// Outgoing is a blob on its way to one receiver. The zero value is none.
type Outgoing struct {
	Blob        *Blob
	acked, sent uint64
	again       uint64        // one more than the place from which it last went again
	moved       time.Duration // when the receiver last had more, or it was sent again
}

// Ack takes what the receiver says that it has. Less than before: it has lost it. The same again: a chunk came out of its order, or
// twice: what is in flight goes again, once from each place. Another blob's is of the past.
func (o *Outgoing) Ack(had *Chunk, now time.Duration) {
	if o.Blob == nil || had == nil || !had.SameBlob(&o.Blob.id) || had.Offset > had.Size {
		return
	}
	if had.Offset == o.acked {
		if o.again == o.acked+1 {
			return
		}
		o.again = o.acked + 1
	}
	if had.Offset <= o.acked {
		o.sent = had.Offset
	}
	if had.Offset > o.sent { // it had that before: what is in flight comes twice, which is no sign of a loss
		o.again = had.Offset + 1
	}
	o.acked, o.sent, o.moved = had.Offset, max(o.sent, had.Offset), now
}

// Acked tells whether the receiver has all of it.
func (o *Outgoing) Acked() bool { return o.acked == uint64(len(o.Blob.bytes)) }

// Next is the next chunk to be sent: nil while as much is in flight as may be, or all is. What nobody acknowledged in time goes again.
func (o *Outgoing) Next(t *Terms, now time.Duration) *Chunk {
	size := uint64(len(o.Blob.bytes))
	if o.sent > o.acked && now-o.moved >= t.Resend {
		o.sent = o.acked
	}
	if o.sent >= size || o.sent-o.acked >= uint64(t.Window) {
		return nil
	}
	if o.sent == o.acked {
		o.moved = now
	}
	c := o.Blob.id
	c.Offset = o.sent
	c.Data = o.Blob.bytes[o.sent:min(size, o.sent+uint64(t.Chunk))]
	o.sent += uint64(len(c.Data))
	return &c
}

// Incoming is a blob of which some chunks have come. The zero value is none.
type Incoming struct {
	id    Chunk
	data  []byte
	fault fault
}

// wholeAgain: one message takes longer than a window.
const wholeAgain = 3

// Had is what there is of a blob that is not whole, to be told to whoever may send the rest; nil if there is none.
func (in *Incoming) Had() *Chunk {
	if in.id.Size == 0 {
		return nil
	}
	c := in.id
	c.Offset = uint64(len(in.data))
	return &c
}

// blobMost bounds what is put together.
const blobMost = 64 << 20

// Take takes a chunk. It gives the whole once the last has come, and what of it is had so far.
func (in *Incoming) Take(c *Chunk) (whole []byte, had *Chunk) {
	if c.Size == 0 || c.Size > blobMost {
		return nil, nil
	}
	if !in.id.SameBlob(c) && (c.Offset == 0 || in.id.Size == 0) && (in.fault != mixChunks || in.id.Size == 0) {
		in.id, in.data = *c, nil
		in.id.Offset, in.id.Data = 0, nil
	}
	same := in.id.SameBlob(c) || in.fault == mixChunks
	if n := uint64(len(in.data)); same && (c.Offset == n || in.fault == skipChunks && c.Offset > n) {
		in.data = append(in.data, c.Data...)
	}
	id := *c
	id.Offset, id.Data = 0, nil
	if same {
		id.Offset = uint64(len(in.data))
	}
	if !same || id.Offset < c.Size && (in.fault != installPart || 2*id.Offset < c.Size) {
		return nil, &id
	}
	whole = in.data
	in.id, in.data = Chunk{}, nil
	if crc64.Checksum(whole, sums) != c.Sum && in.fault == sound {
		id.Offset = 0
		return nil, &id
	}
	return whole, nil
}

// large tells what goes in chunks.
func (p *Replica) large(bytes int) bool { return p.terms.Window > 0 && bytes > p.terms.Window }

// snapBlob is the newest snapshot's state.
func (p *Replica) snapBlob() *Blob {
	if p.blob == nil || p.blob.id.Index != p.snap.Index || p.blob.id.View != p.snap.View {
		p.blob = NewBlob(p.snap.Index, p.snap.View, p.snap.State)
	}
	return p.blob
}

// Pinned is the snapshot to be sent to one who lacks all from an index on: one that is on its way to another if the log goes on
// after it, else the newest. Two are kept for receivers at most, whoever would need a third waits: nil.
func (p *Replica) Pinned(next uint64, others []*Blob) *Blob {
	n := 0
	for i, b := range others {
		if b.Index() >= next && b.Index()+1 >= p.First() {
			return b
		}
		if b.Index() != p.snap.Index && !slices.Contains(others[:i], b) {
			n++
		}
	}
	if n >= 2 {
		return nil
	}
	return p.snapBlob()
}

// sendSnapshot sends a member the snapshot: in chunks, unless it is small or goes to a program that knows no chunks.
func (p *Replica) sendSnapshot(w *progress) {
	if !p.fresh(w) {
		return
	}
	if !p.large(len(p.snap.State)) || w.answered && !w.chunks {
		if p.now-wholeAgain*p.terms.Resend >= w.snapAt {
			s := p.snap
			w.snapAt, w.next, w.base = p.now, s.Index+1, s.Index
			p.appendTo(w, Message{Index: s.Index, At: s.View, Snap: &s})
		}
		return
	}
	if !w.answered {
		return
	}
	var others []*Blob
	for _, o := range p.sorted() {
		if o != w && o.out.Blob != nil && o.snap != nil {
			others = append(others, o.out.Blob)
		}
	}
	b := p.Pinned(w.next, others)
	if b == nil {
		return
	}
	snap := p.snap
	for _, o := range p.sorted() {
		if o.out.Blob == b {
			snap = *o.snap
		}
	}
	snap.State = nil
	w.snap, w.out, w.next, w.base = &snap, Outgoing{Blob: b}, snap.Index+1, snap.Index
	w.prev = place{snap.View, snap.Index}
	p.sendChunks(w)
}

// sendChunks sends what may be in flight of the blob that a member is being sent.
func (p *Replica) sendChunks(w *progress) {
	if !p.fresh(w) {
		return
	}
	if w.snap == nil && w.out.acked == 0 && w.next < p.First() { // it was away, or began anew: the snapshot holds more
		w.out, w.entry = Outgoing{}, nil
		p.sendSnapshot(w)
		return
	}
	for c := w.out.Next(&p.terms, p.now); c != nil; c = w.out.Next(&p.terms, p.now) {
		m := Message{Kind: AppendChunk, Index: c.Index, At: c.View, Snap: w.snap, Chunk: c}
		if w.snap == nil {
			e := *w.entry
			e.Data = nil
			m.Index, m.At, m.Entries = w.prev.index, w.prev.view, []Entry{e}
		}
		p.appendTo(w, m)
	}
}

// onChunk takes a part of what a leader sends; all of it is as if it had come in one message.
func (p *Replica) onChunk(from MemberID, m Message) {
	c, first := m.Chunk, p.clusterID == 0 || m.House != p.clusterID && p.lone()
	if c == nil || m.Snap == nil && len(m.Entries) != 1 || !first && !p.hearLeader(from, m) {
		return
	}
	m.Kind, m.Chunk = Append, nil
	had := !p.mayInstall(m.Snap)
	if m.Snap == nil {
		prev, known := p.viewAt(m.Index)
		v, ok := p.viewAt(c.Index)
		if had = ok && v == c.View; had {
			m.Index, m.At = c.Index, c.View
		}
		had = had || c.Index <= p.committed || m.Index > p.committed && (!known || prev != m.At)
	}
	if first && m.Snap == nil {
		p.onFirst(from, m) // which asks for the state
		return
	}
	if had && !first { // or what comes before it is not
		m.Snap, m.Entries = nil, nil
		p.onAppend(from, m)
		return
	}
	p.in.fault = p.fault
	whole, part := p.in.Take(c)
	if whole == nil {
		if !first {
			p.setDue()
			p.roundSaid = p.round
		}
		if part != nil {
			p.send(from, Message{Kind: AckChunk, House: m.House, View: m.View, Round: m.Round, Chunk: part, Chunks: true,
				Clock: p.clock.Tell(p.now), Echo: p.leaderClock})
		}
		return
	}
	if m.Snap != nil {
		s := *m.Snap
		s.State = whole
		m.Snap = &s
	} else {
		e := m.Entries[0]
		e.Data = whole
		m.Entries = []Entry{e}
	}
	if first {
		p.onFirst(from, m)
		return
	}
	p.onAppend(from, m)
}

// size is what an entry takes on a link and on disk, about.
func (e *Entry) size() int { return len(e.Data) + 32 + 32*len(e.Members) }

// Size is what an entry takes on a link and on disk, about.
func (e *Entry) Size() int { return e.size() }

// Uncompacted is how many bytes of entries after the snapshot there are, up to an index.
func (p *Replica) Uncompacted(upto uint64) (n int) {
	for i := range p.log {
		if e := &p.log[i]; e.Index <= upto {
			n += e.size()
		}
	}
	return n
}

// uncommitted is how many bytes of entries are not committed.
func (p *Replica) uncommitted() (n int) {
	for i := p.committed - p.snap.Index; i < uint64(len(p.log)); i++ {
		n += p.log[i].size()
	}
	return n
}

// First is the oldest entry that is at hand.
func (p *Replica) First() uint64 { return p.snap.Index + 1 - uint64(len(p.trail)) }

// After are the entries after an index up to another. False: they are not at hand any more, the snapshot is.
func (p *Replica) After(index, upto uint64) ([]Entry, bool) {
	if index+1 < p.First() || upto > p.last() {
		return nil, false
	}
	all := p.from(index + 1)
	return all[:min(uint64(len(all)), max(upto, index)-index)], true
}

// trailMost bounds the entries that are kept after they went into a snapshot.
const trailMost = 4096

// keepTrail keeps what was compacted, behind an entry of that view, for those who are sent an older snapshot or lack a little, as long
// as it is less than the newest snapshot would be.
func (p *Replica) keepTrail(gone []Entry, view uint64) {
	if len(p.trail) == 0 {
		p.trailView = view
	}
	p.trail = append(slices.Clone(p.trail), gone...)
	left := max(p.terms.Trail, len(p.snap.State))
	for i := len(p.trail) - 1; i >= 0; i-- {
		if left -= p.trail[i].size(); left < 0 || len(p.trail)-i > trailMost {
			p.trail, p.trailView = slices.Clone(p.trail[i+1:]), p.trail[i].View
			return
		}
	}
}
