package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"sort"
	"strings"
	"syscall"
	"time"

	"go.uber.org/zap"

	"clovergap/internal/frontdoor/config"
	"clovergap/internal/frontdoor/operator"
	"clovergap/internal/lab/standin"
	"clovergap/internal/proxy/counters"
)

// patience bounds every wait of these tests; none of them depends on how long anything takes within it.
const patience = 20 * time.Second

// fixture is a front door with stand-ins for all that it speaks with.
type fixture struct {
	f        *front
	agent    *standin.Script
	backends []*standin.Script
	peer     *net.UDPConn
}

type object = map[string]any

// settings has products read (inquiry-like), pay (once-only) and bid (referenced), one plan, three gateways. The
// SLA time is long where nothing is to time out, however slow the machine.
func settings(submissions, slaSeconds int) object {
	product := func(name, effect string) object {
		return object{"name": name, "effect": effect, "dedupScope": "all", "objective": slaSeconds * 1000000, "giveUp": 60000000,
			"window": 1000000, "worth": 1.0, "lateWorth": 0.0, "stream": false}
	}
	return object{"balancers": 3, "me": 0, "zone": 0, "dcs": []string{"zone-a"},
		"report": object{"how": "answers", "fields": []string{"concurrent", "mean_ms"}},
		"ceilings": object{"peers": true, "mayProbe": false, "cancel": true, "retryAfter": true,
			"maxRetryAfter": 2000000, "maxAttempts": submissions, "connIdle": 30000000, "dialTimeout": 250000,
			"mostHeld": 1000},
		"extra": object{"mostUnits": 4, "mailPerS": 100.0},
		"rules": object{"cold": 1000000, "coldFrom": 0.2, "fall": 1000000, "fallMultiple": 2.0},
		"requestClasses": []object{product("read", "idempotent"), product("pay", "at_most_once"),
			product("bid", "deduplicated")},
		"plans": []object{{"name": "team", "refill": 1000.0, "peakUnits": 4000.0, "valueFactor": 1.0,
			"beyondEarns": 0.0, "excessCost": 1.0, "atOnce": 0, "ceilingRate": 0.0, "hardBurst": 0.0}}}
}

// target is a line of the list.
func target(n int, addr, state string) object {
	return standin.Listed(fmt.Sprintf("s-%d", n), addr, "zone-a", state)
}

// open starts a front door before so many backends, of which each does as told for its next request.
func open(backends, sockets int, s object) *fixture {
	st, text := lay(backends, sockets, s)
	conf, err := config.Parse(text)
	if err != nil {
		fmt.Println(err)
		return nil
	}
	st.f, err = build(conf, zap.NewNop(), nil, operator.Leases{})
	if err != nil {
		fmt.Println(err)
	}
	return st
}

// lay makes the stand-ins and the configuration that names them.
func lay(backends, sockets int, s object) (*fixture, []byte) {
	st := &fixture{agent: script()}
	var list []object
	for i := 0; i < backends; i++ {
		b := script()
		st.backends = append(st.backends, b)
		list = append(list, target(i, b.Listener.Addr().String(), "Ready"))
	}
	st.peer, _ = net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	peer := st.peer.LocalAddr().String()
	c := object{"name": "n0", "listen": "127.0.0.1:0", "discovery": st.agent.Listener.Addr().String(), "discovery_wait_ms": 30000,
		"seed": "8c1f30d27a5be964", "limits": object{"cores": 1.0, "memory_mb": 192, "sockets": sockets},
		"peer_listen": "127.0.0.1:0", "peers": []string{"127.0.0.1:1", peer, "127.0.0.1:2"},
		"known": object{"rev": 1, "all": true, "targets": list}, "settings": s}
	text, _ := json.Marshal(c)
	return st, text
}

func (f *fixture) close() {
	f.f.engine.Stop()
	f.agent.Listener.Close()
	f.peer.Close()
	for _, b := range f.backends {
		b.Listener.Close()
	}
}

// count reads one counter.
func (f *fixture) count(id counters.ID) (n uint64) {
	f.f.engine.Turn(func() { n = f.f.engine.Count[id] })
	return n
}

// until waits for something to hold.
func (f *fixture) until(what string, holds func() bool) {
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if holds() {
			return
		}
	}
	fmt.Println("never:", what)
}

// counted waits for a counter to reach a number.
func (f *fixture) counted(id counters.ID, n uint64) {
	f.until(fmt.Sprint("counter ", id, " at ", n), func() bool { return f.count(id) >= n })
}

// script is a stand-in that answers call by call.
func script() *standin.Script {
	s, err := standin.NewScript()
	if err != nil {
		fmt.Println(err)
	}
	return s
}

