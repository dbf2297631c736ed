package coordination

import "time"

// Message is a message between the services of two nodes. Exactly one of its fields is set.
type Message struct {
	Request  *ForwardRequest
	Response *ForwardResponse
}

// ForwardRequest carries one attempt of a call to the leader of the call's group. The request is valid until Deadline, a time of the
// monotonic clock of the receiver's incarnation. A request has no effect if it was delayed on a link until after Deadline, or if the receiver
// read it after Deadline because the receiver's process was suspended.
type ForwardRequest struct {
	OriginIncarnation uint64 // incarnation of the node that received the call from the application
	Sequence          uint32 // sequence number of the call at that node
	Attempt           uint8  // number of the attempt, starting at 0
	// TargetIncarnation is the incarnation of the receiver. TargetIncarnation is 0 if the sender does not know the incarnation. The
	// receiver then answers AttemptDeadlineInvalid, and the response carries the receiver's incarnation and clock.
	TargetIncarnation uint64
	Deadline          time.Duration // time of the receiver's monotonic clock
	Call              Call
}

// ForwardResponse is the answer to a ForwardRequest and ends the attempt.
type ForwardResponse struct {
	OriginIncarnation    uint64 // copied from the request, as are Sequence and Attempt
	Sequence             uint32
	Attempt              uint8
	Outcome              AttemptOutcome
	LeaderHint           string // with AttemptRejected: the leader's address, or empty if the responder knows no leader
	ResponderIncarnation uint64
	ResponderClock       time.Duration // monotonic time at which the response was sent
	Result               Result        // set with AttemptDone
}

// AttemptOutcome is the outcome of one attempt. The numbers of the outcomes are sent between nodes, so these numbers must not change.
type AttemptOutcome uint8

// The outcomes of an attempt.
const (
	AttemptDone            AttemptOutcome = iota // the call ended with the result
	AttemptRejected                              // no effect, now or later: the receiver does not lead the group, or lost its leadership
	AttemptAmbiguous                             // the attempt may have taken effect, or may still take effect
	AttemptDeadlineInvalid                       // no effect, now or later: Deadline had passed, or refers to the clock of another incarnation
)
