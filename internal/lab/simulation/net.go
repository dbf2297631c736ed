package simulation

import (
	"bytes"
	"encoding/gob"
	"slices"
	"time"

	"clovergap/control"
	"clovergap/internal/failpoint"
	"clovergap/internal/gateway/node"
	"clovergap/internal/gateway/replication"
	"clovergap/internal/lab/spec"
	"clovergap/internal/proxy/peers"
)

// As internal/gateway/transport and its kernel have it.
const (
	dialTimeout      = 600 * time.Millisecond
	unackedTimeout   = 2 * time.Second // bytes that nobody acknowledges end a link
	minRedialDelay   = 40 * time.Millisecond
	maxRedialDelay   = 640 * time.Millisecond
	watchInterval    = 100 * time.Millisecond
	retransmitDelay  = failpoint.RetransmitDelay // a packet that was lost
	writeDelay       = 200 * time.Microsecond    // links are written apart from the turns
	packetOverhead   = 66                        // of a packet, beside what it carries
	datagramOverhead = 42                        // of a datagram
	maxQueueDelay    = 500 * time.Millisecond    // datagrams wait no longer for their turn on a link
)

// Traffic is bytes by what they were for.
type Traffic map[string]int64

// TrafficKinds are what bytes are for, in the order of tables.
var TrafficKinds = []string{"heartbeats", "registry", "core", "feed", "calls", "hellos", "roll-outs", "groups", "links", "datagrams"}

// Sum is all of it.
func (t Traffic) Sum() (n int64) {
	for _, x := range t {
		n += x
	}
	return n
}

// partition parts a group of machines from the rest. Way: in and out are what the group does not hear, and is not heard with.
type partition struct {
	members                       map[*machine]bool
	zone                          string // backends of it are in the group
	blocksInbound, blocksOutbound bool
	backends                      bool // the way between nodes and backends is cut too
	coreOnly                      bool // between machines with a disk alone
	keepsLinks                    bool // links to the group last, though nothing comes back on them
}

// keepsLink tells whether a link goes on while nothing of its bytes is acknowledged.
func (w *world) keepsLink(from, to *machine) bool {
	return !w.partitioned(from, to) && slices.ContainsFunc(w.partitions, func(c *partition) bool { return c.keepsLinks && c.members[to] })
}

func (w *world) partitioned(from, to *machine) bool {
	for _, c := range w.partitions {
		if c.coreOnly && (from.disk == nil || to.disk == nil) {
			continue
		}
		if a, b := c.members[from], c.members[to]; a != b && (a && c.blocksOutbound || b && c.blocksInbound) {
			return true
		}
	}
	return false
}

// backendUnreachable tells whether a node and a backend hear nothing of each other.
func (w *world) backendUnreachable(m *machine, zone string) bool {
	for _, c := range w.partitions {
		if c.backends && c.members[m] != (c.zone == zone) {
			return true
		}
	}
	return false
}

// losesPacket draws whether a packet is lost.
func (w *world) losesPacket() bool {
	for _, x := range w.losses {
		if w.netRand.Float64() < x {
			return true
		}
	}
	return false
}

// transmit puts bytes on a machine's link, and tells when they are out.
func (m *machine) transmit(kind string, bytes int) time.Duration {
	if m.world.now >= m.world.countedTime {
		if m.sent == nil {
			m.sent = Traffic{}
		}
		m.sent[kind] += int64(bytes)
	}
	if m.world.metered {
		m.meter.sent.add(kind, bytes)
		m.meter.frames++
	}
	m.world.trafficHash = m.world.trafficHash*31 + uint64(bytes) + uint64(m.index)
	m.linkFreeAt = max(m.linkFreeAt, m.world.now)
	if m.world.day.Mbps > 0 {
		m.linkFreeAt += time.Duration(float64(bytes) * 8000 / m.world.day.Mbps)
	}
	return m.linkFreeAt
}

// peerLink is a link that a node wants, conn one connection of it.
type peerLink struct {
	process     *process
	target      *machine
	conn        *conn
	redialDelay time.Duration
	dial        int // counts dials, so that a late one is told from the newest
}

type conn struct {
	link         *peerLink
	peer         *process
	outbound     bytes.Buffer
	inbound      bytes.Buffer
	encoder      *gob.Encoder
	decoder      *gob.Decoder
	lastDelivery time.Duration // nothing overtakes
	undelivered  [][]byte
	watched      bool
	closed       bool
	senderLost   bool // what was sent last was lost with its sender
	connectedAt  time.Duration
	retransmits  retransmission
}

