package coordination

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// drawEntry returns an encoded random entry and advances logTime by 0 to 3 s. Entries use few names, so that they often concern the same locks
// and keys.
func drawEntry(t *rapid.T, logTime *time.Duration, sequence uint32) []byte {
	*logTime += time.Duration(rapid.IntRange(0, 3000).Draw(t, "milliseconds since the previous entry")) * time.Millisecond
	drawName := func(name string, limit int) string { return fmt.Sprint(name, rapid.IntRange(0, limit).Draw(t, name)) }
	e := entry{logTime: *logTime, callID: CallID{Incarnation: 5, Sequence: sequence - uint32(rapid.IntRange(0, 1).Draw(t, "is copy of the previous call"))}}
	e.call = Call{Operation: Operation(rapid.IntRange(int(LockAcquire), int(KeyPut)).Draw(t, "operation")), Name: drawName("n", 2),
		Holder: drawName("h", 2), FencingToken: uint64(rapid.IntRange(0, 4).Draw(t, "fencing token")), Value: drawName("v", 30),
		TTL: time.Duration(rapid.IntRange(1, 5000).Draw(t, "TTL")) * time.Millisecond, Conditional: rapid.Bool().Draw(t, "conditional"),
		ExpectedRevision: uint64(rapid.IntRange(0, 3).Draw(t, "expected revision"))}
	return e.encode()
}

// A member that restores a snapshot returns the same results and snapshots afterwards as a member that applied all entries.
func TestRestoredStateMatchesAppliedState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		appliedState, restoredState := NewState(time.Second), NewState(time.Second)
		var logTime time.Duration
		for index := range uint32(rapid.IntRange(1, 60).Draw(t, "number of entries")) {
			if rapid.IntRange(0, 9).Draw(t, "restore if 0") == 0 {
				must.NoError(t, restoredState.Restore(appliedState.Snapshot()))
			}
			encodedEntry := drawEntry(t, &logTime, index)
			must.Eq(t, appliedState.Apply(uint64(index), encodedEntry), restoredState.Apply(uint64(index), encodedEntry))
		}
		must.Eq(t, appliedState.Snapshot(), restoredState.Snapshot())
		must.Eq(t, appliedState.keys.bytes, restoredState.keys.bytes)
		must.Eq(t, appliedState.keys.historyBytes, restoredState.keys.historyBytes)
	})
}

// A truncated snapshot that Restore rejects leaves the state unchanged. Apply of random bytes does not panic.
func TestCorruptBytesLeaveStateUnchanged(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := NewState(time.Second)
		var logTime time.Duration
		for index := range uint32(10) {
			s.Apply(uint64(index), drawEntry(t, &logTime, index))
		}
		before := s.Snapshot()
		s.Apply(11, rapid.SliceOf(rapid.Byte()).Draw(t, "entry"))
		after := s.Snapshot()
		if length := rapid.IntRange(1, len(before)-1).Draw(t, "snapshot length"); s.Restore(before[:length]) != nil {
			must.Eq(t, after, s.Snapshot())
		}
	})
}

