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

func config(generation, parent int) []byte {
	return fmt.Appendf(nil, `{"generation":%d,"parent_version":%d,"services":[{"name":"s"}],"vhosts":[{"hostname":"h.example",
"path_list":[{"name":"r","path_prefix":"/","variant":"pure","target":"s"}]}]}`, generation, parent)
}

func slotHolder(name string) membership.SlotHolder {
	return membership.SlotHolder{Name: name, Addr: name + ":1", Control: name + ":2", Zone: "z"}
}

// allEntryKinds is a short life of a core, with all that an entry may be.
func allEntryKinds() [][]byte {
	again := slotHolder("b")
	again.Name = "b2"
	return [][]byte{AssignSlotEntry(slotHolder("b")), EncodeEntry(KindReplaceConfig, config(3, 0)), AssignSlotEntry(slotHolder("a")), EncodeEntry(KindReplaceConfig, config(4, 0)),
		EncodeEntry(KindReplaceConfig, config(3, 0)), AssignSlotEntry(again), EncodeEntry('z', []byte("of a newer program")), nil, EncodeEntry(KindAssignSlot, []byte("no slot")),
		EncodeEntry(KindAmendConfig, []byte(`{"generation":5,"parent_version":3,"upserts":{"services":[{"name":"t"}]}}`)),
		EncodeEntry(KindReplaceConfig, []byte("{")), AssignSlotEntry(slotHolder("c")), EncodeEntry(KindReplaceConfig, config(9, 5)),
		rolloutEntry(rollout.Entry{Verb: rollout.Start, CallID: "m", Spec: testRollout}),
		rolloutEntry(rollout.Entry{Verb: rollout.Start, CallID: "m", Spec: testRollout}),
		rolloutEntry(rollout.Entry{Verb: rollout.Advance, Number: 1, Step: 2, FencingToken: 5}), EncodeEntry(KindRollout, []byte("{")),
		rolloutEntry(rollout.Entry{Verb: rollout.Rollback, Number: 1, Step: 1, FencingToken: 5, Reason: "bad"})}
}

var testRollout = &rollout.Spec{Service: "s", Old: "v1", New: "v2", Steps: []rollout.Step{{Share: 100,
	MinTime: rollout.Duration(time.Second)}}}

func rolloutEntry(e rollout.Entry) []byte {
	e.Service, e.Capacity = "s", rollout.Capacity{Baseline: 9, Canary: 9, PeakInUse: 5}
	return EncodeEntry(KindRollout, e.Encode())
}

// Every entry has its verdict; slots are given in order, and a node that asks again keeps its own under its new name.
func TestEntries(t *testing.T) {
	s := New()
	taken, already, conflict, invalid := routing.Accepted, routing.Duplicate, routing.Conflict, routing.Invalid
	for i, want := range []routing.Result{taken, taken, taken, conflict, already, already, invalid, invalid, invalid,
		taken, invalid, taken, taken, taken, already, conflict, invalid, taken} {
		e, before := allEntryKinds()[i], s.Snapshot()
		if len(e) > 0 && e[0] != byte(KindAssignSlot) && e[0] != 'z' { // told before as it comes
			v, _ := s.Decide(Kind(e[0]), e[1:])
			must.Eq(t, want, v)
		}
		v, err := s.Apply(e)
		must.Eq(t, want, v, must.Sprint(i))
		must.Eq(t, want == taken || want == already, err == nil, must.Sprint(i))
		if want == conflict || want == invalid {
			must.Eq(t, before, s.Snapshot())
		}
	}
	b := slotHolder("b")
	b.Name = "b2"
	must.Eq(t, []membership.SlotHolder{b, slotHolder("a"), slotHolder("c")}, s.Slots())
	must.Eq(t, 9, s.Configs.Version())
	must.Eq(t, config(9, 5), s.Configs.Body()) // a roll-out changes nothing of it
	must.Eq(t, rollout.RolledBack, s.Rollouts.Run("s").Phase)
	for i := range maxSlots { // they are bounded
		s.Apply(AssignSlotEntry(slotHolder(fmt.Sprint(i))))
	}
	must.Len(t, maxSlots, s.Slots())
}

// Whoever starts from a snapshot after any entry comes to the same as who folded all, whatever becomes of a third.
func TestRestoreAnywhere(t *testing.T) {
	all := allEntryKinds()
	whole := New()
	var snaps [][]byte
	for _, e := range all {
		snaps = append(snaps, whole.Snapshot())
		whole.Apply(e)
	}
	for i, snap := range snaps {
		s, err := Restore(snap)
		must.NoError(t, err)
		must.Eq(t, snap, s.Snapshot()) // the same bytes round trip
		for _, e := range all[i:] {
			s.Apply(e)
		}
		must.Eq(t, whole.Snapshot(), s.Snapshot(), must.Sprint(i))
		must.Eq(t, whole.Slots(), s.Slots())
		v, _ := s.Decide(KindReplaceConfig, config(3, 0)) // what was taken is known by its bytes
		must.Eq(t, routing.Duplicate, v)
	}
	var older bytes.Buffer // the snapshot of a program that knew no roll-outs
	must.NoError(t, gob.NewEncoder(&older).Encode(struct {
		Bills []byte
		Seats []membership.SlotHolder
	}{whole.Configs.Snapshot(), whole.Slots()}))
	s, err := Restore(older.Bytes())
	must.NoError(t, err)
	must.Eq(t, whole.Configs.Snapshot(), s.Configs.Snapshot())
	must.False(t, s.Rollouts.HasRollouts())
	v, _ := s.Apply(rolloutEntry(rollout.Entry{Verb: rollout.Start, Spec: testRollout}))
	must.Eq(t, routing.Accepted, v)
	for _, bad := range [][]byte{nil, []byte("x"), snaps[3][:len(snaps[3])/2]} {
		_, err := Restore(bad)
		must.Error(t, err)
	}
}
