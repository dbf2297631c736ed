package emulator

import (
	"fmt"
	"time"

	"clovergap/control"
	"clovergap/internal/lab/sharedcounter"
	"clovergap/internal/proxy/gate"
	"clovergap/internal/proxy/slots"
)

// counted is a policy to compare with: quotas by one call to the counter for each txn, as many front doors do it, and
// backends at random. What the counter does not tell in time is let in: it shows what the counter's faults cost there.

// countWait is how long a txn waits for the counter.
const countWait = 250 * time.Millisecond

func counted(d *node) decider { return &counting{simple: newSimple(d, false)} }

type counting struct {
	*simple
	unknown int // txns let in without the counter's word
}

// calls is one to the counter; how is false where no total came in time.
func (d *node) calls(name string, amount float64, life time.Duration, then func(total float64, known bool)) {
	w, mine, over := d.w, d.life, false
	end := func(total float64, known bool) {
		if !over {
			over = true
			if d.life == mine && d.up {
				d.turn(func() { then(total, known) })
			}
		}
	}
	w.after(countWait, func() { end(0, false) })
	if w.counter.Mode.Down {
		w.after(w.between(w.s.Zones.Cross), func() { end(0, false) }) // refused
		return
	}
	w.after(w.between(w.s.Zones.Cross), func() {
		total, how := w.counter.Add(w.now, name, amount, life)
		if how == sharedcounter.Mute {
			return
		}
		w.after(w.counter.Mode.Late+w.between(w.s.Zones.Cross), func() { end(total, how == sharedcounter.Added) })
	})
}

// Take asks the counter first: a window of one burst's refill, in which the burst may be spent.
func (p *counting) Take(x control.Txn, _ gate.Front, who slots.Ref) (slots.Ref, bool) {
	p.next++
	ref, t, w := p.next, &simpleTxn{x: x, who: who}, p.d.w
	p.txns[ref] = t
	plan := w.s.Plans[x.Plan]
	window := time.Duration(plan.Burst / plan.Rate * float64(time.Second))
	name := fmt.Sprintf("%x-%d", uint64(x.Customer), int64(w.now/max(window, 1)))
	life := p.d.life
	w.at(x.Expiry-2*time.Millisecond, func() {
		if !t.over && p.d.up && p.d.life == life {
			p.d.turn(func() { p.end(ref, t) })
		}
	})
	p.d.calls(name, x.Units, 2*window, func(total float64, known bool) {
		switch {
		case t.over:
		case known && total > plan.Burst:
			p.end(ref, t)
		default:
			if !known {
				p.unknown++
			}
			p.send(ref, t)
		}
	})
	return ref, true
}
