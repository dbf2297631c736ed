package simulation

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"net"
	"strconv"
	"time"

	"clovergap/internal/gateway/node"
	"clovergap/internal/history"
	"clovergap/internal/lab/gatewaystandin"
	"clovergap/internal/lab/spec"
)

// hardKinds stand beside the others on hard days: a machine with a disk is replaced by a new one, with a new address and an empty
// disk; the core is cut for 20 s; old copies of orders and of their replies come late, to whatever process is there by then; a
// node is killed while an order that it passed on is under way, and is back before its time is up.
var hardKinds = append([]string{"core-replace", "core-replace", "ack-replace", "sync-replace", "long-cut", "long-cut", "copies", "copies",
	"copies", "call-kill", "call-kill", "call-kill", "call-power", "disk-wipe", "disk-slow"}, kinds...)

const (
	longPartition = 20 * time.Second
	maxTurnDelay  = 40 * time.Second // that a loss of a disk waits for its turn
	maxCopyDelay  = 6 * time.Second  // late
	stallDuration = 850 * time.Millisecond
)

// DrawHard draws the faults of a hard day, from all kinds: disks are lost one after the other, as soon as the last one counts as
// caught up, and the operator sends again what was taken long ago. Draw's days stay what they are.
func DrawHard(site Site, seed uint64, most int, dur time.Duration) *Day {
	rng := source(seed, 0x4a4d)
	d := Draw(site, seed, most, dur)
	d.Hard, d.Faults = true, nil
	seconds := func(from, to float64) spec.Span { return spec.Span((from + rng.Float64()*(to-from)) * 1e9) }
	for range 2 + rng.IntN(max(1, most)) {
		f := spec.Fault{Kind: hardKinds[rng.IntN(len(hardKinds))], At: spec.Span(rng.Float64() * 0.9 * float64(dur)), Pick: rng.Uint64()>>1 | 1,
			Share: []float64{0.1, 0.1, 0.3, 0.6, 1}[rng.IntN(5)], For: seconds(0.05, 4), By: rng.Float64(),
			Way: []string{"both", "both", "in", "out"}[rng.IntN(4)]}
		switch {
		case f.Has(spec.WipeNodes, spec.ReplaceNodes):
			if f.Share = 0.01; d.Tolerates() == 0 || d.Early { // a core founded by too few has none to lose: see docs/simulation.md
				f.Kind = "core-kill"
			}
		case f.Kind == "long-cut":
			f.For, f.Share = spec.Span(longPartition), 0.1
		case f.Has(spec.RestartCaller):
			f.For = seconds(0.02, 0.8)
		case f.Has(spec.RepeatCalls):
			f.For = seconds(2, 10)
		case f.Has(spec.StallNodes, spec.TerminateNodes, spec.SlowDisks, spec.HangDisks, spec.FillDisks, spec.DrainBackends, spec.CrashBackends):
			f.Share = min(f.Share, 0.6)
		case f.Has(spec.FailBackends):
			f.For = seconds(1, 8)
		}
		d.Faults = append(d.Faults, f)
	}
	drawResets(d, dur)
	return d
}

// awaitDiskTurn calls once so few machines with a disk are lost that another may be: what is in trouble, down or not back for as long as it
// takes to catch up counts. After a while the loss is left out.
func (w *world) awaitDiskTurn(do func()) {
	until := w.now + maxTurnDelay
	w.every(checkInterval, func() bool {
		lost := 0
		for _, m := range w.cores() {
			if m.activeFaults > 0 || m.process == nil || w.now-m.lastFaultEnd < gatewaystandin.Bounds().CatchUp || w.now-m.process.born < gatewaystandin.Bounds().CatchUp {
				lost++
			}
		}
		switch {
		case lost < w.day.Tolerates():
			do()
		case w.now >= until:
			w.logf("no turn comes for another loss")
			w.faults--
		default:
			return true
		}
		return false
	})
}

