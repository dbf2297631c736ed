package node

import (
	"maps"
	"net"
	"net/netip"
	"slices"
	"strconv"

	"clovergap/control"
	"clovergap/internal/gateway/membership"
	"clovergap/internal/gateway/registry"
	"clovergap/internal/gateway/replication"
)

// Came, Heard, Up and Down are the links': each in a turn.

// Came: the door that this one follows has dialed it anew. It may have given up a link before and with it the wish to follow:
// without a new one it would say nothing, and for two seconds nothing would tell of that.
func (h *House) Came(from string) {
	if from == h.feeder {
		h.follow(from)
	}
}

func (h *House) Heard(from string, f *Frame) {
	h.company.Now(h.e.Now())
	h.company.Heard(from)
	if from == h.feeder {
		h.saysAt = h.e.Now()
	}
	switch {
	case f.Hello != nil:
		h.company.Hello(from, *f.Hello)
		h.remind(from, f.Hello.Door)
	case f.Ping != nil:
		h.words[from] = word{h.e.Now(), f.Ping.Stale, f.Ping.Index, f.Ping.View}
		if f.Ping.Lives != nil && (h.core != nil || from == h.feeder) {
			h.company.Told(from, f.Ping.Lives)
		}
		if from == h.feeder {
			h.learn(f.Ping.Stale, f.Ping.View, f.Ping.Echo, f.Ping.Index)
		}
		if f.Ping.Clock != 0 && h.hears(from) {
			h.echoes[from] = echo{f.Ping.Clock, h.e.Now()}
			h.wings.Send(from, &Frame{Ping: h.pingTo(from)})
		}
	case f.Found != nil:
		h.found(f.Found)
	case f.Core != nil && h.core != nil:
		h.core.p.Now(h.e.Now())
		h.core.p.Heard(f.Core.From, f.Core.Message)
	case f.Board != nil && h.board != nil:
		if s := h.company.Seat(from); s != membership.NoSeat {
			h.board.Now(h.e.Now())
			h.board.Heard(registry.Seat(s), *f.Board)
		}
	case f.Follow != nil:
		h.followed(from, f.Follow)
	case f.Feed != nil:
		h.fed(from, f.Feed)
	case f.Call != nil:
		h.called(from, f.Call)
	case f.Reply != nil:
		h.answered(from, f.Reply)
	case f.Rollout != nil:
		h.rolloutHeard(from, f.Rollout)
	}
}

func (h *House) Up(to string) {
	h.company.Now(h.e.Now())
	h.company.Up(to)
	if d, ok := h.company.Door(to); ok {
		h.remind(to, d)
	}
	h.greet(to) // it may have started anew
	if to == h.feeder {
		h.follow(to) // so that the wish to follow it may have been lost with the link before
	}
}

// greet tells a door of the backends.
func (h *House) greet(addr string) {
	if s := h.company.Seat(addr); s != membership.NoSeat && h.board != nil {
		h.board.Now(h.e.Now())
		h.board.Greet(registry.Seat(s))
	}
}

// hears tells whether a door gets its news from this one.
func (h *House) hears(addr string) bool {
	_, ok := h.followers[addr]
	return ok
}

func (h *House) Down(to string) {
	h.company.Now(h.e.Now())
	h.company.Down(to)
	delete(h.followers, to)
	delete(h.echoes, to)
	for _, nr := range slices.Sorted(maps.Keys(h.calls)) {
		if c := h.calls[nr]; c.sent == to { // it may have been taken: the same again is answered as the first was
			c.sent, c.doubt, c.next = "", true, h.e.Now()+callAgain
			h.e.At(c.next, (*callAlarm)(h), nr)
		}
	}
}

