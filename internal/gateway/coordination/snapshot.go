package coordination

import (
	"maps"
	"slices"
)

// Snapshot is the whole state. The order of all that it holds is fixed: members that applied the same entries write the same bytes.
func (s *State) Snapshot() []byte {
	var e encoder
	e.uint(entryVersion)
	e.duration(s.logTime)
	fence := s.lastFencingToken
	if s.fault == forgetsFence {
		fence = 0
	}
	e.uint(fence)
	s.encodeLocks(&e)
	e.uint(uint64(len(s.numbers)))
	for _, name := range slices.Sorted(maps.Keys(s.numbers)) {
		e.string(name)
		e.uint(s.numbers[name])
	}
	s.encodeKeys(&e)
	return e.bytes
}

func (s *State) encodeLocks(e *encoder) {
	e.uint(uint64(len(s.locks)))
	for _, name := range slices.Sorted(maps.Keys(s.locks)) {
		l := s.locks[name]
		e.string(name)
		e.string(l.holder)
		e.uint(l.fencingToken)
		e.duration(l.expiresAt)
		encodeCallID(e, l.callID)
		e.duration(l.lastAcquireAt)
		e.bool(l.reacquired)
	}
	e.uint(uint64(len(s.retiredCalls)))
	for _, r := range s.retiredCalls {
		encodeCallID(e, r.callID)
		e.duration(r.retiredAt)
	}
}

func encodeCallID(e *encoder, id CallID) {
	e.uint(id.Incarnation)
	e.uint(uint64(id.Sequence))
}

func (s *State) encodeKeys(e *encoder) {
	e.uint(uint64(len(s.keys.groups)))
	for _, name := range slices.Sorted(maps.Keys(s.keys.groups)) {
		g := s.keys.groups[name]
		e.string(name)
		e.uint(g.revision)
		e.uint(g.compactedRevision)
		e.uint(uint64(len(g.keys)))
		for _, key := range slices.Sorted(maps.Keys(g.keys)) {
			e.string(key)
			e.string(g.keys[key].value)
			e.uint(g.keys[key].revision)
		}
		events := g.events
		if s.fault == forgetsHistory {
			events = nil
		}
		e.uint(uint64(len(events)))
		for _, x := range events {
			e.string(x.Name)
			e.string(x.Value)
			e.uint(x.Revision)
			e.duration(x.recordedAt)
		}
	}
	order := s.keys.putOrder
	if s.fault == forgetsPuts {
		order = nil
	}
	e.uint(uint64(len(order)))
	for _, d := range order {
		e.bytes = append(e.bytes, d[:]...)
		e.uint(s.keys.putRevisions[d])
	}
}

// Restore takes the place of the whole state; empty means the one that a group starts with. If it fails the state is as before.
func (s *State) Restore(bytes []byte) error {
	fresh := &State{historyRetention: s.historyRetention, fault: s.fault, onKeyGroupChanged: s.onKeyGroupChanged, onLogTimeAdvanced: s.onLogTimeAdvanced}
	fresh.reset()
	if len(bytes) > 0 {
		d := decoder{bytes: bytes}
		if d.uint() != entryVersion {
			return ErrUnknownVersion
		}
		fresh.decode(&d)
		if d.err != nil {
			return d.err
		}
	}
	*s = *fresh
	s.onLogTimeAdvanced()
	for name := range s.keys.groups {
		s.onKeyGroupChanged(name)
	}
	return nil
}

func (s *State) decode(d *decoder) {
	s.logTime = d.duration()
	s.lastFencingToken = d.uint()
	for range d.count() {
		name := d.string()
		s.locks[name] = &lockState{holder: d.string(), fencingToken: d.uint(), expiresAt: d.duration(), callID: decodeCallID(d), lastAcquireAt: d.duration(), reacquired: d.bool()}
	}
	for range d.count() {
		s.retiredCalls = append(s.retiredCalls, retiredCall{decodeCallID(d), d.duration()})
	}
	for range d.count() {
		name := d.string()
		s.numbers[name] = d.uint()
	}
	for range d.count() {
		name := d.string()
		s.keys.groups[name] = s.decodeKeyGroup(d)
	}
	for range d.count() {
		var digest putDigest
		if d.err != nil || len(d.bytes) < len(digest) {
			d.err = ErrTruncated
			return
		}
		d.bytes = d.bytes[copy(digest[:], d.bytes):]
		s.keys.putOrder = append(s.keys.putOrder, digest)
		s.keys.putRevisions[digest] = d.uint()
	}
}

func decodeCallID(d *decoder) CallID { return CallID{d.uint(), uint32(d.uint())} }

func (s *State) decodeKeyGroup(d *decoder) *keyGroup {
	g := &keyGroup{revision: d.uint(), compactedRevision: d.uint(), keys: map[string]keyValue{}}
	for range d.count() {
		key := d.string()
		v := keyValue{value: d.string(), revision: d.uint()}
		g.keys[key] = v
		s.keys.bytes += len(key) + len(v.value) + eventOverhead
	}
	for range d.count() {
		x := storedEvent{Event{Name: d.string(), Value: d.string(), Revision: d.uint()}, d.duration()}
		g.events = append(g.events, x)
		s.keys.historyBytes += x.size()
	}
	return g
}
