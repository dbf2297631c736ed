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
func (n *Node) installState(index uint64, s *statemachine.Machine) {
	if index < n.appliedIndex {
		return // never back within a life
	}
	n.appliedIndex, n.machine = index, s
	n.roster.SetSlots(s.Slots())
	n.installConfiguration()
	n.rollouts.applyState()
	n.groups.found(s.Founders())
	for _, addr := range n.learnerAddrs() {
		n.streamTo(addr)
	}
}

// applyEntry takes the next entry of the order. Empty data is the core's own.
func (n *Node) applyEntry(index uint64, data []byte) (v routing.Verdict, err error) {
	n.appliedIndex = index
	if len(data) > 0 {
		before, slots := n.machine.Configs.Version(), len(n.machine.Slots())
		if v, err = n.machine.Apply(data); err != nil && v != routing.Conflict {
			n.say(corePart, "entry %d changes nothing: %v", index, err)
		}
		if n.machine.Configs.Version() != before {
			n.say(corePart, "configuration %d is in force", n.machine.Configs.Version())
			n.installConfiguration()
		}
		n.groups.found(n.machine.Founders())
		n.slotsChanged = n.slotsChanged || len(n.machine.Slots()) != slots
		n.rollouts.applyState()
	}
	if n.core != nil {
		if n.streamDeferred = len(data) > 0 && statemachine.Kind(data[0]) == statemachine.KindAssignSlot; !n.streamDeferred {
			n.streamToLearners()
		}
	}
	return v, err
}

// streamToLearners sends all followers what they lack. Slots wait for the next tick: at the first start each node asks for one, and each
// would be told to all by itself.
func (n *Node) streamToLearners() {
	n.streamDeferred = false
	for _, addr := range n.learnerAddrs() {
		n.streamTo(addr)
	}
}

// learnerAddrs are those who follow, in order: what is sent must not go by chance.
func (n *Node) learnerAddrs() []string { return slices.Sorted(maps.Keys(n.learners)) }

// receiveStreamRequest takes a wish to follow. It holds until it is taken back or the link ends, however long the other one is silent: one
// that was frozen does not know that it was missed, and would wait for news that nobody sends it.
func (n *Node) receiveStreamRequest(from string, f *StreamRequest) {
	if n.core == nil {
		return
	}
	if !n.core.replica.Bootstrapped() {
		if !f.Ends { // it asks another at once; without a word it would stay, since this node says other things
			n.links.Send(from, &Frame{Feed: &StreamData{Stale: neverAge}})
		}
		return
	}
	if f.Ends {
		delete(n.learners, from)
		delete(n.learnerClocks, from)
		n.updateRegistryLearner(from)
		return
	}
	had := n.isLearner(from)
	if !had || f.Anew {
		n.learners[from] = &learner{}
	}
	n.learners[from].handleRequest(f, n)
	n.learnerClocks[from] = clockEcho{f.Clock, n.loop.Now()}
	if !had {
		n.updateRegistryLearner(from)
		n.heartbeatAt = 0 // it waits for the word of who lives
	} else if f.Anew {
		n.syncRegistryTo(from)
	}
	if f.After < n.appliedIndex {
		n.streamTo(from)
	} else {
		n.links.Send(from, &Frame{Feed: n.withContact(from, &StreamData{After: n.appliedIndex})})
	}
}

// clockEcho is a follower's newest clock, and when it came.
type clockEcho struct {
	clock      uint32
	receivedAt time.Duration
}

// withContact puts this node's word of the core into what a follower is sent.
func (n *Node) withContact(to string, f *StreamData) *StreamData {
	_, view, _ := n.quorumContact()
	f.Stale, f.View, f.Echo, f.Index = n.contactAge(), view, n.learnerClocks[to].clock, n.core.replica.CommitIndex()
	return f
}

// updateRegistryLearner tells the registry whether a node gets its news from this one.
func (n *Node) updateRegistryLearner(addr string) {
	if s := n.roster.Slot(addr); s != membership.NoSlot && n.registry != nil {
		n.registry.Tick(n.loop.Now())
		n.registry.SetFollower(registry.Slot(s), n.isLearner(addr))
	}
}

// receiveStream takes entries from the node that is followed. What was had before is passed over, a gap is asked for anew.
func (n *Node) receiveStream(from string, f *StreamData) {
	if n.core != nil || from != n.upstream {
		return
	}
	n.streamReceivedAt, n.streamRetryDelay = n.loop.Now(), minStreamRetry
	if f.After == 0 && f.State == nil && f.Chunk == nil && len(f.Entries) == 0 && n.appliedIndex > 0 { // it is back with an empty disk
		n.upstreamReports[from] = upstreamReport{n.streamReceivedAt, unansweredAge, 0, 0}
		return
	}
	if f.View > 0 && f.View < n.streamContact.term && n.fault != acceptOlderTerms { // what it has was had before that view began
		n.upstreamReports[from] = upstreamReport{n.streamReceivedAt, neverAge, f.After, f.View}
		return
	}
	if w := n.upstreamReports[from]; w.receivedAt == 0 || n.loop.Now()-w.receivedAt > heartbeatInterval {
		n.upstreamReports[from] = upstreamReport{n.streamReceivedAt, f.Stale, f.After, f.View}
	}
	if !n.assembleStream(from, f) {
		return
	}
	if f.Chunk != nil { // so that what follows comes
		defer func() {
			n.links.Send(from, &Frame{Follow: &StreamRequest{After: n.appliedIndex, Clock: n.clock.Stamp(n.loop.Now()), Chunks: true}})
		}()
	}
	if f.State != nil && f.After > n.appliedIndex {
		s, err := statemachine.Restore(f.State)
		if err != nil {
			n.warn(streamPart, "state of %d can't be read: %v", f.After, err)
			return
		}
		n.installState(f.After, s)
	}
	for i, data := range f.Entries {
		switch index := f.After + 1 + uint64(i); {
		case index <= n.appliedIndex:
		case index == n.appliedIndex+1:
			n.applyEntry(index, data)
		default:
			n.requestStream(from)
			return
		}
	}
	if f.After > n.appliedIndex {
		n.requestStream(from)
		return
	}
	n.updateContact(f.Stale, f.View, f.Echo, f.Index)
}

