package ingress

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"

	"clovergap/control"
	"clovergap/internal/lab/standin"
	"clovergap/internal/proxy/counters"
	"clovergap/internal/proxy/downstream"
	"clovergap/internal/proxy/eventloop"
	"clovergap/internal/proxy/gate"
	"clovergap/internal/proxy/slots"
	"clovergap/internal/proxy/upstream"
)

// testTimeout is the maximum duration of every wait in these tests. No test depends on how long an operation takes within
// testTimeout.
const testTimeout = 20 * time.Second

// fakeModule is a minimal control module. It submits each request to backend 7. It rejects a request that never ran, and
// fails a request that may have run.
type fakeModule struct {
	decisions    []control.Decision
	rejectReason control.Reason                  // if not 0, every request is rejected for this reason
	expiry       map[control.TxnID]time.Duration // deadline of each request, on the clock of the event loop
}

func (f *fakeModule) Now(time.Duration) {}
func (f *fakeModule) TxnArrived(txn control.Txn) {
	f.expiry[txn.ID] = txn.Expiry
	d := control.Decision{Action: control.Submit, Txn: txn.ID, Backend: 7}
	if f.rejectReason != 0 {
		d = control.Decision{Action: control.Reject, Txn: txn.ID, Reason: f.rejectReason, After: 1500 * time.Millisecond}
	}
	f.decisions = append(f.decisions, d)
}

func (f *fakeModule) ClientLeft(id control.TxnID) {
	f.decisions = append(f.decisions, control.Decision{Action: control.Cancel, Txn: id})
}

func (f *fakeModule) SubmissionEnded(id control.TxnID, _ int, _ control.BackendID, ending control.Ending, over bool,
	_ time.Duration, _ []float64) {
	d := control.Decision{Action: control.Fail, Txn: id, Reason: control.ReasonNoBackend}
	if ending == control.Rejected || ending == control.Unreachable || ending == control.NotSent {
		d.Action = control.Reject
	}
	if !over {
		f.decisions = append(f.decisions, d)
	}
}
func (f *fakeModule) EndpointsChanged(bool, []control.Endpoint)                    {}
func (f *fakeModule) DatagramReceived(control.GatewayID, []byte)                   {}
func (f *fakeModule) ProbeEnded(control.BackendID, bool, time.Duration, []float64) {}
func (f *fakeModule) Woken(uint64)                                                 {}
func (f *fakeModule) Next() (d control.Decision, ok bool) {
	if len(f.decisions) == 0 {
		return d, false
	}
	d, f.decisions = f.decisions[0], f.decisions[1:]
	return d, true
}

// clock is the event loop's clock for the gate. An alarm of the clock wakes wakeTarget, which is the gate.
type clock struct {
	*eventloop.Engine
	wakeTarget eventloop.Alarm
}

func (c *clock) Wake(at time.Duration, nr uint32) { c.At(at, c.wakeTarget, nr) }

// fakeCatalog has routes for one host: /pure/ and /once/ require the API key k1, /open/ requires none. Requests to /once/
// may run at most once.
type fakeCatalog struct {
	configurationPending bool                // Admit rejects every request with ConfigurationPending
	replaced             []control.BackendID // arguments of the calls of BackendReplaced
}

func (f *fakeCatalog) Admit(host, path, key []byte) (Admission, Rejection) {
	switch kind, _, _ := strings.Cut(strings.TrimPrefix(string(path), "/"), "/"); {
	case f.configurationPending:
		return Admission{}, ConfigurationPending
	case string(host) != "lots.example" || kind != "pure" && kind != "once" && kind != "open":
		return Admission{}, NoRoute
	case kind == "open":
		return Admission{Deadline: 20 * time.Second}, NotRejected
	case string(key) != "k1":
		return Admission{}, InvalidKey
	default:
		return Admission{Tenant: "huka", AtMostOnce: kind == "once", Deadline: 20 * time.Second}, NotRejected
	}
}
func (f *fakeCatalog) BackendName(control.BackendID) string { return "i-7" }
func (f *fakeCatalog) BackendReplaced(at control.BackendID) { f.replaced = append(f.replaced, at) }

