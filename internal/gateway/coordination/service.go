package coordination

import (
	"time"

	"clovergap/internal/gateway/groups"
)

// Times of a call. A caller turns elsewhere after a second of silence.
const (
	callTimeout    = 800 * time.Millisecond // in which a call is answered, whatever the answer
	retryInterval  = 40 * time.Millisecond  // while nobody is known to lead
	attemptTimeout = 250 * time.Millisecond // with a node that says nothing
	maxAttempts    = 30

	maxInputDelay = 200 * time.Millisecond // that a call may have lain unread

	maxPendingCalls  = 4096  // calls that wait for an answer here
	maxParkedWatches = 8192  // watches of all nodes that wait here, where their group is led
	maxWatchers      = 16384 // watches of callers that wait here
)

// Env is what a service needs of its node.
type Env interface {
	// Send gives a message to another node; false: it is not on its way. It may be lost.
	Send(to string, m *Message) bool
	// ScheduleAt has Due called with the number at a time, if Live says then that it is still of interest.
	ScheduleAt(at time.Duration, number uint32)
	// InputDelay is how long what is taken now may have lain unread, since this node stood still.
	InputDelay() time.Duration
	// HasQuorumContact tells whether this node has word of a majority. Without it calls end at once, so that callers turn elsewhere.
	HasQuorumContact() bool
}

// Config are a service's settings.
type Config struct {
	Address          string // this node's, among nodes
	Incarnation      uint64 // of this node: another one after each start
	HistoryRetention time.Duration
}

// Service takes calls at a node, passes them on, and decides those of the groups that the node leads. All methods are called in turns
// of the node.
type Service struct {
	host             groups.Host
	env              Env
	config           Config
	hosted           [groups.Count]hostedGroup
	lastSequence     uint32
	pending          map[uint32]*pendingCall
	parkedWatches    map[uint32]*parkedWatch
	parkedByKeyGroup map[string]map[uint32]*parkedWatch // the same by group of keys
	sharedWatches    map[watchKey]*sharedWatch
	watcherCount     int // callers that wait in these
	remoteClocks     map[string]remoteClock
	changedKeyGroups []string // groups of keys that were put since the last Flush
	counters         Counters
	fault            fault
	numbers          map[string]uint64 // numbersInMemory's
}

// hostedGroup is a group at a node with a disk.
type hostedGroup struct {
	state         *State
	isLeader      bool
	anchorLogTime time.Duration // what the log clock showed at the least
	anchoredAt    time.Duration // and when that was, by this node's clock
}

// anchorClock notes that the log clock showed what the newest entry was stamped with, some time before now. So a follower that comes to lead
// knows how the clock went on since. It never keeps a time of its own that is ahead: another leader may have stamped entries by a clock
// that was behind, and whatever holds by these must not end early. Who leads goes on by its own.
func (h *hostedGroup) anchorClock(now time.Duration) {
	if !h.isLeader && (h.state.fault != ownClock || h.state.logTime > h.anchorLogTime+now-h.anchoredAt) {
		h.anchorLogTime, h.anchoredAt = h.state.logTime, now
	}
}

// remoteClock is what is known of another node's steady clock: it is at least at, ahead of this node's by so much.
type remoteClock struct {
	incarnation uint64
	offset      time.Duration
}

// New makes a node's service; the host is set by Over before anything is called.
func New(outside Env, terms Config) *Service {
	return &Service{env: outside, config: terms, pending: map[uint32]*pendingCall{}, parkedWatches: map[uint32]*parkedWatch{},
		parkedByKeyGroup: map[string]map[uint32]*parkedWatch{}, sharedWatches: map[watchKey]*sharedWatch{}, remoteClocks: map[string]remoteClock{},
		fault: planted, numbers: map[string]uint64{}}
}

// SetHost says which groups it stands on.
func (s *Service) SetHost(host groups.Host) { s.host = host }

// StateMachine makes a group's state.
func (s *Service) StateMachine(id groups.ID) groups.StateMachine {
	state := NewState(s.config.HistoryRetention)
	state.onKeyGroupChanged = func(keyGroup string) {
		if s.parkedByKeyGroup[keyGroup] != nil {
			s.changedKeyGroups = append(s.changedKeyGroups, keyGroup)
		}
	}
	g := &s.hosted[id]
	g.state, g.anchorLogTime, g.anchoredAt = state, 0, s.host.Now()
	state.onLogTimeAdvanced = func() { g.anchorClock(s.host.Now()) }
	return state
}

