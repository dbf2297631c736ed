package callhistory

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"clovergap/internal/gateway/coordination"
)

// book writes a history down, one call after the other unless it is told else.
type book struct {
	all []*Record
	now time.Duration
}

func (b *book) add(c coordination.Call, a coordination.Answer) *Record {
	r := &Record{Caller: "a", Call: c, Sent: b.now, Ended: b.now + 1, Answer: a}
	b.now += 2
	b.all = append(b.all, r)
	return r
}

func (b *book) begin(holder string, fence uint64, hold time.Duration) *Record {
	return b.add(coordination.Call{Operation: coordination.LockBegin, Name: "l", Holder: holder, Hold: hold}, coordination.Answer{Fence: fence})
}

func (b *book) finish(holder string, fence uint64) *Record {
	return b.add(coordination.Call{Operation: coordination.LockFinish, Name: "l", Holder: holder, Fence: fence}, coordination.Answer{})
}

func (b *book) number(value uint64) *Record {
	return b.add(coordination.Call{Operation: coordination.Number, Name: "n"}, coordination.Answer{Number: value})
}

func (b *book) put(value string, expected uint64, a coordination.Answer) *Record {
	return b.add(coordination.Call{Operation: coordination.KeyReplace, Name: "g.k", Value: value, Bound: expected > 0, Expected: expected}, a)
}

func (b *book) read(value string, revision uint64) *Record {
	return b.add(coordination.Call{Operation: coordination.KeyRead, Name: "g.k"}, coordination.Answer{Value: value, Revision: revision})
}

func (b *book) watch(after uint64, a coordination.Answer) *Record {
	return b.add(coordination.Call{Operation: coordination.KeyWatch, Name: "g.", After: after}, a)
}

func revision(r uint64) coordination.Answer { return coordination.Answer{Revision: r} }

func events(revision uint64, all ...uint64) (a coordination.Answer) {
	for _, r := range all {
		a.Events = append(a.Events, coordination.Event{Name: "g.k", Value: fmt.Sprint("v", r), Revision: r})
	}
	a.Revision = revision
	return a
}

// Each rule is found broken where it is, and only that.
func TestRules(t *testing.T) {
	conflict := coordination.Answer{Status: coordination.Conflict, Revision: 1}
	for name, x := range map[string]struct {
		rule  Rule
		write func(b *book)
	}{
		"none": {"", func(b *book) {
			b.begin("a", 1, 10)
			b.finish("a", 1)
			b.begin("b", 2, 10)
			b.number(1)
			b.number(3)
			b.put("v1", 0, revision(1))
			b.put("v2", 1, revision(2))
			b.put("v1", 0, revision(1)) // repeated
			b.put("v3", 1, coordination.Answer{Status: coordination.Conflict, Revision: 2})
			b.read("v2", 2)
			b.watch(1, events(2, 2))
		}},
		"two hold": {One, func(b *book) { b.begin("a", 1, 10); b.begin("b", 2, 10) }},
		"fence falls": {One, func(b *book) {
			b.begin("a", 2, 10)
			b.finish("a", 2)
			b.begin("b", 1, 10)
		}},
		"same fence": {One, func(b *book) {
			b.begin("a", 2, 10)
			b.finish("a", 2)
			b.begin("b", 2, 10)
		}},
		"number twice":   {Order, func(b *book) { b.number(4); b.number(4) }},
		"number falls":   {Order, func(b *book) { b.number(4); b.number(3) }},
		"revision falls": {Order, func(b *book) { b.put("v2", 0, revision(2)); b.put("v1", 0, revision(1)) }},
		"put over later": {Order, func(b *book) { b.put("v1", 0, revision(1)); b.put("v2", 0, revision(2)); b.put("v3", 1, revision(3)) }},
		"put over a first": {Order, func(b *book) {
			b.put("v1", 0, revision(1))
			b.put("v2", 0, revision(2)).Call.Bound = true
		}},
		"watch skips": {Order, func(b *book) {
			b.put("v1", 0, revision(1))
			b.put("v2", 0, revision(2))
			b.put("v3", 0, revision(3))
			b.watch(1, events(3, 3))
		}},
		"watch falls":     {Order, func(b *book) { b.put("v1", 0, revision(1)); b.put("v2", 0, revision(2)); b.watch(0, events(2, 2, 1)) }},
		"read is old":     {Stale, func(b *book) { b.put("v1", 0, revision(1)); b.put("v2", 0, revision(2)); b.read("v1", 1) }},
		"nobody put it":   {Mixed, func(b *book) { b.read("x", 1) }},
		"two revisions":   {Mixed, func(b *book) { b.put("v1", 0, revision(1)); b.read("v1", 2) }},
		"no put gave it":  {Mixed, func(b *book) { b.put("v2", 0, revision(2)); b.put("v3", 7, conflict) }},
		"turned away":     {Refused, func(b *book) { b.put("v1", 0, revision(1)); b.put("v2", 3, conflict); b.watch(1, events(2, 2)) }},
		"watch is behind": {Lost, func(b *book) { b.put("v1", 0, revision(1)); b.put("v2", 0, revision(2)); b.watch(1, events(1)) }},
		"history is short": {Lost, func(b *book) {
			b.put("v1", 0, revision(1))
			b.watch(0, events(1))
			b.watch(1, coordination.Answer{Status: coordination.Compacted})
		}},
	} {
		b := &book{}
		x.write(b)
		rules := map[Rule]bool{}
		for _, v := range Check(b.all, Terms{History: time.Second}) {
			rules[v.Rule] = true
		}
		if x.rule == "" {
			must.MapEmpty(t, rules, must.Sprint(name))
		} else {
			must.MapContainsKey(t, rules, x.rule, must.Sprint(name))
		}
	}
}

// A history that a right system gives, whatever order its calls overlap in, breaks nothing and is linearizable; with one answer changed,
// the linearizability checker says so.
func TestLinearizable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b, last, value := &book{}, uint64(0), ""
		for i := range rapid.IntRange(2, 20).Draw(t, "calls") {
			var r *Record
			switch rapid.IntRange(0, 3).Draw(t, "call") {
			case 0:
				r = b.read(value, last)
				if last == 0 {
					r.Answer.Status = coordination.NotFound
				}
			case 1:
				r = b.put(fmt.Sprint("x", i), last+1, coordination.Answer{Status: coordination.Conflict, Revision: last})
			default:
				last, value = last+1, fmt.Sprint("v", i)
				r = b.put(value, 0, revision(last))
			}
			r.Sent -= time.Duration(rapid.IntRange(0, 5).Draw(t, "early")) // it overlaps those before
			r.Ended += time.Duration(rapid.IntRange(0, 5).Draw(t, "late"))
		}
		must.SliceEmpty(t, Check(b.all, Terms{History: time.Second}))
		broken, undecided := Linearizable(b.all, time.Minute)
		must.SliceEmpty(t, broken)
		must.SliceEmpty(t, undecided)
		b.now += 20
		b.put("w1", 0, revision(last+1))
		b.now += 20
		b.read(value, last)
		b.all[len(b.all)-1].Answer.Status = coordination.OK
		broken, _ = Linearizable(b.all, time.Minute)
		must.SliceNotEmpty(t, broken)
	})
}
