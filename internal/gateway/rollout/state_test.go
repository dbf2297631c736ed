package rollout

import (
	"encoding/json"
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/shoenig/test/must"

	"clovergap/internal/gateway/logentry"
	"clovergap/internal/gateway/routing"
)

// newTestSpec returns a spec that advances by time, with one step for each share in basis points.
func newTestSpec(shares ...int) *Spec {
	spec := &Spec{Service: "libro", Old: "v1", New: "v2", Advance: "time"}
	for _, share := range shares {
		spec.Steps = append(spec.Steps, Step{Share: share, MinTime: Duration(10 * time.Second), Requests: 10})
	}
	return spec
}

// newStartEntry returns an operator's start entry. revision is the revision of the previous roll-out, or 0 if there is none.
func newStartEntry(spec *Spec, revision uint64, callID string) *Entry {
	return &Entry{Verb: Start, Service: spec.Service, Revision: revision, CallID: callID, Author: "ana", Spec: spec, Capacity: Capacity{100, 100, 60}}
}

// Guards against error messages that do not name the field. The errors are for an invalid spec, a lack of capacity and an unknown reference.
func TestSpecErrorsNameTheirField(t *testing.T) {
	var spec Spec
	must.NoError(t, json.Unmarshal([]byte(`{"service":"libro","old":"v1","new":"v2",
		"steps":[{"share":100,"min_time":"10s"},{"share":2500,"min_time":"60000ms","requests":500}]}`), &spec))
	must.NoError(t, spec.Normalize())
	must.Eq(t, DefaultFailureCriteria(), spec.Failing)
	must.NoError(t, spec.CheckCapacity(Capacity{Baseline: 24, Canary: 8, PeakInUse: 19}))
	for want, invalidate := range map[string]func(*Spec){
		"new":               func(spec *Spec) { spec.New = "v1" },
		"steps[1].share":    func(spec *Spec) { spec.Steps[1].Share = 100 },
		"steps[0].share":    func(spec *Spec) { spec.Steps[0].Share = 9500 },
		"steps[0].min_time": func(spec *Spec) { spec.Steps[0].MinTime = 0 },
		"failing.causes[0]": func(spec *Spec) { spec.Failing.Causes = []string{"4xx"} },
		"advance":           func(spec *Spec) { spec.Advance = "moon" },
	} {
		invalid := spec
		invalid.Steps = append([]Step(nil), spec.Steps...)
		invalidate(&invalid)
		err := invalid.Normalize()
		must.Error(t, err, must.Sprint(want))
		must.StrContains(t, err.Error(), want)
	}
	must.ErrorContains(t, spec.CheckCapacity(Capacity{Baseline: 24, Canary: 8, PeakInUse: 20}), "old: v1 has room for 24")
	must.ErrorContains(t, spec.CheckCapacity(Capacity{Baseline: 90, Canary: 8, PeakInUse: 40}), "steps[1].share: v2")
	all, none := func(string) bool { return true }, func(string) bool { return false }
	spec.Limits.Tenants = []string{"huka"}
	must.ErrorContains(t, spec.CheckReferences(all, all, none, all), "limits.tenants[0]")
}

