//go:build debug || testingknobs

package replication

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Each mutation must be detected by the explorer (see explore), by a random walk (see walk) or by a test of its own. A release build has
// no mutations. With the build tag testingknobs, violated invariants are only counted and do not panic, so that the tests themselves
// must detect the fault.

// String returns what a replica with the mutation does wrong. A read sequence is the number of a round of heartbeats that confirms the
// leadership for reads: see read.go. Quorum contact is the last time at which a majority is known to have followed the leader: see
// contact.go.
func (m mutation) String() string {
	return [...]string{
		noMutation:            "none",
		ackUnsynced:           "unsynced entries are acknowledged",
		countWipedDisk:        "a member with a wiped disk counts for a majority",
		acceptStaleTerm:       "a former leader's appends are accepted",
		forgetVotes:           "votes are not written to disk",
		skipTruncation:        "conflicting entries are kept",
		commitEarlierTerms:    "entries of earlier terms are committed once a majority has them",
		singleMajority:        "a joint configuration needs only the majority of the new member list",
		skipReadSeq:           "a read is answered before a majority has acknowledged its read sequence",
		voteBeforeSync:        "a vote is sent before it is on disk",
		voteTwice:             "a member votes twice in a term",
		electByMinority:       "a candidate leads with one vote too few",
		leadWithoutNewestLog:  "a candidate leads without the newest log",
		skipLogMatching:       "entries are appended after an entry of another term",
		countLearner:          "a learner counts for a majority",
		countStaleAcks:        "an acknowledgement of an earlier term counts for a majority",
		keepFinishedProposals: "a proposal has two outcomes",
		readBeforeNoOp:        "a read is answered before the term's no-op is committed",
		joinOtherAfterVote:    "a disk that has voted joins another cluster",
		skipTieBreak:          "two candidates of one term both wait for another election timeout",
		shareClusterID:        "all logs of a disk have the same cluster ID",
		loseMergedWrite:       "the first of two merged writes is lost",
		syncOtherLog:          "a write counts as synced once a write of another log is synced",
		mixBlobs:              "chunks of two blobs are joined",
		skipChunks:            "a missing chunk is skipped",
		installPartial:        "a snapshot is installed before it is complete",
		abandonTransfer:       "a newer snapshot replaces the snapshot in transfer",
		contactFromAckTime:    "the leader takes the arrival time of a member's response as the time at which the member followed the leader",
		contactFromAppendTime: "a follower takes the arrival time of an append as the time at which a majority followed the leader",
		contactBeforeNoOp:     "before the no-op of its term is committed, a leader reports the time at which a majority followed the leader",
		contactWhileLeading:   "a leader always reports the present time as the time at which a majority followed the leader",
		contactBeforeCommit:   "a follower that lacks committed entries reports the time at which a majority followed the leader",
		neverReplace:          "lost members are not replaced",
		promoteEarly:          "a learner becomes a member before it has the committed entries",
		replaceAtOnce:         "a member that restarts is replaced at once",
		shrinkBelowMinimum:    "lost members are removed until too few are left",
		keepDeadLearner:       "a learner that does not respond prevents another learner",
		drainEarly:            "a draining member shuts down before the other members have its entries",
		lostFromDetection:     "a member counts as lost only from when the host detects the loss",
	}[m]
}

// Guards against an explorer that overlooks faults: explore must detect the mutations of each scenario.
func TestAllOrdersFindMutations(t *testing.T) { requireExplorerDetectsMutations(t, scenarios) }

// Guards against an explorer that overlooks wrong reports of quorum contact.
func TestContactInAllOrdersFindsMutations(t *testing.T) {
	requireExplorerDetectsMutations(t, contactScenarios)
}

// requireExplorerDetectsMutations requires that explore detects each mutation of each scenario.
func requireExplorerDetectsMutations(t *testing.T, all []scenario) {
	t.Helper()
	for _, s := range all {
		for _, planted := range s.mutations {
			t.Run(fmt.Sprint(s.name, ", ", planted), func(t *testing.T) {
				t.Parallel()
				began := time.Now()
				seen, violation := explore(s.build(planted), stateLimit(20_000))
				t.Log(seen, "states explored; time and violation:", time.Since(began), violation)
				must.NotEq(t, "", violation)
			})
		}
	}
}

