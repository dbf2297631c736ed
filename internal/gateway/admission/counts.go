package admission

import "clovergap/control"

// counts are what happened since the last summary for the log.
type counts struct {
	arrived             int
	retried             int
	clientsLeft         int // before their answer
	clientsLeftInFlight int // of these, with a request at a backend
	ranOn               int // of these, with an idempotent request that stayed there for longer than maxRunOn
	endings             [control.NotSent + 1]int
	reasons             [control.ReasonCount]int
}

// countEnding counts the end of a submission; one that has no name counts as the last that has.
func (c *counts) countEnding(e control.Ending) {
	c.endings[min(max(int(e), 0), len(c.endings)-1)]++
}

func (c *counts) countReason(r control.Reason) {
	c.reasons[min(max(int(r), 0), len(c.reasons)-1)]++
}

// logSummary writes the summary and begins a new one.
func (c *Controller) logSummary() {
	queued, inFlight := 0, 0
	for _, s := range c.services {
		queued, inFlight = queued+len(s.queue), inFlight+s.balancer.InFlight()
	}
	n := &c.counts
	failed := n.endings[control.Errored] + n.endings[control.TimedOut] + n.endings[control.Unreachable] + n.endings[control.ConnectionLost]
	c.decisions = append(c.decisions, control.Decision{Action: control.Log, Entry: &control.LogEntry{Message: "requests", Fields: []control.LogField{
		control.IntField("arrived", n.arrived), control.IntField("retried", n.retried), control.IntField("rejected_by_backend", n.endings[control.Rejected]),
		control.IntField("failed", failed), control.IntField("no_time", n.reasons[control.ReasonNoTime]),
		control.IntField("no_units", n.reasons[control.ReasonNoUnits]), control.IntField("no_backend", n.reasons[control.ReasonNoBackend]),
		control.IntField("queued", queued), control.IntField("in_flight", inFlight), control.IntField("clients_left", n.clientsLeft),
		control.IntField("clients_left_in_flight", n.clientsLeftInFlight), control.IntField("ran_on", n.ranOn),
	}}})
	c.counts, c.loggedAt = counts{}, c.now
}