// remind hands the founding to a founder that missed it: who began it may have died before the word reached the others.
func (h *House) remind(addr string, d membership.Door) {
	if h.core == nil || d.Founded || d.Disk == 0 {
		return
	}
	founders := h.core.p.Founders()
	for _, m := range founders {
		if m.ID == replication.MemberID(d.Disk) && h.company.Spreads(h.core.p.House(), addr) {
			h.wings.Send(addr, &Frame{Found: founders})
		}
	}
}

// layAside empties a disk that holds the word of a founding and nothing else, where another disk lies at the place of each other
// founder: what that founding ever took is gone with those, and this one, waiting for them, would keep all from beginning anew.
func (c *core) layAside() {
	founders := c.p.Founders()
	for _, m := range founders {
		if d, ok := c.h.company.Door(m.Addr); m.ID != c.me.ID && (!ok || !c.h.company.Live(m.Addr) || d.Disk == 0 || d.Founded ||
			replication.MemberID(d.Disk) == m.ID || c.addr(replication.Member{ID: m.ID}) != "") {
			return
		}
	}
	if len(founders) > 1 && c.p.LayAside() {
		c.h.say(corePart, "the founding of %d doors that this disk holds alone is laid aside", len(founders))
	}
}

// found begins the core, if this door's disk is empty.
func (h *House) found(members []replication.Member) {
	if h.core == nil {
		return
	}
	if err := h.core.p.Found(members); err != nil {
		h.say(corePart, "founding passed over: %v", err)
		return
	}
	h.say(corePart, "founded by %d doors", len(members))
}

// pullDoors carries out what the company asks for.
func (h *House) pullDoors() {
	h.company.Now(h.e.Now())
	if h.seatsNew { // once for all that came in this turn
		h.seatsNew = false
		h.company.Seats(h.script.Seats())
	}
	for {
		a, ok := h.company.Next()
		if !ok {
			return
		}
		switch a.Verb {
		case membership.Want:
			h.wings.Want(a.Addr)
		case membership.Leave:
			h.wings.Leave(a.Addr)
		case membership.Greet:
			hello := h.company.Say(a.Addr)
			h.wings.Send(a.Addr, &Frame{Hello: &hello})
		case membership.Found:
			members := membersOf(a.Founders)
			if a.Addr == h.inner {
				h.found(members)
			} else {
				h.wings.Send(a.Addr, &Frame{Found: members})
			}
		case membership.Changed:
			h.doorsChanged()
		}
	}
}

func membersOf(founders []membership.Founder) (members []replication.Member) {
	for _, f := range founders {
		members = append(members, replication.Member{ID: replication.MemberID(f.Disk), Addr: f.Addr})
	}
	return members
}

// seat is this door's, or NoSeat.
func (h *House) seat() membership.Seat { return h.company.Seat(h.inner) }

// doorsChanged tells the parts that go by doors which there are, and which live.
func (h *House) doorsChanged() {
	h.tendFeed()
	me := h.seat()
	if me == membership.NoSeat {
		return
	}
	order := h.company.Order()
	if h.board == nil {
		h.board = registry.New(registry.Seat(me), registry.Terms{BeatInterval: h.sheet.BeatInterval,
			Enough: h.sheet.Tolerates.Machines + 1, Life: uint32(h.life)}, h.e.Now())
		h.say(doorPart, "has seat %d of %d", me, len(order))
		if h.core != nil {
			h.core.remember()
		}
	}
	if len(order) != h.seats {
		h.seats = len(order)
		addrs := make([]netip.AddrPort, len(order))
		for i, s := range order {
			addrs[i] = h.mailAt(s.Addr)
		}
		h.peers.Move(addrs, int(me))
		h.quota.Grow(control.GatewayID(me), len(order))
		h.office.SetDoors(len(order))
	}
	doors := make([]registry.Door, 0, len(order))
	reach, place, places, live := 0, 0, 0, make([]bool, len(order))
	for i, s := range order {
		if s.Zone == h.sheet.Zone {
			if i == int(me) {
				place = places
			}
			places++
		}
		if live[i] = h.company.Live(s.Addr); live[i] {
			reach++
		}
		d, _ := h.company.Door(s.Addr)
		doors = append(doors, registry.Door{Seat: registry.Seat(i), Control: s.Control, Zone: s.Zone,
			Live: live[i], Firm: d.Disk != 0, Hears: h.hears(s.Addr)})
	}
	if h.core != nil && reach != h.reach {
		h.pingedAt = 0 // who follows goes by this door's word of who lives: an owner in its first second by a third of the rate
	}
	h.reach = reach
	h.quota.Reach(live)
	h.office.SetPlace(place, places)
	h.board.Now(h.e.Now())
	h.board.Doors(doors)
}

