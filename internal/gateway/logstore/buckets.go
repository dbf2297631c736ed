package logstore

import (
	"bytes"
	"encoding/binary"
	"fmt"

	"go.etcd.io/bbolt"

	"clovergap/internal/gateway/replication"
)

// maxLogs bounds the logs of a file.
const maxLogs = replication.LogID(64)

// Keys in the buckets of a log.
var (
	headKey      = []byte("head")
	snapshotKey  = []byte("snap")
	softStateKey = []byte("note") // beside the head of the configuration's log
)

// bucketNames are the names of one log's buckets.
type bucketNames struct{ head, snapshot, entries []byte }

// namesOf are those of a log. A group's snapshot has a bucket of its own, so that it is not written again with each head; the
// configuration's stands beside its head, as in the first version.
func namesOf(id replication.LogID) bucketNames {
	if id == replication.ConfigurationLog {
		return bucketNames{head: []byte("book"), snapshot: []byte("book"), entries: []byte("log")}
	}
	name := func(what string) []byte { return fmt.Appendf(nil, "group %02d %s", id, what) }
	return bucketNames{head: name("head"), snapshot: name("snapshot"), entries: name("log")}
}

// logBuckets are the buckets of one log in a transaction; nil where there is none.
type logBuckets struct {
	id       replication.LogID
	names    bucketNames
	head     *bbolt.Bucket
	snapshot *bbolt.Bucket
	entries  *bbolt.Bucket // by index: 8 bytes, the highest byte first
}

// lookupBuckets gives a log's buckets as they are.
func lookupBuckets(tx *bbolt.Tx, id replication.LogID) logBuckets {
	return bucketsNamed(tx, id, namesOf(id))
}

func bucketsNamed(tx *bbolt.Tx, id replication.LogID, names bucketNames) logBuckets {
	return logBuckets{id: id, names: names, head: tx.Bucket(names.head), snapshot: tx.Bucket(names.snapshot),
		entries: tx.Bucket(names.entries)}
}

// createBuckets makes what is missing of a log's buckets.
func createBuckets(tx *bbolt.Tx, id replication.LogID) (logBuckets, error) {
	names := namesOf(id)
	for _, name := range [][]byte{names.head, names.snapshot, names.entries} {
		if _, err := tx.CreateBucketIfNotExists(name); err != nil {
			return logBuckets{}, logError("create bucket", id, name, err)
		}
	}
	return bucketsNamed(tx, id, names), nil
}

// missing tells whether nothing of the log is there.
func (l logBuckets) missing() bool { return l.head == nil && l.snapshot == nil && l.entries == nil }

// missingBucket is the name of a bucket that is not there, nil if all are.
func (l logBuckets) missingBucket() []byte {
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

// readHead reads the head.
func (l logBuckets) readHead() (h storedHead, err error) {
	if err = decodeGob(l.head.Get(headKey), &h); err != nil {
		return h, logError("read head", l.id, l.names.head, err)
	}
	return h, nil
}

// readLog reads a log and checks that it holds together. disk is the member ID under which it must have been written; 0: any.
func (l logBuckets) readLog(disk replication.MemberID) (state replication.PersistentState, err error) {
	if name := l.missingBucket(); name != nil {
		return state, logError("read", l.id, name, ErrBucketMissing)
	}
	head, err := l.readHead()
	if err != nil {
		return state, err
	}
	if disk != 0 && head.Me != disk {
		return state, logError("read head", l.id, l.names.head, ErrForeignDisk)
	}
	state = head.state()
	if state.Snapshot, err = l.readSnapshot(); err != nil {
		return state, err
	}
	if state.Entries, err = l.readEntries(); err != nil {
		return state, err
	}
	if err = state.Validate(); err != nil {
		return state, logError("check", l.id, l.names.entries, err)
	}
	return state, nil
}

// readSnapshot reads the snapshot; a log that was never founded has none.
func (l logBuckets) readSnapshot() (replication.Snapshot, error) {
	value := l.snapshot.Get(snapshotKey)
	if value == nil {
		return replication.Snapshot{}, nil
	}
	var stored storedSnapshot
	if err := decodeGob(value, &stored); err != nil {
		return replication.Snapshot{}, logError("read snapshot", l.id, l.names.snapshot, err)
	}
	return stored.snapshot(), nil
}

// readEntries reads all entries in the order of their indexes.
func (l logBuckets) readEntries() ([]replication.Entry, error) {
	var entries []replication.Entry
	err := l.entries.ForEach(func(key, value []byte) error {
		var stored storedEntry
		if err := decodeGob(value, &stored); err != nil {
			return logError(fmt.Sprintf("read entry %x", key), l.id, l.names.entries, err)
		}
		entries = append(entries, stored.entry())
		return nil
	})
	return entries, err
}

// write does what a write asks for, but for the head.
func (l logBuckets) write(w *replication.Write) error {
	if w.Snapshot != nil {
		if err := putGob(l.snapshot, snapshotKey, storeSnapshot(w.Snapshot)); err != nil {
			return logError("write snapshot", l.id, l.names.snapshot, err)
		}
	}
	// By their keys, and never by a cursor that goes on: in bbolt 1.5 one that deletes its way through several pages and is
	// then sent to the end goes round for ever over pages that hold nothing any more.
	for _, key := range l.obsoleteKeys(w) {
		if err := l.entries.Delete(key); err != nil {
			return logError(fmt.Sprintf("delete entry %x", key), l.id, l.names.entries, err)
		}
	}
	if w.FirstIndex == 0 {
		return nil
	}
	for i := range w.Entries {
		e := &w.Entries[i]
		if err := putGob(l.entries, indexKey(e.Index), storeEntry(e)); err != nil {
			return logError(fmt.Sprintf("write entry %d", e.Index), l.id, l.names.entries, err)
		}
	}
	return nil
}

// writeHead writes the head.
func (l logBuckets) writeHead(h storedHead) error {
	if err := putGob(l.head, headKey, h); err != nil {
		return logError("write head", l.id, l.names.head, err)
	}
	return nil
}

// obsoleteKeys are the keys of the entries that a write removes: those that its snapshot covers, and those from its first index on.
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

func indexKey(index uint64) []byte { return binary.BigEndian.AppendUint64(nil, index) }