// call waits for a call of discovery's and prints its target.
func call(from *standin.Script) *standin.Call {
	x := from.Next()
	fmt.Println("asked:", strings.TrimPrefix(x.Target(), "GET "))
	return x
}

// client is one connection of a client.
type client struct {
	net.Conn
	r *bufio.Reader
}

func (f *fixture) client() *client {
	c, err := net.Dial("tcp", f.f.engine.Addr())
	if err != nil {
		fmt.Println(err)
		return nil
	}
	c.SetDeadline(time.Now().Add(2 * patience))
	return &client{c, bufio.NewReader(c)}
}

// heads of a txn.
func txn(id, kind string) string {
	method, more := "GET", ""
	if kind != "read" {
		method, more = "POST", "Idempotency-Key: k-"+id+"\r\n"
	}
	return method + " /api?lot=7 HTTP/1.1\r\nHost: backend.local\r\nReq-Id: " + id + "\r\nReq-Kind: " + kind +
		"\r\nX-Plan: team\r\nCookie: a=b; key=00000000b4d65521\r\nReq-Deadline: 60000m\r\n" + more +
		"X-Quota: units=1,spread=1,first=0\r\n"
}

func (c *client) send(text string) { io.WriteString(c, text) }

// show prints an answer, without what a proxy is free to choose.
func (c *client) show() {
	head, body, err := standin.ReadMessage(c.r)
	if err != nil {
		fmt.Println("connection ended")
		return
	}
	if len(body) > 60 {
		body = fmt.Sprintf("%d bytes %q...", len(body), body[:8])
	}
	line, rest, _ := strings.Cut(head, "\r\n")
	fmt.Print(line)
	for _, l := range strings.Split(rest, "\r\n") {
		if strings.HasPrefix(l, "Retry-After") || strings.HasPrefix(l, "Connection") {
			fmt.Print(", ", l)
		}
	}
	if body != "" {
		fmt.Print(" ", strings.TrimSpace(body))
	}
	fmt.Println()
}

// lines prints what of a request must pass unchanged.
func lines(x *standin.Call) {
	var kept []string
	for i, l := range strings.Split(strings.TrimSpace(x.Head), "\r\n") {
		if i == 0 || strings.HasPrefix(l, "Req-Id") || strings.HasPrefix(l, "Idempotency-Key") {
			kept = append(kept, l)
		}
	}
	sort.Strings(kept[1:])
	fmt.Printf("backend: %s %q\n", strings.Join(kept, ", "), x.Body)
}

func Example_settled() {
	st := open(1, 1024, settings(1, 20))
	defer st.close()
	c := st.client()
	fmt.Println("# up, then a txn in pieces, and two more behind it at once")
	c.send("GET /up HTTP/1.1\r\n\r\n")
	c.show()
	for _, piece := range []string{"GE", "T /api?lot=7 HT", strings.TrimPrefix(txn("a1", "read"), "GET /api?lot=7 HT"), "\r", "\n"} {
		c.send(piece)
		time.Sleep(2 * time.Millisecond)
	}
	x := st.backends[0].Next()
	lines(x)
	c.send(txn("a2", "bid") + "Content-Length: 5\r\n\r\nhello" +
		txn("a3", "bid") + "Transfer-Encoding: chunked\r\n\r\n2;x=y\r\nhe\r\n3\r\nllo\r\n0\r\nT: u\r\n\r\n")
	for _, body := range []string{"first", "second", "third"} {
		x.Answer(standin.Served(body))
		c.show()
		if body != "third" {
			x = st.backends[0].Next()
			lines(x)
		}
	}
	// How many of these requests find a connection that has rested depends on how fast the machine answers. The time of rest itself is
	// tested by upstream.TestConnectionRestsAfterAnAnswer.
	fmt.Println("dials and reused", st.count(counters.Dials)-1+st.count(counters.Reused), "rest", upstreamConfig(st.f.conf).MinIdle)
	fmt.Println("# the client wants the connection closed")
	c.send(txn("a4", "read") + "Connection: close\r\n\r\n")
	st.backends[0].Next().Answer("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n")
	c.show()
	c.show()
	// Output:
	// # up, then a txn in pieces, and two more behind it at once
	// HTTP/1.1 200 OK up
	// backend: GET /api?lot=7 HTTP/1.1, Req-Id: a1 ""
	// HTTP/1.1 200 OK first
	// backend: POST /api?lot=7 HTTP/1.1, Idempotency-Key: k-a2, Req-Id: a2 "hello"
	// HTTP/1.1 200 OK second
	// backend: POST /api?lot=7 HTTP/1.1, Idempotency-Key: k-a3, Req-Id: a3 "hello"
	// HTTP/1.1 200 OK third
	// dials and reused 3 rest 0s
	// # the client wants the connection closed
	// HTTP/1.1 200 OK, Connection: close abc
	// connection ended
}

