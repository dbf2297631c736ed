package coordination

import (
	"maps"
	"slices"

	"github.com/go-faster/errors"
)

// Snapshot returns the encoded complete state. The contents are encoded in a fixed order, so that members that applied the same entries
// return the same bytes.
func (s *State) Snapshot() []byte {
	var enc encoder
	enc.writeUint(formatVersion)
	enc.writeDuration(s.logTime)
	lastFencingToken := s.lastFencingToken
	if s.knobs.SnapshotWithoutFencingToken {
		lastFencingToken = 0
	}
	enc.writeUint(lastFencingToken)
	s.encodeLocks(&enc)
	s.encodeNumbers(&enc)
	s.encodeKeys(&enc)
	return enc.bytes
}

// Restore replaces the complete state with the state in a snapshot. An empty snapshot stands for the initial state of a group. Restore
// returns an error that wraps ErrTruncated or ErrUnknownVersion if the snapshot can't be decoded. The state is then unchanged.
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
	enc.writeUint(uint64(len(c.locks)))
	for _, name := range slices.Sorted(maps.Keys(c.locks)) {
		l := c.locks[name]
		enc.writeString(name)
		enc.writeString(l.holder)
		enc.writeUint(l.fencingToken)
		enc.writeDuration(l.expiresAt)
		encodeCallID(enc, l.callID)
		enc.writeDuration(l.lastAcquireAt)
		enc.writeBool(l.reacquired)
	}
	enc.writeUint(uint64(len(c.retiredCalls)))
	for _, r := range c.retiredCalls {
		encodeCallID(enc, r.callID)
		enc.writeDuration(r.retiredAt)
	}
}

func (c *contents) encodeNumbers(enc *encoder) {
	enc.writeUint(uint64(len(c.numbers)))
	for _, name := range slices.Sorted(maps.Keys(c.numbers)) {
		enc.writeString(name)
		enc.writeUint(c.numbers[name])
	}
}

func (s *State) encodeKeys(enc *encoder) {
	enc.writeUint(uint64(len(s.keys.groups)))
	for _, name := range slices.Sorted(maps.Keys(s.keys.groups)) {
		enc.writeString(name)
		s.keys.groups[name].encode(enc, s.knobs.SnapshotWithoutHistory)
	}
	putOrder := s.keys.putOrder
	if s.knobs.SnapshotWithoutPuts {
		putOrder = nil
	}
	enc.writeUint(uint64(len(putOrder)))
	for _, digest := range putOrder {
		enc.bytes = append(enc.bytes, digest[:]...)
		enc.writeUint(s.keys.putRevisions[digest])
	}
}

func (k *keyGroup) encode(enc *encoder, withoutHistory bool) {
	enc.writeUint(k.revision)
	enc.writeUint(k.compactedRevision)
	enc.writeUint(uint64(len(k.keys)))
	for _, key := range slices.Sorted(maps.Keys(k.keys)) {
		enc.writeString(key)
		enc.writeString(k.keys[key].value)
		enc.writeUint(k.keys[key].revision)
	}
	events := k.events
	if withoutHistory {
		events = nil
	}
	enc.writeUint(uint64(len(events)))
	for i := range events {
		events[i].Event.encode(enc)
		enc.writeDuration(events[i].recordedAt)
	}
}

func (c *contents) decode(snapshot []byte) error {
	dec := decoder{bytes: snapshot}
	if version := dec.readUint(); dec.err == nil && version != formatVersion {
		return errors.Wrapf(ErrUnknownVersion, "decode snapshot: version=%d", version)
	}
	c.logTime = dec.readDuration()
	c.lastFencingToken = dec.readUint()
	c.decodeLocks(&dec)
	for range dec.readCount() {
		name := dec.readString()
		c.numbers[name] = dec.readUint()
	}
	c.keys.decode(&dec)
	return dec.err
}

func (c *contents) decodeLocks(dec *decoder) {
	for range dec.readCount() {
		name := dec.readString()
		c.locks[name] = &lockState{
			holder:        dec.readString(),
			fencingToken:  dec.readUint(),
			expiresAt:     dec.readDuration(),
			callID:        decodeCallID(dec),
			lastAcquireAt: dec.readDuration(),
			reacquired:    dec.readBool(),
		}
	}
	for range dec.readCount() {
		c.retiredCalls = append(c.retiredCalls, retiredCall{callID: decodeCallID(dec), retiredAt: dec.readDuration()})
	}
}

func (k *keyTable) decode(dec *decoder) {
	for range dec.readCount() {
		name := dec.readString()
		k.groups[name] = k.decodeGroup(dec)
	}
	for range dec.readCount() {
		var digest putDigest
		if dec.err != nil || len(dec.bytes) < len(digest) {
			dec.err = ErrTruncated
			return
		}
		dec.bytes = dec.bytes[copy(digest[:], dec.bytes):]
		k.putOrder = append(k.putOrder, digest)
		k.putRevisions[digest] = dec.readUint()
	}
}

// decodeGroup decodes a key group and adds the sizes of its keys and events to the sizes of the table.
func (k *keyTable) decodeGroup(dec *decoder) *keyGroup {
	g := &keyGroup{revision: dec.readUint(), compactedRevision: dec.readUint(), keys: map[string]keyValue{}}
	for range dec.readCount() {
		key := dec.readString()
		v := keyValue{value: dec.readString(), revision: dec.readUint()}
		g.keys[key] = v
		k.bytes += len(key) + len(v.value) + eventOverhead
	}
	for range dec.readCount() {
		e := storedEvent{Event: decodeEvent(dec), recordedAt: dec.readDuration()}
		g.events = append(g.events, e)
		k.historyBytes += e.sizeInBytes()
	}
	return g
}
