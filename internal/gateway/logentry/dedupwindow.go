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

// DigestOf returns the digest of the concatenation of parts. All parts but the last must have a fixed length, so that the
// concatenations of different parts differ.
func DigestOf(parts ...[]byte) Digest {
	h := sha256.New()
	for _, p := range parts {
		h.Write(p)
	}
	return Digest(h.Sum(nil)[:len(Digest{})])
}

// DedupWindowBytes is the maximum encoded size, in bytes, of the deduplication windows for configurations and roll-outs. A window of
// this size holds at least the last 4,400 requests, or the last 6,700 requests if their numbers are consecutive.
const DedupWindowBytes = 112 << 10

// ErrCorruptWindow is the cause of all errors that DecodeDedupWindow returns.
var ErrCorruptWindow = errors.New("corrupt deduplication window")

// DedupWindow records which requests were applied recently, so that a request that is sent again is recognized. Each applied request
// has a number. The encoding of the window is bounded in bytes, and the oldest requests are dropped to stay within the bound. The
// horizon is the highest number of a request that may have been dropped. If the window does not contain a request, that request may
// have been applied under a number up to the horizon, but not under a higher number. Two windows with the same maximum size to which
// the same requests were added are equal.
type DedupWindow struct {
	maxBytes int       // maximum encoded size of the requests
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

// Has reports whether the window contains a request with this digest.
func (d *DedupWindow) Has(digest Digest) bool {
	_, ok := d.digests[digest]
	return ok
}

// Horizon returns the highest number of a request that may have been dropped, or 0 if no request was dropped.
func (d *DedupWindow) Horizon() uint64 { return d.horizon }

// newestNumber returns the number of the last request, or the horizon if the window is empty.
func (d *DedupWindow) newestNumber() uint64 {
	if len(d.requests) == 0 {
		return d.horizon
	}
	return d.requests[len(d.requests)-1].number
}

// Add records that a request was applied. The request's number must be higher than the number of every request added before.
func (d *DedupWindow) Add(number uint64, digest Digest) {
	invariant.Assert(number > d.newestNumber(), "numbers of requests added to a deduplication window increase")
	d.bytes += encodedRequestSize(number - d.newestNumber())
	d.requests = append(d.requests, request{number, digest})
	d.digests[digest] = struct{}{}
	for d.bytes > d.maxBytes {
		d.dropOldest()
	}
}

// dropOldest removes the oldest request. The horizon becomes the number of that request.
func (d *DedupWindow) dropOldest() {
	oldest := d.requests[0]
	d.bytes -= encodedRequestSize(oldest.number - d.horizon)
	delete(d.digests, oldest.digest)
	d.requests, d.horizon = d.requests[1:], oldest.number
}

// encodedRequestSize returns the encoded size of a request in bytes. difference is the request's number minus the number of the
// request before it.
func encodedRequestSize(difference uint64) int {
	return len(binary.AppendUvarint(nil, difference)) + len(Digest{})
}

// Bytes returns the encoding of the window. The encoding begins with the horizon as a varint. Each request is encoded as a varint
// and a digest. The varint is the request's number minus the number of the request before it. The first request's varint is its
// number minus the horizon.
func (d *DedupWindow) Bytes() []byte {
	previous := d.horizon
	b := binary.AppendUvarint(make([]byte, 0, d.bytes+binary.MaxVarintLen64), previous)
	for _, r := range d.requests {
		b = append(binary.AppendUvarint(b, r.number-previous), r.digest[:]...)
		previous = r.number
	}
	return b
}

// DecodeDedupWindow decodes a window that Bytes encoded. If the encoded requests take more than maxBytes bytes, the decoded window
// drops the oldest of them.
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

// SetHorizon sets the horizon of a new window. It is called if the state was written by a version without a window. Every request with
// a number up to the horizon then counts as possibly applied and dropped.
func (d *DedupWindow) SetHorizon(number uint64) {
	invariant.Assert(len(d.requests) == 0 && d.horizon == 0, "the horizon of a deduplication window is set only while it is new")
	d.horizon = number
}
