package faultrig

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"clovergap/internal/failpoint"
	"clovergap/internal/history"
	"clovergap/internal/lab/netfault"
	"clovergap/internal/lab/sharedcounter"
	"clovergap/internal/lab/spec"
	"clovergap/internal/lab/standin"
)

// base is what the experiment says of datagrams without any fault.
func base(s *spec.Spec) netfault.Effect {
	return netfault.Effect{Loss: s.Peers.Loss, Reorder: 1, Delay: s.Peers.Delay[1].D()}
}

// source is the fault's own one, or the run's.
func (r *run) source(f *spec.Fault) *rand.Rand {
	if f.Pick != 0 {
		return f.Source(nil)
	}
	for i := range r.s.Faults {
		if f == &r.s.Faults[i] {
			return rand.New(rand.NewPCG(r.s.Seed, 0xfa017+uint64(i)))
		}
	}
	return nil
}

func (r *run) hits(f *spec.Fault, n int) []int { return spec.Hits(n, f.Share, r.source(f)) }

// sleep waits, or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// play waits for a fault's time, brings it, and heals it when its time is over or the run ends.
func (r *run) play(ctx context.Context, f *spec.Fault) {
	if f.Kind == "door-late" {
		r.log.Add(history.Event{Who: "rig", Kind: history.Strikes, What: f.Kind})
		sleep(ctx, f.At.D()+f.For.D())
		r.doors(r.hits(f, len(r.f.Doors)), func(d *standin.Door) error { return d.Again() })
		r.log.Add(history.Event{Who: "rig", Kind: history.Heals, What: f.Kind})
		return
	}
	sleep(ctx, f.At.D())
	if ctx.Err() != nil {
		return
	}
	over, cancel := context.WithTimeout(ctx, f.For.D())
	defer cancel()
	r.log.Add(history.Event{Who: "rig", Kind: history.Strikes, What: f.Kind})
	heal := r.apply(over, f)
	<-over.Done()
	for _, h := range heal {
		h()
	}
	r.log.Add(history.Event{Who: "rig", Kind: history.Heals, What: f.Kind})
}

// told draws how late discovery tells of something.
func (r *run) told() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := r.s.Discovery.Late
	return l[0].D() + time.Duration(r.rng.Float64()*float64(l[1]-l[0]))
}

// doors does something to some front doors at once and waits for all.
func (r *run) doors(which []int, do func(*standin.Door) error) {
	var wg sync.WaitGroup
	for _, nr := range which {
		wg.Add(1)
		go func() {
			defer wg.Done()
			if err := do(r.f.Doors[nr]); err != nil {
				r.mu.Lock()
				if r.fault == nil {
					r.fault = err
				}
				r.mu.Unlock()
			}
		}()
	}
	wg.Wait()
}

// again starts front doors that a fault ended.
func (r *run) again(which []int) func() {
	return func() { r.doors(which, func(d *standin.Door) error { return d.Again() }) }
}

