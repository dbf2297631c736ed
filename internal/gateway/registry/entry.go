package registry

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

const (
	// maxBackends bounds the entries, tombstones among them: more than any deployment's backends (docs/CAPACITY.md).
	maxBackends = 8192
	// maxTombstones bounds the entries of backends that are gone, so that a fleet which starts and ends backends in a loop
	// leaves room for those that live.
	maxTombstones = 4096
	// tombstoneTTL is how long a gone backend is remembered: longer than any message about it may take.
	tombstoneTTL = 60 * time.Second
	// never is a deadline that does not come.
	never = time.Duration(1<<63 - 1)
)

// entry is what is known of one backend. Phase, SlowStartLeft and Age of its record are unused: see recordOf.
type entry struct {
	record          Record
	timedOut        bool // at exactly this Seq and FencingToken
	goneAt          time.Duration
	firstSeenAt     time.Duration // by any node
	slowStartUntil  time.Duration
	lastSeenAt      time.Duration // last heartbeat that this node knows of, or since when this node knows its owner
	ownerSince      time.Duration // since when the owner is known as such; also when the owner was last sent a suspicion or the record
	syncedAt        time.Duration // when the upstream last sent an update of it
	lastHeartbeatAt time.Duration // last heartbeat that came here, from the backend or relayed
	directHeartbeat bool          // that one came from the backend itself
	noTakeoverUntil time.Duration // another node still reaches its owner: it is left to that one
	suspected       bool          // timed out by what this node saw, until its owner says so too
	notified        map[Slot]departure

	changeQueued       bool // is among Registry.changedEntries
	published          Record
	publishedSlowStart time.Duration
	everPublished      bool
}

func (e *entry) departure() departure { return e.record.departure() }

func (e *entry) phase() Phase {
	switch {
	case e.record.Deregistered || e.timedOut:
		return Gone
	case e.record.Draining:
		return Draining
	}
	return Ready
}

// entryFor finds or makes the entry of a backend; nil if the registry is full or the id is empty.
func (r *Registry) entryFor(id string) *entry {
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

func compareID(e *entry, id string) int { return strings.Compare(e.record.ID, id) }

// recordOf is the record of an entry as of now.
func (r *Registry) recordOf(e *entry) Record {
	record := e.record
	record.Phase = e.phase()
	record.SlowStartLeft = max(0, e.slowStartUntil-r.now)
	record.Age = r.now - e.firstSeenAt
	return record
}

// pruneTombstones drops what has been gone for tombstoneTTL, and the oldest where there are too many.
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
