package loadbalancer

import (
	"encoding/binary"
	"fmt"
	"hash"
	"hash/fnv"
	"math/rand"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"clovergap/control"
)

// The tests in this file guard against a refactoring that changes decisions. They compare decisions and datagrams with digests that
// were recorded on 2 December 2026. The runs include lost datagrams, unresponsive backends and restarts of backends. A change that is
// meant to change decisions must record new digests.

// decisionRecorder computes the digest of a sequence of decisions. The digest has the number of decisions and a hash of their fields.
type decisionRecorder struct {
	hash.Hash64
	count int
}

func newDecisionRecorder() *decisionRecorder { return &decisionRecorder{Hash64: fnv.New64a()} }

func (d *decisionRecorder) addValues(numbers ...int64) {
	d.count++
	for _, v := range numbers {
		d.Write(binary.LittleEndian.AppendUint64(nil, uint64(v)))
	}
}

func (d *decisionRecorder) digest() string { return fmt.Sprintf("%d %016x", d.count, d.Sum64()) }

// recordedSettings returns the settings of one front door. Of the four plans, plan 1 has a hard limit, plan 2 limits the submissions
// in flight, and responses beyond the quota have a value for plan 3.
func recordedSettings(frontDoorIndex int) control.Settings {
	s := defaultTestSettings(frontDoorIndex)
	s["quota.mail_per_s"], s["products.1.late_value"], s["plans.count"] = "400", "0.3", "4"
	for i, plan := range []string{"40 80 0 0 0", "30 60 0 60 60", "30 60 5 0 0", "30 60 0 0 0"} {
		var rate, burst, maxInFlight, hardRate, hardBurst string
		fmt.Sscan(plan, &rate, &burst, &maxInFlight, &hardRate, &hardBurst)
		at := fmt.Sprintf("plans.%d.", i)
		s[at+"rate"], s[at+"burst"], s[at+"open_cap"], s[at+"ceiling_rate"], s[at+"ceiling_burst"] = rate, burst, maxInFlight, hardRate, hardBurst
		s[at+"price"], s[at+"over_value"], s[at+"over_cost"] = "1", "0", "1"
	}
	s["plans.3.over_value"], s["plans.3.over_cost"] = "1", "0"
	return s
}

