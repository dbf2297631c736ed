package upstream

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"clovergap/control"
	"clovergap/internal/proxy/eventloop"
	"clovergap/internal/proxy/gate"
	"clovergap/internal/proxy/http1"
	"clovergap/internal/proxy/slots"
)

// streamingFront is a front whose requests and answers are streamed. Its client leaves in the midst of one of the gate's calls, as when a
// write to the client's socket fails because the client has reset the connection.
type streamingFront struct {
	*fakeFront
	gate     *gate.Gate
	leavesIn string // name of the call; "": the client stays
	writable int
	passed   int // bytes of the answer
	ended    []bool
	// The rest of the request's body turns out to be invalid while the head of the answer is written.
	failsInBegin, failed bool
}

func (s *streamingFront) leave(call string, txn slots.Ref) {
	if s.leavesIn == call && !s.left[txn] {
		s.left[txn] = true
		s.gate.Left(txn)
	}
}

func (s *streamingFront) AppendTo(b []byte, _, txn slots.Ref, _ control.BackendID, _ time.Duration) []byte {
	b = append(b, "POST / HTTP/1.1\r\nHost: a\r\nX-Attempt-Id: "+s.ID(0, txn)+"\r\n"...)
	return append(http1.AppendNumber(b, "Content-Length", len(s.body)), "\r\n"...)
}
func (s *streamingFront) Flows(_, _ slots.Ref) bool        { return true }
func (s *streamingFront) BodyConsumed(_, _ slots.Ref) bool { return true }
func (s *streamingFront) Part(b []byte, _, txn slots.Ref) (out []byte, complete, ok bool) {
	s.leave("Part", txn)
	if s.failsInBegin {
		return b, false, !s.failed
	}
	return append(b, s.body...), true, !s.left[txn]
}
func (s *streamingFront) Begin(_, txn slots.Ref, _ gate.Outcome) bool {
	s.leave("Begin", txn)
	if s.failsInBegin {
		s.failed = true
		s.gate.More(txn) // as the connection does when the head is written
	}
	return !s.left[txn]
}
func (s *streamingFront) Writable(_, txn slots.Ref) int {
	if s.left[txn] {
		return -1
	}
	return s.writable
}
func (s *streamingFront) Pass(_, txn slots.Ref, part []byte) {
	s.passed += len(part)
	s.leave("Pass", txn)
}
func (s *streamingFront) End(_, txn slots.Ref, complete bool) {
	s.ended = append(s.ended, complete)
	s.leave("End", txn)
}

// Guards against the end of the whole process by a client that resets its connection while the head of its answer, a part of it or its end is
// written, or while a part of its request is read: the attempt ended inside that call, and was ended once more after it (review/1). Each
// attempt ends once, and leaves no connection behind.
func TestClientLeavesInsideACall(t *testing.T) {
	const answerBytes = 8 << 10
	for _, call := range []string{"", "Part", "Begin", "Pass", "End"} {
		e := eventloop.New("", 1024, 64<<10, 1<<30)
		must.NoError(t, e.Start())
		s := newScenario(t, e, idDialect{}, 16, 1)
		front := &streamingFront{fakeFront: s.front, gate: s.gate, leavesIn: call, writable: answerBytes}
		var txn slots.Ref
		e.Turn(func() {
			s.dispatch.config.Buffer, s.dispatch.config.Raw = 1<<10, 64<<10
			txn, _ = s.gate.Take(control.Txn{Product: 1, Units: 1, SetWidth: 1, Expiry: s.clock.now + time.Hour}, front, 1)
			s.gate.RunDecisions()
		})
		backend := s.backends[0]
		if call != "Part" {
			backend.waitUntil(func() bool {
				return len(backend.received) > 0 && strings.Contains(backend.received[0].String(), "\r\n\r\n")
			})
			answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nContent-Length: %d\r\n\r\n%s", s.front.ID(0, txn), answerBytes,
				strings.Repeat("a", answerBytes))
			_, err := net.Conn(backend.newest()).Write([]byte(answer))
			must.NoError(t, err)
		}
		for s.ends() == 0 || !s.isQuiet() {
			s.read()
		}
		e.Turn(func() {
			must.Len(t, 1, s.watcher.ends, must.Sprint("the client leaves in ", call))
			must.Eq(t, 0, s.dispatch.submissions.Len(), must.Sprint("the client leaves in ", call))
			must.MapEmpty(t, s.dispatch.byTxn)
			if call == "" {
				must.Eq(t, []bool{true}, front.ended)
				must.Eq(t, answerBytes, front.passed)
			}
			for _, b := range s.dispatch.backends {
				must.Eq(t, len(b.idle), b.open, must.Sprint("the client leaves in ", call))
			}
		})
		e.Stop()
	}
}

// Guards against a second answer behind the head of a streamed one. While the head is written, the connection asks for more of the request's
// body, and that turns out to be invalid: the attempt ended as if no answer had begun, and the client got another status line.
func TestRequestFailsWhileItsAnswerBegins(t *testing.T) {
	e := eventloop.New("", 1024, 64<<10, 1<<30)
	must.NoError(t, e.Start())
	defer e.Stop()
	s := newScenario(t, e, idDialect{}, 16, 1)
	front := &streamingFront{fakeFront: s.front, gate: s.gate, failsInBegin: true}
	var txn slots.Ref
	e.Turn(func() {
		s.dispatch.config.Buffer, s.dispatch.config.Raw = 1<<10, 64<<10
		txn, _ = s.gate.Take(control.Txn{Product: 1, Units: 1, SetWidth: 1, Expiry: s.clock.now + time.Hour}, front, 1)
		s.gate.RunDecisions()
	})
	backend := s.backends[0]
	backend.waitUntil(func() bool {
		return len(backend.received) > 0 && strings.Contains(backend.received[0].String(), "\r\n\r\n")
	})
	_, err := fmt.Fprintf(net.Conn(backend.newest()), "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nContent-Length: 8000\r\n\r\nbegin", s.front.ID(0, txn))
	must.NoError(t, err)
	for s.ends() == 0 || !s.isQuiet() {
		s.read()
	}
	must.SliceEmpty(t, s.answersTo(txn), must.Sprint("what the client got besides"))
	e.Turn(func() {
		must.Eq(t, []bool{false}, front.ended)
		must.Eq(t, 0, s.dispatch.submissions.Len())
	})
}
