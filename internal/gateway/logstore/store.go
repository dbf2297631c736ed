package logstore

import (
	"bytes"
	"crypto/rand"
	"encoding/binary"

	"github.com/go-faster/errors"
	"go.etcd.io/bbolt"

	"clovergap/internal/gateway/replication"
)

// memberIDShift leaves 40 bits of a random number for a member ID: they are enough, and it travels with each message.
const memberIDShift = 24

// Store is an open file, for one goroutine at a time.
type Store struct {
	dir        string
	path       string
	filesystem filesystem
	memberID   replication.MemberID
	file       *bbolt.DB // nil until there is a file: see Created
	groupLogs  map[replication.LogID]replication.PersistentState
	twoNames   bool  // the file was found under both of its names
	renameErr  error // see RenameError
}

// Open opens the file in a folder, reads all of it, and gives the configuration's log. Where there is none it makes one, with a new
// member ID, synced with its name. If the disk is too full for that, the store has an ID alone (see Created) and the first Write that
// finds room makes the file: until then nothing is confirmed under that ID, so that a process which ends before has lost nothing but the
// ID.
//
// The error is a CorruptError if what the file holds can't be read: the disk is to be taken for lost then, see Wipe. After any other
// error (a FileError, a ConflictError) nothing was touched.
func Open(dir string) (*Store, replication.PersistentState, error) { return open(dir, osFilesystem{}) }

func open(dir string, fs filesystem) (*Store, replication.PersistentState, error) {
	s := &Store{dir: dir, filesystem: fs}
	found, err := s.find()
	if err != nil {
		return nil, replication.PersistentState{}, err
	}
	create := found.empty()
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
	s.renameErr = s.adoptName()
	return s, found.configuration, nil
}

// newMemberID draws the ID of an empty disk.
func newMemberID() (id replication.MemberID, err error) {
	for id == 0 {
		var random [8]byte
		if _, err = rand.Read(random[:]); err != nil {
			return 0, errors.Wrap(err, "draw a member ID")
		}
		id = replication.MemberID(binary.BigEndian.Uint64(random[:]) >> memberIDShift)
	}
	return id, nil
}

// Created tells whether there is a file; false on a disk that is too full to make one.
func (s *Store) Created() bool { return s.file != nil }

// RenameError tells why the file may have the name of earlier versions still; nil if it has its present one for good. It is used all the
// same, and the next Open tries again.
func (s *Store) RenameError() error { return s.renameErr }

// GroupLogs are the logs beside the configuration's that the file held when it was opened.
func (s *Store) GroupLogs() map[replication.LogID]replication.PersistentState { return s.groupLogs }

// ensureCreated makes the file of a store that has none yet. What an earlier attempt left was never confirmed to be there.
func (s *Store) ensureCreated() error {
	if s.file != nil {
		return nil
	}
	if err := wipe(s.filesystem, s.dir, FileName); err != nil {
		return err
	}
	return s.openForWriting(true)
}

// Write puts writes on disk in one transaction. After it all are synced; with an error none is there, and they may be tried again.
func (s *Store) Write(writes []replication.LogWrite) error {
	if len(writes) == 0 {
		return nil
	}
	if err := s.ensureCreated(); err != nil {
		return err
	}
	heads := map[replication.LogID]storedHead{}
	for i := range writes {
		heads[writes[i].Log] = headOf(s.memberID, &writes[i].Write)
	}
	return fileError("write", s.path, recoverFault(func() error {
		if err := s.commit(writes, heads); err != nil {
			return err
		}
		return s.verify(heads)
	}))
}

// commit is the transaction of a Write.
func (s *Store) commit(writes []replication.LogWrite, heads map[replication.LogID]storedHead) error {
	return s.file.Update(func(tx *bbolt.Tx) error {
		for i := range writes {
			log, err := createBuckets(tx, writes[i].Log)
			if err != nil {
				return err
			}
			if err := log.write(&writes[i].Write); err != nil {
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

// verify reads back the heads that were written. bbolt writes to the file and reads it through a mapping; on a disk that lost the write
// the two differ.
func (s *Store) verify(heads map[replication.LogID]storedHead) error {
	return s.file.View(func(tx *bbolt.Tx) error {
		for id, want := range heads {
			log := lookupBuckets(tx, id)
			if got, err := log.readHead(); err != nil || got != want {
				return logError("read back head", id, log.names.head, ErrReadBack)
			}
		}
		return nil
	})
}

// SaveSoftState keeps a value beside the logs that is good to have after a start and may be old or lost: the newest alone.
func (s *Store) SaveSoftState(value []byte) error {
	if err := s.ensureCreated(); err != nil {
		return err
	}
	return fileError("save soft state to", s.path, recoverFault(func() error {
		return s.file.Update(func(tx *bbolt.Tx) error {
			return lookupBuckets(tx, replication.ConfigurationLog).head.Put(softStateKey, value)
		})
	}))
}

// SoftState is the value that was saved last, nil if there is none or it can't be read.
func (s *Store) SoftState() (value []byte) {
	if s.file == nil {
		return nil
	}
	if err := recoverFault(func() error {
		return s.file.View(func(tx *bbolt.Tx) error {
			value = bytes.Clone(lookupBuckets(tx, replication.ConfigurationLog).head.Get(softStateKey))
			return nil
		})
	}); err != nil {
		return nil
	}
	return value
}

// Close closes the file.
func (s *Store) Close() error {
	if s.file == nil {
		return nil
	}
	return fileError("close", s.path, s.file.Close())
}
