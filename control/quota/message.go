package quota

import (
	"encoding/binary"
	"math"
	"time"

	"clovergap/control"
)

const (
	// messageVersion is the first byte of a datagram: the number of its format.
	messageVersion = 2
	// maxMessageBytes is what limiters fill; the host's limit on datagrams is not lower.
	maxMessageBytes = 256

	// maxSeq bounds sequences and versions, maxCount counts and sixteenths of a unit.
	maxSeq            = 1 << 62
	maxCount          = 1 << 20
	maxCustomer       = 1 << 34
	maxPlan           = 1 << 16
	maxIntervalMillis = 1 << 14

	// maxDeltaBytes and maxSnapshotBytes are the longest encodings of usual figures: customer 5, plan and other small counts 3, units 4.
	maxDeltaBytes    = 5 + 3 + 4 + 3 + 4 + 3 + 4 + 3
	maxSnapshotBytes = 5 + 4 + 3 + 3 + 4
	observationBytes = 5

	// ObservationHashMask is the part of a backend's hash that an observation carries.
	ObservationHashMask = 1<<24 - 1
)

// Message is one datagram between two gateways: deltas for accounts that the receiver owns, snapshots of accounts that the sender owns,
// the acknowledgement of the receiver's deltas, and observations of backends. Numbers are varints, units are sixteenths.
type Message struct {
	Epoch        uint32        // of the sender
	Interval     time.Duration // least time between datagrams to the sender, in whole milliseconds
	Age          time.Duration // of the sender, in whole seconds, 255 at the most
	Seq          uint64        // of the deltas; 0: there are none
	Deltas       []Delta
	Version      uint64 // of the snapshots: a later one goes before
	AckEpoch     uint32 // the receiver's epoch that acknowledgement and snapshots are for
	AckHigh      uint64 // highest sequence applied
	AckMask      uint64 // the last 32 sequences applied: bit i for AckHigh-i
	Snapshots    []Snapshot
	Observations []Observation
}

// Delta reports the use of one customer to its owner.
type Delta struct {
	Customer    control.CustomerID
	Plan        control.PlanID
	Units       float64           // consumed since the last report
	InFlight    int               // submissions; in strict mode units, see reportedInFlight
	Transfer    float64           // units: below 0, asked of the hard limit's pool; in strict mode, used of grants
	SetFirst    control.GatewayID // the customer's set, so that an owner knows it before it sees a request of the customer
	UnitsWanted float64           // units that a pending request needs
	SetWidth    int
}

// Snapshot is what an owner says of one customer to one reporter.
type Snapshot struct {
	Customer          control.CustomerID
	Level             float64 // units left
	Reporters         int     // recent ones, the receiver included
	InFlightElsewhere int     // submissions of other gateways
	Grant             float64 // units: of the hard limit's pool; in strict mode, set aside for the receiver
}

// Observation is how one submission went at a backend. Limiters only carry it, from one host to another.
type Observation struct {
	BackendHash uint64 // its last 24 bits
	Product     control.ProductID
	Ratio       float64 // answer time over the usual one, in eighths, or one of ObservedLost and ObservedFailed
	Congestion  Congestion
}

// Congestion is what a submission says of the fleet of backends.
type Congestion int

// What a submission may say of the fleet.
const (
	CongestionUnknown Congestion = iota
	NotCongested
	Congested
)

// Ratios of submissions that were not answered.
const (
	ObservedLost   = -1 // no answer, or no connection
	ObservedFailed = -2 // answered with an error
)

// sixteenths rounds units down to what a message carries.
func sixteenths(units float64) uint64 {
	if units <= 0 || math.IsNaN(units) {
		return 0
	}
	return uint64(math.Min(units*16, maxCount))
}

func (d Delta) append(b []byte) []byte {
	b = binary.AppendUvarint(b, uint64(d.Customer))
	b = binary.AppendUvarint(b, uint64(d.Plan))
	b = binary.AppendUvarint(b, sixteenths(d.Units))
	b = binary.AppendUvarint(b, uint64(d.InFlight))
	b = binary.AppendVarint(b, int64(max(min(d.Transfer*16, maxCount), -maxCount)))
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

func (o Observation) append(b []byte) []byte {
	ratio := byte(int(o.Ratio * 8))
	if o.Ratio < 0 {
		ratio = byte(int(256 + o.Ratio))
	}
	return append(b, byte(o.BackendHash), byte(o.BackendHash>>8), byte(o.BackendHash>>16), byte(o.Product)<<2|byte(o.Congestion), ratio)
}

// remaining is the number of bytes that may be added to a message.
func (m *Message) remaining() int { return maxMessageBytes - len(m.Encode()) }

// Encode gives the bytes of a message. DecodeMessage reads them.
func (m *Message) Encode() []byte {
	b := make([]byte, 0, maxMessageBytes)
	b = append(b, messageVersion)
	b = binary.LittleEndian.AppendUint32(b, m.Epoch)
	b = binary.AppendUvarint(b, uint64(m.Interval.Milliseconds()))
	b = append(b, byte(min(m.Age/time.Second, 255)))
	b = binary.AppendUvarint(b, m.Seq)
	b = append(b, byte(len(m.Deltas)))
	for _, d := range m.Deltas {
		b = d.append(b)
	}
	b = binary.AppendUvarint(b, m.Version)
	b = binary.LittleEndian.AppendUint32(b, m.AckEpoch)
	b = binary.AppendUvarint(b, m.AckHigh)
	b = binary.LittleEndian.AppendUint32(b, uint32(m.AckMask))
	b = append(b, byte(len(m.Snapshots)))
	for _, s := range m.Snapshots {
		b = s.append(b)
	}
	b = append(b, byte(len(m.Observations)))
	for _, o := range m.Observations {
		b = o.append(b)
	}
	return b
}

// acknowledges tells whether the message says that a sequence was applied.
func (m *Message) acknowledges(seq uint64) bool {
	return m.AckHigh >= seq && (m.AckHigh-seq >= 32 || m.AckMask>>(m.AckHigh-seq)&1 == 1)
}
