package gate

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"

	"clovergap/control"
	"clovergap/internal/invariant"
	"clovergap/internal/proxy/counters"
	"clovergap/internal/proxy/slots"
)

// recklessModule is a module that sends whatever ended again, to the same, or refuses it, without a look at how it ended.
type recklessModule struct {
	decisions   []control.Decision
	rejects     bool
	submissions int
}

func (r *recklessModule) Now(time.Duration)                                            {}
func (r *recklessModule) ClientLeft(control.TxnID)                                     {}
func (r *recklessModule) EndpointsChanged(bool, []control.Endpoint)                    {}
func (r *recklessModule) DatagramReceived(control.GatewayID, []byte)                   {}
func (r *recklessModule) ProbeEnded(control.BackendID, bool, time.Duration, []float64) {}
func (r *recklessModule) Woken(uint64)                                                 {}
func (r *recklessModule) TxnArrived(x control.Txn)                                     { r.submit(x.ID) }
func (r *recklessModule) submit(id control.TxnID) {
	if r.submissions++; r.submissions <= 3 {
		r.decisions = append(r.decisions, control.Decision{Action: control.Submit, Txn: id, Backend: 1})
	}
}
func (r *recklessModule) SubmissionEnded(id control.TxnID, _ int, _ control.BackendID, _ control.Ending, over bool, _ time.Duration, _ []float64) {
	switch {
	case over:
	case r.rejects:
		r.decisions = append(r.decisions, control.Decision{Action: control.Reject, Txn: id})
	default:
		r.submit(id)
	}
}
func (r *recklessModule) Next() (x control.Decision, ok bool) {
	if len(r.decisions) == 0 {
		return x, false
	}
	x, r.decisions = r.decisions[0], r.decisions[1:]
	return x, true
}

// fakeSender is a sender that counts, and a front that keeps what was told.
type fakeSender struct {
	sent    int
	answers string
}

func (f *fakeSender) Submit(slots.Ref, int, Message, control.BackendID, Limits) {
	f.sent++
}
func (f *fakeSender) Recall(slots.Ref, int)              {}
func (f *fakeSender) Probe(control.BackendID)            {}
func (f *fakeSender) Complete(_, _ slots.Ref, _ Outcome) { f.answers += "settled" }
func (f *fakeSender) Reject(_, _ slots.Ref, _ time.Duration, _ control.Reason) {
	f.answers += "refused"
}
func (f *fakeSender) Fail(_, _ slots.Ref, _ control.Reason) { f.answers += "void" }
func (f *fakeSender) Once(_, _ slots.Ref) bool              { return true }
func (f *fakeSender) Now() time.Duration                    { return time.Hour }
func (f *fakeSender) Wake(time.Duration, uint32)            {}
func (f *fakeSender) AppendTo(b []byte, _, _ slots.Ref, _ control.BackendID, _ time.Duration) []byte {
	return b
}

// What may run once goes out again, or is refused, only after an end that proves that it never ran; whatever the module
// wants. A debug build stops there.
func TestCarelessModule(t *testing.T) {
	play := func(how control.Ending, refuse bool) (w *fakeSender, stopped bool) {
		defer func() { stopped = recover() != nil }()
		w = &fakeSender{}
		g := New(&recklessModule{rejects: refuse}, w, 10, &counters.Set{}, zap.NewNop())
		g.SetTransport(w, nil)
		ref, _ := g.Take(control.Txn{Product: 1, Expiry: 2 * time.Hour}, w, 1)
		g.RunDecisions()
		g.Ended(ref, 0, 1, Outcome{Ending: how})
		g.RunDecisions()
		return w, false
	}
	for how := control.Errored; how <= control.NotSent; how++ {
		for _, refuse := range []bool{false, true} {
			allowSecondRun = true
			bare, _ := play(how, refuse)
			allowSecondRun = false
			w, stopped := play(how, refuse)
			wrong := mayHaveRun(how)
			must.Eq(t, wrong && invariant.Debug, stopped)
			if refuse {
				must.Eq(t, "refused", bare.answers) // found with the defence taken out
				must.Eq(t, wrong, w.answers != "refused")
			} else {
				must.Eq(t, 2, bare.sent)
				must.Eq(t, wrong, w.sent == 1)
			}
		}
	}
}

// logRecorder keeps what was logged.
type logRecorder struct {
	messages []string
	fields   []zap.Field
}

func (l *logRecorder) Info(message string, fields ...zap.Field) {
	l.messages, l.fields = append(l.messages, message), append(l.fields, fields...)
}

// A module's line reaches the log as a message that is always the same and a field for each figure.
func TestModuleLogsMessageAndFields(t *testing.T) {
	module := &recklessModule{decisions: []control.Decision{{Action: control.Log, Entry: &control.LogEntry{Message: "requests",
		Fields: []control.LogField{control.IntField("arrived", 7), {Name: "capacity", Value: 2.5}}}}}}
	log := &logRecorder{}
	New(module, &fakeSender{}, 10, &counters.Set{}, log).RunDecisions()
	must.Eq(t, []string{"requests"}, log.messages)
	must.Eq(t, []zap.Field{zap.Float64("arrived", 7), zap.Float64("capacity", 2.5)}, log.fields)
}
