package node

import (
	"bytes"
	"encoding/gob"
	"math"
	"time"

	"clovergap/internal/gateway/membership"
	"clovergap/internal/gateway/quorumcontact"
	"clovergap/internal/gateway/replication"
	"clovergap/internal/gateway/statemachine"
)

const (
	// minStreamRetry is when an unanswered request goes again, to another member if there is one; the delay doubles up to maxStreamRetry,
	// since a long answer takes its time on a slow link.
	minStreamRetry = 500 * time.Millisecond
	maxStreamRetry = 2 * time.Second
	// busyUpstreamTimeout is how long an upstream is waited for that sends other frames but no answer: it is busy, and another member is
	// as busy.
	busyUpstreamTimeout = 5 * time.Second
	// reportTTL is how long a member's report of its contact counts.
	reportTTL = 3 * time.Second
	// minProcessPause is the time between two ticks from which on this process was paused.
	minProcessPause = time.Second
	// processPauseGrace is how long after a pause no upstream is left: what others sent meanwhile is read first.
	processPauseGrace = 300 * time.Millisecond
	// otherZonePenalty decides between members that are else alike: bytes between zones are dear.
	otherZonePenalty = time.Millisecond

	unknownAge    = quorumcontact.UnknownAge
	unansweredAge = 2 * unknownAge // in place of the report of a member that did not answer
)

// streamReceiver receives the configuration log at a node without a disk: it chooses the member to have it from (the upstream), requests what
// comes after the last entry that was applied here, and applies what comes in order. At a member it does nothing.
type streamReceiver struct {
	host    streamReceiverHost
	roster  upstreamRoster
	contact *quorumcontact.Tracker
	knobs   *TestingKnobs
	member  bool
	addr    string // of this node
	zone    string

	upstream    string // "": none yet
	requestedAt time.Duration
	answeredAt  time.Duration // when the upstream last sent data
	lastFrameAt time.Duration // when it last sent anything
	retryDelay  time.Duration
	lastTickAt  time.Duration
	pausedUntil time.Duration // the end of the last pause of this process
	reports     map[string]upstreamReport
	incoming    replication.BlobReceiver
}

// streamReceiverHost is what a streamReceiver needs of its node.
type streamReceiverHost interface {
	Now() time.Duration
	AppliedIndex() uint64
	SendStreamRequest(to string, r *streamRequest)
	InstallState(index uint64, machine *statemachine.Machine)
	ApplyEntry(index uint64, data []byte)
	UpstreamChanged(addr string)
	StreamUnreadable(after uint64, err error)
}

// upstreamRoster knows the members; *membership.Roster implements it.
type upstreamRoster interface {
	IsLive(addr string) bool
	LiveDiskNodes() []membership.Node
	LinkedDiskNodes() []membership.Node
}

// upstreamReport is what a member reported of its contact.
type upstreamReport struct {
	receivedAt time.Duration
	contactAge time.Duration
	index      uint64
	term       uint64
}

// isUpstream reports whether this node has its entries from another one.
func (s *streamReceiver) isUpstream(addr string) bool { return addr == s.upstream }

// frameReceived notes that a node sent something.
func (s *streamReceiver) frameReceived(from string) {
	if s.isUpstream(from) {
		s.lastFrameAt = s.host.Now()
	}
}

// receiveReport takes what a member's heartbeat reports of its contact.
func (s *streamReceiver) receiveReport(from string, r quorumcontact.Report) {
	s.reports[from] = upstreamReport{s.host.Now(), r.Age, r.Index, r.Term}
}

// linkReset requests the stream again from the upstream: its link is new, and a request may have been lost with the one before.
func (s *streamReceiver) linkReset(addr string) {
	if s.isUpstream(addr) {
		s.request(addr)
	}
}

// upstreamLacksQuorum notes that the upstream has no contact with a majority, as its reply to a call shows: another member may have.
func (s *streamReceiver) upstreamLacksQuorum() {
	s.reports[s.upstream] = upstreamReport{s.host.Now(), unknownAge, 0, 0}
	s.check()
}

