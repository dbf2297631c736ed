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

// wire are two nodes without a disk whose frames a test carries. The second waits for a leader with every call that it gets.
type wire struct {
	t       *testing.T
	clock   *still
	a, b    *Node
	out     map[string][]*Frame // by receiver
	carried int                 // bytes of chunks
	most    int                 // in flight
}

const wireA, wireB = "10.0.0.1:7110", "10.0.0.2:7110"

// set is a clock without alarms.
type set struct{ *still }

func (set) At(time.Duration, eventloop.Alarm, uint32) {}

type wireEnd struct {
	lost
	w  *wire
	me string
}

func (e *wireEnd) Send(to string, f *Frame) bool {
	e.w.out[to] = append(e.w.out[to], f)
	n := 0
	for _, f := range e.w.out[to] {
		if f.Part != nil && f.Part.Chunk != nil {
			n += len(f.Part.Chunk.Data)
		}
	}
	e.w.most = max(e.w.most, n)
	return true
}

func newWire(t *testing.T) *wire {
	w := &wire{t: t, clock: &still{now: time.Minute}, out: map[string][]*Frame{}}
	for _, x := range []struct {
		h    **Node
		me   string
		life uint64
	}{{&w.a, wireA, 11}, {&w.b, wireB, 12}} {
		h := followerOf(t, "10.0.0.8:7110")
		h.e, h.links, h.life, h.feeder = set{w.clock}, &wireEnd{w: w, me: x.me}, x.life, ""
		h.settings.Bounds = settings.Bounds{InTouch: time.Hour}
		h.calls, h.parts, h.beganAt = map[uint32]*call{}, newParts(), w.clock.now
		h.groups, h.coordination = &groupHost{h: h}, coordination.New((*coordinator)(h), coordination.Terms{})
		h.parts.takes = map[string]bool{wireA: true, wireB: true}
		*x.h = h
	}
	return w
}

// step brings one frame, or loses it; false: there was none.
func (w *wire) step(to string, lose bool) bool {
	if len(w.out[to]) == 0 {
		return false
	}
	f := w.out[to][0]
	w.out[to] = w.out[to][1:]
	switch {
	case lose:
		return true
	case f.Part != nil && f.Part.Chunk != nil:
		w.carried += len(f.Part.Chunk.Data)
	}
	if to == wireB {
		w.b.partHeard(wireA, f.Part)
	} else {
		w.a.partHeard(wireB, f.Part)
	}
	return true
}

// passOn has a call of a begin that goes to b.
func (w *wire) passOn(body []byte, then func(int, []byte)) uint32 {
	w.a.callNr++
	nr, until := w.a.callNr, w.clock.now+callFor
	w.a.calls[nr] = &call{kind: statemachine.KindReplaceConfig, body: body, until: until, sent: wireB, asked: []string{wireB}, then: then}
	must.True(w.t, w.a.sendCall(wireB, nr, &Call{Asker: w.a.life, Nr: nr, Kind: statemachine.KindReplaceConfig, Body: body, Hops: 1}, until))
	return nr
}

func (w *wire) run(steps int, lose func(i int) bool) {
	for i := range steps {
		if !w.step(wireB, lose(i)) && !w.step(wireA, lose(i)) {
			w.clock.now += lookEvery
			w.a.tendParts()
			w.b.tendParts()
		}
	}
}

func filler(size int) []byte { return bytes.Repeat([]byte("0123456789abcdefghi\n"), size/20) }

func keepAll(int) bool { return false }

