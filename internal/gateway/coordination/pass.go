package coordination

import (
	"slices"
	"time"

	"clovergap/internal/gateway/groups"
)

// pending is a call that was taken here and waits for its answer.
type pending struct {
	number uint32
	call   Call
	group  groups.ID
	until  time.Duration
	next   time.Duration // when it is looked at again
	tries  uint8
	open   uint32 // tries that may take effect, or may have, a bit each
	to     string // where the newest try is
	avoid  string // a node that said nothing, or does not lead
	guess  int
	then   func(Answer)
}

// reads tells whether a call changes nothing, so that it never takes effect.
func (c *Call) reads() bool {
	switch c.Operation {
	case KeyRead, KeyWatch, LockRead, LockList:
		return true
	}
	return false
}

// ask brings a call to whoever leads its group.
func (s *Service) ask(c *Call, within time.Duration, then func(Answer)) {
	group := c.GroupID()
	if len(s.pending) >= mostPending || !s.leads(group) && !s.outside.InTouch() {
		then(Answer{Status: Unavailable})
		return
	}
	p := &pending{number: s.next(), call: *c, group: group, until: s.host.Now() + within, then: then}
	s.pending[p.number] = p
	s.outside.At(p.until, p.number)
	s.try(p)
}

// try sends a call to the likeliest node.
func (s *Service) try(p *pending) {
	now := s.host.Now()
	p.next = now + askAgain
	if p.tries >= mostTries {
		return
	}
	to := s.target(p)
	if to == "" {
		s.outside.At(p.next, p.number)
		return
	}
	try := p.tries
	p.tries++
	p.to = to
	p.open |= 1 << try
	p.next = now + patience + p.call.Wait
	if to == s.terms.Address {
		s.outside.At(p.next, p.number)
		s.serve(&p.call, CallID{s.terms.Life, p.number}, func(o Outcome, a Answer) { s.ended(p.number, try, o, a, "") })
		return
	}
	a := &Ask{Asker: s.terms.Life, Number: p.number, Try: try, Call: p.call}
	if clock, known := s.clocks[to]; known {
		a.Life, a.Until = clock.life, clock.ahead+p.until
	}
	s.counts.PassedOn++
	if !s.outside.Send(to, &Message{Ask: a}) {
		p.open &^= 1 << try
		p.avoid, p.next = to, now+askAgain
	}
	s.outside.At(p.next, p.number)
}

// target is the node to ask: this one if it leads, whoever is said to lead, else the next of those that may know.
func (s *Service) target(p *pending) string {
	if s.leads(p.group) {
		return s.terms.Address
	}
	if to, ok := s.host.Leader(p.group); ok && to != p.avoid && to != s.terms.Address {
		return to
	}
	all := slices.DeleteFunc(slices.Clone(s.host.LeaderCandidates(p.group)), func(to string) bool { return to == s.terms.Address })
	if len(all) == 0 {
		return ""
	}
	p.guess++
	return all[(p.guess-1)%len(all)]
}

// replied takes the answer to a call that was passed on.
func (s *Service) replied(from string, r *Reply) {
	ahead := r.Clock - s.host.Now() // at the least: the reply took a while
	if known, ok := s.clocks[from]; !ok || known.life != r.Life || known.ahead < ahead {
		s.clocks[from] = remoteClock{r.Life, ahead}
	}
	if r.Asker != s.terms.Life { // to a life before this one
		return
	}
	if p := s.pending[r.Number]; p != nil && r.Outcome == Refused && r.Leader != "" && r.Leader != from {
		s.host.HintLeader(p.group, r.Leader)
		p.avoid = from
	}
	s.ended(r.Number, r.Try, r.Outcome, r.Answer, r.Leader)
}

// ended takes the end of a try. Only one that did nothing lets the call be told so.
func (s *Service) ended(number uint32, try uint8, o Outcome, a Answer, leader string) {
	p := s.pending[number]
	if p == nil {
		return
	}
	newest := try+1 == p.tries
	switch o {
	case Done:
		s.end(p, a)
		return
	case Refused, Undated:
		p.open &^= 1 << try
	}
	if !newest {
		return
	}
	now := s.host.Now()
	switch {
	case o == Undated, o == Refused && leader != "" && leader != p.to:
		s.try(p)
	default:
		if o == Refused {
			p.avoid = p.to
		}
		p.next = now + askAgain
		s.outside.At(p.next, p.number)
	}
}

// pendingDue ends a call whose time has run out, or asks anew for one whose node says nothing.
func (s *Service) pendingDue(p *pending) {
	now := s.host.Now()
	switch {
	case now >= p.until:
		s.giveUp(p)
	case !s.leads(p.group) && !s.outside.InTouch():
		s.giveUp(p)
	case now >= p.next || s.ledElsewhere(p):
		if now >= p.next {
			p.avoid = p.to
		}
		s.try(p)
	}
}

// ledElsewhere tells whether another node leads by now than the one that has a call.
func (s *Service) ledElsewhere(p *pending) bool {
	if p.to == "" {
		return false
	}
	if s.leads(p.group) {
		return p.to != s.terms.Address
	}
	to, ok := s.host.Leader(p.group)
	return ok && to != p.to && to != p.avoid
}

// giveUp ends a call without an answer. It did nothing for sure only if no try of it is open.
func (s *Service) giveUp(p *pending) {
	status := Unavailable
	if p.open != 0 && !p.call.reads() && s.fault != promisesWrongly {
		status = Unclear
	}
	s.end(p, Answer{Status: status})
}

func (s *Service) end(p *pending, a Answer) {
	delete(s.pending, p.number)
	p.then(a)
}

// Down tells that the link to a node has ended: what it was asked may have taken effect or not.
func (s *Service) Down(address string) {
	for _, number := range sortedKeys(s.pending) {
		if p := s.pending[number]; p != nil && p.to == address {
			p.avoid, p.next = address, s.host.Now()+askAgain
			s.outside.At(p.next, p.number)
		}
	}
}

// Moved tells that another node leads a group, as far as is known here.
func (s *Service) Moved(group groups.ID) {
	for _, number := range sortedKeys(s.pending) {
		if p := s.pending[number]; p != nil && p.group == group && s.ledElsewhere(p) {
			s.try(p)
		}
	}
}
