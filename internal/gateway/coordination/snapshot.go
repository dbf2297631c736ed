package coordination

import (
	"maps"
	"slices"
)

// Snapshot is the whole state. The order of all that it holds is fixed: members that applied the same entries write the same bytes.
func (s *State) Snapshot() []byte {
	var e encoder
	e.uint(entryVersion)
	e.time(s.clock)
	fence := s.fence
	if s.fault == forgetsFence {
		fence = 0
	}
	e.uint(fence)
	s.encodeLocks(&e)
	e.uint(uint64(len(s.numbers)))
	for _, name := range slices.Sorted(maps.Keys(s.numbers)) {
		e.text(name)
		e.uint(s.numbers[name])
	}
	s.encodeKeys(&e)
	return e.bytes
}

func (s *State) encodeLocks(e *encoder) {
	e.uint(uint64(len(s.locks)))
	for _, name := range slices.Sorted(maps.Keys(s.locks)) {
		l := s.locks[name]
		e.text(name)
		e.text(l.holder)
		e.uint(l.fence)
		e.time(l.until)
		encodeID(e, l.id)
		e.time(l.begun)
		e.bool(l.again)
	}
	e.uint(uint64(len(s.retired)))
	for _, r := range s.retired {
		encodeID(e, r.id)
		e.time(r.at)
	}
}

func encodeID(e *encoder, id CallID) {
	e.uint(id.Life)
	e.uint(uint64(id.Number))
}

func (s *State) encodeKeys(e *encoder) {
	e.uint(uint64(len(s.keys.groups)))
	for _, name := range slices.Sorted(maps.Keys(s.keys.groups)) {
		g := s.keys.groups[name]
		e.text(name)
		e.uint(g.revision)
		e.uint(g.floor)
		e.uint(uint64(len(g.keys)))
		for _, key := range slices.Sorted(maps.Keys(g.keys)) {
			e.text(key)
			e.text(g.keys[key].value)
			e.uint(g.keys[key].revision)
		}
		events := g.events
		if s.fault == forgetsHistory {
			events = nil
		}
		e.uint(uint64(len(events)))
		for _, x := range events {
			e.text(x.Name)
			e.text(x.Value)
			e.uint(x.Revision)
			e.time(x.at)
		}
	}
	order := s.keys.order
	if s.fault == forgetsPuts {
		order = nil
	}
	e.uint(uint64(len(order)))
	for _, d := range order {
		e.bytes = append(e.bytes, d[:]...)
		e.uint(s.keys.puts[d])
	}
}

// Restore takes the place of the whole state; empty means the one that a group starts with. If it fails the state is as before.
func (s *State) Restore(bytes []byte) error {
	fresh := &State{history: s.history, fault: s.fault, changed: s.changed, advanced: s.advanced}
	fresh.clear()
	if len(bytes) > 0 {
		d := decoder{bytes: bytes}
		if d.uint() != entryVersion {
			return errVersion
		}
		fresh.decode(&d)
		if d.err != nil {
			return d.err
		}
	}
	*s = *fresh
	s.advanced()
	for name := range s.keys.groups {
		s.changed(name)
	}
	return nil
}

func (s *State) decode(d *decoder) {
	s.clock = d.time()
	s.fence = d.uint()
	for range d.count() {
		name := d.text()
		s.locks[name] = &lock{holder: d.text(), fence: d.uint(), until: d.time(), id: decodeID(d), begun: d.time(), again: d.bool()}
	}
	for range d.count() {
		s.retired = append(s.retired, retiredBegin{decodeID(d), d.time()})
	}
	for range d.count() {
		name := d.text()
		s.numbers[name] = d.uint()
	}
	for range d.count() {
		name := d.text()
		s.keys.groups[name] = s.decodeGroup(d)
	}
	for range d.count() {
		var digest putDigest
		if d.err != nil || len(d.bytes) < len(digest) {
			d.err = errShort
			return
		}
		d.bytes = d.bytes[copy(digest[:], d.bytes):]
		s.keys.order = append(s.keys.order, digest)
		s.keys.puts[digest] = d.uint()
	}
}

func decodeID(d *decoder) CallID { return CallID{d.uint(), uint32(d.uint())} }

func (s *State) decodeGroup(d *decoder) *keyGroup {
	g := &keyGroup{revision: d.uint(), floor: d.uint(), keys: map[string]keyValue{}}
	for range d.count() {
		key := d.text()
		v := keyValue{value: d.text(), revision: d.uint()}
		g.keys[key] = v
		s.keys.bytes += len(key) + len(v.value) + eventOverhead
	}
	for range d.count() {
		x := storedEvent{Event{Name: d.text(), Value: d.text(), Revision: d.uint()}, d.time()}
		g.events = append(g.events, x)
		s.keys.events += x.size()
	}
	return g
}
