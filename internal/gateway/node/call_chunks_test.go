package node

import (
	"bytes"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"clovergap/internal/gateway/controlapi"
	"clovergap/internal/gateway/coordination"
	"clovergap/internal/gateway/replication"
	"clovergap/internal/gateway/settings"
	"clovergap/internal/gateway/statemachine"
	"clovergap/internal/proxy/eventloop"
)

// callLink is two nodes without a disk whose frames a test carries. Calls stay pending at the receiver: it knows of no leader.
type callLink struct {
	t                *testing.T
	clock            *manualClock
	sender, receiver *Node
	queued           map[string][]*Frame // by receiver
	chunkBytes       int                 // that were delivered
	maxInFlight      int                 // bytes of chunks that were queued at one time
}

const senderAddr, receiverAddr = "10.0.0.1:7110", "10.0.0.2:7110"

// withoutAlarms is a clock whose alarms never come.
type withoutAlarms struct{ *manualClock }

func (withoutAlarms) At(time.Duration, eventloop.Alarm, uint32) {}

// linkEnd is one node's end of the link.
type linkEnd struct {
	discardingLinks
	link    *callLink
	address string
}

func (l *linkEnd) Send(to string, f *Frame) bool {
	l.link.queued[to] = append(l.link.queued[to], f)
	n := 0
	for _, f := range l.link.queued[to] {
		if f.Part != nil && f.Part.Chunk != nil {
			n += len(f.Part.Chunk.Data)
		}
	}
	l.link.maxInFlight = max(l.link.maxInFlight, n)
	return true
}

func newCallLink(t *testing.T) *callLink {
	w := &callLink{t: t, clock: &manualClock{now: time.Minute}, queued: map[string][]*Frame{}}
	for _, x := range []struct {
		h    **Node
		me   string
		life uint64
	}{{&w.sender, senderAddr, 11}, {&w.receiver, receiverAddr, 12}} {
		h := newLearner(t, "10.0.0.8:7110")
		h.loop, h.links, h.incarnation = withoutAlarms{w.clock}, &linkEnd{link: w, address: x.me}, x.life
		h.settings.Bounds = settings.Bounds{InTouch: time.Hour}
		h.calls = newCallRouter(h, h.incarnation, &h.knobs)
		h.openLogStream() // it has no upstream yet
		h.groups, h.coordination = &groupHost{env: h}, coordination.New((*coordinationEnv)(h), coordination.Config{})
		h.calls.chunks.supportedBy = map[string]bool{senderAddr: true, receiverAddr: true}
		*x.h = h
	}
	return w
}

// deliver brings one frame, or loses it; false: there was none.
func (c *callLink) deliver(to string, lose bool) bool {
	if len(c.queued[to]) == 0 {
		return false
	}
	f := c.queued[to][0]
	c.queued[to] = c.queued[to][1:]
	switch {
	case lose:
		return true
	case f.Part != nil && f.Part.Chunk != nil:
		c.chunkBytes += len(f.Part.Chunk.Data)
	}
	if to == receiverAddr {
		c.receiver.calls.chunks.receive(senderAddr, f.Part.chunk())
	} else {
		c.sender.calls.chunks.receive(receiverAddr, f.Part.chunk())
	}
	return true
}

// forward begins a call at the sender that goes to the receiver.
func (c *callLink) forward(body []byte, then func(int, []byte)) uint32 {
	c.sender.calls.lastSequence++
	sequence, deadline := c.sender.calls.lastSequence, c.clock.now+callTimeout
	c.sender.calls.pending[sequence] = &pendingCall{kind: statemachine.KindReplaceConfig, body: body, deadline: deadline, sentTo: receiverAddr,
		recipients: []string{receiverAddr}, done: then}
	call := &forwardedCall{id: callID{c.sender.incarnation, sequence}, kind: statemachine.KindReplaceConfig, body: body, hops: 1}
	must.True(c.t, c.sender.calls.chunks.sendCall(receiverAddr, sequence, call, deadline))
	return sequence
}

// run delivers so many frames; where there is none, time goes on.
func (c *callLink) run(steps int, lose func(i int) bool) {
	for i := range steps {
		if !c.deliver(receiverAddr, lose(i)) && !c.deliver(senderAddr, lose(i)) {
			c.clock.now += tickInterval
			c.sender.calls.chunks.tick()
			c.receiver.calls.chunks.tick()
		}
	}
}

func filler(size int) []byte { return bytes.Repeat([]byte("0123456789abcdefghi\n"), size/20) }

// farFuture is a deadline that no test meets.
const farFuture = 24 * time.Hour

func loseNone(int) bool { return false }

