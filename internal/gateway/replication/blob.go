package replication

import (
	"hash/crc64"
	"time"
)

// Transfers of what is too large for one message: a snapshot's state, an entry's data, and what else a host sends so. Chunks go
// in order, some of them in flight at a time; each is acknowledged by how much the receiver has, so that either end may change.

// maxBlobBytes bounds what a receiver puts together.
const maxBlobBytes = 64 << 20

var crcTable = crc64.MakeTable(crc64.ECMA)

// blobID identifies a blob whoever sends it.
type blobID struct{ index, term, checksum, size uint64 }

func (b blobID) newChunk(offset uint64, data []byte) *Chunk {
	return &Chunk{Index: b.index, View: b.term, Sum: b.checksum, Size: b.size, Offset: offset, Data: data}
}

// Blob is bytes that are sent in chunks. All senders of it share it.
type Blob struct {
	id   blobID
	data []byte
}

// NewBlob returns the blob of a snapshot or an entry with this index and term. The data must not change any more.
func NewBlob(index, term uint64, data []byte) *Blob {
	id := blobID{index: index, term: term, checksum: crc64.Checksum(data, crcTable), size: uint64(len(data))}
	return &Blob{id, data}
}

// Index is that of the snapshot or the entry.
func (b *Blob) Index() uint64 { return b.id.index }

// Bytes is all of the data.
func (b *Blob) Bytes() []byte { return b.data }

// BlobSender sends a blob to one receiver. The zero value sends none.
type BlobSender struct {
	Blob              *Blob
	ackedBytes        uint64        // bytes that the receiver has
	sentBytes         uint64        // bytes that were sent
	retransmittedFrom uint64        // 1 + the offset from which chunks were last sent again; 0: none were
	lastProgressAt    time.Duration // the receiver last had more, or chunks were sent after all were acknowledged
}

// Ack takes how much the receiver has. Less than before means that it has lost it. The same again means that a chunk was lost or
// came twice: what is in flight is sent again, once from each offset. Acknowledgements of other blobs are ignored.
func (b *BlobSender) HandleAck(ack *Chunk, now time.Duration) {
	if b.Blob == nil || ack == nil || ack.blobID() != b.Blob.id || ack.Offset > ack.Size {
		return
	}
	if ack.Offset == b.ackedBytes {
		if b.retransmittedFrom == b.ackedBytes+1 {
			return
		}
		b.retransmittedFrom = b.ackedBytes + 1
	}
	if ack.Offset <= b.ackedBytes {
		b.sentBytes = ack.Offset
	}
	if ack.Offset > b.sentBytes {
		// It had that from another sender. What is in flight repeats it, and the answers to that are no sign of a loss.
		b.retransmittedFrom = ack.Offset + 1
	}
	b.ackedBytes, b.sentBytes, b.lastProgressAt = ack.Offset, max(b.sentBytes, ack.Offset), now
}

// Complete reports whether the receiver has all of the blob.
func (b *BlobSender) IsComplete() bool { return b.ackedBytes == b.Blob.id.size }

// NextChunk returns the next chunk to send; nil if config.MaxInflightBytes are in flight, or all is. What was not acknowledged
// within config.RetransmitTimeout is sent again.
func (b *BlobSender) NextChunk(config *Config, now time.Duration) *Chunk {
	size := b.Blob.id.size
	if b.sentBytes > b.ackedBytes && now-b.lastProgressAt >= config.RetransmitTimeout {
		b.sentBytes = b.ackedBytes
	}
	if b.sentBytes >= size || b.sentBytes-b.ackedBytes >= uint64(config.MaxInflightBytes) {
		return nil
	}
	if b.sentBytes == b.ackedBytes {
		b.lastProgressAt = now
	}
	offset := b.sentBytes
	b.sentBytes = min(size, offset+uint64(config.ChunkBytes))
	return b.Blob.id.newChunk(offset, b.Blob.data[offset:b.sentBytes])
}

// BlobReceiver puts a blob together. The zero value has received nothing.
type BlobReceiver struct {
	knobs TestingKnobs
	id    blobID // of size 0: none
	data  []byte // from its begin on
}

// Received is an acknowledgement of the blob that is not complete; nil if there is none.
func (b *BlobReceiver) PendingAck() *Chunk {
	if b.id.size == 0 {
		return nil
	}
	return b.id.newChunk(uint64(len(b.data)), nil)
}

// Receive takes a chunk. It returns the data once the last chunk has come, and until then an acknowledgement to be sent. A first
// chunk of another blob replaces what was received: its sender goes on with a newer one. Later ones are ignored.
func (b *BlobReceiver) Receive(c *Chunk) (complete []byte, ack *Chunk) {
	id := c.blobID()
	if id.size == 0 || id.size > maxBlobBytes {
		return nil, nil
	}
	empty := b.id.size == 0
	if b.id != id && (empty || c.Offset == 0 && !b.knobs.hasMutation(mixBlobs)) {
		b.id, b.data = id, nil
	}
	if b.id != id && !b.knobs.hasMutation(mixBlobs) {
		return nil, id.newChunk(0, nil)
	}
	have := uint64(len(b.data))
	if c.Offset == have || b.knobs.hasMutation(skipChunks) && c.Offset > have {
		b.data = append(b.data, c.Data...)
		have = uint64(len(b.data))
	}
	if have < id.size && !(b.knobs.hasMutation(installPartial) && 2*have >= id.size) {
		return nil, id.newChunk(have, nil)
	}
	complete = b.data
	b.id, b.data = blobID{}, nil
	if crc64.Checksum(complete, crcTable) != id.checksum && !b.knobs.hasAnyMutation() {
		return nil, id.newChunk(0, nil) // all over again
	}
	return complete, nil
}
