package faultrig

import (
	"cmp"
	"context"
	"fmt"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"clovergap/internal/gateway/node"
	"clovergap/internal/gateway/rollout"
	"clovergap/internal/history"
	"clovergap/internal/lab/gatewaystandin"
	"clovergap/internal/lab/spec"
)

// Arm is what a roll-out's run is compared by.
type Arm string

// The same seed draws the same in all of them.
const (
	Judged   Arm = "judged"   // the version fails partway and is judged
	Unjudged Arm = "unjudged" // it fails, and nothing that it does counts
	Good     Arm = "good"     // it does not fail
	Isolated Arm = "alone"    // it fails while most of the core stands still
)

// Arms are all.
var Arms = []Arm{Judged, Unjudged, Good, Isolated}

// newVersion is what takes over.
const newVersion = "v2"

// RolloutSchedule is a roll-out in four steps with a version that fails partway, and faults on nodes about the
// moment of the pull-back.
type RolloutSchedule struct {
	GatewaySchedule
	Arm     Arm
	Steps   []int // shares
	Dwell   time.Duration
	Advance string // of rollout.Rollout
	Flaw    gatewaystandin.Flaw
	Step    int           // in which it begins to fail, from 1
	After   time.Duration // and when in it
	Seen    bool          // the faults begin when the first node is seen to have pulled back; else with the failing
}

// DrawRollout draws a schedule from a seed.
func DrawRollout(play string, arm Arm, seed uint64, nodes int, dur time.Duration) *RolloutSchedule {
	rng := newDraws(seed, 0x9011+uint64(len(play))) // plays differ in their schedules
	s := &RolloutSchedule{GatewaySchedule: GatewaySchedule{Play: gatewaystandin.Plays()[play](), Seed: seed, Nodes: nodes, For: dur},
		Arm: arm, Steps: [][]int{{500, 2000, 5000, 9000}, {1000, 2500, 5000, 7500}, {1000, 3000, 6000, 9000}}[rng.IntN(3)],
		Dwell: rng.span(1.5, 2.5).D(), Advance: []string{"time", "word"}[rng.IntN(2)], Step: 2 + rng.IntN(3)}
	s.After = time.Duration(rng.Float64() * float64(s.Dwell))
	s.Flaw = gatewaystandin.Flaw{Cause: gatewaystandin.Causes[rng.IntN(len(gatewaystandin.Causes))],
		Share: []float64{0.2, 0.5, 1}[rng.IntN(3)], Writes: rng.IntN(3) == 0, SlowFactor: 4}
	if rng.IntN(6) == 0 {
		s.Flaw.Tenant = s.Play.Tenant(rng.IntN(4))
	}
	s.Seen = rng.IntN(2) == 0
	kinds := []string{"node-kill", "core-kill", "lead-kill", "lead-kill", "node-stall", "core-stall", "lead-stall",
		"lead-stall", "node-term", "lead-term", "ack-kill", "all-kill"}
	for range rng.IntN(4) { // none in one of four
		f := spec.Fault{Kind: kinds[rng.IntN(len(kinds))], At: rng.span(0, 1.2), For: rng.span(0.1, 3), Share: 0.3,
			Pick: rng.pick()}
		if f.Kind == "all-kill" {
			f.Share, f.For = 1, rng.span(0.05, 0.6)
		}
		s.Faults = append(s.Faults, f)
	}
	if arm == Isolated {
		s.Seen, s.Faults = false, []spec.Fault{{Kind: "core-stall", For: spec.Span(10 * time.Second), Share: 0.6, Pick: 7}}
	}
	return s
}

// Last lets each step last so long, with the failing at the same part of its step.
func (r *RolloutSchedule) Last(dwell time.Duration) {
	r.After = time.Duration(float64(r.After) / float64(r.Dwell) * float64(dwell))
	r.Dwell = dwell
}

