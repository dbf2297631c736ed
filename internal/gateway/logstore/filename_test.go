package logstore

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"testing"

	"github.com/go-faster/errors"
	"github.com/shoenig/test/must"
	"go.etcd.io/bbolt"
	"golang.org/x/sys/unix"

	"clovergap/internal/gateway/replication"
)

// newDirWithFormerName returns a new directory that holds a file with a state under the former name, and returns that state.
func newDirWithFormerName(t *testing.T) (dir string, want replication.PersistentState) {
	t.Helper()
	dir = t.TempDir()
	s, want, err := Open(dir)
	must.NoError(t, err)
	w := newFoundingWrite(want.ID)
	w.Entries = []replication.Entry{newEntry(2, 1, "a")}
	must.NoError(t, s.Write([]replication.LogWrite{{Write: w}}))
	want.Apply(w)
	must.NoError(t, s.Close())
	must.NoError(t, os.Rename(filepath.Join(dir, FileName), filepath.Join(dir, formerFileName)))
	return dir, want
}

// newFoundingWrite returns the first write to a log when a cluster with one member is founded.
func newFoundingWrite(id replication.MemberID) replication.Write {
	return replication.Write{ClusterID: 5, Term: 1, Vote: id, Commit: 1, FirstIndex: 2,
		Snapshot: &replication.Snapshot{Index: 1, Term: 1, Members: []replication.Member{{ID: id, Addr: "a"}}}}
}

// listFileNames returns the names of the files in a directory.
func listFileNames(t *testing.T, dir string) (all []string) {
	t.Helper()
	files, err := os.ReadDir(dir)
	must.NoError(t, err)
	for _, f := range files {
		all = append(all, f.Name())
	}
	return all
}

// requireState opens the file in a directory and checks that the file holds the state want and has only the present name.
func requireState(t *testing.T, dir string, want replication.PersistentState) {
	t.Helper()
	s, got, err := Open(dir)
	must.NoError(t, err)
	must.NoError(t, s.RenameError())
	must.Eq(t, want, got)
	must.Eq(t, []string{FileName}, listFileNames(t, dir))
	must.NoError(t, s.Close())
}

// Open renames the file of an earlier version, and later writes go to the renamed file. Open syncs the directory after the rename, because a
// power loss could otherwise undo the rename.
func TestFormerNameIsReplaced(t *testing.T) {
	dir, want := newDirWithFormerName(t)
	fs := &faultyFilesystem{}
	s, got, err := openOnFilesystem(dir, fs)
	must.NoError(t, err)
	must.NoError(t, s.RenameError())
	must.Eq(t, []string{"sync file", "rename", "sync directory"}, fs.steps)
	must.Eq(t, filepath.Join(dir, FileName), s.path) // later errors contain this path
	must.Eq(t, want, got)
	must.Eq(t, []string{FileName}, listFileNames(t, dir))
	later := replication.Write{ClusterID: 5, Term: 2, Commit: 2, FirstIndex: 3, Entries: []replication.Entry{newEntry(3, 2, "b")}}
	must.NoError(t, s.Write([]replication.LogWrite{{Write: later}}))
	want.Apply(later)
	must.NoError(t, s.Close())
	requireState(t, dir, want)
}

// A crash before or after any step of the rename loses no data, even if a power loss undoes a rename whose directory was not synced. The next
// Open reads the state from the file that is left, under either name, and completes the rename.
func TestCrashDuringRenameLosesNothing(t *testing.T) {
	crashPoints := 0
	for crashAt := 1; ; crashAt++ {
		for _, renameIsUndone := range []bool{false, true} {
			dir, want := newDirWithFormerName(t)
			fs := &faultyFilesystem{crashAt: crashAt}
			if !fs.openAndCrash(t, dir) {
				must.Eq(t, 2*3, crashPoints)
				return
			}
			crashPoints++
			if renameIsUndone && slices.Contains(listFileNames(t, dir), FileName) {
				must.NoError(t, os.Rename(filepath.Join(dir, FileName), filepath.Join(dir, formerFileName)))
			}
			must.SliceLen(t, 1, listFileNames(t, dir))
			requireState(t, dir, want)
		}
	}
}

