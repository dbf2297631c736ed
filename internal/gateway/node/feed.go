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
	pingEvery   = 700 * time.Millisecond
	followAgain = 500 * time.Millisecond // an unanswered wish to follow goes again, to another node if there is one
	followMost  = 2 * time.Second        // twice as late each time: a long answer takes its time on a thin link
	followLong  = 5 * time.Second        // and as long where the other one says something else: it has much to do, and another has as much
	wordFor     = 3 * time.Second        // what a node said of its knowledge is forgotten after that
	standstill  = time.Second            // a longer pause between two ticks is this node's own
	readFor     = 300 * time.Millisecond // after one, what others sent meanwhile is read before one of them is left
	never       = 24 * time.Hour
	silent      = 2 * never // the word of a node that did not answer
)

// begin starts from a state.
func (h *Node) begin(index uint64, s *statemachine.Machine) {
	if index < h.applied {
		return // never back within a life
	}
	h.applied, h.machine = index, s
	h.roster.SetSlots(s.Slots())
	h.swap()
	h.foldRollouts()
	h.groups.found(s.Founders())
	for _, addr := range h.following() {
		h.feed(addr)
	}
}

// apply takes the next entry of the order. Empty data is the core's own.
func (h *Node) apply(index uint64, data []byte) (v routing.Verdict, err error) {
	h.applied = index
	if len(data) > 0 {
		before, slots := h.machine.Configs.Version(), len(h.machine.Slots())
		if v, err = h.machine.Apply(data); err != nil && v != routing.Conflict {
			h.say(corePart, "entry %d changes nothing: %v", index, err)
		}
		if h.machine.Configs.Version() != before {
			h.say(corePart, "configuration %d is in force", h.machine.Configs.Version())
			h.swap()
		}
		h.groups.found(h.machine.Founders())
		h.slotsNew = h.slotsNew || len(h.machine.Slots()) != slots
		h.foldRollouts()
	}
	if h.core != nil {
		if h.feedLate = len(data) > 0 && statemachine.Kind(data[0]) == statemachine.KindAssignSlot; !h.feedLate {
			h.feedAll()
		}
	}
	return v, err
}

// feedAll sends all followers what they lack. Slots wait for the next tick: at the first start each node asks for one, and each
// would be told to all by itself.
func (h *Node) feedAll() {
	h.feedLate = false
	for _, addr := range h.following() {
		h.feed(addr)
	}
}

// following are those who follow, in order: what is sent must not go by chance.
func (h *Node) following() []string { return slices.Sorted(maps.Keys(h.followers)) }

// followed takes a wish to follow. It holds until it is taken back or the link ends, however long the other one is silent: one
// that was frozen does not know that it was missed, and would wait for news that nobody sends it.
func (h *Node) followed(from string, f *Follow) {
	if h.core == nil {
		return
	}
	if !h.core.p.Bootstrapped() {
		if !f.Ends { // it asks another at once; without a word it would stay, since this node says other things
			h.links.Send(from, &Frame{Feed: &Feed{Stale: never}})
		}
		return
	}
	if f.Ends {
		delete(h.followers, from)
		delete(h.echoes, from)
		h.registryHears(from)
		return
	}
	had := h.hears(from)
	if !had || f.Anew {
		h.followers[from] = &follower{}
	}
	h.followers[from].asks(f, h)
	h.echoes[from] = echo{f.Clock, h.e.Now()}
	if !had {
		h.registryHears(from)
		h.pingedAt = 0 // it waits for the word of who lives
	} else if f.Anew {
		h.greet(from)
	}
	if f.After < h.applied {
		h.feed(from)
	} else {
		h.links.Send(from, &Frame{Feed: h.fresh(from, &Feed{After: h.applied})})
	}
}

// echo is a follower's newest clock, and when it came.
type echo struct {
	clock uint32
	at    time.Duration
}

// fresh puts this node's word of the core into what a follower is sent.
func (h *Node) fresh(to string, f *Feed) *Feed {
	_, view, _ := h.contact()
	f.Stale, f.View, f.Echo, f.Index = h.stale(), view, h.echoes[to].clock, h.core.p.CommitIndex()
	return f
}

// registryHears tells the registry whether a node gets its news from this one.
func (h *Node) registryHears(addr string) {
	if s := h.roster.Slot(addr); s != membership.NoSlot && h.registry != nil {
		h.registry.Now(h.e.Now())
		h.registry.Hears(registry.Slot(s), h.hears(addr))
	}
}

