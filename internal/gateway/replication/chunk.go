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
	id   Chunk
	data []byte
}

var crcTable = crc64.MakeTable(crc64.ECMA)

// NewBlob makes one; the bytes must not be changed any more.
func NewBlob(index, view uint64, bytes []byte) *Blob {
	return &Blob{Chunk{Index: index, View: view, Sum: crc64.Checksum(bytes, crcTable), Size: uint64(len(bytes))}, bytes}
}

// Index is that of the snapshot or the entry.
func (b *Blob) Index() uint64 { return b.id.Index }

// Bytes are the whole.
func (b *Blob) Bytes() []byte { return b.data }

// BlobSender is a blob on its way to one receiver. The zero value is none.
type BlobSender struct {
	Blob              *Blob
	acked, sent       uint64
	retransmittedFrom uint64        // one more than the place from which it last went again
	progressAt        time.Duration // when the receiver last had more, or it was sent again
}

// Ack takes what the receiver says that it has. Less than before: it has lost it. The same again: a chunk came out of its order, or
// twice: what is in flight goes again, once from each place. Another blob's is of the past.
func (o *BlobSender) Ack(had *Chunk, now time.Duration) {
	if o.Blob == nil || had == nil || !had.SameBlob(&o.Blob.id) || had.Offset > had.Size {
		return
	}
	if had.Offset == o.acked {
		if o.retransmittedFrom == o.acked+1 {
			return
		}
		o.retransmittedFrom = o.acked + 1
	}
	if had.Offset <= o.acked {
		o.sent = had.Offset
	}
	if had.Offset > o.sent { // it had that before: what is in flight comes twice, which is no sign of a loss
		o.retransmittedFrom = had.Offset + 1
	}
	o.acked, o.sent, o.progressAt = had.Offset, max(o.sent, had.Offset), now
}

// Complete tells whether the receiver has all of it.
func (o *BlobSender) Complete() bool { return o.acked == uint64(len(o.Blob.data)) }

// NextChunk is the next chunk to be sent: nil while as much is in flight as may be, or all is. What nobody acknowledged in time goes again.
func (o *BlobSender) NextChunk(t *Config, now time.Duration) *Chunk {
	size := uint64(len(o.Blob.data))
	if o.sent > o.acked && now-o.progressAt >= t.RetransmitTimeout {
		o.sent = o.acked
	}
	if o.sent >= size || o.sent-o.acked >= uint64(t.MaxInflightBytes) {
		return nil
	}
	if o.sent == o.acked {
		o.progressAt = now
	}
	c := o.Blob.id
	c.Offset = o.sent
	c.Data = o.Blob.data[o.sent:min(size, o.sent+uint64(t.ChunkBytes))]
	o.sent += uint64(len(c.Data))
	return &c
}

// BlobReceiver is a blob of which some chunks have come. The zero value is none.
type BlobReceiver struct {
	id    Chunk
	data  []byte
	fault fault
}

// snapshotRetransmitFactor: one message takes longer than a window.
const snapshotRetransmitFactor = 3

// Received is what there is of a blob that is not whole, to be told to whoever may send the rest; nil if there is none.
func (in *BlobReceiver) Received() *Chunk {
	if in.id.Size == 0 {
		return nil
	}
	c := in.id
	c.Offset = uint64(len(in.data))
	return &c
}

// maxBlobBytes bounds what is put together.
const maxBlobBytes = 64 << 20

