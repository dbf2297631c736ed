package quota

import (
	"encoding/hex"
	"reflect"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestDatagramFormatIsUnchanged guards against a change of the datagram format without a new version number. The test decodes a
// datagram that was recorded on 2 December 2026 and has every field set. It then encodes the same message. A change of the format
// needs a new version number and code that reads both versions.
func TestDatagramFormatIsUnchanged(t *testing.T) {
	const encoded = "02070000001403090280808080200328042f02080605001000000000000b080000000c05000000018080808020940203021802efcdab160a01000000ff"
	m := &Message{Epoch: 7, Interval: 20 * time.Millisecond, Age: 3 * time.Second, Seq: 9,
		Deltas:  []Delta{{Customer: 1 << 33, Plan: 3, Units: 2.5, InFlight: 4, Transfer: -1.5, SetFirst: 2, UnitsWanted: 0.5, SetWidth: 6}, {Customer: 5, Units: 1}},
		Version: 11, AckEpoch: 8, AckHigh: 12, AckMask: 5,
		Snapshots:    []Snapshot{{Customer: 1 << 33, Level: 17.25, Reporters: 3, InFlightElsewhere: 2, Grant: 1.5}},
		Observations: []Observation{{BackendHash: 0xabcdef, Product: 5, Congestion: 2, Ratio: 1.25}, {BackendHash: 1, Ratio: -1}}}
	b, err := hex.DecodeString(encoded)
	must.NoError(t, err)
	got, err := DecodeMessage(b)
	must.NoError(t, err)
	must.True(t, reflect.DeepEqual(m, got))
	must.Eq(t, encoded, hex.EncodeToString(m.Encode()))
}

// TestDatagramVariantsKeepTheirFormat guards against a format change that TestDatagramFormatIsUnchanged does not detect. It covers a
// delta alone, an acknowledgement alone, the special ratios of a lost and a failed submission, and values above the limits of their
// fields. Such values are reduced to the limits.
func TestDatagramVariantsKeepTheirFormat(t *testing.T) {
	for _, tc := range []struct {
		name    string
		sent    Message
		decoded *Message // message that DecodeMessage must return; nil means that this message equals sent
		bytes   string   // encoding of sent in hexadecimal digits
	}{
		{"delta alone", Message{Epoch: 1, Seq: 1, Deltas: []Delta{{Customer: 1, Units: 1}}}, nil, "0201000000000001010100100000000000000000000000000000000000"},
		{"acknowledgement alone", Message{Epoch: 1, AckEpoch: 2, AckHigh: 40, AckMask: 0xffffffff}, nil, "020100000000000000000200000028ffffffff0000"},
		{"special ratios", Message{Epoch: 1, Version: 1, Observations: []Observation{{BackendHash: ObservationHashMask, Product: 63, Congestion: Congested, Ratio: ObservedLost}, {Ratio: ObservedFailed},
			{BackendHash: 2, Congestion: NotCongested, Ratio: 20}}}, nil, "020100000000000000010000000000000000000003fffffffeff00000000fe02000001a0"},
		{"values above or below the limits of their fields", Message{Epoch: 1<<32 - 1, Interval: 16 * time.Second, Age: time.Hour, Seq: 1,
			Deltas: []Delta{{Customer: 1 << 34, Units: 1 << 20, Transfer: -1 << 20}, {Customer: 2, Units: -1, Transfer: 1 << 20}}},
			&Message{Epoch: 1<<32 - 1, Interval: 16 * time.Second, Age: 255 * time.Second, Seq: 1,
				Deltas: []Delta{{Customer: 1 << 34, Units: 1 << 16, Transfer: -1 << 16}, {Customer: 2, Transfer: 1 << 16}}}, "02ffffffff807dff010280808080400080804000ffff7f0000000200000080808001000000000000000000000000000000"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			must.Eq(t, tc.bytes, hex.EncodeToString(tc.sent.Encode()))
			b, err := hex.DecodeString(tc.bytes)
			must.NoError(t, err)
			got, err := DecodeMessage(b)
			must.NoError(t, err)
			want := &tc.sent
			if tc.decoded != nil {
				want = tc.decoded
			}
			must.True(t, reflect.DeepEqual(want, got))
		})
	}
}

// TestDecodeErrorsAreDistinguishable guards against the same error for two causes. DecodeMessage must return different errors for an
// unknown format version and for a malformed datagram.
func TestDecodeErrorsAreDistinguishable(t *testing.T) {
	whole := (&Message{Epoch: 1, Seq: 1, Deltas: []Delta{{Customer: 1, Units: 1}}}).Encode()
	for _, tc := range []struct {
		name    string
		payload []byte
		want    error
	}{
		{"empty payload", nil, ErrMessageVersion},
		{"unknown format version", append([]byte{messageVersion + 1}, whole[1:]...), ErrMessageVersion},
		{"last byte is missing", whole[:len(whole)-1], ErrMalformed},
		{"one extra byte at the end", append(whole[:len(whole):len(whole)], 0), ErrMalformed},
		{"customer ID above maxCustomer", (&Message{Epoch: 1, Seq: 1, Deltas: []Delta{{Customer: maxCustomer + 1}}}).Encode(), ErrMalformed},
	} {
		t.Run(tc.name, func(t *testing.T) {
			_, err := DecodeMessage(tc.payload)
			must.ErrorIs(t, err, tc.want)
		})
	}
}
