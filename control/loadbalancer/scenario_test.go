package loadbalancer

import (
	"fmt"
	"time"

	"clovergap/control"
	"clovergap/control/quota"
)

// scenario drives one controller and prints its decisions. Times in arguments and in the output are in milliseconds. In the output,
// Decision.After is the time-out of a submission or the retry delay of a rejection.
type scenario struct {
	controller    *Controller
	datagrams     []*quota.Message
	hideDatagrams bool // true means that decisions to send a datagram are not printed
}

// defaultTestSettings returns the settings of one of three front doors. Product 0 is inquiry-like, product 1 is referenced with scope pod,
// product 2 is once-only, and product 3 is referenced with scope all. Plan 0 has ten units per second and a burst of 20 units. Plan 1
// has the same limits, and also a hard limit of 20 units per second with a burst of 20 units.
func defaultTestSettings(frontDoorIndex int) control.Settings {
	s := control.Settings{"me": fmt.Sprint(frontDoorIndex), "gateways": "3", "zone": "0", "limits.probes": "true",
		"limits.peers": "true", "limits.cancel": "true", "limits.advice": "true",
		"limits.longest_advice": "2000000", "limits.max_submissions": "3", "report.how": "answers",
		"report.fields": "inflight", "rules.warm_by": "10000000", "rules.fall_window": "1000000",
		"rules.cold_from": "0.2", "rules.fall_multiple": "2", "quota.most_units": "1",
		"quota.mail_per_s": "100", "products.count": "4", "plans.count": "2"}
	// Each text has the effect of a product and the repeat scope of the product, which is the set of backends that drop a repeat of a txn.
	for i, kind := range []string{"inquiry-like all", "referenced pod", "once-only all", "referenced all"} {
		at := fmt.Sprintf("products.%d.", i)
		var effect, scope string
		fmt.Sscan(kind, &effect, &scope)
		s[at+"effect"], s[at+"repeat_scope"], s[at+"sla_time"] = effect, scope, "500000"
		s[at+"repeat_window"], s[at+"value"], s[at+"late_value"] = "1000000", "1", "0"
		s[at+"expiry"] = "2000000"
	}
	for i, hardLimit := range []string{"0", "20"} {
		at := fmt.Sprintf("plans.%d.", i)
		s[at+"rate"], s[at+"burst"], s[at+"price"], s[at+"over_value"] = "10", "20", "1", "0"
		s[at+"over_cost"], s[at+"open_cap"], s[at+"ceiling_rate"] = "1", "0", hardLimit
		s[at+"ceiling_burst"] = hardLimit[:1] + "0"
	}
	return s
}

// newScenario returns a scenario whose clock starts at startMillis. Its backend list is empty.
func newScenario(settings control.Settings, startMillis int) *scenario {
	d, err := New(1, settings, time.Millisecond*time.Duration(startMillis))
	if err != nil {
		fmt.Println(err)
	}
	return &scenario{controller: d}
}

// newWarmScenario returns a scenario at 10 s with three warm backends. Backends 1 and 2 are in pod 0, and backend 3 is in pod 1.
func newWarmScenario() *scenario { return newWarmScenarioWithSettings(defaultTestSettings(0)) }

// newWarmScenarioWithSettings returns the scenario of newWarmScenario with other settings.
func newWarmScenarioWithSettings(settings control.Settings) *scenario {
	s := newScenario(settings, 0)
	s.changeEndpoints(true, control.Endpoint{ID: 1, State: control.Ready}, control.Endpoint{ID: 2, State: control.Ready}, control.Endpoint{ID: 3, Pod: 1, State: control.Ready})
	s.hideDatagrams, s.controller.capacity = true, 3
	s.advanceTo(10000)
	return s
}

// advanceTo moves the clock to toMillis and prints the decisions. It moves the clock in steps of 50 ms, as a host does, because a longer
// time without a call of Now (stallThreshold) counts as a stall of the process.
func (s *scenario) advanceTo(toMillis int) {
	for to := time.Millisecond * time.Duration(toMillis); s.controller.now < to; {
		s.controller.Now(min(to, s.controller.now+50*time.Millisecond))
		s.printDecisions()
	}
}

