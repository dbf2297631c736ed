package controlapi

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"clovergap/internal/gateway/coordination"
	"clovergap/internal/gateway/groups"
	"clovergap/internal/gateway/registry"
	"clovergap/internal/gateway/rollout"
	"clovergap/internal/gateway/statemachine"
	"clovergap/internal/proxy/counters"
	"clovergap/internal/proxy/downstream"
	"clovergap/internal/proxy/eventloop"
)

// testTimeout bounds every wait of these tests; none of them depends on how long anything takes within it.
const testTimeout = 20 * time.Second

// fakeNode answers as told, at once or when let.
type fakeNode struct {
	ready        bool
	status       int
	body         string
	ok           bool
	target       string
	asked        []string
	deferAnswers bool
	deferred     []func()
	came         chan bool
	answer       coordination.Result
}

func (f *fakeNode) do(what string, then func()) {
	f.asked = append(f.asked, what)
	if f.deferAnswers {
		f.deferred = append(f.deferred, then)
		f.came <- true
	} else {
		then()
	}
}
func (f *fakeNode) Ready() bool { return f.ready }
func (f *fakeNode) Status() NodeStatus {
	return NodeStatus{Node: "d", Generation: 7, Nodes: []StatusNode{}}
}
func (f *fakeNode) Change(k statemachine.Kind, body []byte, then func(int, []byte)) {
	status, text := f.status, []byte(f.body)
	f.do(fmt.Sprintf("change %c %s", k, body), func() { then(status, text) })
}
func (f *fakeNode) ReadConfiguration(then func(int, []byte)) {
	status, text := f.status, []byte(f.body)
	f.do("newest", func() { then(status, text) })
}
func (f *fakeNode) Heartbeat(w registry.Record, then func(bool, string)) {
	f.do(fmt.Sprint("beat ", w), func() { then(f.ok, f.target) })
}
func (f *fakeNode) Deregister(id string, then func(bool, string)) {
	f.do("leave "+id, func() { then(f.ok, f.target) })
}

func (f *fakeNode) Rollout(e *rollout.Entry, dry bool, then func(int, []byte)) {
	status, text := f.status, []byte(f.body)
	what := fmt.Sprintf("%s %q %d %d %d %s %s %s %v", e.Verb, e.Service, e.Revision, e.Number, e.Step, e.CallID, e.Author, e.Reason, dry)
	if e.Spec != nil {
		what += fmt.Sprint(" ", e.Spec)
	}
	f.do(what, func() { then(status, text) })
}
func (f *fakeNode) Rollouts(then func(int, []byte)) {
	status, text := f.status, []byte(f.body)
	f.do("rollouts", func() { then(status, text) })
}
func (f *fakeNode) RolloutHistory(service string) RolloutHistory {
	return RolloutHistory{Service: service, Rollouts: []RolloutPast{}}
}

func (f *fakeNode) Coordinate(c coordination.Call, _ time.Duration, then func(coordination.Result)) {
	a := f.answer
	f.do(fmt.Sprintf("%v %q %q %d %v %q %v %d %d %v", c.Operation, c.Name, c.Holder, c.FencingToken, c.TTL, c.Value, c.Conditional, c.ExpectedRevision, c.AfterRevision, c.Timeout),
		func() { then(a) })
}

func (f *fakeNode) GroupList() GroupList {
	return GroupList{Node: "d", Groups: []GroupStatus{{Group: 1, Leader: "x:1"}}}
}
func (f *fakeNode) TransferGroup(id groups.ID, address string) bool {
	f.asked = append(f.asked, fmt.Sprint("move ", id, " ", address))
	return f.ok
}

// fixture is the form on sockets, before a deployment.
type fixture struct {
	t      *testing.T
	engine *eventloop.Engine
	node   *fakeNode
}

func openFixture(t *testing.T) *fixture {
	st := &fixture{t, eventloop.New("", 1024, 256<<10, 16<<20), &fakeNode{}}
	in := downstream.New(st.engine, 100, downstream.Bounds{Body: 64 << 10}, func() bool { return false })
	in.SetHandler(New(in, st.node))
	must.NoError(t, st.engine.Listen("127.0.0.1:0", in.Accept))
	must.NoError(t, st.engine.Start())
	t.Cleanup(st.engine.Stop)
	return st
}

func (f *fixture) dial() (net.Conn, *bufio.Reader) {
	c, err := net.Dial("tcp", f.engine.AddrOf(0))
	must.NoError(f.t, err)
	c.SetDeadline(time.Now().Add(testTimeout))
	f.t.Cleanup(func() { c.Close() })
	return c, bufio.NewReader(c)
}

func send(c net.Conn, call, body string) {
	fmt.Fprintf(c, "%s HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", call, len(body), body)
}

