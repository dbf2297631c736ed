package coordination

import (
	"encoding/binary"
	"time"

	"github.com/go-faster/errors"
)

// Errors of decoding entries, snapshots and messages.
var (
	// ErrTruncated is returned for data that ends too early.
	ErrTruncated = errors.New("coordination: data ends too early")
	// ErrUnknownVersion is returned for data that another version of the program wrote, in a form that this one does not know.
	ErrUnknownVersion = errors.New("coordination: unknown version of data")
)

// encoder appends values to bytes: integers as varints, strings with their length. The same values always give the same bytes, which
// State.Snapshot needs.
type encoder struct{ bytes []byte }

func (e *encoder) uint(v uint64) { e.bytes = binary.AppendUvarint(e.bytes, v) }

func (e *encoder) string(s string) {
	e.uint(uint64(len(s)))
	e.bytes = append(e.bytes, s...)
}

// duration is written in microseconds, rounded down; negative ones as 0.
func (e *encoder) duration(d time.Duration) { e.uint(uint64(max(d, 0) / time.Microsecond)) }

func (e *encoder) bool(v bool) {
	if v {
		e.uint(1)
		return
	}
	e.uint(0)
}

// decoder reads what an encoder wrote. The first error is kept; all values read after it are zero.
type decoder struct {
	bytes []byte
	err   error
}

func (d *decoder) uint() uint64 {
	if d.err != nil {
		return 0
	}
	v, n := binary.Uvarint(d.bytes)
	if n <= 0 {
		d.err = ErrTruncated
		return 0
	}
	d.bytes = d.bytes[n:]
	return v
}

func (d *decoder) string() string {
	n := d.count()
	s := string(d.bytes[:n])
	d.bytes = d.bytes[n:]
	return s
}

func (d *decoder) duration() time.Duration { return time.Duration(d.uint()) * time.Microsecond }

func (d *decoder) bool() bool { return d.uint() != 0 }

// count reads how many records, or bytes of a string, follow. Each takes at least a byte, so a count beyond what is left is an error:
// damaged data can't make the reader allocate more than its own size.
func (d *decoder) count() int {
	n := d.uint()
	if d.err == nil && n > uint64(len(d.bytes)) {
		d.err = ErrTruncated
	}
	if d.err != nil {
		return 0
	}
	return int(n)
}
