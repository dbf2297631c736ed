package loadbalancer

import (
	"maps"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"clovergap/control"
)

// waitOf returns how long a txn waits for a backend until it is rejected, while all capacity is used. work is the current response time, timeLeft the
// time until the expiry of the txn. slaTime is the SLA time of its product.
func waitOf(t *testing.T, slaTime, work, timeLeft time.Duration, retry bool) time.Duration {
	t.Helper()
	s := newWarmScenario()
	s.controller.capacity, s.controller.products[0].slaTime = 0.4, slaTime
	next := func() (submitted, rejected bool) {
		for d, ok := s.controller.Next(); ok; d, ok = s.controller.Next() {
			submitted = submitted || d.Action == control.Submit && d.Txn == 9
			rejected = rejected || d.Action == control.Reject && d.Txn == 9
		}
		return submitted, rejected
	}
	for id := control.TxnID(1); id <= 2; id++ {
		s.controller.TxnArrived(control.Txn{ID: id, Customer: customerOwnedBy(0), Units: 1, SetWidth: 1, Expiry: s.controller.now + time.Minute})
	}
	next()
	arrival := control.Txn{ID: 9, Customer: customerOwnedBy(0), Units: 1, SetWidth: 1, Retry: retry, Expiry: s.controller.now + timeLeft}
	s.controller.currentLatencies[s.controller.workKind(&txn{Txn: arrival})] = work.Seconds()
	s.controller.TxnArrived(arrival)
	for start := s.controller.now; ; s.controller.Now(s.controller.now + time.Millisecond) {
		submitted, rejected := next()
		must.False(t, submitted)
		must.Less(t, time.Minute, s.controller.now-start)
		if rejected {
			return s.controller.now - start
		}
	}
}

// Guards against a wait that is a share of the SLA time, whatever time the client has and however long the work takes. The wait ends at the first check
// at which the work that is left, and the time until one of the two submissions in flight is expected to end, no longer fit into the time. A client's
// retry waits like a first attempt.
func TestWaitFollowsFromClientTimeAndWork(t *testing.T) {
	for _, slaTime := range []time.Duration{500 * time.Millisecond, 800 * time.Millisecond} {
		for _, work := range []time.Duration{40 * time.Millisecond, 120 * time.Millisecond} {
			for _, timeLeft := range []time.Duration{400 * time.Millisecond, 2 * time.Second} {
				end := min(slaTime, timeLeft)
				wait := waitOf(t, slaTime, work, timeLeft, false)
				latest := end - expiryMargin - work - work/2
				must.Between(t, latest, wait, latest+expiryMargin+busySweepInterval)
				must.Eq(t, wait, waitOf(t, slaTime, work, timeLeft, true))
			}
		}
	}
	// An SLA time that is out of reach is no reason to reject a txn whose client waits for longer.
	wait := waitOf(t, 100*time.Millisecond, 300*time.Millisecond, 2*time.Second, false)
	must.Between(t, 1550*time.Millisecond-expiryMargin, wait, 1550*time.Millisecond+busySweepInterval)
}

// Guards against an order of the waiting txns that depends on the value of their products.
func TestValueDoesNotChangeOrder(t *testing.T) {
	for _, value := range []string{"0.1", "1", "50"} {
		settings := defaultTestSettings(0)
		settings["products.2.value"] = value
		s := newWarmScenarioWithSettings(settings)
		s.controller.capacity = 0.4
		var submitted []control.TxnID
		next := func() {
			for d, ok := s.controller.Next(); ok; d, ok = s.controller.Next() {
				if d.Action == control.Submit {
					submitted = append(submitted, d.Txn)
				}
			}
		}
		for id, product := range []control.ProductID{0, 0, 0, 2} {
			s.controller.TxnArrived(control.Txn{ID: control.TxnID(id), Customer: control.CustomerID(id + 1), Product: product, Units: 1, SetWidth: 1,
				Expiry: s.controller.now + 2*time.Second})
			next()
			s.controller.Now(s.controller.now + time.Millisecond)
		}
		must.Eq(t, []control.TxnID{0, 1}, submitted)
		for _, id := range []control.TxnID{0, 1} {
			s.controller.SubmissionEnded(id, 0, s.controller.txns[id].currentBackend.ID, control.Succeeded, true, 20*time.Millisecond, nil)
			next()
		}
		must.Eq(t, []control.TxnID{0, 1, 2, 3}, submitted)
	}
}

// Guards against a delay that is estimated although no backend processes anything. A txn without a ready backend must wait until its latest start, and
// the rejection must not advise a retry after its own work, because nothing is known of the time at which a backend is ready.
func TestWithoutReadyBackendDelayIsUnknown(t *testing.T) {
	const work = 120 * time.Millisecond
	s := newWarmScenario()
	slaTime := s.controller.products[0].slaTime
	s.changeEndpoints(true)
	arrival := control.Txn{ID: 9, Customer: customerOwnedBy(0), Units: 1, SetWidth: 1, Expiry: s.controller.now + 2*time.Second}
	s.controller.currentLatencies[s.controller.workKind(&txn{Txn: arrival})] = work.Seconds()
	s.controller.TxnArrived(arrival)
	for start := s.controller.now; ; s.controller.Now(s.controller.now + time.Millisecond) {
		for d, ok := s.controller.Next(); ok; d, ok = s.controller.Next() {
			if d.Action == control.Reject {
				must.Eq(t, slaTime-work, s.controller.now-start)
				must.Eq(t, 0, d.After)
				return
			}
		}
		must.Less(t, slaTime, s.controller.now-start)
	}
}