// apply begins a fault and gives what heals it.
func (r *run) apply(ctx context.Context, f *spec.Fault) (heal []func()) {
	fleet := r.f
	back := func(which []*standin.Backend, change func(*standin.Mode)) {
		for _, b := range which {
			heal = append(heal, b.Bring(change))
		}
	}
	some := func() (all []*standin.Backend) {
		serving := fleet.Serving()
		for _, i := range r.hits(f, len(serving)) {
			all = append(all, serving[i])
		}
		return all
	}
	peers := func(e netfault.Effect) { heal = append(heal, fleet.Relay.Bring(e)) }
	counter := func(change func(*sharedcounter.Mode)) { heal = append(heal, fleet.Counter.Bring(change)) }
	adds := func(a, b float64) float64 { return 1 - (1-a)*(1-b) }
	switch f.Kind {
	case "slow":
		back(some(), func(m *standin.Mode) { m.Slow = max(1, m.Slow) * f.By })
	case "failing":
		back(some(), func(m *standin.Mode) { m.Fail = adds(m.Fail, min(f.By, 1)) })
	case "silent":
		back(some(), func(m *standin.Mode) { m.Silent = 1 })
	case "resets":
		back(fleet.Serving(), func(m *standin.Mode) { m.ResetIn = adds(m.ResetIn, f.Share) })
	case "lost-answers":
		back(fleet.Serving(), func(m *standin.Mode) { m.Silent = adds(m.Silent, f.Share) })
	case "crash":
		for _, b := range some() {
			fleet.Replace(b, f.For.D(), r.told)
		}
	case "drain", "release":
		r.release(f, some())
	case "hall-loss":
		for _, b := range fleet.Serving() {
			if b.Hall == f.Hall {
				fleet.Replace(b, f.For.D(), r.told)
			}
		}
		if f.Share > 0 {
			mine := r.inHall(f.Hall)
			r.doors(mine, func(d *standin.Door) error { d.Kill(); return nil })
			heal = append(heal, r.again(mine))
		}
	case "hall-cut":
		mine := r.inHall(f.Hall)
		peers(netfault.Effect{Cut: true, On: func(a, b int) bool { return slices.Contains(mine, a) != slices.Contains(mine, b) }})
		for _, d := range fleet.Doors {
			for hall, w := range d.Backends {
				if (hall == f.Hall) != (d.Hall == f.Hall) {
					heal = append(heal, w.Bring(standin.Trouble{Cut: true}))
				}
			}
		}
	case "door-kill":
		which := r.hits(f, len(fleet.Doors))
		r.doors(which, func(d *standin.Door) error { d.Kill(); return nil })
		heal = append(heal, r.again(which))
	case "door-term":
		which := r.hits(f, len(fleet.Doors))
		go r.doors(which, func(d *standin.Door) error { d.Term(r.termWithin()); return nil })
		heal = append(heal, func() {
			r.doors(which, func(d *standin.Door) error { d.Term(r.termWithin()); return d.Again() })
		})
	case "door-stall":
		for _, nr := range r.hits(f, len(fleet.Doors)) {
			d := fleet.Doors[nr]
			d.Hold(true, f.Kind)
			heal = append(heal, func() { d.Hold(false, f.Kind) })
		}
	case "door-roll":
		r.roll(ctx, f)
	case "door-slow":
		var wg sync.WaitGroup
		for _, nr := range r.hits(f, len(fleet.Doors)) {
			wg.Add(1)
			go func() { defer wg.Done(); fleet.Doors[nr].Slow(ctx, f.By) }()
		}
		heal = append(heal, wg.Wait)
	case "door-seed": // its next life takes the seed, and so the epoch, of its last one
		r.doors(r.hits(f, len(fleet.Doors)), func(d *standin.Door) error { d.SameSeed(); d.Kill(); return d.Again() })
	case "door-config":
		r.doors(r.hits(f, len(fleet.Doors)), func(d *standin.Door) error { return d.MoveDiscovery(1500 * time.Millisecond) })
	case "door-few", "door-little":
		which := r.hits(f, len(fleet.Doors))
		memory, sockets := int(f.By), 0
		if f.Kind == "door-few" {
			memory, sockets = 0, int(f.By)
		}
		r.doors(which, func(d *standin.Door) error { d.Limits(memory, sockets); d.Kill(); return d.Again() })
		heal = append(heal, func() {
			r.doors(which, func(d *standin.Door) error { d.Limits(0, 0); d.Kill(); return d.Again() })
		})
	case "late-lists":
		for _, a := range fleet.Agents {
			a.Late(true)
			heal = append(heal, func() { a.Late(false) })
		}
	case "burst":
		r.mu.Lock()
		r.load = append(r.load, f.By)
		r.mu.Unlock()
		heal = append(heal, func() {
			r.mu.Lock()
			defer r.mu.Unlock()
			if i := slices.Index(r.load, f.By); i >= 0 {
				r.load = slices.Delete(r.load, i, i+1)
			}
		})
	case "link-cut", "link-delay", "link-rate":
		t := standin.Trouble{Cut: f.Kind == "link-cut", Delay: f.Delay.D(), Only: map[string]standin.Direction{"in": standin.In, "out": standin.Out}[f.Way]}
		if f.Kind == "link-rate" {
			t.Rate = f.By
		}
		for _, nr := range r.hits(f, len(fleet.Doors)) {
			for _, w := range ways(fleet.Doors[nr], f.Link) {
				heal = append(heal, w.Bring(t))
			}
		}
	case "stall-at", "exit-at":
		heal = append(heal, r.orders(f)...)
	case "counter-down":
		counter(func(m *sharedcounter.Mode) { m.Down = true })
	case "counter-busy":
		counter(func(m *sharedcounter.Mode) { m.Busy = adds(m.Busy, f.Share) })
	case "counter-spoilt":
		counter(func(m *sharedcounter.Mode) { m.Spoilt = adds(m.Spoilt, f.Share) })
	case "counter-mute":
		counter(func(m *sharedcounter.Mode) { m.Mute = adds(m.Mute, f.Share) })
	case "counter-late":
		counter(func(m *sharedcounter.Mode) { m.Late += f.Delay.D() })
	case "counter-reset":
		fleet.Counter.Replace()
	default:
		if e, ok := netfault.Of(f, len(fleet.Doors), func(i int) string { return fleet.Doors[i].Hall }, r.source(f)); ok {
			peers(e)
		} else {
			r.mu.Lock()
			r.fault = fmt.Errorf("fault %q is not played on real processes", f.Kind)
			r.mu.Unlock()
		}
	}
	return heal
}

