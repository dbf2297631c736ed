package admission

import (
	"slices"
	"time"

	"clovergap/control"
	"clovergap/internal/gateway/rollout"
)

// During a roll-out a service has two versions, each with its own queue, balancer and usual answer times, and one retry budget. Routes name
// the baseline one. Which requests go to the canary is said by CanaryAccess and, for each user, by the Assigner.

// CanaryAccess says who may go to a canary.
type CanaryAccess uint8

// Who may go to a canary.
const (
	CanaryClosed   CanaryAccess = iota // nobody, whatever becomes of the baseline version
	CanaryFallback                     // requests for which the baseline version has no backend
	CanaryShared                       // requests that the Assigner sends there
)

// Assigner decides at which version a request begins, and learns how the first submissions ended by which the versions are compared.
type Assigner interface {
	Assign(id control.TxnID, kind control.ProductID, service control.ServiceID) Assignment
	SubmissionEnded(c ComparisonSample)
}

// Assignment is where a request begins. The zero value: at the baseline version, and it does not count.
type Assignment struct {
	Number       rollout.Number
	Side         rollout.Side
	InComparison bool // the versions are compared by its first submission
	Tenant       uint32
}

// mayUseCanary tells whether a request that began there may be sent to the canary.
func (a Assignment) mayUseCanary() bool { return rollout.MayAttempt(a.Side, rollout.Canary) }

// ComparisonSample is the end of a first submission that is part of the comparison of the versions.
type ComparisonSample struct {
	Assignment
	Service   control.ServiceID // the baseline version
	Kind      control.ProductID
	Effectful bool
	Backend   control.BackendID
	Ending    control.Ending
	Took      time.Duration
	WarmingUp bool // the time says nothing of the version: the backend is warming up, or this process stood still
}

// SetAssigner sets who assigns requests to versions. Without a roll-out it is not asked.
func (c *Controller) SetAssigner(a Assigner) { c.assigner = a }

// SetRollout puts a canary, which has a number of its own, beside a service, and says who may go there. Requests that wait there and may not any
// more move to the baseline version; submissions in flight end there.
func (c *Controller) SetRollout(baseline, canary control.ServiceID, access CanaryAccess) {
	s, other := c.service(baseline), c.service(canary)
	if other.baseline == nil {
		other.baseline, s.canary, other.budget = s, other, s.budget
	}
	if s.canaryAccess = access; access == CanaryShared {
		return
	}
	for _, t := range other.queue {
		t.queued = false
		c.undecided = append(c.undecided, t)
	}
	other.queue = nil
}

// chooseVersion settles where a request goes next: its first submission where its user is assigned, a retry to the baseline version. Where that has no
// backend, all go to the canary if it is the fallback, otherwise only retries of requests that began there.
func (c *Controller) chooseVersion(t *txn) {
	baseline := t.service.baselineVersion()
	canary := baseline.canary
	if canary == nil {
		return
	}
	to := baseline
	onlyCanary := !baseline.balancer.HasBackend(t.balancerRequest()) && canary.balancer.HasBackend(t.balancerRequest())
	switch {
	case baseline.canaryAccess == CanaryClosed:
	case baseline.canaryAccess == CanaryFallback:
		if onlyCanary {
			to = canary
		}
	case t.submissions > 0:
		if onlyCanary && t.assignment.mayUseCanary() {
			to = canary
		}
	case !t.versionChosen:
		t.assignment = c.assigner.Assign(t.ID, t.Product, baseline.id)
		if t.assignment.Side == rollout.Canary && canary.balancer.Ready() > 0 {
			to = canary
		}
	case t.service == canary:
		to = canary
	}
	t.versionChosen = true
	if to == baseline && t.submissions == 0 && t.assignment.Side == rollout.Canary {
		t.assignment = Assignment{} // no backend of the canary is ready: that is no finding about the version
	}
	c.moveTo(t, to)
}

// moveTo changes the version that a request is counted at.
func (c *Controller) moveTo(t *txn, to *service) {
	if t.service != to {
		t.service.txnCount--
		to.txnCount++
		t.service = to
	}
}

// fallBackToBaseline moves a first submission that has waited in vain in a canary's queue to the baseline version, where it goes at once or not
// at all: the canary may be short of capacity, the baseline version is not to be. false: it can't.
func (c *Controller) fallBackToBaseline(t *txn) bool {
	baseline := t.service.baseline
	if baseline == nil || t.submissions > 0 || baseline.balancer.Ready() == 0 {
		return false
	}
	t.service.queue = slices.DeleteFunc(t.service.queue, func(other *txn) bool { return other == t })
	t.queued, t.assignment = false, Assignment{}
	c.moveTo(t, baseline)
	c.enqueue(t)
	return true
}

// reportComparison reports the end of a first submission that counts. What ended by this node's own doing says nothing of a version. A
// submission that was canceled because its backend was dead, or whose client left after the target, timed out.
func (c *Controller) reportComparison(t *txn, e control.Ending, took time.Duration) {
	selfInflicted := t.sentAt < c.pausedUntil
	target := t.route.LatencyTarget
	if t.canceled || e == control.Canceled && t.clientLeft && target > 0 && took >= target {
		e = control.TimedOut
	}
	if e == control.Canceled || e == control.NotSent || selfInflicted && e == control.TimedOut {
		return
	}
	c.assigner.SubmissionEnded(ComparisonSample{
		Assignment: t.assignment, Service: t.service.baselineVersion().id, Kind: t.Product, Effectful: t.route.Effectful, Backend: t.backend,
		Ending: e, Took: took, WarmingUp: selfInflicted || t.service.balancer.WarmingUp(c.now, t.backend),
	})
}
