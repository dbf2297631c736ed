package node

import (
	"fmt"
	"strconv"
	"time"

	"clovergap/internal/gateway/controlapi"
	"clovergap/internal/gateway/membership"
	"clovergap/internal/gateway/registry"
	"clovergap/internal/gateway/replication"
	"clovergap/internal/gateway/routing"
	"clovergap/internal/gateway/statemachine"
)

// Ready: clients may come, as far as this door knows.
func (h *House) Ready() bool { return len(h.unready()) == 0 }

// unready tells in words why no clients are wanted.
func (h *House) unready() (why []string) {
	say := func(is bool, what string) {
		if is {
			why = append(why, what)
		}
	}
	say(h.leaving, "it is told to end")
	say(h.table.Version() == 0, "no configuration")
	say(!h.stands(beReady), "no fresh word of the core")
	say(h.board == nil, "no seat")
	say(h.board != nil && !h.board.Serves(), "no backend is ready")
	return why
}

// Version is of the configuration that this door routes by; 0: none yet.
func (h *House) Version() uint64 { return h.table.Version() }

// InForce and Serves are Version and Ready for who is not in a turn.
func (h *House) InForce() (v uint64) {
	h.e.Turn(func() { v = h.Version() })
	return v
}

func (h *House) Serves() (is bool) {
	h.e.Turn(func() { is = h.Ready() })
	return is
}

// Change brings a change to whoever leads, unless what is known here settles it for every later state: that it was taken, or that
// it is wrong in itself. A door that is behind refuses nothing by its own state.
func (h *House) Change(kind statemachine.Kind, body []byte, then func(status int, body []byte)) {
	if v, err, final := h.script.Final(kind, body); final && (v != routing.Invalid || h.may(deny)) {
		then(answerOf(v, err))
		return
	}
	h.ask(kind, body, 0, then)
}

// Newest reads the newest configuration.
func (h *House) Newest(then func(status int, body []byte)) { h.ask(Read, nil, 0, then) }

// heard is a backend's call that waits for its acknowledgement, and what that takes of this door.
type heard struct {
	right  right
	answer func(ok bool, target string)
}

// Beat takes what a backend says of itself; before this door has a seat another one may take it. Without word of a majority it is
// noted here, and left for another door to acknowledge, which can tell the others.
func (h *House) Beat(w registry.Word, then func(ok bool, target string)) {
	r := ackBeats
	if w.Phase == registry.Draining {
		r = ackEnds
	}
	h.hear(r, then, func() registry.Ticket { return h.board.Beat(w) })
}

// Leave takes a backend's last word.
func (h *House) Leave(id string, then func(ok bool, target string)) {
	h.hear(ackEnds, then, func() registry.Ticket { return h.board.Leave(id, 0) })
}

func (h *House) hear(r right, then func(ok bool, target string), note func() registry.Ticket) {
	if h.board == nil {
		then(false, "")
		return
	}
	h.board.Now(h.e.Now())
	ticket := note()
	if !h.may(r) {
		then(false, "")
		return
	}
	h.beats[ticket] = heard{r, then}
}

// Status is for operators: what this door knows now, asking no other.
func (h *House) Status() controlapi.HouseStatus {
	why := h.unready()
	s := controlapi.HouseStatus{Door: h.sheet.NodeName, Address: h.inner, Zone: h.sheet.Zone, Ready: len(why) == 0,
		Unready: why, Generation: h.table.Version(), Applied: h.applied, Feeder: h.feeder, Held: h.gate.Held(),
		Clients: h.front.Clients(), Counters: h.count.Text(), Doors: h.doorList(),
		Backends: []controlapi.HouseBackend{}}
	if me := h.seat(); me != membership.NoSeat {
		s.Seat = ptr(int(me))
	}
	if stale := h.stale(); stale < neverHeard {
		s.StaleMs = ptr(stale.Milliseconds())
	}
	if h.core != nil {
		s.Core = h.coreStatus()
	}
	if h.board != nil {
		b := h.board.Status()
		s.Board = &controlapi.HouseBoard{Ready: b.Ready, Draining: b.Draining, Gone: b.Gone, Kept: b.Kept,
			Unwatched: b.Unwatched, Waiting: b.Waiting, Unconfirmed: b.Unconfirmed, Refused: b.Refused}
		for _, w := range h.board.All() {
			s.Backends = append(s.Backends, backendStatus(w))
		}
	}
	return s
}

// Fresh is how old this door's word of a majority is, and the generation of the configuration that it goes by.
func (h *House) Fresh() (age time.Duration, generation uint64) { return h.stale(), h.table.Version() }

// neverHeard is below what stale says where no word of the core ever came.
const neverHeard = never / 2

func ptr[T any](v T) *T { return &v }

// doorList is all doors known here: those with a seat in the order of seats, then the others.
func (h *House) doorList() []controlapi.HouseDoor {
	var all []controlapi.HouseDoor
	seen := map[string]bool{}
	add := func(addr string, from membership.Seated) {
		if seen[addr] {
			return
		}
		seen[addr] = true
		d := controlapi.HouseDoor{Name: from.Name, Address: addr, Control: from.Control, Zone: from.Zone,
			Live: h.company.Live(addr)}
		if now, ok := h.company.Door(addr); ok { // what it says itself is newer than its entry
			d.Name, d.Control, d.Zone, d.Disk = now.Name, now.Control, now.Zone, now.Disk != 0
		}
		if seat := h.company.Seat(addr); seat != membership.NoSeat {
			d.Seat = ptr(int(seat))
		}
		all = append(all, d)
	}
	for _, s := range h.company.Order() {
		add(s.Addr, s)
	}
	add(h.inner, membership.Seated{})
	for _, a := range h.company.Addrs() {
		add(a, membership.Seated{})
	}
	return all
}

// coreStatus is this door's part in the core.
func (h *House) coreStatus() *controlapi.HouseCore {
	c := h.core.p.Status()
	s := &controlapi.HouseCore{Me: diskName(c.Me.ID), Role: c.Role, View: c.View, Leader: c.Leader.Addr,
		Settled: c.Settled, First: c.First, Last: c.Last, Synced: c.Synced, Behind: c.Behind, Waiting: c.Waiting,
		Members: []controlapi.HouseMember{}}
	if c.Learner != 0 {
		s.Learner = diskName(c.Learner)
	}
	for _, m := range c.Members {
		d, ok := h.company.Door(m.Addr)
		live := ok && h.company.Live(m.Addr) && replication.MemberID(d.Disk) == m.ID
		s.Members = append(s.Members, controlapi.HouseMember{Id: diskName(m.ID), Address: m.Addr, Live: live})
	}
	return s
}

// diskName words a member's id: it has 40 bits.
func diskName(id replication.MemberID) string { return fmt.Sprintf("%010x", uint64(id)) }

func backendStatus(w registry.Word) controlapi.HouseBackend {
	b := controlapi.HouseBackend{Id: w.ID, Target: w.Service, Address: w.Addr, Zone: w.Zone, Generation: w.Generation,
		Capacity: w.Capacity, Phase: w.Phase.String(), Keeper: int(w.Keeper), Fence: w.Fence, CallSeq: w.Seq}
	if w.ColdLeft > 0 {
		b.ColdLeft = strconv.FormatInt(w.ColdLeft.Milliseconds(), 10) + "ms"
	}
	return b
}
