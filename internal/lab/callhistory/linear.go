package callhistory

import (
	"time"

	"github.com/anishathalye/porcupine"

	"clovergap/internal/gateway/coordination"
)

// step is a call on one name, for the linearizability checker.
type step struct {
	operation coordination.Operation
	status    coordination.Status
	bound     bool
	expected  uint64
	result    uint64 // revision or number
	value     string
}

// nameState is a key or a counter.
type nameState struct {
	value string
	last  uint64
}

// model is a key or a counter that does one call at a time.
var model = porcupine.Model{
	Init: func() any { return nameState{} },
	Step: func(state, input, _ any) (bool, any) {
		now, x := state.(nameState), input.(step)
		switch {
		case x.operation == coordination.Number:
			return x.result > now.last, nameState{last: x.result}
		case x.operation == coordination.KeyReplace && x.status == coordination.OK:
			return x.result > now.last && (!x.bound || x.expected == now.last), nameState{x.value, x.result}
		case x.operation == coordination.KeyReplace:
			return x.result == now.last && x.expected != now.last, state
		}
		return x.result == now.last && x.value == now.value, state
	},
	Equal: func(a, b any) bool { return a == b },
}

// Linearizable checks that the calls on each counter and key could have been done one at a time, each between its sending and its end.
// Names that take longer than so long are named as not decided.
func Linearizable(all []*Record, most time.Duration) (broken []Violation, undecided []string) {
	c := newChecker(all, Terms{})
	c.gather()
	for _, name := range sortedNames(c.byName[coordination.KeyWatch]) {
		for _, r := range c.byName[coordination.KeyWatch][name] {
			for _, e := range r.Answer.Events {
				c.shows(r, e.Name, e.Value, e.Revision)
			}
		}
	}
	check := func(name string, calls []porcupine.Operation) {
		switch porcupine.CheckOperationsTimeout(model, calls, most) {
		case porcupine.Illegal:
			broken = append(broken, Violation{Order, name + ": no order of its calls gives these answers"})
		case porcupine.Unknown:
			undecided = append(undecided, name)
		}
	}
	for _, name := range sortedNames(c.byName[coordination.Number]) {
		var calls []porcupine.Operation
		for _, r := range c.byName[coordination.Number][name] {
			if r.Good() {
				calls = append(calls, operation(r.Sent, r.Ended, step{operation: coordination.Number, result: r.Answer.Number}))
			}
		}
		check(name, calls)
	}
	byKey := map[string][]*put{}
	for _, name := range sortedNames(c.puts) {
		byKey[c.puts[name].key] = append(byKey[c.puts[name].key], c.puts[name])
	}
	for _, key := range sortedNames(byKey) {
		check(key, c.callsOn(key, byKey[key]))
	}
	return broken, undecided
}

func operation(sent, ended time.Duration, s step) porcupine.Operation {
	return porcupine.Operation{Input: s, Call: int64(sent), Return: int64(ended)}
}

// callsOn are a key's puts, once each however often they were sent, its refusals and its reads. Reads show further puts that got no clear
// answer; a refusal may show the revision of one whose value nobody saw.
func (c *checker) callsOn(key string, puts []*put) (calls []porcupine.Operation) {
	var reads []*Record
	for _, r := range c.byName[coordination.KeyRead][key] {
		if r.Good() {
			c.shows(r, key, r.Answer.Value, r.Answer.Revision)
			reads = append(reads, r)
		} else if r.Clear() && r.Answer.Status == coordination.NotFound {
			reads = append(reads, r)
		}
	}
	known, unseen := map[uint64]bool{}, Never
	for _, p := range puts {
		ended := Never
		if p.good != nil {
			ended = p.good.Ended
		}
		if at := p.revision(); at > 0 {
			known[at] = true
			calls = append(calls, operation(p.first.Sent, ended, step{operation: coordination.KeyReplace, bound: p.first.Call.Bound, expected: p.first.Call.Expected,
				result: at, value: p.value}))
		} else if p.open {
			unseen = min(unseen, p.first.Sent)
		}
	}
	for _, p := range puts {
		for _, r := range p.refusals {
			if r.Answer.Status != coordination.Conflict {
				continue
			}
			if at := r.Answer.Revision; at > 0 && !known[at] {
				known[at] = true
				calls = append(calls, operation(unseen, Never, step{operation: coordination.KeyReplace, result: at}))
			}
			calls = append(calls, operation(r.Sent, r.Ended, step{operation: coordination.KeyReplace, status: coordination.Conflict,
				expected: r.Call.Expected, result: r.Answer.Revision}))
		}
	}
	for _, r := range reads {
		calls = append(calls, operation(r.Sent, r.Ended, step{operation: coordination.KeyRead, result: r.Answer.Revision, value: r.Answer.Value}))
	}
	return calls
}
