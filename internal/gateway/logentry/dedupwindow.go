package logentry

import (
	"crypto/sha256"
	"encoding/binary"

	"github.com/go-faster/errors"

	"clovergap/internal/invariant"
)

// Digest identifies a request by its bytes. It is a SHA-256 hash truncated to 128 bits. The probability that any two of 2^32
// requests have the same digest by chance is 2^-65.
type Digest [16]byte

// DigestOf returns the digest of the concatenation of parts. All parts but the last must have a fixed length, so that different
// parts never concatenate to the same bytes.
func DigestOf(parts ...[]byte) Digest {
	h := sha256.New()
	for _, p := range parts {
		h.Write(p)
	}
	return Digest(h.Sum(nil)[:len(Digest{})])
}

// DedupWindowBytes is the size in bytes of a window that holds at least the last 4,400 requests, or the last 6,700 if their
// numbers are consecutive.
const DedupWindowBytes = 112 << 10

// ErrCorruptWindow is wrapped by the errors of DecodeDedupWindow.
var ErrCorruptWindow = errors.New("corrupt deduplication window")

// DedupWindow records which requests were applied recently, so that a request that is sent again is recognized. Its encoding is
// bounded in bytes, and the oldest requests are dropped to stay within the bound. The horizon is the highest request number that
// may have been dropped. For a request that the window does not contain, it is unknown whether it was applied under a number up
// to the horizon. Windows to which the same requests were added are equal.
type DedupWindow struct {
	maxBytes int
	bytes    int       // encoded size of the requests
	requests []request // oldest first, with increasing numbers
	digests  map[Digest]struct{}
	horizon  uint64
}

// request is an applied request in a window.
type request struct {
	number uint64
	digest Digest
}

// NewDedupWindow returns an empty window whose requests take at most maxBytes bytes in its encoding.
func NewDedupWindow(maxBytes int) *DedupWindow {
	return &DedupWindow{maxBytes: maxBytes, digests: map[Digest]struct{}{}}
}

// Has reports whether a request was applied and is still in the window.
func (d *DedupWindow) Has(digest Digest) bool {
	_, ok := d.digests[digest]
	return ok
}

// Horizon returns the highest number of a request that may have been dropped, or 0 if none was.
func (d *DedupWindow) Horizon() uint64 { return d.horizon }

// newest returns the number of the last request, or the horizon if the window is empty.
func (d *DedupWindow) newestNumber() uint64 {
	if len(d.requests) == 0 {
		return d.horizon
	}
	return d.requests[len(d.requests)-1].number
}

// Add records that a request was applied. Its number must be above the number of every request before it.
func (d *DedupWindow) Add(number uint64, digest Digest) {
	invariant.Assert(number > d.newestNumber(), "numbers of applied requests increase")
	d.bytes += encodedSize(number - d.newestNumber())
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

// encodedSize returns the encoded size of a request whose number exceeds the number before it by difference.
func encodedSize(difference uint64) int {
	return len(binary.AppendUvarint(nil, difference)) + len(Digest{})
}

// Bytes returns the encoding of the window. It holds the horizon as a varint and then, for each request, the difference of its
// number to the one before as a varint, followed by the digest.
func (d *DedupWindow) Bytes() []byte {
	previous := d.horizon
	b := binary.AppendUvarint(make([]byte, 0, d.bytes+binary.MaxVarintLen64), previous)
	for _, r := range d.requests {
		b = append(binary.AppendUvarint(b, r.number-previous), r.digest[:]...)
		previous = r.number
	}
	return b
}

// DecodeDedupWindow decodes a window that Bytes encoded.
func DecodeDedupWindow(b []byte, maxBytes int) (*DedupWindow, error) {
	d := NewDedupWindow(maxBytes)
	horizon, size := binary.Uvarint(b)
	if size <= 0 {
		return nil, errors.Wrap(ErrCorruptWindow, "horizon is missing")
	}
	d.horizon = horizon
	for b = b[size:]; len(b) > 0; {
		difference, size := binary.Uvarint(b)
		if size <= 0 || len(b) < size+len(Digest{}) {
			return nil, errors.Wrap(ErrCorruptWindow, "request is truncated")
		}
		if difference == 0 {
			return nil, errors.Wrap(ErrCorruptWindow, "request number does not increase")
		}
		d.Add(d.newestNumber()+difference, Digest(b[size:size+len(Digest{})]))
		b = b[size+len(Digest{}):]
	}
	return d, nil
}

// SetHorizon sets the horizon of a new window whose state comes from a version without a window. All requests up to the number
// count as possibly dropped.
func (d *DedupWindow) SetHorizon(number uint64) {
	invariant.Assert(len(d.requests) == 0 && d.horizon == 0, "the horizon of a deduplication window is set only while it is new")
	d.horizon = number
}