// receive takes data from the upstream. Entries that are applied already are passed over; after a gap the request goes again.
func (s *streamReceiver) receive(from string, d *streamData) {
	if s.member || !s.isUpstream(from) {
		return
	}
	s.answeredAt, s.retryDelay = s.host.Now(), minStreamRetry
	if !s.acceptReport(from, d) || !s.assemble(from, d) {
		return
	}
	if d.chunk != nil { // so that what follows the blob comes
		defer func() {
			s.host.SendStreamRequest(from, &streamRequest{after: s.host.AppliedIndex(), clock: s.contact.Timestamp(s.host.Now()), acceptsChunks: true})
		}()
	}
	if !s.apply(d) {
		return
	}
	if d.after > s.host.AppliedIndex() {
		s.request(from)
		return
	}
	s.contact.HandleReport(d.contact, s.host.AppliedIndex(), s.host.Now())
}

// acceptReport notes what data reports of its sender's contact. False: the data is of no use.
func (s *streamReceiver) acceptReport(from string, d *streamData) bool {
	empty := d.after == 0 && d.state == nil && d.chunk == nil && len(d.entries) == 0
	if empty && s.host.AppliedIndex() > 0 { // the upstream is back with an empty disk
		s.reports[from] = upstreamReport{s.answeredAt, unansweredAge, 0, 0}
		return false
	}
	if d.contact.Term > 0 && s.contact.IsStaleTerm(d.contact.Term) { // what it has was received here before that term began
		s.reports[from] = upstreamReport{s.answeredAt, unknownAge, d.after, d.contact.Term}
		return false
	}
	if last := s.reports[from]; last.receivedAt == 0 || s.host.Now()-last.receivedAt > heartbeatInterval {
		s.reports[from] = upstreamReport{s.answeredAt, d.contact.Age, d.after, d.contact.Term}
	}
	return true
}

// assemble takes a chunk, and acknowledges what is had of its blob. The last chunk makes of the data what one message would have brought;
// until then (false) nothing of it is applied.
func (s *streamReceiver) assemble(from string, d *streamData) bool {
	if d.chunk == nil {
		return true
	}
	blob, had := s.incoming.Receive(d.chunk)
	if blob == nil {
		s.host.SendStreamRequest(from, &streamRequest{after: s.host.AppliedIndex(), clock: s.contact.Timestamp(s.host.Now()), receivedChunk: had,
			acceptsChunks: true})
		return false
	}
	if !d.chunkEntries {
		d.state = blob
	} else if err := gob.NewDecoder(bytes.NewReader(blob)).Decode(&d.entries); err != nil {
		s.host.StreamUnreadable(d.after, err)
		return false
	}
	return true
}

// apply installs the state and applies the entries. False: the state can't be read, or entries are missing, which were requested.
func (s *streamReceiver) apply(d *streamData) bool {
	if d.state != nil && d.after > s.host.AppliedIndex() {
		machine, err := statemachine.Restore(d.state)
		if err != nil {
			s.host.StreamUnreadable(d.after, err)
			return false
		}
		s.host.InstallState(d.after, machine)
	}
	for i, data := range d.entries {
		switch index, applied := d.after+1+uint64(i), s.host.AppliedIndex(); {
		case index <= applied:
		case index == applied+1:
			s.host.ApplyEntry(index, data)
		default:
			s.request(s.upstream)
			return false
		}
	}
	return true
}

// request asks a member for the entries after the last one that is applied here, and makes it the upstream.
func (s *streamReceiver) request(addr string) {
	begins := !s.isUpstream(addr)
	if begins {
		s.host.UpstreamChanged(addr)
		if s.upstream != "" {
			s.host.SendStreamRequest(s.upstream, &streamRequest{ends: true})
		}
	}
	s.upstream, s.requestedAt = addr, s.host.Now()
	s.host.SendStreamRequest(addr, &streamRequest{after: s.host.AppliedIndex(), begins: begins, clock: s.contact.Timestamp(s.host.Now()),
		receivedChunk: s.incoming.ProgressAck(), acceptsChunks: true})
}

// tick notices a pause of this process.
func (s *streamReceiver) tick(now time.Duration) {
	if s.lastTickAt > 0 && now-s.lastTickAt > minProcessPause {
		s.pausedUntil = now
	}
	s.lastTickAt = now
}