// Connect, Leave and Send are the links of a deployment.
func (p *process) Connect(to string) {
	if m := p.world.byPeerAddr[to]; m != nil && p.links[to] == nil && m != p.machine {
		v := &peerLink{process: p, target: m, redialDelay: minRedialDelay}
		p.links[to] = v
		v.redial(0)
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
		p.world.happens(spec.ViewChange)
	}
	if f.Call != nil {
		p.world.caller, p.world.callee = p.machine, v.target
		p.world.happens(spec.PassesOn)
	}
	if p.world.checkOwnership {
		p.world.after(ownershipCheckDelay, p.world.watchUnchanged(p.machine.name, f))
	}
	if v.conn != nil { // else it waits for a link, and is dropped when that is up
		v.conn.send(f)
	}
	return true
}

func (p *peerLink) wanted() bool { return !p.process.ended && p.process.links[p.target.peerAddr] == p }

// redial dials after a while.
func (p *peerLink) redial(wait time.Duration) {
	p.dial++
	nr, world := p.dial, p.process.world
	world.after(wait, func() {
		if nr != p.dial || !p.wanted() || p.conn != nil {
			return
		}
		failed := func() {
			if nr == p.dial && p.wanted() && p.conn == nil {
				p.redialDelay = min(2*p.redialDelay, maxRedialDelay)
				p.redial(p.redialDelay)
			}
		}
		m, trip := p.target, world.delay(p.process.machine.zone, p.target.zone)+world.delay(p.target.zone, p.process.machine.zone)
		p.process.machine.transmit("links", 3*packetOverhead)
		if m.poweredOff || world.partitioned(p.process.machine, m) || world.partitioned(m, p.process.machine) {
			world.after(dialTimeout, failed)
			return
		}
		world.after(trip, func() {
			if nr != p.dial || !p.wanted() || p.conn != nil {
				return
			}
			if m.process == nil {
				failed()
				return
			}
			p.connected(m.process)
		})
	})
}

func (p *peerLink) connected(peer *process) {
	c := &conn{link: p, peer: peer, lastDelivery: p.process.world.now, connectedAt: p.process.world.now}
	c.encoder, c.decoder = gob.NewEncoder(&c.outbound), gob.NewDecoder(&c.inbound)
	p.conn, p.redialDelay = c, minRedialDelay
	from, life := p.process.machine.peerAddr, p.process.id
	c.lastDelivery += p.process.world.delay(p.process.machine.zone, p.target.zone) // what it says first names who has dialed
	p.process.world.at(c.lastDelivery, func() {
		peer.turn(func() {
			peer.inbound[from] = c
			known := peer.incarnations[from]
			peer.incarnations[from] = life
			peer.updateLinkTo(from, known)
			peer.node.PeerConnected(from)
		})
	})
	p.process.turn(func() {
		if p.conn == c && p.wanted() {
			p.process.node.LinkUp(p.target.peerAddr)
		}
	})
}

// updateLinkTo restarts this process's link to a peer that has just dialed, if that is necessary: as updateOutboundLink of
// internal/gateway/transport. known is the incarnation of the peer that dialed before, 0 if none did.
func (p *process) updateLinkTo(peer string, known uint64) {
	back := p.links[peer]
	if back == nil {
		return
	}
	if back.conn == nil { // the peer can be reached
		back.redialDelay = minRedialDelay
		back.redial(0)
		return
	}
	restarted := known != 0 && known != p.incarnations[peer] && back.conn.peer.ended
	suspect := p.world.now-back.conn.connectedAt > unackedTimeout && p.world.planted != keepsStalledLinks
	if restarted || suspect {
		back.conn.end()
	}
}

// send writes a frame: gob as on a real link, whose types travel once.
func (c *conn) send(f *node.Frame) {
	p := c.link.process
	c.outbound.Reset()
	if err := c.encoder.Encode(f); err != nil {
		panic(err)
	}
	b := bytes.Clone(c.outbound.Bytes())
	if p.world.copies > 0 {
		p.world.duplicateFrame(p, c.link.target, f)
	}
	at := p.machine.transmit(f.Kind(), len(b)+packetOverhead)
	if c.mayGoUnacked() {
		c.watch()
	}
	if p.world.partitioned(p.machine, c.link.target) || c.peer.ended || len(c.undelivered) > 0 {
		c.undelivered = append(c.undelivered, b)
		return
	}
	if p.world.losesPacket() {
		at += retransmitDelay
	}
	if p.world.partitioned(c.link.target, p.machine) {
		c.retransmits.unacknowledged(p.world.now)
	} else {
		at = max(at, c.retransmits.resumesAt(p.world.now))
	}
	c.deliver(at, p.world.now+span(p.world.netRand, 0, writeDelay), b)
}

