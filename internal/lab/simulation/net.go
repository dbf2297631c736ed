package simulation

import (
	"bytes"
	"encoding/gob"
	"slices"
	"time"

	"clovergap/control"
	"clovergap/internal/gateway/node"
	"clovergap/internal/gateway/replication"
	"clovergap/internal/lab/spec"
)

// As internal/gateway/transport and its kernel have it.
const (
	dialLimit    = 600 * time.Millisecond
	unheardFor   = 2 * time.Second // bytes that nobody acknowledges end a link
	redialIn     = 40 * time.Millisecond
	redialMost   = 640 * time.Millisecond
	lookAgain    = 100 * time.Millisecond
	goesAgain    = 200 * time.Millisecond // a packet that was lost
	writtenIn    = 200 * time.Microsecond // links are written apart from the turns
	frameHead    = 66                     // of a packet, beside what it carries
	datagramHead = 42                     // of a datagram
	queueMost    = 500 * time.Millisecond // datagrams wait no longer for their turn on a link
)

// Traffic is bytes by what they were for.
type Traffic map[string]int64

// Sorts are what bytes are for, in the order of tables.
var Sorts = []string{"heartbeats", "registry", "core", "feed", "calls", "hellos", "roll-outs", "groups", "links", "datagrams"}

// Sum is all of it.
func (t Traffic) Sum() (n int64) {
	for _, x := range t {
		n += x
	}
	return n
}

// cut parts a group of machines from the rest. Way: in and out are what the group does not hear, and is not heard with.
type cut struct {
	group    map[*machine]bool
	zone     string // backends of it are in the group
	in, out  bool
	backends bool // the way between nodes and backends is cut too
	cores    bool // between machines with a disk alone
	lasting  bool // links to the group last, though nothing comes back on them
}

// keeps tells whether a link goes on while nothing of its bytes is acknowledged.
func (w *world) keeps(from, to *machine) bool {
	return !w.parts(from, to) && slices.ContainsFunc(w.cuts, func(c *cut) bool { return c.lasting && c.group[to] })
}

func (w *world) parts(from, to *machine) bool {
	for _, c := range w.cuts {
		if c.cores && (from.disk == nil || to.disk == nil) {
			continue
		}
		if a, b := c.group[from], c.group[to]; a != b && (a && c.out || b && c.in) {
			return true
		}
	}
	return false
}

// apart tells whether a node and a backend hear nothing of each other.
func (w *world) apart(m *machine, zone string) bool {
	for _, c := range w.cuts {
		if c.backends && c.group[m] != (c.zone == zone) {
			return true
		}
	}
	return false
}

// faultAt draws whether a packet is lost.
func (w *world) faultAt() bool {
	for _, x := range w.losses {
		if w.net.Float64() < x {
			return true
		}
	}
	return false
}

// leaves puts bytes on a machine's link, and tells when they are out.
func (m *machine) leaves(kind string, bytes int) time.Duration {
	if m.w.now >= m.w.counted {
		if m.sent == nil {
			m.sent = Traffic{}
		}
		m.sent[kind] += int64(bytes)
	}
	if m.w.metered {
		m.meter.sent.add(kind, bytes)
		m.meter.frames++
	}
	m.w.sum = m.w.sum*31 + uint64(bytes) + uint64(m.nr)
	m.free = max(m.free, m.w.now)
	if m.w.day.Mbps > 0 {
		m.free += time.Duration(float64(bytes) * 8000 / m.w.day.Mbps)
	}
	return m.free
}

// wing is a link that a node wants, conn one connection of it.
type wing struct {
	p    *process
	to   *machine
	c    *conn
	wait time.Duration
	dial int // counts dials, so that a late one is told from the newest
}

type conn struct {
	v       *wing
	peer    *process
	out     bytes.Buffer
	in      bytes.Buffer
	enc     *gob.Encoder
	dec     *gob.Decoder
	last    time.Duration // nothing overtakes
	stuck   [][]byte
	watched bool
	over    bool
	gone    bool // what was sent last was lost with its sender
}

