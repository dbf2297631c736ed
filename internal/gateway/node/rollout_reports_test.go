package node

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"clovergap/internal/gateway/rollout"
)

// Only the newest report of a service waits, and what goes out stays within the budget: one report may overdraw it, the next waits until
// that is made up for.
func TestReportsKeepTheirBudget(t *testing.T) {
	var q reportQueue
	q.add(rollout.Report{Service: "a", Seq: 1})
	q.add(rollout.Report{Service: "b", Seq: 1})
	q.add(rollout.Report{Service: "a", Seq: 2})
	must.Len(t, 2, q.queued)
	must.Eq(t, 2, q.queued[0].Seq)
	must.SliceEmpty(t, q.take(0))
	must.Len(t, 2, q.take(time.Second)) // 1,024 bytes, 400 a report
	must.SliceEmpty(t, q.queued)

	q.add(rollout.Report{Service: "a", Evidence: make([]byte, maxEvidenceBytes)})
	q.add(rollout.Report{Service: "b"})
	must.Len(t, 1, q.take(2*time.Second))
	must.SliceEmpty(t, q.take(60*time.Second))
	must.Len(t, 1, q.take(80*time.Second))

	for i := range 2 * maxQueuedReports {
		q.add(rollout.Report{Service: fmt.Sprint(i)})
	}
	must.Len(t, maxQueuedReports, q.queued)
	bytes := 0
	for at := 81 * time.Second; at <= 91*time.Second; at += tickInterval {
		bytes += reportOverheadBytes * len(q.take(at))
	}
	must.LessEq(t, 10*reportBytesPerSecond+reportBurstBytes+reportOverheadBytes, bytes)
	must.Greater(t, 10*reportBytesPerSecond-reportOverheadBytes, bytes)
}
