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
	"clovergap/internal/proxy/invariant"
)

// The explorer plays all orders of a few calls on one lock by two callers, each of whose calls may be given up, be passed on twice, and
// arrive late; time goes on in steps, and another node may come to lead.

const (
	exploreLock  = "l0"
	exploreHold  = 1200 * ms
	exploreStep  = 500 * ms
	exploreFor   = 800 * ms // a call counts
	exploreDepth = 10
	exploreSends = 5
	exploreSteps = 3
)

// place is where the exploration stands.
type place struct {
	now     time.Duration
	clock   time.Duration // the log clock
	state   string        // a snapshot
	callers [2]exploreCaller
	calls   [exploreSends]exploreCall
	sends   int
	steps   int
	copies  int
	changes int
}

// exploreCaller is a caller of the lock.
type exploreCaller struct {
	waits int // for the answer to that call, from 1; 0: none
	holds bool
	until time.Duration
	fence uint64
}

// exploreCall is one of its calls.
type exploreCall struct {
	caller   int
	what     coordination.Operation
	fence    uint64
	sent     time.Duration
	flying   int  // copies
	answered bool // with 200
	returned bool // a Begin whose lock was given back since, and that was answered
}

// explorer is a leader that is put wherever the exploration stands.
type explorer struct {
	t      *testing.T
	now    time.Duration
	life   uint64
	reply  *coordination.Reply
	state  groups.StateMachine
	depth  int
	seen   map[place]int // the least depth at which a place was met
	broken string
	path   []string
}

func (x *explorer) Propose(_ groups.ID, entry []byte, then func(groups.Outcome, []byte)) {
	then(groups.Applied, x.state.Apply(1, entry))
}
func (x *explorer) ReadIndex(_ groups.ID, then func(bool))             { then(true) }
func (x *explorer) Leadership(groups.ID) (uint64, time.Duration, bool) { return 1, 0, true }
func (x *explorer) Leader(groups.ID) (string, bool)                    { return "", false }
func (x *explorer) LeaderCandidates(groups.ID) []string                { return nil }
func (x *explorer) HintLeader(groups.ID, string)                       {}
func (x *explorer) Now() time.Duration                                 { return x.now }
func (x *explorer) At(time.Duration, uint32)                           {}
func (x *explorer) InTouch() bool                                      { return true }
func (x *explorer) Waited() time.Duration                              { return 0 }
func (x *explorer) Send(_ string, m *coordination.Message) bool        { x.reply = m.Reply; return true }

// deliver brings a copy of a call to the leader.
func (x *explorer) deliver(p place, nr int) place {
	c := &p.calls[nr]
	c.flying--
	s := coordination.New(x, coordination.Terms{Address: "leader", Life: x.life, History: testHistory})
	s.Over(x)
	id := groups.GroupOf(exploreLock)
	x.state, x.now, x.reply = s.StateMachine(id), p.now, nil
	must.NoError(x.t, x.state.Restore([]byte(p.state)))
	s.Resume(id, p.clock)
	held := x.state.(*coordination.State).Held()
	s.Heard("node", &coordination.Message{Ask: &coordination.Ask{Asker: 7, Number: uint32(nr) + 1, Life: x.life, Until: c.sent + exploreFor,
		Call: coordination.Call{Operation: c.what, Name: exploreLock, Holder: fmt.Sprint("h", c.caller), Fence: c.fence, Hold: exploreHold}}})
	before := p.state
	p.state = string(x.state.Snapshot())
	if p.now > c.sent+exploreFor && !bytes.Equal([]byte(before), []byte(p.state)) {
		x.breaks("a copy that came %v after its call did something", p.now-c.sent)
	}
	good := x.reply.Outcome == coordination.Done && x.reply.Answer.Status == coordination.OK
	if good && c.what == coordination.LockBegin && c.returned && held != x.state.(*coordination.State).Held() {
		x.breaks("a copy of a call that was answered and given back took the lock")
	}
	if who := &p.callers[c.caller]; who.waits == nr+1 {
		who.waits = 0
		if good {
			x.answered(&p, c, who)
		}
	}
	return p
}

// answered is what a good answer means to its caller.
func (x *explorer) answered(p *place, c *exploreCall, who *exploreCaller) {
	c.answered = true
	switch c.what {
	case coordination.LockBegin:
		if who.holds && p.now <= who.until {
			who.until = max(who.until, c.sent+exploreHold)
		} else {
			who.holds, who.until = true, c.sent+exploreHold
		}
		who.fence = x.reply.Answer.Fence
	case coordination.LockHeartbeat:
		if who.holds && p.now <= who.until {
			who.until = max(who.until, c.sent+exploreHold)
		}
	case coordination.LockFinish:
		for i := range p.calls[:p.sends] {
			if b := &p.calls[i]; b.caller == c.caller && b.what == coordination.LockBegin && b.answered {
				b.returned = true
			}
		}
	}
}

