package logstore

import (
	"bytes"
	"encoding/binary"
	"fmt"

	"go.etcd.io/bbolt"

	"clovergap/internal/gateway/replication"
)

// maxLogs is the largest number of logs in a file. The ID of a log is less than maxLogs.
const maxLogs = replication.LogID(64)

// Keys in the buckets of a log.
var (
	headKey      = []byte("head")
	snapshotKey  = []byte("snap")
	softStateKey = []byte("note") // the soft state; in the head bucket of the configuration's log
)

// departuresBucket is the name of the bucket that holds the departures of backends. It is created by the first write of a departure.
var departuresBucket = []byte("departures")

// bucketNames holds the names of the buckets of one log.
type bucketNames struct{ head, snapshot, entries []byte }

// bucketNamesOf returns the names of the buckets of a log. The snapshot of a group's log has its own bucket, so that a write of the head
// does not rewrite the snapshot. The snapshot and the head of the configuration's log share one bucket, because the first version stored them
// that way.
func bucketNamesOf(id replication.LogID) bucketNames {
	if id == replication.ConfigurationLog {
		return bucketNames{head: []byte("book"), snapshot: []byte("book"), entries: []byte("log")}
	}
	name := func(suffix string) []byte { return fmt.Appendf(nil, "group %02d %s", id, suffix) }
	return bucketNames{head: name("head"), snapshot: name("snapshot"), entries: name("log")}
}

// logBuckets holds the buckets of one log in a transaction. A bucket that does not exist is nil.
type logBuckets struct {
	id       replication.LogID
	names    bucketNames
	head     *bbolt.Bucket
	snapshot *bbolt.Bucket
	entries  *bbolt.Bucket // the key is the entry's index as 8 bytes in big-endian order
}

// lookupBuckets returns the existing buckets of a log and creates none.
func lookupBuckets(tx *bbolt.Tx, id replication.LogID) logBuckets {
	return lookupNamedBuckets(tx, id, bucketNamesOf(id))
}

// lookupNamedBuckets returns the existing buckets with the given names as the buckets of a log.
func lookupNamedBuckets(tx *bbolt.Tx, id replication.LogID, names bucketNames) logBuckets {
	return logBuckets{id: id, names: names, head: tx.Bucket(names.head), snapshot: tx.Bucket(names.snapshot),
		entries: tx.Bucket(names.entries)}
}

// createBuckets creates the missing buckets of a log and returns all of them.
func createBuckets(tx *bbolt.Tx, id replication.LogID) (logBuckets, error) {
	names := bucketNamesOf(id)
	for _, name := range [][]byte{names.head, names.snapshot, names.entries} {
		if _, err := tx.CreateBucketIfNotExists(name); err != nil {
			return logBuckets{}, newLogError("create bucket", id, name, err)
		}
	}
	return lookupNamedBuckets(tx, id, names), nil
}

// areAllMissing reports whether none of the log's buckets exists.
func (l logBuckets) areAllMissing() bool {
	return l.head == nil && l.snapshot == nil && l.entries == nil
}

// firstMissingBucket returns the name of the first bucket that does not exist, or nil if all exist.
func (l logBuckets) firstMissingBucket() []byte {
	switch {
	case l.head == nil:
		return l.names.head
	case l.snapshot == nil:
		return l.names.snapshot
	case l.entries == nil:
		return l.names.entries
	}
	return nil
}

func (l logBuckets) readHead() (h storedHead, err error) {
	if err = decodeGob(l.head.Get(headKey), &h); err != nil {
		return h, newLogError("read head", l.id, l.names.head, err)
	}
	return h, nil
}

