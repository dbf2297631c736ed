package coordination

import (
	"bufio"
	"encoding/hex"
	"fmt"
	"os"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// The files testdata/dd5a45a.* hold what the code of commit dd5a45a wrote: a name and bytes in hexadecimal a line. Logs, snapshots and nodes
// of that version hold such bytes, so they are read to the same values and written again as they are.

// recorded reads a file of recorded bytes.
func recorded(t *testing.T, name string) map[string][]byte {
	t.Helper()
	f, err := os.Open("testdata/dd5a45a." + name)
	must.NoError(t, err)
	defer f.Close()
	all := map[string][]byte{}
	lines := bufio.NewScanner(f)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		what, digits, _ := strings.Cut(lines.Text(), "\t")
		b, err := hex.DecodeString(digits)
		must.NoError(t, err)
		all[what] = b
	}
	must.NoError(t, lines.Err())
	return all
}

// goldenCalls are a call of each operation, with all fields that are sent of it.
func goldenCalls() map[string]Call {
	return map[string]Call{
		"lock begin":     {Operation: LockAcquire, Name: "l1", Holder: "worker-1", TTL: 2500 * time.Millisecond},
		"lock heartbeat": {Operation: LockRenew, Name: "l1", Holder: "worker-1", FencingToken: 300, TTL: 90 * time.Second},
		"lock finish":    {Operation: LockRelease, Name: "l1", Holder: "worker-1", FencingToken: 1 << 40},
		"number":         {Operation: NumberNext, Name: "orders"},
		"key replace":    {Operation: KeyPut, Name: "g.k", Value: "a value\x00\xff", Conditional: true, ExpectedRevision: 129},
		"key put":        {Operation: KeyPut, Name: "g.k2", Value: "another"},
		"key read":       {Operation: KeyRead, Name: "g.k"},
		"key watch":      {Operation: KeyWatch, Name: "g.", AfterRevision: 1 << 33, Timeout: 30 * time.Second},
		"lock read":      {Operation: LockRead, Name: "l1"},
		"lock list":      {Operation: LockList, Group: 5},
	}
}

// goldenMessages are a message of each kind: a question for each operation, a reply with each outcome and with each status.
func goldenMessages() map[string]Message {
	all := map[string]Message{}
	for name, c := range goldenCalls() {
		all["ask "+name] = Message{Request: &ForwardRequest{
			OriginIncarnation: 1<<63 + 5,
			Sequence:          1<<31 + 7,
			Attempt:           29,
			TargetIncarnation: 1<<62 + 3,
			Deadline:          77*time.Hour + 9*time.Microsecond,
			Call:              c,
		}}
	}
	result := Result{Status: StatusLockHeld, FencingToken: 301, Number: 302, Revision: 303, Value: "v\x00",
		Events: []Event{{"g.a", "x", 302}, {"g.b", "", 303}},
		Locks:  []LockInfo{{"l1", "worker-1", 300, 1500 * time.Microsecond}, {"l2", "worker-2", 301, time.Hour}}}
	outcomes := map[string]AttemptOutcome{
		"0 done":      AttemptDone,
		"1 refused":   AttemptRejected,
		"2 uncertain": AttemptAmbiguous,
		"3 undated":   AttemptDeadlineInvalid,
	}
	for name, o := range outcomes {
		all["reply "+name] = Message{Response: &ForwardResponse{
			OriginIncarnation:    1<<63 + 5,
			Sequence:             1<<31 + 7,
			Attempt:              29,
			Outcome:              o,
			LeaderHint:           "10.0.0.1:7001",
			ResponderIncarnation: 1<<62 + 3,
			ResponderClock:       5 * time.Hour,
			Result:               result,
		}}
	}
	for i, s := range goldenStatuses() {
		all[fmt.Sprint("reply with status ", i)] = Message{Response: &ForwardResponse{Result: Result{Status: s}}}
	}
	return all
}

// goldenStatuses are the statuses by the numbers that are sent and stored.
func goldenStatuses() []Status {
	return []Status{StatusOK, StatusLockHeld, StatusLockLost, StatusConflict, StatusNotFound, StatusCompacted, StatusLimitReached,
		StatusUnavailable, StatusAmbiguous}
}

