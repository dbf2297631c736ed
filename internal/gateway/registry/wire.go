package registry

import "time"

// This file defines the encoded forms of records and messages on links and on a node's disk. gob identifies fields by name,
// and other program versions read these forms. The fields here must therefore never be renamed, even if the fields of Record
// and Message are renamed. gob ignores a received field that it does not know. A field that was not sent is zero.

// WireRecord is the form of a Record that gob sends and stores. The encoded form keeps the names of older program versions, so
// some fields have another name than in Record. The comment of such a field says what the value is and names the field of Record.
type WireRecord struct {
	ID         string
	Service    string
	Addr       string
	Zone       string
	Generation string
	Capacity   int
	Phase      Phase
	ColdLeft   time.Duration // remaining slow start when the record was made (Record.SlowStartLeft)
	Seq        uint64

	Drained bool // the backend has reported that it is draining (Record.Draining)
	Final   bool // the backend has deregistered (Record.Deregistered)
	Age     time.Duration
	Keeper  Slot   // node that watches the backend for missed heartbeats (Record.Owner)
	Fence   uint64 // number of changes of the backend's owner (Record.FencingToken)
	Missed  Slot   // former owner that the present owner no longer reached, or NoSlot (Record.LostOwner)
}

// WireMessage is the form of a Message that gob sends. The encoded form keeps the names of older program versions, so some
// fields have another name than in Message. The comment of such a field says what the value is and names the field of Message.
type WireMessage struct {
	Nr     uint64       // sequence number of the sender's messages to the receiver (Message.Seq)
	Words  []WireRecord // changed records, or a part of a full sync (Message.Updates)
	Beats  []WireRecord // heartbeats of backends that called a node which is not their owner (Message.Heartbeats)
	Doubts []WireRecord // records of backends at whose address another backend answered (Message.Suspicions)
	Acks   []uint64     // sequence numbers of the received messages
	All    bool         // the sender starts a full sync with this message (Message.FullSync)

	// Those of Acks whose departures are not all on the sender's disk yet.
	Unstored []uint64
	Stored   []WireDeparture // departures of messages from the receiver that are now on the sender's disk

	Unreached []Slot // nodes with a disk that the sender does not reach and the receiver may reach (Message.Unreachable)
}

// WireDeparture is the form of a Departure that gob sends.
type WireDeparture struct {
	ID           string
	Deregistered bool
}

// toWireDepartures converts departures to the form in which they are sent. It returns nil for no departures.
func toWireDepartures(departures []Departure) (wire []WireDeparture) {
	for _, d := range departures {
		wire = append(wire, WireDeparture(d))
	}
	return wire
}

// fromWireDepartures converts sent departures to Departures. It returns nil for no departures.
func fromWireDepartures(wire []WireDeparture) (departures []Departure) {
	for _, w := range wire {
		departures = append(departures, Departure(w))
	}
	return departures
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
		All: m.FullSync, Unstored: m.Unstored, Stored: toWireDepartures(m.Stored), Unreached: m.Unreachable}
}

// ToMessage converts a received message to a Message.
func (w *WireMessage) ToMessage() Message {
	return Message{Seq: w.Nr, Updates: FromWireRecords(w.Words), Heartbeats: FromWireRecords(w.Beats), Suspicions: FromWireRecords(w.Doubts), Acks: w.Acks,
		FullSync: w.All, Unstored: w.Unstored, Stored: fromWireDepartures(w.Stored), Unreachable: w.Unreached}
}