// All tables are bounded. Calls that exceed a bound are rejected with StatusLimitReached.
func TestTablesAreBounded(t *testing.T) {
	s := NewState(time.Second)
	apply := func(c Call, logTime time.Duration) Result {
		e := entry{call: c, logTime: logTime, callID: CallID{1, uint32(logTime)}}
		result, err := decodeResult(s.Apply(1, e.encode()))
		must.NoError(t, err)
		return result
	}
	for i := range maxLocks + 1 {
		result := apply(Call{Operation: LockAcquire, Name: fmt.Sprint("l", i), Holder: "h", TTL: time.Second}, time.Duration(i)*time.Microsecond)
		must.Eq(t, i == maxLocks, result.Status == StatusLimitReached)
	}
	// A new lock replaces locks whose lease has expired.
	must.Eq(t, StatusOK, apply(Call{Operation: LockAcquire, Name: "l", Holder: "h", TTL: time.Second}, time.Minute).Status)
	for i := range maxNumbers + 1 {
		must.Eq(t, i == maxNumbers, apply(Call{Operation: NumberNext, Name: fmt.Sprint("n", i)}, time.Minute).Status == StatusLimitReached)
	}
	value, rejected := strings.Repeat("x", MaxValueBytes), 0
	for i := range maxKeyBytes/MaxValueBytes + 100 {
		if apply(Call{Operation: KeyPut, Name: fmt.Sprint("g.", i), Value: value + fmt.Sprint(i)}, time.Minute).Status == StatusLimitReached {
			rejected++
		}
	}
	must.Positive(t, rejected)
	must.LessEq(t, maxKeyBytes, s.keys.bytes)
	must.LessEq(t, maxHistoryBytes+2*MaxValueBytes, s.keys.historyBytes)
	for i := range maxRememberedPuts + 100 {
		apply(Call{Operation: KeyPut, Name: "g.0", Value: fmt.Sprint("w", i)}, time.Minute)
	}
	must.MapLen(t, maxRememberedPuts, s.keys.putRevisions)
}

// A repeated put returns the revision of the first put, although the key has another revision by then.
func TestRepeatedPutKeepsFirstRevision(t *testing.T) {
	s := NewState(time.Second)
	put := func(value string, expected uint64) Result {
		return s.putKey(&Call{Operation: KeyPut, Name: "g.k", Value: value, Conditional: true, ExpectedRevision: expected})
	}
	must.Eq(t, Result{Revision: 1}, put("a", 0))
	must.Eq(t, Result{Revision: 2}, put("b", 1))
	// A copy of this put gets the revision of the put, although the put itself has raised the key's revision above the expected one.
	must.Eq(t, Result{Revision: 2}, put("b", 1))
	must.Eq(t, Result{Revision: 1}, put("a", 0))
	must.Eq(t, Result{Status: StatusConflict, Revision: 2}, put("c", 1))
	must.Eq(t, Result{Status: StatusConflict, Revision: 2}, put("c", 0)) // 0 means that the key must never have been put
	must.Eq(t, Result{Revision: 3}, s.putKey(&Call{Operation: KeyPut, Name: "g.k", Value: "c"}))
	must.Eq(t, Result{Status: StatusConflict}, s.putKey(&Call{Operation: KeyPut, Name: "g.new", Value: "x", Conditional: true, ExpectedRevision: 7}))
}

// Guards against two holders of one lock: a release may be in transit for 280 ms to a node's socket, lie unread there for 120 ms that the node
// does not notice, and then have 800 ms until its call ends. A release that was sent just before the holder acquired the lock again may be
// applied that much later, and must not free the lock. One that is applied later still was sent after the acquire and must free it.
func TestReleaseFreesReacquiredLockOnlyAfterLongestTransit(t *testing.T) {
	const longestTransit = 280*time.Millisecond + 120*time.Millisecond + 800*time.Millisecond
	for _, test := range []struct {
		name         string
		sinceAcquire time.Duration
		freed        bool
	}{
		{"at the end of the longest transit", longestTransit - time.Millisecond, false},
		{"after the longest transit", longestTransit, true},
	} {
		s := NewState(time.Second)
		for i, at := range []time.Duration{time.Second, 2 * time.Second} {
			s.logTime = at
			got := s.acquireLock(&entry{call: Call{Operation: LockAcquire, Name: "l", Holder: "x", TTL: 10 * time.Second}, logTime: at,
				callID: CallID{Incarnation: 1, Sequence: uint32(i + 1)}})
			must.Eq(t, Result{FencingToken: 1}, got, must.Sprint(test.name))
		}
		s.logTime += test.sinceAcquire
		must.Eq(t, Result{}, s.releaseLock(&Call{Operation: LockRelease, Name: "l", Holder: "x", FencingToken: 1}), must.Sprint(test.name))
		must.Eq(t, test.freed, s.locks["l"] == nil, must.Sprint(test.name))
	}
}
