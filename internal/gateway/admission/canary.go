package admission

import (
	"time"

	"clovergap/control"
	"clovergap/internal/gateway/rollout"
)

// During a roll-out a service has two versions. Each version has its own queue, balancer and typical latencies. Both versions share one retry
// budget. The targets of routes are baseline versions. CanaryAccess and the Assigner determine which requests go to the canary.

// CanaryAccess says which requests may go to a canary.
type CanaryAccess uint8

// The values of CanaryAccess.
const (
	CanaryClosed   CanaryAccess = iota // no requests, even if the baseline version has no backend
	CanaryFallback                     // requests for which the baseline version has no backend
	CanaryShared                       // requests that the Assigner assigns to the canary
)

// Assigner chooses the version for a request's first submission. It also receives the samples by which the two versions are compared.
type Assigner interface {
	Assign(id control.TxnID, kind control.ProductID, service control.ServiceID) Assignment
	SubmissionEnded(c ComparisonSample)
}

// Assignment says to which version a request's first submission goes. The zero value means the baseline version, and that the request is not a
// sample of the comparison.
type Assignment struct {
	Number       rollout.Number // number of the roll-out
	Side         rollout.Side   // the assigned version
	InComparison bool           // the request's first submission is a sample of the comparison
	Tenant       uint32         // number of the tenant, the same at every node
}

// mayUseCanary reports whether a request with this assignment may be sent to the canary.
func (a Assignment) mayUseCanary() bool { return rollout.MayAttempt(a.Side, rollout.Canary) }

// ComparisonSample describes the end of a request's first submission. The two versions are compared by these samples.
type ComparisonSample struct {
	Assignment
	Service   control.ServiceID // ID of the baseline version
	Kind      control.ProductID
	Effectful bool
	Backend   control.BackendID
	Ending    control.Ending
	Took      time.Duration // duration of the submission
	WarmingUp bool          // Took must not be compared: the backend was warming up, or this process was paused
}

// SetAssigner sets the assigner. The controller does not call the assigner while there is no roll-out.
func (c *Controller) SetAssigner(a Assigner) { c.assigner = a }

// SetRollout adds a canary, which has its own service ID, to a service and sets which requests may go to the canary. If access is not CanaryShared,
// the version is chosen again for each request in the canary's queue, and a request that may not use the canary moves to the baseline version.
// Submissions in flight at the canary continue there until they end.
func (c *Controller) SetRollout(baseline, canary control.ServiceID, access CanaryAccess) {
	baselineService, canaryService := c.getOrCreateService(baseline), c.getOrCreateService(canary)
	if canaryService.baseline == nil {
		canaryService.baseline, baselineService.canary, canaryService.budget = baselineService, canaryService, baselineService.budget
	}
	if baselineService.canaryAccess = access; access == CanaryShared {
		return
	}
	for _, t := range canaryService.queue {
		t.queued = false
		c.undecided = append(c.undecided, t)
	}
	canaryService.queue = nil
}

// chooseVersion chooses the version for a request's next submission. A first submission goes to the version to which its user is assigned. A
// retry goes to the baseline version. If the baseline version has no backend for a request, a canary with CanaryFallback gets the request. A canary
// with CanaryShared then gets the request only if it is a retry and the request was assigned to the canary.
func (c *Controller) chooseVersion(t *txn) {
	baseline := t.service.baselineVersion()
	canary := baseline.canary
	if canary == nil {
		return
	}
	target := baseline
	onlyCanaryHasBackend := !baseline.balancer.HasBackend(t.balancerRequest()) && canary.balancer.HasBackend(t.balancerRequest())
	switch {
	case baseline.canaryAccess == CanaryClosed:
	case baseline.canaryAccess == CanaryFallback:
		if onlyCanaryHasBackend {
			target = canary
		}
	case t.submissions > 0:
		if onlyCanaryHasBackend && t.assignment.mayUseCanary() {
			target = canary
		}
	case !t.versionChosen:
		t.assignment = c.assigner.Assign(t.ID, t.Product, baseline.id)
		if t.assignment.Side == rollout.Canary && canary.balancer.ReadyCount() > 0 {
			target = canary
		}
	case t.service == canary:
		target = canary
	}
	t.versionChosen = true
	if target == baseline && t.submissions == 0 && t.assignment.Side == rollout.Canary {
		t.assignment = Assignment{} // the canary has no ready backend, so the request is not a sample of its quality
	}
	c.moveToVersion(t, target)
}

// moveToVersion changes the version to which a request goes.
func (c *Controller) moveToVersion(t *txn, to *service) {
	if t.service != to {
		t.service.txnCount--
		to.txnCount++
		t.service = to
	}
}

// fallBackToBaseline moves a request that left a canary's queue to the queue of the baseline version. The canary may lack capacity, but the baseline version
// is expected to have enough. fallBackToBaseline returns false if the service is no canary or if the baseline version has no backend for the request.
func (c *Controller) fallBackToBaseline(t *txn) bool {
	baseline := t.service.baseline
	if baseline == nil || !baseline.balancer.HasBackend(t.balancerRequest()) {
		return false
	}
	t.assignment = Assignment{}
	c.moveToVersion(t, baseline)
	c.setAnswerBy(t)
	c.enqueue(t)
	return true
}

// reportComparisonSample reports the end of a first submission that is a sample for the comparison of the two versions. It reports no end that this
// node caused itself, because such an end says nothing about the version. Two kinds of canceled submissions count as timed out: those canceled
// because the backend was dead, and those canceled because the client left after at least the latency target.
func (c *Controller) reportComparisonSample(t *txn, ending control.Ending, took time.Duration) {
	processPaused := t.sentAt < c.pausedUntil
	target := t.route.LatencyTarget
	if t.cancelRequested || ending == control.Canceled && t.clientLeft && target > 0 && took >= target {
		ending = control.TimedOut
	}
	if ending == control.Canceled || ending == control.NotSent || processPaused && ending == control.TimedOut {
		return
	}
	c.assigner.SubmissionEnded(ComparisonSample{
		Assignment: t.assignment, Service: t.service.baselineVersion().id, Kind: t.Product, Effectful: t.route.Effectful, Backend: t.lastBackend,
		Ending: ending, Took: took, WarmingUp: processPaused || t.service.balancer.IsWarmingUp(c.now, t.lastBackend),
	})
}
