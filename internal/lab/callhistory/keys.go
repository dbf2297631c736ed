package callhistory

import (
	"maps"
	"slices"

	"clovergap/internal/gateway/coordination"
	"clovergap/internal/gateway/groups"
)

// put is a value that was put to a key, by any number of calls.
type put struct {
	key, value        string
	firstSent         *Record         // sent
	acknowledged      map[uint64]bool // revisions that its calls were answered with
	observed          map[uint64]bool // and that it was shown under
	firstSuccess      *Record         // the first good answer
	ambiguous         bool            // some call of it may have taken effect without being answered so
	expectedRevisions map[uint64]bool // that its good calls were bound to
	rejections        []*Record
}

func (p *put) revision() uint64 {
	for r := range p.acknowledged {
		return r
	}
	for r := range p.observed {
		return r
	}
	return 0
}

func putKey(key, value string) string { return key + "\x00" + value }

func sortedNames[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

// checkNumbers checks ORDER of numbers.
func (c *checker) checkNumbers() {
	for _, name := range sortedNames(c.recordsByName[coordination.NumberNext]) {
		var all []*Record
		for _, r := range c.recordsByName[coordination.NumberNext][name] {
			if r.Succeeded() {
				all = append(all, r)
			}
		}
		c.checkRising("number of "+name, all, func(r *Record) uint64 { return r.Result.Number })
	}
}

// checkRising checks that what calls were given differs, and is above what was given before they were sent.
func (c *checker) checkRising(what string, all []*Record, value func(*Record) uint64) {
	seen := map[uint64]*Record{}
	for _, r := range all {
		if x := seen[value(r)]; x != nil {
			c.report(RuleOrder, "%s: %d was given twice: %v and %v", what, value(r), x, r)
		}
		seen[value(r)] = r
	}
	ended := slices.Clone(all)
	slices.SortFunc(ended, func(a, b *Record) int { return int(min(max(a.Ended-b.Ended, -1), 1)) })
	sent := slices.Clone(all)
	slices.SortFunc(sent, func(a, b *Record) int { return int(min(max(a.Sent-b.Sent, -1), 1)) })
	next, highest := 0, (*Record)(nil)
	for _, r := range sent {
		for ; next < len(ended) && ended[next].endedBefore(r); next++ {
			if highest == nil || value(ended[next]) > value(highest) {
				highest = ended[next]
			}
		}
		if highest != nil && value(r) <= value(highest) {
			c.report(RuleOrder, "%s: %v is not above what was given before it was sent: %v", what, r, highest)
		}
	}
}

// collectPuts finds the puts, and what shows of them.
func (c *checker) collectPuts() {
	for _, key := range sortedNames(c.recordsByName[coordination.KeyPut]) {
		for _, r := range c.recordsByName[coordination.KeyPut][key] {
			name := putKey(key, r.Call.Value)
			p := c.puts[name]
			if p == nil {
				p = &put{key: key, value: r.Call.Value, firstSent: r, acknowledged: map[uint64]bool{}, observed: map[uint64]bool{},
					expectedRevisions: map[uint64]bool{}}
				c.puts[name] = p
			}
			if r.Sent < p.firstSent.Sent {
				p.firstSent = r
			}
			switch {
			case r.Succeeded():
				p.acknowledged[r.Result.Revision] = true
				if r.Call.Conditional {
					p.expectedRevisions[r.Call.ExpectedRevision] = true
				}
				if p.firstSuccess == nil || r.Ended < p.firstSuccess.Ended {
					p.firstSuccess = r
				}
			case !r.IsDefinite():
				p.ambiguous = true
			default:
				p.rejections = append(p.rejections, r)
			}
		}
	}
}

// recordObserved notes that a value was shown under a revision, and checks that it may be.
func (c *checker) recordObserved(by *Record, key, value string, revision uint64) {
	p := c.puts[putKey(key, value)]
	if p == nil {
		c.report(RuleMixed, "%v shows %q of %s, which nobody put", by, value, key)
		return
	}
	if p.firstSent.Sent > by.Ended {
		c.report(RuleMixed, "%v shows %q of %s before it was put", by, value, key)
	}
	if p.firstSuccess == nil && !p.ambiguous {
		c.report(RuleRefused, "%v shows %q of %s, a put that was turned away: %v", by, value, key, p.rejections[0])
	}
	p.observed[revision] = true
}

// checkKeys checks ORDER, STALE, MIXED and REFUSED of keys. Watches that show puts are looked at first.
func (c *checker) checkKeys() {
	c.collectPuts()
	for _, name := range sortedNames(c.recordsByName[coordination.KeyWatch]) {
		for _, r := range c.recordsByName[coordination.KeyWatch][name] {
			for _, e := range r.Result.Events {
				c.recordObserved(r, e.Name, e.Value, e.Revision)
			}
		}
	}
	for _, key := range sortedNames(c.recordsByName[coordination.KeyRead]) {
		for _, r := range c.recordsByName[coordination.KeyRead][key] {
			if r.Succeeded() {
				c.recordObserved(r, key, r.Result.Value, r.Result.Revision)
			}
		}
	}
	byGroup, byKey := map[string][]*Record{}, map[string][]*put{}
	for _, name := range sortedNames(c.puts) {
		p := c.puts[name]
		all := maps.Clone(p.acknowledged)
		maps.Copy(all, p.observed)
		if len(all) > 1 {
			c.report(RuleMixed, "%q of %s has %d revisions: %v", p.value, p.key, len(all), slices.Sorted(maps.Keys(all)))
		}
		byKey[p.key] = append(byKey[p.key], p)
		if p.firstSuccess != nil { // sent when it was first sent, since a put that is repeated gets its first revision
			byGroup[groups.KeyGroup(p.key)] = append(byGroup[groups.KeyGroup(p.key)],
				&Record{Caller: p.firstSuccess.Caller, Call: p.firstSuccess.Call, Sent: p.firstSent.Sent, Ended: p.firstSuccess.Ended, Result: p.firstSuccess.Result})
		}
	}
	for _, group := range sortedNames(byGroup) {
		c.checkRising("revision in "+group, byGroup[group], func(r *Record) uint64 { return r.Result.Revision })
	}
	for _, key := range sortedNames(byKey) {
		c.checkKey(key, byKey[key])
	}
}

// checkKey checks one key's puts that named a revision, its refusals and its reads.
func (c *checker) checkKey(key string, puts []*put) {
	known, unknown := map[uint64]bool{}, false
	for _, p := range puts {
		if r := p.revision(); r > 0 {
			known[r] = true
		} else if p.ambiguous {
			unknown = true
		}
	}
	for _, p := range puts {
		for expected := range p.expectedRevisions {
			for _, x := range puts {
				if r := x.revision(); r > expected && r < p.revision() {
					c.report(RuleOrder, "%q of %s was put over revision %d at %d, though %d was between", p.value, key, expected, p.revision(), r)
				}
			}
		}
		for _, r := range p.rejections {
			if r.Result.Status == coordination.StatusConflict && r.Result.Revision > 0 && !known[r.Result.Revision] && !unknown {
				c.report(RuleMixed, "%v names a revision that no put gave the key", r)
			}
		}
	}
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

// checkWatches checks ORDER and LOST of watches.
func (c *checker) checkWatches() {
	for _, name := range sortedNames(c.recordsByName[coordination.KeyWatch]) {
		all := c.recordsByName[coordination.KeyWatch][name]
		for _, r := range all {
			if r.Succeeded() {
				c.checkWatchSpan(name, r)
			}
			if r.IsDefinite() && r.Result.Status == coordination.StatusCompacted {
				c.checkCompacted(r, all)
			}
		}
	}
}

// checkWatchSpan checks that a watch's events rise, lie within its span, and are all that were put there.
func (c *checker) checkWatchSpan(name string, r *Record) {
	last := r.Call.AfterRevision
	has := map[uint64]bool{}
	if r.Result.Revision < r.Call.AfterRevision {
		c.report(RuleOrder, "%v shows a revision under the one that it began after", r)
	}
	for _, e := range r.Result.Events {
		if e.Revision <= last || e.Revision > r.Result.Revision {
			c.report(RuleOrder, "%v: event %d after %d", r, e.Revision, last)
		}
		last, has[e.Revision] = e.Revision, true
	}
	for _, key := range sortedNames(c.puts) {
		p := c.puts[key]
		at := p.revision()
		if groups.KeyGroup(p.key) != name || at == 0 {
			continue
		}
		if r.Call.AfterRevision > 0 && at > r.Call.AfterRevision && at <= r.Result.Revision && !has[at] {
			c.report(RuleOrder, "%v skips the put of %s at %d", r, p.key, at)
		}
		if p.firstSuccess != nil && p.firstSuccess.endedBefore(r) && at > r.Result.Revision && len(r.Result.Events) == 0 {
			c.report(RuleLost, "%v is behind a put acknowledged before it was sent: %v", r, p.firstSuccess)
		}
	}
}

// checkCompacted checks that a watch which was told 410 did not begin with what a watch was given a short while before.
func (c *checker) checkCompacted(r *Record, all []*Record) {
	for _, x := range all {
		if x.Succeeded() && x.Result.Revision == r.Call.AfterRevision && x.endedBefore(r) && r.Sent-x.Ended < c.config.HistoryRetention {
			c.report(RuleLost, "%v got 410 for a revision that it was given %v before", r, r.Sent-x.Ended)
			return
		}
	}
}
