// Package admission makes the decisions of one node of the gateway. It decides which requests are admitted, to which service a request goes, when
// the request is sent to a backend, whether it is retried at another backend, and when it is answered with an error. The host, which does the
// I/O, calls a Controller as package control describes. Package control calls a request a transaction (control.Txn). Requests of one route have
// the same product ID (control.ProductID). SetRoute sets the rules of a route.
//
// # Overview
//
// For an arriving request, the weights of its route determine the service. The quota of its tenant (package quota) must cover the request's units.
// The request then passes through the service's queue, which is ordered by priority. The request is sent when the balancer (package balancer) has
// a backend for it. One table determines what follows from the end of a submission (consequence.go). A retry after an attempt needs a token of
// the service's retry budget (budget.go), so that retries never multiply the load.
//
// # Terms
//
//   - submission: the sending of a request to one backend, until its end.
//   - attempt: a submission that may have arrived at the backend. Only attempts count against Route.MaxAttempts and the budget.
//   - retry: a submission of a request after its first submission.
//   - unit: the unit in which quotas are measured. Each request consumes a number of units of its tenant's quota. Package quota calls the tenant
//     a customer.
//   - effectful request: a request that may run only once. Other requests are idempotent.
//   - latency target, or target: the time within which the operator wants an answer. The type Target has another meaning: a service of a route.
//   - deadline: the time by which a request is answered.
//   - typical latency: the smoothed response time of a service for one kind of request.
//   - dead backend: a backend that has left requests unanswered for so long that a submission there is canceled in favour of another backend.
//   - baseline, canary: the two versions of a service during a roll-out. Each has its own queue and balancer. They share one retry budget.
//
// # Guarantees
//
// Each request gets exactly one answer, by its deadline. Once a part of an answer has gone to the client, no other answer follows. The answer
// Reject guarantees that the request has not run and never will. An effectful request that may have run is not sent again. In any period of length
// Config.RetryWindow, all nodes together send at most RetryRatio x requests + 0.8 x RetryAllowance retries. Here, requests is the higher of the
// numbers of requests in that period and in the period before it, see budget.go. No request overtakes a request of higher priority in its queue. A
// backend that is draining or gone gets no requests.
//
// # Restrictions
//
// The package does no I/O, reads no clock and draws all random numbers from a source with the given seed. The size of its tables is bounded. The
// length of a queue is at most maxQueueLength. The other tables are bounded by the number of requests, routes and listed backends. The package
// identifies routes, tenants and services by numbers. Package node maps the numbers to names.
package admission
