// Package loadbalancer decides for one front door: which txns pass, which backend gets each, what is sent again, and which backends are
// ejected. A Controller is called as package control tells; the reasons for the mechanism are in docs/design.md.
//
// # The idea
//
// A txn that its customer's quota covers (package quota) goes to the first backend in the customer's ranking that has capacity: backends are
// ranked by a hash of customer and backend, those of the own zone first, so that a customer's txns meet the same few backends. How much
// a backend may have in flight from here (capacity) is learned from answers: late ones take some away, prompt ones give some back. Among
// hundreds of front doors each sends to any one backend too seldom to learn of it alone, so each reports to the others how its last
// submissions went (observations), with datagrams that are sent anyway.
//
// # Terms
//
//   - submission: one sending of a txn to a backend; a retry is a further one.
//   - slowdown: a backend's answer times over the usual ones, smoothed; 1 is usual. Compared with the median of all backends.
//   - capacity: submissions that may be in flight from here at a usual backend.
//   - pressure: capacity ran out less than 0.3 s ago.
//   - ejected: passed over by all txns until probes or a pause bring it back; excluded: passed over by txns of one product.
//   - warm-up tokens: the budget of submissions to a backend that has just started.
//   - effect: what running a txn twice means (inquiry-like, referenced, once-only).
//
// # The rules
//
// The front door must keep five rules, whatever fails. submit asks for all of them again before each sending.
//
//  1. Each txn gets exactly one answer, by its expiry.
//  2. Nothing that may have run is sent again, or declared safe to send again, unless its effect bears that: never for once-only,
//     within its window and its zone or pod for referenced.
//  3. A backend that drains or is gone gets nothing.
//  4. A backend that is warming up gets less than what would push it over.
//  5. The hard limit of a customer is kept over all front doors (package quota).
//
// # What it must not do
//
// It does no I/O, reads no clock, and draws chance from its seed alone. The same calls give the same decisions, so no decision may
// depend on the order of a map. Tables are bounded by the txns in flight, the backend list and the products.
package loadbalancer
