package registry

import (
	"encoding/gob"
	"io"
	"reflect"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// fullRecord returns a record in which every field is set.
func fullRecord(id string) Record {
	return Record{ID: id, Service: "service", Addr: "10.0.0.9:80", Zone: "zone", Generation: "generation", Capacity: 4, Phase: Draining,
		SlowStartLeft: time.Second, Seq: 5, Draining: true, Deregistered: true, Age: 2 * time.Second, Owner: 1, FencingToken: 3, LostOwner: 2}
}

// TestWireFormsKeepEveryField guards against a field that is added to Record or Message but not to the wire form. The value
// of such a field would be lost between two nodes or over a restart.
func TestWireFormsKeepEveryField(t *testing.T) {
	m := Message{Seq: 8, Updates: []Record{fullRecord("update")}, Heartbeats: []Record{fullRecord("heartbeat")},
		Suspicions: []Record{fullRecord("suspicion")}, Acks: []uint64{1, 2}, FullSync: true, Unstored: []uint64{2},
		Stored: []Departure{{ID: "departure", Deregistered: true}}, Unreachable: []Slot{3, 4}}
	for _, v := range []reflect.Value{reflect.ValueOf(m), reflect.ValueOf(m.Updates[0]), reflect.ValueOf(*m.ToWire()), reflect.ValueOf(m.ToWire().Words[0]),
		reflect.ValueOf(m.Stored[0]), reflect.ValueOf(m.ToWire().Stored[0])} {
		for i := range v.NumField() {
			must.False(t, v.Field(i).IsZero(), must.Sprintf("the field %s.%s is zero, but the test needs a value in each field", v.Type(), v.Type().Field(i).Name))
		}
	}
	must.Eq(t, m, m.ToWire().ToMessage())
	must.Eq(t, Message{}, (&Message{}).ToWire().ToMessage())
}

// BenchmarkWire measures the cost of sending a relayed heartbeat and a full message of updates to a link. It measures
// conversion with encoding, and encoding alone.
func BenchmarkWire(b *testing.B) {
	heartbeat := Message{Heartbeats: []Record{fullRecord("heartbeat")}}
	var updates Message
	for range maxUpdatesPerMessage {
		updates.Updates = append(updates.Updates, fullRecord("update"))
	}
	for name, m := range map[string]*Message{"heartbeat": &heartbeat, "updates": &updates} {
		encoder := gob.NewEncoder(io.Discard)
		must.NoError(b, encoder.Encode(m.ToWire()))
		b.Run(name+"/converted", func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				encoder.Encode(m.ToWire())
			}
		})
		b.Run(name+"/encoded", func(b *testing.B) {
			b.ReportAllocs()
			wire := m.ToWire()
			for b.Loop() {
				encoder.Encode(wire)
			}
		})
	}
}
