package callhistory

import (
	"cmp"
	"slices"
	"time"

	"clovergap/internal/gateway/coordination"
)

// tenure is a span in which a caller regards itself as a lock's holder.
type tenure struct {
	holder     string
	start, end time.Duration
}

// checkLocks checks ONE.
func (c *checker) checkLocks() {
	names := map[string][]*Record{}
	for _, o := range []coordination.Operation{coordination.LockAcquire, coordination.LockRenew, coordination.LockRelease} {
		for name, all := range c.recordsByName[o] {
			names[name] = append(names[name], all...)
		}
	}
	for _, name := range sortedNames(names) {
		all := names[name]
		slices.SortStableFunc(all, func(a, b *Record) int { return cmp.Compare(a.Sent, b.Sent) })
		c.checkFencingTokens(name, all)
		c.checkOverlaps(name, tenures(all))
	}
}

// checkFencingTokens checks that fences rise over holders.
func (c *checker) checkFencingTokens(name string, all []*Record) {
	var given []*Record
	for _, r := range all {
		if r.Call.Operation == coordination.LockAcquire && r.Succeeded() {
			given = append(given, r)
		}
	}
	for _, r := range given {
		for _, x := range given {
			switch {
			case x.Call.Holder == r.Call.Holder:
			case x.Result.FencingToken == r.Result.FencingToken && x.Sent < r.Sent:
				c.report(RuleOne, "%s: two holders got fence %d: %v and %v", name, r.Result.FencingToken, x, r)
			case x.endedBefore(r) && x.Result.FencingToken > r.Result.FencingToken:
				c.report(RuleOne, "%s: a fence not above one given before: %v after %v", name, r, x)
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
		case coordination.LockRelease:
			if now != nil {
				now.end = min(now.end, r.Sent)
				spans = append(spans, *now)
				delete(open, h)
			}
		case coordination.LockAcquire:
			if !r.Succeeded() {
				continue
			}
			if now != nil && r.Ended <= now.end { // it asks again, and goes on holding
				now.end = max(now.end, r.Sent+r.Call.TTL)
				continue
			}
			if now != nil {
				spans = append(spans, *now)
			}
			open[h] = &tenure{h, r.Ended, r.Sent + r.Call.TTL}
		case coordination.LockRenew:
			switch {
			case now == nil || !r.IsDefinite():
			case r.Result.Status == coordination.StatusLockLost:
				now.end = min(now.end, r.Ended)
			case r.Succeeded() && r.Ended <= now.end:
				now.end = max(now.end, r.Sent+r.Call.TTL)
			}
		}
	}
	for _, h := range sortedNames(open) {
		spans = append(spans, *open[h])
	}
	return spans
}

// checkOverlaps checks that no two holders count themselves one at the same moment.
func (c *checker) checkOverlaps(name string, spans []tenure) {
	slices.SortFunc(spans, func(a, b tenure) int { return cmp.Compare(a.start, b.start) })
	for i, a := range spans {
		for _, b := range spans[i+1:] {
			if a.holder != b.holder && b.start < a.end && a.start < b.end {
				c.report(RuleOne, "%s: %s holds it from %v to %v, %s from %v to %v", name, a.holder, a.start, a.end, b.holder, b.start,
					b.end)
			}
		}
	}
}
