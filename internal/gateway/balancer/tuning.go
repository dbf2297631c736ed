package balancer

import "time"

// All constants whose names contain Share are fractions of 1, and so are thresholds of shares.

// Statistics of responses.
const (
	// The smoothing constants are weights of a new value in a smoothed value. slowdownSmoothing is the weight of a response in the slowdown of a
	// backend. latencySmoothing is the weight of a response in the typical latency of its kind of request. failureSmoothing is the weight of the end
	// of a request in the backend's share of failures. serviceSmoothing is the weight of the end of a request in the whole service's shares of
	// rejections and failures.
	slowdownSmoothing = 0.08
	latencySmoothing  = 0.03
	failureSmoothing  = 0.2
	serviceSmoothing  = 0.03
	// latencyTTL is the time without a response after which a typical latency is no longer current. It then says little about the present load, and
	// the next response replaces it.
	latencyTTL = 5 * time.Second
	// A new backend starts with a slowdown of 1. In the smoothed slowdown, this initial value counts like initialResponses responses.
	initialResponses = 4
	// maxLatencyFactor is the largest response time that the statistics use, as a multiple of the typical latency.
	maxLatencyFactor = 5.0
	// minLatencySeconds is the smallest response time that the statistics use.
	minLatencySeconds = 0.0005
)

// Share of a backend.
const (
	// A backend's share is slots / slowdown^slowdownExponent. An exponent above 1 gives a fast backend more than a share in proportion to its speed.
	// For the share, the slowdown is bounded by minSlowdown and maxSlowdown.
	slowdownExponent = 1.6
	minSlowdown      = 0.4
	maxSlowdown      = 5.0
	// A backend's slowdown is its smoothed response time as a multiple of the service's typical latency. A backend whose slowdown is above
	// overloadSlowdown gets one request at a time from this node. Its late responses do not lower this node's capacity for the service, which is the
	// number of requests that the node may have in flight at all backends of the service.
	overloadSlowdown = 2.5
	// warmUpShare is the factor on the share of a backend that is warming up, because such a backend answers slowly. After the warm-up or an ejection
	// the share grows to its full size over slowStartTime.
	warmUpShare   = 0.25
	slowStartTime = 2 * time.Second
	// unprovenShare is the factor on the share of an unproven backend for idempotent requests. unprovenEffectfulShare is the factor for effectful
	// requests, which may not be sent again if the backend fails them.
	unprovenShare          = 0.5
	unprovenEffectfulShare = 0.3
	// maxUnprovenInFlight is the maximum number of this node's requests in flight at an unproven backend.
	maxUnprovenInFlight = 2
	// maxLag is the largest number of strides by which a backend's pass may be behind the virtual time of its zone. Without this bound, a backend that
	// was idle would get all requests for a time.
	maxLag = 2
)

// Rejections and failures.
const (
	// rejectionBackoff is the time for which a backend gets no requests after it rejected a request. The time doubles with each consecutive
	// rejection, at most maxRejectionDoublings times.
	rejectionBackoff      = 60 * time.Millisecond
	maxRejectionDoublings = 5
	// notSentBackoff is the time for which a backend gets no requests after the host could not send a request there.
	notSentBackoff = 60 * time.Millisecond
	// A backend is ejected if its share of failures is at least failureThreshold and at least failureOutlierFactor times the share of failures of
	// the whole service.
	failureThreshold     = 0.3
	failureOutlierFactor = 2.0
	// minEjectionTime is the length of the first ejection. Each further ejection lasts twice as long, up to maxEjectionTime.
	minEjectionTime = 300 * time.Millisecond
	maxEjectionTime = 5 * time.Second
	// effectfulFailureThreshold is the share of failures above which a backend gets no effectful requests. An ejection lasts
	// effectfulEjectionFactor times as long for effectful requests as for idempotent requests.
	effectfulFailureThreshold = 0.3
	effectfulEjectionFactor   = 3
	// The times of backoffs and ejections are multiplied by a jitter base plus a random fraction of the jitter, so that not all nodes send to a
	// backend again at the same time.
	rejectionJitterBase = 0.75
	rejectionJitter     = 0.5
	ejectionJitterBase  = 0.8
	ejectionJitter      = 0.4
)

// Unresponsive backends.
const (
	// A backend with several unanswered requests is unresponsive if it has not answered for more than unresponsiveFactor times the typical latency.
	// For a backend with a single unanswered request the factor is singleUnresponsiveFactor. In both cases the time is at least minUnresponsiveTime.
	// An unresponsive backend is probed with one idempotent request each trialInterval.
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
	// saturationTTL after a request found no capacity.
	minUtilization = 0.7
	saturationTTL  = 300 * time.Millisecond
	// backendCapacityFactor bounds the requests in flight at one backend, as a multiple of its share of the capacity by its slots. A second bound is
	// backendSlotFactor times the backend's slots, plus one.
	backendCapacityFactor = 2.0
	backendSlotFactor     = 1.5
)

// Zones.
const (
	// The share of requests that leave the zone is updated once per crossZoneInterval. It grows if the zone's share of misses (see recordMiss) exceeds
	// that of the other zones by more than missMargin: by crossZoneGain times the excess, up to maxCrossZoneShare. Otherwise the share is multiplied
	// by crossZoneDecay, and a share below minCrossZoneShare becomes 0.
	crossZoneInterval = 100 * time.Millisecond
	crossZoneGain     = 0.15
	crossZoneDecay    = 0.93
	maxCrossZoneShare = 0.85
	minCrossZoneShare = 0.01
	// missSmoothing is the weight of the end of a request in a zone's share of misses.
	missSmoothing = 0.05
	// missMargin is the smallest difference between two shares of misses that counts. It is three times the standard error of a smoothed share of
	// one miss in twenty. A smaller difference may be chance, and a request that stays in its zone does not depend on the link to another zone.
	missMargin = 0.1
	// missTTL is the time without a response from the other zones after which their share of misses is unknown. The other zones are then assumed to
	// miss no target, because only a request that is sent there shows whether they do.
	missTTL = 4 * time.Second
)

// The subset.
const (
	// minSubset is the minimum number of backends in a node's subset, if the zone has that many.
	minSubset = 4
	// subsetSendInterval is the intended mean interval between two requests to a backend of the subset. It determines the size of the subset. With a
	// longer interval, requests would go on to a backend that has become slow some seconds ago, and would have to wait for new connections.
	subsetSendInterval = 2 * time.Second
	// maxSubsetByRate is the largest subset size that follows from the request rate.
	maxSubsetByRate = 12
	// nodesPerBackend is the minimum number of nodes whose subsets contain a given backend, if the zone has that many nodes.
	nodesPerBackend = 4
	// outsideShare is the factor on the share of a backend outside the subset. maxOutsideTotal bounds the total share of the backends outside the
	// subset, as a fraction of the total share of the backends in the subset.
	outsideShare    = 0.05
	maxOutsideTotal = 0.06
	// rateWindow is the time over which requests are counted for the request rate. rateSmoothing is the weight of a new count in the rate.
	rateWindow    = 2 * time.Second
	rateSmoothing = 0.5
)
