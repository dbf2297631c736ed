package faultrig

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"clovergap/internal/history"
	"clovergap/internal/lab/gatewaystandin"
	"clovergap/internal/lab/spec"
	"clovergap/internal/lab/standin"
)

// GatewayOptions are how the gateway's nodes are played.
type GatewayOptions struct {
	Program string
	Rate    float64
	Keep    string // folder for histories and logs of what failed; none if empty
}

// GatewayResult is what came of it.
type GatewayResult struct {
	Seed      uint64           `json:"seed"`
	Nodes     int              `json:"doors"`
	Seconds   float64          `json:"seconds"`
	Faults    []string         `json:"faults"`
	Broken    []history.Broken `json:"broken,omitempty"`
	Doubted   []history.Broken `json:"doubted,omitempty"` // what rests on times, in a run that was held up
	Slow      time.Duration    `json:"slow"`              // the longest that the rig itself was held up
	Recovered []time.Duration  `json:"recovered"`         // until all nodes served: after the heal, the close
	Asked     int64            `json:"asked"`
	Settled   int64            `json:"settled"`
	InTime    int64            `json:"in_time"`
	Refused   int64            `json:"refused"`
	Voided    int64            `json:"voided"`
	Failed    int64            `json:"failed"`
	Taken     int              `json:"taken"`   // configurations acknowledged
	Unclear   int              `json:"unclear"` // without a clear answer
	History   []history.Event  `json:"-"`
}

// GatewaySchedule is random overlapping faults on nodes. The first three have a disk.
type GatewaySchedule struct {
	Play   *gatewaystandin.Play // nil: the small deployment
	Seed   uint64
	Nodes  int
	For    time.Duration
	Early  bool // faults begin before the first configuration
	Close  bool // a closing fault right after an acknowledgement: all are killed
	Wipe   bool // and one disk is lost by it
	Faults []spec.Fault
	Late   []time.Duration // when each node is started for the first time; none: all at once, and waited for
}

// Disks of a deployment.
const Disks = 3

// wipeCalm is how long the core must have been calm before a closing fault takes a disk: what was lost has
// caught up.
const wipeCalm = 9 * time.Second

// DrawGateway draws a schedule from a seed. Only one disk is lost in it, as many as may be lost at once; the
// closing fault may take another, after the core has been calm.
func DrawGateway(seed uint64, doors int, most int, dur time.Duration) *GatewaySchedule {
	rng := rand.New(rand.NewPCG(seed, 0x805e))
	s := &GatewaySchedule{Seed: seed, Nodes: doors, For: dur, Early: rng.IntN(4) == 0}
	if rng.IntN(3) == 0 {
		s.Close, s.Wipe = true, rng.IntN(2) == 0
	}
	span := func(from, to float64) spec.Span { return spec.Span((from + rng.Float64()*(to-from)) * 1e9) }
	wiped := false
	kinds := []string{"door-kill", "door-kill", "core-kill", "core-kill", "herd-kill", "door-stall",
		"core-stall", "core-stall",
		"disk-wipe", "disk-wipe", "ack-wipe", "ack-kill", "ack-kill", "ack-stall", "door-term", "core-term",
		"crash", "drain",
		"drain", "burst",
		"door-cut", "door-cut", "core-cut", "core-cut", "ack-cut",
		"resets", "lost-answers", "garble", "slow"}
	for range 2 + rng.IntN(max(1, most-1)) {
		f := spec.Fault{Kind: kinds[rng.IntN(len(kinds))], At: spec.Span(rng.Float64() * 0.75 * float64(dur)),
			Pick: rng.Uint64()>>1 | 1}
		switch f.Kind {
		case "door-kill":
			f.Share, f.For = 0.1+0.5*rng.Float64(), span(0.05, 3)
		case "core-kill":
			f.Share, f.For = []float64{0.3, 0.6, 1}[rng.IntN(3)], span(0.05, 3)
		case "herd-kill":
			f.Share, f.For = 1, span(0.05, 1)
		case "door-stall":
			f.Share, f.For = 0.1+0.4*rng.Float64(), span(0.2, 5)
		case "core-stall", "ack-stall":
			f.Share, f.For = []float64{0.3, 0.3, 0.6}[rng.IntN(3)], span(0.2, 5)
		case "disk-wipe", "ack-wipe":
			if wiped {
				f.Kind = "core-kill"
			}
			wiped = true
			f.Share, f.For = 0.3, span(0.05, 3)
		case "ack-kill":
			f.Share, f.For = []float64{0.3, 0.6, 1}[rng.IntN(3)], span(0.05, 2)
		case "door-term", "core-term":
			f.Share, f.For = 0.3, span(0.5, 2)
		case "door-cut":
			f.Shape, f.Share = []string{"isolated", "isolated", "halves", "bridge", "ring"}[rng.IntN(5)], 0.2+0.4*rng.Float64()
			f.Way, f.For = cutWays[rng.IntN(len(cutWays))], span(0.3, 6)
		case "core-cut", "ack-cut":
			f.Shape, f.Way = []string{"isolated", "isolated", "bridge"}[rng.IntN(3)], cutWays[rng.IntN(len(cutWays))]
			f.For = span(0.3, 6)
		case "crash", "drain":
			f.Share, f.For = 0.1+0.3*rng.Float64(), span(0.2, 2)
		case "burst":
			f.By, f.For = 2+2*rng.Float64(), span(1, 5)
		case "resets", "lost-answers", "garble", "slow":
			f.Share, f.By, f.For = 0.1+0.4*rng.Float64(), 0.05+0.4*rng.Float64(), span(0.5, 4)
		}
		s.Faults = append(s.Faults, f)
	}
	if rng.IntN(2) == 0 { // last, so that a seed's other faults are what they were without it
		s.Faults = append(s.Faults, spec.Fault{Kind: "door-reload", At: spec.Span(rng.Float64() * 0.75 * float64(dur)), Share: 0.5,
			Pick: rng.Uint64()>>1 | 1})
	}
	return s
}

