package coordination_test

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"clovergap/internal/gateway/coordination"
	"clovergap/internal/gateway/groups"
	"clovergap/internal/invariant"
)

// The explorer tries all orders of up to five calls on one lock by two callers. A caller may abandon its call. A call may be forwarded twice
// and may arrive late. Time advances in steps, and another node may become leader.

const (
	exploreLock         = "l0"
	exploreTTL          = 1200 * ms
	exploreTimeStep     = 500 * ms
	exploreCallTimeout  = 800 * ms
	exploreDepth        = 10
	exploreMaxCalls     = 5
	exploreMaxTimeSteps = 3
)

// exploreState is one state of the exploration.
type exploreState struct {
	now           time.Duration
	logTime       time.Duration // the leader's log time
	snapshot      string        // snapshot of the group's state
	callers       [2]exploreCaller
	calls         [exploreMaxCalls]exploreCall
	callCount     int // number of calls that the callers have sent
	timeSteps     int // number of steps of exploreTimeStep by which time has advanced
	duplicates    int // number of calls of which a second copy was sent
	leaderChanges int // number of times that another node became leader
}

// exploreCaller is a caller that uses the lock.
type exploreCaller struct {
	awaitedCall  int // number, from 1, of the call whose answer the caller awaits; 0 if there is none
	hasLock      bool
	expiresAt    time.Duration
	fencingToken uint64
}

// exploreCall is a call of an exploreCaller.
type exploreCall struct {
	caller       int
	operation    coordination.Operation
	fencingToken uint64
	sent         time.Duration
	inFlight     int  // number of copies that are sent but not yet delivered
	acknowledged bool // the caller received a successful answer
	released     bool // the call is an acknowledged acquire whose lock was released later
}

// explorer starts a service as leader in each state that the exploration reaches. explorer implements groups.Host and coordination.Env for
// the service.
type explorer struct {
	t           *testing.T
	knobs       coordination.TestingKnobs
	now         time.Duration
	incarnation uint64
	response    *coordination.ForwardResponse
	state       groups.StateMachine
	depth       int
	seen        map[exploreState]int // the smallest depth at which each state was visited
	violation   string
	trace       []string
}

func (e *explorer) Propose(_ groups.ID, entry []byte, done func(groups.Outcome, []byte)) {
	done(groups.Applied, e.state.Apply(1, entry))
}
func (e *explorer) ReadIndex(_ groups.ID, done func(bool))             { done(true) }
func (e *explorer) Leadership(groups.ID) (uint64, time.Duration, bool) { return 1, 0, true }
func (e *explorer) Leader(groups.ID) (string, bool)                    { return "", false }
func (e *explorer) LeaderCandidates(groups.ID) []string                { return nil }
func (e *explorer) HintLeader(groups.ID, string)                       {}
func (e *explorer) Now() time.Duration                                 { return e.now }
func (e *explorer) ScheduleAt(time.Duration, uint32)                   {}
func (e *explorer) HasQuorumContact() bool                             { return true }
func (e *explorer) Send(_ string, m *coordination.Message) bool        { e.response = m.Response; return true }

func (e *explorer) newService() *coordination.Service {
	config := coordination.Config{Address: "leader", Incarnation: e.incarnation, HistoryRetention: testHistoryRetention, TestingKnobs: e.knobs}
	s := coordination.New(e, config)
	s.SetHost(e)
	return s
}

// newRequest returns the request by which another node forwards a call.
func (e *explorer) newRequest(c *exploreCall, number int) *coordination.ForwardRequest {
	return &coordination.ForwardRequest{
		OriginIncarnation: 7,
		Sequence:          uint32(number) + 1,
		TargetIncarnation: e.incarnation,
		Deadline:          c.sent + exploreCallTimeout,
		Call: coordination.Call{Operation: c.operation, Name: exploreLock, Holder: fmt.Sprint("h", c.caller),
			FencingToken: c.fencingToken, TTL: exploreTTL},
	}
}

