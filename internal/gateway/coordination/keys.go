package coordination

import (
	"cmp"
	"crypto/sha256"
	"slices"
	"time"

	"clovergap/internal/gateway/groups"
)

// keyTable holds the keys of a replicated group by key group.
type keyTable struct {
	groups       map[string]*keyGroup
	bytes        int                  // size of all keys: names and values, plus eventOverhead for each key
	historyBytes int                  // size of all events
	putRevisions map[putDigest]uint64 // revision of each remembered put
	putOrder     []putDigest          // the keys of putRevisions, oldest put first
}

// keyGroup holds the keys that share one revision counter.
type keyGroup struct {
	revision          uint64 // revision of the newest put
	compactedRevision uint64 // revision of the newest event that was removed from the history; 0 if none was removed
	keys              map[string]keyValue
	events            []storedEvent // the history in ascending order of revision
}

// keyValue is the current value of a key and the revision of the put that stored the value.
type keyValue struct {
	value    string
	revision uint64
}

// storedEvent is an event in the history of a key group. compactHistory removes events by their age.
type storedEvent struct {
	Event
	recordedAt time.Duration // log time of the put
}

// eventOverhead is the number of bytes that an event or a key takes in addition to its strings.
const eventOverhead = 64

func (s *storedEvent) sizeInBytes() int { return eventOverhead + len(s.Name) + len(s.Value) }

// putDigest identifies a put by its key and value. The digest is the first 128 bits of the SHA-256 hash of both.
type putDigest [16]byte

func newPutDigest(key, value string) (d putDigest) {
	sum := sha256.Sum256([]byte(key + "\x00" + value))
	copy(d[:], sum[:])
	return d
}

func newKeyTable() keyTable {
	return keyTable{groups: map[string]*keyGroup{}, putRevisions: map[putDigest]uint64{}}
}

// putKey stores the value of a key. putKey stores nothing if the put repeats an earlier put, if the key does not have the expected
// revision, or if the keys would exceed maxKeyBytes.
func (s *State) putKey(c *Call) Result {
	name := groups.KeyGroup(c.Name)
	g := s.keys.groups[name]
	if g == nil {
		g = &keyGroup{keys: map[string]keyValue{}}
	}
	digest := newPutDigest(c.Name, c.Value)
	if result, ended := s.checkRepeatOrConflict(c, g, digest); ended {
		return result
	}
	current, exists := g.keys[c.Name]
	addedBytes := len(c.Value) - len(current.value)
	if !exists {
		addedBytes += len(c.Name) + eventOverhead
	}
	if s.keys.bytes+addedBytes > maxKeyBytes {
		return Result{Status: StatusLimitReached}
	}
	s.keys.bytes += addedBytes
	s.keys.groups[name] = g
	g.revision++
	g.keys[c.Name] = keyValue{value: c.Value, revision: g.revision}
	s.keys.rememberPut(digest, g.revision)
	s.appendEvent(g, Event{Name: c.Name, Value: c.Value, Revision: g.revision})
	s.onKeyGroupChanged(name)
	return Result{Revision: g.revision}
}

// checkRepeatOrConflict reports in found whether a put repeats an earlier put or conflicts with the key's revision, and then returns the
// put's result. The result of a repeated put has the revision of the first put. The check for a repetition precedes the comparison with the
// expected revision, because the first put has already changed the key's revision.
func (s *State) checkRepeatOrConflict(c *Call, g *keyGroup, digest putDigest) (result Result, found bool) {
	current, exists := g.keys[c.Name]
	conflict := Result{Status: StatusConflict, Revision: current.revision}
	if s.knobs.ConflictShowsGroupRevision {
		conflict.Revision = g.revision
	}
	conflicts := c.Conditional && c.ExpectedRevision != current.revision && !s.knobs.IgnoreExpectedRevision
	if conflicts && s.knobs.CompareRevisionFirst {
		return conflict, true
	}
	if !s.knobs.RepeatPuts {
		if first, repeated := s.keys.putRevisions[digest]; repeated {
			return Result{Revision: first}, true
		}
		// The digest of the put that stored the key's current value may have been removed.
		if exists && current.value == c.Value {
			return Result{Revision: current.revision}, true
		}
	}
	return conflict, conflicts
}