// fixture is the data path of a node between a client and a backend. The test writes the backend's responses.
type fixture struct {
	t        *testing.T
	engine   *eventloop.Engine
	server   *downstream.Server
	dispatch *upstream.Dispatch
	gate     *gate.Gate
	module   *fakeModule
	catalog  *fakeCatalog
	backend  *standin.Script
}

// newFixture starts a data path whose only backend has the ID 7. The end of the test stops the data path. A dial may take as long as any
// other wait of these tests: a machine under load may hold up the test's process for longer than a node waits for a backend.
func newFixture(t *testing.T) *fixture {
	testNode := &fixture{t: t, engine: eventloop.New("", 1024, 512<<10, 64<<20), catalog: &fakeCatalog{},
		module: &fakeModule{expiry: map[control.TxnID]time.Duration{}}}
	gateClock := &clock{Engine: testNode.engine}
	testNode.gate = gate.New(testNode.module, gateClock, 1000, testNode.engine.Count, zap.NewNop())
	gateClock.wakeTarget = testNode.gate
	testNode.dispatch = upstream.New(testNode.engine, testNode.gate, UpstreamConfig(testNode.catalog, testTimeout), func() bool { return false })
	testNode.server = downstream.New(testNode.engine, 500, DownstreamBounds(Limits{16 << 10, 4 << 20, 5 * time.Second, 15 * time.Second}),
		func() bool { return false })
	handler := New(testNode.server, testNode.engine, testNode.gate, testNode.catalog)
	must.True(t, handler != nil)
	testNode.gate.SetTransport(testNode.dispatch, nil)
	testNode.engine.OnTurnEnd(testNode.gate.RunDecisions)
	must.NoError(t, testNode.engine.Listen("127.0.0.1:0", testNode.server.Accept))
	var err error
	testNode.backend, err = standin.NewScript()
	must.NoError(t, err)
	must.NoError(t, testNode.engine.Start())
	testNode.engine.Turn(func() { testNode.dispatch.SetBackend(7, testNode.backend.Addr(), 0, true) })
	t.Cleanup(func() { testNode.engine.Stop(); testNode.backend.Close() })
	return testNode
}

// client is a connection of a client to the node.
type client struct {
	t *testing.T
	net.Conn
	reader *bufio.Reader
}

func (f *fixture) dial() *client {
	c, err := net.Dial("tcp", f.engine.AddrOf(0))
	must.NoError(f.t, err)
	c.SetDeadline(time.Now().Add(testTimeout))
	f.t.Cleanup(func() { c.Close() })
	return &client{f.t, c, bufio.NewReader(c)}
}

func (c *client) send(text string) { io.WriteString(c, text) }

// expectResponse reads a response and checks the status line and the given headers. A header with the prefix "!" must be
// absent. expectResponse returns the body.
func (c *client) expectResponse(line string, headers ...string) string {
	c.t.Helper()
	head, body, err := standin.ReadMessage(c.reader)
	must.NoError(c.t, err)
	first, rest, _ := strings.Cut(head, "\r\n")
	must.Eq(c.t, line, first)
	for _, h := range headers {
		if no, missing := strings.CutPrefix(h, "!"); missing {
			must.StrNotContains(c.t, "\r\n"+rest, "\r\n"+no)
		} else {
			must.StrContains(c.t, "\r\n"+rest, "\r\n"+h+"\r\n")
		}
	}
	return body
}

// expectEOF checks that the node has closed the connection.
func (c *client) expectEOF() {
	c.t.Helper()
	_, err := c.reader.ReadByte()
	must.ErrorIs(c.t, err, io.EOF)
}

// counterValue returns the value of a counter of the node.
func (f *fixture) counterValue(id counters.ID) (n uint64) {
	f.engine.Turn(func() { n = f.engine.Count[id] })
	return n
}

// requestText returns the head of a request with the API key k1. more holds additional header lines, each with its line end.
func requestText(method, path, id, more string) string {
	return method + " " + path + " HTTP/1.1\r\nHost: Lots.example:80\r\nX-Attempt-Id: " + id +
		"\r\nAuthorization: Token k1\r\n" + more + "\r\n"
}

