package quota

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"clovergap/control"
)

// newBenchmarkMessage returns a message as large as a peer with many customers sends. The message has five deltas, eight snapshots and
// three observations.
func newBenchmarkMessage() *Message {
	m := &Message{Epoch: 0x9f3a6c01, Interval: 200 * time.Millisecond, Age: 90 * time.Second, Seq: 4711, Version: 9182, AckEpoch: 0x71b2c3d5, AckHigh: 4699,
		AckMask: 0xffffffff}
	for i := range 5 {
		m.Deltas = append(m.Deltas, Delta{Customer: control.CustomerID(1<<20 + 97*i), Plan: 3, Units: 2.5, InFlight: i, Transfer: -1.5, SetFirst: 2, UnitsWanted: 0.5, SetWidth: 6})
	}
	for i := range 8 {
		m.Snapshots = append(m.Snapshots, Snapshot{Customer: control.CustomerID(1<<20 + 131*i), Level: 17.25, Reporters: 3, InFlightElsewhere: 2, Grant: 1.5})
	}
	for i := range 3 {
		m.Observations = append(m.Observations, Observation{BackendHash: uint64(0xabc + i), Product: 5, Congestion: 2, Ratio: 1.25})
	}
	return m
}

func BenchmarkDatagramEncode(b *testing.B) {
	m := newBenchmarkMessage()
	must.LessEq(b, maxMessageBytes, len(m.Encode()))
	b.ReportAllocs()
	for b.Loop() {
		m.Encode()
	}
}

func BenchmarkDatagramDecode(b *testing.B) {
	payload := newBenchmarkMessage().Encode()
	b.ReportAllocs()
	for b.Loop() {
		if _, err := DecodeMessage(payload); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkDatagramExchange measures one exchange of datagrams between two gateway nodes. The reporter sends deltas of eight
// customers to the owner, and the owner answers with snapshots.
func BenchmarkDatagramExchange(b *testing.B) {
	const customers = 8
	reporter, owner := NewLimiter(1, 0, 2, 0, gatewayConfig), NewLimiter(2, 1, 2, 0, gatewayConfig)
	owned := make([]control.CustomerID, 0, customers)
	for c := control.CustomerID(1); len(owned) < customers; c++ {
		if OwnerOf(c, 0, 2, 2) == 1 {
			owned = append(owned, c)
			reporter.SetLimit(c, 1000, 1000)
			owner.SetLimit(c, 1000, 1000)
		}
	}
	now := time.Duration(0)
	b.ReportAllocs()
	for b.Loop() {
		now += 250 * time.Millisecond
		reporter.SetNow(now)
		owner.SetNow(now)
		for _, c := range owned {
			if v, _ := reporter.Check(c, Request{Units: 1, Arrived: now, PendingUntil: now + 160*time.Millisecond}); v == Allowed {
				reporter.Consume(c, 1)
			}
		}
		for _, payload, ok := reporter.NextDatagram(); ok; _, payload, ok = reporter.NextDatagram() {
			owner.DatagramReceived(0, payload)
		}
		for _, payload, ok := owner.NextDatagram(); ok; _, payload, ok = owner.NextDatagram() {
			reporter.DatagramReceived(1, payload)
		}
	}
}
