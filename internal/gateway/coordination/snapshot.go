package coordination

import (
	"maps"
	"slices"

	"github.com/go-faster/errors"
)

// Snapshot returns the encoded complete state. It encodes everything in a fixed order, so that members that applied the same entries return
// the same bytes.
func (s *State) Snapshot() []byte {
	var enc encoder
	enc.uint(formatVersion)
	enc.duration(s.logTime)
	lastFencingToken := s.lastFencingToken
	if s.knobs.SnapshotWithoutFencingToken {
		lastFencingToken = 0
	}
	enc.uint(lastFencingToken)
	s.encodeLocks(&enc)
	s.encodeNumbers(&enc)
	s.encodeKeys(&enc)
	return enc.bytes
}

// Restore replaces the complete state with that of a snapshot. An empty snapshot is the initial state of a group. If Restore returns an
// error, ErrTruncated or ErrUnknownVersion, the state is unchanged.
func (s *State) Restore(snapshot []byte) error {
	restored := newContents()
	if len(snapshot) > 0 {
		if err := restored.decode(snapshot); err != nil {
			return errors.Wrap(err, "restore snapshot")
		}
	}
	s.contents = restored
	s.onLogTimeAdvanced()
	for name := range s.keys.groups {
		s.onKeyGroupChanged(name)
	}
	return nil
}

func (c *contents) encodeLocks(enc *encoder) {
	enc.uint(uint64(len(c.locks)))
	for _, name := range slices.Sorted(maps.Keys(c.locks)) {
		l := c.locks[name]
		enc.string(name)
		enc.string(l.holder)
		enc.uint(l.fencingToken)
		enc.duration(l.expiresAt)
		encodeCallID(enc, l.callID)
		enc.duration(l.lastAcquireAt)
		enc.bool(l.reacquired)
	}
	enc.uint(uint64(len(c.retiredCalls)))
	for _, r := range c.retiredCalls {
		encodeCallID(enc, r.callID)
		enc.duration(r.retiredAt)
	}
}

func (c *contents) encodeNumbers(enc *encoder) {
	enc.uint(uint64(len(c.numbers)))
	for _, name := range slices.Sorted(maps.Keys(c.numbers)) {
		enc.string(name)
		enc.uint(c.numbers[name])
	}
}

func (s *State) encodeKeys(enc *encoder) {
	enc.uint(uint64(len(s.keys.groups)))
	for _, name := range slices.Sorted(maps.Keys(s.keys.groups)) {
		enc.string(name)
		s.keys.groups[name].encode(enc, s.knobs.SnapshotWithoutHistory)
	}
	putOrder := s.keys.putOrder
	if s.knobs.SnapshotWithoutPuts {
		putOrder = nil
	}
	enc.uint(uint64(len(putOrder)))
	for _, digest := range putOrder {
		enc.bytes = append(enc.bytes, digest[:]...)
		enc.uint(s.keys.putRevisions[digest])
	}
}

func (k *keyGroup) encode(enc *encoder, withoutHistory bool) {
	enc.uint(k.revision)
	enc.uint(k.compactedRevision)
	enc.uint(uint64(len(k.keys)))
	for _, key := range slices.Sorted(maps.Keys(k.keys)) {
		enc.string(key)
		enc.string(k.keys[key].value)
		enc.uint(k.keys[key].revision)
	}
	events := k.events
	if withoutHistory {
		events = nil
	}
	enc.uint(uint64(len(events)))
	for i := range events {
		events[i].Event.encode(enc)
		enc.duration(events[i].recordedAt)
	}
}

func (c *contents) decode(snapshot []byte) error {
	dec := decoder{bytes: snapshot}
	if version := dec.uint(); dec.err == nil && version != formatVersion {
		return errors.Wrapf(ErrUnknownVersion, "snapshot version %d", version)
	}
	c.logTime = dec.duration()
	c.lastFencingToken = dec.uint()
	c.decodeLocks(&dec)
	for range dec.count() {
		name := dec.string()
		c.numbers[name] = dec.uint()
	}
	c.keys.decode(&dec)
	return dec.err
}

func (c *contents) decodeLocks(dec *decoder) {
	for range dec.count() {
		name := dec.string()
		c.locks[name] = &lockState{
			holder:        dec.string(),
			fencingToken:  dec.uint(),
			expiresAt:     dec.duration(),
			callID:        decodeCallID(dec),
			lastAcquireAt: dec.duration(),
			reacquired:    dec.bool(),
		}
	}
	for range dec.count() {
		c.retiredCalls = append(c.retiredCalls, retiredCall{callID: decodeCallID(dec), retiredAt: dec.duration()})
	}
}

func (k *keyTable) decode(dec *decoder) {
	for range dec.count() {
		name := dec.string()
		k.groups[name] = k.decodeGroup(dec)
	}
	for range dec.count() {
		var digest putDigest
		if dec.err != nil || len(dec.bytes) < len(digest) {
			dec.err = ErrTruncated
			return
		}
		dec.bytes = dec.bytes[copy(digest[:], dec.bytes):]
		k.putOrder = append(k.putOrder, digest)
		k.putRevisions[digest] = dec.uint()
	}
}

// decodeGroup decodes a key group and adds its size to the table's.
func (k *keyTable) decodeGroup(dec *decoder) *keyGroup {
	g := &keyGroup{revision: dec.uint(), compactedRevision: dec.uint(), keys: map[string]keyValue{}}
	for range dec.count() {
		key := dec.string()
		v := keyValue{value: dec.string(), revision: dec.uint()}
		g.keys[key] = v
		k.bytes += len(key) + len(v.value) + eventOverhead
	}
	for range dec.count() {
		e := storedEvent{Event: decodeEvent(dec), recordedAt: dec.duration()}
		g.events = append(g.events, e)
		k.historyBytes += e.size()
	}
	return g
}