func TestRecordedMessages(t *testing.T) {
	files, want := recorded(t, "messages"), goldenMessages()
	must.MapLen(t, len(want), files)
	for name, m := range want {
		got, err := DecodeMessage(files[name])
		must.NoError(t, err, must.Sprint(name))
		must.Eq(t, &m, got, must.Sprint(name))
		must.Eq(t, files[name], m.Encode(), must.Sprint(name))
	}
}

// goldenLog are entries in the order of a log: those that change the state in each way.
func goldenLog() []entry {
	at := func(seconds int) time.Duration { return time.Duration(seconds) * time.Second }
	incarnation := uint64(1<<63 + 5)
	lock := func(name, holder string) Call {
		return Call{Operation: LockAcquire, Name: name, Holder: holder, TTL: 10 * time.Second}
	}
	put := func(key, value string) Call { return Call{Operation: KeyPut, Name: key, Value: value} }
	return []entry{
		{lock("l1", "worker-1"), at(1), CallID{incarnation, 1}},
		{lock("l2", "worker-2"), at(1), CallID{incarnation, 2}},
		{lock("l1", "worker-2"), at(2), CallID{incarnation, 3}},
		{lock("l1", "worker-1"), at(3), CallID{incarnation, 4}},
		{Call{Operation: LockRenew, Name: "l1", Holder: "worker-1", FencingToken: 1, TTL: 30 * time.Second}, at(4), CallID{}},
		{Call{Operation: LockRenew, Name: "l1", Holder: "worker-1", FencingToken: 7, TTL: 30 * time.Second}, at(4), CallID{}},
		{Call{Operation: LockRelease, Name: "l2", Holder: "worker-2", FencingToken: 2}, at(4), CallID{}},
		{lock("l2", "worker-2"), at(5), CallID{incarnation, 2}},
		{lock("l3", "worker-3"), at(5), CallID{incarnation, 5}},
		{Call{Operation: NumberNext, Name: "orders"}, at(5), CallID{}},
		{Call{Operation: NumberNext, Name: "orders"}, at(5), CallID{}},
		{Call{Operation: NumberNext, Name: "invoices"}, at(5), CallID{}},
		{put("g.k", "one"), at(6), CallID{}},
		{put("g.k", "two"), at(6), CallID{}},
		{put("g.k", "one"), at(6), CallID{}},
		{put("h.k", "three"), at(6), CallID{}},
		{Call{Operation: KeyPut, Name: "g.k", Value: "four", Conditional: true, ExpectedRevision: 1}, at(7), CallID{}},
		{Call{Operation: KeyPut, Name: "g.k2", Value: "five", Conditional: true}, at(9), CallID{}},
		{put("g.k", "six"), at(20), CallID{}},
		{Call{Operation: KeyRead, Name: "g.k"}, at(20), CallID{}},
	}
}

// Entries and their results are read and written as recorded, and the log of them leads to the recorded state.
func TestRecordedLog(t *testing.T) {
	files, results, want := recorded(t, "entries"), recorded(t, "results"), goldenLog()
	must.MapLen(t, len(want), files)
	must.MapLen(t, len(want), results)
	statuses := []Status{
		StatusOK, StatusOK, StatusLockHeld, StatusOK, StatusOK,
		StatusLockLost, StatusOK, StatusAmbiguous, StatusOK, StatusOK,
		StatusOK, StatusOK, StatusOK, StatusOK, StatusOK,
		StatusOK, StatusConflict, StatusOK, StatusOK, StatusAmbiguous,
	}
	s := NewState(4 * time.Second)
	for i, x := range want {
		name := fmt.Sprint(i)
		got, err := decodeEntry(files[name])
		must.NoError(t, err, must.Sprint(name))
		must.Eq(t, x.call, got.call, must.Sprint(name))
		must.Eq(t, x.logTime, got.logTime, must.Sprint(name))
		must.Eq(t, x.callID, got.callID, must.Sprint(name))
		must.Eq(t, files[name], x.encode(), must.Sprint(name))
		must.Eq(t, results[name], s.Apply(uint64(i), files[name]), must.Sprint(name))
		a, err := decodeResult(results[name])
		must.NoError(t, err, must.Sprint(name))
		must.Eq(t, statuses[i], a.Status, must.Sprint(name))
		must.Eq(t, results[name], encodeResult(a), must.Sprint(name))
	}
	must.Eq(t, recorded(t, "snapshot")["log"], s.Snapshot())
}