// cutWays of a cut: one of them in is of a node that hears nobody, out of one that nobody hears.
var cutWays = []string{"both", "in", "out"}

// cuts tells whether any fault parts nodes, which only debug builds can play.
func (s *GatewaySchedule) cuts() bool {
	return slices.ContainsFunc(s.Faults, func(f spec.Fault) bool { return strings.HasSuffix(f.Kind, "-cut") })
}

// DrawFounding draws a schedule of the first start of all: nodes start up to some seconds apart, and are killed and
// stand still while the core is founded. No disk is lost.
func DrawFounding(seed uint64, doors int, most int, dur time.Duration) *GatewaySchedule {
	rng := rand.New(rand.NewPCG(seed, 0xf0d))
	s := &GatewaySchedule{Seed: seed, Nodes: doors, For: dur, Early: true}
	span := func(from, to float64) spec.Span { return spec.Span((from + rng.Float64()*(to-from)) * 1e9) }
	apart := []float64{0, 0.3, 2, 6}[rng.IntN(4)]
	for range doors {
		s.Late = append(s.Late, span(0, apart).D())
	}
	kinds := []string{"door-kill", "core-kill", "core-kill", "herd-kill", "core-stall", "core-stall", "door-stall"}
	for range rng.IntN(max(1, most)) {
		s.Faults = append(s.Faults, spec.Fault{Kind: kinds[rng.IntN(len(kinds))], At: span(0, apart+1.5), For: span(0.05, 4),
			Share: []float64{0.3, 0.6, 1}[rng.IntN(3)], Pick: rng.Uint64()>>1 | 1})
	}
	return s
}

// gatewayRun is a run under way.
type gatewayRun struct {
	s       *GatewaySchedule
	t       *gatewaystandin.Deployment
	log     *history.Log
	load    *gatewaystandin.Clients
	name    string // of the play, for what is kept
	wg      sync.WaitGroup
	mu      sync.Mutex
	burst   []float64
	fault   error
	acked   chan struct{} // closed and made anew at each acknowledgement
	steps   atomic.Bool   // the operator goes on
	turn    sync.Mutex    // held while it does
	calmed  time.Time
	settled []time.Duration
	says    []string                               // what the nodes say of themselves, where all is not well at the end
	act     func(context.Context) []history.Broken // what is played while clients ask
	odd     bool                                   // it is kept though no rule was broken
	also    func(h []history.Event, slack time.Duration) []history.Broken
}

// recoverMost is when all nodes must serve again after the last heal: the rules' bound, and a little for the
// rig.
var recoverMost = gatewaystandin.Bounds().Recovery + 2*time.Second

// PlayGateway plays a schedule on real nodes. Whatever happens, no process is left when it returns.
func PlayGateway(ctx context.Context, s *GatewaySchedule, o GatewayOptions) (*GatewayResult, error) {
	return playGateway(ctx, s, o, func(h *gatewayRun) { h.act = h.faults })
}

