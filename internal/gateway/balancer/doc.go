// Package balancer chooses among the backends of one service, for one node. Backends do not report their load, nodes do not exchange the numbers
// of their requests in flight, and there are no probes. A balancer observes only the requests of its own node.
//
// # Overview
//
// Requests are distributed by stride scheduling. Each backend has a pass, which is the point in virtual time at which the backend is chosen next.
// A request advances the pass by the backend's stride. The backend with the lowest pass is chosen. So each backend gets its share of the requests,
// evenly distributed over time. The stride is the inverse of the share. The share is large for a backend with many slots and fast responses. If
// each node sent all requests to the fastest backend instead, a dozen nodes would choose the same backend at once.
//
// In a large zone a node sends mostly to a subset of the backends (subset.go). A node sends to another zone only if its own zone has no capacity or
// no healthy backend, or while the responses from its own zone are clearly later (zones.go). The capacity grows with prompt responses and shrinks
// with late responses.
//
// # Terms
//
//   - slots: the number of requests that a backend processes at a time.
//   - typical latency: the smoothed response time of the service for one kind of request.
//   - slowdown: a backend's response times relative to the typical latency, smoothed. 1 is typical.
//   - capacity: the number of requests that this node may have in flight at all backends of the service.
//   - ejected backend: a backend that gets no requests for a time, because its requests failed.
//   - suspect backend: a backend that was ejected and gets one request at a time until a request succeeds.
//   - unresponsive backend: a backend that has left requests unanswered for longer than such requests usually take.
//   - dead backend: a backend that has left requests unanswered for so long that a request there should be sent to another backend.
//   - unproven backend: a backend that has not answered any request successfully yet.
//   - slow start: the time after an ejection or a warm-up in which a backend's share grows to its full size.
//   - miss: a request that a backend rejected or did not answer within its latency target.
//
// # Guarantees
//
// A backend that is draining or gone is never chosen, nor is a backend to which the request was already sent. If no backend is healthy, requests are
// still sent: the balancer then chooses the backend with the fewest failures and requests in flight. The same calls with the same random source give
// the same choices.
//
// # Restrictions
//
// The package does no I/O and reads no clock: the time is an argument. Random numbers are drawn from the source given to New, in the order of the
// calls. A backend that is gone and has no request in flight is removed from all tables.
package balancer
