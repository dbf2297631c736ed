package quota

import (
	"encoding/binary"
	"errors"
	"time"

	"clovergap/control"
)

func DecodeMessage(b []byte) (*Message, error) {
	r := &reader{buffer: b}
	if r.octet() != 2 {
		return nil, errors.New("unknown form")
	}
	m := &Message{Epoch: r.fixed32(), Interval: time.Duration(r.boundedUvarint(1<<14)) * time.Millisecond,
		Age: time.Duration(r.octet()) * time.Second, Seq: r.boundedUvarint(maxSeq)}
	for n := r.octet(); n > 0 && !r.failed; n-- {
		m.Deltas = append(m.Deltas, Delta{control.CustomerID(r.boundedUvarint(1 << 34)), control.PlanID(r.boundedUvarint(1 << 16)), r.sixteenths(),
			int(r.boundedUvarint(1 << 20)), r.signedSixteenths(), control.GatewayID(r.boundedUvarint(1 << 20)), r.sixteenths(), int(r.boundedUvarint(1 << 20))})
	}
	m.Version, m.AckEpoch, m.AckHigh, m.AckMask = r.boundedUvarint(maxSeq), r.fixed32(), r.boundedUvarint(maxSeq), uint64(r.fixed32())
	for n := r.octet(); n > 0 && !r.failed; n-- {
		m.Snapshots = append(m.Snapshots, Snapshot{control.CustomerID(r.boundedUvarint(1 << 34)), r.sixteenths(),
			int(r.boundedUvarint(1 << 20)), int(r.boundedUvarint(1 << 20)), r.sixteenths()})
	}
	for n := r.octet(); n > 0 && !r.failed; n-- {
		m.Observations = append(m.Observations, r.observation())
	}
	if r.failed || len(r.buffer) != 0 {
		return nil, errors.New("cut short or too long")
	}
	return m, nil
}

type reader struct {
	buffer []byte
	failed bool
}

// boundedUvarint reads a number that must not be over a bound.
func (r *reader) boundedUvarint(most uint64) uint64 {
	v, n := binary.Uvarint(r.buffer)
	if n <= 0 || v > most {
		r.failed = true
		return 0
	}
	r.buffer = r.buffer[n:]
	return v
}

// sixteenths reads sixteenths.
func (r *reader) sixteenths() float64 { return float64(r.boundedUvarint(1<<20)) / 16 }

// signedSixteenths reads sixteenths that may be below nought.
func (r *reader) signedSixteenths() float64 {
	v, n := binary.Varint(r.buffer)
	if n <= 0 || v > 1<<20 || v < -1<<20 {
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

// observation reads one; eighths up to 253, and the marks above.
func (r *reader) observation() Observation {
	s := Observation{BackendHash: uint64(r.octet()) | uint64(r.octet())<<8 | uint64(r.octet())<<16}
	v := r.octet()
	s.Product, s.Congestion = control.ProductID(v>>2), Congestion(v&3)
	if v = r.octet(); v < 254 {
		s.Ratio = float64(v) / 8
	} else {
		s.Ratio = float64(v - 256)
	}
	return s
}
