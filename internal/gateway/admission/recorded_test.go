package admission

import (
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"math/rand"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"clovergap/control"
	"clovergap/control/quota"
)

// simulateAndDigest simulates three nodes and two services. One of the services has a canary. Backends are added, are removed, fail, and do not
// respond. simulateAndDigest returns the number of decisions and a digest of them. Log entries are not included.
func simulateAndDigest(seed int64, load float64) string {
	type event struct {
		at       time.Duration
		node     int
		decision control.Decision
		attempt  int
		sent     time.Duration
	}
	const nodes, backends = 3, 18
	rng, digest, count := rand.New(rand.NewSource(seed)), fnv.New64a(), 0
	var controllers []*Controller
	now := time.Second
	for i := range nodes {
		quota := quota.NewLimiter(seed+int64(i), control.GatewayID(i), nodes, now, quota.Config{MinInterval: 200 * time.Millisecond, SnapshotTTL: time.Second,
			DatagramsPerSecond: 200, Strict: true, OwnershipDelay: time.Second, Window: 5 * time.Second, Excess: 0.1, Margin: 20})
		for c := control.CustomerID(1); c <= 6; c++ {
			quota.SetLimit(c, float64(c)*10, float64(c)*20)
		}
		controller := New(seed*10+int64(i), Config{Zone: control.ZoneID(i % 2), RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetryAllowance: 64,
			Nodes: nodes}, quota, now)
		controller.SetAssigner(&oddAssigner{})
		controller.SetRoute(1, Route{LatencyTarget: 400 * time.Millisecond, Deadline: 1500 * time.Millisecond, MaxAttempts: 3, Priority: 1,
			Targets: []Target{{1, 3}, {3, 1}}})
		controller.SetRoute(2, Route{Effectful: true, LatencyTarget: 400 * time.Millisecond, Deadline: 1500 * time.Millisecond, MaxAttempts: 2,
			Targets: []Target{{1, 1}}})
		controller.SetRoute(3, Route{Deadline: 800 * time.Millisecond, MaxAttempts: 2, Priority: 2, Targets: []Target{{3, 1}}})
		controller.SetZoneIndex(i/2, 2)
		controllers = append(controllers, controller)
	}
	newEndpoint := func(id int, state control.BackendState) control.Endpoint {
		return control.Endpoint{ID: control.BackendID(id), Zone: control.ZoneID(id % 2), State: state, Capacity: 4, Service: control.ServiceID(1 + id%3),
			WarmingUntil: map[bool]time.Duration{true: now + 3*time.Second}[id%5 == 0]}
	}
	for id := 1; id <= backends; id++ {
		for _, controller := range controllers {
			controller.EndpointsChanged(false, []control.Endpoint{newEndpoint(id, control.Ready)})
		}
	}
	isNode1Paused := func(step int) bool { return step%1500 > 1420 } // the steps in which node 1 is paused
	submissions := map[[2]int]int{}
	answered := map[[2]int]bool{}
	inFlight := [backends + 1]int{}
	var events []event
	var lastTxn control.TxnID
	for step := 0; now < 60*time.Second; step++ {
		now += 5 * time.Millisecond
		switch step % 2000 {
		case 700:
			for _, controller := range controllers {
				controller.SetRollout(1, 2, CanaryShared)
			}
		case 1500:
			for _, controller := range controllers {
				controller.SetRollout(1, 2, []CanaryAccess{CanaryClosed, CanaryFallback}[step/2000%2])
			}
		case 1800:
			for i, controller := range controllers {
				controller.SetNodes(2 + step/2000%3)
				controller.SetZoneIndex(i/2, 1+step/2000%3)
				controller.LowerMaxAttempts(1, 2)
			}
		}
		if step%400 == 399 {
			id, state := 1+rng.Intn(backends), []control.BackendState{control.Ready, control.Draining, control.Gone}[rng.Intn(3)]
			for _, controller := range controllers {
				controller.EndpointsChanged(false, []control.Endpoint{newEndpoint(id, state)})
			}
		}
		remaining := events[:0]
		for _, e := range events {
			if e.at > now || e.node == 1 && isNode1Paused(step) {
				remaining = append(remaining, e)
				continue
			}
			controller, decision := controllers[e.node], e.decision
			controller.Now(now)
			key := [2]int{e.node, int(decision.Txn)}
			switch decision.Action {
			case control.SendDatagram:
				controllers[decision.Peer].DatagramReceived(control.GatewayID(e.node), decision.Payload)
			case control.Cancel:
				// a Cancel decision has no event, because the loop below handles the decision at once
			case control.Submit:
				if e.attempt != submissions[key]-1 {
					continue // the submission was canceled in the meantime
				}
				inFlight[decision.Backend]--
				ending, took := control.Succeeded, now-e.sent
				switch {
				case decision.Backend%7 == 3 && now > 15*time.Second && now < 22*time.Second:
					ending = control.Errored
				case decision.Backend%7 == 5 && now > 30*time.Second && now < 40*time.Second:
					ending = []control.Ending{control.Unreachable, control.ConnectionLost, control.TimedOut}[rng.Intn(3)]
				case took > decision.After:
					ending, took = control.TimedOut, decision.After
				case rng.Intn(25) == 0:
					ending = []control.Ending{control.Errored, control.Rejected, control.TimedOut, control.Unreachable,
						control.ConnectionLost, control.NotSent}[rng.Intn(6)]
				}
				if ending == control.Succeeded && rng.Intn(30) == 0 {
					controller.Begun(decision.Txn)
					ending = control.ConnectionLost
				}
				hasAnswer := ending == control.Succeeded || answered[key]
				controller.SubmissionEnded(decision.Txn, e.attempt, decision.Backend, ending, hasAnswer, took, nil)
			}
		}
		events = remaining
		for i, controller := range controllers {
			if i == 1 && isNode1Paused(step) {
				continue
			}
			controller.Now(now)
			for rng.Float64() < load {
				lastTxn++
				controller.TxnArrived(control.Txn{ID: lastTxn, Customer: control.CustomerID(rng.Intn(7)), Product: control.ProductID(1 + rng.Intn(3)),
					Plan: control.PlanID(rng.Intn(3)), Units: 1, Expiry: now + time.Duration(500+rng.Intn(1500))*time.Millisecond, Retry: rng.Intn(6) == 0})
			}
			if rng.Intn(100) == 0 && lastTxn > 0 {
				controller.ClientLeft(lastTxn)
			}
			for decision, ok := controller.Next(); ok; decision, ok = controller.Next() {
				if decision.Action == control.Log {
					continue
				}
				count++
				for _, v := range []int64{int64(decision.Action), int64(decision.Txn), int64(decision.Attempt), int64(decision.Backend),
					int64(decision.After), int64(decision.ResponseTimeout), int64(decision.Peer), int64(decision.Reason)} {
					digest.Write(binary.LittleEndian.AppendUint64(nil, uint64(v)))
				}
				digest.Write(decision.Payload)
				key := [2]int{i, int(decision.Txn)}
				switch decision.Action {
				case control.Submit:
					inFlight[decision.Backend]++
					took := time.Duration(rng.ExpFloat64() * 60 * float64(time.Millisecond) * float64(1+inFlight[decision.Backend]/4))
					if decision.Backend == 7 {
						took *= 6
					}
					if decision.Backend == 11 && now > 20*time.Second && now < 30*time.Second {
						took = 10 * time.Second
					}
					events = append(events, event{now + min(took, decision.After+time.Millisecond), i, decision, submissions[key], now})
					submissions[key]++
				case control.Cancel:
					submissions[key]++ // later events of the canceled submission are ignored
					for j, e := range events {
						if e.node == i && e.decision.Txn == decision.Txn && e.decision.Action == control.Submit && e.attempt == decision.Attempt {
							inFlight[e.decision.Backend]--
							events = append(events[:j:j], events[j+1:]...)
							controller.SubmissionEnded(decision.Txn, decision.Attempt, e.decision.Backend, control.Canceled, answered[key], now-e.sent, nil)
							break
						}
					}
					submissions[key]--
				case control.SendDatagram:
					if rng.Intn(15) > 0 {
						events = append(events, event{at: now + 4*time.Millisecond, node: i, decision: decision})
					}
				case control.Reject, control.Fail:
					answered[key] = true
				}
			}
		}
	}
	for _, controller := range controllers {
		count += int(controller.PeakConcurrency(1))
	}
	return fmt.Sprintf("%d %016x", count, digest.Sum64())
}

// Guards against a refactoring that changes decisions. The decisions must equal the decisions recorded on 5 December 2026, including the effects of
// each random number. A change that is meant to change decisions must record new digests.
func TestDecisionsMatchRecordedDigest(t *testing.T) {
	for _, tc := range []struct {
		name string
		seed int64
		load float64
		want string
	}{
		{"low load", 1, 0.2, "30457 c2e8dde824ca7fb9"},
		{"medium load", 2, 0.5, "70213 1f7644a592d86f97"},
		{"high load", 3, 0.8, "178931 69bcc6c2fd551aa5"},
	} {
		t.Run(tc.name, func(t *testing.T) { must.Eq(t, tc.want, simulateAndDigest(tc.seed, tc.load)) })
	}
}
