package registry

import (
	"hash/fnv"
	"slices"
	"time"
)

const (
	silentBeats   = 3  // without a sign for so long, a backend is gone
	graceHalves   = 5  // half beats that a missing registrar is waited for
	shyBeats      = 20 // how long a contested backend is left to the other registrar
	lookEvery     = tick
	packFor       = 50 * time.Millisecond  // small news wait so long for roster
	resendAfter   = 300 * time.Millisecond // for a confirmation
	resendMost    = 6                      // times, over 14 s
	resendDoubles = 4
	transfersMost = 16          // nodes that are told all there is at a time
	askAfter      = time.Second // between two questions to a node that confirmed nothing
	wordsMost     = 64          // in one message
	flightMost    = 4           // messages on their way to one node
	waitAll       = 500 * time.Millisecond
	waitEnough    = 800 * time.Millisecond
	tooLate       = 950 * time.Millisecond // the backend has turned to the next node
	confirmsMost  = 256
	endsFor       = 10 * time.Second // who follows anew is told of backends that left so long ago: it may have been away
)

// SetNodes tells all nodes that are known, this one too. One that is no longer live or named is lost: what it
// kept goes to the next after a grace. One that lives again is greeted.
func (b *Registry) SetNodes(nodes []Node) {
	b.met = true
	named := map[Slot]bool{}
	b.nodes, b.known, b.live, b.firm, b.disks = b.nodes[:0], 0, 0, false, false
	b.self = Node{Seat: b.me}
	var back []Slot
	var adrift []string
	for _, d := range nodes {
		if d.Seat == b.me {
			d.Live = true
			b.self = d
		} else if d.Seat >= 0 {
			named[d.Seat] = true
			b.known++
			p := b.peer(d.Seat)
			switch {
			case d.Live && (!p.node.Live || d.Firm && !p.node.Firm || d.Hears && !p.node.Hears):
				back = append(back, d.Seat)
			case !d.Live && p.node.Live || p.node.Hears && !d.Hears:
				if p.node.Firm {
					adrift = append(adrift, b.endsOnTheirWay(p)...)
				}
				b.drop(p)
			}
			p.node = d
			if d.Live {
				b.live++
			}
		} else {
			continue
		}
		b.disks = b.disks || d.Firm
		if d.Live {
			b.firm = b.firm || d.Firm
			if d.Control != "" {
				b.nodes = append(b.nodes, d)
			}
		}
	}
	slices.SortFunc(b.nodes, func(x, y Node) int { return int(x.Seat - y.Seat) })
	if slices.ContainsFunc(b.nodes, func(d Node) bool { return d.Firm }) { // else whoever lives keeps
		b.nodes = slices.DeleteFunc(b.nodes, func(d Node) bool { return !d.Firm })
	}
	for s, p := range b.peers {
		if !named[s] {
			b.drop(p)
			delete(b.peers, s)
			b.busy = slices.DeleteFunc(b.busy, func(x Slot) bool { return x == s })
		}
	}
	b.slots = slices.DeleteFunc(b.slots, func(s Slot) bool { return !named[s] })
	for _, s := range back {
		b.Greet(s)
	}
	b.sendRound(adrift)
	b.settle()
}

// Hears tells that a node follows this one, or does no longer: what Nodes would tell of it, without looking at all the others.
func (b *Registry) Hears(s Slot, on bool) {
	p := b.peers[s]
	if p == nil || p.node.Hears == on {
		return
	}
	if !on {
		b.drop(p)
	}
	p.node.Hears = on
	if on && p.node.Live {
		b.Greet(s)
	}
	b.settle()
}

// lost tells that a node is not heard.
func (b *Registry) lost(s Slot) bool {
	if s == b.me {
		return false
	}
	p := b.peers[s]
	return p == nil || !p.node.Live
}

