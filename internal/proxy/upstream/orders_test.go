package upstream

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"

	"clovergap/control"
	"clovergap/control/quota"
	"clovergap/internal/gateway/admission"
	"clovergap/internal/proxy/counters"
	"clovergap/internal/proxy/eventloop"
	"clovergap/internal/proxy/gate"
	"clovergap/internal/proxy/http1"
	"clovergap/internal/proxy/slots"
)

// All orders of a few things that may befall a request that runs at most once, on real sockets; judged by what the backends
// saw. Nothing waits for time: each thing that happened is read before the next does.

// fakeBackend accepts connections and keeps all that came on each.
type fakeBackend struct {
	listener net.Listener
	mu       sync.Mutex
	more     *sync.Cond
	conns    []*net.TCPConn
	received []*bytes.Buffer
	reads    bool // else it leaves what comes in the socket
	ended    int
}

func newFakeBackend(t *testing.T, reads bool) *fakeBackend {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	b := &fakeBackend{listener: ln, reads: reads}
	b.more = sync.NewCond(&b.mu)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			b.mu.Lock()
			nr := len(b.conns)
			b.conns, b.received = append(b.conns, c.(*net.TCPConn)), append(b.received, &bytes.Buffer{})
			b.more.Broadcast()
			b.mu.Unlock()
			go b.read(c, nr)
		}
	}()
	return b
}

func (f *fakeBackend) read(c net.Conn, nr int) {
	p := make([]byte, 256<<10)
	for {
		f.mu.Lock()
		for !f.reads {
			f.more.Wait()
		}
		f.mu.Unlock()
		n, err := c.Read(p)
		f.mu.Lock()
		f.received[nr].Write(p[:n])
		if err != nil {
			f.ended++
		}
		f.more.Broadcast()
		f.mu.Unlock()
		if err != nil {
			c.Close()
			return
		}
	}
}

// waitUntil waits for something that this backend sees.
func (f *fakeBackend) waitUntil(see func() bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for !see() {
		f.more.Wait()
	}
}

func (f *fakeBackend) startReading() {
	f.mu.Lock()
	f.reads = true
	f.more.Broadcast()
	f.mu.Unlock()
}

// fakeFront is a front with clients that each have an id and what they were told.
type fakeFront struct {
	answers map[slots.Ref][]string
	body    []byte
	sameID  bool // all choose the same id
	left    map[slots.Ref]bool
}

func (f *fakeFront) record(txn slots.Ref, what string) { f.answers[txn] = append(f.answers[txn], what) }
func (f *fakeFront) Complete(_, txn slots.Ref, o gate.Outcome) {
	f.record(txn, "answer "+string(o.Body))
}
func (f *fakeFront) Reject(_, txn slots.Ref, _ time.Duration, _ control.Reason) {
	f.record(txn, "refused")
}
func (f *fakeFront) Fail(_, txn slots.Ref, _ control.Reason) { f.record(txn, "void") }
func (f *fakeFront) Once(_, _ slots.Ref) bool                { return true }
func (f *fakeFront) ID(_, txn slots.Ref) string {
	if f.sameID {
		return "same"
	}
	return fmt.Sprint("id", txn)
}
func (f *fakeFront) isWaiting(txn slots.Ref) bool { return len(f.answers[txn]) == 0 && !f.left[txn] }
func (f *fakeFront) AppendTo(b []byte, _, txn slots.Ref, _ control.BackendID, _ time.Duration) []byte {
	if !f.isWaiting(txn) {
		return b
	}
	b = append(b, "POST / HTTP/1.1\r\nHost: a\r\nX-Attempt-Id: "+f.ID(0, txn)+"\r\n"...)
	b = http1.AppendNumber(b, "Content-Length", len(f.body))
	return append(append(b, "\r\n"...), f.body...)
}

// idDialect is a dialect that matches answers by their id.
type idDialect struct{ blind bool }

func (idDialect) Wary() bool { return true }
func (i idDialect) Read(x Request, r *http1.Reader, b []byte) Meaning {
	id, _ := r.Get(b, "x-attempt-id")
	if string(id) != x.ID && !i.blind {
		return Meaning{Other: true}
	}
	if r.Status() == 421 {
		return Meaning{Ending: control.Rejected, Closes: true}
	}
	return Meaning{Ending: control.Succeeded}
}