// rememberPut stores a put's revision under the put's digest, so that a repetition of the put can be recognized. If maxRememberedPuts are
// stored already, rememberPut removes the oldest one.
func (k *keyTable) rememberPut(d putDigest, revision uint64) {
	if len(k.putOrder) >= maxRememberedPuts {
		delete(k.putRevisions, k.putOrder[0])
		k.putOrder = slices.Delete(k.putOrder, 0, 1)
	}
	k.putOrder = append(k.putOrder, d)
	k.putRevisions[d] = revision
}

// appendEvent appends an event to the history of a key group and compacts the history.
func (s *State) appendEvent(g *keyGroup, e Event) {
	stored := storedEvent{Event: e, recordedAt: s.logTime}
	g.events = append(g.events, stored)
	s.keys.historyBytes += stored.sizeInBytes()
	s.compactHistory(g)
}

// compactHistory removes the events of a key group from which no watch may resume any more. While the events of all key groups exceed
// maxHistoryBytes, it also removes the oldest events of this key group. compactHistory always keeps the newest event.
func (s *State) compactHistory(g *keyGroup) {
	// The result of a watch may contain an event that is historyRetention old. The caller may resume from that event for another
	// historyRetention. One second is added as a margin.
	retention := 2*s.historyRetention + time.Second
	if s.knobs.ShortHistory {
		retention = s.historyRetention / 8
	}
	dropped := 0
	for ; dropped < len(g.events)-1; dropped++ {
		e := &g.events[dropped]
		if s.logTime-e.recordedAt <= retention && s.keys.historyBytes <= maxHistoryBytes {
			break
		}
		s.keys.historyBytes -= e.sizeInBytes()
		g.compactedRevision = e.Revision
	}
	g.events = slices.Delete(g.events, 0, dropped)
}

// readKey returns the value and the revision of a key, or StatusNotFound if no value was put to the key.
func (s *State) readKey(name string) Result {
	if g := s.keys.groups[groups.KeyGroup(name)]; g != nil {
		if v, ok := g.keys[name]; ok {
			return Result{Value: v.value, Revision: v.revision}
		}
	}
	return Result{Status: StatusNotFound}
}

// keyGroupRevision returns the revision of the newest put in a key group, or 0 if there is none.
func (s *State) keyGroupRevision(keyGroup string) uint64 {
	if g := s.keys.groups[keyGroup]; g != nil {
		return g.revision
	}
	return 0
}

// eventsAfter returns the events of a key group above a revision, as many as fit in a result, and the revision from which the next watch
// resumes. The status is StatusCompacted if the history no longer holds all events above the revision.
func (s *State) eventsAfter(keyGroup string, revision uint64) Result {
	g := s.keys.groups[keyGroup]
	if g == nil {
		return Result{Revision: revision}
	}
	if revision < g.compactedRevision {
		return Result{Status: StatusCompacted}
	}
	result := Result{Revision: max(g.revision, revision)}
	first, _ := slices.BinarySearchFunc(g.events, revision+1, func(e storedEvent, wanted uint64) int {
		return cmp.Compare(e.Revision, wanted)
	})
	if s.knobs.LastEventOnly {
		first = max(first, len(g.events)-1)
	}
	size := 0
	for i := first; i < len(g.events); i++ {
		size += g.events[i].sizeInBytes()
		if size > maxEventBytesInResult && len(result.Events) > 0 {
			result.Revision = result.Events[len(result.Events)-1].Revision
			break
		}
		result.Events = append(result.Events, g.events[i].Event)
	}
	return result
}