// readResponse reads the next answer.
func (f *fixture) readResponse(r *bufio.Reader) (*http.Response, string) {
	f.t.Helper()
	a, err := http.ReadResponse(r, nil)
	must.NoError(f.t, err)
	body, err := io.ReadAll(a.Body)
	must.NoError(f.t, err)
	return a, string(body)
}

// inTurn changes the deployment in a turn, and gives what it was asked since the last time.
func (f *fixture) inTurn(call func(h *fakeNode)) (asked []string) {
	f.engine.Turn(func() {
		asked, f.node.asked = f.node.asked, nil
		call(f.node)
	})
	return asked
}

const heartbeatBody = `{"target":"s","address":"10.0.0.9:80","zone":"z","generation":"v1","capacity":3,"phase":"draining",
"cold_left":"1.5s","call_seq":4,"more":[1]}`

const orderBody = `{"service":"s","old":"v1","new":"v2","steps":[{"share":100,"min_time":"60s"}],"rev":4,"mark":"m","by":"ana",
"why":"late","dry_run":true}`

// Every call on one connection: what the deployment is asked, and how its word is answered.
func TestCalls(t *testing.T) {
	st := openFixture(t)
	c, r := st.dial()
	const few = `{"detail":"too few nodes have heard it","error":"unavailable"}`
	const replace, amend, read = "POST /api/Config.Replace", "POST /api/Config.Amend", "GET /api/Config.Read"
	const beats, leave = "POST /api/Backends.Heartbeat/i-1", "POST /api/Backends.Leave/i-1"
	heard := "beat " + fmt.Sprint(registry.Record{ID: "i-1", Service: "s", Addr: "10.0.0.9:80", Zone: "z", Generation: "v1",
		Capacity: 3, Phase: registry.Draining, SlowStartLeft: 1500 * time.Millisecond, Seq: 4})
	least := "beat " + fmt.Sprint(registry.Record{ID: "i-1", Service: "s", Addr: "a:1"})
	status, _ := json.Marshal((&fakeNode{}).Status())
	for _, x := range []struct {
		call, body string
		node       fakeNode
		asked      string
		status     int
		answer     string
	}{
		{"GET /api/ready", "", fakeNode{}, "", 503, ""},
		{"GET /api/ready?x=1", "", fakeNode{ready: true}, "", 200, ""},
		{replace, `{"a":1}`, fakeNode{status: 200}, `change r {"a":1}`, 200, ""},
		{amend, `{"b":1}`, fakeNode{status: 412, body: "5 is"}, `change a {"b":1}`, 412, `{"detail":"5 is","error":"conflict"}`},
		{amend, ``, fakeNode{status: 400, body: `v[0]: "x"`}, `change a `, 400, `{"detail":"v[0]: \"x\"","error":"invalid"}`},
		{replace, `{}`, fakeNode{status: 503, body: "no"}, `change r {}`, 503, `{"detail":"no","error":"unavailable"}`},
		{read, "", fakeNode{status: 200, body: `{"generation":7}`}, "newest", 200, `{"generation":7}`},
		{read, "", fakeNode{status: 503}, "newest", 503, `{"error":"unavailable"}`},
		{beats, heartbeatBody, fakeNode{ok: true, target: "10.0.0.1:1"}, heard, 200, `{"beat_target":"10.0.0.1:1"}`},
		{beats, `{"target":"s","address":"a:1","phase":"ready"}`, fakeNode{ok: true}, least, 200, `{}`},
		{beats, heartbeatBody, fakeNode{}, heard, 503, few},
		{leave, "", fakeNode{ok: true}, "leave i-1", 200, `{}`},
		{leave, "{}", fakeNode{}, "leave i-1", 503, few},
		{"GET /api/Node.Status", "", fakeNode{}, "", 200, string(status)},
		{"POST /api/Rollout.Start", orderBody, fakeNode{status: 200, body: `{"number":1}`},
			`start "s" 4 0 0 m ana late true s from v1 to v2 in 1 steps`, 200, `{"number":1}`},
		{"POST /api/Rollout.Step/s", `{"number":3,"rev":4,"step":2,"by":"ana"}`, fakeNode{status: 412, body: "no"},
			`step "s" 4 3 2  ana  false`, 412, `{"detail":"no","error":"conflict"}`},
		{"POST /api/Rollout.PullBack/a%2Fb", `{"number":3}`, fakeNode{status: 200, body: "{}"}, `pull-back "a/b" 0 3 0    false`, 200, "{}"},
		{"POST /api/Rollout.Hold/s", `{"nummer":3}`, fakeNode{}, "", 400,
			`{"detail":"body: json: unknown field \"nummer\"","error":"invalid"}`},
		{"POST /api/Rollout.Start", strings.Replace(orderBody, "100", "9001", 1), fakeNode{}, "", 400,
			`{"detail":"steps[0].share: 9001 breaks max 9000","error":"invalid"}`},
		{"GET /api/Rollout.Status", "", fakeNode{status: 200, body: `{}`}, "rollouts", 200, `{}`},
		{"GET /api/Rollout.History/s", "", fakeNode{}, "", 200, `{"service":"s","rollouts":[]}`},
	} {
		what := must.Sprint(x.call, " ", x.status)
		st.inTurn(func(h *fakeNode) { *h = x.node })
		send(c, x.call, x.body)
		a, body := st.readResponse(r)
		must.Eq(t, x.status, a.StatusCode, what)
		must.Eq(t, x.asked, strings.Join(st.inTurn(func(*fakeNode) {}), ";"), what)
		if x.answer == "" {
			must.Eq(t, "", body, what)
			continue
		}
		must.EqJSON(t, x.answer, body, what)
		must.Eq(t, "application/json", a.Header.Get("Content-Type"), what)
		must.Eq(t, map[bool]string{true: "0.200"}[x.status == 503], a.Header.Get("Retry-After"), what)
	}
}