// order is the roll-out that is started.
func (r *RolloutSchedule) order() rollout.Spec {
	spec := rollout.Spec{Service: r.Play.Leading, Old: gatewaystandin.FirstVersion, New: newVersion, Advance: r.Advance}
	for _, share := range r.Steps {
		spec.Steps = append(spec.Steps, rollout.Step{Share: share, MinTime: rollout.Duration(r.Dwell), Requests: 10})
	}
	if r.Arm == Unjudged { // backends that are full count, of which there are none, and ten times as slow
		spec.Failing = rollout.FailureCriteria{Causes: []string{"full"}, Extra: 5000, Quantile: 9900, Slower: 1000}
	}
	return spec
}

// RolloutResult is what came of it.
type RolloutResult struct {
	GatewayResult
	Play          string                  `json:"play"`
	Arm           Arm                     `json:"arm"`
	Flaw          string                  `json:"flaw,omitempty"`
	Advance       string                  `json:"advance"`
	Share         int                     `json:"share"`  // when it began to fail, in 1/10000
	Rate          float64                 `json:"rate"`   // requests a second
	Pulled        int                     `json:"pulled"` // nodes that were seen to have pulled back
	SelfRollbacks int                     `json:"alone"`  // nodes that said that they pulled back for themselves
	Phase         string                  `json:"phase"`  // at the end
	Why           string                  `json:"why,omitempty"`
	Met           gatewaystandin.Met      `json:"met"`
	Reads         gatewaystandin.Carried  `json:"reads"`
	Open          gatewaystandin.Open     `json:"open"` // writes without a clear answer
	Recorded      int                     `json:"recorded"`
	Course        []gatewaystandin.Moment `json:"course,omitempty"`
	SpoiltAt      float64                 `json:"spoilt_at,omitempty"` // seconds from the start of the roll-out
	PulledAt      float64                 `json:"pulled_at,omitempty"`
}

const (
	statusPollInterval = 40 * time.Millisecond
	afterwards         = 2 * time.Second // watched after the last node has pulled back
	orderTimeout       = 20 * time.Second
	courseInterval     = 500 * time.Millisecond
)

// rollout is one under way, beside its deployment.
type rolloutRun struct {
	*gatewayRun
	schedule *RolloutSchedule
	result   *RolloutResult
	trial    gatewaystandin.Trial
	from     time.Duration // when it was started

	look sync.Mutex
	last gatewaystandin.RolloutView // the newest that any node told
	why  string                     // there was a pull-back
	seen chan struct{}              // closed when a node has pulled back
}

// PlayRollout plays a schedule on real nodes.
func PlayRollout(ctx context.Context, s *RolloutSchedule, o GatewayOptions) (*RolloutResult, error) {
	r := &rolloutRun{schedule: s, result: &RolloutResult{Play: s.Play.Name, Arm: s.Arm, Advance: s.Advance, Rate: o.Rate},
		trial: gatewaystandin.Trial{Service: s.Play.Leading, New: newVersion, RolledBackNodes: map[string]time.Duration{}},
		seen:  make(chan struct{})}
	if s.Arm != Good {
		r.result.Flaw = s.Flaw.String()
	}
	res, err := playGateway(ctx, &s.GatewaySchedule, o, func(h *gatewayRun) {
		r.gatewayRun, h.act, h.also, h.name = h, r.act, r.check, s.Play.Name+"-"+string(s.Arm)
	})
	if res != nil {
		r.result.GatewayResult = *res
	}
	return r.result, err
}

