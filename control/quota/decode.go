package quota

import (
	"encoding/binary"
	"time"

	"github.com/go-faster/errors"

	"clovergap/control"
)

// Errors that DecodeMessage returns.
var (
	// ErrMessageVersion means that the datagram has a format that this program does not read.
	ErrMessageVersion = errors.New("decode datagram: unknown format version")
	// ErrMalformed means that the datagram is cut short, has extra bytes at its end, or contains a number out of range.
	ErrMalformed = errors.New("decode datagram: malformed payload")
)

// DecodeMessage decodes a datagram. DecodeMessage returns ErrMessageVersion for an empty payload or an unknown format version, and
// ErrMalformed for any other payload that it cannot decode.
func DecodeMessage(payload []byte) (*Message, error) {
	r := &reader{buffer: payload}
	if r.readOctet() != messageVersion {
		return nil, ErrMessageVersion
	}
	m := &Message{
		Epoch:    r.readUint32(),
		Interval: time.Duration(r.readBoundedUvarint(maxIntervalMillis)) * time.Millisecond,
		Age:      time.Duration(r.readOctet()) * time.Second,
		Seq:      r.readBoundedUvarint(maxSeq),
	}
	for n := r.readOctet(); n > 0 && !r.failed; n-- {
		m.Deltas = append(m.Deltas, r.readDelta())
	}
	m.Version = r.readBoundedUvarint(maxSeq)
	m.AckEpoch = r.readUint32()
	m.AckHigh = r.readBoundedUvarint(maxSeq)
	m.AckMask = uint64(r.readUint32())
	for n := r.readOctet(); n > 0 && !r.failed; n-- {
		m.Snapshots = append(m.Snapshots, r.readSnapshot())
	}
	for n := r.readOctet(); n > 0 && !r.failed; n-- {
		m.Observations = append(m.Observations, r.readObservation())
	}
	if r.failed || len(r.buffer) != 0 {
		return nil, ErrMalformed
	}
	return m, nil
}

// reader reads the fields of a datagram in their order. After a failed read, failed is true, and the results of this and all later
// reads are meaningless.
type reader struct {
	buffer []byte
	failed bool
}

func (r *reader) readDelta() Delta {
	return Delta{
		Customer:    control.CustomerID(r.readBoundedUvarint(maxCustomer)),
		Plan:        control.PlanID(r.readBoundedUvarint(maxPlan)),
		Units:       r.readSixteenths(),
		InFlight:    r.readCount(),
		Transfer:    r.readSignedSixteenths(),
		SetFirst:    control.GatewayID(r.readCount()),
		UnitsWanted: r.readSixteenths(),
		SetWidth:    r.readCount(),
	}
}

func (r *reader) readSnapshot() Snapshot {
	return Snapshot{
		Customer:          control.CustomerID(r.readBoundedUvarint(maxCustomer)),
		Level:             r.readSixteenths(),
		Reporters:         r.readCount(),
		InFlightElsewhere: r.readCount(),
		Grant:             r.readSixteenths(),
	}
}

// readObservation reads an observation. Its last byte is the ratio in eighths if the byte is at most 253. The byte 255 stands for
// ObservedLost, and the byte 254 stands for ObservedFailed.
func (r *reader) readObservation() Observation {
	o := Observation{BackendHash: uint64(r.readOctet()) | uint64(r.readOctet())<<8 | uint64(r.readOctet())<<16}
	v := r.readOctet()
	o.Product, o.Congestion = control.ProductID(v>>2), Congestion(v&3)
	if v = r.readOctet(); v < 254 {
		o.Ratio = float64(v) / 8
	} else {
		o.Ratio = float64(v - 256)
	}
	return o
}

// readBoundedUvarint reads an unsigned varint. The read fails if the number is above the limit.
func (r *reader) readBoundedUvarint(limit uint64) uint64 {
	v, n := binary.Uvarint(r.buffer)
	if n <= 0 || v > limit {
		r.failed = true
		return 0
	}
	r.buffer = r.buffer[n:]
	return v
}

func (r *reader) readCount() int { return int(r.readBoundedUvarint(maxCount)) }

func (r *reader) readSixteenths() float64 { return float64(r.readBoundedUvarint(maxCount)) / 16 }

// readSignedSixteenths reads a number of sixteenths that may be negative.
func (r *reader) readSignedSixteenths() float64 {
	v, n := binary.Varint(r.buffer)
	if n <= 0 || v > maxCount || v < -maxCount {
		r.failed = true
		return 0
	}
	r.buffer = r.buffer[n:]
	return float64(v) / 16
}

func (r *reader) readUint32() uint32 {
	if len(r.buffer) < 4 {
		r.failed = true
		return 0
	}
	v := binary.LittleEndian.Uint32(r.buffer)
	r.buffer = r.buffer[4:]
	return v
}

func (r *reader) readOctet() int {
	if len(r.buffer) < 1 {
		r.failed = true
		return 0
	}
	v := r.buffer[0]
	r.buffer = r.buffer[1:]
	return int(v)
}
