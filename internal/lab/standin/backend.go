// Package standin plays on loopback sockets what front doors speak with: backends, discovery's agent, the counter
// and clients, each by its published protocol, with faults on the wire. It starts real front doors as processes.
package standin

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"clovergap/internal/history"
)

// Mode is what a backend does wrong. The nought value does nothing wrong.
type Mode struct {
	Slow    float64       // times slower; below 1 is as nought
	Fail    float64       // share answered with 500
	Full    float64       // share turned away unseen
	Silent  float64       // share never answered
	Delay   time.Duration // before each answer
	ResetIn float64       // share whose connection is reset when the request is read, before any answer
	Half    float64       // share of answers that break off in the middle
	Stall   float64       // share of answers that stop in the middle and stay
	Spoilt  float64       // share of answers with framing that can't be
	Down    bool          // refuses connections
}

// Task is what a backend is asked to do.
type Task struct {
	ID, Kind   string
	Tenant, At string        // whose it is and where it asks, where that is told
	Within     time.Duration // what its caller waits; nought: not told
	Does       *Mode         // what goes wrong with this one, in place of the backend's own; nil: as that
	Bare       bool          // its answer lacks the wire's heads
	Bytes      int           // of its answer at the least, which come in pieces while it works; nought: at the end
}

// Protocol is how a backend speaks with those before it.
type Protocol interface {
	// Read takes a request; one without an id in what it gives was answered, as there is nothing to run.
	Read(b *Backend, w http.ResponseWriter, r *http.Request) Task
	SetLoadHeader(w http.ResponseWriter, n int64)         // how many it has is told with each answer
	Reject(w http.ResponseWriter, t Task)                 // it has not run it and never will
	SetHeaders(b *Backend, w http.ResponseWriter, t Task) // before an answer's body
}

// frontDoorProtocol is the wire of the front doors.
type frontDoorProtocol struct{}

func (frontDoorProtocol) Read(_ *Backend, w http.ResponseWriter, r *http.Request) Task {
	t := Task{ID: r.Header.Get("Req-Id"), Kind: r.Header.Get("Req-Kind")}
	if t.ID == "" {
		http.Error(w, "no id", http.StatusNotFound)
	}
	return t
}

func (frontDoorProtocol) SetLoadHeader(w http.ResponseWriter, n int64) {
	w.Header().Set("Srv-Load", fmt.Sprintf("concurrent=%d", n))
}

