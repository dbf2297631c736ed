package coordination

import "time"

// What callers may send. Package controlapi rejects calls beyond these; api/control.yaml names them to callers.
const (
	// MaxNameBytes is the longest name of a lock, counter, key or holder.
	MaxNameBytes = 256
	// MaxValueBytes is the longest value of a key.
	MaxValueBytes = 4 << 10
	// MaxTTL is the longest lease that an acquire or a renew may ask for.
	MaxTTL = 10 * time.Minute
	// MaxWatchTimeout is the longest time that a watch waits.
	MaxWatchTimeout = 30 * time.Second
)

// What the state of one group holds. docs/coordination.md, "Snapshots and size", has what the disk leaves to each group.
const (
	maxLocks    = 4096
	maxNumbers  = 4096
	maxKeyBytes = 2 << 20 // names and values, with eventOverhead for each key
	// maxHistoryBytes bounds the events of all key groups. With more puts than that the history is shorter than it should be.
	maxHistoryBytes = 2 << 20
	// maxRememberedPuts bounds the digests by which a repeated put is recognized.
	maxRememberedPuts = 16384
	// maxEventBytesInResult bounds one watch's result; the next watch gives the rest.
	maxEventBytesInResult = 128 << 10
)

// What a service holds at one node.
const (
	maxPendingCalls  = 4096  // calls taken here that have not ended
	maxParkedWatches = 8192  // watches of all nodes that wait here, at the leader of their group
	maxWatchers      = 16384 // callers of this node that wait in shared watches
)

// Times of a call. Callers turn to another node after 1 s without an answer, so a call ends well before that.
const (
	// callTimeout is within what time each call ends, with whatever status.
	callTimeout = 800 * time.Millisecond
	// attemptTimeout is how long a node may take to answer one attempt before another one is asked.
	attemptTimeout = 250 * time.Millisecond
	// retryInterval is the pause between attempts while no leader is known.
	retryInterval = 40 * time.Millisecond
	// maxAttempts bounds the attempts of one call. pendingCall.openAttempts has a bit for each.
	maxAttempts = 30
	// maxInputDelay is how long a call may have been unread in a socket. Beyond it the caller may have given it up and gone on.
	maxInputDelay = 200 * time.Millisecond
	// watchPollTimeout is how long a watch is left with the leader before it is asked for again. A leadership that was lost without
	// notice is found out after this time.
	watchPollTimeout = 600 * time.Millisecond
)

// Times of the state, in log time.
const (
	// roundingSlack is added to each lease, since entries keep times in whole microseconds, rounded down.
	roundingSlack = time.Millisecond
	// retiredCallRetention is longer than any copy of a call can be on its way: at most maxInputDelay and callTimeout.
	retiredCallRetention = 4 * time.Second
	// staleReleaseWindow is also longer than that. A release that comes within it after the holder acquired the lock again may have
	// been sent before: the holder keeps its fencing token, so nothing distinguishes the two. Such a release frees nothing, and the
	// lock is free when its lease expires; to free it under a holder that goes on would be worse.
	staleReleaseWindow = 1200 * time.Millisecond
)
