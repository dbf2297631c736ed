package replication

import (
	"cmp"
	"encoding/binary"
	"hash/fnv"
	"slices"

	"github.com/go-faster/errors"

	"clovergap/internal/invariant"
)

// This file writes the first member list of a cluster, and handles disks that contain only the first member list.

// Bootstrap returns one of these errors, or an error that wraps ErrInvalidMembers.
var (
	ErrInvalidMembers      = errors.New("invalid member list")
	ErrNotAMember          = errors.New("this disk is not on the member list")
	ErrAlreadyBootstrapped = errors.New("the disk belongs to another cluster")
)

// Bootstrap writes the first member list to an empty disk, as term 1 and index 1. The member of this disk must be on the list.
// A repeated call with the same list has no effect. All members on the list must be bootstrapped with the same list.
func (r *Replica) Bootstrap(members []Member) error {
	members, clusterID := sortedMembers(members), r.clusterIDOfThisLog(members)
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
	r.requireWriteFrom(2)
	r.resetElectionDeadline()
	return nil
}

// ClusterIDOf returns the cluster ID of the configuration log that is bootstrapped with these members. Their order does not matter.
func ClusterIDOf(members []Member) uint64 {
	hash := fnv.New32a()
	for _, m := range sortedMembers(members) {
		hash.Write(append(binary.AppendUvarint(nil, uint64(m.ID)), m.Addr...))
	}
	return uint64(hash.Sum32()) | 1 // 0 means no cluster
}

// clusterIDOfThisLog returns the cluster ID of the log that this replica replicates (Config.LogID) for the given first member list. Each
// log on a disk has its own cluster ID, so that a replica ignores a message that was sent to another log.
func (r *Replica) clusterIDOfThisLog(members []Member) uint64 {
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

// Bootstrapped reports whether the replica belongs to a cluster. If not, its disk contains only the member ID.
func (r *Replica) Bootstrapped() bool { return r.clusterID != 0 }

// BootstrapMembers returns the first member list. It returns nil if a newer snapshot has replaced the list, or before the bootstrap. A
// listed member whose disk is empty has missed the bootstrap. Any other member may send the list to the host of that disk.
func (r *Replica) BootstrapMembers() []Member {
	if r.clusterID == 0 || r.log.snapshot.Index != 1 {
		return nil
	}
	return slices.Clone(r.log.snapshot.Members)
}

// ClusterID returns the ID of the cluster that this disk belongs to; 0 until the ID is synced to disk.
func (r *Replica) ClusterID() uint64 {
	if !r.bootstrapSynced {
		return 0
	}
	return r.clusterID
}

// hasOnlyBootstrap reports whether this disk contains only the bootstrap, which is the first member list. Such a member has not voted
// and has not acknowledged an entry. So its cluster can lose the disk without harm: an empty disk with the same list fully replaces
// the lost disk.
func (r *Replica) hasOnlyBootstrap() bool {
	return r.clusterID != 0 && r.log.snapshot.Index == 1 && len(r.log.entries) == 0 && (r.term == 1 || r.hasMutation(joinOtherAfterVote))
}

// stepBeforeJoining handles a message on an empty disk, or on a disk that has only the bootstrap of a cluster other than the sender's.
// It accepts messages only from a leader: a leader has the votes of a majority, so its cluster exists.
func (r *Replica) stepBeforeJoining(from MemberID, m Message) {
	switch {
	case m.Kind == MsgAppendChunk:
		r.onChunk(from, m)
	case m.Kind == MsgAppend, r.hasMutation(countWipedDisk) && r.clusterID == 0 && m.Kind == MsgRequestVote:
		r.joinCluster(from, m)
	}
}

// joinCluster joins the leader's cluster if the leader's message contains a snapshot. If the message has no snapshot, joinCluster rejects
// the message, so that the leader sends its snapshot.
func (r *Replica) joinCluster(from MemberID, m Message) {
	if m.Kind == MsgAppend && m.Snapshot == nil {
		r.sendToID(from, Message{Kind: MsgAppendReject, ClusterID: m.ClusterID, Term: m.Term, Seq: m.Seq, AcceptsChunks: true})
		return
	}
	r.resetToEmptyDisk()
	r.clusterID = m.ClusterID
	r.Step(from, m)
}

// DiscardBootstrap erases a disk that has only a bootstrap. The host calls it if the other members of that bootstrap are
// permanently lost. It returns false if the disk contains more than a bootstrap.
func (r *Replica) DiscardBootstrap() bool {
	if !r.hasOnlyBootstrap() {
		return false
	}
	r.resetToEmptyDisk()
	r.unwrittenSnapshot = true
	r.requireWriteFrom(1)
	return true
}

// resetToEmptyDisk resets the replica to the state of an empty disk. The next write erases the disk as well.
func (r *Replica) resetToEmptyDisk() {
	invariant.Assert(len(r.log.entries) == 0 && r.role != roleLeader, "only bootstrap state is discarded, and never by a leader")
	r.clusterID, r.term, r.votedFor, r.maxSeenTerm, r.bootstrapSynced = 0, 0, 0, 0, false
	r.log.snapshot, r.memberConfigs, r.commitIndex = Snapshot{}, []memberConfig{{}}, 0
	r.lowerSyncedIndex(0)
	r.role, r.leaderID, r.electionDeadline = roleFollower, 0, never
}
