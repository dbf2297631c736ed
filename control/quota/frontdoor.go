package quota

import (
	"time"

	"clovergap/control"
)

// The functions in this file are for front doors (cmd/clovergap). Most of them take an account. The functions for the nodes of
// cmd/gateway take the customer's ID instead.

// EnsureAccount returns the account of a txn's customer and assigns the set of gateways that the txn names. If the customer has no account,
// EnsureAccount creates one with the given plan. The returned pointer is valid until the next call of Sweep.
func (l *Limiter) EnsureAccount(id control.CustomerID, plan control.PlanID, setFirst control.GatewayID, setWidth int) *Account {
	a := l.getOrCreateAccount(id, plan)
	l.assignOwner(a, setFirst, setWidth)
	a.lastUsedAt = l.now
	return a
}

// PlanID returns the ID of the plan with which the account was created.
func (a *Account) PlanID() control.PlanID { return a.planID }

// CheckAccount checks a request like Check, but takes the account and also returns the reason if the request is not allowed.
// CheckAccount differs from Check if the request is allowed or rejected. Check then sets the account's unitsWanted to 0, so that the next
// report to the owner asks for no units. CheckAccount keeps the value of unitsWanted.
func (l *Limiter) CheckAccount(a *Account, r Request) (Outcome, time.Duration, control.Reason) {
	return l.checkWithReason(a, r)
}

// ReserveAccount does the same as Reserve, but takes the account.
func (l *Limiter) ReserveAccount(a *Account, units float64) { l.reserve(a, units) }

// ConsumeAccount does the same as Consume, but takes the account.
func (l *Limiter) ConsumeAccount(a *Account, units float64) { l.consume(a, units) }

// SubmissionSent adds one to the submissions in flight of the account's customer.
func (l *Limiter) SubmissionSent(a *Account) { l.addInFlight(a, 1) }

// SubmissionEnded subtracts one from the submissions in flight of a customer. It does nothing if the number is 0 or if the customer has
// no account.
func (l *Limiter) SubmissionEnded(id control.CustomerID) {
	if a := l.accounts[id]; a != nil && a.inFlight > 0 {
		l.addInFlight(a, -1)
	}
}
