package quota

import (
	"time"

	"clovergap/control"
)

// The functions in this file are for front doors. A front door passes the account, while a gateway's node passes the customer's ID.

// Account returns the account of a txn's customer and assigns the set that the txn names. It creates an account with the given plan if
// there is none. The account is valid until the next call of Sweep.
func (l *Limiter) EnsureAccount(id control.CustomerID, plan control.PlanID, setFirst control.GatewayID, setWidth int) *Account {
	a := l.getOrCreateAccount(id, plan)
	l.assignOwner(a, setFirst, setWidth)
	a.lastUsedAt = l.now
	return a
}

// Plan returns the plan with which the account was created.
func (a *Account) PlanID() control.PlanID { return a.planID }

// CheckAccount is Check for an account. For a request that is not allowed, it also returns the reason. Units that the check asks of the
// owner stay requested, even if the caller gives up the request.
func (l *Limiter) CheckAccount(a *Account, r Request) (Outcome, time.Duration, control.Reason) {
	return l.check(a, r)
}

// ReserveAccount is Reserve for an account.
func (l *Limiter) ReserveAccount(a *Account, units float64) { l.reserve(a, units) }

// ConsumeAccount is Consume for an account.
func (l *Limiter) ConsumeAccount(a *Account, units float64) { l.consume(a, units) }

// SubmissionSent counts a new submission in flight.
func (l *Limiter) SubmissionSent(a *Account) { l.addInFlight(a, 1) }

// SubmissionEnded ends the count of one submission in flight.
func (l *Limiter) SubmissionEnded(id control.CustomerID) {
	if a := l.accounts[id]; a != nil && a.inFlight > 0 {
		l.addInFlight(a, -1)
	}
}
