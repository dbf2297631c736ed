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

// The files testdata/dd5a45a.* hold bytes that the code of commit dd5a45a encoded. Each line is a name, a tab and the bytes in hexadecimal.
// Logs, snapshots and nodes of the version of that commit use these encodings. This version must therefore decode the bytes to the same values
// and encode the values to the same bytes.

// readRecordedBytes returns the recorded bytes of one file in testdata by the names in that file.
func readRecordedBytes(t *testing.T, name string) map[string][]byte {
	t.Helper()
	f, err := os.Open("testdata/dd5a45a." + name)
	must.NoError(t, err)
	defer f.Close()
	records := map[string][]byte{}
	scanner := bufio.NewScanner(f)
	scanner.Buffer(nil, 1<<20)
	for scanner.Scan() {
		key, hexText, _ := strings.Cut(scanner.Text(), "\t")
		b, err := hex.DecodeString(hexText)
		must.NoError(t, err)
		records[key] = b
	}
	must.NoError(t, scanner.Err())
	return records
}

// goldenCalls returns at least one call of each operation, with all fields that are sent. The keys are names in the recorded files.
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

// goldenMessages returns a request for each operation, and a response with each outcome and with each status. The keys are names in the
// recorded files.
func goldenMessages() map[string]Message {
	messages := map[string]Message{}
	for name, c := range goldenCalls() {
		messages["ask "+name] = Message{Request: &ForwardRequest{
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
	for name, outcome := range outcomes {
		messages["reply "+name] = Message{Response: &ForwardResponse{
			OriginIncarnation:    1<<63 + 5,
			Sequence:             1<<31 + 7,
			Attempt:              29,
			Outcome:              outcome,
			LeaderHint:           "10.0.0.1:7001",
			ResponderIncarnation: 1<<62 + 3,
			ResponderClock:       5 * time.Hour,
			Result:               result,
		}}
	}
	for i, s := range goldenStatuses() {
		messages[fmt.Sprint("reply with status ", i)] = Message{Response: &ForwardResponse{Result: Result{Status: s}}}
	}
	return messages
}

// goldenStatuses returns all statuses in ascending order of the numbers that are sent and stored.
func goldenStatuses() []Status {
	return []Status{StatusOK, StatusLockHeld, StatusLockLost, StatusConflict, StatusNotFound, StatusCompacted, StatusLimitReached,
		StatusUnavailable, StatusAmbiguous}
}

// Messages are decoded and encoded as recorded, so that nodes of the recorded version and nodes of this version can exchange messages.
func TestMessagesMatchRecordedBytes(t *testing.T) {
	recordedMessages, want := readRecordedBytes(t, "messages"), goldenMessages()
	must.MapLen(t, len(want), recordedMessages)
	for name, m := range want {
		got, err := DecodeMessage(recordedMessages[name])
		must.NoError(t, err, must.Sprint(name))
		must.Eq(t, &m, got, must.Sprint(name))
		must.Eq(t, recordedMessages[name], m.Encode(), must.Sprint(name))
	}
}

// goldenLog returns the entries of a log in order. Together the entries cause every kind of change to the state.
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

// Entries and their results are decoded and encoded as recorded, and applying the entries in order produces the recorded state.
func TestLogMatchesRecordedBytes(t *testing.T) {
	recordedEntries, recordedResults, want := readRecordedBytes(t, "entries"), readRecordedBytes(t, "results"), goldenLog()
	must.MapLen(t, len(want), recordedEntries)
	must.MapLen(t, len(want), recordedResults)
	statuses := []Status{
		StatusOK, StatusOK, StatusLockHeld, StatusOK, StatusOK,
		StatusLockLost, StatusOK, StatusAmbiguous, StatusOK, StatusOK,
		StatusOK, StatusOK, StatusOK, StatusOK, StatusOK,
		StatusOK, StatusConflict, StatusOK, StatusOK, StatusAmbiguous,
	}
	s := NewState(4 * time.Second)
	for i, wantEntry := range want {
		name := fmt.Sprint(i)
		got, err := decodeEntry(recordedEntries[name])
		must.NoError(t, err, must.Sprint(name))
		must.Eq(t, wantEntry.call, got.call, must.Sprint(name))
		must.Eq(t, wantEntry.logTime, got.logTime, must.Sprint(name))
		must.Eq(t, wantEntry.callID, got.callID, must.Sprint(name))
		must.Eq(t, recordedEntries[name], wantEntry.encode(), must.Sprint(name))
		must.Eq(t, recordedResults[name], s.Apply(uint64(i), recordedEntries[name]), must.Sprint(name))
		result, err := decodeResult(recordedResults[name])
		must.NoError(t, err, must.Sprint(name))
		must.Eq(t, statuses[i], result.Status, must.Sprint(name))
		must.Eq(t, recordedResults[name], encodeResult(result), must.Sprint(name))
	}
	must.Eq(t, readRecordedBytes(t, "snapshot")["log"], s.Snapshot())
}

// A result with all fields that an entry can set is decoded and encoded as recorded.
func TestResultMatchesRecordedBytes(t *testing.T) {
	recordedBytes := readRecordedBytes(t, "snapshot")["result"]
	result, err := decodeResult(recordedBytes)
	must.NoError(t, err)
	must.Eq(t, Result{Status: StatusConflict, FencingToken: 301, Number: 302, Revision: 303}, result)
	must.Eq(t, recordedBytes, encodeResult(result))
}

// goldenState returns a state with all contents that a snapshot can hold.
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
	firstDigest, secondDigest := newPutDigest("g.a", "x"), newPutDigest("h.a", "z")
	older := storedEvent{Event{"g.a", "w", 11}, 70 * time.Hour}
	newer := storedEvent{Event{"g.a", "x", 12}, 71 * time.Hour}
	s.keys = keyTable{
		groups: map[string]*keyGroup{
			"g.": {revision: 12, compactedRevision: 10, keys: map[string]keyValue{"g.a": {"x", 12}, "g.b": {"\x00y", 9}}, events: []storedEvent{older, newer}},
			"h.": {revision: 1 << 35, compactedRevision: 1 << 34, keys: map[string]keyValue{"h.a": {"z", 1 << 35}}},
		},
		bytes:        len("g.a") + len("x") + len("g.b") + len("\x00y") + len("h.a") + len("z") + 3*eventOverhead,
		historyBytes: older.sizeInBytes() + newer.sizeInBytes(),
		putRevisions: map[putDigest]uint64{firstDigest: 12, secondDigest: 1 << 35},
		putOrder:     []putDigest{secondDigest, firstDigest},
	}
	return s
}

// A snapshot with all contents is restored and encoded as recorded, so that this version can restore stored snapshots.
func TestSnapshotMatchesRecordedBytes(t *testing.T) {
	recordedBytes, want, got := readRecordedBytes(t, "snapshot")["state"], goldenState(), NewState(4*time.Second)
	must.NoError(t, got.Restore(recordedBytes))
	must.Eq(t, want.logTime, got.logTime)
	must.Eq(t, want.lastFencingToken, got.lastFencingToken)
	must.True(t, reflect.DeepEqual(want.locks, got.locks))
	must.True(t, reflect.DeepEqual(want.retiredCalls, got.retiredCalls))
	must.Eq(t, want.numbers, got.numbers)
	must.True(t, reflect.DeepEqual(want.keys, got.keys))
	must.Eq(t, recordedBytes, want.Snapshot())
	must.Eq(t, recordedBytes, got.Snapshot())
}

// Decoding returns ErrUnknownVersion for data of an unknown version and ErrTruncated for truncated data.
func TestDecodeDistinguishesUnknownVersionFromTruncation(t *testing.T) {
	_, err := decodeEntry([]byte{2})
	must.ErrorIs(t, err, ErrUnknownVersion)
	_, err = DecodeMessage([]byte{3})
	must.ErrorIs(t, err, ErrUnknownVersion)
	must.ErrorIs(t, NewState(time.Second).Restore([]byte{2}), ErrUnknownVersion)
	_, err = decodeEntry([]byte{1})
	must.ErrorIs(t, err, ErrTruncated)
}
