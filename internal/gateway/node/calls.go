package node

import (
	"slices"
	"time"

	"github.com/go-faster/errors"

	"clovergap/internal/gateway/controlapi"
	"clovergap/internal/gateway/membership"
	"clovergap/internal/gateway/replication"
	"clovergap/internal/gateway/routing"
	"clovergap/internal/gateway/statemachine"
)

const (
	callFor   = 900 * time.Millisecond // a caller of control waits a second
	callAgain = 120 * time.Millisecond // while nobody leads, or who led is gone
	hopsMost  = 3
	callsMost = 256
)

// fault is a defect that tests put in, to see that they find it.
type fault uint8

const (
	sound       fault = iota
	numberAlone       // an answer belongs to whatever call bears its number
)

// call is one that waits for whoever leads.
type call struct {
	kind  statemachine.Kind
	body  []byte
	hops  int
	until time.Duration
	next  time.Duration // when it goes again, if it is not on its way or another leads by then
	sent  string        // to whom it is on its way
	asked []string      // to whom it ever was
	doubt bool          // one that had it is gone or left without an answer: it may have been taken
	then  func(status int, body []byte)
}

// ask brings a control call to whoever leads and tells how it ended: within callFor in any case, so that the caller
// is not held for what another node may know.
func (h *Node) ask(kind statemachine.Kind, body []byte, hops int, then func(status int, body []byte)) {
	if len(h.calls) >= callsMost {
		then(503, []byte("too many calls wait"))
		return
	}
	h.callNr++ // of 32 bits, as the timer's are: no call lives long enough to meet its number again
	h.calls[h.callNr] = &call{kind: kind, body: body, hops: hops, until: h.e.Now() + callFor, then: then}
	h.pass(h.callNr)
	h.e.At(h.e.Now()+callFor, (*callAlarm)(h), h.callNr)
}

// pass sends a call on, or settles it here.
func (h *Node) pass(nr uint32) {
	c := h.calls[nr]
	c.doubt = c.doubt || h.mayHave(c, nr)
	if !h.may(takeCalls) {
		h.turnAway(nr)
		return
	}
	if h.leading() {
		h.cancel(c.sent, nr)
		c.next, c.sent = c.until, "here"
		h.lead(nr, false)
		return
	}
	to := h.leads()
	if to == "" || c.hops >= hopsMost {
		c.next = h.e.Now() + callAgain
		h.e.At(c.next, (*callAlarm)(h), nr)
		return
	}
	was := c.sent
	c.next, c.sent = h.e.Now()+callAgain, to
	h.e.At(c.next, (*callAlarm)(h), nr)
	if !slices.Contains(c.asked, to) {
		c.asked = append(c.asked, to)
	}
	h.cancel(was, nr)
	if !h.sendCall(to, nr, &Call{Asker: h.life, Nr: nr, Kind: c.kind, Body: c.body, Hops: c.hops + 1}, c.until) {
		c.sent = "" // too many go there
	}
}

// lead puts a call into the log, whose verdict holds. What this node refuses before it refuses by its own state: only once a round
// has told that it leads still, and that this state is as new as anything acknowledged.
func (h *Node) lead(nr uint32, confirmed bool) {
	c := h.calls[nr]
	if c == nil || c.sent != "here" {
		return
	}
	body, err := h.counted(c.kind, c.body)
	if c.kind == statemachine.KindBootstrapGroups {
		body = h.core.founders()
	}
	refusal := 400
	if err == nil {
		err = h.unserviceable(c.kind, body)
	}
	if err == nil {
		if err = h.tooLarge(c.kind, body); err != nil {
			refusal = 413
		}
	}
	switch {
	case err == nil:
		h.core.propose(c.kind, body, func(status int, body []byte) {
			h.replied(nr, status, h.worded(c.kind, c.body, status, body))
		})
	case confirmed:
		h.replied(nr, refusal, []byte(err.Error()))
	default:
		h.core.propose(Read, nil, func(status int, body []byte) {
			if status != 200 {
				h.replied(nr, status, body)
				return
			}
			h.lead(nr, true)
		})
	}
}

// noMajority tells a caller to go elsewhere: nothing was taken at this try.
const noMajority = "no majority is in contact here, another node may know more"

// turnAway ends a call here: while this node has no word of a majority, waiting is worth nothing.
func (h *Node) turnAway(nr uint32) {
	text := noMajority
	if c := h.calls[nr]; c.doubt || h.mayHave(c, nr) { // who has it may take it yet
		text = replication.OutcomeUnknown.String()
	}
	h.end(nr, 503, []byte(text))
}

// leads is the node to pass a call on to: the leader where it is known, else the node that this one follows.
func (h *Node) leads() string {
	if h.core != nil {
		if m, _, ok := h.core.p.Leader(); ok && m.ID != h.core.me.ID {
			return m.Addr
		}
		return ""
	}
	if h.roster.Live(h.feeder) {
		return h.feeder
	}
	return ""
}

// leadsAnew tells whether another leads, as far as is known here, than the node that a call was passed on to.
func (h *Node) leadsAnew(than string) bool {
	if h.leading() {
		return true
	}
	to := h.leads()
	return to != "" && to != than
}

