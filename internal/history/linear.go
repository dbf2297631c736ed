package history

import (
	"fmt"
	"time"

	"github.com/anishathalye/porcupine"
)

// operation is an operation on a register or a lock; result is what it returned.
type operation struct {
	key, what, who string
	value          float64
}

type result struct {
	value   float64
	ok      bool
	unknown bool // it never returned: it may have happened or not
}

// registers reads (N of the return), writes (N of the invoke) and compares and swaps ("swap OLD": N is the new one).
var registers = porcupine.Model{
	Init: func() any { return 0.0 },
	Step: func(state, in, out any) (bool, any) {
		s, o, r := state.(float64), in.(operation), out.(result)
		var old float64
		if n, _ := fmt.Sscanf(o.what, "swap %g", &old); n == 1 {
			if r.unknown && s != old {
				return true, s
			}
			if s == old {
				return r.ok || r.unknown, o.value
			}
			return !r.ok, s
		}
		if o.what == "write" {
			return true, o.value
		}
		return r.unknown || r.value == s, s
	},
	DescribeOperation: func(in, out any) string { return fmt.Sprint(in, out) },
}

// locks take ("lock", which fails if OK is false) and give back ("unlock"); the state is the holder.
var locks = porcupine.Model{
	Init: func() any { return "" },
	Step: func(state, in, out any) (bool, any) {
		s, o, r := state.(string), in.(operation), out.(result)
		if o.what == "lock" {
			switch {
			case s == "" && (r.ok || r.unknown):
				return true, o.who
			case r.ok:
				return false, s
			}
			return s != "" || r.unknown, s
		}
		if s == o.who {
			return r.ok || r.unknown, ""
		}
		return !r.ok, s
	},
	DescribeOperation: func(in, out any) string { return fmt.Sprint(in, out) },
}

// Registers tells whether the operations on each register could have happened one after another, each between its
// call and its return. An answer that cannot be found within the time is told as such.
func Registers(h []Event, most time.Duration) []Violation {
	return checkLinearizable(h, registers, most)
}

// Locks does so for locks.
func Locks(h []Event, most time.Duration) []Violation { return checkLinearizable(h, locks, most) }

func checkLinearizable(h []Event, model porcupine.Model, most time.Duration) (bad []Violation) {
	type call struct{ who, key, txn string }
	open, byKey, ids := map[call]Event{}, map[string][]porcupine.Operation{}, map[string]int{}
	var keys []string
	add := func(e Event, to time.Duration, r result) {
		if _, ok := ids[e.Who]; !ok {
			ids[e.Who] = len(ids)
		}
		if byKey[e.Key] == nil {
			keys = append(keys, e.Key)
		}
		byKey[e.Key] = append(byKey[e.Key], porcupine.Operation{ClientId: ids[e.Who], Input: operation{e.Key, e.What, e.Who, e.Number}, Call: int64(e.Time),
			Output: r, Return: int64(to)})
	}
	for _, e := range h {
		k := call{e.Who, e.Key, e.Txn}
		switch e.Kind {
		case Invoke:
			open[k] = e
		case Return:
			if in, ok := open[k]; ok {
				delete(open, k)
				add(in, e.Time, result{value: e.Number, ok: e.Success})
			}
		}
	}
	for _, e := range h { // in their order, not the map's
		if in, ok := open[call{e.Who, e.Key, e.Txn}]; e.Kind == Invoke && ok && in.Time == e.Time {
			add(in, forever, result{unknown: true})
		}
	}
	for _, k := range keys {
		switch porcupine.CheckOperationsTimeout(model, byKey[k], most) {
		case porcupine.Illegal:
			bad = append(bad, Violation{Rule: "linearizable", Time: time.Duration(byKey[k][len(byKey[k])-1].Return), Key: k,
				What: fmt.Sprintf("no order of its %d operations explains what they returned", len(byKey[k]))})
		case porcupine.Unknown:
			bad = append(bad, Violation{Rule: "linearizable", Key: k, What: fmt.Sprintf("not known within %s: %d operations", most, len(byKey[k])), Timed: true})
		}
	}
	return bad
}
