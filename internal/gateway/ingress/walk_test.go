package ingress

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"os"
	"runtime"
	"runtime/debug"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"

	"clovergap/control"
	"clovergap/internal/invariant"
	"clovergap/internal/proxy/counters"
	"clovergap/internal/proxy/downstream"
	"clovergap/internal/proxy/eventloop"
	"clovergap/internal/proxy/gate"
	"clovergap/internal/proxy/upstream"
)

// Sizes of a walk, in bytes. Bodies over walkBuffer are streamed.
const (
	walkBuffer  = 4 << 10
	walkRing    = 64 << 10
	walkMemory  = 4 << 20
	walkClients = 3
)

// walkRequest is a request that a client of a walk sends.
type walkRequest struct {
	id         string
	atMostOnce bool
	size       int         // of its body
	arrivals   int         // at the backend, those that the backend answered with X-Not-Run left out
	answers    map[int]int // sizes of the bodies that the backend answered with, by status
	refused    bool        // answered with a status that promises that it has not run and never will
}

// walkClient is a client's connection.
type walkClient struct {
	socket
	number   int
	pending  []byte // to be written
	asked    []*walkRequest
	stream   messageStream
	verified int  // complete responses
	spoilt   bool // it has sent bytes that are no request
	ended    bool // the node has closed the connection
}

// finals returns the final responses that have come, the last one perhaps in part.
func (c *walkClient) finals() (all []*message) {
	for _, m := range c.stream.messages {
		if !m.interim() {
			all = append(all, m)
		}
	}
	return all
}

// waits reports whether the node owes the client something. It owes nothing for a request that may be incomplete.
func (c *walkClient) waits() bool {
	return c.open && !c.ended && !c.spoilt && (len(c.pending) > 0 || c.verified < len(c.asked))
}

// walkBackend is a connection of the node to the backend.
type walkBackend struct {
	socket
	pending  []byte // to be written
	stream   messageStream
	arrived  int // requests that were counted
	answered int // requests that were answered
	closes   bool
}

// walkTxn is a request as a walk's module knows it.
type walkTxn struct {
	atMostOnce, submitted, mayHaveRun, answered bool
	attempts                                    int
}

// walkModule decides at random what the control module may decide. It is used in turns alone.
type walkModule struct {
	rng       *rand.Rand // its own: the poller's turns draw from it
	txns      map[control.TxnID]*walkTxn
	decisions []control.Decision
	patient   bool // no request is given up, and each is submitted at once
}

// walkOnce is the product of requests that may run at most once.
const walkOnce = 1

const walkAttempts = 3

func (w *walkModule) Now(time.Duration)                                            {}
func (w *walkModule) EndpointsChanged(bool, []control.Endpoint)                    {}
func (w *walkModule) DatagramReceived(control.GatewayID, []byte)                   {}
func (w *walkModule) ProbeEnded(control.BackendID, bool, time.Duration, []float64) {}
func (w *walkModule) Woken(uint64)                                                 {}

func (w *walkModule) TxnArrived(txn control.Txn) {
	t := &walkTxn{atMostOnce: txn.Product == walkOnce}
	w.txns[txn.ID] = t
	switch draw := w.rng.IntN(20); {
	case w.patient || draw < 17:
		w.submit(txn.ID, t)
	case draw == 17:
		w.giveUp(txn.ID, t)
	}
}

func (w *walkModule) submit(id control.TxnID, t *walkTxn) {
	t.submitted = true
	t.attempts++
	w.decisions = append(w.decisions, control.Decision{Action: control.Submit, Txn: id, Backend: 7})
}

// giveUp rejects or fails a request, and cancels its submission.
func (w *walkModule) giveUp(id control.TxnID, t *walkTxn) {
	d := control.Decision{Action: control.Fail, Txn: id, Reason: control.ReasonNoTime}
	if !t.atMostOnce && w.rng.IntN(2) == 0 || t.atMostOnce && !t.mayHaveRun && !t.submitted {
		d.Action, d.Reason = control.Reject, control.ReasonNoBackend
	}
	w.decisions = append(w.decisions, d)
	t.answered = true
	if t.submitted {
		w.decisions = append(w.decisions, control.Decision{Action: control.Cancel, Txn: id, Attempt: t.attempts - 1})
	} else {
		delete(w.txns, id)
	}
}

