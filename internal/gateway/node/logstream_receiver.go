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
	// pauseThreshold is the time between two ticks from which on this process was paused.
	pauseThreshold = time.Second
	// pauseGrace is how long after a pause no upstream is left: what others sent meanwhile is read first.
	pauseGrace = 300 * time.Millisecond
	// otherZonePenalty decides between members that are else alike: bytes between zones are dear.
	otherZonePenalty = time.Millisecond

	unknownAge    = quorumcontact.UnknownAge
	unansweredAge = 2 * unknownAge // in place of the report of a member that did not answer
)

// logReceiver receives the configuration log at a node without a disk: it chooses the member to have it from (the upstream), requests what
// comes after the last entry that was applied here, and applies what comes in order. At a member it does nothing.
type logReceiver struct {
	host    logReceiverHost
	roster  upstreamRoster
	contact *quorumcontact.Tracker
	knobs   *TestingKnobs
	member  bool
	addr    string // of this node
	zone    string

	upstream    string // "": none yet
	requestedAt time.Duration
	answeredAt  time.Duration // when the upstream last sent data
	heardAt     time.Duration // when it last sent anything
	retryDelay  time.Duration
	lastTickAt  time.Duration
	pausedUntil time.Duration // the end of the last pause of this process
	reports     map[string]upstreamReport
	incoming    replication.BlobReceiver
}

// logReceiverHost is what a logReceiver needs of its node.
type logReceiverHost interface {
	Now() time.Duration
	AppliedIndex() uint64
	SendStreamRequest(to string, r *StreamRequest)
	InstallState(index uint64, s *statemachine.Machine)
	ApplyEntry(index uint64, data []byte)
	UpstreamChanged(addr string)
	StreamUnreadable(after uint64, err error)
}

