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

// fillWithStates replaces a state of about so many bytes so often, as the log has it: an entry is written, and once entries have so many bytes
// a snapshot in their place. It tells the size of the file.
func fillWithStates(t *testing.T, stateBytes, times, compact int) int64 {
	dir := t.TempDir()
	store, state, err := Open(dir)
	must.NoError(t, err)
	rng := rand.New(rand.NewPCG(1, 2))
	members := []replication.Member{{ID: state.ID, Addr: "a"}}
	must.NoError(t, writeConfiguration(store, []replication.Write{{ClusterID: 1, Term: 1, Commit: 1, FirstIndex: 2,
		Snapshot: &replication.Snapshot{Index: 1, Term: 1, Members: members}}}))
	held := 0
	for i := range times {
		index := uint64(i + 2)
		data := make([]byte, stateBytes-stateBytes/10+rng.IntN(stateBytes/5))
		must.NoError(t, writeConfiguration(store, []replication.Write{{ClusterID: 1, Term: 1, Commit: index, FirstIndex: index,
			Entries: []replication.Entry{{Index: index, Term: 1, Data: data}}}}))
		if held += len(data); held >= compact {
			held = 0
			must.NoError(t, writeConfiguration(store, []replication.Write{{ClusterID: 1, Term: 1, Commit: index,
				Snapshot: &replication.Snapshot{Index: index, Term: 1, Members: members, State: data}}}))
		}
	}
	must.NoError(t, store.Close())
	info, err := os.Stat(filepath.Join(dir, FileName))
	must.NoError(t, err)
	return info.Size()
}

// Whole configurations that take each other's place, compacted by bytes, leave the file at about five of them: 1 MB fits a disk of
// 64 MB many times, and the 4 MiB that a call may have does. By entries alone, each 64, it grew to seventy.
func TestSizeOfWholeConfigurations(t *testing.T) {
	times := 20
	if n, err := strconv.Atoi(os.Getenv("LOGSTORE_TIMES")); err == nil {
		times = n
	}
	for _, stateBytes := range []int{250 << 10, 1 << 20, 4 << 20} {
		size := fillWithStates(t, stateBytes, times, 256<<10)
		t.Logf("%d of %d KB: %d KB", times, stateBytes>>10, size>>10)
		must.LessEq(t, int64(8*stateBytes+1<<20), size)
	}
	must.Greater(t, int64(15<<20), fillWithStates(t, 1<<20, 20, 64<<20)) // the defence out
}

// A disk of 64 MB took 64 whole configurations of 3.4 MB one after the other, each as they come at their worst: two that are not committed
// yet, which is all that the log holds of such, both replaced by another leader's; a snapshot and the entries after it in one write, as
// after a disk that hung; a snapshot from elsewhere in the place of all. The file stays below ten configurations (node.diskCopies). Played at
// a quarter of that size; LOGSTORE_STATE plays it larger.
func TestSmallDiskHoldsWholeConfigurations(t *testing.T) {
	stateBytes := 850_000
	if n, err := strconv.Atoi(os.Getenv("LOGSTORE_STATE")); err == nil {
		stateBytes = n
	}
	const times, seed = 64, 1 // the worst of twelve seeds
	dir := t.TempDir()
	store, state, err := Open(dir)
	must.NoError(t, err)
	rng := rand.New(rand.NewPCG(3, seed))
	members := []replication.Member{{ID: state.ID, Addr: "a"}}
	term, at := uint64(1), uint64(1)
	apply := func(w replication.Write) {
		w.ClusterID, w.Term = 1, term
		must.NoError(t, writeConfiguration(store, []replication.Write{w}))
		state.Apply(w)
		must.NoError(t, state.Validate())
	}
	entry := func(index uint64) replication.Entry {
		return replication.Entry{Index: index, Term: term, Data: make([]byte, stateBytes-rng.IntN(stateBytes/20))}
	}
	snap := func(index uint64) *replication.Snapshot {
		return &replication.Snapshot{Index: index, Term: term, Members: members, State: make([]byte, stateBytes+stateBytes/100)}
	}
	apply(replication.Write{Snapshot: snap(1), Commit: 1})
	for range times {
		one, two := entry(at+1), entry(at+2)
		switch rng.IntN(4) {
		case 0: // one by one
			apply(replication.Write{Commit: at, FirstIndex: at + 1, Entries: []replication.Entry{one}})
			apply(replication.Write{Commit: at + 1, FirstIndex: at + 2, Entries: []replication.Entry{two}})
			apply(replication.Write{Commit: at + 2, Snapshot: snap(at + 2)})
		case 1: // another leader's in their place
			apply(replication.Write{Commit: at, FirstIndex: at + 1, Entries: []replication.Entry{one, two}})
			term++
			apply(replication.Write{Commit: at, FirstIndex: at + 1, Entries: []replication.Entry{entry(at + 1), entry(at + 2)}})
			apply(replication.Write{Commit: at + 2, Snapshot: snap(at + 2)})
		case 2: // after a disk that hung
			apply(replication.Write{Commit: at + 1, Snapshot: snap(at), FirstIndex: at + 1, Entries: []replication.Entry{one, two}})
			apply(replication.Write{Commit: at + 2, Snapshot: snap(at + 2)})
		case 3: // a member that was away
			apply(replication.Write{Commit: at, FirstIndex: at + 1, Entries: []replication.Entry{one, two}})
			apply(replication.Write{Commit: at + 9, Snapshot: snap(at + 9), FirstIndex: at + 10})
			at += 7
		}
		at += 2
	}
	must.NoError(t, store.Close())
	info, err := os.Stat(filepath.Join(dir, FileName))
	must.NoError(t, err)
	t.Logf("%d of %d KB: %d KB", times, stateBytes>>10, info.Size()>>10)
	must.LessEq(t, int64(10*stateBytes), info.Size())
}
