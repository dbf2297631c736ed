package node

import (
	"bytes"
	"encoding/gob"
	"maps"
	"slices"
	"time"

	"clovergap/internal/gateway/quorumcontact"
	"clovergap/internal/gateway/replication"
	"clovergap/internal/gateway/statemachine"
)

const (
	// maxEntriesBlobBytes bounds the entries that go to a learner as one blob.
	maxEntriesBlobBytes = 256 << 10
	// entryOverheadBytes is what an entry counts for besides its data.
	entryOverheadBytes = 32
	// staleStateGrace is how long a member that has just started keeps a large state back while it has no contact with a majority.
	staleStateGrace = 2 * time.Second
)

// streamConfig bounds what is in flight to a learner, as to a member.
var streamConfig = replication.DefaultConfig()

// streamSender streams the configuration log from a member to its learners: the nodes without a disk that have asked this one. It owns where
// each of them stands. A learner stays until it ends the stream or its link goes down, however long it is silent: one that was paused
// does not know that it was missed, and would wait for entries that no member sends.
type streamSender struct {
	host     streamSenderHost
	log      streamSource // nil at a node without a disk, which has no learners
	contact  *quorumcontact.Tracker
	learners map[string]*learner // by address
	deferred bool                // learners have yet to be sent what was applied last
}

// streamSenderHost is what a streamSender needs of its node.
type streamSenderHost interface {
	Now() time.Duration
	AppliedIndex() uint64
	SendStreamData(to string, d *streamData)
}

// streamSource is the part of a replica that a stream is made from; *replication.Replica implements it.
type streamSource interface {
	Bootstrapped() bool
	CommitIndex() uint64
	// EntriesAfter is false where the log no longer has them; BlobToSend is a state then, nil while there is none to send.
	EntriesAfter(index, upto uint64) ([]replication.Entry, bool)
	BlobToSend(next uint64, others []*replication.Blob) *replication.Blob
}

// learner is one receiver of the stream.
type learner struct {
	sentIndex         uint64                 // everything up to here was sent
	requestedIndex    uint64                 // the last request was for what comes after this
	acceptsChunks     bool                   // its program takes chunks
	receivedChunk     *replication.Chunk     // what it has of a blob, whoever sent that
	outgoing          replication.BlobSender // the blob in flight, until all of it is acknowledged
	sendsEntries      bool                   // that blob holds entries, and not a state
	outgoingLastIndex uint64                 // a learner that has applied this has all of the blob
	clock             uint32                 // its newest clock, which goes back to it with each report of the contact
	clockReceivedAt   time.Duration
}

// learnerChange is what a request changed.
type learnerChange uint8

const (
	requestIgnored   learnerChange = iota // this node has nothing to stream
	learnerContinues                      // the request acknowledges, or asks again
	learnerJoined
	learnerRestarted // it was a learner before, and did not know of it
	learnerLeft
)

func newStreamSender(host streamSenderHost, log streamSource, contact *quorumcontact.Tracker) *streamSender {
	return &streamSender{host: host, log: log, contact: contact, learners: map[string]*learner{}}
}

// isLearner reports whether a node has its entries from this one.
func (s *streamSender) isLearner(addr string) bool {
	_, ok := s.learners[addr]
	return ok
}

// addrs are the learners in the order of their addresses: the order of what is sent must not depend on a map's.
func (s *streamSender) addrs() []string { return slices.Sorted(maps.Keys(s.learners)) }

// remove forgets a learner whose link went down.
func (s *streamSender) remove(addr string) { delete(s.learners, addr) }

// receiveClock notes a learner's newest clock.
func (s *streamSender) receiveClock(addr string, clock uint32) {
	l := s.learners[addr]
	l.clock, l.clockReceivedAt = clock, s.host.Now()
}

// clockOf is a learner's newest clock, and when it came.
func (s *streamSender) clockOf(addr string) (clock uint32, receivedAt time.Duration) {
	l := s.learners[addr]
	return l.clock, l.clockReceivedAt
}

// receiveRequest takes where a learner stands. What it is owed then goes out with respond.
func (s *streamSender) receiveRequest(from string, r *streamRequest) learnerChange {
	if s.log == nil {
		return requestIgnored
	}
	if !s.log.Bootstrapped() {
		if !r.ends { // it then chooses another member at once; else it would wait, since this node does send it other frames
			s.host.SendStreamData(from, &streamData{contact: quorumcontact.Report{Age: quorumcontact.UnknownAge}})
		}
		return requestIgnored
	}
	if r.ends {
		s.remove(from)
		return learnerLeft
	}
	change := learnerContinues
	switch known := s.isLearner(from); {
	case !known:
		change = learnerJoined
	case r.begins:
		change = learnerRestarted
	}
	if change != learnerContinues {
		s.learners[from] = &learner{}
	}
	s.learners[from].receiveRequest(r, s.host.Now())
	s.receiveClock(from, r.clock)
	return change
}

// receiveRequest takes what a learner has.
func (l *learner) receiveRequest(r *streamRequest, now time.Duration) {
	l.acceptsChunks, l.receivedChunk, l.requestedIndex = r.acceptsChunks, r.receivedChunk, r.after
	switch {
	case l.outgoing.Blob == nil:
		l.sentIndex = r.after
	case r.after >= l.outgoingLastIndex:
		l.outgoing, l.sentIndex = replication.BlobSender{}, r.after
	default:
		l.outgoing.HandleAck(r.receivedChunk, now)
	}
}

