package loadbalancer

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"clovergap/control"
)

// Guards against a repeat that the host sends after the repeat window, because it had to open a connection first: the decision says from when
// the submission must not be sent any more.
func TestRepeatHasSendDeadline(t *testing.T) {
	s := newWarmScenario()
	for product, limited := range map[control.ProductID]bool{0: false, 1: true, 3: true} {
		id := control.TxnID(product)
		s.controller.TxnArrived(control.Txn{ID: id, Customer: customerOwnedBy(0), Product: product, Units: 1, SetWidth: 3,
			Expiry: s.controller.now + 2*time.Second})
		first := s.nextSubmit(t)
		must.Eq(t, 0, first.SendDeadline, must.Sprint("first submission, product ", product))
		sentAt := s.controller.now
		s.controller.Now(sentAt + 30*time.Millisecond)
		s.controller.SubmissionEnded(id, 0, first.Backend, control.ConnectionLost, false, 30*time.Millisecond, nil)
		want := time.Duration(0)
		if limited {
			want = sentAt + s.controller.products[product].repeatWindow - networkMargin
		}
		must.Eq(t, want, s.nextSubmit(t).SendDeadline, must.Sprint("repeat, product ", product))
	}
}

// nextSubmit returns the next decision to submit a txn. It drops all others.
func (s *scenario) nextSubmit(t *testing.T) control.Decision {
	t.Helper()
	for {
		decision, ok := s.controller.Next()
		must.True(t, ok)
		if decision.Action == control.Submit {
			return decision
		}
	}
}
