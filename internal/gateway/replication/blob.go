package replication

import (
	"hash/crc64"
	"time"
)

// This file transfers data that is too large for one message: the state of a snapshot, the data of an entry, and other
// data that the host sends as a Blob. The sender sends the chunks of a blob in order and keeps a limited number of bytes in
// flight. The receiver acknowledges each chunk with the number of bytes that it has. A sender or receiver that is replaced
// can therefore continue the transfer from that offset.

// maxBlobBytes is the largest blob that a receiver accepts.
const maxBlobBytes = 64 << 20

var crcTable = crc64.MakeTable(crc64.ECMA)

// blobID identifies the content of a blob independently of its sender.
type blobID struct{ index, term, checksum, size uint64 }

func (b blobID) newChunk(offset uint64, data []byte) *Chunk {
	return &Chunk{Index: b.index, View: b.term, Sum: b.checksum, Size: b.size, Offset: offset, Data: data}
}

// Blob is a byte sequence that is sent in chunks. Several senders may share one Blob.
type Blob struct {
	id   blobID
	data []byte
}

// NewBlob returns the blob of the snapshot or entry with this index and term. The caller must not change the data afterwards.
func NewBlob(index, term uint64, data []byte) *Blob {
	id := blobID{index: index, term: term, checksum: crc64.Checksum(data, crcTable), size: uint64(len(data))}
	return &Blob{id, data}
}

// Index returns the log index of the snapshot or entry.
func (b *Blob) Index() uint64 { return b.id.index }

// Bytes returns the complete data.
func (b *Blob) Bytes() []byte { return b.data }

// BlobSender sends a blob to one receiver. The zero value has no blob.
type BlobSender struct {
	Blob              *Blob
	ackedBytes        uint64 // bytes that the receiver has acknowledged
	sentBytes         uint64 // bytes from offset 0 that were sent; lowered when chunks must be sent again
	retransmittedFrom uint64 // 1 + the offset of the last retransmission; 0: no retransmission yet
	// lastProgressAt is the time of the last processed acknowledgement, or of the last chunk that was sent while nothing
	// was in flight.
	lastProgressAt time.Duration
}

// HandleAck processes an acknowledgement. Its Offset is the number of bytes that the receiver has. If this number is lower than in the
// acknowledgement before, the receiver has lost data. If the number is the same, a chunk was lost or duplicated: the bytes in flight
// are then sent again, but only once for each offset. Acknowledgements of other blobs are ignored.
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
		// The receiver got these bytes from another sender. The chunks in flight repeat them, so their acknowledgements
		// do not indicate a loss.
		b.retransmittedFrom = ack.Offset + 1
	}
	b.ackedBytes, b.sentBytes, b.lastProgressAt = ack.Offset, max(b.sentBytes, ack.Offset), now
}

// IsComplete reports whether the receiver has the complete blob.
func (b *BlobSender) IsComplete() bool { return b.ackedBytes == b.Blob.id.size }

// NextChunk returns the next chunk to send. It returns nil if config.MaxInflightBytes are in flight or if the whole blob was sent.
// Chunks without an acknowledgement within config.RetransmitTimeout are sent again.
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

// BlobReceiver assembles a blob from chunks. The zero value has received nothing.
type BlobReceiver struct {
	knobs TestingKnobs
	id    blobID // size 0: no blob is being received
	data  []byte // the bytes received so far, from offset 0
}

// ProgressAck returns a Chunk without data that acknowledges the bytes received so far of an incomplete blob. It returns nil if no
// blob is being received.
func (b *BlobReceiver) ProgressAck() *Chunk {
	if b.id.size == 0 {
		return nil
	}
	return b.id.newChunk(uint64(len(b.data)), nil)
}

// Receive processes a chunk. If the chunk completes the blob, Receive returns the data of the blob and no acknowledgement. If bytes are
// still missing, it returns an acknowledgement to send and no data. A chunk with offset 0 of another blob replaces the incomplete blob,
// because the sender has moved on to a newer blob. Other chunks of another blob are not stored, and are acknowledged with offset 0.
// For a chunk whose blob is empty or larger than maxBlobBytes, Receive returns neither data nor an acknowledgement.
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
		return nil, id.newChunk(0, nil) // checksum mismatch: the transfer starts again
	}
	return complete, nil
}