func (w *walkModule) ClientLeft(id control.TxnID) {
	unsent, unanswered := false, false // what was decided in this turn and is not carried out yet
	w.decisions = slices.DeleteFunc(w.decisions, func(d control.Decision) bool {
		if d.Txn != id {
			return false
		}
		unsent = unsent || d.Action == control.Submit
		unanswered = unanswered || d.Action == control.Reject || d.Action == control.Fail
		return true
	})
	t := w.txns[id]
	if (t == nil || t.answered) && !unanswered {
		panic("the client of a request that is answered leaves")
	}
	if t == nil {
		return
	}
	if t.answered = true; !t.submitted || unsent {
		delete(w.txns, id)
		return
	}
	w.decisions = append(w.decisions, control.Decision{Action: control.Cancel, Txn: id, Attempt: t.attempts - 1})
}

func (w *walkModule) SubmissionEnded(id control.TxnID, _ int, _ control.BackendID, ending control.Ending, over bool, _ time.Duration, _ []float64) {
	t := w.txns[id]
	if t == nil || !t.submitted {
		panic("a submission ends that was not made")
	}
	t.submitted, t.mayHaveRun = false, t.mayHaveRun || !ending.ProvesNotRun()
	switch {
	case over || t.answered:
		delete(w.txns, id)
	case t.atMostOnce && t.mayHaveRun || t.attempts >= walkAttempts || w.rng.IntN(3) == 0:
		w.giveUp(id, t)
	default:
		w.submit(id, t)
	}
}

func (w *walkModule) Next() (d control.Decision, ok bool) {
	if len(w.decisions) == 0 {
		return d, false
	}
	d, w.decisions = w.decisions[0], w.decisions[1:]
	return d, true
}

// pick returns a request that is not answered, or 0.
func (w *walkModule) pick() control.TxnID {
	var open []control.TxnID
	for id, t := range w.txns {
		if !t.answered {
			open = append(open, id)
		}
	}
	if len(open) == 0 {
		return 0
	}
	slices.Sort(open)
	return open[w.rng.IntN(len(open))]
}

// walkCatalog admits all requests: those to /once/ run at most once.
type walkCatalog struct{}

func (walkCatalog) Admit(_, path, _ []byte) (Admission, Rejection) {
	a := Admission{Tenant: "huka", Deadline: 20 * time.Second}
	if bytes.HasPrefix(path, []byte("/once/")) {
		a.Product, a.AtMostOnce = walkOnce, true
	}
	return a, NotRejected
}
func (walkCatalog) BackendName(control.BackendID) string { return "i-7" }
func (walkCatalog) BackendReplaced(control.BackendID)    {}

// walk is the data path of a node between clients and a backend that do what the walk draws.
type walk struct {
	rng      *rand.Rand
	engine   *eventloop.Engine
	server   *downstream.Server
	dispatch *upstream.Dispatch
	gate     *gate.Gate
	module   *walkModule
	listener socket
	address  string // of the backend
	clients  [walkClients]*walkClient
	backends []*walkBackend
	requests map[string]*walkRequest // of all rounds, since a connection that the node has closed may be accepted in a later round
	own      int                     // descriptors that the engine itself counts as open
	accepted uint64                  // clients that have connected
	sweeps   int
	draining bool
	barrier  chan bool
	scratch  []byte
	trace    []string // what was done in this round
	steps    int
}

// Live and Due implement eventloop.Alarm: the barrier of settle.
func (w *walk) Live(uint32) bool { return true }

// Due reports that the poller has processed all that came before.
func (w *walk) Due(uint32) { w.barrier <- true }

