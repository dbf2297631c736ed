package node

import (
	"cmp"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"clovergap/internal/gateway/controlapi"
	"clovergap/internal/gateway/membership"
	"clovergap/internal/gateway/rollout"
	"clovergap/internal/gateway/routing"
	"clovergap/internal/gateway/statemachine"
	"clovergap/internal/invariant"
)

// Rollout takes an operator's order to the leader, as a change of the configuration goes. What is wrong in itself, or is known here to
// have been taken, needs no leader; a dry run goes by the state of this node.
func (n *Node) Rollout(e *rollout.Entry, dry bool, then func(status int, body []byte)) {
	if e.UnixMilli = time.Now().UnixMilli(); e.CallID == "" { // the same call may go out twice from here
		e.CallID = fmt.Sprintf("%016x", rand.Uint64())
	}
	if e.Verb == rollout.Start {
		if err := n.checkKnown(e.Spec); err != nil && dry {
			then(responseOf(routing.Invalid, err))
			return
		}
		given := e.Capacity
		e.Capacity = n.rollouts.capacityOf(e.Spec)
		e.Capacity.Canary, e.Capacity.PeakInUse = max(given.Canary, e.Capacity.Canary), cmp.Or(given.PeakInUse, e.Capacity.PeakInUse)
	}
	body := e.Encode()
	if dry {
		n.dryRun(e, body, then)
		return
	}
	if v, err, final := n.machine.DecideFinal(statemachine.KindRollout, body); final {
		status, answer := responseOf(v, err)
		then(status, n.answerBody(statemachine.KindRollout, body, status, answer))
		return
	}
	n.callLeader(statemachine.KindRollout, body, 0, then)
}

// dryRun answers what an order would do, and changes nothing.
func (n *Node) dryRun(e *rollout.Entry, body []byte, then callDone) {
	if v, err := n.machine.Decide(statemachine.KindRollout, body); v != routing.Accepted {
		then(responseOf(v, err))
		return
	}
	then(statusOK, marshalAnswer(n.dryRunAnswer(e)))
}

// checkKnown is the error of an order that names what this node does not know. Zones are those of nodes.
func (n *Node) checkKnown(spec *rollout.Spec) error {
	service := func(name string) bool { _, ok := n.table.Service(name); return ok }
	route := func(name string) bool {
		return slices.ContainsFunc(n.table.Routes(), func(r *routing.Route) bool { return r.Name == name })
	}
	tenant := func(name string) bool {
		return slices.ContainsFunc(n.table.Tenants(), func(t *routing.Tenant) bool { return t.Name == name })
	}
	zone := func(name string) bool {
		return name == n.settings.Zone ||
			slices.ContainsFunc(n.roster.SlotHolders(), func(s membership.SlotHolder) bool { return s.Zone == name })
	}
	return spec.CheckReferences(service, route, tenant, zone)
}

// dryRunAnswer counts the known keys that each step of an order would have on the new version.
func (n *Node) dryRunAnswer(e *rollout.Entry) controlapi.RolloutAnswer {
	var users [][]byte
	if config := n.machine.Configs.Config(); config != nil {
		for _, tenant := range config.Tenants {
			for _, key := range tenant.ApiKeys {
				users = append(users, []byte(key))
			}
		}
	}
	number := n.machine.Rollouts.LastNumber + 1
	return controlapi.RolloutAnswer{Service: e.Service, Number: uint64(number), Phase: "dry", Rev: e.Revision, Steps: len(e.Spec.Steps),
		Users: ptr(len(users)), Moved: e.Spec.CountCanaryUsers(number, users), Room: capacityAnswer(e.Capacity)}
}

// marshalAnswer is an answer in JSON.
func marshalAnswer(v any) []byte {
	b, err := json.Marshal(v)
	invariant.Assert(err == nil, "an answer can be worded")
	return b
}

// answerBody gives the answer to a call that was taken, where it has one.
func (n *Node) answerBody(kind statemachine.Kind, body []byte, status int, answer []byte) []byte {
	if kind != statemachine.KindRollout || status != statusOK {
		return answer
	}
	e, err := rollout.DecodeEntry(body)
	if err != nil {
		return answer
	}
	run := n.machine.Rollouts.Run(e.Service)
	if run == nil {
		return answer
	}
	return marshalAnswer(controlapi.RolloutAnswer{Service: e.Service, Number: uint64(run.Number), Rev: run.Revision, Phase: string(run.Phase),
		Step: run.Step, Steps: len(run.Spec.Steps), Share: run.CanaryShare(), Room: capacityAnswer(run.Capacity)})
}

