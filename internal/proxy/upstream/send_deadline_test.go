package upstream

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"

	"clovergap/control"
	"clovergap/internal/proxy/counters"
	"clovergap/internal/proxy/eventloop"
	"clovergap/internal/proxy/gate"
	"clovergap/internal/proxy/slots"
)

// scriptedModule is a module that makes the decisions of a test, and keeps how the submissions ended.
type scriptedModule struct {
	gate.Module
	decisions []control.Decision
	endings   chan control.Ending
}

func (m *scriptedModule) Now(time.Duration)      {}
func (m *scriptedModule) TxnArrived(control.Txn) {}
func (m *scriptedModule) SubmissionEnded(_ control.TxnID, _ int, _ control.BackendID, ending control.Ending, _ bool, _ time.Duration, _ []float64) {
	m.endings <- ending
}
func (m *scriptedModule) Next() (next control.Decision, ok bool) {
	if len(m.decisions) == 0 {
		return next, false
	}
	next, m.decisions = m.decisions[0], m.decisions[1:]
	return next, true
}

// deadlineScenario is a dispatch with one backend, whose submissions are decided on by the test.
type deadlineScenario struct {
	engine  *eventloop.Engine
	gate    *gate.Gate
	module  *scriptedModule
	front   *fakeFront
	backend *fakeBackend
}

func newDeadlineScenario(t *testing.T) *deadlineScenario {
	s := &deadlineScenario{engine: eventloop.New("", 1024, 64<<10, 1<<30), module: &scriptedModule{endings: make(chan control.Ending, 1)},
		front: &fakeFront{answers: map[slots.Ref][]string{}, left: map[slots.Ref]bool{}}, backend: newFakeBackend(t, true)}
	must.NoError(t, s.engine.Start())
	t.Cleanup(func() { s.backend.listener.Close() })
	t.Cleanup(s.engine.Stop)
	s.gate = gate.New(s.module, &manualClock{now: time.Hour}, 100, &counters.Set{}, zap.NewNop())
	s.engine.Turn(func() {
		d := New(s.engine, s.gate, Config{Dialect: idDialect{}, IdleTimeout: time.Hour, MinIdle: 1, DialTimeout: time.Minute}, func() bool { return false })
		d.SetBackend(1, s.backend.listener.Addr().String(), 0, true)
		s.gate.SetTransport(d, nil)
	})
	return s
}

// submit decides on a submission with a send deadline. The process is paused in the same turn, before or after it starts to send.
func (s *deadlineScenario) submit(deadline, pauseBefore, pauseAfter time.Duration) (ref slots.Ref) {
	s.engine.Turn(func() {
		ref, _ = s.gate.Take(control.Txn{Expiry: 2 * time.Hour}, s.front, 1)
		s.module.decisions = []control.Decision{{Action: control.Submit, Txn: control.TxnID(ref), Backend: 1,
			SendDeadline: s.engine.Now() + deadline}}
		time.Sleep(pauseBefore)
		s.gate.RunDecisions()
		time.Sleep(pauseAfter)
	})
	return ref
}

// awaitEnding waits for the end of a submission. One that was sent does not end by itself, because the backend does not answer.
func (s *deadlineScenario) awaitEnding(t *testing.T) control.Ending {
	t.Helper()
	select {
	case ending := <-s.module.endings:
		return ending
	case <-time.After(5 * time.Second):
		t.Fatal("the submission was sent")
		return control.TimedOut
	}
}

// receivedBytes is how many bytes the backend has read on all its connections.
func (s *deadlineScenario) receivedBytes() (n int) {
	s.backend.mu.Lock()
	defer s.backend.mu.Unlock()
	for _, received := range s.backend.received {
		n += received.Len()
	}
	return n
}

// Guards against a repeat that is sent after the backends have forgotten the first submission: it was decided on in time, but a connection
// had to be opened, or the process was paused, before it was sent.
func TestNothingIsSentAfterItsSendDeadline(t *testing.T) {
	const margin, pause = 20 * time.Millisecond, 50 * time.Millisecond
	s := newDeadlineScenario(t)
	s.submit(margin, 0, pause)
	must.Eq(t, control.NotSent, s.awaitEnding(t), must.Sprint("over a connection that is opened"))
	must.Eq(t, 0, s.receivedBytes())

	ref := s.submit(time.Minute, 0, 0)
	s.backend.waitUntil(func() bool { return len(s.backend.received) == 2 && s.backend.received[1].Len() > 0 })
	s.backend.newest().Write([]byte(answerTo(s.front.ID(0, ref), "")))
	must.Eq(t, control.Succeeded, s.awaitEnding(t), must.Sprint("within its deadline"))
	received := s.receivedBytes()

	s.submit(margin, pause, 0)
	must.Eq(t, control.NotSent, s.awaitEnding(t), must.Sprint("over an idle connection"))
	s.backend.waitUntil(func() bool { return s.backend.ended == 2 })
	must.Eq(t, received, s.receivedBytes())
}
