package coordination

import (
	"slices"
	"time"

	"clovergap/internal/gateway/groups"
)

// pendingCall is a call that was taken at this node and has not ended.
type pendingCall struct {
	sequence     uint32
	call         Call
	group        groups.ID
	deadline     time.Duration // when the call ends without an answer
	retryAt      time.Duration // when the next attempt begins
	attempts     uint8         // begun so far
	openAttempts uint32        // a bit for each attempt that may have taken effect, or may still do so
	target       string        // of the newest attempt
	avoid        string        // a node that did not answer or does not lead
	nextGuess    int           // into groups.Host.LeaderCandidates
	done         func(Result)
}

// beginAttempt counts an attempt and gives its number.
func (p *pendingCall) beginAttempt(target string) uint8 {
	attempt := p.attempts
	p.attempts++
	p.openAttempts |= 1 << attempt
	p.target = target
	return attempt
}

// closeAttempt records that an attempt had no effect and never will.
func (p *pendingCall) closeAttempt(attempt uint8) { p.openAttempts &^= 1 << attempt }

// remoteClock is what is known of another node's monotonic clock.
type remoteClock struct {
	incarnation uint64
	offset      time.Duration // by which it is ahead of this node's, at the least
}

// startCall brings a call to the leader of its group. done is called once, within the timeout.
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

// sendAttempt sends a call to the node that most likely leads its group, which may be this one.
func (s *Service) sendAttempt(p *pendingCall) {
	now := s.host.Now()
	p.retryAt = now + retryInterval
	if p.attempts >= maxAttempts {
		return // the call waits for its open attempts until its deadline
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
			s.attemptEnded(p.sequence, attempt, outcome, result, "")
		})
		return
	}
	s.counters.Forwarded++
	if !s.env.Send(target, &Message{Request: s.newForwardRequest(p, attempt)}) {
		p.closeAttempt(attempt)
		p.avoid = target
		p.retryAt = now + retryInterval
	}
	s.env.ScheduleAt(p.retryAt, p.sequence)
}

func (s *Service) newForwardRequest(p *pendingCall, attempt uint8) *ForwardRequest {
	r := &ForwardRequest{OriginIncarnation: s.config.Incarnation, Sequence: p.sequence, Attempt: attempt, Call: p.call}
	if clock, known := s.remoteClocks[p.target]; known {
		r.TargetIncarnation = clock.incarnation
		r.Deadline = p.deadline + clock.offset
	}
	return r
}

// chooseTarget is the node to ask: this one if it leads, the known leader unless it is avoided, else the next candidate. Empty if there is
// none.
func (s *Service) chooseTarget(p *pendingCall) string {
	if s.isLeader(p.group) {
		return s.config.Address
	}
	if leader, ok := s.host.Leader(p.group); ok && leader != p.avoid && leader != s.config.Address {
		return leader
	}
	isSelf := func(address string) bool { return address == s.config.Address }
	candidates := slices.DeleteFunc(slices.Clone(s.host.LeaderCandidates(p.group)), isSelf)
	if len(candidates) == 0 {
		return ""
	}
	p.nextGuess++
	return candidates[(p.nextGuess-1)%len(candidates)]
}

// handleForwardRequest serves a call that another node forwarded. The node reads its clock anew before Receive, so that a request which
// was unread while this process was stopped counts as late.
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

// handleForwardResponse takes the answer to a call that this node forwarded.
func (s *Service) handleForwardResponse(from string, r *ForwardResponse) {
	s.learnClock(from, r)
	if r.OriginIncarnation != s.config.Incarnation { // meant for the process before this one
		return
	}
	if p := s.pending[r.Sequence]; p != nil && r.Outcome == AttemptRejected && r.LeaderHint != "" && r.LeaderHint != from {
		s.host.HintLeader(p.group, r.LeaderHint)
		p.avoid = from
	}
	s.attemptEnded(r.Sequence, r.Attempt, r.Outcome, r.Result, r.LeaderHint)
}

