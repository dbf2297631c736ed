package control

import (
	"time"
)

// TxnID names a request that is not answered yet. Each kind of id is a type of its own, so that none is taken for another.
type TxnID uint32

// BackendID names a backend.
type BackendID uint64

// CustomerID names a customer, whose quota it is.
type CustomerID uint64

// GatewayID is a front door's number among its peers.
type GatewayID int

// ProductID names a kind of request.
type ProductID int

// PlanID names a quota's terms.
type PlanID int

// ZoneID names a zone: a place where backends and front doors stand.
type ZoneID int

// PodID names a group of backends that fail together.
type PodID int

// ServiceID names a service.
type ServiceID int

// Ending is how a submission ended.
type Ending int

// How a submission may end.
const (
	Succeeded Ending = iota
	Errored
	Rejected       // turned away unseen
	TimedOut       // no answer in time
	Unreachable    // no connection made
	ConnectionLost // connection lost on the way
	Canceled
	NotSent
)

// ProvesNotRun tells whether an ending proves that the submission did not run.
func (e Ending) ProvesNotRun() bool { return e == Rejected || e == Unreachable || e == NotSent }

// BackendState is what the list says of a backend.
type BackendState int

// The states of a backend.
const (
	Gone BackendState = iota
	Ready
	Draining
)

// Endpoint is one line of the backend list.
type Endpoint struct {
	ID           BackendID
	Zone         ZoneID
	Pod          PodID
	State        BackendState
	Capacity     float64
	Started      time.Duration // 0: long ago
	Service      ServiceID     // what it serves, where there are several
	WarmingUntil time.Duration // a time of the clock: it is slow until then; 0: as the settings say
}

// Txn is what a client brings.
type Txn struct {
	ID       TxnID
	Customer CustomerID
	Product  ProductID
	Plan     PlanID
	Units    float64
	Expiry   time.Duration // a time of the clock
	SetFirst GatewayID     // first gateway of the customer's set
	SetWidth int
	Retry    bool
}

// Settings are names and values as the host has them.
type Settings map[string]string
