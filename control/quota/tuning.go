package quota

import "time"

// A constant whose name contains Share is a fraction of 1.
const (
	// stallThreshold is the time between two calls of Now from which on this process counts as paused. Missing messages during a
	// pause prove nothing about the peers.
	stallThreshold = 250 * time.Millisecond

	// datagramShare is the share of Config.DatagramsPerSecond that this gateway lets its peers use.
	datagramShare = 0.7
	// maxInterval is the longest interval between datagrams that peers are asked to keep.
	maxInterval = 2 * time.Second
	// intervalDecay is the smallest factor by which the requested interval changes from one second to the next.
	intervalDecay = 0.5
	// deltaEighths is the part of a message, in eighths, that may be filled with deltas. The rest is kept for snapshots.
	deltaEighths = 4
	// resendAfter plus the peer's interval is the time after which an unacknowledged delta is sent again. It doubles with each attempt.
	resendAfter = 120 * time.Millisecond
	// maxResendDoublings is the maximum number of doublings of resendAfter plus the peer's interval.
	maxResendDoublings = 3

	// snapshotTimeout plus the intervals of both gateways is the time within which a healthy owner answers.
	snapshotTimeout = 100 * time.Millisecond
	// ownerAttempts is the number of answer time-outs (snapshotTimeout plus both intervals) after which an owner counts as
	// unresponsive. One time-out is not enough, because a report or its answer may get lost.
	ownerAttempts = 2
	// snapshotTimeoutShare is the share of the SLA time for which a request waits for an owner's answer at most.
	snapshotTimeoutShare = 0.4
	// unitTimeoutShare is the share of the SLA time for which a request waits for units or for a free slot at most.
	unitTimeoutShare = 0.3
	// retryReserveShare is the share of the burst that a late retry must leave in the bucket.
	retryReserveShare = 0.5
	// lowLevelFactor times the remaining level, divided by the number of recent reporters, is the burst share of a low bucket.
	lowLevelFactor = 2.0

	// reporterTTL is the time for which a report makes its sender a recent reporter.
	reporterTTL = 2 * time.Second
	// peerLostAfter is the time without an answer after which a peer counts as lost. Lost peers get no part of the rate of a customer
	// whose owner is unresponsive.
	peerLostAfter = 1500 * time.Millisecond
	// removedTTL is the time for which a customer that is no longer metered is remembered. Deltas for it are still acknowledged.
	removedTTL = time.Minute
	// idleAfter is the time without a request after which an account with a full bucket is removed.
	idleAfter = 10 * time.Second

	// maxStartSkew is the largest difference between the start times of gateways that are started together.
	maxStartSkew = 2 * time.Second
	// minYoungPeers is the number of young peers that, without any older peer, prove that the cluster is new. In a smaller cluster,
	// all peers must be young.
	minYoungPeers = 3

	// hardEvenShare is the share of the hard limit that is split evenly over the set. The rest is the owner's pool.
	hardEvenShare = 0.5
)

// Constants of strict mode. The bound in the package comment is proved for these values. TestBoundHoldsInAnyPartition fails for
// looser values.
const (
	// allowanceBurstShare is the share of a gateway's allowance that is available at once. The rest of the allowance is added over
	// Config.Window.
	allowanceBurstShare = 0.5
	// maxDebtTime times the rate is the largest debt of a bucket that results from use without the owner's knowledge.
	maxDebtTime = 1 * time.Second
	// maxInitialFillTime times the rate is the maximum level of a bucket at the start of a new cluster.
	maxInitialFillTime = 500 * time.Millisecond

	// grantTTL is the time for which granted units may be consumed.
	grantTTL = 1 * time.Second
	// grantMaxAge is the time for which the owner keeps granted units set aside. It is a window longer than grantTTL, because the
	// units may have been consumed within the window.
	grantMaxAge = 6 * time.Second
	// grantDivisor limits a grant beyond the requested units to the level divided by grantDivisor times the number of gateways.
	grantDivisor = 4.0

	// reporterQuietAfter is the time without a message after which a recent reporter's part of the rate is withheld.
	reporterQuietAfter = 250 * time.Millisecond
	// reporterLostAfter is the time without a message after which the host has found a lost reporter unreachable at the latest. The
	// host finds the reporter unreachable 2.9 s after the reporter's next report, which is due within 1 s.
	reporterLostAfter = 4200 * time.Millisecond
	// recentReportAge limits the age of the last acknowledged report at the time from which the owner sends no more messages. An
	// owner that acknowledged a newer report withholds the reporter's part.
	recentReportAge = 1 * time.Second
	// minWithholdRate is the minimum rate of a customer, in units a second for each gateway. At a lower rate, no part is withheld
	// before a host finds a gateway unreachable.
	minWithholdRate = 0.5
	// reachabilityLag is the longest delay between the views that two gateways have of their reachability.
	reachabilityLag = 1 * time.Second
)