func playGateway(ctx context.Context, s *GatewaySchedule, o GatewayOptions, rehearse func(*gatewayRun)) (*GatewayResult, error) {
	if s.cuts() {
		about, err := exec.CommandContext(ctx, o.Program, "version").Output()
		if err != nil || !strings.Contains(string(about), "debug") {
			return nil, fmt.Errorf("cuts between doors want a program built with -tags debug: %s %w", about, err)
		}
	}
	h, err := enter(s, o)
	if err != nil {
		return nil, err
	}
	t := h.t
	defer h.leave()
	rehearse(h)
	stop := make(chan struct{})
	slow := watchSelf(stop)
	began := time.Now()
	if len(s.Late) > 0 {
		for i, d := range t.Nodes {
			h.wg.Add(1)
			go func() {
				defer h.wg.Done()
				sleep(ctx, s.Late[i])
				h.each([]*gatewaystandin.Node{d}, again)
			}()
		}
	} else if err := t.Start(); err != nil {
		close(stop)
		return nil, err
	}
	res := &GatewayResult{Seed: s.Seed, Nodes: s.Nodes}
	for i := range s.Faults {
		f := &s.Faults[i]
		name := f.Kind
		if f.Shape != "" {
			name = fmt.Sprint(name, " ", f.Shape, " ", f.Way)
		}
		res.Faults = append(res.Faults, fmt.Sprintf("%s %.1f+%.1fs", name, f.At.D().Seconds(), f.For.D().Seconds()))
	}
	ends := h.run(ctx)
	close(stop)
	res.Slow, res.Seconds, res.Recovered = <-slow, time.Since(began).Seconds(), h.settled
	if ctx.Err() != nil {
		return res, ctx.Err()
	}
	if h.fault != nil {
		return res, h.fault
	}
	h.judge(res, ends)
	if (len(res.Broken) > 0 || h.odd) && o.Keep != "" {
		if err := h.keep(o.Keep, res); err != nil {
			return res, err
		}
	}
	return res, nil
}

// enter lays a deployment; leave ends all that is of it.
func enter(s *GatewaySchedule, o GatewayOptions) (*gatewayRun, error) {
	log := history.InMemory(eventsMost)
	each := 1
	if s.Nodes > 6 {
		each = 2
	}
	t, err := gatewaystandin.New(gatewaystandin.Terms{Program: o.Program, Nodes: s.Nodes, Disks: Disks,
		Zones: []string{"stalls", "circle", "gallery"},
		Each:  each, Rate: o.Rate, Seed: s.Seed, Beat: time.Second, Lost: 1, History: log, Play: s.Play})
	if err != nil {
		return nil, err
	}
	h := &gatewayRun{s: s, t: t, log: log, load: gatewaystandin.NewClients(t), acked: make(chan struct{})}
	h.load.Rate = func() float64 {
		h.mu.Lock()
		defer h.mu.Unlock()
		x := o.Rate
		for _, by := range h.burst {
			x *= by
		}
		return x
	}
	return h, nil
}

func (h *gatewayRun) leave() {
	h.load.Close()
	h.t.Close()
}

// run plays all; what is broken by its end is given.
func (h *gatewayRun) run(ctx context.Context) (bad []history.Broken) {
	all, cancel := context.WithCancel(ctx)
	var side sync.WaitGroup
	defer side.Wait()
	defer cancel()
	beside := func(do func(context.Context)) {
		side.Add(1)
		go func() { defer side.Done(); do(all) }()
	}
	h.steps.Store(true)
	open := make(chan struct{})
	beside(h.load.Watch)
	beside(func(ctx context.Context) { h.operate(ctx, open) })
	if !h.s.Early {
		select {
		case <-open:
		case <-all.Done():
			return nil
		case <-time.After(recoverMost):
			return []history.Broken{{Rule: "Acks", T: history.Now(),
				What: "no first configuration is taken, with nothing in trouble"}}
		}
	}
	loads, enough := context.WithCancel(all)
	defer enough()
	beside(func(context.Context) { h.load.Open(loads) })
	beside(func(context.Context) { h.load.Regular(loads) })
	bad = append(bad, h.act(all)...)
	if all.Err() != nil {
		return nil
	}
	enough()
	h.steps.Store(false)
	h.turn.Lock() // what is read last is read after the last change's answer
	defer h.turn.Unlock()
	last, over := context.WithTimeout(all, recoverMost)
	defer over()
	final := h.t.Operator.Read(last)
	if final == nil {
		final = h.t.Operator.Read(last)
	}
	h.log.Add(history.Event{Who: "rig", Kind: history.Closes})
	if all.Err() != nil {
		return nil
	}
	if final == nil || len(bad) > 0 {
		for _, d := range h.t.Nodes {
			h.says = append(h.says, d.Name+": "+h.t.Tells(d))
		}
	}
	return append(bad, gatewaystandin.Kept(final, h.t.Operator.Versions(), history.Now())...)
}

