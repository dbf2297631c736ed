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

// The explorer plays all orders of a few calls on one lock by two callers, each of whose calls may be given up, be passed on twice, and
// arrive late; time goes on in steps, and another node may come to lead.

const (
	exploreLock        = "l0"
	exploreTTL         = 1200 * ms
	exploreStep        = 500 * ms
	exploreCallTimeout = 800 * ms // a call counts
	exploreDepth       = 10
	exploreMaxCalls    = 5
	exploreMaxSteps    = 3
)

// exploreState is where the exploration stands.
type exploreState struct {
	now           time.Duration
	logTime       time.Duration // the log clock
	snapshot      string        // a snapshot
	callers       [2]exploreCaller
	calls         [exploreMaxCalls]exploreCall
	callCount     int
	steps         int
	duplicates    int
	leaderChanges int
}

// exploreCaller is a caller of the lock.
type exploreCaller struct {
	awaitedCall  int // for the answer to that call, from 1; 0: none
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
	acknowledged bool // with 200
	released     bool // a Begin whose lock was given back since, and that was answered
}

// explorer is a leader that is put wherever the exploration stands.
type explorer struct {
	t           *testing.T
	now         time.Duration
	incarnation uint64
	response    *coordination.ForwardResponse
	state       groups.StateMachine
	depth       int
	seen        map[exploreState]int // the least depth at which a place was met
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

// deliver brings a copy of a call to the leader.
func (e *explorer) deliver(p exploreState, nr int) exploreState {
	c := &p.calls[nr]
	c.inFlight--
	s := coordination.New(e, coordination.Config{Address: "leader", Incarnation: e.incarnation, HistoryRetention: testHistory})
	s.SetHost(e)
	id := groups.GroupOf(exploreLock)
	e.state, e.now, e.response = s.StateMachine(id), p.now, nil
	must.NoError(e.t, e.state.Restore([]byte(p.snapshot)))
	s.BecomeLeaderAt(id, p.logTime)
	held := e.state.(*coordination.State).HeldLocks()
	s.Receive("node", &coordination.Message{Request: &coordination.ForwardRequest{OriginIncarnation: 7, Sequence: uint32(nr) + 1, TargetIncarnation: e.incarnation, Deadline: c.sent + exploreCallTimeout,
		Call: coordination.Call{Operation: c.operation, Name: exploreLock, Holder: fmt.Sprint("h", c.caller), FencingToken: c.fencingToken, TTL: exploreTTL}}})
	before := p.snapshot
	p.snapshot = string(e.state.Snapshot())
	if p.now > c.sent+exploreCallTimeout && !bytes.Equal([]byte(before), []byte(p.snapshot)) {
		e.report("a copy that came %v after its call did something", p.now-c.sent)
	}
	good := e.response.Outcome == coordination.AttemptDone && e.response.Result.Status == coordination.StatusOK
	if good && c.operation == coordination.LockAcquire && c.released && held != e.state.(*coordination.State).HeldLocks() {
		e.report("a copy of a call that was answered and given back took the lock")
	}
	if who := &p.callers[c.caller]; who.awaitedCall == nr+1 {
		who.awaitedCall = 0
		if good {
			e.applySuccess(&p, c, who)
		}
	}
	return p
}

// applySuccess is what a good answer means to its caller.
func (e *explorer) applySuccess(p *exploreState, c *exploreCall, who *exploreCaller) {
	c.acknowledged = true
	switch c.operation {
	case coordination.LockAcquire:
		if who.hasLock && p.now <= who.expiresAt {
			who.expiresAt = max(who.expiresAt, c.sent+exploreTTL)
		} else {
			who.hasLock, who.expiresAt = true, c.sent+exploreTTL
		}
		who.fencingToken = e.response.Result.FencingToken
	case coordination.LockRenew:
		if who.hasLock && p.now <= who.expiresAt {
			who.expiresAt = max(who.expiresAt, c.sent+exploreTTL)
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

// visit goes on from a place in all ways.
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
		for _, what := range []coordination.Operation{coordination.LockAcquire, coordination.LockRenew, coordination.LockRelease} {
			if next, ok := p.send(i, what); ok {
				step("%d sends %v", []any{i, what}, next)
			}
		}
	}
	for nr := range p.calls[:p.callCount] {
		if p.calls[nr].inFlight == 0 {
			continue
		}
		e.path = append(e.path, fmt.Sprintf("call %d arrives", nr))
		e.visit(e.deliver(p, nr), depth+1)
		e.path = e.path[:len(e.path)-1]
		if next := p; p.duplicates == 0 && p.calls[nr].inFlight == 1 {
			next.duplicates++
			next.calls[nr].inFlight++
			step("call %d is passed on twice", []any{nr}, next)
		}
	}
	if next := p; p.steps < exploreMaxSteps {
		next.steps++
		next.now += exploreStep
		next.logTime += exploreStep
		step("time", nil, next)
	}
	if next := p; p.leaderChanges == 0 { // the new leader's clock begins at the newest entry
		next.leaderChanges++
		next.logTime = newLeaderLogTime(e.t, p.snapshot)
		step("another leads", nil, next)
	}
}

// newLeaderLogTime is the log clock of a state, with which a new leader begins.
func newLeaderLogTime(t *testing.T, state string) time.Duration {
	x := &explorer{incarnation: 1}
	s := coordination.New(x, coordination.Config{Incarnation: 1, HistoryRetention: testHistory})
	s.SetHost(x)
	id := groups.GroupOf(exploreLock)
	must.NoError(t, s.StateMachine(id).Restore([]byte(state)))
	s.LeadershipGained(id, 1)
	return s.LogTime(id)
}

func (e exploreState) send(caller int, what coordination.Operation) (exploreState, bool) {
	who := &e.callers[caller]
	if e.callCount == exploreMaxCalls || what != coordination.LockAcquire && !who.hasLock {
		return e, false
	}
	e.calls[e.callCount] = exploreCall{caller: caller, operation: what, fencingToken: who.fencingToken, sent: e.now, inFlight: 1}
	e.callCount++
	who.awaitedCall = e.callCount
	if what == coordination.LockRelease {
		who.hasLock, who.expiresAt = false, 0
	}
	return e, true
}

func explore(t *testing.T, depth int) *explorer {
	x := &explorer{t: t, incarnation: 1, depth: depth, seen: map[exploreState]int{}}
	x.visit(exploreState{now: time.Minute, snapshot: string(coordination.NewState(testHistory).Snapshot())}, 0)
	return x
}

// In no order do two callers hold the lock, does a late copy count, or take a lock that was given back.
func TestExploreLock(t *testing.T) {
	began, depth := time.Now(), exploreDepth
	if invariant.Debug { // under the race detector each place takes ten times as long
		depth -= 2
	}
	x := explore(t, depth)
	must.Eq(t, "", x.violation)
	t.Logf("%d places in %v", len(x.seen), time.Since(began).Round(time.Millisecond))
}

// The explorer notices the defences that are about orders and that days notice only by chance.
func TestExploreNoticesFaults(t *testing.T) {
	defer coordination.Plant(coordination.Sound)
	for _, name := range coordination.FaultsOfOrders {
		coordination.Plant(coordination.Faults[name])
		began := time.Now()
		x := explore(t, exploreDepth)
		t.Logf("%s: %d places, %v: %s", name, len(x.seen), time.Since(began).Round(time.Millisecond), x.violation)
		test.NotEq(t, "", x.violation, test.Sprint(name))
	}
}
