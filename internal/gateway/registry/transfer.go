package registry

import "slices"

// transfer is a follower's wait to be told what there is: first the backends of its own zone, with which it can serve, then all.
type transfer struct {
	to   Slot
	zone bool
}

// enqueue has a follower wait for both, its zone's backends before anybody's whole registry. Where most backends are in its zone there
// is nothing to be gained by it.
func (b *Registry) enqueue(p *peer) {
	near, there := 0, 0
	for _, e := range b.list {
		if e.phase() != Gone {
			there++
			if e.w.Zone == p.node.Zone {
				near++
			}
		}
	}
	if near > 0 && 2*near < there {
		at := slices.IndexFunc(b.queued, func(t transfer) bool { return !t.zone })
		if at < 0 {
			at = len(b.queued)
		}
		b.queued = slices.Insert(b.queued, at, transfer{p.node.Seat, true})
	}
	b.queued = append(b.queued, transfer{p.node.Seat, false})
}

// transfer begins to tell what there is to those who follow and wait for it, a few at a time: after the loss of all nodes everybody
// asks at once, and what all are told together comes so late to each that they give up and ask another node, for all of it again.
func (b *Registry) transfer() {
	if len(b.queued) == 0 {
		return
	}
	under := 0
	for _, s := range b.slots {
		p := b.peers[s]
		if p.whole && len(p.order)+len(p.flight) == 0 && !p.greet {
			p.whole = false
		}
		if p.whole {
			under++
		}
	}
	for ; under < transfersMost && len(b.queued) > 0; under++ {
		t := b.queued[0]
		b.queued = b.queued[1:]
		p := b.peers[t.to]
		b.work(p)
		p.whole, p.greet = true, p.greet || !t.zone
		for _, e := range b.list {
			if b.worthTelling(e) && (!t.zone || e.w.Zone == p.node.Zone) {
				b.tell(p, e.w.ID, true)
			}
		}
	}
}

// worthTelling holds for backends that are there, and for those whose end may still be news to a follower.
func (b *Registry) worthTelling(e *entry) bool {
	return e.phase() != Gone || e.level() > noEnd && b.now-e.goneAt < endsFor
}
