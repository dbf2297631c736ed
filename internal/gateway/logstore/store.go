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

// Name is the file's, in the folder that Open is given.
const Name = "promptbook.db"

// growth is by how much the file grows; bbolt's own 16 MiB are much for a disk of 64.
const growth = 64 << 10

var (
	headKey = []byte("head")
	snapKey = []byte("snap")
	noteKey = []byte("note")
)

// head is all but the snapshot and the entries.
type head struct {
	Me, For                   replication.MemberID
	House, Promise, Delivered uint64
}

// Store is an open file, for one goroutine at a time. On a disk that was full when a new file was to be made it is none yet: see made.
type Store struct {
	path   string
	me     replication.MemberID
	db     *bbolt.DB                              // nil until the file is there
	groups map[replication.LogID]replication.Kept // as read
}

// Open opens the file in a folder and reads all of it; where there is none it makes one, with a new
// member's id, synced with its name. If the disk is too full for that, the store has an id alone (Made tells) and the first Apply that
// finds room makes the file: until then nothing is confirmed under that id, so that a process which ends before has lost nothing
// but the id. An error names the file. If what it holds can't be read, the error is
// an Unreadable: the disk is to be taken for lost then, see Wipe.
func Open(dir string) (*Store, replication.Kept, error) {
	b := &Store{path: filepath.Join(dir, Name), groups: map[replication.LogID]replication.Kept{}}
	var k replication.Kept
	switch info, err := os.Stat(b.path); {
	case errors.Is(err, os.ErrNotExist):
	case err != nil:
		return nil, k, named(b.path, err)
	case info.Size() == 0: // a process ended before the first write: nothing was said yet
	default:
		// Only to read: a file that is broken can end the whole process when it is opened to be written.
		var file *os.File
		err := guard(func() error {
			db, err := bbolt.Open(b.path, 0o600, &bbolt.Options{ReadOnly: true, Timeout: time.Second,
				OpenFile: func(name string, flag int, mode os.FileMode) (_ *os.File, err error) {
					file, err = os.OpenFile(name, flag, mode)
					return file, err
				}})
			if err != nil {
				return err
			}
			k, err = b.read(db)
			return errors.Join(err, db.Close())
		})
		if err != nil && file != nil {
			// A panic leaves it open, mapped and locked; the lock would last as long as the mapping.
			_ = unix.Flock(int(file.Fd()), unix.LOCK_UN)
			file.Close()
		}
		if errors.Is(err, os.ErrPermission) || errors.Is(err, berrors.ErrTimeout) {
			return nil, k, named(b.path, err)
		}
		if err != nil {
			return nil, replication.Kept{}, &Unreadable{b.path, err}
		}
	}
	empty := k.Me == 0
	if empty {
		me, err := newMember()
		if err != nil {
			return nil, k, err
		}
		k.Me = me
	}
	b.me = k.Me
	if err := b.open(empty); err != nil && !(empty && full(err)) {
		return nil, replication.Kept{}, named(b.path, err)
	}
	return b, k, nil
}

// full tells whether an error says that the disk takes no more bytes.
func full(err error) bool { return errors.Is(err, unix.ENOSPC) || errors.Is(err, unix.EDQUOT) }

// Made tells whether the file is there.
func (b *Store) Made() bool { return b.db != nil }

// made makes the file of a store that has none yet. What an earlier try left was never confirmed to be there.
func (b *Store) made() error {
	if b.db != nil {
		return nil
	}
	if err := Wipe(filepath.Dir(b.path)); err != nil {
		return err
	}
	return b.open(true)
}