// A call of 1 MB was one frame: on a link of 2 Mbit/s all heartbeats waited behind it for 4 s. Its parts have 16 KB in flight, whichever of
// them are lost, and it comes whole and once; so does its answer.
func TestLargeCallGoesInParts(t *testing.T) {
	body := filler(1 << 20)
	for _, every := range []int{0, 3, 7, 50} {
		w := newWire(t)
		var answer []byte
		w.passOn(body, func(status int, b []byte) { answer = b })
		for _, c := range w.a.parts.out[wireB] {
			c.until = never
		}
		w.a.calls[1].until = never
		lose := func(i int) bool { return every > 0 && i%every == 0 }
		for i := 0; i < 20000 && len(w.b.calls) == 0; i++ {
			w.run(1, func(int) bool { return lose(i) })
		}
		must.MapLen(t, 1, w.b.calls)
		must.True(t, bytes.Equal(body, w.b.calls[1].body))
		must.LessEq(t, feedTerms.MaxInflightBytes, w.most)
		w.b.end(1, 200, body)
		for _, c := range w.b.parts.out[wireA] {
			c.until = never
		}
		for i := 0; i < 20000 && answer == nil; i++ {
			w.run(1, func(int) bool { return lose(i) })
		}
		must.True(t, bytes.Equal(body, answer))
		must.LessEq(t, feedTerms.MaxInflightBytes, w.most)
		w.run(200, keepAll)
		must.MapEmpty(t, w.a.parts.out)
		must.MapEmpty(t, w.b.parts.out)
	}
}

// A call that ends while parts of it are still to be sent was taken by nobody: it ends at once and clearly, and the same again goes on
// from where it was. Once the last part was sent the other node may have it, and whoever asked is told that it is not known.
func TestLargeCallBrokenOff(t *testing.T) {
	body := filler(1 << 20)
	w, status := newWire(t), 0
	then := func(s int, _ []byte) { status = s }
	nr := w.passOn(body, then)
	w.run(100, keepAll) // some 50 chunks
	w.clock.now += callFor
	w.a.end(nr, 503, nil)
	must.Eq(t, 503, status)
	must.MapEmpty(t, w.a.parts.out)
	w.out = map[string][]*Frame{}
	before := w.carried
	must.Greater(t, 300<<10, before)
	nr = w.passOn(body, then)
	w.run(400, keepAll)
	must.MapLen(t, 1, w.b.calls)
	must.Less(t, len(body)-before+3*feedTerms.MaxInflightBytes, w.carried-before)
	w.a.Down(wireB)
	w.a.end(nr, 503, nil)
	must.Eq(t, controlapi.Unclear, status)

	w = newWire(t)
	nr = w.passOn(body, then)
	w.run(100, keepAll)
	w.a.Down(wireB) // the link ends midway
	must.False(t, w.a.calls[nr].doubt)
	must.Eq(t, "", w.a.calls[nr].sent)
	must.MapEmpty(t, w.a.parts.out)
	w.a.end(nr, 503, nil)
	must.Eq(t, 503, status)
}

// What is put together is bounded: four nodes at one time, each what a control call may have, and nothing that nobody goes on with.
func TestLargeCallsAreBounded(t *testing.T) {
	w := newWire(t)
	chunk := func(size uint64) *Part {
		return &Part{Call: &Call{Asker: 1, Nr: 1, Kind: statemachine.KindReplaceConfig},
			Chunk: &replication.Chunk{Index: 1, Size: size, Data: make([]byte, 8<<10)}}
	}
	w.b.partHeard(wireA, chunk(partSize+1))
	must.MapEmpty(t, w.b.parts.in)
	for i := range 20 {
		w.clock.now++
		w.b.partHeard(string(rune('a'+i)), chunk(1<<20))
		must.LessEq(t, assembliesOf, len(w.b.parts.in))
	}
	w.clock.now += assemblyKept
	w.b.tendParts()
	must.MapEmpty(t, w.b.parts.in)
	for range transfersMost {
		must.True(t, w.a.sendCall(wireB, 1, &Call{Body: filler(1 << 20)}, never))
	}
	must.False(t, w.a.sendCall(wireB, 1, &Call{Body: filler(1 << 20)}, never))
	w.a.parts.takes[wireB] = false // a program of the version before
	w.out = map[string][]*Frame{}
	w.a.sendCall(wireB, 2, &Call{Nr: 2, Body: filler(1 << 20)}, never)
	must.Eq(t, 1<<20/20*20, len(w.out[wireB][0].Call.Body))
}
