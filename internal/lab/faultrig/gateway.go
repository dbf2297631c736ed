package faultrig

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os/exec"
	"strings"
	"sync"
	"sync/atomic"
	"time"

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
	Seed      uint64           `json:"seed"`
	Nodes     int              `json:"nodes"`
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

// Disks of a deployment.
const Disks = 3

// gatewayRun is a run under way.
type gatewayRun struct {
	s       *GatewaySchedule
	t       *gatewaystandin.Deployment
	log     *history.Log
	load    *gatewaystandin.Clients
	name    string // of the play, for what is kept
	wg      sync.WaitGroup
	mu      sync.Mutex
	burst   spec.Held
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

func playGateway(ctx context.Context, s *GatewaySchedule, o GatewayOptions, prepare func(*gatewayRun)) (*GatewayResult, error) {
	if s.cuts() {
		about, err := exec.CommandContext(ctx, o.Program, "version").Output()
		if err != nil || !strings.Contains(string(about), "debug") {
			return nil, fmt.Errorf("cuts between nodes want a program built with -tags debug: %s %w", about, err)
		}
	}
	h, err := enter(s, o)
	if err != nil {
		return nil, err
	}
	t := h.t
	defer h.leave()
	prepare(h)
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
		Zones: []string{"zone-a", "zone-b", "zone-c"},
		Each:  each, Rate: o.Rate, Seed: s.Seed, Beat: time.Second, Lost: 1, History: log, Play: s.Play})
	if err != nil {
		return nil, err
	}
	h := &gatewayRun{s: s, t: t, log: log, load: gatewaystandin.NewClients(t), acked: make(chan struct{})}
	h.load.Leave = s.Leave
	h.load.Rate = func() float64 {
		h.mu.Lock()
		defer h.mu.Unlock()
		return o.Rate * h.burst.Product()
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
			now, config := h.t.Operator.Known()
			if config != nil {
				h.load.Learn(config)
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
