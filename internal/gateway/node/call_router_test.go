package node

import (
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"clovergap/internal/gateway/controlapi"
	"clovergap/internal/gateway/statemachine"
	"clovergap/internal/proxy/eventloop"
)

// A call that is in flight to a paused leader goes to its successor, once that is known here: the reply of the first never comes.
func TestCallFollowsTheLeader(t *testing.T) {
	d := newCluster(t, 3)
	for i := range d.settings { // a node whose contact is older than half of this ends calls at once: on a busy machine an election takes long
		d.settings[i].Bounds.InTouch = 2 * testTimeout
		d.start(i)
	}
	d.callUntilClear(0, 200, "POST", "/api/Config.Replace", configBody(7, 0))
	leader := -1
	d.eventually("a leader", func() bool {
		for i, h := range d.running {
			h.loop.Turn(func() {
				if h.core.replica.IsLeader() {
					leader = i
				}
			})
		}
		return leader >= 0
	})
	still, goOn := make(chan bool), make(chan bool)
	go d.running[leader].loop.Turn(func() {
		close(still)
		<-goOn
	})
	<-still
	defer close(goOn)
	h, answer := d.running[(leader+1)%3], make(chan int, 1)
	h.loop.Turn(func() {
		h.callLeader(ReadConfig, nil, 0, func(status int, _ []byte) { answer <- status })
		must.Eq(t, d.running[leader].peerAddr, h.calls.pending[h.calls.lastSequence].sentTo)
		h.calls.pending[h.calls.lastSequence].deadline = h.loop.Now() + testTimeout
	})
	must.Eq(t, 200, <-answer)
}

// fakeCallEnv is a node for a callRouter: what it knows of the leader is set by a test, and its alarms are called by tick.
type fakeCallEnv struct {
	t        *testing.T
	time     time.Duration
	contact  bool
	leads    bool
	target   string
	sent     []string // receivers of calls, in order
	proposed []changeProposal
	alarms   []fakeAlarm
}

type fakeAlarm struct {
	at     time.Duration
	to     eventloop.Alarm
	number uint32
}

func (f *fakeCallEnv) now() time.Duration { return f.time }
func (f *fakeCallEnv) schedule(at time.Duration, to eventloop.Alarm, number uint32) {
	f.alarms = append(f.alarms, fakeAlarm{at, to, number})
}
func (f *fakeCallEnv) sendFrame(to string, _ *Frame) bool {
	f.sent = append(f.sent, to)
	return true
}
func (f *fakeCallEnv) mayTakeCalls() bool       { return f.contact }
func (f *fakeCallEnv) isLeader() bool           { return f.leads }
func (f *fakeCallEnv) forwardTarget() string    { return f.target }
func (f *fakeCallEnv) propose(p changeProposal) { f.proposed = append(f.proposed, p) }
func (f *fakeCallEnv) noQuorumAt(string)        {}

// advance brings all alarms up to a time, in their order.
func (f *fakeCallEnv) advance(until time.Duration) {
	f.t.Helper()
	for {
		next := -1
		for i, a := range f.alarms {
			if a.at <= until && (next < 0 || a.at < f.alarms[next].at) {
				next = i
			}
		}
		if next < 0 {
			f.time = until
			return
		}
		a := f.alarms[next]
		f.alarms = slices.Delete(f.alarms, next, next+1)
		f.time = max(f.time, a.at)
		if a.to.Live(a.number) {
			a.to.Due(a.number)
		}
	}
}

