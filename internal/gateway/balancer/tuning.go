package balancer

import "time"

// Values without another source were tuned on the simulated score; shares are of 1.

// What is learned of answers.
const (
	// Weights of a new answer in a backend's slowdown and in a kind's usual answer time, of a new ending in a backend's failing share, and of either in
	// what is known of the whole service.
	slowdownSmoothing = 0.08
	latencySmoothing  = 0.03
	failureSmoothing  = 0.2
	serviceSmoothing  = 0.03
	// initialAnswers is the weight of the slowdown that a new backend begins with, in answers.
	initialAnswers = 4
	// maxLatencyFactor times the usual an answer counts at the most.
	maxLatencyFactor = 5.0
	// minLatencySeconds an answer counts at the least.
	minLatencySeconds = 0.0005
)

// Share of a backend.
const (
	// A backend's share is slots / slowdown^slowdownExponent: a fast one gets more than its speed alone would give. The slowdown is bounded by
	// minSlowdown and maxSlowdown.
	slowdownExponent = 1.6
	minSlowdown      = 0.4
	maxSlowdown      = 5.0
	// crowdedSlowdown: a backend this slow gets one request at a time.
	crowdedSlowdown = 2.5
	// warmUpShare of its share is given to a backend that is warming up; after that, or after an ejection, the share grows to the whole over
	// slowStartTime.
	warmUpShare   = 0.25
	slowStartTime = 2 * time.Second
	// unknownShare of its share is given to a backend that has answered nothing yet, unknownEffectfulShare by effectful requests.
	unknownShare          = 0.5
	unknownEffectfulShare = 0.3
	// maxUnknownInFlight requests are in flight at such a backend.
	maxUnknownInFlight = 2
	// maxLag strides behind the others' virtual time a backend may be, so that one that was idle does not get all requests.
	maxLag = 2
)

// Rejections and failures.
const (
	// rejectionBackoff is the pause of a backend that rejected a request, doubled with each in a row.
	rejectionBackoff      = 60 * time.Millisecond
	maxRejectionDoublings = 5
	// notSentBackoff is the pause where the host could not send.
	notSentBackoff = 60 * time.Millisecond
	// failureThreshold of failing endings, if it is also failureOutlierFactor times the share of the service, ejects a backend.
	failureThreshold     = 0.3
	failureOutlierFactor = 2.0
	// minEjectionTime is the first ejection; each further one lasts twice as long, up to maxEjectionTime.
	minEjectionTime = 300 * time.Millisecond
	maxEjectionTime = 5 * time.Second
	// effectfulFailureThreshold of failing endings keeps effectful requests away, and an ejection does for effectfulEjectionFactor times as
	// long.
	effectfulFailureThreshold = 0.3
	effectfulEjectionFactor   = 3
	// minRejectionJitter and rejectionJitter, minEjectionJitter and ejectionJitter: a pause is multiplied by the one plus a random share of the
	// other, so that nodes don't come back together.
	minRejectionJitter = 0.75
	rejectionJitter    = 0.5
	minEjectionJitter  = 0.8
	ejectionJitter     = 0.4
)

// Silence.
const (
	// unresponsiveFactor times the usual answer time, minUnresponsiveTime at the least, without any answer a backend is unresponsive;
	// singleUnresponsiveFactor if it owes one answer only. An idempotent request tries it each trialInterval.
	unresponsiveFactor       = 4.0
	singleUnresponsiveFactor = 8.0
	minUnresponsiveTime      = 300 * time.Millisecond
	trialInterval            = 700 * time.Millisecond
	// A dead backend owes deadUnanswered answers or more, the second for deadSecondFactor times the usual answer time: one may take long by chance, not two.
	deadUnanswered   = 2
	deadSecondFactor = 3.0
)

// Capacity.
const (
	// initialCapacityFactor times a node's even share of the slots is in flight to begin with, maxCapacityFactor times all slots at the most.
	initialCapacityFactor = 3.0
	maxCapacityFactor     = 2.0
	// capacityGain is added by a prompt answer, capacityLoss taken away by a late one, rejectionCapacityLoss by a rejection while more than
	// rejectionThreshold of the endings are rejections: only then it is more than one backend's own trouble.
	capacityGain          = 0.01
	capacityLoss          = 0.05
	rejectionCapacityLoss = 0.06
	rejectionThreshold    = 0.05
	// minUtilization of the capacity must be in use for an answer to say something of it, or it must have been exhausted less than pressureTTL
	// ago.
	minUtilization = 0.7
	pressureTTL    = 300 * time.Millisecond
	// perBackend times its even part of the capacity is in flight at one backend, and no more than queueFactor times its slots plus one.
	perBackend  = 2.0
	queueFactor = 1.5
	// lateTargetShare of the latency target: a later answer is late.
	lateTargetShare = 0.9
	// lateCost is what a late answer loses of its value.
	lateCost = 0.5
)

// Zones.
const (
	// crossZoneCost is what an answer from another zone loses of its value, by the bytes between zones.
	crossZoneCost = 0.06
	// Each crossZoneInterval the share of requests that leave the zone grows by crossZoneGain times the difference in value loss, or shrinks by
	// crossZoneDecay. Below minCrossZoneShare it is none.
	crossZoneInterval = 100 * time.Millisecond
	crossZoneGain     = 0.3
	crossZoneDecay    = 0.93
	maxCrossZoneShare = 0.85
	minCrossZoneShare = 0.01
	// valueLossSmoothing is the weight of a new answer in a zone's value loss.
	valueLossSmoothing = 0.05
	// crowdedValueLoss: a zone whose answers lose more is crowded.
	crowdedValueLoss = 0.1
	// initialValueLoss is assumed of the other zones while nothing is known of them, which is so after valueLossTTL without an answer.
	initialValueLoss = 0.04
	valueLossTTL     = 4 * time.Second
)

// The subset.
const (
	// minSubset backends are in a node's subset at the least.
	minSubset = 4
	// subsetSendInterval: a subset is so small that each of its backends gets a request so often in the mean. Backends mostly close connections that
	// were idle for ten seconds.
	subsetSendInterval = 2 * time.Second
	// maxSubsetByRate is the largest subset for the sake of that.
	maxSubsetByRate = 12
	// nodesPerBackend: each backend is in the subset of so many nodes at the least.
	nodesPerBackend = 4
	// outsideShare of its share is given to a backend outside the subset, and maxOutsideTotal of what the subset gets to all of them.
	outsideShare    = 0.05
	maxOutsideTotal = 0.06
	// rateWindow is the time over which requests are counted, rateSmoothing the weight of a count.
	rateWindow    = 2 * time.Second
	rateSmoothing = 0.5
)
