package admission

import (
	"time"

	"clovergap/control"
)

// This file determines how long a request may wait. The wait follows from the time that the client has, the work that is left and the requests ahead
// in the queue. It is the same for the first submission and for a retry with the same time left.
//
// A request stays in the queue until its latest start, which is its deadline less the typical latency of such requests. If the requests ahead would
// keep it waiting for longer than that, it is answered at once, and so is a request that finds so many requests ahead that it would miss its latency
// target. With a longer queue, as long as the load lasts, all answers of the service would come after their targets. A target that is out of reach
// even without a queue is no reason to reject a request. For such a request only the deadline counts.

// typicalLatency returns the typical latency of requests of the same kind. While none is known, it returns 0: nothing then shows that the request
// cannot be answered in time, so no request is rejected for lack of time before its deadline.
func (c *Controller) typicalLatency(t *txn) time.Duration {
	if t.service == nil {
		return 0
	}
	typical, _ := t.service.balancer.TypicalLatency(c.now, t.Product)
	return typical
}

// latestStart returns the latest time at which a request can be sent and still be answered by its deadline.
func (c *Controller) latestStart(t *txn) time.Duration { return t.deadline - c.typicalLatency(t) }

// canMeetDeadline reports whether an answer may be expected by the deadline if the request is sent now. A typical latency that is not current is no
// reason to keep a request from its backend. Otherwise, a typical latency that is longer than all clients wait would never be corrected by a response.
func (c *Controller) canMeetDeadline(t *txn) bool {
	if c.now >= t.deadline {
		return false
	}
	if t.service == nil {
		return true
	}
	typical, current := t.service.balancer.TypicalLatency(c.now, t.Product)
	return !current || c.now+typical <= t.deadline
}

// setAnswerBy determines until when an answer is wanted, when the request arrives or is to be sent again: until its latency target or, if that is out
// of reach, until its deadline.
func (c *Controller) setAnswerBy(t *txn) {
	t.answerBy = t.deadline
	if c.now+c.typicalLatency(t) <= t.targetAt {
		t.answerBy = t.targetAt
	}
}

// expectedDelay returns the time until requests with the given sum of typical latencies have been processed, if concurrency of them are processed at a
// time. Without a ready backend the concurrency is 0, nothing is known of the time, and expectedDelay returns 0.
func expectedDelay(work time.Duration, concurrency float64) time.Duration {
	if concurrency == 0 {
		return 0
	}
	return time.Duration(float64(work) / concurrency)
}

// rejectUnservable ends the wait of each request in a queue that is not expected to be answered in time, given the requests ahead of it. It checks the
// whole queue, because backends may have left or become slower, and reports whether it ended a wait. A request that a canary cannot take at once goes
// to the baseline version, because the roll-out must not cost the client a wait.
func (c *Controller) rejectUnservable(s *service) (ended bool) {
	if len(s.queue) == 0 {
		return false
	}
	workAhead, queue, concurrency := time.Duration(0), s.queue, s.balancer.Concurrency(c.now)
	s.queue = queue[:0] // the requests that stay are added again below
	for _, t := range queue {
		t.queued = false
		if c.fallBackToBaseline(t) {
			ended = true
			continue
		}
		work, answerBy := c.typicalLatency(t), t.deadline
		if !t.admitted {
			answerBy = t.answerBy
		}
		if wait := expectedDelay(workAhead+work, concurrency); c.now+wait+work > answerBy {
			c.answerRequest(t, control.ReasonNoBackend, c.jitterRetryAfter(wait+minRetryAfter))
			ended = true
			continue
		}
		t.queued, t.admitted = true, true
		s.queue = append(s.queue, t)
		workAhead += work
	}
	clear(queue[len(s.queue):])
	return ended
}

// retryAfterTime returns the time after which a rejected client should retry. It is the expected time until the requests that wait at the service of
// the request have been sent, or noBackendRetryAfter if the service has no ready backend.
func (c *Controller) retryAfterTime(t *txn) time.Duration {
	if t.service == nil || t.service.balancer.ReadyCount() == 0 {
		return c.jitterRetryAfter(noBackendRetryAfter)
	}
	work := c.queuedWork(t.service) + c.typicalLatency(t)
	return c.jitterRetryAfter(expectedDelay(work, t.service.balancer.Concurrency(c.now)) + minRetryAfter)
}

// jitterRetryAfter varies a Retry-After time at random, so that the clients that are rejected together do not return together.
func (c *Controller) jitterRetryAfter(wait time.Duration) time.Duration {
	return min(maxRetryAfter, time.Duration(float64(wait)*(retryAfterJitterBase+retryAfterJitter*c.rng.Float64())))
}

// queuedWork returns the sum of the typical latencies of the requests in the queue of a service.
func (c *Controller) queuedWork(s *service) (sum time.Duration) {
	for _, t := range s.queue {
		sum += c.typicalLatency(t)
	}
	return sum
}
