package simulation

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"clovergap/internal/gateway/ingress"
	"clovergap/internal/gateway/statemachine"
	"clovergap/internal/history"
	"clovergap/internal/lab/gatewaystandin"
	"clovergap/internal/lab/spec"
)

// A core node is parted from the other nodes with a disk, both ways or one way, for some twenty seconds; all other ways are whole. With
// "mute" it is heard by none of them, while their links to it last and it hears all that they say. It is poked all the while: orders, reads, a backend's last word, whether it is ready, and what it denies. And an order is sent
// there, and to those who followed it, as an operator does: to the next node after each answer that is not clear.

const (
	probeInterval   = 200 * time.Millisecond
	maxInFlight     = 20 * time.Millisecond // what was on its way when the cut began
	promptly        = 50 * time.Millisecond
	staleGeneration = 1 << 40
)

// PartitionTimes is how long orders took until a clear answer, sent first to the node that is cut off, or to one that followed it.
type PartitionTimes struct{ Core, Follower []time.Duration }

// partitionNode brings the cut and lets it end.
func (w *world) partitionNode(f *spec.Fault, m *machine) {
	lasting := f.Way == "mute"
	c := &partition{members: map[*machine]bool{m: true}, blocksInbound: f.Way != "out" && !lasting, blocksOutbound: f.Way != "in", coreOnly: true, keepsLinks: lasting}
	note := func(k history.Kind) {
		for _, o := range w.cores() {
			if o != m && c.blocksOutbound {
				w.record(history.Event{Who: m.name, Target: o.name, Kind: k})
			}
			if o != m && c.blocksInbound {
				w.record(history.Event{Who: o.name, Target: m.name, Kind: k})
			}
		}
	}
	var fed []*machine
	for _, o := range w.machines {
		if o.disk == nil && o.process != nil && o.process.node.Status().Feeder == m.peerAddr {
			fed = append(fed, o)
		}
	}
	w.logf("%s is parted from the core, way %s, fed %d", m.name, f.Way, len(fed))
	note(gatewaystandin.LinkDown)
	w.partitions = append(w.partitions, c)
	began, ends, n := w.now, w.now+f.For.D(), 0
	w.every(probeInterval, func() bool {
		if w.now >= ends {
			return false
		}
		if n++; w.operator.known > 0 {
			w.probePartitioned(m, began, ends)
			if n%2 == 0 {
				w.orderUntilClear(m, &w.partitionTimes.Core)
			} else if len(fed) > 0 {
				w.orderUntilClear(fed[n/2%len(fed)], &w.partitionTimes.Follower)
			}
		}
		return true
	})
	w.after(f.For.D(), func() {
		w.partitions = slices.DeleteFunc(w.partitions, func(x *partition) bool { return x == c })
		note(gatewaystandin.LinkUp)
		w.logf("fault %s ends", f.Kind)
		w.faults--
	})
}

// staleOrder is an order on a version that is long gone: 412 at whoever may tell, and taken by nobody.
func staleOrder() []byte {
	b := gatewaystandin.First()
	b.Generation = staleGeneration
	text, err := json.Marshal(b)
	if err != nil {
		panic(err)
	}
	return text
}

// probePartitioned holds a parted node to what it may do.
func (w *world) probePartitioned(m *machine, began, ends time.Duration) {
	p, at := m.process, w.now
	since := at - began
	if p == nil || m.stalls > 0 || since < maxInFlight {
		return
	}
	bad := func(format string, args ...any) {
		w.broken = append(w.broken, history.Violation{Rule: "PARTED", Time: w.now, Who: m.name,
			What: fmt.Sprintf("%.2fs after it was parted it ", since.Seconds()) + fmt.Sprintf(format, args...)})
	}
	b := m.settings.Bounds
	from, behindBacklog := at, len(p.backlog) > 0
	answered := func(what string, may func(int) bool) func(int, []byte) {
		return func(status int, text []byte) {
			if w.now >= ends || m.process != p {
				return
			}
			if !may(status) {
				bad("answers %s with %d %s", what, status, text)
			}
			if took := w.now - from; took > promptly && min(since, at-p.born) > b.PartitionedAge()+promptly && !p.stalledSince(at) {
				bad("takes %s to answer %s with %d", took, what, status)
			}
		}
	}
	unclear := func(status int) bool { return status/100 == 5 }
	p.turn(func() {
		if behindBacklog { // a node that was paused a moment ago answers promptly once it has read the call
			from = w.now
		}
		p.node.Change(statemachine.KindReplaceConfig, staleOrder(), answered("an order", unclear))
		p.node.ReadConfiguration(answered("a read", unclear))
		p.node.Deregister(fmt.Sprint("stale-", began), func(ok bool, _ string) {
			if ok && w.now < ends && m.process == p {
				bad("acknowledges an end that nobody else has")
			}
		})
		if since > b.ReadyMaxAge() && p.node.Ready() {
			bad("says that it is ready")
		}
		if _, no := p.node.Admit([]byte("nowhere.example"), []byte("/"), nil); since > b.AuthoritativeMaxAge() && no == ingress.NoRoute {
			bad("denies for sure")
		}
	})
}

// watchContact holds all nodes to what they say of their word of a majority, now and then and when one goes on after it stood still.
func (w *world) watchContact() {
	w.every(checkInterval, func() bool {
		for _, m := range w.machines {
			m.checkContact()
		}
		return true
	})
}

// checkContact: whatever was acknowledged so long ago as a node says that its word is old is in force there.
func (m *machine) checkContact() {
	w := m.world
	if !m.runs() {
		return
	}
	age, generation := m.process.node.Staleness()
	for n, v := range w.operator.versions {
		if v.Acked > 0 && v.Acked < w.now-age && n > generation {
			w.broken = append(w.broken, history.Violation{Rule: "STALE", Time: w.now, Who: m.name, What: fmt.Sprintf(
				"has word of %s ago and goes by %d, while %d was acknowledged %s ago", age, generation, n, w.now-v.Acked)})
		}
	}
}

// stalledSince tells whether a process stood still since then, or does.
func (p *process) stalledSince(since time.Duration) bool {
	return p.machine.stalls > 0 || p.resumedAt >= since
}

// orderUntilClear sends an order to a node, and on to the next ones, until the answer is clear: one at a time, since a refusal takes a place in
// the log too.
func (w *world) orderUntilClear(first *machine, into *[]time.Duration) {
	if w.orderPending {
		return
	}
	w.orderPending = true
	body, began, wait, n := staleOrder(), w.now, 30*time.Millisecond, first.index
	var next func()
	next = func() {
		m := w.machines[n%len(w.machines)]
		n++
		w.operator.call(m, gatewaystandin.ReplacePath, body, func(status int, _ []byte) {
			switch {
			case gatewaystandin.Clear(status) || w.now-began > gatewaystandin.ClearMost:
				*into = append(*into, w.now-began)
				w.orderPending = false
			default:
				w.after(wait, next)
				wait = min(2*wait, 500*time.Millisecond)
			}
		})
	}
	next()
}

// leader is the node that leads the newest view, as far as nodes know.
func (w *world) leader() (found *machine) {
	var view uint64
	for _, m := range w.cores() {
		if m.runs() {
			if s := m.process.node.Status().Core; s.Role == "leading" && s.View > view {
				found, view = m, s.View
			}
		}
	}
	return found
}