// If the sync of the directory fails, a later power loss may undo the rename. The writes after the rename are kept, because both names refer
// to the same file.
func TestUndoneRenameKeepsLaterWrites(t *testing.T) {
	dir, want := newDirWithFormerName(t)
	s, _, err := openOnFilesystem(dir, &faultyFilesystem{failures: map[string]error{"sync directory": unix.EIO}})
	must.NoError(t, err)
	must.ErrorIs(t, s.RenameError(), unix.EIO)
	later := replication.Write{ClusterID: 5, Term: 2, Commit: 2, FirstIndex: 3, Entries: []replication.Entry{newEntry(3, 2, "b")}}
	must.NoError(t, s.Write([]replication.LogWrite{{Write: later}}))
	want.Apply(later)
	must.NoError(t, s.Close())
	must.NoError(t, os.Rename(filepath.Join(dir, FileName), filepath.Join(dir, formerFileName)))
	requireState(t, dir, want)
}

// If the file cannot be renamed, for example on a full disk, the store uses the file under the former name, so that the node's replicas still
// vote and acknowledge entries. The next Open tries the rename again.
func TestFailedRenameKeepsFormerName(t *testing.T) {
	for _, step := range []string{"sync file", "rename"} {
		dir, want := newDirWithFormerName(t)
		s, got, err := openOnFilesystem(dir, &faultyFilesystem{failures: map[string]error{step: unix.ENOSPC}})
		must.NoError(t, err)
		must.ErrorIs(t, s.RenameError(), unix.ENOSPC)
		must.StrContains(t, s.RenameError().Error(), filepath.Join(dir, formerFileName))
		must.Eq(t, want, got)
		must.Eq(t, []string{formerFileName}, listFileNames(t, dir))
		later := replication.Write{ClusterID: 5, Term: 2, Commit: 2, FirstIndex: 3, Entries: []replication.Entry{newEntry(3, 2, "b")}}
		must.NoError(t, s.Write([]replication.LogWrite{{Write: later}}))
		want.Apply(later)
		must.NoError(t, s.Close())
		requireState(t, dir, want)
	}
}

// While another process holds the file under its former name, such as an earlier version that still runs, Open fails and does not change
// the file or its name.
func TestFormerNameKeptWhileAnotherProcessHoldsFile(t *testing.T) {
	dir, want := newDirWithFormerName(t)
	other := &Store{dir: dir, path: filepath.Join(dir, formerFileName), filesystem: osFilesystem{}, memberID: want.ID}
	must.NoError(t, other.openForWriting(false))
	_, _, err := Open(dir)
	var fileErr *FileError
	must.True(t, errors.As(err, &fileErr), must.Sprint(err))
	must.Eq(t, []string{formerFileName}, listFileNames(t, dir))
	must.NoError(t, other.Close())
	requireState(t, dir, want)
}

// If one of two files holds no state, Open ignores the empty file and uses the other, whichever names the two have. No other node knows the
// member ID of an empty file.
func TestEmptyFileIsIgnoredBesideState(t *testing.T) {
	for _, empty := range []string{FileName, formerFileName} {
		for _, size := range []string{"no bytes", "no bucket"} {
			dir, want := newDirWithFormerName(t)
			if empty == formerFileName {
				must.NoError(t, os.Rename(filepath.Join(dir, formerFileName), filepath.Join(dir, FileName)))
			}
			writeEmptyFile(t, filepath.Join(dir, empty), size == "no bucket")
			s, got, err := Open(dir)
			must.NoError(t, err)
			must.NoError(t, s.RenameError())
			must.Eq(t, want, got, must.Sprint(empty, " is an empty file with ", size))
			must.NoError(t, s.Close())
			must.FileExists(t, filepath.Join(dir, FileName))
		}
	}
}

// writeEmptyFile writes the file that a process leaves if the process ends before its first write. If withPages is true, the file has the pages
// of an empty bbolt file. Otherwise it has no bytes.
func writeEmptyFile(t *testing.T, path string, withPages bool) {
	t.Helper()
	must.NoError(t, os.WriteFile(path, nil, fileMode))
	if withPages {
		db, err := bbolt.Open(path, fileMode, nil)
		must.NoError(t, err)
		must.NoError(t, db.Close())
	}
}

// Open accepts a directory in which both names are links to one file, or in which two files have the same bytes.
func TestSameFileUnderBothNamesIsUsed(t *testing.T) {
	for _, linked := range []bool{true, false} {
		dir, want := newDirWithFormerName(t)
		current, former := filepath.Join(dir, FileName), filepath.Join(dir, formerFileName)
		if linked {
			must.NoError(t, os.Link(former, current))
		} else {
			content, err := os.ReadFile(former)
			must.NoError(t, err)
			must.NoError(t, os.WriteFile(current, content, fileMode))
		}
		requireState(t, dir, want)
	}
}