// Guards against shares that deviate from the configured ones, users who leave the canary while the share grows, and nodes that choose
// different sides for the same user.
func TestSharesAreExactAndSticky(t *testing.T) {
	const users = 100_000
	shares := []int{1, 100, 500, 2500, 7500, 9000}
	names := make([][]byte, users)
	for i := range names {
		names[i] = fmt.Appendf(nil, "2b9wu3fexd9dnn2c%d", i)
	}
	for n := range Number(5) {
		for i, got := range newTestSpec(shares...).CountCanaryUsers(n, names) {
			// The documented deviation is that of independent random choices for each user. The limit is five standard deviations plus 5.
			p := float64(shares[i]) / FullShare
			must.InDelta(t, p*users, float64(got), 5*math.Sqrt(users*p*(1-p))+5)
		}
	}
	a, b := NewNode("a", 1, 0), NewNode("b", 2, 0) // the nodes exchange no messages
	s := NewState()
	onCanary := make([]bool, users)
	for step := range shares {
		e := &Entry{Verb: Advance, Service: "libro", Number: 1, Step: step + 1, FencingToken: 1}
		if step == 0 {
			e = newStartEntry(newTestSpec(shares...), 0, "")
			e.Capacity.Canary = 1000
		}
		v, err := s.Apply(e)
		must.Eq(t, routing.Accepted, v, must.Sprint(err))
		for _, node := range []*Node{a, b} {
			node.ApplyState(s)
			node.SetConnected(true)
		}
		for i, u := range names {
			x, _ := a.ChooseSide("libro", u, Scope{})
			y, _ := b.ChooseSide("libro", u, Scope{Tenant: "any"})
			if x != y || onCanary[i] && x == Baseline {
				t.Fatalf("user %d is on side %v at node a and on side %v at node b", i, x, y)
			}
			onCanary[i] = x == Canary
		}
	}
	side, compared := a.ChooseSide("libro", nil, Scope{})
	must.True(t, side == Baseline && !compared)
	must.True(t, MayAttempt(Canary, Baseline) && MayAttempt(Canary, Canary) && MayAttempt(Baseline, Baseline) && !MayAttempt(Baseline, Canary))
}

// Guards against errors that a caller can distinguish only by their text. Each error must match its exported variable or type.
func TestErrorsAreTyped(t *testing.T) {
	spec := newTestSpec(500, 100)
	var field *logentry.FieldError
	must.True(t, errors.As(spec.Normalize(), &field))
	must.Eq(t, logentry.FieldError{Field: "steps[1].share", Reason: "100 is not above the share of the previous step"}, *field)
	s := NewState()
	verdict, err := s.Decide(&Entry{Verb: Advance, Service: "libro", Number: 1})
	must.True(t, verdict == routing.Conflict && errors.As(err, &field) && field.Field == "service")
	must.ErrorIs(t, (&Entry{Verb: Start, Service: "libro"}).Validate(), ErrNoSpec)
	must.ErrorIs(t, (&Entry{Verb: Pause, Reason: strings.Repeat("x", maxTextBytes+1)}).Validate(), ErrTextTooLong)
	c := NewCoordinator(1, 0)
	must.NoError(t, applyAll(s, newStartEntry(newTestSpec(100), 0, "")))
	c.ApplyState(s)
	for _, broken := range []struct {
		evidence []byte
		want     error
	}{{[]byte{1}, ErrMalformedEvidence}, {[]byte{255, 0}, ErrMalformedEvidence}, {[]byte{0, 0, 1}, ErrTruncatedEvidence}} {
		must.ErrorIs(t, c.HandleReport(1, Report{Service: "libro", Number: 1, Step: 1, Evidence: broken.evidence}), broken.want)
	}
}

// Guards against an order of entries that breaks an invariant. It applies seven entries of two operators and two coordinators in every
// order. An ended roll-out must not run again. An entry of an old roll-out or coordinator must not change a newer roll-out. A repeated
// call must not be applied twice.
func TestEntryOrderKeepsInvariants(t *testing.T) {
	t.Parallel()
	next := newTestSpec(100)
	next.New = "v3"
	entries := []*Entry{
		newStartEntry(newTestSpec(100, 500), 0, "ana-1"),
		newStartEntry(next, 0, "ben-1"),
		{Verb: Advance, Service: "libro", Number: 1, Step: 2, FencingToken: 2},
		{Verb: Rollback, Service: "libro", Number: 1, Step: 1, FencingToken: 1},
		{Verb: Rollback, Service: "libro", Number: 1, Step: 2, FencingToken: 2},
		{Verb: Pause, Service: "libro", Number: 1, Revision: 1, CallID: "ben-2"},
		newStartEntry(next, 2, "ben-3"),
	}
	var applyInEveryOrder func(left []int, done []int)
	applyInEveryOrder = func(left []int, done []int) {
		if len(left) > 0 {
			for i := range left {
				rest := append(append([]int(nil), left[:i]...), left[i+1:]...)
				applyInEveryOrder(rest, append(append([]int(nil), done...), left[i]))
			}
			return
		}
		s, ended, maxFencingToken := NewState(), map[Number]bool{}, uint64(0)
		acceptedCalls := map[string]int{}
		for _, i := range done {
			e := entries[i]
			previous := s.Run("libro")
			var before Run
			if previous != nil {
				before = *previous
			}
			v, err := s.Apply(e)
			must.Eq(t, v == routing.Accepted || v == routing.Duplicate, err == nil)
			if v != routing.Accepted {
				continue
			}
			acceptedCalls[e.CallID]++
			r := s.Run("libro")
			must.False(t, e.CallID != "" && acceptedCalls[e.CallID] > 1)
			must.False(t, e.FencingToken != 0 && e.FencingToken < maxFencingToken)
			maxFencingToken = max(maxFencingToken, e.FencingToken)
			must.False(t, ended[r.Number] || e.Verb == Start && before.Phase == Running)
			must.True(t, e.Verb == Start || e.Number == r.Number)
			must.False(t, e.Verb == Advance && before.Paused)
			ended[r.Number] = r.Phase != Running
		}
		must.Eq(t, 1, acceptedCalls["ana-1"]+acceptedCalls["ben-1"]) // only one of the two concurrent starts is accepted
		for callID, n := range acceptedCalls {
			if callID != "" && n > 0 { // a repeated call
				v, err := s.Apply(&Entry{Verb: Rollback, Service: "libro", CallID: callID})
				must.True(t, v == routing.Duplicate && err == nil)
			}
		}
	}
	applyInEveryOrder([]int{0, 1, 2, 3, 4, 5, 6}, nil)
}

