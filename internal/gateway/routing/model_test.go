package routing

import (
	"fmt"
	"slices"
	"testing"

	"github.com/shoenig/test/must"

	"clovergap/internal/gateway/logentry"
)

// orders of operators: two under one number, a change on top of it, a whole configuration on top of that, and one that is wrong in
// itself. So often each may be sent.
var modelOrders = []struct {
	kind               Kind
	generation, parent uint64
	body               string
	copies             int8
}{
	{Replace, 5, 0, `{"generation":5,"parent_version":0}`, 3},
	{Replace, 5, 0, `{"generation":5,"parent_version":0,"by":"ben"}`, 2},
	{Amend, 7, 5, `{"generation":7,"parent_version":5}`, 2},
	{Replace, 8, 7, `{"generation":8,"parent_version":7}`, 2},
	{Replace, 7, 7, `{"generation":7,"parent_version":7}`, 1},
}

const (
	modelNodes  = 2
	modelWindow = 1 // orders that are remembered
)

// world is how things stand: a log, who has folded how much of it, and what operators were told.
type world struct {
	log     string               // committed, an order each
	pending string               // proposed, neither committed nor lost
	left    [8]int8              // how often each may still be sent
	at      [modelNodes]int8     // folded by a node, which may be behind
	from    [modelNodes + 1]int8 // restored from a snapshot there: nodes, then the leader
	refused [8]bool              // for good: the version that it builds on was current before
}

// model plays all of it and judges by a register that forgets nothing.
type model struct {
	knobs  TestingKnobs
	cached map[string]*Register
	broken string
}

// folded is the register of one who restored a snapshot at from and folded the rest.
func (m *model) folded(log string, from int8) *Register {
	key := fmt.Sprint(log, from)
	if r := m.cached[key]; r != nil {
		return r
	}
	r := &Register{accepted: logentry.NewDedupWindow(modelWindow * 17), knobs: m.knobs}
	for i, o := range log {
		r.Apply(modelOrders[o].kind, []byte(modelOrders[o].body))
		if int8(i)+1 == from {
			r, _ = restore(r.Snapshot(), modelWindow*17)
			r.knobs = m.knobs
		}
	}
	m.cached[key] = r
	return r
}

// truth is the version after a log, and which orders were taken.
func truth(log string) (version uint64, taken []int) {
	for _, o := range log {
		d := modelOrders[o]
		if d.parent == version && d.generation > version && !slices.Contains(taken, int(o)) {
			version, taken = d.generation, append(taken, int(o))
		}
	}
	return version, taken
}

// told judges an answer to an order.
func (m *model) told(w *world, o int, v Result) {
	version, taken := truth(w.log)
	place, d := slices.Index(taken, o), modelOrders[o]
	switch {
	case (v == Accepted || v == Duplicate) && place < 0:
		m.broken = "confirmed, and not taken"
	case v != Accepted && v != Duplicate && place >= len(taken)-modelWindow && place >= 0:
		m.broken = "taken a moment ago, and not confirmed"
	case (v == Conflict || v == Invalid) && place >= 0:
		m.broken = "taken, and refused"
	case (v == Conflict || v == Invalid) && d.parent == version && d.generation > version:
		m.broken = "valid on the newest state, and refused"
	case v == Ambiguous && (len(taken) <= modelWindow || d.generation > modelOrders[taken[len(taken)-modelWindow-1]].generation):
		m.broken = "left unclear, and nothing so old is forgotten"
	case v == Conflict || v == Invalid:
		w.refused[o] = w.refused[o] || d.parent <= version
	}
}

// next is every world that may follow.
func (m *model) next(w world) (all []world) {
	step := func(do func(w *world)) {
		next := w
		do(&next)
		all = append(all, next)
	}
	for o, d := range modelOrders {
		for i := range w.at {
			if w.left[o] == 0 {
				continue
			}
			step(func(w *world) {
				w.left[o]--
				if v, _, final := m.folded(w.log[:w.at[i]], w.from[i]).DecideFinal(d.kind, []byte(d.body)); final {
					m.told(w, o, v)
				} else {
					w.pending += string(rune(o))
				}
			})
		}
	}
	if w.pending != "" {
		step(func(w *world) { w.pending = "" }) // another leads, who had none of it; nobody is told
		step(func(w *world) {
			o := int(w.pending[0])
			v, _ := m.folded(w.log, w.from[modelNodes]).Decide(modelOrders[o].kind, []byte(modelOrders[o].body))
			w.log, w.pending = w.log+w.pending[:1], w.pending[1:]
			if v == Accepted && w.refused[o] {
				m.broken = "refused, and taken"
			}
			m.told(w, o, v)
		})
	}
	for i := range w.at {
		if int(w.at[i]) < len(w.log) {
			step(func(w *world) { w.at[i]++ })
		}
		if w.from[i] != w.at[i] {
			step(func(w *world) { w.from[i] = w.at[i] }) // it starts anew, from its snapshot
		}
	}
	if int(w.from[modelNodes]) != len(w.log) {
		step(func(w *world) { w.from[modelNodes] = int8(len(w.log)) })
	}
	return all
}

// explore goes through so many worlds, breadth first, until something is broken.
func explore(knobs TestingKnobs, most int) (seen int, broken string) {
	m := &model{knobs: knobs, cached: map[string]*Register{}}
	begin := world{}
	for o, d := range modelOrders {
		begin.left[o] = d.copies
	}
	known, queue := map[world]bool{begin: true}, []world{begin}
	for len(queue) > 0 && len(known) < most && m.broken == "" {
		w := queue[0]
		queue = queue[1:]
		for _, n := range m.next(w) {
			if !known[n] {
				known[n] = true
				queue = append(queue, n)
			}
		}
	}
	return len(known), m.broken
}

// Copies of orders come in all orders, through nodes that are behind, around leaders that are lost, before and after snapshots:
// of two under one number one is taken, what was taken is confirmed or left unclear, and what was refused stays out.
func TestOrdersInAllOrders(t *testing.T) {
	seen, broken := explore(TestingKnobs{}, 150_000)
	must.Eq(t, "", broken)
	t.Log(seen, "worlds")
	for want, knobs := range withoutDefence {
		seen, broken := explore(knobs, 150_000)
		must.Eq(t, want, broken)
		t.Logf("%q found after %d worlds", want, seen)
	}
}
