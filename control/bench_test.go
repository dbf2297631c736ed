package control

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// benchmarkMessage is a message as full as a busy peer sends it: five deltas, eight snapshots, three observations.
func benchmarkMessage() *message {
	m := &message{epoch: 0x9f3a6c01, interval: 200 * time.Millisecond, age: 90 * time.Second, seq: 4711, version: 9182, ackEpoch: 0x71b2c3d5, ackHigh: 4699,
		ackMask: 0xffffffff}
	for i := range 5 {
		m.deltas = append(m.deltas, delta{customer: CustomerID(1<<20 + 97*i), plan: 3, units: 2.5, inFlight: i, transfer: -1.5, setFirst: 2, unitsWanted: 0.5, setWidth: 6})
	}
	for i := range 8 {
		m.snapshots = append(m.snapshots, snapshot{customer: CustomerID(1<<20 + 131*i), level: 17.25, reporters: 3, inFlightElsewhere: 2, grant: 1.5})
	}
	for i := range 3 {
		m.observations = append(m.observations, observation{backendHash: uint64(0xabc + i), product: 5, congestion: 2, ratio: 1.25})
	}
	return m
}

func BenchmarkDatagramEncode(b *testing.B) {
	m := benchmarkMessage()
	must.LessEq(b, maxMessageBytes, len(m.encode()))
	b.ReportAllocs()
	for b.Loop() {
		m.encode()
	}
}

func BenchmarkDatagramDecode(b *testing.B) {
	payload := benchmarkMessage().encode()
	b.ReportAllocs()
	for b.Loop() {
		if _, err := decodeMessage(payload); err != nil {
			b.Fatal(err)
		}
	}
}

// One exchange of the quota as the gateway uses it: use is reported to the owner, which answers with a snapshot.
func BenchmarkDatagramExchange(b *testing.B) {
	const customers = 8
	reporter, owner := NewLimiter(1, 0, 2, 0, gatewayTerms), NewLimiter(2, 1, 2, 0, gatewayTerms)
	owned := make([]CustomerID, 0, customers)
	for c := CustomerID(1); len(owned) < customers; c++ {
		if ownerOf(c, 0, 2, 2) == 1 {
			owned = append(owned, c)
			reporter.SetLimit(c, 1000, 1000)
			owner.SetLimit(c, 1000, 1000)
		}
	}
	now := time.Duration(0)
	b.ReportAllocs()
	for b.Loop() {
		now += 250 * time.Millisecond
		reporter.Now(now)
		owner.Now(now)
		for _, c := range owned {
			if v, _ := reporter.Check(c, Request{Units: 1, Arrived: now, SLA: 400 * time.Millisecond}); v == Allowed {
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