// A call of 1 MB was one frame: on a link of 2 Mbit/s all heartbeats waited behind it for 4 s. Its chunks have 16 KB in flight, whichever of
// them are lost, and it comes complete and once; so does its reply.
func TestLargeCallGoesInChunks(t *testing.T) {
	body := filler(1 << 20)
	for _, every := range []int{0, 3, 7, 50} {
		w := newCallLink(t)
		var answer []byte
		w.forward(body, func(_ int, b []byte) { answer = b })
		for _, c := range w.sender.calls.chunks.outgoing[receiverAddr] {
			c.deadline = farFuture
		}
		w.sender.calls.pending[1].deadline = farFuture
		lose := func(i int) bool { return every > 0 && i%every == 0 }
		for i := 0; i < 20000 && len(w.receiver.calls.pending) == 0; i++ {
			w.run(1, func(int) bool { return lose(i) })
		}
		must.MapLen(t, 1, w.receiver.calls.pending)
		must.True(t, bytes.Equal(body, w.receiver.calls.pending[1].body))
		must.LessEq(t, streamConfig.MaxInflightBytes, w.maxInFlight)
		w.receiver.calls.end(1, 200, body)
		for _, c := range w.receiver.calls.chunks.outgoing[senderAddr] {
			c.deadline = farFuture
		}
		for i := 0; i < 20000 && answer == nil; i++ {
			w.run(1, func(int) bool { return lose(i) })
		}
		must.True(t, bytes.Equal(body, answer))
		must.LessEq(t, streamConfig.MaxInflightBytes, w.maxInFlight)
		w.run(200, loseNone)
		must.MapEmpty(t, w.sender.calls.chunks.outgoing)
		must.MapEmpty(t, w.receiver.calls.chunks.outgoing)
	}
}

// A call that ends while chunks of it are still to be sent was taken by no node: it ends at once and unambiguously, and a repetition goes on
// from where it was. Once the last chunk was sent the other node may have it, and the result is that this is not known.
func TestLargeCallInterrupted(t *testing.T) {
	body := filler(1 << 20)
	w, status := newCallLink(t), 0
	then := func(s int, _ []byte) { status = s }
	nr := w.forward(body, then)
	w.run(100, loseNone) // some 50 chunks
	w.clock.now += callTimeout
	w.sender.calls.end(nr, 503, nil)
	must.Eq(t, 503, status)
	must.MapEmpty(t, w.sender.calls.chunks.outgoing)
	w.queued = map[string][]*Frame{}
	before := w.chunkBytes
	must.Greater(t, 300<<10, before)
	nr = w.forward(body, then)
	w.run(400, loseNone)
	must.MapLen(t, 1, w.receiver.calls.pending)
	must.Less(t, len(body)-before+3*streamConfig.MaxInflightBytes, w.chunkBytes-before)
	w.sender.LinkDown(receiverAddr)
	w.sender.calls.end(nr, 503, nil)
	must.Eq(t, controlapi.StatusAmbiguous, status)

	w = newCallLink(t)
	nr = w.forward(body, then)
	w.run(100, loseNone)
	w.sender.LinkDown(receiverAddr) // the link ends midway
	must.False(t, w.sender.calls.pending[nr].ambiguous)
	must.Eq(t, "", w.sender.calls.pending[nr].sentTo)
	must.MapEmpty(t, w.sender.calls.chunks.outgoing)
	w.sender.calls.end(nr, 503, nil)
	must.Eq(t, 503, status)
}

// What is assembled is bounded: four nodes at one time, each as much as a control call may have, and nothing for longer than assemblyTTL.
func TestLargeCallsAreBounded(t *testing.T) {
	w := newCallLink(t)
	chunk := func(size uint64) *callChunk {
		return &callChunk{call: &forwardedCall{id: callID{1, 1}, kind: statemachine.KindReplaceConfig},
			chunk: &replication.Chunk{Index: 1, Size: size, Data: make([]byte, 8<<10)}}
	}
	w.receiver.calls.chunks.receive(senderAddr, chunk(maxChunkedBody+1))
	must.MapEmpty(t, w.receiver.calls.chunks.incoming)
	for i := range 20 {
		w.clock.now++
		w.receiver.calls.chunks.receive(string(rune('a'+i)), chunk(1<<20))
		must.LessEq(t, maxAssemblies, len(w.receiver.calls.chunks.incoming))
	}
	w.clock.now += assemblyTTL
	w.receiver.calls.chunks.tick()
	must.MapEmpty(t, w.receiver.calls.chunks.incoming)
	for range maxTransfers {
		must.True(t, w.sender.calls.chunks.sendCall(receiverAddr, 1, &forwardedCall{body: filler(1 << 20)}, farFuture))
	}
	must.False(t, w.sender.calls.chunks.sendCall(receiverAddr, 1, &forwardedCall{body: filler(1 << 20)}, farFuture))
	w.sender.calls.chunks.supportedBy[receiverAddr] = false // a node of the version before
	w.queued = map[string][]*Frame{}
	w.sender.calls.chunks.sendCall(receiverAddr, 2, &forwardedCall{id: callID{sequence: 2}, body: filler(1 << 20)}, farFuture)
	must.Eq(t, 1<<20/20*20, len(w.queued[receiverAddr][0].Call.Body))
}
