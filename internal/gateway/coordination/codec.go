package coordination

import (
	"encoding/binary"
	"time"

	"github.com/go-faster/errors"
)

// Causes of the errors that are returned when an entry, a snapshot or a message is decoded.
var (
	// ErrTruncated is returned when encoded data ends before all its values are read.
	ErrTruncated = errors.New("coordination: encoded data is truncated")
	// ErrUnknownVersion is returned for data that another version of the program wrote in a format that this version does not support.
	ErrUnknownVersion = errors.New("coordination: encoded data has an unknown version")
)

// encoder appends values to a byte slice. Integers are encoded as varints. A string is encoded as its length and its bytes. Equal values
// always have equal encodings, because equal states must have equal snapshots.
type encoder struct{ bytes []byte }

func (e *encoder) writeUint(v uint64) { e.bytes = binary.AppendUvarint(e.bytes, v) }

func (e *encoder) writeString(s string) {
	e.writeUint(uint64(len(s)))
	e.bytes = append(e.bytes, s...)
}

// writeDuration appends d in whole microseconds, rounded down. A negative duration is written as 0.
func (e *encoder) writeDuration(d time.Duration) { e.writeUint(uint64(max(d, 0) / time.Microsecond)) }

func (e *encoder) writeBool(v bool) {
	if v {
		e.writeUint(1)
		return
	}
	e.writeUint(0)
}

// decoder reads the values that an encoder wrote. The field err holds the first error. After an error all methods return zero values.
type decoder struct {
	bytes []byte
	err   error
}

func (d *decoder) readUint() uint64 {
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

func (d *decoder) readString() string {
	n := d.readCount()
	s := string(d.bytes[:n])
	d.bytes = d.bytes[n:]
	return s
}

func (d *decoder) readDuration() time.Duration { return time.Duration(d.readUint()) * time.Microsecond }

func (d *decoder) readBool() bool { return d.readUint() != 0 }

// readCount reads the number of records in a list, or the number of bytes in a string. Each record takes at least one byte, so a count above
// the number of remaining bytes sets ErrTruncated. Damaged data therefore can't make the decoder allocate more than the size of the data.
func (d *decoder) readCount() int {
	n := d.readUint()
	if d.err == nil && n > uint64(len(d.bytes)) {
		d.err = ErrTruncated
	}
	if d.err != nil {
		return 0
	}
	return int(n)
}
