package registry

import (
	"cmp"
	"slices"
)

// merge adds what a word says to what is known. It is the same in every order and repetition: the newest Seq
// gives the facts, the highest fence the registrar; draining and leaving stay. A silence counts only at exactly
// the newest Seq and fence: a later beat revives, and an older registrar does not undo a newer one. It tells
// whether the backend was gone and lives again.
func (r *Registry) merge(e *entry, w Record) (revived bool) {
	was := e.phase()
	quiet := w.Phase == Gone && !w.Left
	seq, fence := max(e.record.Seq, w.Seq), max(e.record.FencingToken, w.FencingToken)
	gone := e.timedOut && e.record.Seq == seq && e.record.FencingToken == fence || quiet && w.Seq == seq && w.FencingToken == fence
	if w.Service != "" && (w.Seq > e.record.Seq || e.record.Service == "") {
		r.mergeDetails(e, w)
	}
	if w.Seq > e.record.Seq {
		e.lastSeenAt, e.directHeartbeat = r.now, false
	}
	if w.FencingToken > e.record.FencingToken || w.FencingToken == e.record.FencingToken && w.Owner > e.record.Owner {
		r.setOwner(e, w.Owner, w.LostOwner)
	}
	e.record.Seq, e.record.FencingToken = seq, fence
	e.record.Draining = e.record.Draining || w.Draining || w.Phase == Draining
	e.record.Left = e.record.Left || w.Left
	e.firstSeenAt = min(e.firstSeenAt, r.now-w.Age)
	r.setTimedOut(e, was, gone)
	r.enqueueAddrChanges(e)
	return was == Gone && e.phase() != Gone
}

// mergeDetails takes what the backend says of itself.
func (r *Registry) mergeDetails(e *entry, w Record) {
	if e.record.Addr != w.Addr {
		r.reindexAddr(e, w.Addr)
	}
	e.record.Service, e.record.Zone, e.record.Generation, e.record.Capacity = w.Service, w.Zone, w.Generation, w.Capacity
	// Each beat says it a little differently; only what matters counts.
	if cold := r.now + w.SlowStartLeft; w.SlowStartLeft > 0 && max(cold-e.slowStartUntil, e.slowStartUntil-cold) > tickInterval {
		e.slowStartUntil = cold
	}
}

// setOwner notes who watches from now on.
func (r *Registry) setOwner(e *entry, to, missed Slot) {
	if e.record.Owner == r.localSlot && to != r.localSlot && r.unreachable(to) {
		// Another node hears a registrar that this one does not: it is not to be taken from it again and again.
		e.noTakeoverUntil = r.now + takeoverHoldoffHeartbeats*r.config.HeartbeatInterval
	}
	e.record.Owner, e.record.LostOwner = to, missed
	e.ownerSince, e.lastSeenAt = r.now, r.now
}

// setTimedOut sets what a silence says and counts the gone.
func (r *Registry) setTimedOut(e *entry, was Phase, gone bool) {
	e.timedOut, e.suspected = gone, gone && e.suspected
	switch is := e.phase(); {
	case was != Gone && is == Gone:
		r.goneCount++
		e.goneAt = r.now
	case was == Gone && is != Gone:
		r.goneCount--
	}
}

// expire marks one as gone by silence.
func (r *Registry) expire(e *entry) {
	r.setTimedOut(e, e.phase(), true)
	r.enqueueAddrChanges(e)
}

// reindexAddr files the entry under another address.
func (r *Registry) reindexAddr(e *entry, addr string) {
	r.unindexAddr(e)
	if e.record.Addr = addr; addr == "" {
		return
	}
	r.byAddr[addr] = append(r.byAddr[addr], e)
}

func (r *Registry) unindexAddr(e *entry) {
	if e.record.Addr == "" {
		return
	}
	rest := slices.DeleteFunc(r.byAddr[e.record.Addr], func(x *entry) bool { return x == e })
	for _, x := range rest {
		r.enqueueChange(x)
	}
	if len(rest) == 0 {
		delete(r.byAddr, e.record.Addr)
	} else {
		r.byAddr[e.record.Addr] = rest
	}
}

// enqueueAddrChanges has the views looked at of all that share the address.
func (r *Registry) enqueueAddrChanges(e *entry) {
	r.enqueueChange(e)
	for _, x := range r.byAddr[e.record.Addr] {
		r.enqueueChange(x)
	}
}

func (r *Registry) enqueueChange(e *entry) {
	if !e.changeQueued {
		e.changeQueued = true
		r.changedEntries = append(r.changedEntries, e)
	}
}

// displaced tells that a younger one lives at the same address.
func (r *Registry) displaced(e *entry) bool {
	for _, x := range r.byAddr[e.record.Addr] {
		if x != e && x.phase() != Gone && (x.firstSeenAt > e.firstSeenAt || x.firstSeenAt == e.firstSeenAt && x.record.ID > e.record.ID) {
			return true
		}
	}
	return false
}

func (r *Registry) visiblePhase(e *entry) Phase {
	if e.record.Service == "" || r.displaced(e) {
		return Gone
	}
	return e.phase()
}

// publish gives the view where it differs from the last shown.
func (r *Registry) publish(e *entry) (Action, bool) {
	w := r.recordOf(e)
	w.Phase = r.visiblePhase(e)
	same := w.Service == e.published.Service && w.Addr == e.published.Addr && w.Zone == e.published.Zone &&
		w.Generation == e.published.Generation && w.Capacity == e.published.Capacity && w.Phase == e.published.Phase &&
		e.slowStartUntil == e.publishedSlowStart
	if same || !e.everPublished && w.Phase == Gone {
		return nil, false
	}
	e.published, e.publishedSlowStart, e.everPublished = w, e.slowStartUntil, true
	return Changed{Record: w, SlowStartUntil: e.slowStartUntil}, true
}

// pruneTombstones drops what has been gone for long, and the oldest where there are too many.
func (r *Registry) pruneTombstones() {
	var dead []*entry
	for _, e := range r.sorted {
		if e.phase() == Gone {
			dead = append(dead, e)
		}
	}
	slices.SortStableFunc(dead, func(x, y *entry) int { return cmp.Compare(x.goneAt, y.goneAt) })
	over := max(len(dead)-maxTombstones, len(r.entries)-maxBackends+1)
	for i, e := range dead {
		if i >= over && r.now-e.goneAt < tombstoneTTL {
			break
		}
		r.unindexAddr(e)
		delete(r.entries, e.record.ID)
		r.goneCount--
	}
	r.sorted = slices.DeleteFunc(r.sorted, func(e *entry) bool { return r.entries[e.record.ID] != e })
}
