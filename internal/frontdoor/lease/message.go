package lease

import (
	"encoding/binary"
	"errors"
	"hash/crc32"
	"time"
)

// FrameType is the first byte of every frame: the module's messages begin with another, so that either passes over what is
// the other's.
const FrameType, frameVersion = 0x4c, 1

// What a message says.
const (
	opPrepare   byte = iota + 1 // promise me the permit
	opPromise                   // it is promised; number is the highest told here
	opReject                    // it is not; ms is what is left of the promise, rank who waits before
	opAccept                    // the grant's number is this; the promise is to hold its length from now
	opAccepted                  // so it is
	opRelease                   // the promise is needed no longer; node is whom it is handed on to, or the sender
	opAvailable                 // the permit is free: ask
)

type message struct {
	op          byte
	permit      uint8
	rank        uint8 // of an ask: its priority
	generation  uint32
	incarnation uint32 // of the asker
	sequence    uint32 // of the asker's question
	promiseID   uint32 // round that names the promise
	millis      uint32 // of an ask: how long its wish has waited
	node        Node
	number      Number
	task        Task
}

const fixedSize = 2 + 3 + 5*4 + 2 + 8 + 1

// message makes one of a wish.
func (c *Core) message(op byte, w *request) *message {
	m := &message{op: op, permit: uint8(w.permit), generation: c.generation(), incarnation: c.conf.Incarnation, sequence: w.sequence, promiseID: w.promiseID, task: w.task, number: w.number, node: c.conf.NodeID}
	if op == opPrepare {
		m.rank, m.number = uint8(min(max(w.priority, 0), 255)), 0
		m.millis = uint32(min((c.now-w.requestedAt)/time.Millisecond, 1<<31))
	}
	return m
}

func (m *message) encode() []byte {
	b := make([]byte, 0, fixedSize+len(m.task)+4)
	b = append(b, FrameType, frameVersion, m.op, m.permit, m.rank)
	for _, x := range []uint32{m.generation, m.incarnation, m.sequence, m.promiseID, m.millis} {
		b = binary.LittleEndian.AppendUint32(b, x)
	}
	b = binary.LittleEndian.AppendUint16(b, uint16(m.node))
	b = binary.LittleEndian.AppendUint64(b, uint64(m.number))
	b = append(append(b, byte(len(m.task))), m.task...)
	return binary.LittleEndian.AppendUint32(b, crc32.ChecksumIEEE(b))
}

func decode(b []byte) (*message, error) {
	if len(b) < fixedSize+4 || b[0] != FrameType || b[1] != frameVersion {
		return nil, errors.New("no frame of this version")
	}
	body, sum := b[:len(b)-4], binary.LittleEndian.Uint32(b[len(b)-4:])
	if crc32.ChecksumIEEE(body) != sum {
		return nil, errors.New("spoilt")
	}
	m := &message{op: b[2], permit: b[3], rank: b[4]}
	at := 5
	for _, x := range []*uint32{&m.generation, &m.incarnation, &m.sequence, &m.promiseID, &m.millis} {
		*x = binary.LittleEndian.Uint32(b[at:])
		at += 4
	}
	m.node, m.number = Node(binary.LittleEndian.Uint16(b[at:])), Number(binary.LittleEndian.Uint64(b[at+2:]))
	n := int(b[at+10])
	if body = body[at+11:]; len(body) != n || n == 0 || n > MaxTaskBytes || m.op < opPrepare || m.op > opAvailable || m.permit >= MaxPermits {
		return nil, errors.New("cut short or too long")
	}
	m.task = Task(body)
	return m, nil
}

// send sends a message to some; to oneself it goes at once.
func (c *Core) send(to []Node, m *message) {
	var mine bool
	var b []byte
	for _, n := range to {
		if n == c.conf.NodeID {
			mine = true
			continue
		}
		if b == nil {
			b = m.encode()
		}
		c.out = append(c.out, Output{Kind: Send, To: n, Payload: b})
	}
	if mine {
		x := *m
		c.dispatch(c.conf.NodeID, &x)
	}
}

// Receive takes a frame. What is not one is counted and passed over.
func (c *Core) Receive(from Node, b []byte) {
	m, err := decode(b)
	if err != nil {
		c.BadMessages++
		return
	}
	c.dispatch(from, m)
}

func (c *Core) dispatch(from Node, m *message) {
	if k := c.generations[from]; m.generation > k.generation {
		c.generations[from] = knownGeneration{m.generation, c.now}
	}
	switch m.op {
	case opPrepare, opAccept, opRelease:
		c.handleRequest(from, m)
	case opAvailable:
		if w := c.requests[m.task]; w != nil && w.phase == idle {
			w.permit, w.retryAt, w.refusals = int(m.permit)%w.permits, c.now, 0
		}
	default:
		c.handleResponse(from, m)
	}
}

// Clone copies a core with all it knows, and AppendState writes all that its future depends on, with times against its
// clock: an explorer of its states needs both.
func (c *Core) Clone() *Core {
	x := *c
	x.requests, x.promises, x.generations = make(map[Task]*request, len(c.requests)), make(map[slot]*promise, len(c.promises)), make(map[Node]knownGeneration, len(c.generations))
	for k, w := range c.requests {
		y := *w
		x.requests[k] = &y // lists are never changed in place
	}
	for k, p := range c.promises {
		y := *p
		y.waiting = append([]waiter(nil), p.waiting...)
		x.promises[k] = &y
	}
	for k, g := range c.generations {
		x.generations[k] = g
	}
	x.out = append([]Output(nil), c.out...)
	return &x
}

// AppendState is for an explorer; see Clone.
func (c *Core) AppendState(b []byte) []byte {
	num := func(all ...int64) {
		for _, x := range all {
			b = binary.AppendVarint(b, x)
		}
	}
	t := func(at time.Duration) int64 { return max(int64(at-c.now), -int64(c.conf.MaxLength)*4) }
	num(t(c.startedAt), int64(c.floor), int64(c.sequence), int64(c.conf.Incarnation), int64(c.generation()))
	for _, task := range c.sortedTasks() {
		w := c.requests[task]
		b = append(b, task...)
		num(int64(w.phase), int64(w.permit), int64(w.promiseID), int64(w.sequence), t(w.sentAt), t(w.retryAt), int64(w.highest), int64(w.number), t(w.until),
			int64(w.refusals), int64(w.retryAfter), int64(w.queuePosition), int64(w.unanswered), t(w.requestedAt))
		if w.renewing {
			b = append(b, 'r')
		}
		for _, n := range w.acks {
			num(int64(n))
		}
		num(-1)
		for _, n := range w.rejections {
			num(int64(n))
		}
		num(-2)
	}
	for _, p := range c.sortedSlots() {
		v := c.promises[p]
		b = append(b, p.task...)
		num(int64(p.permit), int64(v.highest), max(t(v.until), 0), max(t(v.reservedUntil), 0))
		if v.until > c.now {
			num(int64(v.holder), int64(v.incarnation), int64(v.promiseID))
			if v.accepted {
				num(-4)
			}
		}
		for _, w := range v.waiting {
			num(int64(w.node), int64(w.priority), t(w.requestedAt), t(w.lastSeen))
		}
		num(-3)
	}
	return b
}

func (c *Core) sortedSlots() (all []slot) {
	for s := range c.promises {
		all = append(all, s)
	}
	sortSlots(all)
	return all
}
