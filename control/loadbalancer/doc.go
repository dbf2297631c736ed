// Package loadbalancer decides for one front door which txns it admits, which backend gets each txn, which txns are retried, and which
// backends are ejected. The host calls a Controller as package control describes. docs/design.md has the reasons for the design.
//
// # Overview
//
// A txn that its customer's quota covers (package quota) goes to the first backend in the customer's ranking that has capacity. The
// ranking orders the backends by a hash of customer and backend (rendezvous hashing). The backends in the zone of the front door come
// first. As a result, the txns of a customer go to the same few backends.
//
// The controller learns the capacity of the backends from responses. Late responses lower the capacity, and prompt responses raise it.
// With hundreds of front doors, each front door sends too few submissions to one backend to learn the state of the backend alone. So each
// front door reports the outcomes of its last submissions (observations) to the other front doors. The observations are added to the
// datagrams of package quota, so they need no datagrams of their own.
//
// # Terms
//
//   - Front door: one instance of the load balancer. Its peers are the other instances, which share the customers and the backends.
//   - Fleet: all backends together.
//   - Submission: one transmission of a txn to a backend. A retry is another submission.
//   - Product: the kind of a txn. It determines the SLA time and the effect.
//   - SLA time: the time from the arrival of a txn within which the operator wants a response.
//   - Expiry: the time by which the client must have an answer. The end of the SLA time is never after the expiry.
//   - Effect: the consequence of running a txn twice. An inquiry-like txn may run any number of times. Backends drop a repeat of a
//     referenced txn within a time window and within a zone, a pod or the fleet. A once-only txn takes effect each time that it runs.
//   - Kind of work: the txns of one product with the same number of units. The usual response time is learned for each kind of work.
//   - Slowdown: the smoothed ratio of a backend's response times to the usual response times. A usual backend has a slowdown of 1. The
//     slowdown is compared with the median of all backends.
//   - Capacity: the number of submissions that this front door may have in flight at a usual backend.
//   - Pressure: the state of a front door for 0.3 s after a txn found no backend with capacity.
//   - Load report: numbers in a backend's response to a txn or a probe. They show the load that all front doors put on the backend.
//   - Ejected: the state of a backend that gets no txns until probes succeed or, if probes are disabled, until the ejection time is over.
//   - Excluded: the state of a backend that gets no txns of one product for a time.
//   - Slow start: the time after an ejection in which the share of the capacity that a backend may use grows.
//   - Warm-up tokens: the budget of submissions to a backend that has just started. A usual submission takes one token.
//
// # Rules
//
// The front door must keep five rules, whatever fails. The method submit checks rules 1 to 4 again before each submission.
//
//  1. Each txn gets exactly one answer, by its expiry.
//  2. A txn that may have run is sent again, or declared safe to retry, only if its effect allows a repeat. A once-only txn is never
//     repeated. A referenced txn is repeated only within its window and within its zone or pod.
//  3. A backend that is draining or gone gets no submissions.
//  4. A backend that is warming up gets fewer submissions than would overload it.
//  5. The hard limit of a customer holds over all front doors together (package quota).
//
// # Constraints
//
// The package does no I/O, reads no clock, and draws random numbers only from its seed. The same calls result in the same decisions, so no
// decision may depend on the iteration order of a map. The tables are bounded by the number of txns in flight, the backend list and the
// products.
package loadbalancer
