package registry

import (
	"slices"
	"time"
)

// wait is a call that ends a backend, held until other nodes know: this one may be killed the moment it
// answers.
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

// decide tells whether a call may be answered, and how: when the nodes that this one tells have confirmed it. The others have
// it from these a moment later.
func (b *Registry) decide(w wait) (ok, done bool) {
	if w.asked == noEnd || b.met && b.known == 0 {
		return true, true
	}
	if !b.met || b.live == 0 {
		return false, true // cut off: another node may tell the others
	}
	all, others := true, 0
	group, copies := 0, 0 // of the nodes that count
	if !b.firm || b.self.Firm {
		group, copies = 1, 1
	}
	for _, s := range b.slots {
		p := b.peers[s]
		if !b.tells(p) {
			continue
		}
		counts := !b.firm || p.node.Firm
		if counts {
			group++
		}
		if w.e.told[s] < w.asked {
			all = false
			continue
		}
		others++
		if counts {
			copies++
		}
	}
	age := b.now - w.since
	switch {
	case all:
		return true, true
	case age >= waitAll && age < tooLate && others > 0 && copies >= min(b.terms.Enough, group):
		return true, true
	}
	return false, age >= waitEnough
}
