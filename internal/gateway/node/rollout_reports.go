package node

import (
	"time"

	"clovergap/internal/gateway/rollout"
)

// Bounds of what a node reports, so that the reports of 96 nodes are under half of a link of 2 Mbit/s at the leader. What does not go out is
// stood for by the next one: reports are sums.
const (
	reportBytesPerSecond = 1 << 10
	reportBurstBytes     = 2 << 10
	// reportOverheadBytes is about the size of a report beside its evidence.
	reportOverheadBytes = 400
	// maxEvidenceBytes bounds the evidence of a report that is taken.
	maxEvidenceBytes = 64 << 10
	// maxQueuedReports bounds the queued reports, one a service.
	maxQueuedReports = 64
)

// reportQueue has the newest report of each service that is still to go to the leader, and the budget of bytes for them.
type reportQueue struct {
	queued   []rollout.Report
	budget   float64 // bytes that may go now
	budgetAt time.Duration
}

// add queues a report, and drops the service's earlier one.
func (r *reportQueue) add(report rollout.Report) {
	for i := range r.queued {
		if r.queued[i].Service == report.Service {
			r.queued[i] = report
			return
		}
	}
	if len(r.queued) < maxQueuedReports {
		r.queued = append(r.queued, report)
	}
}

// take gives the reports that may go now.
func (r *reportQueue) take(now time.Duration) (due []rollout.Report) {
	r.budget = min(r.budget+reportBytesPerSecond*(now-r.budgetAt).Seconds(), reportBurstBytes)
	r.budgetAt = now
	for len(r.queued) > 0 && r.budget > 0 {
		due = append(due, r.queued[0])
		r.budget -= float64(reportOverheadBytes + len(r.queued[0].Evidence))
		r.queued = r.queued[1:]
	}
	return due
}
