package controlapi

import (
	"bytes"
	"encoding/json"
	"net/url"
	"strings"

	"github.com/go-faster/errors"

	"clovergap/internal/gateway/rollout"
	"clovergap/internal/proxy/answer"
	"clovergap/internal/proxy/counters"
	"clovergap/internal/proxy/downstream"
)

// Rollouts is the part of a node that the calls on roll-outs need.
type Rollouts interface {
	// Rollout brings an order, or a command on a roll-out that runs, to whoever leads: 200 with a RolloutAnswer, else as Change.
	// A dry run tells what it would be.
	Rollout(e *rollout.Entry, dry bool, then func(status int, body []byte))
	// Rollouts gives a RolloutStatus.
	Rollouts(then func(status int, body []byte))
	RolloutHistory(service string) RolloutHistory
}

// pathRollout is followed by the call's name.
const pathRollout = "/api/Rollout."

// rolloutVerbs are the calls that change something.
var rolloutVerbs = map[string]rollout.Verb{"Start": rollout.Start, "Step": rollout.Advance, "Hold": rollout.Pause,
	"PullBack": rollout.Rollback, "Finish": rollout.Finish}

// rollout takes a call on roll-outs.
func (h *Handler) rollout(c *downstream.Client, method, call string, body []byte) {
	name, text, _ := strings.Cut(call, "/")
	verb, changes := rolloutVerbs[name]
	service, err := url.PathUnescape(text)
	want := "GET"
	if changes {
		want = "POST"
	}
	alone := name == "Start" || name == "Status"
	switch {
	case !changes && name != "Status" && name != "History" || alone != (text == "") || err != nil:
		c.Reject(404, counters.NoSuchPath, "no such call")
	case method != want:
		c.Reject(405, counters.NoSuchMethod, want+" only")
	case name == "Status":
		t := h.hold(c)
		h.node.Rollouts(func(status int, body []byte) { h.end(t, status, body) })
	case name == "History":
		text, err := json.Marshal(h.node.RolloutHistory(service))
		if err != nil {
			text = []byte(err.Error())
		}
		c.Answer(func(b []byte, last bool) []byte { return answer.WithBody(b, 200, "application/json", text, 0, last) })
	default:
		e, dry, err := readRollout(verb, service, body)
		t := h.hold(c)
		if err != nil {
			h.end(t, 400, []byte(err.Error()))
			return
		}
		h.node.Rollout(e, dry, func(status int, body []byte) { h.end(t, status, body) })
	}
}

// readRollout reads an operator's call. A field that is not known is refused: an order that means something else than it
// says must not run.
func readRollout(verb rollout.Verb, service string, body []byte) (e *rollout.Entry, dry bool, err error) {
	strict := func(into any) error {
		d := json.NewDecoder(bytes.NewReader(body))
		d.DisallowUnknownFields()
		if err := d.Decode(into); err != nil {
			return errors.Wrap(err, "body")
		}
		return nil
	}
	if verb != rollout.Start {
		var c RolloutCommand
		if err := strict(&c); err != nil {
			return nil, false, err
		}
		return &rollout.Entry{Verb: verb, Service: service, CallID: c.Mark, Author: c.By, Reason: c.Why, Revision: c.Rev,
			Number: rollout.Number(c.Number), Step: c.Step}, false, nil
	}
	var o RolloutOrder
	if err := strict(&o); err != nil {
		return nil, false, err
	}
	order := new(rollout.Spec)
	if err := json.Unmarshal(body, order); err != nil {
		return nil, false, errors.Wrap(err, "body")
	}
	if err := order.Normalize(); err != nil {
		return nil, false, err
	}
	return &rollout.Entry{Verb: verb, Service: o.Service, CallID: o.Mark, Author: o.By, Reason: o.Why, Revision: o.Rev, Spec: order,
		Capacity: rollout.Capacity{Canary: max(o.NewRoom, 0), Busy: max(o.Busy, 0)}}, o.DryRun, nil
}
