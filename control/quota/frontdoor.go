package quota

import (
	"time"

	"clovergap/control"
)

// Account finds or makes the account of a txn's customer, with the set of gateways that the txn names.
func (l *Limiter) Account(id control.CustomerID, plan control.PlanID, setFirst control.GatewayID, setWidth int) *Account {
	a := l.account(id, plan)
	l.assignOwner(a, setFirst, setWidth)
	a.usedAt = l.now
	return a
}

// Plan is the customer's plan, as it was when the account was made.
func (a *Account) Plan() control.PlanID { return a.planID }

// CheckAccount is Check, and tells besides what the request lacks if it is not covered.
func (l *Limiter) CheckAccount(a *Account, w Request) (Outcome, time.Duration, control.Reason) {
	return l.check(a, w)
}

// ReserveAccount is Reserve.
func (l *Limiter) ReserveAccount(a *Account, units float64) { l.reserve(a, units) }

// ConsumeAccount is Consume.
func (l *Limiter) ConsumeAccount(a *Account, units float64) { l.consume(a, units) }

// SubmissionSent counts a submission that is out; plans may bound how many of a customer's are.
func (l *Limiter) SubmissionSent(a *Account) { l.addInFlight(a, 1) }

// SubmissionEnded counts one that is out no more.
func (l *Limiter) SubmissionEnded(id control.CustomerID) {
	if a := l.accounts[id]; a != nil && a.inFlight > 0 {
		l.addInFlight(a, -1)
	}
}
