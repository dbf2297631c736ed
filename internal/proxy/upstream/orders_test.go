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

// backend takes connections and keeps all that came on each.
type fixture struct {
	ln    net.Listener
	mu    sync.Mutex
	more  *sync.Cond
	conns []*net.TCPConn
	saw   []*bytes.Buffer
	reads bool // else it leaves what comes in the socket
	ended int
}

func newFixture(t *testing.T, reads bool) *fixture {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	b := &fixture{ln: ln, reads: reads}
	b.more = sync.NewCond(&b.mu)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			b.mu.Lock()
			nr := len(b.conns)
			b.conns, b.saw = append(b.conns, c.(*net.TCPConn)), append(b.saw, &bytes.Buffer{})
			b.more.Broadcast()
			b.mu.Unlock()
			go b.read(c, nr)
		}
	}()
	return b
}

func (f *fixture) read(c net.Conn, nr int) {
	p := make([]byte, 256<<10)
	for {
		f.mu.Lock()
		for !f.reads {
			f.more.Wait()
		}
		f.mu.Unlock()
		n, err := c.Read(p)
		f.mu.Lock()
		f.saw[nr].Write(p[:n])
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

// until waits for something that this backend sees.
func (f *fixture) until(see func() bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for !see() {
		f.more.Wait()
	}
}

func (f *fixture) readsOn() {
	f.mu.Lock()
	f.reads = true
	f.more.Broadcast()
	f.mu.Unlock()
}

// asker is a front with clients that each have an id and what they were told.
type asker struct {
	told map[slots.Ref][]string
	body []byte
	same bool // all choose the same id
	gone map[slots.Ref]bool
}

func (a *asker) say(txn slots.Ref, what string) { a.told[txn] = append(a.told[txn], what) }
func (a *asker) Complete(_, txn slots.Ref, o gate.Outcome) {
	a.say(txn, "answer "+string(o.Body))
}
func (a *asker) Reject(_, txn slots.Ref, _ time.Duration, _ control.Reason) { a.say(txn, "refused") }
func (a *asker) Fail(_, txn slots.Ref, _ control.Reason)                    { a.say(txn, "void") }
func (a *asker) Once(_, _ slots.Ref) bool                                   { return true }
func (a *asker) ID(_, txn slots.Ref) string {
	if a.same {
		return "same"
	}
	return fmt.Sprint("id", txn)
}
func (a *asker) waits(txn slots.Ref) bool { return len(a.told[txn]) == 0 && !a.gone[txn] }
func (a *asker) AppendTo(b []byte, _, txn slots.Ref, _ control.BackendID, _ time.Duration) []byte {
	if !a.waits(txn) {
		return b
	}
	b = append(b, "POST / HTTP/1.1\r\nHost: a\r\nX-Attempt-Id: "+a.ID(0, txn)+"\r\n"...)
	b = http1.AppendNumber(b, "Content-Length", len(a.body))
	return append(append(b, "\r\n"...), a.body...)
}

// echoes is a dialect that matches answers by their id.
type echoes struct{ blind bool }

func (echoes) Wary() bool { return true }
func (e echoes) Read(x Request, r *http1.Reader, b []byte) Meaning {
	id, _ := r.Get(b, "x-attempt-id")
	if string(id) != x.ID && !e.blind {
		return Meaning{Other: true}
	}
	if r.Status() == 421 {
		return Meaning{Ending: control.Rejected, Closes: true}
	}
	return Meaning{Ending: control.Succeeded}
}

// hands is the clock of the gate and the office, moved by the test alone.
type hands struct{ now time.Duration }

func (h *hands) Now() time.Duration         { return h.now }
func (h *hands) Wake(time.Duration, uint32) {}

// watcher keeps how submissions ended.
type watcher struct{ ends []control.Ending }

func (w *watcher) Sent(slots.Ref, string, int, control.BackendID) {}
func (w *watcher) Ended(_ slots.Ref, _ int, _ control.BackendID, how control.Ending) {
	w.ends = append(w.ends, how)
}
func (w *watcher) Final(slots.Ref, string, control.Action) {}

// scenario is a node of the parts that requests pass, with two backends.
type scenario struct {
	t     *testing.T
	e     *eventloop.Engine
	d     *Dispatch
	g     *gate.Gate
	a     *asker
	w     *watcher
	hands *hands
	at    [2]*fixture
	first int // the backend that the request went to first
	rung  chan bool
}

func (s *scenario) Live(uint32) bool { return true }
func (s *scenario) Due(uint32)       { s.rung <- true }

// read waits until the poller has taken all that was there: a due time comes behind it.
func (s *scenario) read() {
	s.e.Turn(func() { s.e.At(s.e.Now(), s, 0) })
	<-s.rung
}

func newScenario(t *testing.T, e *eventloop.Engine, dialect Dialect, body, tries int) *scenario { // as many backends as tries
	s := &scenario{t: t, e: e, hands: &hands{now: time.Hour}, w: &watcher{}, rung: make(chan bool, 1),
		a: &asker{told: map[slots.Ref][]string{}, gone: map[slots.Ref]bool{}, body: make([]byte, body)}}
	quota := quota.NewLimiter(1, 0, 1, time.Hour, quota.Config{MinInterval: 200 * time.Millisecond, SnapshotTTL: time.Second,
		DatagramsPerSecond: 100})
	o := admission.New(1, admission.Config{RetryRatio: 1, RetryWindow: 10 * time.Second, RetryAllowance: 64, Nodes: 1}, quota, time.Hour)
	o.SetRoute(1, admission.Route{Effectful: true, LatencyTarget: time.Minute, MaxAttempts: tries, Targets: []admission.Target{{Service: 1, Weight: 1}}})
	s.g = gate.New(o, s.hands, 100, &counters.Set{}, zap.NewNop())
	s.g.SetWatcher(s.w)
	s.e.Turn(func() {
		s.d = New(e, s.g, Config{Dialect: dialect, IdleTimeout: time.Hour, MinIdle: 1, DialTimeout: time.Minute}, func() bool { return false })
		s.g.SetTransport(s.d, nil)
		for i := range s.at {
			if s.at[i] = newFixture(t, body < 1<<20); i >= tries {
				continue
			}
			id := control.BackendID(i + 1)
			s.d.SetBackend(id, s.at[i].ln.Addr().String(), 0, true)
			s.g.EndpointsChanged(false, []control.Endpoint{{ID: id, State: control.Ready, Capacity: 4, Service: 1}})
		}
		s.hands.now += 30 * time.Second // tokens have come in
		s.g.RunDecisions()
	})
	return s
}

func (s *scenario) take() (txn slots.Ref) {
	s.e.Turn(func() {
		txn, _ = s.g.Take(control.Txn{Product: 1, Units: 1, SetWidth: 1, Expiry: s.hands.now + time.Hour}, s.a, 1)
		s.g.RunDecisions()
	})
	return txn
}

func (s *scenario) ends() (n int) {
	s.e.Turn(func() { n = len(s.w.ends) })
	return n
}

func (s *scenario) told(txn slots.Ref) (told []string) {
	s.e.Turn(func() { told = slices.Clone(s.a.told[txn]) })
	return told
}

// newest is the connection that came last.
func (f *fixture) newest() *net.TCPConn {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.conns[len(f.conns)-1]
}

// settled tells whether the request has its end and nothing is out.
func (s *scenario) settled() (is bool) {
	s.e.Turn(func() { s.g.RunDecisions(); is = s.g.InFlight() == 0 })
	return is
}

func answerTo(id string, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// happen makes one thing happen on the newest connection that carries the request.
func (s *scenario) happen(what byte, txn slots.Ref) {
	b := s.at[s.first]
	c, id := b.newest(), s.a.ID(0, txn)
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
		b.readsOn()
	case 't': // its deadline
		s.e.Turn(func() {
			s.hands.now += 2 * time.Hour
			s.g.RunDecisions()
		})
	case 'l': // an alarm of a former life of the slot
		s.e.Turn(func() { s.d.limitAlarms.Due(uint32(s.d.byTxn[txn])) })
	case 'c':
		s.e.Turn(func() {
			s.a.gone[txn] = true
			s.g.Left(txn)
		})
	}
	s.read()
}

// judge compares what was told with what the backends saw, once nothing can come any more.
func (s *scenario) judge(txn slots.Ref, refusedBy int) error {
	id := s.a.ID(0, txn)
	ran := 0
	for _, b := range s.at {
		b.readsOn()
		b.ln.Close()
		b.until(func() bool { return b.ended == len(b.conns) })
		for _, saw := range b.saw {
			if saw.Len() > 0 {
				ran++
			}
		}
	}
	told, gone := s.told(txn), false
	s.e.Turn(func() { gone = s.a.gone[txn] })
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

// orders gives all orders of so many of some things.
func orders(of string, most int, f func(string)) {
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

// play lets things happen to a request, in this order.
func play(t *testing.T, dialect Dialect, body int, order string) (err error) {
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
		if s.settled() {
			break
		}
		ends := s.ends()
		s.happen(what, txn)
		if what == 'l' && s.ends() > ends {
			return fmt.Errorf("ended by an alarm that was not its own")
		}
		if s.ends() > ends && !s.settled() && s.out() { // it went to the other one
			s.begins()
		}
	}
	if !s.settled() {
		s.happen('t', txn)
	}
	if !s.settled() { // its client is told, or has gone: what is out ends by its own limit
		e.Turn(func() {
			s.d.submissions.Each(func(ref slots.Ref, x *submission) { s.d.giveUp(ref, x, control.TimedOut, control.Unreachable) })
			s.g.RunDecisions()
		})
	}
	e.Turn(func() {
		if len(s.w.ends) > 0 && s.w.ends[0] == control.Rejected {
			refused = 1
		}
	})
	e.Stop()
	return s.judge(txn, refused)
}

// out tells whether a submission is.
func (s *scenario) out() (is bool) {
	s.e.Turn(func() { is = s.d.submissions.Len() > 0 })
	return is
}

// begins waits until a backend has what it reads of the request, and finds which.
func (s *scenario) begins() {
	for s.first = 0; ; s.first = 1 - s.first {
		b := s.at[s.first]
		b.mu.Lock()
		n := len(b.conns)
		got := n > 0 && (!b.reads || b.saw[n-1].Len() >= len(s.a.body))
		b.mu.Unlock()
		over := false
		if got {
			s.read()
			s.e.Turn(func() {
				over = true
				s.d.submissions.Each(func(_ slots.Ref, x *submission) {
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
		orders(happenings, most, func(order string) {
			n++
			must.NoError(t, play(t, echoes{}, body, order), must.Sprint(body, order))
		})
		t.Log(body, n, "orders")
	}
}

// Each defence taken out is found.
func TestFaults(t *testing.T) {
	found := func(dialect Dialect, body int) (at string, n int) {
		orders(happenings, 2, func(order string) {
			if at == "" {
				if n++; play(t, dialect, body, order) != nil {
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
		{"what passed the fence is taken for unsent", func(on bool) { disabledChecks.passed = on }, echoes{}, 0},
		{"what is written in part is taken for unsent", func(on bool) { disabledChecks.first = on }, echoes{}, 12 << 20},
		{"an answer of another id is taken", func(bool) {}, echoes{blind: true}, 0},
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
	s.e.Turn(func() { s.a.same = same })
	one := s.take()
	s.begins()
	b := s.at[s.first]
	id, next := s.a.ID(0, one), s.a.ID(0, one+1<<16) // the slot is used again
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
	early := s.settled()
	two := slots.Ref(0)
	if early {
		two = s.take()
	}
	c.Write([]byte(all[cut:]))
	s.read()
	if two == 0 && s.settled() {
		two = s.take()
	}
	for two != 0 && s.out() { // dialed, where the connection was given up
		s.begins()
		if s.told(two) == nil {
			s.at[s.first].newest().Write([]byte(answerTo(s.a.ID(0, two), "own")))
			s.read()
		}
		if s.out() {
			break
		}
	}
	for _, txn := range []slots.Ref{one, two} {
		if txn != 0 && !s.settled() {
			s.happen('t', txn)
		}
	}
	if told := s.told(one); len(told) != 1 || strings.HasPrefix(told[0], "answer") && told[0] != "answer "+id && (!same || told[0] != "answer stolen") {
		return fmt.Errorf("the first was told %q", told)
	}
	if two == 0 {
		return nil
	}
	if told := s.told(two); len(told) != 1 || strings.HasPrefix(told[0], "answer") && told[0] != "answer own" && (same || told[0] != "answer stolen") {
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
	orders("012345", most, func(order string) {
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
		for _, told := range s.a.told {
			if strings.HasPrefix(told[0], "answer") {
				answered++
			}
		}
	})
	return n, answered, err
}

// Nothing of an answer in pieces, with surplus bytes, doubled, or of another id goes to another caller.
func TestOwnAnswersOnly(t *testing.T) {
	n, answered, err := streams(t, echoes{}, 2+deep, 17)
	must.NoError(t, err)
	must.Greater(t, n/2, answered)
	t.Log(n, "streams,", answered, "answers")
	disabledChecks.sameID = true
	n, _, err = streams(t, echoes{}, 2, 17)
	disabledChecks.sameID = false
	must.Error(t, err)
	t.Log("two callers of one id on one connection: found after", n, err)
	n, _, err = streams(t, echoes{blind: true}, 2, 17)
	must.Error(t, err)
	t.Log("ids not looked at: found after", n, err)
}

// A node that stood still reads what came meanwhile before it holds an answer for cut short.
func TestStandstillIsNotTheBackends(t *testing.T) {
	defer func() { disabledChecks.unread = false }()
	for _, fault := range []bool{false, true} {
		disabledChecks.unread = fault
		e := eventloop.New("", 1024, 64<<10, 1<<30)
		must.NoError(t, e.Start())
		s := newScenario(t, e, echoes{}, 0, 1)
		txn := s.take()
		s.begins()
		s.happen('p', txn)
		e.Turn(func() {
			e.At(e.Now()-time.Hour, late(func() {
				ref := s.d.byTxn[txn]
				x := s.d.submissions.Get(ref)
				x.answerTimeout, x.answerDeadline = time.Minute, e.Now()
				id := s.a.ID(0, txn)
				s.at[s.first].newest().Write([]byte(answerTo(id, id)[30:])) // it can't be read before this turn is over
				s.d.partAlarms.Due(uint32(ref))
			}), 0)
		})
		for !s.settled() {
			s.read()
		}
		must.Eq(t, fault, s.told(txn)[0] == "void")
		e.Stop()
	}
}

// late is a due time.
type late func()

func (late) Live(uint32) bool { return true }
func (l late) Due(uint32)     { l() }