// A once-only txn shows what is proved: it is declined only where the submission never ran, else voided.
func Example_endings() {
	st := open(1, 1024, settings(1, 20))
	defer st.close()
	b := st.backends[0]
	try := func(what string, answer func(*standin.Call)) {
		var before counters.Set
		st.f.engine.Turn(func() { before = *st.f.engine.Count })
		c := st.client()
		defer c.Close()
		c.send(txn("b", "pay") + "\r\n")
		if answer != nil {
			answer(b.Next())
		}
		fmt.Print(what, ": ")
		c.show()
		var after counters.Set
		st.f.engine.Turn(func() { after = *st.f.engine.Count })
		for id := counters.EndAnswered; id <= counters.BadAnswer; id++ {
			for ; before[id] < after[id]; before[id]++ {
				fmt.Println("  ", counters.Name(id))
			}
		}
	}
	says := func(text string) func(*standin.Call) { return func(x *standin.Call) { x.Answer(text) } }
	try("500", says("HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"))
	try("503 turned away", says("HTTP/1.1 503 No\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n"))
	try("503 without a word", says("HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n"))
	try("no answer's form", says("HELLO\r\n\r\n"))
	try("no length", says("HTTP/1.1 200 OK\r\n\r\nsome"))
	try("cut", func(x *standin.Call) { x.Answer("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nsome"); x.Conn.Close() })
	try("ended", func(x *standin.Call) { x.Conn.Close() })
	try("reset", func(x *standin.Call) { x.Conn.(*net.TCPConn).SetLinger(0); x.Conn.Close() })
	try("two lengths", says("HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab"))
	try("interim, then stray bytes", says("HTTP/1.1 100 Continue\r\n\r\n"+standin.Served("done")+"more"))
	try("settled", says(standin.Served("done")))
	b.Listener.Close()
	st.f.engine.Turn(func() { st.f.dispatch.Evict(nil) }) // the kept connection, so that a new one is needed
	try("refused", nil)
	// Output:
	// 500: HTTP/1.1 502 Bad Gateway
	//    ended errored
	// 503 turned away: HTTP/1.1 429 Too Many Requests, Retry-After: 2
	//    ended full
	// 503 without a word: HTTP/1.1 502 Bad Gateway
	//    ended errored
	// no answer's form: HTTP/1.1 502 Bad Gateway
	//    ended broken
	//    bad answers
	// no length: HTTP/1.1 502 Bad Gateway
	//    ended broken
	//    bad answers
	// cut: HTTP/1.1 502 Bad Gateway
	//    ended broken
	// ended: HTTP/1.1 502 Bad Gateway
	//    ended broken
	// reset: HTTP/1.1 502 Bad Gateway
	//    ended broken
	// two lengths: HTTP/1.1 502 Bad Gateway
	//    ended broken
	//    bad answers
	// interim, then stray bytes: HTTP/1.1 200 OK done
	//    ended settled
	// settled: HTTP/1.1 200 OK done
	//    ended settled
	// refused: HTTP/1.1 429 Too Many Requests, Retry-After: 2
	//    ended unreachable
}

// A backend that never answers costs the submission's limit; its connection is closed before the next goes out.
func Example_silence() {
	st := open(2, 1024, settings(3, 4))
	defer st.close()
	c := st.client()
	c.send(txn("s", "read") + "\r\n")
	var first, second *standin.Call
	select {
	case first = <-st.backends[0].Came:
		second = st.backends[1].Next()
	case first = <-st.backends[1].Came:
		second = st.backends[0].Next()
	}
	first.Conn.SetReadDeadline(time.Now().Add(patience))
	n, err := first.Conn.Read(make([]byte, 1))
	fmt.Println("the first connection:", n, err)
	second.Answer(standin.Served("late but whole"))
	c.show()
	fmt.Println("timed out", st.count(counters.EndTimedOut))
	// Output:
	// the first connection: 0 EOF
	// HTTP/1.1 200 OK late but whole
	// timed out 1
}

// A txn that lay in the socket while the front door stood still has waited already: its expiry is over.
func Example_standstill() {
	st := open(1, 1024, settings(1, 1))
	defer st.close()
	c := st.client()
	c.send("GET /up HTTP/1.1\r\n\r\n")
	c.show()
	st.f.engine.Turn(func() {
		c.send(strings.Replace(txn("w", "read"), "60000m", "500m", 1) + "\r\n")
		time.Sleep(900 * time.Millisecond)
	})
	c.show()
	fmt.Println("submissions", st.count(counters.Submissions))
	// Output:
	// HTTP/1.1 200 OK up
	// HTTP/1.1 429 Too Many Requests, Retry-After: 2
	// submissions 0
}

