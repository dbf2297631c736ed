package node

import (
	"maps"
	"slices"
	"time"

	"clovergap/internal/gateway/controlapi"
	"clovergap/internal/gateway/statemachine"
	"clovergap/internal/proxy/eventloop"
)

const (
	// callTimeout bounds a call at each node that it passes through: clients of the control API give up on a node after a second.
	callTimeout = 900 * time.Millisecond
	// callRetryInterval is the time between two attempts while no leader is known, or after the leader is lost.
	callRetryInterval = 120 * time.Millisecond
	// maxHops is how many times a call is passed on between nodes.
	maxHops = 3
	// maxPendingCalls bounds the calls that are pending at a node.
	maxPendingCalls = 256
)

// handledHere stands for an address where a call is proposed by this node itself.
const handledHere = "here"

// callRouter takes each control call to the leader of the configuration's log, and its answer back. A call ends exactly once,
// within callTimeout. A reply is matched by the requester's incarnation and its sequence number, and has to come from a node that
// the call was sent to. It is called in turns of the node.
type callRouter struct {
	env          callEnv
	incarnation  uint64 // of this node; sequence numbers begin anew in each
	pending      map[uint32]*pendingCall
	lastSequence uint32
	chunks       chunkedCalls
	knobs        *TestingKnobs
}

// callEnv is what a callRouter needs of its node.
type callEnv interface {
	now() time.Duration
	schedule(at time.Duration, to eventloop.Alarm, sequence uint32)
	sendFrame(to string, f *Frame) bool
	// mayTakeCalls reports whether this node's contact with a majority is recent enough to take calls.
	mayTakeCalls() bool
	isLeader() bool
	// forwardTarget is the node to pass calls on to: the leader, or the node that this one follows; "" if there is none.
	forwardTarget() string
	// propose appends a call to this node's log, or refuses it.
	propose(p changeProposal)
	// noQuorumAt is called when a node replies that it has no contact with a majority.
	noQuorumAt(addr string)
}

// callID names a call between two nodes. Sequence numbers begin anew in each incarnation of the requester.
type callID struct {
	incarnation uint64
	sequence    uint32
}

// forwardedCall is a control call on its way to the leader.
type forwardedCall struct {
	id   callID
	kind statemachine.Kind // of an entry, or ReadConfig or ReadRollouts
	body []byte
	hops int // with the one that it is on
}

// callReply ends the call of its ID. The status is as for the caller, or controlapi.StatusAmbiguous.
type callReply struct {
	id     callID
	status int
	body   []byte
}

// callDone takes the result of a call, once.
type callDone func(status int, body []byte)

// pendingCall is a call that has not ended yet.
type pendingCall struct {
	kind       statemachine.Kind
	body       []byte
	hops       int // that it has taken to this node
	deadline   time.Duration
	retryAt    time.Duration // the next attempt, unless one is in flight to the node that is known to lead then
	sentTo     string        // where an attempt is in flight; handledHere: in this node's log; "": nowhere
	recipients []string      // of all attempts
	ambiguous  bool          // an attempt was lost on its way or left without an answer: the call may have been taken
	done       callDone
}

// isRead reports whether the call changes nothing.
func (p *pendingCall) isRead() bool { return p.kind == ReadConfig || p.kind == ReadRollouts }

func newCallRouter(env callEnv, incarnation uint64, knobs *TestingKnobs) *callRouter {
	c := &callRouter{env: env, incarnation: incarnation, knobs: knobs, pending: map[uint32]*pendingCall{}}
	c.chunks = newChunkedCalls(c)
	return c
}

// callLeader takes a call to the leader. It ends within callTimeout whatever happens: the caller can then turn to
// another node.
func (c *callRouter) callLeader(kind statemachine.Kind, body []byte, hops int, done callDone) {
	if len(c.pending) >= maxPendingCalls {
		done(statusUnavailable, errTooManyCalls.body())
		return
	}
	c.lastSequence++ // 32 bits, as many as an alarm's: every call ends long before its number comes again
	sequence, now := c.lastSequence, c.env.now()
	c.pending[sequence] = &pendingCall{kind: kind, body: body, hops: hops, deadline: now + callTimeout, done: done}
	c.attempt(sequence)
	c.env.schedule(now+callTimeout, (*callTimer)(c), sequence)
}

// attempt passes a call on, or proposes it here where this node leads.
func (c *callRouter) attempt(sequence uint32) {
	call := c.pending[sequence]
	call.ambiguous = call.ambiguous || c.mayBeReceived(call, sequence)
	if !c.env.mayTakeCalls() {
		c.reject(sequence)
		return
	}
	if c.env.isLeader() {
		c.chunks.cancelCall(call.sentTo, sequence)
		call.retryAt, call.sentTo = call.deadline, handledHere
		c.propose(sequence)
		return
	}
	target := c.env.forwardTarget()
	if target == "" || call.hops >= maxHops {
		c.retryLater(sequence)
		return
	}
	c.forward(sequence, target)
}

// forward sends a call to another node. It is looked at again after callRetryInterval: another may lead by then.
func (c *callRouter) forward(sequence uint32, target string) {
	call := c.pending[sequence]
	previous := call.sentTo
	call.sentTo = target
	c.retryLater(sequence)
	if !slices.Contains(call.recipients, target) {
		call.recipients = append(call.recipients, target)
	}
	c.chunks.cancelCall(previous, sequence)
	passed := &forwardedCall{id: callID{c.incarnation, sequence}, kind: call.kind, body: call.body, hops: call.hops + 1}
	if !c.chunks.sendCall(target, sequence, passed, call.deadline) {
		call.sentTo = "" // too many are on their way there
	}
}

