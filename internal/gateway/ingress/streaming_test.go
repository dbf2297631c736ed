package ingress

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"clovergap/control"
	"clovergap/internal/proxy/counters"
	"clovergap/internal/proxy/slots"
)

// randomBody returns n pseudo-random bytes from a fixed seed, so that misplaced bytes are detected.
func randomBody(n int) []byte {
	b := make([]byte, n)
	rand.NewChaCha8([32]byte{1}).Read(b)
	return b
}

// listenBackend starts a backend and returns a function that accepts its next connection. The test reads requests from the
// connection and writes responses itself.
func (f *fixture) listenBackend() (next func() (*bufio.Reader, *net.TCPConn)) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(f.t, err)
	f.t.Cleanup(func() { l.Close() })
	f.engine.Turn(func() { f.dispatch.SetBackend(7, l.Addr().String(), 1, true) })
	l.(*net.TCPListener).SetDeadline(time.Now().Add(testTimeout))
	return func() (*bufio.Reader, *net.TCPConn) {
		c, err := l.Accept()
		must.NoError(f.t, err)
		c.SetDeadline(time.Now().Add(testTimeout))
		f.t.Cleanup(func() { c.Close() })
		return bufio.NewReader(c), c.(*net.TCPConn)
	}
}

// encodeChunked returns a body in chunked transfer coding, with chunks of different sizes, chunk extensions and a trailer.
func encodeChunked(body []byte) []byte {
	var b bytes.Buffer
	for i := 1; len(body) > 0; i++ {
		n := min(len(body), i*i*7%70000+1)
		fmt.Fprintf(&b, "%x;e=%d\r\n%s\r\n", n, i, body[:n])
		body = body[n:]
	}
	b.WriteString("0\r\nT: u\r\n\r\n")
	return b.Bytes()
}

// yieldProcessor lets other goroutines run for a while. No test result depends on the progress of these goroutines.
func yieldProcessor() {
	for range 5000 {
		runtime.Gosched()
	}
}

// Guards against damaged or incomplete streamed bodies. Bodies with a Content-Length and chunked bodies must arrive complete
// in both directions, one after the other on one client connection, although each side reads slowly and buffers are bounded.
func TestStreamedBodiesArriveComplete(t *testing.T) {
	testNode := newFixture(t)
	next := testNode.listenBackend()
	body := randomBody(3 << 20)
	c := testNode.dial()
	for i, chunked := range []bool{false, true, false, true} {
		head := fmt.Sprintf("Content-Length: %d\r\n", len(body))
		sent := body
		if chunked {
			head, sent = "Transfer-Encoding: chunked\r\n", encodeChunked(body)
		}
		id := fmt.Sprint("b", i)
		go c.send(requestText("POST", "/once/", id, head) + string(sent))
		r, conn := next()
		req, err := http.ReadRequest(r)
		must.NoError(t, err)
		must.Eq(t, "huka", req.Header.Get("X-Tenant"))
		must.Eq(t, chunked, req.ContentLength < 0)
		yieldProcessor() // the ring buffers of the node may fill up in this time
		got, err := io.ReadAll(req.Body)
		must.NoError(t, err)
		must.True(t, bytes.Equal(body, got))
		closeHeader := "Connection: close\r\n"
		if i < 2 {
			closeHeader = ""
		}
		go func() {
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Backend-Seal: s\r\n%s%s\r\n%s", id, closeHeader, head, sent)
			if closeHeader != "" {
				conn.Close() // before the client starts to read
			}
		}()
		resp, err := http.ReadResponse(c.reader, &http.Request{Method: "POST"})
		must.NoError(t, err)
		must.Eq(t, "s", resp.Header.Get("X-Backend-Seal"))
		yieldProcessor()
		got, err = io.ReadAll(resp.Body)
		must.NoError(t, err)
		must.True(t, bytes.Equal(body, got))
		if i < 2 {
			conn.Close()
		}
	}
	must.Eq(t, 4, testNode.counterValue(counters.Answered))
	must.Eq(t, 1, testNode.counterValue(counters.ClientsOpened))
}

