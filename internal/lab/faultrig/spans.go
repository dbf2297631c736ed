package faultrig

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"clovergap/internal/history"
	"clovergap/internal/lab/gatewaystandin"
)

// Loss is what is done to the leader, or to all nodes.
type Loss string

// The losses.
const (
	Killed      Loss = "the leader is killed"
	Frozen      Loss = "the leader is frozen"
	Partitioned Loss = "the leader is cut off from all nodes" // of a debug build
	Emptied     Loss = "all nodes are killed and started again at once"
)

// lossFor is how long a leader stays frozen, cut off or dead.
const lossFor = 4 * time.Second

// Spans are how long it took, one of each try.
type Spans struct {
	Loss  Loss
	Leads []time.Duration // until another of the core leads
	Taken []time.Duration // until a change that was sent right after the loss is acknowledged
	Serve []time.Duration // until the first quarter of a second began of whose tries a quarter was served
	All   []time.Duration // until every node serves every first route
	Aside int             // tries in which the rig itself was held up: they are not in
	Slow  time.Duration   // the longest that it was held up in the others
}

// asideMost tries in a row are set aside before a machine counts as too busy to measure on.
const asideMost = 20

// MeasureLosses brings each loss so many times on a fleet under load, one after the other, each once all is well again.
func MeasureLosses(ctx context.Context, seed uint64, nodes, tries int, losses []Loss, o GatewayOptions,
	told func(Loss, int)) ([]Spans, error) {
	h, err := enter(&GatewaySchedule{Seed: seed, Nodes: nodes}, o)
	if err != nil {
		return nil, err
	}
	defer h.cancelRequests()
	if err := h.deployment.Start(); err != nil {
		return nil, err
	}
	all, cancel := context.WithCancel(ctx)
	var side sync.WaitGroup
	defer side.Wait()
	defer cancel()
	side.Go(func() { h.load.Watch(all) })
	h.deployment.Operator.MaxRetryInterval = 30 * time.Millisecond // the nodes' time counts, not the operator's
	if !h.deployment.Operator.Open(all) {
		return nil, fmt.Errorf("no first configuration is taken: %w", ctx.Err())
	}
	side.Go(func() { h.load.Open(all) })
	rng := rand.New(rand.NewPCG(seed, 0x1055))
	out := make([]Spans, len(losses))
	for try := range tries {
		for i, l := range losses {
			out[i].Loss = l
			for aside := 0; ; aside++ {
				s, machine, err := h.watched(all, l, rng)
				trusted := machine == nil || machine.trusted()
				if err == nil && trusted {
					out[i].take(s, machine.longestStall())
					break
				}
				if ctx.Err() != nil || trusted || aside == asideMost {
					return out, fmt.Errorf("try %d, %s: %w", try, l, errors.Join(err, ctx.Err()))
				}
				out[i].Aside++
			}
			told(l, try)
		}
	}
	return out, h.fault
}

// watched brings one loss and tells how slow the machine was meanwhile.
func (g *gatewayRun) watched(ctx context.Context, l Loss, rng *rand.Rand) (*Spans, *machineWatch, error) {
	s := &Spans{Loss: l}
	machine, err := watchMachine()
	if err != nil {
		return s, nil, err
	}
	defer machine.close()
	leader, view, err := g.well(ctx)
	sleep(ctx, time.Duration(rng.IntN(1000))*time.Millisecond) // anywhere between the leader's beats
	switch {
	case err != nil:
	case l == Emptied:
		err = g.empty(ctx, s)
	default:
		err = g.lose(ctx, s, leader, view)
	}
	return s, machine, err
}

func (s *Spans) take(o *Spans, slow time.Duration) {
	s.Leads, s.Taken = append(s.Leads, o.Leads...), append(s.Taken, o.Taken...)
	s.Serve, s.All = append(s.Serve, o.Serve...), append(s.All, o.All...)
	s.Slow = max(s.Slow, slow)
}

