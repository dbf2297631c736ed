package main

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/url"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"clovergap/internal/gateway/controlapi"
)

type rolloutCmd struct {
	Start    *rolloutStartCmd    `arg:"subcommand:start" help:"start a roll-out: shift users onto a new version, step by step"`
	Advance  *rolloutAdvanceCmd  `arg:"subcommand:step" help:"go on to the next step"`
	Pause    *rolloutPauseCmd    `arg:"subcommand:hold" help:"pause at the present step until the next command"`
	Rollback *rolloutRollbackCmd `arg:"subcommand:pull-back" help:"roll back: all users to the old version"`
	Finish   *rolloutFinishCmd   `arg:"subcommand:finish" help:"shift all users onto the new version, after the last step"`
	Status   *rolloutStatusCmd   `arg:"subcommand:status" help:"show the status of roll-outs"`
	History  *rolloutHistoryCmd  `arg:"subcommand:history" help:"show the history of a service's roll-outs"`
}

func (*rolloutCmd) examples() string {
	return `  gateway rollout start --order order.json --dry-run   the users and the capacity of each step; changes nothing
  gateway rollout start --order order.json
  gateway rollout status
  gateway rollout step libro
  gateway rollout pull-back libro --why "wrong prices"
  gateway rollout history libro`
}

func (*rolloutCmd) run(io.Writer) error {
	return usageErrorf("rollout: no command given: start, step, hold, pull-back, finish, status or history")
}

// commandMeta is what every order of an operator bears.
type commandMeta struct {
	Author    string  `arg:"--by,env:USER" placeholder:"NAME" help:"author, for the history"`
	Reason    string  `arg:"--why" placeholder:"TEXT" help:"for the history"`
	CommandID string  `arg:"--mark" placeholder:"TEXT" help:"ID of the command: a repeated one gets the answer of the first"`
	Rev       *uint64 `arg:"--rev" placeholder:"N" help:"build on this revision instead of the current one"`
	caller
}

// maxTextBytes is the most that nodes take of a text.
const maxTextBytes = 512

func (c *commandMeta) check() error {
	for _, f := range []struct{ name, text string }{{"--by", c.Author}, {"--why", c.Reason}, {"--mark", c.CommandID}} {
		if len(f.text) > maxTextBytes {
			return usageErrorf("%s: longer than %d bytes", f.name, maxTextBytes)
		}
	}
	if c.CommandID == "" {
		c.CommandID = fmt.Sprintf("%016x", rand.Uint64())
	}
	_, err := c.nodes()
	return err
}

// newestRollout is the newest roll-out of a service, nil if there was none.
func (c *caller) newestRollout(service string) (*controlapi.RolloutRun, error) {
	all, _, err := c.rollouts()
	if err != nil {
		return nil, err
	}
	for i := range all.Rollouts {
		if all.Rollouts[i].Service == service {
			return &all.Rollouts[i], nil
		}
	}
	return nil, nil
}

func (c *caller) rollouts() (*controlapi.RolloutStatus, []byte, error) {
	return readAs[controlapi.RolloutStatus](c.call("/api/Rollout.Status", nil))
}

// order submits a command and prints the status of the roll-out after it.
func (c *commandMeta) order(out io.Writer, path string, body any) error {
	text, err := json.Marshal(body)
	if err != nil {
		return err
	}
	a, err := c.call(path, text)
	r, raw, err := readAs[controlapi.RolloutAnswer](a, err)
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(out, raw)
	}
	if r.Users == nil {
		_, err = fmt.Fprintf(out, "%s %d: %s, step %d of %d, %s of the users, rev %d (%s, attempts %d)\n", printable(r.Service), r.Number,
			printable(r.Phase), r.Step, r.Steps, percent(r.Share), r.Rev, a.node, a.attempts)
		return err
	}
	w := newTable(out, "STEP", "KEYS", "OF")
	for i, n := range r.Moved {
		w.row(i+1, n, *r.Users)
	}
	if err = w.Flush(); err != nil || r.Room == nil {
		return err
	}
	busy := "not known"
	if r.Room.Busy > 0 {
		busy = strconv.Itoa(r.Room.Busy)
	}
	_, err = fmt.Fprintf(out, "it would be number %d; capacity: old %d, new %d, peak in flight: %s\n", r.Number, r.Room.Old, r.Room.New, busy)
	return err
}

func percent(share int) string { return strconv.FormatFloat(float64(share)/100, 'f', -1, 64) + " %" }

type rolloutStartCmd struct {
	Order        string `arg:"--order,required" placeholder:"FILE" help:"the order, JSON; - is standard input"`
	PeakInFlight int    `arg:"--busy" placeholder:"N" help:"peak of requests in flight, over all nodes"`
	NewCapacity  int    `arg:"--new-room" placeholder:"N" help:"capacity of the new version, in concurrent requests, before its backends are registered"`
	DryRun       bool   `arg:"--dry-run" help:"change nothing, show the users and the capacity of each step"`
	commandMeta
}

func (*rolloutStartCmd) examples() string {
	return `  gateway rollout start --order order.json --dry-run
  echo '{"service":"libro","old":"v1","new":"v2","advance":"time","steps":[
    {"share":100,"min_time":"60s","requests":500},{"share":1000,"min_time":"60s"},{"share":5000,"min_time":"300s"}]}' |
    gateway rollout start --order - --busy 40      shares are in 1/10000`
}

