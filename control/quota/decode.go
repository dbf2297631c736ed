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
	// ErrMalformed means that the datagram is cut short, has extra bytes at its end, or holds a number out of range.
	ErrMalformed = errors.New("decode datagram: malformed payload")
)

// DecodeMessage decodes a datagram. It returns ErrMessageVersion or ErrMalformed if it cannot.
func DecodeMessage(payload []byte) (*Message, error) {
	r := &reader{buffer: payload}
	if r.octet() != messageVersion {
		return nil, ErrMessageVersion
	}
	m := &Message{
		Epoch:    r.fixed32(),
		Interval: time.Duration(r.boundedUvarint(maxIntervalMillis)) * time.Millisecond,
		Age:      time.Duration(r.octet()) * time.Second,
		Seq:      r.boundedUvarint(maxSeq),
	}
	for n := r.octet(); n > 0 && !r.failed; n-- {
		m.Deltas = append(m.Deltas, r.delta())
	}
	m.Version = r.boundedUvarint(maxSeq)
	m.AckEpoch = r.fixed32()
	m.AckHigh = r.boundedUvarint(maxSeq)
	m.AckMask = uint64(r.fixed32())
	for n := r.octet(); n > 0 && !r.failed; n-- {
		m.Snapshots = append(m.Snapshots, r.snapshot())
	}
	for n := r.octet(); n > 0 && !r.failed; n-- {
		m.Observations = append(m.Observations, r.observation())
	}
	if r.failed || len(r.buffer) != 0 {
		return nil, ErrMalformed
	}
	return m, nil
}

// reader reads the fields of a datagram in their order. After a failed read, failed is true and all further results are meaningless.
type reader struct {
	buffer []byte
	failed bool
}

func (r *reader) delta() Delta {
	return Delta{
		Customer:    control.CustomerID(r.boundedUvarint(maxCustomer)),
		Plan:        control.PlanID(r.boundedUvarint(maxPlan)),
		Units:       r.sixteenths(),
		InFlight:    r.count(),
		Transfer:    r.signedSixteenths(),
		SetFirst:    control.GatewayID(r.count()),
		UnitsWanted: r.sixteenths(),
		SetWidth:    r.count(),
	}
}

func (r *reader) snapshot() Snapshot {
	return Snapshot{
		Customer:          control.CustomerID(r.boundedUvarint(maxCustomer)),
		Level:             r.sixteenths(),
		Reporters:         r.count(),
		InFlightElsewhere: r.count(),
		Grant:             r.sixteenths(),
	}
}

// observation reads an observation. Its last byte is the ratio in eighths up to 253, or stands for ObservedLost or ObservedFailed (255 or
// 254).
func (r *reader) observation() Observation {
	o := Observation{BackendHash: uint64(r.octet()) | uint64(r.octet())<<8 | uint64(r.octet())<<16}
	v := r.octet()
	o.Product, o.Congestion = control.ProductID(v>>2), Congestion(v&3)
	if v = r.octet(); v < 254 {
		o.Ratio = float64(v) / 8
	} else {
		o.Ratio = float64(v - 256)
	}
	return o
}

// boundedUvarint reads an unsigned varint. The read fails if the number is above the limit.
func (r *reader) boundedUvarint(limit uint64) uint64 {
	v, n := binary.Uvarint(r.buffer)
	if n <= 0 || v > limit {
		r.failed = true
		return 0
	}
	r.buffer = r.buffer[n:]
	return v
}

func (r *reader) count() int { return int(r.boundedUvarint(maxCount)) }

func (r *reader) sixteenths() float64 { return float64(r.boundedUvarint(maxCount)) / 16 }

// signedSixteenths reads a number of sixteenths that may be negative.
func (r *reader) signedSixteenths() float64 {
	v, n := binary.Varint(r.buffer)
	if n <= 0 || v > maxCount || v < -maxCount {
		r.failed = true
		return 0
	}
	r.buffer = r.buffer[n:]
	return float64(v) / 16
}

func (r *reader) fixed32() uint32 {
	if len(r.buffer) < 4 {
		r.failed = true
		return 0
	}
	v := binary.LittleEndian.Uint32(r.buffer)
	r.buffer = r.buffer[4:]
	return v
}

func (r *reader) octet() int {
	if len(r.buffer) < 1 {
		r.failed = true
		return 0
	}
	v := r.buffer[0]
	r.buffer = r.buffer[1:]
	return int(v)
}