func (x *explorer) breaks(format string, args ...any) {
	if x.broken == "" {
		x.broken = fmt.Sprintf(format, args...) + " " + fmt.Sprint(x.path)
	}
}

// visit goes on from a place in all ways.
func (x *explorer) visit(p place, depth int) {
	if met, ok := x.seen[p]; x.broken != "" || ok && met <= depth {
		return
	}
	x.seen[p] = depth
	a, b := p.callers[0], p.callers[1]
	if a.holds && b.holds && p.now < a.until && p.now < b.until {
		x.breaks("both hold the lock")
		return
	}
	if depth == x.depth {
		return
	}
	step := func(what string, args []any, next place) {
		x.path = append(x.path, fmt.Sprintf(what, args...))
		x.visit(next, depth+1)
		x.path = x.path[:len(x.path)-1]
	}
	for i := range p.callers {
		if next := p; p.callers[i].waits > 0 { // the connection is reset
			next.callers[i].waits = 0
			step("%d gives up", []any{i}, next)
			continue
		}
		for _, what := range []coordination.Operation{coordination.LockBegin, coordination.LockHeartbeat, coordination.LockFinish} {
			if next, ok := p.send(i, what); ok {
				step("%d sends %v", []any{i, what}, next)
			}
		}
	}
	for nr := range p.calls[:p.sends] {
		if p.calls[nr].flying == 0 {
			continue
		}
		x.path = append(x.path, fmt.Sprintf("call %d arrives", nr))
		x.visit(x.deliver(p, nr), depth+1)
		x.path = x.path[:len(x.path)-1]
		if next := p; p.copies == 0 && p.calls[nr].flying == 1 {
			next.copies++
			next.calls[nr].flying++
			step("call %d is passed on twice", []any{nr}, next)
		}
	}
	if next := p; p.steps < exploreSteps {
		next.steps++
		next.now += exploreStep
		next.clock += exploreStep
		step("time", nil, next)
	}
	if next := p; p.changes == 0 { // the new leader's clock begins at the newest entry
		next.changes++
		next.clock = clockOf(x.t, p.state)
		step("another leads", nil, next)
	}
}

// clockOf is the log clock of a state, with which a new leader begins.
func clockOf(t *testing.T, state string) time.Duration {
	x := &explorer{life: 1}
	s := coordination.New(x, coordination.Terms{Life: 1, History: testHistory})
	s.Over(x)
	id := groups.GroupOf(exploreLock)
	must.NoError(t, s.StateMachine(id).Restore([]byte(state)))
	s.LeadershipGained(id, 1)
	return s.LogClock(id)
}

func (p place) send(caller int, what coordination.Operation) (place, bool) {
	who := &p.callers[caller]
	if p.sends == exploreSends || what != coordination.LockBegin && !who.holds {
		return p, false
	}
	p.calls[p.sends] = exploreCall{caller: caller, what: what, fence: who.fence, sent: p.now, flying: 1}
	p.sends++
	who.waits = p.sends
	if what == coordination.LockFinish {
		who.holds, who.until = false, 0
	}
	return p, true
}

func explore(t *testing.T, depth int) *explorer {
	x := &explorer{t: t, life: 1, depth: depth, seen: map[place]int{}}
	x.visit(place{now: time.Minute, state: string(coordination.NewState(testHistory).Snapshot())}, 0)
	return x
}

// In no order do two callers hold the lock, does a late copy count, or take a lock that was given back.
func TestExploreLock(t *testing.T) {
	began, depth := time.Now(), exploreDepth
	if invariant.Debug { // under the race detector each place takes ten times as long
		depth -= 2
	}
	x := explore(t, depth)
	must.Eq(t, "", x.broken)
	t.Logf("%d places in %v", len(x.seen), time.Since(began).Round(time.Millisecond))
}

// The explorer notices the defences that are about orders and that days notice only by chance.
func TestExploreNoticesFaults(t *testing.T) {
	defer coordination.Plant(coordination.Sound)
	for _, name := range coordination.FaultsOfOrders {
		coordination.Plant(coordination.Faults[name])
		began := time.Now()
		x := explore(t, exploreDepth)
		t.Logf("%s: %d places, %v: %s", name, len(x.seen), time.Since(began).Round(time.Millisecond), x.broken)
		test.NotEq(t, "", x.broken, test.Sprint(name))
	}
}