// faults plays a schedule's.
func (h *gatewayRun) faults(all context.Context) (bad []history.Broken) {
	h.apply(all)
	sleep(all, h.s.For)
	h.wg.Wait() // every fault has healed
	h.calmed = time.Now()
	bad = append(bad, h.recovers(all, "the faults")...)
	if h.s.Close && len(bad) == 0 {
		if h.s.Wipe {
			sleep(all, wipeCalm-time.Since(h.calmed))
		}
		h.closing(all)
		h.calmed = time.Now()
		bad = append(bad, h.recovers(all, "the closing fault")...)
	}
	return bad
}

// apply lets all faults begin, each at its time from now.
func (h *gatewayRun) apply(ctx context.Context) {
	for i := range h.s.Faults {
		h.wg.Add(1)
		go func() { defer h.wg.Done(); h.play(ctx, &h.s.Faults[i]) }()
	}
}

// operate sends the first configuration, then changes it, until all is over.
func (h *gatewayRun) operate(ctx context.Context, open chan struct{}) {
	rng := rand.New(rand.NewPCG(h.s.Seed, 0x09))
	if !h.t.Operator.Open(ctx) {
		return
	}
	close(open)
	for ctx.Err() == nil {
		if h.steps.Load() {
			before, _ := h.t.Operator.Known()
			h.turn.Lock()
			if h.steps.Load() {
				h.t.Operator.Step(ctx)
			}
			h.turn.Unlock()
			now, bill := h.t.Operator.Known()
			if bill != nil {
				h.load.Learn(bill)
			}
			if now > before {
				h.mu.Lock()
				close(h.acked)
				h.acked = make(chan struct{})
				h.mu.Unlock()
			}
		}
		sleep(ctx, time.Duration(100+rng.IntN(600))*time.Millisecond)
	}
}

// acknowledged waits for the next acknowledgement, or for a while.
func (h *gatewayRun) acknowledged(ctx context.Context, most time.Duration) {
	h.mu.Lock()
	ch := h.acked
	h.mu.Unlock()
	select {
	case <-ch:
	case <-ctx.Done():
	case <-time.After(most):
	}
}

// each does something to some nodes at once and waits for all.
func (h *gatewayRun) each(which []*gatewaystandin.Node, do func(*gatewaystandin.Node) error) {
	var wg sync.WaitGroup
	for _, d := range which {
		wg.Add(1)
		go func() {
			defer wg.Done()
			if err := do(d); err != nil {
				h.mu.Lock()
				if h.fault == nil {
					h.fault = err
				}
				h.mu.Unlock()
			}
		}()
	}
	wg.Wait()
}

func kill(d *gatewaystandin.Node) error  { d.Kill(); return nil }
func again(d *gatewaystandin.Node) error { return d.Again() }

