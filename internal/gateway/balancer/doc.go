// Package balancer chooses among the backends of one service, for one node. No backend reports its load, no node tells another what it has in
// flight, and there are no probes: all that is known comes from this node's own requests.
//
// # The idea
//
// Requests are spread by stride scheduling: each backend has a pass, a point in virtual time at which it is due; a request moves it on by the
// backend's stride, which is small for many slots and fast answers, and the backend with the lowest pass is chosen. So each gets its share,
// evenly spread. Sending to the fastest one would be the choice of a dozen nodes at once; a share by speed is not.
//
// In a large zone a node sends mostly to a subset of the backends (subset.go), and to another zone only while its own answers clearly later
// (zones.go). How much a node has in flight (capacity) grows with prompt answers and shrinks with late ones.
//
// # Terms
//
//   - slots: requests that backends work on at a time.
//   - slowdown: a backend's answer times over the usual ones, smoothed; 1 is usual.
//   - ejected: left alone for a time, since it fails; suspect: it was ejected, and one request at a time tries it.
//   - unresponsive: it owes answers for longer than such requests take; dead: for so long that a request there is not worth waiting for.
//   - value loss: the share of its value that an answer loses by being late.
//
// # Guarantees
//
// A backend that drains, is gone or was attempted by the request is never chosen. All backends are never ejected together: where none is good,
// the least failing one that has little in flight is chosen. The same calls and the same chance give the same choice.
//
// # What it must not do
//
// It does no I/O and reads no clock; time is an argument. Chance comes from the source given to New, in the order of the calls. It keeps
// nothing of a backend that is gone and owes no answer.
package balancer
