package faultrig

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"os/exec"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"clovergap/internal/gateway/routing"
	"clovergap/internal/history"
	"clovergap/internal/lab/gatewaystandin"
	"clovergap/internal/lab/spec"
)

// GatewayOptions are how the gateway's nodes are played.
type GatewayOptions struct {
	Program string
	Rate    float64
	Keep    string // folder for histories and logs of what failed; none if empty
}

// GatewayResult is what came of it.
type GatewayResult struct {
	Seed      uint64              `json:"seed"`
	Nodes     int                 `json:"nodes"`
	Seconds   float64             `json:"seconds"`
	Faults    []string            `json:"faults"`
	Broken    []history.Violation `json:"broken,omitempty"`
	Doubted   []history.Violation `json:"doubted,omitempty"` // what rests on times, in a run that was held up
	Slow      time.Duration       `json:"slow"`              // the longest that the rig itself was held up
	SlowDisk  time.Duration       `json:"slow_disk"`         // the longest sync of a write of the rig's own
	Recovered []time.Duration     `json:"recovered"`         // until all nodes served: after the heal, the close
	Asked     int64               `json:"asked"`
	Settled   int64               `json:"settled"`
	InTime    int64               `json:"in_time"`
	Refused   int64               `json:"refused"`
	Voided    int64               `json:"voided"`
	Failed    int64               `json:"failed"`
	Taken     int                 `json:"taken"`                    // configurations acknowledged
	Unclear   int                 `json:"unclear"`                  // without a clear answer
	Calls     int                 `json:"calls,omitempty"`          // of applications
	Definite  int                 `json:"definite_calls,omitempty"` // of these answered clearly
	Releases  []time.Duration     `json:"releases,omitempty"`       // of locks, until another caller got the lock
	History   []history.Event     `json:"-"`
}

// Disks of a deployment.
const Disks = 3

// gatewayRun is a run under way.
type gatewayRun struct {
	schedule     *GatewaySchedule
	deployment   *gatewaystandin.Deployment
	log          *history.Log
	load         *gatewaystandin.Clients
	name         string // of the play, for what is kept
	tasks        sync.WaitGroup
	machine      *machineWatch
	mu           sync.Mutex
	burst        spec.Factors
	fault        error
	acked        broadcast   // of each configuration that was acknowledged
	deregistered broadcast   // of each leave of a backend that was acknowledged
	steps        atomic.Bool // the operator goes on
	turn         sync.Mutex  // held while it does
	calmed       time.Time
	recoveries   []time.Duration
	says         []string                                  // what the nodes say of themselves, where all is not well at the end
	act          func(context.Context) []history.Violation // what is played while clients ask
	odd          bool                                      // it is kept though no rule was broken
	// Calls of applications, and how many of them were answered clearly.
	calls, definiteCalls int
	releaseTimes         []time.Duration // until another caller got the lock
	callTexts            []string        // the calls, for what is kept
	also                 func(h []history.Event, slack time.Duration) []history.Violation
}

// TimesTrusted reports whether the machine was fast enough for rules that rest on times.
func (g *GatewayResult) TimesTrusted() bool {
	return g.Slow <= maxRigStall && g.SlowDisk <= maxDiskSync
}

// recoverMost is when all nodes must serve again after the last heal: the rules' bound, and a little for the
// rig.
var recoverMost = gatewaystandin.Bounds().Recovery + 2*time.Second

// PlayGateway plays a schedule on real nodes. Whatever happens, no process is left when it returns.
func PlayGateway(ctx context.Context, s *GatewaySchedule, o GatewayOptions) (*GatewayResult, error) {
	return playGateway(ctx, s, o, func(h *gatewayRun) {
		if h.act = h.faults; s.Lockers > 0 {
			h.act = h.faultsWithApplications
		}
	})
}