// manualClock is the clock of the gate and of admission, moved by the test alone.
type manualClock struct{ now time.Duration }

func (m *manualClock) Now() time.Duration         { return m.now }
func (m *manualClock) Wake(time.Duration, uint32) {}

// watcher keeps how submissions ended.
type watcher struct{ ends []control.Ending }

func (w *watcher) Sent(slots.Ref, string, int, control.BackendID) {}
func (w *watcher) Ended(_ slots.Ref, _ int, _ control.BackendID, how control.Ending) {
	w.ends = append(w.ends, how)
}
func (w *watcher) Final(slots.Ref, string, control.Action) {}

// scenario is a node of the parts that requests pass, with two backends.
type scenario struct {
	t        *testing.T
	engine   *eventloop.Engine
	dispatch *Dispatch
	gate     *gate.Gate
	front    *fakeFront
	watcher  *watcher
	clock    *manualClock
	backends [2]*fakeBackend
	first    int // the backend that the request went to first
	alarms   chan bool
}

func (s *scenario) Live(uint32) bool { return true }
func (s *scenario) Due(uint32)       { s.alarms <- true }

// read waits until the poller has taken all that was there: a due time comes behind it.
func (s *scenario) read() {
	s.engine.Turn(func() { s.engine.At(s.engine.Now(), s, 0) })
	<-s.alarms
}

func newScenario(t *testing.T, e *eventloop.Engine, dialect Dialect, body, tries int) *scenario { // as many backends as tries
	s := &scenario{t: t, engine: e, clock: &manualClock{now: time.Hour}, watcher: &watcher{}, alarms: make(chan bool, 1),
		front: &fakeFront{answers: map[slots.Ref][]string{}, left: map[slots.Ref]bool{}, body: make([]byte, body)}}
	quota := quota.NewLimiter(1, 0, 1, time.Hour, quota.Config{MinInterval: 200 * time.Millisecond, SnapshotTTL: time.Second,
		DatagramsPerSecond: 100})
	o := admission.New(1, admission.Config{RetryRatio: 1, RetryWindow: 10 * time.Second, RetryAllowance: 64, Nodes: 1}, quota, time.Hour)
	o.SetRoute(1, admission.Route{Effectful: true, LatencyTarget: time.Minute, MaxAttempts: tries, Targets: []admission.Target{{Service: 1, Weight: 1}}})
	s.gate = gate.New(o, s.clock, 100, &counters.Set{}, zap.NewNop())
	s.gate.SetWatcher(s.watcher)
	s.engine.Turn(func() {
		s.dispatch = New(e, s.gate, Config{Dialect: dialect, IdleTimeout: time.Hour, MinIdle: 1, DialTimeout: time.Minute}, func() bool { return false })
		s.gate.SetTransport(s.dispatch, nil)
		for i := range s.backends {
			if s.backends[i] = newFakeBackend(t, body < 1<<20); i >= tries {
				continue
			}
			id := control.BackendID(i + 1)
			s.dispatch.SetBackend(id, s.backends[i].listener.Addr().String(), 0, true)
			s.gate.EndpointsChanged(false, []control.Endpoint{{ID: id, State: control.Ready, Capacity: 4, Service: 1}})
		}
		s.clock.now += 30 * time.Second // tokens have come in
		s.gate.RunDecisions()
	})
	return s
}

func (s *scenario) take() (txn slots.Ref) {
	s.engine.Turn(func() {
		txn, _ = s.gate.Take(control.Txn{Product: 1, Units: 1, SetWidth: 1, Expiry: s.clock.now + time.Hour}, s.front, 1)
		s.gate.RunDecisions()
	})
	return txn
}

func (s *scenario) ends() (n int) {
	s.engine.Turn(func() { n = len(s.watcher.ends) })
	return n
}

func (s *scenario) answersTo(txn slots.Ref) (told []string) {
	s.engine.Turn(func() { told = slices.Clone(s.front.answers[txn]) })
	return told
}

// newest is the connection that came last.
func (f *fakeBackend) newest() *net.TCPConn {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.conns[len(f.conns)-1]
}

// isQuiet tells whether the request has its end and nothing is out.
func (s *scenario) isQuiet() (is bool) {
	s.engine.Turn(func() { s.gate.RunDecisions(); is = s.gate.InFlight() == 0 })
	return is
}

