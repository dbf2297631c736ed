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

// formerFolder is a folder with a file that has a state and the former name.
func formerFolder(t *testing.T) (dir string, want replication.PersistentState) {
	t.Helper()
	dir = t.TempDir()
	s, want, err := Open(dir)
	must.NoError(t, err)
	w := foundingWrite(want.ID)
	w.Entries = []replication.Entry{entry(2, 1, "a")}
	must.NoError(t, s.Write([]replication.LogWrite{{Write: w}}))
	want.Apply(w)
	must.NoError(t, s.Close())
	must.NoError(t, os.Rename(filepath.Join(dir, FileName), filepath.Join(dir, formerFileName)))
	return dir, want
}

// foundingWrite is the first one of a cluster with one member.
func foundingWrite(id replication.MemberID) replication.Write {
	return replication.Write{ClusterID: 5, Term: 1, Vote: id, Commit: 1, FirstIndex: 2,
		Snapshot: &replication.Snapshot{Index: 1, Term: 1, Members: []replication.Member{{ID: id, Addr: "a"}}}}
}

// names are those of the files in a folder.
func names(t *testing.T, dir string) (all []string) {
	t.Helper()
	files, err := os.ReadDir(dir)
	must.NoError(t, err)
	for _, f := range files {
		all = append(all, f.Name())
	}
	return all
}

// requireState opens a folder's file, which must hold a state and have the present name alone.
func requireState(t *testing.T, dir string, want replication.PersistentState) {
	t.Helper()
	s, got, err := Open(dir)
	must.NoError(t, err)
	must.NoError(t, s.RenameError())
	must.Eq(t, want, got)
	must.Eq(t, []string{FileName}, names(t, dir))
	must.NoError(t, s.Close())
}

// A file of an earlier version is used, renamed and written under its present name; its folder is synced last.
func TestFormerNameIsReplaced(t *testing.T) {
	dir, want := formerFolder(t)
	fs := &faultyFilesystem{}
	s, got, err := open(dir, fs)
	must.NoError(t, err)
	must.NoError(t, s.RenameError())
	must.Eq(t, []string{"sync file", "rename", "sync folder"}, fs.steps)
	must.Eq(t, filepath.Join(dir, FileName), s.path) // what errors name from now on
	must.Eq(t, want, got)
	must.Eq(t, []string{FileName}, names(t, dir))
	later := replication.Write{ClusterID: 5, Term: 2, Commit: 2, FirstIndex: 3, Entries: []replication.Entry{entry(3, 2, "b")}}
	must.NoError(t, s.Write([]replication.LogWrite{{Write: later}}))
	want.Apply(later)
	must.NoError(t, s.Close())
	requireState(t, dir, want)
}

// A crash before or after each step of the rename loses nothing, whether or not a loss of power takes a rename back whose folder was not
// synced. The state is read under whichever name is left, and the rename is made good.
func TestCrashDuringRename(t *testing.T) {
	points := 0
	for crashAt := 1; ; crashAt++ {
		for _, renameIsLost := range []bool{false, true} {
			dir, want := formerFolder(t)
			fs := &faultyFilesystem{crashAt: crashAt}
			if !fs.openAndCrash(t, dir) {
				must.Eq(t, 2*3, points)
				return
			}
			points++
			if renameIsLost && slices.Contains(names(t, dir), FileName) {
				must.NoError(t, os.Rename(filepath.Join(dir, FileName), filepath.Join(dir, formerFileName)))
			}
			must.SliceLen(t, 1, names(t, dir))
			requireState(t, dir, want)
		}
	}
}

// A power loss after the folder's sync failed may take the rename back, with all that was written since: it is one file.
func TestRenameTakenBackKeepsLaterWrites(t *testing.T) {
	dir, want := formerFolder(t)
	s, _, err := open(dir, &faultyFilesystem{fail: map[string]error{"sync folder": unix.EIO}})
	must.NoError(t, err)
	must.ErrorIs(t, s.RenameError(), unix.EIO)
	later := replication.Write{ClusterID: 5, Term: 2, Commit: 2, FirstIndex: 3, Entries: []replication.Entry{entry(3, 2, "b")}}
	must.NoError(t, s.Write([]replication.LogWrite{{Write: later}}))
	want.Apply(later)
	must.NoError(t, s.Close())
	must.NoError(t, os.Rename(filepath.Join(dir, FileName), filepath.Join(dir, formerFileName)))
	requireState(t, dir, want)
}

// A disk that refuses the rename, as a full one does, is used under the former name: it votes and acknowledges all the same. The next
// start that may rename does.
func TestRefusedRename(t *testing.T) {
	for _, step := range []string{"sync file", "rename"} {
		dir, want := formerFolder(t)
		s, got, err := open(dir, &faultyFilesystem{fail: map[string]error{step: unix.ENOSPC}})
		must.NoError(t, err)
		must.ErrorIs(t, s.RenameError(), unix.ENOSPC)
		must.StrContains(t, s.RenameError().Error(), filepath.Join(dir, formerFileName))
		must.Eq(t, want, got)
		must.Eq(t, []string{formerFileName}, names(t, dir))
		later := replication.Write{ClusterID: 5, Term: 2, Commit: 2, FirstIndex: 3, Entries: []replication.Entry{entry(3, 2, "b")}}
		must.NoError(t, s.Write([]replication.LogWrite{{Write: later}}))
		want.Apply(later)
		must.NoError(t, s.Close())
		requireState(t, dir, want)
	}
}

