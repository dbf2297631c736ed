package registry

import (
	"slices"
	"sort"
	"time"
)

const (
	// resendTimeout is how long an acknowledgement is waited for at first: some round trips of a link between zones.
	resendTimeout = 300 * time.Millisecond
	// maxResendDoublings is how often that doubles: up to 4.8 s.
	maxResendDoublings = 4
	// maxResends is how often a message is resent, over 14 s, before its receiver counts as unresponsive.
	maxResends = 6
	// probeInterval is between two probes of an unresponsive node.
	probeInterval = time.Second
	// maxInFlight bounds the messages that one node has not acknowledged.
	maxInFlight = 4
	// maxPendingAcks bounds the acknowledgements that wait to be sent to one node; it resends what got none.
	maxPendingAcks = 256
)

// peer is another node, and what it has yet to be sent.
type peer struct {
	node   Node
	lostAt time.Duration
	seq    uint64 // of the last message

	pendingIDs   []string // of backends whose records wait to be sent, in order
	pendingSet   map[string]bool
	sendAt       time.Duration      // when they are sent
	inFlight     []*inFlightMessage // sent and not acknowledged
	retransmits  []*inFlightMessage // of these, to be sent once more
	confirmed    bool               // has acknowledged something since it was synced: what it sends is of its present incarnation
	unresponsive bool               // acknowledges nothing: it is only probed, and synced when it answers

	active       bool // its slot is among Registry.activePeers
	fullSyncNext bool // the next message begins a full sync
	syncing      bool // a full sync is on its way
	suspicions   []string
	heartbeats   []Record
	acks         []uint64
}

// inFlightMessage is a message that was sent, with what it said of departures at first. Its records are as new as can be whenever it is
// sent again.
type inFlightMessage struct {
	seq        uint64
	ids        []string
	departures []departure // by ids: what an acknowledgement proves that the receiver has
	suspicions []string
	fullSync   bool
	sentAt     time.Duration
	attempts   int
}

func (r *Registry) peerAt(s Slot) *peer {
	p := r.peers[s]
	if p == nil {
		p = &peer{node: Node{Slot: s}, seq: uint64(r.config.Incarnation) << 32, pendingSet: map[string]bool{}, lostAt: r.now}
		r.peers[s] = p
		at := sort.Search(len(r.peerSlots), func(i int) bool { return r.peerSlots[i] >= s })
		r.peerSlots = slices.Insert(r.peerSlots, at, s)
	}
	return p
}

// resetPeer forgets what was on its way to a node, and what it is known to have: it may come back in another incarnation that has
// nothing of it.
func (r *Registry) resetPeer(p *peer) {
	p.lostAt = r.now
	p.pendingIDs, p.inFlight, p.retransmits, p.suspicions, p.heartbeats, p.acks = nil, nil, nil, nil, nil, nil
	p.unresponsive, p.fullSyncNext, p.syncing, p.confirmed = false, false, false, false
	clear(p.pendingSet)
	r.syncQueue = slices.DeleteFunc(r.syncQueue, func(s syncRequest) bool { return s.target == p.node.Slot })
	for _, e := range r.sorted {
		delete(e.notified, p.node.Slot)
	}
}

// activate has Next look at a peer: an input that concerns few peers must not cost a look at all of them.
func (r *Registry) activate(p *peer) {
	if p.active {
		return
	}
	p.active = true
	at, _ := slices.BinarySearch(r.activePeers, p.node.Slot)
	r.activePeers = slices.Insert(r.activePeers, at, p.node.Slot)
}

// deactivateIdle takes out the peers that have nothing more to be sent and have acknowledged all.
func (r *Registry) deactivateIdle() {
	r.activePeers = slices.DeleteFunc(r.activePeers, func(s Slot) bool {
		p := r.peers[s]
		if p == nil {
			return true
		}
		p.active = !p.idle()
		return !p.active
	})
}

func (p *peer) idle() bool {
	return !p.fullSyncNext && len(p.pendingIDs)+len(p.inFlight)+len(p.retransmits)+len(p.suspicions)+len(p.heartbeats)+len(p.acks) == 0
}

// nextDeadline is when the peer is to be looked at again.
func (p *peer) nextDeadline() time.Duration {
	at := never
	for _, f := range p.inFlight {
		at = min(at, f.sentAt+p.ackTimeout(f))
	}
	if p.node.Live && !p.unresponsive && len(p.pendingIDs) > 0 && len(p.inFlight) < maxInFlight {
		at = min(at, p.sendAt)
	}
	return at
}

// ackTimeout is how long the acknowledgement of a message is waited for, twice as long after each attempt. Links lose nothing while
// they are up, so that what is not acknowledged mostly waits where the peer has more to do than it can: the same again is no
// help to it.
func (p *peer) ackTimeout(f *inFlightMessage) time.Duration {
	if p.unresponsive {
		return probeInterval
	}
	return resendTimeout << min(f.attempts, maxResendDoublings)
}

// resendOverdue repeats what was not acknowledged, and gives up on a peer that acknowledges nothing: from then on it is sent one empty
// message now and then, as a probe.
func (r *Registry) resendOverdue(p *peer) {
	for _, f := range p.inFlight {
		if r.now-f.sentAt < p.ackTimeout(f) {
			continue
		}
		if f.attempts++; f.attempts > maxResends && !p.unresponsive {
			r.resetPeer(p)
			p.unresponsive = true
			p.seq++
			probe := &inFlightMessage{seq: p.seq, sentAt: r.now}
			p.inFlight, p.retransmits = []*inFlightMessage{probe}, []*inFlightMessage{probe}
			return
		}
		f.sentAt = r.now
		if !slices.Contains(p.retransmits, f) {
			p.retransmits = append(p.retransmits, f)
		}
	}
}

// handleAck records which departures a peer has acknowledged.
func (r *Registry) handleAck(p *peer, seq uint64) {
	for i, f := range p.inFlight {
		if f.seq != seq {
			continue
		}
		for j, id := range f.ids {
			if e := r.entries[id]; e != nil && f.departures[j] > notDeparting {
				e.recordNotified(p.node.Slot, f.departures[j])
			}
		}
		p.confirmed = true
		p.inFlight = slices.Delete(p.inFlight, i, i+1)
		p.retransmits = slices.DeleteFunc(p.retransmits, func(x *inFlightMessage) bool { return x == f })
		return
	}
}

// hasInFlight tells whether a departure is on its way to the peer already.
func (p *peer) hasInFlight(id string, d departure) bool {
	for _, f := range p.inFlight {
		if i := slices.Index(f.ids, id); i >= 0 && f.departures[i] >= d {
			return true
		}
	}
	return false
}
