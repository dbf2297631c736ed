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

func (b blobID) chunk(offset uint64, data []byte) *Chunk {
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
	acked             uint64        // bytes that the receiver has
	sent              uint64        // bytes that were sent
	retransmittedFrom uint64        // 1 + the offset from which chunks were last sent again; 0: none were
	progressAt        time.Duration // the receiver last had more, or chunks were sent after all were acknowledged
}

// Ack takes how much the receiver has. Less than before means that it has lost it. The same again means that a chunk was lost or
// came twice: what is in flight is sent again, once from each offset. Acknowledgements of other blobs are ignored.
func (b *BlobSender) HandleAck(received *Chunk, now time.Duration) {
	if b.Blob == nil || received == nil || received.blob() != b.Blob.id || received.Offset > received.Size {
		return
	}
	if received.Offset == b.acked {
		if b.retransmittedFrom == b.acked+1 {
			return
		}
		b.retransmittedFrom = b.acked + 1
	}
	if received.Offset <= b.acked {
		b.sent = received.Offset
	}
	if received.Offset > b.sent {
		// It had that from another sender. What is in flight repeats it, and the answers to that are no sign of a loss.
		b.retransmittedFrom = received.Offset + 1
	}
	b.acked, b.sent, b.progressAt = received.Offset, max(b.sent, received.Offset), now
}

// Complete reports whether the receiver has all of the blob.
func (b *BlobSender) IsComplete() bool { return b.acked == b.Blob.id.size }

// NextChunk returns the next chunk to send; nil if config.MaxInflightBytes are in flight, or all is. What was not acknowledged
// within config.RetransmitTimeout is sent again.
func (b *BlobSender) NextChunk(config *Config, now time.Duration) *Chunk {
	size := b.Blob.id.size
	if b.sent > b.acked && now-b.progressAt >= config.RetransmitTimeout {
		b.sent = b.acked
	}
	if b.sent >= size || b.sent-b.acked >= uint64(config.MaxInflightBytes) {
		return nil
	}
	if b.sent == b.acked {
		b.progressAt = now
	}
	offset := b.sent
	b.sent = min(size, offset+uint64(config.ChunkBytes))
	return b.Blob.id.chunk(offset, b.Blob.data[offset:b.sent])
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
	return b.id.chunk(uint64(len(b.data)), nil)
}

// Receive takes a chunk. It returns the data once the last chunk has come, and until then an acknowledgement to be sent. A first
// chunk of another blob replaces what was received: its sender goes on with a newer one. Later ones are ignored.
func (b *BlobReceiver) Receive(c *Chunk) (complete []byte, received *Chunk) {
	id := c.blob()
	if id.size == 0 || id.size > maxBlobBytes {
		return nil, nil
	}
	empty := b.id.size == 0
	if b.id != id && (empty || c.Offset == 0 && !b.knobs.has(mixChunks)) {
		b.id, b.data = id, nil
	}
	if b.id != id && !b.knobs.has(mixChunks) {
		return nil, id.chunk(0, nil)
	}
	have := uint64(len(b.data))
	if c.Offset == have || b.knobs.has(skipChunks) && c.Offset > have {
		b.data = append(b.data, c.Data...)
		have = uint64(len(b.data))
	}
	if have < id.size && !(b.knobs.has(installPartial) && 2*have >= id.size) {
		return nil, id.chunk(have, nil)
	}
	complete = b.data
	b.id, b.data = blobID{}, nil
	if crc64.Checksum(complete, crcTable) != id.checksum && !b.knobs.any() {
		return nil, id.chunk(0, nil) // all over again
	}
	return complete, nil
}
