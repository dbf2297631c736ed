package logstore

import (
	"path/filepath"
	"testing"

	"github.com/go-faster/errors"
	"github.com/shoenig/test/must"
	"go.etcd.io/bbolt"

	"clovergap/internal/gateway/replication"
)

// An operator needs to find the damage in a corrupt file. The error of Open must therefore contain the file, the log, the bucket and the failed
// operation.
func TestErrorsIdentifyFileLogAndBucket(t *testing.T) {
	const group = replication.LogID(3)
	for _, c := range []struct {
		name      string
		corrupt   func(tx *bbolt.Tx) error
		want      LogError
		wantCause error
	}{
		{"missing bucket", func(tx *bbolt.Tx) error { return tx.DeleteBucket([]byte("group 03 log")) },
			LogError{Operation: "read", Log: group, Bucket: "group 03 log"}, ErrBucketMissing},
		{"head with the member ID of another disk", func(tx *bbolt.Tx) error { return lookupBuckets(tx, group).writeHead(storedHead{Me: 7}) },
			LogError{Operation: "read head", Log: group, Bucket: "group 03 head"}, ErrForeignDisk},
		{"missing head", func(tx *bbolt.Tx) error { return lookupBuckets(tx, group).head.Delete(headKey) },
			LogError{Operation: "read head", Log: group, Bucket: "group 03 head"}, nil},
		{"truncated snapshot", func(tx *bbolt.Tx) error { return lookupBuckets(tx, group).snapshot.Put(snapshotKey, []byte{1}) },
			LogError{Operation: "read snapshot", Log: group, Bucket: "group 03 snapshot"}, nil},
		{"truncated entry", func(tx *bbolt.Tx) error { return lookupBuckets(tx, group).entries.Put(indexKey(2), []byte{1}) },
			LogError{Operation: "read entry with key 0000000000000002", Log: group, Bucket: "group 03 log"}, nil},
		{"gap in the entries", func(tx *bbolt.Tx) error { return lookupBuckets(tx, group).entries.Delete(indexKey(2)) },
			LogError{Operation: "validate", Log: group, Bucket: "group 03 log"}, nil},
		{"missing head of the configuration's log", func(tx *bbolt.Tx) error {
			return lookupBuckets(tx, replication.ConfigurationLog).head.Delete(headKey)
		}, LogError{Operation: "read head", Log: replication.ConfigurationLog, Bucket: "book"}, nil},
	} {
		dir := t.TempDir()
		store, state, err := Open(dir)
		must.NoError(t, err)
		must.NoError(t, store.Write([]replication.LogWrite{{Log: group, Write: replication.Write{ClusterID: 5, Term: 1, Commit: 1, FirstIndex: 2,
			Snapshot: &replication.Snapshot{Index: 1, Term: 1, Members: []replication.Member{{ID: state.ID}}},
			Entries:  []replication.Entry{newEntry(2, 1, "a"), newEntry(3, 1, "b")}}}}))
		must.NoError(t, store.file.Update(c.corrupt))
		must.NoError(t, store.Close())

		_, _, err = Open(dir)
		var corrupt *CorruptError
		must.True(t, errors.As(err, &corrupt), must.Sprint(c.name, ": ", err))
		must.Eq(t, filepath.Join(dir, FileName), corrupt.Path)
		var got *LogError
		must.True(t, errors.As(err, &got), must.Sprint(c.name, ": ", err))
		must.NotNil(t, got.Err)
		must.Eq(t, c.want, LogError{Operation: got.Operation, Log: got.Log, Bucket: got.Bucket}, must.Sprint(c.name))
		must.StrContains(t, err.Error(), c.want.Operation)
		if c.wantCause != nil {
			must.ErrorIs(t, err, c.wantCause)
		}
	}
}
