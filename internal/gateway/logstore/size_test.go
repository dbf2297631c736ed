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

// fill replaces a state of about so many bytes so often, as the log has it: an entry is written, and once entries have so many bytes
// a snapshot in their place. It tells the size of the file.
func fill(t *testing.T, state, times, compact int) int64 {
	dir := t.TempDir()
	b, k, err := Open(dir)
	must.NoError(t, err)
	rng := rand.New(rand.NewPCG(1, 2))
	me := []replication.Member{{ID: k.Me, Addr: "a"}}
	must.NoError(t, b.Apply([]replication.Write{{House: 1, Promise: 1, Delivered: 1, From: 2,
		Snap: &replication.Snapshot{Index: 1, View: 1, Members: me}}}))
	held := 0
	for i := range times {
		index := uint64(i + 2)
		data := make([]byte, state-state/10+rng.IntN(state/5))
		must.NoError(t, b.Apply([]replication.Write{{House: 1, Promise: 1, Delivered: index, From: index,
			Entries: []replication.Entry{{Index: index, View: 1, Data: data}}}}))
		if held += len(data); held >= compact {
			held = 0
			must.NoError(t, b.Apply([]replication.Write{{House: 1, Promise: 1, Delivered: index,
				Snap: &replication.Snapshot{Index: index, View: 1, Members: me, State: data}}}))
		}
	}
	must.NoError(t, b.Close())
	info, err := os.Stat(filepath.Join(dir, Name))
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
	for _, state := range []int{250 << 10, 1 << 20, 4 << 20} {
		size := fill(t, state, times, 256<<10)
		t.Logf("%d of %d KB: %d KB", times, state>>10, size>>10)
		must.LessEq(t, int64(8*state+1<<20), size)
	}
	must.Greater(t, int64(15<<20), fill(t, 1<<20, 20, 64<<20)) // the defence out
}
