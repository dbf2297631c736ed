package admission

import "time"

// All constants whose names contain Share are fractions of 1.

// Periodic work.
const (
	// The time between two rounds of periodic work is waitingInterval while a request waits, inFlightInterval while a request is in flight but none
	// waits, and sweepInterval while there is no request.
	waitingInterval  = 20 * time.Millisecond
	inFlightInterval = 250 * time.Millisecond
	sweepInterval    = time.Second
	// minDatagramInterval is the minimum time between two checks whether the limiter has datagrams to send.
	minDatagramInterval = 10 * time.Millisecond
	// minWakeDelay is the minimum delay of a wake-up.
	minWakeDelay = time.Millisecond
	// logInterval is the minimum time between two summaries in the log.
	logInterval = 5 * time.Second
	// If a wake-up comes more than stallThreshold after the requested time, this process was paused.
	stallThreshold = 250 * time.Millisecond
)

// Times of a request.
const (
	// A request is answered no later than deadlineMargin before its expiry and before the end of Route.Deadline.
	deadlineMargin = 5 * time.Millisecond
	// maxRunAfterClientLeft is the longest time that an idempotent request may stay at a backend after its client has left.
	maxRunAfterClientLeft = 500 * time.Millisecond
)

// Retries.
const (
	// A submission of a request may end without reaching its backend, for example because the connection fails. After more than maxFailedConnects
	// such submissions, the request is not retried any more. Such a submission does not count against Route.MaxAttempts, and its retry needs no
	// token of the retry budget.
	maxFailedConnects = 3
	// The first check whether the backend of a submission is dead comes deadLatencyFactor times the typical latency after the submission was sent,
	// but no earlier than minDeadTime. Further checks follow each deadCheckInterval.
	deadLatencyFactor = 4.0
	minDeadTime       = 300 * time.Millisecond
	deadCheckInterval = 100 * time.Millisecond
)

// Queues and Retry-After times.
const (
	// maxQueueLength is the number of requests that may wait in the queue of one version of a service.
	maxQueueLength = 4096
	// maxBlockedInQueue is the number of requests that were sent before and have no available backend now, after which the search of a queue skips
	// all other such requests.
	maxBlockedInQueue = 8
	// maxRetryAfter is the longest Retry-After time. noBackendRetryAfter is the Retry-After time, before jitter, if the service has no ready
	// backend.
	maxRetryAfter       = 2 * time.Second
	noBackendRetryAfter = 500 * time.Millisecond
	// minRetryAfter is added to each Retry-After time of a service that has ready backends, so that a client does not return before a request
	// in flight has ended.
	minRetryAfter = 20 * time.Millisecond
	// Retry-After times are multiplied by retryAfterJitterBase plus a random fraction of retryAfterJitter, so that clients do not all retry at once.
	retryAfterJitterBase = 0.7
	retryAfterJitter     = 0.6
)
