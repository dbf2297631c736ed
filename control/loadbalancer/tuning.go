package loadbalancer

import "time"

// A constant whose name contains Share is a fraction of 1.

// Periodic work.
const (
	// busySweepInterval is the interval between sweeps while a txn or the quota waits for an event.
	busySweepInterval = 20 * time.Millisecond
	// refreshInterval is the interval between sweeps while nothing waits, and the least interval between two refreshes of the backend
	// statistics.
	refreshInterval = 100 * time.Millisecond
	// stallThreshold is the time between two calls of Now above which the process counts as stalled.
	stallThreshold = 250 * time.Millisecond
	// minWakeDelay is the minimum time from a wake-up decision to the wake-up.
	minWakeDelay = time.Millisecond
	// logInterval is the interval between two summaries in the log.
	logInterval = 5 * time.Second
)

// The quota.
const (
	// minDatagramInterval is the minimum interval between two datagrams to one peer.
	minDatagramInterval = 10 * time.Millisecond
	// snapshotTTL is the time for which a snapshot from an owner may be used.
	snapshotTTL = 1000 * time.Millisecond
	// A txn may exceed its quota if responses beyond the quota have a value for its plan. In addition, the share of the capacity in use
	// must be below maxOverQuotaUtilization, and each txn of the last overQuotaCooldown must have found a backend with capacity.
	maxOverQuotaUtilization = 0.4
	overQuotaCooldown       = 3 * time.Second
)

// Times of a txn.
const (
	// expiryMargin is the time before the expiry of a txn at which the front door rejects or fails a txn without an answer.
	expiryMargin = 2 * time.Millisecond
	// networkMargin is the allowance for the network delay to a backend.
	networkMargin = 40 * time.Millisecond
	// responseTimeout is the longest time from the first byte of a response to its last.
	responseTimeout = 100 * time.Millisecond
	// A submission that may be retried times out early only after more than firstAttemptFactor times the current response time.
	firstAttemptFactor = 4
	// Each txn adds retryBudgetPerTxn retries to the retry budget, which holds at most maxRetryBudget.
	retryBudgetPerTxn = 0.2
	maxRetryBudget    = 30.0
)

// Learned response times and failures.
const (
	// smoothing is the weight of a new sample in the moving averages of a backend.
	smoothing = 0.1
	// fleetSmoothing is the weight of a new sample in the moving averages over all backends. latencySmoothing is the weight of a new
	// sample in the usual and the current response time of a kind of work.
	fleetSmoothing   = smoothing / 5
	latencySmoothing = smoothing / 2
	// loadSmoothing is the weight of a load report in the load of a backend.
	loadSmoothing = 0.5
	// loadReportTTL is the time after the arrival of a load report in which the weight of the report falls linearly to 0.
	loadReportTTL = 4 * time.Second
	// While the usual response time of a txn is unknown, the SLA time divided by unknownLatencyDivisor is used instead.
	unknownLatencyDivisor = 8
	// In the update of the usual response time, a response time is limited to maxLatencyFactor times the usual one. In the update of
	// a backend's slowdown, the ratio of a response time to the usual one is limited to maxLatencyRatio.
	maxLatencyFactor = 5.0
	maxLatencyRatio  = 20.0
	// minLatencySeconds is the lower bound of a usual response time that is used as a divisor.
	minLatencySeconds = 0.0005
	// A submission that timed out counts as lost if its time-out is at least lostLatencyRatio times the usual response time.
	lostLatencyRatio = 3
	// minSlowdown is the lower bound of a slowdown that is used as a divisor.
	minSlowdown = 0.1
	// rateWindow is the time constant in seconds of the smoothed completion rate.
	rateWindow = 3.0
	// observationsPerMessage is the maximum number of submissions whose outcomes one datagram to a peer reports.
	observationsPerMessage = 5
)

