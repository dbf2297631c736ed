// Package admission decides for one node of the gateway: which requests pass, to which service, when they are sent to a backend, whether
// to a second one, and when they are given up. A Controller is called as package control tells. Requests of one route have one number
// (control.ProductID); what they may do comes with SetRoute.
//
// # The idea
//
// A request that arrives gets a service by its route's weights, and its units from its tenant's quota (package quota). Then it
// passes through the service's queue, which is ordered by priority, and is sent when the balancer (package balancer) has a backend for
// it. What follows from the end of a submission is one table (consequence.go). A request that may go to another backend needs a token of
// the service's retry budget (budget.go), so that retries never multiply the load.
//
// # Terms
//
//   - submission: one sending to a backend; attempt: a submission that may have arrived there. Only attempts count against
//     Route.MaxAttempts and the budget.
//   - effectful: a request that may run once only. Others are idempotent.
//   - target: the time in which an answer has its full value; deadline: the time by which a request is answered.
//   - dead backend: one that owes answers for so long that a submission there is canceled in favour of another backend.
//   - baseline, canary: the two versions of a service during a roll-out. Each has its queue and balancer; they share one retry budget.
//
// # Guarantees
//
// Each request gets exactly one answer, by its deadline; once a part of an answer has gone to the client, no other follows. Reject promises
// that the request has not run and never will. An effectful request that may have run is not sent again. In any Config.RetryWindow all
// nodes together send at most RetryRatio x (requests of the larger of two windows) + 0.8 x RetryAllowance attempts again, see budget.go. No
// request overtakes one of higher priority in its queue. A backend that drains or is gone gets nothing.
//
// # What it must not do
//
// It does no I/O, reads no clock and draws chance from its seed alone. Tables are bounded: a queue by maxQueue, the rest by the requests in
// flight, the routes and the backend list. It knows no names of routes, tenants or services, which are package node's.
package admission