func newWalk(seed uint64) (*walk, error) {
	w := &walk{rng: rand.New(rand.NewPCG(seed, 0x3a1c)), engine: eventloop.New("", 1024, walkRing, walkMemory), barrier: make(chan bool, 1), scratch: make([]byte, 64<<10),
		module: &walkModule{rng: rand.New(rand.NewPCG(seed, 0x30d1)), txns: map[control.TxnID]*walkTxn{}}, requests: map[string]*walkRequest{}}
	gateClock := &clock{Engine: w.engine}
	w.gate = gate.New(w.module, gateClock, 1000, w.engine.Count, zap.NewNop())
	gateClock.wakeTarget = w.gate
	to := UpstreamConfig(walkCatalog{}, time.Second)
	to.Buffer = walkBuffer
	w.dispatch = upstream.New(w.engine, w.gate, to, func() bool { return false })
	w.server = downstream.New(w.engine, 500, walkBounds(), func() bool { return false })
	New(w.server, w.engine, w.gate, walkCatalog{})
	w.gate.SetTransport(w.dispatch, nil)
	w.engine.OnTurnEnd(w.gate.RunDecisions)
	if err := w.engine.Listen("127.0.0.1:0", w.server.Accept); err != nil {
		return nil, err
	}
	var err error
	if w.listener, w.address, err = listenSocket(); err != nil {
		return nil, err
	}
	if err := w.engine.Start(); err != nil {
		return nil, err
	}
	w.engine.Turn(func() {
		w.own = w.engine.Open()
		w.dispatch.SetBackend(7, w.address, 0, true)
	})
	return w, nil
}

func walkBounds() downstream.Bounds {
	b := DownstreamBounds(Limits{16 << 10, 4 << 20, 5 * time.Second, 15 * time.Second})
	b.Buffer = walkBuffer
	return b
}

func (w *walk) stop() {
	w.listener.close(false)
	w.engine.Stop()
}

// settle waits until the poller has processed all that has come, and all clients are accepted.
func (w *walk) settle() {
	for {
		opened := uint64(0)
		w.engine.Turn(func() { opened = w.engine.Count[counters.ClientsOpened] })
		if opened >= w.accepted {
			break
		}
		runtime.Gosched()
	}
	w.engine.Turn(func() { w.engine.At(w.engine.Now(), w, 0) })
	<-w.barrier
}

func (w *walk) note(format string, args ...any) {
	w.trace = append(w.trace, fmt.Sprintf(format, args...))
}

// client draws a client that is connected, or nil.
func (w *walk) client() *walkClient {
	if c := w.clients[w.rng.IntN(walkClients)]; c != nil && c.open {
		return c
	}
	return nil
}

// backend draws a connection to the backend that is open, or nil.
func (w *walk) backend() *walkBackend {
	w.backends = slices.DeleteFunc(w.backends, func(b *walkBackend) bool { return !b.open })
	if len(w.backends) == 0 {
		return nil
	}
	return w.backends[w.rng.IntN(len(w.backends))]
}

// connect connects a client that is not connected.
func (w *walk) connect() error {
	i := w.rng.IntN(walkClients)
	if old := w.clients[i]; old != nil && old.open || w.draining {
		return nil
	}
	s, err := connectSocket(w.engine.AddrOf(0))
	if err != nil {
		return err
	}
	w.accepted++
	w.clients[i] = &walkClient{socket: s, number: i}
	w.note("client %d connects", i)
	return nil
}

// walkSizes are sizes of bodies, below and above the buffers.
var walkSizes = []int{0, 10, 3000, walkBuffer, walkBuffer + 1, 20_000, 150_000}

// ask has a client send a request, perhaps before the one before is answered.
func (w *walk) ask(c *walkClient) {
	if len(c.pending) > 0 || c.ended || len(c.asked)-c.verified > 1 {
		return
	}
	r := &walkRequest{id: fmt.Sprintf("r%d", len(w.requests)), atMostOnce: w.rng.IntN(2) == 0, answers: map[int]int{}}
	path := "/pure/"
	if r.atMostOnce {
		path = "/once/"
	}
	head := fmt.Sprintf("%s %s%s HTTP/1.1\r\nHost: lots.example\r\nX-Attempt-Id: %s\r\nAuthorization: Token k1\r\n",
		[]string{"GET", "POST"}[w.rng.IntN(2)], path, r.id, r.id)
	if w.rng.IntN(20) == 0 {
		head += fmt.Sprintf("X-Deadline-Ms: %d\r\n", 1+w.rng.IntN(3))
	}
	if strings.HasPrefix(head, "GET") {
		c.pending = append([]byte(head), "\r\n"...)
	} else {
		if w.rng.IntN(4) == 0 {
			head += "Expect: 100-continue\r\n"
		}
		r.size = walkSizes[w.rng.IntN(len(walkSizes))]
		c.pending = frame([]byte(head), body(r.id, "-request", r.size), []int{0, 0, 700, 9000}[w.rng.IntN(4)])
	}
	w.requests[r.id] = r
	c.asked = append(c.asked, r)
	w.note("client %d asks %s, %d bytes", c.number, r.id, r.size)
}

