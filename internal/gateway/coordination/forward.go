package coordination

import (
	"slices"
	"time"

	"clovergap/internal/gateway/groups"
)

// pendingCall is a call that this node received and that has not ended.
type pendingCall struct {
	sequence      uint32
	call          Call
	group         groups.ID
	deadline      time.Duration // time at which the call ends even without an answer
	retryAt       time.Duration // time at which the next attempt starts
	attempts      uint8         // number of attempts started so far
	openAttempts  uint32        // bit i is set while attempt i may have taken effect, or may still take effect
	target        string        // address of the newest attempt's target
	avoidedTarget string        // address of a node that did not answer or does not lead the group
	nextCandidate int           // index into groups.Host.LeaderCandidates, modulo their number
	done          func(Result)
}

// beginAttempt records the start of an attempt and returns the attempt's number.
func (p *pendingCall) beginAttempt(target string) uint8 {
	attempt := p.attempts
	p.attempts++
	p.openAttempts |= 1 << attempt
	p.target = target
	return attempt
}

// clearOpenAttempt records that an attempt has no effect, now or later.
func (p *pendingCall) clearOpenAttempt(attempt uint8) { p.openAttempts &^= 1 << attempt }

// remoteClock is what this node knows about another node's monotonic clock.
type remoteClock struct {
	incarnation uint64
	offset      time.Duration // lower bound of the other clock's time minus the time of this node's clock
}

// startCall forwards a call to the leader of the call's group. startCall calls done exactly once, within the timeout.
func (s *Service) startCall(c *Call, timeout time.Duration, done func(Result)) {
	group := c.GroupID()
	if len(s.pending) >= maxPendingCalls || !s.isLeader(group) && !s.env.HasQuorumContact() {
		done(Result{Status: StatusUnavailable})
		return
	}
	p := &pendingCall{sequence: s.nextSequence(), call: *c, group: group, deadline: s.host.Now() + timeout, done: done}
	s.pending[p.sequence] = p
	s.env.ScheduleAt(p.deadline, p.sequence)
	s.sendAttempt(p)
}

// sendAttempt starts the next attempt of a call at the node that most likely leads the call's group. If this node leads the group, the call
// is served here.
func (s *Service) sendAttempt(p *pendingCall) {
	now := s.host.Now()
	p.retryAt = now + retryInterval
	if p.attempts >= maxAttempts {
		return // the call now waits for the outcomes of earlier attempts until its deadline
	}
	target := s.chooseTarget(p)
	if target == "" {
		s.env.ScheduleAt(p.retryAt, p.sequence)
		return
	}
	attempt := p.beginAttempt(target)
	p.retryAt = now + attemptTimeout + p.call.Timeout
	if target == s.config.Address {
		s.env.ScheduleAt(p.retryAt, p.sequence)
		s.serveAsLeader(&p.call, CallID{s.config.Incarnation, p.sequence}, func(outcome AttemptOutcome, result Result) {
			s.handleAttemptOutcome(p.sequence, attempt, outcome, result, "")
		})
		return
	}
	s.counters.Forwarded++
	if !s.env.Send(target, &Message{Request: s.newForwardRequest(p, attempt)}) {
		p.clearOpenAttempt(attempt)
		p.avoidedTarget = target
		p.retryAt = now + retryInterval
	}
	s.env.ScheduleAt(p.retryAt, p.sequence)
}

// newForwardRequest returns the message for one attempt of a call. The deadline of the call is converted to the clock of the target node. If
// this node does not know the target's clock yet, the request has no deadline, and the target answers AttemptDeadlineInvalid.
func (s *Service) newForwardRequest(p *pendingCall, attempt uint8) *ForwardRequest {
	r := &ForwardRequest{OriginIncarnation: s.config.Incarnation, Sequence: p.sequence, Attempt: attempt, Call: p.call}
	if clock, known := s.remoteClocks[p.target]; known {
		r.TargetIncarnation = clock.incarnation
		r.Deadline = p.deadline + clock.offset
	}
	return r
}