// act starts the roll-out, lets the new version fail, and waits until all nodes have pulled back.
func (r *rolloutRun) act(ctx context.Context) (bad []history.Violation) {
	if why := r.begins(ctx); why != "" {
		return r.broken("%s", why)
	}
	watch, enough := context.WithCancel(ctx)
	var side sync.WaitGroup
	defer side.Wait()
	defer enough()
	for _, d := range r.deployment.Nodes {
		side.Go(func() { r.watch(watch, d) })
	}
	if !r.steps(ctx, r.schedule.Step) {
		return r.broken("step %d does not come", r.schedule.Step)
	}
	sleep(ctx, r.schedule.After)
	if r.schedule.Arm != Good {
		r.trial.Spoilt = history.Now()
		r.deployment.Spoil(newVersion, &r.schedule.Flaw)
	}
	r.result.Share = r.schedule.Steps[r.schedule.Step-1]
	if !r.schedule.Seen || r.schedule.Arm == Good || r.schedule.Arm == Unjudged {
		r.apply(ctx)
	}
	stepped := make(chan bool, 1)
	going, stop := context.WithCancel(ctx)
	side.Go(func() { stepped <- r.steps(going, len(r.schedule.Steps)) })
	defer stop()
	r.awaits(ctx, stop)
	r.tasks.Wait()
	if !r.pulledBack() && r.schedule.Arm != Good {
		r.mends()
	}
	if r.schedule.Arm == Good {
		if !<-stepped {
			bad = r.broken("the last step does not come")
		}
		sleep(ctx, r.schedule.Dwell)
	}
	if r.pulledBack() {
		bad = append(bad, r.afterPullBack(ctx)...)
	}
	return append(bad, r.recovers(ctx, "the roll-out's faults")...)
}

// broken is a breach of the roll-out's own rule.
func (r *rolloutRun) broken(format string, args ...any) []history.Violation {
	return []history.Violation{{Rule: "ROLLOUT", Time: history.Now(), What: fmt.Sprintf(format, args...)}}
}

// begins starts backends of the new version and the roll-out; it says why that could not be done.
func (r *rolloutRun) begins(ctx context.Context) (why string) {
	for _, l := range r.deployment.Serving() {
		if l.Service == r.schedule.Play.Leading {
			if _, err := r.deployment.AddVersion(l.Service, l.Zone, newVersion, time.Second); err != nil {
				return err.Error()
			}
		}
	}
	sleep(ctx, 3*time.Second) // all nodes have heard of them
	r.from = history.Now()
	why = r.call(ctx, rollout.Start, 0)
	for until := time.Now().Add(orderTimeout); why != "" && strings.Contains(why, "room") && time.Now().Before(until); {
		sleep(ctx, time.Second) // a machine that is held up has late beats: an operator would ask again
		r.from = history.Now()
		why = r.call(ctx, rollout.Start, 0)
	}
	if why != "" {
		return "not started: " + why
	}
	return ""
}

// awaits waits until a node is seen to have pulled back, and stops the steps, or until the time is over.
func (r *rolloutRun) awaits(ctx context.Context, stop func()) {
	select {
	case <-r.seen:
		stop()
		if r.schedule.Seen && r.schedule.Arm == Judged {
			r.apply(ctx)
		}
	case <-time.After(r.schedule.For):
	case <-ctx.Done():
	}
}

// mends ends the new version's failing where nobody has pulled back.
func (r *rolloutRun) mends() {
	r.trial.RepairedAt = history.Now()
	r.odd = r.schedule.Arm == Judged
	for _, d := range r.deployment.Nodes {
		r.says = append(r.says, d.Name+": "+r.deployment.RolloutStatus(d))
	}
	r.deployment.Spoil(newVersion, nil)
}

// afterPullBack waits until all nodes have pulled back, and sees that the roll-out does not go on.
func (r *rolloutRun) afterPullBack(ctx context.Context) []history.Violation {
	for until := time.Now().Add(recoverMost); time.Now().Before(until) && r.nodesPulled() < len(r.deployment.Nodes); {
		sleep(ctx, statusPollInterval)
	}
	sleep(ctx, afterwards)
	if why := r.call(ctx, rollout.Advance, len(r.schedule.Steps)); why == "" {
		return r.broken("went on to step %d after the pull-back", len(r.schedule.Steps))
	}
	return nil
}

