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

// careless is a module that sends whatever ended again, to the same, or refuses it, without a look at how it ended.
type careless struct {
	todo   []control.Decision
	refuse bool
	sends  int
}

func (c *careless) Now(time.Duration)                                            {}
func (c *careless) ClientLeft(control.TxnID)                                     {}
func (c *careless) EndpointsChanged(bool, []control.Endpoint)                    {}
func (c *careless) DatagramReceived(control.GatewayID, []byte)                   {}
func (c *careless) ProbeEnded(control.BackendID, bool, time.Duration, []float64) {}
func (c *careless) Woken(uint64)                                                 {}
func (c *careless) TxnArrived(x control.Txn)                                     { c.send(x.ID) }
func (c *careless) send(id control.TxnID) {
	if c.sends++; c.sends <= 3 {
		c.todo = append(c.todo, control.Decision{Action: control.Submit, Txn: id, Backend: 1})
	}
}
func (c *careless) SubmissionEnded(id control.TxnID, _ int, _ control.BackendID, _ control.Ending, over bool, _ time.Duration, _ []float64) {
	switch {
	case over:
	case c.refuse:
		c.todo = append(c.todo, control.Decision{Action: control.Reject, Txn: id})
	default:
		c.send(id)
	}
}
func (c *careless) Next() (x control.Decision, ok bool) {
	if len(c.todo) == 0 {
		return x, false
	}
	x, c.todo = c.todo[0], c.todo[1:]
	return x, true
}

// wire is a sender that counts, and a front that keeps what was told.
type wire struct {
	sent int
	told string
}

func (w *wire) Submit(slots.Ref, int, Message, control.BackendID, time.Duration, time.Duration) {
	w.sent++
}
func (w *wire) Recall(slots.Ref, int)                                    {}
func (w *wire) Probe(control.BackendID)                                  {}
func (w *wire) Complete(_, _ slots.Ref, _ Outcome)                       { w.told += "settled" }
func (w *wire) Reject(_, _ slots.Ref, _ time.Duration, _ control.Reason) { w.told += "refused" }
func (w *wire) Fail(_, _ slots.Ref, _ control.Reason)                    { w.told += "void" }
func (w *wire) Once(_, _ slots.Ref) bool                                 { return true }
func (w *wire) Now() time.Duration                                       { return time.Hour }
func (w *wire) Wake(time.Duration, uint32)                               {}
func (w *wire) AppendTo(b []byte, _, _ slots.Ref, _ control.BackendID, _ time.Duration) []byte {
	return b
}

// What may run once goes out again, or is refused, only after an end that proves that it never ran; whatever the module
// wants. A debug build stops there.
func TestCarelessModule(t *testing.T) {
	play := func(how control.Ending, refuse bool) (w *wire, stopped bool) {
		defer func() { stopped = recover() != nil }()
		w = &wire{}
		g := New(&careless{refuse: refuse}, w, 10, &counters.Set{}, zap.NewNop())
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
				must.Eq(t, "refused", bare.told) // found with the defence taken out
				must.Eq(t, wrong, w.told != "refused")
			} else {
				must.Eq(t, 2, bare.sent)
				must.Eq(t, wrong, w.sent == 1)
			}
		}
	}
}

// lines keeps what was logged.
type lines struct {
	messages []string
	fields   []zap.Field
}

func (l *lines) Info(message string, fields ...zap.Field) {
	l.messages, l.fields = append(l.messages, message), append(l.fields, fields...)
}

// A module's line reaches the log as a message that is always the same and a field for each figure.
func TestModuleLogsMessageAndFields(t *testing.T) {
	module := &careless{todo: []control.Decision{{Action: control.Log, Entry: &control.LogEntry{Message: "requests",
		Fields: []control.LogField{control.Count("arrived", 7), {Name: "capacity", Value: 2.5}}}}}}
	log := &lines{}
	New(module, &wire{}, 10, &counters.Set{}, log).RunDecisions()
	must.Eq(t, []string{"requests"}, log.messages)
	must.Eq(t, []zap.Field{zap.Float64("arrived", 7), zap.Float64("capacity", 2.5)}, log.fields)
}
