package control

import "time"

// TxnID names a request that is not answered yet. Each kind of id is a type of its own, so that none is taken for another.
type TxnID uint32

// BackendID names a backend.
type BackendID uint64

// CustomerID names a customer, whose quota it is: a tenant, in the gateway's terms.
type CustomerID uint64

// GatewayID is a front door's number among its peers, or a node's slot; from 0.
type GatewayID int

// ProductID names a kind of request: a product of the front door, a route of the gateway.
type ProductID int

// PlanID names the terms of a customer: a plan of the front door, a tenant's priority in the gateway.
type PlanID int

// ZoneID names a zone, in which backends and front doors stand.
type ZoneID int

// PodID names a group of backends that fail together.
type PodID int

// ServiceID names a service.
type ServiceID int

// Txn is one request of a client.
type Txn struct {
	ID       TxnID
	Customer CustomerID
	Product  ProductID
	Plan     PlanID
	Units    float64       // of its customer's quota
	Expiry   time.Duration // time of the clock by which it must be answered
	SetFirst GatewayID     // first gateway of the customer's set
	SetWidth int           // and how many there are
	Retry    bool          // the client has sent it before
}

// Endpoint is one line of the backend list.
type Endpoint struct {
	ID           BackendID
	Zone         ZoneID
	Pod          PodID
	State        BackendState
	Capacity     float64       // requests that it works on at a time
	Started      time.Duration // time of the clock; 0: long ago
	Service      ServiceID     // what it serves, where there are several
	WarmingUntil time.Duration // time of the clock until which it is slow; 0: as the settings say
}

// BackendState is what the list says of a backend.
type BackendState int

// The states of a backend.
const (
	// Gone backends are not on the list any more.
	Gone BackendState = iota
	// Ready backends get txns.
	Ready
	// Draining backends get nothing new.
	Draining
)

// Ending is how a submission ended.
type Ending int

// The endings of a submission.
const (
	// Succeeded: the backend answered.
	Succeeded Ending = iota
	// Errored: the backend answered with an error; the txn may have run.
	Errored
	// Rejected: the backend turned it away without looking at it.
	Rejected
	// TimedOut: no answer came in time; the txn may have run.
	TimedOut
	// Unreachable: no connection was made.
	Unreachable
	// ConnectionLost: the connection ended before the answer was complete; the txn may have run.
	ConnectionLost
	// Canceled: the submission was canceled by a decision; the txn may have run.
	Canceled
	// NotSent: the host did not send it.
	NotSent
)

// ProvesNotRun tells whether an ending proves that the submission did not run.
func (e Ending) ProvesNotRun() bool { return e == Rejected || e == Unreachable || e == NotSent }

// Settings are names and values as the host has them.
type Settings map[string]string