// chooseTarget returns the address of the node for the next attempt of a call. The choice is this node if it leads the group. The second
// choice is the leader that this node knows of, if that leader is not the avoided target. The third choice is the next leader candidate.
// If there is no candidate, chooseTarget returns an empty string.
func (s *Service) chooseTarget(p *pendingCall) string {
	if s.isLeader(p.group) {
		return s.config.Address
	}
	if leader, ok := s.host.Leader(p.group); ok && leader != p.avoidedTarget && leader != s.config.Address {
		return leader
	}
	isSelf := func(address string) bool { return address == s.config.Address }
	candidates := slices.DeleteFunc(slices.Clone(s.host.LeaderCandidates(p.group)), isSelf)
	if len(candidates) == 0 {
		return ""
	}
	p.nextCandidate++
	return candidates[(p.nextCandidate-1)%len(candidates)]
}

// handleForwardRequest serves a call that another node forwarded. The node reads its clock again before it calls Receive, so that a request
// that waited unread while this process was suspended is recognized as late.
func (s *Service) handleForwardRequest(from string, r *ForwardRequest) {
	reply := func(outcome AttemptOutcome, result Result) {
		s.env.Send(from, &Message{Response: s.newForwardResponse(r, outcome, result)})
	}
	if !s.config.TestingKnobs.IgnoreDeadlines {
		if r.TargetIncarnation != s.config.Incarnation {
			reply(AttemptDeadlineInvalid, Result{})
			return
		}
		if s.host.Now() > r.Deadline {
			s.counters.LateRequests++
			reply(AttemptDeadlineInvalid, Result{})
			return
		}
	}
	s.serveAsLeader(&r.Call, CallID{r.OriginIncarnation, r.Sequence}, reply)
}

// newForwardResponse returns the response to a forwarded request. A response with AttemptRejected names the leader that this node knows of.
func (s *Service) newForwardResponse(r *ForwardRequest, outcome AttemptOutcome, result Result) *ForwardResponse {
	response := &ForwardResponse{
		OriginIncarnation:    r.OriginIncarnation,
		Sequence:             r.Sequence,
		Attempt:              r.Attempt,
		Outcome:              outcome,
		ResponderIncarnation: s.config.Incarnation,
		ResponderClock:       s.host.Now(),
		Result:               result,
	}
	if outcome == AttemptRejected {
		response.LeaderHint, _ = s.host.Leader(r.Call.GroupID())
	}
	return response
}

// handleForwardResponse stores the clock offset of the node that answered an attempt, and passes the attempt's outcome to the call. If the
// responding node does not lead the group and names another leader, the call's next attempt goes to that leader. A response to a request
// of an earlier process of this node only updates the clock offset.
func (s *Service) handleForwardResponse(from string, r *ForwardResponse) {
	s.updateRemoteClock(from, r)
	if r.OriginIncarnation != s.config.Incarnation { // the request was sent by an earlier process of this node
		return
	}
	if p := s.pending[r.Sequence]; p != nil && r.Outcome == AttemptRejected && r.LeaderHint != "" && r.LeaderHint != from {
		s.host.HintLeader(p.group, r.LeaderHint)
		p.avoidedTarget = from
	}
	s.handleAttemptOutcome(r.Sequence, r.Attempt, r.Outcome, r.Result, r.LeaderHint)
}

// updateRemoteClock stores the largest offset of a node's clock that was observed. A response takes time to arrive, so each observed offset
// is at most the true offset. A deadline that is computed from an observed offset is therefore never too late, but may be too early.
func (s *Service) updateRemoteClock(from string, r *ForwardResponse) {
	offset := r.ResponderClock - s.host.Now()
	known, ok := s.remoteClocks[from]
	if !ok || known.incarnation != r.ResponderIncarnation || known.offset < offset {
		s.remoteClocks[from] = remoteClock{incarnation: r.ResponderIncarnation, offset: offset}
	}
}

