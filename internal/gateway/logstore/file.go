package logstore

import (
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
