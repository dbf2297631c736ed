// Package control defines the types that a host and its module exchange. The host does the I/O and the module decides. The types are the
// IDs, a txn (one request of a client), an endpoint (one entry of the backend list), the ending of a submission, and the decisions.
// The modules are control/loadbalancer, which decides for a front door, and internal/gateway/admission, which decides for a node of the
// gateway. Both use control/quota.
//
// A module has one owner at a time, which calls it in this order. The host sets the clock with Now. It then reports events with
// TxnArrived, SubmissionEnded, EndpointsChanged, DatagramReceived and so on, which only update the module's state. Last, it calls Next
// for decisions until Next returns none. The interface is defined in internal/proxy/gate.
//
// This package makes no decisions, reads no clock and does no I/O.
package control