// simulationDigest simulates three front doors and eight backends and returns the digest of the decisions. Some backends are slow,
// failing, unreachable or warming up. load is the probability that another txn arrives at a front door within the same 5 ms step. change
// changes the settings of each front door.
func simulationDigest(seed int64, load float64, change func(control.Settings)) string {
	type event struct {
		at       time.Duration // time at which the event takes effect
		instance int           // index of the front door that gets the event
		decision control.Decision
		attempt  int               // index of the submission among the submissions of its txn, from 0
		from     control.GatewayID // for a datagram: the sender
		sent     time.Duration     // for a submission: time at which it was sent
	}
	rng, rec := rand.New(rand.NewSource(seed)), newDecisionRecorder()
	var controllers []*Controller
	now := time.Second
	for i := range 3 {
		s := recordedSettings(i)
		change(s)
		d, err := New(seed+int64(i), s, now)
		if err != nil {
			return err.Error()
		}
		controllers = append(controllers, d)
	}
	newEndpoint := func(id int, state control.BackendState, started time.Duration) control.Endpoint {
		return control.Endpoint{ID: control.BackendID(id), Zone: control.ZoneID(id % 2), Pod: control.PodID(id % 4), State: state, Capacity: 4, Started: started}
	}
	for _, d := range controllers {
		var all []control.Endpoint
		for id := 1; id <= 8; id++ {
			all = append(all, newEndpoint(id, control.Ready, 0))
		}
		d.EndpointsChanged(true, all)
	}
	isStalled := func(step int) bool { return step%1500 > 1420 } // the second front door stalls for 79 of each 1500 steps
	attempts := map[[2]int]int{}
	unanswered := map[[2]int]bool{}
	inFlight := [9]int{}
	var queue []event
	var next control.TxnID
	for step := 0; now < 41*time.Second; step++ {
		now += 5 * time.Millisecond
		if step%1000 == 999 {
			id := 1 + rng.Intn(8)
			for _, d := range controllers {
				switch rng.Intn(3) {
				case 0:
					d.EndpointsChanged(false, []control.Endpoint{newEndpoint(id, control.Draining, 0)})
				case 1:
					d.EndpointsChanged(false, []control.Endpoint{newEndpoint(id, control.Gone, 0)})
				default:
					d.EndpointsChanged(false, []control.Endpoint{newEndpoint(id, control.Ready, now)})
				}
			}
		}
		rest := queue[:0]
		for _, e := range queue {
			if e.at > now || e.instance == 1 && isStalled(step) {
				rest = append(rest, e)
				continue
			}
			d, x := controllers[e.instance], e.decision
			d.Now(now)
			switch x.Action {
			case control.SendDatagram:
				d.DatagramReceived(e.from, x.Payload)
			case control.Probe:
				d.ProbeEnded(x.Backend, rng.Intn(5) > 0, 3*time.Millisecond, []float64{float64(inFlight[x.Backend])})
			case control.Submit:
				inFlight[x.Backend]--
				txnKey := [2]int{e.instance, int(x.Txn)}
				ending, took := control.Succeeded, e.at-e.sent
				switch {
				case x.Backend == 3 && now > 15*time.Second && now < 22*time.Second:
					ending = control.Errored
				case x.Backend == 5 && now > 20*time.Second && now < 26*time.Second:
					ending = []control.Ending{control.Unreachable, control.ConnectionLost, control.TimedOut}[rng.Intn(3)]
				case x.After > 0 && took > x.After:
					ending, took = control.TimedOut, x.After
				case rng.Intn(20) == 0:
					ending = []control.Ending{control.Errored, control.Rejected, control.TimedOut, control.Unreachable, control.ConnectionLost, control.Canceled, control.NotSent}[rng.Intn(7)]
				}
				answered := ending == control.Succeeded || !unanswered[txnKey]
				d.SubmissionEnded(x.Txn, e.attempt, x.Backend, ending, answered, took, []float64{float64(inFlight[x.Backend])})
				if answered {
					delete(unanswered, txnKey)
				}
			}
		}
		queue = rest
		for i, d := range controllers {
			if i == 1 && isStalled(step) {
				continue
			}
			d.Now(now)
			for rng.Float64() < load {
				next++
				product := control.ProductID(rng.Intn(4))
				unanswered[[2]int{i, int(next)}] = true
				d.TxnArrived(control.Txn{ID: next, Customer: control.CustomerID(1 + rng.Intn(20)), Product: product, Plan: control.PlanID(rng.Intn(4)), Units: float64(1 + rng.Intn(3)),
					Expiry: now + time.Duration(500+rng.Intn(1500))*time.Millisecond, SetFirst: 0, SetWidth: 3, Retry: rng.Intn(6) == 0})
			}
			if rng.Intn(400) == 0 && next > 0 {
				d.ClientLeft(next)
			}
			for x, ok := d.Next(); ok; x, ok = d.Next() {
				rec.addValues(int64(x.Action), int64(x.Txn), int64(x.Attempt), int64(x.Backend), int64(x.After), int64(x.ResponseTimeout), int64(x.Peer), int64(x.Reason))
				rec.Write(x.Payload)
				txnKey := [2]int{i, int(x.Txn)}
				switch x.Action {
				case control.Submit:
					inFlight[x.Backend]++
					took := time.Duration(rng.ExpFloat64() * 40 * float64(time.Millisecond) * float64(1+inFlight[x.Backend]/6))
					if x.Backend == 7 {
						took *= 6
					}
					queue = append(queue, event{at: now + min(took, 3*time.Second), instance: i, decision: x, attempt: attempts[txnKey], sent: now})
					attempts[txnKey]++
				case control.Probe:
					queue = append(queue, event{at: now + 3*time.Millisecond, instance: i, decision: x})
				case control.SendDatagram:
					if rng.Intn(15) > 0 {
						queue = append(queue, event{at: now + 4*time.Millisecond, instance: int(x.Peer), decision: x, from: control.GatewayID(i)})
					}
				case control.Reject, control.Fail:
					delete(unanswered, txnKey)
				}
			}
		}
	}
	return rec.digest()
}

// TestDecisionsMatchRecordedDigests guards against a refactoring that changes a decision or a datagram.
func TestDecisionsMatchRecordedDigests(t *testing.T) {
	for _, tc := range []struct {
		name   string
		load   float64
		change func(control.Settings)
		seed   int64
		want   string
	}{
		{"low load, default settings", 0.2, func(control.Settings) {}, 1, "23330 51b16de738c9610a"},
		{"high load, default settings", 0.7, func(control.Settings) {}, 2, "97818 5d2c3ea146fa8791"},
		{"probes, retry delays and cancellation are disabled", 0.5, func(s control.Settings) {
			s["limits.probes"], s["limits.cancel"], s["limits.advice"] = "false", "false", "false"
		}, 3, "64734 034c559364f2a14f"},
		{"load reports come with probe responses", 0.5, func(s control.Settings) { s["report.how"], s["report.fields"] = "probe", "queue,per_s,service_ms" }, 4, "63449 3e1423e5d64f4a3b"},
	} {
		t.Run(tc.name, func(t *testing.T) { must.Eq(t, tc.want, simulationDigest(tc.seed, tc.load, tc.change)) })
	}
}
