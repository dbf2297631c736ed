package callhistory

import (
	"time"

	"github.com/anishathalye/porcupine"

	"clovergap/internal/gateway/coordination"
)

// modelCall is a call on one key or counter in the form that the linearizability checker processes.
type modelCall struct {
	operation   coordination.Operation
	status      coordination.Status
	conditional bool
	expected    uint64 // revision that a conditional put expects the key to have
	// result is the number that a counter returned, the revision that a successful put created, or the key's current revision in the answer
	// to a read or to a put that ended with a conflict. The result is 0 if the key has no value.
	result uint64
	value  string // value that the call put or read
}

// modelState is the state of a key or a counter.
type modelState struct {
	value string
	last  uint64 // the newest number that the counter returned or the revision of the key's newest put, or 0 before the first call or put
}

// callModel is the sequential model of a key or a counter, which processes one call at a time. The keys of a key group share its sequence of
// revisions, so the revisions of one key have gaps.
var callModel = porcupine.Model{
	Init: func() any { return modelState{} },
	Step: func(state, input, _ any) (bool, any) {
		current, call := state.(modelState), input.(modelCall)
		switch {
		case call.operation == coordination.NumberNext:
			return call.result > current.last, modelState{last: call.result}
		case call.operation == coordination.KeyPut && call.status == coordination.StatusOK:
			isExpected := !call.conditional || call.expected == current.last
			return call.result > current.last && isExpected, modelState{value: call.value, last: call.result}
		case call.operation == coordination.KeyPut: // the put ended with a conflict
			return call.result == current.last && call.expected != current.last, state
		}
		return call.result == current.last && call.value == current.value, state
	},
	Equal: func(a, b any) bool { return a == b },
}

// Linearizable checks that the calls on each counter and each key are linearizable. Calls are linearizable if some sequential order of
// the calls explains all answers, where each call takes effect between the time it was sent and the time it ended. The check of one
// counter or key stops after timeout. undecided lists the names of the counters and keys whose check timed out.
func Linearizable(history []*Record, timeout time.Duration) (violations []Violation, undecided []string) {
	c := newChecker(history, Config{})
	c.collectPuts()
	c.recordWatchEvents()
	check := func(name string, calls []porcupine.Operation) {
		switch porcupine.CheckOperationsTimeout(callModel, calls, timeout) {
		case porcupine.Illegal:
			violations = append(violations, Violation{Rule: RuleOrder, Text: name + ": calls are not linearizable: no order of the calls explains the answers"})
		case porcupine.Unknown:
			undecided = append(undecided, name)
		}
	}
	numbers := c.recordsByName[coordination.NumberNext]
	for _, name := range sortedKeys(numbers) {
		check(name, numberOperations(numbers[name]))
	}
	byKey := c.putsByKey()
	for _, key := range sortedKeys(byKey) {
		check(key, c.keyOperations(key, byKey[key]))
	}
	return violations, undecided
}

// newOperation returns a call as an operation of the porcupine library.
func newOperation(sent, ended time.Duration, call modelCall) porcupine.Operation {
	return porcupine.Operation{Input: call, Call: int64(sent), Return: int64(ended)}
}

// numberOperations returns the successful calls on a counter as operations.
func numberOperations(records []*Record) (operations []porcupine.Operation) {
	for _, r := range succeededRecords(records) {
		call := modelCall{operation: coordination.NumberNext, result: r.Result.Number}
		operations = append(operations, newOperation(r.Sent, r.Ended, call))
	}
	return operations
}

// keyOperations returns the puts, the conflicts and the reads of a key as operations. A put that was sent several times is one operation.
func (c *checker) keyOperations(key string, puts []*put) []porcupine.Operation {
	// readOperations must run first, because a read may return the revision of a put that got no answer.
	reads := c.readOperations(key)
	operations, known, firstUnknown := putOperations(puts)
	operations = append(operations, conflictOperations(puts, known, firstUnknown)...)
	return append(operations, reads...)
}

// readOperations returns the reads of a key as operations. It also stores the values and revisions that the reads returned in
// the corresponding puts.
func (c *checker) readOperations(key string) (operations []porcupine.Operation) {
	for _, r := range c.recordsByName[coordination.KeyRead][key] {
		isNotFound := r.IsDefinite() && r.Result.Status == coordination.StatusNotFound
		if !r.Succeeded() && !isNotFound {
			continue
		}
		if r.Succeeded() {
			c.recordObserved(r, key, r.Result.Value, r.Result.Revision)
		}
		call := modelCall{operation: coordination.KeyRead, result: r.Result.Revision, value: r.Result.Value}
		operations = append(operations, newOperation(r.Sent, r.Ended, call))
	}
	return operations
}

// putOperations returns the puts whose revision is known as operations, and the set of these revisions. firstUnknown is the time at which
// the first ambiguous put without a known revision was sent, or Never if there is no such put.
func putOperations(puts []*put) (operations []porcupine.Operation, known map[uint64]bool, firstUnknown time.Duration) {
	known, firstUnknown = map[uint64]bool{}, Never
	for _, p := range puts {
		revision := p.revision()
		if revision == 0 {
			if p.ambiguous {
				firstUnknown = min(firstUnknown, p.firstSent.Sent)
			}
			continue
		}
		known[revision] = true
		ended := Never
		if p.firstSuccess != nil {
			ended = p.firstSuccess.Ended
		}
		first := &p.firstSent.Call
		call := modelCall{operation: coordination.KeyPut, conditional: first.Conditional, expected: first.ExpectedRevision, result: revision,
			value: p.value}
		operations = append(operations, newOperation(p.firstSent.Sent, ended, call))
	}
	return operations, known, firstUnknown
}

// conflictOperations returns the puts that ended with a conflict as operations. The answer of such a put contains the current revision of
// the key. This revision may belong to an ambiguous put whose value no call returned. conflictOperations adds an operation for each such
// ambiguous put.
func conflictOperations(puts []*put, known map[uint64]bool, firstUnknown time.Duration) (operations []porcupine.Operation) {
	for _, p := range puts {
		for _, r := range p.rejections {
			if r.Result.Status != coordination.StatusConflict {
				continue
			}
			revision := r.Result.Revision
			if revision > 0 && !known[revision] {
				known[revision] = true
				unseen := modelCall{operation: coordination.KeyPut, result: revision}
				operations = append(operations, newOperation(firstUnknown, Never, unseen))
			}
			call := modelCall{operation: coordination.KeyPut, status: coordination.StatusConflict, expected: r.Call.ExpectedRevision,
				result: revision}
			operations = append(operations, newOperation(r.Sent, r.Ended, call))
		}
	}
	return operations
}
