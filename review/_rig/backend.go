package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// backend is a stand-in of one backend, which sends heartbeats. Its answer to a request has as many bytes as the query's
// "size" says, after "work" milliseconds.
type backend struct {
	d                 *deployment
	id, service, zone string
	addr              string
	server            *http.Server
	stop              chan struct{}
	mu                sync.Mutex
	phase             string
	seq               int
	arrivals          map[string]time.Time // of the requests that it ran, by id
}

func newBackend(d *deployment, id, service, zone, host string) (*backend, error) {
	l, err := net.Listen("tcp4", host+":0")
	if err != nil {
		return nil, err
	}
	b := &backend{d: d, id: id, service: service, zone: zone, addr: l.Addr().String(), stop: make(chan struct{}), phase: "ready",
		arrivals: map[string]time.Time{}}
	b.server = &http.Server{Handler: b, IdleTimeout: 10 * time.Second}
	go b.server.Serve(l)
	go b.beat()
	return b, nil
}

// beat sends heartbeats, to the address that the last answer named or else to one node after the other.
func (b *backend) beat() {
	target, next := "", int(b.addr[len(b.addr)-1])
	for {
		b.mu.Lock()
		b.seq++
		body := fmt.Sprintf(`{"target":%q,"address":%q,"zone":%q,"generation":"v1","capacity":20,"phase":%q,"cold_left":"0ms","call_seq":%d}`,
			b.service, b.addr, b.zone, b.phase, b.seq)
		b.mu.Unlock()
		to := target
		if to == "" {
			to = b.d.nodes[next%len(b.d.nodes)].addr(portControl)
			next++
		}
		wait := 1500 * time.Millisecond
		r, err := b.d.http.Post("http://"+to+"/api/Backends.Heartbeat/"+b.id, "application/json", strings.NewReader(body))
		if err != nil || r.StatusCode/100 != 2 {
			target, wait = "", 200*time.Millisecond
		}
		if err == nil {
			r.Body.Close()
		}
		select {
		case <-b.stop:
			return
		case <-time.After(wait):
		}
	}
}

// ServeHTTP answers as PROTOCOL.md has it.
func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		w.Header().Set("X-Backend-Id", b.id)
		return
	}
	id := r.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Attempt-Id", id)
	if expect := r.Header.Get("X-Expect-Backend"); expect != "" && expect != b.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	b.mu.Lock()
	b.arrivals[id] = time.Now()
	b.mu.Unlock()
	io.Copy(io.Discard, r.Body)
	work, _ := strconv.Atoi(r.URL.Query().Get("work"))
	size, _ := strconv.Atoi(r.URL.Query().Get("size"))
	select {
	case <-time.After(time.Duration(work) * time.Millisecond):
	case <-r.Context().Done():
		b.d.rec.say("backend %s: the connection of %s closed while it worked", b.id, id)
		return
	}
	w.Header().Set("X-Backend-Seal", "5ea1."+id)
	w.Header().Set("Content-Length", strconv.Itoa(size))
	w.Header().Set("Keep-Alive", "timeout=10")
	n, err := w.Write(content(id, size))
	b.d.rec.say("backend %s has run %s %s, and has written %d of %d bytes, error %v", b.id, id, r.URL.Path, n, size, err)
}

// content is the body of an answer.
func content(id string, size int) []byte {
	out := make([]byte, 0, size+64)
	for i := 0; len(out) < size; i++ {
		out = fmt.Appendf(out, "%s %d;", id, i)
	}
	return out[:size]
}

func (b *backend) close() {
	close(b.stop)
	b.server.Close()
}
