package routing

import (
	"fmt"
	"slices"
	"testing"

	"github.com/shoenig/test/must"

	"clovergap/internal/gateway/logentry"
)

// modelCalls of operators: two under one number, a change on top of it, a whole configuration on top of that, and one that is wrong in
// itself. So often each may be sent.
var modelCalls = []struct {
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

// modelState is how things stand: a log, who has folded how much of it, and what operators were told.
type modelState struct {
	log            string               // committed, an order each
	pending        string               // proposed, neither committed nor lost
	remainingSends [8]int8              // how often each may still be sent
	appliedCount   [modelNodes]int8     // folded by a node, which may be behind
	snapshotIndex  [modelNodes + 1]int8 // restored from a snapshot there: nodes, then the leader
	rejected       [8]bool              // for good: the version that it builds on was current before
}

// model plays all of it and judges by a register that forgets nothing.
type model struct {
	knobs     TestingKnobs
	registers map[string]*Register
	violation string
}

// foldedRegister is the register of one who restored a snapshot at from and folded the rest.
func (m *model) foldedRegister(log string, from int8) *Register {
	key := fmt.Sprint(log, from)
	if r := m.registers[key]; r != nil {
		return r
	}
	r := &Register{accepted: logentry.NewDedupWindow(modelWindow * 17), knobs: m.knobs}
	for i, o := range log {
		r.Apply(modelCalls[o].kind, []byte(modelCalls[o].body))
		if int8(i)+1 == from {
			r, _ = restoreWithWindow(r.Snapshot(), modelWindow*17)
			r.knobs = m.knobs
		}
	}
	m.registers[key] = r
	return r
}

// referenceState is the version after a log, and which orders were taken.
func referenceState(log string) (version uint64, accepted []int) {
	for _, o := range log {
		d := modelCalls[o]
		if d.parent == version && d.generation > version && !slices.Contains(accepted, int(o)) {
			version, accepted = d.generation, append(accepted, int(o))
		}
	}
	return version, accepted
}

// checkAnswer judges an answer to an order.
func (m *model) checkAnswer(w *modelState, o int, v Result) {
	version, accepted := referenceState(w.log)
	index, d := slices.Index(accepted, o), modelCalls[o]
	switch {
	case (v == Accepted || v == Duplicate) && index < 0:
		m.violation = "confirmed, and not taken"
	case v != Accepted && v != Duplicate && index >= len(accepted)-modelWindow && index >= 0:
		m.violation = "taken a moment ago, and not confirmed"
	case (v == Conflict || v == Invalid) && index >= 0:
		m.violation = "taken, and refused"
	case (v == Conflict || v == Invalid) && d.parent == version && d.generation > version:
		m.violation = "valid on the newest state, and refused"
	case v == Ambiguous && (len(accepted) <= modelWindow || d.generation > modelCalls[accepted[len(accepted)-modelWindow-1]].generation):
		m.violation = "left unclear, and nothing so old is forgotten"
	case v == Conflict || v == Invalid:
		w.rejected[o] = w.rejected[o] || d.parent <= version
	}
}

// successors is every world that may follow.
func (m *model) successors(w modelState) (all []modelState) {
	addSuccessor := func(do func(w *modelState)) {
		next := w
		do(&next)
		all = append(all, next)
	}
	for o, d := range modelCalls {
		for i := range w.appliedCount {
			if w.remainingSends[o] == 0 {
				continue
			}
			addSuccessor(func(w *modelState) {
				w.remainingSends[o]--
				if v, _, final := m.foldedRegister(w.log[:w.appliedCount[i]], w.snapshotIndex[i]).DecideFinal(d.kind, []byte(d.body)); final {
					m.checkAnswer(w, o, v)
				} else {
					w.pending += string(rune(o))
				}
			})
		}
	}
	if w.pending != "" {
		addSuccessor(func(w *modelState) { w.pending = "" }) // another leads, who had none of it; nobody is told
		addSuccessor(func(w *modelState) {
			o := int(w.pending[0])
			v, _ := m.foldedRegister(w.log, w.snapshotIndex[modelNodes]).Decide(modelCalls[o].kind, []byte(modelCalls[o].body))
			w.log, w.pending = w.log+w.pending[:1], w.pending[1:]
			if v == Accepted && w.rejected[o] {
				m.violation = "refused, and taken"
			}
			m.checkAnswer(w, o, v)
		})
	}
	for i := range w.appliedCount {
		if int(w.appliedCount[i]) < len(w.log) {
			addSuccessor(func(w *modelState) { w.appliedCount[i]++ })
		}
		if w.snapshotIndex[i] != w.appliedCount[i] {
			addSuccessor(func(w *modelState) { w.snapshotIndex[i] = w.appliedCount[i] }) // it starts anew, from its snapshot
		}
	}
	if int(w.snapshotIndex[modelNodes]) != len(w.log) {
		addSuccessor(func(w *modelState) { w.snapshotIndex[modelNodes] = int8(len(w.log)) })
	}
	return all
}

// exploreStates goes through so many worlds, breadth first, until something is broken.
func exploreStates(knobs TestingKnobs, maxStates int) (stateCount int, violation string) {
	m := &model{knobs: knobs, registers: map[string]*Register{}}
	initial := modelState{}
	for o, d := range modelCalls {
		initial.remainingSends[o] = d.copies
	}
	visited, queue := map[modelState]bool{initial: true}, []modelState{initial}
	for len(queue) > 0 && len(visited) < maxStates && m.violation == "" {
		w := queue[0]
		queue = queue[1:]
		for _, n := range m.successors(w) {
			if !visited[n] {
				visited[n] = true
				queue = append(queue, n)
			}
		}
	}
	return len(visited), m.violation
}

// Copies of orders come in all orders, through nodes that are behind, around leaders that are lost, before and after snapshots:
// of two under one number one is taken, what was taken is confirmed or left unclear, and what was refused stays out.
func TestModelOfConfigurationCalls(t *testing.T) {
	stateCount, violation := exploreStates(TestingKnobs{}, 150_000)
	must.Eq(t, "", violation)
	t.Log(stateCount, "worlds")
	for want, knobs := range knobsByViolation {
		stateCount, violation := exploreStates(knobs, 150_000)
		must.Eq(t, want, violation)
		t.Logf("%q found after %d worlds", want, stateCount)
	}
}
