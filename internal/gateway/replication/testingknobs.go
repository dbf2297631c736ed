package replication

// mutation is a defect that a test plants, to see that the explorer or a walk finds it.
type mutation uint8

// The mutations, each named after what a replica then does.
const (
	noMutation mutation = iota

	// Durability and voting.
	ackUnsynced           // acknowledges entries that are not on disk
	countWipedDisk        // counts a member whose disk was wiped
	acceptStaleTerm       // accepts a former leader's appends
	forgetVotes           // does not write its term and vote
	skipTruncation        // keeps entries that conflict with the leader's
	commitEarlierTerms    // commits entries of earlier terms by counting
	singleMajority        // needs one majority only for a change of members
	skipReadSeq           // answers a read without confirming that it leads
	voteBeforeSync        // sends a vote before it is on disk
	voteTwice             // votes for two candidates of a term
	electByMinority       // leads with one vote too few
	leadWithoutNewestLog  // leads without the newest log
	skipLogMatching       // appends behind an entry of another term
	countLearner          // counts a learner for a majority
	countStaleAcks        // counts acknowledgements of earlier terms
	keepFinishedProposals // keeps proposals whose Outcome was given
	readBeforeNoOp        // answers a read before an entry of its term is committed
	joinOtherAfterVote    // joins another cluster after it voted in the one it was bootstrapped for
	skipTieBreak          // lets two candidates of a term both need another time-out
	shareClusterID        // gives all logs of a disk the same cluster ID
	loseMergedWrite       // forgets the first of two pending writes
	syncOtherLog          // counts a write as synced with another log's
	mixBlobs              // joins chunks of two blobs
	skipChunks            // accepts a chunk though one before it is missing
	installPartial        // installs a snapshot before it is complete
	abandonTransfer       // replaces a snapshot under transfer by a newer one
	contactFromAckTime    // a leader counts contact from when the answer came
	contactFromAppendTime // a follower counts contact from when the append came
	contactBeforeNoOp     // a leader reports contact before an entry of its term is committed
	contactWhileLeading   // a leader is always in contact
	contactBeforeCommit   // a follower takes over contact though it lacks committed entries

	// Membership.
	neverReplace       // adds members, and neither replaces nor removes lost ones
	promoteEarly       // makes a learner a member before it has the state
	replaceAtOnce      // replaces members that are only restarting
	shrinkBelowMinimum // removes lost members however few remain
	keepDeadLearner    // keeps a learner that is gone
	drainEarly         // lets a member go before the others have what it has
	lostFromDetection  // counts a member as lost from when the host finds out
)

// mutated reports whether a test has planted a mutation. It is constantly false in a release build.
func (r *Replica) hasMutation(m mutation) bool { return r.config.TestingKnobs.hasMutation(m) }
