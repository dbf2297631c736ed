package node

import (
	"maps"
	"slices"
	"time"

	"clovergap/internal/gateway/membership"
	"clovergap/internal/gateway/registry"
	"clovergap/internal/gateway/routing"
	"clovergap/internal/gateway/statemachine"
)

const (
	heartbeatInterval   = 700 * time.Millisecond
	minStreamRetry      = 500 * time.Millisecond // an unanswered wish to follow goes again, to another node if there is one
	maxStreamRetry      = 2 * time.Second        // twice as late each time: a long answer takes its time on a thin link
	busyUpstreamTimeout = 5 * time.Second        // and as long where the other one says something else: it has much to do, and another has as much
	reportTTL           = 3 * time.Second        // what a node said of its knowledge is forgotten after that
	pauseThreshold      = time.Second            // a longer pause between two ticks is this node's own
	pauseGrace          = 300 * time.Millisecond // after one, what others sent meanwhile is read before one of them is left
	neverAge            = 24 * time.Hour
	unansweredAge       = 2 * neverAge // the word of a node that did not answer
)

// installState starts from a state.
func (h *Node) installState(index uint64, s *statemachine.Machine) {
	if index < h.appliedIndex {
		return // never back within a life
	}
	h.appliedIndex, h.machine = index, s
	h.roster.SetSlots(s.Slots())
	h.installConfiguration()
	h.applyRollouts()
	h.groups.found(s.Founders())
	for _, addr := range h.learnerAddrs() {
		h.streamTo(addr)
	}
}

// applyEntry takes the next entry of the order. Empty data is the core's own.
func (h *Node) applyEntry(index uint64, data []byte) (v routing.Verdict, err error) {
	h.appliedIndex = index
	if len(data) > 0 {
		before, slots := h.machine.Configs.Version(), len(h.machine.Slots())
		if v, err = h.machine.Apply(data); err != nil && v != routing.Conflict {
			h.say(corePart, "entry %d changes nothing: %v", index, err)
		}
		if h.machine.Configs.Version() != before {
			h.say(corePart, "configuration %d is in force", h.machine.Configs.Version())
			h.installConfiguration()
		}
		h.groups.found(h.machine.Founders())
		h.slotsChanged = h.slotsChanged || len(h.machine.Slots()) != slots
		h.applyRollouts()
	}
	if h.core != nil {
		if h.streamDeferred = len(data) > 0 && statemachine.Kind(data[0]) == statemachine.KindAssignSlot; !h.streamDeferred {
			h.streamToLearners()
		}
	}
	return v, err
}

// streamToLearners sends all followers what they lack. Slots wait for the next tick: at the first start each node asks for one, and each
// would be told to all by itself.
func (h *Node) streamToLearners() {
	h.streamDeferred = false
	for _, addr := range h.learnerAddrs() {
		h.streamTo(addr)
	}
}

// learnerAddrs are those who follow, in order: what is sent must not go by chance.
func (h *Node) learnerAddrs() []string { return slices.Sorted(maps.Keys(h.learners)) }

// receiveStreamRequest takes a wish to follow. It holds until it is taken back or the link ends, however long the other one is silent: one
// that was frozen does not know that it was missed, and would wait for news that nobody sends it.
func (h *Node) receiveStreamRequest(from string, f *StreamRequest) {
	if h.core == nil {
		return
	}
	if !h.core.replica.Bootstrapped() {
		if !f.Ends { // it asks another at once; without a word it would stay, since this node says other things
			h.links.Send(from, &Frame{Feed: &StreamData{Stale: neverAge}})
		}
		return
	}
	if f.Ends {
		delete(h.learners, from)
		delete(h.learnerClocks, from)
		h.updateRegistryLearner(from)
		return
	}
	had := h.isLearner(from)
	if !had || f.Anew {
		h.learners[from] = &learner{}
	}
	h.learners[from].handleRequest(f, h)
	h.learnerClocks[from] = clockEcho{f.Clock, h.loop.Now()}
	if !had {
		h.updateRegistryLearner(from)
		h.heartbeatAt = 0 // it waits for the word of who lives
	} else if f.Anew {
		h.syncRegistryTo(from)
	}
	if f.After < h.appliedIndex {
		h.streamTo(from)
	} else {
		h.links.Send(from, &Frame{Feed: h.withContact(from, &StreamData{After: h.appliedIndex})})
	}
}

