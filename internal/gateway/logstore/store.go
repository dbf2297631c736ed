package logstore

import (
	"bytes"
	"crypto/rand"
	"encoding/binary"

	"github.com/go-faster/errors"
	"go.etcd.io/bbolt"

	"clovergap/internal/gateway/replication"
)

// memberIDShift reduces a random 64-bit number to the 40 bits of a member ID. 40 bits are enough, and a short ID saves bytes because each
// message carries it.
const memberIDShift = 24

// Store is an open file. Only one goroutine may use it at a time.
type Store struct {
	dir          string
	path         string
	filesystem   filesystem
	memberID     replication.MemberID
	file         *bbolt.DB // nil until the file exists: see HasFile
	groupLogs    map[replication.LogID]replication.PersistentState
	hasBothNames bool  // the file was found under both of its names
	renameErr    error // see RenameError
}

// Open opens the file in a directory, reads all of it and returns the configuration's log. If there is no state, Open creates a file with a
// new member ID and syncs the file and its directory entry. If the disk is too full for that, the store only has a member ID (see HasFile),
// and the first Write that finds room creates the file. Until then the store confirms nothing under that ID, so a process that ends before
// loses only the ID.
//
// Open returns a CorruptError if the content of the file cannot be read. The caller must then treat the disk as lost: see Wipe. After any
// other error, such as a FileError or a ConflictError, Open has changed nothing.
func Open(dir string) (*Store, replication.PersistentState, error) {
	return openOnFilesystem(dir, osFilesystem{})
}

// openOnFilesystem implements Open on a given filesystem.
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
	s.memberID, s.groupLogs = found.configuration.ID, found.groups
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

// HasFile reports whether the file exists, no matter whether this process or an earlier one created it. It returns false if there was no
// file and the disk was too full to create one. It returns true once a Write or SaveSoftState has created the file.
func (s *Store) HasFile() bool { return s.file != nil }

// RenameError returns why the file may still have the name of earlier versions, or nil if the file permanently has its present name. The
// store uses the file in either case, and the next Open tries to rename it again.
func (s *Store) RenameError() error { return s.renameErr }

// GroupLogs returns the logs, other than the configuration's, that the file held when it was opened.
func (s *Store) GroupLogs() map[replication.LogID]replication.PersistentState { return s.groupLogs }

// ensureCreated creates the file of a store that has none yet. It first removes what an earlier attempt left, which is safe because nothing
// in it was ever confirmed.
func (s *Store) ensureCreated() error {
	if s.file != nil {
		return nil
	}
	if err := removeFiles(s.filesystem, s.dir, FileName); err != nil {
		return err
	}
	return s.openForWriting(true)
}

// Write stores writes in one transaction. When it returns nil, all of them are synced. When it returns an error, none of them is on disk,
// and the caller may retry them.
func (s *Store) Write(writes []replication.LogWrite) error {
	if len(writes) == 0 {
		return nil
	}
	if err := s.ensureCreated(); err != nil {
		return err
	}
	heads := map[replication.LogID]storedHead{}
	for i := range writes {
		heads[writes[i].Log] = newStoredHead(s.memberID, &writes[i].Write)
	}
	return wrapFileError("write", s.path, runRecoveringPanics(func() error {
		if err := s.commitWrites(writes, heads); err != nil {
			return err
		}
		return s.verifyHeads(heads)
	}))
}

// commitWrites runs the transaction of a Write. It stores the snapshots and entries in order and then one head for each log.
func (s *Store) commitWrites(writes []replication.LogWrite, heads map[replication.LogID]storedHead) error {
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
		return nil
	})
}

// verifyHeads reads back the heads that commit wrote. bbolt writes to the file and reads it through a memory mapping. The two differ on a disk
// that lost the write.
func (s *Store) verifyHeads(heads map[replication.LogID]storedHead) error {
	return s.file.View(func(tx *bbolt.Tx) error {
		for id, want := range heads {
			log := lookupBuckets(tx, id)
			if got, err := log.readHead(); err != nil || got != want {
				return newLogError("read back head", id, log.names.head, ErrReadBack)
			}
		}
		return nil
	})
}

// SaveSoftState stores a value beside the logs that is useful after a start but may be out of date or lost. It replaces the previous
// value.
func (s *Store) SaveSoftState(value []byte) error {
	if err := s.ensureCreated(); err != nil {
		return err
	}
	return wrapFileError("save soft state to", s.path, runRecoveringPanics(func() error {
		return s.file.Update(func(tx *bbolt.Tx) error {
			return lookupBuckets(tx, replication.ConfigurationLog).head.Put(softStateKey, value)
		})
	}))
}

// SoftState returns the value that was saved last. It returns nil if there is none or it cannot be read.
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

// Close closes the file. It does nothing if the store has no file.
func (s *Store) Close() error {
	if s.file == nil {
		return nil
	}
	return wrapFileError("close", s.path, s.file.Close())
}
