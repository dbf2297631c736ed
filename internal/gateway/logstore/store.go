package logstore

import (
	"bytes"
	"crypto/rand"
	"encoding/binary"

	"github.com/go-faster/errors"
	"go.etcd.io/bbolt"

	"clovergap/internal/gateway/registry"
	"clovergap/internal/gateway/replication"
)

// memberIDShift reduces a random 64-bit number to the 40 bits of a member ID. 40 bits are enough to make the random IDs unique. A short ID
// saves bytes, because each message contains the ID.
const memberIDShift = 24

// Store is an open file. Only one goroutine may use it at a time.
type Store struct {
	dir          string
	path         string
	filesystem   filesystem
	memberID     replication.MemberID
	file         *bbolt.DB // nil until the file exists: see HasFile
	groupLogs    map[replication.LogID]replication.PersistentState
	departures   []registry.Departure
	hasBothNames bool  // Open found one file under both its present and its former name
	renameErr    error // see RenameError
}

// Open reads the whole file in a directory, opens the file for writing and returns the configuration's log. If there is no state, Open creates
// a file with a new member ID and syncs the file and its directory entry. If the disk is too full to create the file, the store has only a
// member ID (see HasFile), and the first Write that finds enough space creates the file. The store confirms no write before the file exists,
// so a process that ends earlier loses only the member ID.
//
// Open returns a CorruptError if the content of the file cannot be read. The caller must then treat the disk as lost: see Wipe. After any
// other error, such as a FileError or a ConflictError, Open has changed nothing.
func Open(dir string) (*Store, replication.PersistentState, error) {
	return openOnFilesystem(dir, osFilesystem{})
}

// openOnFilesystem does the same as Open, with the file operations of fs.
func openOnFilesystem(dir string, fs filesystem) (*Store, replication.PersistentState, error) {
	s := &Store{dir: dir, filesystem: fs}
	found, err := s.locateAndReadFile()
	if err != nil {
		return nil, replication.PersistentState{}, err
	}
	create := found.isEmpty()
	if create {
		if found.configuration.ID, err = newMemberID(); err != nil {
			return nil, replication.PersistentState{}, err
		}
	}
	s.memberID, s.groupLogs, s.departures = found.configuration.ID, found.groups, found.departures
	if err := s.openForWriting(create); err != nil {
		if !create || !isDiskFull(err) {
			return nil, replication.PersistentState{}, err
		}
		return s, found.configuration, nil
	}
	s.renameErr = s.replaceFormerName()
	return s, found.configuration, nil
}

// newMemberID returns a random member ID for an empty disk. The ID is never 0.
func newMemberID() (id replication.MemberID, err error) {
	for id == 0 {
		var random [8]byte
		if _, err = rand.Read(random[:]); err != nil {
			return 0, errors.Wrap(err, "generate a random member ID")
		}
		id = replication.MemberID(binary.BigEndian.Uint64(random[:]) >> memberIDShift)
	}
	return id, nil
}

// HasFile reports whether the store has a file. HasFile returns false if Open found no file and the disk was too full to create one.
// HasFile returns true as soon as a later Write or SaveSoftState has created the file.
func (s *Store) HasFile() bool { return s.file != nil }

// RenameError returns the error that occurred when Open replaced the former name of the file. RenameError returns nil if the file has only
// its present name and the rename is durable. The store uses the file in either case, and the next Open tries to rename the file again.
func (s *Store) RenameError() error { return s.renameErr }

// GroupLogs returns the logs, other than the configuration's, that the file held when it was opened.
func (s *Store) GroupLogs() map[replication.LogID]replication.PersistentState { return s.groupLogs }

// ensureFileExists creates the file of a store that has no file yet. ensureFileExists first removes the incomplete file of an earlier
// attempt. The removal is safe, because no write to an incomplete file was ever confirmed.
func (s *Store) ensureFileExists() error {
	if s.file != nil {
		return nil
	}
	if err := removeFiles(s.filesystem, s.dir, FileName); err != nil {
		return err
	}
	return s.openForWriting(true)
}

// Write stores writes to one or several logs and departures of backends in one transaction. When Write returns nil, all of them are synced.
// When Write returns an error, none of them is on disk, and the caller may retry them.
func (s *Store) Write(writes []replication.LogWrite, departures ...registry.Departure) error {
	if len(writes) == 0 && len(departures) == 0 {
		return nil
	}
	if err := s.ensureFileExists(); err != nil {
		return err
	}
	heads := map[replication.LogID]storedHead{}
	for i := range writes {
		heads[writes[i].Log] = newStoredHead(s.memberID, &writes[i].Write)
	}
	return wrapFileError("write", s.path, runRecoveringPanics(func() error {
		if err := s.commitWrites(writes, heads, departures); err != nil {
			return err
		}
		return s.verifyHeads(heads, departures)
	}))
}

// commitWrites runs the transaction of a Write. commitWrites stores the snapshots and entries in the order of the writes, then one head for
// each log, and then the departures.
func (s *Store) commitWrites(writes []replication.LogWrite, heads map[replication.LogID]storedHead, departures []registry.Departure) error {
	return s.file.Update(func(tx *bbolt.Tx) error {
		for i := range writes {
			log, err := createBuckets(tx, writes[i].Log)
			if err != nil {
				return err
			}
			if err := log.writeSnapshotAndEntries(&writes[i].Write); err != nil {
				return err
			}
		}
		for id, h := range heads {
			if err := lookupBuckets(tx, id).writeHead(h); err != nil {
				return err
			}
		}
		return putDepartures(tx, departures)
	})
}

// verifyHeads reads the heads and departures back that commitWrites wrote. bbolt writes to the file but reads the file through a memory mapping. If the disk
// lost the write, the mapping shows other values, and verifyHeads returns ErrReadBack.
func (s *Store) verifyHeads(heads map[replication.LogID]storedHead, departures []registry.Departure) error {
	return s.file.View(func(tx *bbolt.Tx) error {
		for id, want := range heads {
			log := lookupBuckets(tx, id)
			if got, err := log.readHead(); err != nil || got != want {
				return newLogError("read back head", id, log.names.head, ErrReadBack)
			}
		}
		return verifyDepartures(tx, departures)
	})
}

// SaveSoftState stores the soft state (see the package comment). SaveSoftState replaces the previous soft state.
func (s *Store) SaveSoftState(value []byte) error {
	if err := s.ensureFileExists(); err != nil {
		return err
	}
	return wrapFileError("save soft state to", s.path, runRecoveringPanics(func() error {
		return s.file.Update(func(tx *bbolt.Tx) error {
			return lookupBuckets(tx, replication.ConfigurationLog).head.Put(softStateKey, value)
		})
	}))
}

// SoftState returns the value of the last SaveSoftState. SoftState returns nil if no value was saved or the value cannot be read.
func (s *Store) SoftState() (value []byte) {
	if s.file == nil {
		return nil
	}
	if err := runRecoveringPanics(func() error {
		return s.file.View(func(tx *bbolt.Tx) error {
			value = bytes.Clone(lookupBuckets(tx, replication.ConfigurationLog).head.Get(softStateKey))
			return nil
		})
	}); err != nil {
		return nil
	}
	return value
}

// Close closes the file. Close does nothing if the store has no file.
func (s *Store) Close() error {
	if s.file == nil {
		return nil
	}
	return wrapFileError("close", s.path, s.file.Close())
}
