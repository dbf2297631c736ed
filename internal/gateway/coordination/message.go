package coordination

import "time"

// Message is what services of different nodes send each other. Exactly one of its fields is set.
type Message struct {
	Request  *ForwardRequest
	Response *ForwardResponse
}

// ForwardRequest is one attempt of a call, on its way to the leader of the call's group. It is valid until Deadline by the monotonic
// clock of the receiver's incarnation: a request that was delayed on a link, or was read after the receiver had been stopped, has no
// effect.
type ForwardRequest struct {
	OriginIncarnation uint64 // of the node that took the call
	Sequence          uint32 // of the call at that node
	Attempt           uint8  // from 0
	TargetIncarnation uint64 // whose clock Deadline is of; 0 while none is known, which is rejected and answered with the clock
	Deadline          time.Duration
	Call              Call
}

// ForwardResponse ends an attempt.
type ForwardResponse struct {
	OriginIncarnation    uint64 // OriginIncarnation, Sequence and Attempt are the request's
	Sequence             uint32
	Attempt              uint8
	Outcome              AttemptOutcome
	LeaderHint           string // with AttemptRejected: the leader's address, as far as the responder knows
	ResponderIncarnation uint64
	ResponderClock       time.Duration // monotonic, when the response was sent
	Result               Result        // with AttemptDone
}

// AttemptOutcome is how one attempt ended. The numbers are sent between nodes; they must not change.
type AttemptOutcome uint8

// The outcomes of an attempt.
const (
	AttemptDone            AttemptOutcome = iota // the call ended with the result
	AttemptRejected                              // no effect, now or later: the node does not lead the group, or lost its leadership
	AttemptAmbiguous                             // the attempt may have taken effect, or may still do so
	AttemptDeadlineInvalid                       // no effect, now or later: Deadline had passed, or was not of this incarnation's clock
)
