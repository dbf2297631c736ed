package node

import (
	"cmp"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"clovergap/internal/gateway/controlapi"
	"clovergap/internal/gateway/rollout"
	"clovergap/internal/gateway/routing"
	"clovergap/internal/gateway/statemachine"
	"clovergap/internal/invariant"
)

// Rollout brings an operator's order to whoever leads, as a change of the configuration goes. What is wrong in itself, or
// is known here to have been taken, needs no leader; a dry run goes by what is known here alone.
func (n *Node) Rollout(e *rollout.Entry, dry bool, then func(status int, body []byte)) {
	if e.At = time.Now().UnixMilli(); e.Mark == "" { // the same call may go out twice from here
		e.Mark = fmt.Sprintf("%016x", rand.Uint64())
	}
	if e.Verb == rollout.Start {
		if err := n.checkKnown(e.Order); err != nil && dry {
			then(responseOf(routing.Invalid, err))
			return
		}
		told := e.Room
		e.Room = n.rolloutCapacity(e.Order)
		e.Room.New, e.Room.Busy = max(told.New, e.Room.New), cmp.Or(told.Busy, e.Room.Busy)
	}
	body := e.Encode()
	if dry {
		if v, err := n.machine.Decide(statemachine.KindRollout, body); v != routing.Taken {
			then(responseOf(v, err))
			return
		}
		then(200, marshalAnswer(n.dryRunAnswer(e)))
		return
	}
	if v, err, final := n.machine.DecideFinal(statemachine.KindRollout, body); final {
		status, answer := responseOf(v, err)
		then(status, n.answerBody(statemachine.KindRollout, body, status, answer))
		return
	}
	n.callLeader(statemachine.KindRollout, body, 0, then)
}

// checkKnown tells what an order names that this node does not know. Zones are those of nodes.
func (n *Node) checkKnown(o *rollout.Spec) error {
	service := func(name string) bool { _, ok := n.table.Service(name); return ok }
	route := func(name string) bool {
		for _, r := range n.table.Routes() {
			if r.Name == name {
				return true
			}
		}
		return false
	}
	tenant := func(name string) bool {
		for _, t := range n.table.Tenants() {
			if t.Name == name {
				return true
			}
		}
		return false
	}
	zone := func(name string) bool {
		for _, s := range n.roster.SlotHolders() {
			if s.Zone == name {
				return true
			}
		}
		return name == n.settings.Zone
	}
	return o.CheckReferences(service, route, tenant, zone)
}

// dryRunAnswer counts the known keys that each step of an order would have on the new version.
func (n *Node) dryRunAnswer(e *rollout.Entry) controlapi.RolloutAnswer {
	var users [][]byte
	if config := n.machine.Configs.Config(); config != nil {
		for _, t := range config.Tenants {
			for _, key := range t.ApiKeys {
				users = append(users, []byte(key))
			}
		}
	}
	number := n.machine.Rollouts.Last + 1
	return controlapi.RolloutAnswer{Service: e.Service, Number: uint64(number), Phase: "dry", Rev: e.Rev, Steps: len(e.Order.Steps),
		Users: ptr(len(users)), Moved: e.Order.CountMoved(number, users),
		Room: &controlapi.RolloutRoom{Old: e.Room.Old, New: e.Room.New, Busy: e.Room.Busy}}
}

// marshalAnswer words an answer.
func marshalAnswer(v any) []byte {
	b, err := json.Marshal(v)
	invariant.That(err == nil, "an answer can be worded")
	return b
}

// answerBody gives the answer to a call that was taken, where it has one.
func (n *Node) answerBody(k statemachine.Kind, body []byte, status int, answer []byte) []byte {
	if k != statemachine.KindRollout || status != 200 {
		return answer
	}
	e, err := rollout.DecodeEntry(body)
	if err != nil {
		return answer
	}
	r := n.machine.Rollouts.Run(e.Service)
	if r == nil {
		return answer
	}
	return marshalAnswer(controlapi.RolloutAnswer{Service: e.Service, Number: uint64(r.Number), Rev: r.Rev, Phase: string(r.Phase),
		Step: r.Step, Steps: len(r.Order.Steps), Share: r.Share(),
		Room: &controlapi.RolloutRoom{Old: r.Room.Old, New: r.Room.New, Busy: r.Room.Busy}})
}

