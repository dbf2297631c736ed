package logstore

import (
	"testing"

	"github.com/go-faster/errors"
	"github.com/shoenig/test/must"
	"go.etcd.io/bbolt"
	"golang.org/x/sys/unix"

	"clovergap/internal/gateway/registry"
	"clovergap/internal/gateway/replication"
)

// reopenForDepartures closes a store and opens its file again. The file is read as after a kill of the process.
func reopenForDepartures(t *testing.T, dir string, store *Store) *Store {
	t.Helper()
	must.NoError(t, store.Close())
	reopened, _, err := Open(dir)
	must.NoError(t, err)
	return reopened
}

// Guards against a departure that a restart forgets, or turns back from deregistered to draining. Departures are stored in the transaction of
// the logs, and those that are not retained are removed.
func TestDeparturesAreKeptUntilTheyAreNotRetained(t *testing.T) {
	dir := t.TempDir()
	store, state, err := Open(dir)
	must.NoError(t, err)
	must.SliceEmpty(t, store.Departures())
	must.NoError(t, store.RetainDepartures(nil)) // the bucket does not exist yet
	must.NoError(t, store.Write([]replication.LogWrite{{Write: replication.Write{ClusterID: 5, Term: 1, Commit: 1, FirstIndex: 2,
		Snapshot: &replication.Snapshot{Index: 1, Term: 1, Members: []replication.Member{{ID: state.ID}}}}}},
		registry.Departure{ID: "i-2"}, registry.Departure{ID: "i-1"}))
	must.NoError(t, store.Write(nil, registry.Departure{ID: "i-1", Deregistered: true}))

	store = reopenForDepartures(t, dir, store)
	must.Eq(t, []registry.Departure{{ID: "i-1", Deregistered: true}, {ID: "i-2"}}, store.Departures())
	must.NoError(t, store.RetainDepartures([]string{"i-1", "i-3"}))
	store = reopenForDepartures(t, dir, store)
	must.Eq(t, []registry.Departure{{ID: "i-1", Deregistered: true}}, store.Departures())
	must.NoError(t, store.Close())
}

// Guards against a departure that counts as stored although the disk refused it. The write of a full disk fails, and may be repeated.
func TestFullDiskRefusesDepartures(t *testing.T) {
	dir := t.TempDir()
	fs := &faultyFilesystem{failures: map[string]error{"open": unix.ENOSPC}}
	store, _, err := openOnFilesystem(dir, fs)
	must.NoError(t, err)
	departure := registry.Departure{ID: "i-1", Deregistered: true}
	must.ErrorIs(t, store.Write(nil, departure), unix.ENOSPC)
	must.NoError(t, store.RetainDepartures(nil))
	delete(fs.failures, "open")
	must.NoError(t, store.Write(nil, departure))
	store = reopenForDepartures(t, dir, store)
	must.Eq(t, []registry.Departure{departure}, store.Departures())
	must.NoError(t, store.Close())
}

// Guards against a corrupt departure that is silently dropped: the backend would get requests again.
func TestCorruptDepartureIsAnError(t *testing.T) {
	dir := t.TempDir()
	store, _, err := Open(dir)
	must.NoError(t, err)
	must.NoError(t, store.Write(nil, registry.Departure{ID: "i-1"}))
	must.NoError(t, store.file.Update(func(tx *bbolt.Tx) error { return tx.Bucket(departuresBucket).Put([]byte("i-1"), []byte{1}) }))
	must.NoError(t, store.Close())
	_, _, err = Open(dir)
	var corrupt *CorruptError
	must.True(t, errors.As(err, &corrupt))
	must.StrContains(t, err.Error(), `departure of backend "i-1"`)
}

// BenchmarkWriteDepartures measures a transaction with the departures of a whole service, and one with a single departure.
func BenchmarkWriteDepartures(b *testing.B) {
	for name, count := range map[string]int{"1": 1, "255": 255} {
		b.Run(name, func(b *testing.B) {
			store, _, err := Open(b.TempDir())
			must.NoError(b, err)
			departures := make([]registry.Departure, count)
			for n := 0; b.Loop(); n++ {
				for i := range departures {
					departures[i] = registry.Departure{ID: string(rune('a'+n%16)) + string(rune('A'+i)), Deregistered: true}
				}
				must.NoError(b, store.Write(nil, departures...))
			}
			must.NoError(b, store.Close())
		})
	}
}
