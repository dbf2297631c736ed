package logstore

import (
	"bytes"
	"encoding/gob"

	"go.etcd.io/bbolt"

	"clovergap/internal/gateway/replication"
)

// Types of the stored values. Gob matches fields by name, and other versions of the program read what this version writes. These field names
// must therefore not change when names in package replication change. Older versions ignore a field that was added. A field that is absent
// decodes as zero.
type (
	// storedHead is the stored form of the head of a log: everything except the snapshot and the entries.
	storedHead struct {
		Me        replication.MemberID // the member ID of the disk
		For       replication.MemberID // the member that this disk voted for in the term; 0 if it has not voted
		House     uint64               // the cluster's ID
		Promise   uint64               // the term
		Delivered uint64               // the commit index
	}
	// storedMember is the stored form of a member: the member ID of a disk and the address of the disk's node.
	storedMember struct {
		ID   replication.MemberID
		Addr string
	}
	// storedSnapshot is the stored form of a snapshot. A snapshot replaces the entries up to and including Index.
	storedSnapshot struct {
		Index   uint64
		View    uint64 // the term of the entry at Index
		Members []storedMember
		State   []byte
	}
	// storedEntry is the stored form of one entry of a log.
	storedEntry struct {
		Index   uint64
		View    uint64 // the term of the entry
		Kind    replication.EntryKind
		Data    []byte
		Members []storedMember // the new members, in a membership change only
	}
)

// storedDeparture is the stored form of the departure of a backend. Its key is the id of the backend.
type storedDeparture struct {
	Deregistered bool // false: the backend is draining
}

// newStoredHead returns the head that a write leaves in a log of the disk with the given member ID.
func newStoredHead(id replication.MemberID, w *replication.Write) storedHead {
	return storedHead{Me: id, For: w.Vote, House: w.ClusterID, Promise: w.Term, Delivered: w.Commit}
}

// toPersistentState returns the head as a PersistentState without snapshot and entries.
func (s storedHead) toPersistentState() replication.PersistentState {
	return replication.PersistentState{ID: s.Me, ClusterID: s.House, Term: s.Promise, Vote: s.For, Commit: s.Delivered}
}

func newStoredSnapshot(s *replication.Snapshot) storedSnapshot {
	return storedSnapshot{Index: s.Index, View: s.Term, Members: newStoredMembers(s.Members), State: s.State}
}

func (s storedSnapshot) toSnapshot() replication.Snapshot {
	return replication.Snapshot{Index: s.Index, Term: s.View, Members: toMembers(s.Members), State: s.State}
}

func newStoredEntry(e *replication.Entry) storedEntry {
	return storedEntry{Index: e.Index, View: e.Term, Kind: e.Kind, Data: e.Data, Members: newStoredMembers(e.Members)}
}

func (s storedEntry) toEntry() replication.Entry {
	return replication.Entry{Index: s.Index, Term: s.View, Kind: s.Kind, Data: s.Data, Members: toMembers(s.Members)}
}

// newStoredMembers returns the stored form of members. newStoredMembers returns nil if there are no members, as in most entries.
func newStoredMembers(members []replication.Member) (stored []storedMember) {
	for _, m := range members {
		stored = append(stored, storedMember{ID: m.ID, Addr: m.Addr})
	}
	return stored
}

func toMembers(stored []storedMember) (members []replication.Member) {
	for _, m := range stored {
		members = append(members, replication.Member{ID: m.ID, Addr: m.Addr})
	}
	return members
}

// putGob stores a value in a bucket, encoded with gob. Each encoded value includes its gob type descriptions, because each value is decoded
// separately.
func putGob(b *bbolt.Bucket, key []byte, stored any) error {
	var buf bytes.Buffer
	if err := gob.NewEncoder(&buf).Encode(stored); err != nil {
		return err
	}
	return b.Put(key, buf.Bytes())
}

// decodeGob decodes a value that putGob encoded into the variable that stored points to.
func decodeGob(b []byte, stored any) error { return gob.NewDecoder(bytes.NewReader(b)).Decode(stored) }
