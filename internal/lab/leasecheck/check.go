// Package leasecheck explores what the core of the leases can do: its very code, in a small world in which messages are lost,
// doubled, late by any time and in any order, processes restart without their promises, clocks run as unevenly as they
// may, and the configuration reaches one front door after another. At no moment may two hold one permit, and the numbers
// of grants must rise.
package leasecheck

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"sort"
	"strings"
	"time"

	"clovergap/internal/frontdoor/lease"
)

// Model is a small world.
type Model struct {
	Nodes      int
	Requesters []lease.Node
	Permits    int
	Voters     int
	Rates      []float64     // of the clocks; the last one goes on for the rest
	Fleets     []lease.Fleet // generations that may come, the first holds at the start
	Ticks      int           // budgets: steps of time,
	Doubles    int           // deliveries that leave the message where it was,
	Restarts   int           // of any process,
	Drops      int           // wishes given up and made again,
	Moves      int           // steps of one front door to the next generation
	Packets    int           // on their way at most; older ones are lost
	Length     time.Duration // of a lease, in the world's units
	Drift      float64       // the bound that the cores go by
	Step       time.Duration // a tick's true length
	Task       lease.Task
	TickOften  int            // of a walk's steps, one in so many is one of time, on top of those that come by chance
	Margin     time.Duration  // before its end that a holder stops
	Stale      func(int) bool // tells whether a node is never given time by itself; nil: none
}

// Small is three voters, two of which wish, with clocks as far apart as their bound allows.
func Small() Model {
	return Model{TickOften: 5, Task: "t", Nodes: 3, Requesters: []lease.Node{0, 1}, Permits: 1, Voters: 3, Rates: []float64{0.75, 1.25, 1}, Fleets: []lease.Fleet{{Generation: 1, Members: 3}},
		Ticks: 9, Doubles: 1, Restarts: 1, Packets: 6, Length: 60, Drift: 0.25, Step: 8, Margin: 8}
}

type packet struct {
	source, target lease.Node
	body           string
}

type node struct {
	core        *lease.Core
	clock       time.Duration
	incarnation uint32
	fleet       int // index of the last fleet it knows
	wants       bool
	actsUntil   time.Duration // until when its last act goes on, by its own clock: acts begin at a check and last a margin
	permit      int
}

// world is a state.
type world struct {
	model                           *Model
	nodes                           []node
	net                             []packet
	now                             int // ticks
	highest                         map[int]lease.Number
	doubles, restarts, drops, moves int
	violation                       string
	grants                          int
}

func (m *Model) rate(i int) float64 { return m.Rates[min(i, len(m.Rates)-1)] }

func (m *Model) config(i lease.Node, life uint32, gen, now int) lease.Config {
	return lease.Config{NodeID: i, Incarnation: life, Fleets: m.Fleets[:gen+1], Voters: m.Voters, Length: m.Length, MaxLength: m.Length, Drift: m.Drift,
		Margin: m.Margin, Retry: 5, Floor: lease.Number(1000 * now)} // the wall clock, which all machines read, has gone on by a start
}

// long ago is when the first lives began: nobody is silent at the start.
const longAgo = -1000

func (m *Model) start() (*world, error) {
	w := &world{model: m, highest: map[int]lease.Number{}, doubles: m.Doubles, restarts: m.Restarts, drops: m.Drops, moves: m.Moves}
	for i := 0; i < m.Nodes; i++ {
		c, err := lease.New(m.config(lease.Node(i), 1, 0, 0), longAgo)
		if err != nil {
			return nil, err
		}
		c.Advance(0)
		w.nodes = append(w.nodes, node{core: c, incarnation: 1})
	}
	for _, i := range m.Requesters {
		w.request(int(i))
	}
	return w, nil
}

func (w *world) request(i int) {
	w.nodes[i].wants = true
	w.nodes[i].core.Acquire(w.model.Task, w.model.Permits, 0)
}

func (w *world) clone() *world {
	x := *w
	x.nodes = append([]node(nil), w.nodes...)
	for i := range x.nodes {
		x.nodes[i].core = x.nodes[i].core.Clone()
	}
	x.net = append([]packet(nil), w.net...)
	x.highest = map[int]lease.Number{}
	for k, v := range w.highest {
		x.highest[k] = v
	}
	return &x
}

