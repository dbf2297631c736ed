package quota

import (
	"encoding/binary"
	"math"
	"time"

	"clovergap/control"
)

const (
	// messageVersion is the version of the datagram format and the first byte of each datagram.
	messageVersion = 2
	// maxMessageBytes is the size up to which limiters fill datagrams. The host must be able to send datagrams of this size.
	maxMessageBytes = 256

	// maxSeq is the largest sequence number or version that a message can hold. maxCount is the largest count of gateways or submissions
	// and the largest number of units in sixteenths.
	maxSeq            = 1 << 62
	maxCount          = 1 << 20
	maxCustomer       = 1 << 34
	maxPlan           = 1 << 16
	maxIntervalMillis = 1 << 14

	// maxDeltaBytes and maxSnapshotBytes are the encoded sizes of a delta and of a snapshot with large, but usual values. A customer ID
	// takes 5 bytes, a plan ID or another small number 3 bytes, and units 4 bytes.
	maxDeltaBytes    = 5 + 3 + 4 + 3 + 4 + 3 + 4 + 3
	maxSnapshotBytes = 5 + 4 + 3 + 3 + 4
	observationBytes = 5

	// ObservationHashMask selects the bits of a backend's hash that an observation carries, which are the last 24 bits.
	ObservationHashMask = 1<<24 - 1
)

// Message is one datagram between two gateways. It carries deltas for accounts that the receiver owns, snapshots of accounts that the
// sender owns, the acknowledgement of the receiver's deltas, and observations of backends. Most numbers are encoded as varints, and
// units as sixteenths.
type Message struct {
	Epoch        uint32        // epoch of the sender
	Interval     time.Duration // minimum interval between datagrams to the sender, in whole milliseconds
	Age          time.Duration // time since the start of the sender, in whole seconds, at most 255
	Seq          uint64        // sequence number of the deltas; 0 if there are none
	Deltas       []Delta
	Version      uint64 // version of the snapshots; a snapshot with a higher version replaces a snapshot with a lower version
	AckEpoch     uint32 // receiver's epoch to which the acknowledgement and the snapshots apply
	AckHigh      uint64 // highest sequence number of the receiver's deltas that the sender has applied
	AckMask      uint64 // bitmap of 32 sequence numbers up to AckHigh; bit i is 1 if AckHigh-i was applied
	Snapshots    []Snapshot
	Observations []Observation
}

// Delta reports the use of one customer's quota to the owner.
type Delta struct {
	Customer control.CustomerID
	Plan     control.PlanID
	Units    float64 // units that the sender consumed since its last report
	InFlight int     // submissions in flight at the sender (in strict mode, a number of units; see reportedInFlight)
	// Transfer is negative or 0 without strict mode and requests that many units from the pool of the hard limit. In strict mode it
	// is the number of granted units that were consumed or expired.
	Transfer float64
	// SetFirst and SetWidth describe the customer's set. With them, the owner knows the set before it receives a request of the customer.
	SetFirst    control.GatewayID
	UnitsWanted float64 // units that a pending request at the sender needs
	SetWidth    int
}

// Snapshot is the state of one customer's bucket that the owner sends to one reporter.
type Snapshot struct {
	Customer          control.CustomerID
	Level             float64 // units left in the bucket for the receiver
	Reporters         int     // number of recent reporters, including the receiver
	InFlightElsewhere int     // submissions in flight at gateways other than the receiver
	Grant             float64 // units from the hard limit's pool (in strict mode, units set aside for the receiver)
}

// Observation is the result of one submission to a backend. Limiters only carry observations from one host to another.
type Observation struct {
	BackendHash uint64 // last 24 bits of the backend's hash
	Product     control.ProductID
	// Ratio is the response time divided by the usual response time, or one of ObservedLost and ObservedFailed. The datagram holds it
	// in eighths.
	Ratio      float64
	Congestion Congestion
}

