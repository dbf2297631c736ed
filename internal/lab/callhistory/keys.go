package callhistory

import (
	"maps"
	"slices"

	"clovergap/internal/gateway/coordination"
	"clovergap/internal/gateway/groups"
)

// checkKeys checks ORDER, STALE, MIXED and REFUSED of keys. What watches and reads show is collected first, since it may show the revision
// of a put without an answer.
func (c *checker) checkKeys() {
	c.collectPuts()
	c.observeWatches()
	reads := c.recordsByName[coordination.KeyRead]
	for _, key := range sortedNames(reads) {
		for _, r := range succeeded(reads[key]) {
			c.recordObserved(r, key, r.Result.Value, r.Result.Revision)
		}
	}
	c.checkSingleRevision()
	c.checkRevisionsIncrease()
	byKey := c.putsByKey()
	for _, key := range sortedNames(byKey) {
		c.checkConditions(byKey[key])
		c.checkConflicts(byKey[key])
		c.checkReads(key, byKey[key])
	}
}

// checkSingleRevision checks that each put has one revision.
func (c *checker) checkSingleRevision() {
	for _, id := range sortedNames(c.puts) {
		p := c.puts[id]
		revisions := maps.Clone(p.acknowledged)
		maps.Copy(revisions, p.observed)
		if len(revisions) > 1 {
			c.report(RuleMixed, "%q of %s has %d revisions: %v", p.value, p.key, len(revisions), slices.Sorted(maps.Keys(revisions)))
		}
	}
}

// checkRevisionsIncrease checks the revisions of each key group. A put counts as sent when its first call was, since a repeated put gets the
// revision of the first one.
func (c *checker) checkRevisionsIncrease() {
	byGroup := map[string][]*Record{}
	for _, id := range sortedNames(c.puts) {
		p := c.puts[id]
		if p.firstSuccess == nil {
			continue
		}
		record := *p.firstSuccess
		record.Sent = p.firstSent.Sent
		group := groups.KeyGroup(p.key)
		byGroup[group] = append(byGroup[group], &record)
	}
	for _, group := range sortedNames(byGroup) {
		c.checkIncreasing("revision in "+group, byGroup[group], func(r *Record) uint64 { return r.Result.Revision })
	}
}

// checkConditions checks that no put of the key lies between a conditional put and the revision that it expected.
func (c *checker) checkConditions(puts []*put) {
	for _, p := range puts {
		for expected := range p.expectedRevisions {
			for _, other := range puts {
				if r := other.revision(); r > expected && r < p.revision() {
					c.report(RuleOrder, "%q of %s was put over revision %d at %d, though %d was between", p.value, p.key, expected, p.revision(), r)
				}
			}
		}
	}
}

// checkConflicts checks that conflicts show revisions that puts gave the key. Any revision may be that of a put without an answer.
func (c *checker) checkConflicts(puts []*put) {
	known, anyUnknown := map[uint64]bool{}, false
	for _, p := range puts {
		if r := p.revision(); r > 0 {
			known[r] = true
		} else if p.ambiguous {
			anyUnknown = true
		}
	}
	for _, p := range puts {
		for _, r := range p.rejections {
			shown := r.Result.Revision
			if r.Result.Status == coordination.StatusConflict && shown > 0 && !known[shown] && !anyUnknown {
				c.report(RuleMixed, "%v names a revision that no put gave the key", r)
			}
		}
	}
}

// checkReads checks that reads are not below puts that were acknowledged before.
func (c *checker) checkReads(key string, puts []*put) {
	for _, r := range c.recordsByName[coordination.KeyRead][key] {
		if !r.Succeeded() && (!r.IsDefinite() || r.Result.Status != coordination.StatusNotFound) {
			continue
		}
		for _, p := range puts {
			if p.firstSuccess != nil && p.firstSuccess.endedBefore(r) && p.firstSuccess.Result.Revision > r.Result.Revision {
				c.report(RuleStale, "%v is below a put acknowledged before it was sent: %v", r, p.firstSuccess)
			}
		}
	}
}