// upstreamRoster knows the members; *membership.Roster implements it.
type upstreamRoster interface {
	Live(addr string) bool
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

// isUpstream tells whether this node has its entries from another one.
func (r *logReceiver) isUpstream(addr string) bool { return addr == r.upstream }

// frameReceived notes that a node sent something.
func (r *logReceiver) frameReceived(from string) {
	if r.isUpstream(from) {
		r.heardAt = r.host.Now()
	}
}

// receiveReport takes what a member's heartbeat reports of its contact.
func (r *logReceiver) receiveReport(from string, contactAge time.Duration, index, term uint64) {
	r.reports[from] = upstreamReport{r.host.Now(), contactAge, index, term}
}

// linkReset asks the upstream again: its link is new, and a request may have been lost with the one before.
func (r *logReceiver) linkReset(addr string) {
	if r.isUpstream(addr) {
		r.request(addr)
	}
}

// upstreamLacksQuorum notes that the upstream has no contact with a majority, as its answer to a call told: another member may have.
func (r *logReceiver) upstreamLacksQuorum() {
	r.reports[r.upstream] = upstreamReport{r.host.Now(), unknownAge, 0, 0}
	r.check()
}

// receive takes data from the upstream. Entries that are applied already are passed over; after a gap the request goes again.
func (r *logReceiver) receive(from string, d *StreamData) {
	if r.member || !r.isUpstream(from) {
		return
	}
	r.answeredAt, r.retryDelay = r.host.Now(), minStreamRetry
	if !r.acceptReport(from, d) || !r.assemble(from, d) {
		return
	}
	if d.Chunk != nil { // so that what follows the blob comes
		defer func() {
			r.host.SendStreamRequest(from, &StreamRequest{After: r.host.AppliedIndex(), Clock: r.contact.Stamp(r.host.Now()), Chunks: true})
		}()
	}
	if !r.apply(d) {
		return
	}
	if d.After > r.host.AppliedIndex() {
		r.request(from)
		return
	}
	r.contact.Learn(quorumcontact.Report{Age: d.Stale, Term: d.View, Echo: d.Echo, Index: d.Index}, r.host.AppliedIndex(), r.host.Now())
}

// acceptReport notes what data reports of its sender's contact. False: the data is of no use.
func (r *logReceiver) acceptReport(from string, d *StreamData) bool {
	empty := d.After == 0 && d.State == nil && d.Chunk == nil && len(d.Entries) == 0
	if empty && r.host.AppliedIndex() > 0 { // the upstream is back with an empty disk
		r.reports[from] = upstreamReport{r.answeredAt, unansweredAge, 0, 0}
		return false
	}
	if d.View > 0 && r.contact.IsStaleTerm(d.View) { // what it has was received here before that term began
		r.reports[from] = upstreamReport{r.answeredAt, unknownAge, d.After, d.View}
		return false
	}
	if last := r.reports[from]; last.receivedAt == 0 || r.host.Now()-last.receivedAt > heartbeatInterval {
		r.reports[from] = upstreamReport{r.answeredAt, d.Stale, d.After, d.View}
	}
	return true
}

// assemble takes a chunk, and acknowledges what is had of its blob. The last chunk makes of the data what one message would have brought;
// until then (false) nothing of it is applied.
func (r *logReceiver) assemble(from string, d *StreamData) bool {
	if d.Chunk == nil {
		return true
	}
	blob, had := r.incoming.Receive(d.Chunk)
	if blob == nil {
		r.host.SendStreamRequest(from, &StreamRequest{After: r.host.AppliedIndex(), Clock: r.contact.Stamp(r.host.Now()), Had: had, Chunks: true})
		return false
	}
	if !d.Log {
		d.State = blob
	} else if err := gob.NewDecoder(bytes.NewReader(blob)).Decode(&d.Entries); err != nil {
		r.host.StreamUnreadable(d.After, err)
		return false
	}
	return true
}

// apply installs the state and applies the entries. False: the state can't be read, or entries are missing, which were requested.
func (r *logReceiver) apply(d *StreamData) bool {
	if d.State != nil && d.After > r.host.AppliedIndex() {
		s, err := statemachine.Restore(d.State)
		if err != nil {
			r.host.StreamUnreadable(d.After, err)
			return false
		}
		r.host.InstallState(d.After, s)
	}
	for i, data := range d.Entries {
		switch index, applied := d.After+1+uint64(i), r.host.AppliedIndex(); {
		case index <= applied:
		case index == applied+1:
			r.host.ApplyEntry(index, data)
		default:
			r.request(r.upstream)
			return false
		}
	}
	return true
}

// request asks a member for the entries after the last one that is applied here, and makes it the upstream.
func (r *logReceiver) request(addr string) {
	anew := !r.isUpstream(addr)
	if anew {
		r.host.UpstreamChanged(addr)
		if r.upstream != "" {
			r.host.SendStreamRequest(r.upstream, &StreamRequest{Ends: true})
		}
	}
	r.upstream, r.requestedAt = addr, r.host.Now()
	r.host.SendStreamRequest(addr, &StreamRequest{After: r.host.AppliedIndex(), Anew: anew, Clock: r.contact.Stamp(r.host.Now()),
		Had: r.incoming.Received(), Chunks: true})
}

// tick notices a pause of this process.
func (r *logReceiver) tick(now time.Duration) {
	if r.lastTickAt > 0 && now-r.lastTickAt > pauseThreshold {
		r.pausedUntil = now
	}
	r.lastTickAt = now
}

// check keeps to an upstream whose contact is fresh, and else chooses one and requests the stream from it.
func (r *logReceiver) check() {
	now := r.host.Now()
	if r.member || r.waits(now) {
		return
	}
	answered := r.answeredAt >= r.requestedAt
	if answered && r.roster.Live(r.upstream) && r.reportedAge(r.upstream) < r.contact.StreamMaxAge() {
		if r.reports[r.upstream].index > r.host.AppliedIndex() && now-max(r.requestedAt, r.answeredAt) > minStreamRetry {
			r.request(r.upstream) // what it sent was lost
		}
		return
	}
	if r.upstream != "" {
		if last, ok := r.reports[r.upstream]; !ok || !answered || now-last.receivedAt > r.contact.StreamMaxAge() {
			r.reports[r.upstream] = upstreamReport{now, unansweredAge, 0, 0}
		}
		if !answered {
			r.retryDelay = min(2*max(r.retryDelay, minStreamRetry), maxStreamRetry)
		}
	}
	if best := r.choose(now); best != "" {
		r.request(best)
	}
}

// waits tells whether it is too early to look for another upstream: an answer may be on its way, or lie unread after a pause, or come
// from a member that is busy.
func (r *logReceiver) waits(now time.Duration) bool {
	if r.upstream != "" && now-r.requestedAt < max(r.retryDelay, minStreamRetry) || r.pausedUntil > 0 && now-r.pausedUntil < pauseGrace {
		return true
	}
	unanswered := r.answeredAt < r.requestedAt
	return unanswered && r.heardAt > r.requestedAt && now-r.requestedAt < busyUpstreamTimeout && r.roster.Live(r.upstream)
}

// choose is the member with the freshest contact, "" if there is none; among equals the current upstream, then one of the own zone. A
// member of which nothing is known is tried before one that is known to be stale, and one that did not answer goes to the end. One that
// knows of no leader yet has what its disk held, which is better than nothing after the loss of all.
func (r *logReceiver) choose(now time.Duration) (best string) {
	least := time.Duration(math.MaxInt64)
	for _, m := range r.candidates() {
		if !m.Founded || m.Addr == r.addr {
			continue
		}
		age := r.rank(m.Addr, now)
		if m.Zone != r.zone {
			age += otherZonePenalty
		}
		switch {
		case age < least, age == least && r.isUpstream(m.Addr):
			best, least = m.Addr, age
		case age == least && !r.isUpstream(best) && membership.Prefers(r.addr, m.Addr, best):
			best = m.Addr // spreads the learners: not all choose the first by address
		}
	}
	return best
}

// candidates are the members that may be asked: those that live, as the upstream tells. Without an upstream nobody seems to live, and
// one that is partitioned tells that all others are gone, while they are but a link away: then those count that this node has a link
// to. After a pause of both sides none may have sent anything, and none has a reason to while the links stand.
func (r *logReceiver) candidates() []membership.Node {
	live := r.roster.LiveDiskNodes()
	if len(live) == 0 || r.reportedAge(r.upstream) >= r.contact.StreamMaxAge() && !r.knobs.TrustStaleUpstream {
		return r.roster.LinkedDiskNodes()
	}
	return live
}

// rank is the age by which a member is chosen. While nobody leads all members' contact grows older alike: they count as equal, unless one
// is of an older term, so that learners don't change over to whichever is younger at the moment.
func (r *logReceiver) rank(addr string, now time.Duration) time.Duration {
	report, ok := r.reports[addr]
	switch maxAge := r.contact.StreamMaxAge(); {
	case !ok || now-report.receivedAt >= reportTTL:
		return 0
	case report.contactAge == unansweredAge:
		return unansweredAge
	case report.term == 0 || report.term >= r.contact.ReportedTerm():
		return min(r.reportedAge(addr), maxAge).Truncate(maxAge)
	}
	return r.reportedAge(addr)
}

// reportedAge is the age of a member's contact by its last report, for the choice of an upstream alone: what this node may do goes by its
// own contact. A member of an older term than the newest known here has nothing new.
func (r *logReceiver) reportedAge(addr string) time.Duration {
	report, ok := r.reports[addr]
	if !ok || report.term > 0 && r.contact.IsStaleTerm(report.term) {
		return unknownAge
	}
	return report.contactAge + max(0, r.host.Now()-report.receivedAt-heartbeatInterval)
}
