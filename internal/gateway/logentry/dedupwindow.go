package logentry

import (
	"crypto/sha256"
	"encoding/binary"

	"github.com/go-faster/errors"

	"clovergap/internal/invariant"
)

// Digest stands for a request's bytes. It is a SHA-256 truncated to 128 bits: among 2^32 requests two are equal by chance with a
// probability of 2^-65.
type Digest [16]byte

// DigestOf is the digest of some parts in their order. All but the last must have a fixed length, so that no other parts give the
// same bytes.
func DigestOf(parts ...[]byte) Digest {
	h := sha256.New()
	for _, p := range parts {
		h.Write(p)
	}
	return Digest(h.Sum(nil)[:len(Digest{})])
}

// DedupWindowBytes is the size of a window that knows at least the last 4,400 requests, and the last 6,700 if their numbers are
// consecutive.
const DedupWindowBytes = 112 << 10

// ErrCorruptWindow is what DecodeDedupWindow's errors wrap.
var ErrCorruptWindow = errors.New("corrupt deduplication window")

// DedupWindow knows which requests were applied recently, so that one that is sent again is recognized. It is bounded by the bytes
// of its encoding and forgets the oldest requests. The horizon bounds what it may have forgotten: whether a request that it
// does not know was applied under a number up to there is not known. Windows to which the same was added are equal.
type DedupWindow struct {
	maxBytes int
	bytes    int       // of the requests' encoding
	requests []request // oldest first, with rising numbers
	digests  map[Digest]struct{}
	horizon  uint64
}

type request struct {
	number uint64
	digest Digest
}

// NewDedupWindow returns an empty window of at most so many bytes.
func NewDedupWindow(maxBytes int) *DedupWindow {
	return &DedupWindow{maxBytes: maxBytes, digests: map[Digest]struct{}{}}
}

// Has reports whether a request was applied and is not forgotten.
func (d *DedupWindow) Has(digest Digest) bool {
	_, ok := d.digests[digest]
	return ok
}

// Horizon is the highest number of a request that may have been forgotten; 0 if none was.
func (d *DedupWindow) Horizon() uint64 { return d.horizon }

// newest is the number of the last request, or the horizon if none is known.
func (d *DedupWindow) newest() uint64 {
	if len(d.requests) == 0 {
		return d.horizon
	}
	return d.requests[len(d.requests)-1].number
}

// Add records that a request was applied, under a number above all before it.
func (d *DedupWindow) Add(number uint64, digest Digest) {
	invariant.Assert(number > d.newest(), "numbers of applied requests rise")
	d.bytes += encodedSize(number - d.newest())
	d.requests = append(d.requests, request{number, digest})
	d.digests[digest] = struct{}{}
	for d.bytes > d.maxBytes {
		d.dropOldest()
	}
}

func (d *DedupWindow) dropOldest() {
	oldest := d.requests[0]
	d.bytes -= encodedSize(oldest.number - d.horizon)
	delete(d.digests, oldest.digest)
	d.requests, d.horizon = d.requests[1:], oldest.number
}

// encodedSize is the size of a request whose number is so much above the one before.
func encodedSize(difference uint64) int {
	return len(binary.AppendUvarint(nil, difference)) + len(Digest{})
}

// Bytes encodes the window: the horizon, then for each request the difference of its number to the one before, as varints, and its
// digest.
func (d *DedupWindow) Bytes() []byte {
	previous := d.horizon
	b := binary.AppendUvarint(make([]byte, 0, d.bytes+binary.MaxVarintLen64), previous)
	for _, r := range d.requests {
		b = append(binary.AppendUvarint(b, r.number-previous), r.digest[:]...)
		previous = r.number
	}
	return b
}

// DecodeDedupWindow reads what Bytes wrote.
func DecodeDedupWindow(b []byte, maxBytes int) (*DedupWindow, error) {
	d := NewDedupWindow(maxBytes)
	horizon, size := binary.Uvarint(b)
	if size <= 0 {
		return nil, errors.Wrap(ErrCorruptWindow, "no horizon")
	}
	d.horizon = horizon
	for b = b[size:]; len(b) > 0; {
		difference, size := binary.Uvarint(b)
		if size <= 0 || len(b) < size+len(Digest{}) {
			return nil, errors.Wrap(ErrCorruptWindow, "truncated")
		}
		if difference == 0 {
			return nil, errors.Wrap(ErrCorruptWindow, "numbers that don't rise")
		}
		d.Add(d.newest()+difference, Digest(b[size:size+len(Digest{})]))
		b = b[size+len(Digest{}):]
	}
	return d, nil
}

// SetHorizon makes a new window one that may have forgotten all requests up to a number: its state comes from a version that had
// no window.
func (d *DedupWindow) SetHorizon(number uint64) {
	invariant.Assert(len(d.requests) == 0 && d.horizon == 0, "only a new window is given a horizon")
	d.horizon = number
}
