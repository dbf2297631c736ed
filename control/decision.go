package control

import (
	"time"
)

// Action is what a decision asks of the host.
type Action int

// What the module may decide.
const (
	Submit       Action = iota // pass Txn to Backend, give up after Limit (0: at expiry)
	Reject                     // end Txn; the client may safely come again, best after Limit
	Fail                       // end Txn; it may have run
	Cancel                     // call off submission Nr of Txn
	Probe                      // check Backend
	SendDatagram               // send Payload to Peer
	Wake                       // call Woken after Limit
	Log                        // a line for the log, in Text
)

// Decision is one thing to do now.
type Decision struct {
	Action          Action
	Txn             TxnID
	Attempt         int
	Backend         BackendID
	After           time.Duration
	ResponseTimeout time.Duration // an answer that has begun and is not whole by then is spoilt
	Peer            GatewayID
	Payload         []byte
	Text            string
	Reason          Reason // of Decline and Void: what was lacking
	Token           uint64
}

// Reason is what a txn had too little of.
type Reason int

const (
	ReasonNoTime Reason = iota
	ReasonNoUnits
	ReasonNoSnapshot
	ReasonNoSlot
	ReasonHardLimit
	ReasonNoBackend
	ReasonCount
)