// write has a client write a part of what it has to write.
func (w *walk) write(c *walkClient) {
	n := min(len(c.pending), 1+w.rng.IntN(1+len(c.pending)))
	n = c.socket.write(c.pending[:n])
	c.pending = c.pending[n:]
	if n > 0 {
		w.note("client %d writes %d bytes", c.number, n)
	}
}

// spoil has a client write something else in place of the rest of its request.
func (w *walk) spoil(c *walkClient) {
	if len(c.pending) == 0 || len(c.asked) == 0 {
		return
	}
	w.note("client %d spoils its request", c.number)
	c.pending = []byte("\r\nzz\r\nzz\r\n")
	c.asked[len(c.asked)-1].size, c.spoilt = -1, true
}

// read has a client read up to most bytes, and checks what it has got.
func (w *walk) read(c *walkClient, most int) error {
	p, result := c.socket.read(w.scratch[:most])
	switch result {
	case readBytes:
		w.note("client %d reads %d bytes", c.number, len(p))
		c.stream.add(p)
		return w.verify(c)
	case readEnd, readReset:
		c.ended = true
	}
	return nil
}

// verify checks the responses that a client has got: each belongs to the client's next request, and a response of the backend is what the
// backend sent.
func (w *walk) verify(c *walkClient) error {
	if c.stream.err != nil {
		return fmt.Errorf("client %d: %w", c.number, c.stream.err)
	}
	finals := c.finals()
	if extra := len(finals) - len(c.asked); extra == 1 && c.spoilt && finals[len(c.asked)].status() == 400 {
		finals = finals[:len(c.asked)] // the response to bytes behind the last request
	} else if extra > 0 {
		return fmt.Errorf("client %d: %d responses to %d requests", c.number, len(finals), len(c.asked))
	}
	for i, m := range finals {
		if err := c.asked[i].verify(m); err != nil {
			return fmt.Errorf("client %d: %w", c.number, err)
		}
		if m.complete && i < len(finals)-1 && m.headers["connection"] == "close" {
			return fmt.Errorf("client %d: a response after the connection's last", c.number)
		}
		if m.complete {
			c.verified = max(c.verified, i+1)
		}
	}
	return nil
}

// verify checks a response to the request.
func (r *walkRequest) verify(m *message) error {
	status := m.status()
	if id, named := m.headers["x-attempt-id"]; named && id != r.id {
		return fmt.Errorf("a response to %s where %s waits", id, r.id)
	}
	r.refused = r.refused || status == 503 || status == 429
	size, sent := r.answers[status]
	switch sealed := m.headers["x-backend-seal"] != ""; {
	case !sealed && status < 300:
		return fmt.Errorf("%s: a success without a seal", r.id)
	case !sealed:
	case !sent:
		return fmt.Errorf("%s: status %d, which the backend did not send", r.id, status)
	case !bytes.HasPrefix(body(r.id, "-answer", size), m.body) || m.complete && len(m.body) != size:
		return fmt.Errorf("%s: %d bytes of a body of %d bytes, or other ones", r.id, len(m.body), size)
	}
	return nil
}

// receive has a connection to the backend read up to most bytes, and checks the requests on it.
func (w *walk) receive(b *walkBackend, most int) error {
	p, result := b.read(w.scratch[:most])
	if result == readEnd || result == readReset {
		b.close(false)
	}
	if result != readBytes {
		return nil
	}
	w.note("backend reads %d bytes", len(p))
	b.stream.add(p)
	if b.stream.err != nil {
		return fmt.Errorf("backend: %w", b.stream.err)
	}
	for ; b.arrived < len(b.stream.messages); b.arrived++ {
		if b.arrived > b.answered {
			return fmt.Errorf("backend: a request before the one before is answered")
		}
		r := w.requests[b.stream.messages[b.arrived].headers["x-attempt-id"]]
		if r == nil {
			return fmt.Errorf("backend: a request that nobody sent: %q", b.stream.messages[b.arrived].start)
		}
		if r.arrivals++; r.atMostOnce && r.arrivals > 1 {
			return fmt.Errorf("backend: %s arrives twice", r.id)
		}
	}
	if n := len(b.stream.messages); n > 0 {
		m := b.stream.messages[n-1]
		r := w.requests[m.headers["x-attempt-id"]]
		if r.size >= 0 && (!bytes.HasPrefix(body(r.id, "-request", r.size), m.body) || m.complete && len(m.body) != r.size) {
			return fmt.Errorf("backend: %s has %d of %d bytes, or other ones", r.id, len(m.body), r.size)
		}
	}
	return nil
}

