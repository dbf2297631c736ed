package quota

import "time"

// A constant whose name contains Share is a fraction of 1.
const (
	// stallThreshold is the time between two calls of Now from which on this process counts as paused. A pause explains why
	// messages from peers are missing, so such messages are not attributed to the peers.
	stallThreshold = 250 * time.Millisecond

	// datagramShare is the share of Config.DatagramsPerSecond that this gateway lets its peers use.
	datagramShare = 0.7
	// maxInterval is the longest interval between datagrams that this gateway requests from a peer.
	maxInterval = 2 * time.Second
	// intervalDecay is the smallest factor by which one sweep multiplies the interval between datagrams that this gateway requests from its
	// peers.
	intervalDecay = 0.5
	// deltaEighths is the part of a message, in eighths, that may be filled with deltas. The rest is kept for snapshots.
	deltaEighths = 4
	// resendAfter plus the peer's interval is the time after which an unacknowledged delta is sent again. This time doubles each time that
	// the delta is sent again.
	resendAfter = 120 * time.Millisecond
	// maxResendDoublings is the maximum number of doublings of resendAfter plus the peer's interval.
	maxResendDoublings = 3

	// snapshotTimeout plus the intervals of both gateways is the time within which a healthy owner answers.
	snapshotTimeout = 100 * time.Millisecond
	// ownerAttempts is the number of answer time-outs (snapshotTimeout plus both intervals) after which an owner counts as
	// unresponsive. One time-out is not enough, because a report or its answer may get lost.
	ownerAttempts = 2
	// lowLevelFactor times the level of a snapshot, divided by the number of recent reporters, is the burst share if the level is low.
	lowLevelFactor = 2.0

	// reporterTTL is the time for which a report makes its sender a recent reporter.
	reporterTTL = 2 * time.Second
	// peerLostAfter is the time after which a peer counts as lost if it has neither acknowledged a delta nor sent any datagram. Lost
	// peers get no part of the rate of a customer whose owner is unresponsive.
	peerLostAfter = 1500 * time.Millisecond
	// removedTTL is the time for which a customer that is no longer metered is remembered. During this time, deltas for the customer are
	// still acknowledged.
	removedTTL = time.Minute
	// idleAfter is the time without a request after which an account with a full bucket is removed.
	idleAfter = 10 * time.Second

	// maxStartSkew is the largest difference between the start times of gateways that are started together.
	maxStartSkew = 2 * time.Second
	// minYoungPeers is the number of young peers that prove that the cluster is new if there is no older peer. A young peer was started
	// at about the same time as this gateway or later. In a cluster with fewer peers, all peers must be young.
	minYoungPeers = 3

	// hardEvenShare is the share of the hard limit that is split evenly over the gateways of the customer's set. The rest is the
	// owner's pool.
	hardEvenShare = 0.5
)

// MaxDatagramDelay is the longest time from the sending of a datagram to the call of DatagramReceived. The host drops older datagrams.
const MaxDatagramDelay = 400 * time.Millisecond

// Constants of strict mode. The bound in the package comment is proved for these values. TestBoundHoldsInAnyPartition fails for
// looser values.
const (
	// allowanceBurstShare is the share of a gateway's part of the allowance that can be saved up. The rest of the part is added evenly
	// over Config.Window.
	allowanceBurstShare = 0.5
	// maxDebtTime times the rate is the largest number of units by which consumption without the owner's knowledge may lower a bucket's
	// level below 0.
	maxDebtTime = 1 * time.Second
	// maxInitialFillTime times the rate is the maximum level of a bucket at the start of a new cluster.
	maxInitialFillTime = 500 * time.Millisecond

	// grantTTL is the time for which granted units may be consumed.
	grantTTL = 1 * time.Second
	// grantMaxAge is the time for which the owner keeps granted units set aside. It is longer than grantTTL by the 5 s of Config.Window,
	// because the units may have been consumed at any time within the last window, and by MaxDatagramDelay, because grantTTL begins when
	// the grant is read.
	grantMaxAge = 6*time.Second + MaxDatagramDelay
	// grantDivisor limits a grant. A grant has the larger of two numbers of units: the requested units, and the units left divided by
	// grantDivisor and by the number of gateways.
	grantDivisor = 4.0

	// reporterQuietAfter is the time without a message after which a recent reporter's part of the rate is withheld.
	reporterQuietAfter = 250 * time.Millisecond
	// reporterLostAfter is the time since the last message of a lost reporter by which the host has found the reporter unreachable. The
	// reporter's next report would be due within 1 s, and the host finds the reporter unreachable at most 2.9 s later.
	reporterLostAfter = 4200 * time.Millisecond
	// recentReportAge is the maximum time from the last acknowledged report to the first report or snapshot request without an answer. If
	// the time was shorter, the owner received a report shortly before it became unresponsive, so it withholds the reporter's part.
	recentReportAge = 1 * time.Second
	// minWithholdRate is the minimum rate of a customer, in units a second for each gateway. At a lower rate, no part is withheld
	// before a host finds a gateway unreachable.
	minWithholdRate = 0.5
	// reachabilityLag is the longest time by which one gateway learns later than another gateway that the two can or cannot reach each
	// other.
	reachabilityLag = 1 * time.Second
)
