package coordination

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// drawEntry draws an entry of a few names, some time after the one before.
func drawEntry(t *rapid.T, at *time.Duration, sequence uint32) []byte {
	*at += time.Duration(rapid.IntRange(0, 3000).Draw(t, "pause")) * time.Millisecond
	draw := func(what string, most int) string { return fmt.Sprint(what, rapid.IntRange(0, most).Draw(t, what)) }
	x := entry{logTime: *at, callID: CallID{Incarnation: 5, Sequence: sequence - uint32(rapid.IntRange(0, 1).Draw(t, "copy"))}}
	x.call = Call{Operation: Operation(rapid.IntRange(int(LockAcquire), int(KeyPut)).Draw(t, "operation")), Name: draw("n", 2),
		Holder: draw("h", 2), FencingToken: uint64(rapid.IntRange(0, 4).Draw(t, "fence")), Value: draw("v", 30),
		TTL: time.Duration(rapid.IntRange(1, 5000).Draw(t, "hold")) * time.Millisecond, Conditional: rapid.Bool().Draw(t, "bound"),
		ExpectedRevision: uint64(rapid.IntRange(0, 3).Draw(t, "expected"))}
	return x.encode()
}

// A member that restores a snapshot goes on like one that applied all entries: the same results, the same bytes.
func TestRestoredStateContinues(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := NewState(time.Second), NewState(time.Second)
		var at time.Duration
		for index := range uint32(rapid.IntRange(1, 60).Draw(t, "entries")) {
			if rapid.IntRange(0, 9).Draw(t, "restores") == 0 {
				must.NoError(t, b.Restore(a.Snapshot()))
			}
			x := drawEntry(t, &at, index)
			must.Eq(t, a.Apply(uint64(index), x), b.Apply(uint64(index), x))
		}
		must.Eq(t, a.Snapshot(), b.Snapshot())
		must.Eq(t, a.keys.bytes, b.keys.bytes)
		must.Eq(t, a.keys.historyBytes, b.keys.historyBytes)
	})
}

// Bytes that are no entry, or no snapshot, change nothing.
func TestCorruptBytes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := NewState(time.Second)
		var at time.Duration
		for index := range uint32(10) {
			s.Apply(uint64(index), drawEntry(t, &at, index))
		}
		before := s.Snapshot()
		s.Apply(11, rapid.SliceOf(rapid.Byte()).Draw(t, "entry"))
		after := s.Snapshot()
		if cut := rapid.IntRange(1, len(before)-1).Draw(t, "cut"); s.Restore(before[:cut]) != nil {
			must.Eq(t, after, s.Snapshot())
		}
	})
}

// All tables are bounded. What exceeds a bound is rejected with StatusLimitReached.
func TestBounds(t *testing.T) {
	s := NewState(time.Second)
	apply := func(c Call, at time.Duration) Result {
		x := entry{call: c, logTime: at, callID: CallID{1, uint32(at)}}
		a, err := decodeResult(s.Apply(1, x.encode()))
		must.NoError(t, err)
		return a
	}
	for i := range maxLocks + 1 {
		a := apply(Call{Operation: LockAcquire, Name: fmt.Sprint("l", i), Holder: "h", TTL: time.Second}, time.Duration(i)*time.Microsecond)
		must.Eq(t, i == maxLocks, a.Status == StatusLimitReached)
	}
	// Locks whose lease has expired make room.
	must.Eq(t, StatusOK, apply(Call{Operation: LockAcquire, Name: "l", Holder: "h", TTL: time.Second}, time.Minute).Status)
	for i := range maxNumbers + 1 {
		must.Eq(t, i == maxNumbers, apply(Call{Operation: NumberNext, Name: fmt.Sprint("n", i)}, time.Minute).Status == StatusLimitReached)
	}
	value, full := strings.Repeat("x", MaxValueBytes), 0
	for i := range maxKeyBytes/MaxValueBytes + 100 {
		if apply(Call{Operation: KeyPut, Name: fmt.Sprint("g.", i), Value: value + fmt.Sprint(i)}, time.Minute).Status == StatusLimitReached {
			full++
		}
	}
	must.Positive(t, full)
	must.LessEq(t, maxKeyBytes, s.keys.bytes)
	must.LessEq(t, maxHistoryBytes+2*MaxValueBytes, s.keys.historyBytes)
	for i := range maxRememberedPuts + 100 {
		apply(Call{Operation: KeyPut, Name: "g.0", Value: fmt.Sprint("w", i)}, time.Minute)
	}
	must.MapLen(t, maxRememberedPuts, s.keys.putRevisions)
}

// A repeated put gets its first revision, though the key has another one by then.
func TestRepeatedPut(t *testing.T) {
	s := NewState(time.Second)
	put := func(value string, expected uint64) Result {
		return s.put(&Call{Operation: KeyPut, Name: "g.k", Value: value, Conditional: true, ExpectedRevision: expected})
	}
	must.Eq(t, Result{Revision: 1}, put("a", 0))
	must.Eq(t, Result{Revision: 2}, put("b", 1))
	must.Eq(t, Result{Revision: 2}, put("b", 1)) // its own put is why the key has not revision 1 any more
	must.Eq(t, Result{Revision: 1}, put("a", 0))
	must.Eq(t, Result{Status: StatusConflict, Revision: 2}, put("c", 1))
	must.Eq(t, Result{Status: StatusConflict, Revision: 2}, put("c", 0)) // 0: it must never have been put
	must.Eq(t, Result{Revision: 3}, s.put(&Call{Operation: KeyPut, Name: "g.k", Value: "c"}))
	must.Eq(t, Result{Status: StatusConflict}, s.put(&Call{Operation: KeyPut, Name: "g.new", Value: "x", Conditional: true, ExpectedRevision: 7}))
}