// request returns the request that a connection to the backend has to answer, or nil.
func (w *walk) request(b *walkBackend) *walkRequest {
	if b.answered >= len(b.stream.messages) {
		return nil
	}
	return w.requests[b.stream.messages[b.answered].headers["x-attempt-id"]]
}

// respond has the backend answer a request. more holds additional header lines.
func (w *walk) respond(b *walkBackend, r *walkRequest, status, size, chunk int, more string) {
	head := fmt.Sprintf("HTTP/1.1 %d Fine\r\nX-Attempt-Id: %s\r\nX-Backend-Seal: s\r\n%s", status, r.id, more)
	b.pending = frame(append(b.pending, head...), body(r.id, "-answer", size), chunk)
	b.answered++
	if r.answers[status] = size; strings.Contains(more, "X-Not-Run") {
		delete(r.answers, status)
		r.arrivals--
	}
	w.note("backend answers %s: %d, %d bytes, chunks of %d, %q", r.id, status, size, chunk, more)
}

// respondSomehow has the backend answer a request in one of the ways that backends have.
func (w *walk) respondSomehow(b *walkBackend) {
	r := w.request(b)
	if r == nil || len(b.pending) > 0 {
		return
	}
	size, chunk := walkSizes[w.rng.IntN(len(walkSizes))], []int{0, 0, 900, 7000}[w.rng.IntN(4)]
	const other = "HTTP/1.1 200 Fine\r\nX-Attempt-Id: other\r\nX-Backend-Seal: s\r\nContent-Length: 5\r\n\r\nother"
	switch w.rng.IntN(14) {
	case 0:
		w.respond(b, r, 503, 0, 0, "X-Not-Run: 1\r\n")
	case 1:
		w.respond(b, r, 421, 0, 0, "X-Not-Run: 1\r\n")
	case 2:
		w.respond(b, r, 500, size, chunk, "")
	case 3:
		b.pending = append(b.pending, other...)
		w.respond(b, r, 200, size, chunk, "")
	case 4:
		b.pending, b.closes = append(b.pending, "noise\r\n\r\n"...), true
		w.note("backend answers noise")
	case 5: // the answer is cut short
		w.respond(b, r, 200, size, chunk, "")
		b.pending, b.closes = b.pending[:w.rng.IntN(len(b.pending))], true
		w.note("backend cuts its answer short")
	case 6:
		w.respond(b, r, 200, size, chunk, "")
		b.pending = append(b.pending, b.pending...)
		w.note("backend answers twice")
	case 7:
		b.pending = append(b.pending, "HTTP/1.1 100 Continue\r\n\r\n"...)
		w.respond(b, r, 200, size, chunk, "")
	case 8:
		w.respond(b, r, 200, size, chunk, "Connection: close\r\n")
	default:
		w.respond(b, r, 200, size, chunk, "")
	}
}

// send has a connection to the backend write a part of what it has to write.
func (w *walk) send(b *walkBackend) {
	n := min(len(b.pending), 1+w.rng.IntN(1+len(b.pending)))
	n = b.write(b.pending[:n])
	if n > 0 {
		w.note("backend writes %d bytes", n)
	}
	if b.pending = b.pending[n:]; len(b.pending) == 0 && b.closes {
		b.close(false)
	}
}

// acceptAll takes all connections that the node has opened to the backend.
func (w *walk) acceptAll() {
	for {
		s, ok := w.listener.accept()
		if !ok {
			return
		}
		w.note("backend accepts")
		w.backends = append(w.backends, &walkBackend{socket: s})
	}
}

// step does one thing with the sockets that a client or a backend may do.
func (w *walk) step() error {
	w.steps++
	c, b := w.client(), w.backend()
	switch draw := w.rng.IntN(100); {
	case draw < 12:
		return w.connect()
	case draw < 50 && c != nil:
		return w.stepClient(c, draw)
	case draw < 58:
		w.acceptAll()
	case b != nil:
		return w.stepBackend(b, draw)
	}
	return nil
}

