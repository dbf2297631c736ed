package node

import (
	"maps"
	"slices"
	"time"

	"clovergap/internal/gateway/replication"
)

// Bounds of large calls.
const (
	// maxChunkedBody is the most bytes that the body of one call or reply may have.
	maxChunkedBody = maxControlBodyBytes + 64<<10
	// maxTransfers bounds the large calls and replies that are queued for one node, the one under way included.
	maxTransfers = 16
	// maxAssemblies bounds the nodes whose large calls are put together at one time.
	maxAssemblies = 4
	// assemblyTTL is how long what has come of a large call is kept for the same call to go on.
	assemblyTTL = 10 * time.Second
)

// callChunk is a chunk of the body of a call or a reply, whose header comes without its body, or acknowledges how much of that
// body has been received.
type callChunk struct {
	call     *forwardedCall
	reply    *callReply
	chunk    *replication.Chunk
	received *replication.Chunk // acknowledges all before its offset
}

// sameMessage reports whether two are of one call or reply.
func (c *callChunk) sameMessage(other *callChunk) bool {
	if c.call != nil && other.call != nil {
		return c.call.id == other.call.id
	}
	return c.reply != nil && other.reply != nil && c.reply.id == other.reply.id
}

// wellFormed reports whether a chunk is of a call or of a reply, within the bounds.
func (c *callChunk) wellFormed() bool {
	return c.chunk != nil && c.chunk.Size <= maxChunkedBody && (c.call == nil) != (c.reply == nil)
}

// transfer is a large call or reply on its way to a node.
type transfer struct {
	header        callChunk // without a chunk
	sequence      uint32    // of the call, if it is this node's
	deadline      time.Duration
	outgoing      replication.BlobSender
	lastChunkSent bool // the receiver may have all of it
}

// ofCall reports whether it carries this node's call of a number.
func (t *transfer) ofCall(sequence uint32) bool {
	return t.sequence == sequence && t.header.call != nil
}

// assembly is what one node has sent of a large call or reply.
type assembly struct {
	incoming   replication.BlobReceiver
	receivedAt time.Duration     // the last chunk
	call       callChunk         // the last call that was complete
	bodyID     replication.Chunk // names its body
	body       []byte            // kept so that the same again need not come again
}

// chunkedCalls carries large calls and replies between nodes. One that takes more than a window goes in chunks, as states and entries
// do: 16 KB in flight on a link, acknowledged by how much of it has come, so that heartbeats and small frames go between them. A
// chunk names its body by kind, checksum and size, so that the same call, sent again a while later, goes on where its first attempt broke off.
//
// Nothing of a call is acted on before all of it has come. So a call that ends before its last chunk was sent was taken by nobody, and
// its caller learns so at once.
type chunkedCalls struct {
	router      *callRouter
	supportedBy map[string]bool // nodes whose programs take chunks of calls
	outgoing    map[string][]*transfer
	incoming    map[string]*assembly
}

func newChunkedCalls(router *callRouter) chunkedCalls {
	return chunkedCalls{router, map[string]bool{}, map[string][]*transfer{}, map[string]*assembly{}}
}

// inOneFrame reports whether a body goes to a node as it is.
func (c *chunkedCalls) inOneFrame(to string, body []byte) bool {
	return len(body) <= streamConfig.MaxInflightBytes || !c.supportedBy[to]
}

// sendCall sends a call, by its number here; false if it can't be on its way.
func (c *chunkedCalls) sendCall(to string, sequence uint32, call *forwardedCall, deadline time.Duration) bool {
	if c.inOneFrame(to, call.body) {
		c.router.env.sendFrame(to, &Frame{Call: call.wire()})
		return true
	}
	header := *call
	header.body = nil
	return c.enqueue(to, &transfer{header: callChunk{call: &header}, sequence: sequence, deadline: deadline,
		outgoing: replication.BlobSender{Blob: replication.NewBlob(uint64(call.kind), 0, call.body)}})
}

// sendReply sends a reply. One that can't be sent is as one that was lost: the requester's deadline ends its call.
func (c *chunkedCalls) sendReply(to string, reply *callReply) {
	if c.inOneFrame(to, reply.body) {
		c.router.env.sendFrame(to, &Frame{Reply: reply.wire()})
		return
	}
	header := *reply
	header.body = nil
	c.enqueue(to, &transfer{header: callChunk{reply: &header}, deadline: c.router.env.now() + callTimeout,
		outgoing: replication.BlobSender{Blob: replication.NewBlob(uint64(reply.status), 1, reply.body)}})
}

func (c *chunkedCalls) enqueue(to string, t *transfer) bool {
	if len(c.outgoing[to]) >= maxTransfers {
		return false
	}
	c.outgoing[to] = append(c.outgoing[to], t)
	c.sendChunks(to)
	return true
}

