package balancer

import "time"

// Shares are fractions of 1.

// Statistics of responses.
const (
	// Weights of a new value in a smoothed value. slowdownSmoothing is the weight of a response in the backend's slowdown. latencySmoothing is the
	// weight of a response in the typical latency of its kind of request. failureSmoothing is the weight of the end of a request in the backend's
	// share of failures. serviceSmoothing is the weight of that end in the shares of rejections and failures of the whole service.
	slowdownSmoothing = 0.08
	latencySmoothing  = 0.03
	failureSmoothing  = 0.2
	serviceSmoothing  = 0.03
	// initialResponses is the weight, in responses, of the slowdown that a new backend starts with.
	initialResponses = 4
	// maxLatencyFactor bounds the time of a response, as a multiple of the typical latency.
	maxLatencyFactor = 5.0
	// minLatencySeconds is the least time that a response counts as.
	minLatencySeconds = 0.0005
)

// Share of a backend.
const (
	// A backend's share is slots / slowdown^slowdownExponent, so a fast backend gets more than its speed alone would give. The slowdown is
	// bounded by minSlowdown and maxSlowdown.
	slowdownExponent = 1.6
	minSlowdown      = 0.4
	maxSlowdown      = 5.0
	// overloadSlowdown is the slowdown above which a backend gets one request at a time. Its late responses do not lower the capacity.
	overloadSlowdown = 2.5
	// warmUpShare is the factor on the share of a backend that is warming up. After the warm-up or an ejection the share grows to its full size
	// over slowStartTime.
	warmUpShare   = 0.25
	slowStartTime = 2 * time.Second
	// unprovenShare is the factor on the share of a backend that has answered nothing yet, unprovenEffectfulShare that for effectful requests.
	unprovenShare          = 0.5
	unprovenEffectfulShare = 0.3
	// maxUnprovenInFlight is the largest number of requests in flight at such a backend.
	maxUnprovenInFlight = 2
	// maxLag is the largest number of strides by which a backend's pass may be behind the virtual time of the other backends. Without this bound, a
	// backend that was idle would get all requests for a time.
	maxLag = 2
)

// Rejections and failures.
const (
	// rejectionBackoff is the time for which a backend that rejected a request gets none. It doubles with each consecutive rejection, at most
	// maxRejectionDoublings times.
	rejectionBackoff      = 60 * time.Millisecond
	maxRejectionDoublings = 5
	// notSentBackoff is the time for which a backend gets no request after the host could not send one there.
	notSentBackoff = 60 * time.Millisecond
	// failureThreshold is the share of failures from which a backend is ejected, if it is also failureOutlierFactor times the share of the service.
	failureThreshold     = 0.3
	failureOutlierFactor = 2.0
	// minEjectionTime is the length of the first ejection. Each further ejection lasts twice as long, up to maxEjectionTime.
	minEjectionTime = 300 * time.Millisecond
	maxEjectionTime = 5 * time.Second
	// effectfulFailureThreshold is the share of failures above which a backend gets no effectful requests. An ejection lasts
	// effectfulEjectionFactor times as long for effectful requests as for idempotent requests.
	effectfulFailureThreshold = 0.3
	effectfulEjectionFactor   = 3
	// Backoffs and ejections are multiplied by a jitter base plus a random part of the jitter, so that nodes do not return to a backend together.
	rejectionJitterBase = 0.75
	rejectionJitter     = 0.5
	ejectionJitterBase  = 0.8
	ejectionJitter      = 0.4
)

// Unresponsive backends.
const (
	// A backend with several unanswered requests is unresponsive if it has not answered for more than unresponsiveFactor times the typical latency.
	// For a backend with a single unanswered request the factor is singleUnresponsiveFactor. In both cases the time is at least minUnresponsiveTime.
	// One idempotent request each trialInterval probes an unresponsive backend.
	unresponsiveFactor       = 4.0
	singleUnresponsiveFactor = 8.0
	minUnresponsiveTime      = 300 * time.Millisecond
	trialInterval            = 700 * time.Millisecond
	// A backend that is neither suspect nor gone is dead only if it has deadUnanswered or more unanswered requests and the second of these requests
	// is unanswered for more than deadSecondFactor times the typical latency. A single request may take long by chance. Two requests are unlikely
	// to take long by chance.
	deadUnanswered   = 2
	deadSecondFactor = 3.0
)