// mailAt is where a door takes datagrams: the port after that of its links.
func (h *House) mailAt(inner string) netip.AddrPort {
	host, _, _ := net.SplitHostPort(inner)
	a, err := netip.ParseAddr(host)
	if err != nil {
		return netip.AddrPort{}
	}
	return netip.AddrPortFrom(a, uint16(h.sheet.InnerPorts[0]+1))
}

// innersOf is where the doors at some control addresses take links: the ports of a house are alike.
func (h *House) innersOf(controls []string) (inners []string) {
	for _, c := range controls {
		if host, _, err := net.SplitHostPort(c); err == nil {
			inners = append(inners, net.JoinHostPort(host, strconv.Itoa(h.sheet.InnerPorts[0])))
		}
	}
	return inners
}

// ping tells the watchers that this door lives, and those who follow it who does. A follower asks, with its clock, and is answered at
// once; unasked it is told what is new, and at times.
func (h *House) ping(news bool) {
	told := map[string]bool{}
	if h.core != nil {
		for _, addr := range h.following() {
			told[addr] = true
			if news || h.e.Now()-h.echoes[addr].at > 3*pingEvery/2 {
				h.wings.Send(addr, &Frame{Ping: h.pingTo(addr)})
			}
		}
	}
	_, view, _ := h.contact()
	p := Ping{Stale: h.stale(), Index: h.applied, View: view}
	if h.core != nil {
		p.Lives = h.company.Hears()
	} else if h.feeder != "" {
		told[h.feeder] = true
		h.wings.Send(h.feeder, &Frame{Ping: &Ping{Stale: p.Stale, Index: p.Index, View: p.View, Clock: h.clock.Tell(h.e.Now())}})
	}
	f := &Frame{Ping: &p}
	for _, addr := range h.company.Watchers() {
		if !told[addr] {
			h.wings.Send(addr, f)
		}
	}
}

// pingTo is what a follower is told.
func (h *House) pingTo(addr string) *Ping {
	_, view, _ := h.contact()
	return &Ping{Stale: h.stale(), Index: h.applied, Lives: h.company.Lives(), View: view, Echo: h.echoes[addr].clock}
}

// pullBoard carries out what the board asks for.
func (h *House) pullBoard() {
	if h.board == nil {
		return
	}
	h.board.Now(h.e.Now())
	for {
		a, ok := h.board.Next()
		if !ok {
			return
		}
		switch a := a.(type) {
		case registry.Send:
			if s, ok := h.company.At(membership.Seat(a.To)); ok {
				m := a.Message
				h.wings.Send(s.Addr, &Frame{Board: &m})
			}
		case registry.Changed:
			h.boardNews = true
			h.listed(a)
		case registry.Acknowledge:
			if then, ok := h.beats[a.Ticket]; ok {
				delete(h.beats, a.Ticket)
				then.answer(a.OK && h.may(then.right), a.Target)
			}
		case registry.Wake:
			h.boardWake++
			h.e.At(a.At, (*boardAlarm)(h), h.boardWake)
		}
	}
}

// boardAlarm brings the board's due time; the pull at the end of the turn does the rest.
type boardAlarm House

func (a *boardAlarm) Live(nr uint32) bool { return nr == a.boardWake }
func (a *boardAlarm) Due(uint32)          {}