// Guards against waits that follow from response times of a calm minute. While the backends are slow and all capacity is used, a wait must end earlier
// by the additional time that a response takes (TestWaitFollowsFromClientTimeAndWork shows that it ends earlier with more expected work).
func TestWaitFollowsResponseTimeUnderPressure(t *testing.T) {
	const calm, slow = 40 * time.Millisecond, 200 * time.Millisecond
	s := newWarmScenario()
	waiting := &txn{Txn: control.Txn{Units: 1}}
	for i := range 200 {
		took := calm
		if i >= 100 {
			took, s.controller.saturatedAt = slow, s.controller.now
		}
		s.controller.recordLatency(waiting, took)
	}
	must.Between(t, slow-5*time.Millisecond, s.controller.expectedWork(waiting), slow)
	must.Between(t, calm-time.Millisecond, s.controller.usualLatency(waiting), calm+time.Millisecond)
}

// actionsOf returns the actions of the pending decisions for each txn.
func (s *scenario) actionsOf() map[control.TxnID]control.Action {
	actions := map[control.TxnID]control.Action{}
	for d, ok := s.controller.Next(); ok; d, ok = s.controller.Next() {
		if d.Action == control.Submit || d.Action == control.Reject {
			actions[d.Txn] = d.Action
		}
	}
	return actions
}

// Guards against txns that all wait for the same units. The refill brings five units within the SLA time of 500 ms, so only the first txns of the
// customer may wait for units. All others must be rejected on arrival, and the txns that waited must be submitted in the order of their arrival.
func TestUnitsAreAwaitedInOrder(t *testing.T) {
	s := newWarmScenario()
	customer := customerOwnedBy(0)
	s.drainBucket(customer, 0)
	const count = 20
	for id := range control.TxnID(count) {
		s.controller.TxnArrived(control.Txn{ID: id, Customer: customer, Units: 1, SetWidth: 3, Expiry: s.controller.now + 2*time.Second})
	}
	rejected := s.actionsOf()
	must.Between(t, count-5, len(rejected), count-4)
	submitted := map[control.TxnID]control.Action{}
	for range 600 {
		s.controller.Now(s.controller.now + time.Millisecond)
		maps.Copy(submitted, s.actionsOf())
	}
	must.Eq(t, count, len(submitted)+len(rejected))
	for id, action := range submitted {
		must.Eq(t, control.Submit, action)
		must.Less(t, control.TxnID(len(submitted)), id)
	}
}

// Guards against txns that wait in vain because their plan limits the submissions in flight. With two submissions in flight and responses after 150 ms,
// the SLA time of 500 ms leaves 350 ms, in which four more submissions can begin. All others must be rejected on arrival.
func TestSlotsOfPlanAreAwaitedInOrder(t *testing.T) {
	settings := defaultTestSettings(0)
	settings["plans.0.open_cap"] = "2"
	s := newWarmScenarioWithSettings(settings)
	arrival := control.Txn{Customer: customerOwnedBy(0), Units: 1, SetWidth: 3, Expiry: s.controller.now + 2*time.Second}
	s.controller.currentLatencies[s.controller.workKind(&txn{Txn: arrival})] = 0.15
	for arrival.ID = range control.TxnID(20) {
		s.controller.TxnArrived(arrival)
	}
	actions := s.actionsOf()
	for id := range control.TxnID(20) {
		switch {
		case id < 2:
			must.Eq(t, control.Submit, actions[id])
		case id < 6:
			must.MapNotContainsKey(t, actions, id)
		default:
			must.Eq(t, control.Reject, actions[id])
		}
	}
}

// Guards against txns that all wait for units of a hard limit. Units come at 20 per second for three front doors, so the first three txns of a customer
// can get them within the SLA time of 500 ms. All others must be rejected on arrival. This holds for the owner of the quota, whose rate is higher, and
// for the other front doors.
func TestUnitsOfHardLimitAreAwaitedInOrder(t *testing.T) {
	for owner, waiting := range map[control.GatewayID]int{0: 6, 1: 3} {
		s := newScenario(defaultTestSettings(0), 10000) // the shares of the hard limit are empty at the start
		s.changeEndpoints(true, control.Endpoint{ID: 1, State: control.Ready})
		for id := range control.TxnID(20) {
			s.controller.TxnArrived(control.Txn{ID: id, Customer: customerOwnedBy(owner), Plan: 1, Units: 1, SetWidth: 3,
				Expiry: s.controller.now + 2*time.Second})
		}
		actions := s.actionsOf()
		must.MapLen(t, 20-waiting, actions)
		for id := range control.TxnID(waiting) {
			must.MapNotContainsKey(t, actions, id)
		}
	}
}