func (r *rolloutStartCmd) run(out io.Writer) error {
	if r.PeakInFlight < 0 || r.NewCapacity < 0 {
		return usageErrorf("--busy, --new-room: %d, %d: below 0", r.PeakInFlight, r.NewCapacity)
	}
	if err := r.check(); err != nil {
		return err
	}
	text, err := readFile(r.Order)
	if err != nil {
		return err
	}
	var o controlapi.RolloutOrder
	d := json.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	if err := d.Decode(&o); err != nil {
		return errors.Wrap(err, r.Order)
	}
	if r.Rev != nil {
		o.Rev = *r.Rev
	} else if o.Rev == 0 {
		run, err := r.newestRollout(o.Service)
		if err != nil {
			return err
		}
		if run != nil {
			o.Rev = run.Rev
		}
	}
	o.Mark, o.By, o.Why = cmp.Or(o.Mark, r.CommandID), cmp.Or(r.Author, o.By), cmp.Or(r.Reason, o.Why)
	o.Busy, o.NewRoom, o.DryRun = cmp.Or(r.PeakInFlight, o.Busy), cmp.Or(r.NewCapacity, o.NewRoom), o.DryRun || r.DryRun
	return r.order(out, "/api/Rollout.Start", o)
}

// commandArgs are alike for the orders to a roll-out that runs.
type commandArgs struct {
	Service string  `arg:"positional,required" help:"the service's name"`
	Number  *uint64 `arg:"--number" placeholder:"N" help:"this roll-out and no other; omitted: the newest"`
	commandMeta
}

// send sends an order to the newest roll-out of a service, or to the one that is named.
func (c *commandArgs) send(out io.Writer, call string, step int) error {
	if err := c.check(); err != nil {
		return err
	}
	w := controlapi.RolloutCommand{Mark: c.CommandID, By: c.Author, Why: c.Reason, Step: step}
	if c.Number == nil || c.Rev == nil || step < 0 {
		r, err := c.newestRollout(c.Service)
		switch {
		case err != nil:
			return err
		case r == nil:
			return errors.Errorf("no roll-out of %q", c.Service)
		}
		w.Number, w.Rev = r.Number, r.Rev
		if step < 0 {
			w.Step = r.Step + 1
		}
	}
	if c.Number != nil {
		w.Number = *c.Number
	}
	if c.Rev != nil {
		w.Rev = *c.Rev
	}
	return c.order(out, "/api/Rollout."+call+"/"+url.PathEscape(c.Service), w)
}

type rolloutAdvanceCmd struct {
	commandArgs
	Step int `arg:"--step" placeholder:"N" help:"the step to advance to, from 1; omitted: the next"`
}

type rolloutPauseCmd struct{ commandArgs }
type rolloutRollbackCmd struct{ commandArgs }
type rolloutFinishCmd struct{ commandArgs }

func (r *rolloutAdvanceCmd) run(out io.Writer) error {
	if r.Step < 0 {
		return usageErrorf("--step: %d is not at least 1", r.Step)
	}
	return r.send(out, "Step", cmp.Or(r.Step, -1))
}
func (r *rolloutPauseCmd) run(out io.Writer) error    { return r.send(out, "Hold", 0) }
func (r *rolloutRollbackCmd) run(out io.Writer) error { return r.send(out, "PullBack", 0) }
func (r *rolloutFinishCmd) run(out io.Writer) error   { return r.send(out, "Finish", 0) }

type rolloutStatusCmd struct{ caller }

func (*rolloutStatusCmd) examples() string {
	return `  gateway rollout status          failed of ended, of this step and all nodes, where the node that answers leads
  gateway rollout status --json   with the counts by kind and cause`
}

func (r *rolloutStatusCmd) run(out io.Writer) error {
	s, raw, err := r.rollouts()
	if err != nil {
		return err
	}
	if r.JSON {
		return printJSON(out, raw)
	}
	w := newTable(out, "SERVICE", "NUMBER", "OLD", "NEW", "PHASE", "STEP", "SHARE", "SHARE HERE", "PAUSED", "DOUBT", "NEW FAILED", "OLD FAILED")
	for _, run := range s.Rollouts {
		now, was := "", ""
		if run.Counts != nil {
			now, was = failedOf(&run.Counts.New), failedOf(&run.Counts.Old)
		}
		w.row(run.Service, run.Number, run.Old, run.New, run.Phase, fmt.Sprintf("%d of %d", run.Step, run.Steps), percent(run.Share), percent(run.Here),
			yesNo(run.Held), strconv.FormatFloat(run.Doubt, 'g', 2, 64), now, was)
	}
	if err = w.Flush(); err != nil {
		return err
	}
	if !s.Leads {
		_, err = fmt.Fprintf(out, "the leader could not be asked: this is what %s knows\n", printable(s.Node))
	}
	return err
}

// failedOf sums both kinds.
func failedOf(s *controlapi.RolloutSide) string {
	bad := func(t *controlapi.RolloutTally) int { return t.Failed + t.None + t.Wrong }
	return fmt.Sprintf("%d of %d", bad(&s.Reads)+bad(&s.Writes), s.Reads.Ends+s.Writes.Ends)
}

type rolloutHistoryCmd struct {
	Service string `arg:"positional,required" help:"the service's name"`
	caller
}

func (r *rolloutHistoryCmd) run(out io.Writer) error {
	past, raw, err := readAs[controlapi.RolloutHistory](r.call("/api/Rollout.History/"+url.PathEscape(r.Service), nil))
	if err != nil {
		return err
	}
	if r.JSON {
		return printJSON(out, raw)
	}
	w := newTable(out, "NUMBER", "TIME", "COMMAND", "STEP", "SHARE", "AUTHOR", "NEW FAILED", "OLD FAILED", "REASON")
	for _, past := range past.Rollouts {
		for _, l := range past.Lines {
			w.row(past.Number, time.UnixMilli(l.At).UTC().Format(time.DateTime), l.Verb, l.Step, percent(l.Share), l.By,
				failedOf(&l.Counts.New), failedOf(&l.Counts.Old), l.Why)
		}
	}
	return w.Flush()
}
