package quota

import "time"

// Values without another source were tuned on the simulated score; shares are of 1.
const (
	// stallThreshold without a call of Now means that this process stood still: silence of that time proves nothing about others.
	stallThreshold = 250 * time.Millisecond

	// datagramShare of Config.DatagramsPerSecond is what this gateway lets its peers send.
	datagramShare = 0.7
	// maxInterval bounds the interval between datagrams that peers are asked to keep.
	maxInterval = 2 * time.Second
	// intervalDecay is the least factor by which that interval shrinks from one second to the next.
	intervalDecay = 0.5
	// deltaEighths of a message may be filled with deltas; the rest is for snapshots.
	deltaEighths = 4
	// resendAfter, and the peer's interval, without an acknowledgement a delta is sent again; the time doubles with each attempt.
	resendAfter = 120 * time.Millisecond
	// maxResendDoublings bounds that.
	maxResendDoublings = 3

	// snapshotTimeout, and both gateways' intervals, is the time within which a healthy owner answers.
	snapshotTimeout = 100 * time.Millisecond
	// ownerAttempts is after how many such times an owner counts as unresponsive: a request or its answer may get lost.
	ownerAttempts = 2
	// snapshotTimeoutShare of the SLA time is the longest wait for an owner's answer.
	snapshotTimeoutShare = 0.4
	// unitTimeoutShare of the SLA time is the longest wait for units or for a free slot.
	unitTimeoutShare = 0.3
	// retryReserveShare of the burst must be left by a late retry.
	retryReserveShare = 0.5
	// lowBucketSplit times the remaining level, over the recent reporters, is the burst share of a low bucket.
	lowBucketSplit = 2.0

	// reporterTTL is how long a report counts its sender among the recent reporters.
	reporterTTL = 2 * time.Second
	// peerLostAfter without an answer a peer counts as lost, when an unresponsive owner's rate is divided.
	peerLostAfter = 1500 * time.Millisecond
	// removedTTL is how long a customer that is not metered any more is remembered: deltas of it are still acknowledged.
	removedTTL = time.Minute
	// idleAfter without a request an account with a full bucket is dropped.
	idleAfter = 10 * time.Second

	// startSkew is by how much the starts of gateways that are started together may differ.
	startSkew = 2 * time.Second
	// minYoungPeers, and none older, make a cluster a new one, if there are that many.
	minYoungPeers = 3

	// evenShare of the hard limit is split evenly; the rest is the owner's pool.
	evenShare = 0.5
)

// Strict mode. The bound in the package comment is proved for these values; TestQuotaAnyCut fails for looser ones.
const (
	// allowanceBurstShare of a gateway's allowance is there at once, the rest comes over a window.
	allowanceBurstShare = 0.5
	// maxDebt, times the rate, is the most that use without the owner's knowledge takes a bucket below 0.
	maxDebt = 1 * time.Second
	// maxInitialFill, times the rate, is the most in the buckets of a new cluster.
	maxInitialFill = 500 * time.Millisecond

	// grantTTL is how long granted units may be consumed.
	grantTTL = 1 * time.Second
	// grantMaxAge is how long their owner keeps them set aside: a window more, since they may have been consumed.
	grantMaxAge = 6 * time.Second
	// grantDivisor: at most the level, over so many times the gateways, is granted beyond what is asked for.
	grantDivisor = 4.0

	// reporterQuietAfter without a message a recent reporter's part of the rate is withheld.
	reporterQuietAfter = 250 * time.Millisecond
	// reporterLostAfter, at the latest, the host has found a lost reporter unreachable: 2.9 s after its next report, due within 1 s.
	reporterLostAfter = 4200 * time.Millisecond
	// recentReport: an owner that acknowledged a report less than this before it fell silent withholds the reporter's part.
	recentReport = 1 * time.Second
	// minWithholdRate, units a second for each gateway, is the least rate of which parts are withheld before a host finds a gateway unreachable.
	minWithholdRate = 0.5
	// reachabilityLag is by how much two gateways' views of their reachability may differ.
	reachabilityLag = 1 * time.Second
)