// steps brings the roll-out to a step: by the operator's word where the order wants that.
func (r *rolloutRun) steps(ctx context.Context, to int) bool {
	late := time.Now().Add(time.Duration(to)*r.schedule.Dwell + orderTimeout)
	since, at := time.Now(), 0
	for ctx.Err() == nil && time.Now().Before(late) {
		now := r.newest()
		if now.Step != at {
			since, at = time.Now(), now.Step
		}
		if now.Step >= to || now.Phase != "" && now.Phase != string(rollout.Running) {
			return now.Step >= to
		}
		// An operator looks before the next word. Where nothing counts there is nothing to be seen.
		if r.schedule.Advance == "word" && time.Since(since) > r.schedule.Dwell && now.Doubt < 1 {
			r.call(ctx, rollout.Advance, now.Step+1) // refused if the newest is not known here: again then
		}
		sleep(ctx, statusPollInterval)
	}
	return false
}

// watch looks again and again at whether a node has pulled back, and one time in four at how all stands.
func (r *rolloutRun) watch(ctx context.Context, d *gatewaystandin.Node) {
	for i := 0; ctx.Err() == nil; i++ {
		if i%4 == 0 {
			if v, ok := r.deployment.Rollout(ctx, d, r.schedule.Play.Leading); ok {
				r.look.Lock()
				if v.Rev >= r.last.Rev {
					r.last = v
				}
				r.look.Unlock()
			}
		}
		why, yes := r.deployment.RolledBack(ctx, d, r.schedule.Play.Leading)
		now := history.Now()
		r.look.Lock()
		if yes && r.trial.RolledBackNodes[d.Name] == 0 {
			if r.trial.RolledBackNodes[d.Name] = now; r.trial.RolledBackAt == 0 {
				r.trial.RolledBackAt, r.why = now, why
				close(r.seen)
			}
		}
		r.look.Unlock()
		sleep(ctx, statusPollInterval)
	}
}

func (r *rolloutRun) pulledBack() bool { return r.nodesPulled() > 0 }

func (r *rolloutRun) nodesPulled() int {
	r.look.Lock()
	defer r.look.Unlock()
	return len(r.trial.RolledBackNodes)
}

func (r *rolloutRun) newest() gatewaystandin.RolloutView {
	r.look.Lock()
	defer r.look.Unlock()
	return r.last
}

// call gives an order; empty if it is done, else why not.
func (r *rolloutRun) call(ctx context.Context, verb rollout.Verb, step int) (why string) {
	now := r.newest()
	status, text, clear := r.deployment.Operator.Rollout(ctx, verb, r.schedule.order(), now, step)
	if clear && status == 200 {
		return ""
	}
	return cmp.Or(fmt.Sprint(status, " ", strings.TrimSpace(string(text))), "no clear answer")
}

// check holds the roll-out against its own rules and measures it.
func (r *rolloutRun) check(h []history.Event, slack time.Duration) (bad []history.Violation) {
	r.trial.Backends, r.trial.Slack = r.deployment.BackendVersions(), slack
	books, open := gatewaystandin.Ledger(h)
	reads, carried := gatewaystandin.CheckReadsComplete(h, &r.trial)
	bad = slices.Concat(books, reads, gatewaystandin.Barred(h, &r.trial))
	x := r.result
	x.Open, x.Reads, x.Met, x.Pulled = open, carried, gatewaystandin.Measure(h, &r.trial), len(r.trial.RolledBackNodes)
	now := r.newest()
	x.Phase, x.Why = now.Phase, r.why
	for _, e := range h {
		if e.Kind == gatewaystandin.Recorded {
			x.Recorded++
		}
	}
	x.Course = gatewaystandin.Course(h, &r.trial, r.from, courseInterval)
	at := func(t time.Duration) float64 {
		if t == 0 {
			return 0
		}
		return (t - r.from).Seconds()
	}
	for _, d := range r.deployment.Nodes {
		if text, err := os.ReadFile(d.Log()); err == nil && strings.Contains(string(text), node.LocalRollbackMessage) {
			x.SelfRollbacks++
		}
	}
	x.SpoiltAt, x.PulledAt = at(r.trial.Spoilt), at(r.trial.RolledBackAt)
	if r.schedule.Arm == Good && x.Pulled > 0 {
		x.Why = "wrongly: " + x.Why
	}
	return bad
}