// deliverCopy delivers a copy of a call to the leader and returns the state after the delivery.
func (e *explorer) deliverCopy(state exploreState, number int) exploreState {
	c := &state.calls[number]
	c.inFlight--
	s := e.newService()
	id := groups.GroupOf(exploreLock)
	e.state, e.now, e.response = s.StateMachine(id), state.now, nil
	must.NoError(e.t, e.state.Restore([]byte(state.snapshot)))
	s.BecomeLeaderAt(id, state.logTime)
	locksBefore := e.state.(*coordination.State).FormatLocks()
	s.Receive("node", &coordination.Message{Request: e.newRequest(c, number)})
	snapshotBefore := state.snapshot
	state.snapshot = string(e.state.Snapshot())
	if state.now > c.sent+exploreCallTimeout && !bytes.Equal([]byte(snapshotBefore), []byte(state.snapshot)) {
		e.recordViolation("a copy of a call that arrived %v after the call was sent changed the state", state.now-c.sent)
	}
	succeeded := e.response.Outcome == coordination.AttemptDone && e.response.Result.Status == coordination.StatusOK
	if succeeded && c.operation == coordination.LockAcquire && c.released && locksBefore != e.state.(*coordination.State).FormatLocks() {
		e.recordViolation("a late copy of an acquire took the lock after the holder had released it")
	}
	if caller := &state.callers[c.caller]; caller.awaitedCall == number+1 {
		caller.awaitedCall = 0
		if succeeded {
			e.updateCallerOnSuccess(&state, c, caller)
		}
	}
	return state
}

// updateCallerOnSuccess updates the caller and its calls in a state after the caller has received a successful answer to a call.
func (e *explorer) updateCallerOnSuccess(state *exploreState, c *exploreCall, caller *exploreCaller) {
	c.acknowledged = true
	switch c.operation {
	case coordination.LockAcquire:
		if caller.hasLock && state.now <= caller.expiresAt {
			caller.expiresAt = max(caller.expiresAt, c.sent+exploreTTL)
		} else {
			caller.hasLock, caller.expiresAt = true, c.sent+exploreTTL
		}
		caller.fencingToken = e.response.Result.FencingToken
	case coordination.LockRenew:
		if caller.hasLock && state.now <= caller.expiresAt {
			caller.expiresAt = max(caller.expiresAt, c.sent+exploreTTL)
		}
	case coordination.LockRelease:
		for i := range state.calls[:state.callCount] {
			if earlier := &state.calls[i]; earlier.caller == c.caller && earlier.operation == coordination.LockAcquire && earlier.acknowledged {
				earlier.released = true
			}
		}
	}
}

func (e *explorer) recordViolation(format string, args ...any) {
	if e.violation == "" {
		e.violation = fmt.Sprintf(format, args...) + " after the steps " + fmt.Sprint(e.trace)
	}
}

