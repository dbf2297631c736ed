package node

import (
	"bytes"
	"encoding/gob"
	"time"

	"clovergap/internal/gateway/replication"
	"clovergap/internal/gateway/statemachine"
)

// follower is a node that this one feeds.
type follower struct {
	upto   uint64                 // it was sent all up to here
	asked  uint64                 // and asked for what comes after this, last
	chunks bool                   // its program takes chunks
	had    *replication.Chunk     // what it has of a blob, whoever sent that
	out    replication.BlobSender // what it is being sent: kept until it has it
	log    bool                   // out is entries, else a state
	until  uint64                 // who has applied this has all of out
}

// feedTerms bound what is in flight to a follower, as to a member.
var feedTerms = replication.DefaultConfig()

// logMost is how many bytes of entries go in one blob.
const logMost = 256 << 10

// feed sends a follower what it lacks: entries as long as they are at hand, else the core's snapshot, and what follows it. What is
// more than a window goes in chunks, acknowledged by Follow.
func (h *Node) feed(addr string) {
	f, p := h.followers[addr], h.core.p
	for f.out.Blob == nil && f.upto < h.applied {
		entries, ok := p.EntriesAfter(f.upto, h.applied)
		if !ok {
			b := p.BlobToSend(f.upto+1, h.statesOut(f))
			if b == nil {
				return // it asks again
			}
			state := b.Bytes()
			if len(state) == 0 {
				state = statemachine.New().Snapshot()
			}
			if f.chunks && len(state) > feedTerms.MaxInflightBytes {
				if h.mayBeOld() {
					return
				}
				f.upto = b.Index()
				f.send(b, b.Index(), false)
			} else {
				f.upto = b.Index()
				h.links.Send(addr, &Frame{Feed: h.fresh(addr, &Feed{After: b.Index(), State: state})})
			}
			continue
		}
		var data [][]byte
		size, after := 0, f.upto
		for _, e := range entries {
			if size += len(e.Data) + 32; size > logMost && len(data) > 0 && f.chunks {
				break
			}
			data = append(data, dataOf(e))
		}
		f.upto += uint64(len(data))
		if f.chunks && size > feedTerms.MaxInflightBytes {
			var b bytes.Buffer
			gob.NewEncoder(&b).Encode(data) // of bytes: it can't fail
			f.send(replication.NewBlob(after, f.upto, b.Bytes()), f.upto, true)
		} else {
			h.links.Send(addr, &Frame{Feed: h.fresh(addr, &Feed{After: after, Entries: data})})
		}
	}
	if f.out.Blob == nil {
		return
	}
	now := h.e.Now()
	for c := f.out.NextChunk(&feedTerms, now); c != nil; c = f.out.NextChunk(&feedTerms, now) {
		h.links.Send(addr, &Frame{Feed: h.fresh(addr, &Feed{After: c.Index, Chunk: c, Log: f.log})})
	}
}

// oldStateFor is how long a member that has just started keeps a large state back while it has no word of a majority.
const oldStateFor = 2 * time.Second

// mayBeOld tells whether the state may be long out of date: this member has just come back, and knows of no leader yet. Who was sent it
// would be sent the newest after it; it asks again, or another. Where nobody leads for long it is better than nothing.
func (h *Node) mayBeOld() bool {
	_, _, word := h.contact()
	return !word && h.e.Now()-h.beganAt < oldStateFor
}

// send begins with a blob, from where the follower has it.
func (f *follower) send(b *replication.Blob, until uint64, log bool) {
	f.out, f.until, f.log = replication.BlobSender{Blob: b}, until, log
	if f.had != nil && f.had.Offset > 0 {
		f.out.Ack(f.had, 0)
	}
}

// feedAnew sends a follower what it asked for over a link that has just come up: what was sent since it asked may have been lost with the
// one before, or had none to go on.
func (h *Node) feedAnew(addr string) {
	f := h.followers[addr]
	if f == nil || h.core == nil {
		return
	}
	f.out, f.upto = replication.BlobSender{}, f.asked
	if f.asked < h.applied {
		h.feed(addr)
	} else {
		h.links.Send(addr, &Frame{Feed: h.fresh(addr, &Feed{After: h.applied})})
	}
}

// statesOut are the states that others are being sent.
func (h *Node) statesOut(but *follower) (all []*replication.Blob) {
	for _, addr := range h.following() {
		if f := h.followers[addr]; f != but && f.out.Blob != nil && !f.log {
			all = append(all, f.out.Blob)
		}
	}
	return all
}

// dataOf is what an entry has for those who follow: nothing, if it is the core's own.
func dataOf(e replication.Entry) []byte {
	if e.Kind == replication.EntryNormal {
		return e.Data
	}
	return nil
}

// asks takes where a follower stands.
func (f *follower) asks(w *Follow, h *Node) {
	f.chunks, f.had, f.asked = w.Chunks, w.Had, w.After
	switch {
	case f.out.Blob == nil:
		f.upto = w.After
	case w.After >= f.until:
		f.out, f.upto = replication.BlobSender{}, w.After
	default:
		f.out.Ack(w.Had, h.e.Now())
	}
}

// whole takes a chunk of what the node that is followed sends, and tells it what is had. The last one makes of it what one message
// would have brought; until then nothing of it is taken.
func (h *Node) whole(from string, f *Feed) bool {
	if f.Chunk == nil {
		return true
	}
	all, had := h.feedIn.Receive(f.Chunk)
	if all == nil {
		h.links.Send(from, &Frame{Follow: &Follow{After: h.applied, Clock: h.clock.Stamp(h.e.Now()), Had: had, Chunks: true}})
		return false
	}
	if !f.Log {
		f.State = all
	} else if err := gob.NewDecoder(bytes.NewReader(all)).Decode(&f.Entries); err != nil {
		h.warn(feedPart, "entries after %d can't be read: %v", f.After, err)
		return false
	}
	return true
}