func (w *walk) stepClient(c *walkClient, draw int) error {
	switch {
	case draw < 20:
		w.ask(c)
	case draw < 34:
		w.write(c)
	case draw < 43:
		return w.read(c, 1+w.rng.IntN(len(w.scratch)))
	case draw < 44:
		w.spoil(c)
	case draw < 46:
		w.note("client %d closes", c.number)
		c.close(false)
	case draw < 49:
		w.note("client %d resets", c.number)
		c.close(true)
	default:
		w.note("client %d ends its direction", c.number)
		c.shutdownWrite()
		c.pending = nil
	}
	return nil
}

func (w *walk) stepBackend(b *walkBackend, draw int) error {
	switch {
	case draw < 72:
		return w.receive(b, 1+w.rng.IntN(len(w.scratch)))
	case draw < 82:
		w.respondSomehow(b)
	case draw < 96:
		w.send(b)
	case draw < 98:
		w.note("backend closes")
		b.close(false)
	default:
		w.note("backend resets")
		b.close(true)
	}
	return nil
}

// decide does one thing that the node itself may do, in a turn: give a request up, submit one that waits, take the backend out of service or
// back, compare clients with their time-outs, or begin to shut down.
func (w *walk) decide(mayDrain bool) {
	w.steps++
	w.engine.Turn(func() {
		id := w.module.pick()
		t := w.module.txns[id]
		switch draw := w.rng.IntN(40); {
		case draw < 28:
			w.decideRequest(id, t, draw)
		case draw < 30:
			w.note("the backend is gone")
			w.dispatch.SetBackend(7, w.address, 0, false)
		case draw < 37:
			w.dispatch.SetBackend(7, w.address, 0, true)
		case draw == 37 && w.sweeps < 3:
			w.note("clients are slow")
			w.sweeps++
			w.server.SetBounds(downstream.Bounds{HeadTimeout: 1, MessageTimeout: 1, AnswerTimeout: 1, IdleTimeout: 1, Buffer: walkBuffer})
			w.server.Due(0)
			w.server.SetBounds(walkBounds())
		case draw == 38 && mayDrain:
			w.note("the node shuts down")
			w.draining = true
			w.server.Drain()
		}
	})
}

// decideRequest gives a request up, or submits one that waits.
func (w *walk) decideRequest(id control.TxnID, t *walkTxn, draw int) {
	switch {
	case t == nil:
	case draw < 6:
		w.note("request %x is given up", id)
		w.module.giveUp(id, t)
	case !t.submitted:
		w.note("request %x is submitted", id)
		w.module.submit(id, t)
	}
}

// finish lets everybody complete what is under way: clients write and read all, and the backend answers all. It fails if that does not come
// about.
func (w *walk) finish() error {
	w.note("all is to be completed")
	w.engine.Turn(func() {
		w.dispatch.SetBackend(7, w.address, 0, true)
		w.module.patient = true
	})
	defer w.engine.Turn(func() { w.module.patient = false })
	for end := time.Now().Add(testTimeout); ; runtime.Gosched() {
		waits := false
		for _, c := range w.clients {
			if c == nil || !c.open {
				continue
			}
			w.write(c)
			if err := w.read(c, len(w.scratch)); err != nil {
				return err
			}
			waits = waits || c.waits()
		}
		if !waits {
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("a request has no answer: %s", w.state())
		}
		if err := w.completeBackends(); err != nil {
			return err
		}
		w.engine.Turn(func() {
			for id, t := range w.module.txns {
				if !t.submitted && !t.answered {
					w.module.submit(id, t)
				}
			}
		})
	}
}

// completeBackends has each connection to the backend read, answer and write what it can.
func (w *walk) completeBackends() error {
	w.acceptAll()
	for _, b := range w.backends {
		if !b.open {
			continue
		}
		if err := w.receive(b, len(w.scratch)); err != nil {
			return err
		}
		if r := w.request(b); r != nil && len(b.pending) == 0 && b.open {
			w.respond(b, r, 200, 10, 0, "")
		}
		if b.open {
			w.send(b)
		}
	}
	return nil
}

