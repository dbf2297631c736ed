package callhistory

import (
	"cmp"
	"slices"
	"time"

	"clovergap/internal/gateway/coordination"
)

// holdInterval is a span in which a caller takes itself for a lock's holder.
type holdInterval struct {
	holder     string
	start, end time.Duration
}

// checkLocks checks ONE.
func (c *checker) checkLocks() {
	byName := map[string][]*Record{}
	for _, o := range []coordination.Operation{coordination.LockAcquire, coordination.LockRenew, coordination.LockRelease} {
		for name, records := range c.recordsByName[o] {
			byName[name] = append(byName[name], records...)
		}
	}
	for _, name := range sortedNames(byName) {
		records := byName[name]
		slices.SortStableFunc(records, func(a, b *Record) int { return cmp.Compare(a.Sent, b.Sent) })
		c.checkFencingTokens(name, records)
		c.checkOverlaps(name, holdIntervals(records))
	}
}

// checkFencingTokens checks that fencing tokens rise from holder to holder.
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
				c.report(RuleOne, "%s: two holders got fence %d: %v and %v", name, r.Result.FencingToken, other, r)
			case other.endedBefore(r) && other.Result.FencingToken > r.Result.FencingToken:
				c.report(RuleOne, "%s: a fence not above one given before: %v after %v", name, r, other)
			}
		}
	}
}

// holdIntervals are the spans in which each holder takes itself for one: from a successful answer until the lease, counted from the sending of the
// last successful call, expires, or until it sends a release.
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
			if current != nil && r.Ended <= current.end { // it acquires again while it holds the lock
				current.end = max(current.end, r.Sent+r.Call.TTL)
				continue
			}
			if current != nil {
				ended = append(ended, *current)
			}
			open[holder] = &holdInterval{holder: holder, start: r.Ended, end: r.Sent + r.Call.TTL}
		case coordination.LockRenew:
			current.renew(r)
		}
	}
	for _, holder := range sortedNames(open) {
		ended = append(ended, *open[holder])
	}
	return ended
}

// renew takes a renewal's answer. It may be called without a tenure.
func (t *holdInterval) renew(r *Record) {
	switch {
	case t == nil || !r.IsDefinite():
	case r.Result.Status == coordination.StatusLockLost:
		t.end = min(t.end, r.Ended)
	case r.Succeeded() && r.Ended <= t.end:
		t.end = max(t.end, r.Sent+r.Call.TTL)
	}
}

// checkOverlaps checks that no two holders take themselves for one at the same moment.
func (c *checker) checkOverlaps(name string, intervals []holdInterval) {
	slices.SortFunc(intervals, func(a, b holdInterval) int { return cmp.Compare(a.start, b.start) })
	for i, a := range intervals {
		for _, b := range intervals[i+1:] {
			if a.holder != b.holder && b.start < a.end && a.start < b.end {
				c.report(RuleOne, "%s: %s holds it from %v to %v, %s from %v to %v", name, a.holder, a.start, a.end, b.holder, b.start, b.end)
			}
		}
	}
}