func Example_badInput() {
	st := open(1, 1024, settings(1, 20))
	defer st.close()
	good := txn("c", "read")
	swap := func(old, new string) string { return strings.Replace(good, old, new, 1) + "\r\n" }
	for _, text := range []string{"NONSENSE\r\n\r\n", "GET /api HTTP/2.0\r\n\r\n", "GET /api HTTP/1.1\r\nA b: c\r\n\r\n",
		good + "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n", good + "Content-Length: 1\r\nContent-Length: 2\r\n\r\n",
		good + "Content-Length: 2\r\n\r\nabcdef", txn("c", "bid") + "Content-Length: 2\r\n\r\nabc def",
		good + "Content-Length: -1\r\n\r\n", good + "Transfer-Encoding: gzip\r\n\r\n",
		good + "Transfer-Encoding: chunked\r\n\r\nzz\r\n", good + "Content-Length: 65537\r\n\r\n",
		good + "Transfer-Encoding: chunked\r\n\r\n10001\r\n", good + "X: " + strings.Repeat("x", 9000) + "\r\n\r\n",
		swap("/api", "/other"), swap("GET", "DELETE"), swap("Req-Id: c", "Req-Id: "), swap("Req-Id: c", "Req-Id: c\r\nReq-Id: d"),
		swap("read", "write"), swap("team", "crew"), swap("b4d65521", "b4d6552"), swap("00000000b4d65521", "0000000200000000"),
		swap("00000000b4d65521", "00000000B4d6552g"), swap("60000m", "60000"), swap("60000m", "-1m"), swap("60000m", "0m"),
		swap("GET", "POST"), good + "Content-Length: 1\r\n\r\na", swap("units=1", "units=nan"), swap("units=1", "units=0"),
		swap("units=1", "units=5"), swap("units=1", "units=-1"), swap("spread=1", "spread=4"), swap("first=0", "first=3"), swap(",first=0", ""),
		swap("X-Quota", "X-Quote"), strings.Replace(txn("c", "bid"), "Idempotency-Key", "Key", 1) + "\r\n"} {
		c := st.client()
		c.send(text)
		c.show()
		c.Close()
	}
	fmt.Println("txns", st.count(counters.TxnsTaken), "dials", st.count(counters.Dials)-1) // but the one to discovery
	// Output:
	// HTTP/1.1 400 Bad Request, Connection: close malformed request
	// HTTP/1.1 400 Bad Request, Connection: close malformed request
	// HTTP/1.1 400 Bad Request, Connection: close malformed request
	// HTTP/1.1 400 Bad Request, Connection: close doubtful framing
	// HTTP/1.1 400 Bad Request, Connection: close doubtful framing
	// HTTP/1.1 400 Bad Request, Connection: close doubtful framing
	// HTTP/1.1 400 Bad Request, Connection: close doubtful framing
	// HTTP/1.1 400 Bad Request, Connection: close doubtful framing
	// HTTP/1.1 400 Bad Request, Connection: close doubtful framing
	// HTTP/1.1 400 Bad Request, Connection: close doubtful framing
	// HTTP/1.1 413 Content Too Large, Connection: close body too large
	// HTTP/1.1 413 Content Too Large, Connection: close body too large
	// HTTP/1.1 431 Request Header Fields Too Large, Connection: close head too large
	// HTTP/1.1 404 Not Found no such path
	// HTTP/1.1 405 Method Not Allowed GET or POST
	// HTTP/1.1 400 Bad Request req-id: one is needed
	// HTTP/1.1 400 Bad Request req-id: one is needed
	// HTTP/1.1 400 Bad Request req-kind: unknown
	// HTTP/1.1 400 Bad Request x-plan: unknown
	// HTTP/1.1 400 Bad Request cookie: key is 16 hexadecimal digits below 2^33
	// HTTP/1.1 400 Bad Request cookie: key is 16 hexadecimal digits below 2^33
	// HTTP/1.1 400 Bad Request cookie: key is 16 hexadecimal digits below 2^33
	// HTTP/1.1 400 Bad Request req-deadline: a number and m or u
	// HTTP/1.1 400 Bad Request req-deadline: a number and m or u
	// HTTP/1.1 400 Bad Request req-deadline: a number and m or u
	// HTTP/1.1 400 Bad Request req-kind: not by this method
	// HTTP/1.1 400 Bad Request req-kind: not by this method
	// HTTP/1.1 400 Bad Request x-quota: units, spread and first
	// HTTP/1.1 400 Bad Request x-quota: units, spread and first
	// HTTP/1.1 400 Bad Request x-quota: units, spread and first
	// HTTP/1.1 400 Bad Request x-quota: units, spread and first
	// HTTP/1.1 400 Bad Request x-quota: units, spread and first
	// HTTP/1.1 400 Bad Request x-quota: units, spread and first
	// HTTP/1.1 400 Bad Request x-quota: units, spread and first
	// HTTP/1.1 400 Bad Request x-quota: one is needed
	// HTTP/1.1 400 Bad Request idempotency-key: one is needed
	// txns 0 dials 0
}

