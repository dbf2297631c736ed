package statemachine

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"clovergap/internal/gateway/membership"
	"clovergap/internal/gateway/rollout"
	"clovergap/internal/gateway/routing"
)

// configBody returns the body of an entry that replaces the configuration of version parent by one with the given generation.
func configBody(generation, parent int) []byte {
	return fmt.Appendf(nil, `{"generation":%d,"parent_version":%d,"services":[{"name":"s"}],"vhosts":[{"hostname":"h.example",
"path_list":[{"name":"r","path_prefix":"/","variant":"pure","target":"s"}]}]}`, generation, parent)
}

func testSlotHolder(name string) membership.SlotHolder {
	return membership.SlotHolder{Name: name, Addr: name + ":1", Control: name + ":2", Zone: "z"}
}

// entriesOfAllKinds returns a short log that contains entries of every kind, including duplicate, conflicting and invalid entries.
func entriesOfAllKinds() [][]byte {
	again := testSlotHolder("b")
	again.Name = "b2"
	return [][]byte{EncodeAssignSlotEntry(testSlotHolder("b")), EncodeEntry(KindReplaceConfig, configBody(3, 0)), EncodeAssignSlotEntry(testSlotHolder("a")),
		EncodeEntry(KindReplaceConfig, configBody(4, 0)),
		EncodeEntry(KindReplaceConfig, configBody(3, 0)), EncodeAssignSlotEntry(again), EncodeEntry('z', []byte("of a newer program")),
		nil, EncodeEntry(KindAssignSlot, []byte("no slot")),
		EncodeEntry(KindAmendConfig, []byte(`{"generation":5,"parent_version":3,"upserts":{"services":[{"name":"t"}]}}`)),
		EncodeEntry(KindReplaceConfig, []byte("{")), EncodeAssignSlotEntry(testSlotHolder("c")), EncodeEntry(KindReplaceConfig, configBody(9, 5)),
		encodeRolloutEntry(rollout.Entry{Verb: rollout.Start, CallID: "m", Spec: testRollout}),
		encodeRolloutEntry(rollout.Entry{Verb: rollout.Start, CallID: "m", Spec: testRollout}),
		encodeRolloutEntry(rollout.Entry{Verb: rollout.Advance, Number: 1, Step: 2, FencingToken: 5}), EncodeEntry(KindRollout, []byte("{")),
		encodeRolloutEntry(rollout.Entry{Verb: rollout.Rollback, Number: 1, Step: 1, FencingToken: 5, Reason: "bad"})}
}

var testRollout = &rollout.Spec{Service: "s", Old: "v1", New: "v2", Steps: []rollout.Step{{Share: 100,
	MinTime: rollout.Duration(time.Second)}}}

func encodeRolloutEntry(e rollout.Entry) []byte {
	e.Service, e.Capacity = "s", rollout.Capacity{Baseline: 9, Canary: 9, PeakInUse: 5}
	return EncodeEntry(KindRollout, e.Encode())
}

// Guards against a change of the results of entries, and against results of Decide that differ from those of Apply. Slots are assigned
// in order. A node that requests a slot again keeps its slot, and its record gets the new name.
func TestApplyResults(t *testing.T) {
	s := New()
	accepted, duplicate, conflict, invalid := routing.Accepted, routing.Duplicate, routing.Conflict, routing.Invalid
	for i, want := range []routing.Result{accepted, accepted, accepted, conflict, duplicate, duplicate, invalid, invalid, invalid,
		accepted, invalid, accepted, accepted, accepted, duplicate, conflict, invalid, accepted} {
		e, before := entriesOfAllKinds()[i], s.Snapshot()
		// Decide gives the same result as Apply.
		if len(e) > 0 && e[0] != byte(KindAssignSlot) && e[0] != 'z' {
			v, _ := s.Decide(Kind(e[0]), e[1:])
			must.Eq(t, want, v)
		}
		v, err := s.Apply(e)
		must.Eq(t, want, v, must.Sprint(i))
		must.Eq(t, want == accepted || want == duplicate, err == nil, must.Sprint(i))
		if want == conflict || want == invalid {
			must.Eq(t, before, s.Snapshot())
		}
	}
	b := testSlotHolder("b")
	b.Name = "b2"
	must.Eq(t, []membership.SlotHolder{b, testSlotHolder("a"), testSlotHolder("c")}, s.SlotHolders())
	must.Eq(t, 9, s.Configs.Version())
	must.Eq(t, configBody(9, 5), s.Configs.Body()) // a roll-out does not change the configuration
	must.Eq(t, rollout.RolledBack, s.Rollouts.Run("s").Phase)
	for i := range maxSlots { // the number of slots is bounded
		s.Apply(EncodeAssignSlotEntry(testSlotHolder(fmt.Sprint(i))))
	}
	must.Len(t, maxSlots, s.SlotHolders())
}

// Guards against a snapshot that loses state. A machine is restored from a snapshot taken before any one of the entries, and then
// applies the remaining entries. It must reach the same state as a machine that applied all entries.
func TestRestoreAfterAnyEntry(t *testing.T) {
	entries := entriesOfAllKinds()
	complete := New()
	var snapshots [][]byte
	for _, e := range entries {
		snapshots = append(snapshots, complete.Snapshot())
		complete.Apply(e)
	}
	for i, snapshot := range snapshots {
		s, err := Restore(snapshot)
		must.NoError(t, err)
		must.Eq(t, snapshot, s.Snapshot()) // a restored machine encodes to the same bytes
		for _, e := range entries[i:] {
			s.Apply(e)
		}
		must.Eq(t, complete.Snapshot(), s.Snapshot(), must.Sprint(i))
		must.Eq(t, complete.SlotHolders(), s.SlotHolders())
		v, _ := s.Decide(KindReplaceConfig, configBody(3, 0)) // a change that was accepted before is recognized by its bytes
		must.Eq(t, routing.Duplicate, v)
	}
	var older bytes.Buffer // a snapshot of a version without roll-outs
	must.NoError(t, gob.NewEncoder(&older).Encode(struct {
		Bills []byte
		Seats []membership.SlotHolder
	}{complete.Configs.Snapshot(), complete.SlotHolders()}))
	s, err := Restore(older.Bytes())
	must.NoError(t, err)
	must.Eq(t, complete.Configs.Snapshot(), s.Configs.Snapshot())
	must.False(t, s.Rollouts.HasRollouts())
	v, _ := s.Apply(encodeRolloutEntry(rollout.Entry{Verb: rollout.Start, Spec: testRollout}))
	must.Eq(t, routing.Accepted, v)
	for _, bad := range [][]byte{nil, []byte("x"), snapshots[3][:len(snapshots[3])/2]} {
		_, err := Restore(bad)
		must.Error(t, err)
	}
}
