package lease

import (
	"encoding/binary"
	"errors"
	"hash/crc32"
	"time"
)

// Mark is the first byte of every frame: the module's messages begin with another, so that either passes over what is
// the other's.
const Mark, version = 0x4c, 1

// What a message says.
const (
	opAsk     byte = iota + 1 // promise me the permit
	opVote                    // it is promised; number is the highest told here
	opNo                      // it is not; ms is what is left of the promise, rank who waits before
	opSeal                    // the grant's number is this; the promise is to hold its length from now
	opSealed                  // so it is
	opRelease                 // the promise is needed no longer; node is whom it is handed on to, or the sender
	opFree                    // the permit is free: ask
)

type message struct {
	op     byte
	permit uint8
	rank   uint8 // of an ask: its priority
	gen    uint32
	life   uint32 // of the asker
	round  uint32 // of the asker's question
	ask    uint32 // round that names the promise
	ms     uint32 // of an ask: how long its wish has waited
	node   Node
	number Number
	task   Task
}

const fixed = 2 + 3 + 5*4 + 2 + 8 + 1

// message makes one of a wish.
func (c *Core) message(op byte, w *wish) *message {
	m := &message{op: op, permit: uint8(w.permit), gen: c.gen(), life: c.conf.Life, round: w.round, ask: w.ask, task: w.task, number: w.number, node: c.conf.Me}
	if op == opAsk {
		m.rank, m.number = uint8(min(max(w.priority, 0), 255)), 0
		m.ms = uint32(min((c.now-w.since)/time.Millisecond, 1<<31))
	}
	return m
}

func (m *message) encode() []byte {
	b := make([]byte, 0, fixed+len(m.task)+4)
	b = append(b, Mark, version, m.op, m.permit, m.rank)
	for _, x := range []uint32{m.gen, m.life, m.round, m.ask, m.ms} {
		b = binary.LittleEndian.AppendUint32(b, x)
	}
	b = binary.LittleEndian.AppendUint16(b, uint16(m.node))
	b = binary.LittleEndian.AppendUint64(b, uint64(m.number))
	b = append(append(b, byte(len(m.task))), m.task...)
	return binary.LittleEndian.AppendUint32(b, crc32.ChecksumIEEE(b))
}

func decode(b []byte) (*message, error) {
	if len(b) < fixed+4 || b[0] != Mark || b[1] != version {
		return nil, errors.New("no frame of this version")
	}
	body, sum := b[:len(b)-4], binary.LittleEndian.Uint32(b[len(b)-4:])
	if crc32.ChecksumIEEE(body) != sum {
		return nil, errors.New("spoilt")
	}
	m := &message{op: b[2], permit: b[3], rank: b[4]}
	at := 5
	for _, x := range []*uint32{&m.gen, &m.life, &m.round, &m.ask, &m.ms} {
		*x = binary.LittleEndian.Uint32(b[at:])
		at += 4
	}
	m.node, m.number = Node(binary.LittleEndian.Uint16(b[at:])), Number(binary.LittleEndian.Uint64(b[at+2:]))
	n := int(b[at+10])
	if body = body[at+11:]; len(body) != n || n == 0 || n > TaskMost || m.op < opAsk || m.op > opFree || m.permit >= PermitsMost {
		return nil, errors.New("cut short or too long")
	}
	m.task = Task(body)
	return m, nil
}

// tell sends a message to some; to oneself it goes at once.
func (c *Core) tell(to []Node, m *message) {
	var mine bool
	var b []byte
	for _, n := range to {
		if n == c.conf.Me {
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
		c.take(c.conf.Me, &x)
	}
}

// Heard takes a frame. What is not one is counted and passed over.
func (c *Core) Heard(from Node, b []byte) {
	m, err := decode(b)
	if err != nil {
		c.Bad++
		return
	}
	c.take(from, m)
}

func (c *Core) take(from Node, m *message) {
	if k := c.gens[from]; m.gen > k.gen {
		c.gens[from] = known{m.gen, c.now}
	}
	switch m.op {
	case opAsk, opSeal, opRelease:
		c.asked(from, m)
	case opFree:
		if w := c.wishes[m.task]; w != nil && w.phase == idle {
			w.permit, w.again, w.tries = int(m.permit)%w.permits, c.now, 0
		}
	default:
		c.answered(from, m)
	}
}

// Clone copies a core with all it knows, and AppendState writes all that its future depends on, with times against its
// clock: an explorer of its states needs both.
func (c *Core) Clone() *Core {
	x := *c
	x.wishes, x.votes, x.gens = make(map[Task]*wish, len(c.wishes)), make(map[slot]*promise, len(c.votes)), make(map[Node]known, len(c.gens))
	for k, w := range c.wishes {
		y := *w
		x.wishes[k] = &y // lists are never changed in place
	}
	for k, p := range c.votes {
		y := *p
		y.waiting = append([]waiter(nil), p.waiting...)
		x.votes[k] = &y
	}
	for k, g := range c.gens {
		x.gens[k] = g
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
	t := func(at time.Duration) int64 { return max(int64(at-c.now), -int64(c.conf.Longest)*4) }
	num(t(c.born), int64(c.floor), int64(c.round), int64(c.conf.Life), int64(c.gen()))
	for _, task := range c.order() {
		w := c.wishes[task]
		b = append(b, task...)
		num(int64(w.phase), int64(w.permit), int64(w.ask), int64(w.round), t(w.sent), t(w.again), int64(w.highest), int64(w.number), t(w.until),
			int64(w.tries), int64(w.wait), int64(w.behind), int64(w.unheard), t(w.since))
		if w.renewing {
			b = append(b, 'r')
		}
		for _, n := range w.yes {
			num(int64(n))
		}
		num(-1)
		for _, n := range w.no {
			num(int64(n))
		}
		num(-2)
	}
	for _, p := range c.sorted() {
		v := c.votes[p]
		b = append(b, p.task...)
		num(int64(p.permit), int64(v.highest), max(t(v.until), 0), max(t(v.keptTo), 0))
		if v.until > c.now {
			num(int64(v.holder), int64(v.life), int64(v.ask))
			if v.sealed {
				num(-4)
			}
		}
		for _, w := range v.waiting {
			num(int64(w.who), int64(w.priority), t(w.since), t(w.seen))
		}
		num(-3)
	}
	return b
}

func (c *Core) sorted() (all []slot) {
	for s := range c.votes {
		all = append(all, s)
	}
	sortSlots(all)
	return all
}