// Connect, Leave and Send are the links of a deployment.
func (p *process) Connect(to string) {
	if m := p.w.byInner[to]; m != nil && p.links[to] == nil && m != p.m {
		v := &wing{p: p, to: m, wait: redialIn}
		p.links[to] = v
		v.again(0)
	}
}

// Check is for links over sockets: here an end is told in the order of events.
func (p *process) Check() {}

func (p *process) Disconnect(to string) {
	if v := p.links[to]; v != nil {
		delete(p.links, to)
		v.dial++
	}
}

func (p *process) Send(to string, f *node.Frame) bool {
	v := p.links[to]
	if v == nil {
		return false
	}
	if f.Core != nil && f.Core.Message.Kind == replication.MsgPreVote {
		p.w.happens(spec.ViewChange)
	}
	if f.Call != nil {
		p.w.caller, p.w.callee = p.m, v.to
		p.w.happens(spec.PassesOn)
	}
	if p.w.owners {
		p.w.after(ownedFor, p.w.owned(p.m.name, f))
	}
	if v.c != nil { // else it waits for a link, and is dropped when that is up
		v.c.send(f)
	}
	return true
}

func (w *wing) wanted() bool { return !w.p.over && w.p.links[w.to.inner] == w }

// again dials after a while.
func (w *wing) again(wait time.Duration) {
	w.dial++
	nr, world := w.dial, w.p.w
	world.after(wait, func() {
		if nr != w.dial || !w.wanted() || w.c != nil {
			return
		}
		failed := func() {
			if nr == w.dial && w.wanted() && w.c == nil {
				w.wait = min(2*w.wait, redialMost)
				w.again(w.wait)
			}
		}
		m, trip := w.to, world.way(w.p.m.zone, w.to.zone)+world.way(w.to.zone, w.p.m.zone)
		w.p.m.leaves("links", 3*frameHead)
		if m.dark || world.parts(w.p.m, m) || world.parts(m, w.p.m) {
			world.after(dialLimit, failed)
			return
		}
		world.after(trip, func() {
			if nr != w.dial || !w.wanted() || w.c != nil {
				return
			}
			if m.p == nil {
				failed()
				return
			}
			w.up(m.p)
		})
	})
}

func (w *wing) up(peer *process) {
	c := &conn{v: w, peer: peer, last: w.p.w.now}
	c.enc, c.dec = gob.NewEncoder(&c.out), gob.NewDecoder(&c.in)
	w.c, w.wait = c, redialIn
	from, life := w.p.m.inner, w.p.id
	c.last += w.p.w.way(w.p.m.zone, w.to.zone) // what it says first names who has dialed
	w.p.w.at(c.last, func() {
		peer.turn(func() {
			peer.from[from] = c
			anew := peer.lives[from] != 0 && peer.lives[from] != life
			peer.lives[from] = life
			if back := peer.links[from]; back != nil && back.c == nil { // it can be reached
				back.wait = redialIn
				back.again(0)
			} else if back != nil && anew && back.c.peer.over {
				back.c.end()
			}
			peer.h.PeerConnected(from)
		})
	})
	w.p.turn(func() {
		if w.c == c && w.wanted() {
			w.p.h.LinkUp(w.to.inner)
		}
	})
}

// send writes a frame: gob as on a real link, whose types travel once.
func (c *conn) send(f *node.Frame) {
	p := c.v.p
	c.out.Reset()
	if err := c.enc.Encode(f); err != nil {
		panic(err)
	}
	b := bytes.Clone(c.out.Bytes())
	if p.w.copies > 0 {
		p.w.copied(p, c.v.to, f)
	}
	at := p.m.leaves(f.Kind(), len(b)+frameHead)
	if c.parted() {
		c.watch()
	}
	if p.w.parts(p.m, c.v.to) || c.peer.over || len(c.stuck) > 0 {
		c.stuck = append(c.stuck, b)
		return
	}
	if p.w.faultAt() {
		at += goesAgain
	}
	c.deliver(at, p.w.now+span(p.w.net, 0, writtenIn), b)
}