// Clients that do nothing, or begin something and go no further, are let go in time; an id that is open elsewhere gets
// an error and the open one goes on.
func Example_rude() {
	st := open(1, 1024, settings(1, 20))
	defer st.close()
	busy, silent, half, once, long := st.client(), st.client(), st.client(), st.client(), st.client()
	half.send("GET /api HTT")
	long.send(txn("b", "bid") + "Content-Length: 60000000\r\n\r\nsome")
	once.send("GET /up HTTP/1.1\r\n\r\n")
	once.show()
	busy.send(txn("r", "bid") + "\r\n")
	x := st.backends[0].Next()
	again := st.client()
	again.send(txn("r", "bid") + "\r\n")
	again.show()
	long.show()
	for _, c := range []*client{silent, half, once} {
		c.show()
	}
	fmt.Println("stuck", st.count(counters.ClientsStuck), "idle", st.count(counters.ClientsIdle) >= 2)
	x.Answer(standin.Served("the open one"))
	busy.show()
	busy.send(txn("r", "bid") + "\r\n")
	st.backends[0].Next().Answer(standin.Served("free again"))
	busy.show()
	// Output:
	// HTTP/1.1 200 OK up
	// HTTP/1.1 400 Bad Request req-id: of a request that is still open
	// HTTP/1.1 413 Content Too Large, Connection: close body too large
	// connection ended
	// connection ended
	// connection ended
	// stuck 1 idle true
	// HTTP/1.1 200 OK the open one
	// HTTP/1.1 200 OK free again
}

// A spoilt answer ends its submission as soon as it shows, not when its time is up; what comes behind a good one is
// never taken for the next one's answer.
func Example_spoilt() {
	st := open(2, 1024, settings(3, 20))
	defer st.close()
	c := st.client()
	either := func() *standin.Call {
		select {
		case x := <-st.backends[0].Came:
			return x
		case x := <-st.backends[1].Came:
			return x
		case <-time.After(patience):
			return &standin.Call{Head: "no request came\r\n", Conn: c}
		}
	}
	for i, noise := range []string{"noise, and no end", "HTTP/1.1 200 OK\r\nno header\r\n", "HTTP/1.1 200 OK\r\n" +
		"Content-Length: 3000000000\r\n\r\nand on", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort",
		"HTTP/1.1 200 OK\r\nX: and no end", "HTTP/1.1 200 OK\r\nx: " + strings.Repeat("x", 9000)} {
		c.send(txn(fmt.Sprint("n", i), "read") + "\r\n")
		either().Answer(noise)
		either().Answer(standin.Served("whole"))
		c.show()
	}
	fmt.Println("broken", st.count(counters.EndBroken), "bad", st.count(counters.BadAnswer))
	fmt.Println("# two at once, the first answer comes twice")
	st = open(1, 1024, settings(1, 20))
	defer st.close()
	c = st.client()
	var x, y *standin.Call
	for i := 0; i < 100 && (y == nil || x.Conn == y.Conn); i++ { // a machine that is slow lets the first connection rest
		c.send(txn(fmt.Sprint("t", i), "read") + "\r\n" + txn(fmt.Sprint("u", i), "read") + "\r\n")
		if y != nil {
			y.Answer(standin.Served("second"))
			standin.ReadMessage(c.r)
		}
		x = st.backends[0].Next()
		x.Answer(standin.Served("first"))
		standin.ReadMessage(c.r)
		y = st.backends[0].Next()
	}
	x.Answer(standin.Served("first"))
	st.counted(counters.BadAnswer, 1)
	y.Answer(standin.Served("second"))
	c.show()
	// Output:
	// HTTP/1.1 200 OK whole
	// HTTP/1.1 200 OK whole
	// HTTP/1.1 200 OK whole
	// HTTP/1.1 200 OK whole
	// HTTP/1.1 200 OK whole
	// HTTP/1.1 200 OK whole
	// broken 6 bad 6
	// # two at once, the first answer comes twice
	// HTTP/1.1 200 OK second
}

