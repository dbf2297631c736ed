package replication

import (
	"hash/crc64"
	"slices"
	"time"
)

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
func (b *BlobSender) Ack(had *Chunk, now time.Duration) {
	if b.Blob == nil || had == nil || !had.SameBlob(&b.Blob.id) || had.Offset > had.Size {
		return
	}
	if had.Offset == b.acked {
		if b.retransmittedFrom == b.acked+1 {
			return
		}
		b.retransmittedFrom = b.acked + 1
	}
	if had.Offset <= b.acked {
		b.sent = had.Offset
	}
	if had.Offset > b.sent { // it had that before: what is in flight comes twice, which is no sign of a loss
		b.retransmittedFrom = had.Offset + 1
	}
	b.acked, b.sent, b.progressAt = had.Offset, max(b.sent, had.Offset), now
}

// Complete tells whether the receiver has all of it.
func (b *BlobSender) Complete() bool { return b.acked == uint64(len(b.Blob.data)) }

// NextChunk is the next chunk to be sent: nil while as much is in flight as may be, or all is. What nobody acknowledged in time goes again.
func (b *BlobSender) NextChunk(t *Config, now time.Duration) *Chunk {
	size := uint64(len(b.Blob.data))
	if b.sent > b.acked && now-b.progressAt >= t.RetransmitTimeout {
		b.sent = b.acked
	}
	if b.sent >= size || b.sent-b.acked >= uint64(t.MaxInflightBytes) {
		return nil
	}
	if b.sent == b.acked {
		b.progressAt = now
	}
	c := b.Blob.id
	c.Offset = b.sent
	c.Data = b.Blob.data[b.sent:min(size, b.sent+uint64(t.ChunkBytes))]
	b.sent += uint64(len(c.Data))
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
func (b *BlobReceiver) Received() *Chunk {
	if b.id.Size == 0 {
		return nil
	}
	c := b.id
	c.Offset = uint64(len(b.data))
	return &c
}

// maxBlobBytes bounds what is put together.
const maxBlobBytes = 64 << 20

// Receive takes a chunk. It gives the whole once the last has come, and what of it is had so far.
func (b *BlobReceiver) Receive(c *Chunk) (whole []byte, had *Chunk) {
	if c.Size == 0 || c.Size > maxBlobBytes {
		return nil, nil
	}
	if !b.id.SameBlob(c) && (c.Offset == 0 || b.id.Size == 0) && (b.fault != mixChunks || b.id.Size == 0) {
		b.id, b.data = *c, nil
		b.id.Offset, b.id.Data = 0, nil
	}
	same := b.id.SameBlob(c) || b.fault == mixChunks
	if n := uint64(len(b.data)); same && (c.Offset == n || b.fault == skipChunks && c.Offset > n) {
		b.data = append(b.data, c.Data...)
	}
	id := *c
	id.Offset, id.Data = 0, nil
	if same {
		id.Offset = uint64(len(b.data))
	}
	if !same || id.Offset < c.Size && (b.fault != installPart || 2*id.Offset < c.Size) {
		return nil, &id
	}
	whole = b.data
	b.id, b.data = Chunk{}, nil
	if crc64.Checksum(whole, crcTable) != c.Sum && b.fault == sound {
		id.Offset = 0
		return nil, &id
	}
	return whole, nil
}

// needsChunks tells what goes in chunks.
func (r *Replica) needsChunks(bytes int) bool {
	return r.config.MaxInflightBytes > 0 && bytes > r.config.MaxInflightBytes
}

// latestSnapshotBlob is the newest snapshot's state.
func (r *Replica) latestSnapshotBlob() *Blob {
	if r.snapshotBlob == nil || r.snapshotBlob.id.Index != r.snapshot.Index || r.snapshotBlob.id.View != r.snapshot.Term {
		r.snapshotBlob = NewBlob(r.snapshot.Index, r.snapshot.Term, r.snapshot.State)
	}
	return r.snapshotBlob
}

// BlobToSend is the snapshot to be sent to one who lacks all from an index on: one that is on its way to another if the log goes on
// after it, else the newest. Two are kept for receivers at most, whoever would need a third waits: nil.
func (r *Replica) BlobToSend(next uint64, others []*Blob) *Blob {
	n := 0
	for i, b := range others {
		if b.Index() >= next && b.Index()+1 >= r.FirstIndex() {
			return b
		}
		if b.Index() != r.snapshot.Index && !slices.Contains(others[:i], b) {
			n++
		}
	}
	if n >= 2 {
		return nil
	}
	return r.latestSnapshotBlob()
}

// sendSnapshot sends a member the snapshot: in chunks, unless it is small or goes to a program that knows no chunks.
func (r *Replica) sendSnapshot(w *progress) {
	if !r.recentlyActive(w) {
		return
	}
	if !r.needsChunks(len(r.snapshot.State)) || w.responded && !w.acceptsChunks {
		if r.now-snapshotRetransmitFactor*r.config.RetransmitTimeout >= w.snapshotSentAt {
			s := r.snapshot
			w.snapshotSentAt, w.nextIndex, w.inflightBase = r.now, s.Index+1, s.Index
			r.sendAppend(w, Message{Index: s.Index, LogTerm: s.Term, Snapshot: &s})
		}
		return
	}
	if !w.responded {
		return
	}
	var others []*Blob
	for _, o := range r.sortedPeers() {
		if o != w && o.transfer.Blob != nil && o.transferSnapshot != nil {
			others = append(others, o.transfer.Blob)
		}
	}
	b := r.BlobToSend(w.nextIndex, others)
	if b == nil {
		return
	}
	snap := r.snapshot
	for _, o := range r.sortedPeers() {
		if o.transfer.Blob == b {
			snap = *o.transferSnapshot
		}
	}
	snap.State = nil
	w.transferSnapshot, w.transfer, w.nextIndex, w.inflightBase = &snap, BlobSender{Blob: b}, snap.Index+1, snap.Index
	w.transferPrev = logPosition{snap.Term, snap.Index}
	r.sendChunks(w)
}

// sendChunks sends what may be in flight of the blob that a member is being sent.
func (r *Replica) sendChunks(w *progress) {
	if !r.recentlyActive(w) {
		return
	}
	if w.transferSnapshot == nil && w.transfer.acked == 0 && w.nextIndex < r.FirstIndex() { // it was away, or began anew: the snapshot holds more
		w.transfer, w.transferEntry = BlobSender{}, nil
		r.sendSnapshot(w)
		return
	}
	for c := w.transfer.NextChunk(&r.config, r.now); c != nil; c = w.transfer.NextChunk(&r.config, r.now) {
		m := Message{Kind: MsgAppendChunk, Index: c.Index, LogTerm: c.View, Snapshot: w.transferSnapshot, Chunk: c}
		if w.transferSnapshot == nil {
			e := *w.transferEntry
			e.Data = nil
			m.Index, m.LogTerm, m.Entries = w.transferPrev.index, w.transferPrev.term, []Entry{e}
		}
		r.sendAppend(w, m)
	}
}

// onChunk takes a part of what a leader sends; all of it is as if it had come in one message.
func (r *Replica) onChunk(from MemberID, m Message) {
	c, first := m.Chunk, r.clusterID == 0 || m.ClusterID != r.clusterID && r.onlyBootstrapped()
	if c == nil || m.Snapshot == nil && len(m.Entries) != 1 || !first && !r.followLeader(from, m) {
		return
	}
	m.Kind, m.Chunk = MsgAppend, nil
	had := !r.needsSnapshot(m.Snapshot)
	if m.Snapshot == nil {
		prev, known := r.termAt(m.Index)
		v, ok := r.termAt(c.Index)
		if had = ok && v == c.View; had {
			m.Index, m.LogTerm = c.Index, c.View
		}
		had = had || c.Index <= r.commitIndex || m.Index > r.commitIndex && (!known || prev != m.LogTerm)
	}
	if first && m.Snapshot == nil {
		r.joinCluster(from, m) // which asks for the state
		return
	}
	if had && !first { // or what comes before it is not
		m.Snapshot, m.Entries = nil, nil
		r.onAppend(from, m)
		return
	}
	r.incoming.fault = r.fault
	whole, part := r.incoming.Receive(c)
	if whole == nil {
		if !first {
			r.resetElectionDeadline()
			r.ackedReadSeq = r.readSeq
		}
		if part != nil {
			r.send(from, Message{Kind: MsgChunkAck, ClusterID: m.ClusterID, Term: m.Term, Seq: m.Seq, Chunk: part, AcceptsChunks: true,
				Clock: r.clock.Stamp(r.now), EchoedClock: r.leaderClock})
		}
		return
	}
	if m.Snapshot != nil {
		s := *m.Snapshot
		s.State = whole
		m.Snapshot = &s
	} else {
		e := m.Entries[0]
		e.Data = whole
		m.Entries = []Entry{e}
	}
	if first {
		r.joinCluster(from, m)
		return
	}
	r.onAppend(from, m)
}

// size is what an entry takes on a link and on disk, about.
func (e *Entry) size() int { return len(e.Data) + 32 + 32*len(e.Members) }

// Size is what an entry takes on a link and on disk, about.
func (e *Entry) Size() int { return e.size() }

// UncompactedBytes is how many bytes of entries after the snapshot there are, up to an index.
func (r *Replica) UncompactedBytes(upto uint64) (n int) {
	for i := range r.log {
		if e := &r.log[i]; e.Index <= upto {
			n += e.size()
		}
	}
	return n
}

// uncommittedBytes is how many bytes of entries are not committed.
func (r *Replica) uncommittedBytes() (n int) {
	for i := r.commitIndex - r.snapshot.Index; i < uint64(len(r.log)); i++ {
		n += r.log[i].size()
	}
	return n
}

// FirstIndex is the oldest entry that is at hand.
func (r *Replica) FirstIndex() uint64 { return r.snapshot.Index + 1 - uint64(len(r.trailing)) }

// EntriesAfter are the entries after an index up to another. False: they are not at hand any more, the snapshot is.
func (r *Replica) EntriesAfter(index, upto uint64) ([]Entry, bool) {
	if index+1 < r.FirstIndex() || upto > r.lastIndex() {
		return nil, false
	}
	all := r.entriesFrom(index + 1)
	return all[:min(uint64(len(all)), max(upto, index)-index)], true
}

// maxTrailingEntries bounds the entries that are kept after they went into a snapshot.
const maxTrailingEntries = 4096

// retainTrailing keeps what was compacted, behind an entry of that view, for those who are sent an older snapshot or lack a little, as long
// as it is less than the newest snapshot would be.
func (r *Replica) retainTrailing(gone []Entry, view uint64) {
	if len(r.trailing) == 0 {
		r.trailingTerm = view
	}
	r.trailing = append(slices.Clone(r.trailing), gone...)
	left := max(r.config.TrailingBytes, len(r.snapshot.State))
	for i := len(r.trailing) - 1; i >= 0; i-- {
		if left -= r.trailing[i].size(); left < 0 || len(r.trailing)-i > maxTrailingEntries {
			r.trailing, r.trailingTerm = slices.Clone(r.trailing[i+1:]), r.trailing[i].Term
			return
		}
	}
}