// Guards against a state that grows without limit, and against a snapshot or an entry that is not restored completely. A truncated
// snapshot must be an error.
func TestSnapshotRestoresBoundedState(t *testing.T) {
	t.Parallel()
	s := NewState()
	for i := range 60 {
		revision := uint64(0)
		if r := s.Run("libro"); r != nil {
			revision = r.Revision
		}
		v, err := s.Apply(newStartEntry(newTestSpec(100), revision, fmt.Sprint(i)))
		must.Eq(t, routing.Accepted, v, must.Sprint(err))
		r := s.Run("libro")
		for range 60 {
			e := &Entry{Verb: Pause, Service: "libro", Number: r.Number, Step: 1, FencingToken: 1, Reason: strings.Repeat("x", 200)}
			e.Counts[Canary][Write].Outcomes = 7
			if i == 0 {
				decoded, decodeErr := DecodeEntry(e.Encode())
				must.NoError(t, decodeErr)
				must.Eq(t, e, decoded)
				e = decoded
			}
			_, err = s.Apply(e)
			must.NoError(t, err)
		}
		_, err = s.Apply(&Entry{Verb: Rollback, Service: "libro", Number: r.Number, Revision: r.Revision})
		must.NoError(t, err)
	}
	must.Eq(t, maxEnded, len(s.Ended()))
	must.Eq(t, maxHistory, len(s.Run("libro").History))
	b := s.Snapshot()
	must.Less(t, 1<<20, len(b))
	restored, err := Restore(b)
	must.NoError(t, err)
	must.Eq(t, b, restored.Snapshot())
	_, err = Restore(b[:len(b)/2])
	must.Error(t, err)
}