// duty names the registrar of a backend over the live nodes but one; None where there is no node for it.
func (b *Registry) duty(e *entry, but Slot) Node {
	h := fnv.New64a()
	h.Write([]byte(e.w.ID))
	key := h.Sum64()
	best, found, near, top := Node{Seat: None}, false, false, uint64(0)
	for _, d := range b.nodes {
		if d.Seat == but {
			continue
		}
		n := d.Zone == e.w.Zone
		w := mix(key ^ mix(uint64(d.Seat)+1))
		if !found || n && !near || n == near && w > top {
			best, found, near, top = d, true, n, w
		}
	}
	return best
}

// mix spreads the bits of a number (the end of splitmix64).
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// beat takes a beat that came to this node itself, or was passed on by another.
func (b *Registry) beat(e *entry, w Record, direct bool) {
	before, level := e.w, e.level()
	revived := b.join(e, w)
	ends := e.level() > level // whoever passed it on may have told nobody else
	if e.w.Seq > before.Seq {
		e.signAt, e.here = b.now, direct
	} else if e.w.Keeper != None && !direct && !ends {
		return // a late one
	}
	to := b.duty(e, None)
	claimed := false
	if to.Seat == b.me && e.w.Keeper != b.me && e.phase() != Gone {
		b.claim(e, None)
		claimed = true
	}
	news := claimed || revived || differs(before, e.w)
	mine := to.Seat == b.me || e.w.Keeper == b.me
	if news && mine || ends {
		b.spread(e, ends || revived)
	}
	if !direct || e.w.Final {
		return
	}
	if to.Seat != None && to.Seat != b.me {
		b.relay(e, to.Seat)
	}
	// The registrar that is known may not know yet that it is no longer the one: it must not see silence.
	if k := e.w.Keeper; k != to.Seat && k != b.me && !b.lost(k) {
		b.relay(e, k)
	}
}

// differs tells whether what travels has changed, ends aside.
func differs(x, y Record) bool {
	return x.Service != y.Service || x.Addr != y.Addr || x.Zone != y.Zone || x.Generation != y.Generation ||
		x.Capacity != y.Capacity || x.Fence != y.Fence || x.Keeper != y.Keeper
}

// claim makes this node the registrar, under the next fence.
func (b *Registry) claim(e *entry, missed Slot) {
	b.registrar(e, b.me, missed)
	e.w.Fence++
	e.gone = false
	b.touch(e)
}

// look goes over all backends: silence of those kept here, and those whose registrar is missing.
func (b *Registry) look() {
	b.next = b.now + lookEvery
	b.unnamed()
	silent := silentBeats * b.terms.BeatInterval
	grace := graceHalves * b.terms.BeatInterval / 2
	old := false
	for _, e := range b.list {
		if e.phase() == Gone {
			old = old || b.now-e.goneAt >= tombFor
			if e.doubt && b.now-e.kept >= b.terms.BeatInterval {
				b.ask(e)
			}
			continue
		}
		if e.w.Keeper == b.me {
			// A node that hears few others judges only those that last beat here: the rest may beat
			// elsewhere.
			judge := e.here || b.most()
			if b.displaced(e) || judge && b.now-max(e.beatAt, b.calm) >= silent {
				b.hush(e)
				b.spread(e, true)
			}
			continue
		}
		if !b.lost(e.w.Keeper) || !b.most() || b.now < e.shy {
			continue
		}
		since := max(e.kept, b.calm)
		if p := b.peers[e.w.Keeper]; p != nil {
			since = max(since, p.lostAt)
		}
		if b.now-since < grace {
			continue
		}
		if to := b.duty(e, None).Seat; to == b.me {
			b.claim(e, e.w.Keeper)
			b.spread(e, false)
		} else if p := b.peers[to]; p != nil && b.now-since >= grace+b.terms.BeatInterval {
			// The one whose turn it is may never have heard of it.
			b.tell(p, e.w.ID, false)
			e.kept = b.now
		}
	}
	if old || b.gone > tombs || len(b.all) >= most {
		b.forget()
	}
}

// most tells whether this node hears more than half of all, itself among them.
func (b *Registry) most() bool { return 2*(b.live+1) > b.known+1 }