// Guards against an explorer that overlooks the faults that are possible only because several logs share disks and links. Each mutation
// must be detected in the scenario of sharedScenarios that has the index given here.
func TestAllOrdersOverOneDiskFindMutations(t *testing.T) {
	for planted, index := range map[mutation]int{syncOtherLog: 0, ackUnsynced: 0, forgetVotes: 1, voteBeforeSync: 1, loseMergedWrite: 3, shareClusterID: 4} {
		t.Run(planted.String(), func(t *testing.T) {
			t.Parallel()
			began := time.Now()
			seen, violation := exploreSharedDisk(newSharedDisk(2, planted, sharedScenarios[index]), 60_000)
			must.NotEq(t, "", violation, must.Sprintf("mutation not detected in %d states", seen))
			t.Logf("detected after %v in %d states: %s", time.Since(began), seen, violation)
		})
	}
}

// requireMutationsDetected requires that each mutation is detected in at least one of walkCount walks with different seeds.
func requireMutationsDetected(t *testing.T, run func(*testing.T, int64, mutation) *walk, walkCount int64, mutations ...mutation) {
	t.Helper()
	for _, planted := range mutations {
		t.Run(planted.String(), func(t *testing.T) {
			t.Parallel()
			began := time.Now()
			for seed := range walkCount {
				if w := run(t, seed, planted); w.violation != "" {
					t.Log("mutation detected; seed, time and violation:", seed, time.Since(began), w.violation)
					return
				}
			}
			t.Fatal("mutation not detected: no walk violated an invariant")
		})
	}
}

// Guards against walks that overlook faults in reads and outcomes, which the explorer does not check.
func TestWalksFindMutations(t *testing.T) {
	requireMutationsDetected(t, runFaultWalk, 200, skipReadSeq, readBeforeNoOp, keepFinishedProposals)
}

// Guards against walks that overlook faults in reads and outcomes with the configuration of a coordination group (GroupConfig).
func TestWalksOfGroupsFindMutations(t *testing.T) {
	requireMutationsDetected(t, runFaultWalkWithGroupConfig, 200, skipReadSeq, readBeforeNoOp, keepFinishedProposals)
}

// Guards against walks that overlook wrong reports of quorum contact.
func TestContactWalksFindMutations(t *testing.T) {
	requireMutationsDetected(t, runQuorumContactWalk, 200, contactFromAckTime, contactFromAppendTime, contactBeforeNoOp, contactWhileLeading)
}

// Guards against walks that overlook wrong changes of the member list.
func TestReplacementWalksFindMutations(t *testing.T) {
	requireMutationsDetected(t, runReplacementWalk, 60, neverReplace, replaceAtOnce, shrinkBelowMinimum, keepDeadLearner)
}

// Guards against a check that overlooks a snapshot transfer that starts again from offset 0 at each compaction.
func TestSnapshotInTransferFindsMutation(t *testing.T) {
	state := strings.Split(strings.Repeat("s", 20), "")
	c := newCluster(3, 0, abandonTransfer, stepBudget{}).withSmallChunks().commitOnFirstTwoMembers(state...)
	bytes, _, caughtUp := catchUpThirdMember(c, 400)
	must.True(t, !caughtUp || bytes > 2*len(state)+2*40, must.Sprint("mutation not detected: the member caught up with few bytes"))
}

// Guards against a check that overlooks a draining member that shuts down before the other members have its entries.
func TestDrainingFindsMutation(t *testing.T) {
	atOnce, _ := drainWithSlowDisk(t, drainEarly)
	must.True(t, atOnce)
}

// Guards against a check that overlooks a disk that joins a second cluster and so forgets its vote in the first cluster.
func TestBootstrappedOnlyDiskFindsMutation(t *testing.T) {
	c, lastMember, otherLeader := newClusterWithTwoMemberLists(joinOtherAfterVote, true)
	must.Eq(t, otherLeader.clusterID, lastMember.clusterID)
	must.Eq(t, c.members[2].disk.ClusterID, lastMember.clusterID)
}

// Guards against a check that overlooks that a lost member is replaced too late, because its loss counts only from its detection.
func TestLostMemberIsReplacedWithinCatchUpTimeFindsMutation(t *testing.T) {
	must.StrContains(t, loseLeaderAfterReplacement(t, lostFromDetection), "no proposal was committed within 5 s")
}

// Guards against a check that overlooks slow elections, where two candidates of one term both wait for another election timeout.
func TestTwoMembersElectLeaderSoonFindsMutation(t *testing.T) {
	for _, syncDelay := range syncDelays {
		longest, _ := electionTimes(t, syncDelay, noMutation)
		longestMutated, meanMutated := electionTimes(t, syncDelay, skipTieBreak)
		t.Logf("sync delay=%v, mutation %q: time to leader mean=%v max=%v", syncDelay, skipTieBreak, meanMutated, longestMutated)
		if syncDelay >= 150*time.Millisecond {
			must.Greater(t, longest, longestMutated)
		}
	}
}