// Another process that uses the file under its former name, as an earlier version that still runs, keeps it and its name.
func TestFormerNameOfAnotherProcess(t *testing.T) {
	dir, want := formerFolder(t)
	other := &Store{dir: dir, path: filepath.Join(dir, formerFileName), filesystem: osFilesystem{}, memberID: want.ID}
	must.NoError(t, other.openForWriting(false))
	_, _, err := Open(dir)
	var wrong *FileError
	must.True(t, errors.As(err, &wrong), must.Sprint(err))
	must.Eq(t, []string{formerFileName}, names(t, dir))
	must.NoError(t, other.Close())
	requireState(t, dir, want)
}

// Of two files one that holds no state does not count, whichever it is: nobody was told the member ID of an empty one.
func TestEmptyFileBesideAnother(t *testing.T) {
	for _, empty := range []string{FileName, formerFileName} {
		for _, size := range []string{"no bytes", "no bucket"} {
			dir, want := formerFolder(t)
			if empty == formerFileName {
				must.NoError(t, os.Rename(filepath.Join(dir, formerFileName), filepath.Join(dir, FileName)))
			}
			writeEmptyFile(t, filepath.Join(dir, empty), size == "no bucket")
			s, got, err := Open(dir)
			must.NoError(t, err)
			must.NoError(t, s.RenameError())
			must.Eq(t, want, got, must.Sprint(empty, " with ", size))
			must.NoError(t, s.Close())
			must.FileExists(t, filepath.Join(dir, FileName))
		}
	}
}

// writeEmptyFile leaves a file as a process does that ended before its first write.
func writeEmptyFile(t *testing.T, path string, paged bool) {
	t.Helper()
	must.NoError(t, os.WriteFile(path, nil, fileMode))
	if paged {
		db, err := bbolt.Open(path, fileMode, nil)
		must.NoError(t, err)
		must.NoError(t, db.Close())
	}
}

// One file under both names, and two with the same bytes, are one.
func TestFileUnderBothNames(t *testing.T) {
	for _, linked := range []bool{true, false} {
		dir, want := formerFolder(t)
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

// Two files that both hold a state, or one of which can't be read, are left alone: the older one has forgotten votes and entries. Once an
// operator has removed one, the other one is used.
func TestTwoStatesAreRefused(t *testing.T) {
	for what, makeCurrent := range map[string]func(t *testing.T, dir string, id replication.MemberID){
		"another disk's, made by an earlier version": func(t *testing.T, dir string, _ replication.MemberID) {
			s, kept, err := Open(dir)
			must.NoError(t, err)
			must.NoError(t, s.Write([]replication.LogWrite{{Write: foundingWrite(kept.ID)}}))
			must.NoError(t, s.Close())
		},
		"a copy that went on": func(t *testing.T, dir string, id replication.MemberID) {
			s := &Store{dir: dir, path: filepath.Join(dir, FileName), filesystem: osFilesystem{}, memberID: id}
			must.NoError(t, s.openForWriting(true))
			must.NoError(t, s.Write([]replication.LogWrite{{Write: foundingWrite(id)}}))
			must.NoError(t, s.Close())
		},
		"corrupt": func(t *testing.T, dir string, _ replication.MemberID) {
			must.NoError(t, os.WriteFile(filepath.Join(dir, FileName), make([]byte, 5000), fileMode))
		},
	} {
		dir, want := formerFolder(t)
		current, former := filepath.Join(dir, FileName), filepath.Join(dir, formerFileName)
		aside := filepath.Join(t.TempDir(), "aside")
		must.NoError(t, os.Rename(former, aside))
		makeCurrent(t, dir, want.ID)
		must.NoError(t, os.Rename(aside, former))
		before := readAll(t, current, former)

		_, _, err := Open(dir)
		var conflict *ConflictError
		must.True(t, errors.As(err, &conflict), must.Sprint(what, ": ", err))
		must.Eq(t, want.ID, conflict.Former.ID)
		must.Eq(t, want.Term, conflict.Former.Term)
		must.Eq(t, want.Commit, conflict.Former.Commit)
		must.StrContains(t, err.Error(), current)
		must.StrContains(t, err.Error(), fmt.Sprintf("%s (member %x, term 1, commit index 1)", former, uint64(want.ID)))
		must.Eq(t, before, readAll(t, current, former))
		must.NoError(t, os.Remove(current))
		requireState(t, dir, want)
	}
}

// A former name that can't be removed stays, and is the same file at the next start.
func TestFormerNameThatCanNotBeRemoved(t *testing.T) {
	dir, want := formerFolder(t)
	must.NoError(t, os.Link(filepath.Join(dir, formerFileName), filepath.Join(dir, FileName)))
	store, got, err := open(dir, &faultyFilesystem{fail: map[string]error{"remove": unix.ENOSPC}})
	must.NoError(t, err)
	must.ErrorIs(t, store.RenameError(), unix.ENOSPC)
	must.Eq(t, want, got)
	must.NoError(t, store.Close())
	requireState(t, dir, want)
}

func readAll(t *testing.T, paths ...string) (contents [][]byte) {
	t.Helper()
	for _, path := range paths {
		b, err := os.ReadFile(path)
		must.NoError(t, err)
		contents = append(contents, b)
	}
	return contents
}

// A corrupt file is wiped under whichever name it has.
func TestWipeRemovesBothNames(t *testing.T) {
	for _, name := range []string{FileName, formerFileName} {
		dir := t.TempDir()
		must.NoError(t, os.WriteFile(filepath.Join(dir, name), make([]byte, 5000), fileMode))
		_, _, err := Open(dir)
		var corrupt *CorruptError
		must.True(t, errors.As(err, &corrupt), must.Sprint(err))
		must.Eq(t, filepath.Join(dir, name), corrupt.Path)
		must.NoError(t, Wipe(dir))
		must.SliceEmpty(t, names(t, dir))
	}
}
