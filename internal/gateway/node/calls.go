package node

import (
	"slices"
	"time"

	"github.com/go-faster/errors"

	"clovergap/internal/gateway/controlapi"
	"clovergap/internal/gateway/membership"
	"clovergap/internal/gateway/quorumcontact"
	"clovergap/internal/gateway/replication"
	"clovergap/internal/gateway/routing"
	"clovergap/internal/gateway/statemachine"
)

const (
	callTimeout       = 900 * time.Millisecond // a caller of control waits a second
	callRetryInterval = 120 * time.Millisecond // while nobody leads, or who led is gone
	maxHops           = 3
	maxPendingCalls   = 256
)

// pendingCall is one that waits for whoever leads.
type pendingCall struct {
	kind       statemachine.Kind
	body       []byte
	hops       int
	deadline   time.Duration
	retryAt    time.Duration // when it goes again, if it is not on its way or another leads by then
	sentTo     string        // to whom it is on its way
	recipients []string      // to whom it ever was
	ambiguous  bool          // one that had it is gone or left without an answer: it may have been taken
	done       func(status int, body []byte)
}

// callLeader brings a control call to whoever leads and tells how it ended: within callTimeout in any case, so that the caller
// is not held for what another node may know.
func (n *Node) callLeader(kind statemachine.Kind, body []byte, hops int, then func(status int, body []byte)) {
	if len(n.pendingCalls) >= maxPendingCalls {
		then(503, []byte("too many calls wait"))
		return
	}
	n.lastCallID++ // of 32 bits, as the timer's are: no call lives long enough to meet its number again
	n.pendingCalls[n.lastCallID] = &pendingCall{kind: kind, body: body, hops: hops, deadline: n.loop.Now() + callTimeout, done: then}
	n.forwardCall(n.lastCallID)
	n.loop.At(n.loop.Now()+callTimeout, (*callTimer)(n), n.lastCallID)
}

// forwardCall sends a call on, or settles it here.
func (n *Node) forwardCall(nr uint32) {
	c := n.pendingCalls[nr]
	c.ambiguous = c.ambiguous || n.mayBeReceived(c, nr)
	if !n.permitted(quorumcontact.TakeCalls) {
		n.rejectCall(nr)
		return
	}
	if n.isLeader() {
		n.cancelTransfer(c.sentTo, nr)
		c.retryAt, c.sentTo = c.deadline, "here"
		n.proposeCall(nr, false)
		return
	}
	to := n.forwardTarget()
	if to == "" || c.hops >= maxHops {
		c.retryAt = n.loop.Now() + callRetryInterval
		n.loop.At(c.retryAt, (*callTimer)(n), nr)
		return
	}
	was := c.sentTo
	c.retryAt, c.sentTo = n.loop.Now()+callRetryInterval, to
	n.loop.At(c.retryAt, (*callTimer)(n), nr)
	if !slices.Contains(c.recipients, to) {
		c.recipients = append(c.recipients, to)
	}
	n.cancelTransfer(was, nr)
	if !n.sendCall(to, nr, &Call{Asker: n.incarnation, Nr: nr, Kind: c.kind, Body: c.body, Hops: c.hops + 1}, c.deadline) {
		c.sentTo = "" // too many go there
	}
}

// proposeCall puts a call into the log, whose verdict holds. What this node refuses before it refuses by its own state: only once a round
// has told that it leads still, and that this state is as new as anything acknowledged.
func (n *Node) proposeCall(nr uint32, confirmed bool) {
	c := n.pendingCalls[nr]
	if c == nil || c.sentTo != "here" {
		return
	}
	body, err := n.prepareEntry(c.kind, c.body)
	if c.kind == statemachine.KindBootstrapGroups {
		body = n.core.groupFounders()
	}
	refusal := 400
	if err == nil {
		err = n.checkServiceable(c.kind, body)
	}
	if err == nil {
		if err = n.checkSize(c.kind, body); err != nil {
			refusal = 413
		}
	}
	switch {
	case err == nil:
		n.core.propose(c.kind, body, func(status int, body []byte) {
			n.completeCall(nr, status, n.answerBody(c.kind, c.body, status, body))
		})
	case confirmed:
		n.completeCall(nr, refusal, []byte(err.Error()))
	default:
		n.core.propose(ReadConfig, nil, func(status int, body []byte) {
			if status != 200 {
				n.completeCall(nr, status, body)
				return
			}
			n.proposeCall(nr, true)
		})
	}
}

// noQuorumText tells a caller to go elsewhere: nothing was taken at this try.
const noQuorumText = "no majority is in contact here, another node may know more"

// rejectCall ends a call here: while this node has no word of a majority, waiting is worth nothing.
func (n *Node) rejectCall(nr uint32) {
	text := noQuorumText
	if c := n.pendingCalls[nr]; c.ambiguous || n.mayBeReceived(c, nr) { // who has it may take it yet
		text = replication.OutcomeUnknown.String()
	}
	n.finishCall(nr, 503, []byte(text))
}

// forwardTarget is the node to pass a call on to: the leader where it is known, else the node that this one follows.
func (n *Node) forwardTarget() string {
	if n.core != nil {
		if m, _, ok := n.core.replica.Leader(); ok && m.ID != n.core.self.ID {
			return m.Addr
		}
		return ""
	}
	if n.roster.Live(n.logReceiver.upstream) {
		return n.logReceiver.upstream
	}
	return ""
}

// leaderChanged tells whether another leads, as far as is known here, than the node that a call was passed on to.
func (n *Node) leaderChanged(than string) bool {
	if n.isLeader() {
		return true
	}
	to := n.forwardTarget()
	return to != "" && to != than
}