// check keeps to an upstream whose contact is fresh, and else chooses one and requests the stream from it.
func (s *streamReceiver) check() {
	now := s.host.Now()
	if s.member || s.mustWait(now) {
		return
	}
	answered := s.answeredAt >= s.requestedAt
	if answered && s.roster.IsLive(s.upstream) && s.reportedAge(s.upstream) < s.contact.StreamMaxAge() {
		if s.reports[s.upstream].index > s.host.AppliedIndex() && now-max(s.requestedAt, s.answeredAt) > minStreamRetry {
			s.request(s.upstream) // what it sent was lost
		}
		return
	}
	if s.upstream != "" {
		if last, ok := s.reports[s.upstream]; !ok || !answered || now-last.receivedAt > s.contact.StreamMaxAge() {
			s.reports[s.upstream] = upstreamReport{now, unansweredAge, 0, 0}
		}
		if !answered {
			s.retryDelay = min(2*max(s.retryDelay, minStreamRetry), maxStreamRetry)
		}
	}
	if best := s.choose(now); best != "" {
		s.request(best)
	}
}

// mustWait reports whether it is too early to look for another upstream: an answer may be on its way, or lie unread after a pause, or come
// from a member that is busy.
func (s *streamReceiver) mustWait(now time.Duration) bool {
	if s.upstream != "" && now-s.requestedAt < max(s.retryDelay, minStreamRetry) || s.pausedUntil > 0 && now-s.pausedUntil < processPauseGrace {
		return true
	}
	unanswered := s.answeredAt < s.requestedAt
	return unanswered && s.lastFrameAt > s.requestedAt && now-s.requestedAt < busyUpstreamTimeout && s.roster.IsLive(s.upstream)
}

// choose is the member with the freshest contact, "" if there is none; among equals the current upstream, then one of the own zone. A
// member of which nothing is known is tried before one that is known to be stale, and one that did not answer goes to the end. One that
// knows of no leader yet has what its disk held, which is better than nothing after the loss of all.
func (s *streamReceiver) choose(now time.Duration) (best string) {
	least := time.Duration(math.MaxInt64)
	for _, m := range s.candidates() {
		if !m.Bootstrapped || m.Addr == s.addr {
			continue
		}
		age := s.rank(m.Addr, now)
		if m.Zone != s.zone {
			age += otherZonePenalty
		}
		switch {
		case age < least, age == least && s.isUpstream(m.Addr):
			best, least = m.Addr, age
		case age == least && !s.isUpstream(best) && membership.Prefers(s.addr, m.Addr, best):
			best = m.Addr // spreads the learners: not all choose the first by address
		}
	}
	return best
}

// candidates are the members that may be chosen: those that live, as the upstream reports. Without an upstream none seems to live, and
// one that is partitioned reports all others as gone, while they are but a link away: then those count that this node has a link to.
// After a pause of both sides no member may have sent anything, and none has a reason to while the links stand.
func (s *streamReceiver) candidates() []membership.Node {
	live := s.roster.LiveDiskNodes()
	if len(live) == 0 || s.reportedAge(s.upstream) >= s.contact.StreamMaxAge() && !s.knobs.TrustStaleUpstream {
		return s.roster.LinkedDiskNodes()
	}
	return live
}

// rank is the age by which a member is chosen. While there is no leader all members' contact grows older alike: they count as equal, unless one
// is of an older term, so that learners don't change over to whichever is younger at the moment.
func (s *streamReceiver) rank(addr string, now time.Duration) time.Duration {
	report, ok := s.reports[addr]
	switch maxAge := s.contact.StreamMaxAge(); {
	case !ok || now-report.receivedAt >= reportTTL:
		return 0
	case report.contactAge == unansweredAge:
		return unansweredAge
	case report.term == 0 || report.term >= s.contact.ReportedTerm():
		return min(s.reportedAge(addr), maxAge).Truncate(maxAge)
	}
	return s.reportedAge(addr)
}

// reportedAge is the age of a member's contact by its last report, for the choice of an upstream alone: what this node may do goes by its
// own contact. A member of an older term than the newest known here has nothing new.
func (s *streamReceiver) reportedAge(addr string) time.Duration {
	report, ok := s.reports[addr]
	if !ok || report.term > 0 && s.contact.IsStaleTerm(report.term) {
		return unknownAge
	}
	return report.contactAge + max(0, s.host.Now()-report.receivedAt-heartbeatInterval)
}
