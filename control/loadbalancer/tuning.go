package loadbalancer

import "time"

// Values without another source were tuned on the simulated score; shares are of 1.

// Periodic work.
const (
	// busySweepInterval between two sweeps while something waits, refreshInterval while nothing does.
	busySweepInterval = 20 * time.Millisecond
	refreshInterval   = 100 * time.Millisecond
	// stallThreshold without a call of Now means that this process stood still.
	stallThreshold = 250 * time.Millisecond
	// minWakeDelay is the least time from a decision to a wake-up.
	minWakeDelay = time.Millisecond
	// logInterval between two summaries for the log.
	logInterval = 5 * time.Second
)

// The quota.
const (
	// minDatagramInterval between two datagrams to one peer.
	minDatagramInterval = 10 * time.Millisecond
	// snapshotTTL is how long an owner's snapshot may be used.
	snapshotTTL = 1000 * time.Millisecond
	// Beyond its quota a txn may pass, if its plan pays for it, while less than maxOverQuotaUtilization of the capacity is in use and none
	// was lacking for overQuotaCooldown.
	maxOverQuotaUtilization = 0.4
	overQuotaCooldown       = 3 * time.Second
)

// Times of a txn.
const (
	// expiryMargin before a txn's expiry it is answered here.
	expiryMargin = 2 * time.Millisecond
	// slaMargin before the end of the SLA time a submission is given up: a later answer is hardly worth the work.
	slaMargin = 4 * time.Millisecond
	// networkMargin is allowed for the way to a backend.
	networkMargin = 40 * time.Millisecond
	// responseTimeout is how long an answer that has begun may take to be complete.
	responseTimeout = 100 * time.Millisecond
	// backendQueueTimeShare of the SLA time is the longest wait for a backend.
	backendQueueTimeShare = 0.35
	// firstAttemptShare of the time that is left is given to a first submission, so that a retry has time, but only if that is more
	// than firstAttemptFactor times the usual answer time.
	firstAttemptShare  = 0.9
	firstAttemptFactor = 4
	// retryBudgetPerTxn retries are earned by a txn, and maxRetryBudget saved up at the most.
	retryBudgetPerTxn = 0.2
	maxRetryBudget    = 30.0
)

// What is learned of answer times and failures.
const (
	// smoothing is the weight of a new sample of a backend.
	smoothing = 0.1
	// fleetSmoothing and latencySmoothing are those of a sample of all backends, and of the usual answer time of a kind of work.
	fleetSmoothing   = smoothing / 5
	latencySmoothing = smoothing / 2
	// loadSmoothing is the weight of a load report.
	loadSmoothing = 0.5
	// loadReportTTL is how long a load report counts, ever less.
	loadReportTTL = 4 * time.Second
	// unknownLatencyDivisor: the SLA time over it is a txn's usual answer time while none is known.
	unknownLatencyDivisor = 8
	// maxLatencyFactor times the usual an answer counts at most in the usual time, maxLatencyRatio times in a backend's slowdown.
	maxLatencyFactor = 5.0
	maxLatencyRatio  = 20.0
	// minLatencySeconds bounds the usual time that an answer is compared with.
	minLatencySeconds = 0.0005
	// lostLatencyRatio times the usual without an answer, a time-out counts as a lost submission.
	lostLatencyRatio = 3
	// minSlowdown bounds slowdowns that are divided by.
	minSlowdown = 0.1
	// rateWindow, in seconds, is the time over which the rate of answers is smoothed.
	rateWindow = 3.0
	// observationsPerMessage are the last submissions that go to peers.
	observationsPerMessage = 5
)

// Exclusion and ejection of backends.
const (
	// failureThreshold of failing submissions, if it is also more than failureOutlierFactor times the share of all backends, excludes or
	// ejects a backend.
	failureThreshold     = 0.35
	failureOutlierFactor = 2.0
	// maxFailureSamples is the number of answers that a product's failing share is made of.
	maxFailureSamples = 5.0
	// postExclusionShare of failureThreshold is what such a share begins with after an exclusion: one more failure excludes it again.
	postExclusionShare = 0.95
	// slowEjectionRatio times the median slowdown ejects a backend.
	slowEjectionRatio = 4.0
	// maxEjectedShare of the backends may be ejected for failing or for slowness.
	maxEjectedShare = 0.5
	// minEjectionTime is the first ejection or exclusion; each further one lasts twice as long, up to maxEjectionTime.
	minEjectionTime = 500 * time.Millisecond
	maxEjectionTime = 8 * time.Second
	// rejectionBackoff is the pause of a backend that rejected a submission, doubled with each in a row.
	rejectionBackoff      = 100 * time.Millisecond
	maxRejectionDoublings = 5
	// A backend that owes two answers or more is unresponsive after unresponsiveFactor times the usual answer time, minUnresponsiveTime at
	// the least, without any answer; after unresponsiveEjectionTime it is ejected. An inquiry-like txn tries it each trialInterval.
	unresponsiveFactor       = 4.0
	minUnresponsiveTime      = 200 * time.Millisecond
	unresponsiveEjectionTime = 1600 * time.Millisecond
	trialInterval            = 700 * time.Millisecond
	// probesToReadmit successful probes in a row end an ejection.
	probesToReadmit = 2
	// probeBudgetPerTxn and idleProbeBudget probes are earned by a txn and by each examination of the backends, maxProbeBudget saved up.
	probeBudgetPerTxn = 0.2
	idleProbeBudget   = 0.05
	maxProbeBudget    = 10.0
	// slowStartTime is how long a backend's share grows after an ejection, from minSlowStartShare.
	slowStartTime     = 4 * time.Second
	minSlowStartShare = 0.2
	// warmUpBudgetShare of the submissions that would push over a backend that is warming up are sent by all front doors together.
	warmUpBudgetShare = 0.5
)

// Capacity.
const (
	// initialCapacity is what all front doors together begin with, submissions in flight at one backend; then between minCapacity and
	// maxCapacity.
	initialCapacity = 4.0
	minCapacity     = 1.0
	maxCapacity     = 40.0
	// capacityGain is added by a prompt answer, capacityLoss taken away by a late one. Until the first loss it is initialCapacityGain: the initial
	// capacity is a guess.
	capacityGain        = 0.002
	capacityLoss        = 0.025
	initialCapacityGain = 0.01
	// minUtilization of the capacity must be in use for a late answer to count.
	minUtilization = 0.6
	// An answer is late after lateSLAShare of the SLA time and the usual answer time, after maxLateSLAShare at the latest.
	lateSLAShare    = 0.4
	maxLateSLAShare = 0.9
	// slowOutlierRatio times the median slowdown: such a backend's lateness is its own.
	slowOutlierRatio = 1.7
	// pressureTTL is how long a lack of capacity counts as pressure.
	pressureTTL = 300 * time.Millisecond
)

// Choice of a backend.
const (
	// maxInFlightFactor times its capacity is in flight at one backend.
	maxInFlightFactor = 1.5
	// burstAllowance times the square root of the whole capacity is in flight beyond it: txns come unevenly, the more so the fewer.
	burstAllowance = 1.0
	// maxLoadFactor times the mean load, and one more, is enough for a backend. It is large because load reports are late.
	maxLoadFactor = 8.0
	// minLoadSlowdown bounds by how much a fast backend's load counts as less.
	minLoadSlowdown = 0.5
	// maxSlowdownForLimitedPlans times the median slowdown: no place for a txn whose plan bounds submissions in flight.
	maxSlowdownForLimitedPlans = 1.3
)