// Guards against a node that sends users to the canary because it does not know of a rollback. A node that was never connected uses a share
// of 0. A disconnected node keeps its share and may only roll back locally. Neither a reconnection nor the replicated state undoes a local
// rollback.
func TestPartitionedNodeOnlyLowersShare(t *testing.T) {
	s := NewState()
	e := newStartEntry(newTestSpec(9000), 0, "")
	e.Capacity.Canary = 10
	_, err := s.Apply(e)
	must.ErrorContains(t, err, "steps[0].share") // the canary lacks the capacity for the share
	e.Capacity.Canary = 1000
	_, err = s.Apply(e)
	must.NoError(t, err)
	user := []byte("someone")
	node := NewNode("a", 1, 0)
	// The node starts with the state on its disk. The roll-out may have been rolled back since that state was written.
	node.ApplyState(s)
	must.True(t, node.CanaryShare("libro") == 0 && node.IsCanaryExcluded("libro"))
	node.SetConnected(true)
	must.Eq(t, 9000, node.CanaryShare("libro"))
	node.SetConnected(false)
	must.Eq(t, 9000, node.CanaryShare("libro"))
	for now := time.Duration(0); now < 5*time.Second; now += 100 * time.Millisecond {
		node.Tick(now)
		for i := range 10 {
			node.RecordOutcome("libro", 1, Outcome{Side: Baseline, Kind: Write, Backend: uint64(1 + i%3)})
			node.RecordOutcome("libro", 1, Outcome{Side: Canary, Kind: Write, Backend: uint64(5 + i%3), Cause: InvalidResponse})
		}
	}
	must.True(t, node.CanaryShare("libro") == 0 && node.IsCanaryExcluded("libro"))
	side, _ := node.ChooseSide("libro", user, Scope{})
	must.Eq(t, Baseline, side)
	a, ok := node.Next()
	rollback, is := a.(LocalRollback)
	must.True(t, ok && is)
	// The reason starts with the counts of the failing kind of request, such as "writes: new 9 of 90 failed", where new is the canary.
	must.StrContains(t, rollback.Reason, "writes: new")
	node.SetConnected(true)
	node.ApplyState(s) // the replicated share does not undo the local rollback
	must.Eq(t, 0, node.CanaryShare("libro"))
	must.Eq(t, Baseline, node.BackendSide("libro", "v1.5"))
	done := NewState()
	must.NoError(t, applyAll(done, newStartEntry(newTestSpec(9000), 0, ""), &Entry{Verb: Finish, Service: "libro", Number: 1, Revision: 1}))
	// A third version is on the baseline at a node that was never connected, because another roll-out may have rolled that version back.
	for i, want := range []Side{Baseline, Canary} {
		ended := NewNode("a", 1, 0)
		ended.ApplyState(done)
		ended.SetConnected(i == 1)
		must.Eq(t, want, ended.BackendSide("libro", "v3"))
		must.True(t, ended.BackendSide("libro", "v1") == Baseline && ended.BackendSide("libro", "v2") == Canary)
	}
	must.Eq(t, Canary, node.BackendSide("libro", "v2"))
}

// applyAll applies entries in order and stops at the first error. It gives start entries enough capacity for every share.
func applyAll(s *State, all ...*Entry) error {
	for _, e := range all {
		if e.Verb == Start {
			e.Capacity.Canary = 1000
		}
		if _, err := s.Apply(e); err != nil {
			return err
		}
	}
	return nil
}

// Guards against a wrong answer to a repeated call. The IDs of applied calls must stay known, also after a restore from a snapshot of an
// earlier version. A call whose ID may have been dropped must get Ambiguous instead of Conflict.
func TestForgottenCallIDsAreAmbiguous(t *testing.T) {
	t.Parallel()
	for _, fromOldSnapshot := range []bool{false, true} {
		s := NewState()
		s.Apply(newStartEntry(newTestSpec(100), 0, "first"))
		pause := func(i int) *Entry {
			return &Entry{Verb: Pause, Service: "libro", Number: 1, CallID: fmt.Sprint("m", i)}
		}
		for i := range 300 {
			s.Apply(pause(i))
		}
		if fromOldSnapshot {
			stored := s.toStored()
			for i := 300 - maxStoredCalls; i < 300; i++ {
				stored.Marks = append(stored.Marks, pause(i).CallID)
			}
			var err error
			s, err = Restore(logentry.Encode(stored))
			must.NoError(t, err)
		} else {
			s.appliedCalls, _ = logentry.DecodeDedupWindow(s.appliedCalls.Bytes(), 18*maxStoredCalls)
		}
		for range 2 {
			for i := 300 - 200; i < 300; i++ {
				v, _ := s.Decide(pause(i))
				must.Eq(t, routing.Duplicate, v)
			}
			v, err := s.Decide(newStartEntry(newTestSpec(100), 0, "first"))
			must.Eq(t, routing.Ambiguous, v)
			must.Error(t, err)
			// This call names the current revision, so it cannot have been applied before.
			v, _ = s.Decide(newStartEntry(newTestSpec(100), s.Run("libro").Revision, "second"))
			must.Eq(t, routing.Conflict, v)
			other := newTestSpec(100)
			other.Service = "other"
			v, _ = s.Decide(newStartEntry(other, 0, "third"))
			must.Eq(t, routing.Accepted, v)
			s, err = Restore(s.Snapshot())
			must.NoError(t, err)
		}
	}
}