// okResponseText returns a sealed response of a backend with status 200. more holds additional header lines, each with its
// line end.
func okResponseText(id, more, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 Fine\r\nX-Attempt-Id: %s\r\nX-Backend-Seal: s1\r\n%sContent-Length: %d\r\n\r\n%s",
		id, more, len(body), body)
}

// Guards against requests and responses that are forwarded with changes. Hop-by-hop headers must be dropped, and the
// gateway headers of the client must be replaced. All other headers and the body must stay.
func TestForwardedHeadersAndBody(t *testing.T) {
	testNode := newFixture(t)
	c := testNode.dial()
	c.send(requestText("PATCH", "/pure/a?b=c&d", "a1", "Connection: X-Attempt-Id, x-hop, keep-alive\r\nX-Hop: 1\r\n"+
		"X-Tenant: liar\r\nX-Expect-Backend: i-0\r\nX-Deadline-Ms: 1500\r\nTE: trailers\r\nX-Other: kept\r\n"+
		"Transfer-Encoding: chunked\r\n") +
		"3\r\nabc\r\n2;x\r\nde\r\n0\r\nT: u\r\n\r\n")
	call := testNode.backend.Next()
	left := 0
	var lines []string
	for _, l := range strings.Split(strings.TrimSpace(call.Head), "\r\n") {
		if n, _ := fmt.Sscanf(l, "X-Deadline-Ms: %d", &left); n == 0 {
			lines = append(lines, l)
		}
	}
	must.Eq(t, []string{"PATCH /pure/a?b=c&d HTTP/1.1", "Host: Lots.example:80", "X-Attempt-Id: a1", "X-Other: kept",
		"X-Expect-Backend: i-7", "X-Tenant: huka", "Content-Length: 5"}, lines)
	must.Eq(t, "abcde", call.Body)
	must.Between(t, 1000, left, 1500)
	call.Answer(okResponseText("a1", "Connection: X-Backend-Seal, x-hop\r\nX-Hop: 2\r\nSet-Cookie: a\r\nSet-Cookie: b\r\n", "body"))
	must.Eq(t, "body", c.expectResponse("HTTP/1.1 200 Fine", "X-Attempt-Id: a1", "X-Backend-Seal: s1", "Set-Cookie: a",
		"Set-Cookie: b", "!X-Hop", "!Connection"))
	c.send(requestText("HEAD", "/open/", "a2", "") + requestText("GET", "/open/", "a3", "Connection: close\r\n"))
	call = testNode.backend.Next()
	must.StrNotContains(t, call.Head, "Tenant")
	call.Answer("HTTP/1.1 200 OK\r\nX-Attempt-Id: a2\r\nX-Backend-Seal: s\r\nContent-Length: 9\r\n\r\n")
	line, _ := c.reader.ReadString('\n')
	must.Eq(t, "HTTP/1.1 200 OK\r\n", line)
	for line != "\r\n" {
		line, _ = c.reader.ReadString('\n')
	}
	testNode.backend.Next().Answer(okResponseText("a3", "", "third"))
	must.Eq(t, "third", c.expectResponse("HTTP/1.1 200 Fine", "Connection: close"))
	c.expectEOF()
}

