package callhistory

import "clovergap/internal/gateway/coordination"

// put is a value that was put to a key, by any number of calls: callers repeat a put without an answer, and never use a value twice.
type put struct {
	key, value        string
	firstSent         *Record
	firstSuccess      *Record         // the first to end; nil without one
	acknowledged      map[uint64]bool // the revisions that its calls were answered with
	observed          map[uint64]bool // the revisions with which reads and watches showed it
	ambiguous         bool            // a call of it got no definite answer
	expectedRevisions map[uint64]bool // of its conditional calls that succeeded
	rejections        []*Record
}

// revision is the put's revision, 0 if none is known. If there are several, which breaks MIXED, it is any of them.
func (p *put) revision() uint64 {
	for r := range p.acknowledged {
		return r
	}
	for r := range p.observed {
		return r
	}
	return 0
}

// putKey identifies a put.
func putKey(key, value string) string { return key + "\x00" + value }

// collectPuts finds the puts of the history.
func (c *checker) collectPuts() {
	byKey := c.recordsByName[coordination.KeyPut]
	for _, key := range sortedNames(byKey) {
		for _, r := range byKey[key] {
			c.ensurePut(r).add(r)
		}
	}
}

// ensurePut is the put that a call is of.
func (c *checker) ensurePut(r *Record) *put {
	id := putKey(r.Call.Name, r.Call.Value)
	if c.puts[id] == nil {
		c.puts[id] = &put{key: r.Call.Name, value: r.Call.Value, firstSent: r, acknowledged: map[uint64]bool{}, observed: map[uint64]bool{},
			expectedRevisions: map[uint64]bool{}}
	}
	return c.puts[id]
}

// add adds a call of the put.
func (p *put) add(r *Record) {
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

// putsByKey are the puts of each key, by value.
func (c *checker) putsByKey() map[string][]*put {
	byKey := map[string][]*put{}
	for _, id := range sortedNames(c.puts) {
		p := c.puts[id]
		byKey[p.key] = append(byKey[p.key], p)
	}
	return byKey
}

// observeWatches records the puts that watches showed.
func (c *checker) observeWatches() {
	byGroup := c.recordsByName[coordination.KeyWatch]
	for _, group := range sortedNames(byGroup) {
		for _, r := range byGroup[group] {
			for _, e := range r.Result.Events {
				c.recordObserved(r, e.Name, e.Value, e.Revision)
			}
		}
	}
}

// recordObserved records that a call showed a value with a revision, and checks that it may: MIXED and REFUSED.
func (c *checker) recordObserved(observer *Record, key, value string, revision uint64) {
	p := c.puts[putKey(key, value)]
	if p == nil {
		c.report(RuleMixed, "%v shows %q of %s, which nobody put", observer, value, key)
		return
	}
	if p.firstSent.Sent > observer.Ended {
		c.report(RuleMixed, "%v shows %q of %s before it was put", observer, value, key)
	}
	if p.firstSuccess == nil && !p.ambiguous {
		c.report(RuleRefused, "%v shows %q of %s, a put that was rejected: %v", observer, value, key, p.rejections[0])
	}
	p.observed[revision] = true
}
