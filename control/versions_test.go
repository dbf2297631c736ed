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
	m := &message{epoch: 7, gap: 20 * time.Millisecond, age: 3 * time.Second, seq: 9,
		deltas:  []deltaLine{{customer: 1 << 33, plan: 3, units: 2.5, out: 4, part: -1.5, first: 2, wanted: 0.5, width: 6}, {customer: 5, units: 1}},
		version: 11, ackEpoch: 8, ackHigh: 12, ackMask: 5,
		snaps:  []snapLine{{customer: 1 << 33, left: 17.25, sharers: 3, outElse: 2, grant: 1.5}},
		sights: []sight{{hash: 0xabcdef, product: 5, crowd: 2, ratio: 1.25}, {hash: 1, ratio: -1}}}
	b, err := hex.DecodeString(words)
	must.NoError(t, err)
	got, err := decodeMessage(b)
	must.NoError(t, err)
	must.True(t, reflect.DeepEqual(m, got))
	must.Eq(t, words, hex.EncodeToString(m.encode()))
}
