package logstore

import (
	"bytes"
	"encoding/binary"
	"fmt"

	"github.com/go-faster/errors"
	"go.etcd.io/bbolt"

	"clovergap/internal/gateway/replication"
)

// maxLogs bounds the logs of a file.
const maxLogs = replication.LogID(64)

// logBuckets are those of one log. A group's snapshot has a bucket of its own, so that it is not written again with each head;
// the configuration's stands beside its head, as it always did.
type logBuckets struct {
	head, snapshot *bbolt.Bucket
	entries        *bbolt.Bucket // by index: 8 bytes, the highest byte first
}

// bucketNames are those of a log's head, snapshot and entries.
func bucketNames(id replication.LogID) [3][]byte {
	if id == replication.ConfigurationLog {
		return [3][]byte{[]byte("book"), []byte("book"), []byte("log")}
	}
	name := func(what string) []byte { return fmt.Appendf(nil, "group %02d %s", id, what) }
	return [3][]byte{name("head"), name("snapshot"), name("log")}
}

// lookupBuckets are a log's as they are: nil where there are none.
func lookupBuckets(tx *bbolt.Tx, id replication.LogID) logBuckets {
	names := bucketNames(id)
	return logBuckets{tx.Bucket(names[0]), tx.Bucket(names[1]), tx.Bucket(names[2])}
}

// createBuckets makes what is missing of a log's buckets.
func createBuckets(tx *bbolt.Tx, id replication.LogID) (logBuckets, error) {
	for _, name := range bucketNames(id) {
		if _, err := tx.CreateBucketIfNotExists(name); err != nil {
			return logBuckets{}, err
		}
	}
	return lookupBuckets(tx, id), nil
}

// missing tells whether nothing of the log is there.
func (l logBuckets) missing() bool { return l.head == nil && l.snapshot == nil && l.entries == nil }

// readLog reads a log. me is the disk's id, where the head of this log may not differ; 0: whichever it is.
func readLog(l logBuckets, me replication.MemberID) (k replication.PersistentState, err error) {
	if l.head == nil || l.snapshot == nil || l.entries == nil {
		return k, errors.New("a bucket is missing")
	}
	var h storedHead
	if err := decodeGob(l.head.Get(headKey), &h); err != nil {
		return k, errors.Wrap(err, "head")
	}
	if me != 0 && h.Me != me {
		return k, errors.Errorf("kept by disk %d, this is %d", h.Me, me)
	}
	k = replication.PersistentState{ID: h.Me, ClusterID: h.House, Term: h.Promise, Vote: h.For, Commit: h.Delivered}
	if v := l.snapshot.Get(snapshotKey); v != nil {
		var stored replication.WireSnapshot
		if err := decodeGob(v, &stored); err != nil {
			return k, errors.Wrap(err, "snapshot")
		}
		k.Snapshot = stored.Snapshot()
	}
	if err := l.entries.ForEach(func(key, v []byte) error {
		var stored replication.WireEntry
		if err := decodeGob(v, &stored); err != nil {
			return errors.Wrapf(err, "entry %x", key)
		}
		k.Entries = append(k.Entries, stored.Entry())
		return nil
	}); err != nil {
		return k, err
	}
	return k, k.Validate()
}

// obsoleteKeys are the keys of the entries that a write takes away.
func (l logBuckets) obsoleteKeys(w replication.Write) (keys [][]byte) {
	c := l.entries.Cursor()
	if w.Snapshot != nil {
		for key, _ := c.First(); key != nil && binary.BigEndian.Uint64(key) <= w.Snapshot.Index; key, _ = c.Next() {
			keys = append(keys, bytes.Clone(key))
		}
	}
	if w.FirstIndex > 0 {
		from := w.FirstIndex
		if w.Snapshot != nil {
			from = max(from, w.Snapshot.Index+1)
		}
		for key, _ := c.Seek(indexKey(from)); key != nil; key, _ = c.Next() {
			keys = append(keys, bytes.Clone(key))
		}
	}
	return keys
}

func indexKey(index uint64) []byte { return binary.BigEndian.AppendUint64(nil, index) }
