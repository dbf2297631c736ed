package callhistory

import (
	"clovergap/internal/gateway/coordination"
	"clovergap/internal/gateway/groups"
)

// checkWatches checks ORDER and LOST of watches. checkKeys must have collected the puts.
func (c *checker) checkWatches() {
	byGroup := c.recordsByName[coordination.KeyWatch]
	for _, group := range sortedNames(byGroup) {
		for _, r := range byGroup[group] {
			if r.Succeeded() {
				c.checkWatchResult(group, r)
			}
			if r.IsDefinite() && r.Result.Status == coordination.StatusCompacted {
				c.checkCompacted(r, byGroup[group])
			}
		}
	}
}

// checkWatchResult checks that a watch's events rise, lie between the revision that it began after and the one that it ended with, and are all
// that were put there.
func (c *checker) checkWatchResult(group string, r *Record) {
	after, end := r.Call.AfterRevision, r.Result.Revision
	if end < after {
		c.report(RuleOrder, "%v shows a revision under the one that it began after", r)
	}
	last := after
	shown := map[uint64]bool{}
	for _, e := range r.Result.Events {
		if e.Revision <= last || e.Revision > end {
			c.report(RuleOrder, "%v: event %d after %d", r, e.Revision, last)
		}
		last = e.Revision
		shown[e.Revision] = true
	}
	for _, id := range sortedNames(c.puts) {
		p := c.puts[id]
		revision := p.revision()
		if groups.KeyGroup(p.key) != group || revision == 0 {
			continue
		}
		if after > 0 && revision > after && revision <= end && !shown[revision] {
			c.report(RuleOrder, "%v skips the put of %s at %d", r, p.key, revision)
		}
		if p.firstSuccess != nil && p.firstSuccess.endedBefore(r) && revision > end && len(r.Result.Events) == 0 {
			c.report(RuleLost, "%v is behind a put acknowledged before it was sent: %v", r, p.firstSuccess)
		}
	}
}

// checkCompacted checks that a watch which failed with StatusCompacted did not begin with a revision that a watch was given within the
// history retention.
func (c *checker) checkCompacted(r *Record, watches []*Record) {
	for _, w := range watches {
		wasGiven := w.Succeeded() && w.Result.Revision == r.Call.AfterRevision
		if wasGiven && w.endedBefore(r) && r.Sent-w.Ended < c.config.HistoryRetention {
			c.report(RuleLost, "%v got 410 for a revision that it was given %v before", r, r.Sent-w.Ended)
			return
		}
	}
}
