package callhistory

import "clovergap/internal/gateway/coordination"

// put is a value that one or more calls put to a key. Callers repeat a put that gets no answer, and never use the same value for two puts.
type put struct {
	key, value        string
	firstSent         *Record         // the call that was sent first
	firstSuccess      *Record         // the successful call that ended first, or nil if none succeeded
	acknowledged      map[uint64]bool // the revisions in the answers to the successful calls
	observed          map[uint64]bool // the revisions with which reads and watches returned the value
	ambiguous         bool            // true if a call of the put got no definite answer
	expectedRevisions map[uint64]bool // the expected revisions of the successful conditional calls
	rejections        []*Record       // the calls with a definite answer that is not a success
}

// revision returns the revision of the put, or 0 if it is unknown. If the put has several revisions, which breaks rule MIXED, revision
// returns any of them.
func (p *put) revision() uint64 {
	for r := range p.acknowledged {
		return r
	}
	for r := range p.observed {
		return r
	}
	return 0
}

// putIdentifier returns the string that identifies the put of a value to a key.
func putIdentifier(key, value string) string { return key + "\x00" + value }

// collectPuts collects the puts of the history from their calls.
func (c *checker) collectPuts() {
	byKey := c.recordsByName[coordination.KeyPut]
	for _, key := range sortedKeys(byKey) {
		for _, r := range byKey[key] {
			c.ensurePut(r).addCall(r)
		}
	}
}

// ensurePut returns the put that a call belongs to, and creates it if necessary.
func (c *checker) ensurePut(r *Record) *put {
	id := putIdentifier(r.Call.Name, r.Call.Value)
	if c.puts[id] == nil {
		c.puts[id] = &put{key: r.Call.Name, value: r.Call.Value, firstSent: r, acknowledged: map[uint64]bool{}, observed: map[uint64]bool{},
			expectedRevisions: map[uint64]bool{}}
	}
	return c.puts[id]
}

// addCall records a call that belongs to the put.
func (p *put) addCall(r *Record) {
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

// putsByKey returns the puts of each key, sorted by value.
func (c *checker) putsByKey() map[string][]*put {
	byKey := map[string][]*put{}
	for _, id := range sortedKeys(c.puts) {
		p := c.puts[id]
		byKey[p.key] = append(byKey[p.key], p)
	}
	return byKey
}

// recordWatchEvents calls recordObserved for each event that a watch returned.
func (c *checker) recordWatchEvents() {
	byGroup := c.recordsByName[coordination.KeyWatch]
	for _, group := range sortedKeys(byGroup) {
		for _, r := range byGroup[group] {
			for _, e := range r.Result.Events {
				c.recordObserved(r, e.Name, e.Value, e.Revision)
			}
		}
	}
}

// recordObserved records that the call observer returned a value of a key with a revision. It checks the rules MIXED and REFUSED for this
// result.
func (c *checker) recordObserved(observer *Record, key, value string, revision uint64) {
	p := c.puts[putIdentifier(key, value)]
	if p == nil {
		c.addViolation(RuleMixed, "%v returned value %q of key %s, which no call put", observer, value, key)
		return
	}
	if p.firstSent.Sent > observer.Ended {
		c.addViolation(RuleMixed, "%v returned value %q of key %s before a call put this value", observer, value, key)
	}
	if p.firstSuccess == nil && !p.ambiguous {
		c.addViolation(RuleRefused, "%v returned value %q of key %s, whose put was rejected: %v", observer, value, key, p.rejections[0])
	}
	p.observed[revision] = true
}