func ways(d *standin.Door, link string) (all []*standin.Way) {
	switch link {
	case "discovery":
		return []*standin.Way{d.Discovery}
	case "counter":
		return []*standin.Way{d.Counter}
	}
	for _, w := range d.Backends {
		all = append(all, w)
	}
	return all
}

func (r *run) inHall(hall string) (mine []int) {
	for _, d := range r.f.Doors {
		if d.Hall == hall {
			mine = append(mine, d.Nr)
		}
	}
	return mine
}

// termWithin is when a front door that was told to end is killed.
func (r *run) termWithin() time.Duration {
	longest := 3 * time.Second
	for _, p := range r.s.Products {
		longest = max(longest, p.Expiry.D())
	}
	return longest + 700*time.Millisecond
}

// release drains backends in waves; each ends once all front doors have been told, and a cold one takes its place.
func (r *run) release(f *spec.Fault, some []*standin.Backend) {
	waves := max(1, f.Waves)
	for i, b := range some {
		wave := math.Floor(float64(i*waves) / float64(len(some)))
		r.f.Later(time.Duration(wave*float64(f.For)/float64(waves)), func() {
			r.f.Later(r.told(), func() { r.f.TellAll(b, "Terminating") })
			r.f.Replaced(b, r.s.Discovery.Late[1].D()+r.s.Rules.DrainGrace.D()+time.Second, r.told)
		})
	}
}

// roll restarts front doors in waves, each told to end and started again a while later.
func (r *run) roll(ctx context.Context, f *spec.Fault) {
	which := r.hits(f, len(r.f.Doors))
	waves := max(1, f.Waves)
	step := f.For.D() / time.Duration(waves)
	for i, nr := range which {
		d := r.f.Doors[nr]
		wait := time.Duration(i*waves/len(which)) * step
		r.wg.Add(1)
		go func() {
			defer r.wg.Done()
			sleep(ctx, wait)
			d.Term(r.termWithin())
			if err := d.Again(); err != nil {
				r.mu.Lock()
				r.fault = err
				r.mu.Unlock()
			}
		}()
	}
}

// orders tells front doors to stand still, or to end, at a point in their code, again and again until the fault is over.
func (r *run) orders(f *spec.Fault) (heal []func()) {
	rng := r.source(f)
	hold, most := f.Delay.D(), 40
	if hold <= 0 {
		hold = 400 * time.Millisecond
	}
	for _, nr := range spec.Hits(len(r.f.Doors), f.Share, rng) {
		d, nth := r.f.Doors[nr], 1+rng.IntN(most)
		if f.Waves > 0 {
			nth = f.Waves
		}
		if f.Kind == "exit-at" {
			d.Order("exit", failpoint.Name(f.Point), nth, 0)
			heal = append(heal, func() {
				d.Kill() // if the point was never reached
				r.again([]int{nr})()
			})
			continue
		}
		d.Order("stop", failpoint.Name(f.Point), nth, hold)
	}
	return heal
}