// runDecisions carries out all decisions and looks at the invariant.
func (w *world) runDecisions(i int) {
	for {
		x, ok := w.nodes[i].core.Next()
		if !ok {
			break
		}
		switch x.Kind {
		case lease.Send:
			w.net = append(w.net, packet{lease.Node(i), x.To, string(x.Payload)})
		case lease.Granted:
			if x.Grant.Number <= w.highest[x.Grant.Permit] {
				w.violation = fmt.Sprintf("node %d is granted number %d after %d", i, x.Grant.Number, w.highest[x.Grant.Permit])
			}
			w.grants++
			w.highest[x.Grant.Permit] = max(w.highest[x.Grant.Permit], x.Grant.Number)
		}
	}
	if len(w.net) > w.model.Packets {
		w.net = w.net[len(w.net)-w.model.Packets:]
	}
	w.checkPermits()
}

// checkPermits: who holds a permit now, each by its own clock?
func (w *world) checkPermits() {
	holders := map[int][]int{}
	for i := range w.nodes {
		n := &w.nodes[i]
		n.core.Advance(n.clock)
		if g, ok := n.core.CurrentGrant(w.model.Task); ok {
			n.actsUntil, n.permit = n.clock+w.model.Margin, g.Permit
		}
		if n.clock < n.actsUntil {
			holders[n.permit] = append(holders[n.permit], i)
		}
	}
	for permit, who := range holders {
		if len(who) > 1 {
			w.violation = fmt.Sprintf("nodes %v hold permit %d at once", who, permit)
		}
	}
}

// step is what may happen next.
type step struct {
	what string
	run  func(*world)
}

// steps lists them.
func (w *world) steps() (all []step) {
	all = w.deliveries()
	if w.now < w.model.Ticks {
		all = append(all, step{"tick", (*world).tick})
	}
	for i := range w.nodes {
		if w.restarts > 0 {
			all = append(all, step{fmt.Sprintf("restart %d", i), func(x *world) { x.restart(i) }})
		}
		if w.drops > 0 && w.nodes[i].wants {
			all = append(all, step{fmt.Sprintf("drop %d", i), func(x *world) { x.drop(i) }})
		}
		if w.moves > 0 && w.nodes[i].fleet+1 < len(w.model.Fleets) {
			all = append(all, step{fmt.Sprintf("move %d", i), func(x *world) { x.nextFleet(i) }})
		}
	}
	return all
}

// deliveries are the packets under way: each may arrive, and be doubled.
func (w *world) deliveries() (all []step) {
	seen := map[packet]bool{}
	for place, p := range w.net {
		if seen[p] {
			continue
		}
		seen[p] = true
		name := fmt.Sprintf("%d>%d op %d", p.source, p.target, p.body[2])
		all = append(all, step{name, func(x *world) {
			x.net = append(x.net[:place:place], x.net[place+1:]...)
			x.deliver(p)
		}})
		if w.doubles > 0 {
			all = append(all, step{name + " doubled", func(x *world) {
				x.doubles--
				x.deliver(p)
			}})
		}
	}
	return all
}

// deliver hands a packet to its node.
func (w *world) deliver(p packet) {
	n := &w.nodes[p.target]
	n.core.Advance(n.clock)
	n.core.Receive(p.source, []byte(p.body))
	w.runDecisions(int(p.target))
}

// tick lets all clocks go on, each at its rate.
func (w *world) tick() {
	w.now++
	for i := range w.nodes {
		w.nodes[i].clock += time.Duration(float64(w.model.Step) * w.model.rate(i))
	}
	w.checkPermits()
	for i := range w.nodes {
		if w.model.Stale == nil || !w.model.Stale(i) {
			w.runDecisions(i)
		}
	}
}

// restart begins a node's next life, which knows nothing of the last one.
func (w *world) restart(i int) {
	w.restarts--
	n := &w.nodes[i]
	n.incarnation++
	c, err := lease.New(w.model.config(lease.Node(i), n.incarnation, n.fleet, w.now+1), n.clock)
	if err != nil {
		w.violation = err.Error()
		return
	}
	n.core, n.actsUntil = c, 0
	if n.wants {
		w.request(i)
	}
	w.runDecisions(i)
}

// drop lets a node give its permit back, and wish again.
func (w *world) drop(i int) {
	w.drops--
	w.nodes[i].actsUntil = 0 // who gives a permit back has ended its act
	w.nodes[i].core.Release(w.model.Task)
	w.request(i)
	w.runDecisions(i)
}

// nextFleet tells a node of the next voters.
func (w *world) nextFleet(i int) {
	w.moves--
	n := &w.nodes[i]
	n.fleet++
	if err := n.core.Reconfigure(w.model.Fleets[:n.fleet+1]); err != nil {
		w.violation = err.Error()
	}
	w.runDecisions(i)
}

