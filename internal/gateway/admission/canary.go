package admission

import (
	"slices"
	"time"

	"clovergap/control"
	"clovergap/internal/gateway/rollout"
)

// Two versions of a service are two deployments, each with its own line, room and usual times, and one budget of further
// tries. Calls name the main one alone; which requests go to the other is said by Open and, of each user, by Sides.

// CanaryAccess is who may go to the version that is not the main one.
type CanaryAccess uint8

// Who may go to a side.
const (
	CanaryClosed   CanaryAccess = iota // nobody, whatever becomes of the main one
	CanaryFallback                     // who finds nobody ready at the main one
	CanaryShared                       // whom Sides sends there
)

// Assigner decides on which side of a roll-out a request begins, and hears how the first submissions of those ended that
// the versions are compared by.
type Assigner interface {
	Assign(id control.TxnID, kind control.ProductID, service control.ServiceID) Assignment
	SubmissionEnded(e Comparison)
}

// Assignment is where a request begins.
type Assignment struct {
	Number rollout.Number
	Side   rollout.Side
	Counts bool // it is one that the versions are compared by
	Tenant uint32
}

// Comparison is the end of a first submission that counts.
type Comparison struct {
	Assignment
	Service   control.ServiceID
	Kind      control.ProductID
	Effectful bool
	Backend   control.BackendID
	Ending    control.Ending
	Took      time.Duration
	WarmingUp bool
}

// SetAssigner says who decides on sides. Without any roll-out it is never asked.
func (c *Controller) SetAssigner(s Assigner) { c.assigner = s }

// SetRollout puts another version beside a service, known by a number of its own, and says who may go there. What
// waits there and may not any more moves to the main one's line; what was sent ends as it will.
func (c *Controller) SetRollout(service, under control.ServiceID, open CanaryAccess) {
	m, u := c.service(service), c.service(under)
	if u.stable == nil {
		u.stable, m.canary, u.budget = m, u, m.budget
	}
	if m.canaryAccess = open; open == CanaryShared {
		return
	}
	for _, t := range u.queue {
		t.queued = false
		c.undecided = append(c.undecided, t)
	}
	u.queue = nil
}

// chooseVersion settles where a txn goes next: its first submission by its user, a further one to the main version; to the
// other only from there, or where all may, and the main one has nobody for it.
func (c *Controller) chooseVersion(t *txn) {
	m := t.service
	if m.stable != nil {
		m = m.stable
	}
	u, to := m.canary, m
	if u == nil {
		return
	}
	switch none := !m.balancer.HasBackend(t.balancerRequest()) && u.balancer.HasBackend(t.balancerRequest()); {
	case m.canaryAccess == CanaryClosed:
	case m.canaryAccess == CanaryFallback:
		if none {
			to = u
		}
	case t.submissions > 0:
		if none && rollout.MayAttempt(t.assignment.Side, rollout.Canary) {
			to = u
		}
	case !t.versionChosen:
		t.assignment = c.assigner.Assign(t.ID, t.Product, m.id)
		if t.assignment.Side == rollout.Canary && u.balancer.Ready() > 0 {
			to = u
		} else if t.assignment.Side == rollout.Canary { // all of the new version are gone: that is no verdict
			t.assignment = Assignment{}
		}
	case t.service == u:
		to = u
	}
	t.versionChosen = true
	if to == m && t.submissions == 0 && t.assignment.Side == rollout.Canary {
		t.assignment = Assignment{}
	}
	c.move(t, to)
}

func (c *Controller) move(t *txn, to *service) {
	if t.service != to {
		t.service.txnCount--
		to.txnCount++
		t.service = to
	}
}

// fallBackToStable moves a txn that has waited in vain for the other version to the main one, where it goes at once or not
// at all: the one that is being tried out may be short of room, the main one is not to be.
func (c *Controller) fallBackToStable(t *txn) bool {
	m := t.service.stable
	if m == nil || t.submissions > 0 || m.balancer.Ready() == 0 {
		return false
	}
	t.service.queue = slices.DeleteFunc(t.service.queue, func(x *txn) bool { return x == t })
	t.queued, t.assignment = false, Assignment{}
	c.move(t, m)
	c.enqueue(t)
	return true
}

// mayUseVersion tells whether a txn may be sent to the version that its deployment is: asked again with each send.
func (t *txn) mayUseVersion() bool {
	m := t.service.stable
	return m == nil || m.canaryAccess == CanaryFallback || m.canaryAccess == CanaryShared && rollout.MayAttempt(t.assignment.Side, rollout.Canary)
}

// reportComparison tells of the end of a first submission. What ended by this node's own doing says nothing; one that was
// called off since its backend was silent is the backend's.
func (c *Controller) reportComparison(t *txn, how control.Ending, took time.Duration) {
	own := t.sentAt < c.pausedUntil
	if t.canceled || how == control.Canceled && t.clientLeft && t.route.LatencyTarget > 0 && took >= t.route.LatencyTarget {
		how = control.TimedOut // its client waited for as long as an answer has its full worth
	}
	if how == control.Canceled || how == control.NotSent || own && how == control.TimedOut {
		return
	}
	m := t.service
	if m.stable != nil {
		m = m.stable
	}
	c.assigner.SubmissionEnded(Comparison{Assignment: t.assignment, Service: m.id, Kind: t.Product, Effectful: t.route.Effectful, Backend: t.backend, Ending: how,
		Took: took, WarmingUp: own || t.service.balancer.WarmingUp(c.now, t.backend)})
}

// readyBackends counts the backends of a service that may get something, of both versions.
func (s *service) readyBackends() int {
	n := s.balancer.Ready()
	if s.canary != nil && s.canaryAccess != CanaryClosed {
		n += s.canary.balancer.Ready()
	}
	return n
}

// concurrency is how many requests a service has under way from this node, on average over spans of some seconds: the most that any of
// them had, of late.
type concurrency struct {
	busyTime time.Duration // that ended requests took, in this span
	since    time.Duration
	peaks    [2]float64 // in the present period and the one before
	period   time.Duration
}

const (
	concurrencySpan   = 10 * time.Second
	concurrencyPeriod = 30 * time.Minute
)

func (c *concurrency) advance(now time.Duration) {
	if now-c.since < concurrencySpan {
		return
	}
	if nr := now / concurrencyPeriod; nr != c.period {
		c.peaks[1] = 0
		if nr == c.period+1 {
			c.peaks[1] = c.peaks[0]
		}
		c.peaks[0], c.period = 0, nr
	}
	c.peaks[0] = max(c.peaks[0], float64(c.busyTime)/float64(now-c.since))
	c.busyTime, c.since = 0, now
}

// PeakConcurrency is how many requests a service had under way from this node at its busiest of late, of both versions; 0: not known.
func (c *Controller) PeakConcurrency(service control.ServiceID) float64 {
	h := c.service(service)
	most := max(h.concurrency.peaks[0], h.concurrency.peaks[1])
	if h.canary != nil {
		most += max(h.canary.concurrency.peaks[0], h.canary.concurrency.peaks[1])
	}
	return most
}
