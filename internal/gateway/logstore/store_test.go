package logstore

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/go-faster/errors"
	"github.com/shoenig/test/must"
	"golang.org/x/sys/unix"

	"clovergap/internal/gateway/replication"
)

// newEntry returns an entry with data and no members.
func newEntry(index, term uint64, data string) replication.Entry {
	return replication.Entry{Index: index, Term: term, Data: []byte(data)}
}

// writeConfiguration stores writes to the configuration's log in one transaction.
func writeConfiguration(s *Store, writes []replication.Write) error {
	var all []replication.LogWrite
	for _, w := range writes {
		all = append(all, replication.LogWrite{Log: replication.ConfigurationLog, Write: w})
	}
	return s.Write(all)
}

// Open returns the state that PersistentState.Apply computes from the same writes.
func TestReopenRestoresAppliedWrites(t *testing.T) {
	dir := t.TempDir()
	store, want, err := Open(dir)
	must.NoError(t, err)
	must.NotEq(t, 0, want.ID)
	members := []replication.Member{{ID: want.ID, Addr: "10.0.0.1:1"}, {ID: 7, Addr: "10.0.0.2:1"}}
	for _, batch := range [][]replication.Write{
		{{ClusterID: 5, Term: 1, Commit: 1, Snapshot: &replication.Snapshot{Index: 1, Term: 1, Members: members}, FirstIndex: 2}},
		{{ClusterID: 5, Term: 2, Vote: 7, Commit: 1, FirstIndex: 2,
			Entries: []replication.Entry{newEntry(2, 2, "a"), newEntry(3, 2, "b"), newEntry(4, 2, "c")}},
			{ClusterID: 5, Term: 3, Vote: 7, Commit: 2}},
		{{ClusterID: 5, Term: 3, Vote: 7, Commit: 3, FirstIndex: 4, // replaces the entries from index 4 on
			Entries: []replication.Entry{newEntry(4, 3, "d"), newEntry(5, 3, "e")}}},
		{{ClusterID: 5, Term: 3, Vote: 7, Commit: 4,
			Snapshot: &replication.Snapshot{Index: 4, Term: 3, Members: members, State: []byte("abd")}}},
		{{ClusterID: 5, Term: 9, Vote: 8, Commit: 30, FirstIndex: 31, // a snapshot that another member sent
			Snapshot: &replication.Snapshot{Index: 30, Term: 8, Members: members, State: []byte("z")}}},
	} {
		must.NoError(t, writeConfiguration(store, batch))
		for _, w := range batch {
			want.Apply(w)
		}
		must.NoError(t, store.Close())
		var got replication.PersistentState
		store, got, err = Open(dir)
		must.NoError(t, err)
		if len(want.Entries) == 0 {
			want.Entries = nil
		}
		must.Eq(t, want, got)
	}
	must.NoError(t, store.Close())
}

// The file stays below 1 MiB if each snapshot has 100 KB and at most 100 entries of 1 KB follow each snapshot.
func TestSizeIsBounded(t *testing.T) {
	dir := t.TempDir()
	store, _, err := Open(dir)
	must.NoError(t, err)
	members, index := []replication.Member{{ID: 1}}, uint64(1)
	for range 30 {
		must.NoError(t, writeConfiguration(store, []replication.Write{{ClusterID: 5, Term: 1, Commit: index,
			Snapshot: &replication.Snapshot{Index: index, Term: 1, Members: members, State: make([]byte, 100_000)}}}))
		for range 20 {
			w := replication.Write{ClusterID: 5, Term: 1, Commit: index, FirstIndex: index + 1}
			for range 5 {
				index++
				w.Entries = append(w.Entries, newEntry(index, 1, string(make([]byte, 1000))))
			}
			must.NoError(t, writeConfiguration(store, []replication.Write{w}))
		}
	}
	must.NoError(t, store.Close())
	info, err := os.Stat(filepath.Join(dir, FileName))
	must.NoError(t, err)
	t.Logf("size of the file: %d bytes", info.Size())
	must.Less(t, int64(1<<20), info.Size())
}

// A truncated or partly overwritten file must not crash the process. Open either returns a CorruptError with the path of the file, or succeeds
// because the damage affects no data in use.
func TestCorruptFileReturnsErrorWithoutCrash(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, FileName)
	store, before, err := Open(dir)
	must.NoError(t, err)
	must.NoError(t, writeConfiguration(store, []replication.Write{{ClusterID: 5, Term: 1, Commit: 1, FirstIndex: 2,
		Entries:  []replication.Entry{newEntry(2, 1, "a")},
		Snapshot: &replication.Snapshot{Index: 1, Term: 1, Members: []replication.Member{{ID: 1}}, State: make([]byte, 9000)}}}))
	must.NoError(t, store.Close())
	validContent, err := os.ReadFile(path)
	must.NoError(t, err)
	corruptCount := 0
	checkOpen := func(content []byte) {
		must.NoError(t, os.WriteFile(path, content, 0o600))
		reopened, _, openErr := Open(dir)
		if openErr == nil {
			must.NoError(t, reopened.Close())
			return
		}
		corruptCount++
		var corrupt *CorruptError
		must.True(t, errors.As(openErr, &corrupt), must.Sprint(openErr))
		must.StrContains(t, openErr.Error(), path)
	}
	for at := 512; at < len(validContent); at += 512 {
		checkOpen(validContent[:at])
		garbage := bytes.Repeat([]byte{0xa5}, 512)
		checkOpen(bytes.Join([][]byte{validContent[:at], garbage, validContent[min(at+512, len(validContent)):]}, nil))
	}
	must.Positive(t, corruptCount)
	checkOpen(validContent[:100])
	must.NoError(t, Wipe(dir))
	store, state, err := Open(dir)
	must.NoError(t, err)
	must.NotEq(t, before.ID, state.ID)
	must.Eq(t, 0, state.Term)
	must.NoError(t, store.Close())
}