// receiveCall takes a call that another node passed on.
func (n *Node) receiveCall(from string, c *Call) {
	n.callLeader(c.Kind, c.Body, c.Hops, func(status int, body []byte) {
		n.sendReply(from, &Reply{c.Asker, c.Nr, status, body})
	})
}

// receiveReply takes the answer to a call that was passed on. It is known by the life that asked and the number within it, and comes
// from a node that was asked: one to a former life, or to a call that has ended, does nothing. A node that was asked before
// the one that has the call now may still settle it, but not send it round again.
func (n *Node) receiveReply(from string, r *Reply) {
	c := n.pendingCalls[r.Nr]
	switch {
	case c == nil:
	case r.Asker != n.incarnation && !n.knobs.MatchCallsBySequenceOnly:
	case !slices.Contains(c.recipients, from) && !n.knobs.MatchCallsBySequenceOnly:
	case r.Status/100 == 5 && from != c.sentTo && !n.knobs.MatchCallsBySequenceOnly:
	default:
		n.completeCall(r.Nr, r.Status, r.Body)
	}
}

// completeCall ends a call. Nobody leading is no end while there is time: who did may just have gone.
func (n *Node) completeCall(nr uint32, status int, body []byte) {
	c := n.pendingCalls[nr]
	if c == nil {
		return
	}
	if status == 503 && string(body) == noQuorumText && n.core == nil && n.logReceiver.isUpstream(c.sentTo) {
		n.logReceiver.upstreamLacksQuorum()
	}
	n.cancelTransfer(c.sentTo, nr)
	if status == 503 && n.loop.Now()+callRetryInterval < c.deadline {
		c.sentTo, c.retryAt = "", n.loop.Now()+callRetryInterval
		n.loop.At(c.retryAt, (*callTimer)(n), nr)
		return
	}
	c.sentTo, c.ambiguous = "", c.ambiguous || status == controlapi.Unclear
	n.finishCall(nr, status, body)
}

// finishCall ends a call. A change that another node had before may have been taken there, whatever the last one knows of no leader.
func (n *Node) finishCall(nr uint32, status int, body []byte) {
	c := n.pendingCalls[nr]
	delete(n.pendingCalls, nr)
	if reads := c.kind == ReadConfig || c.kind == ReadRollouts; status/100 == 5 {
		if status = 503; !reads && (c.ambiguous || n.mayBeReceived(c, nr)) {
			status = controlapi.Unclear
		}
	}
	n.cancelTransfer(c.sentTo, nr)
	c.done(status, body)
}

// callTimer brings a call's due times.
type callTimer Node

func (c *callTimer) Live(nr uint32) bool { return c.pendingCalls[nr] != nil }

func (c *callTimer) Due(nr uint32) {
	h, pendingCall := (*Node)(c), c.pendingCalls[nr]
	switch now := h.loop.Now(); {
	case pendingCall == nil:
	case now >= pendingCall.deadline:
		h.finishCall(nr, 503, []byte("no clear answer in time"))
	case !h.permitted(quorumcontact.TakeCalls):
		h.rejectCall(nr)
	case now < pendingCall.retryAt:
	case pendingCall.sentTo != "" && !h.leaderChanged(pendingCall.sentTo): // its answer is still to come
		pendingCall.retryAt = now + callRetryInterval
		h.loop.At(pendingCall.retryAt, c, nr)
	default: // one that stands still or is cut off never answers: another leads by now
		h.forwardCall(nr)
	}
}

// requestSlot asks for a slot while this node has none.
func (n *Node) requestSlot() {
	if n.slot() != membership.NoSlot || n.loop.Now()-n.slotRequestedAt < time.Second || !n.permitted(quorumcontact.RequestSlot) {
		return
	}
	n.slotRequestedAt = n.loop.Now()
	entry := statemachine.AssignSlotEntry(membership.SlotHolder{Name: n.settings.NodeName, Addr: n.peerAddr, Control: n.settings.Bind.Control,
		Zone: n.settings.Zone})
	n.callLeader(statemachine.KindAssignSlot, entry[1:], 0, func(status int, body []byte) {
		if status != 200 {
			n.say(nodePart, "no slot yet: %s", body)
		}
	})
}

// diskCopiesPerState is how many times the largest state the file holds at the most, and a little: see logstore.
const diskCopiesPerState = 10

// checkServiceable tells whether a configuration that would be taken has a route that can't be served. Whoever leads decides it, as it decides
// what is too large.
func (n *Node) checkServiceable(k statemachine.Kind, body []byte) error {
	if k != statemachine.KindReplaceConfig && k != statemachine.KindAmendConfig {
		return nil
	}
	err := routing.CheckDeadlines(body)
	if err == nil {
		return nil
	}
	if v, _ := n.machine.Decide(k, body); v != routing.Taken {
		return nil // its answer is another
	}
	return err
}

// checkSize tells whether a configuration that would be taken grows beyond what the disk is for. Whoever leads decides it, before
// anything is proposed: what is in the log is applied everywhere, whatever a node's disk. An amendment counts in full, whatever it
// takes away.
func (n *Node) checkSize(k statemachine.Kind, body []byte) error {
	size, most := len(body), maxControlBodyBytes
	if d := n.settings.Limits.DiskMB; d > 0 {
		most = min(most, d<<20/diskCopiesPerState)
	}
	if k == statemachine.KindAmendConfig {
		size += len(n.machine.Configs.Body())
	}
	if k != statemachine.KindReplaceConfig && k != statemachine.KindAmendConfig || size <= most {
		return nil
	}
	if v, _ := n.machine.Decide(k, body); v != routing.Taken {
		return nil // its answer is another
	}
	return errors.Errorf("configuration of %d bytes, at most %d fit", size, most)
}
