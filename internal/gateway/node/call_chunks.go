package node

import (
	"maps"
	"slices"
	"time"

	"clovergap/internal/gateway/replication"
)

// Large calls between nodes. A call or an answer that takes more than a window goes in chunks, as states and entries do: 16 KB in flight on
// a link, acknowledged by how much of it is had, so that heartbeats and small frames go between them. A chunk names what it is of by kind,
// sum and size, so that the same call, sent again a while later, goes on where its first try broke off.
//
// Nothing of a call is acted on before all of it has come. So a call that ends before its last chunk was sent was taken by nobody, and
// its caller is told so at once.

// Bounds of large calls.
const (
	maxChunkedBody = maxControlBodyBytes + 64<<10 // bytes of one
	maxTransfers   = 16                           // that wait for one node, those under way included
	maxAssemblies  = 4                            // nodes whose large calls are put together at one time
	assemblyTTL    = 10 * time.Second             // for the same call to go on
)

// CallChunk is a chunk of the body of a call or an answer, which come without it, or tells how much of that is had.
type CallChunk struct {
	Call  *Call
	Reply *Reply
	Chunk *replication.Chunk
	Had   *replication.Chunk
}

// sameMessage tells whether two are of one call or answer.
func (c *CallChunk) sameMessage(o *CallChunk) bool {
	if c.Call != nil && o.Call != nil {
		return c.Call.Asker == o.Call.Asker && c.Call.Nr == o.Call.Nr
	}
	return c.Reply != nil && o.Reply != nil && c.Reply.Asker == o.Reply.Asker && c.Reply.Nr == o.Reply.Nr
}

// transfer is a large call or answer on its way to a node.
type transfer struct {
	header        CallChunk // without a chunk
	sequence      uint32
	deadline      time.Duration
	outgoing      replication.BlobSender
	lastChunkSent bool // the last chunk was sent: the other one may have all of it
}

// assembly is what one node has sent of a large call or answer.
type assembly struct {
	incoming   replication.BlobReceiver
	receivedAt time.Duration
	call       CallChunk         // the last call that was whole
	bodyID     replication.Chunk // and its body, kept so that the same again need not come again
	body       []byte
}

// chunkedCalls are the large calls and answers of a node.
type chunkedCalls struct {
	supportedBy map[string]bool // whose programs take chunks of calls
	outgoing    map[string][]*transfer
	incoming    map[string]*assembly
}

func newChunkedCalls() chunkedCalls {
	return chunkedCalls{map[string]bool{}, map[string][]*transfer{}, map[string]*assembly{}}
}

// sendCall sends a call, nr of this node's own; false if it can't be on its way.
func (n *Node) sendCall(to string, nr uint32, c *Call, until time.Duration) bool {
	if len(c.Body) <= streamConfig.MaxInflightBytes || !n.chunked.supportedBy[to] {
		n.links.Send(to, &Frame{Call: c})
		return true
	}
	head := *c
	head.Body = nil
	return n.enqueueTransfer(to, &transfer{header: CallChunk{Call: &head}, sequence: nr, deadline: until,
		outgoing: replication.BlobSender{Blob: replication.NewBlob(uint64(c.Kind), 0, c.Body)}})
}

// sendReply sends an answer. One that can't be sent is as one that was lost: the asker's time ends its call.
func (n *Node) sendReply(to string, r *Reply) {
	if len(r.Body) <= streamConfig.MaxInflightBytes || !n.chunked.supportedBy[to] {
		n.links.Send(to, &Frame{Reply: r})
		return
	}
	head := *r
	head.Body = nil
	n.enqueueTransfer(to, &transfer{header: CallChunk{Reply: &head}, deadline: n.loop.Now() + callTimeout,
		outgoing: replication.BlobSender{Blob: replication.NewBlob(uint64(r.Status), 1, r.Body)}})
}

func (n *Node) enqueueTransfer(to string, t *transfer) bool {
	if len(n.chunked.outgoing[to]) >= maxTransfers {
		return false
	}
	n.chunked.outgoing[to] = append(n.chunked.outgoing[to], t)
	n.sendChunks(to)
	return true
}

// sendChunks sends a node what may be in flight to it: of one transfer after the other.
func (n *Node) sendChunks(to string) {
	now, queue := n.loop.Now(), n.chunked.outgoing[to]
	for len(queue) > 0 && (queue[0].outgoing.Complete() || now >= queue[0].deadline) {
		queue = queue[1:]
	}
	if len(queue) == 0 {
		delete(n.chunked.outgoing, to)
		return
	}
	n.chunked.outgoing[to] = queue
	t := queue[0]
	for c := t.outgoing.NextChunk(&streamConfig, now); c != nil; c = t.outgoing.NextChunk(&streamConfig, now) {
		part := t.header
		part.Chunk = c
		t.lastChunkSent = t.lastChunkSent || c.Offset+uint64(len(c.Data)) == c.Size
		n.links.Send(to, &Frame{Part: &part})
	}
}

