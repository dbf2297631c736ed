package callhistory

import (
	"clovergap/internal/gateway/coordination"
	"clovergap/internal/gateway/groups"
)

// checkWatches checks the rules ORDER and LOST for watches. checkKeys must run before checkWatches, because checkKeys collects the puts.
func (c *checker) checkWatches() {
	byGroup := c.recordsByName[coordination.KeyWatch]
	for _, group := range sortedKeys(byGroup) {
		for _, r := range byGroup[group] {
			if r.Succeeded() {
				c.checkWatchResult(group, r)
			}
			if r.IsDefinite() && r.Result.Status == coordination.StatusCompacted {
				c.checkCompactedWatch(r, byGroup[group])
			}
		}
	}
}

// checkWatchResult checks the events that a watch returned. The revisions of the events must increase, and must lie between the revision
// that the watch started after and the revision that the watch returned. No put in this range may be missing. A watch without events must
// not miss a put that was acknowledged before the watch was sent.
func (c *checker) checkWatchResult(group string, r *Record) {
	after, end := r.Call.AfterRevision, r.Result.Revision
	if end < after {
		c.addViolation(RuleOrder, "%v returned a lower revision than the revision that the watch started after", r)
	}
	last := after
	shown := map[uint64]bool{}
	for _, e := range r.Result.Events {
		if e.Revision <= last || e.Revision > end {
			c.addViolation(RuleOrder, "%v returned an event with revision %d after revision %d", r, e.Revision, last)
		}
		last = e.Revision
		shown[e.Revision] = true
	}
	for _, id := range sortedKeys(c.puts) {
		p := c.puts[id]
		revision := p.revision()
		if groups.KeyGroup(p.key) != group || revision == 0 {
			continue
		}
		if after > 0 && revision > after && revision <= end && !shown[revision] {
			c.addViolation(RuleOrder, "%v skipped the put of key %s at revision %d", r, p.key, revision)
		}
		if p.firstSuccess != nil && p.firstSuccess.endedBefore(r) && revision > end && len(r.Result.Events) == 0 {
			c.addViolation(RuleLost, "%v missed a put acknowledged before the watch was sent: %v", r, p.firstSuccess)
		}
	}
}

// checkCompactedWatch checks a watch that failed with StatusCompacted. The watch must not have started after a revision that an earlier
// watch returned within the history retention.
func (c *checker) checkCompactedWatch(r *Record, watches []*Record) {
	for _, w := range watches {
		wasGiven := w.Succeeded() && w.Result.Revision == r.Call.AfterRevision
		if wasGiven && w.endedBefore(r) && r.Sent-w.Ended < c.config.HistoryRetention {
			c.addViolation(RuleLost, "%v got status 410 (compacted) for a revision that an earlier watch returned, %v after the earlier watch ended", r, r.Sent-w.Ended)
			return
		}
	}
}
