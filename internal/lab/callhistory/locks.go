package callhistory

import (
	"cmp"
	"slices"
	"time"

	"clovergap/internal/gateway/coordination"
)

// tenure is a span in which a caller regards itself as a lock's holder.
type tenure struct {
	holder      string
	from, until time.Duration
}

// locks checks ONE.
func (c *checker) locks() {
	names := map[string][]*Record{}
	for _, o := range []coordination.Operation{coordination.LockBegin, coordination.LockHeartbeat, coordination.LockFinish} {
		for name, all := range c.byName[o] {
			names[name] = append(names[name], all...)
		}
	}
	for _, name := range sortedNames(names) {
		all := names[name]
		slices.SortStableFunc(all, func(a, b *Record) int { return cmp.Compare(a.Sent, b.Sent) })
		c.fences(name, all)
		c.overlaps(name, tenures(all))
	}
}

// fences checks that fences rise over holders.
func (c *checker) fences(name string, all []*Record) {
	var given []*Record
	for _, r := range all {
		if r.Call.Operation == coordination.LockBegin && r.Good() {
			given = append(given, r)
		}
	}
	for _, r := range given {
		for _, x := range given {
			switch {
			case x.Call.Holder == r.Call.Holder:
			case x.Answer.Fence == r.Answer.Fence && x.Sent < r.Sent:
				c.breaks(One, "%s: two holders got fence %d: %v and %v", name, r.Answer.Fence, x, r)
			case x.before(r) && x.Answer.Fence > r.Answer.Fence:
				c.breaks(One, "%s: a fence not above one given before: %v after %v", name, r, x)
			}
		}
	}
}

// tenures are the spans in which each holder counts itself one: from a good answer until the time after the last good call was sent, or
// until it gave the lock back.
func tenures(all []*Record) (spans []tenure) {
	open := map[string]*tenure{}
	for _, r := range all {
		h := r.Call.Holder
		now := open[h]
		switch r.Call.Operation {
		case coordination.LockFinish:
			if now != nil {
				now.until = min(now.until, r.Sent)
				spans = append(spans, *now)
				delete(open, h)
			}
		case coordination.LockBegin:
			if !r.Good() {
				continue
			}
			if now != nil && r.Ended <= now.until { // it asks again, and goes on holding
				now.until = max(now.until, r.Sent+r.Call.Hold)
				continue
			}
			if now != nil {
				spans = append(spans, *now)
			}
			open[h] = &tenure{h, r.Ended, r.Sent + r.Call.Hold}
		case coordination.LockHeartbeat:
			switch {
			case now == nil || !r.Clear():
			case r.Answer.Status == coordination.Lost:
				now.until = min(now.until, r.Ended)
			case r.Good() && r.Ended <= now.until:
				now.until = max(now.until, r.Sent+r.Call.Hold)
			}
		}
	}
	for _, h := range sortedNames(open) {
		spans = append(spans, *open[h])
	}
	return spans
}

// overlaps checks that no two holders count themselves one at the same moment.
func (c *checker) overlaps(name string, spans []tenure) {
	slices.SortFunc(spans, func(a, b tenure) int { return cmp.Compare(a.from, b.from) })
	for i, a := range spans {
		for _, b := range spans[i+1:] {
			if a.holder != b.holder && b.from < a.until && a.from < b.until {
				c.breaks(One, "%s: %s holds it from %v to %v, %s from %v to %v", name, a.holder, a.from, a.until, b.holder, b.from,
					b.until)
			}
		}
	}
}