// clockEcho is a follower's newest clock, and when it came.
type clockEcho struct {
	clock      uint32
	receivedAt time.Duration
}

// withContact puts this node's word of the core into what a follower is sent.
func (h *Node) withContact(to string, f *StreamData) *StreamData {
	_, view, _ := h.quorumContact()
	f.Stale, f.View, f.Echo, f.Index = h.contactAge(), view, h.learnerClocks[to].clock, h.core.replica.CommitIndex()
	return f
}

// updateRegistryLearner tells the registry whether a node gets its news from this one.
func (h *Node) updateRegistryLearner(addr string) {
	if s := h.roster.Slot(addr); s != membership.NoSlot && h.registry != nil {
		h.registry.Tick(h.loop.Now())
		h.registry.SetFollower(registry.Slot(s), h.isLearner(addr))
	}
}

// receiveStream takes entries from the node that is followed. What was had before is passed over, a gap is asked for anew.
func (h *Node) receiveStream(from string, f *StreamData) {
	if h.core != nil || from != h.upstream {
		return
	}
	h.streamReceivedAt, h.streamRetryDelay = h.loop.Now(), minStreamRetry
	if f.After == 0 && f.State == nil && f.Chunk == nil && len(f.Entries) == 0 && h.appliedIndex > 0 { // it is back with an empty disk
		h.upstreamReports[from] = upstreamReport{h.streamReceivedAt, unansweredAge, 0, 0}
		return
	}
	if f.View > 0 && f.View < h.streamContact.term && h.fault != acceptOlderTerms { // what it has was had before that view began
		h.upstreamReports[from] = upstreamReport{h.streamReceivedAt, neverAge, f.After, f.View}
		return
	}
	if w := h.upstreamReports[from]; w.receivedAt == 0 || h.loop.Now()-w.receivedAt > heartbeatInterval {
		h.upstreamReports[from] = upstreamReport{h.streamReceivedAt, f.Stale, f.After, f.View}
	}
	if !h.assembleStream(from, f) {
		return
	}
	if f.Chunk != nil { // so that what follows comes
		defer func() {
			h.links.Send(from, &Frame{Follow: &StreamRequest{After: h.appliedIndex, Clock: h.clock.Stamp(h.loop.Now()), Chunks: true}})
		}()
	}
	if f.State != nil && f.After > h.appliedIndex {
		s, err := statemachine.Restore(f.State)
		if err != nil {
			h.warn(streamPart, "state of %d can't be read: %v", f.After, err)
			return
		}
		h.installState(f.After, s)
	}
	for i, data := range f.Entries {
		switch index := f.After + 1 + uint64(i); {
		case index <= h.appliedIndex:
		case index == h.appliedIndex+1:
			h.applyEntry(index, data)
		default:
			h.requestStream(from)
			return
		}
	}
	if f.After > h.appliedIndex {
		h.requestStream(from)
		return
	}
	h.updateContact(f.Stale, f.View, f.Echo, f.Index)
}

// requestStream asks a node with a disk for the entries from here on.
func (h *Node) requestStream(addr string) {
	anew := h.upstream != addr
	if anew {
		h.say(streamPart, "follows %s after %d", addr, h.appliedIndex)
		if h.upstream != "" {
			h.links.Send(h.upstream, &Frame{Follow: &StreamRequest{Ends: true}})
		}
	}
	h.upstream, h.streamRequestedAt = addr, h.loop.Now()
	h.links.Send(addr, &Frame{Follow: &StreamRequest{After: h.appliedIndex, Anew: anew, Clock: h.clock.Stamp(h.loop.Now()), Had: h.incomingBlob.Received(),
		Chunks: true}})
}

