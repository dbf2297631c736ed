package registry

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

const (
	// maxBackends limits the number of entries, tombstones included. The limit is higher than the number of backends of any
	// deployment (docs/CAPACITY.md).
	maxBackends = 8192
	// maxTombstones limits the number of entries of gone backends. Space for live backends therefore remains even if backends
	// are started and stopped in a loop.
	maxTombstones = 4096
	// tombstoneTTL is how long the registry keeps the entry of a gone backend. The duration is longer than the delay of any
	// message about the backend.
	tombstoneTTL = 60 * time.Second
	// never is a deadline that is never reached.
	never = time.Duration(1<<63 - 1)
)

// entry is the state of one backend. The fields Phase, SlowStartLeft and Age of its record are unused. currentRecord computes
// them.
type entry struct {
	record Record
	// True if the backend is timed out. A time-out applies only to the present Seq and FencingToken of record.
	timedOut       bool
	goneAt         time.Duration // time at which the phase last became Gone
	firstSeenAt    time.Duration // time at which any node first saw the backend
	slowStartUntil time.Duration // end of the backend's slow start, 0 if no slow start was reported
	// Time of the last heartbeat that this node knows of, or of the last change of owner if that is later.
	lastSeenAt time.Duration
	// Time at which this node learned of the owner. The time is set again when the owner is sent a suspicion, or when the
	// node that should become the owner is sent the record. This delays the next message of this kind.
	ownerSince time.Duration
	syncedAt   time.Duration // time of the last update of the backend from Registry.syncSource
	// Time of the last heartbeat that this node received, from the backend or relayed.
	lastHeartbeatAt time.Duration
	// True if the newest known heartbeat came from the backend itself.
	directHeartbeat bool
	// Time before which this node does not take over the backend. setOwner sets this time when another node has taken the
	// backend over from this node and this node does not reach the new owner.
	noTakeoverUntil time.Duration
	// True if this node timed out the backend by a suspicion that the owner has not confirmed yet.
	suspected bool
	// For each other node, the highest departure state of the backend that the node is known to have recorded.
	notified map[Slot]departureState
	copies   durableCopies // copies of the departure on disks

	changeQueued       bool          // the entry is in Registry.changedEntries
	published          Record        // record of the last Changed action
	publishedSlowStart time.Duration // SlowStartUntil of the last Changed action
	everPublished      bool          // a Changed action was returned
}

// departureState returns the departure state of the backend.
func (e *entry) departureState() departureState { return e.record.departureState() }

// phase returns the phase of the backend. It ignores other backends at the same address. visiblePhase takes them into
// account.
func (e *entry) phase() Phase {
	switch {
	case e.record.Deregistered || e.timedOut:
		return Gone
	case e.record.Draining:
		return Draining
	}
	return Ready
}

// findOrCreateEntry returns the entry of a backend, and creates it if there is none. It returns nil if the registry is full or the
// id is empty.
func (r *Registry) findOrCreateEntry(id string) *entry {
	if e := r.entries[id]; e != nil {
		return e
	}
	if id == "" {
		return nil
	}
	if len(r.entries) >= maxBackends {
		r.refused++
		return nil
	}
	e := &entry{record: Record{ID: id, Owner: NoSlot, LostOwner: NoSlot}, firstSeenAt: r.now, lastSeenAt: r.now, ownerSince: r.now,
		lastHeartbeatAt: -never / 2}
	r.entries[id] = e
	at, _ := slices.BinarySearchFunc(r.sorted, id, compareID)
	r.sorted = slices.Insert(r.sorted, at, e)
	return e
}

// compareID compares the backend id of an entry with id. The result is -1, 0 or 1, as that of strings.Compare.
func compareID(e *entry, id string) int { return strings.Compare(e.record.ID, id) }

// currentRecord returns the record of an entry with the Phase, SlowStartLeft and Age at the registry's present time.
func (r *Registry) currentRecord(e *entry) Record {
	record := e.record
	record.Phase = e.phase()
	record.SlowStartLeft = max(0, e.slowStartUntil-r.now)
	record.Age = r.now - e.firstSeenAt
	return record
}

// pruneTombstones removes tombstones that are older than tombstoneTTL. If there are more than maxTombstones, or no space for
// another entry, the oldest tombstones are removed as well.
func (r *Registry) pruneTombstones() {
	var tombstones []*entry
	for _, e := range r.sorted {
		if e.phase() == Gone {
			tombstones = append(tombstones, e)
		}
	}
	slices.SortStableFunc(tombstones, func(x, y *entry) int { return cmp.Compare(x.goneAt, y.goneAt) })
	excess := max(len(tombstones)-maxTombstones, len(r.entries)-maxBackends+1)
	for i, e := range tombstones {
		if i >= excess && r.now-e.goneAt < tombstoneTTL {
			break
		}
		r.unindexAddr(e)
		delete(r.entries, e.record.ID)
		r.goneCount--
	}
	r.sorted = slices.DeleteFunc(r.sorted, func(e *entry) bool { return r.entries[e.record.ID] != e })
}
