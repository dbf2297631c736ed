package simulation

import (
	"slices"
	"strings"
	"time"

	"clovergap/internal/lab/spec"
)

// Draw draws a day's faults from its seed, biased to moments that matter: right after an acknowledgement, while a disk writes,
// while a view changes, right after a drain was acknowledged. One disk at the most is lost by them, none in days that
// begin with the first start; the closing fault may take another, after the core has been calm.
func Draw(site Site, seed uint64, most int, dur time.Duration) *Day {
	if site.Hot {
		return drawHot(site, seed, most, dur)
	}
	rng := source(seed, 0x5ced)
	if site.Beat == 0 {
		site.Beat = []time.Duration{time.Second, time.Second, 3 * time.Second}[rng.IntN(3)]
	}
	hot := site.Rate == 0 && rng.IntN(4) == 0
	d := &Day{Site: site.Usual(), Seed: seed, For: dur}
	if hot { // so that quotas, budgets and backends are pressed
		d.Rate *= 4
	}
	d.Early = rng.IntN(4) == 0
	if rng.IntN(3) == 0 {
		d.Closing, d.Wipe = true, rng.IntN(2) == 0 && d.Tolerates() > 0
	}
	seconds := func(from, to float64) spec.Span { return spec.Span((from + rng.Float64()*(to-from)) * 1e9) }
	wiped := d.Tolerates() == 0 || d.Early // a core founded by too few has none to lose: see docs/simulation.md
	for range 1 + rng.IntN(max(1, most)) {
		f := spec.Fault{Kind: kinds[rng.IntN(len(kinds))], At: spec.Span(rng.Float64() * 0.8 * float64(dur)), Pick: rng.Uint64()>>1 | 1,
			Share: []float64{0.1, 0.3, 0.3, 0.6, 1}[rng.IntN(5)], For: seconds(0.05, 4), By: rng.Float64(),
			Way: []string{"both", "both", "in", "out"}[rng.IntN(4)]}
		switch {
		case strings.HasSuffix(f.Kind, "-wipe"):
			if wiped {
				f.Kind = "core-kill"
			}
			wiped, f.Share = true, 0.01
		case strings.HasSuffix(f.Kind, "-stall") || f.Kind == "drain" || f.Kind == "crash" || strings.HasSuffix(f.Kind, "-term"):
			f.Share = min(f.Share, 0.6)
		case f.Kind == "failing":
			f.For = seconds(1, 8)
		case f.Kind == "core-part":
			f.For = seconds(15, 22)
		case strings.HasPrefix(f.Kind, "disk-"):
			f.Share = min(f.Share, 0.6)
		}
		if d.Early && rng.IntN(2) == 0 { // while the core is founded
			f.At, f.For = seconds(0, 1.5), seconds(0.5, 8)
		}
		d.Faults = append(d.Faults, f)
	}
	drawResets(d, dur)
	return d
}

// kinds of faults; those that matter more stand more often.
var kinds = []string{"door-kill", "core-kill", "herd-kill", "core-power", "ack-kill", "ack-kill", "ack-power", "sync-kill", "sync-power",
	"view-kill", "view-stall", "drain-kill", "drain-kill", "door-stall", "core-stall", "ack-stall", "disk-wipe", "ack-wipe", "door-term",
	"core-term", "door-cut", "core-cut", "core-cut", "core-part", "ack-cut", "drain-cut", "zone-cut", "loss", "disk-slow", "disk-hang", "disk-full",
	"crash", "drain", "drain", "drain", "burst", "resets", "lost-answers", "slow", "failing"}

// Kinds are the names of all faults.
func Kinds() []string { return slices.Compact(slices.Sorted(slices.Values(kinds))) }

// moments that faults wait for, by the first word of their kind.
var moments = map[string]moment{"ack": acked, "sync": writes, "view": asks, "call": passes}

