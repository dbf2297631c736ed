package logstore

import (
	"bytes"
	"os"
	"path/filepath"
	"runtime/debug"
	"time"

	"github.com/go-faster/errors"
	"go.etcd.io/bbolt"
	berrors "go.etcd.io/bbolt/errors"
	"golang.org/x/sys/unix"

	"clovergap/internal/gateway/replication"
)

// FileName is the file's in the folder that Open is given.
//
// Earlier versions called it formerFileName. Open uses a file that it finds under that name and renames it, once it has been read whole
// and is locked: the file is synced, renamed, and the folder synced. A crash between any two of these leaves one file under one of the
// names, with all that was ever acknowledged. Where a step fails, as on a full disk, the store goes on with the name that the file has,
// and the next Open tries again; RenameError tells.
//
// Two files, of both names, come about where an earlier version ran in the folder in between. One that holds no state does not count;
// one file under both names, or two with the same bytes, count as one. Otherwise Open refuses with a ConflictError.
const FileName = "replicas.db"

// formerFileName is what versions up to that of 2 December 2026 (dd5a45a) call the file.
const formerFileName = "promptbook.db"

const (
	fileMode    = 0o600
	lockTimeout = time.Second // for another process's lock
	allocBytes  = 64 << 10    // by which the file grows: bbolt's own 16 MiB are much for a disk of 64 MB
	initialMmap = 1 << 20     // bytes that are mapped from the start, so that a small file is not mapped anew as it grows
)

// filesystem is what a Store asks of the operating system beside bbolt's reads and writes. Tests put faults into it.
type filesystem interface {
	OpenFile(name string, flag int, mode os.FileMode) (*os.File, error)
	// Sync makes a file's content, or a folder's names, durable.
	Sync(name string) error
	Rename(from, to string) error
	Remove(name string) error
}

// osFilesystem is the operating system's.
type osFilesystem struct{}

// OpenFile is os.OpenFile.
func (osFilesystem) OpenFile(name string, flag int, mode os.FileMode) (*os.File, error) {
	return os.OpenFile(name, flag, mode)
}

// Sync opens a file or a folder and syncs it.
func (osFilesystem) Sync(name string) error {
	f, err := os.Open(name)
	if err != nil {
		return err
	}
	return errors.Join(f.Sync(), f.Close())
}

// Rename is os.Rename.
func (osFilesystem) Rename(from, to string) error { return os.Rename(from, to) }

// Remove is os.Remove.
func (osFilesystem) Remove(name string) error { return os.Remove(name) }

// contents is what a file holds.
type contents struct {
	configuration replication.PersistentState
	groups        map[replication.LogID]replication.PersistentState
}

// empty tells whether there is no state: no file, or one whose process ended before its first write. Nobody was told its member ID.
func (c *contents) empty() bool { return c.configuration.ID == 0 }

// find reads the folder's file, whichever of its names it has, and sets the store's path: that of the present name where there is no
// state.
func (s *Store) find() (contents, error) {
	current, former := filepath.Join(s.dir, FileName), filepath.Join(s.dir, formerFileName)
	s.path = current
	if s.twoNames = sameFile(current, former); s.twoNames {
		return readFile(current)
	}
	ofCurrent, currentErr := readFile(current)
	ofFormer, formerErr := readFile(former)
	for _, err := range []error{currentErr, formerErr} {
		if err != nil && !errors.As(err, new(*CorruptError)) {
			return contents{}, err
		}
	}
	switch {
	case formerErr == nil && ofFormer.empty():
		return ofCurrent, currentErr
	case currentErr == nil && ofCurrent.empty():
		s.path = former
		return ofFormer, formerErr
	case sameBytes(current, former):
		s.path = former // it takes the other one's place
		return ofFormer, formerErr
	}
	return contents{}, &ConflictError{Current: summarize(current, &ofCurrent, currentErr),
		Former: summarize(former, &ofFormer, formerErr)}
}

func summarize(path string, c *contents, err error) FileSummary {
	return FileSummary{Path: path, ID: c.configuration.ID, Term: c.configuration.Term, Commit: c.configuration.Commit, Err: err}
}

// sameFile tells whether two names are of one file, as a filesystem may leave them that lost power during a rename.
func sameFile(a, b string) bool {
	infoA, errA := os.Stat(a)
	infoB, errB := os.Stat(b)
	return errA == nil && errB == nil && os.SameFile(infoA, infoB)
}

// sameBytes tells whether two files hold the same.
func sameBytes(a, b string) bool {
	bytesA, errA := os.ReadFile(a)
	bytesB, errB := os.ReadFile(b)
	return errA == nil && errB == nil && bytes.Equal(bytesA, bytesB)
}