// receiveChunk takes a chunk, or how much of one's own another node has.
func (n *Node) receiveChunk(from string, p *CallChunk) {
	switch {
	case p.Had != nil:
		if queue := n.chunked.outgoing[from]; len(queue) > 0 && queue[0].header.sameMessage(p) {
			queue[0].outgoing.Ack(p.Had, n.loop.Now())
			n.sendChunks(from)
		}
	case p.Chunk == nil || p.Chunk.Size > maxChunkedBody || (p.Call == nil) == (p.Reply == nil):
	case p.Reply != nil && (p.Reply.Asker != n.incarnation || n.pendingCalls[p.Reply.Nr] == nil):
		n.acknowledgeChunk(from, p, nil) // nobody waits for it
	case p.Reply != nil:
		if whole := n.assembleChunk(from, p); whole != nil {
			r := *p.Reply
			r.Body = whole
			delete(n.chunked.incoming, from)
			n.receiveReply(from, &r)
		}
	default:
		n.receiveCallChunk(from, p)
	}
}

// receiveCallChunk takes a chunk of a call. Of one whose body has come before, nothing but the first chunk needs to.
func (n *Node) receiveCallChunk(from string, p *CallChunk) {
	a := n.assemblyFrom(from)
	switch again := a.body != nil && a.bodyID.SameBlob(p.Chunk); {
	case again && a.call.sameMessage(p):
		n.acknowledgeChunk(from, p, nil) // it is under way
		return
	case again:
		n.acknowledgeChunk(from, p, nil)
	default:
		whole := n.assembleChunk(from, p)
		if whole == nil {
			return
		}
		a.body, a.bodyID = whole, *p.Chunk
		a.bodyID.Data = nil
	}
	a.call = CallChunk{Call: p.Call}
	c := *p.Call
	c.Body = a.body
	n.receiveCall(from, &c)
}

// assembleChunk puts a chunk to what has come before; it gives the whole once it is.
func (n *Node) assembleChunk(from string, p *CallChunk) []byte {
	whole, part := n.assemblyFrom(from).incoming.Receive(p.Chunk)
	if whole != nil || part != nil {
		n.acknowledgeChunk(from, p, part)
	}
	return whole
}

// acknowledgeChunk tells a node how much is had of what a chunk is of: nil means all.
func (n *Node) acknowledgeChunk(to string, p *CallChunk, had *replication.Chunk) {
	if had == nil {
		id := *p.Chunk
		id.Offset, id.Data = id.Size, nil
		had = &id
	}
	n.links.Send(to, &Frame{Part: &CallChunk{Call: p.Call, Reply: p.Reply, Had: had}})
}

// assemblyFrom is where what a node sends is put together. Where others have all places, the one that has been still longest gives way: it
// begins anew.
func (n *Node) assemblyFrom(from string) *assembly {
	a := n.chunked.incoming[from]
	if a == nil {
		if len(n.chunked.incoming) >= maxAssemblies {
			oldest := ""
			for _, addr := range slices.Sorted(maps.Keys(n.chunked.incoming)) {
				if oldest == "" || n.chunked.incoming[addr].receivedAt < n.chunked.incoming[oldest].receivedAt {
					oldest = addr
				}
			}
			delete(n.chunked.incoming, oldest)
		}
		a = &assembly{}
		n.chunked.incoming[from] = a
	}
	a.receivedAt = n.loop.Now()
	return a
}

// mayBeReceived tells whether the node that a call was sent to may have all of it.
func (n *Node) mayBeReceived(c *pendingCall, nr uint32) bool {
	if c.sentTo == "" {
		return false
	}
	for _, t := range n.chunked.outgoing[c.sentTo] {
		if t.sequence == nr && t.header.Call != nil {
			return t.lastChunkSent
		}
	}
	return true
}

// cancelTransfer takes a call off its way.
func (n *Node) cancelTransfer(to string, nr uint32) {
	queue := slices.DeleteFunc(n.chunked.outgoing[to], func(t *transfer) bool { return t.sequence == nr && t.header.Call != nil })
	if n.chunked.outgoing[to] = queue; len(queue) == 0 {
		delete(n.chunked.outgoing, to)
	}
}

// tickTransfers sends again what was lost, and forgets what nobody goes on with.
func (n *Node) tickTransfers() {
	for _, to := range slices.Sorted(maps.Keys(n.chunked.outgoing)) {
		n.sendChunks(to)
	}
	maps.DeleteFunc(n.chunked.incoming, func(_ string, a *assembly) bool { return n.loop.Now()-a.receivedAt >= assemblyTTL })
}