// play brings a fault and heals it.
func (w *world) play(f *spec.Fault) {
	w.faults++
	w.at(w.now+f.At.D(), func() {
		first, _, _ := strings.Cut(f.Kind, "-")
		m := moments[first]
		if f.Kind == "drain-kill" || f.Kind == "drain-cut" {
			m = drained
		}
		if m == "" {
			w.applyFault(f)
			return
		}
		if m == drained && len(w.timeline.live) > 0 { // one drains, so that the moment comes
			b := w.timeline.live[f.Pick%uint64(len(w.timeline.live))]
			w.timeline.add(b.service, b.zone, time.Second)
			b.drain()
		}
		w.next(m, 3*time.Second, func() { w.applyFault(f) })
	})
}

// cores are the machines with a disk.
func (w *world) cores() []*machine { return w.machines[:w.day.Disks] }

// applyFault brings a fault now.
func (w *world) applyFault(f *spec.Fault) {
	rng := f.Source(w.net)
	some := func(of []*machine) (all []*machine) {
		for _, i := range spec.Hits(len(of), f.Share, rng) {
			all = append(all, of[i])
		}
		return all
	}
	of, what := w.cores(), f.Kind[strings.LastIndexByte(f.Kind, '-')+1:]
	if strings.HasPrefix(f.Kind, "door-") || strings.HasPrefix(f.Kind, "herd-") {
		of = w.machines
	}
	hit := some(of)
	if f.Kind == "herd-kill" {
		hit = w.machines
	}
	if (f.Kind == "drain-kill" || f.Kind == "drain-cut") && w.teller != nil {
		hit = []*machine{w.teller}
	}
	if strings.HasPrefix(f.Kind, "call-") && w.passer != nil {
		w.restarts(f, w.passer, 1+int(4*f.By))
		return
	}
	w.say("fault %s for %s, share %.2f", f.Kind, f.For.D(), f.Share)
	// lasts brings something that ends after the fault's time; on machines it counts as trouble.
	lasts := func(machines []*machine, on, off func()) {
		for _, m := range machines {
			m.harm(true)
		}
		on()
		w.after(f.For.D(), func() {
			off()
			for _, m := range machines {
				m.harm(false)
			}
			w.say("fault %s ends", f.Kind)
			w.faults--
		})
	}
	each := func(all []*machine, do func(*machine)) func() {
		return func() {
			for _, m := range all {
				do(m)
			}
		}
	}
	backs := func(set func(b *backend, on float64)) {
		var all []*backend
		for _, i := range spec.Hits(len(w.timeline.live), f.Share, rng) {
			all = append(all, w.timeline.live[i])
		}
		both := func(on float64) func() {
			return func() {
				for _, b := range all {
					set(b, on)
				}
			}
		}
		lasts(nil, both(1), both(0))
	}
	switch what {
	case "kill", "power":
		power := what == "power"
		if f.Kind == "drain-kill" {
			power = f.By < 0.5
		}
		lasts(nil, each(hit, func(m *machine) { m.kill(power) }), each(hit, (*machine).start))
	case "replace":
		w.turn(func() {
			for i, m := range hit { // by its place: it may have been replaced meanwhile
				hit[i] = w.machines[m.nr].replace()
			}
			lasts(nil, func() {}, each(hit, (*machine).start))
		})
	case "wipe":
		if w.day.Hard {
			w.turn(func() {
				for i, m := range hit {
					hit[i] = w.machines[m.nr]
					hit[i].kill(f.By < 0.5)
					hit[i].loses()
				}
				lasts(nil, func() {}, each(hit, (*machine).start))
			})
			break
		}
		lasts(nil, each(hit, func(m *machine) {
			m.kill(f.By < 0.5)
			m.loses()
		}), each(hit, (*machine).start))
	case "stall":
		lasts(nil, each(hit, func(m *machine) { m.hold(true) }), each(hit, func(m *machine) { m.hold(false) }))
	case "reset":
		until := w.now + f.For.D()
		lasts(hit, func() {
			each(hit, (*machine).resets)()
			w.every(resetEach, func() bool {
				if w.now < until {
					each(hit, (*machine).resets)()
				}
				return w.now < until
			})
		}, func() {})
	case "term":
		for _, m := range hit {
			m.term()
		}
		w.after(w.machines[0].settings.Bounds.Grace+200*time.Millisecond, func() {
			lasts(nil, func() {}, each(hit, (*machine).start))
		})
	case "cut":
		c := &cut{group: map[*machine]bool{}, in: f.Way != "out", out: f.Way != "in"}
		if f.Kind == "zone-cut" {
			c.zone, c.backends, c.in, c.out = w.zones[rng.IntN(len(w.zones))], true, true, true
			hit = nil
			for _, m := range w.machines {
				if m.zone == c.zone {
					hit = append(hit, m)
				}
			}
		}
		for _, m := range hit {
			c.group[m] = true
		}
		lasts(w.machines, func() { w.cuts = append(w.cuts, c) },
			func() { w.cuts = slices.DeleteFunc(w.cuts, func(x *cut) bool { return x == c }) })
	case "part":
		m := hit[0]
		if l := w.leader(); l != nil && f.By < 0.6 {
			m = l
		}
		if len(w.cores()) < 3 { // one of two is half
			w.faults--
			return
		}
		w.part(f, m)
	case "copies":
		lasts(nil, func() { w.copies++ }, func() { w.copies-- })
	case "loss":
		x := 0.02 + 0.3*f.By
		lasts(w.machines, func() { w.losses = append(w.losses, x) },
			func() { w.losses = slices.Delete(w.losses, slices.Index(w.losses, x), slices.Index(w.losses, x)+1) })
	case "slow":
		if f.Kind == "slow" {
			backs(func(b *backend, on float64) { b.slow = 1 + on*(1+20*f.By) })
			break
		}
		by := 5 + 100*f.By
		lasts(hit, each(hit, func(m *machine) { m.disk.slow *= by }), each(hit, func(m *machine) { m.disk.slow /= by }))
	case "hang":
		lasts(hit, each(hit, func(m *machine) { m.disk.hangs++ }), each(hit, func(m *machine) { m.disk.hangs-- }))
	case "full":
		lasts(hit, each(hit, func(m *machine) { m.disk.full++ }), each(hit, func(m *machine) { m.disk.full-- }))
	case "crash", "drain":
		for _, i := range spec.Hits(len(w.timeline.live), f.Share, rng) {
			b := w.timeline.live[i]
			if b.draining {
				continue
			}
			if f.Kind == "drain" {
				w.timeline.add(b.service, b.zone, time.Second)
				b.drain()
				continue
			}
			w.after(0, b.crash)
			w.after(f.For.D(), func() { w.timeline.add(b.service, b.zone, time.Second) })
		}
		lasts(nil, func() {}, func() {})
	case "burst":
		by := 2 + 2*f.By
		lasts(nil, func() { w.clients.burst = append(w.clients.burst, by) }, func() {
			i := slices.Index(w.clients.burst, by)
			w.clients.burst = slices.Delete(w.clients.burst, i, i+1)
		})
	case "hot":
		r := w.hot(f)
		lasts(nil, func() { w.clients.hot = append(w.clients.hot, r) },
			func() { w.clients.hot = slices.DeleteFunc(w.clients.hot, func(x *rush) bool { return x == r }) })
	case "resets":
		backs(func(b *backend, on float64) { b.resets = on * f.By / 2 })
	case "answers":
		backs(func(b *backend, on float64) { b.silent = on * f.By / 2 })
	case "failing":
		backs(func(b *backend, on float64) { b.fails = on * (0.3 + 0.7*f.By) })
	default:
		panic("no such fault: " + f.Kind)
	}
}