// Exclusion and ejection of backends.
const (
	// A backend is excluded or ejected if its share of failing or lost submissions is above failureThreshold and also above
	// failureOutlierFactor times the share of all backends.
	failureThreshold     = 0.35
	failureOutlierFactor = 2.0
	// maxFailureSamples is the maximum number of responses that determine the failure share of a product.
	maxFailureSamples = 5.0
	// After an exclusion, the failure share starts at postExclusionShare of failureThreshold, so that one more failure excludes the
	// backend again.
	postExclusionShare = 0.95
	// A backend is ejected if its slowdown is above slowEjectionRatio times the median.
	slowEjectionRatio = 4.0
	// maxEjectedShare is the maximum share of the ready backends that is ejected because of losses or slowness.
	maxEjectedShare = 0.5
	// minEjectionTime is the length of the first ejection or exclusion. Each further ejection or exclusion of the backend lasts twice
	// as long, up to maxEjectionTime.
	minEjectionTime = 500 * time.Millisecond
	maxEjectionTime = 8 * time.Second
	// rejectionBackoff is the time for which a backend that rejected a submission gets no more submissions. This time doubles with
	// each further rejection in a row, at most maxRejectionDoublings times.
	rejectionBackoff      = 100 * time.Millisecond
	maxRejectionDoublings = 5
	// A backend with at least two unanswered submissions is unresponsive after unresponsiveFactor times the usual response time
	// without any response, but not before minUnresponsiveTime. The backend is ejected after unresponsiveEjectionTime. Until then,
	// one inquiry-like txn is submitted to the backend after each trialInterval.
	unresponsiveFactor       = 4.0
	minUnresponsiveTime      = 200 * time.Millisecond
	unresponsiveEjectionTime = 1600 * time.Millisecond
	trialInterval            = 700 * time.Millisecond
	// probesToReadmit is the number of successful probes in a row that end an ejection.
	probesToReadmit = 2
	// Each txn adds probeBudgetPerTxn probes to the probe budget, and each examination of the backends adds idleProbeBudget. The budget
	// holds at most maxProbeBudget.
	probeBudgetPerTxn = 0.2
	idleProbeBudget   = 0.05
	maxProbeBudget    = 10.0
	// slowStartTime is the time after an ejection in which the share of a backend grows from minSlowStartShare to 1.
	slowStartTime     = 4 * time.Second
	minSlowStartShare = 0.2
	// The settings define how many submissions overload a backend that is warming up. All front doors together send warmUpBudgetShare
	// of this number to the backend.
	warmUpBudgetShare = 0.5
)

// Capacity.
const (
	// initialCapacity is the initial capacity of all front doors together, in submissions in flight at one backend. Later, the
	// learned capacity is between minCapacity and maxCapacity.
	initialCapacity = 4.0
	minCapacity     = 1.0
	maxCapacity     = 40.0
	// A prompt response multiplies the capacity by 1 + capacityGain. A late response multiplies it by 1 - capacityLoss. Until the
	// first late response lowers the capacity, the gain is initialCapacityGain, because the initial capacity is only an estimate.
	capacityGain        = 0.002
	capacityLoss        = 0.025
	initialCapacityGain = 0.01
	// minUtilization is the share of the capacity that must be in use for a late response to lower it.
	minUtilization = 0.6
	// If the slowdown of a backend is above slowOutlierRatio times the median, its late responses are attributed to the backend and
	// not to congestion of the fleet.
	slowOutlierRatio = 1.7
	// pressureTTL is the time for which a front door counts as under pressure after a txn found no backend with capacity.
	pressureTTL = 300 * time.Millisecond
)

// Choice of a backend.
const (
	// The number of submissions in flight at one backend is at most maxInFlightFactor times the capacity of the backend.
	maxInFlightFactor = 1.5
	// The number of submissions in flight at all eligible backends may exceed their total capacity by burstAllowance times the square
	// root of that capacity. Txns arrive at random, and the relative variation of their number is larger for smaller numbers.
	burstAllowance = 1.0
	// A candidate is skipped if its load after one more submission would be above 1 plus maxLoadFactor times the mean load of the
	// candidates. The factor is large because load reports arrive late.
	maxLoadFactor = 8.0
	// minLoadSlowdown is the lower bound of the factor by which the load of a backend is multiplied because the backend is fast.
	minLoadSlowdown = 0.5
	// A backend whose slowdown is above maxSlowdownForLimitedPlans times the median gets no txn of a plan that limits the submissions in
	// flight.
	maxSlowdownForLimitedPlans = 1.3
)