// key names a state: what its future depends on.
func (w *world) key() [16]byte {
	var b []byte
	for i := range w.nodes {
		b = w.nodes[i].core.AppendState(b)
		b = append(b, 0xff, byte(w.nodes[i].permit))
		b = binary.AppendVarint(b, int64(max(0, w.nodes[i].actsUntil-w.nodes[i].clock)))
	}
	net := make([]string, 0, len(w.net))
	for _, p := range w.net {
		net = append(net, string([]byte{byte(p.source), byte(p.target)})+p.body)
	}
	sort.Strings(net)
	for _, p := range net {
		b = binary.AppendUvarint(b, uint64(len(p)))
		b = append(b, p...)
	}
	b = binary.AppendUvarint(b, uint64(w.now))
	for s := 0; s < w.model.Permits; s++ {
		b = binary.AppendUvarint(b, uint64(w.highest[s]))
	}
	b = append(b, byte(w.doubles), byte(w.restarts), byte(w.drops), byte(w.moves))
	sum := sha256.Sum256(b)
	return [16]byte(sum[:16])
}

// Result is what was explored.
type Result struct {
	States, Depth int
	Complete      bool // every state within the budgets was seen
	Granted       int  // states, or grants of walks, in which somebody held a permit: nought would show nothing
	Violation     string
	Trace         []string // that leads there
	Elapsed       time.Duration
}

func (r Result) String() string {
	s := fmt.Sprintf("%d states, %d with grants, depth %d, in %.1f s", r.States, r.Granted, r.Depth, r.Elapsed.Seconds())
	if r.Complete {
		s += ", all within the budgets"
	}
	if r.Violation != "" {
		s += fmt.Sprintf(": %s by %s", r.Violation, strings.Join(r.Trace, ", "))
	}
	return s
}

// Explore goes through states by breadth, up to so many.
func Explore(m Model, most int) (r Result, err error) {
	began := time.Now()
	defer func() { r.Elapsed = time.Since(began) }()
	type entry struct {
		w     *world
		back  int
		what  string
		depth int
	}
	first, err := m.start()
	if err != nil {
		return r, err
	}
	for i := range first.nodes {
		first.runDecisions(i)
	}
	all := []entry{{w: first, back: -1}}
	seen := map[[16]byte]bool{first.key(): true}
	for at := 0; at < len(all); at++ {
		e := all[at]
		r.States, r.Depth = at+1, e.depth
		if len(e.w.highest) > 0 {
			r.Granted++
		}
		if e.w.violation != "" {
			r.Violation = e.w.violation
			for k := at; k > 0; k = all[k].back {
				r.Trace = append([]string{all[k].what}, r.Trace...)
			}
			return r, nil
		}
		if len(seen) >= most {
			continue // what is known already is still looked at
		}
		for _, s := range e.w.steps() {
			x := e.w.clone()
			s.run(x)
			if k := x.key(); !seen[k] {
				seen[k] = true
				all = append(all, entry{x, at, s.what, e.depth + 1})
			}
		}
		all[at].w = nil // its trace is enough
	}
	r.Complete = len(seen) < most
	return r, nil
}

// Walk goes many random ways of so many steps: deeper than Explore, and not all.
func Walk(m Model, seed uint64, walks, steps int) (r Result, err error) {
	began := time.Now()
	defer func() { r.Elapsed = time.Since(began) }()
	rng := rand.New(rand.NewPCG(seed, 0x3a11c))
	for i := 0; i < walks; i++ {
		w, err := m.start()
		if err != nil {
			return r, err
		}
		for i := range w.nodes {
			w.runDecisions(i)
		}
		var trace []string
		for k := 0; k < steps; k++ {
			all := w.steps()
			if len(all) == 0 {
				break
			}
			s := all[rng.IntN(len(all))]
			if rng.IntN(max(m.TickOften, 1)) == 0 { // or time would stand still while messages go to and fro
				for _, t := range all {
					if t.what == "tick" {
						s = t
					}
				}
			}
			if rare(s.what) && rng.IntN(6) > 0 { // or the budgets are gone before anything has happened
				continue
			}
			s.run(w)
			trace = append(trace, s.what)
			r.States++
			r.Depth = max(r.Depth, len(trace))
			if w.violation != "" {
				r.Violation, r.Trace = w.violation, trace
				return r, nil
			}
		}
		r.Granted += w.grants
	}
	return r, nil
}

func rare(what string) bool {
	return strings.HasPrefix(what, "restart") || strings.HasPrefix(what, "drop") || strings.HasPrefix(what, "move") || strings.HasSuffix(what, "doubled")
}
