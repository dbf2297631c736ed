package coordination

import (
	"time"

	"clovergap/internal/gateway/groups"
)

// Times of a call. A caller turns elsewhere after a second of silence.
const (
	callFor   = 800 * time.Millisecond // in which a call is answered, whatever the answer
	askAgain  = 40 * time.Millisecond  // while nobody is known to lead
	patience  = 250 * time.Millisecond // with a node that says nothing
	mostTries = 30

	waitedMost = 200 * time.Millisecond // that a call may have lain unread

	mostPending  = 4096  // calls that wait for an answer here
	mostParked   = 8192  // watches of all nodes that wait here, where their group is led
	mostWatchers = 16384 // watches of callers that wait here
)

// Outside is what a service needs of its node.
type Outside interface {
	// Send gives a message to another node; false: it is not on its way. It may be lost.
	Send(to string, m *Message) bool
	// At has Due called with the number at a time, if Live says then that it is still of interest.
	At(at time.Duration, number uint32)
	// Waited is how long what is taken now may have lain unread, since this node stood still.
	Waited() time.Duration
	// InTouch tells whether this node has word of a majority. Without it calls end at once, so that callers turn elsewhere.
	InTouch() bool
}

// Terms are a service's settings.
type Terms struct {
	Address string // this node's, among nodes
	Life    uint64 // of this node: another one after each start
	History time.Duration
}

// Service takes calls at a node, passes them on, and decides those of the groups that the node leads. All methods are called in turns
// of the node.
type Service struct {
	host    groups.Host
	outside Outside
	terms   Terms
	led     [groups.Count]ledGroup
	number  uint32
	pending map[uint32]*pending
	parked  map[uint32]*parkedWatch
	waiting map[string]map[uint32]*parkedWatch // the same by group of keys
	shared  map[watchKey]*sharedWatch
	watched int // callers that wait in these
	clocks  map[string]remoteClock
	news    []string // groups of keys that were put since the last Flush
	counts  Counts
	fault   fault
	numbers map[string]uint64 // numbersInMemory's
}

// ledGroup is a group at a node with a disk.
type ledGroup struct {
	state *State
	leads bool
	base  time.Duration // what the log clock showed at the least
	since time.Duration // and when that was, by this node's clock
}

// advanced notes that the log clock showed what the newest entry was stamped with, some time before now. So a follower that comes to lead
// knows how the clock went on since. It never keeps a time of its own that is ahead: another leader may have stamped entries by a clock
// that was behind, and whatever holds by these must not end early. Who leads goes on by its own.
func (g *ledGroup) advanced(now time.Duration) {
	if !g.leads && (g.state.fault != ownClock || g.state.clock > g.base+now-g.since) {
		g.base, g.since = g.state.clock, now
	}
}

// remoteClock is what is known of another node's steady clock: it is at least at, ahead of this node's by so much.
type remoteClock struct {
	life  uint64
	ahead time.Duration
}

// New makes a node's service; the host is set by Over before anything is called.
func New(outside Outside, terms Terms) *Service {
	return &Service{outside: outside, terms: terms, pending: map[uint32]*pending{}, parked: map[uint32]*parkedWatch{},
		waiting: map[string]map[uint32]*parkedWatch{}, shared: map[watchKey]*sharedWatch{}, clocks: map[string]remoteClock{},
		fault: planted, numbers: map[string]uint64{}}
}

// Over says which groups it stands on.
func (s *Service) Over(host groups.Host) { s.host = host }

// StateMachine makes a group's state.
func (s *Service) StateMachine(id groups.ID) groups.StateMachine {
	state := NewState(s.terms.History)
	state.changed = func(keyGroup string) {
		if s.waiting[keyGroup] != nil {
			s.news = append(s.news, keyGroup)
		}
	}
	g := &s.led[id]
	g.state, g.base, g.since = state, 0, s.host.Now()
	state.advanced = func() { g.advanced(s.host.Now()) }
	return state
}

// LeadershipGained begins to lead a group.
func (s *Service) LeadershipGained(id groups.ID, _ uint64) {
	g := &s.led[id]
	g.leads = true
	if s.fault == forgetsHolds {
		g.base += LongestHold
	}
	s.counts.Gained++
}

// LeadershipLost ends leading a group: the watches that wait here are sent to whoever leads now.
func (s *Service) LeadershipLost(id groups.ID, _ uint64) {
	g := &s.led[id]
	g.leads = false
	g.advanced(s.host.Now()) // others may have stamped entries before this was known
	s.counts.Lost++
	for _, w := range s.parkedOf(id) {
		s.unpark(w)
		w.reply(Refused, Answer{})
	}
}

// logClock is the log clock of a group that this node leads.
func (s *Service) logClock(id groups.ID) time.Duration {
	g := &s.led[id]
	return max(g.state.clock, g.base+s.host.Now()-g.since)
}

// leads tells whether this node leads a group, as far as it knows.
func (s *Service) leads(id groups.ID) bool {
	if s.led[id].state == nil || !s.led[id].leads {
		return false
	}
	_, _, ok := s.host.Leadership(id)
	return ok
}

// Take takes an application's call. then is called once, within the caller's second, or a watch's wait and a second.
func (s *Service) Take(c Call, then func(Answer)) {
	s.counts.Calls[c.Operation]++
	answered := func(a Answer) {
		s.counts.Answers[a.Status]++
		then(a)
	}
	if s.outside.Waited() > waitedMost && s.fault != lateCopies {
		answered(Answer{Status: Unavailable}) // its caller has turned elsewhere, and may be past what it asks for
		return
	}
	if c.Operation == KeyWatch {
		s.watch(&c, answered)
		return
	}
	s.ask(&c, callFor, answered)
}

// Heard takes another service's message.
func (s *Service) Heard(from string, m *Message) {
	switch {
	case m.Ask != nil:
		s.asked(from, m.Ask)
	case m.Reply != nil:
		s.replied(from, m.Reply)
	}
}

// asked takes a call that another node passed on. The clock is read first: what lay unread while this node stood still is too late.
func (s *Service) asked(from string, a *Ask) {
	reply := func(o Outcome, answer Answer) {
		r := &Reply{Asker: a.Asker, Number: a.Number, Try: a.Try, Outcome: o, Answer: answer, Life: s.terms.Life, Clock: s.host.Now()}
		if o == Refused {
			r.Leader, _ = s.host.Leader(a.Call.GroupID())
		}
		s.outside.Send(from, &Message{Reply: r})
	}
	switch {
	case s.fault == lateCopies:
	case a.Life != s.terms.Life:
		reply(Undated, Answer{})
		return
	case s.host.Now() > a.Until:
		s.counts.Late++
		reply(Undated, Answer{})
		return
	}
	s.serve(&a.Call, CallID{a.Asker, a.Number}, reply)
}

// Live tells whether a number's time is still of interest.
func (s *Service) Live(number uint32) bool {
	return s.pending[number] != nil || s.parked[number] != nil
}

// Due brings a number's time.
func (s *Service) Due(number uint32) {
	if p := s.pending[number]; p != nil {
		s.pendingDue(p)
	}
	if w := s.parked[number]; w != nil {
		s.parkedDue(w)
	}
}

// next is a number for something that has a time. It has 32 bits: nothing lives long enough to meet its number again.
func (s *Service) next() uint32 {
	s.number++
	return s.number
}