// sendChunks sends a node what may be in flight to it: of one transfer after the other.
func (c *chunkedCalls) sendChunks(to string) {
	now, queue := c.router.env.now(), c.outgoing[to]
	for len(queue) > 0 && (queue[0].outgoing.IsComplete() || now >= queue[0].deadline) {
		queue = queue[1:]
	}
	if len(queue) == 0 {
		delete(c.outgoing, to)
		return
	}
	c.outgoing[to] = queue
	t := queue[0]
	for chunk := t.outgoing.NextChunk(&streamConfig, now); chunk != nil; chunk = t.outgoing.NextChunk(&streamConfig, now) {
		message := t.header
		message.chunk = chunk
		t.lastChunkSent = t.lastChunkSent || chunk.Offset+uint64(len(chunk.Data)) == chunk.Size
		c.router.env.sendFrame(to, &Frame{Part: message.wire()})
	}
}

// receive takes a chunk, or how much another node has of what is being sent to it.
func (c *chunkedCalls) receive(from string, m *callChunk) {
	switch {
	case m.received != nil:
		c.receiveAck(from, m)
	case !m.wellFormed():
	case m.reply != nil:
		c.receiveReplyChunk(from, m)
	default:
		c.receiveCallChunk(from, m)
	}
}

func (c *chunkedCalls) receiveAck(from string, m *callChunk) {
	if queue := c.outgoing[from]; len(queue) > 0 && queue[0].header.sameMessage(m) {
		queue[0].outgoing.HandleAck(m.received, c.router.env.now())
		c.sendChunks(from)
	}
}

// receiveReplyChunk takes a chunk of a reply. One whose call has ended is acknowledged and dropped.
func (c *chunkedCalls) receiveReplyChunk(from string, m *callChunk) {
	if !c.router.awaits(m.reply) {
		c.acknowledge(from, m, nil)
		return
	}
	body := c.assemble(from, m)
	if body == nil {
		return
	}
	reply := *m.reply
	reply.body = body
	delete(c.incoming, from)
	c.router.receiveReply(from, &reply)
}

// receiveCallChunk takes a chunk of a call. Where the same body has come before, nothing but the first chunk needs to.
func (c *chunkedCalls) receiveCallChunk(from string, m *callChunk) {
	a := c.assemblyFrom(from)
	switch known := a.body != nil && a.bodyID.SameBlob(m.chunk); {
	case known && a.call.sameMessage(m): // it is under way
		c.acknowledge(from, m, nil)
		return
	case known:
		c.acknowledge(from, m, nil)
	default:
		body := c.assemble(from, m)
		if body == nil {
			return
		}
		a.body, a.bodyID = body, *m.chunk
		a.bodyID.Data = nil
	}
	a.call = callChunk{call: m.call}
	call := *m.call
	call.body = a.body
	c.router.receiveCall(from, &call)
}

// assemble adds a chunk to what has come before, and gives the body once it is complete.
func (c *chunkedCalls) assemble(from string, m *callChunk) []byte {
	body, received := c.assemblyFrom(from).incoming.Receive(m.chunk)
	if body != nil || received != nil {
		c.acknowledge(from, m, received)
	}
	return body
}

// acknowledge acknowledges what has been received of the body that a chunk is of: nil means all of it.
func (c *chunkedCalls) acknowledge(to string, m *callChunk, received *replication.Chunk) {
	if received == nil {
		all := *m.chunk
		all.Offset, all.Data = all.Size, nil
		received = &all
	}
	c.router.env.sendFrame(to, &Frame{Part: (&callChunk{call: m.call, reply: m.reply, received: received}).wire()})
}

// assemblyFrom is where the body that a node sends is assembled. Where there are maxAssemblies of other nodes, the one that has been idle for
// longest is dropped, and its node sends from the beginning.
func (c *chunkedCalls) assemblyFrom(from string) *assembly {
	a := c.incoming[from]
	if a == nil {
		if len(c.incoming) >= maxAssemblies {
			delete(c.incoming, c.idlest())
		}
		a = &assembly{}
		c.incoming[from] = a
	}
	a.receivedAt = c.router.env.now()
	return a
}

// idlest is the node whose last chunk came the longest ago.
func (c *chunkedCalls) idlest() (oldest string) {
	for _, addr := range slices.Sorted(maps.Keys(c.incoming)) {
		if oldest == "" || c.incoming[addr].receivedAt < c.incoming[oldest].receivedAt {
			oldest = addr
		}
	}
	return oldest
}

// mayBeReceived reports whether a node that a call was sent to may have all of it.
func (c *chunkedCalls) mayBeReceived(to string, sequence uint32) bool {
	for _, t := range c.outgoing[to] {
		if t.ofCall(sequence) {
			return t.lastChunkSent
		}
	}
	return true
}

// cancelCall stops sending a call.
func (c *chunkedCalls) cancelCall(to string, sequence uint32) {
	queue := slices.DeleteFunc(c.outgoing[to], func(t *transfer) bool { return t.ofCall(sequence) })
	if c.outgoing[to] = queue; len(queue) == 0 {
		delete(c.outgoing, to)
	}
}

// tick sends again what was lost, and forgets what nobody goes on with.
func (c *chunkedCalls) tick() {
	for _, to := range slices.Sorted(maps.Keys(c.outgoing)) {
		c.sendChunks(to)
	}
	now := c.router.env.now()
	maps.DeleteFunc(c.incoming, func(_ string, a *assembly) bool { return now-a.receivedAt >= assemblyTTL })
}
