// Package logstore keeps on disk what the replicas of a node must not forget, in one bbolt file: the configuration's log, and
// those of the coordination groups. Each log has buckets of its own; writes to several go into one transaction.
//
// The file never shrinks. Each write goes to free pages first, so it holds at most about three times the
// largest snapshot plus the log that was ever held at once, rounded up to steps of 64 KiB: a state of 100
// KB with some hundred entries of 1 KB stays below 1 MiB.
//
// bbolt writes to the file and reads it through a mapping. Where the two do not agree, Apply says so: it
// reads back the head of what it wrote. A lock held by another process is waited for a second.
package logstore

import (
	"bytes"
	"crypto/rand"
	"encoding/binary"
	"encoding/gob"
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

// FileName is the file's, in the folder that Open is given.
const FileName = "promptbook.db"

// allocBytes is by how much the file grows; bbolt's own 16 MiB are much for a disk of 64.
const allocBytes = 64 << 10

var (
	headKey      = []byte("head")
	snapshotKey  = []byte("snap")
	softStateKey = []byte("note")
)

// storedHead is all but the snapshot and the entries.
type storedHead struct {
	Me, For                   replication.MemberID
	House, Promise, Delivered uint64
}

// Store is an open file, for one goroutine at a time. On a disk that was full when a new file was to be made it is none yet: see made.
type Store struct {
	path      string
	memberID  replication.MemberID
	file      *bbolt.DB                                         // nil until the file is there
	groupLogs map[replication.LogID]replication.PersistentState // as read
}

// Open opens the file in a folder and reads all of it; where there is none it makes one, with a new
// member's id, synced with its name. If the disk is too full for that, the store has an id alone (Made tells) and the first Apply that
// finds room makes the file: until then nothing is confirmed under that id, so that a process which ends before has lost nothing
// but the id. An error names the file. If what it holds can't be read, the error is
// an Unreadable: the disk is to be taken for lost then, see Wipe.
func Open(dir string) (*Store, replication.PersistentState, error) {
	b := &Store{path: filepath.Join(dir, FileName), groupLogs: map[replication.LogID]replication.PersistentState{}}
	var k replication.PersistentState
	switch info, err := os.Stat(b.path); {
	case errors.Is(err, os.ErrNotExist):
	case err != nil:
		return nil, k, wrapWithPath(b.path, err)
	case info.Size() == 0: // a process ended before the first write: nothing was said yet
	default:
		// Only to read: a file that is broken can end the whole process when it is opened to be written.
		var file *os.File
		err := recoverFault(func() error {
			db, err := bbolt.Open(b.path, 0o600, &bbolt.Options{ReadOnly: true, Timeout: time.Second,
				OpenFile: func(name string, flag int, mode os.FileMode) (_ *os.File, err error) {
					file, err = os.OpenFile(name, flag, mode)
					return file, err
				}})
			if err != nil {
				return err
			}
			k, err = b.readLogs(db)
			return errors.Join(err, db.Close())
		})
		if err != nil && file != nil {
			// A panic leaves it open, mapped and locked; the lock would last as long as the mapping.
			_ = unix.Flock(int(file.Fd()), unix.LOCK_UN)
			file.Close()
		}
		if errors.Is(err, os.ErrPermission) || errors.Is(err, berrors.ErrTimeout) {
			return nil, k, wrapWithPath(b.path, err)
		}
		if err != nil {
			return nil, replication.PersistentState{}, &CorruptError{b.path, err}
		}
	}
	empty := k.ID == 0
	if empty {
		me, err := newMemberID()
		if err != nil {
			return nil, k, err
		}
		k.ID = me
	}
	b.memberID = k.ID
	if err := b.openForWriting(empty); err != nil && !(empty && isDiskFull(err)) {
		return nil, replication.PersistentState{}, wrapWithPath(b.path, err)
	}
	return b, k, nil
}

// isDiskFull tells whether an error says that the disk takes no more bytes.
func isDiskFull(err error) bool { return errors.Is(err, unix.ENOSPC) || errors.Is(err, unix.EDQUOT) }

// Created tells whether the file is there.
func (s *Store) Created() bool { return s.file != nil }

// ensureCreated makes the file of a store that has none yet. What an earlier try left was never confirmed to be there.
func (s *Store) ensureCreated() error {
	if s.file != nil {
		return nil
	}
	if err := Wipe(filepath.Dir(s.path)); err != nil {
		return err
	}
	return s.openForWriting(true)
}

// newMemberID draws the id of an empty disk.
func newMemberID() (me replication.MemberID, err error) {
	for me == 0 {
		var random [8]byte
		if _, err = rand.Read(random[:]); err != nil {
			return 0, err
		}
		// 40 bits are enough, and it travels with each message.
		me = replication.MemberID(binary.BigEndian.Uint64(random[:]) >> 24)
	}
	return me, nil
}

// CorruptError is the error of a file that is torn or does not hold together.
type CorruptError struct {
	Path string
	Err  error
}

func (c *CorruptError) Error() string {
	return "log " + c.Path + " can't be read: " + c.Err.Error()
}
func (c *CorruptError) Unwrap() error { return c.Err }

// wrapWithPath names the file that an error, if there is one, is about.
func wrapWithPath(path string, err error) error {
	if err == nil {
		return nil
	}
	return errors.Wrapf(err, "log %s", path)
}

// recoverFault turns a panic or a fault of a mapping into an error.
func recoverFault(do func() error) (err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if r := recover(); r != nil {
			err = errors.Errorf("%v", r)
		}
	}()
	return do()
}

