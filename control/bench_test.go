package control

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// benchmarkMessage is a message as full as a busy peer sends it: five deltas, eight snapshots, three observations.
func benchmarkMessage() *message {
	m := &message{epoch: 0x9f3a6c01, gap: 200 * time.Millisecond, age: 90 * time.Second, seq: 4711, version: 9182, ackEpoch: 0x71b2c3d5, ackHigh: 4699,
		ackMask: 0xffffffff}
	for i := range 5 {
		m.deltas = append(m.deltas, deltaLine{customer: CustomerID(1<<20 + 97*i), plan: 3, units: 2.5, out: i, part: -1.5, first: 2, wanted: 0.5, width: 6})
	}
	for i := range 8 {
		m.snaps = append(m.snaps, snapLine{customer: CustomerID(1<<20 + 131*i), left: 17.25, sharers: 3, outElse: 2, grant: 1.5})
	}
	for i := range 3 {
		m.sights = append(m.sights, sight{hash: uint64(0xabc + i), product: 5, crowd: 2, ratio: 1.25})
	}
	return m
}

func BenchmarkDatagramEncode(b *testing.B) {
	m := benchmarkMessage()
	must.LessEq(b, messageRoom, len(m.encode()))
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
	reporter, owner := NewQuota(1, 0, 2, 0, gatewayTerms), NewQuota(2, 1, 2, 0, gatewayTerms)
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
			if v, _ := reporter.Covered(c, Wish{Units: 1, Arrived: now, SLA: 400 * time.Millisecond}); v == Pass {
				reporter.Spend(c, 1)
			}
		}
		for _, payload, ok := reporter.Datagrams(); ok; _, payload, ok = reporter.Datagrams() {
			owner.PeerSaid(0, payload)
		}
		for _, payload, ok := owner.Datagrams(); ok; _, payload, ok = owner.Datagrams() {
			reporter.PeerSaid(1, payload)
		}
	}
}
