package callhistory

import (
	"maps"
	"slices"

	"clovergap/internal/gateway/coordination"
	"clovergap/internal/gateway/groups"
)

// put is a value that was put to a key, by any number of calls.
type put struct {
	key, value string
	first      *Record         // sent
	given      map[uint64]bool // revisions that its calls were answered with
	shown      map[uint64]bool // and that it was shown under
	good       *Record         // the first good answer
	open       bool            // some call of it may have taken effect without being answered so
	expected   map[uint64]bool // that its good calls were bound to
	refusals   []*Record
}

func (p *put) revision() uint64 {
	for r := range p.given {
		return r
	}
	for r := range p.shown {
		return r
	}
	return 0
}

func putName(key, value string) string { return key + "\x00" + value }

func sortedNames[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

// numbers checks ORDER of numbers.
func (c *checker) numbers() {
	for _, name := range sortedNames(c.byName[coordination.Number]) {
		var all []*Record
		for _, r := range c.byName[coordination.Number][name] {
			if r.Good() {
				all = append(all, r)
			}
		}
		c.rises("number of "+name, all, func(r *Record) uint64 { return r.Answer.Number })
	}
}

// rises checks that what calls were given differs, and is above what was given before they were sent.
func (c *checker) rises(what string, all []*Record, value func(*Record) uint64) {
	seen := map[uint64]*Record{}
	for _, r := range all {
		if x := seen[value(r)]; x != nil {
			c.breaks(Order, "%s: %d was given twice: %v and %v", what, value(r), x, r)
		}
		seen[value(r)] = r
	}
	ended := slices.Clone(all)
	slices.SortFunc(ended, func(a, b *Record) int { return int(min(max(a.Ended-b.Ended, -1), 1)) })
	sent := slices.Clone(all)
	slices.SortFunc(sent, func(a, b *Record) int { return int(min(max(a.Sent-b.Sent, -1), 1)) })
	next, highest := 0, (*Record)(nil)
	for _, r := range sent {
		for ; next < len(ended) && ended[next].before(r); next++ {
			if highest == nil || value(ended[next]) > value(highest) {
				highest = ended[next]
			}
		}
		if highest != nil && value(r) <= value(highest) {
			c.breaks(Order, "%s: %v is not above what was given before it was sent: %v", what, r, highest)
		}
	}
}

// gather finds the puts, and what shows of them.
func (c *checker) gather() {
	for _, key := range sortedNames(c.byName[coordination.KeyReplace]) {
		for _, r := range c.byName[coordination.KeyReplace][key] {
			name := putName(key, r.Call.Value)
			p := c.puts[name]
			if p == nil {
				p = &put{key: key, value: r.Call.Value, first: r, given: map[uint64]bool{}, shown: map[uint64]bool{},
					expected: map[uint64]bool{}}
				c.puts[name] = p
			}
			if r.Sent < p.first.Sent {
				p.first = r
			}
			switch {
			case r.Good():
				p.given[r.Answer.Revision] = true
				if r.Call.Bound {
					p.expected[r.Call.Expected] = true
				}
				if p.good == nil || r.Ended < p.good.Ended {
					p.good = r
				}
			case !r.Clear():
				p.open = true
			default:
				p.refusals = append(p.refusals, r)
			}
		}
	}
}

// shows notes that a value was shown under a revision, and checks that it may be.
func (c *checker) shows(by *Record, key, value string, revision uint64) {
	p := c.puts[putName(key, value)]
	if p == nil {
		c.breaks(Mixed, "%v shows %q of %s, which nobody put", by, value, key)
		return
	}
	if p.first.Sent > by.Ended {
		c.breaks(Mixed, "%v shows %q of %s before it was put", by, value, key)
	}
	if p.good == nil && !p.open {
		c.breaks(Refused, "%v shows %q of %s, a put that was turned away: %v", by, value, key, p.refusals[0])
	}
	p.shown[revision] = true
}

// keys checks ORDER, STALE, MIXED and REFUSED of keys. Watches that show puts are looked at first.
func (c *checker) keys() {
	c.gather()
	for _, name := range sortedNames(c.byName[coordination.KeyWatch]) {
		for _, r := range c.byName[coordination.KeyWatch][name] {
			for _, e := range r.Answer.Events {
				c.shows(r, e.Name, e.Value, e.Revision)
			}
		}
	}
	for _, key := range sortedNames(c.byName[coordination.KeyRead]) {
		for _, r := range c.byName[coordination.KeyRead][key] {
			if r.Good() {
				c.shows(r, key, r.Answer.Value, r.Answer.Revision)
			}
		}
	}
	byGroup, byKey := map[string][]*Record{}, map[string][]*put{}
	for _, name := range sortedNames(c.puts) {
		p := c.puts[name]
		all := maps.Clone(p.given)
		maps.Copy(all, p.shown)
		if len(all) > 1 {
			c.breaks(Mixed, "%q of %s has %d revisions: %v", p.value, p.key, len(all), slices.Sorted(maps.Keys(all)))
		}
		byKey[p.key] = append(byKey[p.key], p)
		if p.good != nil { // sent when it was first sent, since a put that is repeated gets its first revision
			byGroup[groups.KeyGroup(p.key)] = append(byGroup[groups.KeyGroup(p.key)],
				&Record{Caller: p.good.Caller, Call: p.good.Call, Sent: p.first.Sent, Ended: p.good.Ended, Answer: p.good.Answer})
		}
	}
	for _, group := range sortedNames(byGroup) {
		c.rises("revision in "+group, byGroup[group], func(r *Record) uint64 { return r.Answer.Revision })
	}
	for _, key := range sortedNames(byKey) {
		c.key(key, byKey[key])
	}
}

// key checks one key's puts that named a revision, its refusals and its reads.
func (c *checker) key(key string, puts []*put) {
	known, unknown := map[uint64]bool{}, false
	for _, p := range puts {
		if r := p.revision(); r > 0 {
			known[r] = true
		} else if p.open {
			unknown = true
		}
	}
	for _, p := range puts {
		for expected := range p.expected {
			for _, x := range puts {
				if r := x.revision(); r > expected && r < p.revision() {
					c.breaks(Order, "%q of %s was put over revision %d at %d, though %d was between", p.value, key, expected, p.revision(), r)
				}
			}
		}
		for _, r := range p.refusals {
			if r.Answer.Status == coordination.Conflict && r.Answer.Revision > 0 && !known[r.Answer.Revision] && !unknown {
				c.breaks(Mixed, "%v names a revision that no put gave the key", r)
			}
		}
	}
	for _, r := range c.byName[coordination.KeyRead][key] {
		if !r.Good() && (!r.Clear() || r.Answer.Status != coordination.NotFound) {
			continue
		}
		for _, p := range puts {
			if p.good != nil && p.good.before(r) && p.good.Answer.Revision > r.Answer.Revision {
				c.breaks(Stale, "%v is below a put acknowledged before it was sent: %v", r, p.good)
			}
		}
	}
}

// watches checks ORDER and LOST of watches.
func (c *checker) watches() {
	for _, name := range sortedNames(c.byName[coordination.KeyWatch]) {
		all := c.byName[coordination.KeyWatch][name]
		for _, r := range all {
			if r.Good() {
				c.span(name, r)
			}
			if r.Clear() && r.Answer.Status == coordination.Compacted {
				c.compacted(r, all)
			}
		}
	}
}

// span checks that a watch's events rise, lie within its span, and are all that were put there.
func (c *checker) span(name string, r *Record) {
	last := r.Call.After
	has := map[uint64]bool{}
	if r.Answer.Revision < r.Call.After {
		c.breaks(Order, "%v shows a revision under the one that it began after", r)
	}
	for _, e := range r.Answer.Events {
		if e.Revision <= last || e.Revision > r.Answer.Revision {
			c.breaks(Order, "%v: event %d after %d", r, e.Revision, last)
		}
		last, has[e.Revision] = e.Revision, true
	}
	for _, key := range sortedNames(c.puts) {
		p := c.puts[key]
		at := p.revision()
		if groups.KeyGroup(p.key) != name || at == 0 {
			continue
		}
		if r.Call.After > 0 && at > r.Call.After && at <= r.Answer.Revision && !has[at] {
			c.breaks(Order, "%v skips the put of %s at %d", r, p.key, at)
		}
		if p.good != nil && p.good.before(r) && at > r.Answer.Revision && len(r.Answer.Events) == 0 {
			c.breaks(Lost, "%v is behind a put acknowledged before it was sent: %v", r, p.good)
		}
	}
}

// compacted checks that a watch which was told 410 did not begin with what a watch was given a short while before.
func (c *checker) compacted(r *Record, all []*Record) {
	for _, x := range all {
		if x.Good() && x.Answer.Revision == r.Call.After && x.before(r) && r.Sent-x.Ended < c.terms.History {
			c.breaks(Lost, "%v got 410 for a revision that it was given %v before", r, r.Sent-x.Ended)
			return
		}
	}
}
