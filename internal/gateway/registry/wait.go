package registry

import (
	"slices"
	"time"
)

// wait is a call that ends a backend, held until other nodes know: this one may be killed the moment it
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
type wait struct {
	ticket Ticket
	e      *entry
	asked  level
	since  time.Duration
}

func (w wait) due(now time.Duration) time.Duration {
	if now < w.since+waitAll {
		return w.since + waitAll
	}
	return w.since + waitEnough
}

// ticket acknowledges at once, or when others know of the end.
func (b *Registry) ticket(e *entry, asked level) {
	w := wait{ticket: b.tail, e: e, asked: asked, since: b.now}
	if asked != noEnd {
		for _, s := range b.slots {
			p := b.peers[s]
			if b.tells(p) && e.told[s] < asked && !p.carries(e.w.ID, asked) {
				b.tell(p, e.w.ID, true)
			}
		}
	}
	if ok, done := b.decide(w); done {
		b.answer(w, ok)
		return
	}
	b.waits = append(b.waits, w)
}

// carries tells whether the end is on its way already.
func (p *peer) carries(id string, l level) bool {
	for _, f := range p.flight {
		if i := slices.Index(f.ids, id); i >= 0 && f.levels[i] >= l {
			return true
		}
	}
	return false
}

func (b *Registry) answer(w wait, ok bool) {
	b.out = append(b.out, Acknowledge{Ticket: w.ticket, Target: b.duty(w.e, None).Control, OK: ok})
}

// settle answers the calls that are decided.
func (b *Registry) settle() {
	b.waits = slices.DeleteFunc(b.waits, func(w wait) bool {
		ok, done := b.decide(w)
		if done {
			b.answer(w, ok)
		}
		return done
	})
}

// decide tells whether a call may be answered, and how: when the nodes that this one tells have confirmed it, and enough copies lie at
// nodes with a disk. The others have it from these a moment later. Where too few such nodes are heard another node may tell them.
func (b *Registry) decide(w wait) (ok, done bool) {
	if w.asked == noEnd || b.met && b.known == 0 {
		return true, true
	}
	c := b.copies(w)
	if !b.met || b.live == 0 || c.inReach < c.enough {
		return false, true
	}
	age := b.now - w.since
	switch {
	case c.held < c.enough:
	case c.all, age >= waitAll && age < tooLate && c.others > 0:
		return true, true
	}
	return false, age >= waitEnough
}

// copies is where an end is known to be. Nodes with a disk count; where none is known at all, any node does.
type copies struct {
	enough  int  // it takes so many
	inReach int  // so many are heard, this one among them
	held    int  // so many of them have it
	others  int  // so many other nodes have it, whether they count or not
	all     bool // all nodes have it that this one tells
}

func (b *Registry) copies(w wait) copies {
	c := copies{enough: b.terms.Enough, all: true}
	if !b.disks {
		c.enough = min(c.enough, b.known+1)
	}
	if !b.disks || b.self.Firm {
		c.inReach, c.held = 1, 1
	}
	for _, s := range b.slots {
		p := b.peers[s]
		if !b.tells(p) {
			continue
		}
		counts := !b.disks || p.node.Firm
		if counts {
			c.inReach++
		}
		if w.e.told[s] < w.asked {
			c.all = false
			continue
		}
		c.others++
		if counts {
			c.held++
		}
	}
	return c
}
