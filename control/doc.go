// Package control holds what passes between a host, which does the I/O, and the module that decides for it: the ids, a txn (one
// request of a client), an endpoint of the backend list, how a submission ended, and the decisions. The decisions themselves are
// made in control/loadbalancer (a front door) and internal/gateway/admission (a node of the gateway); control/quota is shared by both.
//
// A module is called like this, by one owner at a time. The host sets the clock with Now, reports what happened (TxnArrived,
// SubmissionEnded, EndpointsChanged, DatagramReceived and so on), which only updates what is known, and then takes decisions
// with Next until there is none. internal/proxy/gate has the interface.
//
// The package decides nothing, reads no clock and does no I/O.
package control