// retryLater has a call looked at again after callRetryInterval.
func (c *callRouter) retryLater(sequence uint32) {
	call := c.pending[sequence]
	call.retryAt = c.env.now() + callRetryInterval
	c.env.schedule(call.retryAt, (*callTimer)(c), sequence)
}

// propose appends a call to this node's log, or refuses it.
func (c *callRouter) propose(sequence uint32) {
	call := c.pending[sequence]
	wanted := func() bool {
		now := c.pending[sequence]
		return now != nil && now.sentTo == handledHere
	}
	done := func(status int, body []byte) { c.complete(sequence, status, body) }
	c.env.propose(changeProposal{call.kind, call.body, wanted, done})
}

// reject ends a call at a node without contact with a majority: no attempt can succeed there.
func (c *callRouter) reject(sequence uint32) {
	cause := errNoQuorum
	if call := c.pending[sequence]; call.ambiguous || c.mayBeReceived(call, sequence) {
		cause = errOutcomeUnknown // who has it may take it yet
	}
	c.end(sequence, statusUnavailable, cause.body())
}

// leaderChanged reports whether a call is to be sent to another node than the one where it is.
func (c *callRouter) leaderChanged(from string) bool {
	if c.env.isLeader() {
		return true
	}
	target := c.env.forwardTarget()
	return target != "" && target != from
}

// receiveCall takes a call that another node passed on.
func (c *callRouter) receiveCall(from string, passed *forwardedCall) {
	c.callLeader(passed.kind, passed.body, passed.hops, func(status int, body []byte) {
		c.chunks.sendReply(from, &callReply{passed.id, status, body})
	})
}

// receiveReply takes the reply to a call that was passed on. One to a former incarnation, to a call that has ended or from a node
// that the call was never sent to is dropped. An earlier recipient may still end the call by a result, but its failure starts no
// further attempt.
func (c *callRouter) receiveReply(from string, reply *callReply) {
	call := c.pending[reply.id.sequence]
	if call == nil {
		return
	}
	foreign := reply.id.incarnation != c.incarnation || !slices.Contains(call.recipients, from)
	superseded := reply.status/100 == 5 && from != call.sentTo
	if (foreign || superseded) && !c.knobs.MatchRepliesBySequence {
		return
	}
	c.complete(reply.id.sequence, reply.status, reply.body)
}

// complete takes the result of an attempt. It ends the call, unless nobody leads and there is time for another one: the
// former leader may just be lost.
func (c *callRouter) complete(sequence uint32, status int, body []byte) {
	call := c.pending[sequence]
	if call == nil {
		return
	}
	if status == statusUnavailable && errNoQuorum.is(body) {
		c.env.noQuorumAt(call.sentTo)
	}
	c.chunks.cancelCall(call.sentTo, sequence)
	if status == statusUnavailable && c.env.now()+callRetryInterval < call.deadline {
		call.sentTo = ""
		c.retryLater(sequence)
		return
	}
	call.sentTo, call.ambiguous = "", call.ambiguous || status == controlapi.StatusAmbiguous
	c.end(sequence, status, body)
}

// end ends a call. A change that another node has had may have been taken there, whatever the last attempt came to.
func (c *callRouter) end(sequence uint32, status int, body []byte) {
	call := c.pending[sequence]
	delete(c.pending, sequence)
	if status/100 == 5 {
		status = statusUnavailable
		if !call.isRead() && (call.ambiguous || c.mayBeReceived(call, sequence)) {
			status = controlapi.StatusAmbiguous
		}
	}
	c.chunks.cancelCall(call.sentTo, sequence)
	call.done(status, body)
}

// awaits reports whether a call of this incarnation is pending for a reply.
func (c *callRouter) awaits(reply *callReply) bool {
	return reply.id.incarnation == c.incarnation && c.pending[reply.id.sequence] != nil
}

// mayBeReceived reports whether the node that a call is in flight to may have all of it.
func (c *callRouter) mayBeReceived(call *pendingCall, sequence uint32) bool {
	return call.sentTo != "" && c.chunks.mayBeReceived(call.sentTo, sequence)
}

// linkDown handles the loss of the link to a node. A call that was sent there may have been taken: a repetition gets the same answer.
func (c *callRouter) linkDown(addr string) {
	for _, sequence := range slices.Sorted(maps.Keys(c.pending)) {
		call := c.pending[sequence]
		if call.sentTo != addr {
			continue
		}
		call.ambiguous = call.ambiguous || c.mayBeReceived(call, sequence)
		c.chunks.cancelCall(addr, sequence)
		call.sentTo = ""
		c.retryLater(sequence)
	}
}

// callTimer is the alarm of the calls: of each one's deadline and next attempt.
type callTimer callRouter

// Live reports whether a call has not ended yet.
func (c *callTimer) Live(sequence uint32) bool { return c.pending[sequence] != nil }

// Due ends a call whose deadline has passed or that can't succeed here, and makes the next attempt at one that no node has, or that was sent
// to a node that is no longer the leader.
func (c *callTimer) Due(sequence uint32) {
	r, call := (*callRouter)(c), c.pending[sequence]
	switch now := r.env.now(); {
	case call == nil:
	case now >= call.deadline:
		r.end(sequence, statusUnavailable, errCallTimeout.body())
	case !r.env.mayTakeCalls():
		r.reject(sequence)
	case now < call.retryAt:
	case call.sentTo != "" && !r.leaderChanged(call.sentTo): // its reply is still to come
		r.retryLater(sequence)
	default: // a node that is paused or partitioned never replies: another one leads by now
		r.attempt(sequence)
	}
}
