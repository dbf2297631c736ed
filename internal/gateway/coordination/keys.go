package coordination

import (
	"crypto/sha256"
	"slices"
	"time"

	"clovergap/internal/gateway/groups"
)

// keyTable is the keys of a group, by groups of keys.
type keyTable struct {
	groups       map[string]*keyGroup
	bytes        int // of names and values
	historyBytes int // bytes of history
	putRevisions map[putDigest]uint64
	putOrder     []putDigest // of puts, the oldest first
}

// keyGroup is the keys that share one count of revisions.
type keyGroup struct {
	revision          uint64 // the newest
	compactedRevision uint64 // the newest that is no longer in the history
	keys              map[string]keyValue
	events            []storedEvent
}

type keyValue struct {
	value    string
	revision uint64
}

type storedEvent struct {
	Event
	recordedAt time.Duration
}

// eventOverhead is what an event takes beside its texts.
const eventOverhead = 64

func (s *storedEvent) size() int { return eventOverhead + len(s.Name) + len(s.Value) }

// putDigest names a put of a value to a key.
type putDigest [16]byte

func newPutDigest(key, value string) (d putDigest) {
	sum := sha256.Sum256([]byte(key + "\x00" + value))
	copy(d[:], sum[:])
	return d
}

func newKeyTable() keyTable {
	return keyTable{groups: map[string]*keyGroup{}, putRevisions: map[putDigest]uint64{}}
}

// put puts a value. A put that is repeated gets its first revision: this is looked up before the revision is compared, which the
// first one has changed.
func (s *State) put(c *Call) Result {
	name := groups.KeyGroup(c.Name)
	g := s.keys.groups[name]
	if g == nil {
		g = &keyGroup{keys: map[string]keyValue{}}
	}
	now, exists := g.keys[c.Name]
	digest := newPutDigest(c.Name, c.Value)
	conflicts := c.Conditional && c.ExpectedRevision != now.revision && s.fault != anyRevision
	if s.fault == revisionFirst && conflicts {
		return Result{Status: StatusConflict, Revision: now.revision}
	}
	if first, repeated := s.keys.putRevisions[digest]; repeated && s.fault != putsAgain {
		return Result{Revision: first}
	}
	if exists && now.value == c.Value && s.fault != putsAgain {
		return Result{Revision: now.revision}
	}
	if conflicts {
		if s.fault == groupRevision {
			return Result{Status: StatusConflict, Revision: g.revision}
		}
		return Result{Status: StatusConflict, Revision: now.revision}
	}
	added := len(c.Value) - len(now.value)
	if !exists {
		added += len(c.Name) + eventOverhead
	}
	if s.keys.bytes+added > maxKeyBytes {
		return Result{Status: StatusLimitReached}
	}
	s.keys.bytes += added
	s.keys.groups[name] = g
	g.revision++
	g.keys[c.Name] = keyValue{c.Value, g.revision}
	s.rememberPut(digest, g.revision)
	s.appendEvent(g, Event{c.Name, c.Value, g.revision})
	s.onKeyGroupChanged(name)
	return Result{Revision: g.revision}
}

// rememberPut keeps a put's revision, for when it is repeated.
func (s *State) rememberPut(d putDigest, revision uint64) {
	k := &s.keys
	if len(k.putOrder) >= maxRememberedPuts {
		delete(k.putRevisions, k.putOrder[0])
		k.putOrder = slices.Delete(k.putOrder, 0, 1)
	}
	k.putOrder, k.putRevisions[d] = append(k.putOrder, d), revision
}

// appendEvent adds an event to the history, and drops what is older than a watch may ask for. A watch that was answered at the end of
// history with events of its beginning may resume after any of these, so twice as much is kept.
func (s *State) appendEvent(g *keyGroup, e Event) {
	stored := storedEvent{e, s.logTime}
	g.events, s.keys.historyBytes = append(g.events, stored), s.keys.historyBytes+stored.size()
	keep := 2*s.historyRetention + time.Second
	if s.fault == shortHistory {
		keep = s.historyRetention / 8
	}
	gone := 0
	for ; gone < len(g.events)-1; gone++ {
		if s.logTime-g.events[gone].recordedAt <= keep && s.keys.historyBytes <= maxHistoryBytes {
			break
		}
		s.keys.historyBytes -= g.events[gone].size()
		g.compactedRevision = g.events[gone].Revision
	}
	g.events = slices.Delete(g.events, 0, gone)
}

// readKey gives a key's value.
func (s *State) readKey(name string) Result {
	if g := s.keys.groups[groups.KeyGroup(name)]; g != nil {
		if v, ok := g.keys[name]; ok {
			return Result{Value: v.value, Revision: v.revision}
		}
	}
	return Result{Status: StatusNotFound}
}

// keyGroupRevision is the newest of a group of keys.
func (s *State) keyGroupRevision(keyGroup string) uint64 {
	if g := s.keys.groups[keyGroup]; g != nil {
		return g.revision
	}
	return 0
}

// eventsAfter gives the puts in a group of keys above a revision, as many as an answer may hold.
func (s *State) eventsAfter(keyGroup string, revision uint64) Result {
	g := s.keys.groups[keyGroup]
	if g == nil {
		return Result{Revision: revision}
	}
	if revision < g.compactedRevision {
		return Result{Status: StatusCompacted}
	}
	a := Result{Revision: max(g.revision, revision)}
	first, _ := slices.BinarySearchFunc(g.events, revision+1, func(e storedEvent, r uint64) int {
		if e.Revision < r {
			return -1
		}
		return int(min(e.Revision-r, 1))
	})
	if s.fault == lastEventOnly {
		first = max(first, len(g.events)-1)
	}
	size := 0
	for _, e := range g.events[first:] {
		if size += e.size(); size > maxEventBytesInResult && len(a.Events) > 0 {
			a.Revision = a.Events[len(a.Events)-1].Revision
			break
		}
		a.Events = append(a.Events, e.Event)
	}
	return a
}