// Backends that come and go leave nothing behind.
func Example_comeAndGo() {
	st := open(1, 1024, settings(1, 20))
	defer st.close()
	x, was := call(st.agent), st.backends[0].Listener.Addr().String()
	x.List(1, true, target(0, was, "Ready"))
	for i := 1; i <= 100; i++ { // always new ids, at the address of the one before
		st.agent.Next().List(1+i, false, target(i-1, "", "Gone"), target(i, was, "Ready"))
	}
	x = call(st.agent)
	st.f.engine.Turn(func() { fmt.Println("backends", st.f.dispatch.Backends()) })
	fmt.Println("# a new process at the same address: the old one's connection is not kept")
	c := st.client()
	c.send(txn("o", "read") + "\r\n")
	y := st.backends[0].Next()
	y.Answer(standin.Served("old"))
	c.show()
	again := target(100, was, "Ready")
	again["boot_ms"] = time.Now().UnixMilli()
	x.List(200, false, again)
	y.Conn.SetReadDeadline(time.Now().Add(patience))
	_, err := y.Conn.Read(make([]byte, 1))
	fmt.Println(err)
	// Output:
	// asked: /discovery/hosts
	// asked: /discovery/hosts?after=101&wait_ms=30000
	// backends 1
	// # a new process at the same address: the old one's connection is not kept
	// HTTP/1.1 200 OK old
	// EOF
}

// Bodies at their bound, both ways, with a client that reads late: one ring a direction holds them.
func Example_largest() {
	st := open(1, 1024, settings(1, 20))
	defer st.close()
	c := st.client()
	body := strings.Repeat("q", 64<<10)
	go c.send(txn("l", "bid") + "Content-Length: 65536\r\n\r\n" + body)
	x := st.backends[0].Next()
	fmt.Println("backend:", len(x.Body), x.Body == body)
	x.Answer(standin.Served(strings.Repeat("a", 64<<10)))
	st.counted(counters.Answered, 1)
	c.show()
	fmt.Println("# one byte more is no answer that can be read")
	c.send(txn("m", "pay") + "\r\n")
	x = st.backends[0].Next()
	go x.Answer(standin.Served(strings.Repeat("a", 64<<10+1)))
	c.show()
	// Output:
	// backend: 65536 true
	// HTTP/1.1 200 OK 65536 bytes "aaaaaaaa"...
	// # one byte more is no answer that can be read
	// HTTP/1.1 502 Bad Gateway
}

// A client that leaves while its txn is out is passed to the module; what is out still ends.
func Example_leaving() {
	st := open(1, 1024, settings(1, 20))
	defer st.close()
	c := st.client()
	c.send(txn("g", "read") + "\r\n")
	x := st.backends[0].Next()
	c.Close()
	st.counted(counters.TxnsLeft, 1)
	x.Answer(standin.Served("for nobody"))
	st.counted(counters.EndAnswered, 1)
	st.until("nothing is held", func() (none bool) {
		st.f.engine.Turn(func() { none = st.f.gate.InFlight() == 0 && st.f.intake.Clients() == 0 })
		return none
	})
	fmt.Println("settled", st.count(counters.Answered), "clients closed", st.count(counters.ClientsClosed))
	// Output:
	// settled 0 clients closed 1
}

func Example_discovery() {
	st := open(1, 1024, settings(1, 4))
	defer st.close()
	other := script()
	defer other.Listener.Close()
	was := func() string { return st.backends[0].Listener.Addr().String() }
	try := func(b *standin.Script) {
		c := st.client()
		defer c.Close()
		c.send(txn("d", "read") + "\r\n")
		if b != nil {
			b.Next().Answer(standin.Served("served"))
		}
		c.show()
	}
	x := call(st.agent)
	try(st.backends[0])
	x.List(41, true, target(0, was(), "Ready"))
	fmt.Println("# one drains, another comes")
	x = call(st.agent)
	x.List(42, false, target(0, was(), "Terminating"), target(1, other.Listener.Addr().String(), "Ready"))
	x = call(st.agent)
	try(other)
	fmt.Println("# what can't be read changes nothing, and is asked again")
	x.Answer("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n{rev}")
	x = call(st.agent)
	try(other)
	fmt.Println("# the agent dies; then a whole list without the other")
	x.Conn.Close()
	x = call(st.agent)
	x.List(50, true, target(0, was(), "Ready"))
	x = call(st.agent)
	try(st.backends[0])
	x.List(51, false, target(0, was(), "Gone"))
	call(st.agent)
	try(nil)
	fmt.Println("lists", st.count(counters.ListsTaken), "bad", st.count(counters.ListsBad))
	// Output:
	// asked: /discovery/hosts
	// HTTP/1.1 200 OK served
	// # one drains, another comes
	// asked: /discovery/hosts?after=41&wait_ms=30000
	// asked: /discovery/hosts?after=42&wait_ms=30000
	// HTTP/1.1 200 OK served
	// # what can't be read changes nothing, and is asked again
	// asked: /discovery/hosts
	// HTTP/1.1 200 OK served
	// # the agent dies; then a whole list without the other
	// asked: /discovery/hosts
	// asked: /discovery/hosts?after=50&wait_ms=30000
	// HTTP/1.1 200 OK served
	// asked: /discovery/hosts?after=51&wait_ms=30000
	// HTTP/1.1 429 Too Many Requests
	// lists 4 bad 1
}

