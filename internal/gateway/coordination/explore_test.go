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

// The explorer plays all orders of a few calls on one lock by two callers. Each call may be given up, be forwarded twice and arrive late;
// time goes on in steps, and another node may come to lead.

const (
	exploreLock        = "l0"
	exploreTTL         = 1200 * ms
	exploreStep        = 500 * ms
	exploreCallTimeout = 800 * ms
	exploreDepth       = 10
	exploreMaxCalls    = 5
	exploreMaxSteps    = 3
)

// exploreState is where the exploration stands.
type exploreState struct {
	now           time.Duration
	logTime       time.Duration // of the leader
	snapshot      string        // of the group's state
	callers       [2]exploreCaller
	calls         [exploreMaxCalls]exploreCall
	callCount     int
	steps         int
	duplicates    int
	leaderChanges int
}

// exploreCaller is a caller of the lock.
type exploreCaller struct {
	awaitedCall  int // the number of the call whose answer it waits for, from 1; 0: none
	hasLock      bool
	expiresAt    time.Duration
	fencingToken uint64
}

// exploreCall is one of its calls.
type exploreCall struct {
	caller       int
	operation    coordination.Operation
	fencingToken uint64
	sent         time.Duration
	inFlight     int  // copies
	acknowledged bool // it was answered with success
	released     bool // an acquire that was acknowledged and whose lock was released since
}

// explorer is a leader that is put into whatever state the exploration has reached. It is a groups.Host and a coordination.Env.
type explorer struct {
	t           *testing.T
	knobs       coordination.TestingKnobs
	now         time.Duration
	incarnation uint64
	response    *coordination.ForwardResponse
	state       groups.StateMachine
	depth       int
	seen        map[exploreState]int // the least depth at which a state was met
	violation   string
	path        []string
}

func (e *explorer) Propose(_ groups.ID, entry []byte, then func(groups.Outcome, []byte)) {
	then(groups.Applied, e.state.Apply(1, entry))
}
func (e *explorer) ReadIndex(_ groups.ID, then func(bool))             { then(true) }
func (e *explorer) Leadership(groups.ID) (uint64, time.Duration, bool) { return 1, 0, true }
func (e *explorer) Leader(groups.ID) (string, bool)                    { return "", false }
func (e *explorer) LeaderCandidates(groups.ID) []string                { return nil }
func (e *explorer) HintLeader(groups.ID, string)                       {}
func (e *explorer) Now() time.Duration                                 { return e.now }
func (e *explorer) ScheduleAt(time.Duration, uint32)                   {}
func (e *explorer) HasQuorumContact() bool                             { return true }
func (e *explorer) InputDelay() time.Duration                          { return 0 }
func (e *explorer) Send(_ string, m *coordination.Message) bool        { e.response = m.Response; return true }

func (e *explorer) newService() *coordination.Service {
	config := coordination.Config{Address: "leader", Incarnation: e.incarnation, HistoryRetention: testHistory, TestingKnobs: e.knobs}
	s := coordination.New(e, config)
	s.SetHost(e)
	return s
}

// newRequest is a call as another node forwards it.
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

// deliver brings a copy of a call to the leader.
func (e *explorer) deliver(p exploreState, number int) exploreState {
	c := &p.calls[number]
	c.inFlight--
	s := e.newService()
	id := groups.GroupOf(exploreLock)
	e.state, e.now, e.response = s.StateMachine(id), p.now, nil
	must.NoError(e.t, e.state.Restore([]byte(p.snapshot)))
	s.BecomeLeaderAt(id, p.logTime)
	held := e.state.(*coordination.State).HeldLocks()
	s.Receive("node", &coordination.Message{Request: e.newRequest(c, number)})
	before := p.snapshot
	p.snapshot = string(e.state.Snapshot())
	if p.now > c.sent+exploreCallTimeout && !bytes.Equal([]byte(before), []byte(p.snapshot)) {
		e.report("a copy that came %v after its call had an effect", p.now-c.sent)
	}
	succeeded := e.response.Outcome == coordination.AttemptDone && e.response.Result.Status == coordination.StatusOK
	if succeeded && c.operation == coordination.LockAcquire && c.released && held != e.state.(*coordination.State).HeldLocks() {
		e.report("a copy of an acquire took the lock that was released since")
	}
	if caller := &p.callers[c.caller]; caller.awaitedCall == number+1 {
		caller.awaitedCall = 0
		if succeeded {
			e.applySuccess(&p, c, caller)
		}
	}
	return p
}

// applySuccess is what a successful answer means to its caller.
func (e *explorer) applySuccess(p *exploreState, c *exploreCall, caller *exploreCaller) {
	c.acknowledged = true
	switch c.operation {
	case coordination.LockAcquire:
		if caller.hasLock && p.now <= caller.expiresAt {
			caller.expiresAt = max(caller.expiresAt, c.sent+exploreTTL)
		} else {
			caller.hasLock, caller.expiresAt = true, c.sent+exploreTTL
		}
		caller.fencingToken = e.response.Result.FencingToken
	case coordination.LockRenew:
		if caller.hasLock && p.now <= caller.expiresAt {
			caller.expiresAt = max(caller.expiresAt, c.sent+exploreTTL)
		}
	case coordination.LockRelease:
		for i := range p.calls[:p.callCount] {
			if b := &p.calls[i]; b.caller == c.caller && b.operation == coordination.LockAcquire && b.acknowledged {
				b.released = true
			}
		}
	}
}

