// Package control defines the types that a host and its module exchange. The host does the I/O and the module decides. The types are the
// IDs, a txn (one request of a client), an endpoint (one entry of the backend list), the ending of a submission (one transmission of a txn
// to a backend), and the decisions.
//
// Two programs consist of a host and a module:
//
//   - The front door is the program cmd/clovergap. It limits the customers' use of one shared service and distributes their txns over the
//     backends of the service. Its module is control/loadbalancer. The program cmd/drill runs the same module in a simulator.
//   - The gateway is the program cmd/gateway. One process of it is called a node. Its module is internal/gateway/admission.
//
// Both modules use control/quota. A quota limits the units that a customer consumes, and units measure the cost of a txn. In control/quota
// and in the names of this package (GatewayID, Txn.SetFirst), a gateway is any process that meters customers. Such a process is either a
// front door of cmd/clovergap or a node of cmd/gateway.
//
// A module may be used by only one caller at a time. The host calls the module in this order. It sets the clock with Now. It then
// reports events with TxnArrived, SubmissionEnded, EndpointsChanged, DatagramReceived and so on, which only update the module's
// state. Last, it calls Next for decisions until Next returns none. The interface is defined in internal/proxy/gate.
//
// This package makes no decisions, reads no clock and does no I/O.
package control
