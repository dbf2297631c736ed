package node

import (
	"bytes"
	"encoding/gob"
	"time"

	"clovergap/internal/gateway/replication"
	"clovergap/internal/gateway/statemachine"
)

// learner is a node that this one feeds.
type learner struct {
	sentIndex         uint64                 // it was sent all up to here
	requestedIndex    uint64                 // and asked for what comes after this, last
	acceptsChunks     bool                   // its program takes chunks
	receivedChunk     *replication.Chunk     // what it has of a blob, whoever sent that
	outgoing          replication.BlobSender // what it is being sent: kept until it has it
	sendsEntries      bool                   // out is entries, else a state
	outgoingLastIndex uint64                 // who has applied this has all of out
}

// streamConfig bound what is in flight to a follower, as to a member.
var streamConfig = replication.DefaultConfig()

// maxEntriesBlobBytes is how many bytes of entries go in one blob.
const maxEntriesBlobBytes = 256 << 10

// streamTo sends a follower what it lacks: entries as long as they are at hand, else the core's snapshot, and what follows it. What is
// more than a window goes in chunks, acknowledged by Follow.
func (n *Node) streamTo(addr string) {
	f, p := n.learners[addr], n.core.replica
	for f.outgoing.Blob == nil && f.sentIndex < n.appliedIndex {
		entries, ok := p.EntriesAfter(f.sentIndex, n.appliedIndex)
		if !ok {
			b := p.BlobToSend(f.sentIndex+1, n.snapshotsInFlight(f))
			if b == nil {
				return // it asks again
			}
			state := b.Bytes()
			if len(state) == 0 {
				state = statemachine.New().Snapshot()
			}
			if f.acceptsChunks && len(state) > streamConfig.MaxInflightBytes {
				if n.stateMayBeStale() {
					return
				}
				f.sentIndex = b.Index()
				f.beginBlob(b, b.Index(), false)
			} else {
				f.sentIndex = b.Index()
				n.links.Send(addr, &Frame{Feed: n.withContact(addr, &StreamData{After: b.Index(), State: state})})
			}
			continue
		}
		var data [][]byte
		size, after := 0, f.sentIndex
		for _, e := range entries {
			if size += len(e.Data) + 32; size > maxEntriesBlobBytes && len(data) > 0 && f.acceptsChunks {
				break
			}
			data = append(data, entryData(e))
		}
		f.sentIndex += uint64(len(data))
		if f.acceptsChunks && size > streamConfig.MaxInflightBytes {
			var b bytes.Buffer
			gob.NewEncoder(&b).Encode(data) // of bytes: it can't fail
			f.beginBlob(replication.NewBlob(after, f.sentIndex, b.Bytes()), f.sentIndex, true)
		} else {
			n.links.Send(addr, &Frame{Feed: n.withContact(addr, &StreamData{After: after, Entries: data})})
		}
	}
	if f.outgoing.Blob == nil {
		return
	}
	now := n.loop.Now()
	for c := f.outgoing.NextChunk(&streamConfig, now); c != nil; c = f.outgoing.NextChunk(&streamConfig, now) {
		n.links.Send(addr, &Frame{Feed: n.withContact(addr, &StreamData{After: c.Index, Chunk: c, Log: f.sendsEntries})})
	}
}

// staleStateGrace is how long a member that has just started keeps a large state back while it has no word of a majority.
const staleStateGrace = 2 * time.Second

// stateMayBeStale tells whether the state may be long out of date: this member has just come back, and knows of no leader yet. Who was sent it
// would be sent the newest after it; it asks again, or another. Where nobody leads for long it is better than nothing.
func (n *Node) stateMayBeStale() bool {
	now := n.loop.Now()
	_, _, known := n.contact.Contact(now)
	return !known && n.contact.Uptime(now) < staleStateGrace
}

// beginBlob begins with a blob, from where the follower has it.
func (l *learner) beginBlob(b *replication.Blob, until uint64, log bool) {
	l.outgoing, l.outgoingLastIndex, l.sendsEntries = replication.BlobSender{Blob: b}, until, log
	if l.receivedChunk != nil && l.receivedChunk.Offset > 0 {
		l.outgoing.Ack(l.receivedChunk, 0)
	}
}

// resumeStream sends a follower what it asked for over a link that has just come up: what was sent since it asked may have been lost with the
// one before, or had none to go on.
func (n *Node) resumeStream(addr string) {
	f := n.learners[addr]
	if f == nil || n.core == nil {
		return
	}
	f.outgoing, f.sentIndex = replication.BlobSender{}, f.requestedIndex
	if f.requestedIndex < n.appliedIndex {
		n.streamTo(addr)
	} else {
		n.links.Send(addr, &Frame{Feed: n.withContact(addr, &StreamData{After: n.appliedIndex})})
	}
}

// snapshotsInFlight are the states that others are being sent.
func (n *Node) snapshotsInFlight(but *learner) (all []*replication.Blob) {
	for _, addr := range n.learnerAddrs() {
		if f := n.learners[addr]; f != but && f.outgoing.Blob != nil && !f.sendsEntries {
			all = append(all, f.outgoing.Blob)
		}
	}
	return all
}

// entryData is what an entry has for those who follow: nothing, if it is the core's own.
func entryData(e replication.Entry) []byte {
	if e.Kind == replication.EntryNormal {
		return e.Data
	}
	return nil
}

// handleRequest takes where a follower stands.
func (l *learner) handleRequest(w *StreamRequest, h *Node) {
	l.acceptsChunks, l.receivedChunk, l.requestedIndex = w.Chunks, w.Had, w.After
	switch {
	case l.outgoing.Blob == nil:
		l.sentIndex = w.After
	case w.After >= l.outgoingLastIndex:
		l.outgoing, l.sentIndex = replication.BlobSender{}, w.After
	default:
		l.outgoing.Ack(w.Had, h.loop.Now())
	}
}

// assembleStream takes a chunk of what the node that is followed sends, and tells it what is had. The last one makes of it what one message
// would have brought; until then nothing of it is taken.
func (n *Node) assembleStream(from string, f *StreamData) bool {
	if f.Chunk == nil {
		return true
	}
	all, had := n.incomingBlob.Receive(f.Chunk)
	if all == nil {
		n.links.Send(from, &Frame{Follow: &StreamRequest{After: n.appliedIndex, Clock: n.contact.Stamp(n.loop.Now()), Had: had, Chunks: true}})
		return false
	}
	if !f.Log {
		f.State = all
	} else if err := gob.NewDecoder(bytes.NewReader(all)).Decode(&f.Entries); err != nil {
		n.warn(streamPart, "entries after %d can't be read: %v", f.After, err)
		return false
	}
	return true
}