func (e *explorer) report(format string, args ...any) {
	if e.violation == "" {
		e.violation = fmt.Sprintf(format, args...) + " " + fmt.Sprint(e.path)
	}
}

// visit takes all steps from a state.
func (e *explorer) visit(p exploreState, depth int) {
	if met, ok := e.seen[p]; e.violation != "" || ok && met <= depth {
		return
	}
	e.seen[p] = depth
	a, b := p.callers[0], p.callers[1]
	if a.hasLock && b.hasLock && p.now < a.expiresAt && p.now < b.expiresAt {
		e.report("both hold the lock")
		return
	}
	if depth == e.depth {
		return
	}
	step := func(what string, args []any, next exploreState) {
		e.path = append(e.path, fmt.Sprintf(what, args...))
		e.visit(next, depth+1)
		e.path = e.path[:len(e.path)-1]
	}
	for i := range p.callers {
		if next := p; p.callers[i].awaitedCall > 0 { // the connection is reset
			next.callers[i].awaitedCall = 0
			step("%d gives up", []any{i}, next)
			continue
		}
		for _, operation := range []coordination.Operation{coordination.LockAcquire, coordination.LockRenew, coordination.LockRelease} {
			if next, ok := p.send(i, operation); ok {
				step("%d sends %v", []any{i, operation}, next)
			}
		}
	}
	for number := range p.calls[:p.callCount] {
		if p.calls[number].inFlight == 0 {
			continue
		}
		e.path = append(e.path, fmt.Sprintf("call %d arrives", number))
		e.visit(e.deliver(p, number), depth+1)
		e.path = e.path[:len(e.path)-1]
		if next := p; p.duplicates == 0 && p.calls[number].inFlight == 1 {
			next.duplicates++
			next.calls[number].inFlight++
			step("call %d is forwarded twice", []any{number}, next)
		}
	}
	if next := p; p.steps < exploreMaxSteps {
		next.steps++
		next.now += exploreStep
		next.logTime += exploreStep
		step("time", nil, next)
	}
	if next := p; p.leaderChanges == 0 { // the new leader's log time begins at the newest entry
		next.leaderChanges++
		next.logTime = e.newLeaderLogTime(p.snapshot)
		step("another leads", nil, next)
	}
}

// newLeaderLogTime is the log time with which a new leader begins that was given a snapshot.
func (e *explorer) newLeaderLogTime(snapshot string) time.Duration {
	other := &explorer{t: e.t, knobs: e.knobs, incarnation: 1}
	s := other.newService()
	id := groups.GroupOf(exploreLock)
	must.NoError(e.t, s.StateMachine(id).Restore([]byte(snapshot)))
	s.LeadershipGained(id, 1)
	return s.LogTime(id)
}

// send has a caller send a call. False: it can't.
func (e exploreState) send(number int, operation coordination.Operation) (exploreState, bool) {
	caller := &e.callers[number]
	if e.callCount == exploreMaxCalls || operation != coordination.LockAcquire && !caller.hasLock {
		return e, false
	}
	e.calls[e.callCount] = exploreCall{caller: number, operation: operation, fencingToken: caller.fencingToken, sent: e.now, inFlight: 1}
	e.callCount++
	caller.awaitedCall = e.callCount
	if operation == coordination.LockRelease {
		caller.hasLock, caller.expiresAt = false, 0
	}
	return e, true
}

func explore(t *testing.T, depth int, knobs coordination.TestingKnobs) *explorer {
	x := &explorer{t: t, knobs: knobs, incarnation: 1, depth: depth, seen: map[exploreState]int{}}
	x.visit(exploreState{now: time.Minute, snapshot: string(coordination.NewState(testHistory).Snapshot())}, 0)
	return x
}

// In no order do two callers hold the lock, does a late copy have an effect, or does a copy take a lock that was released.
func TestExploreLock(t *testing.T) {
	began, depth := time.Now(), exploreDepth
	if invariant.Debug { // under the race detector each state takes ten times as long
		depth -= 2
	}
	x := explore(t, depth, coordination.TestingKnobs{})
	must.Eq(t, "", x.violation)
	t.Logf("%d states in %v", len(x.seen), time.Since(began).Round(time.Millisecond))
}

// The explorer notices the removal of each defence that days notice only by chance.
func TestExploreNoticesFaults(t *testing.T) {
	for name, knobs := range faultsOfOrders {
		began := time.Now()
		x := explore(t, exploreDepth, knobs)
		t.Logf("%s: %d states, %v: %s", name, len(x.seen), time.Since(began).Round(time.Millisecond), x.violation)
		test.NotEq(t, "", x.violation, test.Sprint(name))
	}
}
