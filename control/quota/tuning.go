package quota

import (
	"time"
)

// Tuned values. Shares are of 1.
const (
	stallThreshold       = 250 * time.Millisecond  // without a turn: this gateway stood still
	datagramShare        = 0.7                     // of what a peer takes in
	deltaEighths         = 4                       // eighths of a message that deltas may fill, the rest is for answers
	lowBucketSplit       = 2.0                     // a low bucket is split too: this times what remains, over the recent reporters
	peerLostAfter        = 1500 * time.Millisecond // a gateway not heard for longer counts as lost
	reporterQuietAfter   = 250 * time.Millisecond  // and one that has reported may be, for its part of the rate,
	reporterLostAfter    = 4200 * time.Millisecond // until the host would have said so: lost 2.9 s after the next report, due in 1 s
	reporterTTL          = 2 * time.Second
	maxDebt              = 1 * time.Second // of the rate
	removedTTL           = 1 * time.Minute // a customer no longer metered is remembered
	idleAfter            = 10 * time.Second
	ownerAttempts        = 2                      // a question or its answer may get lost: an owner is silent after so many
	snapshotTimeout      = 100 * time.Millisecond // and both packing delays: longest wait for a snapshot
	maxInterval          = 2 * time.Second
	intervalDecay        = 0.5
	snapshotTimeoutShare = 0.4                    // of the SLA time at most
	retryReserveShare    = 0.5                    // of the burst: what a repeat must leave
	unitTimeoutShare     = 0.3                    // of the SLA time: longest wait for units or an open slot
	startSkew            = 2 * time.Second        // gateways of one age started within this
	minYoungPeers        = 3                      // of these heard, and none older
	evenShare            = 0.5                    // of a ceiling: split evenly; the rest is the owner's pool
	allowanceBurstShare  = 0.5                    // of a gateway's part of what the rule leaves: at once; the rest over a window
	recentReport         = 1 * time.Second        // an owner that had a report so lately keeps the part of the rate,
	minWithholdRate      = 0.5                    // where that is so many units a second at the least
	reachabilityLag      = 1 * time.Second        // gateways find each other lost, and back, up to so far apart
	grantTTL             = 1 * time.Second        // lent units may be spent for so long; their owner holds them for
	grantMaxAge          = 6 * time.Second        // a window more: they may have been spent
	maxInitialFill       = 500 * time.Millisecond // of the rate: the most in buckets where all is new, away so long
	grantDivisor         = 4.0                    // lent at once: what is left, over so many times the gateways

	resendAfter, maxResendDoublings = 120 * time.Millisecond, 3 // an unacknowledged delta goes again, twice as late each time
)