func answerTo(id string, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// apply makes one thing happen on the newest connection that carries the request.
func (s *scenario) apply(what byte, txn slots.Ref) {
	b := s.backends[s.first]
	c, id := b.newest(), s.front.ID(0, txn)
	switch what {
	case 'a':
		c.Write([]byte(answerTo(id, id)))
	case 'o':
		c.Write([]byte(answerTo("other", "another's")))
	case 'i':
		c.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
	case 'p': // a part of its answer
		c.Write([]byte(answerTo(id, id)[:30]))
	case 'n':
		c.Write([]byte("HTTP/1.1 421 No\r\nX-Attempt-Id: " + id + "\r\nContent-Length: 0\r\n\r\n"))
	case 'x':
		c.SetLinger(0)
		c.Close()
	case 'f':
		c.CloseWrite()
	case 'r':
		b.startReading()
	case 't': // its deadline
		s.engine.Turn(func() {
			s.clock.now += 2 * time.Hour
			s.gate.RunDecisions()
		})
	case 'l': // an alarm of a former life of the slot
		s.engine.Turn(func() { s.dispatch.limitAlarms.Due(uint32(s.dispatch.byTxn[txn])) })
	case 'c':
		s.engine.Turn(func() {
			s.front.left[txn] = true
			s.gate.Left(txn)
		})
	}
	s.read()
}

// check compares what was told with what the backends saw, once nothing can come any more.
func (s *scenario) check(txn slots.Ref, refusedBy int) error {
	id := s.front.ID(0, txn)
	ran := 0
	for _, b := range s.backends {
		b.startReading()
		b.listener.Close()
		b.waitUntil(func() bool { return b.ended == len(b.conns) })
		for _, saw := range b.received {
			if saw.Len() > 0 {
				ran++
			}
		}
	}
	told, gone := s.answersTo(txn), false
	s.engine.Turn(func() { gone = s.front.left[txn] })
	switch {
	case len(told) > 1:
		return fmt.Errorf("told twice: %v", told)
	case len(told) == 0 && !gone:
		return fmt.Errorf("told nothing")
	case len(told) == 1 && told[0] == "refused" && ran > refusedBy:
		return fmt.Errorf("refused, and a backend saw it")
	case len(told) == 1 && strings.HasPrefix(told[0], "answer") && told[0] != "answer "+id:
		return fmt.Errorf("told %q", told[0])
	case ran > 1+refusedBy:
		return fmt.Errorf("sent %d times", ran)
	}
	return nil
}

// forEachOrder gives all orders of so many of some things.
func forEachOrder(of string, most int, f func(string)) {
	var walk func(done string)
	walk = func(done string) {
		f(done)
		if len(done) == most {
			return
		}
		for _, x := range of {
			if !strings.ContainsRune(done, x) {
				walk(done + string(x))
			}
		}
	}
	walk("")
}

// runOrder lets things happen to a request, in this order.
func runOrder(t *testing.T, dialect Dialect, body int, order string) (err error) {
	defer func() { // a check of a debug build finds it as well
		if r := recover(); r != nil {
			err = fmt.Errorf("%v", r)
		}
	}()
	e := eventloop.New("", 1024, 64<<20, 1<<30)
	if err := e.Start(); err != nil {
		return err
	}
	s := newScenario(t, e, dialect, body, 2)
	txn := s.take()
	s.begins()
	refused := 0
	for _, what := range []byte(order) {
		if s.isQuiet() {
			break
		}
		ends := s.ends()
		s.apply(what, txn)
		if what == 'l' && s.ends() > ends {
			return fmt.Errorf("ended by an alarm that was not its own")
		}
		if s.ends() > ends && !s.isQuiet() && s.isInFlight() { // it went to the other one
			s.begins()
		}
	}
	if !s.isQuiet() {
		s.apply('t', txn)
	}
	if !s.isQuiet() { // its client is told, or has gone: what is out ends by its own limit
		e.Turn(func() {
			s.dispatch.submissions.Each(func(ref slots.Ref, _ *submission) { s.dispatch.giveUp(ref, control.TimedOut, control.Unreachable) })
			s.gate.RunDecisions()
		})
	}
	e.Turn(func() {
		if len(s.watcher.ends) > 0 && s.watcher.ends[0] == control.Rejected {
			refused = 1
		}
	})
	e.Stop()
	return s.check(txn, refused)
}

// isInFlight tells whether a submission is.
func (s *scenario) isInFlight() (is bool) {
	s.engine.Turn(func() { is = s.dispatch.submissions.Len() > 0 })
	return is
}

// begins waits until a backend has what it reads of the request, and finds which.
func (s *scenario) begins() {
	for s.first = 0; ; s.first = 1 - s.first {
		b := s.backends[s.first]
		b.mu.Lock()
		n := len(b.conns)
		got := n > 0 && (!b.reads || b.received[n-1].Len() >= len(s.front.body))
		b.mu.Unlock()
		over := false
		if got {
			s.read()
			s.engine.Turn(func() {
				over = true
				s.dispatch.submissions.Each(func(_ slots.Ref, x *submission) {
					if x.transmission.conn == 0 || int(x.backend.id) != s.first+1 {
						over = false
					}
				})
			})
		}
		if over {
			return
		}
	}
}

const happenings = "aoipnxftlcr"

// deep is how much longer orders and streams are, where somebody has the time: ORDERS_DEEP=1.
var deep, _ = strconv.Atoi(os.Getenv("ORDERS_DEEP"))

func TestAllOrders(t *testing.T) {
	for _, body := range []int{0, 12 << 20} {
		n, most := 0, 2+deep
		if body > 0 { // written in part: half of it waits at this side
			most = 1 + deep
		}
		forEachOrder(happenings, most, func(order string) {
			n++
			must.NoError(t, runOrder(t, idDialect{}, body, order), must.Sprint(body, order))
		})
		t.Log(body, n, "orders")
	}
}

// Each defence taken out is found.
func TestFaults(t *testing.T) {
	found := func(dialect Dialect, body int) (at string, n int) {
		forEachOrder(happenings, 2, func(order string) {
			if at == "" {
				if n++; runOrder(t, dialect, body, order) != nil {
					at = order
				}
			}
		})
		return at, n
	}
	for _, f := range []struct {
		name    string
		set     func(on bool)
		dialect Dialect
		body    int
	}{
		{"what passed the fence is taken for unsent", func(on bool) { disabledChecks.passed = on }, idDialect{}, 0},
		{"what is written in part is taken for unsent", func(on bool) { disabledChecks.first = on }, idDialect{}, 12 << 20},
		{"an answer of another id is taken", func(bool) {}, idDialect{blind: true}, 0},
	} {
		f.set(true)
		began := time.Now()
		at, n := found(f.dialect, f.body)
		f.set(false)
		must.NotEq(t, "", at, must.Sprint(f.name))
		t.Log(f.name, "found by", at, "after", n, "orders,", time.Since(began))
	}
}

// pieces are what a backend may write beside the answer that is due: it, a second copy, another's, the next one's, an
// interim answer, an answer cut short, noise.
func pieces(id, next string) []string {
	return []string{answerTo(id, id), answerTo("other", "another's"), answerTo(next, "stolen"), "HTTP/1.1 100 Continue\r\n\r\n",
		answerTo(id, id)[:40], "noise\r\n\r\n"}
}

// callers asks twice, on one connection where that may be, lets the backend write before the second ask what stream
// says, cut in two, and behind it the second's answer. It tells if a caller got what is not its own.
func (s *scenario) callers(stream []int, cut int, same bool) error {
	s.engine.Turn(func() { s.front.sameID = same })
	one := s.take()
	s.begins()
	b := s.backends[s.first]
	id, next := s.front.ID(0, one), s.front.ID(0, one+1<<16) // the slot is used again
	var all string
	for _, nr := range stream {
		all += pieces(id, next)[nr]
	}
	if cut < 0 { // behind the first piece
		cut = len(pieces(id, next)[stream[0]])
	}
	cut = cut % (len(all) + 1)
	c := b.newest()
	c.Write([]byte(all[:cut]))
	s.read()
	early := s.isQuiet()
	two := slots.Ref(0)
	if early {
		two = s.take()
	}
	c.Write([]byte(all[cut:]))
	s.read()
	if two == 0 && s.isQuiet() {
		two = s.take()
	}
	for two != 0 && s.isInFlight() { // dialed, where the connection was given up
		s.begins()
		if s.answersTo(two) == nil {
			s.backends[s.first].newest().Write([]byte(answerTo(s.front.ID(0, two), "own")))
			s.read()
		}
		if s.isInFlight() {
			break
		}
	}
	for _, txn := range []slots.Ref{one, two} {
		if txn != 0 && !s.isQuiet() {
			s.apply('t', txn)
		}
	}
	if told := s.answersTo(one); len(told) != 1 || strings.HasPrefix(told[0], "answer") && told[0] != "answer "+id && (!same || told[0] != "answer stolen") {
		return fmt.Errorf("the first was told %q", told)
	}
	if two == 0 {
		return nil
	}
	if told := s.answersTo(two); len(told) != 1 || strings.HasPrefix(told[0], "answer") && told[0] != "answer own" && (same || told[0] != "answer stolen") {
		return fmt.Errorf("the second was told %q", told)
	}
	return nil
}

// streams plays all streams of so many pieces, cut in two at some places, until one gives a caller what is not its own.
func streams(t *testing.T, dialect Dialect, most, step int) (n, answered int, err error) {
	e := eventloop.New("", 1024, 64<<10, 64<<20)
	must.NoError(t, e.Start())
	defer e.Stop()
	s := newScenario(t, e, dialect, 0, 1)
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("%v", r)
		}
	}()
	forEachOrder("012345", most, func(order string) {
		var stream []int
		for _, x := range order {
			stream = append(stream, int(x-'0'))
		}
		for _, twice := range []bool{false, true} {
			if twice { // the first piece once more at the end
				if len(stream) == 0 {
					return
				}
				stream = append(stream, stream[0])
			}
			for _, same := range []bool{false, true} {
				for cut := -step; len(stream) > 0 && cut <= 80*len(stream) && err == nil; cut += step {
					n++
					if err = s.callers(stream, cut, same); err != nil {
						err = fmt.Errorf("%v, cut at %d, same %v: %w", stream, cut, same, err)
					}
				}
			}
		}
	})
	e.Turn(func() {
		for _, told := range s.front.answers {
			if strings.HasPrefix(told[0], "answer") {
				answered++
			}
		}
	})
	return n, answered, err
}

