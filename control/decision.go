package control

import (
	"strconv"
	"strings"
	"time"
)

// Action is what a decision asks of the host.
type Action int

// What may be decided.
const (
	// Submit sends Txn to Backend, and gives up after After (0: at its expiry).
	Submit Action = iota
	// Reject answers Txn: it has not run and never will, and the client may come again, best after After (0: no advice).
	Reject
	// Fail answers Txn: it may have run.
	Fail
	// Cancel cancels submission Attempt of Txn.
	Cancel
	// Probe checks the health of Backend.
	Probe
	// SendDatagram sends Payload to Peer.
	SendDatagram
	// Wake calls Woken after After.
	Wake
	// Log writes Entry to the log.
	Log
)

// Decision is one thing to do now. Which fields count is told at the actions.
type Decision struct {
	Action          Action
	Txn             TxnID
	Attempt         int // from 0
	Backend         BackendID
	After           time.Duration
	ResponseTimeout time.Duration // of Submit: how long an answer that has begun may take to be complete
	Peer            GatewayID
	Payload         []byte
	Entry           *LogEntry
	Reason          Reason // of Reject and Fail
	Token           uint64 // of Wake: given back with Woken
}

// Reason is what a txn had too little of when it was given up. The order is that of the counters (internal/proxy/counters).
type Reason int

// What a txn may lack.
const (
	// ReasonNoTime: an answer would come too late.
	ReasonNoTime Reason = iota
	// ReasonNoUnits: the quota is used up.
	ReasonNoUnits
	// ReasonNoSnapshot: the quota's owner says so, or does not answer.
	ReasonNoSnapshot
	// ReasonNoSlot: as many submissions of the customer are in flight as may be.
	ReasonNoSlot
	// ReasonHardLimit: the customer's hard limit is reached.
	ReasonHardLimit
	// ReasonNoBackend: no backend is ready, or has room.
	ReasonNoBackend

	// ReasonCount is the number of reasons.
	ReasonCount
)

// LogEntry is a line for the log: a message that is always the same, and figures under names that are.
type LogEntry struct {
	Message string
	Fields  []LogField
}

// LogField is a figure of a LogEntry. Names are in snake_case.
type LogField struct {
	Name  string
	Value float64
}

// IntField returns a LogField that holds an integer value.
func IntField(name string, n int) LogField { return LogField{Name: name, Value: float64(n)} }

// String gives the entry in one line: the message, then name=value.
func (l *LogEntry) String() string {
	var b strings.Builder
	b.WriteString(l.Message)
	for _, f := range l.Fields {
		b.WriteString(" " + f.Name + "=" + strconv.FormatFloat(f.Value, 'g', -1, 64))
	}
	return b.String()
}
