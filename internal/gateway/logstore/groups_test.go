package logstore

import (
	"testing"

	"github.com/shoenig/test/must"

	"clovergap/internal/gateway/replication"
)

// Several logs in one file read back as each of them would alone, however their writes were put together, and a write to one
// touches no other.
func TestManyLogs(t *testing.T) {
	dir := t.TempDir()
	b, k, err := Open(dir)
	must.NoError(t, err)
	want := map[replication.LogID]replication.Kept{}
	for id := range replication.LogID(4) {
		want[id] = replication.Kept{Me: k.Me}
	}
	members := []replication.Member{{ID: k.Me, Addr: "a"}}
	found := func(id replication.LogID) replication.LogWrite {
		return replication.LogWrite{Log: id, Write: replication.Write{House: 5 + uint64(id), Promise: 1, Delivered: 1, From: 2,
			Snap: &replication.Snapshot{Index: 1, View: 1, Members: members}}}
	}
	adds := func(id replication.LogID, from, view uint64, data ...string) replication.LogWrite {
		w := replication.Write{House: 5 + uint64(id), Promise: view, Delivered: 1, From: from}
		for i, text := range data {
			w.Entries = append(w.Entries, entry(from+uint64(i), view, text))
		}
		return replication.LogWrite{Log: id, Write: w}
	}
	for _, batch := range [][]replication.LogWrite{
		{found(0)},
		{found(3), found(1)},
		{adds(1, 2, 1, "a", "b"), adds(0, 2, 1, "c"), adds(3, 2, 1, "d", "e", "f")},
		{adds(3, 3, 2, "g")},
		{{Log: 1, Write: replication.Write{House: 6, Promise: 1, Delivered: 3,
			Snap: &replication.Snapshot{Index: 2, View: 1, Members: members, State: []byte("a")}}}, {Log: 1, Write: replication.Write{House: 6, Promise: 1, Delivered: 3, From: 4,
			Entries: []replication.Entry{entry(4, 1, "h")}}}},
		{found(2)},
	} {
		must.NoError(t, b.ApplyAll(batch))
		for _, w := range batch {
			kept := want[w.Log]
			kept.Apply(w.Write)
			want[w.Log] = kept
		}
		must.NoError(t, b.Close())
		b, k, err = Open(dir)
		must.NoError(t, err)
		must.Eq(t, want[0], k)
		for id, group := range b.Groups() {
			if len(want[id].Entries) == 0 {
				group.Entries = want[id].Entries
			}
			must.Eq(t, want[id], group)
		}
	}
	must.MapLen(t, 3, b.Groups())
	must.NoError(t, b.Close())
}

// A transaction that fails, or whose process ends in it, leaves nothing of any log: the groups' writes of a turn are there together
// or not at all.
func TestAllLogsOrNone(t *testing.T) {
	dir := t.TempDir()
	b, k, err := Open(dir)
	must.NoError(t, err)
	first := replication.Write{House: 5, Promise: 1, Delivered: 1, From: 2,
		Snap: &replication.Snapshot{Index: 1, View: 1, Members: []replication.Member{{ID: k.Me, Addr: "a"}}}}
	must.NoError(t, b.ApplyAll([]replication.LogWrite{{Log: 0, Write: first}, {Log: 1, Write: first}}))
	tooLong := first
	tooLong.Snap, tooLong.Entries = nil, []replication.Entry{{Index: 2, View: 1, Data: make([]byte, 4<<20)}}
	b.db.MaxSize = 1 << 20
	small := tooLong
	small.Entries = []replication.Entry{entry(2, 1, "small")}
	must.Error(t, b.ApplyAll([]replication.LogWrite{{Log: 0, Write: small}, {Log: 1, Write: tooLong}}))
	must.NoError(t, b.Close())
	b, k, err = Open(dir)
	must.NoError(t, err)
	must.Len(t, 0, k.Entries)
	must.Len(t, 0, b.Groups()[1].Entries)
	must.NoError(t, b.Close())
}
