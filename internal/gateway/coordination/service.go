package coordination

import (
	"time"

	"clovergap/internal/gateway/groups"
)

// Env is the interface through which a service uses its node.
type Env interface {
	// Send passes a message to the link to another node. Send returns false if there is no link. The message then never arrives. If Send
	// returns true, the message may still be lost or late.
	Send(to string, m *Message) bool
	// ScheduleAt sets a timer for a sequence number. The timer expires at the time at, by the clock of groups.Host.Now. When the timer
	// expires, the node calls Service.Due if Service.Live returns true for the sequence number.
	ScheduleAt(at time.Duration, sequence uint32)
	// HasQuorumContact reports whether this node recently had contact with a majority. Without quorum contact, calls end at once, so that
	// callers switch to another node.
	HasQuorumContact() bool
}

// Config holds the parameters of New.
type Config struct {
	Address          string        // address of this node among the nodes
	Incarnation      uint64        // incarnation of this node's process
	HistoryRetention time.Duration // how long after an event was received a watch may resume from it; the setting bounds.history
	TestingKnobs     TestingKnobs  // set only by tests
}

// Service receives calls at a node, forwards them to the leaders of their groups, and serves the calls of the groups that this node leads.
// Service implements groups.Application and eventloop.Alarm. The node calls all methods in turns, which means by one goroutine at a time.
type Service struct {
	host             groups.Host
	env              Env
	config           Config
	hosted           [groups.Count]hostedGroup
	lastSequence     uint32
	pending          map[uint32]*pendingCall
	parkedWatches    map[uint32]*parkedWatch
	parkedByKeyGroup map[string]map[uint32]*parkedWatch // the same watches by key group, then by sequence number
	sharedWatches    map[watchKey]*sharedWatch
	watcherCount     int                    // number of callers in all shared watches
	remoteClocks     map[string]remoteClock // clocks of the other nodes, by address
	// changedKeyGroups lists the key groups that have parked watches and had a put since the last call of NotifyWatchers.
	changedKeyGroups []string
	counters         Counters
}

// New returns a node's service. SetHost must be called before any other method.
func New(env Env, config Config) *Service {
	return &Service{
		env:              env,
		config:           config,
		pending:          map[uint32]*pendingCall{},
		parkedWatches:    map[uint32]*parkedWatch{},
		parkedByKeyGroup: map[string]map[uint32]*parkedWatch{},
		sharedWatches:    map[watchKey]*sharedWatch{},
		remoteClocks:     map[string]remoteClock{},
	}
}

// SetHost sets the host of the replicated groups. SetHost is separate from New because creating the host requires the service.
func (s *Service) SetHost(host groups.Host) { s.host = host }

// Submit handles an application's call that may have waited unread for inputDelay. Submit calls done exactly once, within callTimeout, or for a
// watch within the watch's timeout plus callTimeout.
func (s *Service) Submit(c Call, inputDelay time.Duration, done func(Result)) {
	s.counters.Calls[c.Operation]++
	countAndReply := func(r Result) {
		s.counters.Results[r.Status]++
		done(r)
	}
	if s.config.TestingKnobs.IgnoreDeadlines {
		inputDelay = 0
	}
	if inputDelay > maxInputDelay {
		countAndReply(Result{Status: StatusUnavailable}) // the caller may have abandoned the call: see maxInputDelay
		return
	}
	if c.Operation == KeyWatch {
		s.startWatch(&c, countAndReply)
		return
	}
	// The call must have ended callTimeout after it came, however long it waited unread: see staleReleaseWindow.
	s.startCall(&c, callTimeout-inputDelay, countAndReply)
}

// Receive handles a message from another node's service.
func (s *Service) Receive(from string, m *Message) {
	switch {
	case m.Request != nil:
		s.handleForwardRequest(from, m.Request)
	case m.Response != nil:
		s.handleForwardResponse(from, m.Response)
	}
}

// Live reports whether the call or parked watch with a sequence number still exists. The node ignores a timer whose number does not exist.
func (s *Service) Live(sequence uint32) bool {
	return s.pending[sequence] != nil || s.parkedWatches[sequence] != nil
}

// Due handles the expiry of a timer that Env.ScheduleAt set for a sequence number.
func (s *Service) Due(sequence uint32) {
	if p := s.pending[sequence]; p != nil {
		s.handleCallTimer(p)
	}
	if w := s.parkedWatches[sequence]; w != nil {
		s.handleWatchTimer(w)
	}
}

// nextSequence returns the sequence number of a new call or parked watch. Each call and each parked watch ends long before its 32-bit number
// is assigned again.
func (s *Service) nextSequence() uint32 {
	s.lastSequence++
	return s.lastSequence
}
