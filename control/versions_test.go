package control

import (
	"encoding/hex"
	"reflect"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// A datagram between gateways as the version of 2 December 2026 words it, with every field set: it is read by this one, which words the
// same alike. Its form bears a number: one that differs needs another, and a version that reads both.
func TestDatagramOfTheVersionBefore(t *testing.T) {
	const words = "02070000001403090280808080200328042f02080605001000000000000b080000000c05000000018080808020940203021802efcdab160a01000000ff"
	m := &message{epoch: 7, interval: 20 * time.Millisecond, age: 3 * time.Second, seq: 9,
		deltas:  []delta{{customer: 1 << 33, plan: 3, units: 2.5, inFlight: 4, transfer: -1.5, setFirst: 2, unitsWanted: 0.5, setWidth: 6}, {customer: 5, units: 1}},
		version: 11, ackEpoch: 8, ackHigh: 12, ackMask: 5,
		snapshots:    []snapshot{{customer: 1 << 33, level: 17.25, reporters: 3, inFlightElsewhere: 2, grant: 1.5}},
		observations: []observation{{backendHash: 0xabcdef, product: 5, congestion: 2, ratio: 1.25}, {backendHash: 1, ratio: -1}}}
	b, err := hex.DecodeString(words)
	must.NoError(t, err)
	got, err := decodeMessage(b)
	must.NoError(t, err)
	must.True(t, reflect.DeepEqual(m, got))
	must.Eq(t, words, hex.EncodeToString(m.encode()))
}

// The shapes that a datagram takes, beside the one with every field set: a delta alone, an acknowledgement alone, the marks of a
// submission that was lost or failed, and figures past what a field holds, which are cut to its bound.
func TestDatagramsOfTheVersionBefore(t *testing.T) {
	for _, tc := range []struct {
		name  string
		sent  message
		taken *message // nil: as sent
		bytes string
	}{
		{"delta alone", message{epoch: 1, seq: 1, deltas: []delta{{customer: 1, units: 1}}}, nil, "0201000000000001010100100000000000000000000000000000000000"},
		{"acknowledgement alone", message{epoch: 1, ackEpoch: 2, ackHigh: 40, ackMask: 0xffffffff}, nil, "020100000000000000000200000028ffffffff0000"},
		{"marks", message{epoch: 1, version: 1, observations: []observation{{backendHash: observationHashMask, product: 63, congestion: congested, ratio: observedLost}, {ratio: observedFailed},
			{backendHash: 2, congestion: notCongested, ratio: 20}}}, nil, "020100000000000000010000000000000000000003fffffffeff00000000fe02000001a0"},
		{"past the bounds", message{epoch: 1<<32 - 1, interval: 16 * time.Second, age: time.Hour, seq: 1,
			deltas: []delta{{customer: 1 << 34, units: 1 << 20, transfer: -1 << 20}, {customer: 2, units: -1, transfer: 1 << 20}}},
			&message{epoch: 1<<32 - 1, interval: 16 * time.Second, age: 255 * time.Second, seq: 1,
				deltas: []delta{{customer: 1 << 34, units: 1 << 16, transfer: -1 << 16}, {customer: 2, transfer: 1 << 16}}}, "02ffffffff807dff010280808080400080804000ffff7f0000000200000080808001000000000000000000000000000000"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			must.Eq(t, tc.bytes, hex.EncodeToString(tc.sent.encode()))
			b, err := hex.DecodeString(tc.bytes)
			must.NoError(t, err)
			got, err := decodeMessage(b)
			must.NoError(t, err)
			want := &tc.sent
			if tc.taken != nil {
				want = tc.taken
			}
			must.True(t, reflect.DeepEqual(want, got))
		})
	}
}
