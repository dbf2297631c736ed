package logstore

import (
	"os"
	"path/filepath"
	"runtime"
	"testing"

	"github.com/shoenig/test/must"
	"golang.org/x/sys/unix"

	"clovergap/internal/gateway/replication"
)

// A write to one log must not change another log in the same file. Open returns each log as if the file held only that log, whether the writes
// to the log were stored in one transaction or in several.
func TestLogsInOneFileAreIndependent(t *testing.T) {
	dir := t.TempDir()
	store, state, err := Open(dir)
	must.NoError(t, err)
	want := map[replication.LogID]replication.PersistentState{}
	for id := range replication.LogID(4) {
		want[id] = replication.PersistentState{ID: state.ID}
	}
	members := []replication.Member{{ID: state.ID, Addr: "a"}}
	newFoundingWrite := func(id replication.LogID) replication.LogWrite {
		return replication.LogWrite{Log: id, Write: replication.Write{ClusterID: 5 + uint64(id), Term: 1, Commit: 1, FirstIndex: 2,
			Snapshot: &replication.Snapshot{Index: 1, Term: 1, Members: members}}}
	}
	newAppendWrite := func(id replication.LogID, from, term uint64, data ...string) replication.LogWrite {
		w := replication.Write{ClusterID: 5 + uint64(id), Term: term, Commit: 1, FirstIndex: from}
		for i, text := range data {
			w.Entries = append(w.Entries, newEntry(from+uint64(i), term, text))
		}
		return replication.LogWrite{Log: id, Write: w}
	}
	for _, batch := range [][]replication.LogWrite{
		{newFoundingWrite(0)},
		{newFoundingWrite(3), newFoundingWrite(1)},
		{newAppendWrite(1, 2, 1, "a", "b"), newAppendWrite(0, 2, 1, "c"), newAppendWrite(3, 2, 1, "d", "e", "f")},
		{newAppendWrite(3, 3, 2, "g")},
		{{Log: 1, Write: replication.Write{ClusterID: 6, Term: 1, Commit: 3,
			Snapshot: &replication.Snapshot{Index: 2, Term: 1, Members: members, State: []byte("a")}}},
			{Log: 1, Write: replication.Write{ClusterID: 6, Term: 1, Commit: 3, FirstIndex: 4,
				Entries: []replication.Entry{newEntry(4, 1, "h")}}}},
		{newFoundingWrite(2)},
	} {
		must.NoError(t, store.Write(batch))
		for _, w := range batch {
			wantState := want[w.Log]
			wantState.Apply(w.Write)
			want[w.Log] = wantState
		}
		must.NoError(t, store.Close())
		store, state, err = Open(dir)
		must.NoError(t, err)
		must.Eq(t, want[0], state)
		for id, group := range store.GroupLogs() {
			if len(want[id].Entries) == 0 {
				group.Entries = want[id].Entries
			}
			must.Eq(t, want[id], group)
		}
	}
	must.MapLen(t, 3, store.GroupLogs())
	must.NoError(t, store.Close())
}

// The writes to several logs in one transaction are stored together or not at all. The second write of the transaction exceeds the maximum size
// of the file, so the first write must not be stored either.
func TestWriteIsAtomicAcrossLogs(t *testing.T) {
	dir := t.TempDir()
	store, state, err := Open(dir)
	must.NoError(t, err)
	first := replication.Write{ClusterID: 5, Term: 1, Commit: 1, FirstIndex: 2,
		Snapshot: &replication.Snapshot{Index: 1, Term: 1, Members: []replication.Member{{ID: state.ID, Addr: "a"}}}}
	must.NoError(t, store.Write([]replication.LogWrite{{Log: 0, Write: first}, {Log: 1, Write: first}}))
	tooLong := first
	tooLong.Snapshot, tooLong.Entries = nil, []replication.Entry{{Index: 2, Term: 1, Data: make([]byte, 4<<20)}}
	store.file.MaxSize = 1 << 20
	small := tooLong
	small.Entries = []replication.Entry{newEntry(2, 1, "small")}
	must.Error(t, store.Write([]replication.LogWrite{{Log: 0, Write: small}, {Log: 1, Write: tooLong}}))
	must.NoError(t, store.Close())
	store, state, err = Open(dir)
	must.NoError(t, err)
	must.Len(t, 0, state.Entries)
	must.Len(t, 0, store.GroupLogs()[1].Entries)
	must.NoError(t, store.Close())
}

// The size of the file stays below a bound that is proportional to the size of the current snapshots and entries. The test repeatedly replaces
// the snapshots and entries of eight groups and of the configuration, one write at a time, as replication.WriteQueue does.
func TestSizeOfManyLogsIsBounded(t *testing.T) {
	const groups = 8
	for _, stateBytes := range []int{64 << 10, 1 << 20} {
		dir := t.TempDir()
		store, state, err := Open(dir)
		must.NoError(t, err)
		store.file.NoSync = true // the test checks only the size
		members := []replication.Member{{ID: state.ID, Addr: "a"}}
		for index := uint64(1); index <= 12; index += 2 {
			for log := replication.LogID(0); log <= groups; log++ {
				w := replication.Write{ClusterID: 1 + uint64(log), Term: 1, Commit: index, FirstIndex: index + 1,
					Snapshot: &replication.Snapshot{Index: index, Term: 1, Members: members, State: make([]byte, stateBytes)},
					Entries:  []replication.Entry{{Index: index + 1, Term: 1, Data: make([]byte, stateBytes/2)}}}
				must.NoError(t, store.Write([]replication.LogWrite{{Log: log, Write: w}}))
			}
		}
		must.NoError(t, store.Close())
		info, err := os.Stat(filepath.Join(dir, FileName))
		must.NoError(t, err)
		t.Logf("size of a file with %d logs, each with a snapshot of %d KB and an entry of half that size: %d KB", groups+1, stateBytes>>10, info.Size()>>10)
		must.LessEq(t, int64((groups+1)*stateBytes*3/2*5/4+6*stateBytes+256<<10), info.Size())
	}
}

// BenchmarkGroupWrite measures the processor time that one synced write of an entry to one of eight groups takes on the writing thread.
func BenchmarkGroupWrite(b *testing.B) {
	store, state, err := Open(b.TempDir())
	must.NoError(b, err)
	members := []replication.Member{{ID: state.ID, Addr: "a"}}
	for log := replication.LogID(1); log <= 8; log++ {
		must.NoError(b, store.Write([]replication.LogWrite{{Log: log, Write: replication.Write{ClusterID: 1, Term: 1, Commit: 1,
			FirstIndex: 2, Snapshot: &replication.Snapshot{Index: 1, Term: 1, Members: members, State: make([]byte, 64<<10)}}}}))
	}
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	processorTime := func() int64 {
		var r unix.Rusage
		must.NoError(b, unix.Getrusage(unix.RUSAGE_THREAD, &r))
		return r.Utime.Nano() + r.Stime.Nano()
	}
	timeAtStart, n := processorTime(), 0
	for b.Loop() {
		index := uint64(2 + n/8)
		must.NoError(b, store.Write([]replication.LogWrite{{Log: replication.LogID(1 + n%8), Write: replication.Write{ClusterID: 1, Term: 1,
			Commit: index - 1, FirstIndex: index, Entries: []replication.Entry{{Index: index, Term: 1, Data: make([]byte, 100)}}}}}))
		n++
	}
	b.ReportMetric(float64(processorTime()-timeAtStart)/float64(n)/1e3, "cpu-us/op")
	must.NoError(b, store.Close())
}
