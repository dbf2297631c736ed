package control

import (
	"strconv"
	"strings"
	"time"
)

// Action is the operation that a decision asks the host to perform.
type Action int

// The actions of a decision.
const (
	// Submit sends Txn to Backend. The field After is the time-out of the submission. If After is 0, the submission times out at the
	// expiry of Txn.
	Submit Action = iota
	// Reject tells the client that a retry of Txn is safe. Either Txn has not run and will not run, or the product of Txn allows
	// repeats. The field After is the delay after which the answer advises the client to retry. If After is 0, the answer has no advice.
	Reject
	// Fail tells the client that Txn gets no response and may have run.
	Fail
	// Cancel cancels submission Attempt of Txn.
	Cancel
	// Probe checks the health of Backend.
	Probe
	// SendDatagram sends Payload to Peer.
	SendDatagram
	// Wake calls the module's Woken method with the argument Token. The field After is the delay of the call.
	Wake
	// Log writes Entry to the log.
	Log
)

// Decision is one operation for the host to perform now. The comment on each action names the fields that the action uses.
type Decision struct {
	Action          Action
	Txn             TxnID
	Attempt         int // index of the submission among all submissions of Txn, from 0
	Backend         BackendID
	After           time.Duration // time-out (Submit), retry delay (Reject) or delay (Wake)
	ResponseTimeout time.Duration // for Submit: the longest time from the first byte of a response to its last
	SendDeadline    time.Duration // for Submit: the time from which the submission must not be sent any more; 0: none
	Peer            GatewayID     // for SendDatagram: the receiver of the datagram
	Payload         []byte        // for SendDatagram
	Entry           *LogEntry     // for Log
	Reason          Reason        // for Reject and Fail
	Token           uint64        // for Wake: the argument of the Woken call
}

// Reason says what a txn lacked when the txn was rejected or failed. The values are in the order of the counters in
// internal/proxy/counters.
type Reason int

// The reasons for which a txn is rejected or failed.
const (
	// ReasonNoTime means that a response would come too late.
	ReasonNoTime Reason = iota
	// ReasonNoUnits means that the customer's quota has too few units left.
	ReasonNoUnits
	// ReasonNoSnapshot means that another gateway owns the customer's token bucket, and that its last snapshot has too few units left
	// or it does not answer. Package quota explains owner and snapshot.
	ReasonNoSnapshot
	// ReasonNoSlot means that the customer already has the maximum number of submissions in flight.
	ReasonNoSlot
	// ReasonHardLimit means that the customer has reached its hard limit, which is a second limit that is never exceeded.
	ReasonHardLimit
	// ReasonNoBackend means that no backend is ready, or that no ready backend has capacity.
	ReasonNoBackend

	// ReasonCount is the number of reasons.
	ReasonCount
)

// LogEntry is a structured log entry. Its message and the names of its fields are constant, and only the values differ from one
// entry to the next.
type LogEntry struct {
	Message string
	Fields  []LogField
}

// LogField is a numeric field of a LogEntry. Its name is in snake_case.
type LogField struct {
	Name  string
	Value float64
}

// IntField returns a LogField that holds an integer value.
func IntField(name string, n int) LogField { return LogField{Name: name, Value: float64(n)} }

// String formats the entry as one line with the message first and each field as name=value after it.
func (l *LogEntry) String() string {
	var b strings.Builder
	b.WriteString(l.Message)
	for _, f := range l.Fields {
		b.WriteString(" " + f.Name + "=" + strconv.FormatFloat(f.Value, 'g', -1, 64))
	}
	return b.String()
}