// Each call ends once, with a status that says whether it may have been taken: a change that another node may have is never refused for
// want of a leader.
func TestCallOutcomes(t *testing.T) {
	const change, read = statemachine.KindReplaceConfig, ReadConfig
	atLeader, toA := fakeCallEnv{contact: true, leads: true}, fakeCallEnv{contact: true, target: "a"}
	reply := func(status int, body string) *callReply { return &callReply{callID{5, 1}, status, []byte(body)} }
	timeout, unknown := string(errCallTimeout), string(errOutcomeUnknown)
	for name, x := range map[string]struct {
		kind   statemachine.Kind
		env    fakeCallEnv
		hops   int
		then   func(c *callRouter, f *fakeCallEnv) // once the call has begun
		status int
		body   string
		at     time.Duration
		sent   []string
	}{
		"no contact":    {kind: change, status: 503, body: string(errNoQuorum)},
		"no leader":     {kind: change, env: fakeCallEnv{contact: true}, status: 503, body: timeout, at: callTimeout},
		"too many hops": {kind: change, env: toA, hops: maxHops, status: 503, body: timeout, at: callTimeout},
		"a change without a reply": {kind: change, env: toA,
			status: controlapi.StatusAmbiguous, body: timeout, at: callTimeout, sent: []string{"a"}},
		"a read without a reply": {kind: read, env: toA,
			status: 503, body: timeout, at: callTimeout, sent: []string{"a"}},
		"contact lost after a change": {kind: change, env: toA,
			then:   func(_ *callRouter, f *fakeCallEnv) { f.contact = false },
			status: controlapi.StatusAmbiguous, body: unknown, at: callRetryInterval, sent: []string{"a"}},
		"another leader": {kind: change, env: toA,
			then:   func(_ *callRouter, f *fakeCallEnv) { f.target = "b" },
			status: controlapi.StatusAmbiguous, body: timeout, at: callTimeout, sent: []string{"a", "b"}},
		"the link ends, no leader": {kind: change, env: toA,
			then: func(c *callRouter, f *fakeCallEnv) {
				f.target = ""
				c.linkDown("a")
			},
			status: controlapi.StatusAmbiguous, body: timeout, at: callTimeout, sent: []string{"a"}},
		"refused by the leader": {kind: change, env: toA,
			then:   func(c *callRouter, _ *fakeCallEnv) { c.receiveReply("a", reply(412, "lost")) },
			status: 412, body: "lost", sent: []string{"a"}},
		"unavailable, then led here": {kind: change, env: toA,
			then: func(c *callRouter, f *fakeCallEnv) {
				c.receiveReply("a", reply(503, ""))
				f.leads = true
				f.advance(callRetryInterval)
				f.proposed[0].done(200, nil)
			},
			status: 200, at: callRetryInterval, sent: []string{"a"}},
		"refused here": {kind: change, env: atLeader,
			then:   func(_ *callRouter, f *fakeCallEnv) { f.proposed[0].done(400, []byte("wrong")) },
			status: 400, body: "wrong"},
		"outcome not known here": {kind: change, env: atLeader,
			then:   func(_ *callRouter, f *fakeCallEnv) { f.proposed[0].done(controlapi.StatusAmbiguous, nil) },
			status: controlapi.StatusAmbiguous},
		"a read without an outcome here": {kind: read, env: atLeader, status: 503, body: timeout, at: callTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			f := &x.env
			f.t = t
			c := newCallRouter(f, 5, &TestingKnobs{})
			ended := 0
			c.callLeader(x.kind, []byte("body"), x.hops, func(status int, body []byte) {
				ended++
				must.Eq(t, x.status, status)
				must.Eq(t, x.body, string(body))
				must.Eq(t, x.at, f.time)
			})
			if x.then != nil {
				x.then(c, f)
			}
			f.advance(2 * callTimeout)
			must.Eq(t, 1, ended)
			must.Eq(t, x.sent, f.sent)
			must.MapEmpty(t, c.pending)
		})
	}
}

// A node takes no more calls than maxPendingCalls at one time, and says so at once.
func TestPendingCallsAreBounded(t *testing.T) {
	f := &fakeCallEnv{t: t, contact: true}
	c := newCallRouter(f, 5, &TestingKnobs{})
	for range maxPendingCalls {
		c.callLeader(ReadConfig, nil, 0, func(int, []byte) {})
	}
	refused := false
	c.callLeader(ReadConfig, nil, 0, func(status int, body []byte) {
		refused = true
		must.Eq(t, statusUnavailable, status)
		must.True(t, errTooManyCalls.is(body))
	})
	must.True(t, refused)
	f.advance(callTimeout)
	must.MapEmpty(t, c.pending)
}