// checkUpstream keeps to a feeder with fresh word of the core: the own zone's before others, since bytes between zones are dear. Only
// the feeder tells how fresh its word is; one of which nothing is known is tried before one that is known to be stale, and
// one that did not answer goes to the end. After a standstill of both sides no node with a disk may be heard, and none has a
// reason to say anything while the links are there: then those are asked that a link leads to. One that knows of no leader
// yet has what its disk held, which is better than nothing after the loss of all.
func (h *Node) checkUpstream() {
	if h.core != nil {
		return
	}
	now, feedStale := h.loop.Now(), permissions[permitStream].member(h.settings.Bounds)
	if h.upstream != "" && now-h.streamRequestedAt < max(h.streamRetryDelay, minStreamRetry) || now-h.pausedUntil < pauseGrace && h.pausedUntil > 0 {
		return
	}
	answered := h.streamReceivedAt >= h.streamRequestedAt
	if !answered && h.upstreamContactAt > h.streamRequestedAt && now-h.streamRequestedAt < busyUpstreamTimeout && h.roster.Live(h.upstream) {
		return
	}
	if answered && h.roster.Live(h.upstream) && h.upstreamAge(h.upstream) < feedStale {
		if w := h.upstreamReports[h.upstream]; w.index > h.appliedIndex && now-max(h.streamRequestedAt, h.streamReceivedAt) > minStreamRetry {
			h.requestStream(h.upstream) // what it sent was lost
		}
		return
	}
	if h.upstream != "" {
		if w, ok := h.upstreamReports[h.upstream]; !ok || !answered || now-w.receivedAt > feedStale {
			h.upstreamReports[h.upstream] = upstreamReport{now, unansweredAge, 0, 0} // it says nothing
		}
		if !answered {
			h.streamRetryDelay = min(2*max(h.streamRetryDelay, minStreamRetry), maxStreamRetry)
		}
	}
	var best membership.Node
	least := time.Duration(1<<63 - 1)
	disks := h.roster.LiveDiskNodes()
	// Who lives is told by the node that is followed: without one nobody seems to, and one that is cut off tells that all others
	// are gone, while they are but a link away.
	if len(disks) == 0 || h.upstreamAge(h.upstream) >= feedStale && h.fault != trustStaleUpstream {
		disks = h.roster.LinkedDiskNodes()
	}
	for _, d := range disks {
		if !d.Founded || d.Addr == h.peerAddr {
			continue
		}
		stale := time.Duration(0)
		if w, ok := h.upstreamReports[d.Addr]; ok && now-w.receivedAt < reportTTL {
			switch stale = h.upstreamAge(d.Addr); {
			case w.contactAge == unansweredAge:
				stale = unansweredAge
			case w.term == 0 || w.term >= h.streamContact.term: // while nobody leads, all are as good; one of an older view is not
				stale = min(stale, feedStale).Truncate(feedStale)
			}
		}
		if d.Zone != h.settings.Zone {
			stale += time.Millisecond
		}
		switch {
		case stale < least, stale == least && d.Addr == h.upstream:
			best, least = d, stale
		case stale == least && best.Addr != h.upstream && membership.Prefers(h.peerAddr, d.Addr, best.Addr):
			best = d // not all the first by address
		}
	}
	if best.Addr != "" {
		h.requestStream(best.Addr)
	}
}

// upstreamReport is what a node said of its knowledge of the core.
type upstreamReport struct {
	receivedAt time.Duration
	contactAge time.Duration
	index      uint64
	term       uint64
}

// upstreamAge is how old a node's word of the core is, as it told, for the choice of a feeder alone: what this node may do goes by its
// own (see authority.go). One whose view is older than what is known here has nothing new.
func (h *Node) upstreamAge(addr string) time.Duration {
	w, ok := h.upstreamReports[addr]
	if !ok || w.term > 0 && w.term < h.streamContact.term && h.fault != acceptOlderTerms {
		return neverAge
	}
	return w.contactAge + max(0, h.loop.Now()-w.receivedAt-heartbeatInterval)
}
