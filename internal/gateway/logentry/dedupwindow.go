package logentry

import (
	"crypto/sha256"
	"encoding/binary"

	"github.com/go-faster/errors"

	"clovergap/internal/invariant"
)

// Digest stands for a request's bytes. 128 bits: that any two of 2^32 meet by chance takes 2^63 systems.
type Digest [16]byte

// DigestOf is that of some parts in their order; all but the last are of a fixed length.
func DigestOf(parts ...[]byte) Digest {
	h := sha256.New()
	for _, p := range parts {
		h.Write(p)
	}
	return Digest(h.Sum(nil)[:len(Digest{})])
}

// DedupWindowBytes lets a Window know the last 4,400 requests at least, and 6,700 where their numbers follow one another.
const DedupWindowBytes = 112 << 10

// DedupWindow is a deduplication window: which requests were carried out of late, so that one that is sent again is known. It is bounded
// in the bytes that it takes when it is written; what it had to forget it says by a number: of a request at or below its
// horizon that it does not know, nobody can tell whether it was carried out. Members that add the same come to the same.
type DedupWindow struct {
	maxBytes int
	bytes    int
	requests []request // oldest first; their numbers rise
	digests  map[Digest]struct{}
	horizon  uint64
}

type request struct {
	number uint64
	digest Digest
}

// NewDedupWindow is an empty one of so many bytes.
func NewDedupWindow(most int) *DedupWindow {
	return &DedupWindow{maxBytes: most, digests: map[Digest]struct{}{}}
}

// Has tells whether a request was carried out and is not forgotten.
func (d *DedupWindow) Has(digest Digest) bool {
	_, ok := d.digests[digest]
	return ok
}

// Horizon is the highest number that may have been forgotten; 0 if none was.
func (d *DedupWindow) Horizon() uint64 { return d.horizon }

// newest is the number of the last one.
func (d *DedupWindow) newest() uint64 {
	if len(d.requests) == 0 {
		return d.horizon
	}
	return d.requests[len(d.requests)-1].number
}

// Add notes that a request was carried out; its number is above all before it.
func (d *DedupWindow) Add(nr uint64, digest Digest) {
	invariant.That(nr > d.newest(), "numbers of what was carried out rise")
	d.bytes += encodedSize(nr - d.newest())
	d.requests, d.digests[digest] = append(d.requests, request{nr, digest}), struct{}{}
	for d.bytes > d.maxBytes {
		d.dropOldest()
	}
}

// dropOldest lets the oldest go.
func (d *DedupWindow) dropOldest() {
	old := d.requests[0]
	d.bytes -= encodedSize(old.number - d.horizon)
	delete(d.digests, old.digest)
	d.requests, d.horizon = d.requests[1:], old.number
}

// encodedSize is what one takes when written, by how far its number lies above the one before.
func encodedSize(above uint64) int { return len(binary.AppendUvarint(nil, above)) + len(Digest{}) }

// Bytes writes it.
func (d *DedupWindow) Bytes() []byte {
	before := d.horizon
	b := binary.AppendUvarint(make([]byte, 0, d.bytes+binary.MaxVarintLen64), before)
	for _, c := range d.requests {
		b = append(binary.AppendUvarint(b, c.number-before), c.digest[:]...)
		before = c.number
	}
	return b
}

// DecodeDedupWindow reads what Bytes wrote.
func DecodeDedupWindow(b []byte, most int) (*DedupWindow, error) {
	w := NewDedupWindow(most)
	n := 0
	if w.horizon, n = binary.Uvarint(b); n <= 0 {
		return nil, errors.New("window: no horizon")
	}
	for b = b[n:]; len(b) > 0; b = b[n+len(Digest{}):] {
		above, k := binary.Uvarint(b)
		if n = k; k <= 0 || above == 0 || len(b) < k+len(Digest{}) {
			return nil, errors.New("window: cut off, or numbers that don't rise")
		}
		w.Add(w.newest()+above, Digest(b[k:k+len(Digest{})]))
	}
	return w, nil
}

// SetHorizon says that a number and all below it may have been forgotten, as who took over from a program that did not say.
func (d *DedupWindow) SetHorizon(nr uint64) {
	invariant.That(len(d.requests) == 0 && d.horizon == 0, "it is said at the start")
	d.horizon = nr
}
