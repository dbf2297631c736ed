//go:build debug || testingknobs

package replication

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Each mutation must be found, by the explorer, by walks or by a test of its own. A release build has no mutations; with the tag
// testingknobs its invariants only count what they find, so that the tests themselves must see what is wrong.

func (m mutation) String() string {
	return [...]string{
		noMutation:            "none",
		ackUnsynced:           "entries that are not on disk are acknowledged",
		countWipedDisk:        "a member with a wiped disk counts",
		acceptStaleTerm:       "a former leader's appends are accepted",
		forgetVotes:           "votes are not put on disk",
		skipTruncation:        "conflicting entries are kept",
		commitEarlierTerms:    "entries of earlier terms are committed by counting",
		singleMajority:        "one majority is enough for a change of members",
		skipReadSeq:           "a read without a confirmed sequence",
		voteBeforeSync:        "a vote is sent before it is on disk",
		voteTwice:             "two votes in a term",
		electByMinority:       "one vote too few",
		leadWithoutNewestLog:  "not the newest log leads",
		skipLogMatching:       "appended behind an entry of another term",
		countLearner:          "a learner counts",
		countStaleAcks:        "an acknowledgement of an earlier term counts",
		keepFinishedProposals: "a proposal ends twice",
		readBeforeNoOp:        "a read before the term's first entry is committed",
		joinOtherAfterVote:    "a cluster is left after a vote",
		skipTieBreak:          "two candidates of a term both need another time-out",
		shareClusterID:        "all logs have one cluster ID",
		loseMergedWrite:       "a pending write is forgotten",
		syncOtherLog:          "synced with another log's write",
		mixBlobs:              "chunks of two blobs are joined",
		skipChunks:            "a missing chunk is passed over",
		installPartial:        "a snapshot is installed before it is complete",
		abandonTransfer:       "a newer snapshot replaces the one under transfer",
		contactFromAckTime:    "contact by an answer's receipt",
		contactFromAppendTime: "contact by an append's receipt",
		contactBeforeNoOp:     "contact before the term's first entry is committed",
		contactWhileLeading:   "contact while it leads",
		contactBeforeCommit:   "contact ahead of the log",
		neverReplace:          "nobody is replaced",
		promoteEarly:          "a learner counts before it has the state",
		replaceAtOnce:         "a member that restarts is replaced",
		shrinkBelowMinimum:    "too few members stay",
		keepDeadLearner:       "a dead learner blocks the next",
		drainEarly:            "a member that drains goes too early",
		lostFromDetection:     "lost from when it is detected",
	}[m]
}

func TestAllOrdersFindMutations(t *testing.T) { exploreMutations(t, scenarios) }

func TestContactInAllOrdersFindsMutations(t *testing.T) { exploreMutations(t, contactScenarios) }

// exploreMutations finds the mutations of each scenario.
func exploreMutations(t *testing.T, all []scenario) {
	t.Helper()
	for _, s := range all {
		for _, planted := range s.mutations {
			t.Run(fmt.Sprint(s.name, ", ", planted), func(t *testing.T) {
				t.Parallel()
				began := time.Now()
				seen, wrong := explore(s.make(planted), maxStates(20_000))
				t.Log(seen, "states,", time.Since(began), wrong)
				must.NotEq(t, "", wrong)
			})
		}
	}
}

// Sharing a disk and links invites these. Each is found in the scenario of that index.
func TestAllOrdersOverOneDiskFindMutations(t *testing.T) {
	for planted, scene := range map[mutation]int{syncOtherLog: 0, ackUnsynced: 0, forgetVotes: 1, voteBeforeSync: 1, loseMergedWrite: 3, shareClusterID: 4} {
		t.Run(planted.String(), func(t *testing.T) {
			t.Parallel()
			began := time.Now()
			seen, wrong := exploreShared(newShared(2, planted, sharedScenarios[scene]), 60_000)
			must.NotEq(t, "", wrong, must.Sprintf("not found in %d states", seen))
			t.Logf("%v, %d states: %s", time.Since(began), seen, wrong)
		})
	}
}

// requireMutationsFound wants each mutation found within so many walks.
func requireMutationsFound(t *testing.T, play func(*testing.T, int64, mutation) *walk, walks int64, mutations ...mutation) {
	t.Helper()
	for _, planted := range mutations {
		t.Run(planted.String(), func(t *testing.T) {
			t.Parallel()
			began := time.Now()
			for seed := range walks {
				if w := play(t, seed, planted); w.violation != "" {
					t.Log("seed", seed, time.Since(began), w.violation)
					return
				}
			}
			t.Fatal("not found")
		})
	}
}

// What orders of a few messages don't show: reads and ends of proposals.
func TestWalksFindMutations(t *testing.T) {
	requireMutationsFound(t, faultWalk, 200, skipReadSeq, readBeforeNoOp, keepFinishedProposals)
}

func TestWalksOfGroupsFindMutations(t *testing.T) {
	requireMutationsFound(t, groupFaultWalk, 200, skipReadSeq, readBeforeNoOp, keepFinishedProposals)
}

func TestContactWalksFindMutations(t *testing.T) {
	requireMutationsFound(t, contactWalk, 200, contactFromAckTime, contactFromAppendTime, contactBeforeNoOp, contactWhileLeading)
}

func TestReplacementWalksFindMutations(t *testing.T) {
	requireMutationsFound(t, replacements, 60, neverReplace, replaceAtOnce, shrinkBelowMinimum, keepDeadLearner)
}

func TestSnapshotInTransferFindsMutation(t *testing.T) {
	state := strings.Split(strings.Repeat("s", 20), "")
	w := newCluster(3, 0, abandonTransfer, stepBudget{}).inChunks().commitOnTwo(state...)
	bytes, _, level := rejoin(w, 400)
	must.True(t, !level || bytes > 2*len(state)+2*40, must.Sprint("the mutation is not seen"))
}

func TestDrainingFindsMutation(t *testing.T) {
	atOnce, _ := drainWithSlowDisk(t, drainEarly)
	must.True(t, atOnce)
}

// The vote for a candidate of the first cluster is forgotten.
func TestBootstrappedOnlyDiskFindsMutation(t *testing.T) {
	w, last, other := twoClusters(joinOtherAfterVote, true)
	must.Eq(t, other.clusterID, last.clusterID)
	must.Eq(t, w.members[2].disk.ClusterID, last.clusterID)
}

func TestReplacedWithinCatchUpFindsMutation(t *testing.T) {
	must.StrContains(t, loseAfterCatchUp(t, lostFromDetection), "no order is taken")
}

func TestTwoMembersElectLeaderSoonFindsMutation(t *testing.T) {
	for _, sync := range syncTimes {
		worst, _ := slowestElection(t, sync, noMutation)
		mutated, mean := slowestElection(t, sync, skipTieBreak)
		t.Logf("syncs of %v, %v: a leader after %v in the mean, %v at worst", sync, skipTieBreak, mean, mutated)
		if sync >= 150*time.Millisecond {
			must.Greater(t, worst, mutated)
		}
	}
}
