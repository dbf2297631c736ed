package quota

import (
	"time"

	"clovergap/control"
)

// A front door decides with the account in hand, where a gateway's node names the customer.

// Account finds or makes the account of a txn's customer, with the plan and the set that the txn names. It may be used until the next
// call of Sweep.
func (l *Limiter) Account(id control.CustomerID, plan control.PlanID, setFirst control.GatewayID, setWidth int) *Account {
	a := l.account(id, plan)
	l.assignOwner(a, setFirst, setWidth)
	a.usedAt = l.now
	return a
}

// Plan is the plan by which the account was made.
func (a *Account) Plan() control.PlanID { return a.planID }

// CheckAccount is Check, and says what was lacking if the request is not allowed. What it asks of the owner stays asked, also if the
// request is given up.
func (l *Limiter) CheckAccount(a *Account, r Request) (Outcome, time.Duration, control.Reason) {
	return l.check(a, r)
}

// ReserveAccount is Reserve.
func (l *Limiter) ReserveAccount(a *Account, units float64) { l.reserve(a, units) }

// ConsumeAccount is Consume.
func (l *Limiter) ConsumeAccount(a *Account, units float64) { l.consume(a, units) }

// SubmissionSent counts a submission in flight.
func (l *Limiter) SubmissionSent(a *Account) { l.addInFlight(a, 1) }

// SubmissionEnded counts one that is no longer in flight.
func (l *Limiter) SubmissionEnded(id control.CustomerID) {
	if a := l.accounts[id]; a != nil && a.inFlight > 0 {
		l.addInFlight(a, -1)
	}
}