// Guards against a wrong status for a rejected request. A node whose configuration is pending must answer 503 and not 404
// or 401. Malformed requests must get a 4xx without a connection to a backend.
func TestRejectedRequests(t *testing.T) {
	testNode := newFixture(t)
	good := requestText("GET", "/pure/", "r", "")
	swap := func(old, new string) string { return strings.Replace(good, old, new, 1) }
	for _, testCase := range []struct{ text, line string }{
		{swap("/pure/", "/none/"), "404 Not Found"}, {swap("Lots", "bids"), "404 Not Found"},
		{swap("k1", "k2"), "401 Unauthorized"}, {swap("Token", "Basic"), "401 Unauthorized"},
		{swap("X-Attempt-Id: r\r\n", ""), "400 Bad Request"}, {swap("Host", "Ghost"), "400 Bad Request"},
		{swap("\r\n\r\n", "\r\nHost: a\r\n\r\n"), "400 Bad Request"},
		{swap("\r\n\r\n", "\r\nX-Deadline-Ms: soon\r\n\r\n"), "400 Bad Request"},
		{swap("/pure/", "pure/"), "400 Bad Request"}, {swap("Host:", "Host :"), "400 Bad Request"},
		{swap("\r\n\r\n", "\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n"), "400 Bad Request"},
		{swap("\r\n\r\n", "\r\nContent-Length: 1\r\n\r\nab?"), "400 Bad Request"},
		{swap("Host", " Host"), "400 Bad Request"}, {swap("\r\nHost", "\nHost"), "400 Bad Request"},
		{swap("\r\n\r\n", "\r\nContent-Length: 4194305\r\n\r\n"), "413 Content Too Large"},
		{swap("\r\n\r\n", "\r\nA: "+strings.Repeat("a", 17<<10)+"\r\n\r\n"), "431 Request Header Fields Too Large"},
	} {
		c := testNode.dial()
		c.send(testCase.text)
		c.expectResponse("HTTP/1.1 " + testCase.line)
	}
	testNode.engine.Turn(func() { testNode.module.rejectReason = control.ReasonNoUnits })
	c := testNode.dial()
	c.send(good)
	c.expectResponse("HTTP/1.1 429 Too Many Requests", "Retry-After: 1.500", "X-Attempt-Id: r")
	testNode.engine.Turn(func() { testNode.module.rejectReason = control.ReasonNoBackend })
	c.send(good)
	c.expectResponse("HTTP/1.1 503 Service Unavailable", "Retry-After: 1.500")
	testNode.engine.Turn(func() { testNode.catalog.configurationPending = true })
	c.send(good)
	c.expectResponse("HTTP/1.1 503 Service Unavailable", "Retry-After: 0.300")
	must.Eq(t, 0, testNode.counterValue(counters.Dials))
}

// Guards against a wrong status for the client after each outcome of a submission to a backend. A response that does not
// prove that the request did not run must never become a 503, since the client may then safely retry.
func TestAnswerForEachBackendOutcome(t *testing.T) {
	testNode := newFixture(t)
	responder := func(status, more string) func(*standin.Call) {
		return func(call *standin.Call) {
			call.Answer("HTTP/1.1 " + status + "\r\nX-Attempt-Id: e\r\n" + more + "Content-Length: 2\r\n\r\nno")
		}
	}
	const unavailable, bad = "503 Service Unavailable", "502 Bad Gateway"
	for _, testCase := range []struct {
		name    string
		respond func(*standin.Call) // writes the response of the backend
		pure    string              // status line for the client of a request that may run again
		once    string              // status line for the client of a request that may run at most once
		ending  counters.ID         // counter that must increase by 1
	}{
		{"500 without X-Not-Run", responder("500 Oops", ""), "502 Bad Gateway", "500 Oops", counters.EndErrored},
		{"504 without X-Not-Run", responder("504 Late", ""), "502 Bad Gateway", "504 Late", counters.EndErrored},
		{"403 of the service", responder("403 No", ""), "403 No", "403 No", counters.EndAnswered},
		{"503 with X-Not-Run", responder("503 Full", "X-Not-Run: 1\r\n"), unavailable, unavailable, counters.EndFull},
		{"429 with X-Not-Run", responder("429 Full", "X-Not-Run: 1\r\n"), unavailable, unavailable, counters.EndFull},
		{"421 of a different backend", responder("421 Wrong", ""), unavailable, unavailable, counters.EndFull},
		{"503 without X-Not-Run", responder("503 Full", ""), bad, bad, counters.EndErrored},
		{"200 without X-Backend-Seal", responder("200 OK", ""), bad, bad, counters.EndErrored},
		{"200 with Content-Encoding", responder("200 OK", "X-Backend-Seal: s\r\nContent-Encoding: gzip\r\n"), bad, bad, counters.EndErrored},
		{"500 without X-Attempt-Id", func(call *standin.Call) { call.Answer("HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n") },
			bad, bad, counters.EndBroken},
		{"response body truncated", func(call *standin.Call) { call.Answer(okResponseText("e", "", "some")[:80]); call.Conn.Close() },
			bad, bad, counters.EndBroken},
		{"connection reset", func(call *standin.Call) { call.Conn.(*net.TCPConn).SetLinger(0); call.Conn.Close() },
			bad, bad, counters.EndBroken},
		{"response is not HTTP", func(call *standin.Call) { call.Answer("\x00\x01\r\n") }, bad, bad, counters.EndBroken},
	} {
		for path, line := range map[string]string{"/pure/": testCase.pure, "/once/": testCase.once} {
			c, before := testNode.dial(), testNode.counterValue(testCase.ending)
			c.send(requestText("POST", path, "e", ""))
			testCase.respond(testNode.backend.Next())
			c.expectResponse("HTTP/1.1 " + line)
			must.Eq(t, before+1, testNode.counterValue(testCase.ending), must.Sprint(testCase.name, path))
		}
	}
	must.Eq(t, []control.BackendID{7, 7}, testNode.catalog.replaced)
}