// deliver brings bytes that were written at one time and are out on the link at another. What a process had not written when it
// was killed never comes, nor what was not out when its machine lost power.
func (c *conn) deliver(out, written time.Duration, b []byte) {
	p := c.v.p
	c.last = max(c.last, max(out, written)+p.w.way(p.m.zone, c.v.to.zone))
	peer, from := c.peer, p.m.inner
	p.w.at(c.last, func() {
		if p.over && (written > p.died || p.m.dark && out > p.died) || c.gone {
			c.gone = true
			return
		}
		peer.turn(func() {
			f := new(node.Frame)
			c.in.Write(b)
			if err := c.dec.Decode(f); err != nil {
				panic(err)
			}
			if peer.w.metered {
				peer.m.meter.came(peer.w, f.Kind(), len(b)+frameHead)
			}
			if peer.from[from] == c {
				peer.h.FrameReceived(from, f)
			}
		})
	})
}

// parted tells whether what is sent may go unacknowledged.
func (c *conn) parted() bool {
	w := c.v.p.w
	from, to := c.v.p.m, c.v.to
	return c.peer.over || w.parts(from, to) || w.parts(to, from) && !w.keeps(from, to)
}

// watch looks after a link whose bytes are not acknowledged: it goes on, or ends after a while, or at once where another
// process has come in the place of the one that it led to.
func (c *conn) watch() {
	if c.watched {
		return
	}
	c.watched = true
	w, began := c.v.p.w, c.v.p.w.now
	w.every(lookAgain, func() bool {
		switch {
		case c.over || !c.v.wanted() || c.v.c != c:
			return false
		case !c.parted():
			c.watched = false
			all := c.stuck
			c.stuck = nil
			for _, b := range all {
				c.deliver(w.now+span(w.net, 0, goesAgain), began, b)
			}
			return false
		case w.now-began >= unheardFor || c.peer.over && !c.v.to.dark && !w.parts(c.v.p.m, c.v.to) && !w.parts(c.v.to, c.v.p.m):
			c.end()
			return false
		}
		return true
	})
}

func (c *conn) end() {
	v := c.v
	if c.over || v.c != c {
		return
	}
	c.over = true
	v.c = nil
	if v.p.over {
		return
	}
	v.p.turn(func() {
		if now := v.p.links[v.to.inner]; now == nil || now == v {
			v.p.h.LinkDown(v.to.inner)
		}
	})
	if v.wanted() {
		v.again(v.wait)
	}
}

// lost: a process has ended. Its side of links is reset, where the machine still lives and can be heard.
func (w *world) lost(p *process) {
	if p.m.dark {
		return
	}
	for _, m := range w.machines {
		if m.p == nil || m.p == p {
			continue
		}
		if v := m.p.links[p.m.inner]; v != nil && v.c != nil && v.c.peer == p {
			c := v.c
			w.after(w.way(p.m.zone, m.zone), func() {
				if !w.parts(p.m, m) {
					c.end()
				} else {
					c.watch()
				}
			})
		}
	}
}

// SendDatagram sends a datagram.
func (d *datagrams) SendDatagram(peer control.GatewayID, payload []byte) {
	p := d.p
	if int(peer) >= len(d.all) || d.all[peer] == nil {
		return
	}
	m, at := d.all[peer], p.m.leaves("datagrams", len(payload)+datagramHead)
	if m == p.m || p.w.parts(p.m, m) || p.w.faultAt() || at-p.w.now > queueMost {
		return
	}
	b := slices.Clone(payload)
	p.w.at(at+p.w.way(p.m.zone, m.zone), func() {
		if q := m.p; q != nil {
			q.turn(func() {
				if q.w.metered {
					q.m.meter.came(q.w, "datagrams", len(b)+datagramHead)
				}
				if slot, ok := q.datagrams.slots[p.m]; ok {
					q.h.ReceiveDatagram(control.GatewayID(slot), b)
				}
			})
		}
	})
}
