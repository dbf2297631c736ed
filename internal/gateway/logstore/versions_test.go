package logstore

import (
	"bytes"
	"compress/gzip"
	"encoding/gob"
	"io"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"go.etcd.io/bbolt"

	"clovergap/internal/gateway/registry"
	"clovergap/internal/gateway/replication"
	"clovergap/internal/gateway/statemachine"
)

// testdata/before.db.gz is a member's file as the version before left it (of 2 December 2026, before all was renamed): three nodes that
// took a configuration, 70 amendments and a roll-out, with nine backends.

func pastFile(t *testing.T) (dir string) {
	dir = t.TempDir()
	f, err := os.Open("testdata/before.db.gz")
	must.NoError(t, err)
	defer f.Close()
	z, err := gzip.NewReader(f)
	must.NoError(t, err)
	b, err := io.ReadAll(z)
	must.NoError(t, err)
	must.NoError(t, os.WriteFile(filepath.Join(dir, formerFileName), b, 0o600))
	return dir
}

// The types of the version before, as far as gob goes by them.
type (
	pastHead struct {
		Me, For                   uint64
		House, Promise, Delivered uint64
	}
	pastMember struct {
		ID   uint64
		Addr string
	}
	pastSnapshot struct {
		Index, View uint64
		Members     []pastMember
		State       []byte
	}
	pastEntry struct {
		Index, View uint64
		Kind        uint8
		Data        []byte
		Members     []pastMember
	}
	pastState struct {
		Bills    []byte
		Seats    []struct{ Name, Addr, Control, Zone string }
		Rollouts []byte
	}
	pastWord struct {
		ID, Service, Addr, Zone, Generation string
		Capacity                            int
		Phase                               uint8
		ColdLeft                            time.Duration
		Seq                                 uint64
		Drained, Final                      bool
		Age                                 time.Duration
		Keeper                              int
		Fence                               uint64
		Missed                              int
	}
	pastConfigs struct {
		Body  []byte
		Taken []struct {
			Version uint64
			Digest  [32]byte
		}
		Window []byte
	}
	pastRollouts struct {
		Runs, Ended      []struct{ Number, Rev uint64 }
		Last, Rev, Fence uint64
		Marks            []string
		Window           []byte
	}
	// pastAll is all of a file.
	pastAll struct {
		Head    pastHead
		Snap    pastSnapshot
		State   pastState
		Configs pastConfigs
		Runs    pastRollouts
		Note    []pastWord
		Entries []pastEntry
	}
)

// asBefore reads a file as the version before does, once it has its former name again: see "Two versions side by side" in docs/state.md.
func asBefore(t *testing.T, dir string) (all pastAll) {
	decode := func(b []byte, v any) { must.NoError(t, gob.NewDecoder(bytes.NewReader(b)).Decode(v)) }
	must.NoError(t, os.Rename(filepath.Join(dir, "replicas.db"), filepath.Join(dir, "promptbook.db")))
	db, err := bbolt.Open(filepath.Join(dir, "promptbook.db"), 0o600, &bbolt.Options{ReadOnly: true})
	must.NoError(t, err)
	defer db.Close()
	must.NoError(t, db.View(func(tx *bbolt.Tx) error {
		book := tx.Bucket([]byte("book"))
		decode(book.Get([]byte("head")), &all.Head)
		decode(book.Get([]byte("snap")), &all.Snap)
		decode(book.Get([]byte("note")), &all.Note)
		return tx.Bucket([]byte("log")).ForEach(func(_, v []byte) error {
			var e pastEntry
			decode(v, &e)
			all.Entries = append(all.Entries, e)
			return nil
		})
	}))
	decode(all.Snap.State, &all.State)
	decode(all.State.Bills, &all.Configs)
	decode(all.State.Rollouts, &all.Runs)
	all.Snap.State, all.State.Bills, all.State.Rollouts = nil, nil, nil // how gob words them has names of types in it
	return all
}

// A disk that the version before has written is read whole, and its state folds to what it told when it was written.
func TestFileOfTheVersionBefore(t *testing.T) {
	store, state, err := Open(pastFile(t))
	must.NoError(t, err)
	defer store.Close()
	must.Eq(t, 0x90d0564f83, state.ID)
	must.Eq(t, 64, state.Snapshot.Index)
	must.SliceLen(t, 3, state.Snapshot.Members)
	must.Eq(t, 77, state.Snapshot.Index+uint64(len(state.Entries)))
	machine, err := statemachine.Restore(state.Snapshot.State)
	must.NoError(t, err)
	for _, e := range state.Entries {
		if e.Kind == replication.EntryNormal {
			_, err := machine.Apply(e.Data)
			must.NoError(t, err)
		}
	}
	must.Eq(t, 77, machine.Configs.Version())
	must.SliceLen(t, 3, machine.Slots())
	must.SliceLen(t, 1, machine.Rollouts.Runs())
	must.Eq(t, "s", machine.Rollouts.Runs()[0].Spec.Service)
	var records []registry.WireRecord
	must.NoError(t, gob.NewDecoder(bytes.NewReader(store.SoftState())).Decode(&records))
	must.SliceLen(t, 9, records)
	must.Eq(t, "i-0", records[0].ID)
}

// A disk that this version writes is read by the version before: the same content is the same by its types.
func TestFileForTheVersionBefore(t *testing.T) {
	from, to := pastFile(t), t.TempDir()
	past, state, err := Open(from)
	must.NoError(t, err)
	note := past.SoftState()
	must.NoError(t, past.Close())
	var records []registry.WireRecord
	must.NoError(t, gob.NewDecoder(bytes.NewReader(note)).Decode(&records))
	machine, err := statemachine.Restore(state.Snapshot.State)
	must.NoError(t, err)
	state.Snapshot.State = machine.Snapshot()
	now, _, err := Open(to)
	must.NoError(t, err)
	now.memberID = state.ID
	must.NoError(t, writeConfiguration(now, []replication.Write{{ClusterID: state.ClusterID, Term: state.Term, Vote: state.Vote, Commit: state.Commit,
		Snapshot: &state.Snapshot, FirstIndex: state.Snapshot.Index + 1, Entries: state.Entries}}))
	var b bytes.Buffer
	must.NoError(t, gob.NewEncoder(&b).Encode(records))
	must.NoError(t, now.SaveSoftState(b.Bytes()))
	must.NoError(t, now.Close())
	want, got := asBefore(t, from), asBefore(t, to)
	must.SliceLen(t, 9, want.Note)
	must.SliceLen(t, 3, want.State.Seats)
	must.Positive(t, len(want.Configs.Body)*len(want.Configs.Window))
	must.Eq(t, want, got)
}