// newMember draws the id of an empty disk.
func newMember() (me replication.MemberID, err error) {
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

// Unreadable is the error of a file that is torn or does not hold together.
type Unreadable struct {
	Path string
	Err  error
}

func (u *Unreadable) Error() string {
	return "log " + u.Path + " can't be read: " + u.Err.Error()
}
func (u *Unreadable) Unwrap() error { return u.Err }

// named names the file that an error, if there is one, is about.
func named(path string, err error) error {
	if err == nil {
		return nil
	}
	return errors.Wrapf(err, "log %s", path)
}

// guard turns a panic or a fault of a mapping into an error.
func guard(do func() error) (err error) {
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

// open opens the file to be written, and makes it where it is empty. Without success it leaves none open.
func (b *Store) open(empty bool) error {
	err := guard(func() (err error) {
		b.db, err = bbolt.Open(b.path, 0o600, &bbolt.Options{Timeout: time.Second, NoFreelistSync: true,
			FreelistType: bbolt.FreelistMapType, InitialMmapSize: 1 << 20, NoStatistics: true, OpenFile: openFile})
		if err != nil {
			return err
		}
		b.db.AllocSize = growth
		if !empty {
			return nil
		}
		return b.begin()
	})
	if err != nil && b.db != nil {
		b.db.Close()
		b.db = nil
	}
	return err
}

// begin writes what a new file has, and makes its name last.
func (b *Store) begin() error {
	if err := b.db.Update(func(tx *bbolt.Tx) error {
		configuration, err := create(tx, replication.ConfigurationLog)
		if err != nil {
			return err
		}
		return put(configuration.head, headKey, head{Me: b.me})
	}); err != nil {
		return err
	}
	return syncFolder(filepath.Dir(b.path))
}

// read reads all there is. A file with no bucket at all is as a new one: the process ended before its first
// write.
func (b *Store) read(db *bbolt.DB) (k replication.Kept, err error) {
	return k, db.View(func(tx *bbolt.Tx) error {
		configuration := bucketsOf(tx, replication.ConfigurationLog)
		if configuration.none() {
			return nil
		}
		if k, err = readLog(configuration, 0); err != nil {
			return err
		}
		for id := range mostLogs {
			group := bucketsOf(tx, id)
			if id == replication.ConfigurationLog || group.none() {
				continue
			}
			if b.groups[id], err = readLog(group, k.Me); err != nil {
				return errors.Wrapf(err, "group's log %d", id)
			}
		}
		return nil
	})
}

// Groups are the logs beside the configuration's that the file held when it was opened.
func (b *Store) Groups() map[replication.LogID]replication.Kept { return b.groups }

// Apply puts writes to the configuration's log on disk: see ApplyAll.
func (b *Store) Apply(writes []replication.Write) error {
	all := make([]replication.LogWrite, len(writes))
	for i, w := range writes {
		all[i].Write = w
	}
	return b.ApplyAll(all)
}

// ApplyAll puts writes on disk, in one step: after it all are synced, or, with an error, none is there and they
// may be tried again.
func (b *Store) ApplyAll(writes []replication.LogWrite) error {
	if len(writes) == 0 {
		return nil
	}
	if err := b.made(); err != nil {
		return named(b.path, err)
	}
	heads := map[replication.LogID]head{}
	err := guard(func() error {
		if err := b.db.Update(func(tx *bbolt.Tx) error {
			for _, w := range writes {
				log, err := create(tx, w.Log)
				if err != nil {
					return err
				}
				if err := apply(log, w.Write); err != nil {
					return err
				}
				heads[w.Log] = head{Me: b.me, For: w.Write.For, House: w.Write.House, Promise: w.Write.Promise,
					Delivered: w.Write.Delivered}
			}
			for id, h := range heads {
				if err := put(bucketsOf(tx, id).head, headKey, h); err != nil {
					return err
				}
			}
			return nil
		}); err != nil {
			return err
		}
		return b.db.View(func(tx *bbolt.Tx) error {
			for id, h := range heads {
				var back head
				if err := get(bucketsOf(tx, id).head.Get(headKey), &back); err != nil || back != h {
					return errors.New("what was written is not what is read")
				}
			}
			return nil
		})
	})
	return named(b.path, err)
}

func apply(log buckets, w replication.Write) error {
	if w.Snap != nil {
		if err := put(log.snap, snapKey, w.Snap); err != nil {
			return err
		}
	}
	// By their keys, and never by a cursor that goes on: in bbolt 1.5 one that deletes its way through several pages and is
	// then sent to the end goes round for ever over pages that hold nothing any more.
	for _, key := range log.gone(w) {
		if err := log.entries.Delete(key); err != nil {
			return err
		}
	}
	for _, e := range w.Entries {
		if w.From == 0 {
			break
		}
		if err := put(log.entries, indexKey(e.Index), e); err != nil {
			return err
		}
	}
	return nil
}

// Note keeps something beside the log that is good to have after a start and may be old or lost: the newest alone.
func (b *Store) Note(what []byte) error {
	if err := b.made(); err != nil {
		return named(b.path, err)
	}
	return named(b.path, guard(func() error {
		return b.db.Update(func(tx *bbolt.Tx) error { return bucketsOf(tx, replication.ConfigurationLog).head.Put(noteKey, what) })
	}))
}

// Noted is the newest note, nil if there is none.
func (b *Store) Noted() (what []byte) {
	if b.db == nil || guard(func() error {
		return b.db.View(func(tx *bbolt.Tx) error {
			what = bytes.Clone(bucketsOf(tx, replication.ConfigurationLog).head.Get(noteKey))
			return nil
		})
	}) != nil {
		return nil
	}
	return what
}

// Close closes the file.
func (b *Store) Close() error {
	if b.db == nil {
		return nil
	}
	return named(b.path, b.db.Close())
}

// Wipe takes the file away, for good: the disk counts as lost, and Open begins with a new member's id.
func Wipe(dir string) error {
	path := filepath.Join(dir, Name)
	if err := os.Remove(path); err != nil && !errors.Is(err, os.ErrNotExist) {
		return named(path, err)
	}
	return named(path, syncFolder(dir))
}

// syncFolder makes the file's name last.
func syncFolder(dir string) error {
	f, err := os.Open(dir)
	if err != nil {
		return err
	}
	return errors.Join(f.Sync(), f.Close())
}

func put(b *bbolt.Bucket, key []byte, v any) error {
	var buf bytes.Buffer
	if err := gob.NewEncoder(&buf).Encode(v); err != nil {
		return err
	}
	return b.Put(key, buf.Bytes())
}

func get(b []byte, v any) error { return gob.NewDecoder(bytes.NewReader(b)).Decode(v) }