// lose takes the leader away and waits for what it measures.
func (g *gatewayRun) lose(ctx context.Context, s *Spans, leader *gatewaystandin.Node, view uint64) (err error) {
	rest := slices.DeleteFunc(slices.Clone(g.deployment.Nodes), func(d *gatewaystandin.Node) bool { return d == leader })
	part := func(off bool) {
		for _, d := range rest {
			leader.SetLinkDown(d, off)
			d.SetLinkDown(leader, off)
		}
	}
	began := time.Now()
	switch s.Loss {
	case Killed:
		go leader.Kill()
	case Frozen:
		leader.Suspend(true, string(s.Loss))
	case Partitioned:
		part(true)
	}
	late, cancel := context.WithTimeout(ctx, recoverMost)
	defer cancel()
	var side sync.WaitGroup
	var leads time.Duration
	side.Go(func() {
		if g.another(late, leader, view) {
			leads = time.Since(began)
		}
	})
	var taken time.Duration
	side.Go(func() {
		for late.Err() == nil && taken == 0 {
			if g.deployment.Operator.Change(late) {
				taken = time.Since(began)
			}
		}
	})
	sleep(ctx, time.Until(began.Add(lossFor)))
	switch s.Loss {
	case Killed:
		err = leader.Again()
	case Frozen:
		leader.Suspend(false, string(s.Loss))
	case Partitioned:
		part(false)
	}
	side.Wait()
	if err == nil && (leads == 0 || taken == 0) {
		err = fmt.Errorf("another leads after %s, a change is acknowledged after %s (nought: never)", leads, taken)
	}
	s.Leads, s.Taken = append(s.Leads, leads), append(s.Taken, taken)
	return err
}

// empty kills all nodes and starts them again.
func (g *gatewayRun) empty(ctx context.Context, s *Spans) error {
	began, killed := time.Now(), history.Now()
	g.each(g.deployment.Nodes, kill)
	var side sync.WaitGroup
	defer side.Wait()
	side.Go(func() { g.each(g.deployment.Nodes, restart) })
	if bad := g.recovers(ctx, string(s.Loss)); len(bad) > 0 {
		return fmt.Errorf("%s", bad[0])
	}
	s.All = append(s.All, time.Since(began))
	sleep(ctx, 2*time.Second) // what was sent by then has its answer
	at, ok := quarter(g.log.Events(), killed)
	if !ok {
		return errors.New("never was a quarter of the tries served")
	}
	s.Serve = append(s.Serve, at)
	return ctx.Err()
}

// quarterOf is over how long a share of served tries is taken, quarterMin the least of them that are a share.
const (
	quarterOf  = 250 * time.Millisecond
	quarterMin = 8
)

// quarter tells how long after a time the first span began of whose tries, by when they were sent, a quarter was served.
func quarter(all []history.Event, after time.Duration) (time.Duration, bool) {
	var sent []history.Event
	served := map[string]bool{}
	for _, e := range all {
		switch {
		case e.Time < after:
		case e.Kind == history.Requested:
			sent = append(sent, e)
		case e.Kind == history.Answered && e.Number >= 200 && e.Number < 300:
			served[e.Txn] = true
		}
	}
	for i, first := range sent {
		n, good := 0, 0
		for _, e := range sent[i:] {
			if e.Time > first.Time+quarterOf {
				break
			}
			if n++; served[e.Txn] {
				good++
			}
		}
		if n >= quarterMin && 4*good >= n && served[first.Txn] {
			return first.Time - after, true
		}
	}
	return 0, false
}

// well waits until all is well, and tells who leads.
func (g *gatewayRun) well(ctx context.Context) (*gatewaystandin.Node, uint64, error) {
	late, cancel := context.WithTimeout(ctx, recoverMost)
	defer cancel()
	for late.Err() == nil {
		if d, view := g.deployment.Leader(late); d != nil {
			return d, view, nil
		}
		sleep(late, 50*time.Millisecond)
	}
	if ctx.Err() != nil {
		return nil, 0, ctx.Err()
	}
	text := ""
	for _, d := range g.deployment.Nodes {
		text += "\n" + d.Name + ": " + g.deployment.NodeStatus(d)
	}
	return nil, 0, fmt.Errorf("not all is well after %s:%s", recoverMost, text)
}

// another waits until another of the core leads a newer view.
func (g *gatewayRun) another(ctx context.Context, than *gatewaystandin.Node, view uint64) bool {
	for ctx.Err() == nil {
		for _, d := range g.deployment.Cores() {
			if d == than {
				continue
			}
			if s := g.deployment.Status(ctx, d, time.Second); s != nil && s.Core != nil && s.Core.Role == "leading" && s.Core.View > view {
				return true
			}
		}
		sleep(ctx, 5*time.Millisecond)
	}
	return false
}
