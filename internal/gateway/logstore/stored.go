package logstore

import (
	"bytes"
	"encoding/gob"

	"go.etcd.io/bbolt"

	"clovergap/internal/gateway/replication"
)

// Types of the stored values. Gob matches fields by name, and other versions read what this version writes, so these field names must not
// change when names in package replication do. Older versions ignore a field that is added. A field that is absent decodes as zero.
type (
	// storedHead holds everything of a log except the snapshot and the entries.
	storedHead struct {
		Me        replication.MemberID // the disk's member ID
		For       replication.MemberID // the member that got this disk's vote in the term
		House     uint64               // the cluster's ID
		Promise   uint64               // the term
		Delivered uint64               // the commit index
	}
	// storedMember is the member ID of a disk and the address of its node.
	storedMember struct {
		ID   replication.MemberID
		Addr string
	}
	// storedSnapshot replaces the entries up to and including Index.
	storedSnapshot struct {
		Index   uint64
		View    uint64 // the term of the entry at Index
		Members []storedMember
		State   []byte
	}
	// storedEntry is one entry of the log.
	storedEntry struct {
		Index   uint64
		View    uint64 // the term of the entry
		Kind    replication.EntryKind
		Data    []byte
		Members []storedMember // the new members, in a membership change only
	}
)

// newStoredHead returns the head of a log after a write by the disk with a member ID.
func newStoredHead(id replication.MemberID, w *replication.Write) storedHead {
	return storedHead{Me: id, For: w.Vote, House: w.ClusterID, Promise: w.Term, Delivered: w.Commit}
}

// toState returns the state that a head describes, without the snapshot and the entries.
func (s storedHead) toState() replication.PersistentState {
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

// newStoredMembers converts members to their stored form. It returns nil for none, because most entries have no members.
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

// putGob writes a stored value to a bucket. Each value includes its gob type descriptions, because each value is decoded separately.
func putGob(b *bbolt.Bucket, key []byte, stored any) error {
	var buf bytes.Buffer
	if err := gob.NewEncoder(&buf).Encode(stored); err != nil {
		return err
	}
	return b.Put(key, buf.Bytes())
}

// decodeGob decodes a value that putGob wrote.
func decodeGob(b []byte, stored any) error { return gob.NewDecoder(bytes.NewReader(b)).Decode(stored) }