// An agent whose watches are never answered, on connections that stay open: the whole list is asked for again and again.
func Example_silentWatch() {
	st, text := lay(1, 1024, settings(1, 20))
	conf, _ := config.Parse([]byte(strings.Replace(string(text), "30000,", "200,", 1)))
	st.f, _ = build(conf, zap.NewNop(), nil, operator.Leases{})
	defer st.close()
	go func() {
		for x := range st.agent.Came {
			if !strings.Contains(x.Head, "after=") {
				x.List(41, true, target(0, st.backends[0].Listener.Addr().String(), "Ready"))
			}
		}
	}()
	st.counted(counters.ListsTaken, 3)
	fmt.Println("lost", st.count(counters.WatchesLost) >= 2)
	// Output:
	// lost true
}

func Example_peers() {
	st := open(1, 1024, settings(1, 20))
	defer st.close()
	to := st.f.peers.Addr()
	stranger, _ := net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(to))
	defer stranger.Close()
	stranger.Write([]byte("from nobody"))
	st.counted(counters.DatagramsBad, 1)
	st.peer.WriteToUDPAddrPort([]byte("no message"), to)
	st.counted(counters.DatagramsTaken, 1)
	st.peer.WriteToUDPAddrPort(make([]byte, 257), to)
	st.counted(counters.DatagramsBad, 2)
	fmt.Println("# a txn of a customer that the peer owns makes a message to it")
	c := st.client()
	c.send(strings.Replace(txn("p", "read"), "spread=1,first=0", "spread=1,first=1", 1) + "\r\n")
	st.peer.SetReadDeadline(time.Now().Add(patience))
	n, from, err := st.peer.ReadFromUDPAddrPort(make([]byte, 300))
	fmt.Println(n > 0 && n <= 256, netip.AddrPortFrom(from.Addr().Unmap(), from.Port()) == to, err)
	// Output:
	// # a txn of a customer that the peer owns makes a message to it
	// true true <nil>
}

// With few descriptors answers end their connections once the process is half full, a client that does nothing gives way,
// and one with a txn stays.
func Example_descriptors() {
	st := open(1, 64, settings(1, 20))
	defer st.close()
	busy := st.client()
	busy.send(txn("h", "read") + "\r\n")
	x := st.backends[0].Next()
	first := st.client()
	first.send("GET /up HTTP/1.1\r\n\r\n")
	first.show()
	var silent []*client
	for i := 0; i < 17; i++ {
		silent = append(silent, st.client())
		defer silent[i].Close()
	}
	st.counted(counters.ClientsOpened, 19)
	asks := st.client()
	asks.send("GET /up HTTP/1.1\r\n\r\n")
	asks.show()
	asks.show()
	fmt.Println("# those that do nothing give way to those that ask, one with a txn stays")
	for i := uint64(2); i <= 20; i++ {
		c := st.client()
		defer c.Close()
		c.send(txn(fmt.Sprint("t", i), "read") + "\r\n")
		st.counted(counters.TxnsTaken, i)
	}
	first.show()
	silent[0].show()
	x.Answer(standin.Served("still here"))
	busy.show()
	busy.show()
	fmt.Println("# with a txn on each, one more is let go after a moment")
	full := st.client()
	defer full.Close()
	full.send(txn("u", "read") + "\r\n")
	st.counted(counters.TxnsTaken, 21)
	last := st.client()
	last.show()
	fmt.Println("refused", st.count(counters.ClientsRefused))
	st.f.engine.Turn(func() { fmt.Println("connections within bounds:", st.f.engine.FreeConnections() >= 0) })
	// Output:
	// HTTP/1.1 200 OK up
	// HTTP/1.1 200 OK, Connection: close up
	// connection ended
	// # those that do nothing give way to those that ask, one with a txn stays
	// connection ended
	// connection ended
	// HTTP/1.1 200 OK, Connection: close still here
	// connection ended
	// # with a txn on each, one more is let go after a moment
	// connection ended
	// refused 1
	// connections within bounds: true
}

// Told to end, it goes on for a moment, answers what it has taken and closes connections between txns.
func Example_ending() {
	st := open(1, 1024, settings(1, 20))
	busy, idle := st.client(), st.client()
	idle.send("GET /up HTTP/1.1\r\n\r\n")
	idle.show()
	busy.send(txn("e", "pay") + "\r\n")
	x := st.backends[0].Next()
	ended := make(chan bool)
	go func() { st.f.shutdown(); close(ended) }()
	idle.show()
	select {
	case <-ended:
		fmt.Println("ended with a txn held")
	default:
	}
	x.Answer(standin.Served("in time"))
	busy.show()
	busy.show()
	<-ended
	_, err := net.Dial("tcp", st.f.engine.Addr())
	fmt.Println("held", st.f.gate.InFlight(), "new ones refused:", errors.Is(err, syscall.ECONNREFUSED))
	st.close()
	// Output:
	// HTTP/1.1 200 OK up
	// connection ended
	// HTTP/1.1 200 OK, Connection: close in time
	// connection ended
	// held 0 new ones refused: true
}