// learnClock keeps the largest offset of a node's clock that was seen. A response takes time, so each offset seen is at most the true one,
// and a deadline that is computed by it comes too early at worst.
func (s *Service) learnClock(from string, r *ForwardResponse) {
	offset := r.ResponderClock - s.host.Now()
	known, ok := s.remoteClocks[from]
	if !ok || known.incarnation != r.ResponderIncarnation || known.offset < offset {
		s.remoteClocks[from] = remoteClock{incarnation: r.ResponderIncarnation, offset: offset}
	}
}

// attemptEnded takes the end of an attempt. A result ends the call; other outcomes of the newest attempt lead to the next one.
func (s *Service) attemptEnded(sequence uint32, attempt uint8, outcome AttemptOutcome, result Result, leaderHint string) {
	p := s.pending[sequence]
	if p == nil {
		return
	}
	switch outcome {
	case AttemptDone:
		s.completeCall(p, result)
		return
	case AttemptRejected, AttemptDeadlineInvalid:
		p.closeAttempt(attempt)
	}
	isNewest := attempt+1 == p.attempts
	if !isNewest {
		return
	}
	knowsOtherLeader := outcome == AttemptRejected && leaderHint != "" && leaderHint != p.target
	if outcome == AttemptDeadlineInvalid || knowsOtherLeader {
		s.sendAttempt(p) // the response gave the clock, or the leader, that the attempt lacked
		return
	}
	if outcome == AttemptRejected {
		p.avoid = p.target
	}
	s.retryAfter(p, retryInterval)
}

// retryAfter schedules the next attempt of a call.
func (s *Service) retryAfter(p *pendingCall, pause time.Duration) {
	p.retryAt = s.host.Now() + pause
	s.env.ScheduleAt(p.retryAt, p.sequence)
}

// handleCallTimer ends a call at its deadline, or without quorum contact, and begins the next attempt of one whose target does not answer.
func (s *Service) handleCallTimer(p *pendingCall) {
	now := s.host.Now()
	switch {
	case now >= p.deadline:
		s.abandonCall(p)
	case !s.isLeader(p.group) && !s.env.HasQuorumContact():
		s.abandonCall(p)
	case now >= p.retryAt:
		p.avoid = p.target
		s.sendAttempt(p)
	case s.targetIsStale(p):
		s.sendAttempt(p)
	}
}

// targetIsStale reports whether another node than the newest attempt's target is known to lead by now.
func (s *Service) targetIsStale(p *pendingCall) bool {
	if p.target == "" {
		return false
	}
	if s.isLeader(p.group) {
		return p.target != s.config.Address
	}
	leader, ok := s.host.Leader(p.group)
	return ok && leader != p.target && leader != p.avoid
}

// abandonCall ends a call without an answer. It surely had no effect only if none of its attempts is open.
func (s *Service) abandonCall(p *pendingCall) {
	status := StatusUnavailable
	if p.openAttempts != 0 && !p.call.isReadOnly() && !s.config.TestingKnobs.ReportAmbiguousAsUnavailable {
		status = StatusAmbiguous
	}
	s.completeCall(p, Result{Status: status})
}

func (s *Service) completeCall(p *pendingCall, result Result) {
	delete(s.pending, p.sequence)
	p.done(result)
}

// PeerDisconnected is called when the link to a node has ended. Attempts that were sent there stay open, and the calls are soon sent to
// another node.
func (s *Service) PeerDisconnected(address string) {
	for _, sequence := range sortedKeys(s.pending) {
		if p := s.pending[sequence]; p != nil && p.target == address {
			p.avoid = address
			s.retryAfter(p, retryInterval)
		}
	}
}

// LeaderChanged is called when another node leads a group, as far as groups.Host.Leader knows. Calls whose target is not the leader are
// sent to it at once.
func (s *Service) LeaderChanged(group groups.ID) {
	for _, sequence := range sortedKeys(s.pending) {
		if p := s.pending[sequence]; p != nil && p.group == group && s.targetIsStale(p) {
			s.sendAttempt(p)
		}
	}
}
