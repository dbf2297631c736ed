package routing

import (
	"fmt"
	"slices"
	"testing"

	"github.com/shoenig/test/must"

	"clovergap/internal/gateway/logentry"
)

// modelCalls are the calls that the operators send in the model. The parent of a call is the configuration version that the call
// replaces or amends. The first two calls differ but have the same generation, 5. The third call is an Amend with parent 5. The fourth
// call is a Replace whose parent is the result of the Amend. The fifth call is invalid in every state, since its generation is not above
// its parent. Each call is sent at most copies times.
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
	modelWindow = 1 // digests that the window of accepted calls holds
)

// modelState is a state of the model: the replicated log, the part of the log that each node has applied, and the calls that were
// rejected. Calls are numbered by their index in modelCalls. A call in rejected must never be accepted later.
type modelState struct {
	log            string               // committed entries; each rune is the index of a call
	pending        string               // proposed entries, neither committed nor lost
	remainingSends [8]int8              // copies of each call that may still be sent
	appliedCount   [modelNodes]int8     // log entries that each node has applied
	snapshotIndex  [modelNodes + 1]int8 // log length at the last snapshot that each node restored; the leader is last
	rejected       [8]bool              // calls that were rejected when their parent version was at or below the current version
}

// model computes the successors of states and checks each answer against referenceState, which keeps all accepted calls.
type model struct {
	knobs     TestingKnobs
	registers map[string]*Register
	violation string
}

// registerAfter returns the register of a node that applied the log and restored its own snapshot after the first restoredAt entries. If
// restoredAt is 0, the node restored no snapshot.
func (m *model) registerAfter(log string, restoredAt int8) *Register {
	key := fmt.Sprint(log, restoredAt)
	if r := m.registers[key]; r != nil {
		return r
	}
	r := &Register{accepted: logentry.NewDedupWindow(modelWindow * 17), knobs: m.knobs}
	for i, callIndex := range log {
		r.Apply(modelCalls[callIndex].kind, []byte(modelCalls[callIndex].body))
		if int8(i)+1 == restoredAt {
			r, _ = restoreWithWindow(r.Snapshot(), modelWindow*17)
			r.knobs = m.knobs
		}
	}
	m.registers[key] = r
	return r
}

// referenceState returns the version after a log, and the calls that were accepted, in order. It never forgets an accepted call.
func referenceState(log string) (version uint64, accepted []int) {
	for _, callIndex := range log {
		call := modelCalls[callIndex]
		if call.parent == version && call.generation > version && !slices.Contains(accepted, int(callIndex)) {
			version, accepted = call.generation, append(accepted, int(callIndex))
		}
	}
	return version, accepted
}

// checkAnswer records a violation if the answer to a call contradicts the log.
func (m *model) checkAnswer(state *modelState, callIndex int, result Result) {
	version, accepted := referenceState(state.log)
	index, call := slices.Index(accepted, callIndex), modelCalls[callIndex]
	switch {
	case (result == Accepted || result == Duplicate) && index < 0:
		m.violation = "call that was never accepted was answered with Accepted or Duplicate"
	case result != Accepted && result != Duplicate && index >= len(accepted)-modelWindow && index >= 0:
		m.violation = "one of the last accepted calls was answered with neither Accepted nor Duplicate"
	case (result == Conflict || result == Invalid) && index >= 0:
		m.violation = "accepted call was answered with Conflict or Invalid"
	case (result == Conflict || result == Invalid) && call.parent == version && call.generation > version:
		m.violation = "call that is valid in the newest state was answered with Conflict or Invalid"
	case result == Ambiguous && (len(accepted) <= modelWindow || call.generation > modelCalls[accepted[len(accepted)-modelWindow-1]].generation):
		m.violation = "call above the horizon was answered with Ambiguous"
	case result == Conflict || result == Invalid:
		state.rejected[callIndex] = state.rejected[callIndex] || call.parent <= version
	}
}

// successors returns every state that can follow a state in one step.
func (m *model) successors(state modelState) (all []modelState) {
	addSuccessor := func(do func(state *modelState)) {
		next := state
		do(&next)
		all = append(all, next)
	}
	for callIndex, call := range modelCalls {
		for i := range state.appliedCount {
			if state.remainingSends[callIndex] == 0 {
				continue
			}
			addSuccessor(func(state *modelState) {
				state.remainingSends[callIndex]--
				if result, _, final := m.registerAfter(state.log[:state.appliedCount[i]], state.snapshotIndex[i]).DecideFinal(call.kind,
					[]byte(call.body)); final {
					m.checkAnswer(state, callIndex, result)
				} else {
					state.pending += string(rune(callIndex))
				}
			})
		}
	}
	if state.pending != "" {
		addSuccessor(func(state *modelState) { state.pending = "" }) // a new leader lacks the proposed entries; operators get no answer
		addSuccessor(func(state *modelState) {
			callIndex := int(state.pending[0])
			result, _ := m.registerAfter(state.log, state.snapshotIndex[modelNodes]).Decide(modelCalls[callIndex].kind, []byte(modelCalls[callIndex].body))
			state.log, state.pending = state.log+state.pending[:1], state.pending[1:]
			if result == Accepted && state.rejected[callIndex] {
				m.violation = "rejected call was accepted later"
			}
			m.checkAnswer(state, callIndex, result)
		})
	}
	for i := range state.appliedCount {
		if int(state.appliedCount[i]) < len(state.log) {
			addSuccessor(func(state *modelState) { state.appliedCount[i]++ })
		}
		if state.snapshotIndex[i] != state.appliedCount[i] {
			addSuccessor(func(state *modelState) { state.snapshotIndex[i] = state.appliedCount[i] }) // the node restarts from its snapshot
		}
	}
	if int(state.snapshotIndex[modelNodes]) != len(state.log) {
		addSuccessor(func(state *modelState) { state.snapshotIndex[modelNodes] = int8(len(state.log)) })
	}
	return all
}

// exploreStates visits up to maxStates states, breadth first, until it finds a violation. It returns the number of states that it
// found and the violation, "" if there is none.
func exploreStates(knobs TestingKnobs, maxStates int) (stateCount int, violation string) {
	m := &model{knobs: knobs, registers: map[string]*Register{}}
	initial := modelState{}
	for callIndex, call := range modelCalls {
		initial.remainingSends[callIndex] = call.copies
	}
	visited, queue := map[modelState]bool{initial: true}, []modelState{initial}
	for len(queue) > 0 && len(visited) < maxStates && m.violation == "" {
		state := queue[0]
		queue = queue[1:]
		for _, successor := range m.successors(state) {
			if !visited[successor] {
				visited[successor] = true
				queue = append(queue, successor)
			}
		}
	}
	return len(visited), m.violation
}

// Guards against lost and duplicate configuration changes. The model sends copies of calls in every order through nodes that lag behind,
// and loses leaders and restores snapshots in between. One of two calls with the same generation is accepted, an accepted call is
// answered with Accepted, Duplicate or Ambiguous, and a rejected call is never accepted later.
func TestModelOfConfigurationCalls(t *testing.T) {
	stateCount, violation := exploreStates(TestingKnobs{}, 150_000)
	must.Eq(t, "", violation)
	t.Log(stateCount, "states explored")
	for want, knobs := range knobsByViolation {
		stateCount, violation := exploreStates(knobs, 150_000)
		must.Eq(t, want, violation)
		t.Logf("violation %q found after states=%d", want, stateCount)
	}
}
