package control

import (
	"encoding/binary"
	"errors"
	"math"
	"slices"
	"time"
)

// One peer message packs a sequenced delta (for accounts the receiver owns) and a snapshot
// (for accounts the sender owns, with the acknowledgement). Numbers are varints, units are sixteenths.

const maxMessageBytes, maxSeq = 256, 1 << 62

type Delta struct {
	Customer    CustomerID
	Plan        PlanID
	Units       float64
	InFlight    int     // submissions; by parts: see reportedInFlight
	Transfer    float64 // of the ceiling: given, or below nought asked for; by parts: lent units that were spent or let go
	SetFirst    GatewayID
	UnitsWanted float64 // units that wait for an answer
	SetWidth    int     // the customer's set, so that an owner knows it before it sees a txn of its own
}

type Snapshot struct {
	Customer          CustomerID
	Level             float64
	Reporters         int
	InFlightElsewhere int
	Grant             float64 // of the ceiling; by parts: units lent
}

type Message struct {
	Epoch        uint32
	Interval     time.Duration // the least time between messages that the sender wishes to get
	Age          time.Duration // of the sender, whole seconds
	Seq          uint64        // 0: no delta
	Deltas       []Delta
	Version      uint64
	AckEpoch     uint32 // life of the receiver that is acknowledged
	AckHigh      uint64
	AckMask      uint64
	Snapshots    []Snapshot
	Observations []Observation
}

func sixteenths(units float64) uint64 {
	if units <= 0 || math.IsNaN(units) {
		return 0
	}
	return uint64(math.Min(units*16, 1<<20))
}

func (d Delta) append(b []byte) []byte {
	b = binary.AppendUvarint(b, uint64(d.Customer))
	b = binary.AppendUvarint(b, uint64(d.Plan))
	b = binary.AppendUvarint(b, sixteenths(d.Units))
	b = binary.AppendUvarint(b, uint64(d.InFlight))
	b = binary.AppendVarint(b, int64(max(min(d.Transfer*16, 1<<20), -1<<20)))
	b = binary.AppendUvarint(b, uint64(d.SetFirst))
	b = binary.AppendUvarint(b, sixteenths(d.UnitsWanted))
	return binary.AppendUvarint(b, uint64(d.SetWidth))
}

func (s Snapshot) append(b []byte) []byte {
	b = binary.AppendUvarint(b, uint64(s.Customer))
	b = binary.AppendUvarint(b, sixteenths(s.Level))
	b = binary.AppendUvarint(b, uint64(s.Reporters))
	b = binary.AppendUvarint(b, uint64(s.InFlightElsewhere))
	return binary.AppendUvarint(b, sixteenths(s.Grant))
}

// longest lines: a line fits for sure while this much room is left.
const maxDeltaBytes, maxSnapshotBytes = 5 + 3 + 4 + 3 + 4 + 3 + 4 + 3, 5 + 4 + 3 + 3 + 4

// remaining is what is left of a message.
func (m *Message) remaining() int { return maxMessageBytes - len(m.Encode()) }

func (m *Message) Encode() []byte {
	b := make([]byte, 0, maxMessageBytes)
	b = append(b, 2)
	b = binary.LittleEndian.AppendUint32(b, m.Epoch)
	b = binary.AppendUvarint(b, uint64(m.Interval.Milliseconds()))
	b = append(b, byte(min(m.Age/time.Second, 255)))
	b = binary.AppendUvarint(b, m.Seq)
	b = append(b, byte(len(m.Deltas)))
	for _, l := range m.Deltas {
		b = l.append(b)
	}
	b = binary.AppendUvarint(b, m.Version)
	b = binary.LittleEndian.AppendUint32(b, m.AckEpoch)
	b = binary.AppendUvarint(b, m.AckHigh)
	b = binary.LittleEndian.AppendUint32(b, uint32(m.AckMask))
	b = append(b, byte(len(m.Snapshots)))
	for _, l := range m.Snapshots {
		b = l.append(b)
	}
	b = append(b, byte(len(m.Observations)))
	for _, s := range m.Observations {
		b = append(b, byte(s.BackendHash), byte(s.BackendHash>>8), byte(s.BackendHash>>16), byte(s.Product)<<2|byte(s.Congestion), byte(int(s.Ratio*8)))
		if s.Ratio < 0 {
			b[len(b)-1] = byte(int(256 + s.Ratio))
		}
	}
	return b
}

const ObservationHashMask, observationBytes = 1<<24 - 1, 5

// observation reads one; eighths up to 253, and the marks above.
func (r *reader) observation() Observation {
	s := Observation{BackendHash: uint64(r.octet()) | uint64(r.octet())<<8 | uint64(r.octet())<<16}
	v := r.octet()
	s.Product, s.Congestion = ProductID(v>>2), Congestion(v&3)
	if v = r.octet(); v < 254 {
		s.Ratio = float64(v) / 8
	} else {
		s.Ratio = float64(v - 256)
	}
	return s
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

func DecodeMessage(b []byte) (*Message, error) {
	r := &reader{buffer: b}
	if r.octet() != 2 {
		return nil, errors.New("unknown form")
	}
	m := &Message{Epoch: r.fixed32(), Interval: time.Duration(r.boundedUvarint(1<<14)) * time.Millisecond,
		Age: time.Duration(r.octet()) * time.Second, Seq: r.boundedUvarint(maxSeq)}
	for n := r.octet(); n > 0 && !r.failed; n-- {
		m.Deltas = append(m.Deltas, Delta{CustomerID(r.boundedUvarint(1 << 34)), PlanID(r.boundedUvarint(1 << 16)), r.sixteenths(),
			int(r.boundedUvarint(1 << 20)), r.signedSixteenths(), GatewayID(r.boundedUvarint(1 << 20)), r.sixteenths(), int(r.boundedUvarint(1 << 20))})
	}
	m.Version, m.AckEpoch, m.AckHigh, m.AckMask = r.boundedUvarint(maxSeq), r.fixed32(), r.boundedUvarint(maxSeq), uint64(r.fixed32())
	for n := r.octet(); n > 0 && !r.failed; n-- {
		m.Snapshots = append(m.Snapshots, Snapshot{CustomerID(r.boundedUvarint(1 << 34)), r.sixteenths(),
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

// isRetired tells whether an epoch is of a life that has ended.
func (p *peer) isRetired(epoch uint32) bool { return slices.Contains(p.retiredEpochs, epoch) }

// beginEpoch starts the peer's next life.
func (p *peer) beginEpoch(epoch uint32) {
	if p.epoch != 0 {
		p.retiredEpochs = append(p.retiredEpochs, p.epoch)
		p.retiredEpochs = p.retiredEpochs[max(0, len(p.retiredEpochs)-8):]
	}
	p.epoch, p.appliedHigh, p.appliedMask, p.grantVersion = epoch, 0, 0, 0 // versions begin anew as well
}

// recordApplied tells whether a sequence comes for the first time, and notes it.
func (p *peer) recordApplied(seq uint64) bool {
	if seq > p.appliedHigh {
		p.appliedMask = p.appliedMask<<min(seq-p.appliedHigh, 64) | 1
		p.appliedHigh = seq
		return true
	}
	back := p.appliedHigh - seq
	if back >= 64 || p.appliedMask>>back&1 == 1 {
		return false
	}
	p.appliedMask |= 1 << back
	return true
}

// acknowledges tells whether the message says that the sequence was applied.
func (m *Message) acknowledges(seq uint64) bool {
	return m.AckHigh >= seq && (m.AckHigh-seq >= 32 || m.AckMask>>(m.AckHigh-seq)&1 == 1)
}