// play waits for a fault's time, brings it and heals it.
func (h *gatewayRun) play(ctx context.Context, f *spec.Fault) {
	sleep(ctx, f.At.D())
	if ctx.Err() != nil {
		return
	}
	rng := f.Source(nil)
	some := func(of []*gatewaystandin.Node) (all []*gatewaystandin.Node) {
		for _, i := range spec.Hits(len(of), f.Share, rng) {
			all = append(all, of[i])
		}
		return all
	}
	if strings.HasPrefix(f.Kind, "ack-") {
		h.acknowledged(ctx, 3*time.Second)
	}
	if strings.HasPrefix(f.Kind, "lead-") {
		some = func([]*gatewaystandin.Node) []*gatewaystandin.Node { return h.leader(ctx) }
	}
	h.log.Add(history.Event{Who: "rig", Kind: history.Strikes, What: f.Kind})
	defer func() { h.log.Add(history.Event{Who: "rig", Kind: history.Heals, What: f.Kind}) }()
	switch f.Kind {
	case "door-kill", "herd-kill", "core-kill", "ack-kill", "lead-kill":
		of := h.t.Nodes
		if f.Kind == "core-kill" || f.Kind == "ack-kill" {
			of = h.t.Cores()
		}
		which := some(of)
		h.each(which, kill)
		sleep(ctx, f.For.D())
		h.each(which, again)
	case "disk-wipe", "ack-wipe":
		which := some(h.t.Cores())
		h.each(which, func(d *gatewaystandin.Node) error { return d.Wipe() })
		sleep(ctx, f.For.D())
		h.each(which, again)
	case "door-stall", "core-stall", "ack-stall", "lead-stall":
		of := h.t.Nodes
		if f.Kind != "door-stall" {
			of = h.t.Cores()
		}
		which := some(of)
		h.each(which, func(d *gatewaystandin.Node) error { d.Hold(true, f.Kind); return nil })
		sleep(ctx, f.For.D())
		h.each(which, func(d *gatewaystandin.Node) error { d.Hold(false, f.Kind); return nil })
	case "door-cut", "core-cut", "ack-cut":
		of := h.t.Nodes
		if f.Kind != "door-cut" {
			of = h.t.Cores()
		}
		parts := f.Pairs(len(of), nil, rng)
		for i, from := range of {
			for j, to := range of {
				if i != j && parts(i, j) {
					from.Part(to, true)
					defer from.Part(to, false)
				}
			}
		}
		sleep(ctx, f.For.D())
	case "door-term", "core-term", "lead-term":
		of := h.t.Nodes
		if f.Kind == "core-term" {
			of = h.t.Cores()
		}
		which := some(of)
		h.each(which, func(d *gatewaystandin.Node) error { d.Term(gatewaystandin.Bounds().Grace); return nil })
		sleep(ctx, f.For.D())
		h.each(which, again)
	case "door-reload":
		h.each(some(h.t.Nodes), func(d *gatewaystandin.Node) error { d.Reload(); return nil })
	case "crash", "drain":
		serving := h.t.Serving()
		var wg sync.WaitGroup
		for _, i := range spec.Hits(len(serving), f.Share, rng) {
			wg.Add(1)
			go func() {
				defer wg.Done()
				l := serving[i]
				if f.Kind == "crash" {
					l.Crash()
					sleep(ctx, f.For.D())
				}
				if _, err := h.t.Add(l.Service, l.Zone, 0); err != nil && ctx.Err() == nil {
					h.mu.Lock()
					h.fault = err
					h.mu.Unlock()
				}
				if f.Kind == "drain" {
					l.Drain(ctx)
				}
			}()
		}
		wg.Wait()
	case "resets", "lost-answers", "garble", "slow":
		serving := h.t.Serving()
		for _, i := range spec.Hits(len(serving), f.Share, rng) {
			defer serving[i].Bring(func(m *standin.Mode) {
				switch f.Kind {
				case "resets":
					m.ResetIn = f.By
				case "lost-answers":
					m.Silent = f.By
				case "garble":
					m.Half, m.Spoilt = f.By/2, f.By/2
				case "slow":
					m.Slow = 1 + 20*f.By
				}
			})()
		}
		sleep(ctx, f.For.D())
	case "burst":
		h.mu.Lock()
		h.burst = append(h.burst, f.By)
		h.mu.Unlock()
		sleep(ctx, f.For.D())
		h.mu.Lock()
		if i := slices.Index(h.burst, f.By); i >= 0 {
			h.burst = slices.Delete(h.burst, i, i+1)
		}
		h.mu.Unlock()
	default:
		h.mu.Lock()
		h.fault = fmt.Errorf("fault %q is not played on a house", f.Kind)
		h.mu.Unlock()
	}
}

// leader is the node that leads the core, by the first word of any of the core.
func (h *gatewayRun) leader(ctx context.Context) []*gatewaystandin.Node {
	for _, d := range h.t.Cores() {
		s := h.t.Status(ctx, d, 300*time.Millisecond)
		for _, x := range h.t.Cores() {
			if s != nil && s.Core != nil && strings.HasPrefix(s.Core.Leader, x.Host+":") {
				return []*gatewaystandin.Node{x}
			}
		}
	}
	return h.t.Cores()[:1]
}

