package stagedoor

import (
	"bytes"
	"encoding/json"
	"net/url"
	"strings"

	"github.com/go-faster/errors"

	"clovergap/internal/answer"
	"clovergap/internal/counters"
	"clovergap/internal/intake"
	"clovergap/internal/understudy"
)

// Rollouts is the part of a House that the calls on roll-outs need.
type Rollouts interface {
	// Rollout brings an order, or a word on one that runs, to whoever leads: 200 with a RolloutAnswer, else as Change.
	// A dry run tells what it would be.
	Rollout(e *understudy.Entry, dry bool, then func(status int, body []byte))
	// Rollouts gives a RolloutStatus.
	Rollouts(then func(status int, body []byte))
	RolloutHistory(service string) RolloutHistory
}

// pathRollout is followed by the call's name.
const pathRollout = "/api/Rollout."

// rolloutVerbs are the calls that change something.
var rolloutVerbs = map[string]understudy.Verb{"Start": understudy.Start, "Step": understudy.Advance, "Hold": understudy.Hold,
	"PullBack": understudy.PullBack, "Finish": understudy.Finish}

// rollout takes a call on roll-outs.
func (f *Form) rollout(c *intake.Client, method, call string, body []byte) {
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
		t := f.hold(c)
		f.house.Rollouts(func(status int, body []byte) { f.end(t, status, body) })
	case name == "History":
		text, err := json.Marshal(f.house.RolloutHistory(service))
		if err != nil {
			text = []byte(err.Error())
		}
		c.Answer(func(b []byte, last bool) []byte { return answer.Whole(b, 200, "application/json", text, 0, last) })
	default:
		e, dry, err := readRollout(verb, service, body)
		t := f.hold(c)
		if err != nil {
			f.end(t, 400, []byte(err.Error()))
			return
		}
		f.house.Rollout(e, dry, func(status int, body []byte) { f.end(t, status, body) })
	}
}

// readRollout reads an operator's word. A field that is not known is refused: an order that means something else than it
// says must not run.
func readRollout(verb understudy.Verb, service string, body []byte) (e *understudy.Entry, dry bool, err error) {
	strict := func(into any) error {
		d := json.NewDecoder(bytes.NewReader(body))
		d.DisallowUnknownFields()
		if err := d.Decode(into); err != nil {
			return errors.Wrap(err, "body")
		}
		return nil
	}
	if verb != understudy.Start {
		var w RolloutWord
		if err := strict(&w); err != nil {
			return nil, false, err
		}
		return &understudy.Entry{Verb: verb, Service: service, Mark: w.Mark, By: w.By, Why: w.Why, Rev: w.Rev,
			Number: understudy.Number(w.Number), Step: w.Step}, false, nil
	}
	var o RolloutOrder
	if err := strict(&o); err != nil {
		return nil, false, err
	}
	order := new(understudy.Rollout)
	if err := json.Unmarshal(body, order); err != nil {
		return nil, false, errors.Wrap(err, "body")
	}
	if err := order.Check(); err != nil {
		return nil, false, err
	}
	return &understudy.Entry{Verb: verb, Service: o.Service, Mark: o.Mark, By: o.By, Why: o.Why, Rev: o.Rev, Order: order,
		Room: understudy.Room{New: max(o.NewRoom, 0), Busy: max(o.Busy, 0)}}, o.DryRun, nil
}
