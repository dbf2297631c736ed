package coordination

import "time"

// Limits of what callers may send. Package controlapi rejects calls that exceed them, and api/control.yaml documents them.
const (
	// MaxNameBytes is the maximum length of the name of a lock, counter, key or holder.
	MaxNameBytes = 256
	// MaxValueBytes is the maximum length of a key's value.
	MaxValueBytes = 4 << 10
	// MaxTTL is the longest lease that an acquire or a renewal may request.
	MaxTTL = 10 * time.Minute
	// MaxWatchTimeout is the longest time that a watch may wait.
	MaxWatchTimeout = 30 * time.Second
)

// Limits of the state of one group. docs/coordination.md, "Snapshots and size", explains how much disk space each group has.
const (
	maxLocks    = 4096
	maxNumbers  = 4096
	maxKeyBytes = 2 << 20 // names and values, plus eventOverhead for each key
	// maxHistoryBytes limits the events of all key groups together. If there are more puts than fit, the history covers less time than the
	// configured retention.
	maxHistoryBytes = 2 << 20
	// maxRememberedPuts limits the number of digests that are kept to recognize repeated puts.
	maxRememberedPuts = 16384
	// maxEventBytesInResult limits the result of one watch. The next watch returns the remaining events.
	maxEventBytesInResult = 128 << 10
)

// Limits of one node's service.
const (
	maxPendingCalls  = 4096  // calls that this node received and that have not ended
	maxParkedWatches = 8192  // watches from all nodes that wait at this node, as the leader of their group
	maxWatchers      = 16384 // callers of this node that wait in shared watches
)

// Times of a call. Callers switch to another node after 1 s without an answer, so a call must end well before 1 s.
const (
	// callTimeout is the time within which each call ends with some status. A watch may take its own timeout in addition.
	callTimeout = 800 * time.Millisecond
	// attemptTimeout is how long a node may take to answer one attempt before the next attempt goes to another node.
	attemptTimeout = 250 * time.Millisecond
	// retryInterval is the delay before the next attempt if there is no known leader, the link is down, or the newest attempt was rejected
	// or ended ambiguously.
	retryInterval = 40 * time.Millisecond
	// maxAttempts limits the attempts of one call. maxAttempts may not exceed 32, because pendingCall.openAttempts has one bit for each
	// attempt.
	maxAttempts = 30
	// maxInputDelay is the longest time for which a call may have waited unread in a socket, as Submit is told. After a longer delay the caller
	// may have abandoned the call and continued.
	maxInputDelay = 200 * time.Millisecond
	// MaxUnknownInputDelay is how much longer than Submit is told a call may have waited unread.
	MaxUnknownInputDelay = 120 * time.Millisecond
	// watchPollTimeout is how long the call of a shared watch waits at the leader before the node sends the call again. The leader confirms
	// its leadership at the end of each wait, so a leader that lost its leadership without knowing is detected after this time.
	watchPollTimeout = 600 * time.Millisecond
)

// Times of the state, in log time.
const (
	// leaseRoundingMargin is added to each lease, because entries store times in whole microseconds, rounded down.
	leaseRoundingMargin = time.Millisecond
	// maxCallAge is the longest time from the arrival of a call at a node's socket to the entry that the call appends. The time for which the
	// call waits unread counts towards callTimeout, but for MaxUnknownInputDelay.
	maxCallAge = callTimeout + MaxUnknownInputDelay
	// maxNetworkTime is the longest time from the sending of a call to its arrival at a node's socket.
	maxNetworkTime = 280 * time.Millisecond
	// retiredCallRetention is longer than any duplicate of a call can be in transit, which is at most maxCallAge.
	retiredCallRetention = 4 * time.Second
	// staleReleaseWindow is longer than a call can be in transit. A release that arrives within this time after the holder acquired the
	// lock again may have been sent before that acquire. Releases sent before and after the acquire look the same, because the holder keeps
	// its fencing token. A release within the window therefore has no effect, and the lock becomes free when its lease expires.
	// Freeing a lock on which the holder still relies would be worse.
	staleReleaseWindow = maxNetworkTime + maxCallAge
)
