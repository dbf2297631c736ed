package coordination

import (
	"slices"
	"time"

	"clovergap/internal/gateway/groups"
)

// pendingCall is a call that was taken here and waits for its answer.
type pendingCall struct {
	sequence     uint32
	call         Call
	group        groups.ID
	deadline     time.Duration
	retryAt      time.Duration // when it is looked at again
	attempts     uint8
	openAttempts uint32 // tries that may take effect, or may have, a bit each
	target       string // where the newest try is
	avoid        string // a node that said nothing, or does not lead
	nextGuess    int
	done         func(Result)
}

// isReadOnly tells whether a call changes nothing, so that it never takes effect.
func (c *Call) isReadOnly() bool {
	switch c.Operation {
	case KeyRead, KeyWatch, LockRead, LockList:
		return true
	}
	return false
}

// startCall brings a call to whoever leads its group.
func (s *Service) startCall(c *Call, within time.Duration, then func(Result)) {
	group := c.GroupID()
	if len(s.pending) >= maxPendingCalls || !s.isLeader(group) && !s.env.HasQuorumContact() {
		then(Result{Status: StatusUnavailable})
		return
	}
	p := &pendingCall{sequence: s.nextSequence(), call: *c, group: group, deadline: s.host.Now() + within, done: then}
	s.pending[p.sequence] = p
	s.env.ScheduleAt(p.deadline, p.sequence)
	s.sendAttempt(p)
}

// sendAttempt sends a call to the likeliest node.
func (s *Service) sendAttempt(p *pendingCall) {
	now := s.host.Now()
	p.retryAt = now + retryInterval
	if p.attempts >= maxAttempts {
		return
	}
	to := s.chooseTarget(p)
	if to == "" {
		s.env.ScheduleAt(p.retryAt, p.sequence)
		return
	}
	try := p.attempts
	p.attempts++
	p.target = to
	p.openAttempts |= 1 << try
	p.retryAt = now + attemptTimeout + p.call.Timeout
	if to == s.config.Address {
		s.env.ScheduleAt(p.retryAt, p.sequence)
		s.serveAsLeader(&p.call, CallID{s.config.Incarnation, p.sequence}, func(o AttemptOutcome, a Result) { s.attemptEnded(p.sequence, try, o, a, "") })
		return
	}
	a := &ForwardRequest{OriginIncarnation: s.config.Incarnation, Sequence: p.sequence, Attempt: try, Call: p.call}
	if clock, known := s.remoteClocks[to]; known {
		a.TargetIncarnation, a.Deadline = clock.incarnation, clock.offset+p.deadline
	}
	s.counters.Forwarded++
	if !s.env.Send(to, &Message{Request: a}) {
		p.openAttempts &^= 1 << try
		p.avoid, p.retryAt = to, now+retryInterval
	}
	s.env.ScheduleAt(p.retryAt, p.sequence)
}

// chooseTarget is the node to ask: this one if it leads, whoever is said to lead, else the next of those that may know.
func (s *Service) chooseTarget(p *pendingCall) string {
	if s.isLeader(p.group) {
		return s.config.Address
	}
	if to, ok := s.host.Leader(p.group); ok && to != p.avoid && to != s.config.Address {
		return to
	}
	all := slices.DeleteFunc(slices.Clone(s.host.LeaderCandidates(p.group)), func(to string) bool { return to == s.config.Address })
	if len(all) == 0 {
		return ""
	}
	p.nextGuess++
	return all[(p.nextGuess-1)%len(all)]
}

// handleForwardResponse takes the answer to a call that was passed on.
func (s *Service) handleForwardResponse(from string, r *ForwardResponse) {
	ahead := r.ResponderClock - s.host.Now() // at the least: the reply took a while
	if known, ok := s.remoteClocks[from]; !ok || known.incarnation != r.ResponderIncarnation || known.offset < ahead {
		s.remoteClocks[from] = remoteClock{r.ResponderIncarnation, ahead}
	}
	if r.OriginIncarnation != s.config.Incarnation { // to a life before this one
		return
	}
	if p := s.pending[r.Sequence]; p != nil && r.Outcome == AttemptRejected && r.LeaderHint != "" && r.LeaderHint != from {
		s.host.HintLeader(p.group, r.LeaderHint)
		p.avoid = from
	}
	s.attemptEnded(r.Sequence, r.Attempt, r.Outcome, r.Result, r.LeaderHint)
}

// attemptEnded takes the end of a try. Only one that did nothing lets the call be told so.
func (s *Service) attemptEnded(number uint32, try uint8, o AttemptOutcome, a Result, leader string) {
	p := s.pending[number]
	if p == nil {
		return
	}
	newest := try+1 == p.attempts
	switch o {
	case AttemptDone:
		s.completeCall(p, a)
		return
	case AttemptRejected, AttemptDeadlineInvalid:
		p.openAttempts &^= 1 << try
	}
	if !newest {
		return
	}
	now := s.host.Now()
	switch {
	case o == AttemptDeadlineInvalid, o == AttemptRejected && leader != "" && leader != p.target:
		s.sendAttempt(p)
	default:
		if o == AttemptRejected {
			p.avoid = p.target
		}
		p.retryAt = now + retryInterval
		s.env.ScheduleAt(p.retryAt, p.sequence)
	}
}

// handleCallTimer ends a call whose time has run out, or asks anew for one whose node says nothing.
func (s *Service) handleCallTimer(p *pendingCall) {
	now := s.host.Now()
	switch {
	case now >= p.deadline:
		s.abandonCall(p)
	case !s.isLeader(p.group) && !s.env.HasQuorumContact():
		s.abandonCall(p)
	case now >= p.retryAt || s.targetIsStale(p):
		if now >= p.retryAt {
			p.avoid = p.target
		}
		s.sendAttempt(p)
	}
}

// targetIsStale tells whether another node leads by now than the one that has a call.
func (s *Service) targetIsStale(p *pendingCall) bool {
	if p.target == "" {
		return false
	}
	if s.isLeader(p.group) {
		return p.target != s.config.Address
	}
	to, ok := s.host.Leader(p.group)
	return ok && to != p.target && to != p.avoid
}

// abandonCall ends a call without an answer. It did nothing for sure only if no try of it is open.
func (s *Service) abandonCall(p *pendingCall) {
	status := StatusUnavailable
	if p.openAttempts != 0 && !p.call.isReadOnly() && s.fault != promisesWrongly {
		status = StatusAmbiguous
	}
	s.completeCall(p, Result{Status: status})
}

func (s *Service) completeCall(p *pendingCall, a Result) {
	delete(s.pending, p.sequence)
	p.done(a)
}

// PeerDisconnected tells that the link to a node has ended: what it was asked may have taken effect or not.
func (s *Service) PeerDisconnected(address string) {
	for _, number := range sortedKeys(s.pending) {
		if p := s.pending[number]; p != nil && p.target == address {
			p.avoid, p.retryAt = address, s.host.Now()+retryInterval
			s.env.ScheduleAt(p.retryAt, p.sequence)
		}
	}
}

// LeaderChanged tells that another node leads a group, as far as is known here.
func (s *Service) LeaderChanged(group groups.ID) {
	for _, number := range sortedKeys(s.pending) {
		if p := s.pending[number]; p != nil && p.group == group && s.targetIsStale(p) {
			s.sendAttempt(p)
		}
	}
}
