package callhistory

import (
	"time"

	"github.com/anishathalye/porcupine"

	"clovergap/internal/gateway/coordination"
)

// modelCall is a call on one name, for the linearizability checker.
type modelCall struct {
	operation coordination.Operation
	status    coordination.Status
	bound     bool
	expected  uint64
	result    uint64 // revision or number
	value     string
}

// modelState is a key or a counter.
type modelState struct {
	value    string
	revision uint64
}

// callModel is a key or a counter that does one call at a time.
var callModel = porcupine.Model{
	Init: func() any { return modelState{} },
	Step: func(state, input, _ any) (bool, any) {
		now, x := state.(modelState), input.(modelCall)
		switch {
		case x.operation == coordination.NumberNext:
			return x.result > now.revision, modelState{revision: x.result}
		case x.operation == coordination.KeyPut && x.status == coordination.StatusOK:
			return x.result > now.revision && (!x.bound || x.expected == now.revision), modelState{x.value, x.result}
		case x.operation == coordination.KeyPut:
			return x.result == now.revision && x.expected != now.revision, state
		}
		return x.result == now.revision && x.value == now.value, state
	},
	Equal: func(a, b any) bool { return a == b },
}

// Linearizable checks that the calls on each counter and key could have been done one at a time, each between its sending and its end.
// Names that take longer than so long are named as not decided.
func Linearizable(all []*Record, most time.Duration) (broken []Violation, undecided []string) {
	c := newChecker(all, Config{})
	c.collectPuts()
	for _, name := range sortedNames(c.recordsByName[coordination.KeyWatch]) {
		for _, r := range c.recordsByName[coordination.KeyWatch][name] {
			for _, e := range r.Result.Events {
				c.recordObserved(r, e.Name, e.Value, e.Revision)
			}
		}
	}
	check := func(name string, calls []porcupine.Operation) {
		switch porcupine.CheckOperationsTimeout(callModel, calls, most) {
		case porcupine.Illegal:
			broken = append(broken, Violation{RuleOrder, name + ": no order of its calls gives these answers"})
		case porcupine.Unknown:
			undecided = append(undecided, name)
		}
	}
	for _, name := range sortedNames(c.recordsByName[coordination.NumberNext]) {
		var calls []porcupine.Operation
		for _, r := range c.recordsByName[coordination.NumberNext][name] {
			if r.Succeeded() {
				calls = append(calls, newOperation(r.Sent, r.Ended, modelCall{operation: coordination.NumberNext, result: r.Result.Number}))
			}
		}
		check(name, calls)
	}
	byKey := map[string][]*put{}
	for _, name := range sortedNames(c.puts) {
		byKey[c.puts[name].key] = append(byKey[c.puts[name].key], c.puts[name])
	}
	for _, key := range sortedNames(byKey) {
		check(key, c.keyOperations(key, byKey[key]))
	}
	return broken, undecided
}

func newOperation(sent, ended time.Duration, s modelCall) porcupine.Operation {
	return porcupine.Operation{Input: s, Call: int64(sent), Return: int64(ended)}
}

// keyOperations are a key's puts, once each however often they were sent, its refusals and its reads. Reads show further puts that got no clear
// answer; a refusal may show the revision of one whose value nobody saw.
func (c *checker) keyOperations(key string, puts []*put) (calls []porcupine.Operation) {
	var reads []*Record
	for _, r := range c.recordsByName[coordination.KeyRead][key] {
		if r.Succeeded() {
			c.recordObserved(r, key, r.Result.Value, r.Result.Revision)
			reads = append(reads, r)
		} else if r.IsDefinite() && r.Result.Status == coordination.StatusNotFound {
			reads = append(reads, r)
		}
	}
	known, unseen := map[uint64]bool{}, Never
	for _, p := range puts {
		ended := Never
		if p.firstSuccess != nil {
			ended = p.firstSuccess.Ended
		}
		if at := p.revision(); at > 0 {
			known[at] = true
			calls = append(calls, newOperation(p.firstSent.Sent, ended, modelCall{operation: coordination.KeyPut, bound: p.firstSent.Call.Conditional, expected: p.firstSent.Call.ExpectedRevision,
				result: at, value: p.value}))
		} else if p.ambiguous {
			unseen = min(unseen, p.firstSent.Sent)
		}
	}
	for _, p := range puts {
		for _, r := range p.rejections {
			if r.Result.Status != coordination.StatusConflict {
				continue
			}
			if at := r.Result.Revision; at > 0 && !known[at] {
				known[at] = true
				calls = append(calls, newOperation(unseen, Never, modelCall{operation: coordination.KeyPut, result: at}))
			}
			calls = append(calls, newOperation(r.Sent, r.Ended, modelCall{operation: coordination.KeyPut, status: coordination.StatusConflict,
				expected: r.Call.ExpectedRevision, result: r.Result.Revision}))
		}
	}
	for _, r := range reads {
		calls = append(calls, newOperation(r.Sent, r.Ended, modelCall{operation: coordination.KeyRead, result: r.Result.Revision, value: r.Result.Value}))
	}
	return calls
}
