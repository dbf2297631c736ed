package house

import (
	"clovergap/internal/callboard"
	"clovergap/internal/company"
	"clovergap/internal/playbill"
	"clovergap/internal/prompter"
	"clovergap/internal/script"
)

// Ready: clients may come, as far as this door knows.
func (h *House) Ready() bool {
	return !h.leaving && h.table.Version() > 0 && h.board != nil && h.stale() < readyStale && h.board.Status().Ready > 0
}

// Change brings a change to whoever leads. What is wrong in itself, or taken already as far as is known here, needs no leader.
func (h *House) Change(kind script.Kind, body []byte, then func(status int, body []byte)) {
	switch v, err := h.script.Decide(kind, body); v {
	case playbill.Already:
		then(200, nil)
		return
	case playbill.Invalid:
		if h.stale() < knownStale {
			then(400, []byte(err.Error()))
			return
		}
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

// Status is for operators.
func (h *House) Status() any {
	s := struct {
		Door     string
		Seat     company.Seat
		Seats    []company.Seated
		Live     []string
		Version  uint64
		Applied  uint64
		StaleMS  int64
		Feeder   string           `json:",omitempty"`
		Core     *prompter.Status `json:",omitempty"`
		Board    *callboard.Status
		Backends []callboard.Word
		Held     int
		Clients  int
		Counters string
	}{Door: h.sheet.NodeName, Seat: h.seat(), Seats: h.company.Order(), Version: h.table.Version(), Applied: h.applied,
		StaleMS: h.stale().Milliseconds(), Feeder: h.feeder, Held: h.gate.Held(), Clients: h.front.Clients(),
		Counters: h.e.Count.Text()}
	for _, a := range h.company.Addrs() {
		if h.company.Live(a) {
			s.Live = append(s.Live, a)
		}
	}
	if h.core != nil {
		c := h.core.p.Status()
		s.Core = &c
	}
	if h.board != nil {
		b := h.board.Status()
		s.Board, s.Backends = &b, h.board.All()
	}
	return s
}