// Rollouts asks whoever leads, who has the counts; where nobody can be asked, it is this node's own knowledge.
func (n *Node) Rollouts(then func(status int, body []byte)) {
	n.callLeader(ReadRollouts, nil, 0, func(status int, body []byte) {
		if status != 200 {
			status, body = 200, n.rolloutStatusBody()
		}
		then(status, body)
	})
}

// rolloutStatusBody is how roll-outs stand, as this node knows it.
func (n *Node) rolloutStatusBody() []byte {
	x, s := &n.rollouts, n.machine.Rollouts
	all := controlapi.RolloutStatus{Node: n.settings.NodeName, Rev: s.Rev, Leads: x.coordinator != nil || n.isLeader(),
		Rollouts: []controlapi.RolloutRun{}}
	for i := range s.Runs() {
		r := &s.Runs()[i]
		run := controlapi.RolloutRun{Service: r.Order.Service, Number: uint64(r.Number), Rev: r.Rev, Phase: string(r.Phase),
			Step: r.Step, Steps: len(r.Order.Steps), Share: r.Share(), Old: r.Order.Old, New: r.Order.New, Held: r.Held,
			Here: x.local.Share(r.Order.Service)}
		if x.coordinator != nil && r.Phase == rollout.Running {
			var c rollout.Counts
			c, run.Doubt = x.coordinator.Counts(r.Order.Service)
			run.Counts = ptr(rolloutCounts(&c))
		}
		all.Rollouts = append(all.Rollouts, run)
	}
	return marshalAnswer(all)
}

// RolloutHistory is what became of a service's roll-outs, as this node knows it.
func (n *Node) RolloutHistory(service string) controlapi.RolloutHistory {
	all := controlapi.RolloutHistory{Service: service, Rollouts: []controlapi.RolloutPast{}}
	add := func(r *rollout.Run) {
		if r == nil || r.Order.Service != service {
			return
		}
		past := controlapi.RolloutPast{Number: uint64(r.Number), Old: r.Order.Old, New: r.Order.New, Phase: string(r.Phase)}
		for _, p := range r.History {
			past.Lines = append(past.Lines, controlapi.RolloutLine{Verb: string(p.Verb), Step: p.Step, Share: p.Share, By: p.By,
				At: p.At, Why: p.Why, Counts: rolloutCounts(&p.Counts)})
		}
		all.Rollouts = append(all.Rollouts, past)
	}
	for i := range n.machine.Rollouts.Ended() {
		add(&n.machine.Rollouts.Ended()[i])
	}
	add(n.machine.Rollouts.Run(service))
	return all
}

func rolloutCounts(c *rollout.Counts) controlapi.RolloutCounts {
	side := func(s rollout.Side) controlapi.RolloutSide {
		return controlapi.RolloutSide{Reads: rolloutTally(&c[s][rollout.Read]), Writes: rolloutTally(&c[s][rollout.Write])}
	}
	return controlapi.RolloutCounts{Old: side(rollout.Baseline), New: side(rollout.Canary)}
}

func rolloutTally(t *rollout.Tally) controlapi.RolloutTally {
	return controlapi.RolloutTally{Ends: int(t.Ends), Failed: int(t.By[rollout.ServerError]), None: int(t.By[rollout.NoResponse]),
		Wrong: int(t.By[rollout.InvalidResponse]), Full: int(t.By[rollout.Rejected]), HalfMs: t.Quantile(0.5).Milliseconds(),
		TenthMs: t.Quantile(0.9).Milliseconds()}
}