// exploreFrom checks a state that is depth steps from the initial state and explores all steps from the state.
func (e *explorer) exploreFrom(state exploreState, depth int) {
	if seenDepth, ok := e.seen[state]; e.violation != "" || ok && seenDepth <= depth {
		return
	}
	e.seen[state] = depth
	first, second := state.callers[0], state.callers[1]
	if first.hasLock && second.hasLock && state.now < first.expiresAt && state.now < second.expiresAt {
		e.recordViolation("both callers hold the lock at the same time")
		return
	}
	if depth == e.depth {
		return
	}
	step := func(format string, args []any, next exploreState) {
		e.trace = append(e.trace, fmt.Sprintf(format, args...))
		e.exploreFrom(next, depth+1)
		e.trace = e.trace[:len(e.trace)-1]
	}
	for i := range state.callers {
		if next := state; state.callers[i].awaitedCall > 0 { // the connection is reset
			next.callers[i].awaitedCall = 0
			step("caller %d abandons its call", []any{i}, next)
			continue
		}
		for _, operation := range []coordination.Operation{coordination.LockAcquire, coordination.LockRenew, coordination.LockRelease} {
			if next, ok := state.stateAfterSend(i, operation); ok {
				step("caller %d sends %v", []any{i, operation}, next)
			}
		}
	}
	for number := range state.calls[:state.callCount] {
		if state.calls[number].inFlight == 0 {
			continue
		}
		e.trace = append(e.trace, fmt.Sprintf("call %d arrives", number))
		e.exploreFrom(e.deliverCopy(state, number), depth+1)
		e.trace = e.trace[:len(e.trace)-1]
		if next := state; state.duplicates == 0 && state.calls[number].inFlight == 1 {
			next.duplicates++
			next.calls[number].inFlight++
			step("call %d is forwarded twice", []any{number}, next)
		}
	}
	if next := state; state.timeSteps < exploreMaxTimeSteps {
		next.timeSteps++
		next.now += exploreTimeStep
		next.logTime += exploreTimeStep
		step("time advances", nil, next)
	}
	if next := state; state.leaderChanges == 0 { // the new leader's log time starts at the newest entry
		next.leaderChanges++
		next.logTime = e.newLeaderLogTime(state.snapshot)
		step("another node becomes leader", nil, next)
	}
}

// newLeaderLogTime returns the log time at which a new leader starts after the leader has restored a snapshot.
func (e *explorer) newLeaderLogTime(snapshot string) time.Duration {
	newLeader := &explorer{t: e.t, knobs: e.knobs, incarnation: 1}
	s := newLeader.newService()
	id := groups.GroupOf(exploreLock)
	must.NoError(e.t, s.StateMachine(id).Restore([]byte(snapshot)))
	s.LeadershipGained(id, 1)
	return s.LogTime(id)
}

// stateAfterSend returns the state after a caller sends a call, or false if the caller can't send it.
func (e exploreState) stateAfterSend(callerIndex int, operation coordination.Operation) (exploreState, bool) {
	caller := &e.callers[callerIndex]
	if e.callCount == exploreMaxCalls || operation != coordination.LockAcquire && !caller.hasLock {
		return e, false
	}
	e.calls[e.callCount] = exploreCall{caller: callerIndex, operation: operation, fencingToken: caller.fencingToken, sent: e.now, inFlight: 1}
	e.callCount++
	caller.awaitedCall = e.callCount
	if operation == coordination.LockRelease {
		caller.hasLock, caller.expiresAt = false, 0
	}
	return e, true
}

func exploreAllOrders(t *testing.T, depth int, knobs coordination.TestingKnobs) *explorer {
	e := &explorer{t: t, knobs: knobs, incarnation: 1, depth: depth, seen: map[exploreState]int{}}
	e.exploreFrom(exploreState{now: time.Minute, snapshot: string(coordination.NewState(testHistoryRetention).Snapshot())}, 0)
	return e
}

// In all orders of calls, at most one caller holds the lock, a copy of a call has no effect after the call's deadline, and a late copy of an
// acquire does not take a lock that was released.
func TestLockIsExclusiveInAllCallOrders(t *testing.T) {
	start, depth := time.Now(), exploreDepth
	if invariant.Debug { // each state takes ten times as long under the race detector
		depth -= 2
	}
	e := exploreAllOrders(t, depth, coordination.TestingKnobs{})
	must.Eq(t, "", e.violation)
	t.Logf("explored %d states in %v", len(e.seen), time.Since(start).Round(time.Millisecond))
}

// The explorer detects each fault in explorerFaults. The simulations detect these faults only by chance.
func TestExplorerDetectsFaults(t *testing.T) {
	for name, knobs := range explorerFaults {
		start := time.Now()
		e := exploreAllOrders(t, exploreDepth, knobs)
		t.Logf("fault %q: explored %d states in %v, violation: %s", name, len(e.seen), time.Since(start).Round(time.Millisecond), e.violation)
		test.NotEq(t, "", e.violation, test.Sprint(name))
	}
}
