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
func (n *node) calls(name string, amount float64, life time.Duration, then func(total float64, known bool)) {
	w, mine, over := n.w, n.life, false
	end := func(total float64, known bool) {
		if !over {
			over = true
			if n.life == mine && n.up {
				n.turn(func() { then(total, known) })
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
func (c *counting) Take(x control.Txn, _ gate.Front, who slots.Ref) (slots.Ref, bool) {
	c.next++
	ref, t, w := c.next, &simpleTxn{x: x, who: who}, c.d.w
	c.txns[ref] = t
	plan := w.s.Plans[x.Plan]
	window := time.Duration(plan.Burst / plan.Rate * float64(time.Second))
	name := fmt.Sprintf("%x-%d", uint64(x.Customer), int64(w.now/max(window, 1)))
	life := c.d.life
	w.at(x.Expiry-2*time.Millisecond, func() {
		if !t.over && c.d.up && c.d.life == life {
			c.d.turn(func() { c.end(ref, t) })
		}
	})
	c.d.calls(name, x.Units, 2*window, func(total float64, known bool) {
		switch {
		case t.over:
		case known && total > plan.Burst:
			c.end(ref, t)
		default:
			if !known {
				c.unknown++
			}
			c.send(ref, t)
		}
	})
	return ref, true
}