// changeEndpoints applies changes to the backend list. If complete is true, it replaces the backend list.
func (s *scenario) changeEndpoints(complete bool, l ...control.Endpoint) {
	s.controller.EndpointsChanged(complete, l)
}

// addTxn adds a txn with one unit and an expiry in two seconds, and prints the decisions.
func (s *scenario) addTxn(id control.TxnID, customer control.CustomerID, product control.ProductID, plan control.PlanID) {
	s.controller.TxnArrived(control.Txn{ID: id, Customer: customer, Product: product, Plan: plan, Units: 1, SetWidth: 3,
		Expiry: s.controller.now + 2*time.Second})
	s.printDecisions()
}

// endSubmission ends the submission in flight of a txn with the given ending, and prints the decisions.
func (s *scenario) endSubmission(id control.TxnID, ending control.Ending) {
	t := s.controller.txns[id]
	s.controller.SubmissionEnded(id, t.submissions-1, t.currentBackend.ID, ending, ending == control.Succeeded, s.controller.now-t.sentAt, nil)
	s.printDecisions()
}

// customerOwnedBy returns a customer whose owner is gateway g if the set consists of all three gateways.
func customerOwnedBy(g control.GatewayID) control.CustomerID {
	for c := control.CustomerID(1); ; c++ {
		if quota.OwnerOf(c, 0, 3, 3) == g {
			return c
		}
	}
}

// drainBucket consumes units of a customer until unitsLeft units are left in the customer's bucket. The customer must have plan 0, and
// this gateway must own the bucket. The bucket must hold at least unitsLeft units.
func (s *scenario) drainBucket(customer control.CustomerID, unitsLeft float64) {
	s.controller.quota.EnsureAccount(customer, 0, 0, 3)
	state, _ := s.controller.quota.AccountState(customer)
	s.controller.quota.Consume(customer, state.Level-unitsLeft)
}

// receiveMessage delivers a message from a peer and prints the decisions.
func (s *scenario) receiveMessage(from control.GatewayID, m *quota.Message) {
	s.controller.DatagramReceived(from, m.Encode())
	s.printDecisions()
}

// printDecisions calls Next until there is no decision, and prints each decision.
func (s *scenario) printDecisions() {
	for {
		x, ok := s.controller.Next()
		if !ok {
			return
		}
		fmt.Print(s.formatDecision(x))
	}
}

// formatDecision returns the line to print for a decision, or an empty string if the decision is not printed.
func (s *scenario) formatDecision(x control.Decision) string {
	t := fmt.Sprintf("%5d ms: ", s.controller.now.Milliseconds())
	limit := ""
	if x.After > 0 {
		limit = fmt.Sprintf(", Decision.After=%d ms", x.After.Milliseconds())
	}
	switch x.Action {
	case control.Submit:
		return fmt.Sprintf("%ssubmit txn %d to backend %d%s\n", t, x.Txn, x.Backend, limit)
	case control.Reject:
		return fmt.Sprintf("%sreject txn %d%s\n", t, x.Txn, limit)
	case control.Fail:
		return fmt.Sprintf("%sfail txn %d\n", t, x.Txn)
	case control.Cancel:
		return fmt.Sprintf("%scancel txn %d attempt %d\n", t, x.Txn, x.Attempt)
	case control.Probe:
		return fmt.Sprintf("%sprobe backend %d\n", t, x.Backend)
	case control.SendDatagram:
		m, err := quota.DecodeMessage(x.Payload)
		if err != nil {
			return t + err.Error() + "\n"
		}
		s.datagrams = append(s.datagrams, m)
		if s.hideDatagrams {
			return ""
		}
		text := fmt.Sprintf("%sdatagram to gateway %d:", t, x.Peer)
		for _, l := range m.Deltas {
			text += fmt.Sprintf(" delta seq=%d units=%g", m.Seq, l.Units)
		}
		for _, l := range m.Snapshots {
			text += fmt.Sprintf(" snapshot level=%g reporters=%d ack=%d", l.Level, l.Reporters, m.AckHigh)
		}
		return text + "\n"
	}
	return ""
}
