package controlapi

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/url"
	"strings"

	"github.com/go-faster/errors"

	"clovergap/internal/gateway/rollout"
	"clovergap/internal/proxy/counters"
	"clovergap/internal/proxy/downstream"
)

// Rollouts is the part of a node that the calls on roll-outs need. Every then is called once, in a turn.
type Rollouts interface {
	// Rollout brings an order, or a command on a running roll-out, to the leader: 200 with a RolloutAnswer, else as Change.
	// A dry run changes nothing and answers what it would.
	Rollout(e *rollout.Entry, dryRun bool, then func(status int, body []byte))
	// Rollouts gives a RolloutStatus.
	Rollouts(then func(status int, body []byte))
	// RolloutHistory is what this node knows of a service's roll-outs.
	RolloutHistory(service string) RolloutHistory
}

// pathRollout is followed by the call's name, and that by a service's but for rolloutStart and rolloutStatus.
const pathRollout = "/api/Rollout."

// Names of the calls on roll-outs that are not commands on a running one.
const (
	rolloutStart   = "Start"
	rolloutStatus  = "Status"
	rolloutHistory = "History"
)

// rolloutVerbs are the calls that change something, by their names in the path.
var rolloutVerbs = map[string]rollout.Verb{
	rolloutStart: rollout.Start,
	"Step":       rollout.Advance,
	"Hold":       rollout.Pause,
	"PullBack":   rollout.Rollback,
	"Finish":     rollout.Finish,
}

// handleRollout takes a call on roll-outs. rest is what follows pathRollout.
func (h *Handler) handleRollout(c *downstream.Client, request call, rest string) {
	name, escaped, _ := strings.Cut(rest, "/")
	service, err := url.PathUnescape(escaped)
	verb, changes := rolloutVerbs[name]
	method := http.MethodGet
	if changes {
		method = http.MethodPost
	}
	known := changes || name == rolloutStatus || name == rolloutHistory
	withoutService := name == rolloutStart || name == rolloutStatus
	switch {
	case !known || withoutService != (escaped == "") || err != nil:
		c.Reject(404, counters.NoSuchPath, "no such call")
	case request.method != method:
		c.Reject(405, counters.NoSuchMethod, method+" only")
	case name == rolloutStatus:
		ticket := deferAnswer(c)
		h.node.Rollouts(func(status int, body []byte) { h.respond(ticket, status, body) })
	case name == rolloutHistory:
		answerJSON(c, h.node.RolloutHistory(service))
	default:
		h.changeRollout(c, verb, service, request.body)
	}
}

func (h *Handler) changeRollout(c *downstream.Client, verb rollout.Verb, service string, body []byte) {
	ticket := deferAnswer(c)
	var entry *rollout.Entry
	var dryRun bool
	var err error
	if verb == rollout.Start {
		entry, dryRun, err = parseRolloutOrder(body)
	} else {
		entry, err = parseRolloutCommand(verb, service, body)
	}
	if err != nil {
		h.respondInvalid(ticket, err)
		return
	}
	h.node.Rollout(entry, dryRun, func(status int, body []byte) { h.respond(ticket, status, body) })
}

// parseRolloutCommand reads a command on a running roll-out.
func parseRolloutCommand(verb rollout.Verb, service string, body []byte) (*rollout.Entry, error) {
	var command RolloutCommand
	if err := decodeStrictly(body, &command); err != nil {
		return nil, err
	}
	return &rollout.Entry{
		Verb:     verb,
		Service:  service,
		CallID:   command.Mark,
		Author:   command.By,
		Reason:   command.Why,
		Revision: command.Rev,
		Number:   rollout.Number(command.Number),
		Step:     command.Step,
	}, nil
}

// parseRolloutOrder reads the order that starts a roll-out. The body is read twice: for the call's own fields, which are
// checked to be known, and for the specification.
func parseRolloutOrder(body []byte) (entry *rollout.Entry, dryRun bool, err error) {
	var order RolloutOrder
	if err := decodeStrictly(body, &order); err != nil {
		return nil, false, err
	}
	spec := new(rollout.Spec)
	if err := json.Unmarshal(body, spec); err != nil {
		return nil, false, errors.Wrap(err, "body")
	}
	if err := spec.Normalize(); err != nil {
		return nil, false, err
	}
	return &rollout.Entry{
		Verb:     rollout.Start,
		Service:  order.Service,
		CallID:   order.Mark,
		Author:   order.By,
		Reason:   order.Why,
		Revision: order.Rev,
		Spec:     spec,
		Capacity: rollout.Capacity{Canary: max(order.NewRoom, 0), PeakInUse: max(order.Busy, 0)},
	}, order.DryRun, nil
}

// decodeStrictly reads an operator's call. A field that is not known is an error: an order that means something else than
// it says must not run.
func decodeStrictly(body []byte, into any) error {
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return errors.Wrap(err, "body")
	}
	return nil
}
