package coordination

import (
	"cmp"
	"crypto/sha256"
	"slices"
	"time"

	"clovergap/internal/gateway/groups"
)

// keyTable is the keys of a group, by key group.
type keyTable struct {
	groups       map[string]*keyGroup
	bytes        int // of all keys: names and values, with eventOverhead for each
	historyBytes int // of all events
	putRevisions map[putDigest]uint64
	putOrder     []putDigest // the keys of putRevisions, the oldest put first
}

// keyGroup is the keys that share one count of revisions.
type keyGroup struct {
	revision          uint64 // of the newest put
	compactedRevision uint64 // of the newest event that is no longer in the history
	keys              map[string]keyValue
	events            []storedEvent // the history, by rising revision
}

type keyValue struct {
	value    string
	revision uint64
}

type storedEvent struct {
	Event
	recordedAt time.Duration // log time
}

// eventOverhead is the bytes that an event or a key takes beside its strings.
const eventOverhead = 64

func (s *storedEvent) size() int { return eventOverhead + len(s.Name) + len(s.Value) }

// putDigest identifies a put by its key and value: 128 bits of SHA-256.
type putDigest [16]byte

func newPutDigest(key, value string) (d putDigest) {
	sum := sha256.Sum256([]byte(key + "\x00" + value))
	copy(d[:], sum[:])
	return d
}

func newKeyTable() keyTable {
	return keyTable{groups: map[string]*keyGroup{}, putRevisions: map[putDigest]uint64{}}
}

// put puts a value.
func (s *State) put(c *Call) Result {
	name := groups.KeyGroup(c.Name)
	g := s.keys.groups[name]
	if g == nil {
		g = &keyGroup{keys: map[string]keyValue{}}
	}
	digest := newPutDigest(c.Name, c.Value)
	if result, ended := s.answerWithoutPut(c, g, digest); ended {
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

// answerWithoutPut ends a put that is a copy of an earlier one, or that conflicts. A copy gets the revision of the first put. It is looked for
// before the expected revision is compared, since the first put has changed the key's revision.
func (s *State) answerWithoutPut(c *Call, g *keyGroup, digest putDigest) (result Result, ended bool) {
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
		// The digest of the put that gave the key its present value may have been dropped.
		if exists && current.value == c.Value {
			return Result{Revision: current.revision}, true
		}
	}
	return conflict, conflicts
}

// rememberPut keeps a put's revision for when the put is repeated, and forgets the oldest one if there are too many.
func (k *keyTable) rememberPut(d putDigest, revision uint64) {
	if len(k.putOrder) >= maxRememberedPuts {
		delete(k.putRevisions, k.putOrder[0])
		k.putOrder = slices.Delete(k.putOrder, 0, 1)
	}
	k.putOrder = append(k.putOrder, d)
	k.putRevisions[d] = revision
}

// appendEvent adds an event to the history of a key group and compacts the history.
func (s *State) appendEvent(g *keyGroup, e Event) {
	stored := storedEvent{Event: e, recordedAt: s.logTime}
	g.events = append(g.events, stored)
	s.keys.historyBytes += stored.size()
	s.compactHistory(g)
}

// compactHistory drops events that no watch may ask for any more. The newest event always stays.
func (s *State) compactHistory(g *keyGroup) {
	// A watch's result may begin with events that are historyRetention old, and the watch may resume from any of them for that long.
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
		s.keys.historyBytes -= e.size()
		g.compactedRevision = e.Revision
	}
	g.events = slices.Delete(g.events, 0, dropped)
}

func (s *State) readKey(name string) Result {
	if g := s.keys.groups[groups.KeyGroup(name)]; g != nil {
		if v, ok := g.keys[name]; ok {
			return Result{Value: v.value, Revision: v.revision}
		}
	}
	return Result{Status: StatusNotFound}
}

// keyGroupRevision is the revision of a key group's newest put, 0 without one.
func (s *State) keyGroupRevision(keyGroup string) uint64 {
	if g := s.keys.groups[keyGroup]; g != nil {
		return g.revision
	}
	return 0
}

// eventsAfter gives the events of a key group above a revision, as many as a result may hold, and the revision to resume from.
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
		size += g.events[i].size()
		if size > maxEventBytesInResult && len(result.Events) > 0 {
			result.Revision = result.Events[len(result.Events)-1].Revision
			break
		}
		result.Events = append(result.Events, g.events[i].Event)
	}
	return result
}
