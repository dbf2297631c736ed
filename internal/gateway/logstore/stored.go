package logstore

import (
	"bytes"
	"encoding/gob"

	"go.etcd.io/bbolt"

	"clovergap/internal/gateway/replication"
)

// The stored forms. Gob goes by the names of fields, and other versions read what this one writes, so these names stay as they are,
// whatever replication's are called. A field that is added is passed over by older versions; one that is left out is zero.
type (
	// storedHead is all of a log but the snapshot and the entries.
	storedHead struct {
		Me        replication.MemberID // the disk's
		For       replication.MemberID // the vote
		House     uint64               // the cluster's ID
		Promise   uint64               // the term
		Delivered uint64               // the commit index
	}
	// storedMember is a disk and where its node is reached.
	storedMember struct {
		ID   replication.MemberID
		Addr string
	}
	// storedSnapshot takes the place of the entries up to Index.
	storedSnapshot struct {
		Index   uint64
		View    uint64 // the term of the entry at Index
		Members []storedMember
		State   []byte
	}
	// storedEntry is a place in the log.
	storedEntry struct {
		Index   uint64
		View    uint64 // the term
		Kind    replication.EntryKind
		Data    []byte
		Members []storedMember // of a change of members
	}
)

// headOf is the head that a write leaves.
func headOf(id replication.MemberID, w *replication.Write) storedHead {
	return storedHead{Me: id, For: w.Vote, House: w.ClusterID, Promise: w.Term, Delivered: w.Commit}
}

// state is what a head says of its log.
func (s storedHead) state() replication.PersistentState {
	return replication.PersistentState{ID: s.Me, ClusterID: s.House, Term: s.Promise, Vote: s.For, Commit: s.Delivered}
}

func storeSnapshot(s *replication.Snapshot) storedSnapshot {
	return storedSnapshot{Index: s.Index, View: s.Term, Members: storeMembers(s.Members), State: s.State}
}

func (s storedSnapshot) snapshot() replication.Snapshot {
	return replication.Snapshot{Index: s.Index, Term: s.View, Members: membersOf(s.Members), State: s.State}
}

func storeEntry(e *replication.Entry) storedEntry {
	return storedEntry{Index: e.Index, View: e.Term, Kind: e.Kind, Data: e.Data, Members: storeMembers(e.Members)}
}

func (s storedEntry) entry() replication.Entry {
	return replication.Entry{Index: s.Index, Term: s.View, Kind: s.Kind, Data: s.Data, Members: membersOf(s.Members)}
}

// storeMembers gives nil for none: most entries have no members.
func storeMembers(members []replication.Member) (stored []storedMember) {
	for _, m := range members {
		stored = append(stored, storedMember{ID: m.ID, Addr: m.Addr})
	}
	return stored
}

func membersOf(stored []storedMember) (members []replication.Member) {
	for _, m := range stored {
		members = append(members, replication.Member{ID: m.ID, Addr: m.Addr})
	}
	return members
}

// putGob writes a stored form to a bucket. Each value carries its types: it is read by itself.
func putGob(b *bbolt.Bucket, key []byte, stored any) error {
	var buf bytes.Buffer
	if err := gob.NewEncoder(&buf).Encode(stored); err != nil {
		return err
	}
	return b.Put(key, buf.Bytes())
}

// decodeGob reads a stored form.
func decodeGob(b []byte, stored any) error { return gob.NewDecoder(bytes.NewReader(b)).Decode(stored) }
