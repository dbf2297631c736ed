package callhistory

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"clovergap/internal/gateway/coordination"
)

// historyBuilder builds a history of sequential calls.
type historyBuilder struct {
	records []*Record
	now     time.Duration
}

// addRecord adds a call that takes 1 ns, 1 ns after the end of the previous call.
func (h *historyBuilder) addRecord(call coordination.Call, result coordination.Result) *Record {
	r := &Record{Caller: "a", Call: call, Sent: h.now, Ended: h.now + 1, Result: result}
	h.now += 2
	h.records = append(h.records, r)
	return r
}

func (h *historyBuilder) addAcquire(holder string, token uint64, ttl time.Duration) *Record {
	return h.addRecord(coordination.Call{Operation: coordination.LockAcquire, Name: "l", Holder: holder, TTL: ttl}, coordination.Result{FencingToken: token})
}

func (h *historyBuilder) addRelease(holder string, token uint64) *Record {
	return h.addRecord(coordination.Call{Operation: coordination.LockRelease, Name: "l", Holder: holder, FencingToken: token}, coordination.Result{})
}

func (h *historyBuilder) addNumber(value uint64) *Record {
	return h.addRecord(coordination.Call{Operation: coordination.NumberNext, Name: "n"}, coordination.Result{Number: value})
}

func (h *historyBuilder) addPut(value string, expected uint64, result coordination.Result) *Record {
	return h.addRecord(coordination.Call{Operation: coordination.KeyPut, Name: "g.k", Value: value, Conditional: expected > 0, ExpectedRevision: expected}, result)
}

func (h *historyBuilder) addRead(value string, revision uint64) *Record {
	return h.addRecord(coordination.Call{Operation: coordination.KeyRead, Name: "g.k"}, coordination.Result{Value: value, Revision: revision})
}

func (h *historyBuilder) addWatch(after uint64, result coordination.Result) *Record {
	return h.addRecord(coordination.Call{Operation: coordination.KeyWatch, Name: "g.", AfterRevision: after}, result)
}

// resultWithRevision returns a successful result with the given revision.
func resultWithRevision(r uint64) coordination.Result { return coordination.Result{Revision: r} }

// watchResult returns the result of a watch that returned the given revision and events with the given revisions.
func watchResult(revision uint64, revisions ...uint64) (result coordination.Result) {
	for _, r := range revisions {
		result.Events = append(result.Events, coordination.Event{Name: "g.k", Value: fmt.Sprint("v", r), Revision: r})
	}
	result.Revision = revision
	return result
}

