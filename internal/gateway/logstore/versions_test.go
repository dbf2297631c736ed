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

// The previous version of the program wrote testdata/before.db.gz (2 December 2026, before the renaming of identifiers). The file belongs to one
// member of a cluster of three nodes. The cluster had received a configuration, 70 amendments of the configuration, and a rollout with nine
// backends.

// newPreviousVersionDir returns a new directory that holds the previous version's file under the former name.
func newPreviousVersionDir(t *testing.T) (dir string) {
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

// The stored types of the previous version, reduced to the field names and types that gob matches.
type (
	previousHead struct {
		Me, For                   uint64
		House, Promise, Delivered uint64
	}
	previousMember struct {
		ID   uint64
		Addr string
	}
	previousSnapshot struct {
		Index, View uint64
		Members     []previousMember
		State       []byte
	}
	previousEntry struct {
		Index, View uint64
		Kind        uint8
		Data        []byte
		Members     []previousMember
	}
	previousState struct {
		Bills    []byte
		Seats    []struct{ Name, Addr, Control, Zone string }
		Rollouts []byte
	}
	previousBackendRecord struct {
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
	previousConfigs struct {
		Body  []byte
		Taken []struct {
			Version uint64
			Digest  [32]byte
		}
		Window []byte
	}
	previousRollouts struct {
		Runs, Ended      []struct{ Number, Rev uint64 }
		Last, Rev, Fence uint64
		Marks            []string
		Window           []byte
	}
	// previousFile is the decoded content of a whole file.
	previousFile struct {
		Head      previousHead
		Snap      previousSnapshot
		State     previousState
		Configs   previousConfigs
		Runs      previousRollouts
		SoftState []previousBackendRecord
		Entries   []previousEntry
	}
)

// readAsPreviousVersion renames the file in a directory to its former name and decodes the file with the types of the previous version. See
// "Two versions side by side" in docs/state.md.
func readAsPreviousVersion(t *testing.T, dir string) (file previousFile) {
	decode := func(b []byte, v any) { must.NoError(t, gob.NewDecoder(bytes.NewReader(b)).Decode(v)) }
	must.NoError(t, os.Rename(filepath.Join(dir, "replicas.db"), filepath.Join(dir, "promptbook.db")))
	db, err := bbolt.Open(filepath.Join(dir, "promptbook.db"), 0o600, &bbolt.Options{ReadOnly: true})
	must.NoError(t, err)
	defer db.Close()
	must.NoError(t, db.View(func(tx *bbolt.Tx) error {
		headBucket := tx.Bucket([]byte("book"))
		decode(headBucket.Get([]byte("head")), &file.Head)
		decode(headBucket.Get([]byte("snap")), &file.Snap)
		decode(headBucket.Get([]byte("note")), &file.SoftState)
		return tx.Bucket([]byte("log")).ForEach(func(_, v []byte) error {
			var e previousEntry
			decode(v, &e)
			file.Entries = append(file.Entries, e)
			return nil
		})
	}))
	decode(file.Snap.State, &file.State)
	decode(file.State.Bills, &file.Configs)
	decode(file.State.Rollouts, &file.Runs)
	// The encoded values are cleared, because the gob encoding contains type names, which differ between versions.
	file.Snap.State, file.State.Bills, file.State.Rollouts = nil, nil, nil
	return file
}

// Open reads a file of the previous version completely. The state in the file is restored to the state that the cluster reported when the file
// was written.
func TestFileOfPreviousVersionIsRead(t *testing.T) {
	store, state, err := Open(newPreviousVersionDir(t))
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
	must.SliceLen(t, 3, machine.SlotHolders())
	must.SliceLen(t, 1, machine.Rollouts.Runs())
	must.Eq(t, "s", machine.Rollouts.Runs()[0].Spec.Service)
	var records []registry.WireRecord
	must.NoError(t, gob.NewDecoder(bytes.NewReader(store.SoftState())).Decode(&records))
	must.SliceLen(t, 9, records)
	must.Eq(t, "i-0", records[0].ID)
}

// The previous version must be able to read a file that this version writes. With the types of the previous version, the file decodes to the
// same values as the previous version's own file.
func TestPreviousVersionReadsFile(t *testing.T) {
	from, to := newPreviousVersionDir(t), t.TempDir()
	previous, state, err := Open(from)
	must.NoError(t, err)
	softState := previous.SoftState()
	must.NoError(t, previous.Close())
	var records []registry.WireRecord
	must.NoError(t, gob.NewDecoder(bytes.NewReader(softState)).Decode(&records))
	machine, err := statemachine.Restore(state.Snapshot.State)
	must.NoError(t, err)
	state.Snapshot.State = machine.Snapshot()
	current, _, err := Open(to)
	must.NoError(t, err)
	current.memberID = state.ID
	must.NoError(t, writeConfiguration(current, []replication.Write{{ClusterID: state.ClusterID, Term: state.Term, Vote: state.Vote, Commit: state.Commit,
		Snapshot: &state.Snapshot, FirstIndex: state.Snapshot.Index + 1, Entries: state.Entries}}))
	var b bytes.Buffer
	must.NoError(t, gob.NewEncoder(&b).Encode(records))
	must.NoError(t, current.SaveSoftState(b.Bytes()))
	must.NoError(t, current.Close())
	want, got := readAsPreviousVersion(t, from), readAsPreviousVersion(t, to)
	must.SliceLen(t, 9, want.SoftState)
	must.SliceLen(t, 3, want.State.Seats)
	must.Positive(t, len(want.Configs.Body)*len(want.Configs.Window))
	must.Eq(t, want, got)
}
