package admission

import (
	"fmt"

	"clovergap/control"
)

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
	text := fmt.Sprintf("%d taken, %d sent again, %d turned away, %d failed, given up for want of time %d, "+
		"units %d, backends %d; %d wait, %d out; %d clients left, %d with a request at a backend, %d ran on",
		n.arrived, n.retried, n.endings[control.Rejected],
		n.endings[control.Errored]+n.endings[control.TimedOut]+n.endings[control.Unreachable]+n.endings[control.ConnectionLost],
		n.reasons[control.ReasonNoTime], n.reasons[control.ReasonNoUnits], n.reasons[control.ReasonNoBackend],
		queued, inFlight, n.clientsLeft, n.clientsLeftInFlight, n.ranOn)
	c.decisions = append(c.decisions, control.Decision{Action: control.Log, Text: text})
	c.counts, c.loggedAt = counts{}, c.now
}
