package registry

import (
	"slices"
	"time"
)

// pendingCall is a call that ends a backend, held until other nodes know: this one may be killed the moment it
// answers.
//
// An end is acknowledged on as many confirmed copies as may be lost and one more (Terms.Enough), at nodes with a disk, whoever
// answers and however few nodes are heard: copies that are merely all there are in reach prove nothing in the first moments of a cut.
// Copies are what an end outlives losses by; they are not yet what every node in touch goes by. For that it takes, within the drain:
//
//   - from a node with a disk to all others that have one. Each is told by whoever hears of the end first, and those which that one
//     does not reach by whoever reaches them (Message.Unreached), as long as a node that has contact with a majority is
//     reached by one that has the end;
//   - from a node with a disk to all that follow it, from its own list or from those of whoever it feeds by;
//   - a node without a disk follows only who has contact with a majority (node/feed.go), and is told all ends when it
//     follows anew.
//
// Whatever carries words from nodes with a disk to the others (each by itself, or by one in a zone) has to keep the last two.
type pendingCall struct {
	ticket    Ticket
	entry     *entry
	requested departure
	since     time.Duration
}

func (p pendingCall) deadline(now time.Duration) time.Duration {
	if now < p.since+allCopiesTimeout {
		return p.since + allCopiesTimeout
	}
	return p.since + minCopiesTimeout
}

// trackCall acknowledges at once, or when others know of the end.
func (r *Registry) trackCall(e *entry, asked departure) {
	w := pendingCall{ticket: r.lastTicket, entry: e, requested: asked, since: r.now}
	if asked != notDeparting {
		for _, s := range r.peerSlots {
			p := r.peers[s]
			if r.informs(p) && e.notified[s] < asked && !p.hasInFlight(e.record.ID, asked) {
				r.enqueueUpdate(p, e.record.ID, true)
			}
		}
	}
	if ok, done := r.decide(w); done {
		r.answerCall(w, ok)
		return
	}
	r.pendingCalls = append(r.pendingCalls, w)
}

// hasInFlight tells whether the end is on its way already.
func (p *peer) hasInFlight(id string, l departure) bool {
	for _, f := range p.inFlight {
		if i := slices.Index(f.ids, id); i >= 0 && f.departures[i] >= l {
			return true
		}
	}
	return false
}

func (r *Registry) answerCall(w pendingCall, ok bool) {
	r.acknowledgements = append(r.acknowledgements, Acknowledge{Ticket: w.ticket, OwnerAddr: r.ownerFor(w.entry, NoSlot).ControlAddr, Confirmed: ok})
}

// answerDecided answers the calls that are decided.
func (r *Registry) answerDecided() {
	r.pendingCalls = slices.DeleteFunc(r.pendingCalls, func(w pendingCall) bool {
		ok, done := r.decide(w)
		if done {
			r.answerCall(w, ok)
		}
		return done
	})
}

// decide tells whether a call may be answered, and how: when the nodes that this one tells have confirmed it, and enough copies lie at
// nodes with a disk. The others have it from these a moment later. Where too few such nodes are heard another node may tell them.
func (r *Registry) decide(w pendingCall) (ok, done bool) {
	if w.requested == notDeparting || r.hasNodes && r.knownCount == 0 {
		return true, true
	}
	c := r.countCopies(w)
	if !r.hasNodes || r.liveCount == 0 || c.reachable < c.required {
		return false, true
	}
	age := r.now - w.since
	switch {
	case c.confirmed < c.required:
	case c.all, age >= allCopiesTimeout && age < callTimeout && c.others > 0:
		return true, true
	}
	return false, age >= minCopiesTimeout
}

// copyCounts is where an end is known to be. Nodes with a disk count; where none is known at all, any node does.
type copyCounts struct {
	required  int  // it takes so many
	reachable int  // so many are heard, this one among them
	confirmed int  // so many of them have it
	others    int  // so many other nodes have it, whether they count or not
	all       bool // all nodes have it that this one tells
}

func (r *Registry) countCopies(w pendingCall) copyCounts {
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
		if w.entry.notified[s] < w.requested {
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