// SoftState returns the newest saved value, also after a restart. It returns nil if no value was saved.
func TestSoftStateKeepsNewestValue(t *testing.T) {
	dir := t.TempDir()
	store, _, err := Open(dir)
	must.NoError(t, err)
	must.Nil(t, store.SoftState())
	must.NoError(t, store.SaveSoftState([]byte("one")))
	must.NoError(t, store.SaveSoftState([]byte("two")))
	must.NoError(t, store.Close())
	store, _, err = Open(dir)
	must.NoError(t, err)
	must.Eq(t, "two", string(store.SoftState()))
	must.NoError(t, store.Close())
}

// A write with a snapshot that removes entries on several pages, and with a later entry, used to loop forever in a bbolt cursor. A follower
// that lags behind receives such a write.
func TestSnapshotAndLaterEntriesAreWrittenTogether(t *testing.T) {
	for _, together := range []bool{true, false} {
		store, state, err := Open(t.TempDir())
		must.NoError(t, err)
		snap := replication.Snapshot{Index: 1, Term: 1, Members: []replication.Member{{ID: state.ID, Addr: "a"}}}
		first := replication.Write{Seq: 1, ClusterID: 1, Term: 1, Commit: 1, Snapshot: &snap, FirstIndex: 2}
		for i := uint64(2); i <= 400; i++ {
			first.Entries = append(first.Entries, newEntry(i, 1, "some data of a change"))
		}
		must.NoError(t, writeConfiguration(store, []replication.Write{first}))
		snap.Index = 400
		later := []replication.Write{{Seq: 2, ClusterID: 1, Term: 1, Commit: 400, Snapshot: &snap, FirstIndex: 401,
			Entries: []replication.Entry{newEntry(401, 1, "more")}}}
		if !together {
			later = []replication.Write{{Seq: 2, ClusterID: 1, Term: 1, Commit: 400, Snapshot: &snap},
				{Seq: 3, ClusterID: 1, Term: 1, Commit: 400, FirstIndex: 401, Entries: later[0].Entries}}
		}
		must.NoError(t, writeConfiguration(store, later))
		must.NoError(t, store.Close())
		store, state, err = Open(filepath.Dir(store.path))
		must.NoError(t, err)
		must.Eq(t, 400, state.Snapshot.Index)
		must.Len(t, 1, state.Entries)
		must.NoError(t, store.Close())
	}
}

// A first start on a full disk used to end the process. The store must then have a member ID but no file, and confirm no write. After the disk
// has space again, the store creates the file, even if an earlier attempt left an incomplete file in the directory. After other errors than a
// full disk, Open must fail and change nothing.
func TestStoreRecoversFromDiskFullAtFirstStart(t *testing.T) {
	dir := t.TempDir()
	fs := &faultyFilesystem{failures: map[string]error{"open": unix.EACCES}}
	_, _, err := openOnFilesystem(dir, fs)
	must.ErrorIs(t, err, unix.EACCES)

	fs.failures["open"] = unix.ENOSPC
	store, state, err := openOnFilesystem(dir, fs)
	must.NoError(t, err)
	must.False(t, store.HasFile())
	must.Positive(t, state.ID)
	must.Nil(t, store.SoftState())
	write := []replication.Write{{ClusterID: 1, Term: 1, Commit: 1, FirstIndex: 2, Entries: []replication.Entry{newEntry(2, 1, "a")},
		Snapshot: &replication.Snapshot{Index: 1, Term: 1, Members: []replication.Member{{ID: state.ID}}}}}
	must.ErrorIs(t, writeConfiguration(store, write), unix.ENOSPC)
	must.ErrorIs(t, store.SaveSoftState([]byte("one")), unix.ENOSPC)
	must.NoError(t, os.WriteFile(filepath.Join(dir, FileName), make([]byte, 5000), 0o600)) // the incomplete file of an earlier attempt
	must.ErrorIs(t, writeConfiguration(store, write), unix.ENOSPC)

	delete(fs.failures, "open")
	must.NoError(t, writeConfiguration(store, write))
	must.True(t, store.HasFile())
	must.NoError(t, store.Close())
	store, reopened, err := Open(dir)
	must.NoError(t, err)
	must.Eq(t, state.ID, reopened.ID)
	must.Len(t, 1, reopened.Entries)
	must.NoError(t, store.Close())

	fs.failures["open"] = unix.ENOSPC // if there is a file with a state, Open must not return a store without a file
	_, _, err = openOnFilesystem(dir, fs)
	must.ErrorIs(t, err, unix.ENOSPC)
}
