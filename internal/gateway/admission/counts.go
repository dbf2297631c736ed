package admission

import "clovergap/control"

// counts holds the numbers of events since the last summary in the log.
type counts struct {
	arrived             int
	retried             int                      // submissions of requests that had been submitted before
	clientsLeft         int                      // clients that left before the answer
	clientsLeftInFlight int                      // clients that left while a submission was in flight
	ranAfterClientLeft  int                      // idempotent requests in flight for more than maxRunAfterClientLeft after the client left
	endings             [control.NotSent + 1]int // submissions by ending
	reasons             [control.ReasonCount]int // requests answered by this node, by reason
}

// countEnding counts the end of a submission. An ending out of range is counted as the nearest valid ending.
func (c *counts) countEnding(e control.Ending) {
	c.endings[min(max(int(e), 0), len(c.endings)-1)]++
}

// countReason counts a request that is answered without a response of a backend. A reason out of range is counted as the nearest one.
func (c *counts) countReason(r control.Reason) {
	c.reasons[min(max(int(r), 0), len(c.reasons)-1)]++
}

// logSummary logs the counts and resets them.
func (c *Controller) logSummary() {
	queued, inFlight := 0, 0
	for _, s := range c.services {
		queued, inFlight = queued+len(s.queue), inFlight+s.balancer.InFlightCount()
	}
	n := &c.counts
	failed := n.endings[control.Errored] + n.endings[control.TimedOut] + n.endings[control.Unreachable] + n.endings[control.ConnectionLost]
	c.decisions = append(c.decisions, control.Decision{Action: control.Log, Entry: &control.LogEntry{Message: "requests", Fields: []control.LogField{
		control.IntField("arrived", n.arrived), control.IntField("retried", n.retried), control.IntField("rejected_by_backend", n.endings[control.Rejected]),
		control.IntField("failed", failed), control.IntField("no_time", n.reasons[control.ReasonNoTime]),
		control.IntField("no_units", n.reasons[control.ReasonNoUnits]), control.IntField("no_backend", n.reasons[control.ReasonNoBackend]),
		control.IntField("queued", queued), control.IntField("in_flight", inFlight), control.IntField("clients_left", n.clientsLeft),
		control.IntField("clients_left_in_flight", n.clientsLeftInFlight), control.IntField("ran_on", n.ranAfterClientLeft),
	}}})
	c.counts, c.loggedAt = counts{}, c.now
}