func playGateway(ctx context.Context, s *GatewaySchedule, o GatewayOptions, prepare func(*gatewayRun)) (*GatewayResult, error) {
	if s.needsDebugBuild() {
		about, err := exec.CommandContext(ctx, o.Program, "version").Output()
		if err != nil || !strings.Contains(string(about), "debug") {
			return nil, fmt.Errorf("cuts between nodes want a program built with -tags debug: %s %w", about, err)
		}
	}
	h, err := enter(s, o)
	if err != nil {
		return nil, err
	}
	t := h.deployment
	defer h.cancelRequests()
	prepare(h)
	began := time.Now()
	if len(s.Late) > 0 {
		for i, d := range t.Nodes {
			h.tasks.Add(1)
			go func() {
				defer h.tasks.Done()
				sleep(ctx, s.Late[i])
				h.each([]*gatewaystandin.Node{d}, restart)
			}()
		}
	} else if err := t.Start(); err != nil {
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
	h.machine.close()
	res.Slow, res.SlowDisk = h.machine.longestStall(), h.machine.longestSync()
	res.Seconds, res.Recovered = time.Since(began).Seconds(), h.recoveries
	res.Calls, res.Definite, res.Releases = h.calls, h.definiteCalls, h.releaseTimes
	if ctx.Err() != nil {
		return res, ctx.Err()
	}
	if h.fault != nil {
		return res, h.fault
	}
	h.check(res, ends)
	if (len(res.Broken) > 0 || h.odd) && o.Keep != "" {
		if err := h.keep(o.Keep, res); err != nil {
			return res, err
		}
	}
	return res, nil
}

// enter lays a deployment; leave ends all that is of it.
func enter(s *GatewaySchedule, o GatewayOptions) (*gatewayRun, error) {
	log := history.InMemory(maxEvents)
	each := 1
	if s.Nodes > 6 {
		each = 2
	}
	t, err := gatewaystandin.New(gatewaystandin.Config{Program: o.Program, Nodes: s.Nodes, Disks: Disks,
		Zones:        []string{"zone-a", "zone-b", "zone-c"},
		Coordination: s.Lockers > 0, BackendsPerZone: each, Rate: o.Rate, Seed: s.Seed, HeartbeatInterval: cmp.Or(s.HeartbeatInterval, time.Second), MaxLostDisks: 1, History: log, Play: s.Play})
	if err != nil {
		return nil, err
	}
	machine, err := watchMachine()
	if err != nil {
		t.Close()
		return nil, err
	}
	h := &gatewayRun{schedule: s, deployment: t, log: log, machine: machine, load: gatewaystandin.NewClients(t)}
	h.load.CancelShare, h.load.KeepNodes = s.CancelShare, s.KeepNodes
	h.load.Rate = func() float64 {
		h.mu.Lock()
		defer h.mu.Unlock()
		return o.Rate * h.burst.Product()
	}
	return h, nil
}

func (g *gatewayRun) cancelRequests() {
	g.load.Close()
	g.deployment.Close()
	g.machine.close()
}

// run plays all; what is broken by its end is given.
func (g *gatewayRun) run(ctx context.Context) (bad []history.Violation) {
	all, cancel := context.WithCancel(ctx)
	var side sync.WaitGroup
	defer side.Wait()
	defer cancel()
	beside := func(do func(context.Context)) {
		side.Add(1)
		go func() { defer side.Done(); do(all) }()
	}
	g.steps.Store(true)
	open := make(chan struct{})
	beside(g.load.Watch)
	beside(func(ctx context.Context) { g.operate(ctx, open) })
	if !g.schedule.Early {
		opened := false
		if bad, opened = g.awaitFirstConfig(all, open); !opened {
			return bad
		}
	}
	loads, enough := context.WithCancel(all)
	defer enough()
	beside(func(context.Context) { g.load.Open(loads) })
	beside(func(context.Context) { g.load.Regular(loads) })
	bad = append(bad, g.act(all)...)
	if all.Err() != nil {
		return nil
	}
	enough()
	g.steps.Store(false)
	g.turn.Lock() // what is read last is read after the last change's answer
	defer g.turn.Unlock()
	final := g.readFinalConfig(all)
	g.log.Add(history.Event{Who: "rig", Kind: history.Complete})
	if all.Err() != nil {
		return nil
	}
	if final == nil || len(bad) > 0 {
		for _, d := range g.deployment.Nodes {
			g.says = append(g.says, d.Name+": "+g.deployment.NodeStatus(d))
		}
	}
	return append(bad, gatewaystandin.Kept(final, g.deployment.Operator.Versions(), history.Now())...)
}

// awaitFirstConfig waits until the first configuration is taken. That must come about within recoverMost. On a machine whose times are not
// trusted it may come later: the violation then rests on times, and the run goes on.
func (g *gatewayRun) awaitFirstConfig(ctx context.Context, open chan struct{}) (bad []history.Violation, opened bool) {
	awaitOpen := func(most time.Duration) bool {
		select {
		case <-open:
			return true
		case <-ctx.Done():
		case <-time.After(most):
		}
		return false
	}
	if awaitOpen(recoverMost) {
		return nil, true
	}
	if ctx.Err() != nil {
		return nil, false
	}
	late := history.Violation{Rule: "Acks", Time: history.Now(), What: "no first configuration is taken, with nothing in trouble"}
	late.Timed = !g.machine.trusted() && awaitOpen(hangTimeout)
	return []history.Violation{late}, late.Timed
}

// readFinalConfig reads the newest configuration when all is over; nil if none comes in time.
func (g *gatewayRun) readFinalConfig(ctx context.Context) (final *routing.Config) {
	read := func(most time.Duration) {
		last, over := context.WithTimeout(ctx, most)
		defer over()
		for range 2 {
			if final == nil {
				final = g.deployment.Operator.Read(last)
			}
		}
	}
	if read(recoverMost); final == nil && !g.machine.trusted() {
		read(hangTimeout)
	}
	return final
}

// faults plays a schedule's.
func (g *gatewayRun) faults(all context.Context) (bad []history.Violation) {
	g.apply(all)
	sleep(all, g.schedule.For)
	g.tasks.Wait() // every fault has healed
	g.calmed = time.Now()
	bad = append(bad, g.recovers(all, "the faults")...)
	if g.schedule.Close && !slices.ContainsFunc(bad, func(b history.Violation) bool { return !b.Timed }) {
		if g.schedule.Wipe {
			sleep(all, wipeCalm-time.Since(g.calmed))
		}
		g.closing(all)
		g.calmed = time.Now()
		bad = append(bad, g.recovers(all, "the closing fault")...)
	}
	return bad
}

// apply lets all faults begin, each at its time from now.
func (g *gatewayRun) apply(ctx context.Context) {
	for i := range g.schedule.Faults {
		g.tasks.Add(1)
		go func() { defer g.tasks.Done(); g.play(ctx, &g.schedule.Faults[i]) }()
	}
}

// operate sends the first configuration, then changes it, until all is over.
func (g *gatewayRun) operate(ctx context.Context, open chan struct{}) {
	rng := rand.New(rand.NewPCG(g.schedule.Seed, 0x09))
	if !g.deployment.Operator.Open(ctx) {
		return
	}
	close(open)
	for ctx.Err() == nil {
		if g.steps.Load() {
			before, _ := g.deployment.Operator.Known()
			g.turn.Lock()
			if g.steps.Load() {
				g.deployment.Operator.Step(ctx)
			}
			g.turn.Unlock()
			now, config := g.deployment.Operator.Known()
			if config != nil {
				g.load.Learn(config)
			}
			if now > before {
				g.acked.notify()
			}
		}
		sleep(ctx, time.Duration(100+rng.IntN(600))*time.Millisecond)
	}
}