// openFile opens the file to be written; a test has it refuse, as a full disk does.
var openFile = os.OpenFile

// openForWriting opens the file to be written, and makes it where it is empty. Without success it leaves none open.
func (s *Store) openForWriting(empty bool) error {
	err := recoverFault(func() (err error) {
		s.file, err = bbolt.Open(s.path, 0o600, &bbolt.Options{Timeout: time.Second, NoFreelistSync: true,
			FreelistType: bbolt.FreelistMapType, InitialMmapSize: 1 << 20, NoStatistics: true, OpenFile: openFile})
		if err != nil {
			return err
		}
		s.file.AllocSize = allocBytes
		if !empty {
			return nil
		}
		return s.initialize()
	})
	if err != nil && s.file != nil {
		s.file.Close()
		s.file = nil
	}
	return err
}

// initialize writes what a new file has, and makes its name last.
func (s *Store) initialize() error {
	if err := s.file.Update(func(tx *bbolt.Tx) error {
		configuration, err := createBuckets(tx, replication.ConfigurationLog)
		if err != nil {
			return err
		}
		return putGob(configuration.head, headKey, storedHead{Me: s.memberID})
	}); err != nil {
		return err
	}
	return syncDir(filepath.Dir(s.path))
}

// readLogs reads all there is. A file with no bucket at all is as a new one: the process ended before its first
// write.
func (s *Store) readLogs(db *bbolt.DB) (k replication.PersistentState, err error) {
	return k, db.View(func(tx *bbolt.Tx) error {
		configuration := lookupBuckets(tx, replication.ConfigurationLog)
		if configuration.missing() {
			return nil
		}
		if k, err = readLog(configuration, 0); err != nil {
			return err
		}
		for id := range maxLogs {
			group := lookupBuckets(tx, id)
			if id == replication.ConfigurationLog || group.missing() {
				continue
			}
			if s.groupLogs[id], err = readLog(group, k.ID); err != nil {
				return errors.Wrapf(err, "group's log %d", id)
			}
		}
		return nil
	})
}

// GroupLogs are the logs beside the configuration's that the file held when it was opened.
func (s *Store) GroupLogs() map[replication.LogID]replication.PersistentState { return s.groupLogs }

// WriteConfigurationLog puts writes to the configuration's log on disk: see Write.
func (s *Store) WriteConfigurationLog(writes []replication.Write) error {
	all := make([]replication.LogWrite, len(writes))
	for i, w := range writes {
		all[i].Write = w
	}
	return s.Write(all)
}

