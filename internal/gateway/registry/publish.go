package registry

import "slices"

// Backends share addresses in time: a machine's address may be another backend's a moment later, while this node still has the
// former one. Of several at one address, only the one that was seen first most recently is given to requests.

// reindexAddr files an entry under another address.
func (r *Registry) reindexAddr(e *entry, addr string) {
	r.unindexAddr(e)
	if e.record.Addr = addr; addr == "" {
		return
	}
	r.byAddr[addr] = append(r.byAddr[addr], e)
}

// unindexAddr takes an entry from its address; those that stay there may be seen differently.
func (r *Registry) unindexAddr(e *entry) {
	if e.record.Addr == "" {
		return
	}
	others := slices.DeleteFunc(r.byAddr[e.record.Addr], func(x *entry) bool { return x == e })
	for _, other := range others {
		r.enqueueChange(other)
	}
	if len(others) == 0 {
		delete(r.byAddr, e.record.Addr)
	} else {
		r.byAddr[e.record.Addr] = others
	}
}

// enqueueAddrChanges has an entry, and all that share its address, compared with what was published of them.
func (r *Registry) enqueueAddrChanges(e *entry) {
	r.enqueueChange(e)
	for _, other := range r.byAddr[e.record.Addr] {
		r.enqueueChange(other)
	}
}

func (r *Registry) enqueueChange(e *entry) {
	if !e.changeQueued {
		e.changeQueued = true
		r.changedEntries = append(r.changedEntries, e)
	}
}

// displaced tells whether a younger backend lives at the same address.
func (r *Registry) displaced(e *entry) bool {
	for _, other := range r.byAddr[e.record.Addr] {
		if other != e && other.phase() != Gone && (other.firstSeenAt > e.firstSeenAt ||
			other.firstSeenAt == e.firstSeenAt && other.record.ID > e.record.ID) {
			return true
		}
	}
	return false
}

// visiblePhase is a backend's phase as requests should see it.
func (r *Registry) visiblePhase(e *entry) Phase {
	if e.record.Service == "" || r.displaced(e) {
		return Gone
	}
	return e.phase()
}

// publish gives a backend if it differs from what was last given of it.
func (r *Registry) publish(e *entry) (Action, bool) {
	record := r.recordOf(e)
	record.Phase = r.visiblePhase(e)
	same := record.Service == e.published.Service && record.Addr == e.published.Addr && record.Zone == e.published.Zone &&
		record.Generation == e.published.Generation && record.Capacity == e.published.Capacity && record.Phase == e.published.Phase &&
		e.slowStartUntil == e.publishedSlowStart
	if same || !e.everPublished && record.Phase == Gone {
		return nil, false
	}
	e.published, e.publishedSlowStart, e.everPublished = record, e.slowStartUntil, true
	return Changed{Record: record, SlowStartUntil: e.slowStartUntil}, true
}
