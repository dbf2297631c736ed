// The types of admission: what it is told of calls and requests, and what it keeps of each.

package admission

import (
	"math"
	"time"

	"clovergap/control"
	"clovergap/internal/gateway/balancer"
)

// Meter keeps the quotas of customers; control.Quota is one. It counts a customer that it does not know as
// not metered. Whoever makes it tells it of limits and nodes.
type Meter interface {
	Now(now time.Duration)
	Covered(c control.CustomerID, w control.Wish) (control.Verdict, time.Duration)
	Keep(c control.CustomerID, units float64)
	Unkeep(c control.CustomerID, units float64)
	Spend(c control.CustomerID, units float64)
	PeerSaid(from control.GatewayID, payload []byte) (news bool)
	Sweep()
	Datagrams() (to control.GatewayID, payload []byte, ok bool)
	Next() time.Duration // a time of the clock: then Datagrams or Sweep may have something to do
}

// Target is a service that a call may go to, and its part of the traffic.
type Target struct {
	Service control.ServiceID
	Weight  int
}

// Call is what a kind of request may do.
type Call struct {
	Effectful bool          // runs at most once
	Aim       time.Duration // from its arrival: an answer within it has its full worth
	Deadline  time.Duration // and longest time it is held; 0: until its expiry
	MaxTries  int           // backends that one request may be sent to at the most
	Priority  int           // 0 is highest
	Targets   []Target

	spread float64 // where the last request was, of 1, in what is shared out by weight
}

// golden is the step of the spread: whatever the weights are, any few requests in a row lie evenly over 1 by it.
const golden = 0.6180339887498949

// next is where the next request is, of 1, in what is shared out by weight.
func (c *Call) next() float64 {
	_, c.spread = math.Modf(c.spread + golden)
	return c.spread
}

// Terms are what does not change while a node lives, but for Nodes.
type Terms struct {
	Zone        control.ZoneID
	RetryRatio  float64       // of the rule on further tries
	RetryWindow time.Duration // its window
	RetryExtra  float64       // arrivals that it allows on top, over all nodes
	Nodes       int           // that share it: as many as there may be, rather than too few
}

// txn is one request that this node holds.
type txn struct {
	control.Txn
	call     *Call
	arrived  time.Duration
	aimAt    time.Duration
	deadline time.Duration // the answer must be on its way by then
	rank     [2]int        // its customer's and its call's, 0 is highest
	service  *service      // the service it goes to
	waits    bool          // in the line of its deployment
	asks     bool          // among those that wait for units
	giveUp   time.Duration
	kept     bool          // units are kept for it
	drawn    bool          // units are spent
	ended    bool          // answered, or nobody waits
	left     bool          // its client went away
	leftAt   time.Duration // then, if it was at a backend
	ran      bool          // it may have run
	nr       int           // submissions so far
	tries    int           // and those that may have arrived
	hops     int           // and those that did not
	tried    []control.BackendID
	out      bool
	at       control.BackendID
	sent     time.Duration
	begun    bool // part of an answer has gone to its client
	quit     bool // its submission is called off in favour of another backend
	sided    bool // its side is settled, where there are two
	began    Began
}

// service is one service.
type service struct {
	id       control.ServiceID
	balancer *balancer.Balancer
	budget   *budget
	line     []*txn   // waiting for a backend, by priority, then arrival
	look     bool     // something changed for the line
	holds    int      // txns that go there
	main     *service // it is another version of that one; nil: it is the main one itself
	under    *service // the other version of this one; nil: there is none
	open     Open     // who may go there
	use      use
}

// what is looked at again at a time
type look struct {
	id   control.TxnID
	what int
}