// Guards against a client that stops reading and delays other clients or makes the node buffer the whole response. The
// unread rest of the response must wait in the backend's socket.
func TestSlowClientDelaysOnlyItsOwnConnection(t *testing.T) {
	testNode := newFixture(t)
	next := testNode.listenBackend()
	slow, quick := testNode.dial(), testNode.dial()
	slow.send(requestText("GET", "/pure/", "s", ""))
	r, conn := next()
	http.ReadRequest(r)
	body := randomBody(24 << 20)
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Attempt-Id: s\r\nX-Backend-Seal: s\r\nContent-Length: %d\r\n\r\n", len(body))
	writeDone := make(chan error)
	go func() {
		_, err := conn.Write(body)
		writeDone <- err
	}()
	for i := range 20 {
		quick.send(requestText("GET", "/pure/", fmt.Sprint("q", i), ""))
		r, other := next()
		_, err := http.ReadRequest(r)
		must.NoError(t, err)
		io.WriteString(other, okResponseText(fmt.Sprint("q", i), "Connection: close\r\n", "quick"))
		must.Eq(t, "quick", quick.expectResponse("HTTP/1.1 200 Fine"))
	}
	select {
	case <-writeDone:
		t.Fatal("the node accepted the whole response body from the backend although the client read nothing")
	default:
	}
	resp, err := http.ReadResponse(slow.reader, nil)
	must.NoError(t, err)
	got, err := io.ReadAll(resp.Body)
	must.NoError(t, err)
	must.True(t, bytes.Equal(body, got))
	must.NoError(t, <-writeDone)
}

// Guards against a truncated response that looks complete to the client, and against a partly forwarded request body that
// is sent a second time. The failures come about when a backend or a client disconnects, or sends an invalid chunk, in the
// middle of a body.
func TestTruncatedBodiesNeverLookComplete(t *testing.T) {
	testNode := newFixture(t)
	next := testNode.listenBackend()
	body := randomBody(1 << 20)
	for _, head := range []string{"Content-Length: 1048576\r\n", "Transfer-Encoding: chunked\r\n"} {
		sent := body
		if strings.HasPrefix(head, "Transfer") {
			sent = encodeChunked(body)
		}
		c := testNode.dial()
		c.send(requestText("GET", "/pure/", "c", ""))
		r, conn := next()
		http.ReadRequest(r) // with unread bytes, Close would reset the connection instead of ending it
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Attempt-Id: c\r\nX-Backend-Seal: s\r\n%s\r\n%s", head, sent[:len(sent)-50])
		conn.Close()
		response, err := http.ReadResponse(c.reader, nil)
		must.NoError(t, err)
		_, err = io.ReadAll(response.Body)
		must.ErrorIs(t, err, io.ErrUnexpectedEOF)
	}
	must.Eq(t, 2, testNode.counterValue(counters.Truncated))
	for i, testCase := range []struct {
		answer string // response of the backend before the request body is complete
		rest   string // bytes that the client sends after a complete chunk; sent in the first case only
		line   string // status line that the client gets
	}{
		{"", "zz\r\n", "400 Bad Request"}, // invalid chunk size
		{"HTTP/1.1 503 Full\r\nX-Attempt-Id: d\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", "", "503 Service Unavailable"},
		{"no answer\r\n", "", "502 Bad Gateway"},
		{"HTTP/1.1 500 Oops\r\nX-Attempt-Id: d\r\nContent-Length: 0\r\n\r\n", "", "502 Bad Gateway"},
	} {
		c := testNode.dial()
		c.send(requestText("PUT", "/pure/", "d", "Expect: 100-continue\r\nTransfer-Encoding: chunked\r\n"))
		c.expectResponse("HTTP/1.1 100 Continue")
		c.send(string(encodeChunked(body)[:1<<19]))
		r, conn := next()
		request, err := http.ReadRequest(r)
		must.NoError(t, err)
		io.ReadFull(request.Body, make([]byte, 1<<18))
		io.WriteString(conn, testCase.answer)
		if i == 0 {
			// These bytes complete the chunk that was sent in part, so the bytes of testCase.rest are parsed as the size of the next chunk.
			c.send(strings.Repeat("x", 70000) + "\r\n" + testCase.rest)
		}
		c.expectResponse("HTTP/1.1 "+testCase.line, "Connection: close")
	}
	testNode.engine.Turn(func() { must.Eq(t, 0, testNode.gate.InFlight()) })
	c := testNode.dial()
	c.send(requestText("PUT", "/pure/", "e", "Content-Length: 1000000\r\n") + string(body[:500000]))
	r, _ := next()
	request, err := http.ReadRequest(r)
	must.NoError(t, err)
	io.ReadFull(request.Body, make([]byte, 400000))
	c.Close() // the client disconnects in the middle of the body
	_, err = io.ReadAll(request.Body)
	must.Error(t, err)
}