// LeadershipGained begins to lead a group.
func (s *Service) LeadershipGained(id groups.ID, _ uint64) {
	g := &s.hosted[id]
	g.isLeader = true
	if s.fault == forgetsHolds {
		g.anchorLogTime += MaxTTL
	}
	s.counters.LeadershipsGained++
}

// LeadershipLost ends leading a group: the watches that wait here are sent to whoever leads now.
func (s *Service) LeadershipLost(id groups.ID, _ uint64) {
	g := &s.hosted[id]
	g.isLeader = false
	g.anchorClock(s.host.Now()) // others may have stamped entries before this was known
	s.counters.LeadershipsLost++
	for _, w := range s.parkedIn(id) {
		s.unpark(w)
		w.reply(AttemptRejected, Result{})
	}
}

// logTime is the log clock of a group that this node leads.
func (s *Service) logTime(id groups.ID) time.Duration {
	g := &s.hosted[id]
	return max(g.state.logTime, g.anchorLogTime+s.host.Now()-g.anchoredAt)
}

// isLeader tells whether this node leads a group, as far as it knows.
func (s *Service) isLeader(id groups.ID) bool {
	if s.hosted[id].state == nil || !s.hosted[id].isLeader {
		return false
	}
	_, _, ok := s.host.Leadership(id)
	return ok
}

// Submit takes an application's call. then is called once, within the caller's second, or a watch's wait and a second.
func (s *Service) Submit(c Call, then func(Result)) {
	s.counters.Calls[c.Operation]++
	answered := func(a Result) {
		s.counters.Results[a.Status]++
		then(a)
	}
	if s.env.InputDelay() > maxInputDelay && s.fault != lateCopies {
		answered(Result{Status: StatusUnavailable}) // its caller has turned elsewhere, and may be past what it asks for
		return
	}
	if c.Operation == KeyWatch {
		s.startWatch(&c, answered)
		return
	}
	s.startCall(&c, callTimeout, answered)
}

// Receive takes another service's message.
func (s *Service) Receive(from string, m *Message) {
	switch {
	case m.Request != nil:
		s.handleForwardRequest(from, m.Request)
	case m.Response != nil:
		s.handleForwardResponse(from, m.Response)
	}
}

// handleForwardRequest takes a call that another node passed on. The clock is read first: what lay unread while this node stood still is too late.
func (s *Service) handleForwardRequest(from string, a *ForwardRequest) {
	reply := func(o AttemptOutcome, answer Result) {
		r := &ForwardResponse{OriginIncarnation: a.OriginIncarnation, Sequence: a.Sequence, Attempt: a.Attempt, Outcome: o, Result: answer, ResponderIncarnation: s.config.Incarnation, ResponderClock: s.host.Now()}
		if o == AttemptRejected {
			r.LeaderHint, _ = s.host.Leader(a.Call.GroupID())
		}
		s.env.Send(from, &Message{Response: r})
	}
	switch {
	case s.fault == lateCopies:
	case a.TargetIncarnation != s.config.Incarnation:
		reply(AttemptDeadlineInvalid, Result{})
		return
	case s.host.Now() > a.Deadline:
		s.counters.LateRequests++
		reply(AttemptDeadlineInvalid, Result{})
		return
	}
	s.serveAsLeader(&a.Call, CallID{a.OriginIncarnation, a.Sequence}, reply)
}

// Live tells whether a number's time is still of interest.
func (s *Service) Live(number uint32) bool {
	return s.pending[number] != nil || s.parkedWatches[number] != nil
}

// Due brings a number's time.
func (s *Service) Due(number uint32) {
	if p := s.pending[number]; p != nil {
		s.handleCallTimer(p)
	}
	if w := s.parkedWatches[number]; w != nil {
		s.handleWatchTimer(w)
	}
}

// nextSequence is a number for something that has a time. It has 32 bits: nothing lives long enough to meet its number again.
func (s *Service) nextSequence() uint32 {
	s.lastSequence++
	return s.lastSequence
}
