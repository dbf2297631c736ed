package replication

import (
	"bytes"
	"encoding/gob"
	"testing"
)

// benchmarkMessages returns the most frequent messages (heartbeat, ack) and the largest messages that are sent without chunks (entries,
// snapshot).
func benchmarkMessages() map[string]Message {
	members := []Member{{ID: 21, Addr: "10.0.0.1:7110"}, {ID: 22, Addr: "10.0.0.2:7110"}, {ID: 23, Addr: "10.0.0.3:7110"}}
	data := bytes.Repeat([]byte("entry"), 50)
	head := Message{Kind: MsgAppend, ClusterID: 41, Recipient: 22, Term: 2, Index: 500, LogTerm: 2, Commit: 499, Seq: 9, ContactAgeMillis: -1}
	heartbeat, entries, snapshot := head, head, head
	for i := range uint64(16) {
		entries.Entries = append(entries.Entries, Entry{Index: 501 + i, Term: 2, Kind: EntryNormal, Data: data})
	}
	entries.Entries = append(entries.Entries, Entry{Index: 517, Term: 2, Kind: EntryConfigChange, Members: members})
	snapshot.Snapshot = &Snapshot{Index: 500, Term: 2, Members: members, State: bytes.Repeat(data, 32)}
	ack := Message{Kind: MsgAppendAck, ClusterID: 41, Recipient: 21, Term: 2, Index: 500, Seq: 9, AcceptsChunks: true, ContactAgeMillis: -1}
	return map[string]Message{"heartbeat": heartbeat, "entries": entries, "snapshot": snapshot, "ack": ack}
}

// BenchmarkAppendMessage encodes to the compact form. It reuses one buffer, like the code that sends messages over a link.
func BenchmarkAppendMessage(b *testing.B) {
	for name, message := range benchmarkMessages() {
		b.Run(name, func(b *testing.B) {
			buffer := AppendMessage(nil, &message)
			b.SetBytes(int64(len(buffer)))
			b.ReportAllocs()
			for b.Loop() {
				buffer = AppendMessage(buffer[:0], &message)
			}
		})
	}
}

// BenchmarkReadMessage decodes the compact form.
func BenchmarkReadMessage(b *testing.B) {
	for name, message := range benchmarkMessages() {
		b.Run(name, func(b *testing.B) {
			encoded := AppendMessage(nil, &message)
			b.SetBytes(int64(len(encoded)))
			b.ReportAllocs()
			for b.Loop() {
				if _, _, err := DecodeMessage(encoded); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkGobEncodeMessage encodes with gob, like the configuration log. Each link has one encoder, so the description of the types is
// sent only once.
func BenchmarkGobEncodeMessage(b *testing.B) {
	for name, message := range benchmarkMessages() {
		b.Run(name, func(b *testing.B) {
			var stream bytes.Buffer
			var wire WireMessage // a link allocates it anyway, as a part of the frame
			encoder := gob.NewEncoder(&stream)
			b.ReportAllocs()
			for b.Loop() {
				stream.Reset()
				wire = message.Wire()
				if err := encoder.Encode(&wire); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkGobMessage encodes and decodes with gob. One encoder and one decoder are used for all messages.
func BenchmarkGobMessage(b *testing.B) {
	for name, message := range benchmarkMessages() {
		b.Run(name, func(b *testing.B) {
			var stream bytes.Buffer
			var wire WireMessage
			encoder, decoder := gob.NewEncoder(&stream), gob.NewDecoder(&stream)
			b.ReportAllocs()
			for b.Loop() {
				var got WireMessage
				wire = message.Wire()
				if err := encoder.Encode(&wire); err != nil {
					b.Fatal(err)
				}
				if err := decoder.Decode(&got); err != nil {
					b.Fatal(err)
				}
				_ = got.Message()
			}
		})
	}
}

// BenchmarkGobEntry encodes and decodes an entry with gob, in the form on disk: the encoding of each entry includes a description of its type.
func BenchmarkGobEntry(b *testing.B) {
	entry := benchmarkMessages()["entries"].Entries[0]
	b.ReportAllocs()
	for b.Loop() {
		var stream bytes.Buffer
		var got Entry
		if err := gob.NewEncoder(&stream).Encode(&entry); err != nil {
			b.Fatal(err)
		}
		if err := gob.NewDecoder(&stream).Decode(&got); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkGobSnapshot encodes and decodes a snapshot in the form on disk.
func BenchmarkGobSnapshot(b *testing.B) {
	snapshot := benchmarkMessages()["snapshot"].Snapshot
	b.ReportAllocs()
	for b.Loop() {
		var stream bytes.Buffer
		var got Snapshot
		if err := gob.NewEncoder(&stream).Encode(snapshot); err != nil {
			b.Fatal(err)
		}
		if err := gob.NewDecoder(&stream).Decode(&got); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkWireMessage converts to the form that gob sends, and back.
func BenchmarkWireMessage(b *testing.B) {
	for name, message := range benchmarkMessages() {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				wire := message.Wire()
				_ = wire.Message()
			}
		})
	}
}
