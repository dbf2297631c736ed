package coordination

import (
	"encoding/binary"
	"time"

	"github.com/go-faster/errors"
)

// ErrTruncated is told of bytes that end too early.
var ErrTruncated = errors.New("entry ends too early")

// encoder appends values. All that is kept is written by it, so that the same state gives the same bytes at each member.
type encoder struct{ bytes []byte }

func (e *encoder) uint(v uint64) { e.bytes = binary.AppendUvarint(e.bytes, v) }
func (e *encoder) string(s string) {
	e.uint(uint64(len(s)))
	e.bytes = append(e.bytes, s...)
}

// duration is kept in microseconds, rounded down.
func (e *encoder) duration(d time.Duration) { e.uint(uint64(max(d, 0) / time.Microsecond)) }

func (e *encoder) bool(is bool) {
	if is {
		e.uint(1)
		return
	}
	e.uint(0)
}

// decoder reads what an encoder wrote. The first failure sticks; what is read after it is empty.
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
	n := d.uint()
	if d.err == nil && n > uint64(len(d.bytes)) {
		d.err = ErrTruncated
	}
	if d.err != nil {
		return ""
	}
	s := string(d.bytes[:n])
	d.bytes = d.bytes[n:]
	return s
}

func (d *decoder) duration() time.Duration { return time.Duration(d.uint()) * time.Microsecond }
func (d *decoder) bool() bool              { return d.uint() != 0 }

// count reads how many records follow; each takes a byte at the least.
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