// Receive takes a chunk. It gives the whole once the last has come, and what of it is had so far.
func (in *BlobReceiver) Receive(c *Chunk) (whole []byte, had *Chunk) {
	if c.Size == 0 || c.Size > maxBlobBytes {
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
	if crc64.Checksum(whole, crcTable) != c.Sum && in.fault == sound {
		id.Offset = 0
		return nil, &id
	}
	return whole, nil
}

// needsChunks tells what goes in chunks.
func (p *Replica) needsChunks(bytes int) bool {
	return p.config.MaxInflightBytes > 0 && bytes > p.config.MaxInflightBytes
}

// latestSnapshotBlob is the newest snapshot's state.
func (p *Replica) latestSnapshotBlob() *Blob {
	if p.snapshotBlob == nil || p.snapshotBlob.id.Index != p.snapshot.Index || p.snapshotBlob.id.View != p.snapshot.View {
		p.snapshotBlob = NewBlob(p.snapshot.Index, p.snapshot.View, p.snapshot.State)
	}
	return p.snapshotBlob
}

// BlobToSend is the snapshot to be sent to one who lacks all from an index on: one that is on its way to another if the log goes on
// after it, else the newest. Two are kept for receivers at most, whoever would need a third waits: nil.
func (p *Replica) BlobToSend(next uint64, others []*Blob) *Blob {
	n := 0
	for i, b := range others {
		if b.Index() >= next && b.Index()+1 >= p.FirstIndex() {
			return b
		}
		if b.Index() != p.snapshot.Index && !slices.Contains(others[:i], b) {
			n++
		}
	}
	if n >= 2 {
		return nil
	}
	return p.latestSnapshotBlob()
}

// sendSnapshot sends a member the snapshot: in chunks, unless it is small or goes to a program that knows no chunks.
func (p *Replica) sendSnapshot(w *progress) {
	if !p.recentlyActive(w) {
		return
	}
	if !p.needsChunks(len(p.snapshot.State)) || w.responded && !w.acceptsChunks {
		if p.now-snapshotRetransmitFactor*p.config.RetransmitTimeout >= w.snapshotSentAt {
			s := p.snapshot
			w.snapshotSentAt, w.nextIndex, w.inflightBase = p.now, s.Index+1, s.Index
			p.sendAppend(w, Message{Index: s.Index, At: s.View, Snap: &s})
		}
		return
	}
	if !w.responded {
		return
	}
	var others []*Blob
	for _, o := range p.sortedPeers() {
		if o != w && o.transfer.Blob != nil && o.transferSnapshot != nil {
			others = append(others, o.transfer.Blob)
		}
	}
	b := p.BlobToSend(w.nextIndex, others)
	if b == nil {
		return
	}
	snap := p.snapshot
	for _, o := range p.sortedPeers() {
		if o.transfer.Blob == b {
			snap = *o.transferSnapshot
		}
	}
	snap.State = nil
	w.transferSnapshot, w.transfer, w.nextIndex, w.inflightBase = &snap, BlobSender{Blob: b}, snap.Index+1, snap.Index
	w.transferPrev = logPosition{snap.View, snap.Index}
	p.sendChunks(w)
}

// sendChunks sends what may be in flight of the blob that a member is being sent.
func (p *Replica) sendChunks(w *progress) {
	if !p.recentlyActive(w) {
		return
	}
	if w.transferSnapshot == nil && w.transfer.acked == 0 && w.nextIndex < p.FirstIndex() { // it was away, or began anew: the snapshot holds more
		w.transfer, w.transferEntry = BlobSender{}, nil
		p.sendSnapshot(w)
		return
	}
	for c := w.transfer.NextChunk(&p.config, p.now); c != nil; c = w.transfer.NextChunk(&p.config, p.now) {
		m := Message{Kind: MsgAppendChunk, Index: c.Index, At: c.View, Snap: w.transferSnapshot, Chunk: c}
		if w.transferSnapshot == nil {
			e := *w.transferEntry
			e.Data = nil
			m.Index, m.At, m.Entries = w.transferPrev.index, w.transferPrev.term, []Entry{e}
		}
		p.sendAppend(w, m)
	}
}

// onChunk takes a part of what a leader sends; all of it is as if it had come in one message.
func (p *Replica) onChunk(from MemberID, m Message) {
	c, first := m.Chunk, p.clusterID == 0 || m.House != p.clusterID && p.onlyBootstrapped()
	if c == nil || m.Snap == nil && len(m.Entries) != 1 || !first && !p.followLeader(from, m) {
		return
	}
	m.Kind, m.Chunk = MsgAppend, nil
	had := !p.needsSnapshot(m.Snap)
	if m.Snap == nil {
		prev, known := p.termAt(m.Index)
		v, ok := p.termAt(c.Index)
		if had = ok && v == c.View; had {
			m.Index, m.At = c.Index, c.View
		}
		had = had || c.Index <= p.commitIndex || m.Index > p.commitIndex && (!known || prev != m.At)
	}
	if first && m.Snap == nil {
		p.joinCluster(from, m) // which asks for the state
		return
	}
	if had && !first { // or what comes before it is not
		m.Snap, m.Entries = nil, nil
		p.onAppend(from, m)
		return
	}
	p.incoming.fault = p.fault
	whole, part := p.incoming.Receive(c)
	if whole == nil {
		if !first {
			p.resetElectionDeadline()
			p.ackedReadSeq = p.readSeq
		}
		if part != nil {
			p.send(from, Message{Kind: MsgChunkAck, House: m.House, View: m.View, Round: m.Round, Chunk: part, Chunks: true,
				Clock: p.clock.Stamp(p.now), Echo: p.leaderClock})
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
		p.joinCluster(from, m)
		return
	}
	p.onAppend(from, m)
}

// size is what an entry takes on a link and on disk, about.
func (e *Entry) size() int { return len(e.Data) + 32 + 32*len(e.Members) }

// Size is what an entry takes on a link and on disk, about.
func (e *Entry) Size() int { return e.size() }

// UncompactedBytes is how many bytes of entries after the snapshot there are, up to an index.
func (p *Replica) UncompactedBytes(upto uint64) (n int) {
	for i := range p.log {
		if e := &p.log[i]; e.Index <= upto {
			n += e.size()
		}
	}
	return n
}

// uncommittedBytes is how many bytes of entries are not committed.
func (p *Replica) uncommittedBytes() (n int) {
	for i := p.commitIndex - p.snapshot.Index; i < uint64(len(p.log)); i++ {
		n += p.log[i].size()
	}
	return n
}

// FirstIndex is the oldest entry that is at hand.
func (p *Replica) FirstIndex() uint64 { return p.snapshot.Index + 1 - uint64(len(p.trailing)) }

// EntriesAfter are the entries after an index up to another. False: they are not at hand any more, the snapshot is.
func (p *Replica) EntriesAfter(index, upto uint64) ([]Entry, bool) {
	if index+1 < p.FirstIndex() || upto > p.lastIndex() {
		return nil, false
	}
	all := p.entriesFrom(index + 1)
	return all[:min(uint64(len(all)), max(upto, index)-index)], true
}

// maxTrailingEntries bounds the entries that are kept after they went into a snapshot.
const maxTrailingEntries = 4096

// retainTrailing keeps what was compacted, behind an entry of that view, for those who are sent an older snapshot or lack a little, as long
// as it is less than the newest snapshot would be.
func (p *Replica) retainTrailing(gone []Entry, view uint64) {
	if len(p.trailing) == 0 {
		p.trailingTerm = view
	}
	p.trailing = append(slices.Clone(p.trailing), gone...)
	left := max(p.config.TrailingBytes, len(p.snapshot.State))
	for i := len(p.trailing) - 1; i >= 0; i-- {
		if left -= p.trailing[i].size(); left < 0 || len(p.trailing)-i > maxTrailingEntries {
			p.trailing, p.trailingTerm = slices.Clone(p.trailing[i+1:]), p.trailing[i].View
			return
		}
	}
}
