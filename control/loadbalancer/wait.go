package loadbalancer

import "time"

// expectedWork returns the time that a response to a txn takes at present, which grows with the queues of the backends. While it is unknown,
// the result is 0: nothing then shows that the txn cannot be answered in time.
func (c *Controller) expectedWork(t *txn) time.Duration {
	return time.Duration(c.currentLatencies[c.workKind(t)] * float64(time.Second))
}

// setAnswerBy determines until when an answer is wanted, when a txn arrives or is to be submitted again: until the end of its SLA time or, if
// that is out of reach, until its expiry.
func (c *Controller) setAnswerBy(t *txn) {
	t.answerBy = t.Expiry - expiryMargin
	if c.now+c.expectedWork(t) <= t.slaDeadline {
		t.answerBy = min(t.answerBy, t.slaDeadline)
	}
}

// expectedDelay returns the expected time until a txn gets a backend, given the txns that wait before it and the submissions of this
// controller that the backends process now. Submissions at a backend that is ejected do not count. If nothing is processed, nothing is
// known of the time, and the result is 0.
func (c *Controller) expectedDelay(t *txn) time.Duration {
	processed := 0
	for _, b := range c.readyBackends {
		if !b.ejected {
			processed += b.inFlight
		}
	}
	if processed == 0 {
		return 0
	}
	return (c.waitingWork + c.expectedWork(t)) / time.Duration(processed)
}