func TestRecordedResult(t *testing.T) {
	b := recorded(t, "snapshot")["result"]
	a, err := decodeResult(b)
	must.NoError(t, err)
	must.Eq(t, Result{Status: StatusConflict, FencingToken: 301, Number: 302, Revision: 303}, a)
	must.Eq(t, b, encodeResult(a))
}

// goldenState has all that a snapshot holds.
func goldenState() *State {
	s := NewState(4 * time.Second)
	s.logTime, s.lastFencingToken = 77*time.Hour+9*time.Microsecond, 1<<40
	s.locks = map[string]*lockState{
		"l1": {holder: "worker-1", fencingToken: 300, expiresAt: 78 * time.Hour, callID: CallID{1<<63 + 5, 1<<31 + 7},
			lastAcquireAt: 76 * time.Hour, reacquired: true},
		"l2": {holder: "worker-2", fencingToken: 301, expiresAt: 79 * time.Hour, callID: CallID{6, 8}, lastAcquireAt: 77 * time.Hour},
	}
	s.retiredCalls = []retiredCall{{CallID{9, 10}, 75 * time.Hour}, {CallID{1<<63 + 11, 12}, 76 * time.Hour}}
	s.numbers = map[string]uint64{"orders": 1 << 50, "invoices": 3}
	first, second := newPutDigest("g.a", "x"), newPutDigest("h.a", "z")
	a := storedEvent{Event{"g.a", "w", 11}, 70 * time.Hour}
	b := storedEvent{Event{"g.a", "x", 12}, 71 * time.Hour}
	s.keys = keyTable{
		groups: map[string]*keyGroup{
			"g.": {revision: 12, compactedRevision: 10, keys: map[string]keyValue{"g.a": {"x", 12}, "g.b": {"\x00y", 9}}, events: []storedEvent{a, b}},
			"h.": {revision: 1 << 35, compactedRevision: 1 << 34, keys: map[string]keyValue{"h.a": {"z", 1 << 35}}},
		},
		bytes:        len("g.a") + len("x") + len("g.b") + len("\x00y") + len("h.a") + len("z") + 3*eventOverhead,
		historyBytes: a.size() + b.size(),
		putRevisions: map[putDigest]uint64{first: 12, second: 1 << 35},
		putOrder:     []putDigest{second, first},
	}
	return s
}

func TestRecordedSnapshot(t *testing.T) {
	b, want, got := recorded(t, "snapshot")["state"], goldenState(), NewState(4*time.Second)
	must.NoError(t, got.Restore(b))
	must.Eq(t, want.logTime, got.logTime)
	must.Eq(t, want.lastFencingToken, got.lastFencingToken)
	must.True(t, reflect.DeepEqual(want.locks, got.locks))
	must.True(t, reflect.DeepEqual(want.retiredCalls, got.retiredCalls))
	must.Eq(t, want.numbers, got.numbers)
	must.True(t, reflect.DeepEqual(want.keys, got.keys))
	must.Eq(t, b, want.Snapshot())
	must.Eq(t, b, got.Snapshot())
}

// Callers can tell data of an unknown version from truncated data.
func TestUnknownVersion(t *testing.T) {
	_, err := decodeEntry([]byte{2})
	must.ErrorIs(t, err, ErrUnknownVersion)
	_, err = DecodeMessage([]byte{3})
	must.ErrorIs(t, err, ErrUnknownVersion)
	must.ErrorIs(t, NewState(time.Second).Restore([]byte{2}), ErrUnknownVersion)
	_, err = decodeEntry([]byte{1})
	must.ErrorIs(t, err, ErrTruncated)
}
