package registry

import "time"

// This file defines the encoded forms of records and messages on links and on a node's disk. gob identifies fields by name,
// and other program versions read these forms. The fields here must therefore never be renamed, even if the fields of Record
// and Message are renamed. gob ignores a received field that it does not know. A field that was not sent is zero.

// WireRecord is the form of a Record that gob sends and stores. If a field has another name in Record, a comment gives that
// name.
type WireRecord struct {
	ID         string
	Service    string
	Addr       string
	Zone       string
	Generation string
	Capacity   int
	Phase      Phase
	ColdLeft   time.Duration // SlowStartLeft
	Seq        uint64

	Drained bool // Draining
	Final   bool // Deregistered
	Age     time.Duration
	Keeper  Slot   // Owner
	Fence   uint64 // FencingToken
	Missed  Slot   // LostOwner
}

// WireMessage is the form of a Message that gob sends. If a field has another name in Message, a comment gives that name.
type WireMessage struct {
	Nr     uint64       // Seq
	Words  []WireRecord // Updates
	Beats  []WireRecord // Heartbeats
	Doubts []WireRecord // Suspicions
	Acks   []uint64
	All    bool // FullSync

	Unreached []Slot // Unreachable
}

// ToWireRecords converts records to the form in which they are sent and stored. It returns nil for no records.
func ToWireRecords(records []Record) []WireRecord {
	if len(records) == 0 {
		return nil
	}
	wire := make([]WireRecord, len(records))
	for i := range records {
		r := &records[i]
		wire[i] = WireRecord{ID: r.ID, Service: r.Service, Addr: r.Addr, Zone: r.Zone, Generation: r.Generation, Capacity: r.Capacity,
			Phase: r.Phase, ColdLeft: r.SlowStartLeft, Seq: r.Seq, Drained: r.Draining, Final: r.Deregistered, Age: r.Age, Keeper: r.Owner,
			Fence: r.FencingToken, Missed: r.LostOwner}
	}
	return wire
}

// FromWireRecords converts sent or stored records to Records. It returns nil for no records.
func FromWireRecords(wire []WireRecord) []Record {
	if len(wire) == 0 {
		return nil
	}
	records := make([]Record, len(wire))
	for i := range wire {
		w := &wire[i]
		records[i] = Record{ID: w.ID, Service: w.Service, Addr: w.Addr, Zone: w.Zone, Generation: w.Generation, Capacity: w.Capacity,
			Phase: w.Phase, SlowStartLeft: w.ColdLeft, Seq: w.Seq, Draining: w.Drained, Deregistered: w.Final, Age: w.Age, Owner: w.Keeper,
			FencingToken: w.Fence, LostOwner: w.Missed}
	}
	return records
}

// ToWire converts a message to the form in which it is sent.
func (m *Message) ToWire() *WireMessage {
	return &WireMessage{Nr: m.Seq, Words: ToWireRecords(m.Updates), Beats: ToWireRecords(m.Heartbeats), Doubts: ToWireRecords(m.Suspicions), Acks: m.Acks,
		All: m.FullSync, Unreached: m.Unreachable}
}

// ToMessage converts a received message to a Message.
func (w *WireMessage) ToMessage() Message {
	return Message{Seq: w.Nr, Updates: FromWireRecords(w.Words), Heartbeats: FromWireRecords(w.Beats), Suspicions: FromWireRecords(w.Doubts), Acks: w.Acks,
		FullSync: w.All, Unreachable: w.Unreached}
}
