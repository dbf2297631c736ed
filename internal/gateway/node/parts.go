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
	partSize      = controlBound + 64<<10 // bytes of one
	transfersMost = 16                    // that wait for one node, those under way included
	assembliesOf  = 4                     // nodes whose large calls are put together at one time
	assemblyKept  = 10 * time.Second      // for the same call to go on
)

// Part is a chunk of the body of a call or an answer, which come without it, or tells how much of that is had.
type Part struct {
	Call  *Call
	Reply *Reply
	Chunk *replication.Chunk
	Had   *replication.Chunk
}

// same tells whether two are of one call or answer.
func (p *Part) same(o *Part) bool {
	if p.Call != nil && o.Call != nil {
		return p.Call.Asker == o.Call.Asker && p.Call.Nr == o.Call.Nr
	}
	return p.Reply != nil && o.Reply != nil && p.Reply.Asker == o.Reply.Asker && p.Reply.Nr == o.Reply.Nr
}

// transfer is a large call or answer on its way to a node.
type transfer struct {
	part  Part // without a chunk
	nr    uint32
	until time.Duration
	out   replication.BlobSender
	all   bool // the last chunk was sent: the other one may have all of it
}

// assembly is what one node has sent of a large call or answer.
type assembly struct {
	in    replication.BlobReceiver
	at    time.Duration
	call  Part              // the last call that was whole
	id    replication.Chunk // and its body, kept so that the same again need not come again
	whole []byte
}

// parts are the large calls and answers of a node.
type parts struct {
	takes map[string]bool // whose programs take chunks of calls
	out   map[string][]*transfer
	in    map[string]*assembly
}

func newParts() parts {
	return parts{map[string]bool{}, map[string][]*transfer{}, map[string]*assembly{}}
}

// sendCall sends a call, nr of this node's own; false if it can't be on its way.
func (h *Node) sendCall(to string, nr uint32, c *Call, until time.Duration) bool {
	if len(c.Body) <= feedTerms.MaxInflightBytes || !h.parts.takes[to] {
		h.links.Send(to, &Frame{Call: c})
		return true
	}
	head := *c
	head.Body = nil
	return h.transfer(to, &transfer{part: Part{Call: &head}, nr: nr, until: until,
		out: replication.BlobSender{Blob: replication.NewBlob(uint64(c.Kind), 0, c.Body)}})
}

// sendReply sends an answer. One that can't be sent is as one that was lost: the asker's time ends its call.
func (h *Node) sendReply(to string, r *Reply) {
	if len(r.Body) <= feedTerms.MaxInflightBytes || !h.parts.takes[to] {
		h.links.Send(to, &Frame{Reply: r})
		return
	}
	head := *r
	head.Body = nil
	h.transfer(to, &transfer{part: Part{Reply: &head}, until: h.e.Now() + callFor,
		out: replication.BlobSender{Blob: replication.NewBlob(uint64(r.Status), 1, r.Body)}})
}

func (h *Node) transfer(to string, t *transfer) bool {
	if len(h.parts.out[to]) >= transfersMost {
		return false
	}
	h.parts.out[to] = append(h.parts.out[to], t)
	h.sendParts(to)
	return true
}

// sendParts sends a node what may be in flight to it: of one transfer after the other.
func (h *Node) sendParts(to string) {
	now, queue := h.e.Now(), h.parts.out[to]
	for len(queue) > 0 && (queue[0].out.Complete() || now >= queue[0].until) {
		queue = queue[1:]
	}
	if len(queue) == 0 {
		delete(h.parts.out, to)
		return
	}
	h.parts.out[to] = queue
	t := queue[0]
	for c := t.out.NextChunk(&feedTerms, now); c != nil; c = t.out.NextChunk(&feedTerms, now) {
		part := t.part
		part.Chunk = c
		t.all = t.all || c.Offset+uint64(len(c.Data)) == c.Size
		h.links.Send(to, &Frame{Part: &part})
	}
}

