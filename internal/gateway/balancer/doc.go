// Package balancer chooses among the backends of one service, for one node. Backends do not report their load, nodes do not tell each other
// what they have in flight, and there are no probes. All that a balancer knows comes from this node's own requests.
//
// # Overview
//
// Requests are distributed by stride scheduling. Each backend has a pass, which is the point in virtual time at which its turn comes. A request
// advances the pass by the backend's stride, which is small for a backend with many slots and fast responses. The backend with the lowest
// pass is chosen. So each backend gets its share, evenly distributed over time. If each node sent to the fastest backend instead, a dozen
// nodes would choose the same backend at once. Shares by speed avoid that.
//
// In a large zone a node sends mostly to a subset of the backends (subset.go). It sends to another zone only while responses from its own zone
// are clearly later (zones.go). The number of requests that a node has in flight (the capacity) grows with prompt responses and shrinks with
// late ones.
//
// # Terms
//
//   - slots: the number of requests that a backend processes at a time.
//   - typical latency: the smoothed response time of the service for one kind of request.
//   - slowdown: a backend's response times relative to the typical latency, smoothed. 1 is typical.
//   - ejected: a failing backend gets no requests for a time.
//   - suspect: a backend that was ejected and gets one request at a time until one succeeds.
//   - unresponsive: a backend that has left requests unanswered for longer than they usually take.
//   - dead: a backend that has left requests unanswered for so long that a request there is not worth waiting for.
//   - value loss: the share of its value that a response loses by being late.
//
// # Guarantees
//
// A backend that is draining or gone, or that the request was already sent to, is never chosen. Even if no backend is healthy, requests are sent:
// the balancer then chooses the backend with the fewest failures and few requests in flight. The same calls with the same random source give the same
// choices.
//
// # Restrictions
//
// The package does no I/O and reads no clock: the time is an argument. Random numbers come from the source given to New, in the order of the
// calls. Nothing is kept of a backend that is gone and has no request in flight.
package balancer
