package loadbalancer

import (
	"time"
)

// Tuned values. Shares are of 1.
const (
	busyInterval        = 20 * time.Millisecond  // periodic work while something waits
	surveyInterval      = 100 * time.Millisecond // and while nothing does
	stallThreshold      = 250 * time.Millisecond // without a turn: this gateway stood still
	firstAttemptShare   = 0.9                    // of the time left to the SLA time: a submission's limit; a repeat takes as long again
	firstAttemptFactor  = 4                      // and such a limit is set only above this times the usual answer time
	retryCreditPerTxn   = 0.2                    // further submissions earned by a txn
	maxRetryCredit      = 30.0
	pressureTTL         = 300 * time.Millisecond
	backendTimeoutShare = 0.35                    // of the SLA time: longest wait for a backend
	networkMargin       = 40 * time.Millisecond   // margin for the way to a backend
	responseTimeout     = 100 * time.Millisecond  // of an answer that has begun
	minInterval         = 10 * time.Millisecond   // packing delay at the least
	snapshotTTL         = 1000 * time.Millisecond // a snapshot older than this is stale

	maxSpareUtilization, spareCalmTime = 0.4, 3 * time.Second // use of room, and calm, at which what pays may go on
)

// Tuned values. Shares are of 1.
const (
	unknownLatencyDivisor    = 8                      // of the SLA time: a txn's usual time until one is known
	smoothing                = 0.1                    // weight of a new sample
	loadSmoothing            = 0.5                    // and of a load report
	observationsPerMessage   = 5                      // last answers told to a peer
	maxLoadFactor            = 8.0                    // times the mean load, and one more: a backend with that has enough; reports are late
	maxFailureSamples        = 5.0                    // answers that such a share is made of
	retryFailureShare        = 0.95                   // of failureThreshold, after a pause: one more failure, and it is passed over again
	slowEjectionRatio        = 4.0                    // times the fleet's median answer time sets a backend aside
	trialInterval            = 700 * time.Millisecond // a silent backend gets one inquiry-like txn
	unresponsiveEjectionTime = 1600 * time.Millisecond
	maxEjectedShare          = 0.5 // share of the backends that may be aside for being slow or failing
	probesToReturn           = 2
	slowStart                = 4 * time.Second // after its return a backend is passed over by chance
	rateWindow               = 3.0             // seconds over which the rate of sends to a backend is smoothed
	warmUpBudgetShare        = 0.5             // of the cold budget
	initialCapacity          = 4.0             // submissions out at a usual backend to begin with, from all gateways
	burstAllowance           = 1.0             // times the root of the room: txns come unevenly, the more so the fewer
	minUtilization           = 0.6             // share of the room in use that makes late answers count
	idleProbeCredit          = 0.05            // of a probe, each look around
	initialCapacityGain      = 0.01            // instead of capacityGain until room was taken away once: the first room is a guess
	cappedSlowRatio          = 1.3             // times the median: no place for txns whose plan caps what is open
	slowOutlierRatio         = 1.7             // times the median: such a backend's lateness is its own
	logInterval              = 5 * time.Second
	loadReportTTL            = 4 * time.Second // a load report's life

	unresponsiveFactor, minUnresponsiveTime = 4.0, 200 * time.Millisecond // times the usual answer time without any answer passes over
	capacityGain, capacityLoss              = 0.002, 0.025                // shares by a prompt and a late answer
	maxLatencyFactor, maxLatencyRatio       = 5.0, 20.0                   // times the usual: an answer counts as no more
	lateSLAShare, maxLateSLAShare           = 0.4, 0.9                    // of the SLA time: a later answer is a sign of crowding
	failureThreshold, failureOutlierFactor  = 0.35, 2.0                   // of failing submissions, and this times the share everywhere
	rejectionBackoff, maxRejectionDoublings = 100 * time.Millisecond, 5   // doubled each time in a row
	minEjectionTime, maxEjectionTime        = 500 * time.Millisecond, 8 * time.Second
	probeCreditPerTxn, maxProbeCredit       = 0.2, 10.0 // such probes earned by a txn
	minCapacity, maxCapacity                = 1.0, 40.0 // the least from all gateways
)