// respond sends a learner what it lacks after its last request, or else that there is nothing newer.
func (s *streamSender) respond(to string) {
	if s.learners[to].requestedIndex < s.host.AppliedIndex() {
		s.streamTo(to)
	} else {
		s.send(to, &streamData{after: s.host.AppliedIndex()})
	}
}

// resume sends a learner what it requested over a link that has just come up: what was sent since may have been lost with the link
// before, or had no link to go on.
func (s *streamSender) resume(addr string) {
	l := s.learners[addr]
	if l == nil {
		return
	}
	l.outgoing, l.sentIndex = replication.BlobSender{}, l.requestedIndex
	s.respond(addr)
}

// entryApplied streams an entry that was just applied. Assigned slots wait for the next tick: at the first start each node asks for one,
// and each would go to all learners by itself.
func (s *streamSender) entryApplied(assignsSlot bool) {
	if s.log == nil {
		return
	}
	if s.deferred = assignsSlot; !assignsSlot {
		s.streamToAll()
	}
}

// tick streams what was deferred.
func (s *streamSender) tick() {
	if s.deferred {
		s.deferred = false
		s.streamToAll()
	}
}

// streamToAll sends all learners what they lack.
func (s *streamSender) streamToAll() {
	for _, addr := range s.addrs() {
		s.streamTo(addr)
	}
}

// streamTo sends a learner what it lacks: entries as long as the log has them, else a state and what follows it. What is larger than
// streamConfig's window goes in chunks, which the learner acknowledges with its requests.
func (s *streamSender) streamTo(addr string) {
	l := s.learners[addr]
	for l.outgoing.Blob == nil && l.sentIndex < s.host.AppliedIndex() {
		entries, ok := s.log.EntriesAfter(l.sentIndex, s.host.AppliedIndex())
		if ok {
			s.sendEntries(addr, l, entries)
		} else if !s.sendState(addr, l) {
			return
		}
	}
	if l.outgoing.Blob == nil {
		return
	}
	now := s.host.Now()
	for c := l.outgoing.NextChunk(&streamConfig, now); c != nil; c = l.outgoing.NextChunk(&streamConfig, now) {
		s.send(addr, &streamData{after: c.Index, chunk: c, chunkEntries: l.sendsEntries})
	}
}

// sendState begins with a state. False: there is none to send now, and the learner asks again.
func (s *streamSender) sendState(addr string, l *learner) bool {
	blob := s.log.BlobToSend(l.sentIndex+1, s.statesInFlight(l))
	if blob == nil {
		return false
	}
	state := blob.Bytes()
	if len(state) == 0 {
		state = statemachine.New().Snapshot()
	}
	if !l.acceptsChunks || len(state) <= streamConfig.MaxInflightBytes {
		l.sentIndex = blob.Index()
		s.send(addr, &streamData{after: blob.Index(), state: state})
		return true
	}
	if s.stateMayBeStale() {
		return false
	}
	l.sentIndex = blob.Index()
	l.beginBlob(blob, blob.Index(), false)
	return true
}

// sendEntries sends entries, the first of which follows what the learner was sent.
func (s *streamSender) sendEntries(addr string, l *learner, entries []replication.Entry) {
	var data [][]byte
	size, after := 0, l.sentIndex
	for _, e := range entries {
		if size += len(e.Data) + entryOverheadBytes; size > maxEntriesBlobBytes && len(data) > 0 && l.acceptsChunks {
			break
		}
		data = append(data, entryData(e))
	}
	l.sentIndex += uint64(len(data))
	if !l.acceptsChunks || size <= streamConfig.MaxInflightBytes {
		s.send(addr, &streamData{after: after, entries: data})
		return
	}
	var b bytes.Buffer
	gob.NewEncoder(&b).Encode(data) // of bytes: it can't fail
	l.beginBlob(replication.NewBlob(after, l.sentIndex, b.Bytes()), l.sentIndex, true)
}

// beginBlob begins with a blob, from where the learner has it.
func (l *learner) beginBlob(b *replication.Blob, lastIndex uint64, entries bool) {
	l.outgoing, l.outgoingLastIndex, l.sendsEntries = replication.BlobSender{Blob: b}, lastIndex, entries
	if l.receivedChunk != nil && l.receivedChunk.Offset > 0 {
		l.outgoing.HandleAck(l.receivedChunk, 0)
	}
}

// stateMayBeStale reports whether the state may be long out of date: this member has just come back, and knows of no leader yet. A learner
// would get it, and then the newest one after it; instead it requests again, or from another member. Where there is no leader for long an
// old state is better than none.
func (s *streamSender) stateMayBeStale() bool {
	now := s.host.Now()
	_, _, known := s.contact.Contact(now)
	return !known && s.contact.Uptime(now) < staleStateGrace
}

// statesInFlight are the states that other learners are being sent.
func (s *streamSender) statesInFlight(except *learner) (all []*replication.Blob) {
	for _, addr := range s.addrs() {
		if l := s.learners[addr]; l != except && l.outgoing.Blob != nil && !l.sendsEntries {
			all = append(all, l.outgoing.Blob)
		}
	}
	return all
}

// entryData is what an entry has for learners: nothing, if it is the log's own.
func entryData(e replication.Entry) []byte {
	if e.Kind == replication.EntryNormal {
		return e.Data
	}
	return nil
}

// send gives a learner data with this node's contact.
func (s *streamSender) send(to string, d *streamData) {
	now := s.host.Now()
	_, term, _ := s.contact.Contact(now)
	clock, _ := s.clockOf(to)
	d.contact = quorumcontact.Report{Age: s.contact.Age(now), Term: term, Echo: clock, Index: s.log.CommitIndex()}
	s.host.SendStreamData(to, d)
}
