package coordination

import (
	"crypto/sha256"
	"slices"
	"time"

	"clovergap/internal/gateway/groups"
)

// keyTable is the keys of a group, by groups of keys.
type keyTable struct {
	groups map[string]*keyGroup
	bytes  int // of names and values
	events int // bytes of history
	puts   map[putDigest]uint64
	order  []putDigest // of puts, the oldest first
}

// keyGroup is the keys that share one count of revisions.
type keyGroup struct {
	revision uint64 // the newest
	floor    uint64 // the newest that is no longer in the history
	keys     map[string]keyValue
	events   []storedEvent
}

type keyValue struct {
	value    string
	revision uint64
}

type storedEvent struct {
	Event
	at time.Duration
}

// eventOverhead is what an event takes beside its texts.
const eventOverhead = 64

func (e *storedEvent) size() int { return eventOverhead + len(e.Name) + len(e.Value) }

// putDigest names a put of a value to a key.
type putDigest [16]byte

func digestOf(key, value string) (d putDigest) {
	sum := sha256.Sum256([]byte(key + "\x00" + value))
	copy(d[:], sum[:])
	return d
}

func newKeyTable() keyTable {
	return keyTable{groups: map[string]*keyGroup{}, puts: map[putDigest]uint64{}}
}

// replace puts a value. A put that is repeated gets its first revision: this is looked up before the revision is compared, which the
// first one has changed.
func (s *State) replace(c *Call) Answer {
	name := groups.KeyGroup(c.Name)
	g := s.keys.groups[name]
	if g == nil {
		g = &keyGroup{keys: map[string]keyValue{}}
	}
	now, exists := g.keys[c.Name]
	digest := digestOf(c.Name, c.Value)
	conflicts := c.Bound && c.Expected != now.revision && s.fault != anyRevision
	if s.fault == revisionFirst && conflicts {
		return Answer{Status: Conflict, Revision: now.revision}
	}
	if first, repeated := s.keys.puts[digest]; repeated && s.fault != putsAgain {
		return Answer{Revision: first}
	}
	if exists && now.value == c.Value && s.fault != putsAgain {
		return Answer{Revision: now.revision}
	}
	if conflicts {
		if s.fault == groupRevision {
			return Answer{Status: Conflict, Revision: g.revision}
		}
		return Answer{Status: Conflict, Revision: now.revision}
	}
	added := len(c.Value) - len(now.value)
	if !exists {
		added += len(c.Name) + eventOverhead
	}
	if s.keys.bytes+added > mostKeyBytes {
		return Answer{Status: Full}
	}
	s.keys.bytes += added
	s.keys.groups[name] = g
	g.revision++
	g.keys[c.Name] = keyValue{c.Value, g.revision}
	s.remember(digest, g.revision)
	s.record(g, Event{c.Name, c.Value, g.revision})
	s.changed(name)
	return Answer{Revision: g.revision}
}

// remember keeps a put's revision, for when it is repeated.
func (s *State) remember(d putDigest, revision uint64) {
	k := &s.keys
	if len(k.order) >= mostPuts {
		delete(k.puts, k.order[0])
		k.order = slices.Delete(k.order, 0, 1)
	}
	k.order, k.puts[d] = append(k.order, d), revision
}

// record adds an event to the history, and drops what is older than a watch may ask for. A watch that was answered at the end of
// history with events of its beginning may resume after any of these, so twice as much is kept.
func (s *State) record(g *keyGroup, e Event) {
	stored := storedEvent{e, s.clock}
	g.events, s.keys.events = append(g.events, stored), s.keys.events+stored.size()
	keep := 2*s.history + time.Second
	if s.fault == shortHistory {
		keep = s.history / 8
	}
	gone := 0
	for ; gone < len(g.events)-1; gone++ {
		if s.clock-g.events[gone].at <= keep && s.keys.events <= mostEvents {
			break
		}
		s.keys.events -= g.events[gone].size()
		g.floor = g.events[gone].Revision
	}
	g.events = slices.Delete(g.events, 0, gone)
}

// read gives a key's value.
func (s *State) read(name string) Answer {
	if g := s.keys.groups[groups.KeyGroup(name)]; g != nil {
		if v, ok := g.keys[name]; ok {
			return Answer{Value: v.value, Revision: v.revision}
		}
	}
	return Answer{Status: NotFound}
}

// revision is the newest of a group of keys.
func (s *State) revision(keyGroup string) uint64 {
	if g := s.keys.groups[keyGroup]; g != nil {
		return g.revision
	}
	return 0
}

// after gives the puts in a group of keys above a revision, as many as an answer may hold.
func (s *State) after(keyGroup string, revision uint64) Answer {
	g := s.keys.groups[keyGroup]
	if g == nil {
		return Answer{Revision: revision}
	}
	if revision < g.floor {
		return Answer{Status: Compacted}
	}
	a := Answer{Revision: max(g.revision, revision)}
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
		if size += e.size(); size > mostInAnswer && len(a.Events) > 0 {
			a.Revision = a.Events[len(a.Events)-1].Revision
			break
		}
		a.Events = append(a.Events, e.Event)
	}
	return a
}