// Guards against responses of the gateway that carry the X-Backend-Seal header of a backend. Only a complete response of
// the backend may have the seal, and must then have the status of the backend. The failure would occur if the gateway
// copied headers of a rejected or truncated response.
func TestGatewayErrorsHaveNoBackendSeal(t *testing.T) {
	testNode := newFixture(t)
	for _, status := range []string{"200 OK", "204 Empty", "302 Away", "403 No", "408 Slow", "421 Wrong", "429 Full", "500 Oops", "502 Bad",
		"503 Full", "504 Late"} {
		for name, more := range map[string]string{"": "", "not run": "X-Not-Run: 1\r\n", "encoded": "Content-Encoding: gzip\r\n"} {
			for _, cut := range []bool{false, true} {
				for _, path := range []string{"/pure/", "/once/"} {
					c := testNode.dial()
					c.send(requestText("POST", path, "e", ""))
					call := testNode.backend.Next()
					text := "HTTP/1.1 " + status + "\r\nX-Attempt-Id: e\r\nX-Backend-Seal: s\r\n" + more + "Content-Length: 2\r\n\r\nno"
					if status == "204 Empty" {
						text = strings.Replace(text, "Content-Length: 2\r\n\r\nno", "\r\n", 1)
					}
					if cut { // the backend omits the last byte of the response
						call.Answer(text[:len(text)-1])
						call.Conn.Close()
					} else {
						call.Answer(text)
					}
					head, _, err := standin.ReadMessage(c.reader)
					must.NoError(t, err)
					line, _, _ := strings.Cut(strings.TrimPrefix(head, "HTTP/1.1 "), "\r\n")
					if strings.Contains(head, "X-Backend-Seal:") {
						must.Eq(t, status, line, must.Sprint(status, name, cut, path))
						must.False(t, cut)
					} else {
						must.True(t, line == "502 Bad Gateway" || line == "503 Service Unavailable", must.Sprint(status, line))
					}
				}
			}
		}
	}
}

// Guards against a response that reaches the wrong client. A response with the ID of another request must be skipped. A
// surplus response must close the connection to the backend.
func TestResponseWithOtherAttemptIDIsSkipped(t *testing.T) {
	testNode := newFixture(t)
	c := testNode.dial()
	c.send(requestText("POST", "/once/", "x1", ""))
	call := testNode.backend.Next()
	call.Answer(okResponseText("x0", "", "not yours") + okResponseText("x1", "", "yours") + okResponseText("x2", "", "nobody's"))
	must.Eq(t, "yours", c.expectResponse("HTTP/1.1 200 Fine"))
	call.Conn.SetReadDeadline(time.Now().Add(testTimeout))
	_, err := call.Conn.Read(make([]byte, 1))
	must.Error(t, err)
	must.Eq(t, 1, testNode.counterValue(counters.OtherAnswer))
}

