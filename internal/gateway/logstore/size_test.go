package logstore

import (
	"math/rand/v2"
	"os"
	"path/filepath"
	"strconv"
	"testing"

	"github.com/shoenig/test/must"

	"clovergap/internal/gateway/replication"
)

// fileSizeAfterStates writes a sequence of states of about stateBytes each and returns the size of the file. Each state is written as one
// entry and replaces the previous state. When the entries have at least compactBytes, a snapshot of the newest state replaces the entries.
func fileSizeAfterStates(t *testing.T, stateBytes, writeCount, compactBytes int) int64 {
	dir := t.TempDir()
	store, state, err := Open(dir)
	must.NoError(t, err)
	rng := rand.New(rand.NewPCG(1, 2))
	members := []replication.Member{{ID: state.ID, Addr: "a"}}
	must.NoError(t, writeConfiguration(store, []replication.Write{{ClusterID: 1, Term: 1, Commit: 1, FirstIndex: 2,
		Snapshot: &replication.Snapshot{Index: 1, Term: 1, Members: members}}}))
	entryBytes := 0
	for i := range writeCount {
		index := uint64(i + 2)
		data := make([]byte, stateBytes-stateBytes/10+rng.IntN(stateBytes/5))
		must.NoError(t, writeConfiguration(store, []replication.Write{{ClusterID: 1, Term: 1, Commit: index, FirstIndex: index,
			Entries: []replication.Entry{{Index: index, Term: 1, Data: data}}}}))
		if entryBytes += len(data); entryBytes >= compactBytes {
			entryBytes = 0
			must.NoError(t, writeConfiguration(store, []replication.Write{{ClusterID: 1, Term: 1, Commit: index,
				Snapshot: &replication.Snapshot{Index: index, Term: 1, Members: members, State: data}}}))
		}
	}
	must.NoError(t, store.Close())
	info, err := os.Stat(filepath.Join(dir, FileName))
	must.NoError(t, err)
	return info.Size()
}

// The file stays at about five times the size of a configuration when whole configurations replace each other and the log is compacted
// according to the size of the entries. A disk of 64 MB is then large enough for the file of a 1 MB configuration many times over, and for the
// file of a 4 MiB configuration, which is the limit of a control call. With compaction after every 64 entries, whatever their size, the file
// grew to the size of 70 configurations.
func TestSizeIsBoundedForWholeConfigurations(t *testing.T) {
	times := 20
	if n, err := strconv.Atoi(os.Getenv("LOGSTORE_TIMES")); err == nil {
		times = n
	}
	for _, stateBytes := range []int{250 << 10, 1 << 20, 4 << 20} {
		size := fileSizeAfterStates(t, stateBytes, times, 256<<10)
		t.Logf("size of the file after %d configurations of %d KB: %d KB", times, stateBytes>>10, size>>10)
		must.LessEq(t, int64(8*stateBytes+1<<20), size)
	}
	must.Greater(t, int64(15<<20), fileSizeAfterStates(t, 1<<20, 20, 64<<20)) // with rare compaction the file exceeds the limit
}

// A disk of 64 MB must be large enough for 64 whole configurations of 3.4 MB one after the other, even in the worst patterns of writes. In the
// first pattern, entries of another leader replace two uncommitted configurations. A log holds at most two uncommitted configurations of this
// size. In the second pattern, one write contains a snapshot and the entries after the snapshot, as happens after writes to a disk were
// blocked. In the third pattern, a snapshot of another member replaces the whole log. The file must stay below the size of ten configurations
// (node.diskCopiesPerState). The test uses configurations of 850 KB, a quarter of 3.4 MB. The environment variable LOGSTORE_STATE sets
// another size.
func TestSmallDiskHoldsWholeConfigurations(t *testing.T) {
	stateBytes := 850_000
	if n, err := strconv.Atoi(os.Getenv("LOGSTORE_STATE")); err == nil {
		stateBytes = n
	}
	const times, seed = 64, 1 // of twelve tried seeds, seed 1 produced the largest file
	dir := t.TempDir()
	store, state, err := Open(dir)
	must.NoError(t, err)
	rng := rand.New(rand.NewPCG(3, seed))
	members := []replication.Member{{ID: state.ID, Addr: "a"}}
	term, lastIndex := uint64(1), uint64(1)
	writeAndApply := func(w replication.Write) {
		w.ClusterID, w.Term = 1, term
		must.NoError(t, writeConfiguration(store, []replication.Write{w}))
		state.Apply(w)
		must.NoError(t, state.Validate())
	}
	entry := func(index uint64) replication.Entry {
		return replication.Entry{Index: index, Term: term, Data: make([]byte, stateBytes-rng.IntN(stateBytes/20))}
	}
	newSnapshot := func(index uint64) *replication.Snapshot {
		return &replication.Snapshot{Index: index, Term: term, Members: members, State: make([]byte, stateBytes+stateBytes/100)}
	}
	writeAndApply(replication.Write{Snapshot: newSnapshot(1), Commit: 1})
	for range times {
		one, two := entry(lastIndex+1), entry(lastIndex+2)
		switch rng.IntN(4) {
		case 0: // the entries are written one by one
			writeAndApply(replication.Write{Commit: lastIndex, FirstIndex: lastIndex + 1, Entries: []replication.Entry{one}})
			writeAndApply(replication.Write{Commit: lastIndex + 1, FirstIndex: lastIndex + 2, Entries: []replication.Entry{two}})
			writeAndApply(replication.Write{Commit: lastIndex + 2, Snapshot: newSnapshot(lastIndex + 2)})
		case 1: // another leader's entries replace the uncommitted entries
			writeAndApply(replication.Write{Commit: lastIndex, FirstIndex: lastIndex + 1, Entries: []replication.Entry{one, two}})
			term++
			writeAndApply(replication.Write{Commit: lastIndex, FirstIndex: lastIndex + 1, Entries: []replication.Entry{entry(lastIndex + 1), entry(lastIndex + 2)}})
			writeAndApply(replication.Write{Commit: lastIndex + 2, Snapshot: newSnapshot(lastIndex + 2)})
		case 2: // one write contains a snapshot and entries, as after blocked writes to the disk
			writeAndApply(replication.Write{Commit: lastIndex + 1, Snapshot: newSnapshot(lastIndex), FirstIndex: lastIndex + 1, Entries: []replication.Entry{one, two}})
			writeAndApply(replication.Write{Commit: lastIndex + 2, Snapshot: newSnapshot(lastIndex + 2)})
		case 3: // a snapshot of another member, as after this member was offline
			writeAndApply(replication.Write{Commit: lastIndex, FirstIndex: lastIndex + 1, Entries: []replication.Entry{one, two}})
			writeAndApply(replication.Write{Commit: lastIndex + 9, Snapshot: newSnapshot(lastIndex + 9), FirstIndex: lastIndex + 10})
			lastIndex += 7
		}
		lastIndex += 2
	}
	must.NoError(t, store.Close())
	info, err := os.Stat(filepath.Join(dir, FileName))
	must.NoError(t, err)
	t.Logf("size of the file after %d configurations of %d KB: %d KB", times, stateBytes>>10, info.Size()>>10)
	must.LessEq(t, int64(10*stateBytes), info.Size())
}
