package callhistory

import (
	"cmp"
	"slices"
	"time"

	"clovergap/internal/gateway/coordination"
)

// holdInterval is a time interval in which a caller considers itself the holder of a lock.
type holdInterval struct {
	holder     string
	start, end time.Duration
}

// checkLocks checks that each lock has at most one holder at a time and that its fencing tokens increase from
// holder to holder. The operators call this rule ONE (see the package comment).
func (c *checker) checkLocks() {
	byName := map[string][]*Record{}
	for _, o := range []coordination.Operation{coordination.LockAcquire, coordination.LockRenew, coordination.LockRelease} {
		for name, records := range c.recordsByName[o] {
			byName[name] = append(byName[name], records...)
		}
	}
	for _, name := range sortedKeys(byName) {
		records := byName[name]
		slices.SortStableFunc(records, func(a, b *Record) int { return cmp.Compare(a.Sent, b.Sent) })
		c.checkFencingTokens(name, records)
		c.checkOverlaps(name, holdIntervals(records))
	}
}

// checkFencingTokens checks that each holder got a higher fencing token than all other holders before. The same holder may get the same
// token again.
func (c *checker) checkFencingTokens(name string, records []*Record) {
	var granted []*Record
	for _, r := range records {
		if r.Call.Operation == coordination.LockAcquire && r.Succeeded() {
			granted = append(granted, r)
		}
	}
	for _, r := range granted {
		for _, other := range granted {
			switch {
			case other.Call.Holder == r.Call.Holder:
			case other.Result.FencingToken == r.Result.FencingToken && other.Sent < r.Sent:
				c.addViolation(RuleOne, "lock %s: two holders got fencing token %d: %v and %v", name, r.Result.FencingToken, other, r)
			case other.endedBefore(r) && other.Result.FencingToken > r.Result.FencingToken:
				c.addViolation(RuleOne, "lock %s: a fencing token is lower than an earlier one: call %v after call %v", name, r, other)
			}
		}
	}
}

// holdIntervals returns the intervals in which callers consider themselves the holder of a lock. An interval starts when a successful
// answer to an acquire call arrives. The interval ends when the caller sends a release or when the lease expires. The lease counts from
// the time at which the last successful call was sent.
func holdIntervals(records []*Record) (ended []holdInterval) {
	open := map[string]*holdInterval{}
	for _, r := range records {
		holder := r.Call.Holder
		current := open[holder]
		switch r.Call.Operation {
		case coordination.LockRelease:
			if current != nil {
				current.end = min(current.end, r.Sent)
				ended = append(ended, *current)
				delete(open, holder)
			}
		case coordination.LockAcquire:
			if !r.Succeeded() {
				continue
			}
			if current != nil && r.Ended <= current.end { // the caller acquires the lock again while it holds it
				current.end = max(current.end, r.Sent+r.Call.TTL)
				continue
			}
			if current != nil {
				ended = append(ended, *current)
			}
			open[holder] = &holdInterval{holder: holder, start: r.Ended, end: r.Sent + r.Call.TTL}
		case coordination.LockRenew:
			current.applyRenewal(r)
		}
	}
	for _, holder := range sortedKeys(open) {
		ended = append(ended, *open[holder])
	}
	return ended
}

// applyRenewal applies the answer to a renewal to the interval. It does nothing if the interval is nil.
func (h *holdInterval) applyRenewal(r *Record) {
	switch {
	case h == nil || !r.IsDefinite():
	case r.Result.Status == coordination.StatusLockLost:
		h.end = min(h.end, r.Ended)
	case r.Succeeded() && r.Ended <= h.end:
		h.end = max(h.end, r.Sent+r.Call.TTL)
	}
}

// checkOverlaps checks that no two callers consider themselves the holder at the same time.
func (c *checker) checkOverlaps(name string, intervals []holdInterval) {
	slices.SortFunc(intervals, func(a, b holdInterval) int { return cmp.Compare(a.start, b.start) })
	for i, a := range intervals {
		for _, b := range intervals[i+1:] {
			if a.holder != b.holder && b.start < a.end && a.start < b.end {
				c.addViolation(RuleOne, "lock %s: holder %s holds the lock from %v to %v, and holder %s from %v to %v",
					name, a.holder, a.start, a.end, b.holder, b.start, b.end)
			}
		}
	}
}
