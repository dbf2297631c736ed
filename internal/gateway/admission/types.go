// The types of admission: what it is told of calls and requests, and what it keeps of each.

package admission

import (
	"math"
	"time"

	"clovergap/control"
	"clovergap/control/quota"
	"clovergap/internal/gateway/balancer"
)

// Limiter keeps the quotas of customers; control.Quota is one. It counts a customer that it does not know as
// not metered. Whoever makes it tells it of limits and nodes.
type Limiter interface {
	Now(now time.Duration)
	Check(c control.CustomerID, w quota.Request) (quota.Outcome, time.Duration)
	Reserve(c control.CustomerID, units float64)
	Release(c control.CustomerID, units float64)
	Consume(c control.CustomerID, units float64)
	DatagramReceived(from control.GatewayID, payload []byte) (news bool)
	Sweep()
	NextDatagram() (to control.GatewayID, payload []byte, ok bool)
	NextDeadline() time.Duration // a time of the clock: then Datagrams or Sweep may have something to do
}

// Target is a service that a call may go to, and its part of the traffic.
type Target struct {
	Service control.ServiceID
	Weight  int
}

// Route is what a kind of request may do.
type Route struct {
	Effectful     bool          // runs at most once
	LatencyTarget time.Duration // from its arrival: an answer within it has its full worth
	Deadline      time.Duration // and longest time it is held; 0: until its expiry
	MaxAttempts   int           // backends that one request may be sent to at the most
	Priority      int           // 0 is highest
	Targets       []Target

	weightPoint float64 // where the last request was, of 1, in what is shared out by weight
}

// goldenRatio is the step of the spread: whatever the weights are, any few requests in a row lie evenly over 1 by it.
const goldenRatio = 0.6180339887498949

// nextWeightPoint is where the next request is, of 1, in what is shared out by weight.
func (r *Route) nextWeightPoint() float64 {
	_, r.weightPoint = math.Modf(r.weightPoint + goldenRatio)
	return r.weightPoint
}

// Config are what does not change while a node lives, but for Nodes.
type Config struct {
	Zone           control.ZoneID
	RetryRatio     float64       // of the rule on further tries
	RetryWindow    time.Duration // its window
	RetryAllowance float64       // arrivals that it allows on top, over all nodes
	Nodes          int           // that share it: as many as there may be, rather than too few
}

// txn is one request that this node holds.
type txn struct {
	control.Txn
	route          *Route
	arrived        time.Duration
	targetAt       time.Duration
	deadline       time.Duration // the answer must be on its way by then
	rank           [2]int        // its customer's and its call's, 0 is highest
	service        *service      // the service it goes to
	queued         bool          // in the line of its deployment
	awaitsUnits    bool          // among those that wait for units
	giveUpAt       time.Duration
	reserved       bool          // units are kept for it
	consumed       bool          // units are spent
	ended          bool          // answered, or nobody waits
	clientLeft     bool          // its client went away
	clientLeftAt   time.Duration // then, if it was at a backend
	mayHaveRun     bool          // it may have run
	submissions    int           // submissions so far
	attempts       int           // and those that may have arrived
	failedConnects int           // and those that did not
	attempted      []control.BackendID
	inFlight       bool
	backend        control.BackendID
	sentAt         time.Duration
	begun          bool // part of an answer has gone to its client
	canceled       bool // its submission is called off in favour of another backend
	versionChosen  bool // its side is settled, where there are two
	assignment     Assignment
}

// service is one service.
type service struct {
	id           control.ServiceID
	balancer     *balancer.Balancer
	budget       *budget
	queue        []*txn       // waiting for a backend, by priority, then arrival
	recheck      bool         // something changed for the line
	txnCount     int          // txns that go there
	stable       *service     // it is another version of that one; nil: it is the main one itself
	canary       *service     // the other version of this one; nil: there is none
	canaryAccess CanaryAccess // who may go there
	concurrency  concurrency
}

// what is looked at again at a time
type timer struct {
	txn  control.TxnID
	kind int
}
