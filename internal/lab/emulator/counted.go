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

// counterTimeout is how long a txn waits for the counter.
const counterTimeout = 250 * time.Millisecond

func counted(d *node) decider { return &counting{simple: newSimple(d, false)} }

type counting struct {
	*simple
	uncounted int // txns let in without the counter's word
}

// callCounter is one to the counter; how is false where no total came in time.
func (n *node) callCounter(name string, amount float64, life time.Duration, then func(total float64, known bool)) {
	w, mine, over := n.world, n.incarnation, false
	end := func(total float64, known bool) {
		if !over {
			over = true
			if n.incarnation == mine && n.running {
				n.turn(func() { then(total, known) })
			}
		}
	}
	w.after(counterTimeout, func() { end(0, false) })
	if w.counter.Mode.Down {
		w.after(w.between(w.spec.Zones.Cross), func() { end(0, false) }) // refused
		return
	}
	w.after(w.between(w.spec.Zones.Cross), func() {
		total, how := w.counter.Add(w.now, name, amount, life)
		if how == sharedcounter.Unanswered {
			return
		}
		w.after(w.counter.Mode.Delay+w.between(w.spec.Zones.Cross), func() { end(total, how == sharedcounter.Added) })
	})
}

// Take asks the counter first: a window of one burst's refill, in which the burst may be spent.
func (c *counting) Take(x control.Txn, _ gate.Front, who slots.Ref) (slots.Ref, bool) {
	c.next++
	ref, t, w := c.next, &simpleTxn{txn: x, who: who}, c.node.world
	c.txns[ref] = t
	plan := w.spec.Plans[x.Plan]
	window := time.Duration(plan.Burst / plan.Rate * float64(time.Second))
	name := fmt.Sprintf("%x-%d", uint64(x.Customer), int64(w.now/max(window, 1)))
	life := c.node.incarnation
	w.at(x.Expiry-2*time.Millisecond, func() {
		if !t.done && c.node.running && c.node.incarnation == life {
			c.node.turn(func() { c.end(ref, t) })
		}
	})
	c.node.callCounter(name, x.Units, 2*window, func(total float64, known bool) {
		switch {
		case t.done:
		case known && total > plan.Burst:
			c.end(ref, t)
		default:
			if !known {
				c.uncounted++
			}
			c.send(ref, t)
		}
	})
	return ref, true
}