// readLog reads and validates a log. The error wraps ErrForeignDisk if the log was not written under wantMemberID. If wantMemberID is 0,
// readLog accepts any member ID.
func (l logBuckets) readLog(wantMemberID replication.MemberID) (state replication.PersistentState, err error) {
	if name := l.firstMissingBucket(); name != nil {
		return state, newLogError("read", l.id, name, ErrBucketMissing)
	}
	head, err := l.readHead()
	if err != nil {
		return state, err
	}
	if wantMemberID != 0 && head.Me != wantMemberID {
		return state, newLogError("read head", l.id, l.names.head, ErrForeignDisk)
	}
	state = head.toPersistentState()
	if state.Snapshot, err = l.readSnapshot(); err != nil {
		return state, err
	}
	if state.Entries, err = l.readEntries(); err != nil {
		return state, err
	}
	if err = state.Validate(); err != nil {
		return state, newLogError("validate", l.id, l.names.entries, err)
	}
	return state, nil
}

// readSnapshot reads the snapshot of the log. readSnapshot returns the zero Snapshot for the log of a disk that does not belong to a
// cluster yet.
func (l logBuckets) readSnapshot() (replication.Snapshot, error) {
	value := l.snapshot.Get(snapshotKey)
	if value == nil {
		return replication.Snapshot{}, nil
	}
	var stored storedSnapshot
	if err := decodeGob(value, &stored); err != nil {
		return replication.Snapshot{}, newLogError("read snapshot", l.id, l.names.snapshot, err)
	}
	return stored.toSnapshot(), nil
}

// readEntries returns all entries of the log in index order.
func (l logBuckets) readEntries() ([]replication.Entry, error) {
	var entries []replication.Entry
	err := l.entries.ForEach(func(key, value []byte) error {
		var stored storedEntry
		if err := decodeGob(value, &stored); err != nil {
			return newLogError(fmt.Sprintf("read entry with key %x", key), l.id, l.names.entries, err)
		}
		entries = append(entries, stored.toEntry())
		return nil
	})
	return entries, err
}

// writeSnapshotAndEntries stores the snapshot and the entries of a write, and deletes the entries that the write removes.
// writeSnapshotAndEntries does not write the head.
func (l logBuckets) writeSnapshotAndEntries(w *replication.Write) error {
	if w.Snapshot != nil {
		if err := putGob(l.snapshot, snapshotKey, newStoredSnapshot(w.Snapshot)); err != nil {
			return newLogError("write snapshot", l.id, l.names.snapshot, err)
		}
	}
	// The entries are deleted by key and not through the cursor. In bbolt 1.5 a cursor that deletes entries on several pages and then seeks
	// to the end loops forever over the empty pages.
	for _, key := range l.obsoleteKeys(w) {
		if err := l.entries.Delete(key); err != nil {
			return newLogError(fmt.Sprintf("delete entry with key %x", key), l.id, l.names.entries, err)
		}
	}
	if w.FirstIndex == 0 {
		return nil
	}
	for i := range w.Entries {
		e := &w.Entries[i]
		if err := putGob(l.entries, indexKey(e.Index), newStoredEntry(e)); err != nil {
			return newLogError(fmt.Sprintf("write entry with index %d", e.Index), l.id, l.names.entries, err)
		}
	}
	return nil
}

func (l logBuckets) writeHead(h storedHead) error {
	if err := putGob(l.head, headKey, h); err != nil {
		return newLogError("write head", l.id, l.names.head, err)
	}
	return nil
}

// obsoleteKeys returns the keys of the stored entries that a write removes. A write removes the entries up to the index of its snapshot and
// the entries from its first index on.
func (l logBuckets) obsoleteKeys(w *replication.Write) (keys [][]byte) {
	c := l.entries.Cursor()
	if w.Snapshot != nil {
		for key, _ := c.First(); key != nil && binary.BigEndian.Uint64(key) <= w.Snapshot.Index; key, _ = c.Next() {
			keys = append(keys, bytes.Clone(key))
		}
	}
	if w.FirstIndex > 0 {
		first := w.FirstIndex
		if w.Snapshot != nil {
			first = max(first, w.Snapshot.Index+1)
		}
		for key, _ := c.Seek(indexKey(first)); key != nil; key, _ = c.Next() {
			keys = append(keys, bytes.Clone(key))
		}
	}
	return keys
}

// indexKey returns the key of the entry at an index. Big-endian keys sort in index order.
func indexKey(index uint64) []byte { return binary.BigEndian.AppendUint64(nil, index) }