// replace puts a new machine in the place of one, under its name in the history: it has a new address, an empty disk and, when it
// starts, seeds from the list as it is by then. The old one never comes back.
func (m *machine) replace() *machine {
	w := m.world
	m.kill(true)
	w.replaced++
	n := &machine{world: w, index: m.index, name: m.name, zone: m.zone, incarnation: m.incarnation, activeFaults: m.activeFaults, lastFaultEnd: m.lastFaultEnd, disk: newSimulatedDisk(w),
		addr: fmt.Sprintf("10.%d.%d.%d", m.index%w.day.Zones, 100+w.replaced/200, w.replaced%200+1)}
	n.peerAddr, n.controlAddr = net.JoinHostPort(n.addr, strconv.Itoa(peerPort)), net.JoinHostPort(n.addr, strconv.Itoa(controlPort))
	sheet := *m.settings
	sheet.NodeName, sheet.IPAddress, sheet.Bind.Control = fmt.Sprintf("%s-%d", m.name, w.replaced), n.addr, n.controlAddr
	n.settings, m.successor = &sheet, n
	w.machines[m.index] = n
	w.byPeerAddr[n.peerAddr], w.byControlAddr[n.controlAddr] = n, n
	w.logf("%s is replaced, at %s", m.name, n.addr)
	n.loseDisk()
	return n
}

// seeds are the control addresses that a file names which is written now.
func (w *world) seeds() (all []string) {
	for _, m := range w.cores()[:min(3, w.day.Disks)] {
		all = append(all, m.controlAddr)
	}
	return all
}

// restarts kills a node that has passed on a call and starts it again within the call's time, some times, each at the first call
// of the next life: numbers of calls begin anew in each. Mostly whoever has the call stands still meanwhile, so that its reply
// is sent to the new life.
func (w *world) restarts(f *spec.Fault, m *machine, left int) {
	m = w.machines[m.index]
	if left == 0 {
		w.faults--
		return
	}
	w.logf("fault %s for %s, %d left", f.Kind, f.For.D(), left)
	m.countFault(true)
	if has := w.callee; f.By > 0.25 && has != m {
		has.countFault(true)
		has.stall(true)
		w.after(stallDuration, func() {
			has.stall(false)
			has.countFault(false)
		})
	}
	w.after(time.Millisecond, func() { m.kill(f.Kind == callPower) }) // what it has sent is out
	w.after(time.Millisecond+f.For.D(), func() {
		w.machines[m.index].start()
		m.countFault(false)
		until := w.now + 2*time.Second
		var next func()
		next = func() {
			if w.caller == w.machines[m.index] || w.now >= until {
				w.restarts(f, m, left-1)
				return
			}
			w.atNextMoment(spec.PassesOn, time.Second, next)
		}
		w.atNextMoment(spec.PassesOn, time.Second, next)
	})
}

// duplicateFrame lets a passed-on call or its reply come once more, seconds late, to whatever process stands at the address by then.
func (w *world) duplicateFrame(p *process, to *machine, f *node.Frame) {
	if f.Call == nil && f.Reply == nil || w.netRand.Float64() < 0.5 {
		return
	}
	var b bytes.Buffer
	if err := gob.NewEncoder(&b).Encode(f); err != nil {
		panic(err)
	}
	from := p.machine
	w.after(span(w.netRand, 20*time.Millisecond, maxCopyDelay), func() {
		if to.process == nil || w.partitioned(from, to) {
			return
		}
		q, f := to.process, new(node.Frame)
		if err := gob.NewDecoder(&b).Decode(f); err != nil {
			panic(err)
		}
		q.turn(func() { q.node.FrameReceived(from.peerAddr, f) })
	})
}

// sentChange is an acknowledged change, as it was sent.
type sentChange struct {
	generation uint64
	path       string
	body       []byte
}

// resendChange sends a change that was taken once more, however long ago, to any node: it is acknowledged, or left unclear.
func (o *operator) resendChange() {
	w := o.world
	w.every(400*time.Millisecond, func() bool {
		if !o.goes || len(o.accepted) == 0 {
			return true
		}
		x := o.accepted[o.rng.IntN(len(o.accepted))]
		if o.rng.IntN(2) == 0 {
			x = o.accepted[len(o.accepted)-1]
		}
		m := w.machines[o.rng.IntN(len(w.machines))]
		o.call(m, x.path, x.body, func(status int, text []byte) {
			if status/100 == 4 && status != 408 && status != 429 {
				w.broken = append(w.broken, history.Violation{Rule: "AGAIN", Time: w.now, Who: m.name,
					What: fmt.Sprintf("%d was acknowledged, and sent again is answered %d %s", x.generation, status, text)})
			}
		})
		return true
	})
}