// Write puts writes on disk, in one step: after it all are synced, or, with an error, none is there and they
// may be tried again.
func (s *Store) Write(writes []replication.LogWrite) error {
	if len(writes) == 0 {
		return nil
	}
	if err := s.ensureCreated(); err != nil {
		return wrapWithPath(s.path, err)
	}
	heads := map[replication.LogID]storedHead{}
	err := recoverFault(func() error {
		if err := s.file.Update(func(tx *bbolt.Tx) error {
			for _, w := range writes {
				log, err := createBuckets(tx, w.Log)
				if err != nil {
					return err
				}
				if err := writeLog(log, w.Write); err != nil {
					return err
				}
				heads[w.Log] = storedHead{Me: s.memberID, For: w.Write.Vote, House: w.Write.ClusterID, Promise: w.Write.Term,
					Delivered: w.Write.Commit}
			}
			for id, h := range heads {
				if err := putGob(lookupBuckets(tx, id).head, headKey, h); err != nil {
					return err
				}
			}
			return nil
		}); err != nil {
			return err
		}
		return s.file.View(func(tx *bbolt.Tx) error {
			for id, h := range heads {
				var back storedHead
				if err := decodeGob(lookupBuckets(tx, id).head.Get(headKey), &back); err != nil || back != h {
					return errors.New("what was written is not what is read")
				}
			}
			return nil
		})
	})
	return wrapWithPath(s.path, err)
}

func writeLog(log logBuckets, w replication.Write) error {
	if w.Snapshot != nil {
		if err := putGob(log.snapshot, snapshotKey, w.Snapshot.Wire()); err != nil {
			return err
		}
	}
	// By their keys, and never by a cursor that goes on: in bbolt 1.5 one that deletes its way through several pages and is
	// then sent to the end goes round for ever over pages that hold nothing any more.
	for _, key := range log.obsoleteKeys(w) {
		if err := log.entries.Delete(key); err != nil {
			return err
		}
	}
	for _, e := range w.Entries {
		if w.FirstIndex == 0 {
			break
		}
		if err := putGob(log.entries, indexKey(e.Index), e.Wire()); err != nil {
			return err
		}
	}
	return nil
}

// SaveSoftState keeps something beside the log that is good to have after a start and may be old or lost: the newest alone.
func (s *Store) SaveSoftState(what []byte) error {
	if err := s.ensureCreated(); err != nil {
		return wrapWithPath(s.path, err)
	}
	return wrapWithPath(s.path, recoverFault(func() error {
		return s.file.Update(func(tx *bbolt.Tx) error {
			return lookupBuckets(tx, replication.ConfigurationLog).head.Put(softStateKey, what)
		})
	}))
}

// SoftState is the newest note, nil if there is none.
func (s *Store) SoftState() (what []byte) {
	if s.file == nil || recoverFault(func() error {
		return s.file.View(func(tx *bbolt.Tx) error {
			what = bytes.Clone(lookupBuckets(tx, replication.ConfigurationLog).head.Get(softStateKey))
			return nil
		})
	}) != nil {
		return nil
	}
	return what
}

// Close closes the file.
func (s *Store) Close() error {
	if s.file == nil {
		return nil
	}
	return wrapWithPath(s.path, s.file.Close())
}

// Wipe takes the file away, for good: the disk counts as lost, and Open begins with a new member's id.
func Wipe(dir string) error {
	path := filepath.Join(dir, FileName)
	if err := os.Remove(path); err != nil && !errors.Is(err, os.ErrNotExist) {
		return wrapWithPath(path, err)
	}
	return wrapWithPath(path, syncDir(dir))
}

// syncDir makes the file's name last.
func syncDir(dir string) error {
	f, err := os.Open(dir)
	if err != nil {
		return err
	}
	return errors.Join(f.Sync(), f.Close())
}

func putGob(b *bbolt.Bucket, key []byte, v any) error {
	var buf bytes.Buffer
	if err := gob.NewEncoder(&buf).Encode(v); err != nil {
		return err
	}
	return b.Put(key, buf.Bytes())
}

func decodeGob(b []byte, v any) error { return gob.NewDecoder(bytes.NewReader(b)).Decode(v) }