// Open returns a ConflictError and changes no file if both files hold a state or one of them cannot be read. If Open chose the older file,
// votes and acknowledged entries would be lost. After an operator has removed one file, Open uses the other file.
func TestOpenRejectsTwoStates(t *testing.T) {
	for name, makeCurrent := range map[string]func(t *testing.T, dir string, id replication.MemberID){
		"file that an earlier version created with a new member ID": func(t *testing.T, dir string, _ replication.MemberID) {
			s, kept, err := Open(dir)
			must.NoError(t, err)
			must.NoError(t, s.Write([]replication.LogWrite{{Write: newFoundingWrite(kept.ID)}}))
			must.NoError(t, s.Close())
		},
		"file with the same member ID and other writes": func(t *testing.T, dir string, id replication.MemberID) {
			s := &Store{dir: dir, path: filepath.Join(dir, FileName), filesystem: osFilesystem{}, memberID: id}
			must.NoError(t, s.openForWriting(true))
			must.NoError(t, s.Write([]replication.LogWrite{{Write: newFoundingWrite(id)}}))
			must.NoError(t, s.Close())
		},
		"corrupt file": func(t *testing.T, dir string, _ replication.MemberID) {
			must.NoError(t, os.WriteFile(filepath.Join(dir, FileName), make([]byte, 5000), fileMode))
		},
	} {
		dir, want := newDirWithFormerName(t)
		current, former := filepath.Join(dir, FileName), filepath.Join(dir, formerFileName)
		formerAside := filepath.Join(t.TempDir(), "aside")
		must.NoError(t, os.Rename(former, formerAside))
		makeCurrent(t, dir, want.ID)
		must.NoError(t, os.Rename(formerAside, former))
		before := readFiles(t, current, former)

		_, _, err := Open(dir)
		var conflict *ConflictError
		must.True(t, errors.As(err, &conflict), must.Sprint(name, ": ", err))
		must.Eq(t, want.ID, conflict.Former.ID)
		must.Eq(t, want.Term, conflict.Former.Term)
		must.Eq(t, want.Commit, conflict.Former.Commit)
		must.StrContains(t, err.Error(), current)
		must.StrContains(t, err.Error(), fmt.Sprintf("%s (member ID %x, term 1, commit index 1)", former, uint64(want.ID)))
		must.Eq(t, before, readFiles(t, current, former))
		must.NoError(t, os.Remove(current))
		requireState(t, dir, want)
	}
}

// If Open cannot remove the former name of a file with both names, both names stay. The next Open recognizes both names as the same file.
func TestFailedRemovalKeepsFormerName(t *testing.T) {
	dir, want := newDirWithFormerName(t)
	must.NoError(t, os.Link(filepath.Join(dir, formerFileName), filepath.Join(dir, FileName)))
	store, got, err := openOnFilesystem(dir, &faultyFilesystem{failures: map[string]error{"remove": unix.ENOSPC}})
	must.NoError(t, err)
	must.ErrorIs(t, store.RenameError(), unix.ENOSPC)
	must.Eq(t, want, got)
	must.NoError(t, store.Close())
	requireState(t, dir, want)
}

// readFiles returns the contents of the files at the given paths, in the same order.
func readFiles(t *testing.T, paths ...string) (contents [][]byte) {
	t.Helper()
	for _, path := range paths {
		b, err := os.ReadFile(path)
		must.NoError(t, err)
		contents = append(contents, b)
	}
	return contents
}

// Wipe removes a corrupt file under the present name and under the former name.
func TestWipeRemovesBothNames(t *testing.T) {
	for _, name := range []string{FileName, formerFileName} {
		dir := t.TempDir()
		must.NoError(t, os.WriteFile(filepath.Join(dir, name), make([]byte, 5000), fileMode))
		_, _, err := Open(dir)
		var corrupt *CorruptError
		must.True(t, errors.As(err, &corrupt), must.Sprint(err))
		must.Eq(t, filepath.Join(dir, name), corrupt.Path)
		must.NoError(t, Wipe(dir))
		must.SliceEmpty(t, listFileNames(t, dir))
	}
}
