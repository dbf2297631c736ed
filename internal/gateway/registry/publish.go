package registry

import (
	"slices"

	"clovergap/internal/invariant"
)

// This file determines which changes of backends are reported to the host (Changed). A new backend may use the address of a
// former backend, and this node may not know yet that the former backend is gone. If several backends that are not gone have
// the same address, requests are therefore sent only to the backend with the latest firstSeenAt. The other backends at the
// address are displaced, which means that they are published with the phase Gone.

// reindexAddr changes the address of an entry and moves the entry in the address index.
func (r *Registry) reindexAddr(e *entry, addr string) {
	r.unindexAddr(e)
	if e.record.Addr = addr; addr == "" {
		return
	}
	r.byAddr[addr] = append(r.byAddr[addr], e)
}

// unindexAddr removes an entry from the address index. It queues the other entries at the address for publication, because
// their visible phase may change.
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

// enqueueChangesAtAddr queues an entry, and all entries with the same address, for comparison with their last published
// state.
func (r *Registry) enqueueChangesAtAddr(e *entry) {
	r.enqueueChange(e)
	for _, other := range r.byAddr[e.record.Addr] {
		r.enqueueChange(other)
	}
}

// enqueueChange queues an entry for comparison with its last published state.
func (r *Registry) enqueueChange(e *entry) {
	if !e.changeQueued {
		e.changeQueued = true
		r.changedEntries = append(r.changedEntries, e)
	}
}

// isDisplaced reports whether another backend at the same address is not gone and was first seen more recently.
func (r *Registry) isDisplaced(e *entry) bool {
	for _, other := range r.byAddr[e.record.Addr] {
		if other != e && other.phase() != Gone && (other.firstSeenAt > e.firstSeenAt ||
			other.firstSeenAt == e.firstSeenAt && other.record.ID > e.record.ID) {
			return true
		}
	}
	return false
}

// visiblePhase returns the phase that is published for a backend. The host applies this phase to requests. The phase is Gone
// for a displaced backend, and for a backend whose service is unknown.
func (r *Registry) visiblePhase(e *entry) Phase {
	if e.record.Service == "" || r.isDisplaced(e) {
		return Gone
	}
	return e.phase()
}

// publishIfChanged returns a Changed action and true if the backend differs from its last published state, and stores the
// new state as published. If the backend does not differ, it returns false.
func (r *Registry) publishIfChanged(e *entry) (Action, bool) {
	record := r.currentRecord(e)
	record.Phase = r.visiblePhase(e)
	invariant.Assert(record.Phase != Ready || e.copies.local == notDeparting, "a backend whose departure is on this disk gets no requests")
	unchanged := record.Service == e.published.Service && record.Addr == e.published.Addr && record.Zone == e.published.Zone &&
		record.Generation == e.published.Generation && record.Capacity == e.published.Capacity && record.Phase == e.published.Phase &&
		e.slowStartUntil == e.publishedSlowStart
	if unchanged || !e.everPublished && record.Phase == Gone {
		return nil, false
	}
	e.published, e.publishedSlowStart, e.everPublished = record, e.slowStartUntil, true
	return Changed{Record: record, SlowStartUntil: e.slowStartUntil}, true
}