// Capacity.
const (
	// initialCapacityFactor is the initial capacity as a multiple of this node's even share of the slots. maxCapacityFactor is the highest
	// capacity as a multiple of all slots.
	initialCapacityFactor = 3.0
	maxCapacityFactor     = 2.0
	// capacityGain is the relative growth of the capacity after a prompt response. capacityLoss is its relative loss after a late response.
	// rejectionCapacityLoss is its relative loss after a rejection while the service's share of rejections is above rejectionThreshold. A lower
	// share of rejections may come from a single backend, so it does not lower the capacity.
	capacityGain          = 0.01
	capacityLoss          = 0.05
	rejectionCapacityLoss = 0.06
	rejectionThreshold    = 0.05
	// minUtilization is the share of the capacity that must be in use for a response to change the capacity. It is not required within
	// saturationTTL after the capacity was exhausted.
	minUtilization = 0.7
	saturationTTL  = 300 * time.Millisecond
	// backendCapacityFactor bounds the requests in flight at one backend, as a multiple of its share of the capacity by its slots. A second bound is
	// backendSlotFactor times the backend's slots, plus one.
	backendCapacityFactor = 2.0
	backendSlotFactor     = 1.5
	// lateTargetShare is the share of the latency target after which a response is late.
	lateTargetShare = 0.9
	// lateValueLoss is the share of its value that a late response loses.
	lateValueLoss = 0.5
)

// Zones.
const (
	// crossZoneCost is the share of its value that a response from another zone loses, for the traffic between zones.
	crossZoneCost = 0.06
	// The share of requests that leave the zone is updated once per crossZoneInterval. The excess loss is the value loss of this zone's responses
	// minus the value loss of the other zones' responses minus crossZoneCost. If the excess loss is above 0, the share grows by crossZoneGain times
	// the excess loss, up to maxCrossZoneShare. Otherwise the share is multiplied by crossZoneDecay, and a share below minCrossZoneShare becomes 0.
	crossZoneInterval = 100 * time.Millisecond
	crossZoneGain     = 0.3
	crossZoneDecay    = 0.93
	maxCrossZoneShare = 0.85
	minCrossZoneShare = 0.01
	// valueLossSmoothing is the weight of a new response in a zone's value loss.
	valueLossSmoothing = 0.05
	// overloadValueLoss is the value loss above which a zone is overloaded.
	overloadValueLoss = 0.1
	// initialValueLoss is the assumed value loss of the other zones while nothing is known of these zones. Nothing is known of them at the start,
	// and after valueLossTTL without a response from them.
	initialValueLoss = 0.04
	valueLossTTL     = 4 * time.Second
)

// The subset.
const (
	// minSubset is the least number of backends in a node's subset.
	minSubset = 4
	// subsetSendInterval is the intended mean interval between two requests to a backend of the subset. The size of the subset follows from it.
	// Most backends close connections that were idle for ten seconds.
	subsetSendInterval = 2 * time.Second
	// maxSubsetByRate is the largest subset size that follows from the request rate.
	maxSubsetByRate = 12
	// nodesPerBackend is the least number of nodes whose subsets have a given backend.
	nodesPerBackend = 4
	// outsideShare is the factor on the share of a backend outside the subset. maxOutsideTotal bounds the total share of the backends outside the
	// subset, as a fraction of the total share of the backends in the subset.
	outsideShare    = 0.05
	maxOutsideTotal = 0.06
	// rateWindow is the time over which requests are counted for the request rate. rateSmoothing is the weight of a new count in the rate.
	rateWindow    = 2 * time.Second
	rateSmoothing = 0.5
)
