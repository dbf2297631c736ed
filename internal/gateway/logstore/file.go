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

	"clovergap/internal/gateway/registry"
	"clovergap/internal/gateway/replication"
)

const (
	fileMode         = 0o600
	lockTimeout      = time.Second // how long to wait for a file lock that another process holds
	allocBytes       = 64 << 10    // growth step of the file; bbolt's default of 16 MiB is too much for a disk of 64 MB
	initialMmapBytes = 1 << 20     // bytes mapped at the start, so that a small file is not remapped as it grows
)

// filesystem holds the file operations that a Store uses in addition to bbolt's reads and writes. Tests replace it to inject faults.
type filesystem interface {
	OpenFile(name string, flag int, mode os.FileMode) (*os.File, error)
	// Sync makes the content of a file, or the entries of a directory, durable.
	Sync(name string) error
	Rename(from, to string) error
	Remove(name string) error
}

// osFilesystem implements filesystem with the operating system's calls.
type osFilesystem struct{}

// OpenFile calls os.OpenFile.
func (osFilesystem) OpenFile(name string, flag int, mode os.FileMode) (*os.File, error) {
	return os.OpenFile(name, flag, mode)
}

// Sync opens a file or a directory and syncs it.
func (osFilesystem) Sync(name string) error {
	f, err := os.Open(name)
	if err != nil {
		return err
	}
	return errors.Join(f.Sync(), f.Close())
}

// Rename calls os.Rename.
func (osFilesystem) Rename(from, to string) error { return os.Rename(from, to) }

// Remove calls os.Remove.
func (osFilesystem) Remove(name string) error { return os.Remove(name) }

// contents is the decoded content of a file.
type contents struct {
	configuration replication.PersistentState
	groups        map[replication.LogID]replication.PersistentState
	departures    []registry.Departure
}

// isEmpty reports whether there is no state. The file is then missing, or the process that created it ended before the first write. No other
// node knows the member ID of an empty file.
func (c *contents) isEmpty() bool { return c.configuration.ID == 0 }

// readFile reads the content of a file. readFile returns empty contents for a file that does not exist or has no bytes. readFile returns a
// CorruptError if the content cannot be read, and a FileError if the file cannot be accessed or is locked.
func readFile(path string) (contents, error) {
	info, err := os.Stat(path)
	if errors.Is(err, os.ErrNotExist) {
		return contents{}, nil
	}
	if err != nil {
		return contents{}, wrapFileError("stat", path, err)
	}
	if info.Size() == 0 { // the process that created the file ended before its first write
		return contents{}, nil
	}
	c, err := openAndRead(path)
	if errors.Is(err, os.ErrPermission) || errors.Is(err, berrors.ErrTimeout) {
		return contents{}, wrapFileError("open", path, err)
	}
	if err != nil {
		return contents{}, &CorruptError{Path: path, Err: err}
	}
	return c, nil
}

// openAndRead opens a file read-only and reads all logs. Opening a corrupt file for writing can end the whole process, so Open first reads
// the file with openAndRead.
func openAndRead(path string) (contents, error) {
	var c contents
	var file *os.File
	options := &bbolt.Options{ReadOnly: true, Timeout: lockTimeout}
	options.OpenFile = func(name string, flag int, mode os.FileMode) (*os.File, error) {
		opened, err := os.OpenFile(name, flag, mode)
		file = opened
		return opened, err
	}
	err := runRecoveringPanics(func() error {
		db, err := bbolt.Open(path, fileMode, options)
		if err != nil {
			return err
		}
		c, err = readContents(db)
		return errors.Join(err, db.Close())
	})
	if err != nil && file != nil {
		// After a panic the file is still open, mapped and locked. Without an explicit unlock the lock would last as long as the mapping.
		_ = unix.Flock(int(file.Fd()), unix.LOCK_UN)
		file.Close()
	}
	return c, err
}

// readContents reads and validates all logs of a file. readContents returns empty contents for a file without buckets.
func readContents(db *bbolt.DB) (c contents, err error) {
	return c, db.View(func(tx *bbolt.Tx) error {
		configuration := lookupBuckets(tx, replication.ConfigurationLog)
		if configuration.areAllMissing() {
			return nil
		}
		if c.configuration, err = configuration.readLog(0); err != nil {
			return err
		}
		c.groups = map[replication.LogID]replication.PersistentState{}
		for id := replication.ConfigurationLog + 1; id < maxLogs; id++ {
			group := lookupBuckets(tx, id)
			if group.areAllMissing() {
				continue
			}
			if c.groups[id], err = group.readLog(c.configuration.ID); err != nil {
				return err
			}
		}
		c.departures, err = readDepartures(tx)
		return err
	})
}

// openForWriting opens the file for writing and sets s.file. If create is true, it also initializes the new file. After an error s.file is nil.
func (s *Store) openForWriting(create bool) error {
	err := runRecoveringPanics(func() (err error) {
		s.file, err = bbolt.Open(s.path, fileMode, &bbolt.Options{Timeout: lockTimeout, NoFreelistSync: true,
			FreelistType: bbolt.FreelistMapType, InitialMmapSize: initialMmapBytes, NoStatistics: true, OpenFile: s.filesystem.OpenFile})
		if err != nil {
			return err
		}
		s.file.AllocSize = allocBytes
		if !create {
			return nil
		}
		return s.writeInitialContent()
	})
	if err != nil && s.file != nil {
		s.file.Close()
		s.file = nil
	}
	return wrapFileError("open", s.path, err)
}

// writeInitialContent writes the initial content of a new file and syncs the directory, so that the file's directory entry is durable.
func (s *Store) writeInitialContent() error {
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

// Wipe removes the files with the present and the former name from a directory and syncs the directory. The disk then counts as lost, and the
// next Open generates a new member ID.
func Wipe(dir string) error {
	return removeFiles(osFilesystem{}, dir, FileName, formerFileName)
}

// removeFiles removes the named files from a directory and syncs the directory. removeFiles ignores files that do not exist.
func removeFiles(fs filesystem, dir string, names ...string) error {
	for _, name := range names {
		path := filepath.Join(dir, name)
		if err := fs.Remove(path); err != nil && !errors.Is(err, os.ErrNotExist) {
			return wrapFileError("remove", path, err)
		}
	}
	return wrapFileError("sync", dir, fs.Sync(dir))
}

// runRecoveringPanics runs do and returns the error of do. runRecoveringPanics returns an error too if do panics or causes a memory fault
// in a mapping.
func runRecoveringPanics(do func() error) (err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if r := recover(); r != nil {
			err = errors.Errorf("recovered from panic: %v", r)
		}
	}()
	return do()
}