// handleAttemptOutcome handles the end of an attempt. AttemptDone ends the call. Any other outcome of the newest attempt starts the next
// attempt, at once or after retryInterval. Any other outcome of an earlier attempt starts none.
func (s *Service) handleAttemptOutcome(sequence uint32, attempt uint8, outcome AttemptOutcome, result Result, leaderHint string) {
	p := s.pending[sequence]
	if p == nil {
		return
	}
	switch outcome {
	case AttemptDone:
		s.completeCall(p, result)
		return
	case AttemptRejected, AttemptDeadlineInvalid:
		p.clearOpenAttempt(attempt)
	}
	isNewest := attempt+1 == p.attempts
	if !isNewest {
		return
	}
	knowsOtherLeader := outcome == AttemptRejected && leaderHint != "" && leaderHint != p.target
	if outcome == AttemptDeadlineInvalid || knowsOtherLeader {
		s.sendAttempt(p) // the response contained the receiver's clock or the leader's address, which this node did not know
		return
	}
	if outcome == AttemptRejected {
		p.avoidedTarget = p.target
	}
	s.scheduleRetry(p, retryInterval)
}

// scheduleRetry schedules the next attempt of a call after a delay.
func (s *Service) scheduleRetry(p *pendingCall, delay time.Duration) {
	p.retryAt = s.host.Now() + delay
	s.env.ScheduleAt(p.retryAt, p.sequence)
}

// handleCallTimer ends a call at the call's deadline. It also ends a call if this node neither leads the call's group nor recently had
// contact with a majority of the nodes. handleCallTimer starts the next attempt of a call if the target has not answered in time or no
// longer leads the group.
func (s *Service) handleCallTimer(p *pendingCall) {
	now := s.host.Now()
	switch {
	case now >= p.deadline:
		s.abandonCall(p)
	case !s.isLeader(p.group) && !s.env.HasQuorumContact():
		s.abandonCall(p)
	case now >= p.retryAt:
		p.avoidedTarget = p.target
		s.sendAttempt(p)
	case s.isTargetStale(p):
		s.sendAttempt(p)
	}
}

// isTargetStale reports whether a node other than the newest attempt's target is now known to lead the group.
func (s *Service) isTargetStale(p *pendingCall) bool {
	if p.target == "" {
		return false
	}
	if s.isLeader(p.group) {
		return p.target != s.config.Address
	}
	leader, ok := s.host.Leader(p.group)
	return ok && leader != p.target && leader != p.avoidedTarget
}

// abandonCall ends a call that has no answer. The status is StatusAmbiguous if the call changes state and one of its attempts may have taken
// effect or may still take effect. In all other cases the status is StatusUnavailable.
func (s *Service) abandonCall(p *pendingCall) {
	status := StatusUnavailable
	if p.openAttempts != 0 && !p.call.isReadOnly() && !s.config.TestingKnobs.ReportAmbiguousAsUnavailable {
		status = StatusAmbiguous
	}
	s.completeCall(p, Result{Status: status})
}

// completeCall removes a call from the pending calls and passes the result to the caller.
func (s *Service) completeCall(p *pendingCall, result Result) {
	delete(s.pending, p.sequence)
	p.done(result)
}

// PeerDisconnected handles the end of the link to a node. Attempts that were sent to the node may still take effect. Their calls are retried
// at another node after retryInterval.
func (s *Service) PeerDisconnected(address string) {
	for _, sequence := range sortedKeys(s.pending) {
		if p := s.pending[sequence]; p != nil && p.target == address {
			p.avoidedTarget = address
			s.scheduleRetry(p, retryInterval)
		}
	}
}

// LeaderChanged handles a change of a group's leader in groups.Host.Leader. A call whose target is not the new leader is sent to the new
// leader at once.
func (s *Service) LeaderChanged(group groups.ID) {
	for _, sequence := range sortedKeys(s.pending) {
		if p := s.pending[sequence]; p != nil && p.group == group && s.isTargetStale(p) {
			s.sendAttempt(p)
		}
	}
}