// deliver brings bytes that were written at one time and are out on the link at another. What a process had not written when it
// was killed never comes, nor what was not out when its machine lost power.
func (c *conn) deliver(out, written time.Duration, b []byte) {
	p := c.link.process
	c.lastDelivery = max(c.lastDelivery, max(out, written)+p.world.delay(p.machine.zone, c.link.target.zone))
	peer, from := c.peer, p.machine.peerAddr
	p.world.at(c.lastDelivery, func() {
		if p.ended && (written > p.died || p.machine.poweredOff && out > p.died) || c.senderLost {
			c.senderLost = true
			return
		}
		peer.turn(func() {
			f := new(node.Frame)
			c.inbound.Write(b)
			if err := c.decoder.Decode(f); err != nil {
				panic(err)
			}
			if peer.world.metered {
				peer.machine.meter.recordArrival(peer.world, f.Kind(), len(b)+packetOverhead)
			}
			if peer.inbound[from] == c {
				peer.node.FrameReceived(from, f)
			}
		})
	})
}

// mayGoUnacked tells whether what is sent may go unacknowledged.
func (c *conn) mayGoUnacked() bool {
	w := c.link.process.world
	from, to := c.link.process.machine, c.link.target
	return c.peer.ended || w.partitioned(from, to) || w.partitioned(to, from) && !w.keepsLink(from, to)
}

// watch looks after a link whose bytes are not acknowledged: it goes on, or ends after a while, or at once where another
// process has come in the place of the one that it led to.
func (c *conn) watch() {
	if c.watched {
		return
	}
	c.watched = true
	w, began := c.link.process.world, c.link.process.world.now
	w.every(watchInterval, func() bool {
		switch {
		case c.closed || !c.link.wanted() || c.link.conn != c:
			return false
		case !c.mayGoUnacked():
			c.watched = false
			all := c.undelivered
			c.undelivered = nil
			for _, b := range all {
				c.deliver(w.now+span(w.netRand, 0, retransmitDelay), began, b)
			}
			return false
		case w.now-began >= unackedTimeout || c.peer.ended && !c.link.target.poweredOff && !w.partitioned(c.link.process.machine, c.link.target) && !w.partitioned(c.link.target, c.link.process.machine):
			c.end()
			return false
		}
		return true
	})
}

func (c *conn) end() {
	v := c.link
	if c.closed || v.conn != c {
		return
	}
	c.closed = true
	v.conn = nil
	if v.process.ended {
		return
	}
	v.process.turn(func() {
		if now := v.process.links[v.target.peerAddr]; now == nil || now == v {
			v.process.node.LinkDown(v.target.peerAddr)
		}
	})
	if v.wanted() {
		v.redial(v.redialDelay)
	}
}

// processEnded: a process has ended. Its side of links is reset, where the machine still lives and can be heard.
func (w *world) processEnded(p *process) {
	if p.machine.poweredOff {
		return
	}
	for _, m := range w.machines {
		if m.process == nil || m.process == p {
			continue
		}
		if v := m.process.links[p.machine.peerAddr]; v != nil && v.conn != nil && v.conn.peer == p {
			c := v.conn
			w.after(w.delay(p.machine.zone, m.zone), func() {
				if !w.partitioned(p.machine, m) {
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
	p := d.process
	if int(peer) >= len(d.all) || d.all[peer] == nil {
		return
	}
	m, at := d.all[peer], p.machine.transmit("datagrams", len(payload)+datagramOverhead)
	if m == p.machine || p.world.partitioned(p.machine, m) || p.world.losesPacket() || at-p.world.now > maxQueueDelay {
		return
	}
	b := slices.Clone(payload)
	p.world.at(at+p.world.delay(p.machine.zone, m.zone), func() {
		if q := m.process; q != nil {
			q.turn(func() {
				if q.world.metered {
					q.machine.meter.recordArrival(q.world, "datagrams", len(b)+datagramOverhead)
				}
				if slot, ok := q.datagrams.slots[p.machine]; ok && q.InputDelay() <= peers.MaxUnread {
					q.node.ReceiveDatagram(control.GatewayID(slot), b)
				}
			})
		}
	})
}