// partHeard takes a chunk, or how much of one's own another node has.
func (h *Node) partHeard(from string, p *Part) {
	switch {
	case p.Had != nil:
		if queue := h.parts.out[from]; len(queue) > 0 && queue[0].part.same(p) {
			queue[0].out.Ack(p.Had, h.e.Now())
			h.sendParts(from)
		}
	case p.Chunk == nil || p.Chunk.Size > partSize || (p.Call == nil) == (p.Reply == nil):
	case p.Reply != nil && (p.Reply.Asker != h.life || h.calls[p.Reply.Nr] == nil):
		h.had(from, p, nil) // nobody waits for it
	case p.Reply != nil:
		if whole := h.takePart(from, p); whole != nil {
			r := *p.Reply
			r.Body = whole
			delete(h.parts.in, from)
			h.answered(from, &r)
		}
	default:
		h.callPartHeard(from, p)
	}
}

// callPartHeard takes a chunk of a call. Of one whose body has come before, nothing but the first chunk needs to.
func (h *Node) callPartHeard(from string, p *Part) {
	a := h.assembly(from)
	switch again := a.whole != nil && a.id.SameBlob(p.Chunk); {
	case again && a.call.same(p):
		h.had(from, p, nil) // it is under way
		return
	case again:
		h.had(from, p, nil)
	default:
		whole := h.takePart(from, p)
		if whole == nil {
			return
		}
		a.whole, a.id = whole, *p.Chunk
		a.id.Data = nil
	}
	a.call = Part{Call: p.Call}
	c := *p.Call
	c.Body = a.whole
	h.called(from, &c)
}

// takePart puts a chunk to what has come before; it gives the whole once it is.
func (h *Node) takePart(from string, p *Part) []byte {
	whole, part := h.assembly(from).in.Receive(p.Chunk)
	if whole != nil || part != nil {
		h.had(from, p, part)
	}
	return whole
}

// had tells a node how much is had of what a chunk is of: nil means all.
func (h *Node) had(to string, p *Part, had *replication.Chunk) {
	if had == nil {
		id := *p.Chunk
		id.Offset, id.Data = id.Size, nil
		had = &id
	}
	h.links.Send(to, &Frame{Part: &Part{Call: p.Call, Reply: p.Reply, Had: had}})
}

// assembly is where what a node sends is put together. Where others have all places, the one that has been still longest gives way: it
// begins anew.
func (h *Node) assembly(from string) *assembly {
	a := h.parts.in[from]
	if a == nil {
		if len(h.parts.in) >= assembliesOf {
			oldest := ""
			for _, addr := range slices.Sorted(maps.Keys(h.parts.in)) {
				if oldest == "" || h.parts.in[addr].at < h.parts.in[oldest].at {
					oldest = addr
				}
			}
			delete(h.parts.in, oldest)
		}
		a = &assembly{}
		h.parts.in[from] = a
	}
	a.at = h.e.Now()
	return a
}

// mayHave tells whether the node that a call was sent to may have all of it.
func (h *Node) mayHave(c *call, nr uint32) bool {
	if c.sent == "" {
		return false
	}
	for _, t := range h.parts.out[c.sent] {
		if t.nr == nr && t.part.Call != nil {
			return t.all
		}
	}
	return true
}

// cancel takes a call off its way.
func (h *Node) cancel(to string, nr uint32) {
	queue := slices.DeleteFunc(h.parts.out[to], func(t *transfer) bool { return t.nr == nr && t.part.Call != nil })
	if h.parts.out[to] = queue; len(queue) == 0 {
		delete(h.parts.out, to)
	}
}

// tendParts sends again what was lost, and forgets what nobody goes on with.
func (h *Node) tendParts() {
	for _, to := range slices.Sorted(maps.Keys(h.parts.out)) {
		h.sendParts(to)
	}
	maps.DeleteFunc(h.parts.in, func(_ string, a *assembly) bool { return h.e.Now()-a.at >= assemblyKept })
}
