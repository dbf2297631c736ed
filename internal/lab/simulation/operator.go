package simulation

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"clovergap/internal/gateway/routing"
	"clovergap/internal/gateway/statemachine"
	"clovergap/internal/history"
	"clovergap/internal/lab/gatewaystandin"
	"clovergap/internal/lab/spec"
)

// operator changes the configuration, sends the same bytes again until the answer is clear, and reads.
type operator struct {
	world    *world
	rng      *rand.Rand
	versions map[uint64]*gatewaystandin.Version
	known    uint64
	highest  uint64
	unsure   bool
	goes     bool
	busy     bool
	accepted []sentChange
}

func newOperator(w *world) *operator {
	return &operator{world: w, rng: source(w.day.Seed, 0x09e7), versions: map[uint64]*gatewaystandin.Version{}}
}

// call makes one call at a node, which has a second for it. Status 0: no answer.
func (o *operator) call(m *machine, path string, body []byte, then func(status int, text []byte)) {
	w, done := o.world, false
	end := func(status int, text []byte) {
		if !done {
			done = true
			then(status, text)
		}
	}
	w.after(time.Second, func() { end(0, nil) })
	if m.poweredOff {
		return
	}
	way := span(w.netRand, 500*time.Microsecond, 2*time.Millisecond)
	w.after(way, func() {
		p := m.process
		if p == nil || p.upstreams.stoppedListening {
			w.after(way, func() { end(0, nil) })
			return
		}
		p.turn(func() {
			w.turnKind = "operator"
			answered := func(status int, text []byte) { w.after(way, func() { end(status, text) }) }
			switch path {
			case gatewaystandin.ReplacePath:
				p.node.Change(statemachine.KindReplaceConfig, body, answered)
			case gatewaystandin.AmendPath:
				p.node.Change(statemachine.KindAmendConfig, body, answered)
			default:
				p.node.ReadConfiguration(answered)
			}
		})
	})
}

// ask brings a call to one node after another until one gives a clear answer, or for a while.
func (o *operator) ask(path string, body []byte, then func(status int, text []byte, clear bool)) {
	w, until, wait := o.world, o.world.now+gatewaystandin.ClearMost, 30*time.Millisecond
	at := o.rng.IntN(len(w.machines))
	var next func()
	next = func() {
		m := w.machines[at%len(w.machines)]
		at++
		o.call(m, path, body, func(status int, text []byte) {
			switch {
			case gatewaystandin.Clear(status):
				then(status, text, true)
			case w.now >= until:
				then(0, nil, false)
			default:
				w.after(wait, next)
				wait = min(2*wait, 500*time.Millisecond)
			}
		})
	}
	next()
}

// propose sends a change.
func (o *operator) propose(c gatewaystandin.Change, then func(status int, clear bool)) {
	w, gen := o.world, c.Config.Generation
	text, err := json.Marshal(c.Body)
	if err != nil {
		panic(err)
	}
	v := &c.Version
	v.Sent = w.now
	o.versions[gen] = v
	o.highest = max(o.highest, gen)
	note := func(k history.Kind, what string) {
		w.record(history.Event{Who: "operator", Kind: k, Number: float64(gen), Key: fmt.Sprint(v.Parent), What: what})
	}
	note(gatewaystandin.Proposes, c.Path)
	o.ask(c.Path, text, func(status int, answer []byte, clear bool) {
		switch {
		case clear && status == 200:
			v.Acked = w.now
			o.known = max(o.known, gen)
			o.accepted = append(o.accepted, sentChange{gen, c.Path, text})
			note(gatewaystandin.Taken, "")
			w.happens(spec.Acknowledged)
		case clear:
			v.Lost, v.Refusal = true, fmt.Sprint(status, " ", string(answer))
			note(gatewaystandin.Refused, v.Refusal)
		default:
			o.unsure = true
			note(gatewaystandin.Unclear, "")
		}
		then(status, clear)
	})
}

// open sends the first configuration until it is taken, then changes it as long as it may.
func (o *operator) open(then func()) {
	first := o.world.day.Wide.first()
	o.propose(gatewaystandin.Change{Path: gatewaystandin.ReplacePath, Body: first, Version: gatewaystandin.Version{Config: first}}, func(status int, _ bool) {
		if status != 200 {
			o.world.after(100*time.Millisecond, func() { o.open(then) })
			return
		}
		o.goes = true
		o.audit()
		if o.world.day.Hard {
			o.resendChange()
		}
		then()
		o.backoff()
	})
}

// audit reads at one node or another, once each time, whatever else is under way.
func (o *operator) audit() {
	w := o.world
	w.every(300*time.Millisecond, func() bool {
		if began := w.now; o.goes {
			o.call(w.machines[o.rng.IntN(len(w.machines))], "", nil, func(status int, text []byte) { o.readBack(began, status, text) })
		}
		return true
	})
}

// readBack notes what was read; nil: nothing was.
func (o *operator) readBack(began time.Duration, status int, text []byte) *routing.Config {
	b := new(routing.Config)
	if status != 200 || json.Unmarshal(text, b) != nil {
		return nil
	}
	if v := o.versions[b.Generation]; v != nil && !gatewaystandin.Same(v.Config, b) {
		o.world.broken = append(o.world.broken, history.Violation{Rule: "CONFIG", Time: o.world.now,
			What: fmt.Sprintf("%d was read back otherwise than it was sent", b.Generation)})
	}
	o.world.record(history.Event{Who: "operator", Kind: gatewaystandin.ReadBack, Number: float64(b.Generation), Deadline: began})
	return b
}

func (o *operator) backoff() {
	o.world.after(span(o.rng, 100*time.Millisecond, 700*time.Millisecond), func() {
		switch {
		case o.world.finished:
		case !o.goes:
			o.backoff()
		default:
			o.busy = true
			o.makeChange(func() {
				o.busy = false
				o.backoff()
			})
		}
	})
}

// makeChange makes one change, or two that race.
func (o *operator) makeChange(then func()) {
	if o.unsure {
		o.read(func(b *routing.Config) {
			if b == nil {
				then()
				return
			}
			o.unsure, o.known = false, b.Generation
			o.makeChange(then)
		})
		return
	}
	v := o.versions[o.known]
	if v == nil {
		then()
		return
	}
	number := func() uint64 { o.highest += 1 + o.rng.Uint64N(3); return o.highest }
	changes := gatewaystandin.Draft(o.rng.IntN, number, o.known, v.Config)
	left := len(changes)
	for _, c := range changes {
		o.propose(c, func(int, bool) {
			if v := o.versions[o.known]; v != nil {
				o.world.clients.known.Learn(v.Config)
			}
			if left--; left == 0 {
				o.unsure = o.unsure || len(changes) > 1 // who has won is read
				then()
			}
		})
	}
}

// read asks for the newest configuration; nil if none came in time.
func (o *operator) read(then func(*routing.Config)) {
	began := o.world.now
	o.ask("", nil, func(status int, text []byte, _ bool) {
		then(o.readBack(began, status, text))
	})
}