// state describes what the node holds.
func (w *walk) state() (text string) {
	w.engine.Turn(func() {
		text = fmt.Sprintf("%d requests in flight, %d known to the module, %d clients, %d connections, %d bytes of input; counters: %s",
			w.gate.InFlight(), len(w.module.txns), w.server.Clients(), w.engine.Open()-w.own, walkMemory-w.engine.SpareInput(), w.engine.Count.Text())
	})
	return text
}

// leave closes all connections, and checks that the node then holds nothing. Requests that wait are given up, as at their deadlines: the end of a
// client's connection may be stuck behind bytes that the node has no room for.
func (w *walk) leave() error {
	w.engine.Turn(func() {
		for id, t := range w.module.txns {
			if !t.answered && !t.submitted {
				w.module.giveUp(id, t)
			}
		}
	})
	for i, c := range w.clients {
		if c != nil {
			c.close(w.rng.IntN(2) == 0)
			w.clients[i] = nil
		}
	}
	for end := time.Now().Add(testTimeout); ; runtime.Gosched() {
		w.acceptAll()
		for _, b := range w.backends {
			b.close(false)
		}
		w.backends = nil
		empty := false
		w.engine.Turn(func() {
			empty = w.gate.InFlight() == 0 && len(w.module.txns) == 0 && w.server.Clients() == 0 && w.engine.Open() == w.own &&
				w.engine.SpareInput() == walkMemory
		})
		if empty {
			break
		}
		if time.Now().After(end) {
			return fmt.Errorf("the node does not become empty: %s", w.state())
		}
	}
	for _, r := range w.requests {
		if r.atMostOnce && r.refused && r.arrivals > 0 {
			return fmt.Errorf("%s was refused and had arrived", r.id)
		}
	}
	return nil
}

// round does a number of steps, some of them while the poller waits, so that the poller finds several things at once.
func (w *walk) round(mayDrain bool) error {
	w.trace = w.trace[:0]
	for range 20 + w.rng.IntN(100) {
		if w.rng.IntN(6) == 0 {
			w.decide(mayDrain)
			continue
		}
		group := 1
		if w.rng.IntN(3) == 0 {
			group = 2 + w.rng.IntN(3)
		}
		var err error
		w.engine.Turn(func() {
			for range group {
				if err == nil {
					err = recoverPanic(w.step)
				}
			}
		})
		if err != nil {
			return err
		}
		if w.rng.IntN(4) > 0 {
			w.settle()
		}
	}
	if w.rng.IntN(2) == 0 {
		if err := w.finish(); err != nil {
			return err
		}
	}
	return w.leave()
}

// recoverPanic calls step, and returns a panic of it as an error.
func recoverPanic(step func() error) (err error) {
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("panic: %v\n%s", p, debug.Stack())
		}
	}()
	return step()
}

// walkRounds is how many rounds one data path lives for. In the last one it may shut down.
const walkRounds = 30

// play plays the rounds of one seed, and returns how many steps they had.
func play(seed uint64) (steps int, err error) {
	w, err := newWalk(seed)
	if err != nil {
		return 0, err
	}
	defer w.stop()
	before := invariant.Violations()
	for i := range walkRounds {
		if err = w.round(i == walkRounds-1); err != nil {
			return w.steps, fmt.Errorf("seed %d, round %d: %w\n%s", seed, i, err, strings.Join(w.trace[max(0, len(w.trace)-40):], "\n"))
		}
	}
	if n := invariant.Violations() - before; n > 0 {
		return w.steps, fmt.Errorf("seed %d: %d invariants were violated", seed, n)
	}
	return w.steps, nil
}

// Guards against a client or a backend that resets, closes, pauses or answers at a bad moment, and by that ends the process, ends a request twice
// or not at all, mixes up answers, or leaves memory or connections behind. WALK_SEEDS and WALK_FIRST play more seeds by hand.
func TestWalksOverTheExchange(t *testing.T) {
	number := func(name string, usual int) int {
		if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
			return n
		}
		return usual
	}
	first, seeds, steps := number("WALK_FIRST", 1), number("WALK_SEEDS", 60), 0
	for seed := first; seed < first+seeds; seed++ {
		n, err := play(uint64(seed))
		must.NoError(t, err)
		steps += n
	}
	t.Logf("%d steps", steps)
}
