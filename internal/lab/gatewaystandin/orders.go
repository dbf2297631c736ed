package gatewaystandin

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"clovergap/internal/gateway/rollout"
)

// RolloutView is a service's newest roll-out.
type RolloutView struct {
	Service string `json:"service"`
	Number  uint64 `json:"number"`
	Rev     uint64 `json:"rev"`
	Phase   string `json:"phase"`
	Step    int    `json:"step"`
	Held    bool   `json:"held"`

	Doubt float64 `json:"doubt"` // 0 where whoever leads was not asked
}

// rolloutStatusTimeout bounds one look at a roll-out.
const rolloutStatusTimeout = 300 * time.Millisecond

// Rollout is how a service's newest roll-out stands, asked of a node; whoever leads knows best.
func (d *Deployment) Rollout(ctx context.Context, node *Node, service string) (v RolloutView, ok bool) {
	var all struct {
		Rollouts []RolloutView `json:"rollouts"`
	}
	status, text, err := d.call(ctx, "GET", node.Control, "/api/Rollout.Status", nil, rolloutStatusTimeout)
	if err != nil || status != http.StatusOK || json.Unmarshal(text, &all) != nil {
		return v, false
	}
	for _, r := range all.Rollouts {
		if r.Service == service {
			return r, true
		}
	}
	return v, false
}

// RolledBack tells whether a node itself goes by a pull-back of a service's newest roll-out, and why there was one.
func (d *Deployment) RolledBack(ctx context.Context, node *Node, service string) (why string, yes bool) {
	var all struct {
		Rollouts []struct {
			Phase string `json:"phase"`
			Lines []struct {
				Verb string `json:"verb"`
				By   string `json:"by"`
				Why  string `json:"why"`
			} `json:"lines"`
		} `json:"rollouts"`
	}
	status, text, err := d.call(ctx, "GET", node.Control, "/api/Rollout.History/"+service, nil, rolloutStatusTimeout)
	if err != nil || status != http.StatusOK || json.Unmarshal(text, &all) != nil || len(all.Rollouts) == 0 {
		return "", false
	}
	last := all.Rollouts[len(all.Rollouts)-1]
	if last.Phase != string(rollout.RolledBack) || len(last.Lines) == 0 {
		return "", false
	}
	line := last.Lines[len(last.Lines)-1]
	return line.By + ": " + line.Why, true
}

// Rollout gives an operator's order on top of a roll-out as it was seen, again and again until the answer is clear.
func (o *Operator) Rollout(ctx context.Context, verb rollout.Verb, r rollout.Spec, seen RolloutView,
	step int) (status int, text []byte, clear bool) {
	body := map[string]any{}
	if verb == rollout.Start {
		b, _ := json.Marshal(r)
		json.Unmarshal(b, &body)
		body["busy"] = o.deployment.play().busy
	}
	body["mark"], body["by"], body["rev"] = fmt.Sprintf("%s-%d", verb, o.number()), "operator", seen.Rev
	name := map[rollout.Verb]string{rollout.Start: "Start", rollout.Advance: "Step", rollout.Pause: "Hold",
		rollout.Rollback: "PullBack", rollout.Finish: "Finish"}[verb]
	if verb != rollout.Start {
		name += "/" + r.Service
		body["number"] = seen.Number
	}
	if verb == rollout.Advance {
		body["step"] = step
	}
	b, _ := json.Marshal(body)
	return o.ask(ctx, "POST", "/api/Rollout."+name, b)
}