func capacityAnswer(c rollout.Capacity) *controlapi.RolloutRoom {
	return &controlapi.RolloutRoom{Old: c.Baseline, New: c.Canary, Busy: c.PeakInUse}
}

// Rollouts reads the status from the leader, which has the counts; without one, this node answers by its own state.
func (n *Node) Rollouts(then func(status int, body []byte)) {
	n.readRollouts(func(status int, body []byte) {
		if status != statusOK {
			status, body = statusOK, n.rolloutStatusBody()
		}
		then(status, body)
	})
}

// rolloutStatusBody is how roll-outs stand, as this node knows it.
func (n *Node) rolloutStatusBody() []byte {
	state := n.machine.Rollouts
	all := controlapi.RolloutStatus{Node: n.settings.NodeName, Rev: state.Revision,
		Leads: n.rollouts.coordinator != nil || n.isLeader(), Rollouts: []controlapi.RolloutRun{}}
	for i := range state.Runs() {
		all.Rollouts = append(all.Rollouts, n.rollouts.statusOf(&state.Runs()[i]))
	}
	return marshalAnswer(all)
}

// statusOf is how a roll-out stands, with what the coordinator has counted if it is here.
func (r *rolloutHost) statusOf(run *rollout.Run) controlapi.RolloutRun {
	service := run.Spec.Service
	status := controlapi.RolloutRun{Service: service, Number: uint64(run.Number), Rev: run.Revision, Phase: string(run.Phase),
		Step: run.Step, Steps: len(run.Spec.Steps), Share: run.CanaryShare(), Old: run.Spec.Old, New: run.Spec.New, Held: run.Paused,
		Here: r.local.CanaryShare(service)}
	if r.coordinator != nil && run.Phase == rollout.Running {
		var counts rollout.Counts
		counts, status.Doubt = r.coordinator.Counts(service)
		status.Counts = ptr(rolloutCounts(&counts))
	}
	return status
}

// RolloutHistory is what became of a service's roll-outs, as this node knows it.
func (n *Node) RolloutHistory(service string) controlapi.RolloutHistory {
	all := controlapi.RolloutHistory{Service: service, Rollouts: []controlapi.RolloutPast{}}
	ended := n.machine.Rollouts.Ended()
	for i := range ended {
		if ended[i].Spec.Service == service {
			all.Rollouts = append(all.Rollouts, rolloutPast(&ended[i]))
		}
	}
	if run := n.machine.Rollouts.Run(service); run != nil {
		all.Rollouts = append(all.Rollouts, rolloutPast(run))
	}
	return all
}

func rolloutPast(run *rollout.Run) controlapi.RolloutPast {
	past := controlapi.RolloutPast{Number: uint64(run.Number), Old: run.Spec.Old, New: run.Spec.New, Phase: string(run.Phase)}
	for _, e := range run.History {
		past.Lines = append(past.Lines, controlapi.RolloutLine{Verb: string(e.Verb), Step: e.Step, Share: e.Share, By: e.Author,
			At: e.UnixMilli, Why: e.Reason, Counts: rolloutCounts(&e.Counts)})
	}
	return past
}

func rolloutCounts(c *rollout.Counts) controlapi.RolloutCounts {
	side := func(s rollout.Side) controlapi.RolloutSide {
		return controlapi.RolloutSide{Reads: rolloutTally(&c[s][rollout.Read]), Writes: rolloutTally(&c[s][rollout.Write])}
	}
	return controlapi.RolloutCounts{Old: side(rollout.Baseline), New: side(rollout.Canary)}
}

func rolloutTally(t *rollout.Tally) controlapi.RolloutTally {
	return controlapi.RolloutTally{Ends: int(t.Outcomes), Failed: int(t.ByCause[rollout.ServerError]), None: int(t.ByCause[rollout.NoResponse]),
		Wrong: int(t.ByCause[rollout.InvalidResponse]), Full: int(t.ByCause[rollout.Rejected]), HalfMs: t.LatencyQuantile(0.5).Milliseconds(),
		TenthMs: t.LatencyQuantile(0.9).Milliseconds()}
}