// A new configuration under way moves discovery; one that is wrong changes nothing; SIGHUP asks for it.
func Example_reload() {
	was, now := os.Stderr, script()
	os.Stderr, _ = os.Open(os.DevNull)
	defer func() { os.Stderr = was }()
	path := filepath.Join(os.TempDir(), fmt.Sprint("clovergap-test-", os.Getpid()))
	defer os.Remove(path)
	st, text := lay(1, 1024, settings(1, 20))
	conf, _ := config.Parse(text)
	st.f, _ = build(conf, zap.NewNop(), nil, operator.Leases{})
	old, listed := st.agent.Listener.Addr().String(), target(0, st.backends[0].Listener.Addr().String(), "Ready")
	write := func(old, new string) {
		os.WriteFile(path, []byte(strings.Replace(string(text), old, new, 1)), 0o600)
	}
	x := call(st.agent)
	x.List(41, true, listed)
	x = call(st.agent)
	for _, wrong := range [][2]string{{"{", ""}, {`"cold":1000000`, `"cold":"x"`}, {old, "nowhere"}, {`"me":0`, `"me":1`}} {
		write(wrong[0], wrong[1])
		st.f.reload(path)
	}
	fmt.Println("bad", st.count(counters.ReloadsBad), "good", st.count(counters.Reloads))
	fmt.Println("# the old watch goes on until the new one is told")
	write(old, now.Listener.Addr().String())
	st.f.reload(path)
	y := call(now)
	x.List(42, false)
	x = call(st.agent)
	y.List(43, true, listed)
	call(now)
	x.Conn.SetReadDeadline(time.Now().Add(patience))
	_, err := x.Conn.Read(make([]byte, 1))
	fmt.Println("the old watch:", err)
	st.close()
	fmt.Println("# by signal")
	st, text = lay(1, 1024, settings(1, 20))
	write("{", "{")
	ended := make(chan error)
	go func() { ended <- serve(path, "") }()
	call(st.agent)
	write(st.agent.Listener.Addr().String(), now.Listener.Addr().String())
	syscall.Kill(os.Getpid(), syscall.SIGHUP)
	call(now)
	syscall.Kill(os.Getpid(), syscall.SIGTERM)
	fmt.Println("ended:", <-ended)
	// Output:
	// asked: /discovery/hosts
	// asked: /discovery/hosts?after=41&wait_ms=30000
	// bad 4 good 0
	// # the old watch goes on until the new one is told
	// asked: /discovery/hosts
	// asked: /discovery/hosts?after=42&wait_ms=30000
	// asked: /discovery/hosts?after=43&wait_ms=30000
	// the old watch: EOF
	// # by signal
	// asked: /discovery/hosts
	// asked: /discovery/hosts
	// ended: <nil>
}

func Example_commands() {
	was := os.Stderr
	os.Stderr, _ = os.Open(os.DevNull)
	defer func() { os.Stderr = was }()
	os.Unsetenv("NODE_CONFIG")
	for _, args := range [][]string{{}, {"config"}, {"config", "print", "more"}, {"config", "check", "--operator", "/nowhere.toml"}, {"fly"}, {"serve", "--colour"}, {"check", "more"}, {"serve"},
		{"check", "--config", "/nowhere.json"}} {
		fmt.Println(args, run(args))
	}
	fmt.Println("# an address in use")
	l, _ := net.Listen("tcp", "127.0.0.1:0")
	defer l.Close()
	text, _ := json.Marshal(object{"listen": l.Addr().String(), "discovery": "127.0.0.1:1", "seed": "1",
		"limits":      object{"memory_mb": 192, "sockets": 1024},
		"peer_listen": "127.0.0.1:0", "peers": []string{"127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"},
		"known": object{"rev": 1, "all": true, "targets": []object{}}, "settings": settings(1, 20)})
	conf, err := config.Parse(text)
	if err != nil {
		fmt.Println(err)
		return
	}
	_, err = build(conf, zap.NewNop(), nil, operator.Leases{})
	fmt.Println(strings.Contains(err.Error(), syscall.EADDRINUSE.Error()))
	// Output:
	// [] 2
	// [config] 2
	// [config print more] 2
	// [config check --operator /nowhere.toml] 1
	// [fly] 2
	// [serve --colour] 2
	// [check more] 2
	// [serve] 1
	// [check --config /nowhere.json] 1
	// # an address in use
	// true
}