func (frontDoorProtocol) Reject(w http.ResponseWriter, _ Task) {
	w.Header().Set("Srv-Declined", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

func (frontDoorProtocol) SetHeaders(*Backend, http.ResponseWriter, Task) {}

// Spoils is an event of a backend whose answer breaks off, or is none.
const Spoils history.Kind = "spoil"

// Fails is an event of a backend that has run a request and answers with a failure; N is its status.
const Fails history.Kind = "fails"

// Backend is one, with slots and a queue in front of them.
type Backend struct {
	ID, Zone string
	Pod      int
	Addr     string

	protocol    Protocol
	work        func(kind string) time.Duration
	mode        atomic.Pointer[Mode]
	slots       chan struct{}
	inFlight    atomic.Int64
	maxInFlight int64
	listener    net.Listener
	srv         *http.Server

	mu    sync.Mutex
	conns map[net.Conn]bool
	rng   *rand.Rand
	ran   map[string]int // how often each id of a once-only kind began
	Once  map[string]bool
	Ran   atomic.Int64

	Boot        time.Time     // its start; zero: long ago
	started     time.Duration // by the history's clock; nought: long ago
	log         *history.Log
	traces      *traces
	submissions atomic.Int64 // of submissions
	layers      layers[Mode]
}

// NewBackend listens on loopback. Work gives how long a request of a kind takes.
func NewBackend(id, zone string, pod, slots, queue int, seed uint64, work func(string) time.Duration) (*Backend, error) {
	return newBackend(frontDoorProtocol{}, nil, id, zone, pod, slots, queue, seed, work)
}

// NewSpeaking makes one that speaks by a wire, and notes what comes in a history.
func NewSpeaking(wire Protocol, log *history.Log, id, zone string, slots, queue int, seed uint64,
	work func(string) time.Duration) (*Backend, error) {
	return newBackend(wire, log, id, zone, 0, slots, queue, seed, work)
}

func newBackend(wire Protocol, log *history.Log, id, zone string, pod, slots, queue int, seed uint64,
	work func(string) time.Duration) (*Backend, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	b := &Backend{protocol: wire, log: log, ID: id, Zone: zone, Pod: pod, Addr: l.Addr().String(), work: work, slots: make(chan struct{}, slots), maxInFlight: int64(slots + queue),
		listener: l, rng: rand.New(rand.NewPCG(seed, 7)), ran: map[string]int{}, conns: map[net.Conn]bool{}}
	b.mode.Store(&Mode{})
	b.srv = &http.Server{Handler: b, ConnState: func(c net.Conn, s http.ConnState) {
		b.mu.Lock()
		defer b.mu.Unlock()
		switch s {
		case http.StateNew:
			b.conns[c] = true
			if b.mode.Load().Down {
				reset(c)
			}
		case http.StateClosed, http.StateHijacked:
			delete(b.conns, c)
		}
	}}
	go b.srv.Serve(l)
	return b, nil
}

// Set changes what it does wrong. One that goes down resets its connections.
func (b *Backend) Set(m Mode) {
	b.mode.Store(&m)
	if !m.Down {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for c := range b.conns {
		reset(c)
	}
}

// Bring begins a trouble beside those under way, and gives what ends it.
func (b *Backend) Bring(change func(*Mode)) (end func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	id := b.layers.bring(change)
	m := b.layers.sum()
	b.mode.Store(&m)
	return func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.layers.end(id)
		if down := b.mode.Load().Down; !down {
			m := b.layers.sum()
			b.mode.Store(&m)
		}
	}
}

// Place is where it stands, for checkers.
func (b *Backend) Place() history.Location {
	return history.Location{Zone: b.Zone, Pod: b.Pod, Start: b.started}
}

// Close ends it.
func (b *Backend) Close() { b.srv.Close() }

// Twice counts ids of once-only kinds that began more than once here.
func (b *Backend) Twice() (n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, times := range b.ran {
		if times > 1 {
			n++
		}
	}
	return n
}

// Chance draws from the backend's own seed.
func (b *Backend) Chance(share float64) bool {
	if share <= 0 {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.rng.Float64() < share
}

// reset closes a connection so that the other side sees a reset.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		t.SetLinger(0)
	}
	c.Close()
}

func hijack(w http.ResponseWriter) (net.Conn, bool) {
	h, ok := w.(http.Hijacker)
	if !ok {
		return nil, false
	}
	c, _, err := h.Hijack()
	return c, err == nil
}

// request is one under way at a backend.
type request struct {
	*Backend
	response http.ResponseWriter
	request  *http.Request
	task     Task
	mode     *Mode
	came     history.Event
	trace    *trace           // of its connection; nil where none is kept
	late     <-chan time.Time // nobody waits any more
}

// ServeHTTP does a request's work.
func (b *Backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	x := &request{Backend: b, response: w, request: r, mode: b.mode.Load()}
	io.Copy(io.Discard, r.Body)
	if x.task = b.protocol.Read(b, w, r); x.task.ID == "" {
		return
	}
	if x.task.Does != nil {
		x.mode = x.task.Does
	}
	x.came = history.Event{Time: history.Now(), Who: b.ID, Number: float64(b.submissions.Add(1)), Txn: x.task.ID, Key: x.task.Tenant, Target: x.task.At}
	if x.trace = b.traces.of(r.RemoteAddr, b.Addr); x.trace != nil {
		x.came.OwnTime = time.Duration(x.trace.sent.Load())
	}
	if b.Chance(x.mode.ResetIn) {
		x.resets()
		return
	}
	held := b.inFlight.Add(1)
	defer b.inFlight.Add(-1)
	b.protocol.SetLoadHeader(w, held)
	if held > b.maxInFlight || b.Chance(x.mode.Full) {
		x.record(history.Rejected)
		b.protocol.Reject(w, x.task)
		return
	}
	x.record(history.Arrived)
	defer x.over()
	if x.task.Within > 0 {
		timer := time.NewTimer(x.task.Within)
		defer timer.Stop()
		x.late = timer.C
	}
	if !x.acquireSlot() {
		return
	}
	defer func() { <-b.slots }()
	b.began(x.task)
	if b.Chance(x.mode.Silent) {
		<-r.Context().Done()
		return
	}
	if rest, done := x.works(); done {
		x.answers(rest)
	}
}

// record writes that the request has come, or what became of it at once.
func (r *request) record(kind history.Kind) {
	r.came.Kind = kind
	r.log.Add(r.came)
}

// resets ends the connection of a request that has begun, and nobody will know.
func (r *request) resets() {
	r.record(history.Arrived)
	r.began(r.task)
	r.record(history.Finished)
	if c, ok := hijack(r.response); ok {
		reset(c)
	}
}

// over writes that it is out no longer: its answer is written, or the front door has closed its side.
func (r *request) over() {
	e := r.came
	e.Time, e.OwnTime, e.Kind = history.Now(), 0, history.Finished
	if r.trace != nil && r.trace.closed.Load() > 0 {
		e.Time = min(e.Time, time.Duration(r.trace.closed.Load()))
	}
	r.log.Add(e)
}

// acquireSlot lets it wait for a slot; without one in time it is turned away.
func (r *request) acquireSlot() bool {
	select {
	case r.slots <- struct{}{}:
		return true
	case <-r.late:
		e := r.came
		e.Time, e.Kind = history.Now(), history.Rejected
		r.log.Add(e)
		r.protocol.Reject(r.response, r.task)
	case <-r.request.Context().Done():
	}
	return false
}

// firstPart of its work is done before the first byte of an answer that comes in pieces.
const firstPart = 4

// works does the work, or as much of it as comes before the answer, and gives the rest. It is not done if nobody waits any more.
func (r *request) works() (rest time.Duration, done bool) {
	wait := r.work(r.task.Kind)
	if r.mode.Slow > 1 {
		wait = time.Duration(float64(wait) * r.mode.Slow)
	}
	if r.task.Bytes > 0 {
		rest = wait - wait/firstPart
		wait /= firstPart
	}
	select {
	case <-time.After(wait + r.mode.Delay):
		return rest, true
	case <-r.late:
		r.response.WriteHeader(http.StatusGatewayTimeout)
	case <-r.request.Context().Done(): // given up: the work stops
	}
	return 0, false
}

// answers writes its answer, or what the backend's mode makes of it.
func (r *request) answers(rest time.Duration) {
	body := "done " + r.task.ID
	if r.task.Bytes > 0 {
		body = Long(body, r.task.Bytes)
	}
	r.protocol.SetHeaders(r.Backend, r.response, r.task)
	switch {
	case r.Chance(r.mode.Fail):
		r.log.Add(history.Event{Who: r.ID, Kind: Fails, Txn: r.task.ID, Number: http.StatusInternalServerError})
		r.response.WriteHeader(http.StatusInternalServerError)
	case r.Chance(r.mode.Half), r.Chance(r.mode.Stall), r.Chance(r.mode.Spoilt):
		r.log.Add(history.Event{Who: r.ID, Kind: Spoils, Txn: r.task.ID})
		r.spoil(r.response, r.mode, body)
	default:
		r.answer(r.response, r.request, body, rest)
	}
}

// Long is an answer's first line with so many bytes behind it.
func Long(line string, bytes int) string { return line + "\n" + strings.Repeat(".", bytes) }

// bodyChunks of an answer that comes while its backend works.
const bodyChunks = 12

// answer writes a body, in pieces where it takes a while.
func (b *Backend) answer(w http.ResponseWriter, r *http.Request, body string, takes time.Duration) {
	if takes <= 0 {
		io.WriteString(w, body)
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	for i := range bodyChunks {
		if i > 0 {
			select {
			case <-time.After(takes / (bodyChunks - 1)):
			case <-r.Context().Done(): // given up
				return
			}
		}
		io.WriteString(w, body[i*len(body)/bodyChunks:(i+1)*len(body)/bodyChunks])
		http.NewResponseController(w).Flush()
	}
}

// began counts a request that runs.
func (b *Backend) began(t Task) {
	b.Ran.Add(1)
	if !b.Once[t.Kind] {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ran[t.ID]++; len(b.ran) > 1<<20 {
		clear(b.ran)
	}
}

// spoil writes an answer that is none.
func (b *Backend) spoil(w http.ResponseWriter, m *Mode, body string) {
	c, ok := hijack(w)
	if !ok {
		return
	}
	switch {
	case m.Half > 0:
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", 2*len(body), body)
		c.Close()
	case m.Stall > 0:
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", 2*len(body), body)
		c.SetReadDeadline(time.Now().Add(5 * time.Second))
		io.Copy(io.Discard, c)
		c.Close()
	default:
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: -7\r\nTransfer-Encoding: what\r\n\r\n%s", body)
		c.Close()
	}
}

// Agent is discovery's on a front door's own machine: it answers with what it has been told.
type Agent struct {
	Addr    string
	node    string
	log     *history.Log
	way     *Link // to the front door; nil: straight
	seen    *traces
	quit    chan struct{}
	delayed []target // news that waits, while lists are late
	late    bool
	srv     *http.Server
	mu      sync.Mutex
	rev     int
	all     map[string]target
	past    []target // by revision, from 1
	more    chan struct{}
}

type target struct {
	UID      string  `json:"uid"`
	Endpoint string  `json:"endpoint"`
	AZ       string  `json:"az"`
	Model    string  `json:"model"`
	Pod      int     `json:"pod_group"`
	State    string  `json:"state"`
	Hint     float64 `json:"capacity_hint"`
	Boot     int64   `json:"boot_ms"`
}

// NewAgent listens on loopback.
func NewAgent() (*Agent, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	a := &Agent{Addr: l.Addr().String(), all: map[string]target{}, more: make(chan struct{}), quit: make(chan struct{})}
	a.srv = &http.Server{Handler: a}
	go a.srv.Serve(l)
	return a, nil
}

// Notify brings news of a backend: Ready, Terminating or Gone.
func (a *Agent) Notify(b *Backend, state string) { a.notifyAt(b, b.Addr, state) }

func (a *Agent) notifyAt(b *Backend, addr, state string) {
	t := target{b.ID, addr, b.Zone, "m", b.Pod, state, 1, 0}
	if !b.Boot.IsZero() {
		t.Boot = b.Boot.UnixMilli()
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.late {
		a.delayed = append(a.delayed, t)
		return
	}
	a.take(t)
}

// Late holds news back until it is told otherwise.
func (a *Agent) Late(late bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.late = late
	if !late {
		for _, t := range a.delayed {
			a.take(t)
		}
		a.delayed = nil
	}
}

// take puts news on the list; the lock is held.
func (a *Agent) take(t target) {
	if t.State == "Gone" {
		delete(a.all, t.UID)
	} else {
		a.all[t.UID] = t
	}
	a.rev++
	a.past = append(a.past, t)
	close(a.more)
	a.more = make(chan struct{})
}

// recordDelivery notes what has been written to the front door: where its way is cut or slow, when it gets there, if its
// connection is still open then.
func (a *Agent) recordDelivery(r *http.Request, list []target, size int) {
	if a.log == nil {
		return
	}
	note := func() {
		for _, t := range list {
			a.log.Add(history.Event{Who: a.node, Kind: history.Notified, Target: t.UID, What: t.State})
		}
	}
	if a.way == nil {
		note()
		return
	}
	came, trace := time.Now(), a.seen.of(r.RemoteAddr, a.Addr)
	go func() {
		if a.way.pass(In, size, came, a.quit) && (trace == nil || trace.closed.Load() == 0) {
			note()
		}
	}()
}

// Snapshot is the list as JSON.
func (a *Agent) Snapshot() []byte {
	b, _ := a.snapshot()
	return b
}

func (a *Agent) snapshot() ([]byte, []target) {
	a.mu.Lock()
	defer a.mu.Unlock()
	list := make([]target, 0, len(a.all))
	for _, t := range a.all {
		list = append(list, t)
	}
	b, _ := json.Marshal(map[string]any{"rev": a.rev, "all": true, "targets": list})
	return b, list
}

// ServeHTTP answers a call, or a watch when there is news.
func (a *Agent) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var after, wait int
	if _, err := fmt.Sscan(r.URL.Query().Get("after"), &after); err != nil {
		b, list := a.snapshot()
		if _, err := w.Write(b); err == nil {
			a.recordDelivery(r, list, len(b))
		}
		return
	}
	fmt.Sscan(r.URL.Query().Get("wait_ms"), &wait)
	a.mu.Lock()
	more, rev := a.more, a.rev
	a.mu.Unlock()
	if rev <= after {
		select {
		case <-more:
		case <-r.Context().Done():
			return
		case <-time.After(time.Duration(min(wait, 60000)) * time.Millisecond):
		}
	}
	a.mu.Lock()
	from := min(max(after, 0), len(a.past))
	news := append([]target{}, a.past[from:]...)
	b, _ := json.Marshal(map[string]any{"rev": a.rev, "all": false, "targets": news})
	a.mu.Unlock()
	if _, err := w.Write(b); err == nil {
		if f, ok := w.(http.Flusher); ok {
			f.Flush()
		}
		a.recordDelivery(r, news, len(b))
	}
}

// Close ends it.
func (a *Agent) Close() {
	a.srv.Close()
	close(a.quit)
}
