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

const messageRoom, mostSeq = 256, 1 << 62

type deltaLine struct {
	customer CustomerID
	plan     PlanID
	units    float64
	out      int     // submissions; by parts: see outOf
	part     float64 // of the ceiling: given, or below nought asked for; by parts: lent units that were spent or let go
	first    GatewayID
	wanted   float64 // units that wait for an answer
	width    int     // the customer's set, so that an owner knows it before it sees a txn of its own
}

type snapLine struct {
	customer CustomerID
	left     float64
	sharers  int
	outElse  int
	grant    float64 // of the ceiling; by parts: units lent
}

type message struct {
	epoch    uint32
	gap      time.Duration // the least time between messages that the sender wishes to get
	age      time.Duration // of the sender, whole seconds
	seq      uint64        // 0: no delta
	deltas   []deltaLine
	version  uint64
	ackEpoch uint32 // life of the receiver that is acknowledged
	ackHigh  uint64
	ackMask  uint64
	snaps    []snapLine
	sights   []sight
}

func sixteenths(units float64) uint64 {
	if units <= 0 || math.IsNaN(units) {
		return 0
	}
	return uint64(math.Min(units*16, 1<<20))
}

func (l deltaLine) append(b []byte) []byte {
	b = binary.AppendUvarint(b, uint64(l.customer))
	b = binary.AppendUvarint(b, uint64(l.plan))
	b = binary.AppendUvarint(b, sixteenths(l.units))
	b = binary.AppendUvarint(b, uint64(l.out))
	b = binary.AppendVarint(b, int64(max(min(l.part*16, 1<<20), -1<<20)))
	b = binary.AppendUvarint(b, uint64(l.first))
	b = binary.AppendUvarint(b, sixteenths(l.wanted))
	return binary.AppendUvarint(b, uint64(l.width))
}

func (l snapLine) append(b []byte) []byte {
	b = binary.AppendUvarint(b, uint64(l.customer))
	b = binary.AppendUvarint(b, sixteenths(l.left))
	b = binary.AppendUvarint(b, uint64(l.sharers))
	b = binary.AppendUvarint(b, uint64(l.outElse))
	return binary.AppendUvarint(b, sixteenths(l.grant))
}

// longest lines: a line fits for sure while this much room is left.
const deltaMost, snapMost = 5 + 3 + 4 + 3 + 4 + 3 + 4 + 3, 5 + 4 + 3 + 3 + 4

// room is what is left of a message.
func (m *message) room() int { return messageRoom - len(m.encode()) }

func (m *message) encode() []byte {
	b := make([]byte, 0, messageRoom)
	b = append(b, 2)
	b = binary.LittleEndian.AppendUint32(b, m.epoch)
	b = binary.AppendUvarint(b, uint64(m.gap.Milliseconds()))
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
	b = append(b, byte(len(m.snaps)))
	for _, l := range m.snaps {
		b = l.append(b)
	}
	b = append(b, byte(len(m.sights)))
	for _, s := range m.sights {
		b = append(b, byte(s.hash), byte(s.hash>>8), byte(s.hash>>16), byte(s.product)<<2|byte(s.crowd), byte(int(s.ratio*8)))
		if s.ratio < 0 {
			b[len(b)-1] = byte(int(256 + s.ratio))
		}
	}
	return b
}

const sightMask, sightSize = 1<<24 - 1, 5

// sight reads one; eighths up to 253, and the marks above.
func (r *reader) sight() sight {
	s := sight{hash: uint64(r.octet()) | uint64(r.octet())<<8 | uint64(r.octet())<<16}
	v := r.octet()
	s.product, s.crowd = ProductID(v>>2), crowding(v&3)
	if v = r.octet(); v < 254 {
		s.ratio = float64(v) / 8
	} else {
		s.ratio = float64(v - 256)
	}
	return s
}

type reader struct {
	b   []byte
	bad bool
}

// upTo reads a number that must not be over a bound.
func (r *reader) upTo(most uint64) uint64 {
	v, n := binary.Uvarint(r.b)
	if n <= 0 || v > most {
		r.bad = true
		return 0
	}
	r.b = r.b[n:]
	return v
}

// units reads sixteenths.
func (r *reader) units() float64 { return float64(r.upTo(1<<20)) / 16 }

// signed reads sixteenths that may be below nought.
func (r *reader) signed() float64 {
	v, n := binary.Varint(r.b)
	if n <= 0 || v > 1<<20 || v < -1<<20 {
		r.bad = true
		return 0
	}
	r.b = r.b[n:]
	return float64(v) / 16
}

func (r *reader) fixed() uint32 {
	if len(r.b) < 4 {
		r.bad = true
		return 0
	}
	v := binary.LittleEndian.Uint32(r.b)
	r.b = r.b[4:]
	return v
}

func (r *reader) octet() int {
	if len(r.b) < 1 {
		r.bad = true
		return 0
	}
	v := r.b[0]
	r.b = r.b[1:]
	return int(v)
}

func decodeMessage(b []byte) (*message, error) {
	r := &reader{b: b}
	if r.octet() != 2 {
		return nil, errors.New("unknown form")
	}
	m := &message{epoch: r.fixed(), gap: time.Duration(r.upTo(1<<14)) * time.Millisecond,
		age: time.Duration(r.octet()) * time.Second, seq: r.upTo(mostSeq)}
	for n := r.octet(); n > 0 && !r.bad; n-- {
		m.deltas = append(m.deltas, deltaLine{CustomerID(r.upTo(1 << 34)), PlanID(r.upTo(1 << 16)), r.units(),
			int(r.upTo(1 << 20)), r.signed(), GatewayID(r.upTo(1 << 20)), r.units(), int(r.upTo(1 << 20))})
	}
	m.version, m.ackEpoch, m.ackHigh, m.ackMask = r.upTo(mostSeq), r.fixed(), r.upTo(mostSeq), uint64(r.fixed())
	for n := r.octet(); n > 0 && !r.bad; n-- {
		m.snaps = append(m.snaps, snapLine{CustomerID(r.upTo(1 << 34)), r.units(),
			int(r.upTo(1 << 20)), int(r.upTo(1 << 20)), r.units()})
	}
	for n := r.octet(); n > 0 && !r.bad; n-- {
		m.sights = append(m.sights, r.sight())
	}
	if r.bad || len(r.b) != 0 {
		return nil, errors.New("cut short or too long")
	}
	return m, nil
}

// over tells whether an epoch is of a life that has ended.
func (p *peer) over(epoch uint32) bool { return slices.Contains(p.retired, epoch) }

// begin starts the peer's next life.
func (p *peer) begin(epoch uint32) {
	if p.epoch != 0 {
		p.retired = append(p.retired, p.epoch)
		p.retired = p.retired[max(0, len(p.retired)-8):]
	}
	p.epoch, p.high, p.mask, p.granted = epoch, 0, 0, 0 // versions begin anew as well
}

// first tells whether a sequence comes for the first time, and notes it.
func (p *peer) first(seq uint64) bool {
	if seq > p.high {
		p.mask = p.mask<<min(seq-p.high, 64) | 1
		p.high = seq
		return true
	}
	back := p.high - seq
	if back >= 64 || p.mask>>back&1 == 1 {
		return false
	}
	p.mask |= 1 << back
	return true
}

// acknowledges tells whether the message says that the sequence was applied.
func (m *message) acknowledges(seq uint64) bool {
	return m.ackHigh >= seq && (m.ackHigh-seq >= 32 || m.ackMask>>(m.ackHigh-seq)&1 == 1)
}
