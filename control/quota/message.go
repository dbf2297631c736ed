package quota

import (
	"encoding/binary"
	"math"
	"time"

	"clovergap/control"
)

const maxMessageBytes, maxSeq = 256, 1 << 62

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

type Delta struct {
	Customer    control.CustomerID
	Plan        control.PlanID
	Units       float64
	InFlight    int     // submissions; by parts: see reportedInFlight
	Transfer    float64 // of the ceiling: given, or below nought asked for; by parts: lent units that were spent or let go
	SetFirst    control.GatewayID
	UnitsWanted float64 // units that wait for an answer
	SetWidth    int     // the customer's set, so that an owner knows it before it sees a txn of its own
}

type Snapshot struct {
	Customer          control.CustomerID
	Level             float64
	Reporters         int
	InFlightElsewhere int
	Grant             float64 // of the ceiling; by parts: units lent
}

// Observation is how a submission went at a backend: its time against the usual, or one of the two marks.
type Observation struct {
	BackendHash uint64 // the lower part of the backend's
	Product     control.ProductID
	Ratio       float64
	Congestion  Congestion
}

// Congestion is what an answer says of the fleet.
type Congestion int

const (
	CongestionUnknown Congestion = iota
	NotCongested
	Congested
)

const ObservedLost, ObservedFailed = -1, -2

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

// acknowledges tells whether the message says that the sequence was applied.
func (m *Message) acknowledges(seq uint64) bool {
	return m.AckHigh >= seq && (m.AckHigh-seq >= 32 || m.AckMask>>(m.AckHigh-seq)&1 == 1)
}
