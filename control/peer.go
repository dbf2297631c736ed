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

type delta struct {
	customer    CustomerID
	plan        PlanID
	units       float64
	inFlight    int     // submissions; by parts: see reportedInFlight
	transfer    float64 // of the ceiling: given, or below nought asked for; by parts: lent units that were spent or let go
	setFirst    GatewayID
	unitsWanted float64 // units that wait for an answer
	setWidth    int     // the customer's set, so that an owner knows it before it sees a txn of its own
}

type snapshot struct {
	customer          CustomerID
	level             float64
	reporters         int
	inFlightElsewhere int
	grant             float64 // of the ceiling; by parts: units lent
}

type message struct {
	epoch        uint32
	interval     time.Duration // the least time between messages that the sender wishes to get
	age          time.Duration // of the sender, whole seconds
	seq          uint64        // 0: no delta
	deltas       []delta
	version      uint64
	ackEpoch     uint32 // life of the receiver that is acknowledged
	ackHigh      uint64
	ackMask      uint64
	snapshots    []snapshot
	observations []observation
}

func sixteenths(units float64) uint64 {
	if units <= 0 || math.IsNaN(units) {
		return 0
	}
	return uint64(math.Min(units*16, 1<<20))
}

func (d delta) append(b []byte) []byte {
	b = binary.AppendUvarint(b, uint64(d.customer))
	b = binary.AppendUvarint(b, uint64(d.plan))
	b = binary.AppendUvarint(b, sixteenths(d.units))
	b = binary.AppendUvarint(b, uint64(d.inFlight))
	b = binary.AppendVarint(b, int64(max(min(d.transfer*16, 1<<20), -1<<20)))
	b = binary.AppendUvarint(b, uint64(d.setFirst))
	b = binary.AppendUvarint(b, sixteenths(d.unitsWanted))
	return binary.AppendUvarint(b, uint64(d.setWidth))
}

func (s snapshot) append(b []byte) []byte {
	b = binary.AppendUvarint(b, uint64(s.customer))
	b = binary.AppendUvarint(b, sixteenths(s.level))
	b = binary.AppendUvarint(b, uint64(s.reporters))
	b = binary.AppendUvarint(b, uint64(s.inFlightElsewhere))
	return binary.AppendUvarint(b, sixteenths(s.grant))
}

// longest lines: a line fits for sure while this much room is left.
const maxDeltaBytes, maxSnapshotBytes = 5 + 3 + 4 + 3 + 4 + 3 + 4 + 3, 5 + 4 + 3 + 3 + 4

// remaining is what is left of a message.
func (m *message) remaining() int { return maxMessageBytes - len(m.encode()) }

func (m *message) encode() []byte {
	b := make([]byte, 0, maxMessageBytes)
	b = append(b, 2)
	b = binary.LittleEndian.AppendUint32(b, m.epoch)
	b = binary.AppendUvarint(b, uint64(m.interval.Milliseconds()))
	b = append(b, byte(min(m.age/time.Second, 255)))
	b = binary.AppendUvarint(b, m.seq)
	b = append(b, byte(len(m.deltas)))
	for _, l := range m.deltas {
		b = l.append(b)
	}
	b = binary.AppendUvarint(b, m.version)
	b = binary.LittleEndian.AppendUint32(b, m.ackEpoch)
	b = binary.AppendUvarint(b, m.ackHigh)
	b = binary.LittleEndian.AppendUint32(b, uint32(m.ackMask))
	b = append(b, byte(len(m.snapshots)))
	for _, l := range m.snapshots {
		b = l.append(b)
	}
	b = append(b, byte(len(m.observations)))
	for _, s := range m.observations {
		b = append(b, byte(s.backendHash), byte(s.backendHash>>8), byte(s.backendHash>>16), byte(s.product)<<2|byte(s.congestion), byte(int(s.ratio*8)))
		if s.ratio < 0 {
			b[len(b)-1] = byte(int(256 + s.ratio))
		}
	}
	return b
}

const observationHashMask, observationBytes = 1<<24 - 1, 5

// observation reads one; eighths up to 253, and the marks above.
func (r *reader) observation() observation {
	s := observation{backendHash: uint64(r.octet()) | uint64(r.octet())<<8 | uint64(r.octet())<<16}
	v := r.octet()
	s.product, s.congestion = ProductID(v>>2), congestion(v&3)
	if v = r.octet(); v < 254 {
		s.ratio = float64(v) / 8
	} else {
		s.ratio = float64(v - 256)
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

func decodeMessage(b []byte) (*message, error) {
	r := &reader{buffer: b}
	if r.octet() != 2 {
		return nil, errors.New("unknown form")
	}
	m := &message{epoch: r.fixed32(), interval: time.Duration(r.boundedUvarint(1<<14)) * time.Millisecond,
		age: time.Duration(r.octet()) * time.Second, seq: r.boundedUvarint(maxSeq)}
	for n := r.octet(); n > 0 && !r.failed; n-- {
		m.deltas = append(m.deltas, delta{CustomerID(r.boundedUvarint(1 << 34)), PlanID(r.boundedUvarint(1 << 16)), r.sixteenths(),
			int(r.boundedUvarint(1 << 20)), r.signedSixteenths(), GatewayID(r.boundedUvarint(1 << 20)), r.sixteenths(), int(r.boundedUvarint(1 << 20))})
	}
	m.version, m.ackEpoch, m.ackHigh, m.ackMask = r.boundedUvarint(maxSeq), r.fixed32(), r.boundedUvarint(maxSeq), uint64(r.fixed32())
	for n := r.octet(); n > 0 && !r.failed; n-- {
		m.snapshots = append(m.snapshots, snapshot{CustomerID(r.boundedUvarint(1 << 34)), r.sixteenths(),
			int(r.boundedUvarint(1 << 20)), int(r.boundedUvarint(1 << 20)), r.sixteenths()})
	}
	for n := r.octet(); n > 0 && !r.failed; n-- {
		m.observations = append(m.observations, r.observation())
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
func (m *message) acknowledges(seq uint64) bool {
	return m.ackHigh >= seq && (m.ackHigh-seq >= 32 || m.ackMask>>(m.ackHigh-seq)&1 == 1)
}