// Verdict tells what became of it, in a word or two.
func (r *RolloutResult) Verdict() string {
	switch {
	case r.Pulled == 0:
		return "not pulled back"
	case r.Arm == Good:
		return "WRONGLY pulled back"
	case r.Pulled < r.Nodes:
		return fmt.Sprintf("pulled back at %d of %d nodes", r.Pulled, r.Nodes)
	}
	return "pulled back"
}

// Distribution is the middle and the worst of some times.
type Distribution struct {
	Half  time.Duration `json:"half"`
	Worst time.Duration `json:"worst"`
}

func distributionOf(all []time.Duration) (s Distribution) {
	if len(all) == 0 {
		return s
	}
	slices.Sort(all)
	return Distribution{all[len(all)/2].Round(time.Millisecond), all[len(all)-1].Round(time.Millisecond)}
}

// RolloutSum sums up roll-outs.
type RolloutSum struct {
	Runs     int                    `json:"runs"`
	Broke    int                    `json:"broke"`  // runs that broke a rule
	Pulled   int                    `json:"pulled"` // at all nodes
	Verdict  Distribution           `json:"verdict"`
	LastNode Distribution           `json:"last_node"`
	Last     Distribution           `json:"last"`
	Met      [2]int                 `json:"met"`    // median and most of the requests that met it
	Failed   [2]int                 `json:"failed"` // of these
	Asked    int64                  `json:"asked"`
	Recorded int                    `json:"recorded"`
	Unclear  int                    `json:"unclear"`
	Why      map[string]int         `json:"why"`
	Reads    gatewaystandin.Carried `json:"reads"`
}

// SumRollouts takes times and requests from those that were pulled back, or from all where none was.
func SumRollouts(all []*RolloutResult) (s RolloutSum) {
	s.Why = map[string]int{}
	var verdict, node, last []time.Duration
	var met, failed []int
	none := !slices.ContainsFunc(all, func(r *RolloutResult) bool { return r.Pulled == r.Nodes })
	for _, r := range all {
		s.Runs++
		if len(r.Broken) > 0 {
			s.Broke++
		}
		if r.Pulled == r.Nodes {
			s.Pulled++
			verdict, node, last = append(verdict, r.Met.Verdict), append(node, r.Met.LastNode), append(last, r.Met.Last)
		}
		if r.Pulled == r.Nodes || none {
			met, failed = append(met, r.Met.Requests), append(failed, r.Met.Failing)
		}
		s.Asked, s.Recorded, s.Unclear = s.Asked+r.Asked, s.Recorded+r.Recorded, s.Unclear+r.Open.All
		for why, n := range r.Open.Why {
			s.Why[why] += n
		}
		s.Reads.UnderWay, s.Reads.Whole = s.Reads.UnderWay+r.Reads.UnderWay, s.Reads.Whole+r.Reads.Whole
		s.Reads.Failed, s.Reads.Off = s.Reads.Failed+r.Reads.Failed, s.Reads.Off+r.Reads.Off
	}
	s.Verdict, s.LastNode, s.Last = distributionOf(verdict), distributionOf(node), distributionOf(last)
	half := func(n []int) (x [2]int) {
		if slices.Sort(n); len(n) > 0 {
			x = [2]int{n[len(n)/2], n[len(n)-1]}
		}
		return x
	}
	s.Met, s.Failed = half(met), half(failed)
	return s
}