// What is no call, or not as it should be, never gets to the deployment, and the connection goes on.
func TestRefusals(t *testing.T) {
	st := openFixture(t)
	c, r := st.dial()
	long := strings.Repeat("i", maxBackendIDBytes+1)
	refused := func(status int, body string, calls ...string) {
		t.Helper()
		for _, call := range calls {
			send(c, call, body)
			a, _ := st.readResponse(r)
			must.Eq(t, status, a.StatusCode, must.Sprint(call, " ", body))
			must.False(t, a.Close)
		}
	}
	refused(404, heartbeatBody, "GET /", "GET /api/Ready", "POST /api/Config.Replace/", "POST /api/Backends.Heartbeat")
	refused(404, orderBody, "POST /api/Rollout.Start/s", "POST /api/Rollout.Stop/s", "POST /api/Rollout.Hold/", "GET /api/Rollout.Status/s",
		"GET /api/Rollout.")
	refused(405, orderBody, "GET /api/Rollout.Start", "POST /api/Rollout.Status", "GET /api/Rollout.PullBack/s")
	refused(405, "{}", "POST /api/ready", "GET /api/Config.Replace", "PUT /api/Config.Amend", "POST /api/Config.Read",
		"GET /api/Backends.Leave/i-1", "DELETE /api/Node.Status")
	refused(400, heartbeatBody, "POST /api/Backends.Heartbeat/", "POST /api/Backends.Heartbeat/"+long,
		"POST /api/Backends.Leave/", "POST /api/Backends.Leave/"+long)
	for _, x := range [][2]string{{`"s"`, `""`}, {"draining", "gone"}, {"10.0.0.9:80", ""}, {"1.5s", "1.5"}, {":4", ":-4"},
		{heartbeatBody, ""}, {heartbeatBody[60:], ""}} {
		refused(400, strings.Replace(heartbeatBody, x[0], x[1], 1), "POST /api/Backends.Heartbeat/i-1")
	}
	must.SliceEmpty(t, st.inTurn(func(*fakeNode) {}))
	send(c, "POST /api/Config.Replace", strings.Repeat(" ", 65<<10))
	a, _ := st.readResponse(r)
	must.Eq(t, 413, a.StatusCode)
	must.True(t, a.Close)
}

// Answers may come late and in any order; one whose caller has left goes to nobody, least of all to who came next.
func TestLateAnswers(t *testing.T) {
	st := openFixture(t)
	st.inTurn(func(h *fakeNode) { h.deferAnswers, h.status, h.body = true, 200, "first" })
	came := make(chan bool, 9)
	st.inTurn(func(h *fakeNode) { h.came = came })
	asked := func() {
		select {
		case <-came:
		case <-time.After(testTimeout):
			t.Fatal("the node was never asked")
		}
	}
	one, r1 := st.dial()
	send(one, "GET /api/Config.Read", "")
	send(one, "GET /api/ready", "") // waits behind it
	asked()
	two, r2 := st.dial()
	st.inTurn(func(h *fakeNode) { h.body = "second" })
	send(two, "POST /api/Config.Replace", "{}")
	asked()
	gone, _ := st.dial()
	send(gone, "POST /api/Backends.Leave/i-1", "")
	asked()
	gone.Close()
	st.inTurn(func(h *fakeNode) {
		h.ready = true
		h.deferred[1]()
		h.deferred[2]()
	})
	_, body := st.readResponse(r2)
	must.Eq(t, "second", body)
	st.inTurn(func(h *fakeNode) { h.deferred[0]() })
	_, body = st.readResponse(r1)
	must.Eq(t, "first", body)
	a, _ := st.readResponse(r1)
	must.Eq(t, 200, a.StatusCode)
	st.engine.Turn(func() {
		st.node.deferred[1]() // said twice: nobody hears it
		must.Positive(t, st.engine.Count[counters.Undeliverable])
	})
	send(two, "GET /api/ready", "")
	a, body = st.readResponse(r2)
	must.Eq(t, 200, a.StatusCode)
	must.Eq(t, "", body)
}
