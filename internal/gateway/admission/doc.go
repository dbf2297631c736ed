// Package admission makes the decisions of one node of the gateway. It decides which requests are admitted, to which service they go, when
// they are sent to a backend, whether they are retried at another backend, and when they are given up. The host calls a Controller as package
// control describes. Requests of one route have the same product ID (control.ProductID). SetRoute sets their rules.
//
// # Overview
//
// For an arriving request, the weights of its route determine the service, and the quota of its tenant (package quota) provides the units. The
// request then passes through the service's queue, which is ordered by priority. It is sent when the balancer (package balancer) has a backend
// for it. One table determines what follows from the end of a submission (consequence.go). A request that may go to another backend needs a token of the
// service's retry budget (budget.go), so that retries never multiply the load.
//
// # Terms
//
//   - submission: the sending of a request to one backend, until its end.
//   - attempt: a submission that may have arrived at the backend. Only attempts count against Route.MaxAttempts and the budget.
//   - effectful: a request that may run only once. Other requests are idempotent.
//   - latency target, or target: the time within which an answer has its full value. The Target type is something else: a service of a route.
//   - deadline: the time by which a request is answered.
//   - typical latency: the smoothed response time of a service for one kind of request.
//   - dead backend: a backend that has left requests unanswered for so long that a submission there is canceled in favour of another backend.
//   - baseline, canary: the two versions of a service during a roll-out. Each has its own queue and balancer. They share one retry budget.
//
// # Guarantees
//
// Each request gets exactly one answer, by its deadline. Once a part of an answer has gone to the client, no other answer follows. Reject
// promises that the request has not run and never will. An effectful request that may have run is not sent again. In any Config.RetryWindow
// all nodes together send at most RetryRatio x (requests of the larger of two windows) + 0.8 x RetryAllowance retries, see budget.go. No
// request overtakes one of higher priority in its queue. A backend that is draining or gone gets no requests.
//
// # Restrictions
//
// The package does no I/O, reads no clock and takes all randomness from its seed. The size of its tables is bounded: a queue by
// maxQueueLength, the others by the requests in flight, the routes and the backend list. The names of routes, tenants and services are kept
// by package node and are not known here.
package admission