// requestStream asks a node with a disk for the entries from here on.
func (n *Node) requestStream(addr string) {
	anew := n.upstream != addr
	if anew {
		n.say(streamPart, "follows %s after %d", addr, n.appliedIndex)
		if n.upstream != "" {
			n.links.Send(n.upstream, &Frame{Follow: &StreamRequest{Ends: true}})
		}
	}
	n.upstream, n.streamRequestedAt = addr, n.loop.Now()
	n.links.Send(addr, &Frame{Follow: &StreamRequest{After: n.appliedIndex, Anew: anew, Clock: n.clock.Stamp(n.loop.Now()), Had: n.incomingBlob.Received(),
		Chunks: true}})
}

// checkUpstream keeps to a feeder with fresh word of the core: the own zone's before others, since bytes between zones are dear. Only
// the feeder tells how fresh its word is; one of which nothing is known is tried before one that is known to be stale, and
// one that did not answer goes to the end. After a standstill of both sides no node with a disk may be heard, and none has a
// reason to say anything while the links are there: then those are asked that a link leads to. One that knows of no leader
// yet has what its disk held, which is better than nothing after the loss of all.
func (n *Node) checkUpstream() {
	if n.core != nil {
		return
	}
	now, feedStale := n.loop.Now(), permissions[permitStream].member(n.settings.Bounds)
	if n.upstream != "" && now-n.streamRequestedAt < max(n.streamRetryDelay, minStreamRetry) || now-n.pausedUntil < pauseGrace && n.pausedUntil > 0 {
		return
	}
	answered := n.streamReceivedAt >= n.streamRequestedAt
	if !answered && n.upstreamContactAt > n.streamRequestedAt && now-n.streamRequestedAt < busyUpstreamTimeout && n.roster.Live(n.upstream) {
		return
	}
	if answered && n.roster.Live(n.upstream) && n.upstreamAge(n.upstream) < feedStale {
		if w := n.upstreamReports[n.upstream]; w.index > n.appliedIndex && now-max(n.streamRequestedAt, n.streamReceivedAt) > minStreamRetry {
			n.requestStream(n.upstream) // what it sent was lost
		}
		return
	}
	if n.upstream != "" {
		if w, ok := n.upstreamReports[n.upstream]; !ok || !answered || now-w.receivedAt > feedStale {
			n.upstreamReports[n.upstream] = upstreamReport{now, unansweredAge, 0, 0} // it says nothing
		}
		if !answered {
			n.streamRetryDelay = min(2*max(n.streamRetryDelay, minStreamRetry), maxStreamRetry)
		}
	}
	var best membership.Node
	least := time.Duration(1<<63 - 1)
	disks := n.roster.LiveDiskNodes()
	// Who lives is told by the node that is followed: without one nobody seems to, and one that is cut off tells that all others
	// are gone, while they are but a link away.
	if len(disks) == 0 || n.upstreamAge(n.upstream) >= feedStale && n.fault != trustStaleUpstream {
		disks = n.roster.LinkedDiskNodes()
	}
	for _, d := range disks {
		if !d.Founded || d.Addr == n.peerAddr {
			continue
		}
		stale := time.Duration(0)
		if w, ok := n.upstreamReports[d.Addr]; ok && now-w.receivedAt < reportTTL {
			switch stale = n.upstreamAge(d.Addr); {
			case w.contactAge == unansweredAge:
				stale = unansweredAge
			case w.term == 0 || w.term >= n.streamContact.term: // while nobody leads, all are as good; one of an older view is not
				stale = min(stale, feedStale).Truncate(feedStale)
			}
		}
		if d.Zone != n.settings.Zone {
			stale += time.Millisecond
		}
		switch {
		case stale < least, stale == least && d.Addr == n.upstream:
			best, least = d, stale
		case stale == least && best.Addr != n.upstream && membership.Prefers(n.peerAddr, d.Addr, best.Addr):
			best = d // not all the first by address
		}
	}
	if best.Addr != "" {
		n.requestStream(best.Addr)
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
func (n *Node) upstreamAge(addr string) time.Duration {
	w, ok := n.upstreamReports[addr]
	if !ok || w.term > 0 && w.term < n.streamContact.term && n.fault != acceptOlderTerms {
		return neverAge
	}
	return w.contactAge + max(0, n.loop.Now()-w.receivedAt-heartbeatInterval)
}
