package coordination

import (
	"time"

	"clovergap/internal/gateway/groups"
)

// Env is what a service needs of its node.
type Env interface {
	// Send gives a message to a link to another node. False: there is no link, and the message will never arrive. True promises
	// nothing: it may be lost or be late.
	Send(to string, m *Message) bool
	// ScheduleAt has Service.Due called with the sequence number at a time of groups.Host.Now, if Service.Live says then that the
	// number is still of interest.
	ScheduleAt(at time.Duration, sequence uint32)
	// InputDelay is how long the input of this turn may have been unread, since the process was stopped.
	InputDelay() time.Duration
	// HasQuorumContact reports whether this node had recent contact with a majority. Without it calls end at once, so that callers turn
	// to another node.
	HasQuorumContact() bool
}

// Config is what a service is made with.
type Config struct {
	Address          string        // of this node, among nodes
	Incarnation      uint64        // of this node's process
	HistoryRetention time.Duration // for which a watch may resume; the setting bounds.history
	TestingKnobs     TestingKnobs  // tests alone set it
}

// Service takes calls at a node, forwards them to the leaders of their groups, and serves those of the groups that this node leads. It
// implements groups.Application and eventloop.Alarm. All methods are called in turns of the node: by one goroutine at a time.
type Service struct {
	host             groups.Host
	env              Env
	config           Config
	hosted           [groups.Count]hostedGroup
	lastSequence     uint32
	pending          map[uint32]*pendingCall
	parkedWatches    map[uint32]*parkedWatch
	parkedByKeyGroup map[string]map[uint32]*parkedWatch // the same watches
	sharedWatches    map[watchKey]*sharedWatch
	watcherCount     int                    // in all shared watches
	remoteClocks     map[string]remoteClock // by address
	changedKeyGroups []string               // put since the last NotifyWatchers, those with parked watches
	counters         Counters
}

// New makes a node's service. SetHost must be called before anything else.
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

// SetHost sets the groups that the service stands on. It is apart from New since the host is made with the service.
func (s *Service) SetHost(host groups.Host) { s.host = host }

// Submit takes an application's call. done is called once: within callTimeout, or a watch's timeout and callTimeout.
func (s *Service) Submit(c Call, done func(Result)) {
	s.counters.Calls[c.Operation]++
	counted := func(r Result) {
		s.counters.Results[r.Status]++
		done(r)
	}
	if s.env.InputDelay() > maxInputDelay && !s.config.TestingKnobs.IgnoreDeadlines {
		counted(Result{Status: StatusUnavailable}) // the caller has turned to another node, and may have gone on
		return
	}
	if c.Operation == KeyWatch {
		s.startWatch(&c, counted)
		return
	}
	s.startCall(&c, callTimeout, counted)
}

// Receive takes a message of another node's service.
func (s *Service) Receive(from string, m *Message) {
	switch {
	case m.Request != nil:
		s.handleForwardRequest(from, m.Request)
	case m.Response != nil:
		s.handleForwardResponse(from, m.Response)
	}
}

// Live reports whether a sequence number's timer is still of interest.
func (s *Service) Live(sequence uint32) bool {
	return s.pending[sequence] != nil || s.parkedWatches[sequence] != nil
}

// Due is called when a sequence number's timer has run out.
func (s *Service) Due(sequence uint32) {
	if p := s.pending[sequence]; p != nil {
		s.handleCallTimer(p)
	}
	if w := s.parkedWatches[sequence]; w != nil {
		s.handleWatchTimer(w)
	}
}

// nextSequence numbers a call or a parked watch. With 32 bits none lives long enough to meet its number again.
func (s *Service) nextSequence() uint32 {
	s.lastSequence++
	return s.lastSequence
}
