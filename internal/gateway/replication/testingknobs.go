package replication

// mutation is a defect that a test injects to check that the state space exploration or a randomized simulation detects it.
type mutation uint8

// Mutations. Each comment says what a replica with the mutation does wrong. Quorum contact is the last time at which a majority is known
// to have followed the leader (see contact.go).
const (
	noMutation mutation = iota

	// Durability and voting.
	ackUnsynced           // acknowledges entries that are not on disk
	countWipedDisk        // counts a member for a majority although the member's disk was erased
	acceptStaleTerm       // accepts appends of a former leader
	forgetVotes           // does not write its term and vote to disk
	skipTruncation        // keeps entries that conflict with entries of the leader
	commitEarlierTerms    // commits entries of earlier terms as soon as a majority has them
	singleMajority        // needs only the majority of the new list in a joint configuration
	skipReadSeq           // answers a read without confirmation of its leadership
	voteBeforeSync        // sends a vote before it is on disk
	voteTwice             // votes for two candidates in one term
	electByMinority       // becomes leader with one vote too few
	leadWithoutNewestLog  // becomes leader without the newest log among the voters
	skipLogMatching       // appends after an entry whose term does not match
	countLearner          // counts a learner as part of a majority
	countStaleAcks        // counts acknowledgements of earlier terms
	keepFinishedProposals // keeps proposals that already have an Outcome
	readBeforeNoOp        // answers a read before an entry of its term is committed
	joinOtherAfterVote    // joins another cluster although it has voted in the one of its bootstrap
	skipTieBreak          // makes both candidates of a term wait for another election timeout
	shareClusterID        // gives all logs of a disk the same cluster ID
	loseMergedWrite       // drops the first of two merged writes
	syncOtherLog          // treats a write as synced once a write of another log is synced
	mixBlobs              // combines chunks of two blobs
	skipChunks            // accepts a chunk although an earlier one is missing
	installPartial        // installs a snapshot before it is complete
	abandonTransfer       // restarts the transfer of a snapshot when there is a newer one
	contactFromAckTime    // the leader takes the arrival time of a member's response as the time at which the member followed the leader
	contactFromAppendTime // a follower takes the arrival time of an append as the time of the quorum contact
	contactBeforeNoOp     // the leader reports quorum contact before an entry of its term is committed
	contactWhileLeading   // a leader always reports quorum contact at the present time
	contactBeforeCommit   // a follower accepts the leader's quorum contact although it lacks committed entries

	// Membership.
	neverReplace       // adds members, but never replaces or removes lost ones
	promoteEarly       // promotes a learner before it has the committed entries
	replaceAtOnce      // replaces members that may only be restarting
	shrinkBelowMinimum // removes lost members even if too few remain
	keepDeadLearner    // keeps a learner that does not respond
	drainEarly         // lets a draining member shut down before the other members have its entries
	lostFromDetection  // counts a member as lost only from when the host detects the loss, not from the member's last response
)

// hasMutation reports whether a test has injected a mutation. In a release build it always returns false.
func (r *Replica) hasMutation(m mutation) bool { return r.config.TestingKnobs.hasMutation(m) }