// Guards against a streamed response that is cancelled after its head was sent. A Cancel decision must not stop the
// response. A Fail decision, as after the deadline, must close both connections, so that the response looks truncated.
func TestStartedResponseIsNotCancelled(t *testing.T) {
	testNode := newFixture(t)
	next := testNode.listenBackend()
	body := randomBody(1 << 20)
	begin := func(id string) (c *client, conn *net.TCPConn, response *http.Response) {
		c = testNode.dial()
		c.send(requestText("GET", "/pure/", id, ""))
		r, conn := next()
		http.ReadRequest(r)
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Backend-Seal: s\r\nContent-Length: %d\r\n\r\n%s", id,
			len(body), body[:1000])
		response, err := http.ReadResponse(c.reader, nil)
		must.NoError(t, err)
		return c, conn, response
	}
	for _, action := range []control.Action{control.Cancel, control.Fail} {
		_, conn, response := begin("g")
		testNode.engine.Turn(func() {
			d := control.Decision{Action: action}
			for d.Txn = range testNode.module.expiry {
			}
			clear(testNode.module.expiry)
			testNode.module.decisions = append(testNode.module.decisions, d)
		})
		conn.Write(body[1000:])
		got, err := io.ReadAll(response.Body)
		if action == control.Cancel {
			must.NoError(t, err)
			must.True(t, bytes.Equal(body, got))
			conn.Close()
			continue
		}
		must.Error(t, err)
		_, err = conn.Read(make([]byte, 1))
		must.Error(t, err)
	}
	testNode.engine.Turn(func() { must.Eq(t, 0, testNode.gate.InFlight()) })
	must.Eq(t, 1, testNode.counterValue(counters.Truncated))
}

// A client that does not read a streamed response is cut off at the deadline of its request, and is reported with its address.
func TestUnreadStreamedResponseIsCutOff(t *testing.T) {
	testNode := newFixture(t)
	next := testNode.listenBackend()
	reported := ""
	testNode.engine.Turn(func() { testNode.engine.OnUnread(func(peer net.Addr, _ int) { reported = peer.String() }) })
	c := testNode.dial()
	c.send(requestText("GET", "/pure/", "u", ""))
	r, conn := next()
	http.ReadRequest(r)
	const size = 24 << 20 // more than all buffers on the way hold
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Attempt-Id: u\r\nX-Backend-Seal: s\r\nContent-Length: %d\r\n\r\n", size)
	go conn.Write(make([]byte, size))
	for waits, end := false, time.Now().Add(testTimeout); !waits; yieldProcessor() {
		must.True(t, time.Now().Before(end))
		testNode.engine.Turn(func() {
			for id := range testNode.module.expiry {
				waits = testNode.gate.Writable(slots.Ref(id)) == 0
			}
		})
	}
	testNode.engine.Turn(func() {
		for id := range testNode.module.expiry {
			testNode.module.decisions = append(testNode.module.decisions, control.Decision{Action: control.Fail, Txn: id, Reason: control.ReasonNoTime})
		}
	})
	must.Eq(t, 1, testNode.counterValue(counters.Unread))
	must.Eq(t, 1, testNode.counterValue(counters.Truncated))
	must.Eq(t, c.LocalAddr().String(), reported)
	testNode.engine.Turn(func() { must.Eq(t, 0, testNode.gate.InFlight()) })
}

// Guards against a request that a backend reads as the rest of another request's body. The failure comes about when a
// backend answers before it has read a long body, and keeps the connection open. The connection must carry no other request.
func TestEarlyResponseReservesConnectionForBody(t *testing.T) {
	testNode := newFixture(t)
	next := testNode.listenBackend()
	body := randomBody(3 << 20)
	c := testNode.dial()
	c.send(requestText("POST", "/once/", "early", fmt.Sprintf("Content-Length: %d\r\n", len(body))))
	go c.Write(body[:len(body)/3]) // the rest of the body is never sent
	r, conn := next()
	_, err := http.ReadRequest(r)
	must.NoError(t, err)
	io.WriteString(conn, okResponseText("early", "", "soon"))
	must.Eq(t, "soon", c.expectResponse("HTTP/1.1 200 Fine"))
	other := testNode.dial()
	other.send(requestText("GET", "/pure/", "other", ""))
	secondReader, secondConn := next() // the second request uses a new connection
	request, err := http.ReadRequest(secondReader)
	must.NoError(t, err)
	must.Eq(t, "other", request.Header.Get("X-Attempt-Id"))
	io.WriteString(secondConn, okResponseText("other", "Connection: close\r\n", "quick"))
	must.Eq(t, "quick", other.expectResponse("HTTP/1.1 200 Fine"))
	rest, _ := io.ReadAll(r) // reads until the connection is closed or reset
	must.True(t, bytes.HasPrefix(body, rest))
	must.Less(t, len(body), len(rest))
}