// fed takes entries from the node that is followed. What was had before is passed over, a gap is asked for anew.
func (h *Node) fed(from string, f *Feed) {
	if h.core != nil || from != h.feeder {
		return
	}
	h.fedAt, h.askWait = h.e.Now(), followAgain
	if f.After == 0 && f.State == nil && f.Chunk == nil && len(f.Entries) == 0 && h.applied > 0 { // it is back with an empty disk
		h.words[from] = word{h.fedAt, silent, 0, 0}
		return
	}
	if f.View > 0 && f.View < h.known.view && h.fault != oldViews { // what it has was had before that view began
		h.words[from] = word{h.fedAt, never, f.After, f.View}
		return
	}
	if w := h.words[from]; w.at == 0 || h.e.Now()-w.at > pingEvery {
		h.words[from] = word{h.fedAt, f.Stale, f.After, f.View}
	}
	if !h.whole(from, f) {
		return
	}
	if f.Chunk != nil { // so that what follows comes
		defer func() {
			h.links.Send(from, &Frame{Follow: &Follow{After: h.applied, Clock: h.clock.Stamp(h.e.Now()), Chunks: true}})
		}()
	}
	if f.State != nil && f.After > h.applied {
		s, err := statemachine.Restore(f.State)
		if err != nil {
			h.warn(feedPart, "state of %d can't be read: %v", f.After, err)
			return
		}
		h.begin(f.After, s)
	}
	for i, data := range f.Entries {
		switch index := f.After + 1 + uint64(i); {
		case index <= h.applied:
		case index == h.applied+1:
			h.apply(index, data)
		default:
			h.follow(from)
			return
		}
	}
	if f.After > h.applied {
		h.follow(from)
		return
	}
	h.learn(f.Stale, f.View, f.Echo, f.Index)
}

// follow asks a node with a disk for the entries from here on.
func (h *Node) follow(addr string) {
	anew := h.feeder != addr
	if anew {
		h.say(feedPart, "follows %s after %d", addr, h.applied)
		if h.feeder != "" {
			h.links.Send(h.feeder, &Frame{Follow: &Follow{Ends: true}})
		}
	}
	h.feeder, h.askedAt = addr, h.e.Now()
	h.links.Send(addr, &Frame{Follow: &Follow{After: h.applied, Anew: anew, Clock: h.clock.Stamp(h.e.Now()), Had: h.feedIn.Received(),
		Chunks: true}})
}

// tendFeed keeps to a feeder with fresh word of the core: the own zone's before others, since bytes between zones are dear. Only
// the feeder tells how fresh its word is; one of which nothing is known is tried before one that is known to be stale, and
// one that did not answer goes to the end. After a standstill of both sides no node with a disk may be heard, and none has a
// reason to say anything while the links are there: then those are asked that a link leads to. One that knows of no leader
// yet has what its disk held, which is better than nothing after the loss of all.
func (h *Node) tendFeed() {
	if h.core != nil {
		return
	}
	now, feedStale := h.e.Now(), rights[feedFresh].member(h.settings.Bounds)
	if h.feeder != "" && now-h.askedAt < max(h.askWait, followAgain) || now-h.stoodTo < readFor && h.stoodTo > 0 {
		return
	}
	answered := h.fedAt >= h.askedAt
	if !answered && h.saysAt > h.askedAt && now-h.askedAt < followLong && h.roster.Live(h.feeder) {
		return
	}
	if answered && h.roster.Live(h.feeder) && h.feeds(h.feeder) < feedStale {
		if w := h.words[h.feeder]; w.index > h.applied && now-max(h.askedAt, h.fedAt) > followAgain {
			h.follow(h.feeder) // what it sent was lost
		}
		return
	}
	if h.feeder != "" {
		if w, ok := h.words[h.feeder]; !ok || !answered || now-w.at > feedStale {
			h.words[h.feeder] = word{now, silent, 0, 0} // it says nothing
		}
		if !answered {
			h.askWait = min(2*max(h.askWait, followAgain), followMost)
		}
	}
	var best membership.Node
	least := time.Duration(1<<63 - 1)
	disks := h.roster.Disks()
	// Who lives is told by the node that is followed: without one nobody seems to, and one that is cut off tells that all others
	// are gone, while they are but a link away.
	if len(disks) == 0 || h.feeds(h.feeder) >= feedStale && h.fault != feederTells {
		disks = h.roster.Linked()
	}
	for _, d := range disks {
		if !d.Founded || d.Addr == h.inner {
			continue
		}
		stale := time.Duration(0)
		if w, ok := h.words[d.Addr]; ok && now-w.at < wordFor {
			switch stale = h.feeds(d.Addr); {
			case w.stale == silent:
				stale = silent
			case w.view == 0 || w.view >= h.known.view: // while nobody leads, all are as good; one of an older view is not
				stale = min(stale, feedStale).Truncate(feedStale)
			}
		}
		if d.Zone != h.settings.Zone {
			stale += time.Millisecond
		}
		switch {
		case stale < least, stale == least && d.Addr == h.feeder:
			best, least = d, stale
		case stale == least && best.Addr != h.feeder && membership.Nearer(h.inner, d.Addr, best.Addr):
			best = d // not all the first by address
		}
	}
	if best.Addr != "" {
		h.follow(best.Addr)
	}
}

// word is what a node said of its knowledge of the core.
type word struct {
	at    time.Duration
	stale time.Duration
	index uint64
	view  uint64
}

// feeds is how old a node's word of the core is, as it told, for the choice of a feeder alone: what this node may do goes by its
// own (see authority.go). One whose view is older than what is known here has nothing new.
func (h *Node) feeds(addr string) time.Duration {
	w, ok := h.words[addr]
	if !ok || w.view > 0 && w.view < h.known.view && h.fault != oldViews {
		return never
	}
	return w.stale + max(0, h.e.Now()-w.at-pingEvery)
}
