package callhistory

import (
	"maps"
	"slices"

	"clovergap/internal/gateway/coordination"
	"clovergap/internal/gateway/groups"
)

// checkKeys checks the rules ORDER, STALE, MIXED and REFUSED for keys. It first collects the results of watches and reads, because these
// results may contain the revision of a put that got no answer.
func (c *checker) checkKeys() {
	c.collectPuts()
	c.recordWatchEvents()
	reads := c.recordsByName[coordination.KeyRead]
	for _, key := range sortedKeys(reads) {
		for _, r := range succeededRecords(reads[key]) {
			c.recordObserved(r, key, r.Result.Value, r.Result.Revision)
		}
	}
	c.checkSingleRevision()
	c.checkRevisionsIncrease()
	byKey := c.putsByKey()
	for _, key := range sortedKeys(byKey) {
		c.checkConditionalPuts(byKey[key])
		c.checkConflicts(byKey[key])
		c.checkStaleReads(key, byKey[key])
	}
}

// checkSingleRevision checks that each put has at most one revision.
func (c *checker) checkSingleRevision() {
	for _, id := range sortedKeys(c.puts) {
		p := c.puts[id]
		revisions := maps.Clone(p.acknowledged)
		maps.Copy(revisions, p.observed)
		if len(revisions) > 1 {
			c.addViolation(RuleMixed, "value %q of key %s has %d revisions: %v", p.value, p.key, len(revisions), slices.Sorted(maps.Keys(revisions)))
		}
	}
}

// checkRevisionsIncrease checks that the revisions in each key group increase. A put counts as sent when its first call was
// sent, because a repeated put returns the revision of the first one.
func (c *checker) checkRevisionsIncrease() {
	byGroup := map[string][]*Record{}
	for _, id := range sortedKeys(c.puts) {
		p := c.puts[id]
		if p.firstSuccess == nil {
			continue
		}
		record := *p.firstSuccess
		record.Sent = p.firstSent.Sent
		group := groups.KeyGroup(p.key)
		byGroup[group] = append(byGroup[group], &record)
	}
	for _, group := range sortedKeys(byGroup) {
		c.checkIncreasing("revision in "+group, byGroup[group], func(r *Record) uint64 { return r.Result.Revision })
	}
}

// checkConditionalPuts checks each conditional put. No other put of the key may have a revision between the revision that the conditional
// put expected and the revision that the conditional put got.
func (c *checker) checkConditionalPuts(puts []*put) {
	for _, p := range puts {
		for expected := range p.expectedRevisions {
			for _, other := range puts {
				if r := other.revision(); r > expected && r < p.revision() {
					c.addViolation(RuleOrder, "put of value %q to key %s expected revision %d and got revision %d, but another put has revision %d",
						p.value, p.key, expected, p.revision(), r)
				}
			}
		}
	}
}

// checkConflicts checks that the revision in the answer of each rejected conditional put belongs to a put of the key. If the key has an
// unanswered put with an unknown revision, checkConflicts accepts any revision, because the revision may belong to the unanswered put.
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
				c.addViolation(RuleMixed, "%v returned a revision that no put of the key has", r)
			}
		}
	}
}

// checkStaleReads checks that no read returns a lower revision than a put that was acknowledged before the read was sent.
func (c *checker) checkStaleReads(key string, puts []*put) {
	for _, r := range c.recordsByName[coordination.KeyRead][key] {
		if !r.Succeeded() && (!r.IsDefinite() || r.Result.Status != coordination.StatusNotFound) {
			continue
		}
		for _, p := range puts {
			if p.firstSuccess != nil && p.firstSuccess.endedBefore(r) && p.firstSuccess.Result.Revision > r.Result.Revision {
				c.addViolation(RuleStale, "%v returned a lower revision than a put acknowledged before the read was sent: %v", r, p.firstSuccess)
			}
		}
	}
}