// TestCheckReportsEachRule guards against a check that misses a broken rule. The test checks that Check reports the rule that each faulty
// history breaks, and reports nothing for a history without faults.
func TestCheckReportsEachRule(t *testing.T) {
	conflict := coordination.Result{Status: coordination.StatusConflict, Revision: 1}
	for name, testCase := range map[string]struct {
		rule  Rule
		write func(b *historyBuilder)
	}{
		"no violation": {"", func(b *historyBuilder) {
			b.addAcquire("a", 1, 10)
			b.addRelease("a", 1)
			b.addAcquire("b", 2, 10)
			b.addNumber(1)
			b.addNumber(3)
			b.addPut("v1", 0, resultWithRevision(1))
			b.addPut("v2", 1, resultWithRevision(2))
			b.addPut("v1", 0, resultWithRevision(1)) // a repetition of the first put
			b.addPut("v3", 1, coordination.Result{Status: coordination.StatusConflict, Revision: 2})
			b.addRead("v2", 2)
			b.addWatch(1, watchResult(2, 2))
		}},
		"two holders at once": {RuleOne, func(b *historyBuilder) { b.addAcquire("a", 1, 10); b.addAcquire("b", 2, 10) }},
		"fencing token decreases": {RuleOne, func(b *historyBuilder) {
			b.addAcquire("a", 2, 10)
			b.addRelease("a", 2)
			b.addAcquire("b", 1, 10)
		}},
		"fencing token repeated": {RuleOne, func(b *historyBuilder) {
			b.addAcquire("a", 2, 10)
			b.addRelease("a", 2)
			b.addAcquire("b", 2, 10)
		}},
		"number repeated":  {RuleOrder, func(b *historyBuilder) { b.addNumber(4); b.addNumber(4) }},
		"number decreases": {RuleOrder, func(b *historyBuilder) { b.addNumber(4); b.addNumber(3) }},
		"revision decreases": {RuleOrder, func(b *historyBuilder) {
			b.addPut("v2", 0, resultWithRevision(2))
			b.addPut("v1", 0, resultWithRevision(1))
		}},
		"conditional put after a later revision": {RuleOrder, func(b *historyBuilder) {
			b.addPut("v1", 0, resultWithRevision(1))
			b.addPut("v2", 0, resultWithRevision(2))
			b.addPut("v3", 1, resultWithRevision(3))
		}},
		"conditional first put of an existing key": {RuleOrder, func(b *historyBuilder) {
			b.addPut("v1", 0, resultWithRevision(1))
			b.addPut("v2", 0, resultWithRevision(2)).Call.Conditional = true
		}},
		"watch skips a put": {RuleOrder, func(b *historyBuilder) {
			b.addPut("v1", 0, resultWithRevision(1))
			b.addPut("v2", 0, resultWithRevision(2))
			b.addPut("v3", 0, resultWithRevision(3))
			b.addWatch(1, watchResult(3, 3))
		}},
		"watch events out of order": {RuleOrder, func(b *historyBuilder) {
			b.addPut("v1", 0, resultWithRevision(1))
			b.addPut("v2", 0, resultWithRevision(2))
			b.addWatch(0, watchResult(2, 2, 1))
		}},
		"stale read": {RuleStale, func(b *historyBuilder) {
			b.addPut("v1", 0, resultWithRevision(1))
			b.addPut("v2", 0, resultWithRevision(2))
			b.addRead("v1", 1)
		}},
		"value was never put":               {RuleMixed, func(b *historyBuilder) { b.addRead("x", 1) }},
		"value with two revisions":          {RuleMixed, func(b *historyBuilder) { b.addPut("v1", 0, resultWithRevision(1)); b.addRead("v1", 2) }},
		"conflict with an unknown revision": {RuleMixed, func(b *historyBuilder) { b.addPut("v2", 0, resultWithRevision(2)); b.addPut("v3", 7, conflict) }},
		"rejected put observed": {RuleRefused, func(b *historyBuilder) {
			b.addPut("v1", 0, resultWithRevision(1))
			b.addPut("v2", 3, conflict)
			b.addWatch(1, watchResult(2, 2))
		}},
		"watch misses a put": {RuleLost, func(b *historyBuilder) {
			b.addPut("v1", 0, resultWithRevision(1))
			b.addPut("v2", 0, resultWithRevision(2))
			b.addWatch(1, watchResult(1))
		}},
		"watch cannot resume from a revision within the history retention": {RuleLost, func(b *historyBuilder) {
			b.addPut("v1", 0, resultWithRevision(1))
			b.addWatch(0, watchResult(1))
			b.addWatch(1, coordination.Result{Status: coordination.StatusCompacted})
		}},
	} {
		b := &historyBuilder{}
		testCase.write(b)
		rules := map[Rule]bool{}
		for _, v := range Check(b.records, Config{HistoryRetention: time.Second}) {
			rules[v.Rule] = true
		}
		if testCase.rule == "" {
			must.MapEmpty(t, rules, must.Sprint(name))
		} else {
			must.MapContainsKey(t, rules, testCase.rule, must.Sprint(name))
		}
	}
}

// TestLinearizableRejectsStaleRead guards against false alarms and against a missed stale read. A history of a correct system must break
// no rule and be linearizable, however its calls overlap. After a stale read is added at the end of the history, the history must not be
// linearizable.
func TestLinearizableRejectsStaleRead(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b, last, value := &historyBuilder{}, uint64(0), ""
		for i := range rapid.IntRange(2, 20).Draw(t, "calls") {
			var r *Record
			switch rapid.IntRange(0, 3).Draw(t, "call") {
			case 0:
				r = b.addRead(value, last)
				if last == 0 {
					r.Result.Status = coordination.StatusNotFound
				}
			case 1:
				r = b.addPut(fmt.Sprint("x", i), last+1, coordination.Result{Status: coordination.StatusConflict, Revision: last})
			default:
				last, value = last+1, fmt.Sprint("v", i)
				r = b.addPut(value, 0, resultWithRevision(last))
			}
			r.Sent -= time.Duration(rapid.IntRange(0, 5).Draw(t, "early")) // makes the call overlap earlier ones
			r.Ended += time.Duration(rapid.IntRange(0, 5).Draw(t, "late"))
		}
		must.SliceEmpty(t, Check(b.records, Config{HistoryRetention: time.Second}))
		broken, undecided := Linearizable(b.records, time.Minute)
		must.SliceEmpty(t, broken)
		must.SliceEmpty(t, undecided)
		b.now += 20
		b.addPut("w1", 0, resultWithRevision(last+1))
		b.now += 20
		b.addRead(value, last)
		b.records[len(b.records)-1].Result.Status = coordination.StatusOK
		broken, _ = Linearizable(b.records, time.Minute)
		must.SliceNotEmpty(t, broken)
	})
}