// called takes a call that another node passed on.
func (h *Node) called(from string, c *Call) {
	h.ask(c.Kind, c.Body, c.Hops, func(status int, body []byte) {
		h.sendReply(from, &Reply{c.Asker, c.Nr, status, body})
	})
}

// answered takes the answer to a call that was passed on. It is known by the life that asked and the number within it, and comes
// from a node that was asked: one to a former life, or to a call that has ended, does nothing. A node that was asked before
// the one that has the call now may still settle it, but not send it round again.
func (h *Node) answered(from string, r *Reply) {
	c := h.calls[r.Nr]
	switch {
	case c == nil:
	case r.Asker != h.life && h.fault != numberAlone:
	case !slices.Contains(c.asked, from) && h.fault != numberAlone:
	case r.Status/100 == 5 && from != c.sent && h.fault != numberAlone:
	default:
		h.replied(r.Nr, r.Status, r.Body)
	}
}

// replied ends a call. Nobody leading is no end while there is time: who did may just have gone.
func (h *Node) replied(nr uint32, status int, body []byte) {
	c := h.calls[nr]
	if c == nil {
		return
	}
	if status == 503 && string(body) == noMajority && c.sent == h.feeder && h.core == nil { // one that has word may be there
		h.words[h.feeder] = word{h.e.Now(), never, 0, 0}
		h.tendFeed()
	}
	h.cancel(c.sent, nr)
	if status == 503 && h.e.Now()+callAgain < c.until {
		c.sent, c.next = "", h.e.Now()+callAgain
		h.e.At(c.next, (*callAlarm)(h), nr)
		return
	}
	c.sent, c.doubt = "", c.doubt || status == controlapi.Unclear
	h.end(nr, status, body)
}

// end ends a call. A change that another node had before may have been taken there, whatever the last one knows of no leader.
func (h *Node) end(nr uint32, status int, body []byte) {
	c := h.calls[nr]
	delete(h.calls, nr)
	if reads := c.kind == Read || c.kind == ReadRollouts; status/100 == 5 {
		if status = 503; !reads && (c.doubt || h.mayHave(c, nr)) {
			status = controlapi.Unclear
		}
	}
	h.cancel(c.sent, nr)
	c.then(status, body)
}

// callAlarm brings a call's due times.
type callAlarm Node

func (a *callAlarm) Live(nr uint32) bool { return a.calls[nr] != nil }

func (a *callAlarm) Due(nr uint32) {
	h, c := (*Node)(a), a.calls[nr]
	switch now := h.e.Now(); {
	case c == nil:
	case now >= c.until:
		h.end(nr, 503, []byte("no clear answer in time"))
	case !h.may(takeCalls):
		h.turnAway(nr)
	case now < c.next:
	case c.sent != "" && !h.leadsAnew(c.sent): // its answer is still to come
		c.next = now + callAgain
		h.e.At(c.next, a, nr)
	default: // one that stands still or is cut off never answers: another leads by now
		h.pass(nr)
	}
}

// wantSlot asks for a slot while this node has none.
func (h *Node) wantSlot() {
	if h.slot() != membership.NoSlot || h.e.Now()-h.slotAsked < time.Second || !h.may(askSlot) {
		return
	}
	h.slotAsked = h.e.Now()
	entry := statemachine.AssignSlotEntry(membership.SlotHolder{Name: h.settings.NodeName, Addr: h.inner, Control: h.settings.Bind.Control,
		Zone: h.settings.Zone})
	h.ask(statemachine.KindAssignSlot, entry[1:], 0, func(status int, body []byte) {
		if status != 200 {
			h.say(nodePart, "no slot yet: %s", body)
		}
	})
}

// diskCopies is how many times the largest state the file holds at the most, and a little: see logstore.
const diskCopies = 10

// unserviceable tells whether a configuration that would be taken has a route that can't be served. Whoever leads decides it, as it decides
// what is too large.
func (h *Node) unserviceable(k statemachine.Kind, body []byte) error {
	if k != statemachine.KindReplaceConfig && k != statemachine.KindAmendConfig {
		return nil
	}
	err := routing.CheckDeadlines(body)
	if err == nil {
		return nil
	}
	if v, _ := h.machine.Decide(k, body); v != routing.Taken {
		return nil // its answer is another
	}
	return err
}

// tooLarge tells whether a configuration that would be taken grows beyond what the disk is for. Whoever leads decides it, before
// anything is proposed: what is in the log is applied everywhere, whatever a node's disk. An amendment counts in full, whatever it
// takes away.
func (h *Node) tooLarge(k statemachine.Kind, body []byte) error {
	size, most := len(body), controlBound
	if d := h.settings.Limits.DiskMB; d > 0 {
		most = min(most, d<<20/diskCopies)
	}
	if k == statemachine.KindAmendConfig {
		size += len(h.machine.Configs.Body())
	}
	if k != statemachine.KindReplaceConfig && k != statemachine.KindAmendConfig || size <= most {
		return nil
	}
	if v, _ := h.machine.Decide(k, body); v != routing.Taken {
		return nil // its answer is another
	}
	return errors.Errorf("configuration of %d bytes, at most %d fit", size, most)
}
