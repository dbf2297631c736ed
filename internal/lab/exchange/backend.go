package exchange

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"clovergap/internal/gateway/controlapi"
)

// Headers by which a client says what the backend does with a request. Nodes pass them on.
const (
	answerBytesHeader = "X-Answer-Bytes"
	workHeader        = "X-Work-Ms"
	sealHeader        = "X-Backend-Seal"
	attemptHeader     = "X-Attempt-Id"
)

// Of backends that misbehave, the share that answers before the whole upload is read, resets the connection, or stops in the middle of the answer.
const (
	earlyShare = 0.05
	resetShare = 0.03
	stallShare = 0.05
	maxStall   = 1500 * time.Millisecond
)

const (
	heartbeatInterval = time.Second
	heartbeatTimeout  = time.Second
	backendCapacity   = 64
	answerChunk       = 32 << 10 // bytes that are written at a time
)

// backend answers requests as their headers say. It sends heartbeats to a node.
type backend struct {
	id, zone string
	listener net.Listener
	server   *http.Server
	arrived  atomic.Int64
	sequence atomic.Uint64
}

// startBackend starts a backend of service, which sends heartbeats to the control addresses in turn until the context ends.
func startBackend(ctx context.Context, id, service, zone string, controls []string) (*backend, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	b := &backend{id: id, zone: zone, listener: l}
	b.server = &http.Server{Handler: b}
	go b.server.Serve(l)
	go b.sendHeartbeats(ctx, service, controls)
	return b, nil
}

func (b *backend) sendHeartbeats(ctx context.Context, service string, controls []string) {
	client := &http.Client{Timeout: heartbeatTimeout}
	tick := time.NewTicker(heartbeatInterval)
	defer tick.Stop()
	for i := 0; ctx.Err() == nil; i++ {
		body, _ := json.Marshal(controlapi.Heartbeat{Address: b.listener.Addr().String(), CallSeq: b.sequence.Add(1), Capacity: backendCapacity,
			Generation: "v1", Phase: controlapi.Ready, ColdLeft: "0ms", Target: service, Zone: b.zone})
		url := fmt.Sprintf("http://%s/api/Backends.Heartbeat/%s", controls[i%len(controls)], b.id)
		if answer, err := client.Post(url, "application/json", bytes.NewReader(body)); err == nil {
			answer.Body.Close()
		}
		select {
		case <-ctx.Done():
		case <-tick.C:
		}
	}
}

// close ends the backend and its connections.
func (b *backend) close() { b.server.Close() }

// ServeHTTP reads the upload and answers. A request without workHeader comes from a well-behaved client and is answered at once.
func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(attemptHeader)
	if id == "" { // a health check
		w.Header().Set("X-Backend-Id", b.id)
		return
	}
	b.arrived.Add(1)
	size, _ := strconv.Atoi(r.Header.Get(answerBytesHeader))
	work, err := strconv.Atoi(r.Header.Get(workHeader))
	fate := 1.0
	if err == nil {
		fate = rand.Float64()
	}
	if fate >= earlyShare {
		io.Copy(io.Discard, r.Body)
	}
	if pause(r.Context(), time.Duration(work)*time.Millisecond); r.Context().Err() != nil {
		return
	}
	if fate < earlyShare+resetShare && fate >= earlyShare {
		resetConnection(w)
		return
	}
	w.Header().Set(attemptHeader, id)
	w.Header().Set(sealHeader, b.id)
	w.Header().Set("Content-Length", strconv.Itoa(size))
	stallAt := -1
	if fate < earlyShare+resetShare+stallShare && fate >= earlyShare+resetShare {
		stallAt = rand.IntN(size + 1)
	}
	writeAnswer(r.Context(), w, id, size, stallAt)
}

// writeAnswer writes the body of an answer, which is answerBody, and stops for a while at stallAt.
func writeAnswer(ctx context.Context, w http.ResponseWriter, id string, size, stallAt int) {
	pattern := answerBody(id, answerChunk+len(id))
	for written := 0; written < size; {
		n := min(answerChunk, size-written)
		if stallAt >= written && stallAt < written+n {
			http.NewResponseController(w).Flush()
			pause(ctx, time.Duration(rand.Int64N(int64(maxStall))))
		}
		begin := written % len(id)
		if _, err := w.Write(pattern[begin : begin+n]); err != nil {
			return
		}
		written += n
	}
}

// resetConnection ends the connection of a request with a RST.
func resetConnection(w http.ResponseWriter) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	c.(*net.TCPConn).SetLinger(0)
	c.Close()
}

// answerBody returns the body of an answer of size bytes: the ID of the attempt, repeated.
func answerBody(id string, size int) []byte {
	return bytes.Repeat([]byte(id), size/len(id)+1)[:size]
}

// pause waits, or until the context ends.
func pause(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
