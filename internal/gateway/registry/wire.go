package registry

import "time"

// The forms in which records and messages go over links and onto a node's disk. gob goes by the names of fields: programs of
// other versions read these, so that a field keeps its name here whatever it is called in the code. A field that the other side
// does not know is passed over, one that it does not send is zero.

// WireRecord is a Record as gob sends and stores it.
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

// WireMessage is a Message as gob sends it.
type WireMessage struct {
	Nr     uint64       // Seq
	Words  []WireRecord // Updates
	Beats  []WireRecord // Heartbeats
	Doubts []WireRecord // Suspicions
	Acks   []uint64
	All    bool // FullSync

	Unreached []Slot // Unreachable
}

// ToWire gives records as they are sent and stored.
func ToWire(records []Record) []WireRecord {
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

// FromWire gives records that were sent or stored.
func FromWire(wire []WireRecord) []Record {
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

// Wire gives a message as it is sent.
func (m *Message) Wire() *WireMessage {
	return &WireMessage{Nr: m.Seq, Words: ToWire(m.Updates), Beats: ToWire(m.Heartbeats), Doubts: ToWire(m.Suspicions), Acks: m.Acks,
		All: m.FullSync, Unreached: m.Unreachable}
}

// Message gives a message that was sent.
func (w *WireMessage) Message() Message {
	return Message{Seq: w.Nr, Updates: FromWire(w.Words), Heartbeats: FromWire(w.Beats), Suspicions: FromWire(w.Doubts), Acks: w.Acks,
		FullSync: w.All, Unreachable: w.Unreached}
}
