package replication

import (
	"cmp"
	"encoding/binary"
	"hash/fnv"
	"slices"

	"github.com/go-faster/errors"

	"clovergap/internal/invariant"
)

// The first member list of a cluster, and disks that have nothing else.

// What the errors of Bootstrap wrap.
var (
	ErrInvalidMembers      = errors.New("invalid member list")
	ErrNotAMember          = errors.New("this disk is not on the member list")
	ErrAlreadyBootstrapped = errors.New("the disk belongs to another cluster")
)

// Bootstrap writes the first member list, as term 1 and index 1, on an empty disk that is on it. The same list again does
// nothing. All of its members must be given the same list.
func (r *Replica) Bootstrap(members []Member) error {
	members, clusterID := sortedMembers(members), r.clusterIDForLog(members)
	listed := false
	for i, m := range members {
		if m.ID == 0 || i > 0 && members[i-1].ID == m.ID {
			return errors.Wrapf(ErrInvalidMembers, "member ID %d is 0 or listed twice", m.ID)
		}
		listed = listed || m.ID == r.self.ID
	}
	switch {
	case !listed:
		return ErrNotAMember
	case r.clusterID == clusterID:
		return nil
	case r.clusterID != 0:
		return ErrAlreadyBootstrapped
	}
	r.clusterID, r.term, r.maxSeenTerm = clusterID, 1, 1
	r.log.snapshot = Snapshot{Index: 1, Term: 1, Members: members}
	r.memberConfigs = []memberConfig{{1, members}}
	r.commitIndex, r.unwrittenSnapshot = 1, true
	r.requireWrite(2)
	r.resetElectionDeadline()
	return nil
}

// ClusterIDOf is the cluster ID of the configuration's log with these first members, in any order.
func ClusterIDOf(members []Member) uint64 {
	hash := fnv.New32a()
	for _, m := range sortedMembers(members) {
		hash.Write(append(binary.AppendUvarint(nil, uint64(m.ID)), m.Addr...))
	}
	return uint64(hash.Sum32()) | 1 // 0 is no cluster
}

// clusterIDFor is the cluster ID of this log. Each log on a disk has another, so that a message can't reach the wrong one.
func (r *Replica) clusterIDForLog(members []Member) uint64 {
	id := ClusterIDOf(members)
	if r.config.LogID == ConfigurationLog || r.hasMutation(shareClusterID) {
		return id
	}
	hash := fnv.New32a()
	hash.Write(binary.BigEndian.AppendUint64([]byte{byte(r.config.LogID)}, id))
	return uint64(hash.Sum32()) | 1
}

func sortedMembers(members []Member) []Member {
	members = slices.Clone(members)
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	return members
}

// Bootstrapped reports whether there is anything on this disk but the member ID.
func (r *Replica) Bootstrapped() bool { return r.clusterID != 0 }

// BootstrapMembers is the first member list while the log has nothing else; nil otherwise. A member on it with an empty disk
// has missed it, and any other may pass it on.
func (r *Replica) BootstrapMembers() []Member {
	if r.clusterID == 0 || r.log.snapshot.Index != 1 {
		return nil
	}
	return slices.Clone(r.log.snapshot.Members)
}

// ClusterID identifies the cluster that this disk belongs to; 0 while that is not synced.
func (r *Replica) ClusterID() uint64 {
	if !r.bootstrapSynced {
		return 0
	}
	return r.clusterID
}

// onlyBootstrapped reports whether this disk has a bootstrap and nothing else: it has voted for nobody and has acknowledged no
// entry. Its cluster loses nothing without it: an empty disk that is given the same list can do as much.
func (r *Replica) hasOnlyBootstrap() bool {
	return r.clusterID != 0 && r.log.snapshot.Index == 1 && len(r.log.entries) == 0 && (r.term == 1 || r.hasMutation(joinOtherAfterVote))
}

// stepOutsideCluster is Step for an empty disk, or one that was bootstrapped for another cluster and has nothing else. It takes
// messages only from a leader: a leader has a majority's votes, so its cluster exists.
func (r *Replica) stepBeforeJoining(from MemberID, m Message) {
	switch {
	case m.Kind == MsgAppendChunk:
		r.onChunk(from, m)
	case m.Kind == MsgAppend, r.hasMutation(countWipedDisk) && r.clusterID == 0 && m.Kind == MsgRequestVote:
		r.joinCluster(from, m)
	}
}

// joinCluster joins a leader's cluster with the snapshot that it sends, or asks for that.
func (r *Replica) joinCluster(from MemberID, m Message) {
	if m.Kind == MsgAppend && m.Snapshot == nil {
		r.sendToID(from, Message{Kind: MsgAppendReject, ClusterID: m.ClusterID, Term: m.Term, Seq: m.Seq, AcceptsChunks: true})
		return
	}
	r.resetToEmptyDisk()
	r.clusterID = m.ClusterID
	r.Step(from, m)
}

// DiscardBootstrap empties a disk that has only a bootstrap, if the other members of that are gone for good. It returns false
// if the disk has more.
func (r *Replica) DiscardBootstrap() bool {
	if !r.hasOnlyBootstrap() {
		return false
	}
	r.resetToEmptyDisk()
	r.unwrittenSnapshot = true
	r.requireWrite(1)
	return true
}

// reset makes the replica as that of an empty disk. The next write does the same to the disk.
func (r *Replica) resetToEmptyDisk() {
	invariant.Assert(len(r.log.entries) == 0 && r.role != roleLeader, "only a bootstrap is discarded")
	r.clusterID, r.term, r.votedFor, r.maxSeenTerm, r.bootstrapSynced = 0, 0, 0, 0, false
	r.log.snapshot, r.memberConfigs, r.commitIndex = Snapshot{}, []memberConfig{{}}, 0
	r.lowerSyncedIndex(0)
	r.role, r.leaderID, r.electionDeadline = roleFollower, 0, never
}