// Nothing of an answer in pieces, with surplus bytes, doubled, or of another id goes to another caller.
func TestOwnAnswersOnly(t *testing.T) {
	n, answered, err := streams(t, idDialect{}, 2+deep, 17)
	must.NoError(t, err)
	must.Greater(t, n/2, answered)
	t.Log(n, "streams,", answered, "answers")
	disabledChecks.sameID = true
	n, _, err = streams(t, idDialect{}, 2, 17)
	disabledChecks.sameID = false
	must.Error(t, err)
	t.Log("two callers of one id on one connection: found after", n, err)
	n, _, err = streams(t, idDialect{blind: true}, 2, 17)
	must.Error(t, err)
	t.Log("ids not looked at: found after", n, err)
}

// An answer whose rest lies unread is not cut short. A paused process finds that an answer is late before it has read what came meanwhile, at once
// (an alarm is overdue) or later, since a slow process reads for longer than its alarms were late.
func TestBackendWithUnreadAnswerIsNotSilent(t *testing.T) {
	defer func() { disabledChecks.unread = false }()
	for _, play := range []struct{ fault, overdue bool }{{false, false}, {false, true}, {true, false}, {true, true}} {
		disabledChecks.unread = play.fault
		e := eventloop.New("", 1024, 64<<10, 1<<30)
		must.NoError(t, e.Start())
		s := newScenario(t, e, idDialect{}, 0, 1)
		txn := s.take()
		s.begins()
		s.apply('p', txn)
		alarm := func() {
			ref := s.dispatch.byTxn[txn]
			x := s.dispatch.submissions.Get(ref)
			x.answerTimeout, x.answerDeadline = time.Minute, e.Now()
			id := s.front.ID(0, txn)
			s.backends[s.first].newest().Write([]byte(answerTo(id, id)[30:])) // it can't be read before this turn is over
			s.dispatch.partAlarms.Due(uint32(ref))
		}
		e.Turn(func() {
			if play.overdue {
				e.At(e.Now()-time.Hour, alarmFunc(alarm), 0)
			} else {
				alarm()
			}
		})
		for !s.isQuiet() {
			s.read()
		}
		must.Eq(t, play.fault, s.answersTo(txn)[0] == "void")
		e.Stop()
	}
}

// alarmFunc is a function as an eventloop.Alarm.
type alarmFunc func()

func (alarmFunc) Live(uint32) bool { return true }
func (a alarmFunc) Due(uint32)     { a() }
