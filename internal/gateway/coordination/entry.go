package coordination

import (
	"time"

	"github.com/go-faster/errors"
)

// formatVersion is the first value of each log entry and each snapshot. Decoding data with another version returns ErrUnknownVersion.
const formatVersion = 1

// entry is a call as it is stored in a group's log.
type entry struct {
	call    Call
	logTime time.Duration // log time (see the package comment) at which the leader proposed the entry
	callID  CallID        // stored only for LockAcquire, because duplicates of an acquire must be recognized
}

func (e *entry) encode() []byte {
	var enc encoder
	enc.writeUint(formatVersion)
	enc.writeDuration(e.logTime)
	hasCallID := e.call.Operation == LockAcquire
	enc.writeBool(hasCallID)
	if hasCallID {
		encodeCallID(&enc, e.callID)
	}
	e.call.encode(&enc)
	return enc.bytes
}

func decodeEntry(b []byte) (e entry, err error) {
	dec := decoder{bytes: b}
	if version := dec.readUint(); dec.err == nil && version != formatVersion {
		return e, errors.Wrapf(ErrUnknownVersion, "decode log entry: version=%d", version)
	}
	e.logTime = dec.readDuration()
	if dec.readBool() {
		e.callID = decodeCallID(&dec)
	}
	e.call.decode(&dec)
	if dec.err != nil {
		return e, errors.Wrap(dec.err, "decode log entry")
	}
	return e, nil
}

// encodeResult encodes the result of applying an entry, for the node that proposed the entry. Such a result has no value, events or locks.
func encodeResult(r Result) []byte {
	var enc encoder
	enc.writeUint(uint64(r.Status))
	enc.writeUint(r.FencingToken)
	enc.writeUint(r.Number)
	enc.writeUint(r.Revision)
	return enc.bytes
}

func decodeResult(b []byte) (r Result, err error) {
	dec := decoder{bytes: b}
	r.Status = Status(dec.readUint())
	r.FencingToken = dec.readUint()
	r.Number = dec.readUint()
	r.Revision = dec.readUint()
	if dec.err != nil {
		return r, errors.Wrap(dec.err, "decode result")
	}
	if r.Status > StatusAmbiguous {
		return r, errors.Wrapf(ErrUnknownVersion, "decode result: status=%d", r.Status)
	}
	return r, nil
}

func encodeCallID(enc *encoder, id CallID) {
	enc.writeUint(id.Incarnation)
	enc.writeUint(uint64(id.Sequence))
}

func decodeCallID(dec *decoder) CallID {
	return CallID{Incarnation: dec.readUint(), Sequence: uint32(dec.readUint())}
}
