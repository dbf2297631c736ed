package house

import (
	"time"

	"clovergap/internal/company"
	"clovergap/internal/prompter"
	"clovergap/internal/script"
)

const (
	callFor   = 900 * time.Millisecond // a caller of control waits a second
	callAgain = 120 * time.Millisecond // while nobody leads, or who led is gone
	hopsMost  = 3
	callsMost = 256
)

// call is one that waits for whoever leads.
type call struct {
	kind  script.Kind
	body  []byte
	hops  int
	until time.Duration
	next  time.Duration // when it goes again, if it is not on its way
	sent  string        // to whom it is on its way
	then  func(status int, body []byte)
}

// ask brings a control call to whoever leads and tells how it ended: within callFor in any case, so that the caller
// is not held for what another door may know.
func (h *House) ask(kind script.Kind, body []byte, hops int, then func(status int, body []byte)) {
	if len(h.calls) >= callsMost {
		then(503, []byte("too many calls wait"))
		return
	}
	h.callNr++
	h.calls[h.callNr] = &call{kind: kind, body: body, hops: hops, until: h.e.Now() + callFor, then: then}
	h.pass(h.callNr)
	h.e.At(h.e.Now()+callFor, (*callAlarm)(h), uint32(h.callNr))
}

// pass sends a call on, or settles it here.
func (h *House) pass(nr uint64) {
	c := h.calls[nr]
	if h.core != nil && h.core.p.Leading() {
		c.next, c.sent = never, "here"
		body, err := h.counted(c.kind, c.body)
		if err != nil {
			h.replied(nr, 400, []byte(err.Error()))
			return
		}
		h.core.propose(c.kind, body, func(status int, body []byte) {
			h.replied(nr, status, h.worded(c.kind, c.body, status, body))
		})
		return
	}
	to := h.leads()
	if to == "" || c.hops >= hopsMost {
		c.next = h.e.Now() + callAgain
		h.e.At(c.next, (*callAlarm)(h), uint32(nr))
		return
	}
	c.next, c.sent = never, to
	h.wings.Send(to, &Frame{Call: &Call{Nr: nr, Kind: c.kind, Body: c.body, Hops: c.hops + 1}})
}

// leads is the door to pass a call on to: the leader where it is known, else the door that this one follows.
func (h *House) leads() string {
	if h.core != nil {
		if m, _, ok := h.core.p.Leader(); ok && m.ID != h.core.me.ID {
			return m.Addr
		}
		return ""
	}
	if h.company.Live(h.feeder) {
		return h.feeder
	}
	return ""
}

// called takes a call that another door passed on.
func (h *House) called(from string, c *Call) {
	h.ask(c.Kind, c.Body, c.Hops, func(status int, body []byte) {
		h.wings.Send(from, &Frame{Reply: &Reply{c.Nr, status, body}})
	})
}

// replied ends a call. Nobody leading is no end while there is time: who did may just have gone.
func (h *House) replied(nr uint64, status int, body []byte) {
	c := h.calls[nr]
	if c == nil {
		return
	}
	if status == 503 && string(body) != prompter.Unknown.String() && h.e.Now()+callAgain < c.until {
		c.sent, c.next = "", h.e.Now()+callAgain
		h.e.At(c.next, (*callAlarm)(h), uint32(nr))
		return
	}
	delete(h.calls, nr)
	c.then(status, body)
}

// callAlarm brings a call's due times.
type callAlarm House

func (a *callAlarm) Live(nr uint32) bool { return a.calls[uint64(nr)] != nil }

func (a *callAlarm) Due(nr uint32) {
	h, c := (*House)(a), a.calls[uint64(nr)]
	switch now := h.e.Now(); {
	case c == nil:
	case now >= c.until:
		delete(h.calls, uint64(nr))
		c.then(503, []byte("no clear answer in time"))
	case now >= c.next:
		h.pass(uint64(nr))
	}
}

// wantSeat asks for a seat while this door has none.
func (h *House) wantSeat() {
	if h.seat() != company.NoSeat || h.e.Now()-h.seatAsked < time.Second || h.stale() > readyStale {
		return
	}
	h.seatAsked = h.e.Now()
	entry := script.SeatEntry(company.Seated{Name: h.sheet.NodeName, Addr: h.inner, Control: h.sheet.Bind.Control,
		Zone: h.sheet.Zone})
	h.ask(script.Seat, entry[1:], 0, func(status int, body []byte) {
		if status != 200 {
			h.say(doorPart, "no seat yet: %s", body)
		}
	})
}