// Congestion is the conclusion from one submission about whether the backends as a whole are congested.
type Congestion int

// The values of Congestion. CongestionUnknown means that the submission shows neither congestion nor its absence.
const (
	CongestionUnknown Congestion = iota
	NotCongested
	Congested
)

// Special values of Observation.Ratio for submissions without a regular answer.
const (
	ObservedLost   = -1 // no answer or no connection
	ObservedFailed = -2 // an error as the answer
)

// toSixteenths converts units to sixteenths, rounded down and limited to maxCount. It returns 0 for negative units and NaN.
func toSixteenths(units float64) uint64 {
	if units <= 0 || math.IsNaN(units) {
		return 0
	}
	return uint64(math.Min(units*16, maxCount))
}

func (d Delta) appendTo(b []byte) []byte {
	b = binary.AppendUvarint(b, uint64(d.Customer))
	b = binary.AppendUvarint(b, uint64(d.Plan))
	b = binary.AppendUvarint(b, toSixteenths(d.Units))
	b = binary.AppendUvarint(b, uint64(d.InFlight))
	b = binary.AppendVarint(b, int64(max(min(d.Transfer*16, maxCount), -maxCount)))
	b = binary.AppendUvarint(b, uint64(d.SetFirst))
	b = binary.AppendUvarint(b, toSixteenths(d.UnitsWanted))
	return binary.AppendUvarint(b, uint64(d.SetWidth))
}

func (s Snapshot) appendTo(b []byte) []byte {
	b = binary.AppendUvarint(b, uint64(s.Customer))
	b = binary.AppendUvarint(b, toSixteenths(s.Level))
	b = binary.AppendUvarint(b, uint64(s.Reporters))
	b = binary.AppendUvarint(b, uint64(s.InFlightElsewhere))
	return binary.AppendUvarint(b, toSixteenths(s.Grant))
}

func (o Observation) appendTo(b []byte) []byte {
	ratio := byte(int(o.Ratio * 8))
	if o.Ratio < 0 {
		ratio = byte(int(256 + o.Ratio))
	}
	return append(b, byte(o.BackendHash), byte(o.BackendHash>>8), byte(o.BackendHash>>16), byte(o.Product)<<2|byte(o.Congestion), ratio)
}

// remainingBytes returns the number of bytes that can still be added to the message.
func (m *Message) remainingBytes() int { return maxMessageBytes - len(m.Encode()) }

// Encode returns the encoded message, which DecodeMessage reads.
func (m *Message) Encode() []byte {
	b := make([]byte, 0, maxMessageBytes)
	b = append(b, messageVersion)
	b = binary.LittleEndian.AppendUint32(b, m.Epoch)
	b = binary.AppendUvarint(b, uint64(m.Interval.Milliseconds()))
	b = append(b, byte(min(m.Age/time.Second, 255)))
	b = binary.AppendUvarint(b, m.Seq)
	b = append(b, byte(len(m.Deltas)))
	for _, d := range m.Deltas {
		b = d.appendTo(b)
	}
	b = binary.AppendUvarint(b, m.Version)
	b = binary.LittleEndian.AppendUint32(b, m.AckEpoch)
	b = binary.AppendUvarint(b, m.AckHigh)
	b = binary.LittleEndian.AppendUint32(b, uint32(m.AckMask))
	b = append(b, byte(len(m.Snapshots)))
	for _, s := range m.Snapshots {
		b = s.appendTo(b)
	}
	b = append(b, byte(len(m.Observations)))
	for _, o := range m.Observations {
		b = o.appendTo(b)
	}
	return b
}

// acknowledges reports whether the message acknowledges the given sequence number. A number that is 32 or more below AckHigh counts as
// acknowledged, because AckMask has no bit for it.
func (m *Message) acknowledges(seq uint64) bool {
	return m.AckHigh >= seq && (m.AckHigh-seq >= 32 || m.AckMask>>(m.AckHigh-seq)&1 == 1)
}