// closing kills all right after an acknowledgement; one disk may be lost by it.
func (h *gatewayRun) closing(ctx context.Context) {
	rng := rand.New(rand.NewPCG(h.s.Seed, 0xc105))
	lost := h.t.Cores()[rng.IntN(Disks)]
	h.acknowledged(ctx, 5*time.Second)
	h.log.Add(history.Event{Who: "rig", Kind: history.Strikes, What: "closing"})
	h.each(h.t.Nodes, func(d *gatewaystandin.Node) error {
		if h.s.Wipe && d == lost {
			return d.Wipe()
		}
		return kill(d)
	})
	sleep(ctx, time.Duration(200+rng.IntN(800))*time.Millisecond)
	h.each(h.t.Nodes, again)
	h.log.Add(history.Event{Who: "rig", Kind: history.Heals, What: "closing"})
}

// recovers waits until every node serves every first route.
func (h *gatewayRun) recovers(ctx context.Context, what string) []history.Broken {
	began := time.Now()
	late, cancel := context.WithTimeout(ctx, recoverMost)
	defer cancel()
	var mu sync.Mutex
	var bad []history.Broken
	h.each(h.t.Nodes, func(d *gatewaystandin.Node) error {
		for late.Err() == nil {
			if h.load.Probe(late, d) {
				return nil
			}
			sleep(late, 100*time.Millisecond)
		}
		if ctx.Err() == nil {
			mu.Lock()
			bad = append(bad, history.Broken{Rule: "RECOVER", T: history.Now(), Who: d.Name,
				What: fmt.Sprintf("does not serve %s after %s: %s",
					recoverMost, what, h.t.Tells(d))})
			mu.Unlock()
		}
		return nil
	})
	h.settled = append(h.settled, time.Since(began).Round(time.Millisecond))
	return bad
}

// judge holds the history against the rules.
func (h *gatewayRun) judge(res *GatewayResult, bad []history.Broken) {
	o, _, _ := h.load.Outcomes()
	res.Asked, res.Settled, res.InTime = o.Requests, o.Settled, o.InTime
	res.Refused, res.Voided, res.Failed = o.Declined, o.Voided, o.Failed
	for _, d := range h.t.Nodes {
		if words, ended := d.Crash(); ended {
			bad = append(bad, history.Broken{Rule: "Fault", T: history.Now(), Who: d.Name,
				What: "ended by itself: " + words})
		}
	}
	events := h.log.Events()
	res.History = events
	for _, v := range h.t.Operator.Versions() {
		if v.Acked > 0 {
			res.Taken++
		} else if !v.Lost {
			res.Unclear++
		}
	}
	if n := events[max(0, len(events)-1)]; n.Kind == history.Lost {
		res.Slow = time.Hour // what rests on what was not kept is no finding
	}
	bad = append(bad, gatewaystandin.Judge(events, h.t.Backends(), platform+res.Slow)...)
	if h.also != nil {
		bad = append(bad, h.also(events, platform+res.Slow)...)
	}
	spoilt := map[string]bool{}
	for _, e := range events {
		if e.Kind == standin.Spoils {
			spoilt[e.Txn] = true
		}
	}
	for _, b := range history.OneAnswer(gatewaystandin.Run(events), history.World{Slack: platform + res.Slow}) {
		// What a backend broke off may end so, and what takes longer than its node's grace.
		if !spoilt[b.Txn] && !gatewaystandin.OutOfGrace(events, b.Who, b.T) {
			bad = append(bad, b)
		}
	}
	for _, b := range bad {
		if b.Timed && res.Slow > slowMost {
			res.Doubted = append(res.Doubted, b)
		} else {
			res.Broken = append(res.Broken, b)
		}
	}
}

// keep writes the history and the nodes' logs of a run that failed.
func (h *gatewayRun) keep(dir string, res *GatewayResult) error {
	dir = filepath.Join(dir, fmt.Sprintf("%s-%d-%d", cmp.Or(h.name, "house"), res.Nodes, res.Seed))
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	f, err := os.Create(filepath.Join(dir, "history.jsonl"))
	if err != nil {
		return err
	}
	if err := errors.Join(history.Write(f, res.History), f.Close()); err != nil {
		return err
	}
	if len(h.says) > 0 {
		text := strings.Join(h.says, "\n") + "\n"
		if err := os.WriteFile(filepath.Join(dir, "doors.txt"), []byte(text), 0o644); err != nil {
			return err
		}
	}
	for _, d := range h.t.Nodes {
		in, err := os.Open(d.Log())
		if err != nil {
			continue // it wrote nothing
		}
		out, err := os.Create(filepath.Join(dir, d.Name+".log"))
		if err != nil {
			return errors.Join(err, in.Close())
		}
		_, err = io.Copy(out, in)
		if err := errors.Join(err, in.Close(), out.Close()); err != nil {
			return err
		}
	}
	return nil
}
