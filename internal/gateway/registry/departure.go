package registry

import (
	"slices"
	"time"
)

const (
	// allCopiesTimeout is how long a departure waits for all that this node informs, once MinCopies have it.
	allCopiesTimeout = 500 * time.Millisecond
	// minCopiesTimeout is how long it waits for MinCopies.
	minCopiesTimeout = 800 * time.Millisecond
	// callTimeout is when the backend has turned to another node: a call is to be answered within a second, and the answer takes its
	// way as well.
	callTimeout = 950 * time.Millisecond
)

// pendingCall is a call with a departure, pending until other nodes have it: this one may be killed the moment it answers.
//
// A departure is confirmed on Config.MinCopies copies at nodes with a disk, one more than may be lost, whoever answers and however few
// nodes are in reach: copies that are merely all in reach prove nothing in the first moments of a partition. Copies are what a
// departure outlives losses by; they are not yet what every node in contact with a majority goes by. For that it takes, within the
// drain time:
//
//   - from a node with a disk to all others that have one. Each is sent it by whoever has the departure first, and those which that one
//     does not reach by whoever reaches them (Message.Unreachable), as long as a node in contact with a majority is reached
//     by one that has the departure;
//   - from a node with a disk to all that follow it, by its own list or by those of whoever passes its stream on;
//   - a node without a disk follows only one in contact with a majority, and is sent all departures when it follows anew.
//
// Whatever carries updates from nodes with a disk to the others (each by itself, or by one in a zone) has to keep the last two.
type pendingCall struct {
	ticket    Ticket
	entry     *entry
	requested departure
	since     time.Duration
}

// deadline is when the call is to be looked at again.
func (p pendingCall) deadline(now time.Duration) time.Duration {
	if now < p.since+allCopiesTimeout {
		return p.since + allCopiesTimeout
	}
	return p.since + minCopiesTimeout
}

// rejectCall answers a call of a backend that the registry has no room for.
func (r *Registry) rejectCall() Ticket {
	r.acknowledgements = append(r.acknowledgements, Acknowledge{Ticket: r.lastTicket})
	return r.lastTicket
}

// trackCall answers the last call at once, or when other nodes have its departure.
func (r *Registry) trackCall(e *entry, requested departure) {
	call := pendingCall{ticket: r.lastTicket, entry: e, requested: requested, since: r.now}
	if requested != notDeparting {
		for _, s := range r.peerSlots {
			p := r.peers[s]
			if r.informs(p) && e.notified[s] < requested && !p.hasInFlight(e.record.ID, requested) {
				r.enqueueUpdate(p, e.record.ID, true)
			}
		}
	}
	if confirmed, decided := r.decide(call); decided {
		r.answerCall(call, confirmed)
		return
	}
	r.pendingCalls = append(r.pendingCalls, call)
}

func (r *Registry) answerCall(call pendingCall, confirmed bool) {
	owner := r.ownerFor(call.entry, NoSlot)
	r.acknowledgements = append(r.acknowledgements, Acknowledge{Ticket: call.ticket, OwnerAddr: owner.ControlAddr, Confirmed: confirmed})
}

// answerDecided answers the calls that can be decided by now.
func (r *Registry) answerDecided() {
	r.pendingCalls = slices.DeleteFunc(r.pendingCalls, func(call pendingCall) bool {
		confirmed, decided := r.decide(call)
		if decided {
			r.answerCall(call, confirmed)
		}
		return decided
	})
}

// decide tells whether a call can be answered by now, and how: confirmed when all that this node informs have the departure, and
// MinCopies of them a disk. The others have it from these a moment later. Where too few with a disk are in reach, another node
// may reach them: the call fails at once.
func (r *Registry) decide(call pendingCall) (confirmed, decided bool) {
	if call.requested == notDeparting || r.hasNodes && r.knownCount == 0 {
		return true, true
	}
	copies := r.countCopies(call)
	if !r.hasNodes || r.liveCount == 0 || copies.reachable < copies.required {
		return false, true
	}
	age := r.now - call.since
	enough := copies.confirmed >= copies.required
	if enough && (copies.all || age >= allCopiesTimeout && age < callTimeout && copies.others > 0) {
		return true, true
	}
	return false, age >= minCopiesTimeout
}

// copyCounts says where a departure is known to be. Nodes with a disk count as copies; where none is known at all, any node does.
type copyCounts struct {
	required  int  // copies that it takes
	reachable int  // nodes that count and are in reach, this one among them
	confirmed int  // of these, nodes that have it
	others    int  // other nodes that have it, whether they count or not
	all       bool // all that this node informs have it
}

func (r *Registry) countCopies(call pendingCall) copyCounts {
	c := copyCounts{required: r.config.MinCopies, all: true}
	if !r.hasKnownDisk {
		c.required = min(c.required, r.knownCount+1)
	}
	if !r.hasKnownDisk || r.local.HasDisk {
		c.reachable, c.confirmed = 1, 1
	}
	for _, s := range r.peerSlots {
		p := r.peers[s]
		if !r.informs(p) {
			continue
		}
		counts := !r.hasKnownDisk || p.node.HasDisk
		if counts {
			c.reachable++
		}
		if call.entry.notified[s] < call.requested {
			c.all = false
			continue
		}
		c.others++
		if counts {
			c.confirmed++
		}
	}
	return c
}

// recordNotified notes that a node has a departure.
func (e *entry) recordNotified(s Slot, d departure) {
	if e.notified == nil {
		e.notified = map[Slot]departure{}
	}
	e.notified[s] = max(e.notified[s], d)
}

// unconfirmedDepartures are the backends whose departure a peer was sent, or was about to be sent, and has not acknowledged.
func (r *Registry) unconfirmedDepartures(p *peer) (ids []string) {
	collect := func(candidates []string) {
		for _, id := range candidates {
			if e := r.entries[id]; e != nil && e.departure() > e.notified[p.node.Slot] {
				ids = append(ids, id)
			}
		}
	}
	collect(p.pendingIDs)
	for _, f := range p.inFlight {
		collect(f.ids)
	}
	return ids
}

// rebroadcastDepartures sends the other nodes with a disk once more the departures that did not get to one of them: they may reach it.
func (r *Registry) rebroadcastDepartures(ids []string) {
	for _, id := range ids {
		for _, s := range r.peerSlots {
			if p := r.peers[s]; p.node.HasDisk && r.informs(p) {
				r.enqueueUpdate(p, id, true)
			}
		}
	}
}

// unreachableDiskNodes are the nodes with a disk that this one does not reach.
func (r *Registry) unreachableDiskNodes() (slots []Slot) {
	for _, s := range r.peerSlots {
		if p := r.peers[s]; p.node.HasDisk && !p.node.Live {
			slots = append(slots, s)
		}
	}
	return slots
}

// forwardDepartures sends the departures of a message to those nodes with a disk that its sender does not reach.
func (r *Registry) forwardDepartures(m *Message) {
	if !r.local.HasDisk {
		return
	}
	for _, s := range m.Unreachable {
		p := r.peers[s]
		if p == nil || !p.node.HasDisk || !r.informs(p) {
			continue
		}
		for _, update := range m.Updates {
			if e := r.entries[update.ID]; e != nil && e.departure() > e.notified[s] && !p.hasInFlight(update.ID, e.departure()) {
				r.enqueueUpdate(p, update.ID, true)
			}
		}
	}
}