// Guards against requests on a connection that the backend may be closing, and against more connections to a backend than
// the limit. A connection must be reused only within the backend's Keep-Alive timeout minus a margin.
func TestBackendConnectionReuseAndLimit(t *testing.T) {
	dialect := NewDialect(nil)
	for text, want := range map[string]time.Duration{"timeout=5, max=9": 3900 * time.Millisecond, "max=9": 0} {
		d, ok := keepAliveTimeout([]byte(text))
		if ok {
			d = time.Duration(idleTimeoutFactor*float64(d)) - idleTimeoutMargin
		}
		must.Eq(t, want, d)
	}
	must.True(t, dialect.Wary())
	testNode := newFixture(t)
	testNode.engine.Turn(func() { testNode.dispatch.SetMaxConns(7, 1) })
	c, other := testNode.dial(), testNode.dial()
	c.send(requestText("GET", "/pure/", "m1", ""))
	call := testNode.backend.Next()
	other.send(requestText("GET", "/pure/", "m2", ""))
	other.expectResponse("HTTP/1.1 503 Service Unavailable")
	call.Answer(okResponseText("m1", "", "a"))
	c.expectResponse("HTTP/1.1 200 Fine")
	c.send(requestText("GET", "/pure/", "m3", "")) // reuses the connection, since the limit is 1
	testNode.backend.Next().Answer(okResponseText("m3", "Keep-Alive: timeout=0\r\n", "b"))
	c.expectResponse("HTTP/1.1 200 Fine")
	must.Eq(t, 1, testNode.counterValue(counters.Dials))
	c.send(requestText("GET", "/pure/", "m4", ""))
	testNode.backend.Next().Answer(okResponseText("m4", "", "b"))
	c.expectResponse("HTTP/1.1 200 Fine")
	must.Eq(t, 2, testNode.counterValue(counters.Dials))
}

// deferredHandler does not answer a request in Take. It passes the request's ticket to the test, which answers later.
type deferredHandler struct {
	server  *downstream.Server
	tickets chan downstream.Ticket
}

func (l *deferredHandler) Take(c *downstream.Client) {
	t := c.Ticket()
	c.AwaitAnswer(0, "")
	l.tickets <- t
}
func (l *deferredHandler) Left(slots.Ref) {}

// Guards against a late answer that reaches the next request of the connection, or a client that has disconnected. A
// ticket must be valid for exactly one request.
func TestTicketAnswersOnlyItsRequest(t *testing.T) {
	engine := eventloop.New("", 256, 64<<10, 16<<20)
	server := downstream.New(engine, 10, downstream.Bounds{Body: 4 << 20}, func() bool { return false })
	handler := &deferredHandler{server, make(chan downstream.Ticket, 10)}
	server.SetHandler(handler)
	must.NoError(t, engine.Listen("127.0.0.1:0", (*eventloop.Link).CloseSoon))
	must.NoError(t, engine.Listen("127.0.0.1:0", server.Accept))
	must.NoError(t, engine.Start())
	defer engine.Stop()
	dial := func() *client {
		c, err := net.Dial("tcp", engine.AddrOf(1))
		must.NoError(t, err)
		c.SetDeadline(time.Now().Add(testTimeout))
		return &client{t, c, bufio.NewReader(c)}
	}
	answerTicket := func(ticket downstream.Ticket, status int) (ok bool) {
		engine.Turn(func() {
			ok = server.Answer(ticket, func(b []byte, _ bool) []byte {
				return fmt.Appendf(b, "HTTP/1.1 %d A\r\nContent-Length: 0\r\n\r\n", status)
			})
		})
		return ok
	}
	c := dial()
	body := strings.Repeat("b", 3<<20)
	go c.send(fmt.Sprintf("POST /api HTTP/1.1\r\nContent-Length: %d\r\n\r\n%s", len(body), body))
	first := <-handler.tickets
	must.True(t, answerTicket(first, 200))
	c.expectResponse("HTTP/1.1 200 A")
	must.False(t, answerTicket(first, 201))
	c.send("GET /api HTTP/1.1\r\n\r\n")
	second := <-handler.tickets
	must.False(t, answerTicket(first, 201))
	must.True(t, answerTicket(second, 202))
	c.expectResponse("HTTP/1.1 202 A")
	c.send("GET /api HTTP/1.1\r\n\r\n")
	third := <-handler.tickets
	c.Close()
	for clientCount, end := 1, time.Now().Add(testTimeout); clientCount > 0 && time.Now().Before(end); {
		engine.Turn(func() { clientCount = handler.server.Clients() })
	}
	must.False(t, answerTicket(third, 200))
}
