package house

import (
	"fmt"
	"strconv"

	"clovergap/internal/callboard"
	"clovergap/internal/company"
	"clovergap/internal/playbill"
	"clovergap/internal/prompter"
	"clovergap/internal/script"
	"clovergap/internal/stagedoor"
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
	say(h.stale() >= readyStale, "no fresh word of the core")
	say(h.board == nil, "no seat")
	say(h.board != nil && h.board.Status().Ready == 0, "no backend is ready")
	return why
}

// Change brings a change to whoever leads, unless what is known here settles it for every later state: that it was taken, or that
// it is wrong in itself. A door that is behind refuses nothing by its own state.
func (h *House) Change(kind script.Kind, body []byte, then func(status int, body []byte)) {
	if v, err, final := h.script.Final(kind, body); final && (v != playbill.Invalid || h.stale() < knownStale) {
		then(answerOf(v, err))
		return
	}
	h.ask(kind, body, 0, then)
}

// Newest reads the newest configuration.
func (h *House) Newest(then func(status int, body []byte)) { h.ask(Read, nil, 0, then) }

// Beat takes what a backend says of itself; before this door has a seat another one may take it.
func (h *House) Beat(w callboard.Word, then func(ok bool, target string)) {
	if h.board == nil {
		then(false, "")
		return
	}
	h.board.Now(h.e.Now())
	h.beats[h.board.Beat(w)] = then
}

// Leave takes a backend's last word.
func (h *House) Leave(id string, then func(ok bool, target string)) {
	if h.board == nil {
		then(false, "")
		return
	}
	h.board.Now(h.e.Now())
	h.beats[h.board.Leave(id, 0)] = then
}

// Status is for operators: what this door knows now, asking no other.
func (h *House) Status() stagedoor.HouseStatus {
	why := h.unready()
	s := stagedoor.HouseStatus{Door: h.sheet.NodeName, Address: h.inner, Zone: h.sheet.Zone, Ready: len(why) == 0,
		Unready: why, Generation: h.table.Version(), Applied: h.applied, Feeder: h.feeder, Held: h.gate.Held(),
		Clients: h.front.Clients(), Counters: h.count.Text(), Doors: h.doorList(),
		Backends: []stagedoor.HouseBackend{}}
	if me := h.seat(); me != company.NoSeat {
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
		s.Board = &stagedoor.HouseBoard{Ready: b.Ready, Draining: b.Draining, Gone: b.Gone, Kept: b.Kept,
			Unwatched: b.Unwatched, Waiting: b.Waiting, Unconfirmed: b.Unconfirmed, Refused: b.Refused}
		for _, w := range h.board.All() {
			s.Backends = append(s.Backends, backendStatus(w))
		}
	}
	return s
}

// neverHeard is below what stale says where no word of the core ever came.
const neverHeard = never / 2

func ptr[T any](v T) *T { return &v }

// doorList is all doors known here: those with a seat in the order of seats, then the others.
func (h *House) doorList() []stagedoor.HouseDoor {
	var all []stagedoor.HouseDoor
	seen := map[string]bool{}
	add := func(addr string, from company.Seated) {
		if seen[addr] {
			return
		}
		seen[addr] = true
		d := stagedoor.HouseDoor{Name: from.Name, Address: addr, Control: from.Control, Zone: from.Zone,
			Live: h.company.Live(addr)}
		if now, ok := h.company.Door(addr); ok { // what it says itself is newer than its entry
			d.Name, d.Control, d.Zone, d.Disk = now.Name, now.Control, now.Zone, now.Disk != 0
		}
		if seat := h.company.Seat(addr); seat != company.NoSeat {
			d.Seat = ptr(int(seat))
		}
		all = append(all, d)
	}
	for _, s := range h.company.Order() {
		add(s.Addr, s)
	}
	add(h.inner, company.Seated{})
	for _, a := range h.company.Addrs() {
		add(a, company.Seated{})
	}
	return all
}

// coreStatus is this door's part in the core.
func (h *House) coreStatus() *stagedoor.HouseCore {
	c := h.core.p.Status()
	s := &stagedoor.HouseCore{Me: diskName(c.Me.ID), Role: c.Role, View: c.View, Leader: c.Leader.Addr,
		Settled: c.Settled, First: c.First, Last: c.Last, Synced: c.Synced, Behind: c.Behind, Waiting: c.Waiting,
		Members: []stagedoor.HouseMember{}}
	if c.Learner != 0 {
		s.Learner = diskName(c.Learner)
	}
	for _, m := range c.Members {
		d, ok := h.company.Door(m.Addr)
		live := ok && h.company.Live(m.Addr) && prompter.MemberID(d.Disk) == m.ID
		s.Members = append(s.Members, stagedoor.HouseMember{Id: diskName(m.ID), Address: m.Addr, Live: live})
	}
	return s
}

// diskName words a member's id: it has 40 bits.
func diskName(id prompter.MemberID) string { return fmt.Sprintf("%010x", uint64(id)) }

func backendStatus(w callboard.Word) stagedoor.HouseBackend {
	b := stagedoor.HouseBackend{Id: w.ID, Target: w.Service, Address: w.Addr, Zone: w.Zone, Generation: w.Generation,
		Capacity: w.Capacity, Phase: w.Phase.String(), Keeper: int(w.Keeper), Fence: w.Fence, CallSeq: w.Seq}
	if w.ColdLeft > 0 {
		b.ColdLeft = strconv.FormatInt(w.ColdLeft.Milliseconds(), 10) + "ms"
	}
	return b
}