// readFile reads all that a file holds; one that is not there, or has no bytes, holds nothing. The error is a CorruptError where the
// content is to blame.
func readFile(path string) (contents, error) {
	info, err := os.Stat(path)
	if errors.Is(err, os.ErrNotExist) {
		return contents{}, nil
	}
	if err != nil {
		return contents{}, fileError("look for", path, err)
	}
	if info.Size() == 0 { // a process ended before its first write
		return contents{}, nil
	}
	c, err := openAndRead(path)
	if errors.Is(err, os.ErrPermission) || errors.Is(err, berrors.ErrTimeout) {
		return contents{}, fileError("open", path, err)
	}
	if err != nil {
		return contents{}, &CorruptError{Path: path, Err: err}
	}
	return c, nil
}

// openAndRead opens a file for reading only, since opening one that is broken for writing can end the whole process, and reads it.
func openAndRead(path string) (contents, error) {
	var c contents
	var file *os.File
	options := &bbolt.Options{ReadOnly: true, Timeout: lockTimeout}
	options.OpenFile = func(name string, flag int, mode os.FileMode) (*os.File, error) {
		opened, err := os.OpenFile(name, flag, mode)
		file = opened
		return opened, err
	}
	err := recoverFault(func() error {
		db, err := bbolt.Open(path, fileMode, options)
		if err != nil {
			return err
		}
		c, err = readContents(db)
		return errors.Join(err, db.Close())
	})
	if err != nil && file != nil {
		// A panic leaves it open, mapped and locked; the lock would last as long as the mapping.
		_ = unix.Flock(int(file.Fd()), unix.LOCK_UN)
		file.Close()
	}
	return c, err
}

// readContents reads all logs.
func readContents(db *bbolt.DB) (c contents, err error) {
	return c, db.View(func(tx *bbolt.Tx) error {
		configuration := lookupBuckets(tx, replication.ConfigurationLog)
		if configuration.missing() {
			return nil
		}
		if c.configuration, err = configuration.readLog(0); err != nil {
			return err
		}
		c.groups = map[replication.LogID]replication.PersistentState{}
		for id := replication.ConfigurationLog + 1; id < maxLogs; id++ {
			group := lookupBuckets(tx, id)
			if group.missing() {
				continue
			}
			if c.groups[id], err = group.readLog(c.configuration.ID); err != nil {
				return err
			}
		}
		return nil
	})
}

// openForWriting opens the file, and makes it where there is no state. After an error none is open.
func (s *Store) openForWriting(create bool) error {
	err := recoverFault(func() (err error) {
		s.file, err = bbolt.Open(s.path, fileMode, &bbolt.Options{Timeout: lockTimeout, NoFreelistSync: true,
			FreelistType: bbolt.FreelistMapType, InitialMmapSize: initialMmap, NoStatistics: true, OpenFile: s.filesystem.OpenFile})
		if err != nil {
			return err
		}
		s.file.AllocSize = allocBytes
		if !create {
			return nil
		}
		return s.initialize()
	})
	if err != nil && s.file != nil {
		s.file.Close()
		s.file = nil
	}
	return fileError("open", s.path, err)
}

// initialize writes what a new file has, and makes its name last.
func (s *Store) initialize() error {
	if err := s.file.Update(func(tx *bbolt.Tx) error {
		configuration, err := createBuckets(tx, replication.ConfigurationLog)
		if err != nil {
			return err
		}
		return configuration.writeHead(storedHead{Me: s.memberID})
	}); err != nil {
		return err
	}
	return s.filesystem.Sync(s.dir)
}

// adoptName leaves the open file with its present name alone. It is locked meanwhile: no other process uses it under either.
func (s *Store) adoptName() error {
	current, former := filepath.Join(s.dir, FileName), filepath.Join(s.dir, formerFileName)
	switch {
	case s.path == former:
		if err := s.filesystem.Sync(former); err != nil {
			return fileError("sync", former, err)
		}
		if err := s.filesystem.Rename(former, current); err != nil {
			return fileError("rename", former, err)
		}
		// Without the sync of the folder a loss of power may bring the former name back: it is the same file, and found by it.
		s.path = current
	case s.twoNames:
		if err := s.filesystem.Remove(former); err != nil {
			return fileError("remove", former, err)
		}
	default:
		return nil
	}
	return fileError("sync", s.dir, s.filesystem.Sync(s.dir))
}

// Wipe removes the file for good, under either name: the disk counts as lost, and Open begins with a new member ID.
func Wipe(dir string) error {
	return wipe(osFilesystem{}, dir, FileName, formerFileName)
}

func wipe(fs filesystem, dir string, names ...string) error {
	for _, name := range names {
		path := filepath.Join(dir, name)
		if err := fs.Remove(path); err != nil && !errors.Is(err, os.ErrNotExist) {
			return fileError("remove", path, err)
		}
	}
	return fileError("sync", dir, fs.Sync(dir))
}

// recoverFault turns a panic, or a fault of a mapping, into an error.
func recoverFault(do func() error) (err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if r := recover(); r != nil {
			err = errors.Errorf("%v", r)
		}
	}()
	return do()
}
